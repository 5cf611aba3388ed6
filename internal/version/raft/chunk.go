package raft

import (
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

// snapshotLimit bounds the size in bytes of a received snapshot.
const snapshotLimit = 4 << 30

// assembly is a snapshot that is being received. Two leaders may encode the
// same state differently, so the parts must come from one sender and term.
type assembly struct {
	from, sender uint64 // identity and term of the sender
	position     disk.Position
	size         uint64
	data         []byte
}

// startSnapshot begins to send the stored snapshot.
func (c *core) startSnapshot(id uint64, p *progress) {
	s, err := c.load()
	if err != nil || s.Index == 0 {
		c.err = errors.CombineErrors(err, errors.Newf("no snapshot to send, log begins after entry %d", c.entries.base.Index))
		return
	}
	p.sending, p.offset, p.inflight = &s, 0, nil
	p.probing = true
	c.log.Emit(event.SnapshotSent, zap.String("to", p.name), zap.Uint64("entry", s.Index), zap.Int("bytes", len(s.Data)))
	c.sendChunk(id, p)
}

func (c *core) sendChunk(id uint64, p *progress) {
	s := p.sending
	end := min(p.offset+chunkBytes, uint64(len(s.Data)))
	c.send(true, p.name, Message{
		Type: Chunk, To: id, Index: s.Index, LogTerm: s.Term, Membership: s.Membership, Sent: c.sent(),
		Offset: p.offset, Size: uint64(len(s.Data)), Data: s.Data[p.offset:end],
	})
}

// handleChunkAnswer sends the part that the receiver wants next.
func (c *core) handleChunkAnswer(id uint64, p *progress, m Message) {
	if p.sending == nil || m.Index != p.sending.Index || m.Offset > uint64(len(p.sending.Data)) || m.Offset == p.offset {
		return // outdated, or resent with the next heartbeat
	}
	p.offset = m.Offset
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
	if !c.collect(m) {
		return
	}
	if s := c.assembled(m); c.replace(s) {
		c.log.Emit(event.SnapshotInstalled, zap.Uint64("entry", s.Index), zap.Int("bytes", len(s.Data)))
		c.answer(m, Message{Type: AppendAnswer, Index: s.Index})
	}
}

// collect adds a part to the assembly and reports whether it is complete. If
// not, it asks for the next part.
func (c *core) collect(m Message) bool {
	p := disk.Position{Index: m.Index, Term: m.LogTerm}
	a := &c.assembly
	if a.from != m.From || a.sender != m.Term || a.position != p || a.size != m.Size {
		if m.Size > snapshotLimit {
			return false
		}
		*a = assembly{from: m.From, sender: m.Term, position: p, size: m.Size}
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

// assembled returns the collected snapshot and frees the assembly.
func (c *core) assembled(m Message) disk.Snapshot {
	s := disk.Snapshot{Index: m.Index, Term: m.LogTerm, Membership: m.Membership, Data: c.assembly.data}
	c.assembly = assembly{}
	return s
}

// replace puts a snapshot in place of the whole log.
func (c *core) replace(s disk.Snapshot) bool {
	m, err := decodeMembership(s.Membership)
	if err != nil {
		return false // not from a correct replica
	}
	c.snapshot = disk.Position{Index: s.Index, Term: s.Term}
	c.entries = entryLog{base: c.snapshot}
	c.memberships = []membershipAt{{s.Index, m}}
	c.commit, c.handed, c.stable = s.Index, s.Index, s.Index
	c.unsaved, c.install = 0, &s
	c.reset = &disk.Position{Index: s.Index, Term: s.Term}
	return true
}
