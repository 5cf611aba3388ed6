package state

import "time"

// SessionView tells of the last session of an entry VM.
type SessionView struct {
	Entry string
	Boot  uint64
	Ended time.Time // zero while the session lasts

	// Former is when the entry VM's last session before this one ended or was
	// replaced by it; zero if there was none.
	Former time.Time
}

// session records that a session of an entry VM began or ended.
func (s *State) session(c *Session) Result {
	known := s.sessions[c.Entry]
	switch {
	case !validName(c.Entry):
		return invalid("the name of the entry VM is not valid")
	case !c.Ended:
		n := &SessionView{Entry: c.Entry, Boot: c.Boot}
		switch {
		case known == nil:
		case !known.Ended.IsZero():
			n.Former = known.Ended
		case known.Boot != c.Boot:
			n.Former = s.now
		default:
			n.Former = known.Former
		}
		s.sessions[c.Entry] = n
	case known == nil || known.Boot != c.Boot:
		return Result{Code: NotFound, Message: "there is no such session"}
	case known.Ended.IsZero():
		known.Ended = s.now
	}
	return Result{Code: OK}
}

// Sessions returns the last session of each entry VM, by name.
func (s *State) Sessions() []SessionView {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]SessionView, 0, len(s.sessions))
	for _, v := range ordered(s.sessions) {
		out = append(out, *v)
	}
	return out
}
