package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// lateOrderTime is how long an order without an answer may still be carried out.
	// The platform states 12 s.
	lateOrderTime = 13 * time.Second
	// clockSlack is how far a worker's clock may seem to go back, because answers
	// overtake each other. Beyond it, another incarnation has answered.
	clockSlack = 5 * time.Second
	// clockAhead is how far it may seem to go ahead, because the answer with the latest reading was
	// on its way for so long.
	clockAhead = time.Second
	// proofTime is how long after its answer a start is proved by a listing, which waits for an end
	// for maxListWait. Later, the next leaders have to know of it.
	proofTime = 2 * time.Second
)

// doubts are the starts that were sent to an incarnation of a worker, or to one before it,
// and that have copies without an answer. Any incarnation under the same ID may carry these
// out, one that this leader does not hear included. It knows nothing of an earlier stop, and
// its clock, with which it measures the lease, starts anew, so that an old lease is as long
// there as the longest one.
//
// Nothing but another copy, or a lease that got no answer, moves the time at which a doubt ends.
// Leases go only to an incarnation that has listed its runs and has just proved itself, and its first
// proof after the copies can have arrived ends the doubt, so that each doubt ends.
type doubts struct {
	worker  string
	life    job.Incarnation
	starts  map[orphan]doubt
	leases  []time.Time // when orders with a lease were sent that have no answer yet
	leased  time.Time   // when the latest order with a lease was sent that got no answer
	granted time.Time   // when an incarnation that is not proved answered the latest order with a lease
	held    []*run      // runs of incarnations that have ended; they end when no copy can be carried out
}

// doubt is what is known of the copies of a start.
type doubt struct {
	sent    time.Time // when the latest copy was sent
	adopted bool      // by an earlier leader
	// ticketAt is when the ticket of the copies had been issued; zero if they have none. An incarnation that
	// proves itself later is the only one that takes them.
	ticketAt time.Time
	// answered is when the latest copy was answered, if all were and one was accepted; zero before. Answers
	// to starts name no incarnation, so that the next one may execute the run until a listing shows that
	// the known one lives.
	answered time.Time
}

// doubt records that a copy of a start is sent, which carries a lease.
func (t *term) doubt(r *run, sent time.Time) {
	r.copies++
	r.copiedAt = sent
	t.endWait(r.id)
	if r.proved && t.doubts[r.worker.ID] == nil {
		return
	}
	d := t.doubtsAbout(r.worker.ID, r.worker.Life)
	if !r.proved {
		t.addDoubt(d, orphan{r.id, r.number}, sent)
		if r.sending == job.SendTicket {
			t.setTicket(d, orphan{r.id, r.number}, r.committedAt)
		}
	}
	d.leases = append(d.leases, sent)
	d.leased = later(d.leased, r.worker.leaseLost)
}

// doubtsAbout returns the doubts about a worker. It creates them if there are none.
func (t *term) doubtsAbout(worker string, life job.Incarnation) *doubts {
	d := t.doubts[worker]
	if d == nil {
		d = &doubts{worker: worker, life: life, starts: map[orphan]doubt{}}
		t.doubts[worker] = d
	}
	return d
}

// addDoubt records when the latest copy of a start was sent.
func (t *term) addDoubt(d *doubts, key orphan, sent time.Time) {
	if _, known := d.starts[key]; !known {
		t.unclear[key.task] = append(t.unclear[key.task], d)
	}
	s := d.starts[key]
	s.sent, s.answered = sent, time.Time{}
	d.starts[key] = s
}

// setTicket records that the copies of a start have a ticket that had been issued at a time.
func (t *term) setTicket(d *doubts, key orphan, at time.Time) {
	s := d.starts[key]
	s.ticketAt = at
	d.starts[key] = s
}

// proveTickets drops the doubts about starts with a ticket that was issued before a listing was sent which
// the known incarnation has answered: no later one takes it. Such a start is as good as answered. The known
// one may have executed the start of a run that was given up, before it was known itself: the
// doubt goes on until a full listing shows no orphan of it.
func (t *term) proveTickets(w *worker, sent time.Time, full bool) {
	d := t.doubtsOf(w)
	if d == nil {
		return
	}
	for key, s := range d.starts {
		if s.ticketAt.IsZero() || !sent.After(s.ticketAt) {
			continue
		}
		switch r := w.runs[key.task]; {
		case r != nil && r.number == key.run:
			r.proved = true
		case !full || w.orphans[key] != nil:
			continue
		}
		t.dropDoubt(d, key)
	}
}

// settleLease records the answer to an order that carried a lease, or that there is none. An order
// that is answered arrives nowhere else.
func (t *term) settleLease(w *worker, sent time.Time, a Answer) {
	d := t.doubts[w.ID]
	if d != nil {
		if i := slices.IndexFunc(d.leases, sent.Equal); i >= 0 { // it may have been sent before there were doubts
			d.leases = slices.Delete(d.leases, i, i+1)
		}
	}
	switch {
	case a.Repeated: // another copy may arrive late
	case a.Result == NotSent, a.Result == WrongWorker, w.proves(a):
		return
	case a.Result == Refused && a.Reason != ReasonRunEnded && a.Reason != ReasonCapacity:
		return // whichever incarnation it was, it did nothing
	case a.Answered():
		if d != nil {
			d.granted = later(d.granted, t.now())
		}
		return
	}
	if d == nil {
		w.leaseLost = later(w.leaseLost, sent)
	} else {
		d.leased = later(d.leased, sent)
	}
}

// latestLease returns when the latest lease was sent that may arrive late.
func (d *doubts) latestLease() time.Time {
	latest := d.leased
	for _, sent := range d.leases {
		latest = later(latest, sent)
	}
	return latest
}

// latestLeaseAfter returns until when leases are sent in doubt of a copy that was sent at a time: until
// the first proof of the incarnation after the copy can have arrived.
func (t *term) latestLeaseAfter(sent time.Time) time.Time {
	return sent.Add(lateOrderTime + maxListWait + listTimeoutMargin)
}

// latestSent returns when what may arrive late was sent latest, of the copies of a start, the last of
// which was sent at a time, and of leases that prolong what these start. Later leases are for other
// starts: the incarnation had proved itself by then.
func (t *term) latestSent(d *doubts, sent time.Time) time.Time {
	return later(sent, earlier(d.latestLease(), t.latestLeaseAfter(sent)))
}

// dropDoubt records that no copy of a start will be carried out any more.
func (t *term) dropDoubt(d *doubts, key orphan) {
	if _, known := d.starts[key]; !known {
		return
	}
	delete(d.starts, key)
	t.dropNoted(d.worker, key)
	list := t.unclear[key.task]
	i := slices.Index(list, d)
	if list = slices.Delete(list, i, i+1); len(list) > 0 {
		t.unclear[key.task] = list
		return
	}
	delete(t.unclear, key.task)
	if t.retried[key.task] {
		delete(t.retried, key.task)
		t.step(key.task.StepID()).avoidUntil[d.worker] = t.now().Add(stepAvoidTime) // worker.faults is not replicated
	}
	t.endWait(key.task)
	t.signal()
}

// noteUnclearEnd records an end of a task with copies of a start without an answer: of the run that
// ended, or of an earlier one.
func (t *term) noteUnclearEnd(w *worker, e EndedRun) {
	d := t.doubtsOf(w)
	if d == nil || !slices.Contains(t.unclear[e.Task], d) {
		return
	}
	if w.unclearEnds == nil {
		w.unclearEnds = map[int64]orphan{}
	}
	w.unclearEnds[e.Number] = orphan{e.Task, e.Run}
}

// mayArrive reports whether a copy of a start may still arrive at the worker.
func (d *doubts) mayArrive() bool {
	for _, s := range d.starts {
		if s.answered.IsZero() {
			return true
		}
	}
	return false
}

// settles reports whether a listing of the known incarnation ends the doubts about a task, since all
// copies of its starts were answered.
func (d *doubts) settles(id job.TaskID) bool {
	for key, s := range d.starts {
		if key.task == id && s.answered.IsZero() {
			return false
		}
	}
	return true
}

// acknowledgedEnd returns the number up to which a worker may forget its ends: none while a copy of a start
// may still arrive. If the worker ends before, the next incarnation may carry the copy out, and
// a listing that arrives late there would have it forget that end, as ends are numbered anew. Those
// of runs whose start is not proved are kept, too.
func (t *term) acknowledgedEnd(w *worker) int64 {
	number, d := w.acknowledged, t.doubtsOf(w)
	if t.now().Before(t.heldUntil[w.ID]) || d != nil && d.mayArrive() {
		return 0
	}
	if w.unreadEnd > 0 {
		number = min(number, w.unreadEnd-1) // it may be one of a task that is done
	}
	for n, end := range w.unclearEnds {
		if d == nil || !slices.Contains(t.unclear[end.task], d) {
			delete(w.unclearEnds, n)
		} else {
			number = min(number, n-1)
		}
	}
	return number
}

// owesAcknowledgement reports whether a worker may forget ends that it still lists.
func (t *term) owesAcknowledgement(w *worker) bool {
	return w.acknowledged > w.forgotten && t.acknowledgedEnd(w) > w.forgotten
}

// boundTo returns the only worker on which a task may start, if copies of its earlier starts may still
// be carried out: the incarnation that has refused them. What it has proved does not bind the next
// one, which exists only once this one has ended. The task waits if there is no such worker, if the
// worker's zone is evacuated, if that worker may be what failed it, or if it has started there once already: its next start would have copies
// of its own. Nor does it start on a worker that crashed under it, if the next listing there settles the copies.
func (t *term) boundTo(p *job.Progress, s *job.Step, id job.TaskID) (name string, waits bool) {
	list := t.unclear[id]
	if len(list) == 0 || s.Copies || s.Lasting {
		return "", false
	}
	d := list[0]
	w := t.workers[d.worker]
	if w == nil || w.Life != d.life || w.evacuated.Load() || w.faults >= maxBoundFaults || len(list) > 1 || t.retried[id] || d.settles(id) && slices.Contains(p.CrashedAt(s, &p.Tasks[id.Index]), w.Address) {
		return "", true
	}
	return d.worker, false
}

// doubtsOf returns the doubts about a worker's incarnation, or nil if there are none.
func (t *term) doubtsOf(w *worker) *doubts {
	if d := t.doubts[w.ID]; d != nil && d.life == w.Life && len(d.starts) > 0 {
		return d
	}
	return nil
}

// noteUnclear has the next leaders know that a copy of a run's start has no answer.
func (t *term) noteUnclear(r *run) {
	if t.startOpen(r) && !r.unclear && !r.spec.Copies {
		t.setUnclear(r)
		t.signal()
	}
}

// lease returns the end of the lease that a listing carries, and whether it may carry one. A
// worker that does not answer may have started again, and would extend what it executes of
// the former incarnation's starts, and forget ends that are not known. One that has never listed
// its runs may execute such starts, too.
func (t *term) lease(w *worker) (end time.Time, known bool) {
	d := t.doubtsOf(w)
	switch {
	case d != nil && !(w.listed && w.answers()):
		return time.Time{}, false
	case d != nil && len(w.runs)+len(w.orphans) == 0:
		return time.Time{}, true // nothing to extend, and without an answer it would put off the end of the doubts
	}
	end = w.leaseEnd
	if w.needsLease() {
		end = w.extendLease(t.now(), t.leaseDuration())
	}
	return end, true
}

// noteLeaseSent records that a listing with a lease is sent.
func (t *term) noteLeaseSent(w *worker, o *ListOrder, sent time.Time) {
	if d := t.doubtsOf(w); d != nil && !o.Lease.IsZero() {
		d.leases = append(d.leases, sent)
	}
}

// longestLease is the time after which what a worker executes has ended, if it is sent no
// further lease.
func (t *term) longestLease() time.Duration {
	return time.Duration(float64(t.timing().MaxLease)/minClockRate) + leaseExpiryMargin
}

// copyWait returns how long after the latest copy of a run's start a listing without the run shows that
// its worker never executes it. See overAt for long-running tasks.
func (t *term) copyWait(r *run) time.Duration {
	if r.spec.Lasting {
		return t.longestLease()
	}
	return lateOrderTime
}

// overAt returns when no incarnation of a worker executes a run any more, and none will, if
// nothing is heard of it. A long-running task waits for prompt copies only: while all
// is well it must not be without a run for as long as an order may be late.
func (t *term) overAt(d *doubts, r *run) time.Time {
	s, unclear := d.starts[orphan{r.id, r.number}]
	if !unclear || r.spec.Copies {
		return time.Time{}
	}
	late := lateOrderTime
	if r.spec.Lasting {
		late = 0
	}
	return t.doubtOver(d, s, late)
}

// doubtOver returns when a start is over of which nothing is heard, if an order without an answer may be
// carried out so late. If all copies were answered, it runs already, and only a lease may arrive.
func (t *term) doubtOver(d *doubts, s doubt, late time.Duration) time.Time {
	arrives, latest := t.latestSent(d, s.sent).Add(late), t.latestLeaseAfter(s.sent)
	if !s.answered.IsZero() {
		arrives = s.answered
		if lease := d.latestLease(); !lease.IsZero() {
			arrives = later(arrives, earlier(lease, latest).Add(late))
		}
	}
	return later(arrives, earlier(d.granted, latest)).Add(t.longestLease())
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
		t.orderUse.kept++
		t.emit(event.RunKept, zap.Stringer("task", r.id), zap.Int("run", r.number), zap.String("worker", w.ID), zap.Int64("life", int64(w.Life)),
			zap.Int("copies", r.copies), zap.Duration("age", t.now().Sub(d.starts[orphan{r.id, r.number}].sent)), zap.Time("until", until), zap.String("reason", reason))
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

// settleDoubts has an incarnation of a worker that reports itself stop the runs that are held.
// They end once it can no longer execute them, or as they would if it had not reported itself. The next
// incarnation knows nothing of these stops, so that the doubts go on until no copy can arrive. What
// else was sent to the former ones it refuses by the fencing token, or lists as an orphan.
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
	d.life = w.Life
}

// stopFormer has a worker stop a run of its former incarnation.
func (t *term) stopFormer(w *worker, r *run) {
	fence := uint64(0) // that of a former incarnation, or of an earlier leader, is lower
	if r.worker.Life == w.Life {
		fence = t.fence(w)
	}
	t.stopOrphan(w, r.id, r.number, fence, "its start was sent to the former incarnation")
	o := w.orphans[orphan{r.id, r.number}]
	o.former = r
	if d := t.doubts[w.ID]; d != nil {
		o.until = later(o.until, t.overAt(d, r))
	}
}

// copyOver reports whether no copy of a start will be carried out any more, and none is executed by
// an incarnation that is not known. A proof of the known one after the copies have arrived shows that they
// reach no later incarnation, and a listing what it executes itself, which is known as an orphan if
// the start was sent to a former one.
func (t *term) copyOver(d *doubts, key orphan, s doubt, now time.Time) bool {
	arrived, w := s.sent.Add(lateOrderTime), t.workers[d.worker]
	if !s.answered.IsZero() {
		arrived = s.answered
	}
	if now.Before(arrived) || w != nil && w.orphans[key] != nil {
		return false
	}
	if w != nil && w.Life == d.life && w.missed == 0 {
		if w.completeAt.After(arrived) {
			return true
		}
		if !w.refuses && t.idleWorker(w) { // its reports have it listed
			t.requestListing(w)
		}
	}
	return now.After(t.doubtOver(d, s, lateOrderTime))
}

// dropDoubts records that orders to a worker's incarnation reach another process now, which refuses
// all copies, and has the next leaders know.
func (t *term) dropDoubts(w *worker) {
	if d := t.doubtsOf(w); d != nil {
		t.inbox.replaced = append(t.inbox.replaced, w.ID)
		for key := range d.starts {
			t.dropDoubt(d, key)
		}
	}
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
		for key, s := range d.starts {
			switch r := t.runs[key.task]; {
			case t.copyOver(d, key, s, now):
				t.dropDoubt(d, key)
			case r != nil && r.number == key.run && !s.answered.IsZero() && now.Sub(s.answered) > proofTime:
				t.noteUnclear(r)
			}
		}
		if len(d.starts) == 0 && len(d.held) == 0 {
			delete(t.doubts, id)
		}
	}
}

// expireOrphans drops the orphans that a worker can no longer execute, since the time of their copies
// and its own lease are over. It lists nothing.
func (t *term) expireOrphans(w *worker, now time.Time) {
	for key, r := range w.orphans {
		until := r.until
		if d := t.doubts[w.ID]; d != nil && r.former == nil {
			until = t.overAt(d, r)
		}
		if !now.Before(until) {
			t.dropOrphan(w, key, r, "its worker's next incarnation lists nothing")
		}
	}
}

// adoptLeases records the workers with runs that are not in doubt, to which an earlier leader may
// have sent leases until now.
func (t *term) adoptLeases(v *job.View) {
	t.leased = map[string]bool{}
	for name, reservations := range v.Reservations {
		for id := range reservations {
			_, _, task := v.Find(id)
			if _, unclear := v.Unclear(task); !unclear {
				t.leased[name] = true
				break
			}
		}
	}
}

// adoptDoubt records that an earlier leader may have sent copies of a start, that long ago at
// the latest, that have no answer.
func (t *term) adoptDoubt(w *worker, key orphan, task *job.Task, ago time.Duration) {
	d, sent := t.doubtsAbout(w.ID, w.Life), t.now().Add(-ago)
	t.addDoubt(d, key, sent)
	s := doubt{sent: sent, adopted: true}
	if task.Unclear != "" {
		t.noted.add(w.ID, key)
	}
	if task.Sending == job.SendTicket && w.Life == task.Life && !task.Retried {
		s.ticketAt = t.now()
	}
	d.starts[key] = s
	if t.leased[w.ID] {
		d.leased = later(d.leased, earlier(t.now(), t.latestLeaseAfter(sent)))
	}
	if task.Retried {
		t.retried[key.task] = true
	}
}

// adoptRunDoubt does so for a run, and has it known to the next leaders.
func (t *term) adoptRunDoubt(w *worker, r *run, task *job.Task, ago time.Duration) {
	t.adoptDoubt(w, orphan{r.id, r.number}, task, ago)
	r.copies, r.unclear, r.sending = 1, task.Unclear != "", task.Sending
	r.once = task.Sending == job.SendOnce && !r.unclear
	if r.once || task.Sending == job.SendTicket && !r.unclear {
		t.inbox.adopted = append(t.inbox.adopted, r.start())
		return
	}
	t.noteUnclear(r)
}

// adoptHeld keeps a run whose worker an earlier leader has removed, if another incarnation may
// execute it. It reports whether the run is kept.
func (t *term) adoptHeld(r *run, name string, task *job.Task, ago time.Duration) bool {
	r.worker = newWorker(job.Worker{ID: name, Life: task.Life}, t.now())
	t.adoptRunDoubt(r.worker, r, task, ago)
	return t.hold(r.worker, r, "an earlier leader removed its worker")
}

// adoptWaits has the tasks wait whose latest run has ended with copies of its start without an
// answer.
func (t *term) adoptWaits(v *job.View) {
	for _, r := range v.Active {
		for number, o := range r.Open {
			for step := range o.Steps {
				for i := range o.Steps[step].Tasks {
					task := &o.Steps[step].Tasks[i]
					if ago, unclear := v.Unclear(task); unclear && task.Unclear != "" && task.Worker == "" && !task.Done {
						w := t.workers[task.Unclear]
						if w == nil {
							w = newWorker(job.Worker{ID: task.Unclear}, t.now())
						}
						t.adoptDoubt(w, orphan{job.TaskID{Job: r.Job.ID, Occurrence: number, Step: step, Index: i}, task.Run}, task, ago)
					}
				}
			}
		}
	}
}
