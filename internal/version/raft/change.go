package raft

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

const (
	// learnerTimeout is the silence after which a non-voter is removed.
	learnerTimeout = 30 * time.Second
	// learnerMaxLag is the number of entries by which a non-voter may lag when it
	// becomes a voter.
	learnerMaxLag = 100
	// silentVoterTimeout is the silence after which a voter is removed from a
	// group with an even number of voters, which costs no tolerance. It is longer
	// than an election, and as short as a replacement may take to count.
	silentVoterTimeout = time.Second
)

// Errors of membership changes.
var (
	// ErrNoMember means that no member has the name.
	ErrNoMember = errors.New("no member has this name")
	// ErrNoQuorum means that the change would leave no quorum of live voters.
	ErrNoQuorum = errors.New("the change would leave too few live voters")
	// ErrChangeInProgress means that another membership change is not committed
	// yet.
	ErrChangeInProgress = errors.New("another membership change is in progress")
)

// canChangeMembership reports whether a membership change may be proposed: the
// previous change and an entry of this leader's term must be committed (Ongaro,
// raft-dev, 2015: bug in single-server membership changes).
func (c *core) canChangeMembership() bool {
	return c.role == leader && c.commit >= c.termStart && c.memberships[len(c.memberships)-1].index <= c.commit
}

// proposeMembership proposes a membership, logs the change of member p, and
// returns the index of the entry.
func (c *core) proposeMembership(m *Membership, id event.ID, p Member) uint64 {
	c.log.Emit(id, zap.String("name", p.Name), zap.Uint64("identity", p.Identity))
	index, _ := c.propose(c.now, disk.Membership, m.encode())
	return index
}

// maintainMembership proposes the next change that removes a silent member or
// admits, promotes or replaces one, if no other change is in progress.
func (c *core) maintainMembership() {
	if !c.canChangeMembership() {
		return
	}
	s := c.membership()
	if c.open && c.removeSilentVoter() {
		return
	}
	for _, p := range s.Members {
		if !p.Voter && c.maintainLearner(p) {
			return
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.joinRequests)) {
		j := c.joinRequests[name]
		if !c.now.Before(j.deadline) || s.member(j.identity) != nil || c.isRemoved(j.identity) {
			delete(c.joinRequests, name)
			continue
		}
		if old := s.memberNamed(name, false); old != nil {
			c.proposeMembership(s.without(old.Identity), event.MemberRemoved, *old)
			return
		}
		p := Member{Name: name, Identity: j.identity}
		n := s.clone()
		n.Members = append(n.Members, p)
		c.proposeMembership(n, event.LearnerAdded, p)
		return
	}
}

// removeSilentVoter removes the voter that has been silent for the longest, if
// the number of voters is even and at least 4. An even group tolerates no more
// failures than one with a voter less, and a group becomes even when a VM is
// replaced by one with another name. The identity is not listed as removed: a
// voter that comes back with its disk may join again, as its votes and entries
// are still valid. It reports whether it proposed a change.
func (c *core) removeSilentVoter() bool {
	s := c.membership()
	if s.voterCount()%2 != 0 || s.voterCount() < 4 {
		return false
	}
	var silent Member
	since := c.now.Add(-silentVoterTimeout)
	for _, p := range s.Members {
		if g := c.progress[p.Identity]; p.Voter && g != nil && g.ackedAt.Before(since) {
			silent, since = p, g.ackedAt
		}
	}
	if silent.Identity == 0 {
		return false
	}
	n := s.without(silent.Identity)
	n.Removed = s.Removed
	if !c.hasLiveQuorum(n) {
		return false
	}
	c.proposeMembership(n, event.MemberRemoved, silent)
	return true
}

// maintainLearner removes a non-voter that is silent. If it has caught up, it
// removes the voter that it replaces, or else promotes it. It reports whether it
// proposed a change.
func (c *core) maintainLearner(p Member) bool {
	s, g := c.membership(), c.progress[p.Identity]
	if c.now.Sub(g.heardAt) > learnerTimeout {
		// It never voted, so it may come back with the same disk.
		n := s.without(p.Identity)
		n.Removed = s.Removed
		c.proposeMembership(n, event.MemberRemoved, p)
		return true
	}
	if g.probing || g.outgoingSnapshot != nil || g.matchIndex+learnerMaxLag < c.entries.last() || c.now.Sub(g.heardAt) > c.electionMin {
		return false
	}
	if old := s.memberNamed(p.Name, true); old != nil {
		// If the old voter still answers, two processes run under one name.
		if o := c.progress[old.Identity]; o == nil || c.now.Sub(o.ackedAt) < c.electionMax {
			return false
		}
		n := s.without(old.Identity)
		if !c.hasLiveQuorum(n) {
			return false
		}
		c.proposeMembership(n, event.MemberRemoved, *old)
		return true
	}
	n := s.clone()
	n.member(p.Identity).Voter = true
	c.proposeMembership(n, event.VoterAdded, p)
	return true
}

// hasLiveQuorum reports whether a quorum of a membership answered recently.
func (c *core) hasLiveQuorum(m *Membership) bool {
	n := 0
	for _, p := range m.Members {
		g := c.progress[p.Identity]
		if p.Voter && (p.Identity == c.identity || g != nil && c.now.Sub(g.ackedAt) < c.electionMin) {
			n++
		}
	}
	return m.voterCount() > 0 && n > m.voterCount()/2
}

// retire proposes to remove all identities of a name and to refuse the name from
// then on.
func (c *core) retire(now time.Time, name string) (uint64, error) {
	c.advanceClock(now)
	if c.role != leader {
		return 0, ErrNotLeader
	}
	if !c.canChangeMembership() {
		return 0, ErrChangeInProgress
	}
	s := c.membership()
	n := s
	var gone Member
	for _, p := range s.Members {
		if p.Name == name {
			n, gone = n.without(p.Identity), p
		}
	}
	if n == s && slices.Contains(s.Retired, name) || gone.Name == "" && !slices.Contains(c.configured, name) {
		return 0, errors.Wrapf(ErrNoMember, "%q", name)
	}
	if !c.hasLiveQuorum(n) {
		return 0, errors.Wrapf(ErrNoQuorum, "remove %q", name)
	}
	n = n.clone()
	if !slices.Contains(n.Retired, name) {
		n.Retired = append(n.Retired, name)
	}
	delete(c.joinRequests, name)
	gone.Name = name
	return c.proposeMembership(n, event.MemberRemoved, gone), nil
}

// allow proposes to let a retired name join again.
func (c *core) allow(now time.Time, name string) (uint64, error) {
	c.advanceClock(now)
	if c.role != leader {
		return 0, ErrNotLeader
	}
	if !c.canChangeMembership() {
		return 0, ErrChangeInProgress
	}
	n := c.membership().clone()
	n.Retired = slices.DeleteFunc(n.Retired, func(s string) bool { return s == name })
	return c.proposeMembership(n, event.MemberAllowed, Member{Name: name}), nil
}
