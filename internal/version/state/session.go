package state

import "time"

// SessionRecord describes the latest session of an entry VM.
type SessionRecord struct {
	Entry string
	Boot  uint64
	Ended time.Time // zero until the session ends

	// Former is when the entry VM's previous session ended or was replaced by
	// this one; zero if there was none.
	Former time.Time
}

// recordSession records that a session of an entry VM began or ended.
func (s *State) recordSession(c *Session) Result {
	last := s.sessions[c.Entry]
	switch {
	case !validName(c.Entry):
		return invalid("the name of the entry VM is not valid")
	case !c.Ended:
		n := &SessionRecord{Entry: c.Entry, Boot: c.Boot}
		switch {
		case last == nil:
		case !last.Ended.IsZero():
			n.Former = last.Ended
		case last.Boot != c.Boot:
			n.Former = s.now
		default:
			n.Former = last.Former
		}
		s.sessions[c.Entry] = n
	case last == nil || last.Boot != c.Boot:
		return Result{Code: NotFound, Message: "there is no such session"}
	case last.Ended.IsZero():
		last.Ended = s.now
	}
	return Result{Code: OK}
}

// Sessions returns the latest session of each entry VM, sorted by name.
func (s *State) Sessions() []SessionRecord {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]SessionRecord, 0, len(s.sessions))
	for _, v := range sortedValues(s.sessions) {
		out = append(out, *v)
	}
	return out
}
