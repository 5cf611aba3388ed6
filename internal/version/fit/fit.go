// Package fit decides which waiting tasks start on which workers, which queries
// to send to the advice service, which runs to preempt, which workers are slow, and
// which VMs of a wave begin their maintenance.
//
// # Usage
//
//	plan := fit.Decide(now, demands, fit.Cluster{Workers: workers, Limits: limits, Headroom: headroom})
//	for _, s := range plan.Starts { ... }  // commit, then send to the workers
//	for _, q := range plan.Queries { ... } // query the advice service
//	plan := fit.PlanMaintenance(now, &fit.Maintenance{Waves: waves, VMs: vms, Services: services})
//
// Decide uses no clock, does no I/O and keeps no state between calls. Equal
// arguments give equal plans. It updates the free amounts, counters and limits
// in its arguments to account for the decisions it makes.
//
// # Order
//
// Demands that can meet their deadline come first, then those of them that are
// beyond the weight of their workspace (of these, those of workspaces that hold less of the
// pool come first within a tier), then those past their deadline, then
// expired ones whose result nobody needs any more, then trials of tasks that probably
// crash their workers. Without this order, work that is already late would make
// everything behind it late too under overload, and one workspace could take the places
// of the others.
// Within a rank, urgent work and long-running tasks come first, then demands are
// ordered by deadline, with a head start for each higher priority and a bounded delay for
// past use of the workspace.
// A gang that does not fit reserves the workers where it would fit soonest, so
// that smaller work behind it cannot starve it. After a delay, it preempts runs
// of lower priority that have checkpoints, if it then fits as a whole.
//
// # Headroom
//
// Urgent work is short and has little slack, so it cannot wait for long tasks to
// end. Work of lower priority leaves Cluster.Headroom free in a pool; it is derived
// from the recent peak usage of urgent work (see Peak).
//
// # Patterns of load
//
// docs/policy.md names the pattern of load that each rule answers. The tests replay
// recorded loads under the rules as they are and with one rule changed back.
package fit

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// maxQueryWorkers limits the workers in one query to the advice service, which
	// takes longer for each. More are asked about by several queries at a time.
	maxQueryWorkers = 45
	// maxQueries limits the queries in flight for one step.
	maxQueries = 4
	// queryFactor is the number of tasks for which workers are queried per waiting
	// task. It leaves a margin because a third of the workers may be full by the time
	// of the answer.
	queryFactor = 1.5
)

// Worker is a worker that tasks can be placed on, with its current load.
type Worker struct {
	job.Worker
	Free        work.Resources
	Usable      bool           // accepts new tasks
	Evacuated   bool           // its availability zone is; it counts for no pool meanwhile
	WasSlow     bool           // was slow and has not shown normal speed since
	Speed       float64        // normal speed; 1 is the usual one of the pool, and 0 counts as 1
	Cold        time.Duration  // for which it is still slower than normally
	ColdSpeed   float64        // its speed meanwhile, as a fraction of the normal one; 0 if unknown
	Unanswering bool           // its latest order got no answer
	TargetTasks int            // running tasks with a response time target
	FillerTasks int            // running filler tasks
	Releasing   work.Resources // reserved by runs that are being stopped
	Tenants     int            // runs, with those that are being stopped
	Tried       int            // of these, runs that started as trials
	Risky       int            // of Tenants, runs of queues whose tasks crash their workers
	Trial       job.ID         // only trials of this job may start on it now; empty if there is none
	Crashed     bool           // a worker at its address crashed lately
	Settled     bool           // nothing has started on it for a while
	Runs        []Run          // preemptible runs, which can resume from a checkpoint

	reservedFor *Demand        // only this demand may use the free capacity now
	asked       bool           // reservedFor waits for the advice service's answer about the worker
	sought      work.Resources // free capacity for which demands planned before wait for tickets; see seek
	order       int            // position in the pool
	places      [indexes]place
}

// Run is a run that more urgent work may preempt.
type Run struct {
	Task              job.TaskID
	Priority          int
	EffectiveDeadline time.Time      // see the function EffectiveDeadline
	Size              work.Resources // reserved on the worker
	preempted         bool           // by the current plan
}

// Answer is the advice service's answer about a worker for a step.
type Answer struct {
	Allowed bool // the worker may run the step
	Ticket  string
	Expiry  time.Time // of Ticket
}

// Advice holds the answers received so far for an advised step.
type Advice struct {
	Answers map[string]Answer // by worker; missing if not answered yet
	Asked   map[string]bool   // workers in the queries that are in flight
	Queries int               // number of queries in flight
	Paused  bool              // no query may be sent now

	allowed []string // workers that are allowed, ordered by ID
	covered int      // number of Answers that allowed covers
}

// Record adds the answer about a worker.
func (a *Advice) Record(worker string, answer Answer) {
	if old, ok := a.Answers[worker]; ok && old.Allowed != answer.Allowed {
		a.covered = 0
	}
	a.Answers[worker] = answer
}

// allowedNames returns the workers that are allowed, ordered by ID. It is kept between
// rounds: a step may have hundreds of answers.
func (a *Advice) allowedNames() []string {
	if a.covered != len(a.Answers) {
		a.allowed, a.covered = a.allowed[:0], len(a.Answers)
		for id, answer := range a.Answers {
			if answer.Allowed {
				a.allowed = append(a.allowed, id)
			}
		}
		slices.Sort(a.allowed)
	}
	return a.allowed
}

// Demand is a step with waiting tasks.
type Demand struct {
	Step          job.StepID
	Spec          *job.Step
	Pool          string
	Queue         string // host and prefix of the queue
	Priority      int
	Deadline      time.Time     // deadline of the job or the occurrence
	Expiry        time.Time     // time from which the result is no longer needed
	CriticalPath  time.Duration // estimated critical path from this step on
	Sequence      uint64        // position of the job in order of acceptance
	Tasks         []int         // indices of the waiting tasks
	Workspace     string        // of the job; its limit applies
	Beyond        bool          // the job is beyond the weight of its workspace; see Share
	Delay         time.Duration // how far past use of the workspace puts the effective deadline back; see Part
	Held          int           // see HeldLevel; counts if Beyond
	Payload       string        // of the job
	Progress      *job.Progress
	Placed        map[string]int   // running tasks of the step by worker
	Avoid         map[string]bool  // workers where a run of the step recently failed
	Only          string           // only worker that may run the tasks; empty if any may
	Bound         map[string][]int // further tasks, which only the worker named may run; they have demands of their own
	Members       map[int]string   // of a gang: tasks that only the worker named may run
	Advised       bool             // only workers that the advice service allows may run the tasks
	MinAnswerTime time.Duration    // minimum response time of the advice service
	AllowedShare  float64          // fraction of the workers that the service is expected to allow
	Advice        *Advice
	Prefetch      bool             // not ready to start; may only query the advice service
	Risky         bool             // tasks of the queue crash their workers
	Trial         bool             // the tasks may have crashed their worker; see package crash
	Likely        bool             // they probably have
	Crashed       []netip.AddrPort // of workers that crashed under the tasks, in order; see mayShun
	Waited        time.Duration    // time since tasks of the step became ready

	rank        rank
	now         time.Time // of the plan
	fastest     float64   // largest speed of the pool's warm workers; 0 if there are none
	shunning    bool      // a trial waits for another worker than those that crashed under it
	prepared    bool
	gangRun     int // next run number of all members of a gang
	runNumbers  map[int]int
	checkpoints map[int]string
}

// Prepare copies what a start needs from Progress. It must be called while the
// state is locked, because Progress may change afterwards.
func (d *Demand) Prepare() {
	if d.prepared {
		return
	}
	d.prepared, d.runNumbers, d.checkpoints = true, map[int]int{}, map[int]string{}
	for _, i := range d.Tasks {
		k := &d.Progress.Tasks[i]
		d.runNumbers[i], d.checkpoints[i] = k.Run+1, k.Checkpoint
		d.gangRun = max(d.gangRun, k.Run+1)
	}
	if d.Spec.Gang {
		for _, i := range d.Tasks {
			d.runNumbers[i], d.checkpoints[i] = d.gangRun, d.Progress.Checkpoint
		}
	}
}

// RunNumber returns the run number of a task's next start. It is the same for
// all members of a gang.
func (d *Demand) RunNumber(index int) int { return d.runNumbers[index] }

// Checkpoint returns the checkpoint that a task resumes from, or "" if there is
// none.
func (d *Demand) Checkpoint(index int) string { return d.checkpoints[index] }

// Start is a decision to start a task.
type Start struct {
	Demand *Demand
	Index  int
	Worker *Worker
	Ticket string
}

// Query is a decision to query the advice service.
type Query struct {
	Demand  *Demand
	Workers []string
	Floor   bool // for work that is not in time; see PickClient
	Early   bool // no capacity is free yet, or the deadline is past; send only if an advice client is idle
}

// Block is the reason why tasks of a demand wait.
type Block struct {
	Demand *Demand
	Reason string

	started int // tasks that the same plan starts
}

// Left returns the indices of the tasks that the plan does not start.
func (b *Block) Left() []int { return b.Demand.Tasks[b.started:] }

// Reasons of a Block.
const (
	NoCapacity       = "no worker has room"
	AtLimit          = "the workspace is at its limit"
	NoAdvice         = "the advice service has not answered"
	NoneAllowed      = "the advice service allows no worker with room"
	UrgentHeadroom   = "the room is kept for urgent work"
	NoSuitableWorker = "no worker is large enough or has the label"
	NoTrial          = "no worker is free for a trial"
	NextPlan         = "the plan has as many starts of the step as it takes"
)

// MaxStarts is the largest number of starts of a demand in one plan, unless it is a gang. The rest
// follow in the next plans, so that a wide step does not hold up the work beside it.
const MaxStarts = 400

// Cluster describes the workers and limits that a plan has to work with.
type Cluster struct {
	Workers  []*Worker
	Limits   map[string]*Limit         // by workspace
	Headroom map[string]work.Resources // by pool; headroom that only urgent work and long-running or filler tasks may use
	Early    int                       // number of early queries that can be sent now
	Urgent   int                       // number of further ones for urgent work
	Floor    int                       // number of further ones for work that is not in time
	Explain  bool                      // the plan tells what holds idle capacity
}

// Limit is a workspace's resource limit and current usage.
type Limit struct {
	Max  work.Resources // zero fields mean no limit
	Used work.Resources
}

// allows reports whether n more tasks of the given size stay within the limit.
func (l *Limit) allows(size work.Resources, n int) bool {
	return l == nil || l.Used.Add(size.Times(int64(n))).Within(l.Max)
}

// charge adds a started task to the usage.
func (l *Limit) charge(size work.Resources) {
	if l != nil {
		l.Used = l.Used.Add(size)
	}
}

// Plan is the outcome of Decide.
type Plan struct {
	Starts      []Start
	Queries     []Query
	Blocks      []Block
	Preemptions []job.TaskID    // runs to preempt
	Floor       bool            // work that is not in time waits for tickets beside free capacity
	Idle        map[string]Idle // by pool with waiting tasks, if Cluster.Explain is set
}

// planner holds the working state of one call of Decide.
type planner struct {
	now         time.Time
	cluster     Cluster
	pools       map[string]*inventory
	plan        Plan
	off         rules
	floorChecks int       // see noteFloor
	asking      []string  // workers in the queries of the demand that is being planned
	queries     int       // number of these queries
	allowed     []*Worker // workers that the demand that is being planned may use; see allowedWorkers
}

// rules names rules that can be switched off, for comparison only.
type rules struct {
	wideQueries   bool // a query names many workers, and late work asks only idle clients
	wholeGangs    bool // a gang preempts only if it then fits as a whole
	sharedQueries bool // demands seek different free capacity
}

// Decide plans one scheduling round.
func Decide(now time.Time, demands []*Demand, cluster Cluster) Plan {
	return decide(now, demands, cluster, rules{})
}

func decide(now time.Time, demands []*Demand, cluster Cluster, off rules) Plan {
	p := &planner{now: now, cluster: cluster, pools: newPools(cluster.Workers), off: off}
	for _, d := range demands {
		d.rank, d.now = d.rankAt(now), now
		if l := p.pools[d.Pool]; l != nil {
			d.fastest = l.fastest
		}
	}
	slices.SortFunc(demands, compareDemands)
	for _, d := range demands {
		p.schedule(d)
	}
	if cluster.Explain {
		p.plan.Idle = p.explain()
	}
	return p.plan
}

// rank classifies a demand by whether it can still meet its deadline.
type rank uint8

const (
	onTime  rank = iota // can still meet its deadline
	excess              // likewise, but beyond the weight of its workspace
	late                // misses its deadline, which lowers its value
	expired             // the result is no longer needed
	harmful             // probably crashes its worker
)

// certainShare is the fraction of an estimated run time that is taken as the
// minimum. Actual run times can be as little as half the estimate.
const certainShare = 0.5

// rankAt returns the rank at a time. A demand counts as late once even the
// minimum remaining run time would end after its deadline.
func (d *Demand) rankAt(now time.Time) rank {
	switch {
	case d.Likely:
		return harmful
	case d.Spec.Lasting:
		return onTime
	case !now.Add(time.Duration(certainShare * float64(d.CriticalPath))).After(d.Deadline):
		if d.Beyond {
			return excess
		}
		return onTime
	case !now.After(d.Expiry):
		return late
	}
	return expired
}

// tier returns the scheduling tier, 0 being served first: urgent work, then
// long-running tasks, because they serve users, then everything else.
func (d *Demand) tier() int {
	switch {
	case d.Priority == 0:
		return 0
	case d.Spec.Lasting:
		return 1
	}
	return 2
}

// tiers is the number of tiers.
const tiers = 3

// effectiveDeadline orders the demands of one tier.
func (d *Demand) effectiveDeadline() time.Time {
	return EffectiveDeadline(d.Deadline, d.Priority).Add(d.Delay)
}

// EffectiveDeadline returns the effective deadline by which work is ordered. A
// higher priority is only a head start, so that lower ones are not starved
// under overload.
func EffectiveDeadline(deadline time.Time, priority int) time.Time {
	return deadline.Add(time.Duration(priority) * headStart)
}

// headStart is the advantage of each priority level over the next. It is well
// below the usual slack of low-priority work, which is about ten seconds.
const headStart = 2 * time.Second

// compareDemands sorts demands in the order in which they are served.
func compareDemands(a, b *Demand) int {
	if c := cmp.Compare(a.rank, b.rank); c != 0 {
		return c
	}
	if c := cmp.Compare(a.tier(), b.tier()); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Held, b.Held); c != 0 && a.rank == excess {
		return c
	}
	if c := a.effectiveDeadline().Compare(b.effectiveDeadline()); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Sequence, b.Sequence); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Step.Occurrence, b.Step.Occurrence); c != 0 {
		return c
	}
	return cmp.Compare(a.Step.Step, b.Step.Step)
}
