package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// acknowledgeTime is the time within which the platform's pages ask for the acknowledgement of an end.
const acknowledgeTime = 4 * time.Second

// endWatch follows the ends that workers list.
type endWatch struct {
	cluster *testCluster
	since   map[string]time.Time // by worker, incarnation and number
	late    map[string]bool      // listed for longer than acknowledgeTime
	total   int
}

// watchEnds follows the ends that begin to be listed from now on, until ctx ends.
func watchEnds(ctx context.Context, b *testCluster) *endWatch {
	e := &endWatch{cluster: b, since: map[string]time.Time{}, late: map[string]bool{}}
	go func() {
		for ctx.Err() == nil {
			e.look()
			sleep(ctx, 20*time.Millisecond)
		}
	}()
	return e
}

// look notes what is listed.
func (e *endWatch) look() {
	h := e.cluster.workers
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, w := range h.all {
		h.endDueRuns(w)
		for _, end := range w.ended {
			key := fmt.Sprintf("%s/%d/%d", name, w.life, end.Number)
			if e.since[key].IsZero() {
				e.since[key] = time.Now()
				e.total++
			}
			if time.Since(e.since[key]) > acknowledgeTime {
				e.late[key] = true
			}
		}
	}
}

// changeLeader has another leader take over at once.
func (b *testCluster) changeLeader(term uint64) {
	b.log.set(false, term)
	time.Sleep(100 * time.Millisecond)
	b.log.set(true, term+1)
	for b.term() == nil || b.term().number != term+1 {
		time.Sleep(10 * time.Millisecond)
	}
}

// submitSteadily submits a job of one task to each of some workers every 250 ms for a time.
func (b *testCluster) submitSteadily(prefix string, workers int, length time.Duration) {
	for end, i := time.Now().Add(length), 0; time.Now().Before(end); i++ {
		b.submit(fmt.Sprint(prefix, i), tasks(workers))
		time.Sleep(250 * time.Millisecond)
	}
}

// Guards against the last end of a worker that is never acknowledged, because its listings end with its runs
// (rule LOST, issue 71).
func TestLastEndIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b", "c")
		defer b.close()
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		e := watchEnds(ctx, b)
		for i := range 3 {
			b.submit(fmt.Sprint("j", i), tasks(3))
			time.Sleep(3 * time.Second)
		}
		time.Sleep(10 * time.Second)
		b.is.Equal(e.total, 9)
		b.is.Equal(len(e.late), 0)
	})
}

// fiveWorkers are the workers of checkEnds.
var fiveWorkers = []string{"a", "b", "c", "d", "e"}

// checkEnds disturbs a cluster of five workers with steady short work, and checks how many of the ends that are
// listed from then on are acknowledged late: most, as one part in so many, or none if it is zero.
func checkEnds(t *testing.T, most int, disturb func(ctx context.Context, b *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, fiveWorkers...)
		defer b.close()
		b.workers.setRunTime(500 * time.Millisecond)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		b.submitSteadily("j", 5, 2*time.Second)
		disturb(ctx, b)
		e := watchEnds(ctx, b)
		b.submitSteadily("k", 5, 6*time.Second)
		time.Sleep(5 * time.Second)
		b.is.True(e.total > 100)
		if most == 0 {
			b.is.Equal(len(e.late), 0)
		} else {
			b.is.True(len(e.late) <= e.total/most)
		}
		for id := range b.jobs() {
			b.is.Equal(b.status(string(id)), job.Completed)
		}
	})
}

// jobs returns the jobs that are known.
func (b *testCluster) jobs() map[job.ID]bool {
	list := map[job.ID]bool{}
	b.state.View(func(v *job.View) {
		for id := range v.Jobs {
			list[id] = true
		}
	})
	return list
}

// changeWorkers changes all workers of checkEnds.
func (b *testCluster) changeWorkers(change func(w *fakeWorker)) {
	for _, name := range fiveWorkers {
		b.changeWorker(name, change)
	}
}

// Guards against a new leader that acknowledges nothing for seconds, since it takes all young runs for ones whose
// start may still arrive (rule LOST, issue 71).
func TestEndsAreAcknowledgedAfterChangesOfTheLeader(t *testing.T) {
	checkEnds(t, 5, func(_ context.Context, b *testCluster) {
		for i := range uint64(3) {
			b.submitSteadily(fmt.Sprint("j", i, "-"), 5, 3*time.Second)
			b.changeLeader(i + 1)
		}
	})
}

// Guards against all ends of a worker that wait because one start, which the worker executed, got no answer (rule
// LOST, issue 71).
func TestEndsAreAcknowledgedBesideAnExecutedStart(t *testing.T) {
	checkEnds(t, 5, func(_ context.Context, b *testCluster) {
		b.changeWorkers(func(w *fakeWorker) { w.dropsAnswers = true })
		b.submit("lost", tasks(5))
		time.Sleep(60 * time.Millisecond)
		b.changeWorkers(func(w *fakeWorker) { w.dropsAnswers = false })
	})
}

// Guards against ends that wait because starts with a ticket, which no other incarnation takes, got no answer (rule
// LOST, issue 71).
func TestEndsAreAcknowledgedBesideALostStartWithATicket(t *testing.T) {
	checkEnds(t, 5, func(ctx context.Context, b *testCluster) {
		b.advise(ctx)
		b.changeWorkers(func(w *fakeWorker) { w.delayedStarts = 1 }) // never carried out
		b.submitTo("/advised/", "lost", tasks(5))
		time.Sleep(300 * time.Millisecond)
	})
}

// Guards against ends that wait for seconds because starts are taken for ones that may arrive late, although the
// lease of the leader lapsed for a moment before they left (rule LOST, issue 71).
func TestEndsAreAcknowledgedAfterStartsThatDidNotLeave(t *testing.T) {
	checkEnds(t, 0, func(_ context.Context, b *testCluster) {
		b.workers.mu.Lock()
		b.workers.onSend = func() { b.log.setLease(-time.Millisecond) }
		b.workers.mu.Unlock()
		b.submit("unsent", tasks(5))
		time.Sleep(50 * time.Millisecond)
		b.workers.mu.Lock()
		b.workers.onSend = nil
		b.workers.mu.Unlock()
		b.log.setLease(time.Second)
	})
}

// Guards against ends that wait behind one that cannot be read and that no metric counts.
func TestEndsBehindAnUnreadOneAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.changeWorker("a", func(w *fakeWorker) { w.unreadEnd = 1 })
		b.submit("one", tasks(4))
		time.Sleep(5 * time.Second)
		b.is.True(b.leader.Unacknowledged(HoldUnread) >= 4)
		b.changeWorker("a", func(w *fakeWorker) { w.unreadEnd = 0 })
		time.Sleep(acknowledgeTime)
		b.is.Equal(b.leader.Unacknowledged(HoldUnread), 0)
		b.is.Equal(len(b.workers.worker("a").ended), 0)
	})
}

// Guards against a worker whose ends are acknowledged although starts of an earlier leader may still arrive, since a
// stray notice of leaving had its record made anew (rule TWICE).
func TestHoldOfAFormerLeaderOutlivesTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		time.Sleep(time.Second)
		current := b.term()
		current.mu.Lock()
		current.inbox.unclear = append(current.inbox.unclear, job.Start{Task: job.TaskID{Job: "forgotten"}, Run: 1, Worker: "a", Life: 1})
		current.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		b.changeLeader(1)
		time.Sleep(200 * time.Millisecond)
		current = b.term()
		held := func() bool {
			current.mu.Lock()
			defer current.mu.Unlock()
			w := current.workers["a"]
			w.lastEnd, w.acknowledged = 1, 1
			return current.holdOf(w) == HoldFormer
		}
		b.is.True(held())
		current.mu.Lock()
		current.removeWorker(current.workers["a"], "the worker left")
		current.mu.Unlock()
		b.report("a", false)
		time.Sleep(100 * time.Millisecond)
		b.is.True(held())
	})
}
