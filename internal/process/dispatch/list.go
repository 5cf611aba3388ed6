package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// listWait is how long a listing waits for an end. The lease is extended by
	// each listing, so the wait is well below its length.
	listWait = 1500 * time.Millisecond
	// fateWait is the wait while it is not known what became of an order.
	fateWait = 150 * time.Millisecond
	// listSlack is added to the wait for the answer to arrive.
	listSlack = 200 * time.Millisecond
	// lossyTime is how long after an order without an answer orders count as lossy.
	// While they do, listings of workers with urgent runs wait lossyWait at most:
	// an end is seen only with the next listing if the answer is lost.
	lossyTime = 4 * time.Second
	lossyWait = 250 * time.Millisecond
	// overdueFactor times the usual duration an urgent run may take before its worker
	// is looked at for its progress, and then every overdueWait.
	overdueFactor = 1.4
	overdueWait   = 400 * time.Millisecond
	// listPause is the shortest time between two listings of a worker with ends;
	// each look has a price, and ends of one step come close together.
	listPause = 30 * time.Millisecond
	// stallTime is the time without progress after which a run is moved to
	// another worker. A sound run of the longest kind moves by a percent in a
	// fifth of it.
	stallTime = 3 * time.Second
)

// follow has a loop list the runs of a worker while it has any. The caller holds
// the lock.
func (t *term) follow(w *worker) {
	if w.following || t.over {
		return
	}
	w.following = true
	t.orders.Go(func() { t.list(w) })
}

// list lists a worker's runs, extends their lease and acknowledges their ends,
// until it has none.
func (t *term) list(w *worker) {
	for {
		t.mu.Lock()
		if t.over || t.workers[w.ID] != w || len(w.runs) == 0 && w.cursor >= w.listed && !w.probe {
			w.following = false
			t.mu.Unlock()
			return
		}
		w.probe = false
		o := t.listOrder(w)
		target := w.Worker
		t.mu.Unlock()
		if !t.within() {
			pause(t.ctx, orderPause)
			if t.ctx.Err() != nil {
				return
			}
			continue
		}
		sent := t.now()
		listing, a := t.dispatcher.options.Upstream.List(sent.Add(o.Wait+listSlack), &target, o)
		if settled := t.listing(w, sent, listing, a); settled != nil {
			t.settled(t.ctx, settled)
		}
		switch {
		case o.Wait == 0:
			pause(t.ctx, fateWait) // asked again for what is not known yet
		case a.Result != Accepted || len(listing.Ended) > 0:
			pause(t.ctx, listPause)
		}
	}
}

func (t *term) listOrder(w *worker) ListOrder {
	o := ListOrder{Lease: w.lease(t.now(), t.leases()), Fence: t.number, Cursor: w.cursor}
	if len(w.runs) == 0 || w.missed > 0 || w.clock.IsZero() {
		return o
	}
	o.Wait = min(listWait, t.timing().LongestPoll)
	now := t.now()
	lossy := now.Sub(t.unanswered) < lossyTime
	for _, r := range w.runs {
		if lossy && r.urgent {
			o.Wait = min(o.Wait, lossyWait)
		}
		if r.urgent && r.measured() {
			usual := overdueFactor * float64(t.norm(r.queue).Expected(r.spec.Estimate))
			o.Wait = min(o.Wait, max(r.clear.Add(time.Duration(usual)).Sub(now), overdueWait))
		}
		if r.clear.IsZero() || !r.stopped.IsZero() {
			// Its fate is wanted soon; it may be that nothing ends.
			o.Wait = min(o.Wait, fateWait)
		}
	}
	return o
}

// listing takes in a listing. It returns a channel to wait for if ends have to
// be committed before the next listing.
func (t *term) listing(w *worker, sent time.Time, l Listing, a Answer) <-chan bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.over || t.workers[w.ID] != w {
		return nil
	}
	if !t.hear(w, a) {
		return nil
	}
	if a.Result != Accepted {
		return nil
	}
	present := map[job.TaskID]bool{}
	strays := false
	for _, row := range l.Running {
		present[row.Task] = true
		strays = t.row(w, row, a.Clock) || strays
	}
	w.strays = strays || t.judge(w)
	w.probe = strays
	last := w.listed
	for _, e := range l.Ended {
		if e.Number > w.listed {
			last = max(last, e.Number)
			t.ended(w, e, a.Clock)
		}
	}
	w.listed = last
	if l.Whole {
		t.missing(w, sent, present)
	}
	if w.listed <= w.cursor {
		return nil
	}
	c := cursor{w, w.listed}
	return t.enqueue(func(n *inbox) { n.cursors = append(n.cursors, c) })
}

// row takes in a run that a worker lists. One that is not in force is stopped;
// row reports whether it is one.
func (t *term) row(w *worker, row Row, clock time.Time) bool {
	r := w.runs[row.Task]
	if r == nil || r.number != row.Run {
		t.stray(w, row)
		return true
	}
	if r.ended {
		return true // given up; it is stopped once its end is committed
	}
	now := t.now()
	if r.clear.IsZero() {
		r.clear = now
	}
	if row.Saved != "" {
		r.saved = row.Saved
	}
	if row.Percent != r.percent || r.spec.Lasting {
		r.percent, r.moved = row.Percent, now
	}
	r.figure = row.Figure
	r.progress(row.Percent, clock)
	return false
}

// stray stops a run that is not in force: its order was carried out late.
func (t *term) stray(w *worker, row Row) {
	r := &run{id: row.Task, number: row.Run, worker: w, spec: &job.Step{}}
	t.emit(event.RunUnclear, zap.Stringer("task", r.id), zap.Int("run", r.number), zap.String("worker", w.ID),
		zap.String("reason", "a run that is not in force is listed"))
	t.stop(r)
}

// ended takes in an end that a worker lists.
func (t *term) ended(w *worker, e EndRow, clock time.Time) {
	r := w.runs[e.Task]
	if r == nil || r.number != e.Run || r.ended {
		// The run was given up and went on; the state keeps what counts of it.
		t.next.ends = append(t.next.ends,
			job.End{Task: e.Task, Run: e.Run, Worker: w.ID, Life: w.Life, Outcome: e.Outcome, Saved: e.Saved})
		return
	}
	r.ended = true
	t.next.ends = append(t.next.ends, r.end(e.Outcome, e.Saved))
	switch e.Outcome {
	case job.Done:
		t.learn(r, clock)
	case job.Faulted:
		w.faults++
		t.avoid(r, t.now())
		if w.faults >= suspectFaults {
			t.suspect(w, "runs fail in a row")
		}
		t.breakGang(r)
	case job.Lapsed, job.Alone:
		t.breakGang(r)
	}
	if e.Outcome != job.Done {
		t.emit(event.RunEnded, zap.Stringer("task", r.id), zap.Int("run", r.number), zap.String("worker", w.ID),
			zap.Stringer("outcome", e.Outcome), zap.Int64("number", e.Number))
	}
	t.signal()
}

// missing gives up runs that should be listed and are not: the worker answered
// their start, or their stop, before the listing was asked for.
func (t *term) missing(w *worker, sent time.Time, present map[job.TaskID]bool) {
	for id, r := range w.runs {
		if r.ended || present[id] {
			continue
		}
		started := !r.clear.IsZero() && r.clear.Before(sent)
		stopped := !r.stopped.IsZero() && r.stopped.Before(sent)
		if started || stopped {
			t.lose(r, "not listed by the worker")
			t.breakGang(r)
		}
	}
}
