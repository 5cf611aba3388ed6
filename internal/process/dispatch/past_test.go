package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// used returns the recorded use of the workspace of a test cluster.
func (b *testCluster) used() (u job.Use) {
	b.state.View(func(v *job.View) { u = v.Uses[job.UseKey{Workspace: "depot", Pool: "p"}] })
	return u
}

func near(a, b float64) bool { return a > b-0.15 && a < b+0.15 }

var hours = fit.UseSettings{HalfLife: time.Hour, Strength: time.Second, Delay: 2 * time.Second}

// Guards against use that is lost or charged twice at a change of the leader, also while the clock
// of the next one differs, and against records that are written while past use is off.
func TestUseSurvivesTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(time.Minute)
		b.submit("one", tasks(2)) // half of the pool
		time.Sleep(5 * time.Second)
		b.is.Equal(b.used(), job.Use{})
		b.leader.SetUse(hours)
		time.Sleep(10*time.Second + 200*time.Millisecond)
		first := b.used()
		b.is.True(near(first.Amount, 5))
		b.log.set(false, 2)
		time.Sleep(time.Second)
		b.stepped.Store(int64(-time.Minute)) // the clock of the next leader is behind
		b.log.set(true, 3)
		time.Sleep(8*time.Second + 200*time.Millisecond)
		second := b.used()
		b.is.True(second.At.After(first.At))
		b.is.True(second.Amount > 7.4 && second.Amount < 9.2) // a takeover charges nothing
		b.leader.SetUse(fit.UseSettings{})
		time.Sleep(10 * time.Second)
		b.is.True(b.used().Amount-second.Amount < 1.1)
	})
}

// Guards against a workspace that is charged for work that it lost through a preemption, and against
// one that gets back what it cancels.
func TestLostWorkIsCredited(t *testing.T) {
	for _, cancel := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestCluster(t, "a")
			defer b.close()
			b.leader.SetUse(hours)
			b.workers.setRunTime(time.Minute)
			b.submit("one", tasks(2))
			time.Sleep(10 * time.Second)
			b.is.True(b.used().Amount > 3.5)
			term := b.term()
			if cancel {
				b.cancel("one")
			} else {
				term.mu.Lock()
				for _, r := range term.runs {
					term.stop(r)
				}
				term.mu.Unlock()
			}
			time.Sleep(4 * time.Second)
			b.is.Equal(b.used().Amount > 3.5, cancel)
		})
	}
}

// Guards against a leader that writes more than one record of changes in 2 s, and against records
// of a workspace that is removed.
func TestUseIsWrittenSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.leader.SetUse(hours)
		b.workers.setRunTime(time.Minute)
		b.submit("one", tasks(2))
		changes, last := 0, b.used()
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if u := b.used(); u != last {
				changes, last = changes+1, u
			}
		}
		b.is.True(changes >= 8 && changes <= 10)
		c := &job.Catalogue{Version: 2, Pools: []job.Pool{{Name: "p"}}, Workspaces: []job.Workspace{{Name: "other", Keys: []string{"k"}}}}
		_, ok := b.term().apply(t.Context(), c)
		b.is.True(ok)
		time.Sleep(5 * time.Second)
		b.is.Equal(b.used(), job.Use{})
	})
}

// Guards against a workspace that is charged for runs that fail because of their worker, and against
// one that is not charged for its own failures or for work that is saved.
func TestFailedWorkIsCreditedByFault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.leader.SetUse(hours)
		b.workers.setRunTime(time.Minute)
		b.submit("one", tasks(1))
		time.Sleep(3 * time.Second)
		credit := func(faults int, saved string, outcome job.Outcome) bool {
			term := b.term()
			term.mu.Lock()
			defer term.mu.Unlock()
			k := job.UseKey{Workspace: "depot", Pool: "p"}
			before := term.past.ledger.Parts(nil)[k].Amount
			for _, r := range term.runs {
				copied, usual := *r, r.worker.faults
				r.worker.faults = faults
				term.creditUse(&copied, &job.End{Task: r.id, Outcome: outcome, Saved: saved})
				r.worker.faults = usual
			}
			return term.past.ledger.Parts(nil)[k].Amount < before
		}
		b.is.True(!credit(1, "", job.RunFailed))
		b.is.True(!credit(1, "", job.Done))
		b.is.True(!credit(1, "new", job.Stopped))
		b.is.True(credit(maxFaults, "", job.RunFailed))
	})
}
