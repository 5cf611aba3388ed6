package dispatch

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// minPacedPercent is the progress from which the speed of a worker is learned before a run ends. Percentages
// are whole, so that less says little.
const minPacedPercent = 10

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
	m.Speed, m.Unclear = t.expectedSpeed(r, since)
	t.comparePeers(r, &m)
	return m
}

// comparePeers sets with what the run's progress is compared: the lags of its step's runs on other
// workers, as they would be on a worker of speed 1.
func (t *term) comparePeers(r *run, m *fit.Motion) {
	s := t.steps[m.Step]
	if s == nil {
		return
	}
	sum := 0.0
	for name, lag := range s.lags {
		if name == r.worker.ID {
			continue
		}
		if r.spec.Gang {
			lag *= m.Speed // all members are as slow as the slowest
		} else if w := t.workers[name]; w != nil {
			lag *= w.pace.Speed()
		}
		if m.MinLag == 0 || lag < m.MinLag {
			m.MinLag = lag
		}
		sum += math.Log(lag)
		m.Peers++
	}
	if m.Peers > 0 {
		m.PeerLag = math.Exp(sum / float64(m.Peers))
	}
}

// expectedSpeed returns the speed at which a run should have progressed since a sample. unclear is set
// if its worker was cold and it is not known how slow that makes the workers of the pool.
func (t *term) expectedSpeed(r *run, since progressSample) (speed float64, unclear bool) {
	speed, unclear = t.workerSpeed(r.worker, r.progressAt.Sub(since.at))
	if !r.spec.Gang {
		return speed, unclear
	}
	for i := range r.spec.Count {
		if m := t.runs[r.id.StepID().Task(i)]; m != nil && m != r {
			s, u := t.workerSpeed(m.worker, r.progressAt.Sub(since.at))
			speed, unclear = min(speed, s), unclear || u
		}
	}
	return speed, unclear
}

// workerSpeed returns the expected speed of a worker in the latest period of a length.
func (t *term) workerSpeed(w *worker, period time.Duration) (speed float64, unclear bool) {
	speed = w.pace.Speed()
	if w.coldLeft(t.now().Add(-period)) > 0 {
		c := t.coldnessOf(w.Pool)
		return speed * c.Speed(), !c.Known()
	}
	return speed, false
}

// coldnessOf returns how slow the cold workers of a pool are.
func (t *term) coldnessOf(pool string) *fit.Pace {
	c := t.coldness[pool]
	if c == nil {
		c = fit.NewColdness()
		t.coldness[pool] = c
	}
	return c
}

// knownColdness returns the speed of the cold workers of a pool relative to their normal one, or zero while it
// is not known.
func (t *term) knownColdness(pool string) float64 {
	if c := t.coldnessOf(pool); c.Known() {
		return c.Speed()
	}
	return 0
}

// learnSpeed learns the normal speed of a worker from a run's progress, or, while the worker is cold, how
// slow the cold workers of its pool are. It must be called before the run's lag is recorded: where only the
// estimate of a step says what to expect, a worker's runs of it count once.
func (t *term) learnSpeed(r *run, m *fit.Motion) {
	w := r.worker
	if r.spec.Gang || r.spec.Rack != "" || w.wasSlow {
		return // others, or where the data is, determine how fast it is
	}
	if s := t.steps[m.Step]; m.Peers == 0 && s != nil && s.lags[w.ID] > 0 {
		return
	}
	switch {
	case !m.Time.After(w.Warm):
		t.coldnessOf(w.Pool).Learn(m, w.pace.Speed())
	case m.StartTime.Before(w.Warm):
		// It was cold for a part of the time only.
	default:
		w.pace.Learn(m, 1)
	}
}

// recordLag records the lag of a run, with which the other runs of its step are
// compared. That on a cold worker says nothing about others.
func (t *term) recordLag(r *run, m *fit.Motion, lag float64) {
	if m.StartTime.Before(r.worker.Warm) {
		return
	}
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
	t.learnSpeed(r, &m)
	t.recordLag(r, &m, lag)
	if s := t.step(m.Step); !w.wasSlow && !m.Unclear && !s.learned {
		s.learned = true // runs of one step share an estimate
		m.Baseline.Learn(lag * m.Speed)
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
			if !r.paced && r.percent-r.windowStart.percent >= minPacedPercent {
				r.paced = true
				t.learnSpeed(r, &m)
			}
			t.recordLag(r, &m, lag)
		}
	}
	return runs, motions
}

// moveRun has a run start on another worker if it would be done sooner there.
func (t *term) moveRun(r *run, m *fit.Motion) {
	m.There = t.speedElsewhere(r.worker)
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

// speedElsewhere returns the mean speed of the usable workers of a pool other than a worker.
func (t *term) speedElsewhere(w *worker) float64 {
	sum, n, now := 0.0, 0, t.now()
	for _, o := range t.workers {
		if o != w && o.Pool == w.Pool && o.usable(now, t.timing().ReportInterval) {
			s, _ := t.workerSpeed(o, 0)
			sum += s
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}
