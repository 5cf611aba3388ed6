package state

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// TestMain fixes the seed of the property tests, so that every run has the same
// result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// invariantChecker checks the invariants from events alone, with its own
// counters.
type invariantChecker struct {
	teams      map[string]work.Team
	entries    map[string]work.Entry
	keys       map[string]work.Key
	workers    map[string]work.Worker
	running    map[work.TaskID]work.Task
	jobs       map[work.JobID]work.Job
	intents    map[string]recordedIntent
	starts     int
	violations []string
}

func newInvariantChecker(s *State) *invariantChecker {
	a := &invariantChecker{
		teams: map[string]work.Team{}, entries: map[string]work.Entry{}, keys: map[string]work.Key{},
		workers: map[string]work.Worker{}, running: map[work.TaskID]work.Task{}, jobs: map[work.JobID]work.Job{}, intents: map[string]recordedIntent{},
	}
	s.ReplayAndSubscribe(a.observe)
	return a
}

func (a *invariantChecker) check(ok bool, format string, values ...any) {
	if !ok {
		a.violations = append(a.violations, fmt.Sprintf(format, values...))
	}
}

func (a *invariantChecker) observe(e work.Event) {
	switch e := e.(type) {
	case work.TeamEvent:
		a.check(e.Team.Version > a.teams[e.Team.Name].Version, "I10: team %s reverted", e.Team.Name)
		a.teams[e.Team.Name] = *e.Team
	case work.EntryEvent:
		a.check(e.Entry.Version > a.entries[e.Entry.Name].Version, "I10: entry %s reverted", e.Entry.Name)
		a.entries[e.Entry.Name] = *e.Entry
	case work.KeyEvent:
		a.check(!a.keys[e.Key.Name].Withdrawn, "I3: withdrawn key %s came back", e.Key.Name)
		a.keys[e.Key.Name] = *e.Key
	case work.WorkerEvent:
		a.workers[e.Worker.Name] = *e.Worker
	case work.SubmitEvent:
		a.jobs[e.Job.ID] = *e.Job
	case work.StartEvent:
		a.start(e.Job, e.Task)
	case work.EndEvent:
		if e.Worker != "" {
			a.check(a.running[e.Task.ID].Worker == e.Worker, "I2: end of a task that does not run on the worker")
			delete(a.running, e.Task.ID)
		}
	}
}

func (a *invariantChecker) start(j *work.Job, t *work.Task) {
	if t.Worker == "" {
		return // replay of a task that has ended
	}
	a.starts++
	w, tm, e := a.workers[t.Worker], a.teams[j.Team], a.entries[j.Entry]
	_, alreadyRunning := a.running[t.ID]
	a.check(!alreadyRunning, "I2: task started twice")
	a.check(!w.Gone && !w.Drained, "start on a worker that is gone or drained")
	a.check(w.Team == "" || w.Team == j.Team || e.Open, "start on a worker of another team")
	a.running[t.ID] = *t
	var onWorker, ofTeam work.Resources
	var teamTasks, entryTasks int64
	for id, r := range a.running {
		if r.Worker == t.Worker {
			onWorker = onWorker.Add(r.Reserved)
		}
		if a.jobs[id.Job].Team == j.Team {
			ofTeam = ofTeam.Add(r.Reserved)
			teamTasks++
		}
		if a.jobs[id.Job].Entry == j.Entry {
			entryTasks++
		}
	}
	a.check(onWorker.Fits(w.Capacity), "I1: %s overcommitted", w.Name)
	a.check(ofTeam.Within(tm.Limit), "I4: team %s over its limit", tm.Name)
	a.check(tm.Tasks == 0 || teamTasks <= tm.Tasks, "I4: team %s over its task limit", tm.Name)
	a.check(e.Tasks == 0 || entryTasks <= e.Tasks, "entry %s over its task limit", e.Name)
}

// checkGangs checks that no gang runs partially: no member may be started while
// another one is queued.
func (a *invariantChecker) checkGangs(s *State) {
	for id, j := range s.jobs {
		queued, started := 0, 0
		for i := range j.Tasks {
			switch j.Tasks[i].State {
			case work.TaskQueued:
				queued++
			case work.TaskStarted:
				started++
			}
		}
		a.check(j.Class != work.Gang || queued == 0 || started == 0, "gang %d runs partially", id)
	}
}

// recordedIntent is the checker's view of a recorded intent.
type recordedIntent struct {
	index     uint64
	deadline  time.Time
	didNotRun bool // it was settled as not run
}

// checkIntent checks that an intent is recorded again only if its request did
// not run or its deadline has passed.
func (a *invariantChecker) checkIntent(c *Command, r Result, index uint64, now time.Time) {
	switch {
	case c.Intent != nil && r.Code == OK && r.Attempt == index:
		old, found := a.intents[c.Intent.Identity]
		a.check(!found || old.didNotRun || !now.Before(old.deadline), "I7: %s may run twice", c.Intent.Identity)
		a.intents[c.Intent.Identity] = recordedIntent{index: index, deadline: c.Intent.Deadline}
	case c.Settle != nil && r.Code == OK && c.Settle.Ran == RanNo:
		if n := a.intents[c.Settle.Identity]; n.index == c.Settle.Attempt {
			n.didNotRun = true
			a.intents[c.Settle.Identity] = n
		}
	}
}

// fixture is a state with two teams, an entry of each class and three workers.
type fixture struct {
	*State
	index uint64
	now   time.Time
}

func newFixture() *fixture {
	f := &fixture{State: New(), now: time.Unix(1_800_000_000, 0).UTC()}
	f.do(Command{Team: &TeamChange{Team: work.Team{Name: "a", Weight: 1, Limit: size(12), Tasks: 6}}})
	f.do(Command{Team: &TeamChange{Team: work.Team{Name: "b", Weight: 1, Limit: size(6)}}})
	f.do(Command{Entry: &EntryChange{Entry: work.Entry{Name: "service", Owner: "a", Class: work.Service}}})
	f.do(Command{Entry: &EntryChange{Entry: work.Entry{Name: "batch", Owner: "a", Class: work.Batch, Open: true, Tasks: 5}}})
	f.do(Command{Entry: &EntryChange{Entry: work.Entry{Name: "gang", Owner: "b", Class: work.Gang}}})
	f.do(Command{Join: &Join{Worker: work.Worker{Name: "w1", Boot: 1, Capacity: size(8)}}})
	f.do(Command{Join: &Join{Worker: work.Worker{Name: "w2", Boot: 1, Capacity: size(4)}}})
	f.do(Command{Join: &Join{Worker: work.Worker{Name: "w3", Boot: 1, Capacity: size(4), Team: "b"}}})
	return f
}

func size(n int64) work.Resources { return work.Resources{Processors: n * 1000, Memory: n << 30} }

func (f *fixture) do(c Command) Result {
	f.index++
	f.now = f.now.Add(time.Second)
	c.Time = f.now
	return f.ApplyCommand(f.index, c)
}

func (f *fixture) submit(entry, team string, n int64, count uint32) work.JobID {
	return f.do(Command{Submit: &Submit{Job: work.Job{Entry: entry, Team: team, Size: size(n)}, Count: count}}).Job
}

func (f *fixture) start(j work.JobID, index uint32, worker string, n int64) Result {
	return f.startAll(false, newStart(j, index, worker, n))
}

func (f *fixture) startAll(atomic bool, starts ...work.Start) Result {
	return f.do(Command{Round: &Round{Decisions: []work.Decision{{Starts: starts, Atomic: atomic}}}})
}

func newStart(j work.JobID, index uint32, worker string, n int64) work.Start {
	return work.Start{Task: work.TaskID{Job: j, Index: index}, Worker: worker, Boot: 1, Reserved: size(n)}
}

// end reports the end of a task under its current token.
func (f *fixture) end(j work.JobID, index uint32, outcome work.Outcome) Result {
	t := f.jobs[j].Tasks[index]
	return f.do(Command{Ends: &Ends{Ends: []work.End{{Task: t.ID, Token: t.Token, Outcome: outcome}}}})
}
