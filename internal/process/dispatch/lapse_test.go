package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// lapse lets the leader's lease end and regains it later, within the same term.
func (b *testCluster) lapse(d time.Duration) {
	b.log.setLease(-time.Millisecond)
	time.Sleep(d)
	b.log.setLease(time.Second)
}

func (b *testCluster) cancel(id string) {
	b.is.Helper()
	v, ok := b.term().call(context.Background(), &cell.Call{Verb: cell.Cancel, Host: "h", Path: "/q/" + id, Key: "k"})
	b.is.True(ok)
	b.is.Equal(v.Code, cell.OK)
}

// Guards against a run of a cancelled job that goes on because its stop was
// dropped while the leader had no lease for a moment (rule UNASKED).
func TestStopOutlivesALapseOfTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(time.Minute)
		b.submit("one", tasks(3))
		time.Sleep(time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.silent = true })
		b.cancel("one")
		time.Sleep(100 * time.Millisecond)
		b.lapse(350 * time.Millisecond)
		b.changeWorker("a", func(w *fakeWorker) { w.silent = false })
		time.Sleep(1500 * time.Millisecond)
		b.is.Equal(len(b.workers.worker("a").running), 0)
	})
}

// Guards against a task that waits for good because its start was dropped while
// the leader had no lease for a moment (rule LOST).
func TestStartOutlivesALapseOfTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.changeWorker("a", func(w *fakeWorker) { w.refusesConnections = true })
		b.submit("one", tasks(3))
		time.Sleep(100 * time.Millisecond)
		b.lapse(350 * time.Millisecond)
		b.changeWorker("a", func(w *fakeWorker) { w.refusesConnections = false })
		time.Sleep(5 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against a long-running task that waits as a suspect, after the other work, though the worker of its
// last run was only cut off and has answered since (rule LOST, day recut, seed 12).
func TestTaskOfAWorkerThatWasCutOffIsNoSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(time.Minute)
		lasting := tasks(1)
		lasting.Lasting = true
		b.submit("one", lasting)
		time.Sleep(100 * time.Millisecond)
		b.changeWorker("a", func(w *fakeWorker) { w.silent = true })
		time.Sleep(7 * time.Second)
		suspect := func() (suspect bool) {
			b.state.View(func(v *job.View) {
				record, o, task := v.Find(job.TaskID{Job: "one"})
				suspect = o.Steps[0].NeedsTrial(&record.Job.Steps[0], task)
			})
			return suspect
		}
		b.is.True(suspect()) // the worker may have crashed
		b.changeWorker("a", func(w *fakeWorker) { w.silent = false })
		time.Sleep(2 * time.Second)
		b.is.True(!suspect())
	})
}
