package state

import (
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// round applies the decisions of a scheduling round in their order: stops and
// refusals first, then the starts.
func (s *State) round(c *Round) Result {
	r := Result{Code: OK}
	for i := range c.Decisions {
		d := &c.Decisions[i]
		reject := func(id work.TaskID, reason string) {
			r.Rejects = append(r.Rejects, Reject{Decision: i, Task: id, Reason: reason})
		}
		for _, p := range d.Stops {
			if reason := s.preempt(p); reason != "" {
				reject(p.Task, reason)
			}
		}
		for _, f := range d.Refuse {
			if j := s.jobs[f.Job]; j == nil || j.finished() {
				reject(work.TaskID{Job: f.Job}, "the job is over")
			} else {
				s.finish(j, work.JobFailed, f.Reason)
			}
		}
		if d.Atomic {
			s.startAll(d.Starts, reject)
			continue
		}
		for _, a := range d.Starts {
			if reason := s.check(a, false); reason != "" {
				reject(a.Task, reason)
				continue
			}
			s.reserve(a)
			s.announce(a.Task)
		}
	}
	return r
}

// startAll starts all tasks or none. Each start is checked with the ones before
// it reserved, and all are undone if one fails.
func (s *State) startAll(starts []work.Start, reject func(work.TaskID, string)) {
	var undo []work.Task
	for _, a := range starts {
		reason := s.check(a, true)
		if reason == "" {
			undo = append(undo, *s.task(a.Task))
			s.reserve(a)
			continue
		}
		if s.on(guardAtomic) {
			for i := len(undo) - 1; i >= 0; i-- {
				s.undo(undo[i])
			}
			reject(a.Task, reason)
			return
		}
		reject(a.Task, reason)
	}
	if reason := s.whole(starts); reason != "" && s.on(guardAtomic) {
		for i := len(undo) - 1; i >= 0; i-- {
			s.undo(undo[i])
		}
		reject(starts[0].Task, reason)
		return
	}
	for _, u := range undo {
		s.announce(u.ID)
	}
}

// whole returns a reason if the starts, all reserved, leave a member of a gang
// behind.
func (s *State) whole(starts []work.Start) string {
	for _, a := range starts {
		if j := s.jobs[a.Task.Job]; j != nil && j.Class == work.Gang && j.running < len(j.Tasks) {
			return "the gang is not complete"
		}
	}
	return ""
}

func (s *State) task(id work.TaskID) *work.Task {
	j := s.jobs[id.Job]
	if j == nil || id.Index >= uint32(len(j.Tasks)) {
		return nil
	}
	return &j.Tasks[id.Index]
}

// check returns why a start cannot be applied now, or an empty string. It is
// the one place where the limits are enforced.
func (s *State) check(a work.Start, atomic bool) string {
	t := s.task(a.Task)
	w := s.workers[a.Worker]
	switch {
	case t == nil:
		return "there is no such task"
	case w == nil:
		return "there is no such worker"
	case t.State != work.TaskQueued && s.on(guardCopy):
		return "the task is not queued"
	case w.Gone && s.on(guardGone):
		return "the worker is gone"
	case w.Boot != a.Boot && s.on(guardBoot):
		return "the worker has booted anew"
	case w.Drained && s.on(guardDrained):
		return "the worker is drained"
	case !validSize(a.Reserved):
		return "the reserved size is not valid"
	}
	j := s.jobs[a.Task.Job]
	m, e := s.teams[j.Team], s.entries[j.Entry]
	switch {
	case w.Team != "" && w.Team != j.Team && !e.Open && s.on(guardDedicated):
		return "the worker is dedicated to another team"
	case j.Class == work.Gang && !atomic && s.on(guardAtomic):
		return "a gang starts as a whole"
	case !w.reserved.Add(a.Reserved).Fits(w.Capacity) && s.on(guardCapacity):
		return "the worker has too little free capacity"
	case !m.reserved.Add(a.Reserved).Within(m.Limit) && s.on(guardTeamSize):
		return "the team is at its limit"
	case m.Tasks > 0 && m.running >= m.Tasks && s.on(guardTeamTasks):
		return "the team is at its limit of tasks"
	case e.Tasks > 0 && e.running >= e.Tasks && s.on(guardEntryTasks):
		return "the entry is at its limit of tasks"
	}
	return ""
}

// reserve starts a task that passed the checks, without telling observers.
func (s *State) reserve(a work.Start) {
	j := s.jobs[a.Task.Job]
	t := &j.Tasks[a.Task.Index]
	m, e := s.teams[j.Team], s.entries[j.Entry]
	t.State, t.Worker, t.Reserved = work.TaskStarted, a.Worker, a.Reserved
	t.Token, t.Started, t.Stop = work.Token(s.index), s.now, work.StopNone
	t.Attempts++
	s.workers[a.Worker].add(run{j, a.Task.Index})
	m.reserved = m.reserved.Add(a.Reserved)
	m.running++
	e.running++
	j.running++
	if j.queued--; j.queued == 0 {
		delete(e.waiting, j.ID)
	}
	e.queued--
}

// undo takes back a reserve, given the task as it was before.
func (s *State) undo(before work.Task) {
	j := s.jobs[before.ID.Job]
	t := &j.Tasks[before.ID.Index]
	s.release(j, t)
	j.running--
	*t = before
	s.enqueue(j, t)
}

// announce tells observers of a task that was reserved.
func (s *State) announce(id work.TaskID) {
	j := s.jobs[id.Job]
	if j.State == work.JobQueued {
		j.State = work.JobRunning
	}
	s.emit(work.StartEvent{Job: &j.Job, Task: &j.Tasks[id.Index]})
}

// preempt stops a task, and with it the other members of its gang. It returns
// why not, or an empty string.
func (s *State) preempt(p work.Stop) string {
	t := s.task(p.Task)
	if t == nil {
		return "there is no such task"
	}
	j := s.jobs[p.Task.Job]
	switch {
	case p.Mode != work.StopCheckpoint && p.Mode != work.StopKill:
		return "the mode of the stop is not known"
	case t.Token != p.Token && s.on(guardToken):
		return "the token is not current"
	case t.State == work.TaskStopping && t.Stop == work.StopCheckpoint && p.Mode == work.StopKill:
	case t.State != work.TaskStarted:
		return "the task is not running"
	}
	s.stop(j, t, p.Mode)
	if j.Class == work.Gang {
		s.stopGang(j, p.Mode)
	}
	return ""
}
