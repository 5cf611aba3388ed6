package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// orderTimeout bounds one attempt of an order; a worker answers in a few
	// milliseconds, and the same order may be sent again without harm.
	orderTimeout = 80 * time.Millisecond
	// orderPause is the pause before an order is sent again.
	orderPause = 20 * time.Millisecond
	// startTime is how long a start without an answer is sent again, while a
	// listing may show that it was carried out. Its run is stopped afterwards, so
	// that it can start elsewhere.
	startTime = 500 * time.Millisecond
	// leaseLength is the length of the leases of runs, if the worker allows as
	// much: a cut or a change of the leader that is shorter costs no work.
	leaseLength = 4 * time.Second
)

// run is what the leader remembers of a run.
type run struct {
	id       job.TaskID
	number   int
	worker   *worker
	spec     *job.Step
	ordered  time.Time // the start was committed
	clear    time.Time // the worker answered the start, or could not get it any more; zero before
	saved    string    // latest checkpoint that was listed
	percent  int
	seen     time.Time // percent was listed, on the worker's clock
	first    reading   // of the run, or when it began
	mark     reading   // a window or two ago; the recent speed is measured from it
	next     reading   // takes the place of mark
	resumed  bool      // went on from a checkpoint, or was started by an earlier leader
	queue    string
	figure   float64
	moved    time.Time // percent changed
	stopping bool
	stopped  time.Time // the worker answered the stop; zero before
	ended    bool      // an end is queued
	pace     int       // percent; zero means full speed
	urgent   bool      // of a queue of the highest priority
}

func (r *run) end(outcome job.Outcome, saved string) job.End {
	if saved == "" {
		saved = r.saved
	}
	return job.End{Task: r.id, Run: r.number, Worker: r.worker.ID, Life: r.worker.Life, Outcome: outcome, Saved: saved}
}

// leases returns the length of leases.
func (t *term) leases() time.Duration {
	return min(leaseLength, t.timing().LongestLease-lapseMargin)
}

// launch sends the start of a committed run. The caller holds the lock.
func (t *term) launch(r *run, o StartOrder) {
	t.orders.Go(func() { t.start(r, o) })
}

// start sends a start until its fate is known.
func (t *term) start(r *run, o StartOrder) {
	for attempt := 1; ; attempt++ {
		t.mu.Lock()
		if t.over || r.ended || r.stopping || !r.clear.IsZero() {
			t.mu.Unlock()
			return
		}
		w := r.worker
		o.Lease = w.lease(t.now(), t.leases())
		target := w.Worker
		t.mu.Unlock()
		if !t.within() {
			return
		}
		a := t.dispatcher.options.Upstream.Start(t.now().Add(orderTimeout), &target, o)
		if t.started(r, a, attempt) {
			return
		}
		pause(t.ctx, orderPause)
	}
}

// started takes in the answer to a start. It reports whether the order is over.
func (t *term) started(r *run, a Answer, attempt int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.over || r.ended {
		return true
	}
	w := r.worker
	if !t.hear(w, a) {
		return true
	}
	switch a.Result {
	case Accepted:
		r.clear = t.now()
		if !r.resumed {
			r.first = reading{at: a.Clock}
			r.mark, r.next = r.first, r.first
		}
		t.follow(w)
		return true
	case Refused:
		return t.refused(r, a, attempt)
	}
	t.emit(event.RunUnclear, zap.Stringer("task", r.id), zap.Int("run", r.number), zap.String("worker", w.ID),
		zap.Int("attempt", attempt), event.Cause(a.Error))
	t.follow(w)
	if t.now().Sub(r.ordered) >= startTime {
		t.stop(r)
		return true
	}
	return false
}

// refused takes in a start that the worker did nothing for. An earlier attempt
// without an answer may still be carried out, so its run is stopped first.
func (t *term) refused(r *run, a Answer, attempt int) bool {
	t.emit(event.RunRefused, zap.Stringer("task", r.id), zap.Int("run", r.number), zap.String("worker", r.worker.ID),
		zap.String("reason", string(a.Reason)), zap.Int("attempt", attempt))
	if s := t.steps[r.id.Of()]; s != nil && a.Reason == ReasonTicket {
		if answer, ok := s.advice.Answers[r.worker.ID]; ok {
			answer.Expiry = time.Time{}
			s.advice.Answers[r.worker.ID] = answer
		}
	}
	switch {
	case a.Reason == ReasonFence:
		return true // another process leads
	case a.Reason == ReasonOld && attempt > 1:
		r.clear = t.now() // it has run; the listing tells how it ended
		t.follow(r.worker)
	case attempt > 1:
		t.stop(r)
	default:
		t.lose(r, "refused: "+string(a.Reason))
		t.breakGang(r)
	}
	return true
}

// breakGang stops the other members of a gang of which one cannot start, before
// they have waited in vain. The caller holds the lock.
func (t *term) breakGang(r *run) {
	if !r.spec.Gang {
		return
	}
	for _, other := range t.members(r) {
		t.stop(other)
	}
}

// members returns the other runs of a gang.
func (t *term) members(r *run) []*run {
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

// stop has a run stopped. The caller holds the lock.
func (t *term) stop(r *run) {
	if r.stopping || r.ended {
		return
	}
	r.stopping = true
	t.orders.Go(func() { t.sendStop(r) })
}

// sendStop sends a stop until the worker answers or its life is over. A run that
// was stopped before it came is refused when it comes.
func (t *term) sendStop(r *run) {
	for {
		t.mu.Lock()
		if t.over || r.ended {
			t.mu.Unlock()
			return
		}
		target := r.worker.Worker
		t.mu.Unlock()
		if !t.within() {
			return
		}
		a := t.dispatcher.options.Upstream.Stop(t.now().Add(orderTimeout), &target, StopOrder{Task: r.id, Run: r.number, Fence: t.number})
		if t.stopAnswered(r, a) {
			return
		}
		pause(t.ctx, orderPause)
	}
}

func (t *term) stopAnswered(r *run, a Answer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.over || r.ended {
		return true
	}
	w := r.worker
	if !t.hear(w, a) {
		return true
	}
	if a.Result != Accepted && a.Result != Refused {
		return false
	}
	if r.stopped.IsZero() {
		r.stopped = t.now()
	}
	t.follow(w)
	return true
}
