package job

import (
	"slices"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/crash"
)

// maxPoolCrashes bounds the crashes that are kept for the rates of their pools.
const maxPoolCrashes = 4096

// PoolCrash is the crash of a worker, which counts in the rate of its pool.
type PoolCrash struct {
	_        struct{} `cbor:",toarray"`
	Pool     string
	Suspects []ID
	At       time.Time // of the round
}

// addPoolCrashes keeps crashes for crash.RateTime.
func (v *View) addPoolCrashes(list []PoolCrash, now time.Time) {
	for _, c := range list {
		c.At = now
		v.PoolCrashes = append(v.PoolCrashes, c)
	}
	v.PoolCrashes = slices.DeleteFunc(v.PoolCrashes, func(c PoolCrash) bool { return now.Sub(c.At) >= crash.RateTime })
	v.PoolCrashes = v.PoolCrashes[max(0, len(v.PoolCrashes)-maxPoolCrashes):]
}
