// Package state is the replicated state machine: the catalogue, jobs, tasks,
// workers, and intents of non-idempotent requests.
//
// Every replica applies the same commands in log order and reaches the same
// state. To keep this deterministic, time is read from commands only, and
// results and snapshots do not depend on the iteration order of maps. A command
// that violates a rule changes nothing and returns the reason in its Result.
//
// The hard limits are enforced when a Round is applied, independently of the
// scheduler: a worker's capacity (I1), one running copy of each task (I2) and
// the limits of teams (I4). A start that fails a check is rejected alone, or
// together with its whole decision if the decision is atomic.
//
// # Usage
//
//	s := state.New()
//	cancel := s.ReplayAndSubscribe(scheduler.Observe)
//	defer cancel()
//	command, err := state.Encode(state.Command{Time: now, Submit: &state.Submit{Job: job, Count: 4}})
//	result := s.Apply(index, command).(state.Result)
//
// Readers may call the accessors from any goroutine; they return copies.
package state

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// State is the state machine. Use New.
type State struct {
	mu        sync.RWMutex
	observers []*observer

	index   uint64    // log index of the last command applied
	now     time.Time // latest command time so far; deadlines are compared with it
	term    uint64    // of the latest Lead command
	version uint64    // of the catalogue

	teams        map[string]*team
	entries      map[string]*entry
	keys         map[string]*work.Key
	keysByDigest map[[32]byte]string // key names by digest, including withdrawn keys
	changes      []change            // ordered by version, for CatalogueSince

	jobs        map[work.JobID]*job
	endedJobs   fifo[expiring[work.JobID]]
	workers     map[string]*worker
	goneWorkers fifo[expiring[string]]
	shapes      map[shape]int // number of known workers by shape
	sessions    map[string]*SessionRecord

	intents           map[intentID]*intent
	intentsByDeadline intentHeap
	answerBytes       int        // total size of the stored answers of intents
	operatorResults   dedupTable // results of operators' requests
	submissionResults dedupTable // results of submissions
	boots             []*boot    // recent crashes of workers, the oldest first

	disabled guard // checks disabled by a test
}

// expiring is an item of a queue ordered by deadline.
type expiring[T any] struct {
	Item     T
	Deadline time.Time
}

type observer struct{ observe func(work.Event) }

// guard is a bit set of checks. Tests disable single checks to show that each
// of them is needed.
type guard uint32

const (
	guardCapacity guard = 1 << iota
	guardTeamSize
	guardTeamTasks
	guardEntryTasks
	guardSingleCopy
	guardBoot
	guardDrained
	guardGone
	guardDedicated
	guardAtomic
	guardToken
	guardBaseVersion
	guardDuplicateRequest
	guardNewerBoot
	guardIntent
	guardHolder
	guardWithdrawn
	guardAttempt
	guardMembership
	guardTerm
	guardSequence
	guardHoldings
	guardFormer
)

func (s *State) enabled(g guard) bool { return s.disabled&g == 0 }

// New returns an empty state.
func New() *State {
	return &State{
		teams:             make(map[string]*team),
		entries:           make(map[string]*entry),
		keys:              make(map[string]*work.Key),
		keysByDigest:      make(map[[32]byte]string),
		jobs:              make(map[work.JobID]*job),
		workers:           make(map[string]*worker),
		shapes:            make(map[shape]int),
		sessions:          make(map[string]*SessionRecord),
		intents:           make(map[intentID]*intent),
		operatorResults:   newDedupTable(maxOperatorResults),
		submissionResults: newDedupTable(0),
	}
}

// Apply decodes and applies a command. It returns a Result, whose code is
// Invalid if the command cannot be decoded.
func (s *State) Apply(index uint64, command []byte) any {
	c, err := Decode(command)
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.index = max(s.index, index)
		return invalid("the command cannot be decoded")
	}
	return s.ApplyCommand(index, c)
}

// ApplyCommand applies a command. A command whose index is not greater than the
// last one applied is refused as Invalid.
func (s *State) ApplyCommand(index uint64, command Command) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index <= s.index {
		return invalid("the command was applied before")
	}
	s.index = index
	if command.kinds() != 1 {
		return invalid("the command does not have exactly one kind")
	}
	if t := normalizeTime(command.Time); t.After(s.now) {
		s.now = t
	}
	if command.Term != 0 && command.Term < s.term && s.enabled(guardTerm) {
		return Result{Code: Superseded, Message: "a later leader has taken over"}
	}
	results, key := s.dedupTableFor(&command)
	if results == nil || !s.enabled(guardDuplicateRequest) {
		return s.execute(&command)
	}
	digest := command.digest()
	if k := results.get(key); k != nil {
		if k.Digest != digest {
			return Result{Code: Mismatch, Message: "the request id was used for another change"}
		}
		return k.Result
	}
	r := s.execute(&command)
	results.add(&storedResult{Key: key, Digest: digest, Result: r, Deadline: s.now.Add(resultRetention)})
	return r
}

func (s *State) execute(c *Command) Result {
	switch {
	case c.Team != nil:
		return s.changeTeam(c.Team)
	case c.Entry != nil:
		return s.changeEntry(c.Entry)
	case c.Key != nil:
		return s.changeKey(c.Key)
	case c.Submit != nil:
		return s.submit(c.Submit)
	case c.Cancel != nil:
		return s.cancel(c.Cancel)
	case c.Join != nil:
		return s.join(c.Join)
	case c.Depart != nil:
		return s.depart(c.Depart)
	case c.Drain != nil:
		return s.drain(c.Drain)
	case c.Round != nil:
		return s.applyRound(c.Round)
	case c.Ends != nil:
		return s.applyEnds(c.Ends)
	case c.Intent != nil:
		return s.recordIntent(c.Intent, c.Request)
	case c.Settle != nil:
		return s.settleIntent(c.Settle)
	case c.Session != nil:
		return s.recordSession(c.Session)
	case c.Lead != nil:
		return s.lead(c.Lead, c.Term)
	default:
		return s.expire()
	}
}

// Subscribe calls observe with each later event, in log order and with the
// state's lock held, until the returned function is called. The function must
// not call methods of s. Restore emits no events, so what an observer has
// derived from earlier events is invalid after it.
func (s *State) Subscribe(observe func(work.Event)) (cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.subscribe(observe)
}

func (s *State) subscribe(observe func(work.Event)) func() {
	o := &observer{observe}
	s.observers = append(s.observers, o)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.observers = slices.DeleteFunc(s.observers, func(other *observer) bool { return other == o })
	}
}

// Replay calls observe with events that reproduce the current state. A job with
// queued or running tasks is replayed as a submission followed by the starts,
// stops and ends that lead to the current state of its tasks; other jobs are
// left out. In an unfinished job, a task that has ended is replayed as a start
// and an end without a worker or a reservation.
func (s *State) Replay(observe func(work.Event)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	s.replay(observe)
}

// ReplayAndSubscribe combines Replay and Subscribe, with no command applied in
// between.
func (s *State) ReplayAndSubscribe(observe func(work.Event)) (cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replay(observe)
	return s.subscribe(observe)
}

func (s *State) replay(observe func(work.Event)) {
	for _, t := range sortedValues(s.teams) {
		observe(work.TeamEvent{Team: t.Team})
	}
	for _, e := range sortedValues(s.entries) {
		observe(work.EntryEvent{Entry: e.Entry})
	}
	for _, k := range sortedValues(s.keys) {
		observe(work.KeyEvent{Key: k})
	}
	for _, w := range sortedValues(s.workers) {
		observe(work.WorkerEvent{Worker: &w.Worker})
	}
	for _, j := range sortedValues(s.jobs) {
		if j.queued > 0 || j.running > 0 {
			j.replay(observe)
		}
	}
}

// replay emits the job's events on a copy of the job. Before each event the copy
// is brought to the state that the job was in when the event was first emitted.
func (j *job) replay(observe func(work.Event)) {
	c := j.Job
	c.Tasks = make([]work.Task, len(j.Tasks))
	c.State, c.Ended, c.Reason = work.JobQueued, time.Time{}, ""
	for i, t := range j.Tasks {
		c.Tasks[i] = work.Task{ID: t.ID, State: work.TaskQueued, Token: t.Token, Checkpoint: t.Checkpoint, Outcome: t.Outcome, Attempts: t.Attempts}
	}
	observe(work.SubmitEvent{Job: &c})
	finished := j.finished()
	for i := range j.Tasks {
		t, n := &c.Tasks[i], &j.Tasks[i]
		if n.State == work.TaskQueued || finished && n.State == work.TaskEnded {
			continue
		}
		*t = *n
		t.State, t.Stop = work.TaskStarted, work.StopNone
		c.State = work.JobRunning
		observe(work.StartEvent{Job: &c, Task: t})
		*t = *n
		switch n.State {
		case work.TaskStopping:
			observe(work.StopEvent{Job: &c, Task: t})
		case work.TaskEnded:
			observe(work.EndEvent{Job: &c, Task: t, Outcome: n.Outcome})
		}
	}
	if finished {
		copy(c.Tasks, j.Tasks)
		c.State, c.Ended, c.Reason = j.State, j.Ended, j.Reason
		observe(work.FinishEvent{Job: &c})
	}
}

func (s *State) emit(e work.Event) {
	for _, o := range s.observers {
		o.observe(e)
	}
}

// sortedValues returns the values of m sorted by key.
func sortedValues[K cmp.Ordered, V any](m map[K]V) []V {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	values := make([]V, len(keys))
	for i, k := range keys {
		values[i] = m[k]
	}
	return values
}

// normalizeTime returns t as a snapshot restores it, in UTC and without a
// monotonic clock reading, so that restored and original states are equal.
func normalizeTime(t time.Time) time.Time {
	if t.IsZero() {
		return time.Time{}
	}
	return t.UTC().Round(0)
}

func invalid(message string) Result { return Result{Code: Invalid, Message: message} }
