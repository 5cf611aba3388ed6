package state

import (
	"slices"
	"time"
)

const (
	// ExpireBatch bounds the records that one Expire drops, so that it does
	// not hold up the state machine.
	ExpireBatch = 10_000
	// sessionRetention is how long the end of a session is kept. It is longer
	// than the longest request deadline, which is 30 s.
	sessionRetention = 5 * time.Minute
)

// expire drops records that are past their deadline, at most ExpireBatch.
func (s *State) expire() Result {
	n := 0
	for n < ExpireBatch && s.expireOne(s.now) {
		n++
	}
	for _, name := range sortedKeys(s.sessions) {
		if v := s.sessions[name]; !v.Ended.IsZero() && !s.now.Before(v.Ended.Add(sessionRetention)) {
			delete(s.sessions, name)
			n++
		}
	}
	return Result{Code: OK, Count: n}
}

// expireOne drops the record at the head of one of the queues if it is due.
func (s *State) expireOne(now time.Time) bool {
	switch {
	case len(s.deadlines) > 0 && !now.Before(s.deadlines[0].Intent.Deadline):
		s.forgetIntent(s.deadlines[0])
	case s.operators.due(now):
		s.operators.drop()
	case s.callers.due(now):
		s.callers.drop()
	case s.ended.len() > 0 && !now.Before(s.ended.first().Deadline):
		id := s.ended.first().Item
		s.ended.pop()
		delete(s.teams[s.jobs[id].Team].jobs, id)
		delete(s.jobs, id)
	case s.gone.len() > 0 && !now.Before(s.gone.first().Deadline):
		d := s.gone.first()
		s.gone.pop()
		s.forget(d)
	default:
		return false
	}
	return true
}

// Due reports whether Expire would drop anything at the given time.
func (s *State) Due(now time.Time) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, v := range s.sessions {
		if !v.Ended.IsZero() && !now.Before(v.Ended.Add(sessionRetention)) {
			return true
		}
	}
	return len(s.deadlines) > 0 && !now.Before(s.deadlines[0].Intent.Deadline) ||
		s.operators.due(now) || s.callers.due(now) ||
		s.ended.len() > 0 && !now.Before(s.ended.first().Deadline) ||
		s.gone.len() > 0 && !now.Before(s.gone.first().Deadline)
}

func (l *ledger) due(now time.Time) bool {
	return l.queue.len() > 0 && !now.Before(l.queue.first().Deadline)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
