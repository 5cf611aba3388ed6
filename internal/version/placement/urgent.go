package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// preemption is a worker and the tasks on it to preempt.
type preemption struct {
	worker    *worker
	victims   []*task
	totalCost float64
}

// preemptPolicy finds the worker on which the fewest tasks, at the least total
// cost, have to be preempted for one urgent task.
type preemptPolicy struct{}

// preemptSamplePerTier limits the workers of a tier that are compared, and
// preemptSampleMinimum is the least for each zone. The emptiest come first,
// because they need the fewest victims.
const (
	preemptSamplePerTier = 16
	preemptSampleMinimum = 2
)

func (preemptPolicy) place(s *Scheduler, q taskRequest) (best preemption, ok bool) {
	need := vectorOf(q.size)
	s.bestVictims = s.bestVictims[:0]
	s.forEachTier(q.job, q.size, func(t *tier, family int) bool {
		f := &s.forests[family][byPreemptible]
		for _, z := range t.zones {
			before := key{math.MaxInt64, math.MaxUint64}
			for range max(preemptSamplePerTier/len(t.zones), preemptSampleMinimum) {
				i := f.last(z.roots[byPreemptible], before, need)
				if i == noItem {
					break
				}
				before = f.nodes[i].key
				w := s.workerList[i]
				if !w.eligibleFor(q.job) {
					continue
				}
				s.stats.Steps++
				victims, cost := s.victimsOn(w, q.size, len(best.victims))
				if victims == nil {
					continue
				}
				if best.worker == nil || len(victims) < len(best.victims) || len(victims) == len(best.victims) && cost < best.totalCost {
					s.bestVictims = append(s.bestVictims[:0], victims...)
					best = preemption{w, s.bestVictims, cost}
				}
			}
		}
		return best.worker != nil
	})
	return best, best.worker != nil
}

// candidate is a task that could be preempted, with the cost of doing so.
type candidate struct {
	task *task
	cost float64
}

func (a candidate) compare(b candidate) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.task.job.id, b.task.job.id), cmp.Compare(a.task.index, b.task.index))
}

// victimsOn selects few tasks whose end frees enough capacity for the size on
// w, and returns them with the cost of preempting them. It returns nil if there
// are none, or if more than maxVictims are needed and maxVictims is not zero.
func (s *Scheduler) victimsOn(w *worker, size work.Resources, maxVictims int) ([]*task, float64) {
	list, free := s.candidates[:0], w.free()
	single := candidate{}
	for _, t := range w.placed {
		if !t.preemptible() || t.job.class == work.Gang && !s.gangPreemptible(t.job) {
			continue
		}
		c := candidate{t, s.preemptionCost(t)}
		list = append(list, c)
		if size.Fits(free.Add(t.reserved)) && (single.task == nil || c.compare(single) < 0) {
			single = c
		}
	}
	s.candidates = list
	if single.task != nil {
		s.victims = append(s.victims[:0], single.task)
		return s.victims, single.cost
	}
	if maxVictims == 1 {
		return nil, 0
	}
	slices.SortFunc(list, candidate.compare)
	n := 0
	for !size.Fits(free) {
		if n == len(list) || maxVictims > 0 && n == maxVictims {
			return nil, 0
		}
		// The task that leaves the smallest shortage comes next.
		pick, least := n, math.Inf(1)
		for i := n; i < len(list); i++ {
			if d := shortage(size, free.Add(list[i].task.reserved), w.capacity); d < least {
				pick, least = i, d
			}
		}
		list[n], list[pick] = list[pick], list[n]
		free = free.Add(list[n].task.reserved)
		n++
	}
	for i := 0; i < n; {
		if rest := free.Sub(list[i].task.reserved); size.Fits(rest) {
			free = rest
			n--
			list[i], list[n] = list[n], list[i]
		} else {
			i++
		}
	}
	cost := 0.0
	s.victims = s.victims[:0]
	for _, c := range list[:n] {
		cost += c.cost
		s.victims = append(s.victims, c.task)
	}
	return s.victims, cost
}

// shortage returns by how much free falls short of size, summed over the
// resources as fractions of the capacity.
func shortage(size, free, capacity work.Resources) float64 {
	sum := 0.0
	for _, v := range [...][3]int64{
		{size.Processors, free.Processors, capacity.Processors}, {size.Memory, free.Memory, capacity.Memory},
		{size.Accelerators, free.Accelerators, capacity.Accelerators},
	} {
		if v[0] > v[1] && v[2] > 0 {
			sum += float64(v[0]-v[1]) / float64(v[2])
		}
	}
	return sum
}

// gangPreemptible reports whether every live task of a gang can be preempted. A
// gang is preempted as a whole, because the rest of it cannot continue alone.
func (s *Scheduler) gangPreemptible(j *job) bool {
	for i := range j.tasks {
		if t := &j.tasks[i]; t.worker != nil && !t.preemptible() {
			return false
		}
	}
	return true
}

// preemptionCost estimates the cost of preempting a task: the resources spent
// on the run so far, as its run time times the fraction of the worker that it
// reserves, halved for a team above its fair share. A gang loses the runs of
// all its tasks.
func (s *Scheduler) preemptionCost(t *task) float64 {
	ran := s.now.Sub(t.start).Seconds() + 1
	cost := ran * t.reserved.Dominant(t.worker.capacity)
	if t.job.class == work.Gang {
		cost *= float64(t.job.liveTasks)
	}
	if s.weightedShare(t.job.team) > 1 {
		cost /= 2
	}
	return cost
}

const (
	maxUrgentJobs     = 64 // urgent jobs examined in one round
	maxUrgentSearches = 16 // placement searches for urgent tasks in one round
)

// placeUrgent starts urgent jobs before all others, if necessary on capacity
// reserved for gangs, and preempts tasks where no capacity is free.
func (s *Scheduler) placeUrgent() {
	tries := 0
	from := lowestKey
	for range maxUrgentJobs {
		i := s.waiting.first(s.urgentRoot, from, lowestVector)
		if i == noItem || tries >= maxUrgentSearches || s.limitReached() {
			return
		}
		from = s.waiting.nodes[i].key.next()
		j := s.jobSlots[i]
		size := s.taskSize(j)
		if h := j.hold; h != nil && (!size.Fits(h.size) || !s.withinLimits(j, size, 1)) {
			s.releaseHold(h)
		}
		if j.class == work.Gang {
			if n := int64(len(j.queuedTasks)); j.stoppingTasks == 0 && s.withinLimits(j, size, n) {
				tries++
				s.placeUrgentGang(j, size, n)
			}
			continue
		}
		for len(j.queuedTasks) > 0 && tries < maxUrgentSearches && !s.limitReached() && s.withinLimits(j, size, 1) {
			tries++
			if !s.placeUrgentTask(j, size) {
				break
			}
		}
		if len(j.queuedTasks) > 0 && s.withinLimits(j, size, 1) {
			// Tasks for which slots already wait for victims need no further
			// preemption.
			s.preemptFor(j, size, len(j.queuedTasks))
		}
	}
}

func (s *Scheduler) placeUrgentTask(j *job, size work.Resources) bool {
	if h := j.hold; h != nil {
		for i := range h.slots {
			if w := h.slots[i].worker; w.usable() && size.Fits(w.free()) && s.allowedOn(w, j) {
				s.releaseSlot(h, i)
				s.startTask(j, w, size, ReasonClaimed)
				return true
			}
		}
	}
	if w, ok := policyFor(j.class).place(s, taskRequest{j, size}); ok {
		s.startTask(j, w, size, ReasonUrgent)
		if h := j.hold; h != nil && len(h.slots) > len(j.queuedTasks) {
			s.releaseSlot(h, len(h.slots)-1)
		}
		return true
	}
	for _, h := range s.holds {
		for i := range h.slots {
			w := h.slots[i].worker
			if !h.forPreemption && w.usable() && size.Fits(w.free()) && s.allowedOn(w, j) {
				s.startTask(j, w, size, ReasonUrgent)
				return true
			}
		}
	}
	return false
}

// allowedOn reports whether the worker accepts jobs of j's team and entry and j
// has not failed on it.
func (s *Scheduler) allowedOn(w *worker, j *job) bool {
	return (w.boundTeam == nil || w.boundTeam == j.team || j.profile.entry.open) && w.eligibleFor(j)
}

// releaseSlot releases slot i of a hold, and the hold with its last slot.
func (s *Scheduler) releaseSlot(h *hold, i int) {
	w := h.slots[i].worker
	h.slots = append(h.slots[:i], h.slots[i+1:]...)
	s.releaseHeldWorker(w)
	if len(h.slots) == 0 {
		s.releaseHold(h)
	}
}

// placeUrgentGang starts an urgent gang on free or held capacity, or holds
// capacity for all its tasks.
func (s *Scheduler) placeUrgentGang(j *job, size work.Resources, n int64) {
	if h := j.hold; h != nil {
		ready := int64(len(h.slots)) == n
		for i := range h.slots {
			w := h.slots[i].worker
			ready = ready && w.usable() && size.Fits(w.free()) && s.allowedOn(w, j)
		}
		if !ready {
			return
		}
		allocations := s.allocations[:0]
		for i := range h.slots {
			allocations = append(allocations, allocation{h.slots[i].worker, 1})
		}
		s.allocations = allocations
		s.releaseHold(h)
		s.startGang(j, size, allocations, ReasonClaimed)
		return
	}
	if allocations, ok := (gangPolicy{}).place(s, gangRequest{j, size, n, s.now}); ok {
		s.startGang(j, size, allocations, ReasonUrgent)
		return
	}
	s.preemptFor(j, size, int(n))
}

// preemptFor holds workers for up to n tasks of an urgent job and asks the
// victims there to checkpoint. A gang gets capacity for all its tasks or none.
func (s *Scheduler) preemptFor(j *job, size work.Resources, n int) {
	if s.options.Off.Preemption || s.now.Before(j.nextPreemption) || j.hold != nil && len(j.hold.slots) >= min(n, maxHeldWorkers) {
		return
	}
	h, created := j.hold, false
	if h == nil {
		h, created = &hold{owner: j, forPreemption: true, size: size, since: s.now}, true
	}
	var stops []work.Stop
	for len(h.slots) < n && len(h.slots) < maxHeldWorkers {
		p := slot{count: 1, requestedAt: s.now}
		if w, ok := (packPolicy{}).place(s, taskRequest{j, size}); ok && j.class == work.Gang {
			p.worker = w
		} else if v, ok := (preemptPolicy{}).place(s, taskRequest{j, size}); ok {
			p.worker = v.worker
			p.victims = s.withGangTasks(v.victims)
		} else {
			// An unsuccessful search is not repeated at once, as it visits many
			// workers.
			j.nextPreemption = s.now.Add(s.options.Retry)
			break
		}
		for _, t := range p.victims {
			t.stopRequested = true
			p.victimTokens = append(p.victimTokens, t.token)
			stops = append(stops, work.Stop{Task: t.id(), Token: t.token, Mode: work.StopCheckpoint})
		}
		p.worker.hold, p.worker.heldCapacity = h, size
		s.reindexWorker(p.worker)
		h.slots = append(h.slots, p)
	}
	if j.class == work.Gang && len(h.slots) < n {
		for _, p := range h.slots {
			for _, t := range p.victims {
				t.stopRequested = false
			}
			s.releaseHeldWorker(p.worker)
		}
		return
	}
	if created && len(h.slots) > 0 {
		j.hold = h
		s.holds = append(s.holds, h)
	}
	if len(stops) > 0 {
		s.stats.Stops += uint64(len(stops))
		s.emit(work.Decision{Stops: stops, Reason: ReasonPreempt})
	}
}

// maxHeldWorkers limits the workers that are held for one urgent job at a time.
const maxHeldWorkers = 64

// withGangTasks returns the victims with all other live tasks of the gangs
// among them.
func (s *Scheduler) withGangTasks(victims []*task) []*task {
	list := append([]*task(nil), victims...)
	for _, t := range victims {
		if t.job.class != work.Gang {
			continue
		}
		for i := range t.job.tasks {
			if o := &t.job.tasks[i]; o.worker != nil && !slices.Contains(list, o) {
				list = append(list, o)
			}
		}
	}
	return list
}

// escalatePreemptions stops victims that did not end in time, and releases
// slots that cannot be used any more.
func (s *Scheduler) escalatePreemptions() {
	for i := 0; i < len(s.holds) && !s.limitReached(); i++ {
		h := s.holds[i]
		if !h.forPreemption {
			continue
		}
		for k := 0; k < len(h.slots); k++ {
			if s.escalateSlot(h, &h.slots[k]) {
				continue
			}
			if len(h.slots) == 1 {
				s.releaseHold(h)
				i--
				break
			}
			s.releaseSlot(h, k)
			k--
		}
	}
}

// escalateSlot stops overdue victims of a slot and reports whether the slot can
// still be used.
func (s *Scheduler) escalateSlot(h *hold, p *slot) bool {
	if !p.worker.usable() || !s.allowedOn(p.worker, h.owner) {
		return false
	}
	if h.size.Fits(p.worker.free()) {
		return true
	}
	pending := false
	var stops []work.Stop
	for i, t := range p.victims {
		if t.token != p.victimTokens[i] || t.worker == nil {
			continue
		}
		pending = pending || t.stopRequested && t.worker == p.worker
		if t.stopRequested && !p.killRequested && !s.now.Before(p.requestedAt.Add(s.options.Stop)) {
			stops = append(stops, work.Stop{Task: t.id(), Token: t.token, Mode: work.StopKill})
		}
	}
	if len(stops) > 0 {
		p.killRequested = true
		s.stats.Stops += uint64(len(stops))
		s.emit(work.Decision{Stops: stops, Reason: ReasonStop})
	}
	return pending
}

// Throttles returns the caps that the worker has to apply to preempted tasks
// that still run after Options.Throttle.
func (s *Scheduler) Throttles(name string) []Throttle {
	w := s.workers[name]
	if w == nil || w.hold == nil || !w.hold.forPreemption {
		return nil
	}
	var list []Throttle
	for i := range w.hold.slots {
		p := &w.hold.slots[i]
		if p.worker != w || s.now.Before(p.requestedAt.Add(s.options.Throttle)) {
			continue
		}
		for k, t := range p.victims {
			if t.worker == w && t.token == p.victimTokens[k] {
				size := t.reserved
				size.Processors = max(size.Processors*s.options.ThrottlePercent/100, 1)
				list = append(list, Throttle{Task: t.id(), Token: t.token, Size: size})
			}
		}
	}
	return list
}
