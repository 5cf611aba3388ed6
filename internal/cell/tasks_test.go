package cell

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/standin"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// run is one run of a task, read from its worker's log.
type run struct {
	standin.Record           // record of the end, or of the start while the run is in progress
	begin, end     time.Time // end is zero while the run is in progress
}

type task struct {
	job   uint64
	index uint32
}

// startLoggingWorkers starts each worker in a separate process that logs its runs, and
// waits until all are registered.
func (h *harness) startLoggingWorkers(names []string, flags ...string) {
	h.t.Helper()
	before, err := h.Operator().Workers(h.ctx)
	h.NoErr(err)
	for _, name := range names {
		h.NoErr(h.Workers(name, h.keys.Worker, 1, append(flags, "--log")...))
	}
	h.until("wait for workers", func() bool {
		all, err := h.Operator().Workers(h.ctx)
		return err == nil && len(all) == len(before)+len(names)
	})
}

// history returns the runs of all tasks on the workers, read from their logs and
// ordered by token. The map halted contains the time at which a worker's process was
// killed or paused. A run in progress at that time counts as ended then if its worker
// logged no end, or logged after the pause that the lease had expired.
func (h *harness) history(workers []string, halted map[string]time.Time) map[task][]*run {
	h.t.Helper()
	all := make(map[task][]*run)
	for _, name := range workers {
		for line := range strings.Lines(h.Processes[name].Log()) {
			var r standin.Record
			if !strings.HasPrefix(line, "{") || json.Unmarshal([]byte(line), &r) != nil {
				continue
			}
			id := task{r.Job, r.Index}
			if r.Outcome == "" {
				all[id] = append(all[id], &run{Record: r, begin: r.At})
				continue
			}
			i := slices.IndexFunc(all[id], func(x *run) bool { return x.Worker == r.Worker && x.Token == r.Token && x.end.IsZero() })
			h.True(i >= 0) // each end follows a start
			all[id][i].Record, all[id][i].end = r, r.At
		}
	}
	for _, runs := range all {
		for _, r := range runs {
			at := halted[r.Worker]
			if !at.IsZero() && r.begin.Before(at) && (r.end.IsZero() || r.end.After(at) && r.Expired) {
				r.end = at
			}
		}
		slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.Token, b.Token) })
	}
	return all
}

// checkNoOverlap checks that no two runs of a task overlap, that each run has a
// different token, and that no task succeeded twice.
func (h *harness) checkNoOverlap(all map[task][]*run) {
	h.t.Helper()
	for id, runs := range all {
		succeeded := 0
		for i, r := range runs {
			if r.Outcome == "succeeded" {
				succeeded++
			}
			if i == 0 {
				continue
			}
			last := runs[i-1]
			if last.Token >= r.Token || last.end.IsZero() || last.end.After(r.begin) {
				h.t.Errorf("task %d of job %d: run on %s with token %d from %v to %v overlaps or repeats run on %s with token %d from %v", id.index, id.job,
					last.Worker, last.Token, last.begin, last.end, r.Worker, r.Token, r.begin)
			}
		}
		if succeeded > 1 {
			h.t.Errorf("task %d of job %d succeeded %d times", id.index, id.job, succeeded)
		}
	}
}

// checkRerunReasons checks that a task ran again only if its worker's lease had expired
// or its worker was killed.
func (h *harness) checkRerunReasons(all map[task][]*run, killed ...string) {
	h.t.Helper()
	for id, runs := range all {
		for _, r := range runs[:len(runs)-1] {
			if !r.Expired && !slices.Contains(killed, r.Worker) {
				h.t.Errorf("task %d of job %d ran again although its run on %s with token %d ended as %q under a valid lease",
					id.index, id.job, r.Worker, r.Token, r.Outcome)
			}
		}
	}
}

// haltedNow returns the argument of history for a worker that was killed just now.
func haltedNow(name string) map[string]time.Time { return map[string]time.Time{name: time.Now()} }

// submit submits a job and waits until each of its tasks has started.
func (h *harness) submit(s api.Submission) api.Job {
	h.t.Helper()
	j, err := h.Client(h.keys.Caller).Submit(h.ctx, s)
	h.NoErr(err)
	h.until("wait for the tasks to start", func() bool {
		j, err = h.Client(h.keys.Caller).Job(h.ctx, j.ID)
		return err == nil && !slices.ContainsFunc(j.Tasks, func(x api.Task) bool { return x.State == "queued" })
	})
	return j
}

// Guards against tasks that are lost with a killed worker, and against a worker that
// was paused until after its lease expired and continues tasks that run elsewhere by
// then.
func TestWorkerKilledAndWorkerPaused(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 3)
	names := []string{"killed", "paused", "healthy"}
	h.startLoggingWorkers(names, "--cpu", "8000")
	j := h.submit(api.Submission{Entry: Batch, Tasks: 12, Size: api.Size{CPU: 2000, Memory: 1 << 30}, Command: "sleep 8s"})
	tokens, moved := make(map[uint32]uint64), make(map[uint32]uint64)
	for _, x := range j.Tasks {
		tokens[x.Index] = x.Token
		if x.Worker != "healthy" {
			moved[x.Index] = x.Token
		}
	}
	h.Equal(len(moved), 8) // the tasks fill all three workers
	h.until("the tasks have begun", func() bool { return len(h.history(names, nil)) == len(tokens) })
	names = append(names, "spare") // has capacity for all tasks that are placed again
	h.startLoggingWorkers([]string{"spare"}, "--cpu", "16000")
	h.NoErr(h.Processes["killed"].Kill())
	halted := haltedNow("killed")
	h.NoErr(h.Processes["paused"].Signal(syscall.SIGSTOP))
	halted["paused"] = time.Now()
	h.until("tasks of the paused worker run elsewhere", func() bool {
		for id, runs := range h.history(names, halted) {
			last := runs[len(runs)-1]
			if last.Worker != "paused" && j.Tasks[id.index].Worker == "paused" {
				return true
			}
		}
		return false
	})
	h.NoErr(h.Processes["paused"].Signal(syscall.SIGCONT))
	j, err := h.Client(h.keys.Caller).Wait(h.ctx, j.ID)
	h.NoErr(err)
	h.Equal(j.State, "succeeded")
	all := h.history(names, halted)
	h.checkNoOverlap(all)
	for _, x := range j.Tasks {
		if moved[x.Index] != 0 {
			h.True(x.Token > moved[x.Index])
		} else {
			h.Equal(x.Token, tokens[x.Index])
		}
		runs := all[task{j.ID, x.Index}]
		last := runs[len(runs)-1]
		h.Equal(last.Token, x.Token)
		h.Equal(last.Outcome, "succeeded")
		for _, r := range runs[:len(runs)-1] {
			h.True(r.Outcome != "succeeded") // no run with an old token continued
		}
	}
}
