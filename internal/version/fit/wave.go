package fit

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// slotOverhead is the time between the maintenance of one VM and that of the next in
// its place: the VM has to be listed as up, and the next order has to be committed.
const slotOverhead = time.Second

// Maintenance is the situation that PlanMaintenance decides on.
type Maintenance struct {
	Waves    []*job.WaveRecord
	VMs      map[string]*VM // by name, those that the platform lists
	Services map[job.StepID]*Service
	Time     time.Duration // for which the maintenance takes a VM down
}

// VM is a VM with the worker that runs on it.
type VM struct {
	Worker   string // empty if none is known
	Up       bool   // in service, and its worker is not about to leave
	Cordoned bool   // by the previous plan
	Runs     []VMRun
}

// VMRun is a run on a VM.
type VMRun struct {
	Task        job.TaskID
	Lasting     bool
	Checkpoints bool          // goes on elsewhere from where it was stopped
	Left        time.Duration // estimate of the time until it is done
	Stopping    bool
	StopLate    bool // its end is overdue
}

// Service is a long-running step.
type Service struct {
	Allowance int // maximum tasks that may be away because of the system; zero if not stated
	Tasks     int
	Gang      bool                // its tasks only work together
	Away      map[job.TaskID]bool // tasks that are not at work
}

// maxAway returns how many tasks may be away. Without a stated allowance they are
// taken one at a time, or a gang as a whole.
func (s *Service) maxAway() int {
	switch {
	case s.Allowance > 0:
		return s.Allowance
	case s.Gang:
		return s.Tasks
	}
	return 1
}

// Down is an order to begin the maintenance of a VM.
type Down struct {
	Wave int64
	VM   string
}

// MaintenancePlan is what PlanMaintenance decides.
type MaintenancePlan struct {
	Cordon map[string]bool   // workers that get no new tasks
	Stops  []job.TaskID      // runs to stop so that they go on elsewhere
	Downs  []Down            // VMs to take down now, including those whose order may have been lost
	Waits  map[string]string // by VM: why it is not taken down although its turn has come
}

// Reasons why a VM has to wait.
const (
	waitsForService     = "a long-running step has too many tasks away"
	waitsForRuns        = "its runs may finish first"
	waitsForCheckpoints = "its runs save checkpoints"
	waitsForReturn      = "it is not up"
)

// maintenancePlanner is the state of one planning.
type maintenancePlanner struct {
	now  time.Time
	m    *Maintenance
	plan MaintenancePlan
	busy map[string]bool                    // VMs that are down for a wave or chosen to be
	away map[job.StepID]map[job.TaskID]bool // tasks that are away or will be with this plan
}

// PlanMaintenance decides which VMs begin their maintenance. It answers this
// situation: some VMs of a pool in use have to go down by a deadline, few at a time.
//
// A VM counts as down from the first order until it is listed as up again, and no
// wave has more VMs down than its limit. Those with the least work come first; they
// get no new tasks, their runs may finish until the rest of the wave needs the time,
// and runs that save checkpoints are then stopped to go on elsewhere. A long-running
// task is ended only while, with it, no more tasks of its step are away than allowed.
// It counts as away from the first order on, since an order without an answer may be
// carried out at any time.
func PlanMaintenance(now time.Time, m *Maintenance) MaintenancePlan {
	p := &maintenancePlanner{
		now: now, m: m, busy: map[string]bool{}, away: map[job.StepID]map[job.TaskID]bool{},
		plan: MaintenancePlan{Cordon: map[string]bool{}, Waits: map[string]string{}},
	}
	for id, s := range m.Services {
		p.away[id] = map[job.TaskID]bool{}
		for task := range s.Away {
			p.away[id][task] = true
		}
	}
	waves := slices.Clone(m.Waves)
	slices.SortFunc(waves, func(a, b *job.WaveRecord) int {
		return cmp.Or(a.Wave.Deadline.Compare(b.Wave.Deadline), cmp.Compare(a.Wave.Number, b.Wave.Number))
	})
	for _, w := range waves {
		p.repeat(w)
	}
	for _, w := range waves {
		p.choose(w)
	}
	return p.plan
}

// repeat plans the orders of a wave that may have been sent.
func (p *maintenancePlanner) repeat(w *job.WaveRecord) {
	for _, name := range w.Wave.VMs {
		stage := w.VMs[name].Stage
		if stage == job.Begun {
			p.busy[name] = true
		}
		if stage != job.Ordered {
			continue
		}
		p.busy[name] = true
		v := p.m.VMs[name]
		if v == nil {
			continue // it left, or its worker is not listed yet
		}
		p.cordon(v)
		if p.permitted(v) {
			p.plan.Downs = append(p.plan.Downs, Down{w.Wave.Number, name})
		} else {
			p.plan.Waits[name] = waitsForService
		}
		p.take(v)
	}
}

// turn is a VM that may be next.
type turn struct {
	name    string
	vm      *VM
	blocked bool          // by a long-running step
	left    time.Duration // until its runs are done
}

// choose fills the places of a wave that are free.
func (p *maintenancePlanner) choose(w *job.WaveRecord) {
	limit := max(1, min(w.Wave.Limit, len(w.Wave.VMs)))
	free := limit - w.Count(job.Ordered, job.Begun)
	waiting := w.Count(job.Waiting)
	rounds := (waiting + limit - 1) / limit
	latest := w.Wave.Deadline.Add(-time.Duration(rounds) * (p.m.Time + slotOverhead))
	for _, c := range p.candidates(w) {
		if p.blocked(c.vm) {
			p.plan.Waits[c.name] = waitsForService // not cordoned: the tasks that are away may need it
			continue
		}
		if free <= 0 {
			continue
		}
		free--
		p.busy[c.name] = true
		p.cordon(c.vm)
		if wait := p.prepare(c.vm, !p.now.Before(latest)); wait != "" {
			p.plan.Waits[c.name] = wait
			continue
		}
		p.take(c.vm)
		p.plan.Downs = append(p.plan.Downs, Down{w.Wave.Number, c.name})
	}
}

// candidates returns the waiting VMs of a wave that are up, those that can begin
// soonest first.
func (p *maintenancePlanner) candidates(w *job.WaveRecord) []turn {
	var all []turn
	for _, name := range w.Wave.VMs {
		v := p.m.VMs[name]
		switch {
		case w.VMs[name].Stage != job.Waiting || p.busy[name] || v == nil:
		case !v.Up:
			p.plan.Waits[name] = waitsForReturn
		default:
			c := turn{name: name, vm: v, blocked: p.blocked(v)}
			for i := range v.Runs {
				if !v.Runs[i].Lasting && !v.Runs[i].Checkpoints {
					c.left = max(c.left, v.Runs[i].Left)
				}
			}
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b turn) int {
		return cmp.Or(compareBool(a.blocked, b.blocked), cmp.Compare(a.left, b.left), cmp.Compare(len(a.vm.Runs), len(b.vm.Runs)),
			compareBool(!a.vm.Cordoned, !b.vm.Cordoned), strings.Compare(a.name, b.name))
	})
	return all
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// prepare stops what has to go on elsewhere before a VM goes down. It returns why the
// VM has to wait, or "" if it can go down now.
func (p *maintenancePlanner) prepare(v *VM, late bool) string {
	if !late && slices.ContainsFunc(v.Runs, func(r VMRun) bool { return !r.Lasting && !r.Checkpoints && !r.StopLate }) {
		return waitsForRuns
	}
	wait := ""
	for i := range v.Runs {
		r := &v.Runs[i]
		if r.Lasting || !r.Checkpoints || r.StopLate {
			continue
		}
		wait = waitsForCheckpoints
		if !r.Stopping {
			p.plan.Stops = append(p.plan.Stops, r.Task)
		}
	}
	if !p.permitted(v) {
		for _, r := range p.movable(v) {
			p.plan.Stops = append(p.plan.Stops, r.Task)
			p.away[r.Task.StepID()][r.Task] = true
		}
		return waitsForService
	}
	return wait
}

// lasting returns the long-running runs on a VM by their steps.
func lasting(v *VM) map[job.StepID][]*VMRun {
	steps := map[job.StepID][]*VMRun{}
	for i := range v.Runs {
		if r := &v.Runs[i]; r.Lasting {
			steps[r.Task.StepID()] = append(steps[r.Task.StepID()], r)
		}
	}
	return steps
}

// permitted reports whether the allowances of the long-running steps permit that a VM
// goes down. Its tasks that are not at work yet count as well, as they may be by the
// time that the order arrives.
func (p *maintenancePlanner) permitted(v *VM) bool {
	for id, runs := range lasting(v) {
		s := p.m.Services[id]
		if s == nil {
			return false
		}
		if s.Gang && s.Tasks > s.maxAway() {
			return false
		}
		away := len(p.away[id])
		for _, r := range runs {
			if !p.away[id][r.Task] {
				away++
			}
		}
		if away > s.maxAway() {
			return false
		}
	}
	return true
}

// blocked reports whether nothing can be done now to take a VM down.
func (p *maintenancePlanner) blocked(v *VM) bool { return !p.permitted(v) && len(p.movable(v)) == 0 }

// movable returns the long-running runs to stop now on a VM that has more of a step
// than may be away at once.
func (p *maintenancePlanner) movable(v *VM) []*VMRun {
	var all []*VMRun
	for id, runs := range lasting(v) {
		s := p.m.Services[id]
		if s == nil || s.Gang || len(runs) <= s.maxAway() {
			continue
		}
		slices.SortFunc(runs, func(a, b *VMRun) int { return cmp.Compare(a.Task.Index, b.Task.Index) })
		free := s.maxAway() - len(p.away[id])
		for _, r := range runs {
			if free > 0 && !p.away[id][r.Task] && !r.Stopping {
				all = append(all, r)
				free--
			}
		}
	}
	slices.SortFunc(all, func(a, b *VMRun) int { return strings.Compare(a.Task.String(), b.Task.String()) })
	return all
}

// take counts the long-running tasks on a VM as away.
func (p *maintenancePlanner) take(v *VM) {
	for id, runs := range lasting(v) {
		if p.away[id] == nil {
			p.away[id] = map[job.TaskID]bool{}
		}
		for _, r := range runs {
			p.away[id][r.Task] = true
		}
	}
}

// cordon has the worker on a VM get no new tasks.
func (p *maintenancePlanner) cordon(v *VM) {
	if v.Worker != "" {
		p.plan.Cordon[v.Worker] = true
	}
}
