package job

import (
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

const (
	// maxZoneName bounds the name of an availability zone in bytes, as in the reports of workers.
	maxZoneName = maxText
	// maxEvacuations bounds the zones that are evacuated at the same time.
	maxEvacuations = 256
)

// Evacuation is an operator's order to start nothing more on the workers of an availability
// zone, or to end that.
type Evacuation struct {
	_      struct{} `cbor:",toarray"`
	Zone   string
	Active bool // false ends the evacuation
}

// CheckZone returns an error if no availability zone can have the name.
func CheckZone(name string) error {
	if name == "" || len(name) > maxZoneName || !utf8.ValidString(name) || strings.ContainsRune(name, '/') ||
		strings.ContainsFunc(name, unicode.IsControl) {
		return errors.Newf("%.80q is not the name of an availability zone: want 1 to %d bytes of UTF-8 without a slash or control characters", name, maxZoneName)
	}
	return nil
}

// EvacuationsFull reports whether no further zone can be evacuated.
func (v *View) EvacuationsFull() bool { return len(v.Evacuated) >= maxEvacuations }

// evacuate applies an operator's order. One that changes nothing keeps the time of the earlier one.
func (v *View) evacuate(e *Evacuation, now time.Time) {
	_, active := v.Evacuated[e.Zone]
	switch {
	case !e.Active:
		delete(v.Evacuated, e.Zone)
	case !active && !v.EvacuationsFull():
		v.Evacuated[e.Zone] = now
	}
}
