package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// peakTime is how long the highest use of a pool by urgent work counts.
	peakTime = 12 * time.Second
	// spareFactor is the room kept for urgent work over its recent peak: bursts
	// of twice the usual traffic are normal.
	spareFactor = 1.3
	// ticketMargin is the part of a ticket's life that a commit and a start take.
	ticketMargin = 80 * time.Millisecond
	// uselessFactor times the time after which a job is late, nobody waits for it
	// any more; this is what operators count as late instead of lost.
	uselessFactor = 3
	// notedAfter and notedEvery bound the log lines about steps that wait.
	notedAfter = 500 * time.Millisecond
	notedEvery = 2 * time.Second
)

// decide plans the starts of a round and sends questions to the advice service.
// The caller holds the lock.
func (t *term) decide() []fit.Start {
	now := t.now()
	var plan fit.Plan
	t.state().View(func(v *job.View) {
		if v.Catalogue == nil {
			return
		}
		room := t.room(v, now)
		demands := t.demands(v, now)
		t.use(room, demands, now)
		t.measure(v, room, demands, now)
		plan = fit.Decide(now, demands, room)
		for i := range plan.Starts {
			plan.Starts[i].Demand.Prepare()
		}
	})
	for _, a := range plan.Asks {
		t.ask(a, now)
	}
	for _, id := range plan.Stops {
		if r := t.runs[id]; r != nil {
			t.emit(event.RunPreempted, zap.Stringer("task", id), zap.Int("run", r.number), zap.String("worker", r.worker.ID))
			t.stop(r)
		}
	}
	for _, b := range plan.Blocks {
		t.waits(b, now)
	}
	if len(plan.Starts) > roundStarts {
		t.signal()
		return trim(plan.Starts)
	}
	return plan.Starts
}

// waits writes a line about a step that has waited for a while.
func (t *term) waits(b fit.Block, now time.Time) {
	s := t.remember(b.Demand.Step)
	if now.Sub(s.since) < notedAfter || now.Before(s.noted) {
		return
	}
	s.noted = now.Add(notedEvery)
	t.emit(event.StepWaits, zap.Stringer("step", b.Demand.Step), zap.String("reason", b.Reason),
		zap.Int("tasks", len(b.Demand.Tasks)), zap.Int("priority", b.Demand.Priority), zap.Duration("waited", now.Sub(s.since)))
}

// trim cuts a long plan, but not through a gang.
func trim(starts []fit.Start) []fit.Start {
	n := roundStarts
	for n < len(starts) && starts[n].Demand == starts[n-1].Demand {
		n++
	}
	return starts[:n]
}

// room describes the workers and limits.
func (t *term) room(v *job.View, now time.Time) fit.Room {
	room := fit.Room{Limits: map[string]*fit.Limit{}, Spare: map[string]work.Resources{}}
	for _, w := range t.workers {
		if v.Workers[w.ID].Life != w.Life {
			continue // not committed yet
		}
		f := &fit.Worker{Worker: w.Worker, Free: w.Capacity, Usable: w.usable(now, t.timing().ReportEvery), Doubted: w.doubted}
		for id, o := range v.Occupied[w.ID] {
			t.occupied(f, v.Jobs[id.Job], id, o)
		}
		slices.SortFunc(f.Runs, compareRuns)
		room.Workers = append(room.Workers, f)
	}
	sortWorkers(room.Workers)
	for i := range v.Catalogue.Workspaces {
		s := &v.Catalogue.Workspaces[i]
		room.Limits[s.Name] = &fit.Limit{Upper: s.Limit, Used: v.Used[s.Name]}
	}
	t.spare(v, room, now)
	return room
}

// occupied counts a run on a worker.
func (t *term) occupied(f *fit.Worker, record *job.Record, id job.TaskID, o job.Occupation) {
	f.Free = f.Free.Sub(o.Size)
	s := &record.Job.Steps[id.Step]
	if s.Filler {
		f.Filling++
	} else if s.Target > 0 {
		f.Serving++
	}
	r := t.runs[id]
	switch {
	case r == nil:
	case r.stopping || r.ended:
		f.Ending = f.Ending.Add(o.Size)
	case s.Checkpoints && !s.Gang && !s.Lasting && !r.clear.IsZero():
		late, _ := t.lateAt(record, id.Occurrence)
		f.Runs = append(f.Runs, fit.Run{
			Task: id, Priority: record.Queue.Priority, Due: fit.Due(late, record.Queue.Priority), Size: o.Size,
		})
	}
}

// compareRuns puts the runs that make way first last: those of the lowest
// priority, and of these the smallest.
func compareRuns(a, b fit.Run) int {
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	if c := a.Due.Compare(b.Due); c != 0 {
		return c
	}
	if c := cmp.Compare(b.Size.Processors, a.Size.Processors); c != 0 {
		return c
	}
	return strings.Compare(a.Task.String(), b.Task.String())
}

// spare sets the room that is kept free for urgent work.
func (t *term) spare(v *job.View, room fit.Room, now time.Time) {
	use := map[string]work.Resources{}
	for _, r := range t.runs {
		record := v.Jobs[r.id.Job]
		if record != nil && record.Queue.Priority == 0 {
			use[r.worker.Pool] = use[r.worker.Pool].Add(r.spec.Reserves())
		}
	}
	for i := range v.Catalogue.Pools {
		name := v.Catalogue.Pools[i].Name
		p := t.peaks[name]
		if p == nil {
			p = &peak{}
			t.peaks[name] = p
		}
		if u := use[name]; u.Processors >= p.use.Processors || now.Sub(p.at) > peakTime {
			p.use, p.at = u, now
		}
		keep := int64(spareFactor*float64(p.use.Processors)) - use[name].Processors
		room.Spare[name] = work.Resources{Processors: max(0, keep)}
	}
}

// demands lists the steps with tasks that wait.
func (t *term) demands(v *job.View, now time.Time) []*fit.Demand {
	var demands []*fit.Demand
	for _, r := range v.Active {
		if r.Status.Over() {
			continue
		}
		for _, number := range t.due(r, now) {
			if o := r.Occurrence(number); o != nil {
				for i := range r.Job.Steps {
					if d := t.demand(r, o, number, i, now); d != nil {
						demands = append(demands, d)
					}
				}
			}
		}
	}
	return demands
}

// due returns the occurrences that may start and are not done.
func (t *term) due(r *job.Record, now time.Time) []int {
	if r.Job.Repeat == 0 {
		return []int{0}
	}
	var numbers []int
	for k := r.Behind; k < r.Job.Repeat && !r.Job.Due(k).After(now); k++ {
		if !r.Finished[k] {
			numbers = append(numbers, k)
		}
	}
	return numbers
}

// demand describes one step, nil if it has nothing that waits.
func (t *term) demand(r *job.Record, o *job.Occurrence, number, index int, now time.Time) *fit.Demand {
	s, p := &r.Job.Steps[index], &o.Steps[index]
	if p.Left == 0 {
		return nil
	}
	id := job.StepID{Job: r.Job.ID, Occurrence: number, Step: index}
	early := !r.Ready(o, index)
	if early && !t.prefetch(r, o, number, index, now) {
		return nil
	}
	d := &fit.Demand{
		Step: id, Spec: s, Pool: r.Queue.Pool, Queue: queueKey(&r.Queue), Priority: r.Queue.Priority, Order: r.Sequence,
		Owner: r.Job.Workspace, Payload: r.Job.Payload, Placed: map[string]int{}, Progress: p, Early: early,
	}
	d.Late, d.Useless = t.lateAt(r, number)
	d.Length = chainFrom(&r.Job, index)
	for i := range p.Tasks {
		switch k := &p.Tasks[i]; {
		case k.Worker != "":
			d.Placed[k.Worker]++
		case !k.Done:
			d.Tasks = append(d.Tasks, i)
		}
	}
	if len(d.Tasks) == 0 || s.Gang && len(d.Tasks) < len(p.Tasks) {
		return nil // a gang waits until all members of its former run are gone
	}
	m := t.remember(id)
	if !early && m.since.IsZero() {
		m.since = now
	}
	d.Avoid = m.avoided(now)
	if !early {
		d.Waited = now.Sub(m.since)
	}
	if r.Queue.Advised != nil {
		d.Advised, d.Advice, d.Slow = true, &m.advice, r.Queue.Advised.Base
		if m.advice.Answers == nil {
			m.advice.Answers = map[string]fit.Answer{}
		}
		if now.Before(m.retry) {
			d.Advice = &fit.Advice{Answers: m.advice.Answers, Asking: true}
		}
	}
	return d
}

// prefetch reports whether to ask for advice about a step before its turn: all
// tasks that it waits for run, and will probably end before a ticket expires.
func (t *term) prefetch(r *job.Record, o *job.Occurrence, number, index int, now time.Time) bool {
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
			if m == nil || now.Add(a.Expiry/2+a.Base).Before(m.ordered.Add(s.Estimate)) {
				return false
			}
		}
	}
	return true
}

// lateAt returns when a job, or one of its occurrences, is late, and when its
// result is of no use any more.
func (t *term) lateAt(r *job.Record, occurrence int) (late, useless time.Time) {
	d, ok := t.late[r.Job.ID]
	if !ok {
		d = r.Queue.Target + time.Duration(r.Queue.Stretch*float64(chain(&r.Job)))
		t.late[r.Job.ID] = d
	}
	start := r.Accepted
	if r.Job.Repeat > 0 {
		start = r.Job.Due(occurrence)
	}
	return start.Add(d), start.Add(uselessFactor * d)
}

// chain returns the estimated run time of the longest chain of steps.
func chain(j *job.Job) time.Duration {
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

// chainFrom returns the estimated run time of the longest chain that begins with
// a step.
func chainFrom(j *job.Job, first int) time.Duration {
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

// avoided returns the workers that the step leaves out now.
func (s *step) avoided(now time.Time) map[string]bool {
	var names map[string]bool
	for name, until := range s.avoid {
		if now.After(until) {
			delete(s.avoid, name)
			continue
		}
		if names == nil {
			names = map[string]bool{}
		}
		names[name] = true
	}
	return names
}
