package driver

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/process/dispatch"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// lossyUpstream loses the first copies of each order.
type lossyUpstream struct {
	dispatch.Upstream
	mu     sync.Mutex
	lose   int
	copies int
	answer dispatch.Answer
	result dispatch.Result // of lost copies
}

func (u *lossyUpstream) Start(p dispatch.Permit, _ *job.Worker, _ dispatch.StartOrder) dispatch.Answer {
	u.mu.Lock()
	u.copies++
	lost := u.copies <= u.lose
	u.mu.Unlock()
	if lost {
		time.Sleep(p.Timeout)
		return dispatch.Answer{Result: u.result}
	}
	time.Sleep(2 * time.Millisecond)
	return u.answer
}

// Guards against a start that waits for its time-out when its answer was lost. With
// four in ten answers lost, a step of ten tasks waited 0.3 s (scenario
// freeze-before-late of rmpc-thies-grown).
func TestLostAnswerCostsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &lossyUpstream{lose: 1, answer: dispatch.Answer{Result: dispatch.Accepted}, result: dispatch.Unanswered}
		h := Hedge(u)
		began := time.Now()
		a := h.Start(always(orderTimeout), worker(1), dispatch.StartOrder{})
		is.Equal(a.Result, dispatch.Accepted)
		is.True(a.Repeated)
		is.True(time.Since(began) < 20*time.Millisecond)
		a = h.Start(always(orderTimeout), worker(1), dispatch.StartOrder{})
		is.True(!a.Repeated) // answered at once
		is.Equal(u.copies, 3)
		time.Sleep(orderTimeout) // the lost copy times out
	})
}

// Guards against an order without an answer that counts as not sent, and against one
// that takes longer than its time-out.
func TestOrderWithoutAnswerStaysUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &lossyUpstream{lose: 100, result: dispatch.Unanswered}
		began := time.Now()
		a := Hedge(u).Start(always(orderTimeout), worker(1), dispatch.StartOrder{})
		is.Equal(a.Result, dispatch.Unanswered)
		is.True(time.Since(began) <= orderTimeout)
		is.Equal(u.copies, maxCopies)
		is.Equal(leastKnown(dispatch.Answer{Result: dispatch.Unanswered}, dispatch.Answer{Result: dispatch.NotSent}).Result, dispatch.Unanswered)
	})
}

// Guards against copies that add to the load of a process whose orders are all slow.
func TestCopiesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &lossyUpstream{lose: 1 << 20, result: dispatch.Unanswered}
		h := Hedge(u)
		var orders sync.WaitGroup
		for range 500 {
			orders.Go(func() { h.Start(always(orderTimeout), worker(1), dispatch.StartOrder{}) })
		}
		orders.Wait()
		synctest.Wait() // a copy is counted until its goroutine has ended
		is.True(u.copies <= 500+2*maxHedges)
		is.Equal(h.(hedged).hedges.Load(), int64(0))
	})
}
