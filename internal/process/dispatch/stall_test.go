package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// avoided returns the workers that the leader has avoided.
func (b *testCluster) avoided() (names []string) {
	t := b.term()
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, w := range t.workers {
		if w.avoidTime != 0 || !w.avoidedUntil.IsZero() {
			names = append(names, name)
		}
	}
	return names
}

// Guards against long tasks that are stopped again and again, and whose workers are
// avoided, because a percentage of whole numbers stands still (review/8, rule LOST).
func TestLongTasksAreDone(t *testing.T) {
	for _, runTime := range []time.Duration{10 * time.Minute, 2 * time.Hour} {
		for name, estimate := range map[string]time.Duration{"true": runTime, "missing": 0, "wide": 20 * runTime, "close": runTime / 2, "narrow": time.Second} {
			t.Run(fmt.Sprint(runTime, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newTestCluster(t, "a", "b", "c")
					defer b.close()
					for i := range 12 { // these show how rough the estimates are
						b.submit(fmt.Sprintf("early%d", i), tasks(1))
					}
					time.Sleep(5 * time.Second)
					before := len(b.workers.started())
					b.workers.setRunTime(runTime)
					long := tasks(3)
					long.Estimate = estimate
					b.submit("long", long)
					if name != "narrow" {
						time.Sleep(runTime + 5*time.Second)
						b.is.Equal(b.status("long"), job.Completed)
						b.is.Equal(len(b.workers.started())-before, 3)
						b.is.Equal(len(b.avoided()), 0)
						return
					}
					// One percent takes a 100th of the run time. With the time allowed doubled at
					// each stop, all runs that are stopped take less than four times as long together:
					// five or fewer for 72 s. One more may be moved for its speed.
					time.Sleep(runTime + 4*runTime/100 + time.Minute)
					b.is.Equal(b.status("long"), job.Completed)
					b.is.True(len(b.workers.started())-before <= 3*7)
					b.is.Equal(b.workers.copied(), "")
				})
			})
		}
	}
}

// Guards against a worker on which tasks stand still that is no longer found, because long
// tasks may stand still.
func TestStandingWorkerIsFound(t *testing.T) {
	for name, estimate := range map[string]time.Duration{"true": 10 * time.Minute, "missing": 0, "narrow": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestCluster(t, "a", "b", "c")
				defer b.close()
				b.workers.setRunTime(10 * time.Minute)
				b.changeWorker("a", func(w *fakeWorker) { w.slowdown = 1_000_000 })
				long := tasks(4)
				long.Estimate, long.Spread = estimate, 2
				b.submit("long", long)
				time.Sleep(12 * time.Minute)
				b.is.True(b.startsOn("a") > 0)
				b.is.Equal(b.status("long"), job.Completed)
				b.is.Equal(b.workers.copied(), "")
			})
		})
	}
}

// Guards against short tasks that wait longer than before for a worker on which they stand
// still, and against a worker that is used on although the tasks of two steps stand still
// there.
func TestShortTasksLeaveAStandingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.changeWorker("a", func(w *fakeWorker) { w.slowdown = 1_000_000 })
		b.submit("one", tasks(1))
		b.submit("two", tasks(1))
		b.submit("three", tasks(4))
		time.Sleep(stallTimeout + 4*time.Second)
		for _, id := range []string{"one", "two", "three"} {
			b.is.Equal(b.status(id), job.Completed)
		}
		b.is.Equal(b.avoided(), []string{"a"})
	})
}
