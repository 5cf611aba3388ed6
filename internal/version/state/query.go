package state

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Index returns the log index of the last command applied.
func (s *State) Index() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.index
}

// Time returns the latest time among the commands applied.
func (s *State) Time() time.Time {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.now
}

// Job returns a job with its tasks.
func (s *State) Job(id work.JobID) (work.Job, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if j := s.jobs[id]; j != nil {
		return j.copy(), true
	}
	return work.Job{}, false
}

func (j *job) copy() work.Job {
	c := j.Job
	c.Tasks = slices.Clone(j.Tasks)
	return c
}

// Jobs returns up to limit jobs of a team, or of all teams if team is empty,
// newest first and without their tasks.
func (s *State) Jobs(team string, limit int) []work.Job {
	s.mu.RLock()
	defer s.mu.RUnlock()
	jobs := s.jobs
	if team != "" {
		t := s.teams[team]
		if t == nil {
			return nil
		}
		jobs = t.jobs
	}
	ids := make([]work.JobID, 0, len(jobs))
	for id := range jobs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b work.JobID) int { return cmp.Compare(b, a) })
	out := make([]work.Job, 0, min(limit, len(ids)))
	for _, id := range ids[:min(limit, len(ids))] {
		j := jobs[id].Job
		j.Tasks = nil
		out = append(out, j)
	}
	return out
}

// Run is a task that is started or stopping on a worker.
type Run struct {
	Task       work.TaskID
	Token      work.Token
	Started    time.Time // when the start was committed
	State      work.TaskState
	Stop       work.StopMode
	Entry      string
	Team       string
	Reserved   work.Resources
	Checkpoint bool
	Command    []byte // shared; must not be modified
}

// WorkerState is a worker with its load.
type WorkerState struct {
	Worker   work.Worker
	Reserved work.Resources
	Tasks    int
	Joined   uint64 // log index at which its membership began
}

func (w *worker) view() WorkerState {
	return WorkerState{Worker: w.Worker, Reserved: w.reserved, Tasks: len(w.runs), Joined: w.joinIndex}
}

// Runs appends the runs on a worker to into, ordered by token, then by task. It
// returns false if the worker is not known.
func (s *State) Runs(name string, into []Run) (WorkerState, []Run, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	w := s.workers[name]
	if w == nil {
		return WorkerState{}, into, false
	}
	into = slices.Grow(into, len(w.runs))
	for _, r := range w.runs {
		t := r.task()
		into = append(into, Run{
			Task: t.ID, Token: t.Token, Started: t.Started, State: t.State, Stop: t.Stop, Entry: r.job.Entry, Team: r.job.Team,
			Reserved: t.Reserved, Checkpoint: t.Checkpoint, Command: r.job.Command,
		})
	}
	return w.view(), into, true
}

// Worker returns a worker with its load.
func (s *State) Worker(name string) (WorkerState, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if w := s.workers[name]; w != nil {
		return w.view(), true
	}
	return WorkerState{}, false
}

// Workers returns all workers, sorted by name.
func (s *State) Workers() []WorkerState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]WorkerState, 0, len(s.workers))
	for _, w := range sortedValues(s.workers) {
		out = append(out, w.view())
	}
	return out
}

// EntryLoad is the load of a catalogue entry.
type EntryLoad struct {
	Entry   string
	Team    string // owner
	Queued  int
	Running int
	Oldest  time.Time // submission time of the oldest job with queued tasks; zero if none
}

// EntryLoads returns the load of each entry that is not retired or still has
// work, sorted by name. If team is set, only the entries that it owns and open
// entries are returned.
func (s *State) EntryLoads(team string) []EntryLoad {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []EntryLoad
	for _, e := range sortedValues(s.entries) {
		if e.Retired && e.queued == 0 && e.running == 0 || team != "" && e.Owner != team && !e.Open {
			continue
		}
		l := EntryLoad{Entry: e.Name, Team: e.Owner, Queued: int(e.queued), Running: int(e.running)}
		for _, j := range e.queuedJobs {
			if l.Oldest.IsZero() || j.Submitted.Before(l.Oldest) {
				l.Oldest = j.Submitted
			}
		}
		out = append(out, l)
	}
	return out
}

// RequestLimit returns a team's limit on requests in flight; zero means no
// limit. It returns false if the team is not known or retired.
func (s *State) RequestLimit(team string) (int64, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t := s.teams[team]
	if t == nil || t.Retired {
		return 0, false
	}
	return t.Requests, true
}
