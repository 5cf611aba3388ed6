package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

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
