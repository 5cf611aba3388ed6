package dispatch

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// maxListWait is how long a listing waits for the end of a run. Each
	// listing extends the lease, so the wait is well below the length of a
	// lease.
	maxListWait = 1500 * time.Millisecond
	// unresolvedListWait is the wait while the outcome of an order is not
	// known.
	unresolvedListWait = 150 * time.Millisecond
	// listTimeoutMargin is added to the wait, for the answer to arrive.
	listTimeoutMargin = 200 * time.Millisecond
	// minHeldInterval and maxHeldInterval bound the time between two listings of a worker whose
	// ends are not acknowledged, since copies of their starts have no answer. Such listings do
	// not wait, and each without an answer costs a connection.
	minHeldInterval = 130 * time.Millisecond
	maxHeldInterval = 200 * time.Millisecond
	// lossyPeriod is how long after unanswered orders to lossyWorkers workers the
	// connections count as lossy. During this time several copies of a listing wait at
	// the same time, because one that is lost looks like one that waits for an end.
	lossyPeriod        = 4 * time.Second
	lossyWorkers       = 3
	lossyListWait      = 400 * time.Millisecond
	lossyListRepeat    = 70 * time.Millisecond // between copies
	lossyTimeoutMargin = 60 * time.Millisecond
	// missedListWait is the wait for a worker that alone did not answer its latest order.
	missedListWait = 60 * time.Millisecond
	// An urgent run may take overdueFactor times its expected run time before
	// its worker is polled for its progress. From then on it is polled every
	// overdueListWait.
	overdueFactor   = 1.4
	overdueListWait = 400 * time.Millisecond
	// minListInterval is the shortest time between two listings of a worker
	// that reports ends. Each listing has a cost, and the tasks of one step end
	// close together.
	minListInterval = 30 * time.Millisecond
	// unreadAvoidTime is how long a step avoids a worker whose row about a run of it could not be
	// read. It is longer than the step takes to try several such workers in turn.
	unreadAvoidTime = 30 * time.Second
)

// startPolling starts a loop that lists the runs of a worker while it has any.
// The caller holds the lock.
func (t *term) startPolling(w *worker) {
	if w.polling || t.over {
		return
	}
	w.polling = true
	t.orders.Go(func() { t.poll(w) })
}

// idleWorker reports whether there is nothing to list.
func (t *term) idleWorker(w *worker) bool {
	return len(w.runs)+len(w.orphans) == 0 && w.acknowledged >= w.lastEnd && w.pollAt.IsZero() && !t.owesAcknowledgement(w)
}

// requestListing has a worker listed once more, by a listing that is sent after now, whatever it executes.
func (t *term) requestListing(w *worker) {
	w.pollAt = t.now()
	t.startPolling(w)
}

// poll lists a worker's runs, extends its lease and acknowledges its ended
// runs, until it has none.
func (t *term) poll(w *worker) {
	for t.awaitLease() {
		t.mu.Lock()
		if t.over || t.workers[w.ID] != w || t.idleWorker(w) {
			w.polling = false
			t.mu.Unlock()
			return
		}
		o := t.listOrder(w)
		held, interval := w.acknowledged > max(w.forgotten, t.acknowledgedEnd(w)), t.lossShare.heldInterval(t.now())
		timeout := o.Wait + listTimeoutMargin
		if t.lossy() {
			timeout = o.Wait + lossyTimeoutMargin
		}
		target, sent := w.Worker, t.now()
		t.noteLeaseSent(w, &o, sent)
		t.mu.Unlock()
		listing, a := t.dispatcher.options.Upstream.List(t.permit(timeout), &target, o)
		if committed := t.handleListing(w, &o, sent, listing, a); committed != nil {
			t.awaitCommit(t.ctx, committed)
		}
		if t.pausePolling(w, sent, a) {
			return
		}
		switch {
		case held && a.Result == Accepted:
			sleep(t.ctx, interval)
		case o.Wait == 0:
			sleep(t.ctx, unresolvedListWait) // polls again for what is not known yet
		case a.Result == Refused:
			sleep(t.ctx, refusalRetryDelay)
		case a.Result != Accepted || len(listing.Ended) > 0:
			sleep(t.ctx, minListInterval)
		}
	}
}

// pausePolling ends the loop of a worker that does not answer a listing, has not been heard since
// that was sent, and is not known to run anything. The loop starts again with the worker's next report.
func (t *term) pausePolling(w *worker, sent time.Time, a Answer) bool {
	if a.Result == Accepted || a.Result == Undelivered {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(w.runs)+len(w.orphans) > 0 || w.acknowledged < w.lastEnd || a.Result != Refused && w.heardAt.After(sent) {
		return false
	}
	w.polling = false
	return true
}

// lossy reports whether orders to several workers got no answer recently. One
// worker alone may be gone.
func (t *term) lossy() bool {
	now := t.now()
	maps.DeleteFunc(t.unanswered, func(_ string, at time.Time) bool { return now.Sub(at) >= lossyPeriod })
	return len(t.unanswered) >= min(lossyWorkers, len(t.workers))
}

// listOrder returns the next listing order for a worker. It waits less if an
// end, or the outcome of an order, is wanted soon.
func (t *term) listOrder(w *worker) ListOrder {
	now := t.now()
	o := ListOrder{Fence: t.fence(w)}
	if lease, known := t.lease(w); known {
		o.Lease = lease
		if ack := t.acknowledgedEnd(w); w.missed == 0 && ack > w.forgotten {
			// Once only, since a copy that arrives late has the next incarnation forget its own ends.
			o.Acknowledged = ack
			w.openAcks++
		}
	}
	if len(w.runs) == 0 || w.silent(now) || w.clockReading.IsZero() {
		return o
	}
	o.Wait = min(maxListWait, t.timing().MaxPoll)
	lossy := t.lossy()
	if lossy {
		o.Wait, o.Repeat, o.Copies = min(o.Wait, lossyListWait), lossyListRepeat, t.lossShare.copies(now, chanceNoneWaits)
	} else if w.missed > 0 {
		o.Wait = missedListWait
	}
	for _, r := range w.runs {
		if r.urgent && r.measurable() {
			speed, _ := t.workerSpeed(w, 0)
			expected := overdueFactor * float64(t.baseline(r.queue).Expected(r.spec.Estimate)) / speed
			o.Wait = min(o.Wait, max(r.startResolvedAt.Add(time.Duration(expected)).Sub(now), overdueListWait))
		}
		if r.startResolvedAt.IsZero() && !lossy || !r.stopAcceptedAt.IsZero() {
			// The outcome of the order is needed soon, and possibly no run ends
			// meanwhile.
			o.Wait = min(o.Wait, unresolvedListWait)
		}
	}
	return o
}

// handleListing processes a listing. It returns a channel to wait on if ends
// have to be committed before the next listing.
func (t *term) handleListing(w *worker, o *ListOrder, sent time.Time, l Listing, a Answer) <-chan bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orderUse.listings++
	if a.Result == Unanswered || a.Result == NotSent {
		t.orderUse.unlisted++
	}
	if !o.Lease.IsZero() {
		t.settleLease(w, sent, a)
	}
	if t.over || t.workers[w.ID] != w {
		return nil
	}
	if !t.handleAnswer(w, a, sent) {
		return nil
	}
	if o.Acknowledged > 0 && o.Fence == t.fence(w) && a.Answered() && !a.Repeated && a.Open == 0 {
		w.openAcks--
	}
	if a.Result == Refused {
		w.pollAt = t.now()
		w.refuses = a.Reason != ReasonStaleLeader || o.Fence == t.fence(w) // otherwise a start has overtaken it
	}
	if a.Result != Accepted {
		return nil
	}
	if !w.listed {
		// Until this listing it accepted leases sent to a former incarnation, or by a former leader.
		w.inheritedLeaseEnd = later(w.inheritedLeaseEnd, t.now().Add(t.longestLease()))
	}
	w.listed, w.refuses = true, false
	if sent.After(w.pollAt) {
		w.pollAt = time.Time{}
	}
	w.forgotten = max(w.forgotten, o.Acknowledged)
	if w.proves(a) {
		t.proveStarts(w, sent, &l)
		if l.Complete {
			w.completeAt = later(w.completeAt, sent)
		}
	}
	present := map[job.TaskID]int{}
	unread := 0
	for _, listed := range l.Running {
		if listed.Run == Unread {
			unread++
			if _, ok := present[listed.Task]; !ok {
				present[listed.Task] = Unread
				t.handleUnreadRun(w, listed.Task)
			}
			continue
		}
		present[listed.Task] = listed.Run
		t.handleListedRun(w, listed, a.Clock)
	}
	w.unreadEnd, w.listedEnds = l.UnreadEnd, len(l.Ended)
	t.noteUnread(w.ID, unread)
	t.checkSpeed(w)
	if l.Complete {
		t.dropOrphans(w, o.Fence, sent, present)
	}
	if w.proves(a) {
		t.proveTickets(w, sent, l.Complete && l.UnreadEnd == 0 && unread == 0)
	}
	t.handleEnds(w, &l, a.Clock)
	if l.Complete {
		t.loseMissing(w, sent, present)
	}
	if w.lastEnd <= w.acknowledged {
		return nil
	}
	ack := acknowledgement{w, w.lastEnd}
	return t.enqueue(func(n *inbox) { n.acks = append(n.acks, ack) })
}

// handleEnds processes the ends of a listing that were not processed before. An end that cannot be read
// holds lastEnd back, since a later listing may have it in full.
func (t *term) handleEnds(w *worker, l *Listing, clock time.Time) {
	last, beyond := w.lastEnd, []int64(nil)
	for _, e := range l.Ended {
		if e.Number > w.lastEnd && !slices.Contains(w.laterEnds, e.Number) {
			t.handleEnd(w, e, clock)
		}
		if l.UnreadEnd == 0 || e.Number < l.UnreadEnd {
			last = max(last, e.Number)
		} else {
			beyond = append(beyond, e.Number)
		}
	}
	w.lastEnd, w.laterEnds = last, beyond
}

// handleUnreadRun stops a run whose rows cannot be read for some time, so that its task does not wait
// for good.
func (t *term) handleUnreadRun(w *worker, id job.TaskID) {
	r, now := w.runs[id], t.now()
	switch {
	case r == nil, r.stopping, r.endQueued:
	case r.unreadSince.IsZero():
		r.unreadSince = now
	case now.Sub(r.unreadSince) > stallTimeout:
		t.avoidWorker(w, "the rows of its listings cannot be read")
		t.avoidForStep(r, now)
		t.stop(r)
		t.stopGang(r)
	}
}

// stopTimeOver reports whether a run has ended although a listing that was sent at a time has a row
// about it that cannot be read: its worker had accepted the stop for longer than stops take.
func (t *term) stopTimeOver(r *run, sent time.Time) bool {
	return !r.stopAcceptedAt.IsZero() && sent.After(r.stopAcceptedAt.Add(t.timing().StopTime+stopLogDelay))
}

// noteUnread logs entries of a list that cannot be read.
func (t *term) noteUnread(list string, entries int) {
	if entries > 0 {
		t.emit(event.EntriesUnread, zap.String("list", list), zap.Int("entries", entries))
	}
}

// handleListedRun processes a run that a worker lists, and stops it if the leader
// does not know it: its start was carried out late, or it was given up and
// continued.
func (t *term) handleListedRun(w *worker, listed ListedRun, clock time.Time) {
	r := w.runs[listed.Task]
	if r == nil || r.number != listed.Run {
		t.addOrphan(w, listed.Task, listed.Run, t.fence(w), "the worker lists an orphaned run")
		return
	}
	if r.endQueued {
		return // given up; it is stopped as an orphan
	}
	now := t.now()
	r.unreadSince = time.Time{}
	t.confirm(r)
	if r.startResolvedAt.IsZero() {
		t.noteOutcome(r, true)
		r.startResolvedAt, w.stale = now, true
	}
	if listed.Checkpoint != "" {
		r.checkpoint = listed.Checkpoint
	}
	if listed.Percent != r.percent || r.spec.Lasting {
		t.noteProgress(r, listed.Percent, now)
	}
	r.usage = listed.Usage
	r.recordProgress(listed.Percent, clock)
}

// handleEnd processes the end of a run that a worker lists.
func (t *term) handleEnd(w *worker, e EndedRun, clock time.Time) {
	t.noteUnclearEnd(w, e)
	r := w.runs[e.Task]
	if r == nil || r.number != e.Run || r.endQueued {
		// The run was given up but continued. The state decides whether its end
		// counts.
		t.inbox.ends = append(t.inbox.ends,
			job.End{Task: e.Task, Run: e.Run, Worker: w.ID, Life: w.Life, Outcome: e.Outcome, Saved: e.Checkpoint})
		return
	}
	t.noteUnclear(r)
	r.endQueued, w.stale = true, true
	t.inbox.ends = append(t.inbox.ends, r.end(e.Outcome, e.Checkpoint))
	switch e.Outcome {
	case job.Done:
		t.recordCompletion(r, clock)
	case job.RunFailed:
		w.faults++
		t.avoidForStep(r, t.now())
		if w.faults >= maxFaults {
			t.avoidWorker(w, "consecutive runs failed")
		}
		t.stopGang(r)
	case job.LeaseExpired, job.GangIncomplete:
		t.stopGang(r)
	}
	if e.Outcome != job.Done {
		t.emit(event.RunEnded, zap.Stringer("task", r.id), zap.Int("run", r.number), zap.String("worker", w.ID),
			zap.Stringer("outcome", e.Outcome), zap.Int64("number", e.Number))
	}
	t.signal()
}

// loseMissing gives up runs that are absent from a listing although they should
// be in it: the worker had answered their start, or accepted their stop, before
// the listing was requested, or no copy of the start can have arrived since.
func (t *term) loseMissing(w *worker, sent time.Time, present map[job.TaskID]int) {
	for id, r := range w.runs {
		if row, listed := present[id]; r.endQueued || listed && !(row == Unread && t.stopTimeOver(r, sent)) {
			continue
		}
		started := !r.startResolvedAt.IsZero() && r.startResolvedAt.Before(sent)
		stopped := !r.stopAcceptedAt.IsZero() && r.stopAcceptedAt.Before(sent)
		arrived := !r.copiedAt.IsZero() && r.copiedAt.Add(t.copyWait(r)).Before(sent)
		if started || stopped || arrived {
			t.lose(r, "not listed by the worker")
			t.stopGang(r)
		}
	}
}
