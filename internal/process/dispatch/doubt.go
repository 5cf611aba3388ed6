package dispatch

import (
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
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
// and that a later incarnation under the same ID may carry out. It knows nothing of an earlier
// stop, and its clock, with which it measures the lease, starts anew.
type doubts struct {
	life   job.Incarnation
	starts map[orphan]time.Time // when the start can no longer be carried out
	held   []*run               // runs without an answer, whose end is not known
}

// doubt records that a start is sent.
func (t *term) doubt(r *run) {
	d := t.doubts[r.worker.ID]
	if d == nil || d.life != r.worker.Life {
		d = &doubts{life: r.worker.Life, starts: map[orphan]time.Time{}}
		t.doubts[r.worker.ID] = d
	}
	d.starts[orphan{r.id, r.number}] = t.now().Add(lateOrderTime)
}

// resolveDoubt records that the incarnation that a start was sent to has answered it.
func (t *term) resolveDoubt(r *run) {
	if d := t.doubts[r.worker.ID]; d != nil && d.life == r.worker.Life {
		delete(d.starts, orphan{r.id, r.number})
	}
}

// hold keeps a run of an incarnation that has ended, if the next one may execute it.
// It reports whether the run is kept.
func (t *term) hold(r *run) bool {
	return !r.spec.Copies && r.startResolvedAt.IsZero() && t.holdFor(r.worker, r)
}

// holdFor keeps a run if its start may be carried out by the incarnation after a worker.
func (t *term) holdFor(w *worker, r *run) bool {
	d := t.doubts[w.ID]
	if d == nil || d.life != w.Life || r.endQueued {
		return false
	}
	if _, doubtful := d.starts[orphan{r.id, r.number}]; !doubtful {
		return false
	}
	d.held = append(d.held, r)
	return true
}

// settleDoubts has a new incarnation of a worker stop what was meant for the former
// ones. Runs that are held end once it can no longer execute them. The next incarnation
// knows nothing of these stops, so that the doubts go on until no start can arrive.
func (t *term) settleDoubts(w *worker) {
	d := t.doubts[w.ID]
	if d == nil || d.life == w.Life {
		return
	}
	for _, r := range d.held {
		t.stopFormer(w, r)
	}
	now := t.now()
	next := &doubts{life: w.Life, starts: map[orphan]time.Time{}}
	for key, until := range d.starts {
		if now.Before(until) {
			next.starts[key] = until
			t.stopOrphan(w, key.task, key.run, "its start was sent to the former incarnation")
		}
	}
	t.doubts[w.ID] = next
}

// stopFormer has a worker stop a run of its former incarnation.
func (t *term) stopFormer(w *worker, r *run) {
	t.stopOrphan(w, r.id, r.number, "its start was sent to the former incarnation")
	w.orphans[orphan{r.id, r.number}].former = r
}

// expireDoubts drops what can no longer be carried out.
func (t *term) expireDoubts(now time.Time) {
	for id, d := range t.doubts {
		for key, until := range d.starts {
			if now.After(until) {
				delete(d.starts, key)
			}
		}
		if len(d.starts) > 0 {
			continue
		}
		delete(t.doubts, id)
		for _, r := range d.held {
			t.lose(r, "its worker's next incarnation did not report itself")
		}
	}
}
