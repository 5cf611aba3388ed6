package placement

import (
	"fmt"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// shape is a kind of worker. It is remembered for a while after the last such
// worker went, so that nothing is refused only because workers are away.
type shape struct {
	capacity work.Resources
	bound    *team
	count    int64
	most     int64     // greatest count since it was last absent for long
	until    time.Time // when a lower count is taken as lasting; zero if not yet known
}

// shapes lists the kinds of workers. There are few, whatever the number of workers.
type shapes struct{ list []*shape }

func (h *shapes) add(capacity work.Resources, bound *team) *shape {
	for _, p := range h.list {
		if p.capacity == capacity && p.bound == bound {
			p.count++
			p.most = max(p.most, p.count)
			return p
		}
	}
	p := &shape{capacity: capacity, bound: bound, count: 1, most: 1}
	h.list = append(h.list, p)
	return p
}

func (h *shapes) remove(p *shape) {
	p.count--
	p.until = time.Time{}
}

// expire forgets workers that have been absent for the given time and reports
// whether there were any. The time of an absence counts from the first call
// after it, because worker events carry no time.
func (h *shapes) expire(now time.Time, memory time.Duration) bool {
	kept := h.list[:0]
	changed := false
	for _, p := range h.list {
		switch {
		case p.count == p.most:
		case p.until.IsZero():
			p.until = now.Add(memory)
		case !p.until.After(now):
			p.most, changed = p.count, true
		}
		if p.most > 0 {
			kept = append(kept, p)
		}
	}
	clear(h.list[len(kept):])
	h.list = kept
	return changed
}

func (p *shape) takes(j *job) bool {
	return p.bound == nil || p.bound == j.team || j.profile.entry.open
}

// fits reports whether any known worker shape has room for the size.
func (h *shapes) fits(j *job, size work.Resources) bool {
	for _, p := range h.list {
		if p.takes(j) && size.Fits(p.capacity) {
			return true
		}
	}
	return false
}

// slots returns how many tasks of the size all known workers hold together.
func (h *shapes) slots(j *job, size work.Resources) int64 {
	n := int64(0)
	for _, p := range h.list {
		if p.takes(j) {
			n += p.most * copies(p.capacity, size)
		}
	}
	return n
}

// refusal is a job that is to be refused at the next decision.
type refusal struct {
	job    work.JobID
	reason string // one of the Reason constants
	text   string
}

// impossible returns why a job can never run, or nothing if it may.
func (s *Scheduler) impossible(j *job) string {
	t, e, size := j.team, j.profile.entry, j.base
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
	case t.tasks > 0 && n > t.tasks:
		return "the gang has more tasks than team " + t.name + " may run"
	case e.tasks > 0 && n > e.tasks:
		return "the gang has more tasks than entry " + e.name + " may run"
	case s.shapes.slots(j, size) < n:
		return fmt.Sprintf("all workers together have no room for %d tasks at once", n)
	}
	return ""
}

// recheck has all waiting jobs checked again, a few in each round.
func (s *Scheduler) recheck() {
	s.cursor = s.oldest
	s.epoch++
}

// checkMost bounds the jobs that one round checks.
const checkMost = 256

// check refuses jobs that can never run, once some worker is known.
func (s *Scheduler) check() {
	if s.shapes.expire(s.now, s.options.ShapeMemory) {
		s.recheck()
	}
	for len(s.condemned) > 0 && !s.full() {
		r := s.condemned[0]
		s.condemned = s.condemned[1:]
		if j := s.jobs[r.job]; j != nil && !j.finished {
			s.refuse(j, r.reason, r.text)
		}
	}
	if len(s.shapes.list) == 0 || s.options.Off.Refusal {
		return
	}
	for n := 0; s.cursor != nil && n < checkMost && !s.full(); n++ {
		j := s.cursor
		s.cursor = j.next
		if j.epoch == s.epoch && j.checked || j.finished || j.refusing || len(j.ready) == 0 {
			continue
		}
		j.epoch, j.checked = s.epoch, true
		s.stats.Steps++
		if text := s.impossible(j); text != "" {
			s.refuse(j, ReasonShape, text)
		}
	}
}

func (s *Scheduler) refuse(j *job, reason, text string) {
	if j.refusing {
		return
	}
	j.refusing = true
	s.dequeue(j)
	if j.hold != nil {
		s.dissolve(j.hold)
	}
	s.stats.Refusals++
	s.emit(work.Decision{Refuse: []work.Refusal{{Job: j.id, Reason: text}}, Reason: reason})
}

// grow raises the size of a job after a run that needed more than it had
// reserved, within what the entry and the workers offer, or condemns the job.
func (s *Scheduler) grow(t *task) {
	j, u := t.job, &t.job.profile.usage
	peak := t.peak
	peak.Memory = max(peak.Memory, t.reserved.Memory)
	if s.learnSize(j.profile, j.declared, peak) {
		s.startWalk(j.profile)
		s.refreshTeam(j.team)
	}
	// Only memory stops a run; a run short of processors is merely slow. If the
	// reports name no resource, both grow.
	both := t.reports > 0 && peak.Processors >= t.reserved.Processors || t.reserved.Memory == 0
	want := t.reserved
	want.Memory += want.Memory * s.options.GrowPercent / 100
	if both {
		want.Processors += want.Processors * s.options.GrowPercent / 100
	}
	best := work.Resources{}
	for _, p := range s.shapes.list {
		if !p.takes(j) || !t.reserved.Fits(p.capacity) {
			continue
		}
		r := smaller(smaller(want, p.capacity), ceiling(j.profile.entry.maximum))
		r = smaller(r, ceiling(j.team.limit))
		if r.Memory > best.Memory || r.Memory == best.Memory && r.Processors > best.Processors {
			best = r
		}
	}
	if best.Memory <= t.reserved.Memory && best.Processors <= t.reserved.Processors {
		s.condemned = append(s.condemned, refusal{j.id, ReasonOversize, "a run needed more than any worker or limit allows"})
		return
	}
	// The base is what the learned scale turns into the wanted size again.
	base := best
	base.Processors = base.Processors * scaleOne / u.scale[0]
	base.Memory = ceilDivide(base.Memory*scaleOne, u.scale[1])
	base.Processors, base.Memory = max(base.Processors, j.base.Processors), max(base.Memory, j.base.Memory)
	base.Accelerators = j.base.Accelerators
	j.base = base
	if len(j.ready) > 0 {
		s.dequeue(j)
		s.enqueue(j)
	}
}

func ceilDivide(a, b int64) int64 { return (a + b - 1) / b }

// ceiling returns a limit with zero fields, which mean none, made unlimited.
func ceiling(r work.Resources) work.Resources {
	for _, v := range [...]*int64{&r.Processors, &r.Memory, &r.Accelerators} {
		if *v == 0 {
			*v = unlimited
		}
	}
	return r
}
