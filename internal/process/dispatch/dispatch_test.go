package dispatch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/version/raft"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// fakeLog is a raft.Log of a single replica. It commits at once and leads until
// it is told otherwise.
type fakeLog struct {
	mu      sync.Mutex
	machine raft.StateMachine
	index   uint64
	term    uint64
	leads   bool
	lease   time.Duration
	changed chan struct{}
}

func (l *fakeLog) Propose(_ context.Context, command []byte) (any, error) {
	time.Sleep(4 * time.Millisecond) // a disk sync
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leads {
		return nil, raft.ErrNotLeader
	}
	if len(command) > raft.MaxCommand {
		return nil, raft.ErrTooLarge
	}
	l.index++
	return l.machine.Apply(l.index, command), nil
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
	fence              uint64
	silent             bool // answers nothing
	dropsAnswers       bool // executes starts but does not answer them
	refusesConnections bool // nothing listens
	loses              bool // the process that should send orders to it does not
	hidesRuns          bool // answers no listing
	delaysStarts       bool // answers no start and carries it out only with carryOutLate
	late               []StartOrder
	refusesCopies      bool // executes starts, but answers that a second copy of them was refused
	refusesStops       bool // is unhealthy: answers stops, but does nothing
	unhealthy          bool // answers all orders, but does nothing
	slowdown           int  // factor by which new tasks take longer; zero means one
	listings           int
	peakRuns           int
}

type fakeRun struct {
	run   int
	began time.Time
	ends  time.Time
	stop  time.Time
}

func (h *fakeRun) percent() int {
	return int(100 * time.Since(h.began) / h.ends.Sub(h.began))
}

// maxLease is the longest lease that a simulated worker grants.
const maxLease = 6 * time.Second

// fakeWorkers is an Upstream of simulated workers. A task runs for a second
// unless runTime is changed, a stop takes 0.9 s.
type fakeWorkers struct {
	mu        sync.Mutex
	all       map[string]*fakeWorker
	starts    []string // task, run and worker of each start that was executed
	refused   int      // starts that unhealthy workers refused
	duplicate string   // a task that ran in two places at once
	runTime   time.Duration
}

func (h *fakeWorkers) clock(w *fakeWorker) time.Time {
	return time.UnixMilli(1000).Add(time.Since(w.since))
}

// extendLease extends the lease of a worker, which shortens one that is too long.
func (h *fakeWorkers) extendLease(w *fakeWorker, end time.Time) {
	if longest := h.clock(w).Add(maxLease); end.After(longest) {
		end = longest
	}
	if end.After(w.lease) {
		w.lease = end
	}
}

// endDueRuns ends the runs of a worker that are done, stopped or without a
// lease.
func (h *fakeWorkers) endDueRuns(w *fakeWorker) {
	now := time.Now()
	for id, r := range w.running {
		switch {
		case !r.stop.IsZero() && !now.Before(r.stop):
			h.end(w, id, r, job.Stopped)
		case h.clock(w).After(w.lease):
			h.end(w, id, r, job.LeaseExpired)
		case !now.Before(r.ends):
			h.end(w, id, r, job.Done)
		}
	}
}

func (h *fakeWorkers) end(w *fakeWorker, id job.TaskID, r *fakeRun, o job.Outcome) {
	w.number++
	w.ended = append(w.ended, EndedRun{Number: w.number, Task: id, Run: r.run, Outcome: o})
	w.stopped[id] = max(w.stopped[id], r.run)
	delete(w.running, id)
}

// contact returns the worker that answers under an ID, or else the result of
// the failed attempt.
func (h *fakeWorkers) contact(id string) (*fakeWorker, Answer, bool) {
	w := h.all[id]
	switch {
	case w == nil || w.refusesConnections:
		return nil, Answer{Result: NotSent}, false
	case w.loses:
		return nil, Answer{Result: Undelivered}, false
	case w.silent:
		return nil, Answer{Result: Unanswered}, false
	}
	h.endDueRuns(w)
	if w.unhealthy {
		return nil, Answer{Result: Refused, Reason: ReasonOther}, false
	}
	return w, Answer{Result: Accepted, Clock: h.clock(w), Life: w.life}, true
}

func (h *fakeWorkers) Start(_ Permit, target *job.Worker, o StartOrder) Answer {
	time.Sleep(2 * time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	w, a, ok := h.contact(target.ID)
	if a.Result == Refused {
		h.refused++
	}
	if !ok {
		return a
	}
	if w.delaysStarts {
		w.late = append(w.late, o)
		return Answer{Result: Unanswered}
	}
	refuse := func(r Reason) Answer { a.Result, a.Reason = Refused, r; return a }
	switch {
	case o.Fence < w.fence:
		return refuse(ReasonStaleLeader)
	case o.Run <= w.stopped[o.Task]:
		return refuse(ReasonRunEnded)
	case !o.Lease.After(h.clock(w)):
		return refuse(ReasonLeaseExpired)
	}
	w.fence = max(w.fence, o.Fence)
	h.extendLease(w, o.Lease)
	if w.running[o.Task] == nil {
		for id, other := range h.all {
			h.endDueRuns(other)
			if other.running[o.Task] != nil {
				h.duplicate = fmt.Sprintf("%s on %s and %s", o.Task, id, target.ID)
			}
		}
		w.running[o.Task] = &fakeRun{run: o.Run, began: time.Now(), ends: time.Now().Add(h.runTime * time.Duration(max(1, w.slowdown)))}
		w.peakRuns = max(w.peakRuns, len(w.running))
		h.starts = append(h.starts, fmt.Sprintf("%s run %d on %s", o.Task, o.Run, target.ID))
	}
	if w.dropsAnswers {
		return Answer{Result: Unanswered}
	}
	if w.refusesCopies {
		a.Repeated = true
		return refuse(ReasonOther)
	}
	return a
}

// carryOutLate carries out the starts that a worker has delayed.
func (h *fakeWorkers) carryOutLate(id string) {
	h.mu.Lock()
	w := h.all[id]
	late := w.late
	w.late, w.delaysStarts = nil, false
	h.mu.Unlock()
	for _, o := range late {
		h.Start(Permit{}, &job.Worker{ID: id}, o)
	}
}

func (h *fakeWorkers) Stop(_ Permit, target *job.Worker, o StopOrder) Answer {
	time.Sleep(2 * time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	w, a, ok := h.contact(target.ID)
	if !ok {
		return a
	}
	if w.refusesStops {
		a.Result, a.Reason = Refused, ReasonOther
		return a
	}
	w.fence = max(w.fence, o.Fence)
	if r := w.running[o.Task]; r != nil && r.run == o.Run && r.stop.IsZero() {
		r.stop = time.Now().Add(900 * time.Millisecond)
	} else {
		w.stopped[o.Task] = max(w.stopped[o.Task], o.Run)
	}
	return a
}

func (h *fakeWorkers) List(_ Permit, target *job.Worker, o ListOrder) (Listing, Answer) {
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
	w, a, ok := h.contact(id)
	if !ok {
		return Listing{}, a, true
	}
	if w.hidesRuns {
		return Listing{}, Answer{Result: Unanswered}, true
	}
	w.fence = max(w.fence, o.Fence)
	h.extendLease(w, o.Lease)
	w.ended = slices.DeleteFunc(w.ended, func(e EndedRun) bool { return e.Number <= o.Acknowledged })
	if len(w.ended) == 0 && !over {
		return Listing{}, a, false
	}
	w.listings++
	l := Listing{Complete: true, Ended: slices.Clone(w.ended)}
	for id, r := range w.running {
		l.Running = append(l.Running, ListedRun{Task: id, Run: r.run, Percent: r.percent()})
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
	leader   *Dispatcher
	stop     context.CancelFunc
	done     chan struct{}
	sequence int64
}

func newTestCluster(t *testing.T, workers ...string) *testCluster {
	b := &testCluster{
		is: is.New(t), state: job.New(), workers: &fakeWorkers{all: map[string]*fakeWorker{}, runTime: time.Second}, done: make(chan struct{}),
	}
	b.log = &fakeLog{machine: b.state, term: 1, leads: true, lease: time.Second, changed: make(chan struct{})}
	var err error
	b.leader, err = New(Options{
		Name: "me", State: b.state, Log: b.log, Upstream: b.workers, Peer: unreachablePeers{}, Members: func() []string { return []string{"me"} },
		Timing: Timing{
			MaxLease: maxLease, StopTime: 900 * time.Millisecond, GangTime: 3 * time.Second,
			ReportInterval: 1500 * time.Millisecond, JobRetention: time.Minute, MaxPoll: 2 * time.Second,
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

// unreachablePeers is a peer.Caller whose calls all time out.
type unreachablePeers struct{}

func (unreachablePeers) Call(context.Context, string, string, any, any) error {
	return context.DeadlineExceeded
}

func (b *testCluster) close() {
	b.stop()
	<-b.done
}

func (b *testCluster) term() *term { return b.leader.current.Load() }

func (b *testCluster) apply() {
	v, ok := b.term().apply(context.Background(), &job.Catalogue{
		Version: 1, Pools: []job.Pool{{Name: "p"}}, Workspaces: []job.Workspace{{Name: "depot", Keys: []string{"k"}}},
		Queues: []job.Queue{
			{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Priority: 1, Attempts: 3, Stretch: 4, Target: 3 * time.Second},
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
		ID: id, Pool: "p", Life: w.life, Draining: draining,
		Capacity: work.Resources{Processors: 4000, Memory: 16 << 30},
	}}
	b.workers.mu.Unlock()
	if t := b.term(); t != nil {
		t.reports(context.Background(), []cell.Report{r})
	}
}

// reportLoop sends the reports of all workers that are not cut off.
func (b *testCluster) reportLoop(ctx context.Context) {
	draining := map[string]bool{}
	for ctx.Err() == nil {
		sleep(ctx, 1500*time.Millisecond)
		b.workers.mu.Lock()
		var ids []string
		for id, w := range b.workers.all {
			if !w.silent && !w.refusesConnections {
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
			b.report(id, draining[id])
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

func (b *testCluster) status(id string) job.Status {
	var s job.Status
	b.state.View(func(v *job.View) {
		if r := v.Jobs[job.ID(id)]; r != nil {
			s = r.Status
		}
	})
	return s
}

func (b *testCluster) changeWorker(id string, change func(w *fakeWorker)) {
	b.workers.mu.Lock()
	defer b.workers.mu.Unlock()
	change(b.workers.all[id])
}

// busyWorker returns the one of two workers that runs something.
func (b *testCluster) busyWorker() string {
	if len(b.workers.worker("b").running) > 0 {
		return "b"
	}
	return "a"
}

// changeBusyWorker starts four tasks of 20 s, which fill one worker, and
// changes that worker a second later.
func (b *testCluster) changeBusyWorker(change func(w *fakeWorker)) {
	b.is.Helper()
	b.workers.setRunTime(20 * time.Second)
	b.submit("one", tasks(4))
	time.Sleep(time.Second)
	b.changeWorker(b.busyWorker(), change)
}

func tasks(n int) job.Step {
	return job.Step{Count: n, Size: work.Resources{Processors: 1000, Memory: 1 << 30}, Estimate: time.Second}
}

// Guards against failures anywhere on the path of a job: it must be accepted,
// placed within the capacity of the workers and shown as completed, all without
// a platform.
func TestJobsAreDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.submit("one", tasks(3))
		b.submit("two", tasks(12))
		time.Sleep(4 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
		b.is.Equal(b.status("two"), job.Completed)
		b.is.Equal(len(b.workers.started()), 15)
		for _, id := range []string{"a", "b"} {
			b.is.True(b.workers.worker(id).peakRuns <= 4) // four processors
		}
		b.is.Equal(b.workers.copied(), "")
	})
}

// Guards against a task that starts again before the lease of its unreachable
// worker has expired there.
func TestCutWorkerKeepsItsTasksUntilTheLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.changeBusyWorker(func(w *fakeWorker) { w.silent = true })
		time.Sleep(3 * time.Second)
		b.is.Equal(len(b.workers.started()), 4) // nothing starts elsewhere yet
		time.Sleep(5 * time.Second)
		b.is.Equal(len(b.workers.started()), 8)
		b.is.Equal(b.workers.copied(), "")
	})
}

// Guards against tasks that wait for the lease of a silent worker although they
// may run in several copies, and against overfilling that worker: the runs that
// were given up there continue and still take up its capacity.
func TestCopiesStartElsewhereAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.workers.setRunTime(8 * time.Second)
		s := tasks(4)
		s.Copies = true
		b.submit("one", s)
		time.Sleep(time.Second)
		first := b.busyWorker()
		b.changeWorker(first, func(w *fakeWorker) { w.silent = true })
		time.Sleep(2600 * time.Millisecond)
		b.is.Equal(len(b.workers.started()), 8) // before the lease has ended
		b.changeWorker(first, func(w *fakeWorker) { w.silent = false })
		b.submit("two", tasks(8))
		time.Sleep(20 * time.Second)
		b.is.Equal(b.status("two"), job.Completed)
		b.is.True(b.workers.worker(first).peakRuns <= 4)
	})
}

// Guards against urgent jobs that are late because the answer to one listing was
// lost: the ends in it are seen only with the next listing, which after the
// usual wait was two seconds later (scenario scale-2 of rmpc-thies).
func TestLostListingCostsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		current := b.term()
		current.mu.Lock()
		defer current.mu.Unlock()
		w := current.workers["a"]
		w.runs[job.TaskID{Job: "j"}] = &run{worker: w, spec: &job.Step{}, startResolvedAt: current.now(), urgent: true}
		b.is.Equal(current.listOrder(w).Wait, maxListWait)
		current.handleAnswer(w, Answer{Result: Unanswered})
		current.handleAnswer(w, Answer{Result: Accepted})
		b.is.Equal(current.listOrder(w).Wait, lossyListWait)
		delete(w.runs, job.TaskID{Job: "j"})
	})
}

// Guards against a worker that stays out of use after a network partition in
// which it lost all its runs, because nothing polls it again (rule LOST, seen in
// the scenario servers-reset).
func TestWorkerIsUsedAgainAfterACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(20 * time.Second)
		b.submit("one", tasks(2))
		time.Sleep(time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.silent = true })
		time.Sleep(8 * time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.silent = false })
		time.Sleep(3 * time.Second)
		b.is.Equal(len(b.workers.started()), 4)
	})
}

// Guards against a refused connection that counts as the end of a worker. A
// network partition may refuse connections while the worker continues, and tasks
// then ran in two places at once (rule TWICE, scenario servers-reset of
// bellerive-crates).
func TestRefusedConnectionsProveNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.changeBusyWorker(func(w *fakeWorker) { w.refusesConnections = true })
		time.Sleep(7 * time.Second)
		b.is.Equal(len(b.workers.started()), 8)
		b.is.Equal(b.workers.copied(), "")
	})
}

// Guards against tasks that wait for the lease of a worker to which no copy of their
// start could be sent, as after the replacement of many workers.
func TestUnsentStartsAreRepeatedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.changeWorker("a", func(w *fakeWorker) { w.refusesConnections = true })
		b.submit("one", tasks(4)) // fit on one worker
		time.Sleep(400 * time.Millisecond)
		b.is.Equal(len(b.workers.all["b"].running), 4)
		b.is.Equal(b.workers.duplicate, "")
	})
}

// Guards against runs that are given up because their worker refuses connections
// although an earlier copy of their start may be carried out.
func TestStartSentBeforeARefusalIsStoppedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.workers.runTime = 3 * time.Second
		b.changeWorker("a", func(w *fakeWorker) { w.dropsAnswers = true })
		b.submit("one", tasks(4)) // fit on one worker
		time.Sleep(40 * time.Millisecond)
		b.is.True(len(b.workers.all["a"].running) > 0)
		b.changeWorker("a", func(w *fakeWorker) { w.refusesConnections, w.dropsAnswers = true, false })
		time.Sleep(2 * time.Second)
		b.is.Equal(b.workers.duplicate, "")
		b.changeWorker("a", func(w *fakeWorker) { w.refusesConnections = false })
		time.Sleep(10 * time.Second)
		b.is.Equal(b.workers.duplicate, "")
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against a start that is executed but not answered, and is repeated
// elsewhere while its run executes.
func TestStartWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.changeWorker("a", func(w *fakeWorker) { w.dropsAnswers = true })
		b.changeWorker("b", func(w *fakeWorker) { w.dropsAnswers = true })
		b.submit("one", tasks(6))
		time.Sleep(8 * time.Second)
		b.is.Equal(b.workers.copied(), "")
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against a start that counts as refused although an earlier copy of the
// order was carried out.
func TestRefusalOfACopyProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.changeWorker("a", func(w *fakeWorker) { w.refusesCopies = true })
		b.submit("one", tasks(6))
		time.Sleep(300 * time.Millisecond)
		b.changeWorker("a", func(w *fakeWorker) { w.refusesCopies = false })
		time.Sleep(8 * time.Second)
		b.is.Equal(b.workers.copied(), "")
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against tasks that wait for a lease although their worker is known to
// have restarted, and against ends of its former incarnation that count for the
// new one.
func TestRestartedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(3 * time.Second)
		b.submit("one", tasks(2))
		time.Sleep(time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.refusesConnections = true })
		time.Sleep(300 * time.Millisecond)
		b.add("a", 2)
		time.Sleep(500 * time.Millisecond)
		b.is.Equal(len(b.workers.started()), 4) // both again, in the new incarnation
		time.Sleep(4 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against new tasks on a worker that announced that it is draining.
func TestDrainingWorkerGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.report("a", true)
		b.submit("one", tasks(6))
		time.Sleep(3 * time.Second)
		b.is.Equal(b.workers.worker("a").peakRuns, 0)
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against runs that continue after their job was cancelled.
func TestCancelStopsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(time.Minute)
		b.submit("one", tasks(3))
		time.Sleep(time.Second)
		_, ok := b.term().call(context.Background(), &cell.Call{Verb: cell.Cancel, Host: "h", Path: "/q/one", Key: "k"})
		b.is.True(ok)
		time.Sleep(1200 * time.Millisecond)
		b.is.Equal(len(b.workers.worker("a").running), 0)
		b.is.Equal(b.status("one"), job.Cancelled)
	})
}

// Guards against listings that do not wait while a run is being stopped: the
// loop spun and listed the runs of workers 29,838 times in one day (scenario
// scale-1 of rmpc-thies).
func TestListingsWaitWhileRunsAreStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(time.Minute)
		b.submit("one", tasks(3))
		time.Sleep(time.Second)
		before := b.workers.worker("a").listings
		_, ok := b.term().call(context.Background(), &cell.Call{Verb: cell.Cancel, Host: "h", Path: "/q/one", Key: "k"})
		b.is.True(ok)
		time.Sleep(2 * time.Second)
		b.is.True(b.workers.worker("a").listings-before < 20)
	})
}

// Guards against a leader that continues after its term, and against a new
// leader that starts tasks again that still run under the former one.
func TestNextTermTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.workers.setRunTime(4 * time.Second)
		b.submit("one", tasks(8))
		time.Sleep(time.Second)
		b.log.set(false, 2)
		time.Sleep(time.Second)
		b.is.True(b.term() == nil)
		b.log.set(true, 3)
		time.Sleep(6 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
		b.is.Equal(len(b.workers.started()), 8)
		b.is.Equal(b.workers.worker("a").fence, uint64(3))
	})
}

// Guards against a leader that acts on a lease that has expired, as after a
// pause.
func TestNothingLeavesWithoutALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.log.mu.Lock()
		b.log.lease = -time.Millisecond
		b.log.mu.Unlock()
		go b.term().call(context.Background(), &cell.Call{
			Verb: cell.Submit, Host: "h", Path: "/q/one", Key: "k", Job: &job.Job{Steps: []job.Step{tasks(1)}},
		})
		time.Sleep(2 * time.Second)
		b.is.Equal(len(b.workers.started()), 0)
	})
}

// Guards against a leader that avoids all workers after a pause, because it saw
// no progress of their runs meanwhile (scenario trouble-1 of rmpc-thies).
func TestPausedLeaderSuspectsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(time.Minute)
		long := tasks(2)
		long.Estimate = b.workers.runTime // a wrong estimate would itself make the worker look slow
		b.submit("one", long)
		time.Sleep(time.Second)
		b.log.mu.Lock()
		b.log.lease = -time.Millisecond
		b.log.mu.Unlock()
		time.Sleep(6 * time.Second)
		current := b.term()
		current.mu.Lock()
		avoided := current.workers["a"].avoidedUntil
		current.mu.Unlock()
		b.is.True(avoided.IsZero())
	})
}

// Guards against a step that avoids a worker for good after one failed run
// there. It may be the only worker that can run the step (rule LOST).
func TestAvoidedOnlyForAWhile(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	s := &stepState{avoidUntil: map[string]time.Time{"a": at.Add(stepAvoidTime)}}
	is.True(s.avoidedWorkers(at)["a"])
	is.Equal(len(s.avoidedWorkers(at.Add(stepAvoidTime+time.Millisecond))), 0)
}

// Guards against a lease that is extended while the worker does not answer, so
// that its tasks could never start elsewhere, and against a computed expiry that
// is too early for a slow clock.
func TestLeaseStandsStillWithoutAnswers(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	w := newWorker(job.Worker{}, at)
	w.updateClock(time.UnixMilli(10_000), at)
	end := w.extendLease(at, 5*time.Second)
	is.Equal(end, time.UnixMilli(15_000))
	w.missed = 1
	is.Equal(w.extendLease(at.Add(3*time.Second), 5*time.Second), end)
	is.True(w.leaseExpiry().After(at.Add(5100 * time.Millisecond)))
	is.True(w.leaseExpiry().Before(at.Add(5400 * time.Millisecond)))
}

// Guards against a leader that commits a call, loses its lease before it answers
// and then says that it does not lead, which callers take for a call that was not
// carried out.
func TestLeaseOverBeforeTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		methods := handlers{}
		b.leader.Register(methods)
		go func() {
			time.Sleep(2 * time.Millisecond) // while the round is synced
			b.log.mu.Lock()
			defer b.log.mu.Unlock()
			b.log.lease = -time.Millisecond
		}()
		c := cell.Call{Verb: cell.Submit, Host: "h", Path: "/q/one", Key: "k", Job: &job.Job{Steps: []job.Step{tasks(1)}}}
		_, err := methods[cell.MethodCall](context.Background(), "entry", func(v any) error { *v.(*cell.Call) = c; return nil })
		var r *peer.RemoteError
		b.is.True(errors.As(err, &r))
		b.is.Equal(r.Code, cell.CodeUnsettled)
		b.is.Equal(b.status("one"), job.Queued)
		who, err := methods[cell.MethodWho](context.Background(), "entry", nil)
		b.is.NoErr(err)
		b.is.Equal(who.(cell.Leader).Name, "") // it cannot answer
	})
}

// Guards against preempting long-running tasks (rule AVAIL): their users would
// miss them, whatever else waits. Tasks that save checkpoints are preempted.
func TestLastingTasksAreNotStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(2 * time.Minute)
		lasting := tasks(2)
		lasting.Lasting, lasting.Checkpoints, lasting.Allowance = true, true, 1
		b.submit("lasting", lasting)
		saving := tasks(2)
		saving.Checkpoints, saving.Estimate = true, b.workers.runTime
		b.submit("saving", saving)
		time.Sleep(time.Second)
		b.is.Equal(len(b.workers.worker("a").running), 4) // as many as there are processors
		urgent := tasks(4)
		urgent.Estimate = b.workers.runTime
		b.submitTo("/u/", "urgent", urgent)
		time.Sleep(5 * time.Second)
		running := map[job.ID]int{}
		for id := range b.workers.worker("a").running {
			running[id.Job]++
		}
		b.is.Equal(running, map[job.ID]int{"lasting": 2, "urgent": 2})
	})
}

// Guards against a new leader that fills a worker before it knows what runs there:
// the worker had reported itself, but not yet listed a run that the former leader
// had given up (rule LIMIT).
func TestNewLeaderLooksBeforeItStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.changeWorker("a", func(w *fakeWorker) {
			w.running[job.TaskID{Job: "forgotten"}] = &fakeRun{run: 1, began: time.Now(), ends: time.Now().Add(time.Minute)}
			w.lease, w.hidesRuns = b.workers.clock(w).Add(time.Minute), true
		})
		b.log.set(false, 2)
		time.Sleep(100 * time.Millisecond)
		b.log.set(true, 3)
		time.Sleep(2 * time.Second) // the worker reports itself meanwhile
		b.submit("one", tasks(4))
		time.Sleep(2 * time.Second)
		b.is.Equal(len(b.workers.started()), 0)
		b.changeWorker("a", func(w *fakeWorker) { w.hidesRuns = false })
		time.Sleep(6 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
		b.is.True(b.workers.worker("a").peakRuns <= 4)
	})
}

// Guards against a worker that is filled while it may still carry out starts that
// were given up (rule LIMIT).
func TestGivenUpStartsTakeNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(5 * time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.delaysStarts = true })
		s := tasks(4)
		s.Copies = true
		b.submit("one", s)
		time.Sleep(450 * time.Millisecond) // given up, but not answered
		_, ok := b.term().call(context.Background(), &cell.Call{Verb: cell.Cancel, Host: "h", Path: "/q/one", Key: "k"})
		b.is.True(ok)
		b.submit("two", tasks(4))
		b.changeWorker("a", func(w *fakeWorker) { w.delaysStarts = false })
		time.Sleep(3 * time.Second)
		b.is.Equal(len(b.workers.worker("a").running), 4)
		b.workers.carryOutLate("a")
		b.is.Equal(b.workers.worker("a").peakRuns, 4)
	})
}

// Guards against starts that are decided under limits which the same round replaces
// (rule QUOTA).
func TestNoStartsUnderReplacedLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.changeWorker("a", func(w *fakeWorker) { w.hidesRuns = true })
		b.add("b", 1)
		current := b.term()
		var lower job.Catalogue
		b.state.View(func(v *job.View) { lower = *v.Catalogue })
		lower.Version = 2
		lower.Workspaces = []job.Workspace{{Name: "depot", Keys: []string{"k"}, Limit: work.Resources{Processors: 1000}}}
		current.mu.Lock()
		j := job.Job{ID: "one", Host: "h", Prefix: "/q/", Workspace: "depot", Steps: []job.Step{tasks(3)}}
		current.workers["a"].listed, current.workers["b"].listed = false, false
		submitted := current.enqueue(func(n *inbox) { n.submits = append(n.submits, j) })
		current.mu.Unlock()
		b.is.True(<-submitted)
		current.mu.Lock()
		current.workers["b"].listed = true // the task could start with the next round
		applied := current.enqueue(func(n *inbox) { n.catalogue = &lower })
		current.mu.Unlock()
		b.is.True(<-applied)
		time.Sleep(500 * time.Millisecond)
		b.is.Equal(b.workers.worker("a").peakRuns+b.workers.worker("b").peakRuns, 1)
	})
}

// Guards against an answer of the advice service about a job that is over: it once
// ended the leader's process, since an end that came late had made the record of the
// step anew (scenario freeze-in-late of nwp-coop-grown). The record must not stay.
func TestAdviceAboutAJobThatIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.submit("one", tasks(1))
		current := b.term()
		d := &fit.Demand{Step: job.StepID{Job: "one"}}
		q := &job.Advised{Expiry: time.Second}
		current.mu.Lock()
		s := current.step(d.Step)
		s.advice.Queries++
		current.mu.Unlock()
		time.Sleep(2 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
		current.mu.Lock()
		made := current.step(d.Step)
		current.recordAdvice(made, fit.Query{Demand: d, Workers: []string{"a"}}, q, cell.Advice{}, current.now())
		current.mu.Unlock()
		current.sendQuery(s, fit.Query{Demand: d, Workers: []string{"a"}}, &adviceClient{name: "entry"}, q, current.now())
		b.is.Equal(made.advice.Queries, 0) // the query belonged to the former record
		time.Sleep(2 * stepCheckInterval)
		current.mu.Lock()
		defer current.mu.Unlock()
		b.is.Equal(len(current.steps), 0)
	})
}

// handlers is a peer.Mux whose handlers are called directly.
type handlers map[string]peer.Handler

func (h handlers) Handle(method string, f peer.Handler) { h[method] = f }
