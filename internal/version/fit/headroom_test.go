package fit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against headroom that stays as large as a burst of urgent work when the
// burst is over. It held half of a pool for 12 s while batch work waited.
func TestHeadroomAfterABurst(t *testing.T) {
	is := is.New(t)
	var k Peak
	capacity := cores(1000)
	k.Record(cores(200), now)
	is.Equal(k.Headroom(cores(200), capacity), cores(60))  // 1.3 times the peak
	is.Equal(k.Headroom(cores(150), capacity), cores(110)) // as much again as is in use
	k.Record(cores(900), now.Add(time.Second))
	is.Equal(k.Headroom(cores(900), capacity), cores(250))
	k.Record(cores(300), now.Add(3*time.Second))
	is.Equal(k.Headroom(cores(300), capacity), cores(250)) // not the 870 of the burst
	k.Record(cores(300), now.Add(time.Second+2*peakWindow))
	is.Equal(k.Headroom(cores(300), capacity), cores(90)) // the burst is forgotten
	is.Equal(k.Headroom(cores(500), capacity), cores(0))
}
