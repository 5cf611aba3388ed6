package raft

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

// maxInflight is the number of unanswered appends to one replica. Together with
// appendBytes it bounds the data in flight to 8 MiB.
const maxInflight = 32

// progress is what the leader knows about another member.
type progress struct {
	name             string
	matchIndex       uint64 // last entry known to be synced by the member
	nextIndex        uint64
	probing          bool      // the matching entry is not known; only one append at a time
	paused           bool      // a probe is unanswered
	inflight         []uint64  // last index of each unanswered append
	ackedAt          time.Time // send time of the latest answered request
	heardAt          time.Time // time of the last answer
	outgoingSnapshot *disk.Snapshot
	chunkOffset      uint64 // offset of the unanswered chunk
}

// trackMembers keeps a progress for each other member.
func (c *core) trackMembers() {
	m := c.membership()
	for id := range c.progress {
		if m.member(id) == nil {
			delete(c.progress, id)
		}
	}
	for _, p := range m.Members {
		if p.Identity != c.identity && c.progress[p.Identity] == nil {
			c.progress[p.Identity] = &progress{name: p.Name, nextIndex: c.entries.last() + 1, probing: true, ackedAt: c.now, heardAt: c.now}
		}
	}
}

// peers returns the other members in a fixed order.
func (c *core) peers() []Member {
	return slices.DeleteFunc(slices.Clone(c.membership().Members), func(p Member) bool { return p.Identity == c.identity })
}

// propose appends commands and returns the index of the first one. It returns
// false if this replica does not lead.
func (c *core) propose(now time.Time, kind disk.Kind, commands ...[]byte) (uint64, bool) {
	c.advanceClock(now)
	if c.role != leader {
		return 0, false
	}
	first := c.entries.last() + 1
	entries := make([]disk.Entry, len(commands))
	for i := range commands {
		entries[i] = disk.Entry{Index: first + uint64(i), Term: c.term, Kind: kind, Data: commands[i]}
	}
	c.append(entries)
	if kind == disk.Membership {
		c.trackMembers()
	}
	c.broadcast()
	return first, true
}

// broadcast sends new entries to all members that can take them.
func (c *core) broadcast() {
	for _, p := range c.peers() {
		c.replicate(p.Identity, c.progress[p.Identity])
	}
}

// replicate sends entries as far as the limits allow.
func (c *core) replicate(id uint64, p *progress) {
	for p.outgoingSnapshot == nil && !p.paused && p.nextIndex <= c.entries.last() && len(p.inflight) < maxInflight {
		if !c.sendAppend(id, p, c.entries.slice(p.nextIndex, appendBytes)) {
			return
		}
	}
}

// sendAppend sends one append, or starts to send a snapshot if the log no longer
// holds the entry before it. It reports whether it sent an append.
func (c *core) sendAppend(id uint64, p *progress, entries []disk.Entry) bool {
	previous := p.nextIndex - 1
	term, ok := c.entries.term(previous)
	if !ok {
		c.startSnapshot(id, p)
		return false
	}
	c.send(true, p.name, Message{
		Type: Append, To: id, Index: previous, LogTerm: term, Commit: c.commit, Entries: entries, Sent: c.timestamp(),
	})
	if p.probing {
		p.paused = true
	} else if n := uint64(len(entries)); n > 0 {
		p.nextIndex += n
		p.inflight = append(p.inflight, p.nextIndex-1)
	}
	return true
}

func (c *core) timestamp() int64 { return int64(c.now.Sub(c.origin)) }

// tickLeader sends heartbeats, and steps down if a quorum is not reachable.
func (c *core) tickLeader() {
	if c.now.Before(c.heartbeatDue) {
		return
	}
	c.heartbeatDue = c.now.Add(c.heartbeat)
	if c.now.Sub(c.quorumAcked()) >= c.electionMin {
		c.becomeFollower(c.term)
		return
	}
	c.renewLease()
	c.maintainMembership()
	c.reportShortage()
	for _, m := range c.peers() {
		p := c.progress[m.Identity]
		p.paused = false
		switch {
		case p.outgoingSnapshot != nil:
			c.sendChunk(m.Identity, p)
		case p.probing:
			c.sendAppend(m.Identity, p, c.entries.slice(p.nextIndex, appendBytes))
		default:
			// Without entries: if an append was lost, this one is rejected.
			c.sendAppend(m.Identity, p, nil)
		}
	}
}

// quorumAcked returns the latest time such that a quorum has answered a message
// sent at or after it.
func (c *core) quorumAcked() time.Time {
	var times []time.Time
	for _, m := range c.membership().Members {
		switch {
		case !m.Voter:
		case m.Identity == c.identity:
			times = append(times, c.now)
		default:
			times = append(times, c.progress[m.Identity].ackedAt)
		}
	}
	if len(times) == 0 {
		return c.now
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[c.quorum()-1]
}

// renewLease extends the lease. For check-quorum the time of the election counts as
// an answer of each member; for the lease it does not.
func (c *core) renewLease() {
	if t := c.quorumAcked(); t.After(c.leaseStart) && (c.commit >= c.termStart) {
		c.leaseStart = t
	}
}

// lease returns the time until which no other replica can lead.
func (c *core) lease() time.Time {
	if c.role != leader || c.leaseStart.IsZero() {
		return time.Time{}
	}
	return c.leaseStart.Add(c.timing.lease)
}

// advanceCommit commits the entries that a quorum holds.
func (c *core) advanceCommit() {
	var matches []uint64
	for _, m := range c.membership().Members {
		switch {
		case !m.Voter:
		case m.Identity == c.identity:
			matches = append(matches, c.stable)
		default:
			matches = append(matches, c.progress[m.Identity].matchIndex)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.SortFunc(matches, func(a, b uint64) int { return int(int64(b - a)) })
	index := matches[c.quorum()-1]
	// An entry of an older term may be replaced although a quorum holds it. It
	// commits only together with one of this term.
	if t, ok := c.entries.term(index); index <= c.commit || !ok || t != c.term && !c.hooks.commitOldTerms {
		return
	}
	c.commit = index
	c.renewLease()
	if c.membership().member(c.identity) == nil && c.memberships[len(c.memberships)-1].index <= c.commit {
		c.becomeFollower(c.term) // the committed change removed this replica
	}
}

// handleAppend checks an append of the leader and stores its entries.
func (c *core) handleAppend(m Message) {
	if m.Index < c.commit {
		c.answer(m, Message{Type: AppendAnswer, Index: c.commit})
		return
	}
	if t, ok := c.entries.term(m.Index); !ok || t != m.LogTerm {
		hint := c.entries.lastUpToTerm(min(m.Index, c.entries.last()), m.LogTerm)
		if ok && hint == m.Index && hint > 0 {
			hint--
		}
		t, _ := c.entries.term(hint)
		c.answer(m, Message{Type: AppendAnswer, Index: m.Index, Reject: true, Hint: hint, HintTerm: t})
		return
	}
	last := m.Index + uint64(len(m.Entries))
	for i := range m.Entries {
		e := &m.Entries[i]
		if e.Index != m.Index+uint64(i)+1 {
			return // a correct replica does not send this
		}
		if t, ok := c.entries.term(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= c.commit {
			c.err = errors.Newf("the leader of term %d would replace committed entry %d", m.Term, e.Index)
			return
		}
		c.append(m.Entries[i:])
		break
	}
	c.commit = max(c.commit, min(m.Commit, last))
	c.founding.own = c.founding.own && last <= foundingIndex
	c.answer(m, Message{Type: AppendAnswer, Index: last})
}

// handleAnswer handles the answer of a member to an append or a chunk.
func (c *core) handleAnswer(m Message) {
	id := c.senderIdentity(m)
	p := c.progress[id]
	if p == nil {
		return
	}
	p.heardAt = c.now
	if t := c.origin.Add(time.Duration(m.Sent)); t.After(p.ackedAt) && !t.After(c.now) {
		p.ackedAt = t
		c.renewLease()
	}
	switch {
	case m.Type == ChunkAnswer:
		c.handleChunkAnswer(id, p, m)
		return
	case m.Reject:
		c.backOff(p, m)
	default:
		c.recordMatch(p, m.Index)
		c.advanceCommit()
	}
	if c.role == leader {
		c.replicate(id, p)
	}
}

func (c *core) recordMatch(p *progress, index uint64) {
	if index > c.entries.last() {
		return // a correct replica does not send this
	}
	if p.outgoingSnapshot != nil && index >= p.outgoingSnapshot.Index {
		p.outgoingSnapshot = nil
	}
	p.matchIndex = max(p.matchIndex, index)
	p.inflight = slices.DeleteFunc(p.inflight, func(i uint64) bool { return i <= p.matchIndex })
	if p.probing && p.outgoingSnapshot == nil && p.matchIndex+1 >= min(p.nextIndex, c.entries.last()+1) {
		p.probing, p.paused = false, false
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
}

// backOff moves the next entry to send back to where the logs may match. It skips
// by terms rather than by single entries.
func (c *core) backOff(p *progress, m Message) {
	if p.outgoingSnapshot != nil || m.Index <= p.matchIndex || p.probing && m.Index != p.nextIndex-1 {
		return // outdated
	}
	hint := c.entries.lastUpToTerm(min(m.Hint, m.Index), m.HintTerm)
	p.nextIndex = max(min(hint+1, m.Index), p.matchIndex+1, 1)
	p.probing, p.paused, p.inflight = true, false, nil
}
