package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// nextAnswer is a start that the next incarnation of its worker answers, with a clock only, before the
// leader knows of it.
type nextAnswer struct {
	ahead   time.Duration // of the next incarnation's clock, which reads as the former one's would if zero
	runTime time.Duration // of the tasks
	mute    bool          // the next incarnation is not heard after its answer
	killed  time.Duration // when the leader changes, after the answer; never if zero
}

// play submits a job of two tasks. A second worker has room for them once they have started.
func (n *nextAnswer) play(b *testCluster) {
	b.workers.setRunTime(n.runTime)
	time.Sleep(30 * time.Second)
	b.changeWorker("a", func(w *fakeWorker) { n.ahead += b.workers.clock(w).Sub(time.UnixMilli(1000)) })
	b.restart("a", 2)
	b.changeWorker("a", func(w *fakeWorker) { w.origin, w.anonymous = n.ahead, true })
	b.submit("one", tasks(2))
	time.Sleep(20 * time.Millisecond)
	b.add("b", 1)
	b.changeWorker("a", func(w *fakeWorker) { w.unheard = n.mute })
	if n.killed > 0 {
		time.Sleep(n.killed)
		b.log.set(false, 2)
		time.Sleep(300 * time.Millisecond)
		b.log.set(true, 3)
	}
	time.Sleep(60 * time.Second)
}

// Guards against a task that runs in two places, or again after it was done, because the next
// incarnation of its worker has answered its start, with a clock that does not read less than the
// former one's (rule TWICE, issue 56).
func TestStartAnsweredByTheNextIncarnation(t *testing.T) {
	const long = 12 * time.Second
	for name, n := range map[string]nextAnswer{
		"ahead":           {ahead: time.Minute, runTime: long},
		"ahead-short":     {ahead: time.Minute, runTime: 200 * time.Millisecond},
		"ahead-mute":      {ahead: time.Minute, runTime: long, mute: true},
		"ahead-killed":    {ahead: time.Minute, runTime: long, killed: 50 * time.Millisecond},
		"equal":           {runTime: long},
		"equal-short":     {runTime: 200 * time.Millisecond},
		"equal-mute":      {runTime: long, mute: true},
		"equal-killed":    {runTime: long, killed: 50 * time.Millisecond},
		"equal-mute-late": {runTime: long, mute: true, killed: 5500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestCluster(t, "a")
				defer b.close()
				n.play(b)
				b.is.Equal(b.workers.copied(), "")
				b.is.Equal(b.status("one"), job.Completed)
				if n.runTime < time.Second {
					b.is.Equal(len(b.workers.starts), 2) // each of the tasks once
				}
			})
		})
	}
}

// Guards against a task that runs in two places because a lease without an answer, sent before the start,
// reaches the incarnation that has answered it (rule TWICE, issue 56).
func TestLateLeaseProlongsAnAnsweredStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(time.Minute)
		b.changeWorker("a", func(w *fakeWorker) { w.anonymous = true })
		current, sent := b.term(), time.Now()
		current.mu.Lock()
		current.settleLease(current.workers["a"], sent, Answer{Result: Unanswered})
		current.mu.Unlock()
		time.Sleep(2 * time.Second)
		b.submit("one", tasks(1))
		time.Sleep(20 * time.Millisecond)
		current.mu.Lock()
		defer current.mu.Unlock()
		r := current.runs[job.TaskID{Job: "one"}]
		d := current.doubts["a"]
		d.leases = nil // of the listing that waits for the end of the run
		b.is.Equal(current.overAt(d, r), sent.Add(lateOrderTime+current.longestLease()))
		d.leased = time.Time{}
		b.is.Equal(current.overAt(d, r), r.answeredAt.Add(current.longestLease()))
		earlier := sent.Add(time.Second) // of a listing that was on its way as the run started
		current.settleLease(r.worker, earlier, Answer{Result: Unanswered})
		b.is.Equal(current.overAt(d, r), earlier.Add(lateOrderTime+current.longestLease()))
		granted := sent.Add(lateOrderTime + 3*time.Second)
		d.leased, d.granted = time.Time{}, granted // by another start, to the incarnation that executes this one
		b.is.Equal(current.overAt(d, r), granted.Add(current.longestLease()))
		d.starts[orphan{r.id, r.number}] = doubt{sent: sent.Add(2 * time.Second)}
		b.is.Equal(current.overAt(d, r), granted.Add(current.longestLease()))
	})
}

// Guards against a start that stays in doubt although the known incarnation executes it.
func TestListingProvesStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.changeWorker("a", func(w *fakeWorker) { w.anonymous = true })
		b.submit("one", tasks(3))
		time.Sleep(200 * time.Millisecond)
		for i := range 3 {
			b.is.True(b.unclear(orphan{job.TaskID{Job: "one", Index: i}, 1}))
		}
		time.Sleep(time.Second) // the listing that waits for the first end shows them
		for i := range 3 {
			b.is.True(!b.unclear(orphan{job.TaskID{Job: "one", Index: i}, 1}))
		}
		b.is.Equal(b.status("one"), job.Completed)
	})
}
