package dispatch

import (
	"context"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// goneAfter is the silence after which a worker without runs is forgotten.
	goneAfter = 15 * time.Second
	// avoidTime is how long a step leaves out a worker where a run of it failed or
	// was slow.
	avoidTime = 1500 * time.Millisecond
	// drainSlack is left between the stop of a run on a draining worker and the
	// worker's end, beside the time that a stop may take.
	drainSlack = 400 * time.Millisecond
)

// tend looks after what changes with time alone, until ctx ends.
func (t *term) tend(ctx context.Context) {
	tick := time.NewTicker(tendInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if !t.within() {
			continue // this process may have been paused; nothing was heard meanwhile
		}
		t.mu.Lock()
		now := t.now()
		for _, w := range t.workers {
			t.tendWorker(w, now)
		}
		t.mu.Unlock()
		t.signal()
	}
}

func (t *term) tendWorker(w *worker, now time.Time) {
	switch {
	case !w.leaves.IsZero() && now.After(w.leaves):
		t.finish(w, "it left")
		return
	case len(w.runs) > 0 && now.After(w.lapse()) && w.missed > 0:
		t.loseAll(w, "the lease has ended and the worker does not answer")
	case len(w.runs) == 0 && now.Sub(w.seen) > goneAfter:
		t.finish(w, "silent")
		return
	}
	if w.missed >= silentAnswers {
		t.loseCopies(w)
	}
	if w.Draining && !w.drained.IsZero() && now.After(w.drained.Add(-t.timing().StopTime-drainSlack)) {
		t.empty(w)
	}
	for _, r := range w.runs {
		if !r.clear.IsZero() && !r.stopping && !r.ended && w.missed == 0 && t.stalled(r, now) {
			t.suspect(w, "a run stands still")
			t.avoid(r, now)
			t.stop(r)
			t.breakGang(r)
		}
	}
}

// stalled reports whether a run makes no progress although it was looked at.
func (t *term) stalled(r *run, now time.Time) bool {
	return !r.spec.Lasting && !r.spec.Filler && r.pace == 0 && now.Sub(later(r.moved, r.clear)) > stallTime+t.gangWait(r)
}

// gangWait is the time that a run may stand still because it waits for others.
func (t *term) gangWait(r *run) time.Duration {
	if r.spec.Gang {
		return t.timing().GangTime
	}
	return 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// empty stops what would lose its work with a worker that is about to end.
func (t *term) empty(w *worker) {
	for _, r := range w.runs {
		if r.spec.Checkpoints || r.spec.Lasting {
			t.stop(r)
			t.breakGang(r)
		}
	}
}

// avoid leaves the worker of a run out for the run's step for a while. It is not
// left out for good, because it may be the only one that may run the step.
func (t *term) avoid(r *run, now time.Time) {
	t.remember(r.id.Of()).avoid[r.worker.ID] = now.Add(avoidTime)
}

// remember returns what is remembered of a step.
func (t *term) remember(id job.StepID) *step {
	s := t.steps[id]
	if s == nil {
		s = &step{avoid: map[string]time.Time{}}
		t.steps[id] = s
	}
	return s
}
