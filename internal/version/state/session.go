package state

import (
	"cmp"
	"slices"
	"time"
)

// SessionRecord describes the latest session of an entry VM.
type SessionRecord struct {
	Entry    string
	Boot     uint64
	Sequence uint64    // of the renewal that last changed the record
	Ended    time.Time // zero until the session ends
	Held     Holdings

	// Former is when the session of the entry VM's previous process ended or was
	// replaced; zero if there was none. FormerHeld covers that process, and the
	// ones before it whose requests may still have been running then.
	Former     time.Time
	FormerHeld Holdings
}

// Holdings bounds the allotments that an entry VM may hold.
type Holdings struct {
	Known bool // if false, the entry VM may hold the limit of any team
	Teams []TeamHolding
}

// TeamHolding is the part of a team's limit on requests in flight that an entry
// VM may hold.
type TeamHolding struct {
	Team   string
	Amount int64
}

// formerRetention is how long the holdings of a replaced session are kept. It is
// longer than a session and the longest request deadline together, which is 33 s.
const formerRetention = time.Minute

// recordSession records that a session of an entry VM began, changed its
// allotments, or ended.
func (s *State) recordSession(c *Session) Result {
	last := s.sessions[c.Entry]
	switch {
	case !validName(c.Entry):
		return invalid("the name of the entry VM is not valid")
	case last != nil && last.Boot == c.Boot && c.Sequence < last.Sequence && s.enabled(guardSequence):
		return Result{Code: Conflict, Message: "a later renewal of the session is recorded"}
	case !c.Ended:
		s.sessions[c.Entry] = s.nextSession(c, last)
	case last == nil || last.Boot != c.Boot:
		return Result{Code: NotFound, Message: "there is no such session"}
	case last.Ended.IsZero():
		last.Ended = s.now
	}
	return Result{Code: OK}
}

// nextSession returns the record of a session that follows the last record of the
// entry VM, which may be of the same session.
func (s *State) nextSession(c *Session, last *SessionRecord) *SessionRecord {
	n := &SessionRecord{Entry: c.Entry, Boot: c.Boot, Sequence: c.Sequence, Held: c.Held}
	if last == nil {
		n.FormerHeld.Known = true
		return n
	}
	n.Former, n.FormerHeld = last.Former, last.FormerHeld
	if last.Boot == c.Boot {
		return n // the process itself reports the requests of its last session
	}
	n.Former = last.Ended
	if last.Ended.IsZero() {
		n.Former = s.now
	}
	n.FormerHeld = last.Held
	if s.now.Before(last.Former.Add(formerRetention)) && s.enabled(guardFormer) {
		n.FormerHeld = last.Held.add(last.FormerHeld)
	}
	return n
}

// Of returns the part of a team's limit that an entry VM may hold.
func (h Holdings) Of(team string, limit int64) int64 {
	if !h.Known {
		return limit
	}
	for _, t := range h.Teams {
		if t.Team == team {
			return t.Amount
		}
	}
	return 0
}

// Covers reports whether h includes the other holdings, which are known.
func (h Holdings) Covers(other Holdings) bool {
	return !slices.ContainsFunc(other.Teams, func(t TeamHolding) bool { return t.Amount > h.Of(t.Team, t.Amount) })
}

// Min returns what both h and the other holdings include, which are known.
func (h Holdings) Min(other Holdings) Holdings {
	both := Holdings{Known: true}
	for _, t := range h.Teams {
		if t.Amount = min(t.Amount, other.Of(t.Team, 0)); t.Amount > 0 {
			both.Teams = append(both.Teams, t)
		}
	}
	return both
}

// add returns the sum of two holdings.
func (h Holdings) add(other Holdings) Holdings {
	sum := Holdings{Known: h.Known && other.Known, Teams: slices.Clone(h.Teams)}
	for _, t := range other.Teams {
		if i := slices.IndexFunc(sum.Teams, func(u TeamHolding) bool { return u.Team == t.Team }); i >= 0 {
			sum.Teams[i].Amount += t.Amount
		} else {
			sum.Teams = append(sum.Teams, t)
		}
	}
	slices.SortFunc(sum.Teams, func(a, b TeamHolding) int { return cmp.Compare(a.Team, b.Team) })
	return sum
}

// lead begins the term of a leader.
func (s *State) lead(c *Lead, term uint64) Result {
	s.term = max(s.term, term)
	if !c.Holdings && s.enabled(guardHoldings) {
		for _, v := range s.sessions {
			v.Held = Holdings{}
		}
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
