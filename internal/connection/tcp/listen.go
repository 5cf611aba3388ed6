package tcp

import (
	"container/list"
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

const (
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 20 * time.Millisecond
	// acceptLogInterval limits the log lines about failed accepts.
	acceptLogInterval = time.Second
	// evictWait is how long a full Listener waits for a connection to be closed
	// before it looks for idle ones again.
	evictWait = 20 * time.Millisecond
	// firstByteTime is how long a full Listener waits for the first byte on a connection
	// before the connection counts as idle. A partition may let a connection be opened
	// and hold what is sent on it.
	firstByteTime = 250 * time.Millisecond
)

// Listener accepts connections within a budget. Unlike a net.Listener, Accept
// fails only once the Listener is closed: a process that has run out of
// descriptors must keep serving the connections that it has.
type Listener struct {
	listener *net.TCPListener
	budget   *Budget
	log      event.Log
	closed   chan struct{}
	closing  sync.Once
	loggedAt time.Time // of the last failed accept; owned by Accept

	mu   sync.Mutex
	idle *list.List // of idleConn, the one that has been idle for longest first
	at   map[net.Conn]*list.Element
}

// idleConn is a connection on which no request is being read or served.
type idleConn struct {
	conn net.Conn
	from time.Time // when it may be closed
}

var _ net.Listener = (*Listener)(nil)

// Listen returns a Listener on an address.
func Listen(address netip.AddrPort, budget *Budget, log event.Log) (*Listener, error) {
	c := net.ListenConfig{KeepAlive: -1} // servers close idle connections, dead ones included
	l, err := c.Listen(context.Background(), "tcp4", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	t, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errors.CombineErrors(errors.Newf("%s: not a TCP listener", address), l.Close())
	}
	return &Listener{
		listener: t, budget: budget, log: log, closed: make(chan struct{}), idle: list.New(), at: map[net.Conn]*list.Element{},
	}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.reserve() {
		return nil, net.ErrClosed
	}
	for {
		c, err := l.listener.AcceptTCP()
		if err == nil {
			return &conn{TCPConn: c, closed: l.budget.release}, nil
		}
		if errors.Is(err, net.ErrClosed) {
			l.budget.release()
			return nil, err
		}
		l.logFailure(err)
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			l.evict()
		}
		if !l.wait(nil, acceptRetryDelay) {
			l.budget.release()
			return nil, net.ErrClosed
		}
	}
}

// reserve takes a descriptor for the next connection. While there is none, it
// closes idle connections. It returns false once the Listener is closed.
func (l *Listener) reserve() bool {
	for {
		freed, ok := l.budget.acquire()
		if ok {
			return true
		}
		if !l.evict() && !l.wait(freed, evictWait) {
			return false
		}
	}
}

// wait waits for a signal, at most for d. It returns false once the Listener is
// closed.
func (l *Listener) wait(signal <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-signal:
	case <-t.C:
	case <-l.closed:
		return false
	}
	return true
}

func (l *Listener) logFailure(err error) {
	now := time.Now()
	if now.Sub(l.loggedAt) < acceptLogInterval {
		return
	}
	l.loggedAt = now
	l.log.Emit(event.AcceptFailed, zap.String("address", l.Addr().String()), zap.String("budget", l.budget.name),
		zap.Int("open", l.budget.Open()), zap.Int("limit", l.budget.limit), event.Cause(err))
}

// Track records which connections are idle, or have carried nothing yet. It is a
// fasthttp.Server.ConnState.
func (l *Listener) Track(c net.Conn, s fasthttp.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.at[c]; e != nil {
		l.idle.Remove(e)
		delete(l.at, c)
	}
	switch s {
	case fasthttp.StateIdle:
		l.at[c] = l.idle.PushBack(idleConn{conn: c})
	case fasthttp.StateNew:
		l.at[c] = l.idle.PushBack(idleConn{c, time.Now().Add(firstByteTime)})
	}
}

// evict closes the connection that has been idle for longest. It reports whether
// there was one.
func (l *Listener) evict() bool {
	c := l.takeIdle(time.Now())
	if c == nil {
		return false
	}
	_ = c.Close() // its error does not matter, since nobody uses it
	return true
}

// takeIdle removes and returns the connection that has been idle for longest, or nil.
func (l *Listener) takeIdle(now time.Time) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.idle.Front(); e != nil; e = e.Next() {
		if i := e.Value.(idleConn); !now.Before(i.from) {
			l.idle.Remove(e)
			delete(l.at, i.conn)
			return i.conn
		}
	}
	return nil
}

// Close implements net.Listener. It closes no connection.
func (l *Listener) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return l.listener.Close()
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.listener.Addr() }
