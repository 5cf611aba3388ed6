// Package measure drives the decision core with virtual time and fixed seeds to
// compare and test policies. It is only used by tests and by `make measure`.
//
// # Usage
//
//	fake := measure.NewFake()
//	fake.Subscribe(scheduler.Observe)
//	fake.Worker(work.Worker{Name: "w1", Capacity: size})
//	for _, d := range scheduler.Decide(now, 100) { err := fake.Apply(d, now) }
//
// Fake replaces the replicated state: it checks every decision against the hard
// limits and emits the resulting events. Run simulates a workload and returns its
// results.
package measure

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// maxFailures is the number of failed runs after which a job fails.
const maxFailures = 20

// Fake applies decisions as the replicated state does, but with maps instead of a
// log.
type Fake struct {
	Teams   map[string]*work.Team
	Entries map[string]*work.Entry
	Jobs    map[work.JobID]*work.Job
	Workers map[string]*work.Worker

	ReservedByWorker map[string]work.Resources       // reserved, by worker
	ReservedByTeam   map[string]work.Resources       // reserved, by team
	Running          map[string]int64                // running tasks, by team
	Active           map[string]int64                // running tasks, by entry
	TasksOn          map[string]map[work.TaskID]bool // running tasks, by worker
	RunningTotal     int                             // total running tasks
	Rejected         int                             // decisions that failed a check

	index     uint64
	observers []func(work.Event)
}

// NewFake returns an empty state.
func NewFake() *Fake {
	return &Fake{
		Teams: map[string]*work.Team{}, Entries: map[string]*work.Entry{}, Jobs: map[work.JobID]*work.Job{},
		Workers: map[string]*work.Worker{}, ReservedByWorker: map[string]work.Resources{}, ReservedByTeam: map[string]work.Resources{},
		Running: map[string]int64{}, Active: map[string]int64{}, TasksOn: map[string]map[work.TaskID]bool{},
	}
}

// Subscribe registers an observer for all later events.
func (f *Fake) Subscribe(observer func(work.Event)) { f.observers = append(f.observers, observer) }

// Replay sends an observer the events that rebuild the current state.
func (f *Fake) Replay(observer func(work.Event), teams, entries, workers []string, jobs []work.JobID) {
	for _, n := range teams {
		observer(work.TeamEvent{Team: f.Teams[n]})
	}
	for _, n := range entries {
		observer(work.EntryEvent{Entry: f.Entries[n]})
	}
	for _, n := range workers {
		observer(work.WorkerEvent{Worker: f.Workers[n]})
	}
	for _, id := range jobs {
		observer(work.SubmitEvent{Job: f.Jobs[id]})
	}
}

func (f *Fake) emit(e work.Event) {
	for _, o := range f.observers {
		o(e)
	}
}

// Team adds or updates a team.
func (f *Fake) Team(t work.Team) {
	f.Teams[t.Name] = &t
	f.emit(work.TeamEvent{Team: &t})
}

// Entry adds or updates a catalogue entry.
func (f *Fake) Entry(e work.Entry) {
	f.Entries[e.Name] = &e
	f.emit(work.EntryEvent{Entry: &e})
}

// Worker adds or updates a worker. Its tasks end as lost if its boot number
// changes or it departs.
func (f *Fake) Worker(w work.Worker, now time.Time) {
	if o := f.Workers[w.Name]; o != nil && (o.Boot != w.Boot || w.Gone) {
		for _, id := range sortedTasks(f.TasksOn[w.Name]) {
			f.End(id, work.OutcomeLost, now)
		}
	}
	f.Workers[w.Name] = &w
	f.emit(work.WorkerEvent{Worker: &w})
}

// Submit adds a job with n tasks and returns its ID.
func (f *Fake) Submit(j work.Job, n int) work.JobID {
	f.index++
	j.ID, j.State, j.Class = work.JobID(f.index), work.JobQueued, f.Entries[j.Entry].Class
	j.Tasks = make([]work.Task, n)
	for i := range j.Tasks {
		j.Tasks[i] = work.Task{ID: work.TaskID{Job: j.ID, Index: uint32(i)}, State: work.TaskQueued}
	}
	f.Jobs[j.ID] = &j
	f.emit(work.SubmitEvent{Job: &j})
	return j.ID
}

// Cancel cancels a job. Its queued tasks end at once; its running tasks are
// returned for the caller to end.
func (f *Fake) Cancel(id work.JobID) []work.TaskID {
	j := f.Jobs[id]
	if j == nil || finished(j) {
		return nil
	}
	return f.finish(j, work.JobCancelled)
}

// finished reports whether a job is in a final state.
func finished(j *work.Job) bool {
	return j.State == work.JobSucceeded || j.State == work.JobFailed || j.State == work.JobCancelled
}

// finish gives a job a final state and returns its tasks that still run.
func (f *Fake) finish(j *work.Job, state work.JobState) (running []work.TaskID) {
	j.State = state
	for i := range j.Tasks {
		switch t := &j.Tasks[i]; t.State {
		case work.TaskQueued:
			t.State = work.TaskEnded
		case work.TaskStarted, work.TaskStopping:
			t.State, t.Stop = work.TaskStopping, work.StopKill
			running = append(running, t.ID)
		}
	}
	f.emit(work.FinishEvent{Job: j})
	return running
}

// Task returns a task, or nil if it does not exist.
func (f *Fake) Task(id work.TaskID) *work.Task {
	if j := f.Jobs[id.Job]; j != nil && int(id.Index) < len(j.Tasks) {
		return &j.Tasks[id.Index]
	}
	return nil
}

// End ends the run of a task. The task is queued again unless it succeeded or its
// job is finished or failed too often.
func (f *Fake) End(id work.TaskID, outcome work.Outcome, now time.Time) {
	j, t := f.Jobs[id.Job], f.Task(id)
	if t == nil || t.Worker == "" {
		return
	}
	worker, reserved := t.Worker, t.Reserved
	f.ReservedByWorker[worker] = f.ReservedByWorker[worker].Sub(reserved)
	f.ReservedByTeam[j.Team] = f.ReservedByTeam[j.Team].Sub(reserved)
	f.Running[j.Team]--
	f.Active[j.Entry]--
	f.RunningTotal--
	delete(f.TasksOn[worker], id)
	t.Worker, t.Outcome, t.State, t.Stop = "", outcome, work.TaskEnded, work.StopNone
	if outcome == work.OutcomeFailed {
		j.Failures++
	}
	retry := !finished(j) && outcome != work.OutcomeSucceeded
	giveUp := retry && outcome == work.OutcomeFailed && j.Failures >= maxFailures
	if retry && !giveUp {
		t.State = work.TaskQueued
		t.Checkpoint = t.Checkpoint || outcome == work.OutcomeCheckpointed
	}
	f.emit(work.EndEvent{Job: j, Task: t, Worker: worker, Reserved: reserved, Outcome: outcome, Requeued: retry && !giveUp, At: now})
	if giveUp {
		f.finish(j, work.JobFailed)
		return
	}
	for i := range j.Tasks {
		if j.Tasks[i].State != work.TaskEnded {
			return
		}
	}
	if !finished(j) {
		f.finish(j, work.JobSucceeded)
	}
}

// Apply applies a decision if it passes all checks.
func (f *Fake) Apply(d work.Decision, now time.Time) error {
	if err := f.check(d); err != nil {
		f.Rejected++
		return err
	}
	for _, r := range d.Refuse {
		if j := f.Jobs[r.Job]; !finished(j) {
			j.Reason = r.Reason
			f.finish(j, work.JobFailed)
		}
	}
	for _, p := range d.Stops {
		t := f.Task(p.Task)
		t.State, t.Stop = work.TaskStopping, p.Mode
		f.emit(work.StopEvent{Job: f.Jobs[p.Task.Job], Task: t})
	}
	for _, s := range d.Starts {
		f.index++
		j, t := f.Jobs[s.Task.Job], f.Task(s.Task)
		t.State, t.Worker, t.Token, t.Reserved, t.Started = work.TaskStarted, s.Worker, work.Token(f.index), s.Reserved, now
		t.Attempts++
		j.State = work.JobRunning
		f.ReservedByWorker[s.Worker] = f.ReservedByWorker[s.Worker].Add(s.Reserved)
		f.ReservedByTeam[j.Team] = f.ReservedByTeam[j.Team].Add(s.Reserved)
		f.Running[j.Team]++
		f.Active[j.Entry]++
		f.RunningTotal++
		if f.TasksOn[s.Worker] == nil {
			f.TasksOn[s.Worker] = map[work.TaskID]bool{}
		}
		f.TasksOn[s.Worker][s.Task] = true
		f.emit(work.StartEvent{Job: j, Task: t})
	}
	return nil
}

// check returns an error if a decision breaks a limit or refers to tasks, workers
// or jobs in the wrong state.
func (f *Fake) check(d work.Decision) error {
	used, held := map[string]work.Resources{}, map[string]work.Resources{}
	running, active := map[string]int64{}, map[string]int64{}
	gangs := map[work.JobID]int{}
	seen := map[work.TaskID]bool{}
	for _, s := range d.Starts {
		j, t, w := f.Jobs[s.Task.Job], f.Task(s.Task), f.Workers[s.Worker]
		if t == nil || t.State != work.TaskQueued || finished(j) || seen[s.Task] {
			return errors.Newf("task %v is not queued", s.Task)
		}
		seen[s.Task] = true
		if w == nil || w.Gone || w.Drained || w.Boot != s.Boot {
			return errors.Newf("worker %s does not accept tasks", s.Worker)
		}
		team, entry := f.Teams[j.Team], f.Entries[j.Entry]
		if w.Team != "" && w.Team != j.Team && !entry.Open {
			return errors.Newf("worker %s does not accept work of team %s", s.Worker, j.Team)
		}
		used[s.Worker] = used[s.Worker].Add(s.Reserved)
		held[j.Team] = held[j.Team].Add(s.Reserved)
		running[j.Team]++
		active[j.Entry]++
		if j.Class == work.Gang {
			gangs[j.ID]++
		}
		if !s.Reserved.Valid() || !f.ReservedByWorker[s.Worker].Add(used[s.Worker]).Fits(w.Capacity) {
			return errors.Newf("worker %s has not enough free capacity", s.Worker)
		}
		if !f.ReservedByTeam[j.Team].Add(held[j.Team]).Within(team.Limit) || team.Tasks > 0 && f.Running[j.Team]+running[j.Team] > team.Tasks {
			return errors.Newf("team %s is at its limit", j.Team)
		}
		if entry.Tasks > 0 && f.Active[j.Entry]+active[j.Entry] > entry.Tasks {
			return errors.Newf("entry %s is at its limit", j.Entry)
		}
	}
	for id, n := range gangs {
		if queued := f.queued(id); !d.Atomic || n != queued {
			return errors.Newf("%d of %d tasks of gang %d would start; all must start atomically", n, queued, id)
		}
	}
	for _, p := range d.Stops {
		if t := f.Task(p.Task); t == nil || t.Worker == "" || t.Token != p.Token {
			return errors.Newf("task %v is not running with token %d", p.Task, p.Token)
		}
	}
	for _, r := range d.Refuse {
		if f.Jobs[r.Job] == nil {
			return errors.Newf("job %d does not exist", r.Job)
		}
	}
	return nil
}

// queued returns the number of queued tasks of a job.
func (f *Fake) queued(id work.JobID) (n int) {
	for _, t := range f.Jobs[id].Tasks {
		if t.State == work.TaskQueued {
			n++
		}
	}
	return n
}

// sortedTasks returns the tasks of a set in order, so that results do not depend
// on map order.
func sortedTasks(set map[work.TaskID]bool) []work.TaskID {
	return slices.SortedFunc(maps.Keys(set), func(a, b work.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
}
