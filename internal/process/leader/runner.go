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
	// announcementTTL is the longest time for which an announcement of a runner
	// is valid.
	announcementTTL = 30 * time.Second
	// tombstoneTTL is how long a runner that is gone stays in the list, so that
	// entry VMs receive the change. Those that are further behind get the whole
	// list.
	tombstoneTTL = 60 * time.Second
	// maxMoves bounds the runners that change their owner at a time to balance
	// the load, as each move loses the owner's knowledge of the slots in use.
	maxMoves = 4
	// maxImbalance is the largest difference in runners between two entry VMs
	// that is tolerated. At a difference of one, a move would gain nothing.
	maxImbalance = 2
)

// runners is the list of runners with their owners.
type runners struct {
	byID          map[control.RunnerID]*runner
	version       uint64 // of the list
	prunedVersion uint64 // version of the last change that is no longer in the list
	complete      bool   // every runner that had an owner when the term started has been announced or had time to be
}

// runner is an announced runner and its owner.
type runner struct {
	route            control.Route
	boot             uint64
	announced        bool      // address and slots are known in this term
	deadline         time.Time // end of the announcement; for a runner that is gone, when it leaves the list
	version          uint64    // of the list after the runner's last change
	claim            claim     // runner list on which the owner's claim is based, at the start of a term
	releasing        string    // owner that was asked to release the runner; empty if none
	used             int64     // slots in use by the owner, as last reported
	reportedBusy     int64     // requests in progress, as counted by the runner
	handoverDeadline time.Time // requests of former owners have ended by then
}

// claim identifies the runner list on which an entry VM bases its ownership of
// runners: the term of the leader that sent it and its version. If two entry VMs
// claim a runner from a new leader, the one with the newer list owns it; the
// other one missed the change of the owner.
type claim struct{ term, version uint64 }

func (c claim) newerThan(than claim) bool {
	return cmp.Or(cmp.Compare(c.term, than.term), cmp.Compare(c.version, than.version)) > 0
}

func (r *runners) init() {
	r.byID = make(map[control.RunnerID]*runner)
	r.version = 1
}

// markChanged gives a changed runner the next version of the list.
func (r *runners) markChanged(n *runner) {
	r.version++
	n.version = r.version
}

// sortedIDs returns the IDs of all runners in sorted order.
func (r *runners) sortedIDs() []control.RunnerID {
	return slices.SortedFunc(maps.Keys(r.byID), func(a, b control.RunnerID) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Name, b.Name))
	})
}

// acceptAnnouncement processes an announcement or a leave of a runner.
func (s *sessions) acceptAnnouncement(r *control.RunnerReport, now time.Time) {
	n := s.runners.byID[r.Runner]
	if r.Leaving {
		if n != nil && !n.route.Gone && (n.boot == r.Boot || !n.announced) {
			s.markGone(n, now)
		}
		return
	}
	if reason := s.announcementRefusal(r); reason != "" {
		s.term.emit(event.RunnerRefused, zap.String("entry", r.Runner.Entry), zap.String("runner", r.Runner.Name), zap.String("reason", reason))
		return
	}
	deadline := now.Add(announcementTTL)
	if !r.Deadline.IsZero() {
		deadline = earliest(deadline, r.Deadline)
	}
	if !deadline.After(now) {
		return // the announcement has already expired
	}
	if n == nil || n.route.Gone {
		n = &runner{}
		s.runners.byID[r.Runner] = n
	}
	if !n.announced || n.boot != r.Boot {
		s.term.emit(event.RunnerJoined, zap.String("entry", r.Runner.Entry), zap.String("runner", r.Runner.Name), zap.String("zone", r.Zone))
	}
	if n.announced && n.boot != r.Boot {
		n.handoverDeadline = time.Time{} // requests of the former process have ended
	}
	route := control.Route{
		Runner: r.Runner, Owner: n.route.Owner, Address: r.Address, Zone: r.Zone,
		Slots: r.Slots, Connections: r.Connections, Busy: min(n.route.Busy, max(0, r.Busy)),
	}
	if !now.Before(n.handoverDeadline) {
		route.Busy = 0
	}
	n.boot, n.deadline, n.announced, n.reportedBusy = r.Boot, deadline, true, max(0, r.Busy)
	if route != n.route {
		n.route = route
		s.runners.markChanged(n)
	}
}

// announcementRefusal returns why an announcement is invalid or does not match
// the catalogue, or an empty string.
func (s *sessions) announcementRefusal(r *control.RunnerReport) string {
	e, ok := s.term.state().Entry(r.Runner.Entry)
	switch {
	case !ok || e.Retired:
		return "there is no such entry"
	case e.Class != work.Service:
		return "the entry is not a service"
	case e.Owner != r.Team:
		return "the entry is owned by another team"
	case r.Slots <= 0 || r.Connections < 0:
		return "the number of slots is not positive or the number of connections is negative"
	}
	return ""
}

// markGone takes a runner out of service. It stays in the list for a while, so
// that entry VMs learn that it is gone.
func (s *sessions) markGone(n *runner, now time.Time) {
	n.route.Gone, n.route.Owner, n.releasing = true, "", ""
	n.deadline = now.Add(tombstoneTTL)
	s.runners.markChanged(n)
	s.term.emit(event.RunnerGone, zap.String("entry", n.route.Runner.Entry), zap.String("runner", n.route.Runner.Name))
}

// acceptOwned processes the runners that an entry VM reports as owned. A new
// leader adopts owners as they are reported. A runner that its owner was asked to
// release becomes free once the owner has received that change and no longer
// reports the runner.
func (s *sessions) acceptOwned(e *session, r *control.Renewal) {
	owned := make(map[control.RunnerID]bool, len(r.Owned))
	for _, o := range r.Owned {
		owned[o.Runner] = true
		n := s.runners.byID[o.Runner]
		if n == nil && !s.recovered {
			n = &runner{route: control.Route{Runner: o.Runner}, deadline: s.term.startedAt.Add(announcementTTL)}
			s.runners.byID[o.Runner] = n
		}
		if n == nil || n.route.Gone {
			continue
		}
		if !s.recovered && n.releasing == "" && n.route.Owner != e.name {
			s.resolveClaim(n, e)
		}
		if n.route.Owner == e.name || n.releasing == e.name {
			n.used = max(0, o.Used)
		}
	}
	for _, n := range s.runners.byID {
		if n.releasing == e.name && !owned[n.route.Runner] && (e.routesVersion >= n.version || !s.term.leader.enabled(guardReleaseFirst)) {
			n.releasing = ""
		}
	}
}

// resolveClaim makes an entry VM that claims a runner from a new leader its
// owner, unless the claim of another one is at least as new. The loser gets the
// list, so that it learns that it does not own the runner.
func (s *sessions) resolveClaim(n *runner, e *session) {
	other := s.entries[n.route.Owner]
	if other != nil && !e.claim.newerThan(n.claim) && s.term.leader.enabled(guardNewestClaim) {
		e.needsRoutes = true
		return
	}
	if other != nil {
		other.needsRoutes = true
	}
	n.route.Owner, n.claim = e.name, e.claim
	s.runners.markChanged(n)
}

// orphanRunners removes the ended session of an entry VM as owner of its runners.
func (s *sessions) orphanRunners(entry string) {
	for _, id := range s.runners.sortedIDs() {
		n := s.runners.byID[id]
		if n.releasing == entry {
			n.releasing = ""
		}
		if n.route.Owner == entry {
			n.route.Owner = ""
			s.runners.markChanged(n)
		}
	}
}

// requestRelease asks the owner of a runner to release it.
func (s *sessions) requestRelease(n *runner) {
	n.releasing, n.route.Owner = n.route.Owner, ""
	if !s.term.leader.enabled(guardReleaseFirst) {
		n.releasing = ""
	}
	s.runners.markChanged(n)
}

// maintainRunners removes runners whose announcement has expired, assigns runners
// without an owner, and balances the load.
func (s *sessions) maintainRunners(now time.Time) {
	for _, id := range s.runners.sortedIDs() {
		n := s.runners.byID[id]
		switch {
		case n.route.Gone && !now.Before(n.deadline):
			s.runners.prunedVersion = max(s.runners.prunedVersion, n.version)
			delete(s.runners.byID, id)
		case n.route.Gone:
		case !now.Before(n.deadline) || s.entryRetired(id.Entry):
			s.markGone(n, now)
		case n.route.Busy > 0 && !now.Before(n.handoverDeadline):
			n.route.Busy = 0
			s.runners.markChanged(n)
		}
	}
	if !s.recovered {
		return
	}
	s.runners.complete = s.runners.complete || s.allAnnounced() || !now.Before(s.term.startedAt.Add(announcementTTL))
	s.assignOwners(now)
	s.rebalance()
}

func (s *sessions) entryRetired(entry string) bool {
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

// assignOwners assigns every free runner to an entry VM. Requests that the runner
// still handles for former owners count as slots in use.
func (s *sessions) assignOwners(now time.Time) {
	counts := s.runnerCounts()
	for _, id := range s.runners.sortedIDs() {
		n := s.runners.byID[id]
		if n.route.Gone || n.route.Owner != "" || n.releasing != "" || !n.announced {
			continue
		}
		owner := s.chooseOwner(counts, n.route.Zone)
		if owner == "" {
			return
		}
		counts[owner]++
		n.route.Owner = owner
		n.route.Busy = max(n.reportedBusy, n.used)
		n.used = 0
		n.handoverDeadline = now.Add(maxRequestDuration)
		s.runners.markChanged(n)
		s.term.emit(event.RunnerAssigned, zap.String("service", id.Entry), zap.String("runner", id.Name),
			zap.String("entry", owner), zap.Int64("busy", n.route.Busy))
	}
}

// runnerCounts returns the number of runners of each entry VM that accepts
// runners.
func (s *sessions) runnerCounts() map[string]int {
	counts := make(map[string]int)
	for name, e := range s.entries {
		if !e.draining && e.recorded {
			counts[name] = 0
		}
	}
	for _, n := range s.runners.byID {
		if _, ok := counts[n.route.Owner]; ok && !n.route.Gone {
			counts[n.route.Owner]++
		}
	}
	return counts
}

// chooseOwner returns the entry VM with the fewest runners. One in the runner's
// availability zone is preferred if it has at most one more.
func (s *sessions) chooseOwner(counts map[string]int, zone string) string {
	best, least := "", math.MaxInt
	local, leastLocal := "", math.MaxInt
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if counts[name] < least {
			best, least = name, counts[name]
		}
		if s.entries[name].zone == zone && counts[name] < leastLocal {
			local, leastLocal = name, counts[name]
		}
	}
	if local != "" && leastLocal <= least+1 {
		return local
	}
	return best
}

// rebalance releases the runners of draining entry VMs, and moves a few runners
// from the entry VM with the most to the one with the fewest.
func (s *sessions) rebalance() {
	counts := s.runnerCounts()
	if len(counts) == 0 {
		return
	}
	pending := 0
	for _, id := range s.runners.sortedIDs() {
		n := s.runners.byID[id]
		if s.isDraining(n.route.Owner) {
			s.requestRelease(n)
		}
		if n.releasing != "" {
			pending++
		}
	}
	for ; pending < maxMoves; pending++ {
		from, to := extremes(counts)
		if counts[from]-counts[to] <= maxImbalance {
			return
		}
		n := s.pickMovable(from, s.entries[to].zone)
		if n == nil {
			return
		}
		s.requestRelease(n)
		counts[from]--
		counts[to]++
	}
}

// extremes returns the entry VMs with the most and with the fewest runners.
func extremes(counts map[string]int) (most, fewest string) {
	for i, name := range slices.Sorted(maps.Keys(counts)) {
		if i == 0 || counts[name] > counts[most] {
			most = name
		}
		if i == 0 || counts[name] < counts[fewest] {
			fewest = name
		}
	}
	return most, fewest
}

// pickMovable returns a runner of an entry VM, preferably one in the given zone,
// or nil if there is none.
func (s *sessions) pickMovable(owner, zone string) *runner {
	var fallback *runner
	for _, id := range s.runners.sortedIDs() {
		n := s.runners.byID[id]
		if n.route.Owner != owner || n.route.Gone || !n.announced {
			continue
		}
		if n.route.Zone == zone {
			return n
		}
		if fallback == nil {
			fallback = n
		}
	}
	return fallback
}

// routeChanges returns the part of the runner list that an entry VM lacks. A new
// leader sends no list until it is complete, because an owner would drop a runner
// that is missing from it. Entry VMs whose ownership of runners may be outdated
// get the list anyway.
func (s *sessions) routeChanges(e *session, now time.Time) (routes []control.Route, full bool, version uint64) {
	if !s.runners.complete && (!e.needsRoutes || !s.term.leader.enabled(guardEarlyRoutes)) {
		return nil, false, 0
	}
	full = e.routesVersion == 0 || e.routesVersion < s.runners.prunedVersion || e.routesVersion > s.runners.version
	if !full && e.routesVersion == s.runners.version {
		return nil, false, s.runners.version
	}
	for _, id := range s.runners.sortedIDs() {
		n := s.runners.byID[id]
		if full && !n.route.Gone && n.announced || !full && n.version > e.routesVersion {
			routes = append(routes, n.route)
		}
	}
	return routes, full, s.runners.version
}
