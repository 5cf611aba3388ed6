package state

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/version/codec"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// snapshotFormat changes with every incompatible change of image.
const snapshotFormat = 1

// image is the content of a snapshot. Lists are in a fixed order, so that equal
// states have equal snapshots. Counters and indexes are not in it; Restore
// computes them.
type image struct {
	Format    int
	Index     uint64
	Now       time.Time
	Term      uint64
	Version   uint64
	Teams     []work.Team
	Entries   []work.Entry
	Keys      []work.Key
	Jobs      []jobImage
	Ended     []due[work.JobID]
	Workers   []workerImage
	Gone      []due[string]
	Sessions  []SessionView
	Intents   []intentImage
	Operators []*kept
	Callers   []*kept
}

type jobImage struct {
	Job      work.Job
	Failures []byte
}

type workerImage struct {
	Worker work.Worker
	Joined uint64
	Since  time.Time
}

type intentImage struct {
	Record  Record
	Request string
	Attempt uint64
}

// Snapshot encodes the whole state as of the last applied command.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	m := image{
		Format: snapshotFormat, Index: s.index, Now: s.now, Term: s.term, Version: s.version,
		Ended: s.ended.all(), Gone: s.gone.all(), Operators: s.operators.queue.all(), Callers: s.callers.queue.all(),
	}
	for _, t := range ordered(s.teams) {
		m.Teams = append(m.Teams, *t.Team)
	}
	for _, e := range ordered(s.entries) {
		m.Entries = append(m.Entries, *e.Entry)
	}
	for _, k := range ordered(s.keys) {
		m.Keys = append(m.Keys, *k)
	}
	for _, j := range ordered(s.jobs) {
		m.Jobs = append(m.Jobs, jobImage{j.Job, j.failures})
	}
	for _, w := range ordered(s.workers) {
		m.Workers = append(m.Workers, workerImage{w.Worker, w.joined, w.since})
	}
	for _, v := range ordered(s.sessions) {
		m.Sessions = append(m.Sessions, *v)
	}
	for _, n := range s.deadlines {
		m.Intents = append(m.Intents, intentImage{n.Record, n.request, n.attempt})
	}
	slices.SortFunc(m.Intents, func(a, b intentImage) int { return a.id().compare(b.id()) })
	b, err := codec.Encode(m)
	return b, errors.Wrap(err, "encode snapshot")
}

func (n *intentImage) id() intentID {
	return intentID{n.Record.Intent.Team, n.Record.Intent.Entry, n.Record.Intent.Identity}
}

// Restore replaces the state with that of a snapshot. It fails, and changes
// nothing, if the snapshot cannot be decoded or contradicts itself. Observers
// are not told; see Subscribe.
func (s *State) Restore(snapshot []byte) error {
	var m image
	if err := codec.Decode(snapshot, &m); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	if m.Format != snapshotFormat {
		return errors.Newf("snapshot has format %d, not %d", m.Format, snapshotFormat)
	}
	n := New()
	n.index, n.now, n.term, n.version = m.Index, normal(m.Now), m.Term, m.Version
	for _, load := range [...]func(*image) error{
		n.loadCatalogue, n.loadWorkers, n.loadJobs, n.loadEnded, n.loadIntents, n.loadResults,
	} {
		if err := load(&m); err != nil {
			return errors.Wrap(err, "restore snapshot")
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index, s.now, s.term, s.version = n.index, n.now, n.term, n.version
	s.teams, s.entries, s.keys, s.digests, s.changes = n.teams, n.entries, n.keys, n.digests, n.changes
	s.jobs, s.ended, s.workers, s.gone, s.shapes, s.sessions = n.jobs, n.ended, n.workers, n.gone, n.shapes, n.sessions
	s.intents, s.deadlines, s.bodies = n.intents, n.deadlines, n.bodies
	s.operators, s.callers = n.operators, n.callers
	return nil
}

func (s *State) loadCatalogue(m *image) error {
	for i := range m.Teams {
		t := &m.Teams[i]
		if s.teams[t.Name] != nil {
			return errors.Newf("two teams %q", t.Name)
		}
		s.teams[t.Name] = &team{Team: t, jobs: make(map[work.JobID]*job)}
		s.changes = append(s.changes, change{t.Version, kindTeam, t.Name})
	}
	for i := range m.Entries {
		e := &m.Entries[i]
		owner := s.teams[e.Owner]
		if s.entries[e.Name] != nil || owner == nil {
			return errors.Newf("two entries %q, or its owner is missing", e.Name)
		}
		if !e.Retired {
			owner.owned++
		}
		s.entries[e.Name] = &entry{Entry: e, waiting: make(map[work.JobID]*job)}
		s.changes = append(s.changes, change{e.Version, kindEntry, e.Name})
	}
	for i := range m.Keys {
		k := &m.Keys[i]
		if s.keys[k.Name] != nil {
			return errors.Newf("two keys %q", k.Name)
		}
		s.keys[k.Name] = k
		s.digests[k.Digest] = k.Name
		s.changes = append(s.changes, change{k.Version, kindKey, k.Name})
	}
	slices.SortFunc(s.changes, func(a, b change) int { return cmp.Compare(a.version, b.version) })
	for i, c := range s.changes {
		if c.version == 0 || c.version > s.version || i > 0 && s.changes[i-1].version == c.version {
			return errors.Newf("version %d of %q is out of order", c.version, c.name)
		}
	}
	return nil
}

func (s *State) loadWorkers(m *image) error {
	for i := range m.Workers {
		v := &m.Workers[i]
		if s.workers[v.Worker.Name] != nil || !validSize(v.Worker.Capacity) {
			return errors.Newf("two workers %q, or its capacity is out of range", v.Worker.Name)
		}
		w := &worker{Worker: v.Worker, joined: v.Joined, since: normal(v.Since)}
		s.workers[w.Name] = w
		s.shapes[w.shape()]++
	}
	for _, d := range m.Gone {
		s.gone.push(due[string]{d.Item, normal(d.Deadline)})
	}
	for i := range m.Sessions {
		v := &m.Sessions[i]
		v.Ended, v.Former = normal(v.Ended), normal(v.Former)
		s.sessions[v.Entry] = v
	}
	return nil
}

func (s *State) loadJobs(m *image) error {
	for i := range m.Jobs {
		v := &m.Jobs[i]
		j := &job{Job: v.Job, failures: v.Failures}
		t, e := s.teams[j.Team], s.entries[j.Entry]
		if s.jobs[j.ID] != nil || t == nil || e == nil || j.failures != nil && len(j.failures) != len(j.Tasks) {
			return errors.Newf("job %d does not fit the catalogue", j.ID)
		}
		j.Submitted, j.Finish, j.Ended = normal(j.Submitted), normal(j.Finish), normal(j.Ended)
		s.jobs[j.ID] = j
		t.jobs[j.ID] = j
		for k := range j.Tasks {
			if err := s.loadTask(j, t, e, k); err != nil {
				return err
			}
		}
		if j.finished() && j.queued > 0 {
			return errors.Newf("job %d is over and has queued tasks", j.ID)
		}
		if j.queued > 0 {
			e.waiting[j.ID] = j
		}
	}
	return nil
}

func (s *State) loadTask(j *job, m *team, e *entry, index int) error {
	t := &j.Tasks[index]
	if t.ID != (work.TaskID{Job: j.ID, Index: uint32(index)}) {
		return errors.Newf("job %d has a task of another job", j.ID)
	}
	t.Started = normal(t.Started)
	switch t.State {
	case work.TaskQueued:
		j.queued++
		e.queued++
	case work.TaskStarted, work.TaskStopping:
		w := s.workers[t.Worker]
		if w == nil || w.Gone || !validSize(t.Reserved) || !w.reserved.Add(t.Reserved).Fits(w.Capacity) {
			return errors.Newf("task %d of job %d does not fit its worker", index, j.ID)
		}
		w.add(run{j, uint32(index)})
		m.reserved = m.reserved.Add(t.Reserved)
		m.running++
		e.running++
		j.running++
	case work.TaskEnded:
	default:
		return errors.Newf("task %d of job %d has no known state", index, j.ID)
	}
	return nil
}

func (s *State) loadEnded(m *image) error {
	seen := make(map[work.JobID]bool, len(m.Ended))
	for _, d := range m.Ended {
		j := s.jobs[d.Item]
		if j == nil || !j.finished() || j.running > 0 || seen[d.Item] {
			return errors.Newf("job %d is not over", d.Item)
		}
		seen[d.Item] = true
		s.ended.push(due[work.JobID]{d.Item, normal(d.Deadline)})
	}
	for id, j := range s.jobs {
		if j.finished() && j.running == 0 && !seen[id] {
			return errors.Newf("job %d is over and would never be dropped", id)
		}
	}
	return nil
}

func (s *State) loadIntents(m *image) error {
	for i := range m.Intents {
		v := &m.Intents[i]
		n := &intent{Record: v.Record, request: v.Request, attempt: v.Attempt}
		n.Intent.Deadline = normal(n.Intent.Deadline)
		if s.intents[n.id()] != nil {
			return errors.Newf("two intents %q", n.Intent.Identity)
		}
		s.intents[n.id()] = n
		heap.Push(&s.deadlines, n)
		if n.Settle != nil {
			s.bodies += len(n.Settle.Body)
		}
	}
	return nil
}

func (s *State) loadResults(m *image) error {
	for _, k := range m.Operators {
		if k == nil || s.operators.find(k.Key) != nil {
			return errors.New("two results of one request")
		}
		k.Deadline = normal(k.Deadline)
		s.operators.keep(k)
	}
	for _, k := range m.Callers {
		if k == nil || s.callers.find(k.Key) != nil {
			return errors.New("two results of one submission")
		}
		k.Deadline = normal(k.Deadline)
		s.callers.keep(k)
	}
	return nil
}
