package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// limit installs a catalogue in which the workspace may use some processors.
func (b *testCluster) limit(processors int64) {
	b.is.Helper()
	b.setWorkspaces(job.Workspace{Name: "depot", Keys: []string{"k"}, Limit: work.Resources{Processors: processors}})
}

// setWorkspaces installs a catalogue with these workspaces only.
func (b *testCluster) setWorkspaces(list ...job.Workspace) {
	b.is.Helper()
	var c job.Catalogue
	b.state.View(func(v *job.View) { c = *v.Catalogue })
	c.Version++
	c.Workspaces = list
	v, ok := b.term().apply(context.Background(), &c)
	b.is.True(ok)
	b.is.Equal(v.Code, cell.OK)
}

// running returns the number of runs on all workers.
func (b *testCluster) running() int {
	b.workers.mu.Lock()
	defer b.workers.mu.Unlock()
	n := 0
	for _, w := range b.workers.all {
		n += len(w.running)
	}
	return n
}

// copies starts four tasks that may run in copies, under a limit of four, and cuts
// their worker off.
func (b *testCluster) copies() (cut string) {
	b.limit(4000)
	b.workers.setRunTime(20 * time.Second)
	s := tasks(4)
	s.Copies, s.Estimate = true, b.workers.runTime
	b.submit("one", s)
	time.Sleep(time.Second)
	cut = b.busyWorker()
	b.changeWorker(cut, func(w *fakeWorker) { w.silent = true })
	return cut
}

// Guards against a workspace that exceeds its limit because runs that were given up
// on a silent worker are no longer counted while they go on (rule QUOTA).
func TestGivenUpRunsCountAgainstTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.copies()
		for range 25 {
			time.Sleep(100 * time.Millisecond)
			b.is.True(b.running() <= 4)
		}
	})
}

// Guards against a new leader that does not know of the runs that the former one
// gave up, and lets their workspace exceed its limit (rule QUOTA).
func TestNextTermCountsGivenUpRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.copies()
		time.Sleep(900 * time.Millisecond) // given up
		b.log.set(false, 2)
		time.Sleep(100 * time.Millisecond)
		b.log.set(true, 3)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			b.is.True(b.running() <= 4)
		}
	})
}

// Guards against a worker without runs that is never looked at again, because the
// process that should have passed on the first listing of it did not: it got no
// tasks, and what an earlier leader had started there went on (rule UNASKED).
func TestLostFirstListingIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.changeWorker("a", func(w *fakeWorker) { w.loses = true })
		b.log.set(false, 2)
		time.Sleep(100 * time.Millisecond)
		b.log.set(true, 3)
		time.Sleep(200 * time.Millisecond)
		b.changeWorker("a", func(w *fakeWorker) {
			w.loses = false
			w.running[job.TaskID{Job: "forgotten"}] = &fakeRun{run: 1, began: time.Now(), ends: time.Now().Add(time.Minute)}
			w.lease = b.workers.clock(w).Add(time.Minute)
		})
		time.Sleep(3 * time.Second)
		b.is.Equal(b.running(), 0)
		b.submit("one", tasks(2))
		time.Sleep(3 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against a workspace without any limit for its remaining jobs once the
// catalogue no longer contains it (rule QUOTA).
func TestRemovedWorkspaceKeepsItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.limit(2000)
		b.submit("one", tasks(8))
		time.Sleep(300 * time.Millisecond)
		b.setWorkspaces()
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			b.is.True(b.running() <= 2)
		}
		time.Sleep(4 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
	})
}
