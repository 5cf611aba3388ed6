package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// orderTimeout bounds one attempt of an order. A worker answers within a
	// few milliseconds, and resending an order is harmless.
	orderTimeout = 80 * time.Millisecond
	// lossyOrderTimeout replaces it while many answers are lost, for the first
	// lossyAttempts attempts: orders without an answer hold back others, and a worker
	// that is slow answers one of the later attempts.
	lossyOrderTimeout = 40 * time.Millisecond
	lossyAttempts     = 8
	// orderRetryDelay is the delay before an order is resent, refusalRetryDelay the
	// delay before one that was refused is. An unhealthy worker refuses what it
	// carries out once it has recovered.
	orderRetryDelay   = 20 * time.Millisecond
	refusalRetryDelay = 100 * time.Millisecond
	// startRetryTimeout is how long a start order without an answer is resent,
	// while a listing may show that it was carried out. Afterwards its run is
	// stopped, so that the task can start elsewhere.
	startRetryTimeout = 500 * time.Millisecond
	// unsentRetryTimeout is how long a start order is resent if no connection to the
	// worker could be opened for any copy of it, so that the run certainly did not begin.
	unsentRetryTimeout = 60 * time.Millisecond
	// leaseLength is the length of the leases of runs, if the worker allows as
	// much. A network partition or a change of the leader that is shorter costs
	// no work.
	leaseLength = 4 * time.Second
)

// run is the leader's in-memory record of a run.
type run struct {
	id              job.TaskID
	number          int
	worker          *worker
	spec            *job.Step
	committedAt     time.Time // when the start was committed, or adopted from an earlier leader
	startedAt       time.Time // when the start was committed
	confirmed       bool      // the worker has answered that it executes the run
	trial           bool      // see package crash
	sent            bool      // a copy of the start order may have reached the worker
	copies          int       // of the start order, on their way, without an answer or not proved
	unproved        int       // of these, accepted by an incarnation that is not proved
	answeredAt      time.Time // when the latest of these was accepted
	sentCopies      int       // of the start order
	sending         job.Sending
	once            bool      // one copy at most may be carried out
	onItsWay        bool      // an attempt has not returned, so that the number of its copies is not known
	proved          bool      // only its worker's known incarnation takes copies; see proveTickets
	copiedAt        time.Time // when the latest copy was sent; zero if an earlier leader sent it
	unclear         bool      // the next leaders know that a copy has no answer
	keptSince       time.Time // when it was kept in spite of an ended lease or incarnation; zero if it was not
	startResolvedAt time.Time // when the worker answered the start, or could no longer receive it; zero before
	checkpoint      string    // latest one that was listed
	percent         int
	progressAt      time.Time      // when percent was listed, on the worker's clock
	firstSample     progressSample // when the run began, or of its first listing
	windowStart     progressSample // one or two windows old; the recent speed is measured from it
	nextWindowStart progressSample // replaces windowStart after a window
	resumed         bool           // resumed from a checkpoint, or started by an earlier leader
	inherited       bool           // started by an earlier leader, whose clock may differ
	queue           string
	paced           bool          // the speed of its worker was learned from its progress
	usage           float64       // latest ListedRun.Usage
	lastProgress    time.Time     // when percent last changed
	pace            time.Duration // longest time per percent that was seen; zero if none was
	inheritedTime   time.Duration // how long it ran under earlier leaders
	stopping        bool
	stoppingSince   time.Time
	nextStopLog     time.Time // a stop that is not confirmed is not logged before this
	stopAcceptedAt  time.Time // when the worker accepted the stop; zero before
	unreadSince     time.Time // since when its rows in listings cannot be read; zero if they can
	endQueued       bool      // its end waits for a round
	former          *run      // of an orphan: the run of the worker's former incarnation that ends with it
	until           time.Time // of such an orphan: when no incarnation of the worker executes it any more; see overAt
	listed          bool      // of an orphan: the worker has listed it
	fence           uint64    // of an orphan: of its start, if this leader sent that to the same incarnation
	throttlePercent int       // share of the full speed; zero means full speed
	urgent          bool      // its queue has the highest priority
	use             runUse
}

func (r *run) end(outcome job.Outcome, saved string) job.End {
	if saved == "" {
		saved = r.checkpoint
	}
	return job.End{Task: r.id, Run: r.number, Worker: r.worker.ID, Life: r.worker.Life, Outcome: outcome, Saved: saved}
}

// leaseDuration returns the length of leases.
func (t *term) leaseDuration() time.Duration {
	return min(leaseLength, t.timing().MaxLease-leaseExpiryMargin)
}

// permit returns the permit of an order to a worker, which holds while this process leads.
func (t *term) permit(timeout time.Duration) Permit {
	expires := t.clock() + MaxOrderAge
	return Permit{Timeout: timeout, Valid: func() bool { return t.isLeading() && t.clock() < expires }}
}

// sendStartAsync sends the start order of a committed run in the background.
// The caller holds the lock.
func (t *term) sendStartAsync(r *run, o StartOrder) {
	t.orders.Go(func() { t.sendStart(r, o) })
}

// sendStart sends a start order repeatedly until its outcome is known.
func (t *term) sendStart(r *run, o StartOrder) {
	for number := 1; t.awaitLease(); {
		t.mu.Lock()
		w := r.worker
		if t.sendingOver(r) {
			t.mu.Unlock()
			return
		}
		if r.sending == job.SendOnce && t.startOpen(r) && !t.noted[w.ID][orphan{r.id, r.number}] {
			t.mu.Unlock()
			if number == 2 && t.listStart(r) || !t.noteFurtherCopies(r) {
				return
			}
			continue
		}
		switch {
		case w.evacuated.Load():
			t.emit(event.StartWithheld, zap.Stringer("task", r.id), zap.Int("run", r.number), zap.String("worker", w.ID), zap.String("zone", w.Zone),
				zap.Bool("sent", r.sent))
			t.dropStart(r, "the availability zone of its worker is evacuated")
			t.mu.Unlock()
			return
		case w.shrank && t.overcommitted(w):
			t.dropStart(r, "the capacity of its worker has shrunk")
			t.mu.Unlock()
			return
		}
		if r.trial && number == 1 && !t.answeredRecently(w) {
			if t.now().Sub(r.committedAt) >= startRetryTimeout {
				t.lose(r, "its worker could not be asked")
				t.stopGang(r)
				t.mu.Unlock()
				return
			}
			t.mu.Unlock()
			if !t.probe(r) {
				sleep(t.ctx, orderRetryDelay)
			}
			continue
		}
		r.once = r.sending == job.SendOnce && !t.startOpen(r) // else a copy before may be carried out
		r.onItsWay = true
		t.separateStart(w)
		o.Lease, o.Fence = w.extendLease(t.now(), t.leaseDuration()), t.fence(w)
		target, at := w.Worker, &attempt{run: r, sent: t.now()}
		t.doubt(r, at.sent)
		p := t.attemptPermit(at, t.attemptTimeout(number))
		t.mu.Unlock()
		if t.handleStartAnswer(at, t.dispatcher.options.Upstream.Start(p, &target, o), number) {
			return
		}
		number++
		sleep(t.ctx, orderRetryDelay)
	}
}

// listStart has a worker listed that has not answered a start, and reports whether the start is over, as when the
// listing shows the run. Until a second copy is sent, such a listing proves that none is on its way.
func (t *term) listStart(r *run) bool {
	t.mu.Lock()
	w := r.worker
	target, o, timeout, sent := w.Worker, ListOrder{Fence: t.fence(w)}, t.attemptTimeout(1), t.now()
	t.mu.Unlock()
	l, a := t.dispatcher.options.Upstream.List(t.permit(timeout), &target, o)
	t.handleListing(w, &o, sent, l, a)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sendingOver(r)
}

// attemptTimeout returns the bound of an attempt of an order.
func (t *term) attemptTimeout(attempt int) time.Duration {
	if attempt <= lossyAttempts && t.lossy() {
		return lossyOrderTimeout
	}
	return orderTimeout
}

// dropStart gives up a start that its worker may no longer get, or stops it if a copy of it
// may have arrived.
func (t *term) dropStart(r *run, reason string) {
	if r.sent {
		t.stop(r)
	} else {
		t.lose(r, reason)
	}
	t.stopGang(r)
}

// handleStartAnswer processes the answer to an attempt to start a run. It reports whether
// no further attempt is needed.
func (t *term) handleStartAnswer(at *attempt, a Answer, number int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, w, sent := at.run, at.run.worker, at.sent
	t.settleLease(w, sent, a)
	if t.over {
		return true
	}
	t.noteCopies(at, a)
	if r.endQueued {
		return true
	}
	r.sent = r.sent || a.Result != NotSent
	r.sentCopies += max(a.Copies, 1)
	if !t.handleAnswer(w, a, sent) {
		return true
	}
	switch a.Result {
	case Accepted:
		t.resolveStart(r, a)
		return true
	case Refused:
		return t.handleRefusal(r, a, number, number > 1 || a.Repeated)
	}
	if r.trial && number == 1 && w.missed == 1 && a.Result == Unanswered && a.Reason == ReasonBroken && t.answeredRecently(w) {
		t.confirm(r) // the worker was well, and its connections broke with the order on one of them
	}
	t.emit(event.RunUnclear, zap.Stringer("task", r.id), zap.Int("run", r.number), zap.String("worker", w.ID),
		zap.Int64("life", int64(w.Life)), zap.Int("attempt", number), event.Cause(a.Error))
	t.startPolling(w)
	switch waited := t.now().Sub(r.committedAt); {
	case !r.sent && waited >= unsentRetryTimeout:
		t.avoidForStep(r, t.now())
		t.lose(r, "no connection to the worker")
		t.stopGang(r)
		return true
	case waited >= startRetryTimeout:
		t.orderUse.abandoned++
		t.stop(r)
		return true
	}
	return false
}

// resolveStart records that a worker has accepted the start of a run.
func (t *term) resolveStart(r *run, a Answer) {
	if r.startResolvedAt.IsZero() {
		t.noteOutcome(r, false)
	}
	r.startResolvedAt, r.worker.stale = t.now(), true
	if !r.worker.unproved {
		t.confirm(r)
	}
	if !r.resumed {
		r.firstSample = progressSample{at: a.Clock}
		r.windowStart, r.nextWindowStart = r.firstSample, r.firstSample
	}
	t.startPolling(r.worker)
}

// handleRefusal processes the refusal of a start order. If the order was sent
// before and not answered, it may still be carried out, so its run is stopped
// first.
func (t *term) handleRefusal(r *run, a Answer, attempt int, repeated bool) bool {
	t.emit(event.RunRefused, zap.Stringer("task", r.id), zap.Int("run", r.number), zap.String("worker", r.worker.ID),
		zap.String("reason", string(a.Reason)), zap.Int("attempt", attempt))
	if s := t.steps[r.id.StepID()]; s != nil && a.Reason == ReasonTicket {
		if answer, ok := s.advice.Answers[r.worker.ID]; ok {
			answer.Expiry = time.Time{}
			s.advice.Answers[r.worker.ID] = answer
		}
	}
	switch {
	case a.Reason == ReasonStaleLeader:
		return true // another process leads
	case a.Reason == ReasonRunEnded && repeated:
		r.startResolvedAt, r.worker.stale = t.now(), true // the run has already ended; the listing has its outcome
		t.startPolling(r.worker)
	case repeated:
		t.stop(r)
	default:
		t.lose(r, "refused: "+string(a.Reason))
		t.stopGang(r)
	}
	switch a.Reason {
	case ReasonOther:
		t.avoidWorker(r.worker, "it refuses orders")
	case ReasonCapacity:
		// A listing shows what runs there that this leader does not know.
		t.requestListing(r.worker)
		t.avoidForStep(r, t.now())
	}
	return true
}

// stopGang stops the other members of a run's gang, which would only wait for
// this one in vain. The caller holds the lock.
func (t *term) stopGang(r *run) {
	if !r.spec.Gang {
		return
	}
	for _, other := range t.gangMembers(r) {
		t.stop(other)
	}
}

// gangMembers returns the runs of the other members of a run's gang.
func (t *term) gangMembers(r *run) []*run {
	var m []*run
	for i := range r.spec.Count {
		id := r.id
		id.Index = i
		if other := t.runs[id]; other != nil && other != r && other.number == r.number {
			m = append(m, other)
		}
	}
	return m
}

// stop stops a run that is not stopping and has not ended. The caller holds the
// lock.
func (t *term) stop(r *run) {
	if r.stopping || r.endQueued {
		return
	}
	r.stopping, r.stoppingSince, r.worker.stale = true, t.now(), true
	t.orders.Go(func() { t.sendStop(r) })
}

// sendStop sends a stop order repeatedly until the worker accepts it or its
// incarnation ends. If the stop reaches the worker before the start, the worker
// refuses the start. A refused stop proves nothing.
func (t *term) sendStop(r *run) {
	for attempt := 1; t.awaitLease(); attempt++ {
		t.mu.Lock()
		if t.over || r.endQueued || !r.worker.Address.IsValid() {
			t.mu.Unlock()
			return
		}
		target, fence, timeout, sent := r.worker.Worker, t.fence(r.worker), t.attemptTimeout(attempt), t.now()
		t.mu.Unlock()
		a := t.dispatcher.options.Upstream.Stop(t.permit(timeout), &target, StopOrder{Task: r.id, Run: r.number, Fence: fence})
		if t.handleStopAnswer(r, a, sent) {
			return
		}
		if a.Result == Refused {
			sleep(t.ctx, refusalRetryDelay)
		} else {
			sleep(t.ctx, orderRetryDelay)
		}
	}
}

// handleStopAnswer processes the answer to a stop order. It reports whether no
// further attempt is needed.
func (t *term) handleStopAnswer(r *run, a Answer, sent time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.over || r.endQueued {
		return true
	}
	w := r.worker
	if !t.handleAnswer(w, a, sent) {
		return true
	}
	if a.Result != Accepted {
		return false
	}
	if r.stopAcceptedAt.IsZero() {
		r.stopAcceptedAt = t.now()
	}
	t.startPolling(w)
	return true
}
