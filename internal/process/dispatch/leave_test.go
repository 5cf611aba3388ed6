package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Guards against a notice of leaving that names no incarnation, comes late and ends
// the runs of the incarnation that started since: they went on, and their tasks
// started elsewhere (rule TWICE).
func TestLateLeaveEndsNoNewIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.changeBusyWorker(func(*fakeWorker) {})
		busy := b.busyWorker()
		b.term().leave(&cell.Leave{Worker: busy})
		time.Sleep(5 * time.Second)
		b.is.Equal(b.workers.copied(), "")
		b.is.Equal(len(b.workers.started()), 4)
		b.submit("two", tasks(8))
		time.Sleep(25 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
		b.is.Equal(b.status("two"), job.Running) // on both workers, half of it after the first job
		b.is.Equal(b.workers.worker(busy).peakRuns, 4)
	})
}

// Guards against tasks that wait for the lease of a worker that announced that it
// is leaving and has left.
func TestTasksOfAWorkerThatLeftStartElsewhereAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.changeBusyWorker(func(*fakeWorker) {})
		busy := b.busyWorker()
		b.term().leave(&cell.Leave{Worker: busy})
		b.changeWorker(busy, func(w *fakeWorker) { w.refusesConnections = true })
		time.Sleep(time.Second)
		b.is.Equal(len(b.workers.started()), 8)
	})
}
