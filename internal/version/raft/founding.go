package raft

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

// foundingIndex and foundingTerm are of the snapshot that a new group starts
// from. It holds a membership and no state.
const (
	foundingIndex = 1
	foundingTerm  = 1
)

// report is what a member in the settings answered to the founder.
type report struct {
	identity uint64
	nonce    uint64
}

// founding is the state of a replica that belongs to no group yet.
//
// The first name in the settings is the founder. It collects reports from all
// others, and when all disks are empty, it sends the founding membership to
// them. Each persists it and answers; the founder persists it last, which
// completes the founding. A new round begins when the founder starts or a disk
// has changed. A nonce binds the membership to the receiver's report in the
// latest round, so that a delayed membership of an older round is refused and
// two foundings cannot both be complete.
//
// The founder is the first to campaign. Its pre-vote confirms to the others
// that the founding is complete, and only then they campaign themselves. A
// replica that has neither voted nor received an entry has promised nothing. It
// reports an empty disk until the founding is confirmed, follows a leader of
// any group that has its identity as a member, and takes the membership from a
// voter that asks for its vote. A voter without entries is one of the founding
// membership, since others vote only once they have caught up.
type founding struct {
	round    uint64            // founder: drawn for each round
	reports  map[string]report // founder: reports of this round by name
	proposed *Membership       // founder: membership handed out
	accepted map[uint64]bool   // founder: identities that persisted it

	asked uint64 // round of the latest report
	nonce uint64

	confirmed bool // the founding is known to be complete
}

// fresh tells whether this replica has promised nothing to any group.
func (c *core) fresh() bool {
	return c.term <= foundingTerm && c.vote == 0 && c.entries.last() <= foundingIndex
}

// empty tells whether this replica may accept a founding membership.
func (c *core) empty() bool { return c.fresh() && !c.founding.confirmed }

func (c *core) founder() bool { return len(c.settings) > 0 && c.settings[0] == c.name }

// tickOutside founds a group or asks to join one.
func (c *core) tickOutside() {
	if c.now.Before(c.joinDue) {
		return
	}
	c.joinDue = c.now.Add(joinInterval)
	if !slices.Contains(c.settings, c.name) {
		return
	}
	if c.founder() && c.membership() == nil && c.empty() {
		if len(c.settings) == 1 {
			c.found(&Membership{Group: c.draw(), Members: []Member{{Name: c.name, Identity: c.identity, Voter: true}}}, true)
			return
		}
		if c.founding.round == 0 {
			c.newRound()
		}
		c.toOthers(Message{Type: Report, Nonce: c.founding.round})
		c.handOut()
	}
	c.toOthers(Message{Type: Join})
}

func (c *core) toOthers(m Message) {
	for _, name := range c.settings {
		if name != c.name {
			c.send(true, name, m)
		}
	}
}

// draw returns a random number that is not zero.
func (c *core) draw() uint64 {
	for {
		if n := c.random.Uint64(); n != 0 {
			return n
		}
	}
}

// found persists a founding membership.
func (c *core) found(m *Membership, confirmed bool) {
	c.term, c.vote, c.founding.confirmed = foundingTerm, 0, confirmed
	c.contact, c.unheard = c.now, false
	c.resetElection()
	c.replace(disk.Snapshot{Index: foundingIndex, Term: foundingTerm, Membership: m.encode()})
	c.log.Emit(event.GroupFounded, zap.Uint64("group", m.Group), zap.Int("members", len(m.Members)))
}

func (c *core) stepFounding(m Message) {
	switch m.Type {
	case Join:
		c.handleJoin(m)
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

func (c *core) handleReport(m Message) {
	if len(c.settings) == 0 || m.FromName != c.settings[0] {
		return
	}
	if f := &c.founding; f.asked != m.Nonce {
		f.asked, f.nonce = m.Nonce, c.draw()
	}
	c.answer(m, Message{Type: ReportAnswer, Empty: c.empty(), Nonce: c.founding.nonce, Hint: m.Nonce})
}

func (c *core) handleReportAnswer(m Message) {
	if !c.founder() || c.membership() != nil || !slices.Contains(c.settings, m.FromName) {
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
	if f.proposed == nil && len(f.reports) == len(c.settings)-1 {
		f.proposed = &Membership{Group: c.draw()}
		for _, name := range c.settings {
			id := c.identity
			if name != c.name {
				id = f.reports[name].identity
			}
			f.proposed.Members = append(f.proposed.Members, Member{Name: name, Identity: id, Voter: true})
		}
		c.handOut()
	}
}

// newRound drops what the founder has collected.
func (c *core) newRound() {
	c.founding.round = c.draw()
	c.founding.reports, c.founding.accepted, c.founding.proposed = map[string]report{}, map[uint64]bool{}, nil
}

// handOut sends the proposed membership to those who have not accepted it.
func (c *core) handOut() {
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
	if err != nil || len(c.settings) == 0 || m.FromName != c.settings[0] || s.member(c.identity) == nil {
		return
	}
	names := make([]string, 0, len(s.Members))
	for _, p := range s.Members {
		names = append(names, p.Name)
	}
	if !slices.Equal(names, c.settings) {
		c.log.Emit(event.FoundingRefused, zap.Strings("theirs", names), zap.Strings("ours", c.settings))
		return
	}
	if o := c.membership(); o == nil || o.Group != s.Group {
		if f := &c.founding; !c.empty() || f.nonce != m.Nonce {
			return
		}
		c.found(s, false)
	}
	// Only the message's group tells which founding was accepted.
	c.answer(m, Message{Type: FoundAnswer})
}

func (c *core) handleFoundAnswer(m Message) {
	f := &c.founding
	if f.proposed == nil || m.Group != f.proposed.Group || c.membership() != nil || !c.empty() {
		return
	}
	f.accepted[m.From] = true
	for _, p := range f.proposed.Members {
		if p.Identity != c.identity && !f.accepted[p.Identity] {
			return
		}
	}
	c.found(f.proposed, true)
}

// stepOutside handles a message of a group that this replica does not belong
// to. A replica that has promised nothing takes over the snapshot of a leader
// that knows its identity. It keeps its term until then, so that it still
// reports an empty disk.
func (c *core) stepOutside(m Message) {
	if !c.fresh() {
		return
	}
	switch m.Type {
	case PreVote:
		s, err := decodeMembership(m.Membership)
		if err == nil && s.Group == m.Group && s.voter(c.identity) {
			c.found(s, true)
		}
	case Append:
		c.answer(m, Message{Type: AppendAnswer, Index: m.Index, Reject: true, Term: m.Term})
	case Chunk:
		if !c.collect(m) {
			return
		}
		s := c.assembled(m)
		if !c.replace(s) {
			return
		}
		c.term, c.vote, c.changedHard = m.Term, 0, true
		c.heard(m)
		c.log.Emit(event.SnapshotInstalled, zap.Uint64("entry", s.Index), zap.Int("bytes", len(s.Data)))
		c.answer(m, Message{Type: AppendAnswer, Index: s.Index})
	}
}

// join is a request of a replica to be admitted.
type join struct {
	identity uint64
	at       time.Time
}
