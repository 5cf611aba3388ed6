package fit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Guards against room that stands idle while work waits, without a reason in the
// log. Each case leaves 16 processors free on each of two workers.
func TestIdleCapacityIsExplained(t *testing.T) {
	ticket := map[string]Answer{"w00": {Allowed: true, Ticket: "t", Expiry: now.Add(time.Second)}}
	expired := map[string]Answer{"w00": {Allowed: true}, "w01": {}}
	for name, test := range map[string]struct {
		demands []*Demand
		cluster Cluster
		want    Idle
	}{
		"no answer yet":   {[]*Demand{advised(demand("a", 2, 1, cores(8)), nil)}, Cluster{}, Idle{Ticket: cores(8)}},
		"expired ticket":  {[]*Demand{advised(demand("a", 2, 3, cores(16)), expired)}, Cluster{}, Idle{Ticket: cores(16), Denied: cores(16)}},
		"headroom":        {[]*Demand{demand("a", 2, 1, cores(8))}, Cluster{Headroom: map[string]work.Resources{"p": cores(30)}}, Idle{Headroom: cores(8)}},
		"limit":           {[]*Demand{demand("a", 2, 3, cores(8))}, Cluster{Limits: map[string]*Limit{"depot": {Max: cores(8), Used: cores(8)}}}, Idle{Limit: cores(24)}},
		"shape":           {[]*Demand{demand("a", 2, 1, cores(24))}, Cluster{}, Idle{Shape: cores(32)}},
		"nothing waits":   {[]*Demand{demand("a", 2, 1, cores(8))}, Cluster{}, Idle{}},
		"one of two runs": {[]*Demand{advised(demand("a", 2, 2, cores(16)), ticket)}, Cluster{}, Idle{Ticket: cores(16)}},
	} {
		is := is.New(t)
		workers := pool(2, cores(32))
		for _, w := range workers {
			w.Free = cores(16)
		}
		test.cluster.Workers, test.cluster.Explain = workers, true
		got := Decide(now, test.demands, test.cluster).Idle["p"]
		if got != test.want {
			t.Errorf("%s: %+v, not %+v", name, got, test.want)
		}
		is.True(Decide(now, nil, Cluster{Workers: workers}).Idle == nil) // only on request
	}
}

// Guards against the room reserved for a gang being reported as a matter of the
// advice service.
func TestIdleReservation(t *testing.T) {
	is := is.New(t)
	workers := pool(2, cores(16))
	workers[1].Free = cores(8)
	gang := demand("g", 1, 2, cores(16))
	gang.Spec.Gang = true
	small := demand("s", 2, 4, cores(4))
	p := Decide(now, []*Demand{gang, small}, Cluster{Workers: workers, Explain: true})
	is.Equal(len(p.Starts), 0)
	is.Equal(p.Idle["p"], Idle{Reservation: cores(24)})
}
