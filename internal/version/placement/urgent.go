package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// preemption is a worker and the tasks on it that make way.
type preemption struct {
	worker  *worker
	victims []*task
	cost    float64
}

// preempt finds the worker on which the fewest tasks of the least value make
// way for one urgent task.
type preempt struct{}

// preemptSample bounds the workers of a tier that are compared, and
// preemptMinimum is the least for each zone. The emptiest come first, because
// they need the fewest victims.
const (
	preemptSample  = 16
	preemptMinimum = 2
)

func (preempt) place(s *Scheduler, q request) (best preemption, ok bool) {
	need := vectorOf(q.size)
	s.selection = s.selection[:0]
	s.tiers(q.job, q.size, func(t *tier, family int) bool {
		f := &s.forests[family][byRoom]
		for _, z := range t.zones {
			before := key{math.MaxInt64, math.MaxUint64}
			for range max(preemptSample/len(t.zones), preemptMinimum) {
				i := f.last(z.roots[byRoom], before, need)
				if i == none {
					break
				}
				before = f.nodes[i].key
				w := s.workerList[i]
				if !w.suits(q.job) {
					continue
				}
				s.stats.Steps++
				victims, cost := s.victimsOn(w, q.size, len(best.victims))
				if victims == nil {
					continue
				}
				if best.worker == nil || len(victims) < len(best.victims) || len(victims) == len(best.victims) && cost < best.cost {
					s.selection = append(s.selection[:0], victims...)
					best = preemption{w, s.selection, cost}
				}
			}
		}
		return best.worker != nil
	})
	return best, best.worker != nil
}

// candidate is a task that could make way, with what its loss costs.
type candidate struct {
	task *task
	loss float64
}

func (a candidate) compare(b candidate) int {
	return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.task.job.id, b.task.job.id), cmp.Compare(a.task.index, b.task.index))
}

// victimsOn returns the fewest tasks whose end makes room for the size on w,
// and what their loss costs. It gives up beyond most tasks, unless most is zero.
func (s *Scheduler) victimsOn(w *worker, size work.Resources, most int) ([]*task, float64) {
	list, free := s.candidates[:0], w.free()
	single := candidate{}
	for _, t := range w.placed {
		if !t.preemptible() || t.job.class == work.Gang && !s.wholeGang(t.job) {
			continue
		}
		c := candidate{t, s.loss(t)}
		list = append(list, c)
		if size.Fits(free.Add(t.reserved)) && (single.task == nil || c.compare(single) < 0) {
			single = c
		}
	}
	s.candidates = list
	if single.task != nil {
		s.victims = append(s.victims[:0], single.task)
		return s.victims, single.loss
	}
	if most == 1 {
		return nil, 0
	}
	slices.SortFunc(list, candidate.compare)
	n := 0
	for !size.Fits(free) {
		if n == len(list) || most > 0 && n == most {
			return nil, 0
		}
		// The task that leaves the smallest shortage goes next.
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
		cost += c.loss
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

// wholeGang reports whether every live task of a gang can be preempted. Its
// tasks go together, because the rest of a gang cannot go on alone.
func (s *Scheduler) wholeGang(j *job) bool {
	for i := range j.tasks {
		if t := &j.tasks[i]; t.worker != nil && !t.preemptible() {
			return false
		}
	}
	return true
}

// loss estimates what the preemption of a task costs: the resources spent on
// the run so far, which grow with its share of the worker, less for a team
// above its fair share. A gang loses the runs of all its tasks.
func (s *Scheduler) loss(t *task) float64 {
	ran := s.now.Sub(t.start).Seconds() + 1
	cost := ran * t.reserved.Dominant(t.worker.capacity)
	if t.job.class == work.Gang {
		cost *= float64(t.job.live)
	}
	if s.share(t.job.team) > 1 {
		cost /= 2
	}
	return cost
}

const (
	urgentPasses = 64 // urgent jobs looked at in one round
	urgentTries  = 16 // searches for urgent tasks in one round
)

// placeUrgent starts urgent work, before all other work and on capacity that
// is reserved for gangs if need be, and preempts where nothing is free.
func (s *Scheduler) placeUrgent() {
	tries := 0
	from := lowest
	for range urgentPasses {
		i := s.waiting.first(s.urgent, from, anything)
		if i == none || tries >= urgentTries || s.full() {
			return
		}
		from = s.waiting.nodes[i].key.next()
		j := s.slots[i]
		size := s.size(j)
		if h := j.hold; h != nil && (!size.Fits(h.size) || !s.permits(j, size, 1)) {
			s.dissolve(h)
		}
		if j.class == work.Gang {
			if n := int64(len(j.ready)); j.stopping == 0 && s.permits(j, size, n) {
				tries++
				s.placeUrgentGang(j, size, n)
			}
			continue
		}
		for len(j.ready) > 0 && tries < urgentTries && !s.full() && s.permits(j, size, 1) {
			tries++
			if !s.placeUrgentTask(j, size) {
				break
			}
		}
		if len(j.ready) > 0 && s.permits(j, size, 1) {
			// Tasks whose slots wait for their victims need no further claim.
			s.claim(j, size, len(j.ready))
		}
	}
}

func (s *Scheduler) placeUrgentTask(j *job, size work.Resources) bool {
	if h := j.hold; h != nil {
		for i := range h.slots {
			if w := h.slots[i].worker; w.usable() && size.Fits(w.free()) && s.mayUse(w, j) {
				s.drop(h, i)
				s.start(j, w, size, ReasonClaimed)
				return true
			}
		}
	}
	if w, ok := policyOf(j.class).place(s, request{j, size}); ok {
		s.start(j, w, size, ReasonUrgent)
		if h := j.hold; h != nil && len(h.slots) > len(j.ready) {
			s.drop(h, len(h.slots)-1)
		}
		return true
	}
	for _, h := range s.holds {
		for i := range h.slots {
			w := h.slots[i].worker
			if !h.claim && w.usable() && size.Fits(w.free()) && s.mayUse(w, j) {
				s.start(j, w, size, ReasonUrgent)
				return true
			}
		}
	}
	return false
}

// mayUse reports whether the worker takes work of j's team and entry.
func (s *Scheduler) mayUse(w *worker, j *job) bool {
	return (w.bound == nil || w.bound == j.team || j.profile.entry.open) && w.suits(j)
}

// drop gives one slot of a hold back.
func (s *Scheduler) drop(h *hold, i int) {
	w := h.slots[i].worker
	h.slots = append(h.slots[:i], h.slots[i+1:]...)
	s.giveBack(w)
	if len(h.slots) == 0 {
		s.dissolve(h)
	}
}

// placeUrgentGang starts an urgent gang on what is free and claimed, or claims
// room for all its tasks.
func (s *Scheduler) placeUrgentGang(j *job, size work.Resources, n int64) {
	if h := j.hold; h != nil {
		ready := int64(len(h.slots)) == n
		for i := range h.slots {
			w := h.slots[i].worker
			ready = ready && w.usable() && size.Fits(w.free()) && s.mayUse(w, j)
		}
		if !ready {
			return
		}
		shares := s.shares[:0]
		for i := range h.slots {
			shares = append(shares, share{h.slots[i].worker, 1})
		}
		s.shares = shares
		s.dissolve(h)
		s.startGang(j, size, shares, ReasonClaimed)
		return
	}
	if shares, ok := (gang{}).place(s, gangRequest{j, size, n, s.now}); ok {
		s.startGang(j, size, shares, ReasonUrgent)
		return
	}
	s.claim(j, size, int(n))
}

// claim sets workers apart for up to n tasks of an urgent job and asks the
// victims there to checkpoint. A gang claims room for all tasks or none.
func (s *Scheduler) claim(j *job, size work.Resources, n int) {
	if s.options.Off.Preemption || s.now.Before(j.claims) || j.hold != nil && len(j.hold.slots) >= min(n, claimMost) {
		return
	}
	h, fresh := j.hold, false
	if h == nil {
		h, fresh = &hold{owner: j, claim: true, size: size, since: s.now}, true
	}
	var stops []work.Stop
	for len(h.slots) < n && len(h.slots) < claimMost {
		p := slot{n: 1, since: s.now}
		if w, ok := (pack{}).place(s, request{j, size}); ok && j.class == work.Gang {
			p.worker = w
		} else if v, ok := (preempt{}).place(s, request{j, size}); ok {
			p.worker = v.worker
			p.victims = s.whole(v.victims)
		} else {
			// A search in vain is not repeated at once, as it looks at many workers.
			j.claims = s.now.Add(s.options.Retry)
			break
		}
		for _, t := range p.victims {
			t.asked = true
			p.tokens = append(p.tokens, t.token)
			stops = append(stops, work.Stop{Task: t.id(), Token: t.token, Mode: work.StopCheckpoint})
		}
		p.worker.hold, p.worker.held = h, size
		s.refresh(p.worker)
		h.slots = append(h.slots, p)
	}
	if j.class == work.Gang && len(h.slots) < n {
		for _, p := range h.slots {
			for _, t := range p.victims {
				t.asked = false
			}
			s.giveBack(p.worker)
		}
		return
	}
	if fresh && len(h.slots) > 0 {
		j.hold = h
		s.holds = append(s.holds, h)
	}
	if len(stops) > 0 {
		s.stats.Stops += uint64(len(stops))
		s.emit(work.Decision{Stops: stops, Reason: ReasonPreempt})
	}
}

// claimMost bounds the workers that one urgent job claims at a time.
const claimMost = 64

// whole returns the victims with all other tasks of the gangs among them.
func (s *Scheduler) whole(victims []*task) []*task {
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

// escalate stops victims that did not make way in time, and drops claims that
// cannot be met any more.
func (s *Scheduler) escalate() {
	for i := 0; i < len(s.holds) && !s.full(); i++ {
		h := s.holds[i]
		if !h.claim {
			continue
		}
		for k := 0; k < len(h.slots); k++ {
			if s.escalateSlot(h, &h.slots[k]) {
				continue
			}
			if len(h.slots) == 1 {
				s.dissolve(h)
				i--
				break
			}
			s.drop(h, k)
			k--
		}
	}
}

// escalateSlot reports whether the claim on a worker is still of use.
func (s *Scheduler) escalateSlot(h *hold, p *slot) bool {
	if !p.worker.usable() || !s.mayUse(p.worker, h.owner) {
		return false
	}
	if h.size.Fits(p.worker.free()) {
		return true
	}
	waits := false
	var stops []work.Stop
	for i, t := range p.victims {
		if t.token != p.tokens[i] || t.worker == nil {
			continue
		}
		waits = waits || t.asked && t.worker == p.worker
		if t.asked && !p.stopped && !s.now.Before(p.since.Add(s.options.Stop)) {
			stops = append(stops, work.Stop{Task: t.id(), Token: t.token, Mode: work.StopKill})
		}
	}
	if len(stops) > 0 {
		p.stopped = true
		s.stats.Stops += uint64(len(stops))
		s.emit(work.Decision{Stops: stops, Reason: ReasonStop})
	}
	return waits
}

// Throttles returns the caps that the worker is to apply to tasks that make
// way for urgent work and have not done so after Options.Throttle.
func (s *Scheduler) Throttles(name string) []Throttle {
	w := s.workers[name]
	if w == nil || w.hold == nil || !w.hold.claim {
		return nil
	}
	var list []Throttle
	for i := range w.hold.slots {
		p := &w.hold.slots[i]
		if p.worker != w || s.now.Before(p.since.Add(s.options.Throttle)) {
			continue
		}
		for k, t := range p.victims {
			if t.worker == w && t.token == p.tokens[k] {
				size := t.reserved
				size.Processors = max(size.Processors*s.options.ThrottlePercent/100, 1)
				list = append(list, Throttle{Task: t.id(), Token: t.token, Size: size})
			}
		}
	}
	return list
}
