package fit

import (
	"slices"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// remoteRackPenalty is added to the score of a worker on another rack than the
	// data. The task takes about half as long again there, which costs more than a
	// poor fit.
	remoteRackPenalty = 2.0
	// slowPenalty ranks a worker that was slow behind all others that fit, and
	// unansweringPenalty one that may not answer any more behind these: a task whose
	// start gets no answer cannot start elsewhere before the lease of the worker is over.
	slowPenalty        = 4.0
	trialPenalty       = 1.0 // of a worker without a trial of the same job
	latelyPenalty      = 0.5 // of one that crashed lately, for a trial
	crashedPenalty     = 2.0 // of one that crashed under the tasks of a trial
	unansweringPenalty = 8.0
	// minCandidates and candidatesPerTask bound the workers that are compared for a
	// demand. Those with the least free come first, so that the rest would seldom be
	// chosen.
	minCandidates     = 64
	candidatesPerTask = 4
)

// schedule plans one demand.
func (p *planner) schedule(d *Demand) {
	l := p.pools[d.Pool]
	if l == nil {
		if !d.Prefetch {
			p.block(d, NoSuitableWorker, 0)
		}
		return
	}
	l.own, p.asking, p.queries, p.allowed = l.own[:0], nil, 0, nil
	d.shunning = l.mayShun(d)
	switch {
	case d.Trial && !d.Prefetch && !l.mayTry(d):
		p.block(d, NoTrial, 0)
	case d.Prefetch:
		p.queryEarly(l, d)
	case d.Spec.Gang:
		p.placeGang(l, d)
	default:
		p.placeTasks(l, d)
	}
}

// placeTasks places as many tasks as fit.
func (p *planner) placeTasks(l *inventory, d *Demand) {
	limit := p.cluster.Limits[d.Workspace]
	var candidates []*Worker
	for n, index := range d.Tasks {
		if n == MaxStarts {
			p.block(d, NextPlan, n)
			return
		}
		if !limit.allows(d.Spec.Size, 1) {
			p.block(d, AtLimit, n)
			return
		}
		if !p.leavesHeadroom(l, d, 1) {
			p.block(d, p.headroomReason(d), n)
			return
		}
		if n == 0 {
			candidates = p.candidates(l, d)
		}
		w := best(d, candidates)
		if w == nil {
			p.block(d, p.reason(l, d), n)
			if d.Trial {
				p.reserveTrial(l, d, len(d.Tasks)-n)
			} else if d.rank == onTime && p.mayReserve(l, d) {
				p.reserve(l, d, len(d.Tasks)-n)
			}
			p.query(l, d, len(d.Tasks)-n)
			return
		}
		p.start(l, d, index, w)
	}
}

// leavesHeadroom reports whether starting n tasks leaves the headroom for urgent
// work free.
func (p *planner) leavesHeadroom(l *inventory, d *Demand, n int) bool {
	if d.Priority == 0 || d.Spec.Lasting {
		return true // a long-running task serves users and must restart quickly
	}
	left := l.free.Sub(d.Spec.Reservation().Times(int64(n)))
	return left.Processors >= p.cluster.Headroom[d.Pool].Processors || d.Spec.Filler
}

// headroomReason returns why the pool has too little free for a task of the demand.
func (p *planner) headroomReason(d *Demand) string {
	if p.cluster.Headroom[d.Pool].Processors == 0 {
		return NoCapacity
	}
	return UrgentHeadroom
}

// block records why a demand waits, of which some tasks are started.
func (p *planner) block(d *Demand, reason string, started int) {
	p.plan.Blocks = append(p.plan.Blocks, Block{d, reason, started})
}

// start adds a start to the plan and updates the free amounts, limits and
// counters.
func (p *planner) start(l *inventory, d *Demand, index int, w *Worker) {
	l.use(w, d.Spec.Reservation())
	p.cluster.Limits[d.Workspace].charge(d.Spec.Size)
	d.Placed[w.ID]++
	w.Tenants++
	w.Settled = false
	if d.Risky {
		w.Risky++
	}
	if d.Trial {
		w.Tried++
		w.Trial, l.trials[d.Step.Job] = d.Step.Job, true
	}
	switch {
	case d.Spec.Filler:
		w.FillerTasks++
	case d.Spec.Target > 0:
		w.TargetTasks++
	}
	s := Start{Demand: d, Index: index, Worker: w}
	if d.Advised {
		s.Ticket = d.Advice.Answers[w.ID].Ticket
	}
	p.plan.Starts = append(p.plan.Starts, s)
}

// eligible reports whether the worker may run a task of the demand, regardless of
// its current load.
func eligible(d *Demand, w *Worker) bool {
	return Able(d.Spec, &w.Worker) && (len(d.Avoid) == 0 || !d.Avoid[w.ID]) && (d.Only == "" || d.Only == w.ID)
}

// Able reports whether the worker is large enough for a task of the step and has its label.
func Able(s *job.Step, w *job.Worker) bool {
	return s.Reservation().Fits(w.Capacity) && (s.Label == "" || slices.Contains(w.Labels, s.Label))
}

// fits reports whether the worker can take a task of the demand now.
func fits(d *Demand, w *Worker) bool {
	if w.reservedFor != nil && w.reservedFor != d || !d.Spec.Reservation().Fits(w.Free) || !eligible(d, w) || d.shunning && d.crashed(w) || !admits(d, w) || !suits(d, w) {
		return false
	}
	if d.Spec.Spread > 0 && d.Placed[w.ID] >= d.Spec.Spread {
		return false
	}
	// Fillers slow down tasks with a response time target.
	return !(d.Spec.Filler && w.TargetTasks > 0 || d.Spec.Target > 0 && w.FillerTasks > 0)
}

// candidates returns workers that can take a task of the demand now, ordered by ID.
// If the demand is advised, these are the ones with a valid ticket.
func (p *planner) candidates(l *inventory, d *Demand) []*Worker {
	var list []*Worker
	if d.Advised {
		for _, w := range p.allowedWorkers(l, d) {
			if fits(d, w) && p.now.Before(d.Advice.Answers[w.ID].Expiry) {
				list = append(list, w)
			}
		}
		return list
	}
	for _, w := range l.racks[d.Spec.Rack] {
		if d.Spec.Rack != "" && fits(d, w) {
			list = append(list, w)
		}
	}
	wanted := max(minCandidates, candidatesPerTask*len(d.Tasks))
	l.preferred(d, func(visit func(*Worker) bool) { l.tightest(d.Spec.Reservation(), visit) }, func(w *Worker) bool {
		if fits(d, w) && (d.Spec.Rack == "" || w.Rack != d.Spec.Rack) {
			list = append(list, w)
			if !mixes(d, w) {
				wanted--
			}
		}
		return wanted > 0
	})
	slices.SortFunc(list, func(a, b *Worker) int { return a.order - b.order })
	return list
}

// best returns the best-scored worker that can take a task of the demand, or nil
// if there is none.
func best(d *Demand, workers []*Worker) *Worker {
	var chosen *Worker
	var lowest float64
	for _, w := range workers {
		if !fits(d, w) {
			continue
		}
		if s := score(d, w); chosen == nil || s < lowest {
			chosen, lowest = w, s
		}
	}
	return chosen
}

// score rates a worker for a task; lower is better. It is the dominant fraction
// of the worker that would stay free, plus penalties.
func score(d *Demand, w *Worker) float64 {
	left := w.Free.Sub(d.Spec.Reservation())
	s := left.Dominant(w.Capacity)
	if d.Trial && w.Trial == "" {
		s = w.others() + trialPenalty
	}
	if d.Trial && w.Crashed {
		s += latelyPenalty
	}
	if d.crashed(w) {
		s += crashedPenalty
	}
	s += speedCost(d, w)
	if d.Spec.Rack != "" && d.Spec.Rack != w.Rack {
		s += remoteRackPenalty
	}
	if mixes(d, w) {
		s += mixPenalty
	}
	if w.WasSlow {
		s += slowPenalty
	}
	if w.Unanswering {
		s += unansweringPenalty
	}
	return s
}

// reason returns why no worker can take a task of the demand now.
func (p *planner) reason(l *inventory, d *Demand) string {
	found := NoCapacity
	l.tightest(d.Spec.Reservation(), func(w *Worker) bool {
		if !fits(d, w) {
			return true
		}
		found = NoneAllowed
		if p.mayBeAllowed(d, w) {
			found = NoAdvice
		}
		return found == NoneAllowed
	})
	if found == NoCapacity && !slices.ContainsFunc(l.workers, func(w *Worker) bool { return eligible(d, w) }) {
		return NoSuitableWorker
	}
	return found
}

// placeGang places all tasks of a gang or none.
func (p *planner) placeGang(l *inventory, d *Demand) {
	limit := p.cluster.Limits[d.Workspace]
	if !limit.allows(d.Spec.Size, len(d.Tasks)) {
		p.block(d, AtLimit, 0)
		return
	}
	chosen := p.fitGang(l, d)
	if chosen == nil {
		p.block(d, p.reason(l, d), 0)
		if d.Trial {
			p.reserveTrial(l, d, len(d.Tasks))
		} else if d.rank == onTime {
			p.reserve(l, d, len(d.Tasks))
		}
		p.query(l, d, len(d.Tasks))
		return
	}
	for i, index := range d.Tasks {
		p.start(l, d, index, chosen[i])
	}
}

// fitGang returns a worker for each task of a gang, or nil if they do not all
// fit. If the step asks for a single rack, a rack that takes the whole gang is
// preferred. Workers of equal speed come first.
func (p *planner) fitGang(l *inventory, d *Demand) []*Worker {
	candidates := p.candidates(l, d)
	if d.Spec.SameRack {
		for _, rack := range racks(candidates) {
			if chosen := tryBands(d, rack); chosen != nil {
				return chosen
			}
		}
	}
	return tryBands(d, candidates)
}

// tryBands fits all tasks of a gang onto workers of equal speed, if it can.
func tryBands(d *Demand, workers []*Worker) []*Worker {
	for _, band := range bands(d, workers) {
		if chosen := tryGang(d, band); chosen != nil {
			return chosen
		}
	}
	return nil
}

// racks groups workers by rack, in order of first occurrence.
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

// tryGang fits all tasks of a gang onto workers, and returns the worker of each. It restores the
// free amounts before it returns.
func tryGang(d *Demand, workers []*Worker) []*Worker {
	chosen, size := make([]*Worker, len(d.Tasks)), d.Spec.Reservation()
	defer func() {
		for _, w := range chosen {
			if w != nil {
				w.Free = w.Free.Add(size)
				d.Placed[w.ID]--
			}
		}
	}()
	for _, named := range []bool{true, false} { // the others take what these leave
		for n, index := range d.Tasks {
			name := d.Members[index]
			if (name != "") != named {
				continue
			}
			w := best(d, only(workers, name))
			if w == nil {
				return nil
			}
			w.Free = w.Free.Sub(size)
			d.Placed[w.ID]++
			chosen[n] = w
		}
	}
	return slices.Clone(chosen)
}

// only returns the worker with a name, or all of them if the name is empty.
func only(workers []*Worker, name string) []*Worker {
	if name == "" {
		return workers
	}
	i := slices.IndexFunc(workers, func(w *Worker) bool { return w.ID == name })
	if i < 0 {
		return nil
	}
	return workers[i : i+1]
}

// fitCount returns how many tasks of a size fit into a capacity.
func fitCount(size, capacity work.Resources) int {
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

// mayBeAllowed reports whether the advice service allows the worker or has not
// been queried about it.
func (p *planner) mayBeAllowed(d *Demand, w *Worker) bool {
	if !d.Advised {
		return true
	}
	a, known := d.Advice.Answers[w.ID]
	return !known || a.Allowed
}
