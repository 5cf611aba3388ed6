package job

import (
	"slices"
	"time"
)

// end applies the end of a run. A run that was given up but kept executing holds
// no reservation to release, but its success or failure still counts.
func (v *View) end(e *End, now time.Time, result *Result) {
	r, o, t := v.Find(e.Task)
	if e.Outcome != Lost { // the worker lists it
		v.dropOrphan(e.Worker, OrphanID{Task: e.Task, Run: e.Run, Life: e.Life})
	}
	if t == nil || e.Run > t.Run {
		return
	}
	s, p := &r.Job.Steps[e.Task.Step], &o.Steps[e.Task.Step]
	if t.Worker == e.Worker && t.Life == e.Life && t.Run == e.Run {
		v.release(r, e.Task, t)
	} else if e.Outcome != Done && e.Outcome != RunFailed {
		return
	}
	counted := slices.Contains(t.Counted, e.Run)
	if counted && e.Outcome != Done {
		return // a new leader lists ends again that were not acknowledged
	}
	if !counted && e.Outcome != Lost {
		t.Counted = append(t.Counted, e.Run)
	}
	if e.Saved != "" && e.Outcome != Done {
		t.Checkpoint = e.Saved
		if s.Gang {
			p.Checkpoint = e.Saved
		}
	}
	switch e.Outcome {
	case Done:
		v.completeTask(s, p, t)
	case RunFailed:
		v.countFailure(r, s, p, t, e.Run, now, result)
	case Lost:
		r.Unscheduled = r.unscheduled()
	}
	v.closeOccurrence(r, e.Task.Occurrence, o, now, result)
}

// unscheduled reports whether the job waits for its first start: it has no run, and it
// is not known that any of its former ones began.
func (r *Record) unscheduled() bool {
	if r.Status.Final() || r.Behind > 0 || len(r.Finished) > 0 {
		return false
	}
	for _, o := range r.Open {
		for i := range o.Steps {
			for k := range o.Steps[i].Tasks {
				if t := &o.Steps[i].Tasks[k]; t.Worker != "" || t.Done || len(t.Counted) > 0 {
					return false
				}
			}
		}
	}
	return true
}

// completeTask marks a task as done. A gang is done as a whole with the first of
// its members. A long-running task is never done.
func (v *View) completeTask(s *Step, p *Progress, t *Task) {
	if s.Lasting {
		return
	}
	if s.Gang {
		for i := range p.Tasks {
			p.Tasks[i].Done = true
		}
		p.Left = 0
		return
	}
	if !t.Done {
		t.Done = true
		p.Left--
	}
}

// countFailure counts a failed run and fails the job after too many. A failed run
// of a gang counts once, not once per member; see MergeFailures.
func (v *View) countFailure(r *Record, s *Step, p *Progress, t *Task, run int, now time.Time, result *Result) {
	if t.Done || s.Lasting {
		return
	}
	t.Faults++
	if s.Gang && p.FaultedRun != run {
		p.FaultedRun = run
		p.Faults++
		if !slices.Contains(p.FailedRuns, run) {
			p.FailedRuns = append(p.FailedRuns, run)
		}
	}
	if r.Spent(s, p, t) {
		v.finishJob(r, Failed, now, result)
	}
}

// MergeFailures changes the outcome of ends that are further failures of a gang's run, of which another
// member's failure is counted already, to GangBroken, which counts for nothing. Leaders propose ends in this form,
// since replicas of earlier builds compare a failed run with the one that was counted last only, and
// count an end that is listed late once more. The ends are in the order in which they will be applied.
func (v *View) MergeFailures(ends []End) {
	merged := map[StepID][]int{}
	for i := range ends {
		e := &ends[i]
		if e.Outcome != RunFailed {
			continue
		}
		r, o, t := v.Find(e.Task)
		if t == nil || !r.Job.Steps[e.Task.Step].Gang {
			continue
		}
		id := e.Task.StepID()
		if slices.Contains(merged[id], e.Run) || o.Steps[e.Task.Step].failureCounted(e.Run) {
			e.Outcome = GangBroken
			continue
		}
		merged[id] = append(merged[id], e.Run)
	}
}

// failureCounted reports whether a failure of a gang's run is counted in Faults. Where an earlier build
// counted, only the latest such run is known; a run counts then if any of its ends was counted.
func (p *Progress) failureCounted(run int) bool {
	if run == p.FaultedRun || slices.Contains(p.FailedRuns, run) {
		return true
	}
	if len(p.FailedRuns) >= p.Faults {
		return false
	}
	return slices.ContainsFunc(p.Tasks, func(t Task) bool { return slices.Contains(t.Counted, run) })
}

// Spent reports whether a task that is not done has failed as often as its queue allows now.
func (r *Record) Spent(s *Step, p *Progress, t *Task) bool {
	n := t.Faults
	if s.Gang {
		n = p.Faults
	}
	return !s.Lasting && !t.Done && n >= r.MaxFailures()
}

// closeOccurrence updates an occurrence after the end of a run: it marks the
// occurrence as done and completes the job if nothing is left, and drops state
// that is no longer needed.
func (v *View) closeOccurrence(r *Record, number int, o *Occurrence, now time.Time, result *Result) {
	if o.unfinishedSteps() == 0 && !r.Status.Final() && !r.Done(number) {
		if r.Finished == nil {
			r.Finished = map[int]bool{}
		}
		r.Finished[number] = true
		for r.Finished[r.Behind] {
			delete(r.Finished, r.Behind)
			r.Behind++
		}
		if r.Behind >= r.Job.Occurrences() {
			v.finishJob(r, Completed, now, result)
		}
	}
	if (r.Done(number) || r.Status.Final()) && !o.holdsWorkers() {
		delete(r.Open, number)
	}
	v.deactivate(r)
}

// finishJob sets the final state of a job.
func (v *View) finishJob(r *Record, s Status, now time.Time, result *Result) {
	if r.Status.Final() {
		return
	}
	r.Status, r.Over = s, now
	v.finished = append(v.finished, r.Job.ID)
	result.Ended = append(result.Ended, r.Job.ID)
	for n, o := range r.Open {
		if !o.holdsWorkers() {
			delete(r.Open, n)
		}
	}
	v.deactivate(r)
}

// deactivate drops the parts of a job that are no longer needed once it is
// finished and holds no reservations.
func (v *View) deactivate(r *Record) {
	if r.Status.Final() && len(r.Open) == 0 {
		delete(v.Active, r.Job.ID)
		r.Job.Payload, r.Finished, r.blank = "", nil, nil
	}
}
