package boottime

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that a paused process takes for a new one: it arrived during the
// pause and is read before, or soon after, the pause is noticed.
func TestArrivalDuringAPause(t *testing.T) {
	is := is.New(t)
	var p Pauses
	at := time.Unix(1000, 0)
	is.Equal(p.Arrival(at), at) // not watched yet
	p.take(at)
	is.Equal(p.Arrival(at.Add(300*time.Millisecond)), at.Add(300*time.Millisecond))
	wake := at.Add(6 * time.Second)
	is.Equal(p.Arrival(wake), at)
	p.take(wake)
	is.Equal(p.Arrival(wake.Add(100*time.Millisecond)), at)
	p.take(wake.Add(turnInterval))
	later := wake.Add(drainTime)
	is.Equal(p.Arrival(later), later)
}

// Guards against pauses that are seen where there were none.
func TestTurnsAreTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var p Pauses
		done := make(chan struct{})
		go func() {
			defer close(done)
			if err := p.Watch(t.Context()); err != nil {
				t.Error(err)
			}
		}()
		for range 50 {
			time.Sleep(77 * time.Millisecond)
			now := Now()
			is.Equal(p.Arrival(now), now)
		}
	})
}
