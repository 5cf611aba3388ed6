package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// A run whose percentage stands still is moved to another worker once that is a sign that
// it makes no progress. Percentages are whole numbers, so one stands still for a 100th of
// the run time. How long that is follows from the estimate, from the changes of the
// percentage of this run, and from those of the other runs of its step. If none of these is
// known, the run stays.
//
// An estimate may be far too short. So each stop of a task doubles the time that its next
// run has, and the worker is avoided only for what no estimate explains.
const (
	// stallTimeout is the shortest time without progress after which a run is stopped.
	stallTimeout = 3 * time.Second
	// stallFactor is how many times the expected time between two changes of the percentage it
	// may take. It covers rough estimates and slow workers, whose runs are moved by their speed.
	stallFactor = 3
	// maxStallDoublings bounds the doublings for one task.
	maxStallDoublings = 16
)

// stalls is what the leader knows of the progress of a step's runs.
type stalls struct {
	pace  time.Duration // longest time per percent that was seen; zero if no progress was
	stops map[int]int   // of each task, for want of progress
}

// noteProgress records a change of a run's percentage. What happened before its first
// listing by this leader is unknown.
func (t *term) noteProgress(r *run, percent int, now time.Time) {
	change := percent - r.percent
	if change != 0 {
		r.worker.standing = job.StepID{}
	}
	if change > 0 && !r.firstSample.at.IsZero() {
		r.pace = max(r.pace, now.Sub(later(r.lastProgress, r.startResolvedAt))/time.Duration(change))
		s := t.step(r.id.StepID())
		s.stalls.pace = max(s.stalls.pace, r.pace)
	}
	r.percent, r.lastProgress = percent, now
}

// stallTime returns how long the percentage of a run may stand still. known is false if
// there is no measure for it.
func (t *term) stallTime(r *run) (d time.Duration, known bool) {
	s := &t.step(r.id.StepID()).stalls
	pace := max(r.spec.Estimate/100, t.baseline(r.queue).Expected(r.spec.Estimate)/100, r.pace, s.pace)
	if pace == 0 {
		return 0, false
	}
	d = max(stallTimeout, stallFactor*pace) << min(s.stops[r.id.Index], maxStallDoublings)
	// An earlier leader has let it run for so long.
	return max(d, r.inheritedTime/time.Duration(r.percent+1)) + t.gangTime(r), true
}

// stalled reports whether a run makes no progress, and is not slow on purpose.
func (t *term) stalled(r *run, now time.Time) bool {
	if r.startResolvedAt.IsZero() || r.stopping || r.endQueued || r.spec.Lasting || r.spec.Filler || r.throttlePercent != 0 {
		return false
	}
	stood := now.Sub(later(r.lastProgress, r.startResolvedAt))
	if stood <= stallTimeout {
		return false
	}
	speed, unclear := t.workerSpeed(r.worker, stood)
	d, known := t.stallTime(r)
	return known && !unclear && float64(stood) > float64(d)/min(1, speed)
}

// stopStalled stops the runs of a worker that make no progress.
func (t *term) stopStalled(w *worker, now time.Time) {
	if w.missed != 0 {
		return
	}
	for _, r := range w.runs {
		if t.stalled(r, now) {
			t.stopForStall(r, now)
		}
	}
}

// stopForStall stops a run. Its worker is avoided if other runs of the step, or this one
// before, show that its percentage should have changed, or if nothing there has made
// progress since a run of another step was stopped.
func (t *term) stopForStall(r *run, now time.Time) {
	w, id := r.worker, r.id.StepID()
	s := t.step(id)
	if s.stalls.stops == nil {
		s.stalls.stops = map[int]int{}
	}
	s.stalls.stops[r.id.Index]++
	t.emit(event.RunStalled, zap.Stringer("task", r.id), zap.Int("run", r.number), zap.String("worker", w.ID), zap.Int("percent", r.percent),
		zap.Duration("stood", now.Sub(later(r.lastProgress, r.startResolvedAt))), zap.Duration("estimate", r.spec.Estimate), zap.Duration("pace", s.stalls.pace))
	if s.stalls.pace > 0 || w.standing != (job.StepID{}) && w.standing != id {
		t.avoidWorker(w, "runs make no progress")
	}
	w.standing = id
	t.avoidForStep(r, now)
	t.stop(r)
	t.stopGang(r)
}
