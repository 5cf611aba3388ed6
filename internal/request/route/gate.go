package route

import (
	"sync"
	"sync/atomic"
)

// gate counts the requests in flight and admits no more once it is closed.
type gate struct {
	inFlight  atomic.Int64
	closed    atomic.Bool
	closeOnce sync.Once
	drained   chan struct{} // closed once the gate is closed and no request is in flight
}

// enter counts one more request and reports true, unless the gate is closed. It
// increments the count before the check, so that close cannot miss a request
// that was admitted.
func (g *gate) enter() bool {
	g.inFlight.Add(1)
	metricInFlight.Add(1)
	if g.closed.Load() {
		g.leave()
		return false
	}
	return true
}

func (g *gate) leave() {
	metricInFlight.Add(-1)
	if g.inFlight.Add(-1) == 0 && g.closed.Load() {
		g.closeOnce.Do(func() { close(g.drained) })
	}
}

func (g *gate) close() {
	g.closed.Store(true)
	if g.inFlight.Load() == 0 {
		g.closeOnce.Do(func() { close(g.drained) })
	}
}

const (
	// budgetDeposit and retryCost limit retries to 10% of the requests.
	budgetDeposit = 1
	retryCost     = 10
	// maxBudget allows a burst of ten retries after a quiet period.
	maxBudget = 10 * retryCost
)

// retryBudget is a token bucket that limits retries to a fraction of the
// requests, so that retries do not prolong the overload that caused them.
type retryBudget struct{ tokens atomic.Int64 }

// deposit adds the tokens that one new request earns.
func (b *retryBudget) deposit() {
	for {
		t := b.tokens.Load()
		if t >= maxBudget || b.tokens.CompareAndSwap(t, t+budgetDeposit) {
			return
		}
	}
}

// tryWithdraw reports whether a retry may be made, and pays for it.
func (b *retryBudget) tryWithdraw() bool {
	for {
		t := b.tokens.Load()
		if t < retryCost {
			return false
		}
		if b.tokens.CompareAndSwap(t, t-retryCost) {
			return true
		}
	}
}
