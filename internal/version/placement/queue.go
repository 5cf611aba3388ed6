package placement

import (
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// enqueue puts a job with queued tasks into the queues, as one that was not
// tried yet, and takes one without out of them.
func (s *Scheduler) enqueue(j *job) {
	if len(j.ready) == 0 || j.finished || j.refusing || j.held {
		s.dequeue(j)
		return
	}
	k, p := j.key(), j.profile
	switch {
	case j.urgent:
		s.waiting.put(&s.urgent, j.slot, k, anything)
	case j.class == work.Gang:
		s.waiting.put(&s.gangs, j.slot, k, anything)
		s.fresh.put(&s.gangFresh, j.slot, k, anything)
	default:
		if !j.team.waits() {
			j.team.served = s.now
			if j.submitted.After(s.now) {
				j.team.served = j.submitted
			}
		}
		s.waiting.put(&p.waiting, j.slot, k, negative(j.base))
		s.fresh.put(&p.fresh, j.slot, k, negative(j.base))
		if !p.active {
			p.active = true
			j.team.active = append(j.team.active, p)
		}
		s.refreshTeam(j.team)
	}
}

func (t *team) waits() bool { return len(t.active) > 0 }

// dequeue takes a job out of all queues.
func (s *Scheduler) dequeue(j *job) {
	s.waiting.drop(j.slot)
	s.fresh.drop(j.slot)
	s.openGate(j)
	p := j.profile
	if p.active && p.waiting == none {
		p.active = false
		for i, o := range j.team.active {
			if o == p {
				end := len(j.team.active) - 1
				j.team.active[i] = j.team.active[end]
				j.team.active = j.team.active[:end]
				break
			}
		}
		s.refreshTeam(j.team)
	}
}

// shareUnit is the key distance of one weighted fair share.
const shareUnit = 1e9

// key orders teams by weighted dominant share. A team that waits gains
// priority with the time since its last start. As that time passes alike for
// all teams, the start time takes its place and keys need no update as time passes.
func (s *Scheduler) key(t *team) key {
	if s.options.Off.Fairness {
		oldest := int64(0)
		for i, p := range t.active {
			for n := p.waiting; n != none; n = s.waiting.nodes[n].left {
				if m := s.waiting.nodes[n].key.major; i == 0 && n == p.waiting || m < oldest {
					oldest = m
				}
			}
		}
		return key{oldest, t.hash}
	}
	k := int64(s.share(t) * shareUnit)
	if !s.options.Off.Ageing {
		k += int64(float64(t.served.UnixMilli()) / float64(s.options.Ageing.Milliseconds()) * shareUnit)
	}
	return key{k, t.hash}
}

// share returns the team's dominant share over its weighted fair share.
func (s *Scheduler) share(t *team) float64 {
	return t.used.Dominant(s.basis) * float64(s.weights) / float64(t.weight)
}

// refreshTeam brings the teams' indexes up to date with a team. A team is in
// an index only while it may start a task of at least the smallest size that waits.
func (s *Scheduler) refreshTeam(t *team) {
	if len(t.active) == 0 {
		s.waitingTeams.drop(t.number)
		s.freshTeams.drop(t.number)
		s.openTeams.drop(t.number)
		return
	}
	bound, fresh, open := anything, anything, anything
	for _, p := range t.active {
		if p.parked {
			continue
		}
		if p.entry.full() {
			p.park()
			continue
		}
		v := p.smallest(s.waiting.top(p.waiting))
		bound = bound.max(v)
		if p.entry.open {
			open = open.max(v)
		}
		if p.walk.on {
			fresh = fresh.max(v)
		} else if p.fresh != none {
			fresh = fresh.max(p.smallest(s.fresh.top(p.fresh)))
		}
	}
	left, ok := t.remaining()
	k, need := s.key(t), negative(left)
	s.list(&s.waitingTeams, &s.waitingRoot, t, k, bound, ok && bound != anything && bound.covers(need))
	s.list(&s.freshTeams, &s.freshRoot, t, k, fresh, ok && fresh != anything && fresh.covers(need))
	s.list(&s.openTeams, &s.openRoot, t, k, open, ok && open != anything && open.covers(need))
}

func (s *Scheduler) list(f *forest, root *int32, t *team, k key, bound vector, in bool) {
	if in {
		f.put(root, t.number, k, bound)
	} else {
		f.drop(t.number)
	}
}

// park leaves the profile out of the teams' indexes until its entry is below
// its limit again.
func (p *profile) park() {
	p.parked = true
	p.entry.parked = append(p.entry.parked, p)
}

// smallest returns the negated smallest reservation for jobs whose negated
// declared sizes have the given maximum.
func (p *profile) smallest(top vector) vector {
	top[0] = -ceilScale(-top[0], min(p.usage.scale[0], scaleOne))
	top[1] = -ceilScale(-top[1], min(p.usage.scale[1], scaleOne))
	return top
}

// reopen notes that an entry may be below its limit of tasks again.
func (s *Scheduler) reopen(e *entry) {
	if !e.reopened && len(e.parked) > 0 && !e.full() {
		e.reopened = true
		s.reopened = append(s.reopened, e)
	}
}

// unparkMost bounds the teams that one round puts back for one entry.
const unparkMost = 8

// unpark puts work of reopened entries back into the teams' indexes, that of
// the teams with the smallest shares first.
func (s *Scheduler) unpark() {
	kept := s.reopened[:0]
	for _, e := range s.reopened {
		for n := 0; n < unparkMost && len(e.parked) > 0 && !e.full(); n++ {
			best := 0
			for i, p := range e.parked {
				if s.key(p.team).less(s.key(e.parked[best].team)) {
					best = i
				}
			}
			p := e.parked[best]
			e.parked[best] = e.parked[len(e.parked)-1]
			e.parked = e.parked[:len(e.parked)-1]
			p.parked = false
			s.startWalk(p)
			s.refreshTeam(p.team)
		}
		if e.reopened = len(e.parked) > 0 && !e.full(); e.reopened {
			kept = append(kept, e)
		}
	}
	clear(s.reopened[len(kept):])
	s.reopened = kept
}

// rebase updates all shares after the capacity or a weight changed.
func (s *Scheduler) rebase() {
	if !s.rekey {
		return
	}
	s.rekey, s.basis = false, s.total
	for _, t := range s.teamList {
		if t.waits() {
			s.refreshTeam(t)
		}
	}
}

// pickFresh returns the job that comes next among those that were not tried.
func (s *Scheduler) pickFresh() *job {
	for {
		i := s.freshTeams.first(s.freshRoot, lowest, anything)
		if i == none {
			return nil
		}
		t := s.teamList[i]
		left, ok := t.remaining()
		if ok {
			if j := s.pick(t, left, nil); j != nil {
				return j
			}
		}
		if s.walked {
			s.walked = false
			s.refreshTeam(t)
			continue
		}
		// It comes back with the next change of its use or queue.
		s.freshTeams.drop(t.number)
	}
}

// pickFor returns the job that comes next among those that fit the worker.
func (s *Scheduler) pickFor(w *worker) *job {
	free := w.free()
	need := negative(free)
	if w.bound != nil {
		if left, ok := w.bound.remaining(); ok && w.bound.waits() {
			if j := s.pick(w.bound, smaller(free, left), w); j != nil {
				return j
			}
		}
	}
	f, root := &s.waitingTeams, s.waitingRoot
	if w.bound != nil {
		f, root = &s.openTeams, s.openRoot
	}
	for from := lowest; ; {
		i := f.first(root, from, need)
		if i == none {
			return nil
		}
		from = f.nodes[i].key.next()
		t := s.teamList[i]
		if left, ok := t.remaining(); ok {
			if j := s.pick(t, smaller(free, left), w); j != nil {
				return j
			}
		}
	}
}

// pick returns the team's next job that fits what is available, among those
// that fit the worker or, without a worker, those that are to be tried: services
// first, because callers wait for their runners, then in order of submission.
func (s *Scheduler) pick(t *team, available work.Resources, w *worker) *job {
	var best *job
	for _, p := range t.active {
		if p.parked || w != nil && w.bound != nil && w.bound != t && !p.entry.open {
			continue
		}
		if p.entry.full() {
			p.park()
			continue
		}
		f, root, from := &s.waiting, p.waiting, lowest
		if w == nil {
			if f, root = &s.fresh, p.fresh; p.walk.on {
				f, root, from = &s.waiting, p.waiting, p.walk.from
			}
		}
		s.stats.Steps++
		need := negative(p.usage.unscaled(available))
		passed := 0
		for ; passed < attempts; passed++ {
			i := f.first(root, from, need)
			if i == none {
				if w == nil && p.walk.on && (p.walk.again || f.first(root, from, anything) == none) {
					s.endWalk(p)
				}
				break
			}
			from = f.nodes[i].key.next()
			j := s.slots[i]
			if best != nil && !j.before(best) {
				break
			}
			if size := s.size(j); size.Fits(available) && (w == nil || s.takes(w, j, size)) {
				best = j
				break
			}
		}
		if passed == attempts {
			s.goOn(p, from, w != nil)
		}
	}
	return best
}

// goOn has a walk try the jobs that a search did not come to.
func (s *Scheduler) goOn(p *profile, from key, served bool) {
	if served {
		s.startWalk(p)
		s.refreshTeam(p.team)
		return
	}
	p.walk = walk{on: true, again: p.walk.again, from: from}
	s.walked = true
}

func (j *job) before(o *job) bool {
	if a, b := j.class == work.Service, o.class == work.Service; a != b {
		return a
	}
	return j.key().less(o.key())
}

// takes reports whether the worker may start a task of j now.
func (s *Scheduler) takes(w *worker, j *job, size work.Resources) bool {
	switch {
	case w.hold != nil:
		return s.lends(w, j, size, s.now)
	case w.health.aside: // a trial; a job that failed elsewhere would tell nothing
		return j.class == work.Batch && len(j.failedOn) == 0
	}
	return w.suits(j)
}

// startWalk has all waiting jobs of a profile tried again.
func (s *Scheduler) startWalk(p *profile) {
	switch {
	case !p.active:
	case p.walk.on:
		p.walk.again = true
	default:
		p.walk = walk{on: true, from: lowest}
	}
}

func (s *Scheduler) endWalk(p *profile) {
	p.walk = walk{on: p.walk.again, from: lowest}
	s.walked = true
}

// passed moves a walk on after a job that found no room, and ends it if there
// is no room even for the smallest amounts that its jobs ask for.
func (s *Scheduler) passed(j *job) {
	p := j.profile
	if !p.walk.on {
		return
	}
	p.walk.from = j.key().next()
	if p.waiting == none {
		p.walk = walk{}
		return
	}
	v := p.smallest(s.waiting.top(p.waiting))
	least := work.Resources{Processors: -v[0], Memory: -v[1], Accelerators: -v[2]}
	// The probe has no failures, so that it passes over no worker.
	s.probe = job{profile: p, team: p.team}
	if _, ok := (pack{}).place(s, request{&s.probe, least}); !ok {
		p.walk = walk{}
	}
}

// later holds a job back for a while after a rejection.
func (s *Scheduler) later(j *job) {
	if !j.held {
		j.held = true
		s.retries.add(s.now.Add(s.options.Retry), j.id)
		s.dequeue(j)
	}
}

// resume puts jobs back whose delay after a rejection is over.
func (s *Scheduler) resume(now time.Time) {
	for {
		id, ok := s.retries.due(now)
		if !ok {
			return
		}
		if j := s.jobs[id]; j != nil && j.held {
			j.held = false
			s.enqueue(j)
		}
	}
}
