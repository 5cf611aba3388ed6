package raft

import (
	"slices"

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

// report is what a configured replica reported to the founder.
type report struct {
	identity uint64
	nonce    uint64
}

// founding is the state of the founding of a group.
//
// The first name in the settings is the founder, unless its group exists already. It collects reports from all
// other replicas, and when all disks are empty, it sends the founding membership
// to them. Each persists it and answers; the founder persists it last, which
// completes the founding. A new round begins when the founder starts or a replica
// reports a changed disk or one that is not empty. A nonce binds the membership to the receiver's report in the
// latest round, so that a delayed membership of an older round is refused and
// two foundings cannot both complete.
//
// The founder campaigns first. Its pre-vote confirms to the other replicas that
// the founding is complete; they campaign only after that. A replica that has
// neither voted nor received an entry has promised nothing. It reports an empty
// disk until the founding is confirmed, follows a leader of any group that has
// its identity as a member, and adopts the membership from a voter that asks for
// its vote. A voter without entries is in the founding membership, since later
// members become voters only once they have caught up.
type founding struct {
	round    uint64            // founder: random number of the current round
	reports  map[string]report // founder: reports of this round by name
	proposed *Membership       // founder: membership sent to the others
	accepted map[uint64]bool   // founder: identities that persisted it

	reportedRound uint64 // round of the latest report
	nonce         uint64

	confirmed bool // the founding is known to be complete
}

// promisedNothing reports whether this replica has neither voted nor stored an entry.
func (c *core) promisedNothing() bool {
	return c.term <= foundingTerm && c.vote == 0 && c.entries.last() <= foundingIndex
}

// acceptsFounding reports whether this replica may accept a founding membership.
func (c *core) acceptsFounding() bool { return c.promisedNothing() && !c.founding.confirmed }

func (c *core) isFounder() bool {
	return !c.founded && len(c.configured) > 0 && c.configured[0] == c.name
}

// foundOrJoin continues a founding if this replica is the founder, and asks to join
// a group.
func (c *core) foundOrJoin() {
	if c.now.Before(c.joinDue) {
		return
	}
	c.joinDue = c.now.Add(joinInterval)
	if c.isFounder() && c.membership() == nil && c.acceptsFounding() {
		if len(c.configured) == 1 {
			c.adoptFounding(&Membership{Group: c.randomNonzero(), Members: []Member{{Name: c.name, Identity: c.identity, Voter: true}}}, true)
			return
		}
		if c.founding.round == 0 {
			c.newRound()
		}
		for _, name := range c.configured[1:] {
			c.send(true, name, Message{Type: Report, Nonce: c.founding.round})
		}
		c.sendProposedMembership()
	}
	c.join()
}

// randomNonzero returns a random number other than zero.
func (c *core) randomNonzero() uint64 {
	for {
		if n := c.random.Uint64(); n != 0 {
			return n
		}
	}
}

// adoptFounding installs a founding membership as the first snapshot.
func (c *core) adoptFounding(m *Membership, confirmed bool) {
	c.term, c.vote, c.founding.confirmed = foundingTerm, 0, confirmed
	c.lastContact, c.noLeaderSinceStart = c.now, false
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
	case Found:
		c.handleFound(m)
	case FoundAnswer:
		c.handleFoundAnswer(m)
	}
}

// mayFound reports whether a replica may found this replica's group. Only one that
// started before there was a group acts as founder. A replica that has restarted
// meanwhile may have other settings than the founder, and follows it.
func (c *core) mayFound(name string) bool {
	return c.founded || len(c.configured) > 0 && name == c.configured[0]
}

func (c *core) handleReport(m Message) {
	if !c.mayFound(m.FromName) {
		return
	}
	if f := &c.founding; f.reportedRound != m.Nonce {
		f.reportedRound, f.nonce = m.Nonce, c.randomNonzero()
	}
	c.answer(m, Message{Type: ReportAnswer, Empty: c.acceptsFounding(), Nonce: c.founding.nonce, Hint: m.Nonce})
}

func (c *core) handleReportAnswer(m Message) {
	if !c.isFounder() || c.membership() != nil || !slices.Contains(c.configured, m.FromName) {
		return
	}
	f := &c.founding
	if m.Hint != f.round {
		return
	}
	old, known := f.reports[m.FromName]
	if !m.Empty || known && old.identity != m.From {
		c.newRound()
		return
	}
	f.reports[m.FromName] = report{m.From, m.Nonce}
	if f.proposed == nil && len(f.reports) == len(c.configured)-1 {
		f.proposed = &Membership{Group: c.randomNonzero()}
		for _, name := range c.configured {
			id := c.identity
			if name != c.name {
				id = f.reports[name].identity
			}
			f.proposed.Members = append(f.proposed.Members, Member{Name: name, Identity: id, Voter: true})
		}
		c.sendProposedMembership()
	}
}

// newRound discards what the founder has collected and starts a new round.
func (c *core) newRound() {
	c.founding.round = c.randomNonzero()
	c.founding.reports, c.founding.accepted, c.founding.proposed = map[string]report{}, map[uint64]bool{}, nil
}

// sendProposedMembership sends the proposed membership to the members that have
// not accepted it.
func (c *core) sendProposedMembership() {
	f := &c.founding
	if f.proposed == nil {
		return
	}
	for _, p := range f.proposed.Members {
		if p.Identity != c.identity && !f.accepted[p.Identity] {
			c.send(true, p.Name, Message{Type: Found, To: p.Identity, Membership: f.proposed.encode(), Nonce: f.reports[p.Name].nonce})
		}
	}
}

func (c *core) handleFound(m Message) {
	s, err := decodeMembership(m.Membership)
	if err != nil || !c.mayFound(m.FromName) || s.member(c.identity) == nil {
		return
	}
	names := s.names()
	if !c.founded && !slices.Equal(names, c.configured) {
		c.log.Emit(event.FoundingRefused, zap.Strings("theirs", names), zap.Strings("ours", c.configured))
		return
	}
	if o := c.membership(); o == nil || o.Group != s.Group {
		if f := &c.founding; !c.acceptsFounding() || f.nonce != m.Nonce {
			return
		}
		c.adoptFounding(s, false)
	}
	// The answer carries the group, which identifies the accepted founding.
	c.answer(m, Message{Type: FoundAnswer})
}

func (c *core) handleFoundAnswer(m Message) {
	f := &c.founding
	if f.proposed == nil || m.Group != f.proposed.Group || c.membership() != nil || !c.acceptsFounding() {
		return
	}
	f.accepted[m.From] = true
	for _, p := range f.proposed.Members {
		if p.Identity != c.identity && !f.accepted[p.Identity] {
			return
		}
	}
	c.adoptFounding(f.proposed, true)
}

// stepOtherGroup handles a message of a group that this replica does not belong
// to. A replica that has promised nothing installs the snapshot of a leader that
// knows its identity. It keeps its term until then, so that it still reports an
// empty disk.
func (c *core) stepOtherGroup(m Message) {
	if !c.promisedNothing() {
		return
	}
	switch m.Type {
	case PreVote:
		s, err := decodeMembership(m.Membership)
		if err == nil && s.Group == m.Group && s.isVoter(c.identity) {
			c.adoptFounding(s, true)
		}
	case Append:
		c.answer(m, Message{Type: AppendAnswer, Index: m.Index, Reject: true, Term: m.Term})
	case Chunk:
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
