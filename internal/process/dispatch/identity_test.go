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

// foreignReport is a report of another writer, with the address of worker a.
func foreignReport(id string, life job.Incarnation) []cell.Report {
	return []cell.Report{{Sequence: 1, Worker: job.Worker{
		ID: id, Pool: "p", Life: life, Address: address("a"), Capacity: work.Resources{Processors: 4000, Memory: 16 << 30},
	}}}
}

// Guards against tasks that run a second time because another writer reported the address of
// their worker, or a later life under its id, while it went on (rule TWICE).
func TestForeignReportEndsNoRun(t *testing.T) {
	for name, id := range map[string]string{"address": "a-x", "id": "a"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestCluster(t, "a", "b")
				defer b.close()
				b.workers.setRunTime(8 * time.Second)
				b.submit("one", tasks(8))
				time.Sleep(time.Second)
				if id != "a" {
					b.restart(id, 0)
					b.changeWorker(id, func(w *fakeWorker) { w.replaced = true }) // it is not there
				}
				b.term().reports(context.Background(), foreignReport(id, 99))
				time.Sleep(12 * time.Second)
				b.is.Equal(b.workers.copied(), "")
				b.is.Equal(len(b.workers.started()), 8)
				b.is.Equal(b.status("one"), job.Completed)
			})
		})
	}
}

// Guards against a worker that is not taken for gone although another one answers at its
// address: it runs nothing and is not polled.
func TestWorkerAtTheAddressOfAnIdleOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.changeWorker("a", func(w *fakeWorker) { w.replaced = true })
		b.add("a-2", 2)
		time.Sleep(100 * time.Millisecond)
		term := b.term()
		term.mu.Lock()
		former, now := term.workers["a"], term.workers["a-2"]
		term.mu.Unlock()
		b.is.True(former == nil)
		b.is.True(now != nil)
	})
}

// Guards against starts to a worker whose next incarnation has reported itself: the listing that
// identifies it breaks with a connection to the former one, and was not repeated (rule TWICE, issue 56).
func TestClaimIsCheckedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.restart("a", 2)
		b.changeWorker("a", func(w *fakeWorker) { w.keptConnections = 2 })
		b.report("a", false)
		time.Sleep(200 * time.Millisecond)
		current := b.term()
		current.mu.Lock()
		defer current.mu.Unlock()
		b.is.Equal(current.workers["a"].Life, job.Incarnation(2))
	})
}

// Guards against a report of the next incarnation that is dropped, since another answer of that incarnation has the
// known one removed while the report is checked: the worker then gets no work before its next report (rule LOST).
func TestClaimOutlivesTheWorkerThatItReplaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		time.Sleep(2 * time.Second)
		b.restart("a", 2)
		b.report("a", false) // the answer to the check comes 2 ms later
		time.Sleep(time.Millisecond)
		current := b.term()
		current.mu.Lock()
		current.handleAnswer(current.workers["a"], Answer{Result: Accepted, Life: 2}, current.now())
		removed := current.workers["a"] == nil
		current.mu.Unlock()
		b.is.True(removed)
		time.Sleep(10 * time.Millisecond)
		current.mu.Lock()
		defer current.mu.Unlock()
		b.is.True(current.workers["a"] != nil)
		b.is.Equal(current.workers["a"].Life, job.Incarnation(2))
	})
}
