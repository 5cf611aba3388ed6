// Package fit decides which waiting tasks start on which workers, which advice
// to ask for, which running tasks make way, and which workers are slow.
//
// # Usage
//
//	plan := fit.Decide(now, demands, fit.Room{Workers: workers, Limits: limits, Spare: spare})
//	for _, s := range plan.Starts { ... } // commit, then order
//	for _, a := range plan.Asks { ... }   // ask the advice service
//
// Decide is pure: it has no clock, does no I/O and keeps nothing. Equal
// arguments give equal plans. It changes the Free amounts, tallies and limits
// of its arguments as it counts on its own decisions.
//
// # Order
//
// Demands that are not late come first, then late ones, then those that nobody
// waits for any more: under overload, work that is late already would otherwise
// make all that follows late too. Within a rank demands are served by the
// time at which they are late, with a head start for each higher priority; urgent
// work and lasting tasks come first.
// A gang that finds no room claims the workers where it would fit soonest, so
// that smaller work behind it does not keep it waiting for ever. After a while,
// runs of lower priority that have checkpoints make way for it.
//
// # Spare room
//
// Urgent work is short and has little slack, so it cannot wait for the end of
// long tasks. Work of lower priority leaves Room.Spare free in a pool; the
// leader sets it from the recent peak of the urgent work's use.
package fit

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// maximumAsk bounds the workers that one question to the advice service
	// names. A late answer costs more than a few workers left out.
	maximumAsk = 30
	// askFactor is how many workers are asked about for each waiting task when
	// it is known which are good; one in three may be full by then.
	askFactor = 1.5
)

// Worker is a worker as it is placed on.
type Worker struct {
	job.Worker
	Free    work.Resources
	Usable  bool           // takes new tasks
	Doubted bool           // was slow, and has not yet shown that it is not any more
	Serving int            // tasks with a bound on their response times
	Filling int            // filler tasks
	Ending  work.Resources // part of the capacity that runs hold which are being stopped
	Runs    []Run          // that may be stopped, and go on later from a checkpoint
	held    *Demand        // only this demand and better ones may use the room
}

// Run is a run that may make way for more urgent work.
type Run struct {
	Task     job.TaskID
	Priority int
	Due      time.Time      // see Due
	Size     work.Resources // reserved on the worker
	stopped  bool           // by this plan
}

// Answer is what the advice service said about a worker for a step.
type Answer struct {
	Good   bool
	Ticket string
	Expiry time.Time // of Ticket
}

// Advice is what is known about the workers of an advised step.
type Advice struct {
	Answers map[string]Answer // by worker; those not asked about are missing
	Asking  bool              // a question is under way
}

// Demand is a step with tasks that wait.
type Demand struct {
	Step     job.StepID
	Spec     *job.Step
	Pool     string
	Queue    string // identifies the queue
	Priority int
	Late     time.Time     // when the job, or the occurrence, is late
	Useless  time.Time     // when its result is of no use any more
	Length   time.Duration // estimate of the longest chain of steps from this one on
	Order    uint64        // of acceptance
	Tasks    []int         // indices of the waiting tasks
	Owner    string        // workspace
	Payload  string        // of the job
	Progress *job.Progress
	Placed   map[string]int  // running tasks of the step by worker
	Avoid    map[string]bool // workers where a run of the step failed
	Advised  bool
	Slow     time.Duration // least time of an answer of the advice service
	Advice   *Advice
	Early    bool          // not ready to start; only advice may be asked for
	Waited   time.Duration // since tasks of the step became ready

	rank     rank
	prepared bool
	gangRun  int
	runs     map[int]int
	saved    map[int]string
}

// Prepare takes what a start needs from Progress, which may change as soon as
// the state is no longer locked.
func (d *Demand) Prepare() {
	if d.prepared {
		return
	}
	d.prepared, d.runs, d.saved = true, map[int]int{}, map[int]string{}
	for _, i := range d.Tasks {
		k := &d.Progress.Tasks[i]
		d.runs[i], d.saved[i] = k.Run+1, k.Checkpoint
		d.gangRun = max(d.gangRun, k.Run+1)
	}
	if d.Spec.Gang {
		for _, i := range d.Tasks {
			d.runs[i], d.saved[i] = d.gangRun, d.Progress.Checkpoint
		}
	}
}

// Number returns the run number of a task's next start. All members of a gang
// have the same.
func (d *Demand) Number(index int) int { return d.runs[index] }

// Checkpoint returns the checkpoint that a task goes on from, empty if none.
func (d *Demand) Checkpoint(index int) string { return d.saved[index] }

// Start is a decision to start a task.
type Start struct {
	Demand *Demand
	Index  int
	Worker *Worker
	Ticket string
}

// Ask is a decision to ask the advice service.
type Ask struct {
	Demand  *Demand
	Workers []string
	Ahead   bool // the tasks have no room yet; only worth asking if a lane is idle
}

// Block tells why tasks of a demand wait.
type Block struct {
	Demand *Demand
	Reason string
}

// Reasons of a Block.
const (
	NoRoom   = "no worker has room"
	AtLimit  = "the workspace is at its limit"
	NoAdvice = "the advice service has not answered"
	NotGood  = "the advice service allows no worker with room"
	KeptFree = "the room is kept for urgent work"
	NoWorker = "no worker is large enough or has the label"
)

// Room is what there is to place on.
type Room struct {
	Workers []*Worker
	Limits  map[string]*Limit         // by workspace
	Spare   map[string]work.Resources // by pool; kept free by demands that are not urgent
}

// Limit is a workspace's upper limit and use.
type Limit struct {
	Upper work.Resources // zero fields mean no limit
	Used  work.Resources
}

// takes reports whether n more tasks of a size stay within the limit.
func (l *Limit) takes(size work.Resources, n int) bool {
	return l == nil || l.Used.Add(size.Times(int64(n))).Within(l.Upper)
}

func (l *Limit) use(size work.Resources) {
	if l != nil {
		l.Used = l.Used.Add(size)
	}
}

// Plan is the outcome of Decide.
type Plan struct {
	Starts []Start
	Asks   []Ask
	Blocks []Block
	Stops  []job.TaskID // runs that make way
}

type planner struct {
	now   time.Time
	room  Room
	pools map[string][]*Worker
	free  map[string]work.Resources // usable free room by pool
	plan  Plan
}

// Decide plans one round.
func Decide(now time.Time, demands []*Demand, room Room) Plan {
	p := &planner{now: now, room: room, pools: map[string][]*Worker{}, free: map[string]work.Resources{}}
	for _, w := range room.Workers {
		if w.Usable {
			p.pools[w.Pool] = append(p.pools[w.Pool], w)
			p.free[w.Pool] = p.free[w.Pool].Add(w.Free)
		}
	}
	for _, d := range demands {
		d.rank = d.ranked(now)
	}
	slices.SortFunc(demands, compare)
	for _, d := range demands {
		p.serve(d)
	}
	return p.plan
}

// rank tells what a demand is still good for.
type rank uint8

const (
	timely  rank = iota // can be in time
	late                // is late, and worth less
	useless             // nobody waits for it any more
)

// certain is the part of an estimated run time that is needed for sure;
// estimates are off by up to half.
const certain = 0.5

func (d *Demand) ranked(now time.Time) rank {
	switch {
	case d.Spec.Lasting || !now.Add(time.Duration(certain*float64(d.Length))).After(d.Late):
		return timely
	case !now.After(d.Useless):
		return late
	}
	return useless
}

// band separates what always comes before the rest: urgent work, then lasting
// tasks, which serve users of their own.
func (d *Demand) band() int {
	switch {
	case d.Priority == 0:
		return 0
	case d.Spec.Lasting:
		return 1
	}
	return 2
}

// bands is the number of bands.
const bands = 3

// due orders the demands of one band.
func (d *Demand) due() time.Time { return Due(d.Late, d.Priority) }

// Due returns the time by which work of a priority is ordered. A higher priority
// counts as a head start, so that under overload lower ones get their turn too.
func Due(late time.Time, priority int) time.Time {
	return late.Add(time.Duration(priority) * headStart)
}

// headStart is the advantage of each priority over the next. It is well below the
// slack of usual work of low priority, which is some ten seconds.
const headStart = 2 * time.Second

// compare puts the demand that is served first before the other.
func compare(a, b *Demand) int {
	if c := cmp.Compare(a.rank, b.rank); c != 0 {
		return c
	}
	if c := cmp.Compare(a.band(), b.band()); c != 0 {
		return c
	}
	if c := a.due().Compare(b.due()); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Order, b.Order); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Step.Occurrence, b.Step.Occurrence); c != 0 {
		return c
	}
	return cmp.Compare(a.Step.Step, b.Step.Step)
}

func (p *planner) serve(d *Demand) {
	if d.Early {
		p.ask(d)
		return
	}
	if d.Spec.Gang {
		p.gang(d)
		return
	}
	p.tasks(d)
}

// tasks places as many tasks as find room.
func (p *planner) tasks(d *Demand) {
	limit := p.room.Limits[d.Owner]
	for n, index := range d.Tasks {
		if !limit.takes(d.Spec.Size, 1) {
			p.block(d, AtLimit)
			return
		}
		if !p.spares(d, 1) {
			p.block(d, KeptFree)
			return
		}
		w, reason := p.best(d, p.pools[d.Pool])
		if w == nil {
			p.block(d, reason)
			if d.rank == timely && p.claims(d) {
				p.claim(d, len(d.Tasks)-n)
			}
			p.askFor(d, len(d.Tasks)-n)
			return
		}
		p.start(d, index, w)
	}
}

// spares reports whether n tasks leave the room that is kept for urgent work.
func (p *planner) spares(d *Demand, n int) bool {
	if d.Priority == 0 || d.Spec.Lasting {
		return true // lasting tasks must not be kept from work for long
	}
	keep := p.room.Spare[d.Pool]
	left := p.free[d.Pool].Sub(d.Spec.Reserves().Times(int64(n)))
	return left.Processors >= keep.Processors || d.Spec.Filler
}

func (p *planner) block(d *Demand, reason string) {
	p.plan.Blocks = append(p.plan.Blocks, Block{d, reason})
}

// start counts on a decision.
func (p *planner) start(d *Demand, index int, w *Worker) {
	size := d.Spec.Reserves()
	w.Free = w.Free.Sub(size)
	p.free[d.Pool] = p.free[d.Pool].Sub(size)
	p.room.Limits[d.Owner].use(d.Spec.Size)
	d.Placed[w.ID]++
	switch {
	case d.Spec.Filler:
		w.Filling++
	case d.Spec.Target > 0:
		w.Serving++
	}
	s := Start{Demand: d, Index: index, Worker: w}
	if d.Advised {
		s.Ticket = d.Advice.Answers[w.ID].Ticket
	}
	p.plan.Starts = append(p.plan.Starts, s)
}

// suits reports whether the worker may ever run a task of the demand.
func suits(d *Demand, w *Worker) bool {
	return !d.Avoid[w.ID] && (d.Spec.Label == "" || slices.Contains(w.Labels, d.Spec.Label)) && d.Spec.Reserves().Fits(w.Capacity)
}

// open reports whether the worker has room for a task of the demand now.
func (p *planner) open(d *Demand, w *Worker) bool {
	if w.held != nil && w.held != d && compare(w.held, d) < 0 {
		return false
	}
	if d.Spec.Spread > 0 && d.Placed[w.ID] >= d.Spec.Spread {
		return false
	}
	if d.Spec.Filler && w.Serving > 0 || d.Spec.Target > 0 && w.Filling > 0 {
		return false // fillers disturb tasks with a bound on their response times
	}
	return d.Spec.Reserves().Fits(w.Free) && suits(d, w)
}

// best returns the worker with room that the task fills best, or why there is
// none.
func (p *planner) best(d *Demand, workers []*Worker) (*Worker, string) {
	var best *Worker
	var score float64
	reason := NoWorker
	for _, w := range workers {
		if !p.open(d, w) {
			if reason == NoWorker && suits(d, w) {
				reason = NoRoom
			}
			continue
		}
		if d.Advised {
			a, known := d.Advice.Answers[w.ID]
			if known && !a.Good {
				if reason == NoRoom || reason == NoWorker {
					reason = NotGood
				}
				continue
			}
			if !known || !p.now.Before(a.Expiry) {
				reason = NoAdvice
				continue
			}
		}
		if s := p.score(d, w); best == nil || s < score {
			best, score = w, s
		}
	}
	return best, reason
}

// remoteScore weighs a worker on another rack against the fraction that stays
// free: work far from its data takes longer by about half, which costs more
// than a poor fit.
const remoteScore = 2.0

// doubtScore puts a worker that was slow behind all others that have room.
const doubtScore = 4.0

// score is lower for a better worker.
func (p *planner) score(d *Demand, w *Worker) float64 {
	left := w.Free.Sub(d.Spec.Reserves())
	s := left.Dominant(w.Capacity)
	if d.Spec.Rack != "" && d.Spec.Rack != w.Rack {
		s += remoteScore
	}
	if w.Doubted {
		s += doubtScore
	}
	return s
}

// gang places all tasks or none.
func (p *planner) gang(d *Demand) {
	limit := p.room.Limits[d.Owner]
	if !limit.takes(d.Spec.Size, len(d.Tasks)) {
		p.block(d, AtLimit)
		return
	}
	chosen, reason := p.together(d)
	if chosen == nil {
		p.block(d, reason)
		if d.rank == timely {
			p.claim(d, len(d.Tasks))
		}
		p.askFor(d, len(d.Tasks))
		return
	}
	for i, index := range d.Tasks {
		p.start(d, index, chosen[i])
	}
}

// together returns a worker for each task of a gang, nil if not all find room.
// A rack that takes the whole gang is preferred if the gang is slower on several.
func (p *planner) together(d *Demand) ([]*Worker, string) {
	workers := p.pools[d.Pool]
	if d.Spec.SameRack {
		for _, rack := range racks(workers) {
			if chosen, _ := p.trial(d, rack); chosen != nil {
				return chosen, ""
			}
		}
	}
	return p.trial(d, workers)
}

// racks groups workers by rack, in the order in which the racks occur.
func racks(workers []*Worker) [][]*Worker {
	var groups [][]*Worker
	at := map[string]int{}
	for _, w := range workers {
		i, ok := at[w.Rack]
		if !ok {
			i = len(groups)
			at[w.Rack] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], w)
	}
	return groups
}

// trial fits all tasks of a gang onto workers without counting on it.
func (p *planner) trial(d *Demand, workers []*Worker) ([]*Worker, string) {
	var chosen []*Worker
	size := d.Spec.Reserves()
	defer func() {
		for _, w := range chosen {
			w.Free = w.Free.Add(size)
			d.Placed[w.ID]--
		}
	}()
	for range d.Tasks {
		w, reason := p.best(d, workers)
		if w == nil {
			return nil, reason
		}
		w.Free = w.Free.Sub(size)
		d.Placed[w.ID]++
		chosen = append(chosen, w)
	}
	return slices.Clone(chosen), ""
}

// times returns how often a size fits a capacity.
func times(size, capacity work.Resources) int {
	n := int64(1 << 30)
	for _, p := range [...][2]int64{
		{size.Processors, capacity.Processors}, {size.Memory, capacity.Memory}, {size.Accelerators, capacity.Accelerators},
	} {
		if p[0] > 0 {
			n = min(n, p[1]/p[0])
		}
	}
	return int(n)
}

func (p *planner) mayBeGood(d *Demand, w *Worker) bool {
	if !d.Advised {
		return true
	}
	a, known := d.Advice.Answers[w.ID]
	return !known || a.Good
}
