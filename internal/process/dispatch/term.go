package dispatch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/version/raft"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// beginPause is the pause after a term could not begin.
	beginPause = 20 * time.Millisecond
	// tendInterval is how often leases, silence and due times are looked at.
	tendInterval = 50 * time.Millisecond
	// clockRate is the slowest that a worker's clock may run; the platform
	// allows 2%.
	clockRate = 0.98
	// lapseMargin is added to the time after which a lease has ended for sure.
	lapseMargin = 100 * time.Millisecond
	// namedLinked bounds the processes named in the answer to a ping, which goes to
	// every process several times a second.
	namedLinked = 8
)

// term is what the leader remembers while it leads.
type term struct {
	dispatcher *Dispatcher
	number     uint64
	began      time.Time
	ctx        context.Context
	orders     sync.WaitGroup
	wake       chan struct{}

	mu         sync.Mutex // guards the rest; taken before the state's lock
	over       bool
	workers    map[string]*worker
	runs       map[job.TaskID]*run
	steps      map[job.StepID]*step
	lanes      map[string]*lane
	late       map[job.ID]time.Duration // from the due time until the job is late
	peaks      map[string]*peak         // by pool, use by urgent work
	norms      map[string]*fit.Norm     // by queue
	next       inbox
	loads      map[string]*fit.Load // by pool, as of the last round
	waves      map[int64]*wave
	noted      time.Time // last lines about the pools
	unanswered time.Time // last order without an answer
}

// inbox is what the next round takes in.
type inbox struct {
	catalogue *job.Catalogue
	workers   []job.Worker
	gone      []job.Worker
	ends      []job.End
	cancels   []job.ID
	submits   []job.Job
	waiters   []chan bool // get true once the round is committed
	cursors   []cursor
}

// cursor is an end to acknowledge once the round is committed.
type cursor struct {
	worker *worker
	number int64
}

// step is what is remembered of a step that waits.
type step struct {
	advice  fit.Advice
	avoid   map[string]time.Time // workers where a run of it failed, and until when they are left out
	since   time.Time            // when tasks of it became ready
	retry   time.Time            // no question before this
	noted   time.Time            // no line about its wait before this
	lags    map[string]float64   // of its runs, by worker; see fit.Motion
	learned bool                 // its queue's norm has taken in a run
}

// lane is a process that asks the advice service.
type lane struct {
	seen time.Time
	free time.Time // when its questions so far are answered
}

// peak is the recent highest use of a pool by urgent work.
type peak struct {
	use work.Resources
	at  time.Time
}

func newTerm(d *Dispatcher, number uint64) *term {
	return &term{
		dispatcher: d, number: number, began: d.options.Now(), wake: make(chan struct{}, 1),
		workers: map[string]*worker{}, runs: map[job.TaskID]*run{}, steps: map[job.StepID]*step{},
		lanes: map[string]*lane{}, late: map[job.ID]time.Duration{}, peaks: map[string]*peak{},
		norms: map[string]*fit.Norm{},
		waves: map[int64]*wave{},
	}
}

func (t *term) now() time.Time { return t.dispatcher.options.Now() }

func (t *term) state() *job.State { return t.dispatcher.options.State }

func (t *term) timing() *Timing { return &t.dispatcher.options.Timing }

func (t *term) emit(id event.ID, fields ...zap.Field) {
	t.dispatcher.options.Events.Emit(id, fields...)
}

// within reports whether no other replica can lead yet and this is still the
// current term. The lease is read first: terms only grow, so that a term that
// is still current afterwards is the one the lease belongs to.
func (t *term) within() bool {
	lease := t.dispatcher.options.Log.Lease()
	name, number := t.dispatcher.options.Log.Leader()
	return name == t.dispatcher.options.Name && number == t.number && t.now().Before(lease)
}

// signal has a round look at what changed.
func (t *term) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// begin commits that the term has begun, so that rounds of earlier ones are
// refused.
func (t *term) begin(ctx context.Context) bool {
	_, ok := t.commit(ctx, job.Round{Lead: true})
	return ok
}

// commit commits a round. It reports whether the round was applied.
func (t *term) commit(ctx context.Context, r job.Round) (job.Result, bool) {
	r.Term, r.Now = t.number, t.now()
	r.Forget = r.Now.Add(-t.timing().Keep)
	b, err := job.Encode(r)
	if err != nil {
		t.emit(event.RoundDropped, event.Cause(err))
		return job.Result{}, false
	}
	proposed := t.now()
	v, err := t.dispatcher.options.Log.Propose(ctx, b)
	t.emit(event.RoundCommitted, zap.Duration("took", t.now().Sub(proposed)))
	if err != nil {
		if ctx.Err() == nil {
			t.emit(event.RoundDropped, event.Cause(err))
		}
		return job.Result{}, false
	}
	result, ok := v.(job.Result)
	return result, ok && !result.Superseded
}

// adopt takes over the workers and runs of the state.
func (t *term) adopt() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.state().View(func(v *job.View) {
		for _, w := range v.Workers {
			m := newWorker(w, now)
			m.floor = now.Add(time.Duration(float64(t.timing().LongestLease)/clockRate) + lapseMargin)
			t.workers[w.ID] = m
		}
		for name, occupied := range v.Occupied {
			t.adoptRuns(v, name, occupied, now)
		}
		t.emit(event.TermBegun, zap.Uint64("term", t.number), zap.Int("workers", len(v.Workers)),
			zap.Int("runs", len(t.runs)), zap.Int("jobs", len(v.Active)))
	})
	// Workers without runs are asked too: a start needs a reading of their clock.
	for _, w := range t.workers {
		w.probe = true
		t.follow(w)
	}
	t.signal()
}

// adoptRuns takes over the runs on one worker. Whether their orders ever left is
// not known; the first listing under the new fence tells, because the worker
// refuses earlier orders from then on.
func (t *term) adoptRuns(v *job.View, name string, occupied map[job.TaskID]job.Occupation, now time.Time) {
	w := t.workers[name]
	for id, o := range occupied {
		record, _, task := v.Find(id)
		life := task.Life
		if w == nil || w.Life != life {
			// The worker's life is over; its runs are too.
			t.next.ends = append(t.next.ends, job.End{Task: id, Run: o.Run, Worker: name, Life: life, Outcome: job.Lost})
			continue
		}
		r := &run{id: id, number: o.Run, worker: w, spec: &record.Job.Steps[id.Step], ordered: now, clear: now, moved: now,
			urgent: record.Queue.Priority == 0, queue: queueKey(&record.Queue), resumed: true}
		w.runs[id], t.runs[id] = r, r
		if record.Status.Over() || task.Done {
			t.stop(r)
		}
	}
}

// abandon tells everybody who waits for a round that the term is over.
func (t *term) abandon() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.over = true
	for _, c := range t.next.waiters {
		c <- false
	}
	t.next = inbox{}
}

// enqueue adds to the next round and returns a channel that tells whether it was
// committed. The caller holds the lock.
func (t *term) enqueue(add func(*inbox)) <-chan bool {
	c := make(chan bool, 1)
	if t.over {
		c <- false
		return c
	}
	add(&t.next)
	t.next.waiters = append(t.next.waiters, c)
	t.signal()
	return c
}

// settled waits for a round.
func (t *term) settled(ctx context.Context, c <-chan bool) bool {
	select {
	case ok := <-c:
		return ok
	case <-ctx.Done():
		return false
	}
}

// ping notes a process that can ask for advice.
func (t *term) ping(name string) cell.Leader {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lanes[name]
	if l == nil {
		l = &lane{}
		t.lanes[name] = l
	}
	l.seen = t.now()
	return cell.Leader{Name: t.dispatcher.options.Name, Members: t.dispatcher.options.Members(), Linked: t.linked()}
}

var _ raft.Machine = (*job.State)(nil)

// linked returns some of the processes that reached this leader lately.
func (t *term) linked() []string {
	now := t.now()
	var names []string
	for n, l := range t.lanes {
		if now.Sub(l.seen) <= laneSeen && len(names) < namedLinked {
			names = append(names, n)
		}
	}
	return names
}
