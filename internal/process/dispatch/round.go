package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// roundStarts bounds the starts of one round; a round of this size is about
// 100 KB in the log.
const roundStarts = 800

// rounds commits rounds until ctx ends.
func (t *term) rounds(ctx context.Context) {
	for {
		select {
		case <-t.wake:
		case <-ctx.Done():
			return
		}
		r, in, starts := t.gather()
		if r.Empty() {
			t.answer(in, true)
			continue
		}
		result, ok := t.commit(ctx, r)
		if !ok {
			t.drop(in)
			if ctx.Err() == nil {
				pause(ctx, beginPause)
				t.signal()
			}
			continue
		}
		t.applied(&r, in, starts, result)
	}
}

// gather makes the next round from what came in and what is decided.
func (t *term) gather() (job.Round, inbox, []fit.Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	in := t.next
	t.next = inbox{}
	r := job.Round{
		Catalogue: in.catalogue, Workers: in.workers, Gone: in.gone, Ends: in.ends, Cancels: in.cancels, Submits: in.submits,
	}
	if t.over || !t.within() {
		return r, in, nil
	}
	starts := t.decide()
	for _, s := range starts {
		r.Starts = append(r.Starts, job.Start{
			Task: s.Demand.Step.Task(s.Index), Run: s.Demand.Number(s.Index), Worker: s.Worker.ID, Life: s.Worker.Life,
		})
	}
	return r, in, starts
}

// drop puts back what a round that was not committed had taken in. Whether it
// commits later is not known; everything in it may be applied twice.
func (t *term) drop(in inbox) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range in.waiters {
		c <- false
	}
	if t.over {
		return
	}
	n := &t.next
	n.workers = append(in.workers, n.workers...)
	n.gone = append(in.gone, n.gone...)
	n.ends = append(in.ends, n.ends...)
	n.cursors = append(in.cursors, n.cursors...)
}

// answer tells those who wait for a round that it is committed.
func (t *term) answer(in inbox, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range in.cursors {
		c.worker.cursor = max(c.worker.cursor, c.number)
	}
	for _, c := range in.waiters {
		c <- ok
	}
}

// applied does what follows from a committed round.
func (t *term) applied(r *job.Round, in inbox, starts []fit.Start, result job.Result) {
	t.mu.Lock()
	for i := range r.Ends {
		t.dropRun(&r.Ends[i])
	}
	for i := range r.Ends {
		// What another run of the task has done needs no further run.
		if other := t.runs[r.Ends[i].Task]; other != nil && r.Ends[i].Outcome == job.Done && !other.spec.Lasting && !other.spec.Gang {
			t.stop(other)
		}
	}
	began := map[*fit.Demand][]string{}
	for i, s := range starts {
		if !result.Refused[i] {
			t.begun(&r.Starts[i], s)
			began[s.Demand] = append(began[s.Demand], s.Worker.ID)
		}
	}
	for d, workers := range began {
		s := t.remember(d.Step)
		t.emit(event.TasksStarted, zap.String("job", string(d.Step.Job)), zap.Int("occurrence", d.Step.Occurrence),
			zap.Int("step", d.Step.Step), zap.Strings("workers", workers), zap.Int("waiting", len(d.Tasks)-len(workers)),
			zap.Duration("waited", t.now().Sub(s.since)), zap.Int("priority", d.Priority))
		if len(workers) == len(d.Tasks) {
			s.since = time.Time{} // a task that waits again waits anew
		}
	}
	for _, id := range result.Ended {
		t.concluded(id)
	}
	t.mu.Unlock()
	t.answer(in, true)
	t.signal()
}

// dropRun forgets a run whose end is committed.
func (t *term) dropRun(e *job.End) {
	r := t.runs[e.Task]
	if r == nil || r.number != e.Run || r.worker.ID != e.Worker || r.worker.Life != e.Life {
		return
	}
	delete(t.runs, e.Task)
	delete(r.worker.runs, e.Task)
}

// begun remembers a run and orders it.
func (t *term) begun(s *job.Start, d fit.Start) {
	now := t.now()
	w := t.workers[s.Worker]
	if w == nil || w.Life != s.Life {
		// The worker's life ended while the round was committed.
		t.next.ends = append(t.next.ends, job.End{Task: s.Task, Run: s.Run, Worker: s.Worker, Life: s.Life, Outcome: job.Lost})
		return
	}
	r := &run{id: s.Task, number: s.Run, worker: w, spec: d.Demand.Spec, ordered: now, moved: now, urgent: d.Demand.Priority == 0,
		queue: d.Demand.Queue, resumed: d.Demand.Checkpoint(d.Index) != ""}
	w.runs[s.Task], t.runs[s.Task] = r, r
	t.launch(r, StartOrder{
		Task: s.Task, Run: s.Run, Payload: d.Demand.Payload, Fence: t.number,
		Checkpoint: d.Demand.Checkpoint(d.Index), Ticket: d.Ticket,
	})
}

// concluded stops what still runs of a job that is over, and forgets it.
func (t *term) concluded(id job.ID) {
	var status job.Status
	var lasted, objective time.Duration
	t.state().View(func(v *job.View) {
		if r := v.Jobs[id]; r != nil {
			status, lasted = r.Status, r.Over.Sub(r.Accepted)
			late, _ := t.lateAt(r, max(0, r.Job.Repeat-1))
			objective = late.Sub(r.Accepted)
		}
	})
	t.emit(event.JobOver, zap.String("job", string(id)), zap.Stringer("state", status), zap.Duration("after", lasted),
		zap.Duration("objective", objective))
	for task, r := range t.runs {
		if task.Job == id {
			t.stop(r)
		}
	}
	for s := range t.steps {
		if s.Job == id {
			delete(t.steps, s)
		}
	}
	delete(t.late, id)
}
