package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

// side is what a Peer keeps of one other process.
type side struct {
	name   string
	queue  chan message // one-way messages to it
	queued atomic.Int64 // bytes of their bodies
	drops  atomic.Int64 // messages dropped since the last report
	report atomic.Int64 // Unix time in nanoseconds of the next report of drops

	mu      sync.Mutex
	address netip.AddrPort
	link    *link         // in use; nil while there is none
	down    error         // why the last dial failed; nil while the first one after a loss is under way
	gone    bool          // no longer a peer
	changed chan struct{} // closed and replaced at each change of the fields above
}

// message is an encoded one-way message.
type message struct {
	method string
	body   []byte
}

func newSide(name string, address netip.AddrPort, queue int) *side {
	return &side{name: name, address: address, queue: make(chan message, queue), changed: make(chan struct{})}
}

// change runs f under the lock and wakes everybody who waits for a change.
func (s *side) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *side) move(address netip.AddrPort) {
	s.change(func() {
		if s.address != address {
			s.address, s.down = address, nil
		}
	})
}

func (s *side) drop() { s.change(func() { s.gone = true }) }

// offer puts l to use unless the link in use is to be kept. It returns the
// former link.
func (s *side) offer(l *link, own string) (former *link, used bool) {
	s.change(func() {
		former = s.link
		if used = former == nil || replaces(former, l, own); used {
			s.link, s.down = l, nil
		}
	})
	return former, used
}

// clear takes a link that has ended out of use and reports whether it was in use.
func (s *side) clear(l *link) (was bool) {
	s.change(func() {
		if was = s.link == l; was {
			s.link = nil
		}
	})
	return was
}

func (s *side) disconnected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link == nil
}

// usable returns the link in use. While the first dial after a loss is under
// way it waits for its outcome; after a failed dial it fails at once.
func (s *side) usable(ctx context.Context) (*link, error) {
	for {
		s.mu.Lock()
		l, down, address, gone, changed := s.link, s.down, s.address, s.gone, s.changed
		s.mu.Unlock()
		switch {
		case gone:
			return nil, errors.Newf("%q is no longer a peer", s.name)
		case l != nil && !l.ended():
			return l, nil
		case down != nil:
			return nil, errors.Newf("%s cannot be reached: %s", s.name, down.Error())
		case l == nil && !address.IsValid():
			return nil, errors.Newf("%s is not connected and has no address", s.name)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// maintain keeps a side connected until ctx ends or the side is dropped.
func (p *Peer) maintain(ctx context.Context, s *side) {
	wait := firstBackoff
	for ctx.Err() == nil {
		s.mu.Lock()
		l, address, gone, changed := s.link, s.address, s.gone, s.changed
		s.mu.Unlock()
		switch {
		case gone:
			return
		case l != nil:
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
			if time.Since(l.since) >= settled {
				wait = firstBackoff
			} else if s.disconnected() && !p.pause(ctx, s, &wait) {
				return
			}
		case !address.IsValid():
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		default:
			if !p.reconnect(ctx, s, address) && !p.pause(ctx, s, &wait) {
				return
			}
		}
	}
}

// reconnect dials once and reports whether that worked.
func (p *Peer) reconnect(ctx context.Context, s *side, address netip.AddrPort) bool {
	l, err := p.dial(ctx, s, net.UDPAddrFromAddrPort(address))
	if err == nil && !p.track(l) {
		l.close(closeShutdown, "shutting down")
		err = errors.New("the process is shutting down")
	}
	if err != nil {
		p.unreachable(ctx, s, address, err)
		return false
	}
	p.install(s, l)
	p.work.Go(func() { p.serveLink(ctx, s, l) })
	return true
}

// unreachable records a failed dial, unless the other side has connected.
func (p *Peer) unreachable(ctx context.Context, s *side, address netip.AddrPort, err error) {
	first := false
	s.mu.Lock()
	if s.link == nil && s.address == address {
		first = s.down == nil
		s.down = err
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mu.Unlock()
	if first && ctx.Err() == nil {
		p.options.Log.Emit(event.PeerUnreachable, zap.String("peer", s.name), zap.Stringer("address", address), zap.String("error", err.Error()))
	}
}

// pause waits between half of and the whole backoff and doubles it. A change
// of the side ends the wait. It reports false once ctx has ended.
func (p *Peer) pause(ctx context.Context, s *side, wait *time.Duration) bool {
	s.mu.Lock()
	changed := s.changed
	s.mu.Unlock()
	d := *wait/2 + time.Duration(p.options.Random()*float64(*wait/2))
	*wait = min(2**wait, lastBackoff)
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-changed:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// Send queues a one-way message. It never blocks; the message is dropped if
// the process is not known, the queue is full, or the process cannot be
// reached. Messages on one connection arrive in order and reach the method's
// handler one at a time. When the connection is replaced, late messages of the
// former one may come after the first of the new one.
func (p *Peer) Send(to, method string, body any) {
	s := p.own
	if to != p.options.Name {
		s = p.side(to)
	}
	if s == nil {
		return
	}
	b, err := encodeBody(body, p.options.Maximum)
	if err == nil && s.queued.Add(int64(len(b))) > queueBytes {
		s.queued.Add(-int64(len(b)))
		err = errors.New("the queue holds too many bytes")
	} else if err == nil {
		select {
		case s.queue <- message{method, b}:
			return
		default:
			s.queued.Add(-int64(len(b)))
			err = errors.New("the queue is full")
		}
	}
	p.dropping(s, err)
}

// dropping counts a dropped message and reports the count from time to time.
func (p *Peer) dropping(s *side, err error) {
	s.drops.Add(1)
	metricDrops.Add(1)
	now, next := time.Now(), s.report.Load()
	if now.UnixNano() < next || !s.report.CompareAndSwap(next, now.Add(dropInterval).UnixNano()) {
		return
	}
	p.options.Log.Emit(event.PeerDropping, zap.String("peer", s.name), zap.Int64("dropped", s.drops.Swap(0)), zap.String("cause", err.Error()))
}

// deliver sends the queued messages of a side until ctx ends.
func (p *Peer) deliver(ctx context.Context, s *side) {
	var out outlet
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.queue:
			s.queued.Add(-int64(len(m.body)))
			var err error
			if s == p.own {
				if handler := p.handler(m.method); handler != nil {
					_, _ = handler(ctx, s.name, decoder(m.body)) // as in receive
				}
			} else {
				err = out.send(ctx, s, m)
			}
			if err != nil && ctx.Err() == nil {
				p.dropping(s, err)
			}
		}
	}
}

// outlet is the stream for one-way messages on the link in use.
type outlet struct {
	link *link
	str  *quic.SendStream
	buf  []byte
}

// send writes one message. After a failure the stream may have ended in the
// middle of a frame, so that the next message opens another.
func (o *outlet) send(ctx context.Context, s *side, m message) (err error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	l, err := s.usable(ctx)
	if err != nil {
		return err
	}
	if o.str == nil || o.link != l {
		if o.str != nil {
			o.str.CancelWrite(resetBroken)
		}
		o.link = l
		if o.str, err = l.conn.OpenUniStreamSync(ctx); err != nil {
			o.str = nil
			return err
		}
	}
	if o.buf, err = appendFrame(o.buf[:0], request{Method: m.method, Size: int64(len(m.body))}, m.body); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { o.str.CancelWrite(resetBroken) })
	metricBytes.Add(int64(len(o.buf)))
	if _, err = o.str.Write(o.buf); err == nil {
		metricSent.Add(1)
	}
	if !stop() || err != nil {
		o.str.CancelWrite(resetBroken)
		o.str = nil
	}
	if cap(o.buf) > directSize {
		o.buf = nil
	}
	return err
}
