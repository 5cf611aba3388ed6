package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// queueKey identifies a queue.
func queueKey(q *job.Queue) string { return q.Host + q.Prefix }

// norm returns what is usual for the runs of a queue.
func (t *term) norm(queue string) *fit.Norm {
	n := t.norms[queue]
	if n == nil {
		n = fit.NewNorm()
		t.norms[queue] = n
	}
	return n
}

// reading is how far a run was. Times are on the worker's clock, because the
// leader may be paused between an answer and its arrival.
type reading struct {
	at      time.Time
	percent int
}

// progress notes how far a run is at a time on its worker's clock. What a run
// had done before is not known until its first listing, unless its start was
// answered and it began anew.
func (r *run) progress(percent int, clock time.Time) {
	r.seen = clock
	now := reading{clock, percent}
	if r.first.at.IsZero() || r.resumed && percent == r.first.percent {
		// What is resumed stands still until its checkpoint is restored.
		r.first, r.mark, r.next = now, now, now
	}
	if window := fit.Window(r.spec.Estimate); clock.Sub(r.next.at) >= window {
		r.mark, r.next = r.next, now
	}
}

// measured reports whether the run's progress tells something about its worker.
// Fillers get what others leave, and a gang may wait for its members.
func (r *run) measured() bool {
	return !r.ended && !r.stopping && !r.spec.Lasting && !r.spec.Filler && r.pace == 0 && !r.first.at.IsZero() &&
		!(r.spec.Gang && r.percent <= r.mark.percent)
}

// motion describes the run's progress since an earlier reading.
func (t *term) motion(r *run, since reading) fit.Motion {
	m := fit.Motion{
		Step: r.id.Of(), Begun: since.at, From: since.percent, Seen: r.seen, Percent: r.percent, Estimate: r.spec.Estimate,
		Norm: t.norm(r.queue),
	}
	if s := t.steps[m.Step]; s != nil {
		for worker, lag := range s.lags {
			if worker != r.worker.ID && (m.Least == 0 || lag < m.Least) {
				m.Least = lag
			}
		}
	}
	return m
}

// lagged remembers the lag of a step's run, with which its others are compared.
func (t *term) lagged(r *run, lag float64) {
	s := t.remember(r.id.Of())
	if s.lags == nil {
		s.lags = map[string]float64{}
	}
	s.lags[r.worker.ID] = lag
}

// learn takes in that a run was done.
func (t *term) learn(r *run, clock time.Time) {
	w := r.worker
	w.faults = 0
	if !w.doubted {
		w.aside = 0
	}
	if r.spec.Lasting || r.spec.Filler || r.pace != 0 || r.resumed || r.first.at.IsZero() {
		return
	}
	r.seen, r.percent = clock, 100
	m := t.motion(r, r.first)
	lag, ok := m.Lag()
	if !ok {
		return
	}
	t.lagged(r, lag)
	if s := t.remember(m.Step); !w.doubted && !s.learned {
		s.learned = true // runs of one step share an estimate
		m.Norm.Learn(lag)
	}
}

// judge looks at the progress of a worker's runs. If they move much slower than
// usual, the worker is avoided and they are moved. It reports whether runs were
// given up that may go on.
func (t *term) judge(w *worker) bool {
	if !t.within() {
		return false
	}
	runs, motions := t.motions(w)
	judgement := fit.Judge(motions)
	switch judgement.Speed {
	case fit.Sound:
		w.doubted = false
		return false
	case fit.Unknown:
		return false
	}
	w.doubted = true
	t.suspect(w, "its runs are slow", zap.Float64("factor", judgement.Factor), zap.Float64("certainty", judgement.Certainty),
		zap.Int("steps", judgement.Steps), zap.Int("runs", len(runs)))
	strays := false
	for i, r := range runs {
		strays = t.move(r, &motions[i]) || strays
	}
	return strays
}

// motions describes the recent progress of a worker's runs, as far as it is known.
func (t *term) motions(w *worker) (runs []*run, motions []fit.Motion) {
	for _, r := range w.runs {
		if !r.measured() {
			continue
		}
		m := t.motion(r, r.mark)
		runs, motions = append(runs, r), append(motions, m)
		if lag, ok := m.Lag(); ok {
			t.lagged(r, lag)
		}
	}
	return runs, motions
}

// move has a run start elsewhere if it is done sooner there. It reports whether
// the run was given up and may go on.
func (t *term) move(r *run, m *fit.Motion) bool {
	saves := r.spec.Checkpoints && r.saved != ""
	switch {
	case r.spec.Copies && m.Moves(saves, 0):
		t.avoid(r, t.now())
		t.lose(r, "its worker is slow and a copy may run elsewhere")
		return true
	case m.Moves(saves, t.timing().StopTime):
		t.avoid(r, t.now())
		t.stop(r)
		t.breakGang(r)
	}
	return false
}
