package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

// maxRefusals bounds the refusals that a leader remembers. It allows for 4,000 of them
// a second.
const maxRefusals = 20_000

// stamped is a request that is valid in one term, for a time.
type stamped interface{ Validity() *cell.Stamp }

// clock returns the time since the term began on a clock that counts suspensions.
func (t *term) clock() time.Duration { return t.dispatcher.options.Clock().Sub(t.clockBegan) }

// mark returns the reading of this leader's clock for other processes.
func (t *term) mark() cell.Mark { return cell.Mark{Term: t.number, Since: t.clock()} }

// checkStamp returns an error if a request was sent to the leader of another term, or
// arrives too late. Its process has been answered by way of another copy, or may have been.
func (t *term) checkStamp(s *cell.Stamp) error {
	if s.Term == t.number && !expired(s, t.clock()) || s.Term == 0 {
		return nil
	}
	t.emit(event.CopyDropped, zap.Uint64("term", s.Term), zap.Uint64("current", t.number), zap.Duration("issued", s.Issued),
		zap.Duration("expires", s.Expires), zap.Duration("now", t.clock()))
	if s.Term != t.number {
		return &peer.RemoteError{Code: cell.CodeNotLeader} // without a name, so that the process reads the clock again
	}
	return &peer.RemoteError{Code: cell.CodeExpired, Message: "the call arrived too late"}
}

// expired reports whether a request of the present term is no longer valid.
func expired(s *cell.Stamp, now time.Duration) bool {
	return now > min(s.Expires, s.Issued+cell.MaxCallAge)
}

// refusals remembers what was refused until no copy from before the refusal is valid any
// more. The zero value is empty.
type refusals[K comparable, V any] struct {
	entries map[K]refusal[V]
	order   []refusedAt[K] // oldest first; a key that was refused again is in it twice
	partial bool           // refusals were dropped, for their age or for lack of space
	dropped time.Duration  // time of the latest one
}

// refusedAt says when a key was refused.
type refusedAt[K comparable] struct {
	key K
	at  time.Duration
}

// refusal is the answer to a copy that was refused at a time.
type refusal[V any] struct {
	at    time.Duration
	value V
}

// add records a refusal.
func (r *refusals[K, V]) add(key K, value V, now time.Duration) {
	if r.entries == nil {
		r.entries = map[K]refusal[V]{}
	}
	r.entries[key] = refusal[V]{now, value}
	r.order = append(r.order, refusedAt[K]{key, now})
	for len(r.order) > maxRefusals || r.order[0].at < now-cell.MaxCallAge {
		r.drop()
	}
}

// drop drops the oldest refusal.
func (r *refusals[K, V]) drop() {
	o := r.order[0]
	r.order = r.order[1:]
	if r.entries[o.key].at == o.at {
		delete(r.entries, o.key)
	}
	r.partial, r.dropped = true, o.at
}

// find returns the answer to a copy that was issued before another one was refused.
func (r *refusals[K, V]) find(key K, issued time.Duration) (value V, refused bool) {
	e, ok := r.entries[key]
	return e.value, ok && issued <= e.at
}

// forgotten reports whether a copy may have been issued before a refusal that is no longer
// remembered.
func (r *refusals[K, V]) forgotten(issued time.Duration) bool {
	return r.partial && issued <= r.dropped
}
