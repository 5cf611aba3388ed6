package raft

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/contact"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

const (
	// joinRequestTTL is how long a join request counts. A replica repeats it every
	// joinInterval.
	joinRequestTTL = time.Second
	// joinWarnTime is the time after which a replica that is not a member logs that
	// it is not admitted, and the time between two such lines.
	joinWarnTime = 2 * time.Second
)

// joining is how a replica without a leader finds the present group.
//
// Names that it was told at its start, or once was a member with, may all be gone.
// So it asks every name that it has heard of, also as the sender of a message to its
// lost predecessor at the same address, and each replica answers with the
// members that it knows, whether it leads or not. The names in an answer are asked at
// once, so that the request reaches the leader as soon as any asked replica follows
// it. Names only tell whom to ask: the leader alone admits, by identity.
type joining struct {
	contacts contact.Book
	asked    map[string]bool // in this round
	answers  map[string]bool // names that answered since the last warning
	warnDue  time.Time       // zero unless this replica waits to be admitted
}

// joinRequest is a request of a replica to be admitted.
type joinRequest struct {
	identity uint64
	deadline time.Time
}

// learnContacts adds names to be asked for the present group.
func (c *core) learnContacts(names []string) { c.joining.contacts.Add(names...) }

// setContacts adds the names of reloaded settings and asks them at once.
func (c *core) setContacts(now time.Time, names []string) {
	c.advanceClock(now)
	c.learnContacts(names)
	c.joinDue = c.now
}

// join starts a round of requests to be admitted.
func (c *core) join() {
	c.joining.asked = map[string]bool{c.name: true}
	if m := c.membership(); m != nil {
		c.learnContacts(m.names())
	}
	c.warnNotAdmitted()
	c.askContacts(c.joining.contacts.Names())
}

// askContacts sends a join request to those names that were not asked in this round.
func (c *core) askContacts(names []string) {
	if c.joining.asked == nil {
		return // it has just started; the first round is due
	}
	for _, name := range names {
		if !c.joining.asked[name] {
			c.joining.asked[name] = true
			c.send(true, name, Message{Type: Join, Empty: c.undecided()})
		}
	}
}

// meet learns the name of the sender of any message and asks it. A replica that has
// lost its disk hears from the leader, which still addresses the lost one.
func (c *core) meet(name string) {
	c.learnContacts([]string{name})
	c.askContacts([]string{name})
}

// handleJoin answers with the names to ask, and, if this replica leads, records the
// request.
func (c *core) handleJoin(m Message) {
	if m.FromName == c.name {
		return
	}
	c.answer(m, Message{Type: JoinAnswer, Names: c.knownNames()})
	s := c.membership()
	if c.role != leader || s.member(m.From) != nil || c.isRemoved(m.From) {
		return
	}
	if !c.mayJoin(m) {
		c.log.Emit(event.JoinRefused, zap.String("name", m.FromName), zap.Uint64("identity", m.From))
		return
	}
	c.joinRequests[m.FromName] = joinRequest{m.From, c.now.Add(joinRequestTTL)}
}

// mayJoin reports whether the sender of a join request may become a member. One that
// has stored an entry of another group would never follow this one.
func (c *core) mayJoin(m Message) bool {
	s := c.membership()
	known := c.open || slices.Contains(c.configured, m.FromName) || s.memberNamed(m.FromName, true) != nil
	sameGroup := m.Group == 0 || m.Group == s.Group || m.Empty
	return known && sameGroup && !slices.Contains(s.Retired, m.FromName)
}

// knownNames returns the leader and the members known to this replica, or all names
// that it asks if it is not a member itself.
func (c *core) knownNames() []string {
	m := c.membership()
	if m == nil {
		return c.joining.contacts.Names()
	}
	names := m.names()
	if c.leaderName != "" && !slices.Contains(names, c.leaderName) {
		names = append(names, c.leaderName)
	}
	return names
}

func (c *core) handleJoinAnswer(m Message) {
	if !c.needsMembership() {
		return
	}
	c.learnContacts(m.Names)
	if c.joining.answers != nil {
		c.joining.answers[m.FromName] = true
	}
	c.askContacts(m.Names)
}

// warnNotAdmitted logs from time to time that this replica is not a member yet.
func (c *core) warnNotAdmitted() {
	j := &c.joining
	switch {
	case c.isMember():
		j.warnDue, j.answers = time.Time{}, nil
	case j.warnDue.IsZero():
		j.warnDue, j.answers = c.now.Add(joinWarnTime), map[string]bool{}
	case !c.now.Before(j.warnDue):
		var silent []string
		for _, name := range j.contacts.Names() {
			if name != c.name && !j.answers[name] {
				silent = append(silent, name)
			}
		}
		c.log.Emit(event.NotAdmitted, zap.Int("answered", len(j.answers)), zap.Strings("silent", silent))
		j.warnDue, j.answers = c.now.Add(joinWarnTime), map[string]bool{}
	}
}
