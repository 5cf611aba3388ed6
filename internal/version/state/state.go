// Package state is the replicated state machine: the catalogue, jobs, tasks,
// workers, and intents of non-idempotent requests.
//
// Every replica applies the same commands in the order of the log and reaches
// the same state. Time comes from the commands alone, results and snapshots do
// not depend on the order of maps, and a command that breaks a rule changes
// nothing and says so in its Result.
//
// The hard limits (I1, I2, I4) are checked here as a Round is applied, whatever
// the scheduler decided. A start that fails a check is rejected by itself, or
// with its whole decision if the decision is atomic.
//
// # Usage
//
//	s := state.New()
//	cancel := s.Follow(scheduler.Observe)
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

	index   uint64    // of the last command applied
	now     time.Time // greatest command time so far; deadlines are compared with it
	term    uint64    // of the latest Lead
	version uint64    // of the catalogue

	teams   map[string]*team
	entries map[string]*entry
	keys    map[string]*work.Key
	digests map[[32]byte]string // key names by digest; withdrawn keys stay
	changes []change            // by version, for deltas

	jobs     map[work.JobID]*job
	ended    fifo[due[work.JobID]]
	workers  map[string]*worker
	gone     fifo[due[string]]
	shapes   map[shape]int // known workers by shape
	sessions map[string]*SessionView

	intents   map[intentID]*intent
	deadlines intentHeap
	bodies    int    // bytes of the answers kept of intents
	operators ledger // results of operators' requests
	callers   ledger // results of submissions

	off guard // checks that a test has switched off
}

// due is an item of a queue that is ordered by deadline.
type due[T any] struct {
	Item     T
	Deadline time.Time
}

type observer struct{ observe func(work.Event) }

// guard is a set of checks. Tests switch single checks off to show that they
// are needed.
type guard uint32

const (
	guardCapacity guard = 1 << iota
	guardTeamSize
	guardTeamTasks
	guardEntryTasks
	guardCopy
	guardBoot
	guardDrained
	guardGone
	guardDedicated
	guardAtomic
	guardToken
	guardBase
	guardResend
	guardNewer
	guardIntent
	guardHolder
	guardWithdrawn
	guardAttempt
	guardJoined
	guardTerm
)

func (s *State) on(g guard) bool { return s.off&g == 0 }

// New returns an empty state.
func New() *State {
	return &State{
		teams:     make(map[string]*team),
		entries:   make(map[string]*entry),
		keys:      make(map[string]*work.Key),
		digests:   make(map[[32]byte]string),
		jobs:      make(map[work.JobID]*job),
		workers:   make(map[string]*worker),
		shapes:    make(map[shape]int),
		sessions:  make(map[string]*SessionView),
		intents:   make(map[intentID]*intent),
		operators: newLedger(operatorResults),
		callers:   newLedger(0),
	}
}

// Apply decodes and applies a command. It returns a Result, with the code
// Invalid if the command cannot be decoded.
func (s *State) Apply(index uint64, command []byte) any {
	c, err := Decode(command)
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.index = max(s.index, index)
		return invalid("the command cannot be decoded")
	}
	return s.Do(index, c)
}

// Do applies a command. Index must be greater than that of every command
// before.
func (s *State) Do(index uint64, command Command) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index <= s.index {
		return invalid("the command was applied before")
	}
	s.index = index
	if command.kinds() != 1 {
		return invalid("the command does not have exactly one kind")
	}
	if t := normal(command.Time); t.After(s.now) {
		s.now = t
	}
	if command.Term != 0 && command.Term < s.term && s.on(guardTerm) {
		return Result{Code: Superseded, Message: "a later leader has taken over"}
	}
	book, key := s.ledgerOf(&command)
	if book == nil || !s.on(guardResend) {
		return s.do(&command)
	}
	digest := command.digest()
	if k := book.find(key); k != nil {
		if k.Digest != digest {
			return Result{Code: Mismatch, Message: "the request id was used for another change"}
		}
		return k.Result
	}
	r := s.do(&command)
	book.keep(&kept{Key: key, Digest: digest, Result: r, Deadline: s.now.Add(resultRetention)})
	return r
}

func (s *State) do(c *Command) Result {
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
		return s.round(c.Round)
	case c.Ends != nil:
		return s.ends(c.Ends)
	case c.Intent != nil:
		return s.intend(c.Intent, c.Request)
	case c.Settle != nil:
		return s.settle(c.Settle)
	case c.Session != nil:
		return s.session(c.Session)
	case c.Lead != nil:
		s.term = max(s.term, c.Term)
		return Result{Code: OK}
	default:
		return s.expire()
	}
}

// Subscribe has observer called with each later event, in log order under the
// state's lock, until the returned function is called. The observer must not
// call methods of s. Events do not cover Restore: observers that outlive one
// must be built anew.
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

// Replay gives observer the current state as events. A job that is not over
// comes as if it had just been submitted, followed by the starts, stops and
// ends that lead to its current tasks. A task that has ended comes as a start
// and an end on no worker with nothing reserved.
func (s *State) Replay(observe func(work.Event)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	s.replay(observe)
}

// Follow is Replay and then Subscribe with no command applied in between.
func (s *State) Follow(observe func(work.Event)) (cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replay(observe)
	return s.subscribe(observe)
}

func (s *State) replay(observe func(work.Event)) {
	for _, t := range ordered(s.teams) {
		observe(work.TeamEvent{Team: t.Team})
	}
	for _, e := range ordered(s.entries) {
		observe(work.EntryEvent{Entry: e.Entry})
	}
	for _, k := range ordered(s.keys) {
		observe(work.KeyEvent{Key: k})
	}
	for _, w := range ordered(s.workers) {
		observe(work.WorkerEvent{Worker: &w.Worker})
	}
	for _, j := range ordered(s.jobs) {
		if j.queued > 0 || j.running > 0 {
			j.replay(observe)
		}
	}
}

// replay presents the job as if its events happened now, on a copy that each
// event changes as it did in the log.
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

// ordered returns the values of m in the order of their keys.
func ordered[K cmp.Ordered, V any](m map[K]V) []V {
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

// normal returns t in the form that a snapshot gives it back, so that restored
// and original states are equal.
func normal(t time.Time) time.Time {
	if t.IsZero() {
		return time.Time{}
	}
	return t.UTC().Round(0)
}

func invalid(message string) Result { return Result{Code: Invalid, Message: message} }
