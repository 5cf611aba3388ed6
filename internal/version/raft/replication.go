package raft

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

// inflightLimit is the number of unanswered appends to one replica. With
// appendBytes it bounds the data on the way to 8 MiB.
const inflightLimit = 32

// progress is what a leader knows of another replica.
type progress struct {
	name     string
	match    uint64 // last entry known to be synced there
	next     uint64
	probing  bool     // the matching point is not known; one append at a time
	paused   bool     // a probe is unanswered
	inflight []uint64 // last index of each unanswered append
	acked    time.Time
	heard    time.Time
	sending  *disk.Snapshot
	offset   uint64 // of the chunk that is on its way
}

// track keeps a progress for each other member.
func (c *core) track() {
	m := c.membership()
	for id := range c.progress {
		if m.member(id) == nil {
			delete(c.progress, id)
		}
	}
	for _, p := range m.Members {
		if p.Identity != c.identity && c.progress[p.Identity] == nil {
			c.progress[p.Identity] = &progress{name: p.Name, next: c.entries.last() + 1, probing: true, acked: c.now, heard: c.now}
		}
	}
}

// peers returns the other members in a fixed order.
func (c *core) peers() []Member {
	return slices.DeleteFunc(slices.Clone(c.membership().Members), func(p Member) bool { return p.Identity == c.identity })
}

// propose appends commands. It returns the index of the first one, and false
// if this replica does not lead.
func (c *core) propose(now time.Time, kind disk.Kind, commands ...[]byte) (uint64, bool) {
	c.clock(now)
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
		c.track()
	}
	c.broadcast()
	return first, true
}

// broadcast sends new entries to everybody who can take them.
func (c *core) broadcast() {
	for _, p := range c.peers() {
		c.replicate(p.Identity, c.progress[p.Identity])
	}
}

// replicate sends entries as far as the limits allow.
func (c *core) replicate(id uint64, p *progress) {
	for p.sending == nil && !p.paused && p.next <= c.entries.last() && len(p.inflight) < inflightLimit {
		if !c.sendAppend(id, p, c.entries.slice(p.next, appendBytes)) {
			return
		}
	}
}

// sendAppend sends one append, or starts a snapshot if the entries before it
// are gone.
func (c *core) sendAppend(id uint64, p *progress, entries []disk.Entry) bool {
	previous := p.next - 1
	term, ok := c.entries.term(previous)
	if !ok {
		c.startSnapshot(id, p)
		return false
	}
	c.send(true, p.name, Message{
		Type: Append, To: id, Index: previous, LogTerm: term, Commit: c.commit, Entries: entries, Sent: c.sent(),
	})
	if p.probing {
		p.paused = true
	} else if n := uint64(len(entries)); n > 0 {
		p.next += n
		p.inflight = append(p.inflight, p.next-1)
	}
	return true
}

func (c *core) sent() int64 { return int64(c.now.Sub(c.origin)) }

// tickLeader sends heartbeats and steps down without a quorum.
func (c *core) tickLeader() {
	if c.now.Before(c.heartbeatDue) {
		return
	}
	c.heartbeatDue = c.now.Add(c.heartbeat)
	if c.now.Sub(c.quorumAcked()) >= c.electionMin {
		c.follow(c.term)
		return
	}
	c.renewLease()
	c.maintain()
	for _, m := range c.peers() {
		p := c.progress[m.Identity]
		p.paused = false
		switch {
		case p.sending != nil:
			c.sendChunk(m.Identity, p)
		case p.probing:
			c.sendAppend(m.Identity, p, c.entries.slice(p.next, appendBytes))
		default:
			// Without entries: if an append was lost, the rejection tells.
			c.sendAppend(m.Identity, p, nil)
		}
	}
}

// quorumAcked returns the latest time such that a quorum answered something
// sent at or after it.
func (c *core) quorumAcked() time.Time {
	var times []time.Time
	for _, m := range c.membership().Members {
		switch {
		case !m.Voter:
		case m.Identity == c.identity:
			times = append(times, c.now)
		default:
			times = append(times, c.progress[m.Identity].acked)
		}
	}
	if len(times) == 0 {
		return c.now
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[c.quorum()-1]
}

// renewLease extends the lease. The time of an election counts as an answer
// only for check-quorum, not for the lease.
func (c *core) renewLease() {
	if t := c.quorumAcked(); t.After(c.leaseFrom) && (c.commit >= c.own) {
		c.leaseFrom = t
	}
}

// lease returns the time until which no other replica can lead.
func (c *core) lease() time.Time {
	if c.role != leader || c.leaseFrom.IsZero() {
		return time.Time{}
	}
	return c.leaseFrom.Add(c.timing.lease)
}

// advance commits what a quorum holds.
func (c *core) advance() {
	var matches []uint64
	for _, m := range c.membership().Members {
		switch {
		case !m.Voter:
		case m.Identity == c.identity:
			matches = append(matches, c.stable)
		default:
			matches = append(matches, c.progress[m.Identity].match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.SortFunc(matches, func(a, b uint64) int { return int(int64(b - a)) })
	index := matches[c.quorum()-1]
	// An entry of an older term may be held by a quorum and still be replaced;
	// it commits only together with one of this term.
	if t, ok := c.entries.term(index); index <= c.commit || !ok || t != c.term && !c.hooks.anyTerm {
		return
	}
	c.commit = index
	c.renewLease()
	if c.membership().member(c.identity) == nil && c.memberships[len(c.memberships)-1].index <= c.commit {
		c.follow(c.term) // this replica was removed by the committed change
	}
}

// handleAppend checks and takes entries of the leader.
func (c *core) handleAppend(m Message) {
	if m.Index < c.commit {
		c.answer(m, Message{Type: AppendAnswer, Index: c.commit})
		return
	}
	if t, ok := c.entries.term(m.Index); !ok || t != m.LogTerm {
		hint := c.entries.match(min(m.Index, c.entries.last()), m.LogTerm)
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
			return // not from a correct replica
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
	c.answer(m, Message{Type: AppendAnswer, Index: last})
}

// handleAnswer notes the answer of a replica to an append or a chunk.
func (c *core) handleAnswer(m Message) {
	id := c.ballot(m)
	p := c.progress[id]
	if p == nil {
		return
	}
	p.heard = c.now
	if t := c.origin.Add(time.Duration(m.Sent)); t.After(p.acked) && !t.After(c.now) {
		p.acked = t
		c.renewLease()
	}
	switch {
	case m.Type == ChunkAnswer:
		c.handleChunkAnswer(id, p, m)
		return
	case m.Reject:
		c.backOff(p, m)
	default:
		c.matched(p, m.Index)
		c.advance()
	}
	if c.role == leader {
		c.replicate(id, p)
	}
}

func (c *core) matched(p *progress, index uint64) {
	if index > c.entries.last() {
		return // not from a correct replica
	}
	if p.sending != nil && index >= p.sending.Index {
		p.sending = nil
	}
	p.match = max(p.match, index)
	p.inflight = slices.DeleteFunc(p.inflight, func(i uint64) bool { return i <= p.match })
	if p.probing && p.sending == nil && p.match+1 >= min(p.next, c.entries.last()+1) {
		p.probing, p.paused = false, false
	}
	p.next = max(p.next, p.match+1)
}

// backOff moves the next entry back to where the logs may match, by terms
// rather than by single entries.
func (c *core) backOff(p *progress, m Message) {
	if p.sending != nil || m.Index <= p.match || p.probing && m.Index != p.next-1 {
		return // outdated
	}
	hint := c.entries.match(min(m.Hint, m.Index), m.HintTerm)
	p.next = max(min(hint+1, m.Index), p.match+1, 1)
	p.probing, p.paused, p.inflight = true, false, nil
}
