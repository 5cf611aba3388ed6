package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Guards against a task that runs in two places because its start reached the next
// incarnation of its worker, which executes it: the end of the former incarnation
// counted as the end of the run (rule TWICE).
func TestStartThatReachesTheNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(5 * time.Second)
		b.restart("a", 2)
		b.submit("one", tasks(2))
		time.Sleep(20 * time.Millisecond)
		b.add("b", 1)
		time.Sleep(3 * time.Second)
		b.is.Equal(b.workers.copied(), "")
	})
}

// Guards against a run of a cancelled job on the next incarnation of its worker, which
// carries out an order to the former one: a worker without known runs is looked at
// only once, and knows nothing of an earlier stop (rule UNASKED).
func TestLateStartOnTheNextIncarnationIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(time.Minute)
		time.Sleep(30 * time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.delaysStarts = true })
		b.submit("one", tasks(2))
		time.Sleep(100 * time.Millisecond)
		b.cancel("one")
		b.workers.mu.Lock()
		late := b.workers.all["a"].late
		b.workers.mu.Unlock()
		b.add("a", 2)
		time.Sleep(2 * time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.late = late })
		b.workers.carryOutLate("a")
		for range 50 { // less than the lease
			b.is.Equal(b.running(), 0)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against a task that runs in two places because its start is carried out by the
// incarnation after the next one of its worker, which knows nothing of the stop that the next
// one was sent (rule TWICE, script reborn of the review).
func TestStartThatOutlivesTwoIncarnations(t *testing.T) {
	for name, pause := range map[string]time.Duration{"long": 2 * time.Second, "short": time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestCluster(t, "a")
				defer b.close()
				b.workers.setRunTime(12 * time.Second)
				time.Sleep(30 * time.Second)
				b.changeWorker("a", func(w *fakeWorker) { w.delaysStarts = true })
				b.submit("one", tasks(1))
				time.Sleep(100 * time.Millisecond)
				var late []StartOrder
				b.changeWorker("a", func(w *fakeWorker) { late, w.delaysStarts, w.unhealthy = w.late, false, true })
				b.add("b", 1)
				time.Sleep(time.Second)
				for life := range job.Incarnation(2) {
					b.restart("a", life+2)
					b.changeWorker("a", func(w *fakeWorker) { w.processors = 100 }) // so the task starts on b
					b.report("a", false)
					time.Sleep(pause)
				}
				time.Sleep(2 * time.Second)
				b.changeWorker("a", func(w *fakeWorker) { w.late = late })
				b.workers.carryOutLate("a")
				time.Sleep(25 * time.Second)
				b.is.Equal(b.workers.copied(), "")
				b.is.Equal(b.status("one"), job.Completed)
			})
		})
	}
}

// Guards against a worker that gets no tasks for the rest of the term because it
// reported itself before the round of its removal was built: the round registers it
// and then removes it (rule LOST).
func TestWorkerReturnsBeforeItsRemovalIsCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		current := b.term()
		current.mu.Lock()
		w := current.workers["a"]
		current.removeWorker(w, "silent")
		current.mu.Unlock()
		b.report("a", false)
		b.submit("one", tasks(2))
		time.Sleep(10 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against a task that runs in two places because the leader changed while it
// was not known whether the next incarnation of its worker executes it (rule TWICE).
func TestNextTermKeepsRunsThatTheNextIncarnationMayExecute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(5 * time.Second)
		b.restart("a", 2)
		b.submit("one", tasks(2))
		time.Sleep(20 * time.Millisecond)
		b.add("b", 1)
		b.changeWorker("a", func(w *fakeWorker) { w.refusesStops = true })
		b.report("a", false)
		time.Sleep(300 * time.Millisecond)
		b.log.set(false, 2)
		time.Sleep(100 * time.Millisecond)
		b.log.set(true, 3)
		time.Sleep(time.Second)
		b.is.Equal(b.workers.copied(), "")
		b.changeWorker("a", func(w *fakeWorker) { w.refusesStops = false })
		time.Sleep(9 * time.Second)
		b.is.Equal(b.workers.copied(), "")
		b.is.Equal(b.status("one"), job.Completed)
	})
}
