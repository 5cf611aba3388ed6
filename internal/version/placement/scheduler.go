// Package placement is the decision core of the scheduler: it decides which
// task starts on which worker.
//
// # Usage
//
//	scheduler := placement.New(placement.Options{})
//	state.Subscribe(scheduler.Observe)
//	for _, decision := range scheduler.Decide(now, 100) { ... }
package placement

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Options holds the parameters of the policies. Zero fields mean the defaults.
type Options struct{}

// Throttle caps the use of a running task.
type Throttle struct {
	Task  work.TaskID
	Token work.Token
	Size  work.Resources
}

// Stats counts what the scheduler has done and holds.
type Stats struct {
	Decisions uint64
	Workers   int
	Queued    int
	Running   int
}

type job struct {
	id      work.JobID
	entry   string
	team    string
	class   work.Class
	urgent  bool
	size    work.Resources
	queued  map[uint32]bool
	pending map[uint32]string // worker of a start that is proposed but not yet applied
}

type worker struct {
	work.Worker
	used work.Resources
}

// Scheduler proposes placements. It is not safe for concurrent use.
type Scheduler struct {
	teams   map[string]*work.Team
	held    map[string]work.Resources
	running map[string]int64
	entries map[string]*work.Entry
	active  map[string]int64
	jobs    map[work.JobID]*job
	workers map[string]*worker
	started map[work.TaskID]work.Start
	stats   Stats
}

// New returns a scheduler that knows nothing until it observes events.
func New(_ Options) *Scheduler {
	return &Scheduler{
		teams: map[string]*work.Team{}, held: map[string]work.Resources{}, running: map[string]int64{},
		entries: map[string]*work.Entry{}, active: map[string]int64{}, jobs: map[work.JobID]*job{},
		workers: map[string]*worker{}, started: map[work.TaskID]work.Start{},
	}
}

// Observe takes in one change of the replicated state.
func (s *Scheduler) Observe(event work.Event) {
	switch e := event.(type) {
	case work.TeamEvent:
		t := *e.Team
		s.teams[t.Name] = &t
	case work.EntryEvent:
		n := *e.Entry
		s.entries[n.Name] = &n
	case work.WorkerEvent:
		w := s.workers[e.Worker.Name]
		if w == nil {
			w = &worker{}
			s.workers[e.Worker.Name] = w
		}
		w.Worker = *e.Worker
	case work.SubmitEvent:
		j := &job{id: e.Job.ID, entry: e.Job.Entry, team: e.Job.Team, class: e.Job.Class, urgent: e.Job.Urgent,
			size: e.Job.Size, queued: map[uint32]bool{}, pending: map[uint32]string{}}
		for i := range e.Job.Tasks {
			if e.Job.Tasks[i].State == work.TaskQueued {
				j.queued[e.Job.Tasks[i].ID.Index] = true
			}
		}
		s.jobs[j.id] = j
	case work.StartEvent:
		if _, ok := s.started[e.Task.ID]; ok {
			s.release(e.Job, e.Task.ID)
		}
		s.occupy(e.Job.Team, e.Job.Entry, work.Start{Task: e.Task.ID, Worker: e.Task.Worker, Reserved: e.Task.Reserved})
		if j := s.jobs[e.Job.ID]; j != nil {
			delete(j.queued, e.Task.ID.Index)
			delete(j.pending, e.Task.ID.Index)
		}
	case work.EndEvent:
		s.release(e.Job, e.Task.ID)
		if j := s.jobs[e.Job.ID]; j != nil && e.Requeued {
			j.queued[e.Task.ID.Index] = true
		}
	case work.FinishEvent:
		if j := s.jobs[e.Job.ID]; j != nil {
			for i := range j.pending {
				s.release(e.Job, work.TaskID{Job: j.id, Index: i})
			}
			delete(s.jobs, e.Job.ID)
		}
	}
}

func (s *Scheduler) occupy(team, entry string, start work.Start) {
	s.started[start.Task] = start
	if w := s.workers[start.Worker]; w != nil {
		w.used = w.used.Add(start.Reserved)
	}
	s.held[team] = s.held[team].Add(start.Reserved)
	s.running[team]++
	s.active[entry]++
}

func (s *Scheduler) release(j *work.Job, id work.TaskID) {
	start, ok := s.started[id]
	if !ok {
		return
	}
	delete(s.started, id)
	if w := s.workers[start.Worker]; w != nil {
		w.used = w.used.Sub(start.Reserved)
	}
	s.held[j.Team] = s.held[j.Team].Sub(start.Reserved)
	s.running[j.Team]--
	s.active[j.Entry]--
}

// Decide proposes up to limit decisions.
func (s *Scheduler) Decide(_ time.Time, limit int) []work.Decision {
	var out []work.Decision
	jobs := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		if len(j.queued) > 0 {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.id, b.id)
	})
	for _, j := range jobs {
		var starts []work.Start
		indexes := make([]uint32, 0, len(j.queued))
		for i := range j.queued {
			indexes = append(indexes, i)
		}
		slices.Sort(indexes)
		for _, i := range indexes {
			w := s.fit(j)
			if w == nil {
				break
			}
			start := work.Start{Task: work.TaskID{Job: j.id, Index: i}, Worker: w.Name, Boot: w.Boot, Reserved: j.size}
			s.occupy(j.team, j.entry, start)
			starts = append(starts, start)
			if j.class != work.Gang && len(out)+len(starts) >= limit {
				break
			}
		}
		if j.class == work.Gang {
			if len(starts) < len(indexes) {
				for _, start := range starts {
					s.release(&work.Job{Team: j.team, Entry: j.entry}, start.Task)
				}
				continue
			}
			out = append(out, work.Decision{Starts: starts, Atomic: true, Reason: "gang fits"})
		} else {
			for _, start := range starts {
				out = append(out, work.Decision{Starts: []work.Start{start}, Reason: "first fit"})
			}
		}
		for _, start := range starts {
			delete(j.queued, start.Task.Index)
			j.pending[start.Task.Index] = start.Worker
		}
		if len(out) >= limit {
			break
		}
	}
	s.stats.Decisions += uint64(len(out))
	return out
}

// fit returns the first worker by name that takes a task of j within all limits.
func (s *Scheduler) fit(j *job) *worker {
	if t := s.teams[j.team]; t != nil {
		if t.Tasks > 0 && s.running[j.team] >= t.Tasks || !s.held[j.team].Add(j.size).Within(t.Limit) {
			return nil
		}
	}
	n := s.entries[j.entry]
	if n != nil && n.Tasks > 0 && s.active[j.entry] >= n.Tasks {
		return nil
	}
	var best *worker
	for _, w := range s.workers {
		if w.Gone || w.Drained || w.Team != "" && w.Team != j.team && (n == nil || !n.Open) {
			continue
		}
		if j.size.Fits(w.Capacity.Sub(w.used)) && (best == nil || w.Name < best.Name) {
			best = w
		}
	}
	return best
}

// Rejected tells that a proposed decision was not applied.
func (s *Scheduler) Rejected(decision work.Decision, _ string) {
	for _, start := range decision.Starts {
		j := s.jobs[start.Task.Job]
		if j == nil {
			continue
		}
		if _, ok := j.pending[start.Task.Index]; !ok {
			continue
		}
		delete(j.pending, start.Task.Index)
		s.release(&work.Job{Team: j.team, Entry: j.entry}, start.Task)
		j.queued[start.Task.Index] = true
	}
}

// Report takes in a worker's usage report.
func (s *Scheduler) Report(string, []work.Usage, time.Time) {}

// Explain tells an operator why a job waits.
func (s *Scheduler) Explain(id work.JobID, _ time.Time) string {
	j := s.jobs[id]
	if j == nil {
		return "the job is not waiting"
	}
	return strconv.Itoa(len(j.queued)) + " tasks wait for a worker with enough free capacity"
}

// Aside reports whether a worker is set aside after failures.
func (s *Scheduler) Aside(string) bool { return false }

// Throttles returns the caps that a worker is to apply to running tasks.
func (s *Scheduler) Throttles(string) []Throttle { return nil }

// Stats returns counters for operators.
func (s *Scheduler) Stats() Stats {
	st := s.stats
	st.Workers, st.Running = len(s.workers), len(s.started)
	for _, j := range s.jobs {
		st.Queued += len(j.queued)
	}
	return st
}
