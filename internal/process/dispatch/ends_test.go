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

// Guards against a new leader that acknowledges nothing for seconds, since it takes all young runs for ones whose
// start may still arrive (rule LOST, issue 71).
func TestEndsAreAcknowledgedAfterChangesOfTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b", "c", "d", "e")
		defer b.close()
		b.workers.setRunTime(500 * time.Millisecond)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		term := uint64(1)
		for i := range 3 {
			b.submitSteadily(fmt.Sprint("j", i, "-"), 5, 3*time.Second)
			b.changeLeader(term)
			term++
		}
		e := watchEnds(ctx, b)
		b.submitSteadily("k", 5, 6*time.Second)
		time.Sleep(5 * time.Second)
		b.is.True(e.total > 100)
		b.is.True(len(e.late) <= e.total/5)
	})
}

// Guards against all ends of a worker that wait because one start, which the worker executed, got no answer (rule
// LOST, issue 71).
func TestEndsAreAcknowledgedBesideAnExecutedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b", "c", "d", "e")
		defer b.close()
		b.workers.setRunTime(500 * time.Millisecond)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		b.submitSteadily("j", 5, 2*time.Second)
		drop := func(drops bool) {
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				b.changeWorker(name, func(w *fakeWorker) { w.dropsAnswers = drops })
			}
		}
		drop(true)
		b.submit("lost", tasks(5))
		time.Sleep(60 * time.Millisecond)
		drop(false)
		e := watchEnds(ctx, b)
		b.submitSteadily("k", 5, 6*time.Second)
		time.Sleep(5 * time.Second)
		b.is.True(e.total > 100)
		b.is.True(len(e.late) <= e.total/5)
		b.is.Equal(b.status("lost"), job.Completed)
	})
}

// Guards against ends that wait because starts with a ticket, which no other incarnation takes, got no answer (rule
// LOST, issue 71).
func TestEndsAreAcknowledgedBesideALostStartWithATicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b", "c", "d", "e")
		defer b.close()
		b.workers.setRunTime(500 * time.Millisecond)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		b.advise(ctx)
		b.submitSteadily("j", 5, 2*time.Second)
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			b.changeWorker(name, func(w *fakeWorker) { w.delayedStarts = 1 }) // never carried out
		}
		b.submitTo("/advised/", "lost", tasks(5))
		time.Sleep(300 * time.Millisecond)
		e := watchEnds(ctx, b)
		b.submitSteadily("k", 5, 6*time.Second)
		time.Sleep(5 * time.Second)
		b.is.True(e.total > 100)
		b.is.True(len(e.late) <= e.total/5)
		b.is.Equal(b.status("lost"), job.Completed)
	})
}

// Guards against a ticket that counts as one of the incarnation that the leader knows, though the next one was up
// when it was issued, and executes the start (rule TWICE).
func TestTicketOfAnIncarnationThatIsNotKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		b.workers.setRunTime(15 * time.Second)
		b.advise(ctx)
		time.Sleep(2 * time.Second)
		b.restart("a", 2)
		b.changeWorker("a", func(w *fakeWorker) { w.delaysStarts, w.hidesRuns = true, true }) // the advice is about this one
		b.submitTo("/advised/", "one", tasks(1))
		time.Sleep(400 * time.Millisecond)
		b.changeWorker("a", func(w *fakeWorker) { w.unheard = true })
		b.workers.carryOutLate("a")
		b.is.Equal(b.workers.startsOn("a"), 1)
		b.add("b", 1)
		time.Sleep(40 * time.Second)
		b.is.Equal(b.workers.copied(), "")
	})
}

// Guards against a next leader that takes a start of which two copies were sent for one that has arrived, because
// a listing shows its run (rule TWICE).
func TestSecondCopyIsKnownToTheNextLeader(t *testing.T) {
	for _, soon := range []time.Duration{90 * time.Millisecond, 105 * time.Millisecond, 130 * time.Millisecond, 200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestCluster(t, "a")
			defer b.close()
			b.workers.setRunTime(3 * time.Second)
			time.Sleep(2 * time.Second)
			b.changeWorker("a", func(w *fakeWorker) { w.delayedStarts, w.dropsAnswers, w.hidesRuns = 1, true, true })
			b.submit("one", tasks(1))
			time.Sleep(soon) // the first copy is held up, the second one executed, or not yet sent
			b.log.set(false, 2)
			b.changeWorker("a", func(w *fakeWorker) { w.dropsAnswers, w.hidesRuns = false, false })
			time.Sleep(100 * time.Millisecond)
			b.log.set(true, 3)
			time.Sleep(8 * time.Second)
			b.is.Equal(len(b.workers.worker("a").late), 1)
			b.is.True(len(b.workers.worker("a").ended) > 0) // the next incarnation may execute the first copy
			b.changeWorker("a", func(w *fakeWorker) { w.late = nil })
			time.Sleep(20 * time.Second)
			b.is.Equal(len(b.workers.worker("a").ended), 0)
			b.is.Equal(b.status("one"), job.Completed)
		})
	}
}

// Guards against a start whose ticket counts as bound to the known incarnation by a listing that was sent before the
// ticket was issued, when the next one may not have been up yet (rule TWICE).
func TestTicketNeedsALaterProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		time.Sleep(time.Second)
		current := b.term()
		key := orphan{job.TaskID{Job: "one"}, 1}
		current.mu.Lock()
		w := current.workers["a"]
		d := current.doubtsAbout("a", w.Life)
		current.addDoubt(d, key, current.now())
		current.setTicket(d, key, current.now())
		current.mu.Unlock()
		for _, c := range []struct {
			after time.Duration // of the listing, from the ticket on
			open  int
		}{{-time.Second, 1}, {0, 1}, {time.Millisecond, 0}} {
			sent := d.starts[key].ticketAt.Add(c.after)
			current.handleListing(w, &ListOrder{Fence: current.fence(w)}, sent, Listing{Complete: true}, Answer{Result: Accepted, Life: w.Life, Clock: w.clockReading})
			b.is.Equal(len(d.starts), c.open)
		}
	})
}

// Guards against ends that wait for seconds because starts are taken for ones that may arrive late, although the
// lease of the leader lapsed for a moment before they left (rule LOST, issue 71).
func TestEndsAreAcknowledgedAfterStartsThatDidNotLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b", "c", "d", "e")
		defer b.close()
		b.workers.setRunTime(500 * time.Millisecond)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		b.submitSteadily("j", 5, 2*time.Second)
		b.workers.mu.Lock()
		b.workers.onSend = func() { b.log.setLease(-time.Millisecond) }
		b.workers.mu.Unlock()
		b.submit("unsent", tasks(5))
		time.Sleep(50 * time.Millisecond)
		b.workers.mu.Lock()
		b.workers.onSend = nil
		b.workers.mu.Unlock()
		b.log.setLease(time.Second)
		e := watchEnds(ctx, b)
		b.submitSteadily("k", 5, 6*time.Second)
		time.Sleep(5 * time.Second)
		b.is.True(e.total > 100)
		b.is.Equal(len(e.late), 0)
		b.is.Equal(b.status("unsent"), job.Completed)
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

// Guards against a next leader that does not know of a start with copies on their way, since the mark of its worker
// was cleared with another start: a further copy let this leader forget that the start was noted (rule TWICE).
func TestFurtherCopiesStayNoted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		time.Sleep(time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.delaysStarts = true })
		b.submit("one", tasks(1))
		time.Sleep(200 * time.Millisecond) // several copies, none of which arrives
		current := b.term()
		current.mu.Lock()
		defer current.mu.Unlock()
		d := current.doubts["a"]
		b.is.Equal(len(d.starts), 1)
		b.is.Equal(len(current.noted["a"]), 1)
		other := orphan{job.TaskID{Job: "two"}, 1}
		current.addDoubt(d, other, current.now())
		current.noted.add("a", other)
		current.dropDoubt(d, other)
		b.is.Equal(len(current.dropReplaced(current.inbox.replaced)), 0)
	})
}

// Guards against a start whose ticket was for the next incarnation, and that counts as settled as soon as this one is known,
// although it executes the run (rule TWICE).
func TestTicketOfAnOrphanSettlesNothing(t *testing.T) {
	for _, full := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestCluster(t, "a")
			defer b.close()
			time.Sleep(time.Second)
			current := b.term()
			key := orphan{job.TaskID{Job: "one"}, 1}
			current.mu.Lock()
			w := current.workers["a"]
			d := current.doubtsAbout("a", w.Life)
			current.addDoubt(d, key, current.now())
			current.setTicket(d, key, current.now())
			sent := current.now().Add(time.Millisecond)
			current.mu.Unlock()
			l := Listing{Complete: full}
			if full {
				l.Running = []ListedRun{{Task: key.task, Run: 1}}
			}
			answer := Answer{Result: Accepted, Life: w.Life, Clock: w.clockReading}
			current.handleListing(w, &ListOrder{Fence: current.fence(w)}, sent, l, answer)
			b.is.Equal(len(d.starts), 1)
			time.Sleep(2 * time.Second) // its stop is confirmed, and the worker lists nothing
			current.handleListing(w, &ListOrder{Fence: current.fence(w)}, current.now(), Listing{Complete: true}, answer)
			b.is.Equal(len(d.starts), 0)
		})
	}
}
