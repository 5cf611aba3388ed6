package fit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a query for each worker that becomes free in a full pool. Half of
// the queries in an overloaded pool named one or two workers, and their number kept
// half of the pool waiting for tickets.
func TestQueriesNameManyWorkers(t *testing.T) {
	is := is.New(t)
	workers := pool(60, cores(32))
	answers := map[string]Answer{}
	for i, w := range workers {
		w.Free = cores(0)
		if i < 20 {
			answers[w.ID] = Answer{Allowed: i%2 == 0, Ticket: "t", Expiry: now} // expired
		}
	}
	workers[40].Free = cores(8)
	d := advised(demand("a", 0, 4, cores(4)), answers)
	p := Decide(now, []*Demand{d}, Cluster{Workers: workers})
	is.Equal(len(p.Queries), 1)
	is.Equal(len(p.Queries[0].Workers), queryWorkers)
	is.Equal(p.Queries[0].Workers[0], "w40") // the one with room
	for _, n := range p.Queries[0].Workers {
		a, known := answers[n]
		is.True(!known || a.Allowed)
	}
	is.True(!p.Queries[0].Early)

	d.Deadline, d.Advice.Answers = now.Add(-time.Second), map[string]Answer{}
	p = Decide(now, []*Demand{d}, Cluster{Workers: workers, Early: 1})
	is.True(p.Queries[0].Early) // late work does not delay the queries of others
	is.Equal(len(Decide(now, []*Demand{d}, Cluster{Workers: workers}).Queries), 0)
}
