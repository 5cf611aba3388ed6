package route

import (
	"sync"
	"sync/atomic"
)

// gate counts the requests in flight and lets none in once it is closed.
type gate struct {
	flight atomic.Int64
	closed atomic.Bool
	once   sync.Once
	empty  chan struct{} // closed once the gate is closed and nothing is in flight
}

// enter counts one more request, unless the gate is closed. The count is raised
// before the check, so that close cannot miss a request that got in.
func (g *gate) enter() bool {
	g.flight.Add(1)
	metricFlight.Add(1)
	if g.closed.Load() {
		g.leave()
		return false
	}
	return true
}

func (g *gate) leave() {
	metricFlight.Add(-1)
	if g.flight.Add(-1) == 0 && g.closed.Load() {
		g.once.Do(func() { close(g.empty) })
	}
}

func (g *gate) close() {
	g.closed.Store(true)
	if g.flight.Load() == 0 {
		g.once.Do(func() { close(g.empty) })
	}
}

const (
	// budgetEarned and budgetSpent make retries at most 10% of the requests.
	budgetEarned = 1
	budgetSpent  = 10
	// budgetMaximum allows ten retries in a burst after a quiet time.
	budgetMaximum = 10 * budgetSpent
)

// budget limits retries to a part of the requests, so that retries do not keep
// up the overload that caused them.
type budget struct{ tokens atomic.Int64 }

// earn counts a new request.
func (b *budget) earn() {
	for {
		t := b.tokens.Load()
		if t >= budgetMaximum || b.tokens.CompareAndSwap(t, t+budgetEarned) {
			return
		}
	}
}

// spend reports whether a retry may be made, and counts it.
func (b *budget) spend() bool {
	for {
		t := b.tokens.Load()
		if t < budgetSpent {
			return false
		}
		if b.tokens.CompareAndSwap(t, t-budgetSpent) {
			return true
		}
	}
}
