package dispatch

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// list passes a listing of a worker to the leader, as if it had been asked for just now.
func (b *testCluster) list(id string, l Listing) {
	m := b.term()
	m.mu.Lock()
	w := m.workers[id]
	m.mu.Unlock()
	b.workers.mu.Lock()
	fake := b.workers.all[id]
	a := Answer{Result: Accepted, Clock: b.workers.clock(fake), Life: fake.life}
	b.workers.mu.Unlock()
	m.handleListing(w, &ListOrder{}, m.now(), l, a)
}

// Guards against a run that is taken for gone because its row in a listing cannot be read,
// and that starts again beside itself (rule TWICE).
func TestUnreadRowKeepsItsRun(t *testing.T) {
	for _, listed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestCluster(t, "a", "b")
			defer b.close()
			b.workers.setRunTime(time.Minute)
			b.submit("one", tasks(1))
			time.Sleep(time.Second)
			l := Listing{Running: []ListedRun{{Run: Unread}}, Complete: true}
			if listed {
				l.Running = append(l.Running, ListedRun{Task: job.TaskID{Job: "one"}, Run: Unread})
			}
			for _, id := range []string{"a", "b"} {
				b.list(id, l)
			}
			time.Sleep(2 * time.Second)
			b.is.Equal(len(b.workers.started()) == 1, listed) // without the row it is gone
		})
	}
}

// Guards against the end of a run that is never processed, and whose task starts again after it was done,
// because its row could be read only after that of a later end (rule TWICE).
func TestUnreadEndIsProcessedOnceItIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(time.Minute)
		b.submit("one", tasks(2))
		time.Sleep(time.Second)
		first := EndedRun{Number: 1, Task: job.TaskID{Job: "one"}, Run: 1, Outcome: job.Done}
		second := EndedRun{Number: 2, Task: job.TaskID{Job: "one", Index: 1}, Run: 1, Outcome: job.Done}
		b.list("a", Listing{Running: []ListedRun{{Task: first.Task, Run: Unread}}, Ended: []EndedRun{second}, UnreadEnd: 1, Complete: true})
		b.list("a", Listing{Ended: []EndedRun{first, second}, Complete: true})
		time.Sleep(time.Second)
		b.is.Equal(b.status("one"), job.Completed)
		b.is.Equal(len(b.workers.started()), 2)
		w := b.term().workers["a"]
		b.is.Equal(w.acknowledged, int64(2))
	})
}

// Guards against a VM that counts as one that has left because its entry in the platform's
// list cannot be read: its wave would be finished without it (rule MIXED).
func TestUnreadVMHasNotLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWaveCluster(t, "a", "b")
		defer b.close()
		b.vms.change(func() { b.vms.unread = map[string]bool{"vm-a": true, "": true} })
		b.begin(1, 2, time.Second, "a", "b")
		time.Sleep(20 * time.Second)
		b.is.Equal(b.waveState(1), job.Running)
		b.is.Equal(len(b.vms.sent()), 1)
		b.vms.change(func() { b.vms.unread = nil })
		time.Sleep(10 * time.Second)
		b.is.Equal(b.waveState(1), job.Completed)
		b.is.Equal(len(b.vms.sent()), 2)
	})
}

// Guards against a report of another writer that spoils the others of a batch, or that
// registers a worker whose size overflows the sums over all workers.
func TestOddReportSpoilsNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t)
		defer b.close()
		b.restart("a", 1)
		good := cell.Report{Sequence: 1, Clock: time.UnixMilli(1000), Worker: job.Worker{
			ID: "a", Pool: "p", Life: 1, Address: address("a"), Capacity: work.Resources{Processors: 4000, Memory: 16 << 30},
		}}
		list := []cell.Report{good}
		for _, change := range []func(r *cell.Report){
			func(r *cell.Report) { r.Worker.Capacity.Processors = math.MaxInt64 },
			func(r *cell.Report) { r.Worker.Address = address("b"); r.Worker.Life = math.MaxInt64 },
			func(r *cell.Report) { r.Sequence = math.MaxInt64 },
			func(r *cell.Report) { r.Clock = time.UnixMilli(math.MaxInt64) },
			func(r *cell.Report) { r.Worker.Labels = make([]string, 1_000_000) },
		} {
			r := good
			r.Worker.ID = "odd"
			change(&r)
			list = append([]cell.Report{r}, append(list, r)...)
		}
		receipts := b.term().reports(context.Background(), list)
		for i := range list {
			b.is.Equal(receipts.Taken[i], list[i].Worker.ID == "a")
		}
		b.state.View(func(v *job.View) {
			b.is.Equal(len(v.Workers), 1)
			b.is.Equal(v.Workers["a"].Address, address("a"))
		})
		b.submit("one", tasks(1))
		time.Sleep(3 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against an end that a worker forgets although it could not be read: its task would start
// again after it is done (rule TWICE), and against a task that waits for its row for good (rule LOST).
func TestUnreadEndIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(time.Minute)
		b.submit("one", tasks(1))
		time.Sleep(time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.hidesRuns = true })
		one, two := job.TaskID{Job: "one"}, job.TaskID{Job: "two"}
		l := Listing{
			Running: []ListedRun{{Task: one, Run: Unread}}, Ended: []EndedRun{{Number: 2, Task: two, Run: 1, Outcome: job.Done}}, Complete: true, UnreadEnd: 1,
		}
		for range 60 {
			b.list("a", l)
			time.Sleep(100 * time.Millisecond)
		}
		current := b.term()
		current.mu.Lock()
		defer current.mu.Unlock()
		b.is.Equal(current.acknowledgedEnd(current.workers["a"]), int64(0))
		b.state.View(func(v *job.View) {
			_, _, task := v.Find(one)
			b.is.True(task.Run > 1 || task.Worker == "")
		})
	})
}
