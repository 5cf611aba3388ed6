package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// ticketMargin is the part of a ticket's validity that the commit and the
	// start of a run use up.
	ticketMargin = 80 * time.Millisecond
	// A job expires when expiryFactor times its time to the deadline has
	// passed. Nobody waits for its result then: operators count a job as late
	// before and as lost afterwards.
	expiryFactor = 3
	// waitLogDelay is how long a step waits before this is logged,
	// waitLogInterval how often it is logged.
	waitLogDelay    = 500 * time.Millisecond
	waitLogInterval = 2 * time.Second
)

// decide plans the starts of a round, queries the advice service and stops
// preempted runs. The caller holds the lock.
func (t *term) decide() []fit.Start {
	now := t.now()
	var plan fit.Plan
	t.state().View(func(v *job.View) {
		if v.Catalogue == nil {
			return
		}
		t.updateUse(v, now)
		t.updateHeld(v, now)
		cluster := t.cluster(v, now)
		room := poolRoom(&cluster)
		demands := t.demands(v, room, now)
		t.updateLoads(v, cluster, demands, now)
		usages := t.poolUsages(cluster, demands, now)
		cluster.Explain = len(usages) > 0
		plan = fit.Decide(now, demands, cluster)
		t.logPoolUsage(usages, cluster, plan.Idle)
		t.noteWaits(v, &plan, room, now)
		t.noteLoad(v, demands, &plan, now)
		for i := range plan.Starts {
			plan.Starts[i].Demand.Prepare()
		}
		t.floor = plan.Floor
	})
	clients := t.liveAdviceClients(now)
	for _, a := range plan.Queries {
		t.queryAdvice(a, clients, now)
	}
	for _, id := range plan.Preemptions {
		if r := t.runs[id]; r != nil {
			t.emit(event.RunPreempted, zap.Stringer("task", id), zap.Int("run", r.number), zap.String("worker", r.worker.ID))
			t.stop(r)
		}
	}
	for _, b := range plan.Blocks {
		t.logWaiting(b, now)
	}
	return plan.Starts
}

// logWaiting logs a step that has been waiting for a while.
func (t *term) logWaiting(b fit.Block, now time.Time) {
	s := t.step(b.Demand.Step)
	if now.Sub(s.waitingSince) < waitLogDelay || now.Before(s.nextWaitLog) {
		return
	}
	s.nextWaitLog = now.Add(waitLogInterval)
	t.emit(event.StepWaits, zap.Stringer("step", b.Demand.Step), zap.String("reason", b.Reason), zap.Stringer("wait", blockWait(&b)),
		zap.Int("tasks", len(b.Demand.Tasks)), zap.Int("priority", b.Demand.Priority), zap.Duration("waited", now.Sub(s.waitingSince)))
}

// demands lists the steps with waiting tasks.
func (t *term) demands(v *job.View, room map[string]work.Resources, now time.Time) []*fit.Demand {
	var demands []*fit.Demand
	for _, r := range v.Active {
		if r.Status.Final() {
			continue
		}
		for _, number := range t.due(r, room[r.Queue.Pool], now) {
			if o := r.Peek(number); o != nil {
				for i := range r.Job.Steps {
					demands = t.addDemand(demands, t.demand(r, o, number, i, now))
				}
			}
		}
	}
	return demands
}

// bind takes tasks out of a demand that may start on one worker only, or not yet. Members of a gang
// stay together, and each may have a worker of its own.
func (t *term) bind(d *fit.Demand) {
	if len(t.unclear) == 0 {
		return
	}
	d.Tasks = slices.DeleteFunc(d.Tasks, func(i int) bool {
		name, waits := t.boundTo(d.Progress, d.Spec, d.Step.Task(i))
		switch {
		case name == "":
		case d.Spec.Gang:
			if d.Members == nil {
				d.Members = map[int]string{}
			}
			d.Members[i] = name
			return false
		case d.Bound == nil:
			d.Bound = map[string][]int{name: {i}}
		default:
			d.Bound[name] = append(d.Bound[name], i)
		}
		if waits || name != "" {
			t.noteWait(d.Step.Task(i))
		}
		return waits || name != ""
	})
}

// addDemand adds the demand of a step. Tasks that need a trial, or that may start on one
// worker only, have demands of their own.
func (t *term) addDemand(demands []*fit.Demand, d *fit.Demand) []*fit.Demand {
	if d == nil {
		return demands
	}
	for name, tasks := range d.Bound {
		bound := *d
		bound.Tasks, bound.Only, bound.Bound, bound.Avoid = tasks, name, nil, nil
		demands = t.addDemand(demands, &bound)
	}
	if len(d.Tasks) == 0 {
		return demands
	}
	needsTrial := func(i int) bool { return d.Progress.NeedsTrial(d.Spec, &d.Progress.Tasks[i]) }
	if !slices.ContainsFunc(d.Tasks, needsTrial) {
		return append(demands, d)
	}
	if !d.Prefetch {
		t.noteRisk(d.Queue, t.now())
	}
	trial := *d
	trial.Trial, trial.Tasks = true, nil
	rest := d.Tasks[:0:0]
	for _, i := range d.Tasks {
		if needsTrial(i) {
			trial.Tasks = append(trial.Tasks, i)
			trial.Crashed = append(trial.Crashed, d.Progress.CrashedAt(d.Spec, &d.Progress.Tasks[i])...)
			trial.Likely = trial.Likely || d.Progress.LikelyCrash(d.Spec, &d.Progress.Tasks[i])
		} else {
			rest = append(rest, i)
		}
	}
	slices.SortFunc(trial.Crashed, netip.AddrPort.Compare)
	trial.Crashed = slices.Compact(trial.Crashed)
	if d.Tasks = rest; len(rest) > 0 {
		demands = append(demands, d)
	}
	return append(demands, &trial)
}

// demand describes one step. It returns nil if the step has no tasks to start
// and needs no advice yet.
func (t *term) demand(r *job.Record, o *job.Occurrence, number, index int, now time.Time) *fit.Demand {
	s, p := &r.Job.Steps[index], &o.Steps[index]
	if p.Left == 0 {
		return nil
	}
	id := job.StepID{Job: r.Job.ID, Occurrence: number, Step: index}
	prefetch := !r.Ready(o, index)
	if prefetch && !t.shouldPrefetchAdvice(r, o, number, index, now) {
		return nil
	}
	d := &fit.Demand{
		Step: id, Spec: s, Pool: r.Queue.Pool, Queue: queueKey(&r.Queue), Priority: r.Queue.Priority, Sequence: r.Sequence,
		Workspace: r.Job.Workspace, Payload: r.Job.Payload, Placed: map[string]int{}, Progress: p, Prefetch: prefetch,
	}
	_, d.Risky = t.risky[d.Queue]
	d.Deadline, d.Expiry = t.deadlines(r, number)
	d.Held = t.heldLevel(d.Workspace, d.Pool)
	d.Beyond, d.Delay = r.Job.Beyond, t.past.delays[job.UseKey{Workspace: d.Workspace, Pool: d.Pool}]
	d.CriticalPath = criticalPathFrom(&r.Job, index)
	for i := range p.Tasks {
		switch k := &p.Tasks[i]; {
		case k.Worker != "":
			d.Placed[k.Worker]++
		case r.Spent(s, p, k):
			t.giveUpSpent(id.Task(i), k.Run)
		case !k.Done && !t.paused(p, s, id.Task(i), r.Queue.Pool, now):
			d.Tasks = append(d.Tasks, i)
		}
	}
	t.bind(d)
	if len(d.Tasks) == 0 && d.Bound == nil || s.Gang && len(d.Tasks) < len(p.Tasks) {
		return nil // a gang starts again only after all members of its previous run have ended
	}
	m := t.step(id)
	if !prefetch && m.waitingSince.IsZero() {
		m.waitingSince = now
	}
	d.Avoid = m.avoidedWorkers(now)
	for _, name := range d.Members {
		delete(d.Avoid, name) // no other worker may run the member
	}
	if !prefetch {
		d.Waited = now.Sub(m.waitingSince)
	}
	if r.Queue.Advised != nil {
		d.Advised, d.Advice, d.MinAnswerTime = true, &m.advice, r.Queue.Advised.Base
		d.AllowedShare = t.allowedShares[d.Queue]
		m.advice.Paused = now.Before(m.adviceRetryAt)
	}
	return d
}

// shouldPrefetchAdvice reports whether to query the advice service about a step
// before it is ready: all unfinished tasks that it depends on are running and
// will probably end before a ticket expires.
func (t *term) shouldPrefetchAdvice(r *job.Record, o *job.Occurrence, number, index int, now time.Time) bool {
	a := r.Queue.Advised
	if a == nil {
		return false
	}
	for _, before := range r.Job.Steps[index].After {
		p, s := &o.Steps[before], &r.Job.Steps[before]
		if p.Left == 0 {
			continue
		}
		for i := range p.Tasks {
			if p.Tasks[i].Done {
				continue
			}
			m := t.runs[job.TaskID{Job: r.Job.ID, Occurrence: number, Step: before, Index: i}]
			if m == nil || now.Add(a.Expiry/2+a.Base).Before(m.committedAt.Add(s.Estimate)) {
				return false
			}
		}
	}
	return true
}

// deadlines returns when a job, or one of its occurrences, passes its deadline,
// and when it expires.
func (t *term) deadlines(r *job.Record, occurrence int) (deadline, expiry time.Time) {
	d, ok := t.timeToDeadline[r.Job.ID]
	if !ok {
		d = r.Queue.Target + time.Duration(r.Queue.Stretch*float64(criticalPath(&r.Job)))
		t.timeToDeadline[r.Job.ID] = d
	}
	start := r.Accepted
	if r.Job.Repeat > 0 {
		start = r.Job.Due(occurrence)
	}
	return start.Add(d), start.Add(expiryFactor * d)
}

// criticalPath returns the estimated run time of the longest chain of dependent
// steps.
func criticalPath(j *job.Job) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i := range j.Steps {
		for _, a := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// criticalPathFrom returns the estimated run time of the longest chain of
// dependent steps that begins with a given step.
func criticalPathFrom(j *job.Job, first int) time.Duration {
	reach := make([]time.Duration, len(j.Steps))
	reach[first] = j.Steps[first].Estimate
	longest := reach[first]
	for i := first + 1; i < len(j.Steps); i++ {
		for _, a := range j.Steps[i].After {
			if reach[a] > 0 {
				reach[i] = max(reach[i], reach[a]+j.Steps[i].Estimate)
			}
		}
		longest = max(longest, reach[i])
	}
	return longest
}

// avoidedWorkers returns the workers that the step avoids now. It drops entries
// that have expired.
func (s *stepState) avoidedWorkers(now time.Time) map[string]bool {
	var names map[string]bool
	for name, until := range s.avoidUntil {
		if now.After(until) {
			delete(s.avoidUntil, name)
			continue
		}
		if names == nil {
			names = map[string]bool{}
		}
		names[name] = true
	}
	return names
}
