package dispatch

import (
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Deadlines of waits. Each derives from bounds of the platform and from what was sent before the
// wait: it is computed once, and again only for another copy of the start, or for a lease
// without an answer.

// copiesOver returns when no copy of a start is carried out or executed any more, and what was sent
// latest from which that derives.
func (t *term) copiesOver(d *doubts, key orphan) (until, sent time.Time) {
	s := d.starts[key]
	return t.doubtOver(d, s, lateOrderTime), t.latestSent(d, s.sent)
}

// runOver returns when a run without an answer to a copy of its start is over, and what was sent
// latest from which that derives. Both are zero if there is no such copy.
func (t *term) runOver(r *run) (until, sent time.Time) {
	if d := t.doubts[r.worker.ID]; d != nil {
		if s, unclear := d.starts[orphan{r.id, r.number}]; unclear {
			until, sent = t.overAt(d, r), t.latestSent(d, s.sent)
		}
	}
	return until, sent
}

// stopOver returns when a run that is being stopped is over: the worker stops it, or it gets no
// further lease.
func (t *term) stopOver(r *run) time.Time {
	until, _ := t.runOver(r)
	return later(until, r.stopSince().Add(t.timing().StopTime).Add(t.longestLease()))
}

// stopSince returns since when the worker has been stopping a run, or was first asked to.
func (r *run) stopSince() time.Time { return later(r.stoppingSince, r.stopAcceptedAt) }

// startOver returns when the outcome of a start is known, or the run is being stopped.
func startOver(r *run) time.Time {
	return r.committedAt.Add(startRetryTimeout + orderTimeout + listTimeoutMargin)
}

// noteWaits classifies the waits of the tasks that the round has looked at, at most once in
// waitCheckInterval. The caller holds both locks.
func (t *term) noteWaits(v *job.View, plan *fit.Plan, room map[string]work.Resources, now time.Time) {
	gap := now.Sub(t.waits.checked)
	if gap < waitCheckInterval {
		return
	}
	t.waits.begin(now)
	t.noteRuns(v, now)
	planned := t.notePlan(plan)
	for _, r := range v.Active {
		if r.Status.Final() {
			continue
		}
		for _, number := range t.due(r, room[r.Queue.Pool], now) {
			if o := r.Peek(number); o != nil {
				t.noteOccurrence(r, o, number, planned, now)
			}
		}
	}
	t.finishWaits(gap)
}

// noteRuns records the tasks whose run does not execute as far as is known.
func (t *term) noteRuns(v *job.View, now time.Time) {
	formers := map[*run]*run{}
	for _, w := range t.workers {
		for _, o := range w.orphans {
			if o.former != nil {
				formers[o.former] = o
			}
		}
	}
	for id, r := range t.runs {
		k, waits := t.runWait(r, formers[r], now)
		if !waits {
			continue
		}
		if record, _, task := v.Find(id); task == nil || task.Done || record.Status.Final() {
			continue
		}
		k.run, k.worker = r.number, r.worker.ID
		t.waits.add(id, k)
	}
}

// runWait returns what the task of a run waits for, if it does not execute. The orphan is that of the
// worker's next incarnation.
func (t *term) runWait(r, orphan *run, now time.Time) (taskWait, bool) {
	w := r.worker
	unheard := t.workers[w.ID] != w || w.missed > 0 || w.refuses
	switch {
	case r.endQueued:
		return taskWait{wait: WaitCommit}, true
	case orphan != nil:
		until := later(orphan.until, orphan.worker.leaseExpiry())
		return taskWait{wait: WaitFormer, since: orphan.stoppingSince, cause: orphan.stoppingSince, until: later(until, t.stopOver(orphan))}, true
	case !r.keptSince.IsZero() && unheard:
		until, sent := t.runOver(r)
		return taskWait{wait: WaitKept, since: r.keptSince, cause: sent, until: until}, true
	case r.stopping:
		return taskWait{wait: WaitStopping, since: r.stoppingSince, cause: r.stopSince(), until: t.stopOver(r)}, true
	case r.startResolvedAt.IsZero():
		return taskWait{wait: WaitStarting, since: r.committedAt, cause: r.committedAt, until: startOver(r)}, true
	case w.silent(now) || w.refuses:
		return taskWait{wait: WaitLease, cause: w.leaseEnd, until: w.leaseExpiry()}, true
	}
	return taskWait{}, false
}

// planKey identifies the demands of a step that are not bound to a worker.
type planKey struct {
	step  job.StepID
	trial bool
}

// notePlan counts the tasks that wait for a reason that the planner knows. It returns which
// demands the plan starts or explains.
func (t *term) notePlan(plan *fit.Plan) map[planKey]bool {
	planned := map[planKey]bool{}
	for i := range plan.Starts {
		d := plan.Starts[i].Demand
		planned[planKey{d.Step, d.Trial}] = true
	}
	for i := range plan.Blocks {
		b := &plan.Blocks[i]
		d, w := b.Demand, blockWait(b)
		if d.Only != "" {
			continue
		}
		planned[planKey{d.Step, d.Trial}] = true
		if w != WaitAvoided {
			t.waits.counts[w] += len(b.Left())
			continue
		}
		until := t.step(d.Step).avoidsUntil()
		for _, index := range b.Left() {
			t.waits.add(d.Step.Task(index), taskWait{wait: w, run: d.Progress.Tasks[index].Run, cause: until, until: until})
		}
	}
	return planned
}

// avoidsUntil returns when the step avoids no worker any more.
func (s *stepState) avoidsUntil() time.Time {
	var until time.Time
	for _, at := range s.avoidUntil {
		until = later(until, at)
	}
	return until
}

// blockWait returns the wait of a demand's tasks.
func blockWait(b *fit.Block) Wait {
	switch {
	case b.Demand.Only != "":
		return WaitBound
	case b.Reason == fit.NextPlan:
		return WaitRound
	case b.Reason == fit.AtLimit:
		return WaitLimit
	case b.Reason == fit.NoAdvice:
		return WaitAdvice
	case b.Reason == fit.NoneAllowed:
		return WaitDenied
	case b.Reason == fit.UrgentHeadroom:
		return WaitHeadroom
	case b.Reason == fit.NoSuitableWorker && len(b.Demand.Avoid) > 0:
		return WaitAvoided
	case b.Reason == fit.NoSuitableWorker:
		return WaitUnsuitable
	case b.Demand.Trial:
		return WaitTrial
	}
	return WaitRoom
}

// noteOccurrence records the tasks without a run that the planner does not explain.
func (t *term) noteOccurrence(r *job.Record, o *job.Occurrence, number int, planned map[planKey]bool, now time.Time) {
	for index := range r.Job.Steps {
		s, p := &r.Job.Steps[index], &o.Steps[index]
		if p.Left == 0 || !r.Ready(o, index) {
			continue
		}
		id := job.StepID{Job: r.Job.ID, Occurrence: number, Step: index}
		free := 0 // tasks that nothing but the planner keeps from starting
		for i := range p.Tasks {
			if k := &p.Tasks[i]; k.Worker != "" || k.Done {
				continue
			}
			if w, waits := t.idleWait(p, s, id.Task(i), now); waits {
				t.waits.add(id.Task(i), w)
			} else {
				free++
			}
		}
		switch {
		case free == 0:
		case s.Gang && free < len(p.Tasks):
			t.noteGang(p, id)
		default:
			t.noteUnplanned(p, s, id, planned)
		}
	}
}

// idleWait returns what keeps a task without a run from the planner.
func (t *term) idleWait(p *job.Progress, s *job.Step, id job.TaskID, now time.Time) (taskWait, bool) {
	k := &p.Tasks[id.Index]
	n := taskWait{run: k.Run}
	name, waits := t.boundTo(p, s, id)
	switch {
	case p.Faulty(s, k):
		n.wait, n.until = WaitVerdict, t.verdicts[id]
		return n, true
	case p.Paused(s, k, now):
		n.wait, n.cause = WaitPaused, p.PausedUntil(s, k)
		n.until = n.cause
		return n, true
	case waits || name != "":
		n.wait = WaitCopies
		if name != "" {
			n.wait = WaitBound
		}
		n.worker, n.until, n.cause = t.latestCopy(id)
		return n, true
	}
	return n, false
}

// latestCopy returns, of all copies of a task's starts without an answer, the worker of the one that lasts
// longest, its deadline and when it was sent.
func (t *term) latestCopy(id job.TaskID) (worker string, until, sent time.Time) {
	for _, d := range t.unclear[id] {
		for key := range d.starts {
			if key.task != id {
				continue
			}
			if end, at := t.copiesOver(d, key); end.After(until) {
				worker, until, sent = d.worker, end, at
			}
		}
	}
	return worker, until, sent
}

// noteGang records the members of a gang that wait for the others. The wait has a deadline if
// each of the others has one.
func (t *term) noteGang(p *job.Progress, id job.StepID) {
	n, bounded := taskWait{wait: WaitGang}, true
	var members []int
	for i := range p.Tasks {
		switch w := t.waits.tasks[id.Task(i)]; {
		case w != nil && w.checked.Equal(t.waits.checked):
			bounded = bounded && !w.until.IsZero()
			if w.until.After(n.until) {
				n.until, n.worker = w.until, w.worker
			}
		case p.Tasks[i].Worker != "":
			bounded = false // it executes, as far as is known
		default:
			members = append(members, i)
		}
	}
	if !bounded {
		n.until = time.Time{}
	}
	n.cause = n.until
	for _, i := range members {
		n.run = p.Tasks[i].Run
		t.waits.add(id.Task(i), n)
	}
}

// noteUnplanned records the tasks of a step that the plan neither starts nor explains.
func (t *term) noteUnplanned(p *job.Progress, s *job.Step, id job.StepID, planned map[planKey]bool) {
	plain, trial := planned[planKey{id, false}], planned[planKey{id, true}]
	if plain && trial {
		return
	}
	for i := range p.Tasks {
		k := &p.Tasks[i]
		if needsTrial := p.NeedsTrial(s, k); k.Worker != "" || k.Done || needsTrial && trial || !needsTrial && plain {
			continue
		}
		if w := t.waits.tasks[id.Task(i)]; w == nil || !w.checked.Equal(t.waits.checked) {
			t.waits.add(id.Task(i), taskWait{wait: WaitUnplanned, run: k.Run, until: t.waits.checked.Add(waitCheckInterval)})
		}
	}
}
