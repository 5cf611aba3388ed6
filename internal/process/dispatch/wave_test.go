package dispatch

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// fakeVMs is a fake of the platform's VMs. The worker NAME runs on the VM vm-NAME,
// under a new ID after the maintenance.
type fakeVMs struct {
	cluster *testCluster

	mu           sync.Mutex
	vms          map[string]*fakeVM
	lists        int
	fails        bool // lists nothing
	loses        bool // does not carry out orders, and answers none
	dropsAnswers bool // carries out orders, but answers none
	peakDown     int
	tasks        int // of the job "service"
	peakAway     int // of these
	afterList    func()
	orders       []fakeOrder
	problem      string
	unread       map[string]bool // VMs whose entries cannot be read
}

type fakeVM struct {
	worker string
	down   bool
	done   map[int64]bool // waves whose maintenance was carried out
}

type fakeOrder struct {
	vm string
	at time.Time
	of uint64
}

func newFakeVMs(b *testCluster) *fakeVMs { return &fakeVMs{cluster: b, vms: map[string]*fakeVM{}} }

func (f *fakeVMs) add(workers ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range workers {
		f.vms["vm-"+id] = &fakeVM{worker: id, done: map[int64]bool{}}
	}
}

func (f *fakeVMs) change(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// sent returns the orders so far.
func (f *fakeVMs) sent() []fakeOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.orders)
}

func (f *fakeVMs) List(context.Context) ([]VM, error) {
	time.Sleep(3 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	if f.afterList != nil {
		time.AfterFunc(time.Millisecond, f.afterList)
		f.afterList = nil
	}
	if f.fails {
		return nil, errors.New("not available")
	}
	var list []VM
	for name, m := range f.vms {
		if !f.unread[name] {
			list = append(list, VM{Name: name, Worker: m.worker, Up: !m.down})
		}
	}
	for name := range f.unread {
		list = append(list, VM{Name: name, Unread: true})
	}
	return list, nil
}

func (f *fakeVMs) Maintain(p Permit, o MaintenanceOrder) error {
	time.Sleep(3 * time.Millisecond)
	if !p.Valid() {
		return errors.New("not sent")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.vms[o.VM]
	f.orders = append(f.orders, fakeOrder{o.VM, time.Now(), o.Fence})
	switch {
	case m == nil:
		return errors.New("no such VM")
	case f.loses:
		return errors.New("no answer")
	case m.done[o.Wave]:
		return nil
	case m.down:
		return errors.New("busy")
	}
	m.done[o.Wave], m.down = true, true
	f.end(m)
	if f.dropsAnswers {
		return errors.New("no answer")
	}
	return nil
}

// end ends the worker on a VM and brings up another one after the maintenance.
func (f *fakeVMs) end(m *fakeVM) {
	b, down := f.cluster, 0
	for _, other := range f.vms {
		if other.down {
			down++
		}
	}
	f.peakDown = max(f.peakDown, down)
	b.workers.mu.Lock()
	w := b.workers.all[m.worker]
	w.refusesConnections = true
	clear(w.running)
	f.peakAway = max(f.peakAway, f.tasks-b.workers.atWork("service"))
	b.workers.mu.Unlock()
	next := m.worker + "'"
	time.AfterFunc(2*time.Second, func() {
		b.add(next, 1)
		f.change(func() { m.worker, m.down = next, false })
	})
}

// atWork returns the number of tasks of a job that run anywhere.
func (h *fakeWorkers) atWork(id job.ID) int {
	n := 0
	for _, w := range h.all {
		h.endDueRuns(w)
		for task := range w.running {
			if task.Job == id {
				n++
			}
		}
	}
	return n
}

// begin starts a wave over the VMs of the named workers.
func (b *testCluster) begin(number int64, limit int, due time.Duration, workers ...string) {
	b.is.Helper()
	w := &job.Wave{Number: number, Limit: limit, Deadline: time.Now().Add(due)}
	for _, id := range workers {
		w.VMs = append(w.VMs, "vm-"+id)
	}
	v, ok := b.term().addWave(context.Background(), w)
	b.is.True(ok)
	b.is.Equal(v.Code, cell.OK)
}

func (b *testCluster) waveState(number int64) job.Status {
	b.is.Helper()
	v := b.term().waveState(number)
	b.is.Equal(v.Code, cell.OK)
	return v.State
}

func newWaveCluster(t *testing.T, workers ...string) *testCluster {
	b := newTestCluster(t, workers...)
	b.vms.add(workers...)
	b.vms.tasks = 4
	time.Sleep(5 * time.Second) // the term is older than a holder's lease
	return b
}

// Guards against a wave that exceeds its limit, is shown as completed before all have
// begun, loses work that it has time to save, or goes on asking for the VMs afterwards.
func TestWaveTakesAllVMsDownWithinItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWaveCluster(t, "a", "b", "c", "d")
		defer b.close()
		b.is.Equal(b.vms.lists, 0) // no wave is open
		b.workers.runTime = 4 * time.Second
		b.submit("one", tasks(8))
		time.Sleep(time.Second)
		b.begin(1, 2, time.Minute, "a", "b", "c", "d", "unknown")
		b.is.Equal(b.waveState(1), job.Running)
		for range 60 {
			b.begin(1, 4, 0, "a", "b", "c", "d") // sent again
			finished := b.waveState(1) == job.Completed
			b.vms.change(func() {
				for name, m := range b.vms.vms {
					if finished && !m.done[1] {
						b.vms.problem = name + " has not begun"
					}
				}
			})
			time.Sleep(500 * time.Millisecond)
		}
		b.is.Equal(b.waveState(1), job.Completed)
		b.is.Equal(b.vms.problem, "")
		b.is.Equal(b.vms.peakDown, 2)
		b.is.Equal(b.status("one"), job.Completed)
		b.is.Equal(len(b.workers.started()), 8) // each once
		b.is.Equal(b.term().waveState(2).Code, cell.NoJob)
		lists := b.vms.lists
		time.Sleep(10 * time.Second)
		b.is.Equal(b.vms.lists, lists)
		b.submit("two", tasks(16))
		time.Sleep(6 * time.Second)
		b.is.Equal(b.status("two"), job.Completed) // nobody is cordoned any more
	})
}

// Guards against a long-running step with more tasks away than its allowance, by
// orders that are repeated and by those that were carried out without an answer.
func TestWaveKeepsLongRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWaveCluster(t, "a", "b", "c")
		defer b.close()
		b.workers.runTime, b.workers.serving = time.Hour, true
		s := tasks(4)
		s.Lasting, s.Allowance, s.Size.Processors = true, 2, 2000
		b.submit("service", s)
		time.Sleep(3 * time.Second)
		b.begin(1, 3, -time.Second, "a", "b", "c")
		b.vms.change(func() { b.vms.dropsAnswers = true })
		time.Sleep(3 * time.Second)
		b.vms.change(func() { b.vms.dropsAnswers, b.vms.loses = false, true })
		time.Sleep(3 * time.Second)
		b.vms.change(func() { b.vms.loses = false })
		time.Sleep(40 * time.Second)
		b.is.Equal(b.waveState(1), job.Completed)
		b.is.True(b.vms.peakAway <= 2)
		b.is.Equal(b.workers.copied(), "")
		b.workers.mu.Lock()
		defer b.workers.mu.Unlock()
		b.is.Equal(b.workers.atWork("service"), 4)
	})
}

// Guards against an order that was right when it was decided, and ends a long-running
// task after another one of its step has failed.
func TestOrderIsCheckedAfterItsCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWaveCluster(t, "a", "b")
		defer b.close()
		b.workers.runTime, b.workers.serving, b.vms.tasks = time.Hour, true, 2
		s := tasks(2)
		s.Lasting, s.Allowance, s.Size.Processors = true, 1, 4000
		b.submit("service", s)
		time.Sleep(3 * time.Second)
		b.vms.change(func() {
			b.vms.afterList = func() {
				b.changeWorker("b", func(w *fakeWorker) {
					for id, r := range w.running {
						b.workers.end(w, id, r, job.RunFailed)
					}
				})
			}
		})
		b.begin(1, 1, 0, "a")
		time.Sleep(10 * time.Second)
		b.is.Equal(b.waveState(1), job.Completed)
		b.is.Equal(b.vms.peakAway, 1)
	})
}

// Guards against the maintenance of a VM whose worker is leaving: it would end what
// the worker still finishes.
func TestLeavingWorkerIsNotTakenDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWaveCluster(t, "a", "b")
		defer b.close()
		b.report("a", true)
		b.begin(1, 2, 0, "a", "b")
		time.Sleep(10 * time.Second)
		b.is.Equal(b.waveState(1), job.Running)
		for _, o := range b.vms.sent() {
			b.is.Equal(o.vm, "vm-b")
		}
	})
}

// Guards against a wave that ends with its leader, against two leaders that take turns
// at one VM, and against a next leader that does not count what the former one may have
// ordered.
func TestWaveGoesOnUnderTheNextLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWaveCluster(t, "a", "b", "c")
		defer b.close()
		b.vms.change(func() { b.vms.loses = true })
		b.begin(1, 1, time.Minute, "a", "b", "c")
		time.Sleep(2 * time.Second)
		b.is.Equal(b.vms.sent()[0].vm, "vm-a")
		b.log.set(false, 1)
		time.Sleep(200 * time.Millisecond)
		b.vms.change(func() { b.vms.loses = false })
		b.log.set(true, 2)
		time.Sleep(30 * time.Second)
		b.is.Equal(b.waveState(1), job.Completed)
		b.is.Equal(b.vms.peakDown, 1)
		last := map[string]fakeOrder{}
		first := true
		for _, o := range b.vms.sent() {
			if p, ok := last[o.vm]; ok && o.of != p.of {
				b.is.True(o.at.Sub(p.at) >= 3*time.Second)
			}
			if o.of == 2 && first {
				b.is.Equal(o.vm, "vm-a") // its order may have been lost
				first = false
			}
			last[o.vm] = o
		}
	})
}

// Guards against runs that are started again although an order, which the platform has
// carried out before, was only accepted once more (rule TWICE).
func TestAcceptedOrderEndsNoRunThatGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWaveCluster(t, "a", "b")
		defer b.close()
		b.vms.change(func() {
			for _, m := range b.vms.vms {
				m.done[1] = true // in a wave that is not known any more
			}
		})
		b.workers.runTime = 30 * time.Second
		b.submit("one", tasks(8))
		time.Sleep(time.Second)
		b.begin(1, 2, 0, "a", "b")
		time.Sleep(time.Minute)
		b.is.Equal(b.waveState(1), job.Completed)
		b.is.Equal(b.workers.copied(), "")
		b.is.Equal(len(b.workers.started()), 8)
	})
}

// Guards against tasks that wait for the lease of a worker whose VM went down, also
// those of the last VM of a wave.
func TestRunsOfAVMThatWentDownStartElsewhereAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWaveCluster(t, "a", "b")
		defer b.close()
		b.workers.runTime = 20 * time.Second
		b.submit("one", tasks(4))
		time.Sleep(time.Second)
		b.begin(1, 1, 0, b.busyWorker())
		time.Sleep(2 * time.Second)
		b.is.Equal(b.waveState(1), job.Completed)
		b.is.Equal(len(b.workers.started()), 8)
		b.is.Equal(b.workers.copied(), "")
	})
}

// Guards against a wave that waits for a VM that has left, and against one that is
// finished without its VMs while the platform does not list them.
func TestWaveWithoutVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWaveCluster(t, "a", "b")
		defer b.close()
		b.vms.change(func() { b.vms.fails = true })
		b.begin(1, 1, 0, "a", "b", "unknown")
		time.Sleep(10 * time.Second)
		b.is.Equal(b.waveState(1), job.Running)
		b.vms.change(func() {
			b.vms.fails = false
			b.vms.vms["vm-a"].down = true // moving, until it leaves
		})
		time.Sleep(10 * time.Second)
		b.is.Equal(b.waveState(1), job.Running)
		b.vms.change(func() { delete(b.vms.vms, "vm-a") })
		time.Sleep(5 * time.Second)
		b.is.Equal(b.waveState(1), job.Completed)
	})
}

// Guards against waves that are accepted although they cannot be carried out.
func TestInvalidWaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newWaveCluster(t, "a")
		defer b.close()
		for _, w := range []job.Wave{{Number: 1, VMs: []string{"a"}}, {Number: 1, VMs: []string{strings.Repeat("x", 100)}, Limit: 1}} {
			v, ok := b.term().addWave(context.Background(), &w)
			is.True(ok)
			is.Equal(v.Code, cell.Invalid)
		}
		is.Equal(b.term().waveState(1).Code, cell.NoJob)
	})
}
