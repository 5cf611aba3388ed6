package raft

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

// foundingIndex and foundingTerm are the position of the snapshot that a new group
// starts from. It holds a membership and no state.
const (
	foundingIndex = 1
	foundingTerm  = 1
)

const (
	// foundingWait is how long a founder waits for the others once there are enough.
	foundingWait = time.Second
	// foundingGrace is how long a founding has to elect a leader before its members take
	// part in another one.
	foundingGrace = 3 * time.Second
	// foundingTurn is the time between the first rounds of two founders, so that they do not
	// compete.
	foundingTurn = 2 * time.Second
)

// founding is the state of the founding of a group.
//
// A founder collects reports of the others, and if enough of them have stored no entry of
// any group, it draws a group of those that reported and campaigns in it. Its pre-vote
// carries the membership, which the others adopt. Any founder may do so, each in its turn,
// and again if no leader is elected.
//
// No two groups commit anything, whatever the founders lose or hear late. A replica that
// stores an entry belongs to its group for good; one that has stored none may go to
// another. A group has so many members that the quorums of any two have a member in common.
// With each change of the group a replica goes to a later term, so that it never votes
// twice in a term of a group that it returns to.
//
// This needs disks that are not lost unnoticed. Where all replicas know that the system
// starts for the first time, each notes that on its disk, and only disks with the note
// found; a majority is enough. Otherwise an empty disk may be a lost one, and a group needs
// all founders, none of which has stored an entry.
type founding struct {
	round     uint64            // random number of the round that this replica runs; zero if it runs none
	began     time.Time         // the round
	reports   map[string]uint64 // identities of those that have stored no entry, by name
	others    map[string]bool   // of these, those that are no founders: only a group of all has them
	nextRound time.Time         // this replica starts no round before
	adoptedAt time.Time         // when the founding membership was adopted

	reportedRound uint64          // latest round that this replica reported to
	bound         map[uint64]bool // members of this replica's group that belong to another one
	own           bool            // all entries are this replica's own, as a leader of which it knows that it has committed nothing
}

// undecided reports whether this replica has stored no entry of a group.
func (c *core) undecided() bool { return c.entries.last() <= foundingIndex }

// founders returns the names that may found the group, or nil if this replica is none of
// them, and how many have to take part.
func (c *core) founders() (names []string, needed int) {
	if m := c.membership(); m != nil && len(m.Founders) > 0 {
		return m.Founders, foundersNeeded(len(m.Founders))
	}
	if c.founded || !slices.Contains(c.configured, c.name) {
		return nil, 0
	}
	return c.configured, len(c.configured)
}

// foundersNeeded returns the smallest majority of founders any two of which form groups
// whose quorums have a member in common.
func foundersNeeded(founders int) int {
	n := founders/2 + 1
	for n < founders && 2*(n/2+1) <= founders {
		n++
	}
	return n
}

// noteFounders notes on a disk without a group that this replica is one of the founders.
func (c *core) noteFounders(names []string) {
	m := &Membership{Group: c.randomNonzero(), Founders: names}
	for _, name := range names {
		m.Members = append(m.Members, Member{Name: name})
	}
	c.installSnapshot(disk.Snapshot{Index: foundingIndex, Term: foundingTerm, Membership: m.encode()})
}

// foundOrJoin continues a founding if this replica is a founder, and asks to join
// a group.
func (c *core) foundOrJoin() {
	if c.now.Before(c.joinDue) {
		return
	}
	c.joinDue = c.now.Add(joinInterval)
	switch {
	case c.leader != 0:
	case c.undecided():
		c.found()
	case !c.mayBeGivenUp():
	case !c.founding.own:
		c.askBound()
	case !c.now.Before(c.lastContact.Add(foundingGrace)):
		c.giveUp(0)
	}
	c.join()
}

// found starts a round in its turn, asks those that have not reported, and proposes the
// group once enough have.
func (c *core) found() {
	f := &c.founding
	names, _ := c.founders()
	switch {
	case names == nil, c.isFounding():
		return
	case len(names) == 1:
		c.adoptFounding(c.proposal())
		return
	case f.round == 0 || !c.now.Before(f.began.Add(foundingGrace)):
		turn := slices.Index(names, c.name)
		if f.nextRound.IsZero() {
			f.nextRound = c.now.Add(time.Duration(turn) * foundingTurn)
		}
		if c.now.Before(f.nextRound) {
			return
		}
		f.round, f.began, f.reports, f.others = c.randomNonzero(), c.now, map[string]uint64{}, map[string]bool{}
		f.nextRound = c.now.Add(foundingGrace + time.Duration(len(names))*time.Duration(c.random.Int64N(int64(foundingTurn))))
	}
	for _, name := range names {
		if name != c.name && f.reports[name] == 0 {
			c.send(true, name, Message{Type: Report, Nonce: f.round, Names: names})
		}
	}
	c.proposeGroup()
}

// isFounding reports whether the members of a founding that this replica has adopted may
// still elect a leader.
func (c *core) isFounding() bool {
	return c.isMember() && c.undecided() && (c.leader != 0 || c.now.Before(c.founding.adoptedAt.Add(foundingGrace)))
}

// randomNonzero returns a random number other than zero.
func (c *core) randomNonzero() uint64 {
	for {
		if n := c.random.Uint64(); n != 0 {
			return n
		}
	}
}

// adoptFounding installs a founding membership as the first snapshot. It belongs to another
// group, so that this replica's votes count no more.
func (c *core) adoptFounding(m *Membership) {
	c.term, c.vote, c.hardStateChanged = max(c.term+1, foundingTerm), 0, true
	c.role = follower
	c.forgetLeader()
	c.lastContact, c.noLeaderSinceStart = c.now, false
	c.founding = founding{nextRound: c.founding.nextRound, adoptedAt: c.now}
	c.resetElectionTimer()
	c.installSnapshot(disk.Snapshot{Index: foundingIndex, Term: foundingTerm, Membership: m.encode()})
	c.log.Emit(event.GroupFounded, zap.Uint64("group", m.Group), zap.Int("members", len(m.Members)))
}

func (c *core) stepFounding(m Message) {
	switch m.Type {
	case Join:
		c.handleJoin(m)
	case JoinAnswer:
		c.handleJoinAnswer(m)
	case Report:
		c.handleReport(m)
	case ReportAnswer:
		c.handleReportAnswer(m)
	}
}

// handleReport answers a founder. A replica that has just adopted a founding does not take
// part in another one.
func (c *core) handleReport(m Message) {
	names, _ := c.founders()
	if names != nil && !slices.Equal(names, m.Names) {
		c.log.Emit(event.FoundingRefused, zap.Strings("theirs", m.Names), zap.Strings("ours", names))
		return
	}
	if c.isFounding() {
		return
	}
	if f := &c.founding; names != nil && f.reportedRound != m.Nonce {
		f.reportedRound = m.Nonce
		f.nextRound = c.now.Add(foundingGrace + time.Duration(slices.Index(names, c.name))*foundingTurn)
	}
	a := Message{Type: ReportAnswer, Empty: c.undecided(), Reject: names == nil, Hint: m.Nonce}
	if !a.Empty {
		a.HintTerm = c.membership().Group
	}
	c.answer(m, a)
}

func (c *core) handleReportAnswer(m Message) {
	f := &c.founding
	names, _ := c.founders()
	if f.round == 0 || m.Hint != f.round || !slices.Contains(names, m.FromName) || c.isFounding() {
		return
	}
	if !c.undecided() {
		c.noteBound(m)
		return
	}
	if !m.Empty {
		f.round = 0 // there is a group, whose leader admits this replica
		return
	}
	f.reports[m.FromName] = m.From
	if m.Reject {
		f.others[m.FromName] = true
	}
	c.proposeGroup()
}

// proposeGroup adopts a group of those that have reported, if there are enough and the
// others have had their time, and campaigns in it.
func (c *core) proposeGroup() {
	f := &c.founding
	names, needed := c.founders()
	if f.round == 0 || 1+len(f.reports) < len(names) && (1+len(f.reports)-len(f.others) < needed || c.now.Before(f.began.Add(foundingWait))) {
		return
	}
	c.adoptFounding(c.proposal())
	c.electionDeadline = c.now
}

// mayBeGivenUp reports whether this replica's group has committed nothing as far as it
// knows, and has founders that may have founded another one.
func (c *core) mayBeGivenUp() bool {
	m := c.membership()
	return c.membership() != nil && c.commit <= foundingIndex && c.memberships[len(c.memberships)-1].index == foundingIndex && len(m.Founders) > 0
}

// askBound asks the founders which group they belong to.
func (c *core) askBound() {
	f := &c.founding
	if f.bound == nil {
		f.round, f.bound = c.randomNonzero(), map[uint64]bool{}
	}
	names, _ := c.founders()
	for _, name := range names {
		if name != c.name {
			c.send(true, name, Message{Type: Report, Nonce: f.round, Names: names})
		}
	}
}

// noteBound records that a founder belongs to another group for good, so that it has stored
// nothing of this replica's group and never will. Without a quorum, that one is given up.
func (c *core) noteBound(m Message) {
	f, s := &c.founding, c.membership()
	if f.bound == nil || m.Empty || m.HintTerm == 0 || m.HintTerm == s.Group || !c.mayBeGivenUp() || c.leader != 0 {
		return
	}
	f.bound[m.From] = true
	left := 0
	for _, p := range s.Members {
		if p.Voter && !f.bound[p.Identity] {
			left++
		}
	}
	if left < c.quorum() {
		c.giveUp(m.HintTerm)
	}
}

// giveUp leaves a group that has committed nothing, for another one if that is known.
func (c *core) giveUp(other uint64) {
	s := c.membership()
	c.log.Emit(event.GroupGivenUp, zap.Uint64("group", s.Group), zap.Uint64("other", other))
	c.term, c.vote, c.hardStateChanged, c.role = c.term+1, 0, true, follower
	c.founding = founding{nextRound: c.now.Add(foundingGrace)}
	c.noteFounders(s.Founders)
}

// proposal returns a group of this replica and those that have reported.
func (c *core) proposal() *Membership {
	names, _ := c.founders()
	m := &Membership{Group: c.randomNonzero()}
	if o := c.membership(); o != nil {
		m.Founders = o.Founders
	}
	for _, name := range names {
		if name == c.name {
			m.Members = append(m.Members, Member{Name: name, Identity: c.identity, Voter: true})
		} else if id := c.founding.reports[name]; id != 0 && (!c.founding.others[name] || len(c.founding.reports)+1 == len(names)) {
			m.Members = append(m.Members, Member{Name: name, Identity: id, Voter: true})
		}
	}
	return m
}

// stepOtherGroup handles a message of a group that this replica does not belong to. A
// replica that has stored no entry adopts a founding, and installs the snapshot of a leader
// that knows its identity.
func (c *core) stepOtherGroup(m Message) {
	if !c.undecided() {
		return
	}
	switch m.Type {
	case PreVote, Vote:
		s, err := decodeMembership(m.Membership)
		if err == nil && s.Group == m.Group && s.isVoter(c.identity) && (!c.isFounding() || m.Index > foundingIndex) {
			c.adoptFounding(s)
		}
	case Append, Chunk:
		if m.Term < c.term {
			// It may have voted in this term of the group before.
			c.answer(m, Message{Type: AppendAnswer, Index: m.Index, Reject: true})
			return
		}
		if m.Type == Append {
			c.answer(m, Message{Type: AppendAnswer, Index: m.Index, Reject: true, Term: m.Term})
			return
		}
		if !c.addChunk(m) {
			return
		}
		s := c.takeIncoming(m)
		if !c.installSnapshot(s) {
			return
		}
		c.term, c.vote, c.hardStateChanged = m.Term, 0, true
		c.recordLeaderContact(m)
		c.log.Emit(event.SnapshotInstalled, zap.Uint64("entry", s.Index), zap.Int("bytes", len(s.Data)))
		c.answer(m, Message{Type: AppendAnswer, Index: s.Index})
	}
}
