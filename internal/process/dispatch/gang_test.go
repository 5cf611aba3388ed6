package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Guards against a gang that is given up before its last attempt, because the end of a member that is
// listed late counts as a further failed run (rule LOST, review/14).
func TestLateFailureOfAGangCountsOnce(t *testing.T) {
	for _, kill := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestCluster(t, "a", "b")
			defer b.close()
			fails := func(yes bool) func(w *fakeWorker) { return func(w *fakeWorker) { w.fails = yes } }
			b.changeWorker("a", fails(true))
			b.changeWorker("b", fails(true))
			b.workers.setRunTime(5 * time.Second)
			s := tasks(2)
			s.Gang, s.Spread = true, 1
			b.submit("one", s)
			time.Sleep(60 * time.Millisecond) // both members have begun
			b.is.Equal(len(b.workers.started()), 2)
			b.changeWorker("b", func(w *fakeWorker) { w.silent = true })
			time.Sleep(failTime)
			b.changeWorker("b", b.workers.endDueRuns) // its member has failed, too
			b.add("c", 1)
			b.changeWorker("c", fails(true))
			for len(b.workers.started()) < 4 {
				time.Sleep(10 * time.Millisecond)
			}
			b.changeWorker("a", fails(false))
			b.changeWorker("c", fails(false))
			for len(b.workers.started()) < 6 {
				time.Sleep(10 * time.Millisecond)
			}
			b.changeWorker("b", func(w *fakeWorker) { w.silent, w.fails = false, false })
			if kill {
				b.log.set(false, 2)
				time.Sleep(300 * time.Millisecond)
				b.log.set(true, 3)
			}
			time.Sleep(15 * time.Second)
			b.is.Equal(b.status("one"), job.Completed)
			b.is.Equal(len(b.workers.started()), 6)
		})
	}
}
