package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// owedTime is how long after its latest crash a long-running task may have no run: until the worker is
// back, and some seconds of calm.
const owedTime = crashTime + 7*time.Second

// Guards against a long-running task that has no run for 20 s beside idle workers, since two of them
// crashed shortly after its starts (rule LOST, review/6/second/pause).
func TestLastingTaskRunsSoonAfterTwoCrashes(t *testing.T) {
	for _, n := range poolSizes {
		for _, age := range []time.Duration{crashDelay, 150 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprintf("%d workers, crash after %v", n, age), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newTestCluster(t, workerNames(n)...)
					defer b.close()
					s := tasks(1)
					s.Lasting = true
					b.crashUnder("one", 2, age)
					b.submit("one", s)
					for b.startsOf(job.TaskID{Job: "one"}) < 2 {
						time.Sleep(10 * time.Millisecond)
					}
					time.Sleep(age + owedTime)
					b.is.Equal(b.workers.atWork("one"), 1)
				})
			})
		}
	}
}

// Guards against a long-running task that crashes worker after worker because it never pauses, and
// against a leader that has it start once more for each change of the leader.
func TestLastingKillerPauses(t *testing.T) {
	for name, change := range map[string]bool{"one leader": false, "changes of the leader": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestCluster(t, workerNames(12)...)
				defer b.close()
				s := tasks(1)
				s.Lasting = true
				b.crashing(func(id job.TaskID) bool { return id.Job == "killer" })
				b.submit("killer", s)
				for term := uint64(2); term < 30; term += 2 {
					time.Sleep(5 * time.Second)
					if change {
						b.log.set(false, term)
						time.Sleep(300 * time.Millisecond)
						b.log.set(true, term+1)
					}
				}
				b.is.True(b.startsOf(job.TaskID{Job: "killer"}) <= maxKillerStarts) // in 70 s
				b.is.Equal(b.status("killer"), job.Running)
			})
		})
	}
}
