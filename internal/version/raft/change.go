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
	// joinFresh is the time for which a request to join counts; a replica
	// repeats it every joinInterval.
	joinFresh = time.Second
	// learnerTimeout is the time after which a silent non-voter is removed.
	learnerTimeout = 30 * time.Second
	// learnerBehind is the number of entries by which a non-voter may be
	// behind to become a voter.
	learnerBehind = 100
	// silentTimeout is the silence after which a voter of an even group is
	// dropped. It is above an election and a restart of the process, and below
	// the 4 s after which users expect a replaced VM to count.
	silentTimeout = 2500 * time.Millisecond
)

// Errors of membership changes.
var (
	// ErrMember tells that no member has the name.
	ErrMember = errors.New("no member has this name")
	// ErrQuorum tells that the change would leave too few live voters.
	ErrQuorum = errors.New("the change would leave too few live voters")
	// ErrChanging tells that another membership change is not committed yet.
	ErrChanging = errors.New("another membership change is in progress")
)

func (c *core) handleJoin(m Message) {
	s := c.membership()
	if c.role != leader || m.FromName == c.name || s.member(m.From) != nil || c.ignored(m.From) {
		return
	}
	known := c.open || slices.Contains(c.settings, m.FromName) || s.named(m.FromName, true) != nil
	if !known || slices.Contains(s.Retired, m.FromName) {
		c.log.Emit(event.JoinRefused, zap.String("name", m.FromName), zap.Uint64("identity", m.From))
		return
	}
	c.joins[m.FromName] = join{m.From, c.now}
}

// changeable tells whether a membership change may be proposed: the previous
// one and an entry of the own term are committed (Ongaro, raft-dev, 2015: bug
// in single-server membership changes).
func (c *core) changeable() bool {
	return c.role == leader && c.commit >= c.own && c.memberships[len(c.memberships)-1].index <= c.commit
}

// change proposes a membership.
func (c *core) change(m *Membership, id event.ID, p Member) uint64 {
	c.log.Emit(id, zap.String("name", p.Name), zap.Uint64("identity", p.Identity))
	index, _ := c.propose(c.now, disk.Membership, m.encode())
	return index
}

// maintain proposes the next change that admits a replica or replaces an
// identity, one at a time.
func (c *core) maintain() {
	if !c.changeable() {
		return
	}
	s := c.membership()
	if c.open && c.dropSilent() {
		return
	}
	for _, p := range s.Members {
		if !p.Voter && c.maintainLearner(p) {
			return
		}
	}
	for _, name := range c.settingsAndMembers() {
		j, ok := c.joins[name]
		if !ok || c.now.Sub(j.at) > joinFresh || s.member(j.identity) != nil || c.ignored(j.identity) {
			continue
		}
		if old := s.named(name, false); old != nil {
			c.change(s.without(old.Identity), event.MemberRemoved, *old)
			return
		}
		p := Member{Name: name, Identity: j.identity}
		n := s.clone()
		n.Members = append(n.Members, p)
		c.change(n, event.LearnerAdded, p)
		return
	}
}

// settingsAndMembers returns the names that may join in a fixed order.
func (c *core) settingsAndMembers() []string {
	names := slices.Clone(c.settings)
	for _, p := range c.membership().Members {
		if !slices.Contains(names, p.Name) {
			names = append(names, p.Name)
		}
	}
	if c.open {
		for _, name := range slices.Sorted(maps.Keys(c.joins)) {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// dropSilent removes the voter that has been silent for the longest, if the
// number of voters is even. An even group bears no more losses than one with a
// voter less, and it is even after a VM was replaced by one with another name.
// A voter that comes back with its disk may join again, as its promises stand.
// It reports whether it proposed a change.
func (c *core) dropSilent() bool {
	s := c.membership()
	if s.voters()%2 != 0 || s.voters() < 4 {
		return false
	}
	var silent Member
	since := c.now.Add(-silentTimeout)
	for _, p := range s.Members {
		if g := c.progress[p.Identity]; p.Voter && g != nil && g.acked.Before(since) {
			silent, since = p, g.acked
		}
	}
	if silent.Identity == 0 {
		return false
	}
	n := s.without(silent.Identity)
	n.Removed = s.Removed
	if !c.alive(n) {
		return false
	}
	c.change(n, event.MemberRemoved, silent)
	return true
}

// maintainLearner promotes a non-voter that has caught up, after removing the
// identity that it replaces. It reports whether it proposed a change.
func (c *core) maintainLearner(p Member) bool {
	s, g := c.membership(), c.progress[p.Identity]
	if c.now.Sub(g.heard) > learnerTimeout {
		// It never voted, so it may come back with the same disk.
		n := s.without(p.Identity)
		n.Removed = s.Removed
		c.change(n, event.MemberRemoved, p)
		return true
	}
	if g.probing || g.sending != nil || g.match+learnerBehind < c.entries.last() || c.now.Sub(g.heard) > c.electionMin {
		return false
	}
	if old := s.named(p.Name, true); old != nil {
		// A voter that still answers means two processes with one name.
		if o := c.progress[old.Identity]; o == nil || c.now.Sub(o.acked) < c.electionMax {
			return false
		}
		n := s.without(old.Identity)
		if !c.alive(n) {
			return false
		}
		c.change(n, event.MemberRemoved, *old)
		return true
	}
	n := s.clone()
	n.member(p.Identity).Voter = true
	c.change(n, event.VoterAdded, p)
	return true
}

// alive tells whether a quorum of a membership answered recently.
func (c *core) alive(m *Membership) bool {
	n := 0
	for _, p := range m.Members {
		g := c.progress[p.Identity]
		if p.Voter && (p.Identity == c.identity || g != nil && c.now.Sub(g.acked) < c.electionMin) {
			n++
		}
	}
	return m.voters() > 0 && n > m.voters()/2
}

// retire proposes to remove all identities of a name for good.
func (c *core) retire(now time.Time, name string) (uint64, error) {
	c.clock(now)
	if c.role != leader {
		return 0, ErrNotLeader
	}
	if !c.changeable() {
		return 0, ErrChanging
	}
	s := c.membership()
	n := s
	var gone Member
	for _, p := range s.Members {
		if p.Name == name {
			n, gone = n.without(p.Identity), p
		}
	}
	if n == s && slices.Contains(s.Retired, name) || gone.Name == "" && !slices.Contains(c.settings, name) {
		return 0, errors.Wrapf(ErrMember, "%q", name)
	}
	if !c.alive(n) {
		return 0, errors.Wrapf(ErrQuorum, "remove %q", name)
	}
	n = n.clone()
	if !slices.Contains(n.Retired, name) {
		n.Retired = append(n.Retired, name)
	}
	delete(c.joins, name)
	gone.Name = name
	return c.change(n, event.MemberRemoved, gone), nil
}

// admit proposes to let a name that was removed for good join again.
func (c *core) admit(now time.Time, name string) (uint64, error) {
	c.clock(now)
	if c.role != leader {
		return 0, ErrNotLeader
	}
	if !c.changeable() {
		return 0, ErrChanging
	}
	n := c.membership().clone()
	n.Retired = slices.DeleteFunc(n.Retired, func(s string) bool { return s == name })
	return c.change(n, event.MemberAllowed, Member{Name: name}), nil
}
