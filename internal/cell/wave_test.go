package cell

import (
	"sync"
	"testing"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
	"github.com/rosemaryloft/rosemaryloft/pkg/client"
)

// Guards against many concurrent cancellations that affect other jobs, leave cancelled
// tasks running, or leave capacity reserved.
func TestWaveOfCancellations(t *testing.T) {
	t.Parallel()
	const wave, senders = 300, 10
	h := newHarness(t, 3)
	names := []string{"w1", "w2"}
	h.startLoggingWorkers(names, "--cpu", "32000")
	caller := h.Client(h.keys.Caller)
	size := api.Size{CPU: 1000, Memory: 1 << 20}
	keep := h.submit(api.Submission{Entry: Batch, Tasks: 8, Size: size, Command: "sleep 10s"})
	var mu sync.Mutex
	var ids []uint64
	each := func(n int, do func(i int) error) {
		var wait sync.WaitGroup
		for s := range senders {
			wait.Go(func() {
				for i := s; i < n; i += senders {
					if err := do(i); err != nil {
						t.Error(err)
					}
				}
			})
		}
		wait.Wait()
	}
	each(wave, func(int) error {
		j, err := caller.Submit(h.ctx, api.Submission{Entry: Batch, Tasks: 1, Size: size, Command: "sleep 10m"})
		mu.Lock()
		defer mu.Unlock()
		ids = append(ids, j.ID)
		return err
	})
	h.Equal(len(ids), wave)
	behind, err := caller.Submit(h.ctx, api.Submission{Entry: Batch, Tasks: 8, Size: size, Command: "sleep 1s"})
	h.NoErr(err)
	h.until("the pool is full", func() bool { return len(h.history(names, nil)) == 64 })
	each(wave, func(i int) error {
		_, err := caller.Cancel(h.ctx, ids[i])
		return err
	})
	for _, id := range []uint64{keep.ID, behind.ID} {
		j, err := caller.Wait(h.ctx, id)
		h.NoErr(err)
		h.Equal(j.State, "succeeded")
		for _, x := range j.Tasks {
			h.Equal(x.Attempts, uint32(1))
		}
	}
	cancelled, err := caller.Jobs(h.ctx, client.Filter{State: "cancelled"})
	h.NoErr(err)
	h.Equal(len(cancelled), wave)
	h.until("nothing is reserved", func() bool {
		all, err := h.Operator().Workers(h.ctx)
		if err != nil {
			return false
		}
		for _, w := range all {
			if w.Tasks != 0 || w.Reserved != (api.Size{}) {
				return false
			}
		}
		return true
	})
	all := h.history(names, nil)
	h.checkNoOverlap(all)
	for id, runs := range all {
		h.Equal(len(runs), 1)
		h.True(!runs[0].end.IsZero()) // no cancelled task is still running
		if id.job != keep.ID && id.job != behind.ID {
			h.Equal(runs[0].Outcome, "stopped")
		}
	}
}

// Guards against a worker that fails every task and thereby fails jobs that would
// succeed elsewhere, and against a job that fails on every worker and is retried
// without limit or gets healthy workers quarantined.
func TestWorkerFailsEveryTask(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 3)
	healthy := []string{"w1", "w2", "w3"}
	h.startLoggingWorkers([]string{"broken"}, "--cpu", "4000", "--fail")
	h.startLoggingWorkers(healthy, "--cpu", "4000")
	caller := h.Client(h.keys.Caller)
	size := api.Size{CPU: 1000, Memory: 1 << 20}
	checkJobsSucceed := func(jobs int) {
		var ids []uint64
		for range jobs {
			// The tasks of one job fill all four workers.
			j, err := caller.Submit(h.ctx, api.Submission{Entry: Batch, Tasks: 16, Size: size, Command: "sleep 100ms"})
			h.NoErr(err)
			ids = append(ids, j.ID)
		}
		for _, id := range ids {
			j, err := caller.Wait(h.ctx, id)
			h.NoErr(err)
			h.Equal(j.State, "succeeded")
		}
	}
	quarantined := func() (names []string) {
		all, err := h.Operator().Workers(h.ctx)
		h.NoErr(err)
		for _, w := range all {
			if w.Aside {
				names = append(names, w.Name)
			}
		}
		return names
	}
	term := func() uint64 {
		v, err := h.Operator().Status(h.ctx)
		h.NoErr(err)
		return v.Term
	}
	for again := true; again; { // a new leader learns anew which workers fail
		before := term()
		checkJobsSucceed(6)
		h.True(len(h.history([]string{"broken"}, nil)) > 0)
		first := quarantined()
		for range 4 { // more than the number of different jobs whose failures quarantine a worker
			j, err := caller.Submit(h.ctx, api.Submission{Entry: Batch, Tasks: 1, Size: size, Command: "fail 10ms"})
			h.NoErr(err)
			j, err = caller.Wait(h.ctx, j.ID)
			h.NoErr(err)
			h.Equal(j.State, "failed")
			h.True(j.Reason != "")
			t.Logf("job %d: %s", j.ID, j.Reason)
		}
		last := quarantined()
		if again = term() != before; !again {
			h.Equal(first, []string{"broken"})
			h.Equal(last, []string{"broken"})
		}
	}
	checkJobsSucceed(2)
	h.checkNoOverlap(h.history(append(healthy, "broken"), nil))
}
