package dispatch

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
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
	// commitRetryDelay is the delay after a commit that failed.
	commitRetryDelay = 20 * time.Millisecond
	// checkInterval is the interval at which leases, silent workers and due
	// times are checked.
	checkInterval = 50 * time.Millisecond
	// minClockRate is the slowest rate of a worker's clock. The platform allows
	// a deviation of 2%.
	minClockRate = 0.98
	// leaseExpiryMargin is added to the computed expiry of a lease, so that the
	// lease has certainly expired by then.
	leaseExpiryMargin = 100 * time.Millisecond
	// maxLinked bounds the number of processes named in the answer to a ping.
	// The answer goes to every process several times a second.
	maxLinked = 8
)

// term is what the leader keeps in memory for one term.
type term struct {
	dispatcher *Dispatcher
	number     uint64
	began      time.Time
	clockBegan time.Time // began, on Options.Clock
	ctx        context.Context
	orders     sync.WaitGroup
	wake       chan struct{}
	nextRound  time.Time                                 // no round is decided before this; used by runRounds only
	idle       atomic.Pointer[map[string]work.Resources] // see Dispatcher.Idle
	lapsedAt   time.Time                                 // when the lease was found lapsed; zero while it is held; used by runChecks only

	mu             sync.Mutex // guards the rest; taken before the state's lock
	over           bool
	workers        map[string]*worker
	sorted         []*worker // by ID; nil after a change of workers
	runs           map[job.TaskID]*run
	steps          map[job.StepID]*stepState
	adviceClients  map[string]*adviceClient
	timeToDeadline map[job.ID]time.Duration  // from the due time to the deadline of the job
	urgentPeaks    map[string]*fit.Peak      // by pool
	urgentUse      map[string]work.Resources // by pool; reserved by urgent runs
	baselines      map[string]*fit.Baseline  // by queue
	coldness       map[string]*fit.Pace      // by pool; of cold workers, relative to their normal speed
	nextSpeeds     time.Time                 // learned speeds are not written before this
	allowedShares  map[string]float64        // by queue; of the workers that were asked about
	claims         map[string]cell.Report    // by worker: a report of a later incarnation that is being checked
	inbox          inbox
	limits         roundLimits
	admitted       map[string]int                 // by callKey: copies of submissions that wait for the commit of a round
	unsettled      []string                       // keys of copies whose round failed and may be committed all the same
	crashedUntil   map[netip.AddrPort]time.Time   // addresses of workers that crashed lately
	refusals       refusals[string, cell.Verdict] // by refusalKey
	loads          map[string]*fit.Load           // by pool
	returns        map[string]*fit.Returns        // by pool
	views          map[loadKey]*loadView          // what operators are shown of the load
	viewedAt       time.Time                      // when what waits was last counted for them
	refusing       map[string]*refusing           // by pool that refuses jobs
	idlePools      map[string]map[string]int64    // by pool and cause: processors that are idle while tasks wait
	shares         map[string]*fit.Share          // by workspace
	past           pastUse
	held           heldShares
	excess         map[string]bool          // keys of admitted whose job is beyond the weight of its workspace
	stepsChecked   time.Time                // when dropSteps was last called
	loadsAt        time.Time                // when loads were computed
	doubts         map[string]*doubts       // by worker
	unclear        map[job.TaskID][]*doubts // those about starts of a task, each as often as starts
	copyWaits      map[job.TaskID]time.Time // since when tasks wait for copies of their earlier starts
	generations    map[string]generation    // by worker
	noted          noted                    // starts that the replicated state has as unclear
	heldUntil      map[string]time.Time     // by worker: no end is acknowledged before, since an earlier leader sent starts that have no answer
	missing        map[string]time.Time     // by VM: since when the platform does not list it; used by runWaves only
	begunAt        map[string]time.Time     // by VM: when its maintenance was accepted in this term; used by runWaves only
	nextWaveLog    time.Time                // what holds the waves up is not logged before this; used by runWaves only
	lastPoolLog    time.Time                // when the usage of the pools was last logged
	floor          bool                     // work that is not in time waits for tickets beside free capacity, as of the latest plan
	orderUse       orderUse
	lossShare      lossShare
	unanswered     map[string]time.Time     // by worker; when an order last got no answer
	losses         []*loss                  // recent crashes of workers
	crashes        []pastCrash              // those of the last crash.RateTime
	recheck        map[string]bool          // by pool: whether a worker crashed since its losses were compared
	nextRecheck    time.Time                // losses are not compared again before this
	commonUntil    map[string]time.Time     // by pool: until when crashes of many workers at one time are in common
	clearedRuns    map[job.TaskID][]int     // runs whose crashes this leader has taken back, committed or not
	verdicts       map[job.TaskID]time.Time // when tasks that look faulty are given up
	retried        map[job.TaskID]bool      // tasks that have started again although copies of an earlier start may be carried out
	leased         map[string]bool          // workers to which the former leader may have sent leases until the term began; used by adopt only
	waits          waits                    // of tasks that are due
	evacuated      map[string]time.Time     // by availability zone: as in the state, as of the latest round
	zoneOrders     map[string]zoneOrder     // by availability zone
	risky          map[string]time.Time     // by queue: until when its work is kept apart, because its tasks crash their workers
}

// stepState is the leader's in-memory record of a step.
type stepState struct {
	advice        fit.Advice
	avoidUntil    map[string]time.Time // workers that it avoids because a run failed or was slow there
	waitingSince  time.Time            // when its tasks became ready
	adviceRetryAt time.Time            // no query before this
	nextWaitLog   time.Time            // its wait is not logged before this
	lags          map[string]float64   // of its runs, by worker; see fit.Motion
	learned       bool                 // a run of it is counted in the baseline of its queue
	stalls        stalls
}

// adviceClient is a process that queries the advice service for the leader.
type adviceClient struct {
	name     string
	lastPing time.Time
	idleAt   time.Time // when its queries so far are expected to be answered
	failures int       // consecutive queries that failed
}

func newTerm(d *Dispatcher, number uint64) *term {
	return &term{
		dispatcher: d, number: number, limits: fullRound, began: d.options.Now(), clockBegan: d.options.Clock(), wake: make(chan struct{}, 1),
		workers: map[string]*worker{}, runs: map[job.TaskID]*run{}, steps: map[job.StepID]*stepState{},
		adviceClients: map[string]*adviceClient{}, timeToDeadline: map[job.ID]time.Duration{}, urgentPeaks: map[string]*fit.Peak{},
		urgentUse: map[string]work.Resources{}, returns: map[string]*fit.Returns{}, views: map[loadKey]*loadView{}, refusing: map[string]*refusing{},
		shares: map[string]*fit.Share{}, excess: map[string]bool{},
		baselines: map[string]*fit.Baseline{}, coldness: map[string]*fit.Pace{}, allowedShares: map[string]float64{},
		doubts: map[string]*doubts{}, unclear: map[job.TaskID][]*doubts{}, copyWaits: map[job.TaskID]time.Time{}, generations: map[string]generation{}, noted: noted{}, heldUntil: map[string]time.Time{}, missing: map[string]time.Time{}, begunAt: map[string]time.Time{}, unanswered: map[string]time.Time{},
		risky: map[string]time.Time{}, crashedUntil: map[netip.AddrPort]time.Time{}, retried: map[job.TaskID]bool{}, admitted: map[string]int{}, claims: map[string]cell.Report{},
		clearedRuns: map[job.TaskID][]int{}, verdicts: map[job.TaskID]time.Time{}, commonUntil: map[string]time.Time{}, recheck: map[string]bool{}, zoneOrders: map[string]zoneOrder{},
	}
}

func (t *term) now() time.Time { return t.dispatcher.options.Now() }

func (t *term) state() *job.State { return t.dispatcher.options.State }

func (t *term) timing() *Timing { return &t.dispatcher.options.Timing }

func (t *term) emit(id event.ID, fields ...zap.Field) {
	t.dispatcher.options.Events.Emit(id, fields...)
}

// isLeading reports whether this is still the current term and no other replica
// can lead yet.
func (t *term) isLeading() bool { return t.dispatcher.options.Log.Leads(t.number) }

// awaitLease waits until this process may send orders. It reports whether the term
// continues. The lease may lapse for a moment within a term, such as after a pause.
func (t *term) awaitLease() bool {
	for !t.isLeading() {
		sleep(t.ctx, orderRetryDelay)
		if t.ctx.Err() != nil {
			return false
		}
	}
	return true
}

// signal wakes the loop that builds rounds.
func (t *term) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// begin commits the start of the term, so that rounds of earlier terms are
// refused.
func (t *term) begin(ctx context.Context) bool {
	_, outcome := t.commit(ctx, job.Round{Lead: true})
	return outcome == roundCommitted
}

// commit proposes a round and returns what became of it.
func (t *term) commit(ctx context.Context, r job.Round) (job.Result, commitOutcome) {
	r.Term, r.Now = t.number, t.now()
	r.Forget = r.Now.Add(-t.timing().JobRetention)
	b, err := job.Encode(r)
	if err != nil {
		t.emit(event.RoundDropped, event.Cause(err))
		return job.Result{}, roundFailed
	}
	if len(b) > raft.MaxCommand {
		t.emit(event.RoundSplit, zap.Int("bytes", len(b)), zap.Int("most", raft.MaxCommand), zap.Int("starts", len(r.Starts)), zap.Int("ends", len(r.Ends)),
			zap.Int("workers", len(r.Workers)), zap.Int("submissions", len(r.Submits)), zap.Int("cancellations", len(r.Cancels)+len(r.Withdrawn)))
		return job.Result{}, roundTooLarge
	}
	proposed := t.now()
	v, err := t.dispatcher.options.Log.Propose(ctx, b)
	t.emit(event.RoundCommitted, zap.Duration("took", t.now().Sub(proposed)))
	if err != nil {
		if ctx.Err() == nil {
			t.emit(event.RoundDropped, event.Cause(err))
		}
		return job.Result{}, roundFailed
	}
	if result, ok := v.(job.Result); ok && !result.Superseded {
		return result, roundCommitted
	}
	return job.Result{}, roundFailed
}

// adopt loads the workers and runs from the replicated state.
func (t *term) adopt() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.state().View(func(v *job.View) {
		for _, w := range v.Workers {
			m := newWorker(w, now)
			m.adoptSpeed(v)
			if err := m.Check(); err != nil {
				// Stored by an earlier build, which did not check reports.
				t.emit(event.WorkerReport, event.Cause(err))
				m.Capacity = work.Resources{}
			}
			m.inheritedLeaseEnd = now.Add(time.Duration(float64(t.timing().MaxLease)/minClockRate) + leaseExpiryMargin)
			t.setGeneration(m)
			if ago, unclear := v.Doubtful(w.ID); unclear {
				t.heldUntil[w.ID] = now.Add(lateOrderTime - ago)
			}
			t.workers[w.ID], t.sorted = m, nil
		}
		t.noteEvacuations(v)
		t.adoptLeases(v)
		for name, reservations := range v.Reservations {
			t.adoptRuns(v, name, reservations, now)
		}
		for name, orphans := range v.Orphans {
			t.adoptOrphans(name, orphans, 0)
		}
		t.adoptWaits(v)
		t.adoptPast(v)
		t.adoptShares(v, now)
		t.emit(event.TermBegun, zap.Uint64("term", t.number), zap.Int("workers", len(v.Workers)),
			zap.Int("runs", len(t.runs)), zap.Int("jobs", len(v.Active)))
	})
	// Workers without runs are polled too, but last: a start order needs a reading
	// of their clock.
	for _, idle := range []bool{false, true} {
		for _, w := range t.workers {
			if idle == (len(w.runs) == 0) {
				t.requestListing(w)
			}
		}
	}
	t.signal()
}

// adoptRuns loads the runs on one worker. It is unknown whether their start
// orders were ever sent. The first listing with the new fencing token tells,
// because the worker refuses earlier orders from then on.
func (t *term) adoptRuns(v *job.View, name string, reservations map[job.TaskID]job.Reservation, now time.Time) {
	w := t.workers[name]
	for id, o := range reservations {
		record, _, task := v.Find(id)
		life := task.Life
		ago, unclear := v.Unclear(task)
		r := &run{id: id, number: o.Run, worker: w, spec: &record.Job.Steps[id.Step], committedAt: now, startedAt: earlier(task.Started(), now), startResolvedAt: now, lastProgress: now,
			urgent: record.Queue.Priority == 0, queue: queueKey(&record.Queue), resumed: true, inherited: true, sent: true}
		r.inheritedTime = now.Sub(r.startedAt)
		if w == nil {
			if unclear && t.adoptHeld(r, name, task, ago) {
				t.addRun(r)
			} else {
				t.inbox.ends = append(t.inbox.ends, job.End{Task: id, Run: o.Run, Worker: name, Life: life, Outcome: job.Lost})
			}
			continue
		}
		if w.Life != life {
			// The next incarnation may execute it. The former one is only known by name.
			r.worker = newWorker(w.Worker, now)
			r.worker.Life = life
		}
		if unclear {
			t.adoptRunDoubt(w, r, task, ago)
		}
		if w.Life != life {
			t.addRun(r)
			t.stopFormer(w, r)
			continue
		}
		t.addRun(r)
		t.noteTrial(v, r)
		if record.Status.Final() || task.Done {
			t.stop(r)
		}
	}
}

// abandon tells everybody who waits for a round that the term is over.
func (t *term) abandon() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.over = true
	for _, c := range t.inbox.waiters {
		c <- false
	}
	t.inbox = inbox{}
}

// awaitCommit waits until a round was committed or failed, or until ctx ends. It
// reports whether the round was committed.
func (t *term) awaitCommit(ctx context.Context, c <-chan bool) bool {
	select {
	case ok := <-c:
		return ok
	case <-ctx.Done():
		return false
	}
}

// ping records that a process can query the advice service.
func (t *term) ping(name string) cell.Leader {
	t.mu.Lock()
	defer t.mu.Unlock()
	client := t.adviceClients[name]
	if client == nil {
		client = &adviceClient{name: name}
		t.adviceClients[name] = client
	}
	client.lastPing = t.now()
	return cell.Leader{Name: t.dispatcher.options.Name, Members: t.dispatcher.options.Members(), Linked: t.recentClients(), Mark: t.mark()}
}

var _ raft.StateMachine = (*job.State)(nil)

// recentClients returns some of the processes that pinged this leader recently.
func (t *term) recentClients() []string {
	now := t.now()
	var names []string
	for n, client := range t.adviceClients {
		if now.Sub(client.lastPing) <= adviceClientTimeout && len(names) < maxLinked {
			names = append(names, n)
		}
	}
	return names
}
