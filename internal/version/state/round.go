package state

import (
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// applyRound applies the decisions of a scheduling round in order. Within a
// decision, stops come first, then refusals, then starts.
func (s *State) applyRound(c *Round) Result {
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
				s.finishJob(j, work.JobFailed, f.Reason)
			}
		}
		if d.Atomic {
			s.startAtomically(d.Starts, reject)
			continue
		}
		for _, a := range d.Starts {
			if reason := s.checkStart(a, false); reason != "" {
				reject(a.Task, reason)
				continue
			}
			s.reserve(a)
			s.emitStart(a.Task)
		}
	}
	return r
}

// startAtomically starts all tasks or none. Each start is checked with the
// earlier ones reserved, and all are undone if one fails.
func (s *State) startAtomically(starts []work.Start, reject func(work.TaskID, string)) {
	var before []work.Task
	for _, a := range starts {
		reason := s.checkStart(a, true)
		if reason == "" {
			before = append(before, *s.task(a.Task))
			s.reserve(a)
			continue
		}
		if s.enabled(guardAtomic) {
			for i := len(before) - 1; i >= 0; i-- {
				s.undoReserve(before[i])
			}
			reject(a.Task, reason)
			return
		}
		reject(a.Task, reason)
	}
	if reason := s.checkGangsComplete(starts); reason != "" && s.enabled(guardAtomic) {
		for i := len(before) - 1; i >= 0; i-- {
			s.undoReserve(before[i])
		}
		reject(starts[0].Task, reason)
		return
	}
	for _, u := range before {
		s.emitStart(u.ID)
	}
}

// checkGangsComplete returns a reason if a gang still has a member that is not
// running after all starts are reserved, or an empty string.
func (s *State) checkGangsComplete(starts []work.Start) string {
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

// checkStart returns the reason why a start cannot be applied now, or an empty
// string. It is the only place where the limits are enforced.
func (s *State) checkStart(a work.Start, atomic bool) string {
	t := s.task(a.Task)
	w := s.workers[a.Worker]
	switch {
	case t == nil:
		return "there is no such task"
	case w == nil:
		return "there is no such worker"
	case t.State != work.TaskQueued && s.enabled(guardSingleCopy):
		return "the task is not queued"
	case w.Gone && s.enabled(guardGone):
		return "the worker is gone"
	case w.Boot != a.Boot && s.enabled(guardBoot):
		return "the worker has booted anew"
	case w.Drained && s.enabled(guardDrained):
		return "the worker is drained"
	case !validSize(a.Reserved):
		return "the reserved size is not valid"
	}
	j := s.jobs[a.Task.Job]
	tm, e := s.teams[j.Team], s.entries[j.Entry]
	switch {
	case w.Team != "" && w.Team != j.Team && !e.Open && s.enabled(guardDedicated):
		return "the worker is dedicated to another team"
	case j.Class == work.Gang && !atomic && s.enabled(guardAtomic):
		return "a gang starts as a whole"
	case !w.reserved.Add(a.Reserved).Fits(w.Capacity) && s.enabled(guardCapacity):
		return "the worker has too little free capacity"
	case !tm.reserved.Add(a.Reserved).Within(tm.Limit) && s.enabled(guardTeamSize):
		return "the team is at its limit"
	case tm.Tasks > 0 && tm.running >= tm.Tasks && s.enabled(guardTeamTasks):
		return "the team is at its limit of tasks"
	case e.Tasks > 0 && e.running >= e.Tasks && s.enabled(guardEntryTasks):
		return "the entry is at its limit of tasks"
	}
	return ""
}

// reserve starts a task that passed the checks, without notifying observers.
func (s *State) reserve(a work.Start) {
	j := s.jobs[a.Task.Job]
	t := &j.Tasks[a.Task.Index]
	tm, e := s.teams[j.Team], s.entries[j.Entry]
	t.State, t.Worker, t.Reserved = work.TaskStarted, a.Worker, a.Reserved
	t.Token, t.Started, t.Stop = work.Token(s.index), s.now, work.StopNone
	t.Attempts++
	s.workers[a.Worker].addRun(run{j, a.Task.Index})
	tm.reserved = tm.reserved.Add(a.Reserved)
	tm.running++
	e.running++
	j.running++
	if j.queued--; j.queued == 0 {
		delete(e.queuedJobs, j.ID)
	}
	e.queued--
}

// undoReserve reverts reserve. The task is passed as it was before the call.
func (s *State) undoReserve(before work.Task) {
	j := s.jobs[before.ID.Job]
	t := &j.Tasks[before.ID.Index]
	s.releaseReservation(j, t)
	j.running--
	*t = before
	s.enqueue(j, t)
}

// emitStart notifies observers of the start of a reserved task.
func (s *State) emitStart(id work.TaskID) {
	j := s.jobs[id.Job]
	if j.State == work.JobQueued {
		j.State = work.JobRunning
	}
	s.emit(work.StartEvent{Job: &j.Job, Task: &j.Tasks[id.Index]})
}

// preempt stops a task and the other started members of its gang. It returns the
// reason if the stop is rejected, or an empty string.
func (s *State) preempt(p work.Stop) string {
	t := s.task(p.Task)
	if t == nil {
		return "there is no such task"
	}
	j := s.jobs[p.Task.Job]
	switch {
	case p.Mode != work.StopCheckpoint && p.Mode != work.StopKill:
		return "the mode of the stop is not known"
	case t.Token != p.Token && s.enabled(guardToken):
		return "the token is not current"
	case t.State == work.TaskStopping && t.Stop == work.StopCheckpoint && p.Mode == work.StopKill:
	case t.State != work.TaskStarted:
		return "the task is not running"
	}
	s.stopTask(j, t, p.Mode)
	if j.Class == work.Gang {
		s.stopGangMembers(j, p.Mode)
	}
	return ""
}
