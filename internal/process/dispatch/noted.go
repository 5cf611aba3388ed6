package dispatch

import (
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// noted are the starts that the replicated state has as unclear, or will have, by worker. The state knows them by
// worker only, so that it forgets them together, once none is left.
type noted map[string]map[orphan]bool

func (n noted) add(worker string, key orphan) {
	if n[worker] == nil {
		n[worker] = map[orphan]bool{}
	}
	n[worker][key] = true
}

// start identifies a run in a round.
func (r *run) start() job.Start {
	return job.Start{Task: r.id, Run: r.number, Worker: r.worker.ID, Life: r.worker.Life}
}

// startOpen reports whether a copy of a run's start may still be carried out, as far as is known.
func (t *term) startOpen(r *run) bool {
	d := t.doubts[r.worker.ID]
	if d == nil {
		return false
	}
	_, open := d.starts[orphan{r.id, r.number}]
	return open
}

// setUnclear adds a run with a copy of its start without an answer to the next round.
func (t *term) setUnclear(r *run) {
	r.unclear = true
	t.orderUse.unclear++
	t.noted.add(r.worker.ID, orphan{r.id, r.number})
	t.inbox.unclear = append(t.inbox.unclear, r.start())
}

// dropNoted records that a start is settled that the state has as unclear, if it does.
func (t *term) dropNoted(worker string, key orphan) {
	if !t.noted[worker][key] {
		return
	}
	delete(t.noted[worker], key)
	if r := t.runs[key.task]; r != nil && r.number == key.run {
		r.unclear = false // a further copy is noted anew
	}
	t.forgetNoted(worker)
}

// forgetNoted has the state forget the starts to a worker if all are settled, and nothing of an earlier leader is
// on its way there.
func (t *term) forgetNoted(worker string) {
	if len(t.noted[worker]) == 0 && !t.now().Before(t.heldUntil[worker]) {
		delete(t.noted, worker)
		t.inbox.replaced = append(t.inbox.replaced, worker)
		t.signal()
	}
}

// expireHolds ends the holds of earlier leaders.
func (t *term) expireHolds(now time.Time) {
	for worker, until := range t.heldUntil {
		if !now.Before(until) {
			delete(t.heldUntil, worker)
			t.forgetNoted(worker)
		}
	}
}

// dropReplaced drops the workers from a list to which there are unclear starts again.
func (t *term) dropReplaced(names []string) []string {
	kept := names[:0]
	for _, name := range names {
		if len(t.noted[name]) == 0 {
			kept = append(kept, name)
		}
	}
	return kept
}

// noteFurtherCopies has the next leaders know that a run gets a second copy of its start while the first one may be
// carried out: until then they take the one for arrived that a listing shows. It reports whether the
// start goes on.
func (t *term) noteFurtherCopies(r *run) bool {
	t.mu.Lock()
	if t.sendingOver(r) || !t.startOpen(r) {
		defer t.mu.Unlock()
		return !t.sendingOver(r)
	}
	c := t.enqueue(func(*inbox) { t.setUnclear(r) })
	t.mu.Unlock()
	for !t.awaitCommit(t.ctx, c) {
		if t.ctx.Err() != nil {
			return false
		}
		t.mu.Lock()
		c = t.enqueue(func(*inbox) {}) // what was not committed is in the next round again
		t.mu.Unlock()
	}
	return true
}

// sendingOver reports whether no copy of a run's start is to be sent any more. The caller holds the lock.
func (t *term) sendingOver(r *run) bool {
	return t.over || r.endQueued || r.stopping || !r.startResolvedAt.IsZero() || t.workers[r.worker.ID] != r.worker
}
