package state

import (
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// maximumTasks bounds the tasks of one job, so that no single command
	// holds up the state machine.
	maximumTasks = 10_000
	// maximumCommand bounds the command line of a job, in bytes; every start
	// order carries it.
	maximumCommand = 64 << 10
	// failureLimit is how often a task may fail before its job fails.
	failureLimit = 4
	// jobRetention is how long a job that is over is kept for queries.
	jobRetention = time.Hour
)

// job is a job with counters over its tasks.
type job struct {
	work.Job
	queued   int
	running  int     // started or stopping
	failures []uint8 // by task; nil until the first failure
}

func (j *job) finished() bool {
	return j.State == work.JobSucceeded || j.State == work.JobFailed || j.State == work.JobCancelled
}

// submit adds a job. Its identity is the log index.
func (s *State) submit(c *Submit) Result {
	if r := s.feasible(c); r.Code != OK {
		return r
	}
	d := &c.Job
	e := s.entries[d.Entry]
	j := &job{Job: work.Job{
		ID: work.JobID(s.index), Entry: d.Entry, Team: d.Team, Class: e.Class, Urgent: d.Urgent, Size: d.Size,
		Command: d.Command, Submitted: s.now, State: work.JobQueued,
	}, queued: int(c.Count)}
	switch {
	case d.Finish.IsZero():
	case d.Submitted.IsZero():
		j.Finish = normal(d.Finish)
		if j.Finish.Before(s.now) {
			j.Finish = s.now
		}
	default: // the declared run time, counted from when the job is accepted
		j.Finish = s.now.Add(max(0, d.Finish.Sub(d.Submitted)))
	}
	j.Tasks = make([]work.Task, c.Count)
	for i := range j.Tasks {
		j.Tasks[i].ID = work.TaskID{Job: j.ID, Index: uint32(i)}
		j.Tasks[i].State = work.TaskQueued
	}
	s.jobs[j.ID] = j
	s.teams[j.Team].jobs[j.ID] = j
	e.queued += int64(c.Count)
	e.waiting[j.ID] = j
	s.emit(work.SubmitEvent{Job: &j.Job})
	return Result{Code: OK, Job: j.ID}
}

// feasible tells whether a job can be accepted: that its team may use the
// entry, and that its tasks fit the limits and at least one known worker.
// Workers that are gone for a short time count, because they may come back.
func (s *State) feasible(c *Submit) Result {
	d := &c.Job
	e, t := s.entries[d.Entry], s.teams[d.Team]
	switch {
	case e == nil || e.Retired:
		return Result{Code: NotFound, Message: "there is no entry " + d.Entry}
	case t == nil || t.Retired:
		return Result{Code: NotFound, Message: "there is no team " + d.Team}
	case !e.Open && e.Owner != d.Team:
		return Result{Code: Denied, Message: "the entry takes work of its owner only"}
	case c.Count == 0 || c.Count > maximumTasks:
		return invalid("the number of tasks is out of range")
	case len(d.Command) > maximumCommand:
		return invalid("the command is too long")
	case !validSize(d.Size):
		return invalid("the size of a task is out of range")
	}
	whole := d.Size
	count := int64(1)
	if e.Class == work.Gang {
		count = int64(c.Count)
		whole = d.Size.Times(count)
	}
	switch {
	case !d.Size.Within(e.Maximum):
		return infeasible("a task is larger than the entry allows")
	case !d.Size.Within(t.Limit):
		return infeasible("a task is larger than the limit of the team")
	case !whole.Within(t.Limit):
		return infeasible("the gang is larger than the limit of the team")
	case t.Tasks > 0 && count > t.Tasks:
		return infeasible("the gang has more tasks than the team may run")
	case e.Tasks > 0 && count > e.Tasks:
		return infeasible("the gang has more tasks than the entry may run")
	case !s.fits(d.Size, d.Team, e.Open):
		return infeasible("a task is larger than the largest worker that takes work of the team")
	}
	return Result{Code: OK}
}

func infeasible(message string) Result { return Result{Code: Infeasible, Message: message} }

// fits reports whether a worker of any known shape could hold a task, or no
// worker is known.
func (s *State) fits(size work.Resources, team string, open bool) bool {
	if len(s.shapes) == 0 {
		return true
	}
	for shape := range s.shapes {
		if size.Fits(shape.capacity) && (open || shape.team == "" || shape.team == team) {
			return true
		}
	}
	return false
}

// Preview returns the result that a submission would have if that is known
// without a log entry: the kept result of a resend, or a refusal.
func (s *State) Preview(command Command) (Result, bool) {
	if command.Submit == nil {
		return Result{}, false
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if book, key := s.ledgerOf(&command); book != nil && book.find(key) != nil {
		return Result{}, false
	}
	r := s.feasible(command.Submit)
	return r, r.Code != OK
}

// cancel cancels jobs. Jobs that are over, or not the team's, are left out of
// the count.
func (s *State) cancel(c *Cancel) Result {
	n, found := 0, false
	for _, id := range c.Jobs {
		j := s.jobs[id]
		if j == nil || c.Team != "" && j.Team != c.Team {
			continue
		}
		found = true
		if !j.finished() {
			s.finish(j, work.JobCancelled, "")
			n++
		}
	}
	if !found {
		return Result{Code: NotFound, Message: "there is no such job"}
	}
	return Result{Code: OK, Count: n}
}

// finish ends a job. Queued tasks end at once; started ones are stopped and
// keep their reservations until their workers report the end.
func (s *State) finish(j *job, state work.JobState, reason string) {
	j.State, j.Reason, j.Ended = state, reason, s.now
	e := s.entries[j.Entry]
	e.queued -= int64(j.queued)
	delete(e.waiting, j.ID)
	j.queued = 0
	for i := range j.Tasks {
		t := &j.Tasks[i]
		switch {
		case t.State == work.TaskQueued:
			t.State = work.TaskEnded
		case t.State == work.TaskStarted, t.State == work.TaskStopping && t.Stop != work.StopKill:
			s.stop(j, t, work.StopKill)
		}
	}
	s.emit(work.FinishEvent{Job: &j.Job})
	s.retire(j)
}

// retire puts a job that is over and holds nothing in line for removal.
func (s *State) retire(j *job) {
	if j.finished() && j.running == 0 {
		s.ended.push(due[work.JobID]{j.ID, s.now.Add(jobRetention)})
	}
}

func (s *State) stop(j *job, t *work.Task, mode work.StopMode) {
	t.State, t.Stop = work.TaskStopping, mode
	s.emit(work.StopEvent{Job: &j.Job, Task: t})
}

// stopGang stops the members of a gang that are running, so that it can start
// again as a whole.
func (s *State) stopGang(j *job, mode work.StopMode) {
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.State == work.TaskStarted {
			s.stop(j, t, mode)
		}
	}
}

// ends applies reports of runs that are over.
func (s *State) ends(c *Ends) Result {
	n := 0
	for _, e := range c.Ends {
		j := s.jobs[e.Task.Job]
		if j == nil || e.Task.Index >= uint32(len(j.Tasks)) {
			continue
		}
		t := &j.Tasks[e.Task.Index]
		if t.State != work.TaskStarted && t.State != work.TaskStopping || t.Token != e.Token && s.on(guardToken) {
			continue
		}
		s.end(j, t, e.Outcome)
		n++
	}
	return Result{Code: OK, Count: n}
}

// end ends the run of a task: its reservation is freed, and the task is over or
// queued again.
func (s *State) end(j *job, t *work.Task, outcome work.Outcome) {
	worker, reserved := t.Worker, t.Reserved
	s.release(j, t)
	j.running--
	t.Worker, t.Reserved, t.Stop, t.Outcome = "", work.Resources{}, work.StopNone, outcome
	if outcome == work.OutcomeCheckpointed {
		t.Checkpoint = true
	}
	exhausted := s.failed(j, t, outcome)
	again := !j.finished() && !exhausted && s.again(j, outcome)
	if again {
		s.enqueue(j, t)
	} else {
		t.State = work.TaskEnded
	}
	s.emit(work.EndEvent{Job: &j.Job, Task: t, Worker: worker, Reserved: reserved, Outcome: outcome, Requeued: again, At: s.now})
	switch {
	case j.finished():
		s.retire(j)
	case exhausted:
		s.finish(j, work.JobFailed, "a task failed too often")
	case again && j.Class == work.Gang:
		s.restartGang(j)
	case j.queued == 0 && j.running == 0:
		s.finish(j, work.JobSucceeded, "")
	}
}

// failed counts a failed run and reports whether the job has failed with it.
// Losses and stops do not count. A service never fails.
func (s *State) failed(j *job, t *work.Task, outcome work.Outcome) bool {
	switch outcome {
	case work.OutcomeSucceeded, work.OutcomeCheckpointed, work.OutcomeStopped, work.OutcomeLost:
		return false
	}
	if j.finished() {
		return false
	}
	j.Failures++
	if j.failures == nil {
		j.failures = make([]uint8, len(j.Tasks))
	}
	n := &j.failures[t.ID.Index]
	*n = min(*n+1, failureLimit)
	return *n == failureLimit && j.Class != work.Service
}

// again reports whether a task whose run is over is queued again. A member of
// a gang that is being restarted runs again even if it has succeeded.
func (s *State) again(j *job, outcome work.Outcome) bool {
	return outcome != work.OutcomeSucceeded || j.Class == work.Service || j.Class == work.Gang && j.queued > 0
}

func (s *State) enqueue(j *job, t *work.Task) {
	t.State = work.TaskQueued
	j.queued++
	e := s.entries[j.Entry]
	e.queued++
	e.waiting[j.ID] = j
}

// restartGang brings every other member of a gang back into the queue after
// one of them has come back. Members that have succeeded are announced with an
// end on no worker, since they hold nothing.
func (s *State) restartGang(j *job) {
	for i := range j.Tasks {
		t := &j.Tasks[i]
		switch t.State {
		case work.TaskStarted:
			s.stop(j, t, work.StopKill)
		case work.TaskEnded:
			s.enqueue(j, t)
			s.emit(work.EndEvent{Job: &j.Job, Task: t, Outcome: work.OutcomeStopped, Requeued: true, At: s.now})
		}
	}
}

// release frees what a started task holds on its worker and of its limits.
func (s *State) release(j *job, t *work.Task) {
	s.workers[t.Worker].remove(t.ID, t.Reserved)
	m, e := s.teams[j.Team], s.entries[j.Entry]
	m.reserved = m.reserved.Sub(t.Reserved)
	m.running--
	e.running--
}
