package leader

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
)

// allotment is the distribution of a team's limit on requests in flight among the
// entry VMs. An entry VM sends a renewal only after the call of the previous one
// has ended, so what it reports as held is exact: no grant that could raise it is
// in transit.
type allotment struct {
	holdings map[string]holding // by entry VM
	withheld []withheldAmount
}

// formerBoot stands for all former processes of an entry VM. No process has it.
const formerBoot = 0

// holding is what an entry VM holds, uses and could use of a team's limit.
type holding struct {
	held   int64
	inUse  int64
	wanted int64
}

// withheldAmount is what a session held when it ended, or may hold that has not
// reported to a new leader. Requests that it admitted may still run until the
// longest request deadline has passed.
type withheldAmount struct {
	entry  string
	boot   uint64
	amount int64
	until  time.Time
}

func (s *sessions) teamAllotment(name string) *allotment {
	a := s.teams[name]
	if a == nil {
		a = &allotment{holdings: make(map[string]holding)}
		s.teams[name] = a
	}
	return a
}

// initHoldings records what the first renewal of a session reports. The session
// can hold only what is withheld for it; anything else is past its deadline.
func (s *sessions) initHoldings(e *session, r *control.Renewal, now time.Time) {
	for _, u := range r.Teams {
		s.teamAllotment(u.Team).holdings[e.name] = newHolding(max(0, u.Held), u)
	}
	for _, a := range s.teams {
		h, reported := a.holdings[e.name]
		if held := a.reclaim(e, h.held, now); reported && held < h.held {
			h.held = max(held, h.inUse)
			a.holdings[e.name] = h
		}
	}
}

// updateHoldings records what a later renewal of a session reports.
func (s *sessions) updateHoldings(e *session, r *control.Renewal) {
	for _, a := range s.teams {
		delete(a.holdings, e.name)
	}
	for _, u := range r.Teams {
		s.teamAllotment(u.Team).holdings[e.name] = newHolding(max(0, u.Held), u)
	}
}

// newHolding returns a holding in which requests in flight count as held, as they
// are until they end.
func newHolding(held int64, u control.TeamUse) holding {
	used := max(0, u.Used)
	return holding{held: max(held, used), inUse: used, wanted: max(used, u.Wanted)}
}

// reclaim returns what is withheld for a session to it, up to an amount. The rest
// is freed at once: the process is the same, so it knows of all requests that it
// admitted.
func (a *allotment) reclaim(e *session, amount int64, now time.Time) int64 {
	got := int64(0)
	for i := range a.withheld {
		b := &a.withheld[i]
		if b.entry == e.name && b.boot == e.boot && now.Before(b.until) {
			got += min(b.amount, amount-got)
			b.amount = 0
		}
	}
	return got
}

// withhold withholds what an ended session held.
func (s *sessions) withhold(e *session, now time.Time) {
	for _, a := range s.teams {
		h, ok := a.holdings[e.name]
		delete(a.holdings, e.name)
		if ok && h.held > 0 && s.term.leader.enabled(guardWithholdEnded) {
			a.withheld = append(a.withheld, withheldAmount{e.name, e.boot, h.held, now.Add(maxRequestDuration)})
		}
	}
}

// releaseExpired frees what was withheld long enough.
func (s *sessions) releaseExpired(now time.Time) {
	for name, a := range s.teams {
		a.withheld = slices.DeleteFunc(a.withheld, func(b withheldAmount) bool { return b.amount == 0 || !now.Before(b.until) })
		if len(a.holdings) == 0 && len(a.withheld) == 0 {
			delete(s.teams, name)
		}
	}
}

// withholdRecorded withholds what the sessions in the log may hold, which a new
// leader does not know yet.
func (s *sessions) withholdRecorded() {
	for _, v := range s.term.state().Sessions() {
		s.withholdHoldings(v.Entry, v.Boot, v.Held, s.lastUse(v.Ended))
		if !v.Former.IsZero() {
			s.withholdHoldings(v.Entry, formerBoot, v.FormerHeld, s.lastUse(v.Former.Add(sessionDuration)))
		}
	}
}

// lastUse returns until when requests may run that a session admitted before the
// given time, as stamped by a former leader's clock, or until its deadline if the
// time is zero. No session of a former leader is valid for longer than its last
// grant, which it sent before this term.
func (s *sessions) lastUse(ended time.Time) time.Time {
	until := s.term.startedAt.Add(sessionDuration)
	if !ended.IsZero() && ended.Before(until) {
		until = ended
	}
	return until.Add(sessionMargin + maxRequestDuration)
}

// withholdHoldings withholds what a session may hold.
func (s *sessions) withholdHoldings(entry string, boot uint64, held state.Holdings, until time.Time) {
	if !s.term.startedAt.Before(until) {
		return
	}
	for _, t := range s.term.state().Catalogue(false).Teams {
		if amount := held.Of(t.Name, t.Requests); amount > 0 {
			a := s.teamAllotment(t.Name)
			a.withheld = append(a.withheld, withheldAmount{entry, boot, amount, until})
		}
	}
}

// withheldUntil returns until when anything is withheld, or the zero time.
func (s *sessions) withheldUntil() (until time.Time) {
	for _, a := range s.teams {
		for _, b := range a.withheld {
			if b.amount > 0 && b.until.After(until) {
				until = b.until
			}
		}
	}
	return until
}

// total returns the sum of what is held and withheld.
func (a *allotment) total() int64 {
	n := a.totalWithheld()
	for _, h := range a.holdings {
		n += h.held
	}
	return n
}

// allot returns the allotments of an entry VM for the teams that it reported. An
// allotment grows only by what nobody holds. A smaller allotment is a request:
// what the entry VM holds counts as held until it reports less.
func (s *sessions) allot(e *session, r *control.Renewal, now time.Time) []control.TeamGrant {
	grants := make([]control.TeamGrant, 0, len(r.Teams))
	for _, u := range r.Teams {
		limit, ok := s.term.state().RequestLimit(u.Team)
		if ok && limit == 0 {
			continue // the team has no limit
		}
		a := s.teamAllotment(u.Team)
		h, reported := a.holdings[e.name]
		if !reported {
			continue // no holding is recorded
		}
		granted := s.fairShare(a, e.name, limit)
		if free := limit - a.total(); granted > h.held {
			granted = h.held + min(granted-h.held, max(0, free))
		}
		if granted > h.held {
			h.held = granted
			a.holdings[e.name] = h
		}
		grants = append(grants, control.TeamGrant{Team: u.Team, Granted: granted})
	}
	return grants
}

// fairShare returns the fair share of an entry VM: demands are met evenly up to
// the limit (max-min fairness), and the remainder is spread over all entry VMs
// that do not drain. The shares of those that do not use the team stay free, so
// that the first request of the team there need not wait until another one gives
// up its share.
func (s *sessions) fairShare(a *allotment, name string, limit int64) int64 {
	remaining := max(0, limit-a.usedElsewhere(limit))
	names := slices.SortedFunc(maps.Keys(a.holdings), func(x, y string) int {
		return cmp.Or(cmp.Compare(s.wantedBy(a, x), s.wantedBy(a, y)), cmp.Compare(x, y))
	})
	share := int64(0)
	for i, n := range names {
		p := min(s.wantedBy(a, n), remaining/int64(len(names)-i))
		remaining -= p
		if n == name {
			share = p
		}
	}
	if s.isDraining(name) {
		return share
	}
	place, serving := int64(0), int64(0)
	for n, e := range s.entries {
		if e.draining {
			continue
		}
		serving++
		if n < name {
			place++
		}
	}
	share += remaining / serving
	if place < remaining%serving {
		share++
	}
	return share
}

// totalWithheld returns the sum of what is withheld.
func (a *allotment) totalWithheld() int64 {
	n := int64(0)
	for _, b := range a.withheld {
		n += b.amount
	}
	return n
}

// usedElsewhere returns what is held by sessions that have ended or have not
// reported, at most. All holdings together are within the limit, while what is
// withheld for a new leader is only a bound.
func (a *allotment) usedElsewhere(limit int64) int64 {
	withheld := a.totalWithheld()
	return min(withheld, max(0, limit-(a.total()-withheld)))
}

// wantedBy returns what an entry VM could use. One that drains accepts no new
// requests.
func (s *sessions) wantedBy(a *allotment, name string) int64 {
	if s.isDraining(name) {
		return a.holdings[name].inUse
	}
	return a.holdings[name].wanted
}

func (s *sessions) isDraining(name string) bool {
	e := s.entries[name]
	return e != nil && e.draining
}
