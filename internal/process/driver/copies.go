package driver

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/process/dispatch"
)

// errNoAnswer is the error of an order without an answer, for the log.
var errNoAnswer = errors.New("no answer in time")

// copies are the copies of one order. The outcome of the order is concluded from what is known of each
// of them at that moment, whatever woke the sender: an answer and the end of the time may come together.
type copies struct {
	permit   dispatch.Permit
	hedges   *atomic.Int64 // counts the additional copies until the order is concluded
	changed  chan struct{} // receives after each copy that has returned; buffered
	launched int

	mu       sync.Mutex
	over     bool // the order is concluded: no copy leaves any more, and each answer is late
	left     int  // copies that may have left, without those that are answered or were not sent after all
	returned int
	outcome  dispatch.Answer   // the first answer, else that of the copy about which least is known; zero if none has returned
	further  []dispatch.Answer // to copies after the first answer
}

// newCopies returns the copies of an order, of which none is launched.
func newCopies(p dispatch.Permit, hedges *atomic.Int64) *copies {
	return &copies{permit: p, hedges: hedges, changed: make(chan struct{}, maxCopies)}
}

// launch sends another copy with the time that is left for the order.
func (c *copies) launch(timeout time.Duration, order func(dispatch.Permit) dispatch.Answer) {
	c.launched++
	go func() {
		sent := false
		valid := func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			if !c.over && c.permit.Valid() && !sent {
				sent = true
				c.left++
			}
			return sent && !c.over
		}
		a := order(dispatch.Permit{Timeout: timeout, Valid: valid, Await: c.permit.Await})
		c.finish(a, sent)
	}()
}

// finish records the outcome of a copy.
func (c *copies) finish(a dispatch.Answer, sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := a.Answered() || a.Result == dispatch.NotSent
	switch {
	case sent && known:
		c.left--
	case !sent && a.Result == dispatch.Unanswered && !c.over:
		c.left++
	}
	if c.over {
		if sent && known && c.permit.Late != nil {
			go c.permit.Late(a)
		}
		return
	}
	c.returned++
	if c.outcome.Answered() && a.Answered() {
		c.further = append(c.further, a)
	} else if !c.outcome.Answered() {
		c.outcome = leastKnown(c.outcome, a)
	}
	c.changed <- struct{}{}
}

// settled reports whether there is an answer, or none to wait for.
func (c *copies) settled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcome.Answered() || c.returned == c.launched
}

// conclude returns the outcome of the order. Copies that have not left are not sent any more.
func (c *copies) conclude() dispatch.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = true
	c.hedges.Add(int64(1 - c.launched))
	a := c.outcome
	switch {
	case a.Answered(), a.Result == dispatch.Unanswered:
	case c.left > 0:
		a = dispatch.Answer{Result: dispatch.Unanswered, Error: errNoAnswer}
	case a.Result == 0:
		a = dispatch.Answer{Result: dispatch.NotSent, Error: errNoAnswer}
	}
	open := c.left
	if c.permit.Late != nil { // whoever waits for late answers decides what these settle
		open += len(c.further)
		for _, f := range c.further {
			go c.permit.Late(f)
		}
	}
	a.Copies, a.Open, a.Repeated = c.launched, open, open > 0 && a.Answered()
	return a
}
