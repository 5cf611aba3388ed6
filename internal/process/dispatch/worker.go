package dispatch

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// maxMissedReports is the number of missing reports after which a worker
	// gets no new tasks.
	maxMissedReports = 3
	// A worker is silent, and gets no new tasks, after maxMissedAnswers consecutive
	// orders without an answer and silentTime without any. Where many answers get
	// lost, the number alone says little.
	maxMissedAnswers = 3
	silentTime       = 500 * time.Millisecond
	// maxFaults is the number of failed runs, without a successful one in
	// between, after which a worker is avoided.
	maxFaults = 3
	// maxBoundFaults is the number of these from which on no task is bound to a worker; see boundTo.
	maxBoundFaults = 2
	// minAvoidTime is how long a worker is avoided at first. The time doubles
	// with each repetition, up to maxAvoidTime.
	minAvoidTime = 3 * time.Second
	maxAvoidTime = 6 * time.Second
	// maxListedEnds is the number of ends in a listing, of which the platform returns up to 500, from
	// which on a worker gets no new tasks until they are acknowledged.
	maxListedEnds = 300
	// leaveGracePeriod is how long a worker may still execute tasks after it
	// announced its termination.
	leaveGracePeriod = 250 * time.Millisecond
)

// Reasons for the removal of a worker whose next incarnation is known to run.
const (
	reasonOtherLife = "another incarnation answers under its id"
	reasonNewLife   = "a newer incarnation reported itself"
	// reasonOtherWorker is the reason for the removal of a worker that no longer has its
	// address.
	reasonOtherWorker = "another process answers at its address"
	// reasonMaintenance is the reason for the removal of a worker whose VM went down for
	// its maintenance.
	reasonMaintenance = "the maintenance of its VM has begun"
)

// worker is the leader's in-memory record of one incarnation of a worker.
type worker struct {
	job.Worker
	generation        uint64    // number of its orders; see term.fence
	knownAt           time.Time // when it became known; zero for one of an earlier term
	lastSeen          time.Time // last report or answer
	answeredAt        time.Time // last answer
	completeAt        time.Time // when the latest listing was sent that this incarnation has answered in full
	leaseLost         time.Time // when the latest order with a lease was sent that got no answer, while there were no doubts
	unproved          bool      // its latest answer may be of another incarnation
	undelivered       int       // consecutive orders that another process should have sent and did not
	undeliveredAt     time.Time // when the latest of these was created
	heardAt           time.Time // last report or answer in this term; zero if there was none
	brokeAt           time.Time // when its connections broke; zero if it has answered since
	replacedAt        time.Time // when another worker was known at its address; zero if none was heard there
	missing           *loss     // its crash, if it has crashed; nil if it answers or nothing asked for it
	silentLogged      bool
	clockReading      time.Time // latest reading of the worker's clock
	clockReadAt       time.Time // when that reading arrived
	leaseEnd          time.Time // latest end of a lease that was sent, on the worker's clock
	inheritedLeaseEnd time.Time // leases from earlier leaders may last until then
	runs              map[job.TaskID]*run
	polling           bool             // a loop lists its runs
	pollAt            time.Time        // a listing that is sent later is needed even without runs; zero if none is
	listed            bool             // has answered a listing in this term
	orphans           map[orphan]*run  // runs that were given up and that it may still execute
	lastEnd           int64            // highest number of an end that was processed, as were all before it
	laterEnds         []int64          // numbers beyond an end that cannot be read, of ends that were processed
	acknowledged      int64            // highest number of an end that is committed
	forgotten         int64            // highest number that was acknowledged by a listing with an answer
	held              heldEnds         // the oldest of the ends that are not acknowledged
	openAcks          int              // listings of this generation that acknowledge ends and have no answer
	listedEnds        int              // ends in the latest listing
	unreadEnd         int64            // lowest number that an end of the latest listing may have that cannot be read; zero if there was none
	unclearEnds       map[int64]orphan // ends of tasks with copies of a start without an answer, by number
	missed            int              // consecutive unanswered orders
	lost              int              // copies of these orders
	tolerance         int              // number of these copies that the present share of lost answers explains
	refuses           bool             // refused the latest listing, as an unhealthy worker does
	leavesAt          time.Time        // when it counts as gone; zero unless it announced its termination
	drainDeadline     time.Time        // a draining worker is gone after this
	faults            int              // consecutive failed runs
	avoidTime         time.Duration    // latest length of its avoidance
	avoidedUntil      time.Time        // no new tasks before this
	standing          job.StepID       // whose run was stopped for want of progress last, if no run has made any since
	wasSlow           bool             // was slow and has not shown normal speed since
	pace              fit.Pace         // its normal speed
	lapsed            []*run           // runs whose lease ended while it was silent, under which it may have crashed
	suspected         bool             // suspectRuns has looked at its runs since its last answer
	shrank            bool             // its capacity has shrunk since its first report in this term
	lastStart         time.Time        // when the latest start on it was committed
	trial             job.ID           // job with a trial on it; see package crash
	trialEnds         time.Time        // only trials of that job start on it before this
	committed         bool             // its incarnation is in the replicated state
	cordoned          bool             // gets no new tasks before the maintenance of its VM
	evacuated         atomic.Bool      // its availability zone is evacuated; written under the term's lock
	load              fit.Worker       // what runs on it
	changes           uint64           // job.View.Changes when load was computed
	stale             bool             // load has to be computed anew for another reason
	planned           fit.Worker       // copy of load that a round changes
}

func newWorker(w job.Worker, now time.Time) *worker {
	return &worker{Worker: w, lastSeen: now, answeredAt: now, runs: map[job.TaskID]*run{}, stale: true}
}

// updateClock records a reading of the worker's clock.
func (w *worker) updateClock(clock, now time.Time) {
	if !clock.IsZero() && clock.After(w.clockReading) {
		w.clockReading, w.clockReadAt = clock, now
	}
}

// otherLife reports whether another incarnation than the known one has answered.
func (w *worker) otherLife(a Answer, now time.Time) bool {
	if a.Life != 0 {
		return a.Life != w.Life
	}
	return !a.Clock.IsZero() && a.Clock.Add(clockSlack).Before(w.clockReading)
}

// proves reports whether an answer comes from the known incarnation. Answers to starts and stops name
// none, and the clock of a later incarnation may read anything, so that these prove nothing.
func (w *worker) proves(a Answer) bool { return a.Life != 0 && a.Life == w.Life }

// fits reports whether an answer to an order that was sent at a time states a clock that the known
// incarnation may have.
func (w *worker) fits(a Answer, sent, now time.Time) bool {
	if a.Clock.IsZero() || w.clockReading.IsZero() || a.Clock.After(w.clockReading.Add(now.Sub(w.clockReadAt)+clockAhead)) {
		return false
	}
	passed := float64(sent.Sub(w.clockReadAt))
	if passed > 0 {
		passed *= minClockRate
	} else {
		passed /= minClockRate
	}
	return !a.Clock.Before(w.clockReading.Add(time.Duration(passed) - time.Millisecond)) // readings are whole milliseconds
}

// answers reports whether the known incarnation has answered the latest order, and carried it out
// if that was a listing.
func (w *worker) answers() bool {
	return w.missed == 0 && w.undelivered == 0 && !w.refuses && !w.unproved
}

// owesListing reports whether the worker gets no new tasks, or none for long, before it has answered a
// listing, or listed an end that could not be read. It is listed after each of its reports until then,
// whatever it executes.
func (w *worker) owesListing() bool {
	return !w.pollAt.IsZero() || !w.listed || w.clockReading.IsZero() || !w.answers() || w.listedEnds >= maxListedEnds || w.unreadEnd > 0
}

// extendLease returns the end of a new lease, on the worker's clock. While the
// worker does not answer or refuses listings, the end does not move, so that the
// lease expires.
func (w *worker) extendLease(now time.Time, length time.Duration) time.Time {
	if w.answers() && !w.clockReading.IsZero() {
		end := w.clockReading.Add(now.Sub(w.clockReadAt) + length)
		if end.After(w.leaseEnd) {
			w.leaseEnd = end
		}
	}
	return w.leaseEnd
}

// needsLease reports whether the worker executes anything that is to go on. Without
// it, what is left ends with the lease even if no stop reaches the worker.
func (w *worker) needsLease() bool {
	for _, r := range w.runs {
		if !r.stopping {
			return true
		}
	}
	return len(w.runs)+len(w.orphans) == 0
}

// leaseExpiry returns the time after which no granted lease is valid any more.
func (w *worker) leaseExpiry() time.Time {
	if w.leaseEnd.IsZero() || w.clockReading.IsZero() {
		return w.inheritedLeaseEnd
	}
	end := w.clockReadAt.Add(time.Duration(float64(w.leaseEnd.Sub(w.clockReading))/minClockRate) + leaseExpiryMargin)
	if end.Before(w.inheritedLeaseEnd) {
		return w.inheritedLeaseEnd
	}
	return end
}

// listsNothing reports whether the worker answers no listings, and the lease is over with which it
// may have executed anything.
func (w *worker) listsNothing(now time.Time) bool {
	expiry := w.leaseExpiry()
	return now.After(expiry) && (w.missed > 0 || w.refuses || w.undeliveredAt.After(expiry))
}

// Causes for which a worker gets no new tasks.
const (
	outLeaving   = "leaving"   // drains, or announced its end
	outUpkeep    = "upkeep"    // before the maintenance of its VM
	outEvacuated = "evacuated" // its availability zone is
	outUnlisted  = "unlisted"  // has not answered a listing in this term
	outRefusing  = "refusing"  // unhealthy
	outUnproved  = "unproved"  // another incarnation may have answered
	outEnds      = "ends"      // lists many ends, which cannot be acknowledged yet
	outOrphan    = "orphan"    // may still execute a run that was given up
	outSilent    = "silent"    // answers no orders
	outUnsent    = "unsent"    // orders to it are not delivered
	outUnheard   = "unheard"   // neither reports nor answers
	outAvoided   = "avoided"   // for faults or slowness
)

// out returns the cause for which the worker gets no new tasks, or an empty string.
func (w *worker) out(now time.Time, every time.Duration) string {
	switch {
	case w.Draining, !w.leavesAt.IsZero():
		return outLeaving
	case w.cordoned:
		return outUpkeep
	case w.evacuated.Load():
		return outEvacuated
	case !w.listed, w.clockReading.IsZero():
		return outUnlisted
	case w.refuses:
		return outRefusing
	case w.unproved:
		return outUnproved
	case w.silent(now):
		return outSilent
	case w.undelivered >= maxMissedAnswers && now.Sub(w.answeredAt) >= silentTime:
		return outUnsent
	case now.Sub(w.lastSeen) >= maxMissedReports*every:
		return outUnheard
	case w.listedEnds >= maxListedEnds:
		return outEnds
	case len(w.orphans) > 0:
		return outOrphan
	case now.Before(w.avoidedUntil):
		return outAvoided
	}
	return ""
}

// usable reports whether the worker may get new tasks.
func (w *worker) usable(now time.Time, every time.Duration) bool { return w.out(now, every) == "" }

// silent reports whether the worker does not answer orders.
func (w *worker) silent(now time.Time) bool {
	return w.missed >= maxMissedAnswers && w.lost >= w.tolerance && now.Sub(w.answeredAt) >= silentTime
}

// handleAnswer processes an answer, or the lack of one. It reports whether the
// worker's incarnation continues. The runs of another incarnation with the same
// ID are learned from its own report. The caller holds the term's lock.
func (t *term) handleAnswer(w *worker, a Answer, sent time.Time) bool {
	now := t.now()
	switch a.Result {
	case Accepted, Refused:
		if w.silentLogged {
			t.emit(event.WorkerAnswers, zap.String("worker", w.ID), zap.Int("missed", w.missed))
		}
		if w.otherLife(a, now) {
			t.removeWorker(w, reasonOtherLife)
			return false
		}
		if a.Life == 0 && !a.Clock.IsZero() && !w.clockReading.IsZero() && !w.fits(a, sent, now) {
			// Another incarnation may have answered. A listing states which one.
			if !w.unproved {
				t.emit(event.IdentityUnproved, zap.String("worker", w.ID), zap.Int64("known", int64(w.Life)), zap.Time("clock", a.Clock),
					zap.Time("reading", w.clockReading), zap.Duration("passed", now.Sub(w.clockReadAt)))
			}
			t.requireProof(w)
			return true
		}
		if !w.listed {
			t.noteReplaced(w, later(w.knownAt, t.began))
		}
		w.unproved, w.undelivered = false, 0
		if !w.proves(a) && !w.fits(a, sent, now) {
			t.requireProof(w)
		}
		t.lossShare.record(now, w.lost+max(a.Copies, 1)-1, now.Sub(w.answeredAt))
		w.missed, w.lost, w.lastSeen, w.answeredAt, w.heardAt, w.silentLogged = 0, 0, now, now, now, false
		w.suspected, w.brokeAt, w.replacedAt, w.missing = false, time.Time{}, time.Time{}, nil // it was cut off
		if w.proves(a) {
			t.clearLapsed(w)
		}
		w.updateClock(a.Clock, now)
	case WrongWorker:
		t.removeWorker(w, reasonOtherWorker)
		return false
	case Undelivered:
		w.undelivered++
		w.undeliveredAt = sent
	default:
		w.missed++
		w.lost += max(a.Copies, 1)
		w.tolerance = t.lossShare.tolerance(now)
		if a.Reason == ReasonBroken && w.brokeAt.IsZero() {
			w.brokeAt, w.missing = now, nil
		}
		t.unanswered[w.ID] = now
		if w.silent(now) && !w.silentLogged {
			w.silentLogged = true
			t.emit(event.WorkerSilent, zap.String("worker", w.ID), event.Cause(a.Error), zap.Time("lapse", w.leaseExpiry()))
		}
	}
	return true
}

// requireProof keeps new tasks off a worker until a listing states its incarnation, and asks for one.
func (t *term) requireProof(w *worker) {
	w.unproved = true
	t.requestListing(w)
}

// removeWorker removes a worker whose incarnation has ended, with all its runs.
// The caller holds the term's lock.
func (t *term) removeWorker(w *worker, reason string) {
	if t.workers[w.ID] != w {
		return
	}
	t.emit(event.WorkerOver, zap.String("worker", w.ID), zap.Int64("life", int64(w.Life)), zap.String("reason", reason),
		zap.Int("runs", len(w.runs)))
	if crashed(w, reason) {
		t.recordCrash(w, reason)
	}
	delete(t.workers, w.ID)
	t.sorted = nil
	t.inbox.gone = append(t.inbox.gone, w.Worker)
	// Orders go to the address. Another process there refuses all copies.
	refused := reason == reasonOtherWorker
	for _, r := range w.runs {
		if refused || !t.hold(w, r, reason) {
			t.lose(r, reason)
		}
	}
	for _, r := range w.orphans {
		r.endQueued = true // ends the resending of the stop
		if r.former != nil && (refused || !t.hold(w, r.former, reason)) {
			t.lose(r.former, reason)
		}
	}
	if refused {
		t.dropDoubts(w)
	}
	t.dispatcher.options.Upstream.Forget(&w.Worker)
}

// loseRuns gives up the runs on a worker, but for those that an incarnation may execute that
// is not known.
func (t *term) loseRuns(w *worker, reason string) {
	if w.missed > 0 && !w.suspected {
		w.suspected = true
		t.suspectRuns(w)
	}
	for _, r := range w.runs {
		if !t.keep(w, r, reason) {
			t.lose(r, reason)
		}
	}
}

// lose ends a run whose end no worker will list. Unless it also becomes an orphan, it
// must be certain that it no longer executes and never will. The caller holds the
// term's lock.
func (t *term) lose(r *run, reason string) {
	if r.endQueued {
		return
	}
	t.noteUnclear(r)
	r.endQueued, r.worker.stale = true, true
	var kept time.Duration
	if !r.keptSince.IsZero() {
		kept = t.now().Sub(r.keptSince)
	}
	t.emit(event.RunLost, zap.Stringer("task", r.id), zap.Int("run", r.number), zap.String("worker", r.worker.ID),
		zap.Int64("life", int64(r.worker.Life)), zap.Int("copies", r.copies), zap.Int("unproved", r.unproved), zap.Duration("kept", kept), zap.String("reason", reason))
	t.inbox.ends = append(t.inbox.ends, r.end(job.Lost, r.checkpoint))
	t.signal()
}

// avoidWorker avoids a worker for a while, unless it is avoided already. The
// caller holds the term's lock.
func (t *term) avoidWorker(w *worker, reason string, fields ...zap.Field) {
	now := t.now()
	if now.Before(w.avoidedUntil) {
		return
	}
	w.avoidTime = min(max(minAvoidTime, 2*w.avoidTime), maxAvoidTime)
	w.avoidedUntil = now.Add(w.avoidTime)
	t.emit(event.WorkerAvoided, append(fields, zap.String("worker", w.ID), zap.String("reason", reason), zap.Int("faults", w.faults),
		zap.Time("until", w.avoidedUntil))...)
}
