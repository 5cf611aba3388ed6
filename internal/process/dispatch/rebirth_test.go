package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// rebirth is a start without an answer whose worker starts again under its ID, not heard
// by the leader, and carries the start out.
type rebirth struct {
	unanswered int           // copies of the start that get no answer
	crash      time.Duration // from the submission on; the next incarnation runs at once
	arrives    time.Duration // when the next incarnation carries the copies out
	heard      time.Duration // when the next incarnation reports itself; never if zero
	killed     time.Duration // when the leader changes; never if zero
}

// play submits a job of one task of 12 s to a worker and plays the rebirth. A second worker
// has room for the task.
func (r *rebirth) play(b *testCluster, s job.Step) {
	b.workers.setRunTime(12 * time.Second)
	time.Sleep(30 * time.Second)
	b.changeWorker("a", func(w *fakeWorker) { w.delayedStarts = r.unanswered })
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	b.submit("one", s)
	time.Sleep(50 * time.Millisecond)
	b.add("b", 1)
	change := func() {
		if r.killed == 0 {
			return
		}
		at(r.killed)
		b.log.set(false, 2)
		time.Sleep(300 * time.Millisecond)
		b.log.set(true, 3)
	}
	if r.killed < r.crash {
		change()
	}
	at(r.crash)
	var late []StartOrder
	b.changeWorker("a", func(w *fakeWorker) { late = w.late })
	b.restart("a", 2)
	b.changeWorker("a", func(w *fakeWorker) { w.silent, w.late = true, late })
	if r.killed >= r.crash && r.killed < r.arrives {
		change()
	}
	at(r.arrives)
	b.workers.carryOutLate("a")
	if r.killed >= r.arrives {
		change()
	}
	if r.heard > 0 {
		at(r.heard)
		b.changeWorker("a", func(w *fakeWorker) { w.silent = false })
		b.report("a", false)
	}
	at(70 * time.Second)
}

// Guards against a task that runs in two places because the next incarnation of its worker,
// of which the leader does not hear, carries out a start that was sent to the former one
// (rule TWICE, issue 41).
func TestStartOnAnIncarnationThatIsNotHeard(t *testing.T) {
	const all = 1000
	for _, r := range []rebirth{
		{unanswered: all, crash: 400 * time.Millisecond, arrives: 800 * time.Millisecond},
		{unanswered: all, crash: 400 * time.Millisecond, arrives: 800 * time.Millisecond, heard: 6 * time.Second},
		{unanswered: all, crash: 400 * time.Millisecond, arrives: 800 * time.Millisecond, killed: 600 * time.Millisecond},
		{unanswered: all, crash: 400 * time.Millisecond, arrives: 800 * time.Millisecond, killed: 2 * time.Second},
		{unanswered: all, crash: 400 * time.Millisecond, arrives: 8 * time.Second},
		{unanswered: all, crash: 400 * time.Millisecond, arrives: 8 * time.Second, killed: 3 * time.Second},
		{unanswered: all, crash: 400 * time.Millisecond, arrives: 12 * time.Second},
		{unanswered: all, crash: 400 * time.Millisecond, arrives: 12 * time.Second, killed: 9 * time.Second},
		{unanswered: 1, crash: 1500 * time.Millisecond, arrives: 8 * time.Second, heard: 11 * time.Second},
		{unanswered: 1, crash: 1500 * time.Millisecond, arrives: 8 * time.Second, heard: 11 * time.Second, killed: time.Second},
		{unanswered: 1, crash: 1500 * time.Millisecond, arrives: 8 * time.Second, killed: 3 * time.Second},
	} {
		t.Run(fmt.Sprintf("%+v", r), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestCluster(t, "a")
				defer b.close()
				r.play(b, job.Step{Count: 1, Size: work.Resources{Processors: 1000, Memory: 1 << 30}, Estimate: 12 * time.Second})
				b.is.Equal(b.workers.copied(), "")
				b.is.Equal(b.status("one"), job.Completed)
			})
		})
	}
}
