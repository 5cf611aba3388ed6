package dispatch

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// flaps has the worker at the address of the job's first start crash 400 ms after each of some starts
// there. It is back 3 s later, under its ID or another one. It returns how many starts there were.
func (b *testCluster) flaps(id job.ID, crashes int64, reborn bool) *atomic.Int64 {
	var starts, there atomic.Int64
	var victim atomic.Value // its name without a suffix
	b.workers.mu.Lock()
	defer b.workers.mu.Unlock()
	b.workers.onStart = func(worker string, o StartOrder) {
		host, _, _ := strings.Cut(worker, "-")
		if o.Task.Job != id || starts.Add(1) > 1 && victim.Load() != host {
			return
		}
		victim.Store(host)
		if there.Add(1) > crashes {
			return
		}
		time.AfterFunc(400*time.Millisecond, func() {
			if reborn {
				b.crashReborn(worker, 3*time.Second)
			} else {
				b.crash(worker, 3*time.Second)
			}
		})
	}
	return &there
}

// crashReborn ends an incarnation of a worker. After a time the next one runs under its ID.
func (b *testCluster) crashReborn(id string, down time.Duration) {
	b.workers.mu.Lock()
	defer b.workers.mu.Unlock()
	w := b.workers.all[id]
	w.refusesConnections, w.running = true, map[job.TaskID]*fakeRun{}
	life := w.life
	time.AfterFunc(down, func() { b.add(id, life+1) })
}

// forEachFlap runs a test for pools of some sizes and each way in which a worker may be back.
func forEachFlap(t *testing.T, sizes []int, test func(b *testCluster, n int, reborn bool)) {
	for _, n := range sizes {
		for _, reborn := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d workers, reborn %t", n, reborn), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newTestCluster(t, workerNames(n)...)
					defer b.close()
					test(b, n, reborn)
				})
			})
		}
	}
}

// Guards against a job that is given up for two crashes of one worker, to which its trial went
// although others were idle (rule LOST, review/13).
func TestCrashesOfOneWorkerFailNoJob(t *testing.T) {
	forEachFlap(t, poolSizes, func(b *testCluster, _ int, reborn bool) {
		b.workers.setRunTime(700 * time.Millisecond)
		there := b.flaps("one", 2, reborn)
		b.submit("one", tasks(1))
		time.Sleep(20 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
		b.is.Equal(there.Load(), int64(1))
	})
}

// Guards against the same where the other workers have no room, so that the trials go there.
func TestCrashesOfTheOnlyIdleWorkerFailNoJob(t *testing.T) {
	forEachFlap(t, poolSizes, func(b *testCluster, n int, reborn bool) {
		b.fillAllBut(1, n)
		b.workers.setRunTime(700 * time.Millisecond)
		b.flaps("one", 3, reborn)
		b.submit("one", tasks(1))
		time.Sleep(40 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against work that crashes the only worker with room for it without end, because the crashes of
// one worker prove nothing (rule BUDGET).
func TestKillerOfOneWorkerEnds(t *testing.T) {
	forEachFlap(t, append(poolSizes, 1), func(b *testCluster, n int, reborn bool) {
		b.fillAllBut(1, n)
		b.flaps("killer", 1000, reborn)
		b.submit("killer", tasks(1))
		time.Sleep(60 * time.Second)
		b.is.Equal(b.status("killer"), job.Failed)
		b.is.True(b.startsOf(job.TaskID{Job: "killer"}) <= maxKillerStarts)
	})
}

// fillAllBut fills all but some of n workers for good.
func (b *testCluster) fillAllBut(idle, n int) {
	if n <= idle {
		return
	}
	b.workers.setRunTime(time.Hour)
	s := tasks(n - idle)
	s.Size.Processors, s.Spread, s.Estimate = 4000, 1, time.Hour
	b.submit("full", s)
	time.Sleep(3 * time.Second)
}
