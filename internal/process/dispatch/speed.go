package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// queueKey returns a string that identifies a queue.
func queueKey(q *job.Queue) string { return q.Host + q.Prefix }

// baseline returns the learned ratio of run time to estimate of a queue's runs.
func (t *term) baseline(queue string) *fit.Baseline {
	n := t.baselines[queue]
	if n == nil {
		n = fit.NewBaseline()
		t.baselines[queue] = n
	}
	return n
}

// progressSample is the progress of a run at a point in time. Times are on the
// worker's clock, because the leader may be paused between the worker's answer
// and its arrival.
type progressSample struct {
	at      time.Time
	percent int
}

// recordProgress records the progress of a run at a time on its worker's clock.
// What a run had done before its first listing is unknown, unless its start was
// answered and it began from scratch.
func (r *run) recordProgress(percent int, clock time.Time) {
	r.progressAt = clock
	now := progressSample{clock, percent}
	if r.firstSample.at.IsZero() || r.resumed && percent == r.firstSample.percent {
		// A resumed run makes no progress until its checkpoint is restored.
		r.firstSample, r.windowStart, r.nextWindowStart = now, now, now
	}
	if window := fit.Window(r.spec.Estimate); clock.Sub(r.nextWindowStart.at) >= window {
		r.windowStart, r.nextWindowStart = r.nextWindowStart, now
	}
}

// measurable reports whether the run's progress says something about its
// worker. Fillers use what other tasks leave idle, and a gang member may be
// waiting for the others.
func (r *run) measurable() bool {
	return !r.endQueued && !r.stopping && !r.spec.Lasting && !r.spec.Filler && r.throttlePercent == 0 && !r.firstSample.at.IsZero() &&
		!(r.spec.Gang && r.percent <= r.windowStart.percent)
}

// motion describes the run's progress since an earlier sample.
func (t *term) motion(r *run, since progressSample) fit.Motion {
	m := fit.Motion{
		Step: r.id.StepID(), StartTime: since.at, StartPercent: since.percent, Time: r.progressAt, Percent: r.percent, Estimate: r.spec.Estimate,
		Baseline: t.baseline(r.queue),
	}
	if s := t.steps[m.Step]; s != nil {
		for worker, lag := range s.lags {
			if worker != r.worker.ID && (m.MinLag == 0 || lag < m.MinLag) {
				m.MinLag = lag
			}
		}
	}
	return m
}

// recordLag records the lag of a run, with which the other runs of its step are
// compared.
func (t *term) recordLag(r *run, lag float64) {
	s := t.step(r.id.StepID())
	if s.lags == nil {
		s.lags = map[string]float64{}
	}
	s.lags[r.worker.ID] = lag
}

// recordCompletion updates what is known of the worker and the queue after a
// run was done.
func (t *term) recordCompletion(r *run, clock time.Time) {
	w := r.worker
	w.faults = 0
	if !w.wasSlow {
		w.avoidTime = 0
	}
	if r.spec.Lasting || r.spec.Filler || r.throttlePercent != 0 || r.resumed || r.firstSample.at.IsZero() {
		return
	}
	r.progressAt, r.percent = clock, 100
	m := t.motion(r, r.firstSample)
	lag, ok := m.Lag()
	if !ok {
		return
	}
	t.recordLag(r, lag)
	if s := t.step(m.Step); !w.wasSlow && !s.learned {
		s.learned = true // runs of one step share an estimate
		m.Baseline.Learn(lag)
	}
}

// checkSpeed evaluates the recent progress of a worker's runs. If they are much
// slower than usual, the worker is avoided and the runs are moved.
func (t *term) checkSpeed(w *worker) {
	if !t.isLeading() {
		return
	}
	runs, motions := t.motions(w)
	assessment := fit.Assess(motions)
	switch assessment.Speed {
	case fit.Normal:
		w.wasSlow = false
		return
	case fit.Unknown:
		return
	}
	w.wasSlow = true
	t.avoidWorker(w, "its runs are slow", zap.Float64("factor", assessment.Factor), zap.Float64("certainty", assessment.Certainty),
		zap.Int("steps", assessment.Steps), zap.Int("runs", len(runs)))
	for i, r := range runs {
		t.moveRun(r, &motions[i])
	}
}

// motions describes the recent progress of those runs of a worker that are
// measurable.
func (t *term) motions(w *worker) (runs []*run, motions []fit.Motion) {
	for _, r := range w.runs {
		if !r.measurable() {
			continue
		}
		m := t.motion(r, r.windowStart)
		runs, motions = append(runs, r), append(motions, m)
		if lag, ok := m.Lag(); ok {
			t.recordLag(r, lag)
		}
	}
	return runs, motions
}

// moveRun has a run start on another worker if it would be done sooner there.
func (t *term) moveRun(r *run, m *fit.Motion) {
	hasCheckpoint := r.spec.Checkpoints && r.checkpoint != ""
	switch {
	case r.spec.Copies && m.ShouldMove(hasCheckpoint, 0):
		t.avoidForStep(r, t.now())
		t.giveUp(r, "its worker is slow and a copy may run elsewhere")
	case m.ShouldMove(hasCheckpoint, t.timing().StopTime):
		t.avoidForStep(r, t.now())
		t.stop(r)
		t.stopGang(r)
	}
}
