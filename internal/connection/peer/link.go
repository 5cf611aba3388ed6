package peer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

// Application error codes for closing a connection.
const (
	closeShutdown    quic.ApplicationErrorCode = 1 // the process is shutting down
	closeSuperfluous quic.ApplicationErrorCode = 2 // another connection is in use
	closeDropped     quic.ApplicationErrorCode = 3 // the process is no longer a peer
	closeProtocol    quic.ApplicationErrorCode = 4 // the other side violated the protocol
)

// Application error codes for resetting a stream.
const (
	resetCancelled quic.StreamErrorCode = 1 // the caller cancelled the call
	resetRefused   quic.StreamErrorCode = 2 // the request did not reach a handler
	resetBroken    quic.StreamErrorCode = 3 // the rest of the stream cannot be used
	resetDeadline  quic.StreamErrorCode = 4 // the deadline passed before the handler returned
)

// connection is a QUIC connection to another process.
type connection struct {
	conn    *quic.Conn
	name    string
	dialled bool         // whether this process dialled it
	since   time.Time    // when it was accepted
	calls   atomic.Int64 // calls in progress in both directions
}

func (l *connection) fields() []zap.Field {
	fields := []zap.Field{zap.String("peer", l.name), zap.Stringer("address", l.conn.RemoteAddr()), zap.Bool("dialled", l.dialled)}
	if err := context.Cause(l.conn.Context()); err != nil {
		fields = append(fields, zap.String("cause", err.Error()))
	}
	return fields
}

func (l *connection) ended() bool { return l.conn.Context().Err() != nil }

func (l *connection) close(code quic.ApplicationErrorCode, why string) {
	// An error only means that the connection has already ended.
	_ = l.conn.CloseWithError(code, why)
}

// track registers a connection to be closed at the end of Run. It returns false if
// Run is not running or the process is no longer a peer.
func (p *Peer) track(l *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runContext == nil || p.runContext.Err() != nil || p.remotes[l.name] == nil {
		return false
	}
	p.connections[l] = struct{}{}
	return true
}

func (p *Peer) untrack(l *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, l)
}

// accept sends the greeting to a process that has dialled, and serves the connection.
func (p *Peer) accept(ctx context.Context, c *quic.Conn) {
	name, err := remoteName(c.ConnectionState().TLS)
	s := p.remotePeer(name)
	l := &connection{conn: c, name: name}
	if err != nil || s == nil || !p.track(l) {
		l.close(closeDropped, "not a peer")
		return
	}
	str, err := c.OpenUniStream()
	if err == nil {
		var frame []byte
		if frame, err = appendFrame(nil, greeting{Version: version}, nil); err == nil {
			metricBytes.Add(int64(len(frame)))
			_, err = str.Write(frame)
			err = errors.CombineErrors(err, str.Close())
		}
	}
	if err != nil {
		p.untrack(l)
		l.close(closeProtocol, "no greeting")
		return
	}
	l.since = time.Now()
	p.install(s, l)
	p.serveConnection(ctx, s, l)
}

// dial connects to a process and waits for its greeting. Otherwise this process
// would use a connection before the other has accepted it: in TLS 1.3 the client
// completes the handshake before the server has verified the client's certificate.
func (p *Peer) dial(ctx context.Context, s *remotePeer, to *net.UDPAddr) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := p.transport.Dial(ctx, to, p.clientConfig(s.name), quicConfig())
	if err != nil {
		return nil, err
	}
	l := &connection{conn: c, name: s.name, dialled: true}
	str, err := c.AcceptUniStream(ctx)
	if err != nil {
		l.close(closeProtocol, "no greeting")
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { str.CancelRead(resetCancelled) })
	defer stop()
	var g greeting
	if err = readHeader(str, &g); err == nil && g.Version != version {
		err = errors.Newf("the other side speaks version %d of the protocol, this one %d", g.Version, version)
	}
	if err != nil {
		l.close(closeProtocol, "greeting")
		return nil, err
	}
	l.since = time.Now()
	return l, nil
}

// serveConnection serves calls and one-way messages until the connection ends.
// Handlers may still be running when it returns; Run waits for them.
func (p *Peer) serveConnection(ctx context.Context, s *remotePeer, l *connection) {
	defer func() {
		p.untrack(l)
		if s.clear(l) {
			p.logLost(l)
		}
	}()
	ended := l.conn.Context()
	p.goroutines.Go(func() {
		for {
			str, err := l.conn.AcceptUniStream(ended)
			if err != nil {
				return
			}
			p.goroutines.Go(func() { p.receive(ctx, l, str) })
		}
	})
	for {
		str, err := l.conn.AcceptStream(ended)
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.serve(ctx, l, str) })
	}
}

// receive passes the one-way messages of a stream to their handlers, one at a
// time. A slow handler blocks the sender, which drops messages once its queue is
// full.
func (p *Peer) receive(ctx context.Context, l *connection, str *quic.ReceiveStream) {
	for {
		var h requestHeader
		if err := readHeader(str, &h); err != nil {
			if !errors.Is(err, io.EOF) {
				str.CancelRead(resetBroken)
			}
			return
		}
		body, err := readBody(str, h.Size, p.options.MaxBodySize)
		if err != nil {
			str.CancelRead(resetBroken)
			return
		}
		if handler := p.handler(h.Method); handler != nil {
			// One-way messages have no answer that could report an error.
			_, _ = handler(ctx, l.name, decoder(body))
		}
	}
}

// retire closes a superfluous connection after a delay in which the other side may
// still start calls on it, and when no call is in progress. The side that dialled
// it waits only half as long and so closes it first.
func (p *Peer) retire(ctx context.Context, l *connection) {
	wait := linger
	if !l.dialled {
		wait *= 2
	}
	p.goroutines.Go(func() {
		t := time.NewTimer(wait)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-l.conn.Context().Done():
				return
			case <-t.C:
			}
			if l.calls.Load() == 0 {
				l.close(closeSuperfluous, "superfluous")
				return
			}
			t.Reset(linger)
		}
	})
}

// install makes a new connection the current one, or retires it if the current one
// is to be kept.
func (p *Peer) install(s *remotePeer, l *connection) {
	p.mu.RLock()
	ctx := p.runContext
	p.mu.RUnlock()
	previous, used := s.replaceCurrent(l, p.options.Name)
	switch {
	case !used:
		p.retire(ctx, l)
	case previous != nil && simultaneous(previous, l):
		p.retire(ctx, previous)
	case previous != nil:
		// The other side must have lost it, since it dialled again.
		previous.close(closeSuperfluous, "replaced")
	}
	if used {
		metricConnections.Add(1)
		p.options.Log.Emit(event.PeerConnected, l.fields()...)
	}
}

// simultaneous reports whether both sides dialled before either had seen the
// connection of the other. A dial takes at most dialTimeout. If the new connection
// was made later than that after the previous one, the side that dialled it must
// have lost the previous one before.
func simultaneous(previous, l *connection) bool {
	return previous.dialled != l.dialled && !previous.ended() && l.since.Sub(previous.since) < dialTimeout
}

// replaces reports whether l is used instead of the previous connection. Of two
// simultaneous connections, both sides keep the one dialled by the side with the
// smaller name.
func replaces(previous, l *connection, own string) bool {
	if !simultaneous(previous, l) {
		return true
	}
	return l.dialled == (own < l.name)
}
