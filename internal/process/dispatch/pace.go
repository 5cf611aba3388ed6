package dispatch

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// minWarmChange is by how much the time at which a worker is warm must move for a report to change it.
	// Each change is written to the log.
	minWarmChange = 250 * time.Millisecond
	// speedInterval is the interval at which learned speeds are written to the log, and minSpeedChange the
	// ratio by which one must have changed. maxSpeeds limits how many are written at once.
	speedInterval  = 5 * time.Second
	minSpeedChange = 1.1
	maxSpeeds      = 1000
)

// coldLeft returns for how long a worker is cold from a time on.
func (w *worker) coldLeft(at time.Time) time.Duration {
	if w.Warm.IsZero() || w.clockReading.IsZero() {
		return 0
	}
	return max(0, w.Warm.Sub(w.clockReading.Add(at.Sub(w.clockReadAt))))
}

// warmAt returns when the worker of a report is warm, on its own clock; zero if it is.
func warmAt(r *cell.Report) time.Time {
	if r.Cold <= 0 || r.Cold > cell.MaxCold || r.Clock.IsZero() {
		return time.Time{}
	}
	return r.Clock.Add(time.Duration(r.Cold) * time.Millisecond)
}

// noteCold takes over until when a worker says that it is cold, and reports whether that has changed.
func (t *term) noteCold(w *worker, r *cell.Report) bool {
	if r.Clock.IsZero() {
		return false
	}
	known, stated := later(w.Warm, r.Clock), later(warmAt(r), r.Clock)
	if stated.Sub(known).Abs() <= minWarmChange {
		return false
	}
	w.Warm = warmAt(r)
	t.emitCold(w)
	return true
}

// emitCold logs until when a worker is cold.
func (t *term) emitCold(w *worker) {
	if left := w.coldLeft(t.now()); left > 0 {
		t.emit(event.WorkerCold, zap.String("worker", w.ID), zap.String("pool", w.Pool), zap.Duration("left", left),
			zap.Float64("speed", t.coldnessOf(w.Pool).Speed()))
	}
}

// adoptSpeed takes over what an earlier leader learned of a worker's speed.
func (w *worker) adoptSpeed(v *job.View) {
	if s, known := v.Speeds[w.ID]; known && s.Life == w.Life && s.Factor > 0 {
		w.pace = fit.InheritedPace(s.Factor)
	}
}

// writeSpeeds has the next leaders know the speeds that have changed. Those that are not committed are
// compared again later. The caller holds the lock.
func (t *term) writeSpeeds(now time.Time) {
	if now.Before(t.nextSpeeds) || len(t.inbox.speeds) > 0 {
		return
	}
	t.nextSpeeds = now.Add(speedInterval)
	t.state().View(func(v *job.View) {
		for _, w := range t.workers {
			old := v.Speeds[w.ID].Factor
			if old <= 0 || v.Speeds[w.ID].Life != w.Life {
				old = 1
			}
			speed := w.pace.Factor()
			if w.committed && len(t.inbox.speeds) < maxSpeeds && math.Abs(math.Log(speed/old)) >= math.Log(minSpeedChange) {
				t.inbox.speeds = append(t.inbox.speeds, job.WorkerSpeed{Worker: w.ID, Life: w.Life, Factor: speed})
				t.emit(event.SpeedLearned, zap.String("worker", w.ID), zap.String("pool", w.Pool), zap.Float64("speed", speed), zap.Float64("before", old))
			}
		}
	})
	if len(t.inbox.speeds) > 0 {
		t.signal()
	}
}

// countSpeed counts a usable worker by its speed.
func (u *poolUsage) countSpeed(w *fit.Worker) {
	u.speed += w.Speed
	if w.Cold > 0 {
		u.cold++
	}
	if w.Speed < 1 {
		u.slow++
	}
}
