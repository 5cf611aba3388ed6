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
// them. Each persists it and answers; the founder persists it last. A nonce
// binds the membership to the receiver's latest report: once a replica has
// reported to a founder with another identity, whose predecessor lost its
// disk, it refuses the predecessor's membership, so that two foundings cannot
// both be complete. A replica that holds a founding membership but has neither
// voted nor received an entry has promised nothing, and still reports empty.
type founding struct {
	reports  map[string]report // founder: latest reports by name
	proposed *Membership       // founder: membership handed out
	accepted map[uint64]bool   // founder: identities that persisted it

	asker   uint64 // identity of the founder that got the latest report
	nonce   uint64
	engaged bool // gave a pre-vote, so that a vote may follow
}

// empty tells whether this replica has promised nothing to any group.
func (c *core) empty() bool {
	return c.term <= foundingTerm && c.vote == 0 && c.entries.last() <= foundingIndex && !c.founding.engaged
}

func (c *core) founder() bool { return len(c.settings) > 0 && c.settings[0] == c.name }

// tickOutside runs while this replica is not a member: it founds or joins.
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
			c.found(&Membership{Group: c.draw(), Members: []Member{{Name: c.name, Identity: c.identity, Voter: true}}})
			c.campaign()
			return
		}
		c.toOthers(Message{Type: Report})
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
func (c *core) found(m *Membership) {
	c.term, c.vote = foundingTerm, 0
	c.contact = c.now
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
	if f := &c.founding; f.asker != m.From {
		f.asker, f.nonce = m.From, c.draw()
	}
	c.answer(m, Message{Type: ReportAnswer, Empty: c.empty(), Nonce: c.founding.nonce})
}

func (c *core) handleReportAnswer(m Message) {
	if !c.founder() || c.membership() != nil || !slices.Contains(c.settings, m.FromName) {
		return
	}
	f := &c.founding
	if f.reports == nil {
		f.reports = map[string]report{}
	}
	if !m.Empty {
		delete(f.reports, m.FromName)
		return
	}
	f.reports[m.FromName] = report{m.From, m.Nonce}
	if len(f.reports) == len(c.settings)-1 && !c.proposes() {
		f.proposed = &Membership{Group: c.draw(), Members: []Member{}}
		for _, name := range c.settings {
			id := c.identity
			if name != c.name {
				id = f.reports[name].identity
			}
			f.proposed.Members = append(f.proposed.Members, Member{Name: name, Identity: id, Voter: true})
		}
		f.accepted = map[uint64]bool{}
		c.handOut()
	}
}

// proposes tells whether the proposed membership agrees with the reports.
func (c *core) proposes() bool {
	f := &c.founding
	if f.proposed == nil {
		return false
	}
	for _, p := range f.proposed.Members {
		if p.Name != c.name && f.reports[p.Name].identity != p.Identity {
			return false
		}
	}
	return true
}

// handOut sends the proposed membership to those who have not accepted it.
func (c *core) handOut() {
	f := &c.founding
	if f.proposed == nil || len(f.reports) < len(c.settings)-1 || !c.proposes() {
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
		if f := &c.founding; !c.empty() || f.asker != m.From || f.nonce != m.Nonce {
			return
		}
		c.found(s)
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
	c.found(f.proposed)
}

// join is a request of a replica to be admitted.
type join struct {
	identity uint64
	at       time.Time
}
