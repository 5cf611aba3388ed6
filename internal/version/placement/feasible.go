package placement

import (
	"fmt"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// shape is a worker configuration: a capacity and the team that the workers are
// bound to. Workers that leave are remembered for a while, so that no job is
// refused only because workers are temporarily absent.
type shape struct {
	capacity   work.Resources
	boundTeam  *team
	count      int64
	remembered int64     // highest count, lowered to count once workers have been absent for long
	forgetAt   time.Time // when remembered is lowered to count; zero if the absence is not timed yet
}

// shapes lists the known worker shapes. There are few, whatever the number of
// workers.
type shapes struct{ list []*shape }

func (h *shapes) add(capacity work.Resources, bound *team) *shape {
	for _, p := range h.list {
		if p.capacity == capacity && p.boundTeam == bound {
			p.count++
			p.remembered = max(p.remembered, p.count)
			return p
		}
	}
	p := &shape{capacity: capacity, boundTeam: bound, count: 1, remembered: 1}
	h.list = append(h.list, p)
	return p
}

func (h *shapes) remove(p *shape) {
	p.count--
	p.forgetAt = time.Time{}
}

// expire forgets workers that have been absent for the retention time and
// reports whether there were any. An absence is timed from the first call after
// it began, because worker events carry no time.
func (h *shapes) expire(now time.Time, retention time.Duration) bool {
	kept := h.list[:0]
	changed := false
	for _, p := range h.list {
		switch {
		case p.count == p.remembered:
		case p.forgetAt.IsZero():
			p.forgetAt = now.Add(retention)
		case !p.forgetAt.After(now):
			p.remembered, changed = p.count, true
		}
		if p.remembered > 0 {
			kept = append(kept, p)
		}
	}
	clear(h.list[len(kept):])
	h.list = kept
	return changed
}

// allows reports whether workers of this shape accept j.
func (p *shape) allows(j *job) bool {
	return p.boundTeam == nil || p.boundTeam == j.team || j.profile.entry.open
}

// fits reports whether any known worker shape is large enough for the size.
func (h *shapes) fits(j *job, size work.Resources) bool {
	for _, p := range h.list {
		if p.allows(j) && size.Fits(p.capacity) {
			return true
		}
	}
	return false
}

// taskCapacity returns how many tasks of the size all known workers together
// can hold.
func (h *shapes) taskCapacity(j *job, size work.Resources) int64 {
	n := int64(0)
	for _, p := range h.list {
		if p.allows(j) {
			n += p.remembered * fitCount(p.capacity, size)
		}
	}
	return n
}

// refusal is a job to refuse in the next round.
type refusal struct {
	job    work.JobID
	reason string // one of the Reason constants
	text   string
}

// infeasibleReason returns why a job can never run, or "" if it may run.
func (s *Scheduler) infeasibleReason(j *job) string {
	t, e, size := j.team, j.profile.entry, j.baseSize
	if !size.Within(t.limit) {
		return "a task is larger than the limit of team " + t.name
	}
	if !s.shapes.fits(j, size) {
		return fmt.Sprintf("a task of %d millicores, %d bytes of memory and %d accelerators fits no worker that the job may use",
			size.Processors, size.Memory, size.Accelerators)
	}
	if j.class != work.Gang {
		return ""
	}
	n := int64(len(j.tasks))
	switch {
	case !size.Times(n).Within(t.limit):
		return "all tasks at once are larger than the limit of team " + t.name
	case t.maxTasks > 0 && n > t.maxTasks:
		return "the gang has more tasks than team " + t.name + " may run"
	case e.maxTasks > 0 && n > e.maxTasks:
		return "the gang has more tasks than entry " + e.name + " may run"
	case s.shapes.taskCapacity(j, size) < n:
		return fmt.Sprintf("all workers together have no room for %d tasks at once", n)
	}
	return ""
}

// recheckFeasibility starts a new check of all waiting jobs, a few in each
// round.
func (s *Scheduler) recheckFeasibility() {
	s.feasibilityCursor = s.oldestJob
	s.feasibilityEpoch++
}

// maxFeasibilityChecks limits the jobs that one round checks.
const maxFeasibilityChecks = 256

// refuseInfeasible emits pending refusals and, once some worker is known,
// refuses jobs that can never run.
func (s *Scheduler) refuseInfeasible() {
	if s.shapes.expire(s.now, s.options.ShapeMemory) {
		s.recheckFeasibility()
	}
	for len(s.pendingRefusals) > 0 && !s.limitReached() {
		r := s.pendingRefusals[0]
		s.pendingRefusals = s.pendingRefusals[1:]
		if j := s.jobs[r.job]; j != nil && !j.finished {
			s.refuse(j, r.reason, r.text)
		}
	}
	if len(s.shapes.list) == 0 || s.options.Off.Refusal {
		return
	}
	for n := 0; s.feasibilityCursor != nil && n < maxFeasibilityChecks && !s.limitReached(); n++ {
		j := s.feasibilityCursor
		s.feasibilityCursor = j.next
		if j.checkEpoch == s.feasibilityEpoch && j.checked || j.finished || j.refusalProposed || len(j.queuedTasks) == 0 {
			continue
		}
		j.checkEpoch, j.checked = s.feasibilityEpoch, true
		s.stats.Steps++
		if text := s.infeasibleReason(j); text != "" {
			s.refuse(j, ReasonInfeasible, text)
		}
	}
}

func (s *Scheduler) refuse(j *job, reason, text string) {
	if j.refusalProposed {
		return
	}
	j.refusalProposed = true
	s.dequeue(j)
	if j.hold != nil {
		s.releaseHold(j.hold)
	}
	s.stats.Refusals++
	s.emit(work.Decision{Refuse: []work.Refusal{{Job: j.id, Reason: text}}, Reason: reason})
}

// growSize raises the size of a job after a run that needed more than it had
// reserved, within what the entry, the team and the workers allow. A job that
// cannot grow is refused in the next round.
func (s *Scheduler) growSize(t *task) {
	j, u := t.job, &t.job.profile.usage
	peak := t.peak
	peak.Memory = max(peak.Memory, t.reserved.Memory)
	if s.learnSize(j.profile, j.declared, peak) {
		s.startRescan(j.profile)
		s.reindexTeam(j.team)
	}
	// Only a lack of memory stops a run; a run short of processors is merely
	// slow. Processors grow too if the run used all that it had reserved, or if
	// it had reserved no memory.
	growProcessors := t.reportCount > 0 && peak.Processors >= t.reserved.Processors || t.reserved.Memory == 0
	want := t.reserved
	want.Memory += want.Memory * s.options.GrowPercent / 100
	if growProcessors {
		want.Processors += want.Processors * s.options.GrowPercent / 100
	}
	best := work.Resources{}
	for _, p := range s.shapes.list {
		if !p.allows(j) || !t.reserved.Fits(p.capacity) {
			continue
		}
		r := minResources(minResources(want, p.capacity), ceiling(j.profile.entry.maximum))
		r = minResources(r, ceiling(j.team.limit))
		if r.Memory > best.Memory || r.Memory == best.Memory && r.Processors > best.Processors {
			best = r
		}
	}
	if best.Memory <= t.reserved.Memory && best.Processors <= t.reserved.Processors {
		s.pendingRefusals = append(s.pendingRefusals, refusal{j.id, ReasonOversized, "a run needed more than any worker or limit allows"})
		return
	}
	// Divide by the learned scales, so that scaling the base size gives the
	// wanted size.
	base := best
	base.Processors = base.Processors * scaleOne / u.scale[0]
	base.Memory = ceilDivide(base.Memory*scaleOne, u.scale[1])
	base.Processors, base.Memory = max(base.Processors, j.baseSize.Processors), max(base.Memory, j.baseSize.Memory)
	base.Accelerators = j.baseSize.Accelerators
	j.baseSize = base
	if len(j.queuedTasks) > 0 {
		s.dequeue(j)
		s.enqueue(j)
	}
}

func ceilDivide(a, b int64) int64 { return (a + b - 1) / b }

// ceiling returns a limit with its zero fields, which mean no limit, set to
// unlimited.
func ceiling(r work.Resources) work.Resources {
	for _, v := range [...]*int64{&r.Processors, &r.Memory, &r.Accelerators} {
		if *v == 0 {
			*v = unlimited
		}
	}
	return r
}
