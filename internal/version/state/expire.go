package state

import (
	"slices"
	"time"
)

const (
	// ExpireBatch bounds the records other than sessions that one Expire drops,
	// so that a single command does not block the state machine for long.
	ExpireBatch = 10_000
	// sessionRetention is how long an ended session is kept. It is longer than
	// the longest request deadline, which is 30 s.
	sessionRetention = 5 * time.Minute
)

// expire drops records that are past their deadline: at most ExpireBatch, and
// all sessions that ended long enough ago.
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

// expireOne drops one expired record from the head of a queue. It returns false
// if there is none.
func (s *State) expireOne(now time.Time) bool {
	switch {
	case len(s.intentsByDeadline) > 0 && !now.Before(s.intentsByDeadline[0].Intent.Deadline):
		s.removeIntent(s.intentsByDeadline[0])
	case s.operatorResults.oldestExpired(now):
		s.operatorResults.removeOldest()
	case s.submissionResults.oldestExpired(now):
		s.submissionResults.removeOldest()
	case s.endedJobs.len() > 0 && !now.Before(s.endedJobs.first().Deadline):
		id := s.endedJobs.first().Item
		s.endedJobs.pop()
		delete(s.teams[s.jobs[id].Team].jobs, id)
		delete(s.jobs, id)
	case s.goneWorkers.len() > 0 && !now.Before(s.goneWorkers.first().Deadline):
		d := s.goneWorkers.first()
		s.goneWorkers.pop()
		s.removeGoneWorker(d)
	default:
		return false
	}
	return true
}

// HasExpired reports whether Expire would drop anything at the given time.
func (s *State) HasExpired(now time.Time) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, v := range s.sessions {
		if !v.Ended.IsZero() && !now.Before(v.Ended.Add(sessionRetention)) {
			return true
		}
	}
	return len(s.intentsByDeadline) > 0 && !now.Before(s.intentsByDeadline[0].Intent.Deadline) ||
		s.operatorResults.oldestExpired(now) || s.submissionResults.oldestExpired(now) ||
		s.endedJobs.len() > 0 && !now.Before(s.endedJobs.first().Deadline) ||
		s.goneWorkers.len() > 0 && !now.Before(s.goneWorkers.first().Deadline)
}

func (t *dedupTable) oldestExpired(now time.Time) bool {
	return t.queue.len() > 0 && !now.Before(t.queue.first().Deadline)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
