package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// lateOrderTime is how long an order without an answer may still be carried out.
	// The platform states 12 s.
	lateOrderTime = 13 * time.Second
	// clockSlack is how far a worker's clock may seem to go back, because answers
	// overtake each other. Beyond it, another incarnation has answered.
	clockSlack = 5 * time.Second
)

// doubts are the starts that were sent to an incarnation of a worker, or to one before it,
// and that have copies without an answer. Any incarnation under the same ID may carry these
// out, one that this leader does not hear included. It knows nothing of an earlier stop, and
// its clock, with which it measures the lease, starts anew, so that an old lease is as long
// there as the longest one.
type doubts struct {
	life    job.Incarnation
	starts  map[orphan]time.Time // when the latest copy was sent
	granted time.Time            // when a lease was last sent, which may arrive late as well
	held    []*run               // runs of incarnations that have ended; they end when no copy can be carried out
}

// doubt records that a copy of a start is sent.
func (t *term) doubt(r *run) {
	d := t.doubts[r.worker.ID]
	if d == nil || d.life != r.worker.Life {
		d = &doubts{life: r.worker.Life, starts: map[orphan]time.Time{}}
		t.doubts[r.worker.ID] = d
	}
	r.copies++
	d.starts[orphan{r.id, r.number}] = t.now()
	d.granted = t.now()
}

// doubtCopies records that an attempt without an answer sent a number of copies more than one
// at a time. The run may have been listed meanwhile, which settles one of them.
func (t *term) doubtCopies(r *run, copies int, sent time.Time) {
	if copies <= 0 {
		return
	}
	r.copies += copies
	if d := t.doubts[r.worker.ID]; d != nil && d.life == r.worker.Life {
		key := orphan{r.id, r.number}
		d.starts[key] = later(d.starts[key], sent)
		return
	}
	t.doubts[r.worker.ID] = &doubts{life: r.worker.Life, starts: map[orphan]time.Time{{r.id, r.number}: t.now()}, granted: t.now()}
}

// doubtsOf returns the doubts about a worker's incarnation, or nil if there are none.
func (t *term) doubtsOf(w *worker) *doubts {
	if d := t.doubts[w.ID]; d != nil && d.life == w.Life && len(d.starts) > 0 {
		return d
	}
	return nil
}

// settleCopy records that a copy of a start can no longer be carried out: it was answered, or
// its run is listed.
func (t *term) settleCopy(r *run) {
	r.copies = max(0, r.copies-1)
	if d := t.doubtsOf(r.worker); d != nil && r.copies == 0 {
		delete(d.starts, orphan{r.id, r.number})
	}
}

// noteUnclear has the next leaders know that a copy of a run's start has no answer.
func (t *term) noteUnclear(r *run) {
	if !r.unclear && !r.spec.Copies {
		r.unclear = true
		t.inbox.unclear = append(t.inbox.unclear, job.Start{Task: r.id, Run: r.number, Worker: r.worker.ID, Life: r.worker.Life})
		t.signal()
	}
}

// lease returns the end of the lease that a listing carries, and whether it may carry one. A
// worker that does not answer may have started again, and would extend what it executes of
// the former incarnation's starts, and forget ends that are not known.
func (t *term) lease(w *worker) (end time.Time, known bool) {
	d := t.doubtsOf(w)
	if d != nil && w.missed > 0 {
		return time.Time{}, false
	}
	if d != nil {
		d.granted = t.now()
	}
	if w.needsLease() {
		return w.extendLease(t.now(), t.leaseDuration()), true
	}
	return w.leaseEnd, true
}

// longestLease is the time after which what a worker executes has ended, if it is sent no
// further lease.
func (t *term) longestLease() time.Duration {
	return time.Duration(float64(t.timing().MaxLease)/minClockRate) + leaseExpiryMargin
}

// overAt returns when no incarnation of a worker executes a run any more, and none will, if
// nothing is heard of it. A long-running task waits for prompt copies only: while all
// is well it must not be without a run for as long as an order may be late.
func (t *term) overAt(d *doubts, r *run) time.Time {
	sent, unclear := d.starts[orphan{r.id, r.number}]
	if !unclear || r.spec.Copies {
		return time.Time{}
	}
	arrives := later(sent, d.granted)
	if !r.spec.Lasting {
		arrives = arrives.Add(lateOrderTime)
	}
	return arrives.Add(t.longestLease())
}

// keep reports whether a run of a worker that is not heard has to be kept, because a copy of its
// start may be carried out by an incarnation that is not known.
func (t *term) keep(w *worker, r *run, reason string) bool {
	d := t.doubtsOf(w)
	if d == nil || r.endQueued {
		return false
	}
	until := t.overAt(d, r)
	if !t.now().Before(until) {
		return false
	}
	if r.keptSince.IsZero() {
		r.keptSince = t.now()
		t.emit(event.RunKept, zap.Stringer("task", r.id), zap.Int("run", r.number), zap.String("worker", w.ID), zap.Int64("life", int64(w.Life)),
			zap.Int("copies", r.copies), zap.Duration("age", t.now().Sub(d.starts[orphan{r.id, r.number}])), zap.Time("until", until), zap.String("reason", reason))
	}
	return true
}

// hold keeps a run of an incarnation that has ended, if another one may execute it. It
// reports whether the run is kept.
func (t *term) hold(w *worker, r *run, reason string) bool {
	if !t.keep(w, r, reason) {
		return false
	}
	d := t.doubts[w.ID]
	d.held = append(d.held, r)
	return true
}

// settleDoubts has an incarnation of a worker that reports itself stop what was meant for the
// former ones. Runs that are held end once it can no longer execute them. The next incarnation
// knows nothing of these stops, so that the doubts go on until no copy can arrive.
func (t *term) settleDoubts(w *worker) {
	d := t.doubts[w.ID]
	if d == nil {
		return
	}
	held := d.held
	d.held = nil
	for _, r := range held {
		t.stopFormer(w, r)
	}
	if d.life == w.Life {
		return
	}
	for key := range d.starts {
		t.stopOrphan(w, key.task, key.run, "its start was sent to the former incarnation")
	}
	d.life = w.Life
}

// stopFormer has a worker stop a run of its former incarnation.
func (t *term) stopFormer(w *worker, r *run) {
	t.stopOrphan(w, r.id, r.number, "its start was sent to the former incarnation")
	w.orphans[orphan{r.id, r.number}].former = r
}

// expireDoubts drops what can no longer be carried out.
func (t *term) expireDoubts(now time.Time) {
	for id, d := range t.doubts {
		var kept []*run
		for _, r := range d.held {
			if now.Before(t.overAt(d, r)) {
				kept = append(kept, r)
			} else {
				t.lose(r, "its worker's next incarnation did not report itself")
			}
		}
		d.held = kept
		w := t.workers[id]
		for key, sent := range d.starts {
			over := sent.Add(lateOrderTime)
			if w == nil || w.Life != d.life || w.missed > 0 || !w.answeredAt.After(over) {
				// The copy may have been carried out by an incarnation that is not heard.
				over = later(over, d.granted.Add(lateOrderTime)).Add(t.longestLease())
			}
			if now.After(over) {
				delete(d.starts, key)
			}
		}
		if len(d.starts) == 0 && len(d.held) == 0 {
			delete(t.doubts, id)
		}
	}
}

// adoptDoubt records that an earlier leader may have sent copies of a run's start until now
// that have no answer.
func (t *term) adoptDoubt(w *worker, r *run, known bool) {
	d := t.doubts[w.ID]
	if d == nil {
		d = &doubts{life: w.Life, starts: map[orphan]time.Time{}}
		t.doubts[w.ID] = d
	}
	r.copies, r.unclear = max(r.copies, 1), known
	d.starts[orphan{r.id, r.number}], d.granted = t.now(), t.now()
	t.noteUnclear(r)
}

// adoptHeld keeps a run whose worker an earlier leader has removed, if another incarnation may
// execute it. It reports whether the run is kept.
func (t *term) adoptHeld(r *run, name string, life job.Incarnation, known bool) bool {
	w := newWorker(job.Worker{ID: name, Life: life, Capacity: work.Resources{}}, t.now())
	r.worker = w
	t.adoptDoubt(w, r, known)
	return t.hold(w, r, "an earlier leader removed its worker")
}
