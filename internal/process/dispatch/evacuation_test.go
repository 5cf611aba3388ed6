package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// addIn starts a worker in an availability zone and reports it.
func (b *testCluster) addIn(zone, id string) {
	b.restart(id, 1)
	b.changeWorker(id, func(w *fakeWorker) { w.zone = zone })
	b.report(id, false)
}

// evacuate gives an operator's order about the zone "z", with a stamp if it has one.
func (b *testCluster) evacuate(active bool, stamps ...cell.Stamp) (cell.Verdict, bool) {
	e := &cell.Evacuation{Zone: "z", Active: active}
	if len(stamps) > 0 {
		e.Stamp = stamps[0]
	}
	return b.term().evacuate(context.Background(), e)
}

// ordered gives an order that has to be acknowledged.
func (b *testCluster) ordered(active bool, stamps ...cell.Stamp) {
	b.is.Helper()
	v, ok := b.evacuate(active, stamps...)
	b.is.True(ok)
	b.is.Equal(v.Code, cell.OK)
}

// evacuated reports whether the state has the zone "z" evacuated.
func (b *testCluster) evacuated() (yes bool) {
	b.state.View(func(v *job.View) { _, yes = v.Evacuated["z"] })
	return yes
}

// changeTerm ends the term and starts the next one.
func (b *testCluster) changeTerm() {
	term := b.term().number
	b.log.set(false, term+1)
	time.Sleep(50 * time.Millisecond)
	b.log.set(true, term+1)
	time.Sleep(200 * time.Millisecond)
}

// fillOthers starts long-running tasks that fill all workers but "a".
func (b *testCluster) fillOthers() {
	b.workers.mu.Lock()
	b.workers.runTime, b.workers.serving = time.Hour, true
	b.workers.mu.Unlock()
	b.resize("a", 500)
	s := tasks(8)
	s.Lasting, s.Allowance = true, 4
	b.submit("one", s)
	time.Sleep(time.Second)
	b.resize("a", 4000)
}

// Guards against each path on which a task may start in a zone after its evacuation was acknowledged
// (rule EVACUATED). The worker "a" is in the zone; "b" and "c" are not.
func TestNothingStartsInAnEvacuatedZone(t *testing.T) {
	for name, path := range map[string]struct {
		before, after func(b *testCluster)
		within        time.Duration
		done          []string // jobs that complete
	}{
		"plan": {
			after: func(b *testCluster) { b.submit("one", tasks(8)) }, within: 5 * time.Second, done: []string{"one"},
		},
		"worker that reports itself later": {
			after: func(b *testCluster) { b.addIn("z", "d"); b.submit("one", tasks(12)) }, within: 6 * time.Second, done: []string{"one"},
		},
		"copies of a start, and the task bound to its worker": {
			before: func(b *testCluster) {
				b.changeWorker("a", func(w *fakeWorker) { w.processors = 4000; w.silent = true })
				b.submit("one", tasks(12))
				time.Sleep(60 * time.Millisecond)
			},
			after: func(b *testCluster) {
				b.changeWorker("a", func(w *fakeWorker) { w.silent = false })
				_, waits := b.findWait(WaitCopies, 5*time.Second) // a task that is bound has its name instead
				b.is.True(waits)
				b.is.Equal(b.leader.Waiting(WaitBound), 0)
			},
			within: lateOrderTime + 4*time.Second, done: []string{"one"},
		},
		"gang, partly placed": {
			before: func(b *testCluster) {
				b.changeWorker("a", func(w *fakeWorker) { w.silent = true })
				b.submit("one", job.Step{Count: 3, Gang: true, Size: work.Resources{Processors: 2500, Memory: 1 << 30}, Estimate: time.Second})
				time.Sleep(60 * time.Millisecond)
				b.add("e", 1)
			},
			after:  func(b *testCluster) { b.changeWorker("a", func(w *fakeWorker) { w.silent = false }) },
			within: lateOrderTime + 4*time.Second, done: []string{"one"},
		},
		"long-running task whose run failed": {
			before: func(b *testCluster) { b.fillOthers() },
			after: func(b *testCluster) {
				b.workers.failAll("b") // its step avoids it
				time.Sleep(2 * time.Second)
				b.add("e", 1)
				time.Sleep(time.Second)
				b.is.Equal(b.workers.startsOn("e"), 4)
			},
		},
		"trial": {
			before: func(b *testCluster) { b.crashFirst("one", 1) }, after: func(b *testCluster) { b.submit("one", tasks(1)) },
			within: 30 * time.Second, done: []string{"one"},
		},
		"move for a wave": {
			before: func(b *testCluster) {
				b.vms.add("b")
				b.fillOthers()
			},
			after: func(b *testCluster) {
				b.begin(1, 1, 5*time.Second, "b")
				time.Sleep(30 * time.Second)
				b.is.Equal(b.waveState(1), job.Completed)
				b.is.Equal(b.running(), 8)
			},
		},
		"next leader": {
			after: func(b *testCluster) { b.changeTerm(); b.submit("one", tasks(8)) }, within: 6 * time.Second, done: []string{"one"},
		},
		"restart from a snapshot": {
			after: func(b *testCluster) {
				s, err := b.state.Snapshot()
				b.is.NoErr(err)
				b.log.set(false, 2)
				time.Sleep(50 * time.Millisecond)
				b.is.NoErr(b.state.Restore(s))
				b.log.set(true, 2)
				time.Sleep(200 * time.Millisecond)
				b.submit("one", tasks(8))
			}, within: 6 * time.Second, done: []string{"one"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestCluster(t, "b", "c")
				defer b.close()
				b.addIn("z", "a")
				time.Sleep(100 * time.Millisecond)
				if path.before != nil {
					path.before(b)
				}
				b.ordered(true)
				started := b.workers.startsOn("a") + b.workers.startsOn("d")
				if path.after != nil {
					path.after(b)
				}
				time.Sleep(path.within)
				b.is.Equal(b.workers.startsOn("a")+b.workers.startsOn("d"), started)
				for _, id := range path.done {
					b.is.Equal(b.status(id), job.Completed)
				}
				b.is.Equal(b.workers.copied(), "")
				b.is.Equal(b.leader.Overdue(), 0)
			})
		})
	}
}

// Guards against an order that leaves on a permission from before the evacuation.
func TestPermitEndsWithTheEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t)
		defer b.close()
		b.addIn("z", "a")
		w := b.term().workers["a"]
		p := b.term().attemptPermit(&attempt{run: &run{worker: w}}, time.Second)
		b.is.True(p.Valid())
		b.ordered(true)
		b.is.True(!p.Valid())
		b.ordered(false)
		b.is.True(p.Valid())
	})
}

// Guards against runs that are stopped by an evacuation, against work that is refused as infeasible or
// accepted while no worker could run it, and against a zone that stays out after its evacuation is revoked.
func TestAllZonesEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t)
		defer b.close()
		b.addIn("z", "a")
		time.Sleep(discoveryTime)
		b.submit("running", tasks(4))
		b.submit("waiting", tasks(4))
		time.Sleep(100 * time.Millisecond)
		b.ordered(true)
		e := b.term().evacuations().Zones
		b.is.Equal(len(e), 1)
		b.is.Equal([]int{e[0].Workers, e[0].Runs, e[0].LongRunning}, []int{1, 4, 0})
		time.Sleep(2 * time.Second)
		b.is.Equal(b.status("running"), job.Completed)
		b.is.Equal(b.workers.startsOn("a"), 4)
		v, ok := b.term().call(context.Background(), submission("refused"))
		b.is.True(ok)
		b.is.Equal([]any{v.Code, v.Message}, []any{cell.Busy, fit.Evacuated})
		b.is.True(v.Wait > 0 && v.Wait < 30*time.Second)
		b.ordered(false)
		b.submit("after", tasks(1))
		time.Sleep(2500 * time.Millisecond)
		b.is.Equal([]job.Status{b.status("waiting"), b.status("after")}, []job.Status{job.Completed, job.Completed})
	})
}

// Guards against a copy of an order that is carried out after its operator got an answer by another
// path and gave a later order, in the same term or under the next leader, and against refusals of
// orders that are repeated or new (docs/proofs.md, "Copies of a call").
func TestLateOrderAboutAZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t)
		defer b.close()
		time.Sleep(time.Second)
		held := b.stampNow()
		time.Sleep(20 * time.Millisecond)
		copied := held
		b.ordered(true, copied) // the same order by way of another process
		b.ordered(true, held)
		time.Sleep(20 * time.Millisecond)
		b.ordered(false, b.stampNow())
		v, ok := b.evacuate(true, held)
		b.is.True(ok)
		b.is.Equal(v.Code, cell.Unclear)
		b.is.True(!b.evacuated())
		time.Sleep(20 * time.Millisecond)
		b.ordered(true, b.stampNow())
		b.ordered(true, b.stampNow()) // another operator
		b.is.True(b.evacuated())
		h := handlers{}
		b.leader.Register(h)
		arrive := func(stamp cell.Stamp) string {
			_, err := h[cell.MethodEvacuate](context.Background(), "control", func(into any) error {
				*into.(*cell.Evacuation) = cell.Evacuation{Zone: "z", Stamp: stamp}
				return nil
			})
			return codeOf(err)
		}
		b.is.Equal(arrive(cell.Stamp{Term: 1, Issued: b.term().clock(), Expires: b.term().clock() - 1}), cell.CodeExpired)
		b.is.Equal(arrive(cell.Stamp{Term: 7, Issued: 0, Expires: time.Hour}), cell.CodeNotLeader)
		b.is.True(b.evacuated())

		issued := b.term().clock()
		b.ordered(false)
		time.Sleep(100 * time.Millisecond)
		began := b.term().began
		b.changeTerm()
		before := cell.Stamp{Term: b.term().number, Issued: issued - b.term().began.Sub(began), Expires: time.Second}
		v, ok = b.evacuate(true, before) // stamped anew for this term
		b.is.True(ok)
		b.is.Equal(v.Code, cell.Unclear)
		b.is.True(!b.evacuated())
		b.ordered(false, before) // it changes nothing
		b.ordered(true, b.stampNow())
		time.Sleep(2 * cell.MaxCallAge)
		_, ok = b.evacuate(false, cell.Stamp{Term: b.term().number, Issued: time.Second, Expires: 2 * time.Second})
		b.is.True(ok)
		b.is.True(b.evacuated())
	})
}

// Guards against an order that is acknowledged before it is committed, and against one that is lost
// with the leader that could not commit it.
func TestLeaderIsLostBetweenOrderAndCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t)
		defer b.close()
		b.log.set(false, 2)
		former := b.term()
		_, ok := former.evacuate(context.Background(), &cell.Evacuation{Zone: "z", Active: true})
		b.is.True(!ok)
		b.is.True(!b.evacuated())
		b.log.set(true, 2)
		time.Sleep(200 * time.Millisecond)
		b.ordered(true)
		b.changeTerm()
		b.is.True(b.evacuated())
		v, ok := b.term().evacuate(context.Background(), &cell.Evacuation{Zone: "a/b", Active: true})
		b.is.True(ok)
		b.is.Equal(v.Code, cell.Invalid)
	})
}

// Guards against jobs that are refused for lack of room, because runs that go on in an evacuated zone count
// as work of the workers that are left.
func TestRunsInAnEvacuatedZoneHoldUpNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t)
		defer b.close()
		b.addIn("z", "a")
		time.Sleep(discoveryTime)
		long := tasks(4)
		long.Estimate = 100 * time.Second
		b.workers.setRunTime(long.Estimate)
		b.submit("long", long)
		time.Sleep(time.Second)
		b.add("b", 1)
		b.ordered(true)
		time.Sleep(time.Second)
		b.workers.setRunTime(time.Second)
		b.submit("short", tasks(1)) // accepted
		time.Sleep(2 * time.Second)
		b.is.Equal(b.status("short"), job.Completed)
	})
}
