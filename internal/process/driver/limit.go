package driver

import (
	"github.com/rosemaryloft/rosemaryloft/internal/process/dispatch"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// maxOrders bounds the orders of a process in flight, without listings that wait
// for an end. A new leader asks every worker for its runs; with a thousand answers
// at a time its replica would miss the heartbeats that keep it leader.
const maxOrders = 48

// limited is an Upstream with at most maxOrders orders in flight. Others wait for
// their turn.
type limited struct {
	dispatch.Upstream
	slots chan struct{}
}

// Limit returns an Upstream that sends at most maxOrders orders at a time through
// another one.
func Limit(u dispatch.Upstream) dispatch.Upstream {
	return limited{u, make(chan struct{}, maxOrders)}
}

func (l limited) enter() { l.slots <- struct{}{} }

func (l limited) leave() { <-l.slots }

// Start implements dispatch.Upstream.
func (l limited) Start(p dispatch.Permit, w *job.Worker, o dispatch.StartOrder) dispatch.Answer {
	l.enter()
	defer l.leave()
	return l.Upstream.Start(p, w, o)
}

// Stop implements dispatch.Upstream.
func (l limited) Stop(p dispatch.Permit, w *job.Worker, o dispatch.StopOrder) dispatch.Answer {
	l.enter()
	defer l.leave()
	return l.Upstream.Stop(p, w, o)
}

// List implements dispatch.Upstream.
func (l limited) List(p dispatch.Permit, w *job.Worker, o dispatch.ListOrder) (dispatch.Listing, dispatch.Answer) {
	if o.Wait == 0 {
		l.enter()
		defer l.leave()
	}
	return l.Upstream.List(p, w, o)
}

// Throttle implements dispatch.Upstream.
func (l limited) Throttle(p dispatch.Permit, w *job.Worker, o dispatch.ThrottleOrder) dispatch.Answer {
	l.enter()
	defer l.leave()
	return l.Upstream.Throttle(p, w, o)
}
