package raft

import (
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

// maxSnapshotBytes bounds the size of a received snapshot.
const maxSnapshotBytes = 4 << 30

// incomingSnapshot is a snapshot being received. Two leaders may encode the same
// state differently, so all parts must come from one sender and term.
type incomingSnapshot struct {
	from, term uint64 // identity and term of the sender
	position   disk.Position
	size       uint64
	data       []byte
}

// startSnapshot starts to send the stored snapshot to a member.
func (c *core) startSnapshot(id uint64, p *progress) {
	s, err := c.load()
	if err != nil || s.Index == 0 {
		c.err = errors.CombineErrors(err, errors.Newf("no snapshot to send, log begins after entry %d", c.entries.base.Index))
		return
	}
	p.outgoingSnapshot, p.chunkOffset, p.inflight = &s, 0, nil
	p.probing = true
	c.log.Emit(event.SnapshotSent, zap.String("to", p.name), zap.Uint64("entry", s.Index), zap.Int("bytes", len(s.Data)))
	c.sendChunk(id, p)
}

func (c *core) sendChunk(id uint64, p *progress) {
	s := p.outgoingSnapshot
	end := min(p.chunkOffset+chunkBytes, uint64(len(s.Data)))
	c.send(true, p.name, Message{
		Type: Chunk, To: id, Index: s.Index, LogTerm: s.Term, Membership: s.Membership, Sent: c.timestamp(),
		Offset: p.chunkOffset, Size: uint64(len(s.Data)), Data: s.Data[p.chunkOffset:end],
	})
}

// handleChunkAnswer sends the part that the receiver wants next.
func (c *core) handleChunkAnswer(id uint64, p *progress, m Message) {
	if p.outgoingSnapshot == nil || m.Index != p.outgoingSnapshot.Index || m.Offset > uint64(len(p.outgoingSnapshot.Data)) || m.Offset == p.chunkOffset {
		return // outdated, or resent with the next heartbeat
	}
	p.chunkOffset = m.Offset
	c.sendChunk(id, p)
}

// handleChunk collects the parts of a snapshot and installs it when complete.
func (c *core) handleChunk(m Message) {
	p := disk.Position{Index: m.Index, Term: m.LogTerm}
	if t, ok := c.entries.term(p.Index); p.Index <= c.commit || ok && t == p.Term {
		c.commit = max(c.commit, p.Index)
		c.answer(m, Message{Type: AppendAnswer, Index: c.commit})
		return
	}
	if !c.addChunk(m) {
		return
	}
	if s := c.takeIncoming(m); c.installSnapshot(s) {
		c.log.Emit(event.SnapshotInstalled, zap.Uint64("entry", s.Index), zap.Int("bytes", len(s.Data)))
		c.answer(m, Message{Type: AppendAnswer, Index: s.Index})
	}
}

// addChunk adds a part to the incoming snapshot and reports whether it is complete.
// If not, it asks for the next part.
func (c *core) addChunk(m Message) bool {
	p := disk.Position{Index: m.Index, Term: m.LogTerm}
	a := &c.incoming
	if a.from != m.From || a.term != m.Term || a.position != p || a.size != m.Size {
		if m.Size > maxSnapshotBytes {
			return false
		}
		*a = incomingSnapshot{from: m.From, term: m.Term, position: p, size: m.Size}
	}
	if m.Offset == uint64(len(a.data)) && a.size-m.Offset >= uint64(len(m.Data)) {
		a.data = append(a.data, m.Data...)
	}
	if uint64(len(a.data)) == a.size {
		return true
	}
	c.answer(m, Message{Type: ChunkAnswer, Index: m.Index, Offset: uint64(len(a.data)), Term: m.Term})
	return false
}

// takeIncoming returns the collected snapshot and releases the buffer.
func (c *core) takeIncoming(m Message) disk.Snapshot {
	s := disk.Snapshot{Index: m.Index, Term: m.LogTerm, Membership: m.Membership, Data: c.incoming.data}
	c.incoming = incomingSnapshot{}
	return s
}

// installSnapshot replaces the whole log with a snapshot. It reports false if the
// snapshot's membership cannot be decoded.
func (c *core) installSnapshot(s disk.Snapshot) bool {
	m, err := decodeMembership(s.Membership)
	if err != nil {
		return false // a correct replica does not send this
	}
	c.snapshot = disk.Position{Index: s.Index, Term: s.Term}
	c.entries = entryLog{base: c.snapshot}
	c.memberships = []membershipAt{{s.Index, m}}
	c.commit, c.delivered, c.stable = s.Index, s.Index, s.Index
	c.firstUnsaved, c.pendingSnapshot = 0, &s
	c.pendingReset = &disk.Position{Index: s.Index, Term: s.Term}
	return true
}
