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

// Codes with which a connection is closed.
const (
	closeShutdown    quic.ApplicationErrorCode = 1 // the process ends
	closeSuperfluous quic.ApplicationErrorCode = 2 // another connection is in use
	closeDropped     quic.ApplicationErrorCode = 3 // the process is no longer a peer
	closeProtocol    quic.ApplicationErrorCode = 4 // the other side broke the protocol
)

// Codes with which a stream is reset.
const (
	resetCancelled quic.StreamErrorCode = 1 // the caller gave up
	resetRefused   quic.StreamErrorCode = 2 // no handler has seen the request
	resetBroken    quic.StreamErrorCode = 3 // the stream cannot be read on
	resetDeadline  quic.StreamErrorCode = 4 // the caller's deadline passed before the handler was done
)

// link is one connection.
type link struct {
	conn    *quic.Conn
	name    string
	dialled bool         // by this process
	since   time.Time    // when it was admitted
	calls   atomic.Int64 // calls under way in either direction
}

func (l *link) fields() []zap.Field {
	fields := []zap.Field{zap.String("peer", l.name), zap.Stringer("address", l.conn.RemoteAddr()), zap.Bool("dialled", l.dialled)}
	if err := context.Cause(l.conn.Context()); err != nil {
		fields = append(fields, zap.String("cause", err.Error()))
	}
	return fields
}

func (l *link) ended() bool { return l.conn.Context().Err() != nil }

func (l *link) close(code quic.ApplicationErrorCode, why string) {
	// The error tells only that the connection has ended already.
	_ = l.conn.CloseWithError(code, why)
}

// track adds a link to those that Run closes. It reports false if Run is ending.
func (p *Peer) track(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil || p.running.Err() != nil || p.sides[l.name] == nil {
		return false
	}
	p.links[l] = struct{}{}
	return true
}

func (p *Peer) untrack(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// accept greets a process that has dialled and serves the connection.
func (p *Peer) accept(ctx context.Context, c *quic.Conn) {
	name, err := remoteName(c.ConnectionState().TLS)
	s := p.side(name)
	l := &link{conn: c, name: name}
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
	p.serveLink(ctx, s, l)
}

// dial connects to a process and waits for its greeting. Without that wait the
// dialling side would use a connection before the other has admitted it: in
// TLS 1.3 the client's certificate is checked after the client is done.
func (p *Peer) dial(ctx context.Context, s *side, to *net.UDPAddr) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := p.transport.Dial(ctx, to, p.clientConfig(s.name), configuration())
	if err != nil {
		return nil, err
	}
	l := &link{conn: c, name: s.name, dialled: true}
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

// serveLink serves calls and messages until the connection has ended, and then
// takes it out of use. Handlers may outlast it; Run waits for them.
func (p *Peer) serveLink(ctx context.Context, s *side, l *link) {
	defer func() {
		p.untrack(l)
		if s.clear(l) {
			p.lost(l)
		}
	}()
	ended := l.conn.Context()
	p.work.Go(func() {
		for {
			str, err := l.conn.AcceptUniStream(ended)
			if err != nil {
				return
			}
			p.work.Go(func() { p.receive(ctx, l, str) })
		}
	})
	for {
		str, err := l.conn.AcceptStream(ended)
		if err != nil {
			return
		}
		p.work.Go(func() { p.serve(ctx, l, str) })
	}
}

// receive hands the one-way messages of a stream to their handlers, one at a
// time. A slow handler holds up the sender, whose queue then drops messages.
func (p *Peer) receive(ctx context.Context, l *link, str *quic.ReceiveStream) {
	for {
		var h request
		if err := readHeader(str, &h); err != nil {
			if !errors.Is(err, io.EOF) {
				str.CancelRead(resetBroken)
			}
			return
		}
		body, err := readBody(str, h.Size, p.options.Maximum)
		if err != nil {
			str.CancelRead(resetBroken)
			return
		}
		if handler := p.handler(h.Method); handler != nil {
			// One-way messages have no answer, so that an error has no reader.
			_, _ = handler(ctx, l.name, decoder(body))
		}
	}
}

// retire closes a superfluous connection once calls that the other side may
// still start on it are over. The side that dialled it does so first.
func (p *Peer) retire(ctx context.Context, l *link) {
	wait := linger
	if !l.dialled {
		wait *= 2
	}
	p.work.Go(func() {
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

// install puts a new connection to use, or sets it aside if the one in use is
// to be kept.
func (p *Peer) install(s *side, l *link) {
	p.mu.RLock()
	ctx := p.running
	p.mu.RUnlock()
	former, used := s.offer(l, p.options.Name)
	switch {
	case !used:
		p.retire(ctx, l)
	case former != nil && simultaneous(former, l):
		p.retire(ctx, former)
	case former != nil:
		// The other side has lost it, or it would not have dialled again.
		former.close(closeSuperfluous, "replaced")
	}
	if used {
		metricLinks.Add(1)
		p.options.Log.Emit(event.PeerConnected, l.fields()...)
	}
}

// simultaneous reports whether both sides dialled before either had seen the
// other's connection. A dial lasts at most dialTimeout, so that a side which
// dials later than that after a connection was made has lost it.
func simultaneous(former, l *link) bool {
	return former.dialled != l.dialled && !former.ended() && l.since.Sub(former.since) < dialTimeout
}

// replaces reports whether l is used in place of former. Of two that were
// dialled at the same time, both sides keep the one that the side with the
// smaller name dialled.
func replaces(former, l *link, own string) bool {
	if !simultaneous(former, l) {
		return true
	}
	return l.dialled == (own < l.name)
}
