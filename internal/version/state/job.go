package state

import (
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/crash"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// maxTasksPerJob bounds the tasks of one job, so that a single command does
	// not block the state machine for long.
	maxTasksPerJob = 10_000
	// maxCommandBytes bounds the command line of a job, in bytes, because every
	// start order carries it.
	maxCommandBytes = 64 << 10
	// maxTaskFailures is the number of failed runs of one task at which its job
	// fails.
	maxTaskFailures = 4
	// jobRetention is how long a finished job is kept for queries.
	jobRetention = time.Hour
)

// job is a job with counters over its tasks.
type job struct {
	work.Job
	queued   int
	running  int                      // started or stopping
	failures []uint8                  // by task; nil until the first failure
	crashes  map[uint32]*crash.Record // by task; nil until the first crash of a worker
}

func (j *job) finished() bool {
	return j.State == work.JobSucceeded || j.State == work.JobFailed || j.State == work.JobCancelled
}

// submit adds a job. Its ID is the log index of the command.
func (s *State) submit(c *Submit) Result {
	if r := s.checkSubmit(c); r.Code != OK {
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
		j.Finish = normalizeTime(d.Finish)
		if j.Finish.Before(s.now) {
			j.Finish = s.now
		}
	default: // keep the declared run time, counted from now
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
	e.queuedJobs[j.ID] = j
	s.emit(work.SubmitEvent{Job: &j.Job})
	return Result{Code: OK, Job: j.ID}
}

// checkSubmit checks whether a job can be accepted: its team may use the entry,
// and its tasks fit the limits and at least one known worker. Workers that
// departed recently count, because they may return.
func (s *State) checkSubmit(c *Submit) Result {
	d := &c.Job
	e, t := s.entries[d.Entry], s.teams[d.Team]
	switch {
	case e == nil || e.Retired:
		return Result{Code: NotFound, Message: "there is no entry " + d.Entry}
	case t == nil || t.Retired:
		return Result{Code: NotFound, Message: "there is no team " + d.Team}
	case !e.Open && e.Owner != d.Team:
		return Result{Code: Denied, Message: "the entry takes work of its owner only"}
	case c.Count == 0 || c.Count > maxTasksPerJob:
		return invalid("the number of tasks is out of range")
	case len(d.Command) > maxCommandBytes:
		return invalid("the command is too long")
	case !validSize(d.Size):
		return invalid("the size of a task is out of range")
	}
	total := d.Size
	count := int64(1)
	if e.Class == work.Gang {
		count = int64(c.Count)
		total = d.Size.Times(count)
	}
	switch {
	case !d.Size.Within(e.Maximum):
		return infeasible("a task is larger than the entry allows")
	case !d.Size.Within(t.Limit):
		return infeasible("a task is larger than the limit of the team")
	case !total.Within(t.Limit):
		return infeasible("the gang is larger than the limit of the team")
	case t.Tasks > 0 && count > t.Tasks:
		return infeasible("the gang has more tasks than the team may run")
	case e.Tasks > 0 && count > e.Tasks:
		return infeasible("the gang has more tasks than the entry may run")
	case !s.fitsAnyWorker(d.Size, d.Team, e.Open):
		return infeasible("a task is larger than the largest worker that takes work of the team")
	}
	return Result{Code: OK}
}

func infeasible(message string) Result { return Result{Code: Infeasible, Message: message} }

// fitsAnyWorker reports whether a worker of any known shape could hold a task.
// It returns true if no worker is known.
func (s *State) fitsAnyWorker(size work.Resources, team string, open bool) bool {
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

// Preview returns the refusal that a submission would get, so that it needs no
// log entry. It returns false for a submission that would be accepted, for a
// retry whose result is stored, and for other commands.
func (s *State) Preview(command Command) (Result, bool) {
	if command.Submit == nil {
		return Result{}, false
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if results, key := s.dedupTableFor(&command); results != nil && results.get(key) != nil {
		return Result{}, false
	}
	r := s.checkSubmit(command.Submit)
	return r, r.Code != OK
}

// cancel cancels jobs. Finished jobs and jobs of other teams are not counted.
func (s *State) cancel(c *Cancel) Result {
	n, found := 0, false
	for _, id := range c.Jobs {
		j := s.jobs[id]
		if j == nil || c.Team != "" && j.Team != c.Team {
			continue
		}
		found = true
		if !j.finished() {
			s.finishJob(j, work.JobCancelled, "")
			n++
		}
	}
	if !found {
		return Result{Code: NotFound, Message: "there is no such job"}
	}
	return Result{Code: OK, Count: n}
}

// finishJob moves a job to a final state. Queued tasks end at once. Started ones
// are stopped, and keep their reservations until their workers report the end.
func (s *State) finishJob(j *job, state work.JobState, reason string) {
	j.State, j.Reason, j.Ended = state, reason, s.now
	e := s.entries[j.Entry]
	e.queued -= int64(j.queued)
	delete(e.queuedJobs, j.ID)
	j.queued = 0
	for i := range j.Tasks {
		t := &j.Tasks[i]
		switch {
		case t.State == work.TaskQueued:
			t.State = work.TaskEnded
		case t.State == work.TaskStarted, t.State == work.TaskStopping && t.Stop != work.StopKill:
			s.stopTask(j, t, work.StopKill)
		}
	}
	s.emit(work.FinishEvent{Job: &j.Job})
	s.scheduleRemoval(j)
}

// scheduleRemoval queues a finished job without running tasks for removal after
// jobRetention.
func (s *State) scheduleRemoval(j *job) {
	if j.finished() && j.running == 0 {
		s.endedJobs.push(expiring[work.JobID]{j.ID, s.now.Add(jobRetention)})
	}
}

func (s *State) stopTask(j *job, t *work.Task, mode work.StopMode) {
	t.State, t.Stop = work.TaskStopping, mode
	s.emit(work.StopEvent{Job: &j.Job, Task: t})
}

// stopGangMembers stops the started members of a gang, so that the gang can
// start again as a whole.
func (s *State) stopGangMembers(j *job, mode work.StopMode) {
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.State == work.TaskStarted {
			s.stopTask(j, t, mode)
		}
	}
}

// applyEnds applies reports of ended runs.
func (s *State) applyEnds(c *Ends) Result {
	n := 0
	for _, e := range c.Ends {
		j := s.jobs[e.Task.Job]
		if j == nil || e.Task.Index >= uint32(len(j.Tasks)) {
			continue
		}
		t := &j.Tasks[e.Task.Index]
		if t.State != work.TaskStarted && t.State != work.TaskStopping || t.Token != e.Token && s.enabled(guardToken) {
			continue
		}
		s.endRun(j, t, e.Outcome)
		n++
	}
	return Result{Code: OK, Count: n}
}

// endRun ends the run of a task: its reservation is released, and the task is
// ended or queued again.
func (s *State) endRun(j *job, t *work.Task, outcome work.Outcome) {
	worker, reserved := t.Worker, t.Reserved
	s.releaseReservation(j, t)
	j.running--
	t.Worker, t.Reserved, t.Stop, t.Outcome = "", work.Resources{}, work.StopNone, outcome
	if outcome == work.OutcomeCheckpointed {
		t.Checkpoint = true
	}
	exhausted := s.countFailure(j, t, outcome)
	requeue := !j.finished() && !exhausted && s.shouldRequeue(j, outcome)
	if requeue {
		s.enqueue(j, t)
	} else {
		t.State = work.TaskEnded
	}
	s.emit(work.EndEvent{Job: &j.Job, Task: t, Worker: worker, Reserved: reserved, Outcome: outcome, Requeued: requeue, At: s.now})
	switch {
	case j.finished():
		s.scheduleRemoval(j)
	case exhausted:
		s.finishJob(j, work.JobFailed, "a task failed too often")
	case requeue && j.Class == work.Gang:
		s.requeueGang(j)
	case j.queued == 0 && j.running == 0:
		s.finishJob(j, work.JobSucceeded, "")
	}
}

// countFailure counts a failed run and reports whether it makes the job fail.
// Runs that succeeded, were checkpointed, stopped or lost, or belong to a
// finished job do not count. A service never fails.
func (s *State) countFailure(j *job, t *work.Task, outcome work.Outcome) bool {
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
	*n = min(*n+1, maxTaskFailures)
	return *n == maxTaskFailures && j.Class != work.Service
}

// shouldRequeue reports whether a task whose run has ended is queued again. A
// member of a gang that is being restarted runs again even if it succeeded.
func (s *State) shouldRequeue(j *job, outcome work.Outcome) bool {
	return outcome != work.OutcomeSucceeded || j.Class == work.Service || j.Class == work.Gang && j.queued > 0
}

func (s *State) enqueue(j *job, t *work.Task) {
	t.State = work.TaskQueued
	j.queued++
	e := s.entries[j.Entry]
	e.queued++
	e.queuedJobs[j.ID] = j
}

// requeueGang restarts the other members of a gang after one of them was queued
// again: started members are stopped and ended members are queued. An ended
// member holds no reservation, so its EndEvent names no worker.
func (s *State) requeueGang(j *job) {
	for i := range j.Tasks {
		t := &j.Tasks[i]
		switch t.State {
		case work.TaskStarted:
			s.stopTask(j, t, work.StopKill)
		case work.TaskEnded:
			s.enqueue(j, t)
			s.emit(work.EndEvent{Job: &j.Job, Task: t, Outcome: work.OutcomeStopped, Requeued: true, At: s.now})
		}
	}
}

// releaseReservation releases the reservation of a started task on its worker
// and subtracts the task from the usage of its team and entry.
func (s *State) releaseReservation(j *job, t *work.Task) {
	s.workers[t.Worker].removeRun(t.ID, t.Reserved)
	tm, e := s.teams[j.Team], s.entries[j.Entry]
	tm.reserved = tm.reserved.Sub(t.Reserved)
	tm.running--
	e.running--
}
