package dispatch

import (
	"slices"
	"time"
)

// lateAnswerTime is how long an answer to a copy of a start is awaited. A worker that is slow
// answers copies of which the attempt is over.
const lateAnswerTime = startRetryTimeout

// attempt is one attempt to send a start, in one or several copies.
type attempt struct {
	run      *run
	sent     time.Time
	returned bool     // its open copies are counted
	late     []Answer // that came before
}

// attemptPermit returns the permit of an attempt.
func (t *term) attemptPermit(a *attempt, timeout time.Duration) Permit {
	p := t.permit(timeout)
	w, valid := a.run.worker, p.Valid
	p.Valid = func() bool { return !w.evacuated.Load() && valid() }
	p.Single = a.run.once
	p.Late = func(late Answer) { t.handleLateAnswer(a, late) }
	if p.Await = lateAnswerTime; t.lossy() {
		p.Await = timeout // the places among the connections are needed
	}
	return p
}

// handleLateAnswer processes an answer to a copy after its attempt has returned.
func (t *term) handleLateAnswer(a *attempt, late Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.over:
	case !a.returned:
		a.late = append(a.late, late)
	default:
		t.settleLate(a, late)
	}
}

// settleLate settles a copy by its late answer.
func (t *term) settleLate(a *attempt, late Answer) {
	r, w := a.run, a.run.worker
	t.orderUse.late++
	switch {
	case settles(w, late):
		t.settleCopy(r)
	case late.Result == Accepted:
		t.noteUnproved(r)
	}
	if late.Result == Accepted && r.startResolvedAt.IsZero() && !r.endQueued && t.workers[w.ID] == w && (w.proves(late) || w.fits(late, a.sent, t.now())) {
		t.resolveStart(r, late) // the listing shows whether the worker answers now
	}
}

// settles reports whether an answer to a copy of a start shows that no incarnation but the known one
// carries the copy out.
func settles(w *worker, a Answer) bool {
	return a.Result == NotSent || a.Result == Refused || a.Result == WrongWorker || a.Result == Accepted && w.proves(a)
}

// noteCopies counts the copies of an attempt that are open, and settles the others. The attempt
// counted as one.
func (t *term) noteCopies(at *attempt, a Answer) {
	r, open := at.run, a.Open
	unproved := a.Answered() && !settles(r.worker, a)
	switch {
	case unproved:
		open++
	case a.Repeated, a.Result == Unanswered:
		open = max(1, open)
	}
	at.returned = true
	r.onItsWay = false
	if a.Copies > 1 || a.Open > 1 || a.Repeated || a.Result == Undelivered && a.Open > 0 {
		r.once = false // a driver of an earlier build has sent several, or may have
	}
	if open > 1 {
		r.copies += open - 1
	} else if open == 0 {
		t.settleCopy(r)
	}
	if unproved {
		t.noteUnproved(r)
	}
	for _, late := range at.late {
		t.settleLate(at, late)
	}
	at.late = nil
	if r.copies > r.unproved {
		t.orders.Go(func() { t.awaitAnswers(r) })
	}
}

// noteUnproved records that a copy of a start was accepted by an incarnation that is not proved.
func (t *term) noteUnproved(r *run) {
	r.unproved, r.answeredAt = min(r.unproved+1, r.copies), t.now()
	t.noteAnswered(r)
}

// noteAnswered records that all copies of a start were answered, if they were, and some are not proved.
func (t *term) noteAnswered(r *run) {
	key := orphan{r.id, r.number}
	if d := t.doubtsOf(r.worker); d != nil && r.unproved > 0 && r.unproved == r.copies {
		if s, unclear := d.starts[key]; unclear {
			s.answered = r.answeredAt
			d.starts[key] = s
		}
	}
}

// proveStarts settles the copies that are proved by a listing of the known incarnation: those that were
// answered before it was sent, and the only copy of a start that it shows.
func (t *term) proveStarts(w *worker, sent time.Time, l *Listing) {
	for _, r := range w.runs {
		if r.once && !r.onItsWay && r.copies > 0 && l.shows(r) {
			r.copies, r.unproved = 1, 0
			t.settleCopy(r)
			continue
		}
		if r.unproved == 0 || !r.answeredAt.Before(sent) && !(r.sentCopies == 1 && l.shows(r)) {
			continue
		}
		proved := r.unproved
		r.unproved = 0
		for range proved {
			t.settleCopy(r)
		}
	}
}

// shows reports whether a run is listed as running or ended.
func (l *Listing) shows(r *run) bool {
	return slices.ContainsFunc(l.Running, func(e ListedRun) bool { return e.Task == r.id && e.Run == r.number }) ||
		slices.ContainsFunc(l.Ended, func(e EndedRun) bool { return e.Task == r.id && e.Run == r.number })
}

// awaitAnswers has the next leaders know of a run whose copies are not answered in time either.
func (t *term) awaitAnswers(r *run) {
	sleep(t.ctx, lateAnswerTime)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.over {
		t.noteUnclear(r)
	}
}

// settleCopy records that a copy of a start can no longer be carried out, since it was answered.
// A run that is listed settles none: an attempt may have sent several copies.
func (t *term) settleCopy(r *run) {
	r.copies = max(0, r.copies-1)
	if d := t.doubtsOf(r.worker); d != nil && r.copies == 0 {
		t.dropDoubt(d, orphan{r.id, r.number})
	}
	t.noteAnswered(r)
}
