package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Guards against a task that starts although it has failed as often as its queue allows now,
// because it waited when the number was lowered, in place or while the queue was away, and
// against one that is given up by a number that is no longer in force (rule BUDGET).
func TestAttemptsInForceBoundTheStarts(t *testing.T) {
	for name, steps := range map[string][]int{"lowered": {4, 2}, "away between": {4, -1, 2}, "raised": {4, 8}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestCluster(t, "a")
				defer b.close()
				version := uint64(1)
				set := func(attempts int) {
					version++
					var c job.Catalogue
					b.state.View(func(v *job.View) { c = *v.Catalogue })
					c.Version, c.Queues = version, nil
					if attempts >= 0 {
						c.Queues = []job.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Priority: 1, Attempts: attempts, Stretch: 4, Target: 3 * time.Second}}
					}
					_, ok := b.term().apply(context.Background(), &c)
					b.is.True(ok)
				}
				set(steps[0])
				b.changeWorker("a", func(w *fakeWorker) { w.fails = true })
				b.submit("one", tasks(1))
				for len(b.workers.started()) < 2 {
					time.Sleep(10 * time.Millisecond)
				}
				b.changeWorker("a", func(w *fakeWorker) { w.full = true })
				time.Sleep(time.Second)
				for _, n := range steps[1:] {
					set(n)
					time.Sleep(time.Second)
				}
				b.changeWorker("a", func(w *fakeWorker) { w.full, w.fails = false, false })
				time.Sleep(20 * time.Second)
				if name == "raised" {
					b.is.Equal(b.status("one"), job.Completed)
					b.is.Equal(len(b.workers.started()), 3)
					return
				}
				b.is.Equal(b.status("one"), job.Failed)
				b.is.Equal(len(b.workers.started()), 2)
			})
		})
	}
}
