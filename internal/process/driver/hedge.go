package driver

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/process/dispatch"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// maxCopies is the number of times that an order is sent within its time-out.
	maxCopies = 3
	// hedgeFactor times the usual answer time is how long an answer is waited for
	// before the order is sent again. It is at least minHedgeDelay.
	hedgeFactor   = 4
	minHedgeDelay = 12 * time.Millisecond
	// maxHedges bounds the additional copies in flight, so that a process whose orders
	// are all slow does not add to its load.
	maxHedges = 32
	// answerLearnRate is the weight of each answer in the usual answer time.
	answerLearnRate = 1.0 / 32
)

// hedged is an Upstream that sends a start or a stop again, on another connection,
// while no answer has come. Workers take a repeated order for the first one, and
// answer within milliseconds if they answer at all.
type hedged struct {
	dispatch.Upstream
	hedges *atomic.Int64
	usual  *answerTime
}

// answerTime is the moving average of answer times.
type answerTime struct {
	mu   sync.Mutex
	mean time.Duration
}

// learn adds an answer time.
func (t *answerTime) learn(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mean += time.Duration(answerLearnRate * float64(d-t.mean))
}

// delay returns how long to wait for an answer before an order is sent again.
func (t *answerTime) delay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(minHedgeDelay, hedgeFactor*t.mean)
}

// Hedge returns an Upstream that sends orders without an answer again through
// another one.
func Hedge(u dispatch.Upstream) dispatch.Upstream {
	return hedged{u, &atomic.Int64{}, &answerTime{}}
}

// Start implements dispatch.Upstream.
func (h hedged) Start(p dispatch.Permit, w *job.Worker, o dispatch.StartOrder) dispatch.Answer {
	return h.send(p, func(p dispatch.Permit) dispatch.Answer { return h.Upstream.Start(p, w, o) })
}

// Stop implements dispatch.Upstream.
func (h hedged) Stop(p dispatch.Permit, w *job.Worker, o dispatch.StopOrder) dispatch.Answer {
	return h.send(p, func(p dispatch.Permit) dispatch.Answer { return h.Upstream.Stop(p, w, o) })
}

// listed is the answer to a listing.
type listed struct {
	listing dispatch.Listing
	answer  dispatch.Answer
}

// List implements dispatch.Upstream. A copy that waits for an end cannot be distinguished from one
// that is lost, so that several wait at the same time if the order says so. All end with
// the wait of the first.
func (h hedged) List(p dispatch.Permit, w *job.Worker, o dispatch.ListOrder) (dispatch.Listing, dispatch.Answer) {
	if o.Copies <= 1 || o.Repeat <= 0 || o.Repeat >= o.Wait {
		return h.Upstream.List(p, w, o)
	}
	began := time.Now()
	answers := make(chan listed, min(o.Copies, 1+int(o.Wait/o.Repeat)))
	launch := func(passed time.Duration) {
		copied, permit := o, dispatch.Permit{Timeout: p.Timeout - passed, Valid: p.Valid}
		copied.Wait = (o.Wait - passed).Truncate(time.Millisecond)
		go func() {
			l, a := h.Upstream.List(permit, w, copied)
			answers <- listed{l, a}
		}()
	}
	launch(0)
	next := time.NewTicker(o.Repeat)
	defer next.Stop()
	worst := dispatch.Answer{}
	for returned, copies := 0, 1; returned < copies; {
		select {
		case l := <-answers:
			returned++
			if a := l.answer; a.Result == dispatch.Accepted || a.Result == dispatch.Refused || a.Result == dispatch.WrongWorker {
				a.Repeated = copies > 1 // without Copies, since the others may only wait
				return l.listing, a
			}
			worst = leastKnown(worst, l.answer)
			worst.Copies = copies
		case <-next.C:
			if passed := time.Since(began); copies < cap(answers) && passed < o.Wait && p.Valid() {
				copies++
				launch(passed)
			}
		}
	}
	return dispatch.Listing{}, worst
}

// send sends an order up to maxCopies times and returns the first answer. Without
// one it returns the outcome of the copy about which least is known.
func (h hedged) send(p dispatch.Permit, order func(dispatch.Permit) dispatch.Answer) dispatch.Answer {
	began := time.Now()
	c := newCopies(p, h.hedges)
	end := time.NewTimer(p.Timeout)
	defer end.Stop()
	c.launch(p.Timeout, order)
	delay := h.usual.delay()
	next := time.NewTimer(delay)
	defer next.Stop()
	for over := false; !over && !c.settled(); {
		select {
		case <-c.changed:
		case <-next.C:
			left := p.Timeout - time.Since(began)
			if !p.Single && c.launched < maxCopies && left > delay/2 && p.Valid() && h.reserve() {
				c.launch(left, order)
				next.Reset(delay)
			}
		case <-end.C:
			over = true
		}
	}
	a := c.conclude()
	if a.Answered() && c.launched == 1 {
		h.usual.learn(time.Since(began))
	}
	return a
}

// reserve takes one of maxHedges additional copies.
func (h hedged) reserve() bool {
	if h.hedges.Add(1) <= maxHedges {
		return true
	}
	h.hedges.Add(-1)
	return false
}

// leastKnown returns the outcome after which less is known about the order, or the
// answer, if one comes: a copy that may have arrived counts more than one that was not sent.
func leastKnown(a, b dispatch.Answer) dispatch.Answer {
	if a.Result == 0 || b.Result == dispatch.Unanswered || b.Answered() {
		return b
	}
	return a
}
