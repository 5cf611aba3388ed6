package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/version/raft"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

var errCommit = errors.New("the outcome of the commit is not known")

// fakeLog is a raft.Log of a single replica. It commits at once and leads until
// it is told otherwise.
type fakeLog struct {
	mu      sync.Mutex
	machine raft.StateMachine
	index   uint64
	term    uint64
	leads   bool
	lease   time.Duration
	fails   bool // commits nothing
	changed chan struct{}
}

func (l *fakeLog) Propose(_ context.Context, command []byte) (any, error) {
	time.Sleep(4 * time.Millisecond) // a disk sync
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leads {
		return nil, raft.ErrNotLeader
	}
	if l.fails {
		return nil, errCommit
	}
	if len(command) > raft.MaxCommand {
		return nil, raft.ErrTooLarge
	}
	l.index++
	return l.machine.Apply(l.index, command), nil
}

// setFails has commits fail or succeed.
func (l *fakeLog) setFails(fails bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fails = fails
}

func (l *fakeLog) Leader() (string, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leads {
		return "", l.term
	}
	return "me", l.term
}

func (l *fakeLog) Lease() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leads {
		return time.Time{}
	}
	return time.Now().Add(l.lease)
}

func (l *fakeLog) Leads(term uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leads && l.term == term && l.lease > 0
}

func (l *fakeLog) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *fakeLog) set(leads bool, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leads, l.term = leads, term
	close(l.changed)
	l.changed = make(chan struct{})
}

// fakeWorker simulates a worker.
type fakeWorker struct {
	life               job.Incarnation
	since              time.Time
	running            map[job.TaskID]*fakeRun
	ended              []EndedRun
	number             int64
	stopped            map[job.TaskID]int // highest run that was stopped or ended
	lease              time.Time          // on its clock
	lapsedEnds         int64              // ends up to this number have seen a lease that was over
	fence              uint64
	silent             bool // answers nothing
	unheard            bool // carries orders out, but nothing that it sends arrives
	dropsAnswers       bool // executes starts but does not answer them
	refusesConnections bool // nothing listens
	keptConnections    int  // idle ones to a process that has ended; each breaks with an order
	replaced           bool // a later worker answers at its address
	loses              bool // the process that should send orders to it does not
	hidesRuns          bool // answers no listing
	refusesListings    bool // states its incarnation in its answers to listings, but does nothing
	delaysStarts       bool // answers no start and carries it out only with carryOutLate
	delayedStarts      int  // so many starts are delayed likewise
	late               []StartOrder
	refusesCopies      bool          // executes starts, but answers that a second copy of them was refused
	full               bool          // refuses starts for lack of room
	repeats            bool          // answers the second copy of a start, and not the first one
	refusesStops       bool          // is unhealthy: answers stops, but does nothing
	unhealthy          bool          // answers all orders, but does nothing
	draining           bool          // reports that it drains
	fails              bool          // runs fail early
	unreadEnd          int64         // number of an end whose row cannot be read; zero if there is none
	unread             bool          // the rows of its listings cannot be read
	slowClock          bool          // its clock is slow by 2%
	origin             time.Duration // reading of its clock at its start
	anonymous          bool          // its answers to starts and stops state a clock only, as on the users' platform
	processors         int64         // thousandths; zero means 4000
	zone               string        // availability zone that it reports
	coldUntil          time.Time     // its reports say that it is slow until then
	answers            answerShape   // of its answers; nil if they are complete
	lostListings       []ListOrder   // that had no answer for the shape
	slowdown           int           // factor by which new tasks take longer; zero means one
	listings           int
	refusals           int // of orders, while unhealthy
	lastListing        ListOrder
	peakRuns           int
}

type fakeRun struct {
	run   int
	began time.Time
	ends  time.Time
	stop  time.Time
	fails bool
}

func (h *fakeRun) percent() int {
	return int(100 * time.Since(h.began) / h.ends.Sub(h.began))
}

const (
	maxLease = 6 * time.Second        // the longest lease that a simulated worker grants
	failTime = 100 * time.Millisecond // until a run fails
	// maxEndsListed is the number of ends in one listing, as on the platform.
	maxEndsListed = 500
)

// fakeWorkers is an Upstream of simulated workers. A task runs for a second
// unless runTime is changed, a stop takes 0.9 s.
type fakeWorkers struct {
	mu        sync.Mutex
	all       map[string]*fakeWorker
	starts    []string // task, run and worker of each start that was executed
	refused   int      // starts that unhealthy workers refused
	duplicate string   // a task that ran in two places at once
	runTime   time.Duration
	serving   bool                              // tasks are at work from their start on
	lostShare float64                           // of the orders to all workers; see lose
	random    *rand.Rand                        // of lose
	gang      job.ID                            // its members end when one of their workers crashes; empty if unused
	onStart   func(worker string, o StartOrder) // called after a start was executed; nil if unused
	onSend    func()                            // called right before a start would leave; nil if unused
	fates     *fates                            // of orders that get no answer; nil if all get one
	slow      *slowCopies                       // of starts; nil if there are none
}

func (h *fakeWorkers) clock(w *fakeWorker) time.Time {
	passed := time.Since(w.since)
	if w.slowClock {
		passed = time.Duration(float64(passed) * minClockRate)
	}
	return time.UnixMilli(1000).Add(w.origin + passed)
}

// extendLease extends the lease of a worker, which shortens one that is too long.
func (h *fakeWorkers) extendLease(w *fakeWorker, end time.Time) {
	if longest := h.clock(w).Add(maxLease); end.After(longest) {
		end = longest
	}
	if h.clock(w).After(w.lease) {
		w.lapsedEnds = w.number
	}
	if end.After(w.lease) {
		w.lease = end
	}
}

// endDueRuns ends the runs of a worker that are done, stopped or without a
// lease.
func (h *fakeWorkers) endDueRuns(w *fakeWorker) {
	now := time.Now()
	lapsed := h.clock(w).After(w.lease)
	for id, r := range w.running {
		switch {
		case !r.stop.IsZero() && !now.Before(r.stop):
			h.end(w, id, r, job.Stopped)
		case lapsed:
			h.end(w, id, r, job.LeaseExpired)
		case !now.Before(r.ends) && r.fails:
			h.end(w, id, r, job.RunFailed)
		case !now.Before(r.ends):
			h.end(w, id, r, job.Done)
		}
	}
}

func (h *fakeWorkers) end(w *fakeWorker, id job.TaskID, r *fakeRun, o job.Outcome) {
	w.number++
	e := EndedRun{Number: w.number, Task: id, Run: r.run, Outcome: o}
	w.ended = append(w.ended, e)
	h.fates.ended(w, e)
	w.stopped[id] = max(w.stopped[id], r.run)
	delete(w.running, id)
}

// contact returns the worker that answers under an ID, or else the result of
// the failed attempt.
func (h *fakeWorkers) contact(id string, o orderKind) (*fakeWorker, Answer, bool) {
	w := h.all[id]
	switch {
	case w != nil && w.keptConnections > 0:
		w.keptConnections--
		return nil, Answer{Result: Unanswered, Reason: ReasonBroken}, false
	case w != nil && w.replaced:
		return nil, Answer{Result: WrongWorker}, false
	case w == nil || w.refusesConnections:
		return nil, Answer{Result: NotSent, Reason: ReasonBroken}, false
	case w.loses:
		return nil, Answer{Result: Undelivered, Open: 1}, false
	case w.silent:
		return nil, Answer{Result: Unanswered}, false
	}
	h.endDueRuns(w)
	if w.unhealthy {
		w.refusals++
		return nil, Answer{Result: Refused, Reason: ReasonOther}, false
	}
	a := Answer{Result: Accepted, Clock: h.clock(w), Life: w.life}
	if w.answers != nil {
		a = w.answers(o, a)
	}
	return w, a, a.Result == Accepted
}

func (h *fakeWorkers) Start(p Permit, target *job.Worker, o StartOrder) Answer {
	if h.lose(p, target.ID, func(w *fakeWorker) { h.carryOut(target.ID, w, o, Answer{}) }) {
		return Answer{Result: Unanswered}
	}
	sent := time.Now()
	time.Sleep(2 * time.Millisecond)
	if !h.mayLeave(p) {
		return Answer{Result: Undelivered}
	}
	if h.fates.unanswered(p, h, target.ID, func(w *fakeWorker, late bool) { h.fates.start(p, sent, h, target.ID, w, o, late) }) {
		return Answer{Result: Unanswered}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	w, a, ok := h.contact(target.ID, startOrder)
	if a.Result == Refused {
		h.refused++
	}
	if !ok {
		return a
	}
	if w.delaysStarts || w.delayedStarts > 0 {
		w.delayedStarts = max(0, w.delayedStarts-1)
		w.late = append(w.late, o)
		return Answer{Result: Unanswered}
	}
	if a = h.carryOut(target.ID, w, o, a); w.unheard {
		return Answer{Result: Unanswered}
	}
	return h.slow.answer(p, h, w, h.fates.anonymous(w, a))
}

// ticket returns the ticket of the worker's incarnation, which no other one takes.
func (w *fakeWorker) ticket(name string) string { return fmt.Sprint(name, " ", w.life) }

// mayLeave reports whether an order may be sent now.
func (h *fakeWorkers) mayLeave(p Permit) bool {
	h.mu.Lock()
	before := h.onSend
	h.mu.Unlock()
	if before != nil {
		before()
	}
	return p.Valid()
}

// carryOut has a worker carry out a start that arrives.
func (h *fakeWorkers) carryOut(name string, w *fakeWorker, o StartOrder, a Answer) Answer {
	refuse := func(r Reason) Answer { a.Result, a.Reason = Refused, r; return a }
	switch {
	case o.Fence < w.fence:
		return refuse(ReasonStaleLeader)
	case o.Run <= w.stopped[o.Task]:
		w.fence = max(w.fence, o.Fence)
		h.extendLease(w, o.Lease) // such a start extends the lease, too
		return refuse(ReasonRunEnded)
	case !o.Lease.After(h.clock(w)):
		return refuse(ReasonLeaseExpired)
	case o.Ticket != "" && o.Ticket != w.ticket(name):
		return refuse(ReasonTicket)
	case w.full:
		h.extendLease(w, o.Lease) // such a start extends the lease, too
		return refuse(ReasonCapacity)
	}
	w.fence = max(w.fence, o.Fence)
	h.extendLease(w, o.Lease)
	if w.running[o.Task] == nil {
		for id, other := range h.all {
			h.endDueRuns(other)
			if other.running[o.Task] != nil {
				h.duplicate = fmt.Sprintf("%s on %s and %s", o.Task, id, name)
			}
		}
		w.running[o.Task] = &fakeRun{run: o.Run, began: time.Now(), ends: time.Now().Add(h.runTime * time.Duration(max(1, w.slowdown)))}
		if w.fails {
			w.running[o.Task].ends, w.running[o.Task].fails = time.Now().Add(failTime), true
		}
		w.peakRuns = max(w.peakRuns, len(w.running))
		h.starts = append(h.starts, fmt.Sprintf("%s run %d on %s", o.Task, o.Run, name))
		if h.onStart != nil {
			h.onStart(name, o)
		}
	}
	if w.dropsAnswers {
		return Answer{Result: Unanswered}
	}
	if w.refusesCopies {
		a.Repeated = true
		return refuse(ReasonOther)
	}
	a.Repeated = w.repeats
	return a
}

// carryOutLate has a worker carry out the starts that it has delayed, even if it is
// silent now.
func (h *fakeWorkers) carryOutLate(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.all[id]
	late := w.late
	w.late, w.delaysStarts = nil, false
	h.endDueRuns(w)
	for _, o := range late {
		h.carryOut(id, w, o, Answer{})
	}
}

func (h *fakeWorkers) Stop(p Permit, target *job.Worker, o StopOrder) Answer {
	if h.lose(p, target.ID, func(*fakeWorker) {}) {
		return Answer{Result: Unanswered}
	}
	time.Sleep(2 * time.Millisecond)
	if h.fates.unanswered(p, h, target.ID, func(w *fakeWorker, _ bool) { h.stop(w, o) }) {
		return Answer{Result: Unanswered}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	w, a, ok := h.contact(target.ID, stopOrder)
	if !ok {
		return a
	}
	if w.refusesStops {
		a.Result, a.Reason = Refused, ReasonOther
		return a
	}
	if !h.stop(w, o) {
		a.Result, a.Reason = Refused, ReasonStaleLeader
		return a
	}
	if w.unheard {
		return Answer{Result: Unanswered}
	}
	h.fates.settle(target.ID, w, o.Task, o.Run)
	return h.fates.anonymous(w, a)
}

// stop has a worker carry out a stop that arrives. It reports whether the order is of the
// latest leader that the worker knows.
func (h *fakeWorkers) stop(w *fakeWorker, o StopOrder) bool {
	if o.Fence < w.fence {
		return false
	}
	w.fence = o.Fence
	if r := w.running[o.Task]; r != nil && r.run == o.Run && r.stop.IsZero() {
		r.stop = time.Now().Add(900 * time.Millisecond)
	} else {
		w.stopped[o.Task] = max(w.stopped[o.Task], o.Run)
	}
	return true
}

func (h *fakeWorkers) List(p Permit, target *job.Worker, o ListOrder) (Listing, Answer) {
	if h.lose(p, target.ID, func(*fakeWorker) {}) ||
		h.fates.unanswered(p, h, target.ID, func(w *fakeWorker, _ bool) { h.prepareList(w, o) }) {
		return Listing{}, Answer{Result: Unanswered}
	}
	deadline := time.Now().Add(o.Wait)
	for {
		time.Sleep(2 * time.Millisecond)
		if l, a, over := h.list(target.ID, o, !time.Now().Before(deadline)); over {
			return l, a
		}
	}
}

func (h *fakeWorkers) list(id string, o ListOrder, over bool) (Listing, Answer, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w, a, ok := h.contact(id, listOrder)
	if !ok {
		if w != nil {
			w.lostListings = append(w.lostListings, o)
		}
		return Listing{}, a, true
	}
	if w.hidesRuns {
		return Listing{}, Answer{Result: Unanswered}, true
	}
	if w.refusesListings {
		a.Result, a.Reason = Refused, ReasonOther
		return Listing{}, a, true
	}
	if !h.prepareList(w, o) {
		a.Result, a.Reason = Refused, ReasonStaleLeader
		return Listing{}, a, true
	}
	if w.unheard {
		return Listing{}, Answer{Result: Unanswered}, true
	}
	if len(w.ended) == 0 && !over {
		return Listing{}, a, false
	}
	w.listings++
	l := Listing{Complete: true, Ended: slices.Clone(w.ended)}
	if len(l.Ended) > maxEndsListed {
		l.Ended, l.Complete = l.Ended[:maxEndsListed], false
	}
	for _, e := range l.Ended {
		h.fates.settle(id, w, e.Task, e.Run)
	}
	if i := slices.IndexFunc(l.Ended, func(e EndedRun) bool { return e.Number == w.unreadEnd }); i >= 0 {
		l.Running, l.UnreadEnd = append(l.Running, ListedRun{Task: l.Ended[i].Task, Run: Unread}), w.unreadEnd
		l.Ended = slices.Delete(l.Ended, i, i+1)
	}
	for id, r := range w.running {
		percent := r.percent()
		if h.serving {
			percent = 100
		}
		if w.unread {
			r = &fakeRun{run: Unread}
		}
		l.Running = append(l.Running, ListedRun{Task: id, Run: r.run, Percent: percent})
	}
	return l, a, true
}

func (h *fakeWorkers) Throttle(Permit, *job.Worker, ThrottleOrder) Answer {
	return Answer{Result: Accepted}
}

func (h *fakeWorkers) Forget(*job.Worker) {}

// testCluster is a leader with simulated workers, in virtual time.
type testCluster struct {
	is       *is.I
	log      *fakeLog
	state    *job.State
	workers  *fakeWorkers
	vms      *fakeVMs
	peers    fakePeers
	leader   *Dispatcher
	stop     context.CancelFunc
	done     chan struct{}
	sequence int64
	waits    waitLines

	suspended atomic.Int64 // how long the leader's VM was suspended, in nanoseconds
	stepped   atomic.Int64 // how far the leader's clock is ahead of that of the first one, in nanoseconds
}

func newTestCluster(t *testing.T, workers ...string) *testCluster {
	return newLoggedCluster(t, event.Log{}, workers...)
}

// newLoggedCluster returns a cluster whose leader has a log.
func newLoggedCluster(t *testing.T, events event.Log, workers ...string) *testCluster {
	b := &testCluster{
		is: is.New(t), waits: waitLines{t: t}, state: job.New(), workers: &fakeWorkers{all: map[string]*fakeWorker{}, runTime: time.Second}, done: make(chan struct{}),
	}
	b.vms, b.peers.workers = newFakeVMs(b), b.workers
	b.log = &fakeLog{machine: b.state, term: 1, leads: true, lease: time.Second, changed: make(chan struct{})}
	var err error
	b.leader, err = New(Options{
		Name: "me", State: b.state, Events: events.Observed(b.waits.observe), Log: b.log, Upstream: b.workers, VMs: b.vms, Peer: &b.peers, Members: func() []string { return []string{"me"} },
		Now:   func() time.Time { return time.Now().Add(time.Duration(b.stepped.Load())) },
		Clock: func() time.Time { return time.Now().Add(time.Duration(b.suspended.Load())) },
		Timing: Timing{
			MaxLease: maxLease, StopTime: 900 * time.Millisecond, GangTime: 3 * time.Second,
			ReportInterval: 1500 * time.Millisecond, JobRetention: time.Minute, MaxPoll: 2 * time.Second,
			Maintenance: 2 * time.Second, HolderLease: 3 * time.Second,
		},
	})
	b.is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	go func() {
		defer close(b.done)
		if err := b.leader.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	time.Sleep(100 * time.Millisecond)
	b.apply()
	for _, w := range workers {
		b.add(w, 1)
	}
	go b.reportLoop(ctx)
	time.Sleep(50 * time.Millisecond)
	return b
}

func (b *testCluster) close() {
	b.stop()
	<-b.done
	b.waits.check()
}

func (b *testCluster) term() *term { return b.leader.current.Load() }

func (b *testCluster) apply() { b.addQueue(1, "/q/") }

// addQueue applies a version of the catalogue with an urgent queue and another one.
func (b *testCluster) addQueue(version uint64, prefix string) {
	b.is.Helper()
	v, ok := b.term().apply(context.Background(), &job.Catalogue{
		Version: version, Pools: []job.Pool{{Name: "p"}}, Workspaces: []job.Workspace{{Name: "depot", Keys: []string{"k"}}},
		Queues: []job.Queue{
			{Name: "q", Host: "h", Prefix: prefix, Pool: "p", Priority: 1, Attempts: 3, Stretch: 4, Target: 3 * time.Second},
			{Name: "u", Host: "h", Prefix: "/u/", Pool: "p", Attempts: 3, Stretch: 4, Target: 3 * time.Second},
		},
	})
	b.is.True(ok)
	b.is.Equal(v.Code, cell.OK)
}

// add starts an incarnation of a worker and reports it.
func (b *testCluster) add(id string, life job.Incarnation) {
	b.restart(id, life)
	b.report(id, false)
}

// restart starts an incarnation of a worker, which has not reported itself yet.
func (b *testCluster) restart(id string, life job.Incarnation) {
	b.workers.mu.Lock()
	defer b.workers.mu.Unlock()
	b.workers.all[id] = &fakeWorker{life: life, since: time.Now(), running: map[job.TaskID]*fakeRun{}, stopped: map[job.TaskID]int{}}
}

func (b *testCluster) report(id string, draining bool) {
	b.workers.mu.Lock()
	w := b.workers.all[id]
	b.sequence++
	r := cell.Report{Sequence: b.sequence, Clock: b.workers.clock(w), Remaining: 2000, Worker: job.Worker{
		ID: id, Pool: "p", Life: w.life, Draining: draining, Address: address(id), Zone: w.zone,
		Capacity: work.Resources{Processors: cmp.Or(w.processors, 4000), Memory: 16 << 30},
	}}
	r.Cold = max(0, time.Until(w.coldUntil)).Milliseconds()
	b.workers.mu.Unlock()
	if t := b.term(); t != nil {
		t.reports(context.Background(), []cell.Report{r})
	}
}

// address returns the address of a worker. Those whose IDs differ only after a hyphen
// have the same.
func address(id string) netip.AddrPort {
	host, _, _ := strings.Cut(id, "-")
	b := [4]byte{10}
	copy(b[1:], host)
	return netip.AddrPortFrom(netip.AddrFrom4(b), 80)
}

// reportLoop sends the reports of all workers that are not cut off.
func (b *testCluster) reportLoop(ctx context.Context) {
	draining := map[string]bool{}
	for ctx.Err() == nil {
		sleep(ctx, 1500*time.Millisecond)
		b.workers.mu.Lock()
		var ids []string
		for id, w := range b.workers.all {
			if !w.silent && !w.unheard && !w.refusesConnections && !w.replaced {
				ids = append(ids, id)
			}
		}
		b.workers.mu.Unlock()
		slices.Sort(ids)
		for _, id := range ids {
			if t := b.term(); t != nil {
				t.mu.Lock()
				w := t.workers[id]
				draining[id] = w != nil && w.Draining
				t.mu.Unlock()
			}
			b.report(id, draining[id] || b.workers.worker(id).draining)
		}
	}
}

func (b *testCluster) submit(id string, s job.Step) {
	b.is.Helper()
	b.submitTo("/q/", id, s)
}

// submitTo submits a job to a queue. The queue with the prefix /u/ is urgent.
func (b *testCluster) submitTo(prefix, id string, s job.Step) {
	b.is.Helper()
	v, ok := b.term().call(context.Background(), &cell.Call{
		Verb: cell.Submit, Host: "h", Path: prefix + id, Key: "k", Job: &job.Job{Steps: []job.Step{s}},
	})
	b.is.True(ok)
	b.is.Equal(v.Code, cell.OK)
}

func tasks(n int) job.Step {
	return job.Step{Count: n, Size: work.Resources{Processors: 1000, Memory: 1 << 30}, Estimate: time.Second}
}
