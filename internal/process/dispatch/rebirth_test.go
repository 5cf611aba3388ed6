package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

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

// Guards against a long-running task that is without a run for as long as an order may be late,
// because its worker went down with the start.
func TestLastingTaskWaitsForPromptCopiesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(time.Minute)
		b.changeWorker("a", func(w *fakeWorker) { w.silent = true })
		b.submit("one", job.Step{Count: 1, Size: work.Resources{Processors: 1000, Memory: 1 << 30}, Lasting: true})
		time.Sleep(50 * time.Millisecond)
		b.add("b", 1)
		time.Sleep(8500 * time.Millisecond)
		b.is.Equal(len(b.workers.worker("b").running), 1)
	})
}

// Guards against a task that runs in two places because the next leader gives up a run that its
// predecessor kept for an incarnation that had not reported itself: the worker is no longer in
// the replicated state (rule TWICE, issue 41).
func TestNextTermKeepsRunsOfARemovedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(12 * time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.delaysStarts = true })
		b.submit("one", tasks(1))
		time.Sleep(50 * time.Millisecond)
		b.add("b", 1)
		time.Sleep(time.Second)
		current := b.term()
		current.mu.Lock()
		current.removeWorker(current.workers["a"], "the worker left")
		current.mu.Unlock()
		var late []StartOrder
		b.changeWorker("a", func(w *fakeWorker) { late = w.late })
		b.restart("a", 2)
		b.changeWorker("a", func(w *fakeWorker) { w.silent, w.late = true, late })
		time.Sleep(time.Second)
		b.log.set(false, 2)
		time.Sleep(300 * time.Millisecond)
		b.log.set(true, 3)
		time.Sleep(3 * time.Second)
		b.workers.carryOutLate("a")
		time.Sleep(40 * time.Second)
		b.is.Equal(b.workers.copied(), "")
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against an answer of the next incarnation that is taken for one of the former one: answers to
// starts state a clock only, which proves nothing.
func TestAnswerProvesItsIncarnation(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	clock := func(d time.Duration) time.Time { return time.UnixMilli(1000).Add(d) }
	w := newWorker(job.Worker{ID: "a", Life: 7}, began)
	w.updateClock(clock(3*time.Second), began)
	is.True(w.proves(Answer{Result: Accepted, Life: 7}))
	is.True(!w.proves(Answer{Result: Accepted, Life: 8}))
	is.True(!w.proves(Answer{Result: Accepted, Clock: clock(3 * time.Second)}))
	for _, c := range []struct {
		clock time.Duration
		sent  time.Duration
		want  bool
	}{
		{clock: 5 * time.Second, sent: 2 * time.Second, want: true},
		{clock: time.Minute, sent: 2 * time.Second},                                       // of the next one, which starts with any reading
		{clock: 3*time.Second + 1960*time.Millisecond, sent: 2 * time.Second, want: true}, // 2% slow
		{clock: 3 * time.Second, sent: 2 * time.Second},                                   // of the next one, 2 s younger
		{clock: 2900 * time.Millisecond, sent: -100 * time.Millisecond, want: true},       // overtaken
		{clock: 200 * time.Millisecond, sent: -100 * time.Millisecond},
	} {
		a := Answer{Result: Accepted, Clock: clock(c.clock)}
		is.Equal(w.fits(a, began.Add(c.sent), began.Add(max(0, c.sent))), c.want)
	}
	is.True(!w.fits(Answer{Result: Accepted}, began, began)) // states nothing
}

// Guards against a task that runs again after it was done: a listing that was sent to the former
// incarnation of its worker arrives late and has the present one forget an end that the leader has
// not seen (rule TWICE, issue 41).
func TestLateListingOfTheFormerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.submit("one", tasks(3))
		time.Sleep(3 * time.Second)
		b.submit("two", tasks(1))
		time.Sleep(3 * time.Second)
		late := b.workers.worker("a").lastListing
		b.is.True(late.Acknowledged >= 3)
		b.add("a", 2)
		time.Sleep(time.Second)
		b.submit("three", tasks(1))
		time.Sleep(500 * time.Millisecond)
		b.changeWorker("a", func(w *fakeWorker) { w.hidesRuns = true })
		time.Sleep(time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.hidesRuns = false })
		b.workers.list("a", late, true)
		time.Sleep(5 * time.Second)
		b.is.Equal(len(b.workers.starts), 5)
		b.is.Equal(b.status("three"), job.Completed)
	})
}

// Guards against an acknowledged end of a task that runs again: a copy of its start without an answer
// arrives at the next incarnation of its worker. The end is acknowledged only once no copy can
// arrive, and the worker forgets it then (rule TWICE, issue 41).
func TestEndIsNotAcknowledgedBeforeAllCopiesAreSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		time.Sleep(30 * time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.delayedStarts = 1 })
		b.submit("one", tasks(1))
		time.Sleep(3 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
		b.submit("two", tasks(1))
		time.Sleep(9 * time.Second)
		b.is.Equal(b.status("two"), job.Completed)
		b.is.Equal(len(b.workers.worker("a").ended), 2)
		time.Sleep(2 * time.Second)
		b.is.Equal(len(b.workers.worker("a").ended), 0)
	})
}

// Guards against a task that waits anew with each change of the leader, since listings to a worker
// that is gone count as leases that it was sent (rule LOST, day mix of bellerive-crates, seed
// 670143447148).
func TestWaitDoesNotGrowWithTheNextLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.changeWorker("a", func(w *fakeWorker) { w.silent = true })
		b.submit("one", tasks(1))
		time.Sleep(50 * time.Millisecond)
		b.add("b", 1)
		time.Sleep(18 * time.Second)
		b.submit("two", tasks(1)) // the state knows how much time has passed
		time.Sleep(time.Second)
		b.log.set(false, 2)
		time.Sleep(300 * time.Millisecond)
		b.log.set(true, 3)
		time.Sleep(10 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
	})
}
