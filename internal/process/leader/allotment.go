package leader

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
)

// allotment is how the limit of a team on requests in flight is split over the
// entry VMs. An entry VM sends a renewal only after the call of the former one
// is over, so that what it reports as held is exact: no grant that could raise
// it is under way.
type allotment struct {
	held    map[string]holding // by entry VM
	back    []heldBack
	unheard int64 // kept back for entry VMs that a new leader has not heard of
}

// holding is what an entry VM holds and would use of a team's limit.
type holding struct {
	held int64
	used int64
	want int64
}

// heldBack is what a session held when it ended. Requests that it admitted may
// still run until the longest request deadline has passed.
type heldBack struct {
	entry  string
	boot   uint64
	amount int64
	until  time.Time
}

func (s *sessions) team(name string) *allotment {
	a := s.teams[name]
	if a == nil {
		a = &allotment{held: make(map[string]holding)}
		s.teams[name] = a
	}
	return a
}

// accept takes over what the first renewal of a session reports. A new leader
// takes holdings as they are reported. Later, an unknown session can hold only
// what is kept back for it; anything else is past its deadline.
func (s *sessions) accept(e *session, r *control.Renewal, now time.Time) {
	for _, u := range r.Teams {
		s.team(u.Team).held[e.name] = newHolding(max(0, u.Held), u)
	}
	for _, a := range s.teams {
		h := a.held[e.name]
		if held := a.reclaim(e, h.held, now); held < h.held && s.settled {
			h.held = max(held, h.used)
			a.held[e.name] = h
		}
	}
}

// update takes over what a later renewal of a session reports.
func (s *sessions) update(e *session, r *control.Renewal) {
	for _, a := range s.teams {
		delete(a.held, e.name)
	}
	for _, u := range r.Teams {
		s.team(u.Team).held[e.name] = newHolding(max(0, u.Held), u)
	}
}

// newHolding counts requests in flight as held, as they are until they end.
func newHolding(held int64, u control.TeamUse) holding {
	used := max(0, u.Used)
	return holding{held: max(held, used), used: used, want: max(used, u.Wanted)}
}

// reclaim gives a session back what is kept back for it, up to an amount. The
// rest is free at once: the process is the same, so that it knows of all
// requests that it admitted.
func (a *allotment) reclaim(e *session, amount int64, now time.Time) int64 {
	got := int64(0)
	for i := range a.back {
		b := &a.back[i]
		if b.entry == e.name && b.boot == e.boot && now.Before(b.until) {
			got += min(b.amount, amount-got)
			b.amount = 0
		}
	}
	n := min(a.unheard, amount-got)
	a.unheard -= n
	return got + n
}

// keepBack keeps back what an ended session held.
func (s *sessions) keepBack(e *session, now time.Time) {
	for _, a := range s.teams {
		h, ok := a.held[e.name]
		delete(a.held, e.name)
		if ok && h.held > 0 && s.term.leader.on(guardHold) {
			a.back = append(a.back, heldBack{e.name, e.boot, h.held, now.Add(requestTime)})
		}
	}
}

// releaseBack frees what was kept back long enough.
func (s *sessions) releaseBack(now time.Time) {
	for name, a := range s.teams {
		a.back = slices.DeleteFunc(a.back, func(b heldBack) bool { return b.amount == 0 || !now.Before(b.until) })
		if !now.Before(s.unheard) {
			a.unheard = 0
		}
		if len(a.held) == 0 && len(a.back) == 0 && a.unheard == 0 {
			delete(s.teams, name)
		}
	}
}

// reserveUnheard keeps back, for every team with a limit, what no entry VM has
// reported.
func (s *sessions) reserveUnheard() {
	for _, t := range s.term.state().Catalogue(false).Teams {
		if t.Requests > 0 {
			a := s.team(t.Name)
			a.unheard = max(0, t.Requests-a.sum())
		}
	}
}

// sum returns what is held and kept back.
func (a *allotment) sum() int64 {
	n := a.unheard
	for _, h := range a.held {
		n += h.held
	}
	for _, b := range a.back {
		n += b.amount
	}
	return n
}

// allot sets the allotments of an entry VM for the teams that it reported. An
// allotment grows only by what nobody holds. It shrinks by asking: what the
// entry VM holds counts as held until it reports less.
func (s *sessions) allot(e *session, r *control.Renewal, now time.Time) []control.TeamGrant {
	grants := make([]control.TeamGrant, 0, len(r.Teams))
	for _, u := range r.Teams {
		limit, ok := s.term.state().Limit(u.Team)
		if ok && limit == 0 {
			continue // needs no allotment
		}
		a := s.team(u.Team)
		h, reported := a.held[e.name]
		if !reported {
			continue // named twice
		}
		granted := h.held
		if s.settled {
			granted = s.target(a, e.name, limit)
			if free := limit - a.sum(); granted > h.held {
				granted = h.held + min(granted-h.held, max(0, free))
			}
		}
		if granted > h.held {
			h.held = granted
			a.held[e.name] = h
		}
		grants = append(grants, control.TeamGrant{Team: u.Team, Granted: granted})
	}
	return grants
}

// target returns the fair part of an entry VM: wants are filled evenly up to
// the limit (max-min fairness), and what is left is spread over all entry VMs.
// The parts of those that do not use the team stay free, so that the first
// request of the team there need not wait until another one gives up its part.
func (s *sessions) target(a *allotment, name string, limit int64) int64 {
	left := max(0, limit-a.kept())
	names := slices.SortedFunc(maps.Keys(a.held), func(x, y string) int {
		return cmp.Or(cmp.Compare(s.want(a, x), s.want(a, y)), cmp.Compare(x, y))
	})
	part := int64(0)
	for i, n := range names {
		p := min(s.want(a, n), left/int64(len(names)-i))
		left -= p
		if n == name {
			part = p
		}
	}
	if s.drains(name) {
		return part
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
	part += left / serving
	if place < left%serving {
		part++
	}
	return part
}

// kept returns what is kept back.
func (a *allotment) kept() int64 {
	n := a.unheard
	for _, b := range a.back {
		n += b.amount
	}
	return n
}

// want returns what an entry VM could use. One that drains takes no new
// requests.
func (s *sessions) want(a *allotment, name string) int64 {
	if s.drains(name) {
		return a.held[name].used
	}
	return a.held[name].want
}

func (s *sessions) drains(name string) bool {
	e := s.entries[name]
	return e != nil && e.draining
}
