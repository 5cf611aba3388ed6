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
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/version/raft"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// soleLog commits at once on one replica that leads until it is told otherwise.
type soleLog struct {
	mu      sync.Mutex
	machine raft.Machine
	index   uint64
	term    uint64
	leads   bool
	lease   time.Duration
	changed chan struct{}
}

func (l *soleLog) Propose(_ context.Context, command []byte) (any, error) {
	time.Sleep(4 * time.Millisecond) // a sync
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leads {
		return nil, raft.ErrNotLeader
	}
	l.index++
	return l.machine.Apply(l.index, command), nil
}

func (l *soleLog) Leader() (string, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leads {
		return "", l.term
	}
	return "me", l.term
}

func (l *soleLog) Lease() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leads {
		return time.Time{}
	}
	return time.Now().Add(l.lease)
}

func (l *soleLog) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *soleLog) set(leads bool, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leads, l.term = leads, term
	close(l.changed)
	l.changed = make(chan struct{})
}

// host is a stand-in for a worker.
type host struct {
	life    job.Life
	since   time.Time
	running map[job.TaskID]*held
	ended   []EndRow
	number  int64
	stops   map[job.TaskID]int // highest run that was stopped or ended
	lease   time.Time          // on its clock
	fence   uint64
	silent  bool // answers nothing
	late    bool // carries starts out but does not answer them
	refuses bool // nothing listens
	factor  int  // by which tasks that start take longer; zero means one
	looks   int
	peak    int
}

type held struct {
	run   int
	began time.Time
	ends  time.Time
	stop  time.Time
}

func (h *held) percent() int {
	return int(100 * time.Since(h.began) / h.ends.Sub(h.began))
}

// hosts is an Upstream of stand-ins. A task runs for a second, a stop takes 0.9 s.
type hosts struct {
	mu     sync.Mutex
	all    map[string]*host
	starts []string // task, run and worker of each start that was carried out
	twice  string   // a task that ran in two places at once
	length time.Duration
}

func (h *hosts) clock(w *host) time.Time { return time.UnixMilli(1000).Add(time.Since(w.since)) }

// settle ends what is due on a host.
func (h *hosts) settle(w *host) {
	now := time.Now()
	for id, r := range w.running {
		switch {
		case !r.stop.IsZero() && !now.Before(r.stop):
			h.end(w, id, r, job.Stopped)
		case h.clock(w).After(w.lease):
			h.end(w, id, r, job.Lapsed)
		case !now.Before(r.ends):
			h.end(w, id, r, job.Done)
		}
	}
}

func (h *hosts) end(w *host, id job.TaskID, r *held, o job.Outcome) {
	w.number++
	w.ended = append(w.ended, EndRow{Number: w.number, Task: id, Run: r.run, Outcome: o})
	w.stops[id] = max(w.stops[id], r.run)
	delete(w.running, id)
}

// reach returns the host that answers at a worker's address, and how it does not.
func (h *hosts) reach(id string) (*host, Answer, bool) {
	w := h.all[id]
	switch {
	case w == nil || w.refuses:
		return nil, Answer{Result: NotSent}, false
	case w.silent:
		return nil, Answer{Result: Unclear}, false
	}
	h.settle(w)
	return w, Answer{Result: Accepted, Clock: h.clock(w), Life: w.life}, true
}

func (h *hosts) Start(_ time.Time, target *job.Worker, o StartOrder) Answer {
	time.Sleep(2 * time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	w, a, ok := h.reach(target.ID)
	if !ok {
		return a
	}
	refuse := func(r Reason) Answer { a.Result, a.Reason = Refused, r; return a }
	switch {
	case o.Fence < w.fence:
		return refuse(ReasonFence)
	case o.Run <= w.stops[o.Task]:
		return refuse(ReasonOld)
	case !o.Lease.After(h.clock(w)):
		return refuse(ReasonLate)
	}
	w.fence = max(w.fence, o.Fence)
	if o.Lease.After(w.lease) {
		w.lease = o.Lease
	}
	if w.running[o.Task] == nil {
		for id, other := range h.all {
			h.settle(other)
			if other.running[o.Task] != nil {
				h.twice = fmt.Sprintf("%s on %s and %s", o.Task, id, target.ID)
			}
		}
		w.running[o.Task] = &held{run: o.Run, began: time.Now(), ends: time.Now().Add(h.length * time.Duration(max(1, w.factor)))}
		w.peak = max(w.peak, len(w.running))
		h.starts = append(h.starts, fmt.Sprintf("%s run %d on %s", o.Task, o.Run, target.ID))
	}
	if w.late {
		return Answer{Result: Unclear}
	}
	return a
}

func (h *hosts) Stop(_ time.Time, target *job.Worker, o StopOrder) Answer {
	time.Sleep(2 * time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	w, a, ok := h.reach(target.ID)
	if !ok {
		return a
	}
	w.fence = max(w.fence, o.Fence)
	if r := w.running[o.Task]; r != nil && r.run == o.Run && r.stop.IsZero() {
		r.stop = time.Now().Add(900 * time.Millisecond)
	} else {
		w.stops[o.Task] = max(w.stops[o.Task], o.Run)
	}
	return a
}

func (h *hosts) List(_ time.Time, target *job.Worker, o ListOrder) (Listing, Answer) {
	deadline := time.Now().Add(o.Wait)
	for {
		time.Sleep(2 * time.Millisecond)
		if l, a, over := h.look(target.ID, o, !time.Now().Before(deadline)); over {
			return l, a
		}
	}
}

func (h *hosts) look(id string, o ListOrder, over bool) (Listing, Answer, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w, a, ok := h.reach(id)
	if !ok {
		return Listing{}, a, true
	}
	w.fence = max(w.fence, o.Fence)
	if o.Lease.After(w.lease) {
		w.lease = o.Lease
	}
	w.ended = slices.DeleteFunc(w.ended, func(e EndRow) bool { return e.Number <= o.Cursor })
	if len(w.ended) == 0 && !over {
		return Listing{}, a, false
	}
	w.looks++
	l := Listing{Whole: true, Ended: slices.Clone(w.ended)}
	for id, r := range w.running {
		l.Running = append(l.Running, Row{Task: id, Run: r.run, Percent: r.percent()})
	}
	return l, a, true
}

func (h *hosts) Pace(time.Time, *job.Worker, PaceOrder) Answer { return Answer{Result: Accepted} }

func (h *hosts) Forget(*job.Worker) {}

// bench is a leader with stand-ins for workers, in virtual time.
type bench struct {
	is     *is.I
	log    *soleLog
	state  *job.State
	hosts  *hosts
	leader *Dispatcher
	stop   context.CancelFunc
	done   chan struct{}
	beat   int64
}

func newBench(t *testing.T, workers ...string) *bench {
	b := &bench{
		is: is.New(t), state: job.New(), hosts: &hosts{all: map[string]*host{}, length: time.Second}, done: make(chan struct{}),
	}
	b.log = &soleLog{machine: b.state, term: 1, leads: true, lease: time.Second, changed: make(chan struct{})}
	var err error
	b.leader, err = New(Options{
		Name: "me", State: b.state, Log: b.log, Upstream: b.hosts, Peer: nobody{}, Members: func() []string { return []string{"me"} },
		Timing: Timing{
			LongestLease: 6 * time.Second, StopTime: 900 * time.Millisecond, GangTime: 3 * time.Second,
			ReportEvery: 1500 * time.Millisecond, Keep: time.Minute, LongestPoll: 2 * time.Second,
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
	go b.beats(ctx)
	time.Sleep(50 * time.Millisecond)
	return b
}

// nobody is a peer.Caller without peers.
type nobody struct{}

func (nobody) Call(context.Context, string, string, any, any) error { return context.DeadlineExceeded }

func (b *bench) close() {
	b.stop()
	<-b.done
}

func (b *bench) term() *term { return b.leader.current.Load() }

func (b *bench) apply() {
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

// add starts a life of a host and reports it.
func (b *bench) add(id string, life job.Life) {
	b.hosts.mu.Lock()
	b.hosts.all[id] = &host{life: life, since: time.Now(), running: map[job.TaskID]*held{}, stops: map[job.TaskID]int{}}
	b.hosts.mu.Unlock()
	b.report(id, false)
}

func (b *bench) report(id string, draining bool) {
	b.hosts.mu.Lock()
	w := b.hosts.all[id]
	b.beat++
	r := cell.Report{Sequence: b.beat, Clock: b.hosts.clock(w), Remaining: 2000, Worker: job.Worker{
		ID: id, Pool: "p", Life: w.life, Draining: draining,
		Capacity: work.Resources{Processors: 4000, Memory: 16 << 30},
	}}
	b.hosts.mu.Unlock()
	if t := b.term(); t != nil {
		t.report(context.Background(), &r)
	}
}

// beats reports all hosts that answer, as they do themselves.
func (b *bench) beats(ctx context.Context) {
	draining := map[string]bool{}
	for ctx.Err() == nil {
		pause(ctx, 1500*time.Millisecond)
		b.hosts.mu.Lock()
		var ids []string
		for id, w := range b.hosts.all {
			if !w.silent && !w.refuses {
				ids = append(ids, id)
			}
		}
		b.hosts.mu.Unlock()
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

func (b *bench) submit(id string, s job.Step) {
	b.is.Helper()
	b.submitTo("/q/", id, s)
}

// submitTo submits to a queue; that of /u/ is urgent.
func (b *bench) submitTo(prefix, id string, s job.Step) {
	b.is.Helper()
	v, ok := b.term().call(context.Background(), &cell.Call{
		Verb: cell.Submit, Host: "h", Path: prefix + id, Key: "k", Job: &job.Job{Steps: []job.Step{s}},
	})
	b.is.True(ok)
	b.is.Equal(v.Code, cell.OK)
}

func (b *bench) status(id string) job.Status {
	var s job.Status
	b.state.View(func(v *job.View) {
		if r := v.Jobs[job.ID(id)]; r != nil {
			s = r.Status
		}
	})
	return s
}

func (b *bench) with(id string, change func(w *host)) {
	b.hosts.mu.Lock()
	defer b.hosts.mu.Unlock()
	change(b.hosts.all[id])
}

// busy returns one of the two hosts that runs something.
func (b *bench) busy() string {
	if len(b.hosts.all["b"].running) > 0 {
		return "b"
	}
	return "a"
}

// interrupt starts four tasks of 20 s, which fill one host, and changes that host
// a second later.
func (b *bench) interrupt(change func(w *host)) {
	b.is.Helper()
	b.hosts.length = 20 * time.Second
	b.submit("one", tasks(4))
	time.Sleep(time.Second)
	b.with(b.busy(), change)
}

func tasks(n int) job.Step {
	return job.Step{Count: n, Size: work.Resources{Processors: 1000, Memory: 1 << 30}, Estimate: time.Second}
}

// Guards against a whole path that does not work without a platform: jobs are
// taken, placed within the room, and shown as completed.
func TestJobsAreDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a", "b")
		defer b.close()
		b.submit("one", tasks(3))
		b.submit("two", tasks(12))
		time.Sleep(4 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
		b.is.Equal(b.status("two"), job.Completed)
		b.is.Equal(len(b.hosts.starts), 15)
		for _, w := range b.hosts.all {
			b.is.True(w.peak <= 4) // four processors
		}
		b.is.Equal(b.hosts.twice, "")
	})
}

// Guards against a task that starts again before the lease of a worker that is
// cut off has ended there.
func TestCutWorkerKeepsItsTasksUntilTheLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a", "b")
		defer b.close()
		b.interrupt(func(w *host) { w.silent = true })
		time.Sleep(3 * time.Second)
		b.is.Equal(len(b.hosts.starts), 4) // nothing starts elsewhere yet
		time.Sleep(5 * time.Second)
		b.is.Equal(len(b.hosts.starts), 8)
		b.is.Equal(b.hosts.twice, "")
	})
}

// Guards against tasks that wait for the lease of a silent worker although copies
// of them may run, and against a worker that is filled beyond its room by runs
// that were given up and went on.
func TestCopiesStartElsewhereAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a", "b")
		defer b.close()
		b.hosts.length = 8 * time.Second
		s := tasks(4)
		s.Copies = true
		b.submit("one", s)
		time.Sleep(time.Second)
		first := b.busy()
		b.with(first, func(w *host) { w.silent = true })
		time.Sleep(2600 * time.Millisecond)
		b.is.Equal(len(b.hosts.starts), 8) // before the lease has ended
		b.with(first, func(w *host) { w.silent = false })
		b.submit("two", tasks(8))
		time.Sleep(20 * time.Second)
		b.is.Equal(b.status("two"), job.Completed)
		b.is.True(b.hosts.all[first].peak <= 4)
	})
}

// Guards against urgent jobs that are late because the answer to one listing was
// lost: their ends were seen two seconds later (scale-2 of rmpc-thies).
func TestLostListingCostsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a")
		defer b.close()
		at := b.term()
		at.mu.Lock()
		defer at.mu.Unlock()
		w := at.workers["a"]
		w.runs[job.TaskID{Job: "j"}] = &run{worker: w, spec: &job.Step{}, clear: at.now(), urgent: true}
		b.is.Equal(at.listOrder(w).Wait, listWait)
		at.hear(w, Answer{Result: Unclear})
		at.hear(w, Answer{Result: Accepted})
		b.is.Equal(at.listOrder(w).Wait, lossyWait)
		delete(w.runs, job.TaskID{Job: "j"})
	})
}

// Guards against a worker that stays out of use after a cut in which it lost all
// its runs: nothing asked it again (LOST on the day servers-reset).
func TestWorkerIsUsedAgainAfterACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a")
		defer b.close()
		b.hosts.length = 20 * time.Second
		b.submit("one", tasks(2))
		time.Sleep(time.Second)
		b.with("a", func(w *host) { w.silent = true })
		time.Sleep(8 * time.Second)
		b.with("a", func(w *host) { w.silent = false })
		time.Sleep(3 * time.Second)
		b.is.Equal(len(b.hosts.starts), 4)
	})
}

// Guards against a refused connection that counts as the end of a worker: a cut
// may refuse connections while the worker runs on (TWICE on the day
// servers-reset of bellerive-crates).
func TestRefusedConnectionsProveNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a", "b")
		defer b.close()
		b.interrupt(func(w *host) { w.refuses = true })
		time.Sleep(7 * time.Second)
		b.is.Equal(len(b.hosts.starts), 8)
		b.is.Equal(b.hosts.twice, "")
	})
}

// Guards against a start that is carried out without an answer and starts again
// elsewhere while it runs.
func TestStartWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a", "b")
		defer b.close()
		b.with("a", func(w *host) { w.late = true })
		b.with("b", func(w *host) { w.late = true })
		b.submit("one", tasks(6))
		time.Sleep(8 * time.Second)
		b.is.Equal(b.hosts.twice, "")
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against tasks that wait for a lease although their worker's process is
// known to be gone, and against ends of the former life that count for the new.
func TestRebornWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a")
		defer b.close()
		b.hosts.length = 3 * time.Second
		b.submit("one", tasks(2))
		time.Sleep(time.Second)
		b.with("a", func(w *host) { w.refuses = true })
		time.Sleep(300 * time.Millisecond)
		b.add("a", 2)
		time.Sleep(500 * time.Millisecond)
		b.is.Equal(len(b.hosts.starts), 4) // both again, in the new life
		time.Sleep(4 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against work that goes to a worker that said that it leaves.
func TestDrainingWorkerGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a", "b")
		defer b.close()
		b.report("a", true)
		b.submit("one", tasks(6))
		time.Sleep(3 * time.Second)
		b.is.Equal(b.hosts.all["a"].peak, 0)
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against a cancelled job that runs on.
func TestCancelStopsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a")
		defer b.close()
		b.hosts.length = time.Minute
		b.submit("one", tasks(3))
		time.Sleep(time.Second)
		_, ok := b.term().call(context.Background(), &cell.Call{Verb: cell.Cancel, Host: "h", Path: "/q/one", Key: "k"})
		b.is.True(ok)
		time.Sleep(1200 * time.Millisecond)
		b.is.Equal(len(b.hosts.all["a"].running), 0)
		b.is.Equal(b.status("one"), job.Cancelled)
	})
}

// Guards against a listing that does not wait while a run is being stopped: the
// loop span and looked at workers 29,838 times on one day (scale-1, rmpc-thies).
func TestListingsWaitWhileRunsAreStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a")
		defer b.close()
		b.hosts.length = time.Minute
		b.submit("one", tasks(3))
		time.Sleep(time.Second)
		before := b.hosts.all["a"].looks
		_, ok := b.term().call(context.Background(), &cell.Call{Verb: cell.Cancel, Host: "h", Path: "/q/one", Key: "k"})
		b.is.True(ok)
		time.Sleep(2 * time.Second)
		b.is.True(b.hosts.all["a"].looks-before < 20)
	})
}

// Guards against a leader that goes on after its term, and against a new leader
// that starts tasks again which run under the former one.
func TestNextTermTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a", "b")
		defer b.close()
		b.hosts.length = 4 * time.Second
		b.submit("one", tasks(8))
		time.Sleep(time.Second)
		b.log.set(false, 2)
		time.Sleep(time.Second)
		b.is.True(b.term() == nil)
		b.log.set(true, 3)
		time.Sleep(6 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
		b.is.Equal(len(b.hosts.starts), 8)
		b.is.Equal(b.hosts.all["a"].fence, uint64(3))
	})
}

// Guards against a leader that acts on a lease that has ended, as after a pause.
func TestNothingLeavesWithoutALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a")
		defer b.close()
		b.log.mu.Lock()
		b.log.lease = -time.Millisecond
		b.log.mu.Unlock()
		go b.term().call(context.Background(), &cell.Call{
			Verb: cell.Submit, Host: "h", Path: "/q/one", Key: "k", Job: &job.Job{Steps: []job.Step{tasks(1)}},
		})
		time.Sleep(2 * time.Second)
		b.is.Equal(len(b.hosts.starts), 0)
	})
}

// Guards against a leader that suspects every worker because it was paused and
// saw no progress meanwhile (trouble-1 of rmpc-thies).
func TestPausedLeaderSuspectsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a")
		defer b.close()
		b.hosts.length = time.Minute
		long := tasks(2)
		long.Estimate = b.hosts.length // one that is wrong by as much would itself make the worker look slow
		b.submit("one", long)
		time.Sleep(time.Second)
		b.log.mu.Lock()
		b.log.lease = -time.Millisecond
		b.log.mu.Unlock()
		time.Sleep(6 * time.Second)
		m := b.term()
		m.mu.Lock()
		avoided := m.workers["a"].avoided
		m.mu.Unlock()
		b.is.True(avoided.IsZero())
	})
}

// Guards against a worker that a step leaves out for good after one failed run
// there: it may be the only one that may run the step (LOST, a day of score).
func TestAvoidedOnlyForAWhile(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	s := &step{avoid: map[string]time.Time{"a": at.Add(avoidTime)}}
	is.True(s.avoided(at)["a"])
	is.Equal(len(s.avoided(at.Add(avoidTime+time.Millisecond))), 0)
}

// Guards against a lease that is extended while the worker does not answer, so
// that its tasks could never start elsewhere, and against a lapse that is
// reckoned too early for a slow clock.
func TestLeaseStandsStillWithoutAnswers(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	w := newWorker(job.Worker{}, at)
	w.reading(time.UnixMilli(10_000), at)
	end := w.lease(at, 5*time.Second)
	is.Equal(end, time.UnixMilli(15_000))
	w.missed = 1
	is.Equal(w.lease(at.Add(3*time.Second), 5*time.Second), end)
	is.True(w.lapse().After(at.Add(5100 * time.Millisecond)))
	is.True(w.lapse().Before(at.Add(5400 * time.Millisecond)))
}

// Guards against a leader that commits a call, loses its lease before it answers,
// and says that it does not lead, which callers take for not carried out.
func TestLeaseOverBeforeTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a")
		defer b.close()
		m := handlers{}
		b.leader.Register(m)
		go func() {
			time.Sleep(2 * time.Millisecond) // while the round is synced
			b.log.mu.Lock()
			defer b.log.mu.Unlock()
			b.log.lease = -time.Millisecond
		}()
		c := cell.Call{Verb: cell.Submit, Host: "h", Path: "/q/one", Key: "k", Job: &job.Job{Steps: []job.Step{tasks(1)}}}
		_, err := m[cell.MethodCall](context.Background(), "entry", func(v any) error { *v.(*cell.Call) = c; return nil })
		var r *peer.Remote
		b.is.True(errors.As(err, &r))
		b.is.Equal(r.Code, cell.CodeUnsettled)
		b.is.Equal(b.status("one"), job.Queued)
		who, err := m[cell.MethodWho](context.Background(), "entry", nil)
		b.is.NoErr(err)
		b.is.Equal(who.(cell.Leader).Name, "") // it cannot answer
	})
}

// Guards against lasting tasks that are stopped to make room (AVAIL): their users
// would miss them, whatever else waits. Tasks that save their work make way.
func TestLastingTasksAreNotStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "a")
		defer b.close()
		b.hosts.length = 2 * time.Minute
		lasting := tasks(2)
		lasting.Lasting, lasting.Checkpoints, lasting.Allowance = true, true, 1
		b.submit("lasting", lasting)
		saving := tasks(2)
		saving.Checkpoints, saving.Estimate = true, b.hosts.length
		b.submit("saving", saving)
		time.Sleep(time.Second)
		b.is.Equal(len(b.hosts.all["a"].running), 4) // as many as there are processors
		urgent := tasks(4)
		urgent.Estimate = b.hosts.length
		b.submitTo("/u/", "urgent", urgent)
		time.Sleep(5 * time.Second)
		running := map[job.ID]int{}
		for id := range b.hosts.all["a"].running {
			running[id.Job]++
		}
		b.is.Equal(running, map[job.ID]int{"lasting": 2, "urgent": 2})
	})
}

// handlers is a peer.Mux that is called directly.
type handlers map[string]peer.Handler

func (h handlers) Handle(method string, f peer.Handler) { h[method] = f }
