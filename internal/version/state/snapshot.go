package state

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/version/codec"
	"github.com/rosemaryloft/rosemaryloft/internal/version/crash"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// snapshotFormat changes with every incompatible change of snapshotContents.
const snapshotFormat = 1

// snapshotContents is the content of a snapshot. Lists are in a fixed order, so
// that equal states have equal snapshots. Counters and indexes are not stored;
// Restore computes them.
type snapshotContents struct {
	Format    int
	Index     uint64
	Now       time.Time
	Term      uint64
	Version   uint64
	Teams     []work.Team
	Entries   []work.Entry
	Keys      []work.Key
	Jobs      []jobSnapshot
	Ended     []expiring[work.JobID]
	Workers   []workerSnapshot
	Gone      []expiring[string]
	Sessions  []SessionRecord
	Intents   []intentSnapshot
	Operators []*storedResult
	Callers   []*storedResult
	Boots     []*boot `cbor:",omitempty"`
}

type jobSnapshot struct {
	Job      work.Job
	Failures []byte
	Crashes  map[uint32]*crash.Record `cbor:",omitempty"`
}

type workerSnapshot struct {
	Worker work.Worker
	Joined uint64
	Since  time.Time
}

type intentSnapshot struct {
	Record  Record
	Request string
	Attempt uint64
}

// Snapshot encodes the whole state as of the last applied command.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	m := snapshotContents{
		Format: snapshotFormat, Index: s.index, Now: s.now, Term: s.term, Version: s.version,
		Boots: s.boots, Ended: s.endedJobs.all(), Gone: s.goneWorkers.all(), Operators: s.operatorResults.queue.all(), Callers: s.submissionResults.queue.all(),
	}
	for _, t := range sortedValues(s.teams) {
		m.Teams = append(m.Teams, *t.Team)
	}
	for _, e := range sortedValues(s.entries) {
		m.Entries = append(m.Entries, *e.Entry)
	}
	for _, k := range sortedValues(s.keys) {
		m.Keys = append(m.Keys, *k)
	}
	for _, j := range sortedValues(s.jobs) {
		m.Jobs = append(m.Jobs, jobSnapshot{j.Job, j.failures, j.crashes})
	}
	for _, w := range sortedValues(s.workers) {
		m.Workers = append(m.Workers, workerSnapshot{w.Worker, w.joinIndex, w.goneSince})
	}
	for _, v := range sortedValues(s.sessions) {
		m.Sessions = append(m.Sessions, *v)
	}
	for _, n := range s.intentsByDeadline {
		m.Intents = append(m.Intents, intentSnapshot{n.Record, n.request, n.attempt})
	}
	slices.SortFunc(m.Intents, func(a, b intentSnapshot) int { return a.id().compare(b.id()) })
	b, err := codec.Encode(m)
	return b, errors.Wrap(err, "encode snapshot")
}

func (n *intentSnapshot) id() intentID {
	return intentID{n.Record.Intent.Team, n.Record.Intent.Entry, n.Record.Intent.Identity}
}

// Restore replaces the state with that of a snapshot. It fails, and changes
// nothing, if the snapshot cannot be decoded or is inconsistent. Observers are
// not notified; see Subscribe.
func (s *State) Restore(snapshot []byte) error {
	var m snapshotContents
	if err := codec.Decode(snapshot, &m); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	if m.Format != snapshotFormat {
		return errors.Newf("snapshot has format %d, not %d", m.Format, snapshotFormat)
	}
	n := New()
	n.index, n.now, n.term, n.version = m.Index, normalizeTime(m.Now), m.Term, m.Version
	for _, load := range [...]func(*snapshotContents) error{
		n.loadCatalogue, n.loadWorkers, n.loadJobs, n.loadEnded, n.loadIntents, n.loadResults, n.loadBoots,
	} {
		if err := load(&m); err != nil {
			return errors.Wrap(err, "restore snapshot")
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index, s.now, s.term, s.version = n.index, n.now, n.term, n.version
	s.teams, s.entries, s.keys, s.keysByDigest, s.changes = n.teams, n.entries, n.keys, n.keysByDigest, n.changes
	s.jobs, s.endedJobs, s.workers, s.goneWorkers, s.shapes, s.sessions = n.jobs, n.endedJobs, n.workers, n.goneWorkers, n.shapes, n.sessions
	s.intents, s.intentsByDeadline, s.answerBytes = n.intents, n.intentsByDeadline, n.answerBytes
	s.operatorResults, s.submissionResults, s.boots = n.operatorResults, n.submissionResults, n.boots
	return nil
}

func (s *State) loadBoots(m *snapshotContents) error {
	for _, b := range m.Boots {
		if b == nil || len(b.Tasks) != len(b.Loss.Runs) {
			return errors.New("a boot of a worker has no record, or other tasks than runs")
		}
		b.At, b.Loss.From, b.Loss.To = normalizeTime(b.At), normalizeTime(b.Loss.From), normalizeTime(b.Loss.To)
	}
	s.boots = m.Boots
	return nil
}

func (s *State) loadCatalogue(m *snapshotContents) error {
	for i := range m.Teams {
		t := &m.Teams[i]
		if s.teams[t.Name] != nil {
			return errors.Newf("duplicate team %q", t.Name)
		}
		s.teams[t.Name] = &team{Team: t, jobs: make(map[work.JobID]*job)}
		s.changes = append(s.changes, change{t.Version, kindTeam, t.Name})
	}
	for i := range m.Entries {
		e := &m.Entries[i]
		owner := s.teams[e.Owner]
		if s.entries[e.Name] != nil || owner == nil {
			return errors.Newf("entry %q is duplicated or its owner is missing", e.Name)
		}
		if !e.Retired {
			owner.ownedEntries++
		}
		s.entries[e.Name] = &entry{Entry: e, queuedJobs: make(map[work.JobID]*job)}
		s.changes = append(s.changes, change{e.Version, kindEntry, e.Name})
	}
	for i := range m.Keys {
		k := &m.Keys[i]
		if s.keys[k.Name] != nil {
			return errors.Newf("duplicate key %q", k.Name)
		}
		s.keys[k.Name] = k
		s.keysByDigest[k.Digest] = k.Name
		s.changes = append(s.changes, change{k.Version, kindKey, k.Name})
	}
	slices.SortFunc(s.changes, func(a, b change) int { return cmp.Compare(a.version, b.version) })
	for i, c := range s.changes {
		if c.version == 0 || c.version > s.version || i > 0 && s.changes[i-1].version == c.version {
			return errors.Newf("catalogue version %d of %q is duplicated or out of range", c.version, c.name)
		}
	}
	return nil
}

func (s *State) loadWorkers(m *snapshotContents) error {
	for i := range m.Workers {
		v := &m.Workers[i]
		if s.workers[v.Worker.Name] != nil || !validSize(v.Worker.Capacity) {
			return errors.Newf("worker %q is duplicated or its capacity is out of range", v.Worker.Name)
		}
		w := &worker{Worker: v.Worker, joinIndex: v.Joined, goneSince: normalizeTime(v.Since)}
		s.workers[w.Name] = w
		s.shapes[w.shape()]++
	}
	for _, d := range m.Gone {
		s.goneWorkers.push(expiring[string]{d.Item, normalizeTime(d.Deadline)})
	}
	for i := range m.Sessions {
		v := &m.Sessions[i]
		v.Ended, v.Former = normalizeTime(v.Ended), normalizeTime(v.Former)
		s.sessions[v.Entry] = v
	}
	return nil
}

func (s *State) loadJobs(m *snapshotContents) error {
	for i := range m.Jobs {
		v := &m.Jobs[i]
		j := &job{Job: v.Job, failures: v.Failures, crashes: v.Crashes}
		t, e := s.teams[j.Team], s.entries[j.Entry]
		if s.jobs[j.ID] != nil || t == nil || e == nil || j.failures != nil && len(j.failures) != len(j.Tasks) {
			return errors.Newf("job %d is duplicated, its team or entry is missing, or its failure counts do not match its tasks", j.ID)
		}
		for k, r := range j.crashes {
			if r == nil || k >= uint32(len(j.Tasks)) {
				return errors.Newf("job %d has crashes of a task that it does not have", j.ID)
			}
		}
		j.Submitted, j.Finish, j.Ended = normalizeTime(j.Submitted), normalizeTime(j.Finish), normalizeTime(j.Ended)
		s.jobs[j.ID] = j
		t.jobs[j.ID] = j
		for k := range j.Tasks {
			if err := s.loadTask(j, t, e, k); err != nil {
				return err
			}
		}
		if j.finished() && j.queued > 0 {
			return errors.Newf("finished job %d has queued tasks", j.ID)
		}
		if j.queued > 0 {
			e.queuedJobs[j.ID] = j
		}
	}
	return nil
}

func (s *State) loadTask(j *job, tm *team, e *entry, index int) error {
	t := &j.Tasks[index]
	if t.ID != (work.TaskID{Job: j.ID, Index: uint32(index)}) {
		return errors.Newf("job %d has a task whose ID does not match its job and position", j.ID)
	}
	t.Started = normalizeTime(t.Started)
	switch t.State {
	case work.TaskQueued:
		j.queued++
		e.queued++
	case work.TaskStarted, work.TaskStopping:
		w := s.workers[t.Worker]
		if w == nil || w.Gone || !validSize(t.Reserved) {
			return errors.Newf("task %d of job %d has no worker or no valid reservation", index, j.ID)
		}
		w.addRun(run{j, uint32(index)})
		tm.reserved = tm.reserved.Add(t.Reserved)
		tm.running++
		e.running++
		j.running++
	case work.TaskEnded:
	default:
		return errors.Newf("task %d of job %d has an unknown state", index, j.ID)
	}
	return nil
}

func (s *State) loadEnded(m *snapshotContents) error {
	seen := make(map[work.JobID]bool, len(m.Ended))
	for _, d := range m.Ended {
		j := s.jobs[d.Item]
		if j == nil || !j.finished() || j.running > 0 || seen[d.Item] {
			return errors.Newf("job %d is queued for removal twice, or is missing or not finished", d.Item)
		}
		seen[d.Item] = true
		s.endedJobs.push(expiring[work.JobID]{d.Item, normalizeTime(d.Deadline)})
	}
	for id, j := range s.jobs {
		if j.finished() && j.running == 0 && !seen[id] {
			return errors.Newf("finished job %d is not queued for removal", id)
		}
	}
	return nil
}

func (s *State) loadIntents(m *snapshotContents) error {
	for i := range m.Intents {
		v := &m.Intents[i]
		n := &intent{Record: v.Record, request: v.Request, attempt: v.Attempt}
		n.Intent.Deadline = normalizeTime(n.Intent.Deadline)
		if s.intents[n.id()] != nil {
			return errors.Newf("duplicate intent %q", n.Intent.Identity)
		}
		s.intents[n.id()] = n
		heap.Push(&s.intentsByDeadline, n)
		if n.Settle != nil {
			s.answerBytes += len(n.Settle.Body)
		}
	}
	return nil
}

func (s *State) loadResults(m *snapshotContents) error {
	for _, k := range m.Operators {
		if k == nil || s.operatorResults.get(k.Key) != nil {
			return errors.New("empty or duplicate result of an operator's request")
		}
		k.Deadline = normalizeTime(k.Deadline)
		s.operatorResults.add(k)
	}
	for _, k := range m.Callers {
		if k == nil || s.submissionResults.get(k.Key) != nil {
			return errors.New("empty or duplicate result of a submission")
		}
		k.Deadline = normalizeTime(k.Deadline)
		s.submissionResults.add(k)
	}
	return nil
}
