package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// silentReports is the number of reports that may be missing before a worker
	// gets nothing new.
	silentReports = 3
	// silentAnswers is the number of orders in a row without an answer after
	// which a worker gets nothing new.
	silentAnswers = 3
	// suspectFaults is the number of failed runs in a row, without one that was
	// done, after which a worker is avoided.
	suspectFaults = 3
	// suspectTime is how long a worker is avoided at first; it doubles each time
	// up to suspectLongest.
	suspectTime    = 3 * time.Second
	suspectLongest = 6 * time.Second
	// leaveTime is how long a worker that said that it ends may still run things.
	leaveTime = 250 * time.Millisecond
)

// worker is what the leader remembers of a worker's life.
type worker struct {
	job.Worker
	sequence  int64
	seen      time.Time // last report or answer
	clock     time.Time // reading of the worker's clock
	clockAt   time.Time // when the reading arrived
	granted   time.Time // latest end of a lease that was sent, on the worker's clock
	floor     time.Time // an earlier leader's leases may last until then
	runs      map[job.TaskID]*run
	following bool  // a loop lists its runs
	probe     bool  // one listing is wanted even without runs
	strays    bool  // runs that were given up may go on there; no listing without them yet
	listed    int64 // highest number of an end that was taken in
	cursor    int64 // highest number of an end that is committed
	missed    int   // orders in a row without an answer
	leaves    time.Time
	drained   time.Time // a draining worker is gone after this
	faults    int
	aside     time.Duration
	avoided   time.Time // no new tasks before this
	doubted   bool      // was slow, and has not yet shown that it is not any more
}

func newWorker(w job.Worker, now time.Time) *worker {
	return &worker{Worker: w, seen: now, runs: map[job.TaskID]*run{}}
}

// reading notes a reading of the worker's clock.
func (w *worker) reading(clock, now time.Time) {
	if !clock.IsZero() && clock.After(w.clock) {
		w.clock, w.clockAt = clock, now
	}
}

// lease returns the end of a new lease, on the worker's clock. While the worker
// does not answer, the end stays where it was, so that the lease runs out.
func (w *worker) lease(now time.Time, length time.Duration) time.Time {
	if w.missed == 0 && !w.clock.IsZero() {
		end := w.clock.Add(now.Sub(w.clockAt) + length)
		if end.After(w.granted) {
			w.granted = end
		}
	}
	return w.granted
}

// lapse returns the time after which nothing that was granted is in force.
func (w *worker) lapse() time.Time {
	if w.granted.IsZero() || w.clock.IsZero() {
		return w.floor
	}
	end := w.clockAt.Add(time.Duration(float64(w.granted.Sub(w.clock))/clockRate) + lapseMargin)
	if end.Before(w.floor) {
		return w.floor
	}
	return end
}

// usable reports whether the worker may get new tasks.
func (w *worker) usable(now time.Time, every time.Duration) bool {
	return !w.Draining && !w.strays && w.leaves.IsZero() && !w.clock.IsZero() && w.missed < silentAnswers &&
		now.Sub(w.seen) < silentReports*every && !now.Before(w.avoided)
}

// hear notes an answer, or the lack of one. It reports whether the worker's life
// goes on. What another life under its ID holds is learned from its own report.
// The caller holds the term's lock.
func (t *term) hear(w *worker, a Answer) bool {
	now := t.now()
	switch a.Result {
	case Accepted, Refused:
		if w.missed >= silentAnswers {
			t.emit(event.WorkerAnswers, zap.String("worker", w.ID), zap.Int("missed", w.missed))
		}
		w.missed, w.seen = 0, now
		w.reading(a.Clock, now)
		if a.Life != 0 && a.Life != w.Life {
			t.finish(w, "another life answers under its id")
			return false
		}
	case Stranger:
		t.finish(w, "another process answers at its address")
		return false
	default:
		w.missed++
		t.unanswered = now
		if w.missed == silentAnswers {
			t.emit(event.WorkerSilent, zap.String("worker", w.ID), event.Cause(a.Error), zap.Time("lapse", w.lapse()))
		}
	}
	return true
}

// finish notes that a worker's life is over, with all its runs. The caller holds
// the term's lock.
func (t *term) finish(w *worker, reason string) {
	if t.workers[w.ID] != w {
		return
	}
	t.emit(event.WorkerOver, zap.String("worker", w.ID), zap.Int64("life", int64(w.Life)), zap.String("reason", reason),
		zap.Int("runs", len(w.runs)))
	delete(t.workers, w.ID)
	t.next.gone = append(t.next.gone, w.Worker)
	t.loseAll(w, reason)
	t.dispatcher.options.Upstream.Forget(&w.Worker)
}

// loseAll gives up all runs on a worker.
func (t *term) loseAll(w *worker, reason string) {
	for _, r := range w.runs {
		t.lose(r, reason)
	}
}

// loseCopies gives up the runs on a silent worker of which copies may run
// elsewhere. They may go on, so the worker gets nothing new before a listing
// without them.
func (t *term) loseCopies(w *worker) {
	for _, r := range w.runs {
		if r.spec.Copies && !r.ended {
			w.strays = true
			t.lose(r, "the worker is silent and a copy may run elsewhere")
		}
	}
}

// lose gives up a run that is not in force and never will be. The caller holds
// the term's lock.
func (t *term) lose(r *run, reason string) {
	if r.ended {
		return
	}
	r.ended = true
	t.emit(event.RunLost, zap.Stringer("task", r.id), zap.Int("run", r.number), zap.String("worker", r.worker.ID),
		zap.String("reason", reason))
	t.next.ends = append(t.next.ends, r.end(job.Lost, r.saved))
	t.signal()
}

// suspect avoids a worker for a while. The caller holds the term's lock.
func (t *term) suspect(w *worker, reason string, fields ...zap.Field) {
	now := t.now()
	if now.Before(w.avoided) {
		return
	}
	w.aside = min(max(suspectTime, 2*w.aside), suspectLongest)
	w.avoided = now.Add(w.aside)
	t.emit(event.WorkerSuspect, append(fields, zap.String("worker", w.ID), zap.String("reason", reason), zap.Int("faults", w.faults),
		zap.Time("until", w.avoided))...)
}
