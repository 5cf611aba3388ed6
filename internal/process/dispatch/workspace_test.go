package dispatch

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// addWeight applies a catalogue in which the workspace has a weight.
func (b *testCluster) addWeight(version uint64, weight float64) {
	b.is.Helper()
	var c job.Catalogue
	b.state.View(func(v *job.View) { c = *v.Catalogue })
	c.Version, c.Workspaces = version, []job.Workspace{{Name: "depot", Keys: []string{"k"}, Weight: weight}}
	_, ok := b.term().apply(context.Background(), &c)
	b.is.True(ok)
}

// beyond returns how many of the jobs that are stored are beyond the weight.
func (b *testCluster) beyond() (n int) {
	b.state.View(func(v *job.View) {
		for _, r := range v.Jobs {
			if r.Job.Beyond {
				n++
			}
		}
	})
	return n
}

// Guards against a flood that gets a fresh allowance from each change of the leader, and
// against jobs beyond the weight that the next leader takes for jobs within it.
func TestNextTermKnowsTheFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.addWeight(2, 3)
		for i := range 10 {
			b.submit(fmt.Sprint("early", i), tasks(1))
		}
		b.is.Equal(b.beyond(), 4) // six were saved up
		b.log.set(false, 2)
		time.Sleep(20 * time.Millisecond)
		b.log.set(true, 3)
		time.Sleep(20 * time.Millisecond)
		b.is.Equal(b.beyond(), 4)
		for i := range 10 {
			b.submit(fmt.Sprint("late", i), tasks(1))
		}
		b.is.Equal(b.beyond(), 14)
		b.state.View(func(v *job.View) {
			for _, d := range b.term().demands(v, nil, time.Now()) {
				b.is.Equal(d.Beyond, v.Jobs[d.Step.Job].Job.Beyond)
			}
		})
	})
}

// Guards against a copy of a submission that is charged to its workspace again, or that is
// stored as a job within the weight although the first copy is beyond it.
func TestCopyIsChargedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.addWeight(2, 1)
		term, target := b.term(), callTarget{queue: job.Queue{Host: "h", Prefix: "/q/", Pool: "p"}, workspace: "depot"}
		term.mu.Lock()
		for _, id := range []string{"one", "one", "two", "two", "three", "three"} {
			target.id = job.ID(id)
			_, _ = term.admit(submission(id), &target, cell.Verdict{Code: cell.OK})
		}
		submits := slices.Clone(term.inbox.submits)
		term.mu.Unlock()
		b.is.Equal(len(submits), 6)
		for i := range submits {
			b.is.Equal(submits[i].Beyond, submits[i].ID == "three")
		}
		time.Sleep(100 * time.Millisecond)
		b.is.Equal(b.beyond(), 1)
		term.mu.Lock()
		left := len(term.excess)
		term.mu.Unlock()
		b.is.Equal(left, 0)
	})
}

// Guards against a caller that is charged for attempts that are refused.
func TestRefusedSubmissionIsNotCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.addWeight(2, 1)
		time.Sleep(discoveryTime)
		b.submit("one", tasks(100))
		for range 5 {
			v, _ := b.term().call(context.Background(), submission("two"))
			b.is.Equal(v.Code, cell.Busy)
		}
		term := b.term()
		term.mu.Lock()
		beyond := term.share("depot").Beyond(1, term.now())
		term.mu.Unlock()
		b.is.True(!beyond)
	})
}

// Guards against a leader that does not see how much of a pool a workspace holds.
func TestHeldLevels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(time.Minute)
		levels := func() (list []int) {
			term := b.term()
			term.mu.Lock()
			defer term.mu.Unlock()
			b.state.View(func(v *job.View) {
				for _, d := range term.demands(v, nil, term.now()) {
					list = append(list, d.Held)
				}
			})
			return list
		}
		b.submit("one", tasks(6))
		time.Sleep(time.Second)
		b.is.Equal(levels(), []int{fit.HeldLevel(0, 0)}) // no workspace has a weight
		b.addWeight(2, 4)
		time.Sleep(time.Second)
		b.is.Equal(levels(), []int{fit.HeldLevel(1, 4)}) // all of the pool
	})
}
