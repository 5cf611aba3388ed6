package dispatch

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a report that is forgotten because a listing under way then gets no answer: the ends of
// the worker would wait for its next report (rule LOST, issue 71).
func TestReportDuringALostListingHasTheWorkerListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		time.Sleep(2 * time.Second)
		b.submit("one", tasks(1))
		time.Sleep(1030 * time.Millisecond) // its end is listed, and not acknowledged yet
		b.workers.loseAll(true)
		time.Sleep(100 * time.Millisecond)
		kept := len(b.workers.worker("a").ended)
		b.workers.loseAll(false)
		b.report("a", false)
		time.Sleep(700 * time.Millisecond)
		left := len(b.workers.worker("a").ended)
		time.Sleep(lateOrderTime) // the lost orders have arrived
		b.is.Equal(kept, 1)       // the case is played as meant
		b.is.Equal(left, 0)
	})
}

// loseAll has all orders get lost, or none.
func (h *fakeWorkers) loseAll(yes bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lostShare = 0; yes {
		h.lostShare, h.random = 1, rand.New(rand.NewPCG(1, 1))
	}
}
