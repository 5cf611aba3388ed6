package leader

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// announcementTime is the longest time until a runner has to be announced
	// again.
	announcementTime = 30 * time.Second
	// tombstoneTime is how long a runner that is gone stays in the list, for
	// entry VMs that lack the change. Others get the whole list.
	tombstoneTime = 60 * time.Second
	// moves bounds the runners that change their owner in one sweep for the
	// sake of balance, as each move costs its owner's knowledge of the slots.
	moves = 4
	// imbalance is the difference in runners between two entry VMs from which
	// runners move. With a difference of one nothing is gained.
	imbalance = 2
)

// runners is the list of runners with their owners.
type runners struct {
	byID      map[control.RunnerID]*runner
	version   uint64 // of the list
	forgotten uint64 // version of the last change that is no longer in the list
	complete  bool   // every runner that was owned when the term began has been announced
}

// runner is a runner as announced, with its owner.
type runner struct {
	route     control.Route
	boot      uint64
	announced bool      // address and slots are known in this term
	deadline  time.Time // the announcement ends then; for a runner that is gone, the list forgets it
	version   uint64    // of the list at the runner's last change
	claim     claim     // list on which its owner's claim rests, at the beginning of a term
	releasing string    // owner that was asked to give the runner up; empty if none
	used      int64     // slots taken by the owner, as it reported last
	reported  int64     // busy requests by the runner's own count
	cleared   time.Time // requests of former owners are over by then
}

// claim names a list of runners: the term of the leader that sent it and its
// version. Of two entry VMs that claim a runner from a new leader, the one with
// the later list owns it; the other one missed that it lost the runner.
type claim struct{ term, version uint64 }

func (c claim) later(than claim) bool {
	return cmp.Or(cmp.Compare(c.term, than.term), cmp.Compare(c.version, than.version)) > 0
}

func (r *runners) init() {
	r.byID = make(map[control.RunnerID]*runner)
	r.version = 1
}

// touch marks a runner as changed.
func (r *runners) touch(n *runner) {
	r.version++
	n.version = r.version
}

// ids returns the runners in a fixed order.
func (r *runners) ids() []control.RunnerID {
	return slices.SortedFunc(maps.Keys(r.byID), func(a, b control.RunnerID) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Name, b.Name))
	})
}

// announced takes in an announcement or a leave.
func (s *sessions) announced(r *control.RunnerReport, now time.Time) {
	n := s.runners.byID[r.Runner]
	if r.Leaving {
		if n != nil && !n.route.Gone && (n.boot == r.Boot || !n.announced) {
			s.drop(n, now)
		}
		return
	}
	if reason := s.unfit(r); reason != "" {
		s.term.emit(event.RunnerRefused, zap.String("entry", r.Runner.Entry), zap.String("runner", r.Runner.Name), zap.String("reason", reason))
		return
	}
	deadline := now.Add(announcementTime)
	if !r.Deadline.IsZero() {
		deadline = earliest(deadline, r.Deadline)
	}
	if !deadline.After(now) {
		return // a late report of an announcement that is over
	}
	if n == nil || n.route.Gone {
		n = &runner{}
		s.runners.byID[r.Runner] = n
	}
	if !n.announced || n.boot != r.Boot {
		s.term.emit(event.RunnerJoined, zap.String("entry", r.Runner.Entry), zap.String("runner", r.Runner.Name), zap.String("zone", r.Zone))
	}
	if n.announced && n.boot != r.Boot {
		n.cleared = time.Time{} // requests of the former process are over
	}
	route := control.Route{
		Runner: r.Runner, Owner: n.route.Owner, Address: r.Address, Zone: r.Zone,
		Slots: r.Slots, Connections: r.Connections, Busy: min(n.route.Busy, max(0, r.Busy)),
	}
	if !now.Before(n.cleared) {
		route.Busy = 0
	}
	n.boot, n.deadline, n.announced, n.reported = r.Boot, deadline, true, max(0, r.Busy)
	if route != n.route {
		n.route = route
		s.runners.touch(n)
	}
}

// unfit returns why a runner cannot be announced, or an empty string.
func (s *sessions) unfit(r *control.RunnerReport) string {
	e, ok := s.term.state().Entry(r.Runner.Entry)
	switch {
	case !ok || e.Retired:
		return "there is no such entry"
	case e.Class != work.Service:
		return "the entry is not a service"
	case e.Owner != r.Team:
		return "the entry is owned by another team"
	case r.Slots <= 0 || r.Connections < 0:
		return "the runner has no slots"
	}
	return ""
}

// drop takes a runner out of service. It stays in the list for a while, so that
// entry VMs learn of it.
func (s *sessions) drop(n *runner, now time.Time) {
	n.route.Gone, n.route.Owner, n.releasing = true, "", ""
	n.deadline = now.Add(tombstoneTime)
	s.runners.touch(n)
	s.term.emit(event.RunnerGone, zap.String("entry", n.route.Runner.Entry), zap.String("runner", n.route.Runner.Name))
}

// owned takes in the runners that an entry VM reports as owned. A new leader
// takes over owners as they are reported. A runner that its owner was asked to
// release, and that the owner no longer reports after it has the change, is
// free.
func (s *sessions) owned(e *session, r *control.Renewal) {
	holds := make(map[control.RunnerID]bool, len(r.Owned))
	for _, o := range r.Owned {
		holds[o.Runner] = true
		n := s.runners.byID[o.Runner]
		if n == nil && !s.settled {
			n = &runner{route: control.Route{Runner: o.Runner}, deadline: s.term.since.Add(announcementTime)}
			s.runners.byID[o.Runner] = n
		}
		if n == nil || n.route.Gone {
			continue
		}
		if !s.settled && n.releasing == "" && n.route.Owner != e.name {
			s.claimed(n, e)
		}
		if n.route.Owner == e.name || n.releasing == e.name {
			n.used = max(0, o.Used)
		}
	}
	for _, n := range s.runners.byID {
		if n.releasing == e.name && !holds[n.route.Runner] && (e.routes >= n.version || !s.term.leader.on(guardRelease)) {
			n.releasing = ""
		}
	}
}

// claimed gives a runner to an entry VM that reports to own it to a new leader,
// unless another one has the better claim. The loser gets the list, so that it
// learns of it.
func (s *sessions) claimed(n *runner, e *session) {
	other := s.entries[n.route.Owner]
	if other != nil && !e.claim.later(n.claim) && s.term.leader.on(guardClaim) {
		e.listed = true
		return
	}
	if other != nil {
		other.listed = true
	}
	n.route.Owner, n.claim = e.name, e.claim
	s.runners.touch(n)
}

// orphan takes the runners of an ended session away from it.
func (s *sessions) orphan(entry string) {
	for _, id := range s.runners.ids() {
		n := s.runners.byID[id]
		if n.releasing == entry {
			n.releasing = ""
		}
		if n.route.Owner == entry {
			n.route.Owner = ""
			s.runners.touch(n)
		}
	}
}

// release asks the owner of a runner to give it up.
func (s *sessions) release(n *runner) {
	n.releasing, n.route.Owner = n.route.Owner, ""
	if !s.term.leader.on(guardRelease) {
		n.releasing = ""
	}
	s.runners.touch(n)
}

// tendRunners drops silent runners, gives runners without an owner to one, and
// evens out the load.
func (s *sessions) tendRunners(now time.Time) {
	for _, id := range s.runners.ids() {
		n := s.runners.byID[id]
		switch {
		case n.route.Gone && !now.Before(n.deadline):
			s.runners.forgotten = max(s.runners.forgotten, n.version)
			delete(s.runners.byID, id)
		case n.route.Gone:
		case !now.Before(n.deadline) || s.retired(id.Entry):
			s.drop(n, now)
		case n.route.Busy > 0 && !now.Before(n.cleared):
			n.route.Busy = 0
			s.runners.touch(n)
		}
	}
	if !s.settled {
		return
	}
	s.runners.complete = s.runners.complete || s.allAnnounced() || !now.Before(s.term.since.Add(announcementTime))
	s.assign(now)
	s.balance()
}

func (s *sessions) retired(entry string) bool {
	e, ok := s.term.state().Entry(entry)
	return !ok || e.Retired
}

func (s *sessions) allAnnounced() bool {
	for _, n := range s.runners.byID {
		if !n.announced && !n.route.Gone {
			return false
		}
	}
	return true
}

// assign gives every free runner to an entry VM. The new owner counts as taken
// what the runner still handles for former owners.
func (s *sessions) assign(now time.Time) {
	loads := s.loads()
	for _, id := range s.runners.ids() {
		n := s.runners.byID[id]
		if n.route.Gone || n.route.Owner != "" || n.releasing != "" || !n.announced {
			continue
		}
		owner := s.choose(loads, n.route.Zone)
		if owner == "" {
			return
		}
		loads[owner]++
		n.route.Owner = owner
		n.route.Busy = max(n.reported, n.used)
		n.used = 0
		n.cleared = now.Add(requestTime)
		s.runners.touch(n)
		s.term.emit(event.RunnerAssigned, zap.String("service", id.Entry), zap.String("runner", id.Name),
			zap.String("entry", owner), zap.Int64("busy", n.route.Busy))
	}
}

// loads returns the number of runners of each entry VM that takes runners.
func (s *sessions) loads() map[string]int {
	loads := make(map[string]int)
	for name, e := range s.entries {
		if !e.draining && e.recorded {
			loads[name] = 0
		}
	}
	for _, n := range s.runners.byID {
		if _, ok := loads[n.route.Owner]; ok && !n.route.Gone {
			loads[n.route.Owner]++
		}
	}
	return loads
}

// choose returns the entry VM with the fewest runners. One in the runner's
// availability zone is preferred if it has at most one more than that.
func (s *sessions) choose(loads map[string]int, zone string) string {
	best, least := "", math.MaxInt
	local, leastLocal := "", math.MaxInt
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		if loads[name] < least {
			best, least = name, loads[name]
		}
		if s.entries[name].zone == zone && loads[name] < leastLocal {
			local, leastLocal = name, loads[name]
		}
	}
	if local != "" && leastLocal <= least+1 {
		return local
	}
	return best
}

// balance releases runners of entry VMs that drain, and a few of an entry VM
// that has more than its part.
func (s *sessions) balance() {
	loads := s.loads()
	if len(loads) == 0 {
		return
	}
	pending := 0
	for _, id := range s.runners.ids() {
		n := s.runners.byID[id]
		if s.drains(n.route.Owner) {
			s.release(n)
		}
		if n.releasing != "" {
			pending++
		}
	}
	for ; pending < moves; pending++ {
		from, to := extremes(loads)
		if loads[from]-loads[to] <= imbalance {
			return
		}
		n := s.movable(from, s.entries[to].zone)
		if n == nil {
			return
		}
		s.release(n)
		loads[from]--
		loads[to]++
	}
}

// extremes returns the entry VMs with the most and the fewest runners.
func extremes(loads map[string]int) (most, fewest string) {
	for i, name := range slices.Sorted(maps.Keys(loads)) {
		if i == 0 || loads[name] > loads[most] {
			most = name
		}
		if i == 0 || loads[name] < loads[fewest] {
			fewest = name
		}
	}
	return most, fewest
}

// movable returns a runner of an entry VM, preferably in the given zone.
func (s *sessions) movable(owner, zone string) *runner {
	var any *runner
	for _, id := range s.runners.ids() {
		n := s.runners.byID[id]
		if n.route.Owner != owner || n.route.Gone || !n.announced {
			continue
		}
		if n.route.Zone == zone {
			return n
		}
		if any == nil {
			any = n
		}
	}
	return any
}

// routes returns what an entry VM lacks of the list of runners. A new leader
// gives out no list until it is complete, because one without a runner would
// make its owner drop it, except to entry VMs that may own a runner wrongly.
func (s *sessions) routes(e *session, now time.Time) (routes []control.Route, full bool, version uint64) {
	if !s.runners.complete && (!e.listed || !s.term.leader.on(guardListed)) {
		return nil, false, 0
	}
	full = e.routes == 0 || e.routes < s.runners.forgotten || e.routes > s.runners.version
	if !full && e.routes == s.runners.version {
		return nil, false, s.runners.version
	}
	for _, id := range s.runners.ids() {
		n := s.runners.byID[id]
		if full && !n.route.Gone && n.announced || !full && n.version > e.routes {
			routes = append(routes, n.route)
		}
	}
	return routes, full, s.runners.version
}
