package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Guards against a next leader that does not know of copies of an earlier run, because the mark was
// dropped with the next start on the same worker (rule TWICE).
func TestNextTermKnowsCopiesOfAnEarlierRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(12 * time.Second)
		time.Sleep(30 * time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.delaysStarts = true })
		began := time.Now()
		at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
		b.submit("one", job.Step{Count: 1, Size: work.Resources{Processors: 1000, Memory: 1 << 30}, Estimate: 12 * time.Second})
		at(520 * time.Millisecond) // the last copy of run 1 is sent
		var late []StartOrder
		b.changeWorker("a", func(w *fakeWorker) { late, w.late, w.delaysStarts = w.late, nil, false })
		at(3 * time.Second)
		b.add("b", 1)
		at(6300 * time.Millisecond)
		b.submit("two", job.Step{Count: 1, Size: work.Resources{Processors: 1000, Memory: 1 << 30}, Estimate: 12 * time.Second}) // the leader goes on committing rounds
		at(6500 * time.Millisecond)
		b.log.set(false, 2)
		time.Sleep(300 * time.Millisecond)
		b.log.set(true, 3)
		time.Sleep(200 * time.Millisecond)
		b.restart("a", 2)
		b.changeWorker("a", func(w *fakeWorker) { w.silent = true })
		at(12 * time.Second) // 11.5 s after the last copy was sent
		b.changeWorker("a", func(w *fakeWorker) { w.late = late[len(late)-1:] })
		b.workers.carryOutLate("a")
		at(60 * time.Second)
		b.is.Equal(b.workers.copied(), "")
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against a task that waits for good: a start of a run that is held was sent again and
// replaced the doubts about its worker, and the former ones were never dropped (rule LOST).
func TestHeldRunIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		time.Sleep(30 * time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.silent = true })
		b.submit("one", job.Step{Count: 1, Size: work.Resources{Processors: 1000, Memory: 1 << 30}, Estimate: 12 * time.Second})
		time.Sleep(200 * time.Millisecond)
		b.restart("a", 2)
		b.changeWorker("a", func(w *fakeWorker) { w.processors = 100 })
		b.report("a", false)
		time.Sleep(50 * time.Millisecond)
		b.add("b", 1)
		time.Sleep(time.Minute)
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against a refusal without an incarnation that is taken for proof that the known one lived
// until no copy could arrive (rule TWICE).
func TestRefusalWithoutIdentityProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(12 * time.Second)
		time.Sleep(30 * time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.delaysStarts = true })
		began := time.Now()
		at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
		b.submit("one", job.Step{Count: 1, Size: work.Resources{Processors: 1000, Memory: 1 << 30}, Estimate: 12 * time.Second})
		at(100 * time.Millisecond)
		var late []StartOrder
		b.changeWorker("a", func(w *fakeWorker) { late, w.late, w.silent = w.late, nil, true })
		b.add("b", 1)
		at(11 * time.Second)
		b.restart("a", 2) // its reports do not arrive
		b.changeWorker("a", func(w *fakeWorker) { w.silent, w.late = true, late[len(late)-1:] })
		at(11500 * time.Millisecond)
		b.workers.carryOutLate("a")
		at(11600 * time.Millisecond)
		b.changeWorker("a", func(w *fakeWorker) { w.silent, w.unhealthy, w.unheard = false, true, true })
		at(60 * time.Second)
		b.is.Equal(b.workers.copied(), "")
	})
}

// Guards against an attempt of several copies that counts as settled because a listing shows the
// run (rule TWICE).
func TestCopiesOfOneAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(12 * time.Second)
		time.Sleep(20 * time.Second)
		b.submit("zero", tasks(1))
		time.Sleep(time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.dropsAnswers, w.delayedStarts = true, 1 }) // the first attempt has one copy
		var second StartOrder                                                                  // copy of the second attempt that is held up
		b.workers.mu.Lock()
		b.workers.onStart = func(worker string, o StartOrder) {
			if worker == "a" && o.Task.Job == "one" && second.Run == 0 {
				second = o
				for _, r := range b.workers.all["a"].running {
					if r.run == 1 && r.began.Before(time.Now().Add(-500*time.Millisecond)) {
						r.ends = time.Now().Add(5 * time.Millisecond) // a listing shows the run before the next attempt
					}
				}
			}
		}
		b.workers.mu.Unlock()
		began := time.Now()
		at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
		b.submit("one", job.Step{Count: 1, Size: work.Resources{Processors: 1000, Memory: 1 << 30}, Estimate: 12 * time.Second})
		at(500 * time.Millisecond)
		b.add("b", 1)
		at(time.Second)
		b.restart("a", 2)
		b.changeWorker("a", func(w *fakeWorker) { w.silent = true })
		at(4 * time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.late = []StartOrder{second} })
		b.workers.carryOutLate("a")
		at(60 * time.Second)
		b.is.Equal(b.workers.copied(), "")
	})
}

// Guards against a worker that is replaced on the word of a report, because it refuses the listing
// by which the report is checked, and names no incarnation (rule TWICE).
func TestRefusalProvesNoClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(12 * time.Second)
		b.submit("one", tasks(2))
		time.Sleep(time.Second)
		b.add("b", 1)
		b.changeWorker("a", func(w *fakeWorker) { w.unhealthy, w.life = true, 9 })
		b.report("a", false) // of another writer
		b.changeWorker("a", func(w *fakeWorker) { w.life = 1 })
		time.Sleep(200 * time.Millisecond)
		b.changeWorker("a", func(w *fakeWorker) { w.unhealthy = false })
		time.Sleep(2 * time.Second)
		b.is.Equal(b.workers.copied(), "")
	})
}

// Guards against a next leader that acknowledges an end although copies of the start of its run
// are on their way (rule TWICE).
func TestNextTermKeepsUnclearEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		time.Sleep(30 * time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.delayedStarts = 1 })
		b.submit("one", tasks(1))
		time.Sleep(3 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
		b.is.Equal(len(b.workers.worker("a").ended), 1)
		b.log.set(false, 2)
		time.Sleep(300 * time.Millisecond)
		b.log.set(true, 3)
		time.Sleep(300 * time.Millisecond)
		b.submit("two", tasks(1))
		time.Sleep(3 * time.Second) // 7 s after the start of one
		b.is.Equal(b.status("two"), job.Completed)
		for _, e := range b.workers.worker("a").ended {
			if e.Task.Job == "one" {
				return
			}
		}
		t.Fatal("the end was acknowledged")
	})
}
