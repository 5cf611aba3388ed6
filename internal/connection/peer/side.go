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

// remotePeer is the state that a Peer keeps for another process.
type remotePeer struct {
	name       string
	queue      chan message // one-way messages to be sent
	queued     atomic.Int64 // total size of the bodies in queue
	drops      atomic.Int64 // messages dropped since the last log entry
	nextReport atomic.Int64 // time from which drops are logged again, in Unix nanoseconds

	mu      sync.Mutex
	address netip.AddrPort
	current *connection   // connection in use; nil if there is none
	dialErr error         // error of the last dial; nil during the first dial after a loss
	removed bool          // no longer a peer
	changed chan struct{} // closed and replaced at each change of the fields above
}

// message is an encoded one-way message.
type message struct {
	method string
	body   []byte
}

func newRemotePeer(name string, address netip.AddrPort, queue int) *remotePeer {
	return &remotePeer{name: name, address: address, queue: make(chan message, queue), changed: make(chan struct{})}
}

// change runs f under the lock and wakes all goroutines that wait for a change.
func (s *remotePeer) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *remotePeer) setAddress(address netip.AddrPort) {
	s.change(func() {
		if s.address != address {
			s.address, s.dialErr = address, nil
		}
	})
}

func (s *remotePeer) remove() { s.change(func() { s.removed = true }) }

// replaceCurrent makes l the current connection unless the existing one is to be
// kept. It returns the previous connection and whether l is used.
func (s *remotePeer) replaceCurrent(l *connection, own string) (previous *connection, used bool) {
	s.change(func() {
		previous = s.current
		if used = previous == nil || replaces(previous, l, own); used {
			s.current, s.dialErr = l, nil
		}
	})
	return previous, used
}

// clear removes a connection that has ended. It reports whether it was the current
// one.
func (s *remotePeer) clear(l *connection) (was bool) {
	s.change(func() {
		if was = s.current == l; was {
			s.current = nil
		}
	})
	return was
}

func (s *remotePeer) disconnected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current == nil
}

// waitConnected returns the current connection. During the first dial after a loss
// it waits for the result; after a failed dial it fails immediately.
func (s *remotePeer) waitConnected(ctx context.Context) (*connection, error) {
	for {
		s.mu.Lock()
		l, down, address, gone, changed := s.current, s.dialErr, s.address, s.removed, s.changed
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

// maintain keeps a process connected until ctx is done or the process is removed.
func (p *Peer) maintain(ctx context.Context, s *remotePeer) {
	wait := minBackoff
	for ctx.Err() == nil {
		s.mu.Lock()
		l, address, gone, changed := s.current, s.address, s.removed, s.changed
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
			if time.Since(l.since) >= stableTime {
				wait = minBackoff
			} else if s.disconnected() && !p.backOff(ctx, s, &wait) {
				return
			}
		case !address.IsValid():
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		default:
			if !p.reconnect(ctx, s, address) && !p.backOff(ctx, s, &wait) {
				return
			}
		}
	}
}

// reconnect dials once and reports whether it succeeded.
func (p *Peer) reconnect(ctx context.Context, s *remotePeer, address netip.AddrPort) bool {
	l, err := p.dial(ctx, s, net.UDPAddrFromAddrPort(address))
	if err == nil && !p.track(l) {
		l.close(closeShutdown, "shutting down")
		err = errors.New("the process is shutting down")
	}
	if err != nil {
		p.dialFailed(ctx, s, address, err)
		return false
	}
	p.install(s, l)
	p.goroutines.Go(func() { p.serveConnection(ctx, s, l) })
	return true
}

// dialFailed records a failed dial unless the other side has connected meanwhile,
// and logs the first failure.
func (p *Peer) dialFailed(ctx context.Context, s *remotePeer, address netip.AddrPort, err error) {
	first := false
	s.mu.Lock()
	if s.current == nil && s.address == address {
		first = s.dialErr == nil
		s.dialErr = err
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mu.Unlock()
	if first && ctx.Err() == nil {
		p.options.Log.Emit(event.PeerUnreachable, zap.String("peer", s.name), zap.Stringer("address", address), zap.String("error", err.Error()))
	}
}

// backOff waits for a random time between half the backoff and the full backoff,
// and doubles the backoff. A change of s ends the wait. It returns false if ctx is
// done.
func (p *Peer) backOff(ctx context.Context, s *remotePeer, wait *time.Duration) bool {
	s.mu.Lock()
	changed := s.changed
	s.mu.Unlock()
	d := *wait/2 + time.Duration(p.options.Random()*float64(*wait/2))
	*wait = min(2**wait, maxBackoff)
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-changed:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// Send queues a one-way message. It never blocks. The message is dropped if the
// process is unknown, its queue is full, or it cannot be reached. The messages of
// one connection arrive in order and are passed to their handlers one at a time.
// When a connection is replaced, late messages of the previous one may arrive after
// the first ones of the new one.
func (p *Peer) Send(to, method string, body any) {
	s := p.self
	if to != p.options.Name {
		s = p.remotePeer(to)
	}
	if s == nil {
		return
	}
	b, err := encodeBody(body, p.options.MaxBodySize)
	if err == nil && s.queued.Add(int64(len(b))) > maxQueueBytes {
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
	p.countDrop(s, err)
}

// countDrop counts a dropped message and logs the count at most once per
// dropInterval.
func (p *Peer) countDrop(s *remotePeer, err error) {
	s.drops.Add(1)
	metricDrops.Add(1)
	now, next := time.Now(), s.nextReport.Load()
	if now.UnixNano() < next || !s.nextReport.CompareAndSwap(next, now.Add(dropInterval).UnixNano()) {
		return
	}
	p.options.Log.Emit(event.PeerDropping, zap.String("peer", s.name), zap.Int64("dropped", s.drops.Swap(0)), zap.String("cause", err.Error()))
}

// deliver sends the queued messages to a process until ctx is done.
func (p *Peer) deliver(ctx context.Context, s *remotePeer) {
	var out messageStream
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.queue:
			s.queued.Add(-int64(len(m.body)))
			var err error
			if s == p.self {
				if handler := p.handler(m.method); handler != nil {
					_, _ = handler(ctx, s.name, decoder(m.body)) // as in receive
				}
			} else {
				err = out.send(ctx, s, m)
			}
			if err != nil && ctx.Err() == nil {
				p.countDrop(s, err)
			}
		}
	}
}

// messageStream is the stream for one-way messages on the current connection.
type messageStream struct {
	conn *connection
	str  *quic.SendStream
	buf  []byte
}

// send writes one message. After a failure the stream may contain an incomplete
// frame, so the next message opens a new stream.
func (o *messageStream) send(ctx context.Context, s *remotePeer, m message) (err error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	l, err := s.waitConnected(ctx)
	if err != nil {
		return err
	}
	if o.str == nil || o.conn != l {
		if o.str != nil {
			o.str.CancelWrite(resetBroken)
		}
		o.conn = l
		if o.str, err = l.conn.OpenUniStreamSync(ctx); err != nil {
			o.str = nil
			return err
		}
	}
	if o.buf, err = appendFrame(o.buf[:0], requestHeader{Method: m.method, Size: int64(len(m.body))}, m.body); err != nil {
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
	if cap(o.buf) > maxPreallocation {
		o.buf = nil
	}
	return err
}
