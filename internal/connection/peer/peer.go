// Package peer connects the processes of a cell with each other. It provides calls
// and one-way messages over QUIC with mutual TLS 1.3.
//
// Two processes share one connection, which either of them may have dialled. It is
// kept alive by probes and dialled again when it is lost. Each call uses its own
// stream, so that a late answer cannot reach another call and a lost packet
// delays only one call. One-way messages share one stream per direction and are
// delivered in order. They are dropped if their bounded queue is full.
//
// # Usage
//
//	p, err := peer.New(peer.Options{
//		Name:         "entry-1",
//		Listen:       netip.MustParseAddrPort("10.0.0.1:7400"),
//		Peers:        map[string]netip.AddrPort{"control-1": address},
//		Certificates: store,
//		Log:          log,
//	})
//	p.Handle("forward", func(ctx context.Context, name string, decode peer.Decode) (any, error) { ... })
//	go p.Run(ctx)
//	err = p.Call(ctx, "control-1", "renew", renewal, &grant)
//	...
//	err = p.Drain(deadline) // then end ctx
//
// # Frames
//
// A call consists of a request header and body, and an answer header and body, on
// one bidirectional stream. Each header is encoded in CBOR with a length prefix of
// two bytes; each body is CBOR of the size stated in the header. The caller closes
// its side of the stream when it has received the complete answer, which confirms
// it. A caller that cancels the call resets the stream, which cancels the
// handler's context.
//
// # Outcomes
//
// A handler runs only after the complete request has arrived. A call fails with
// ErrNotSent only if part of the request was not written to the connection, or if
// the other side refused the stream or the connection. Later failures are reported
// as ErrUnknown.
package peer

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

// Errors of a call.
var (
	// ErrNotSent means that the request cannot have reached a handler.
	ErrNotSent = errors.New("not sent")
	// ErrUnknown means that a handler may have run.
	ErrUnknown = errors.New("the outcome of the call is not known")
)

// RemoteError is an error returned by the other process.
type RemoteError struct {
	Code    string
	Message string
}

// Error returns the message.
func (r *RemoteError) Error() string { return r.Message }

// Decode reads the body of a call into a value.
type Decode func(into any) error

// Handler serves one method. The returned value is encoded as the answer. name is
// the name in the caller's certificate. A *RemoteError is sent to the caller as
// is, any other error with the code "internal".
type Handler func(ctx context.Context, name string, decode Decode) (any, error)

// Mux registers handlers.
type Mux interface {
	Handle(method string, handler Handler)
}

// Caller calls methods of other processes, which are identified by their names in
// the settings. A process that calls its own name reaches its own handler.
type Caller interface {
	// Call sends a request and decodes the answer into response. It fails with
	// ErrNotSent, ErrUnknown or a *RemoteError.
	Call(ctx context.Context, to, method string, request, response any) error
}

// Peer manages the connections of this process to all others. Use New to create
// one.
type Peer struct {
	options   Options
	socket    net.PacketConn
	transport *quic.Transport
	listener  *quic.Listener
	self      *remotePeer // queue of one-way messages from this process to itself

	goroutines sync.WaitGroup // goroutines that Run waits for

	mu                sync.RWMutex
	handlers          map[string]Handler
	remotes           map[string]*remotePeer
	connections       map[*connection]struct{} // all open connections, including superfluous ones
	nextRefusalReport map[string]time.Time     // by name: time from which a refusal is logged again
	runContext        context.Context          // context of Run; nil before Run

	active callTracker
}

var (
	_ Mux    = (*Peer)(nil)
	_ Caller = (*Peer)(nil)
)

// New returns a Peer and opens its socket. Connections are accepted and dialled only
// while Run is running.
func New(options Options) (*Peer, error) {
	if err := options.complete(); err != nil {
		return nil, errors.Wrap(err, "peer")
	}
	p := &Peer{
		options:           options,
		socket:            options.Conn,
		handlers:          map[string]Handler{},
		remotes:           map[string]*remotePeer{},
		connections:       map[*connection]struct{}{},
		nextRefusalReport: map[string]time.Time{},
	}
	p.self = newRemotePeer(options.Name, netip.AddrPort{}, options.QueueLength)
	for name, address := range options.Peers {
		if name != options.Name {
			p.remotes[name] = newRemotePeer(name, address, options.QueueLength)
		}
	}
	if p.socket == nil {
		s, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(options.Listen))
		if err != nil {
			return nil, errors.Wrap(err, "peer")
		}
		p.socket = s
	}
	p.transport = &quic.Transport{Conn: p.socket, StatelessResetKey: resetKey(options.Certificates.Current())}
	l, err := p.transport.Listen(p.serverConfig(), quicConfig())
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "peer"), p.close())
	}
	p.listener = l
	return p, nil
}

// Address returns the UDP address that the peer listens on.
func (p *Peer) Address() netip.AddrPort {
	a, ok := p.socket.LocalAddr().(*net.UDPAddr)
	if !ok {
		return p.options.Listen
	}
	b := a.AddrPort()
	return netip.AddrPortFrom(b.Addr().Unmap(), b.Port())
}

// Handle registers the handler of a method and replaces an existing one.
func (p *Peer) Handle(method string, handler Handler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handlers[method] = handler
}

func (p *Peer) handler(method string) Handler {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.handlers[method]
}

// SetPeer adds a process or changes its address. An existing connection is kept;
// the next dial uses the new address.
func (p *Peer) SetPeer(name string, address netip.AddrPort) {
	if name == p.options.Name {
		return
	}
	p.mu.Lock()
	s, ok := p.remotes[name]
	if !ok {
		s = newRemotePeer(name, address, p.options.QueueLength)
		p.remotes[name] = s
		if p.runContext != nil && p.runContext.Err() == nil {
			p.start(p.runContext, s)
		}
	}
	p.mu.Unlock()
	s.setAddress(address)
}

// DropPeer removes a process and closes its connections. Later connections from it
// are refused.
func (p *Peer) DropPeer(name string) {
	p.mu.Lock()
	s := p.remotes[name]
	delete(p.remotes, name)
	var open []*connection
	for l := range p.connections {
		if l.name == name {
			open = append(open, l)
		}
	}
	p.mu.Unlock()
	if s != nil {
		s.remove()
	}
	for _, l := range open {
		l.close(closeDropped, "no longer a peer")
	}
}

// Peers returns the names of the other processes, sorted.
func (p *Peer) Peers() []string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return slices.Sorted(maps.Keys(p.remotes))
}

// remotePeer returns the state of another process, or nil if it is not a peer.
func (p *Peer) remotePeer(name string) *remotePeer {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.remotes[name]
}

// start starts the goroutines for one remote peer. The caller holds p.mu.
func (p *Peer) start(ctx context.Context, s *remotePeer) {
	p.goroutines.Go(func() { p.maintain(ctx, s) })
	p.goroutines.Go(func() { p.deliver(ctx, s) })
}

// Run accepts and dials connections until ctx is done. It then closes all of them
// and returns when all handlers have returned. It returns an error if the socket
// fails. It must be called at most once. The socket of a Peer stays open if Run is
// never called.
func (p *Peer) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	p.mu.Lock()
	p.runContext = inner
	p.goroutines.Go(func() { p.deliver(inner, p.self) })
	for _, s := range p.remotes {
		p.start(inner, s)
	}
	p.mu.Unlock()

	var failed error
	for {
		c, err := p.listener.Accept(inner)
		if err != nil {
			if ctx.Err() == nil {
				failed = errors.Wrap(err, "accept connections of peers")
			}
			break
		}
		p.goroutines.Go(func() { p.accept(inner, c) })
	}

	p.mu.Lock()
	cancel() // under the lock, so that SetPeer starts no more goroutines
	open := slices.Collect(maps.Keys(p.connections))
	p.mu.Unlock()
	for _, l := range open {
		l.close(closeShutdown, "shutting down")
	}
	failed = errors.CombineErrors(failed, p.close())
	p.goroutines.Wait()
	return failed
}

// close closes the transport and the socket.
func (p *Peer) close() error {
	err := p.transport.Close()
	if e := p.socket.Close(); e != nil && !errors.Is(e, net.ErrClosed) {
		err = errors.CombineErrors(err, e)
	}
	return err
}

// Drain refuses new calls from other processes, which fail with ErrNotSent, and
// returns when all accepted calls have been answered and their answers confirmed,
// or with the error of ctx if that ends first. Calls that this process makes, to
// others or to itself, and one-way messages work until the context of Run ends.
func (p *Peer) Drain(ctx context.Context) error {
	select {
	case <-p.active.drain():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// callTracker counts the calls being served, so that Drain can wait for them.
type callTracker struct {
	mu       sync.Mutex
	count    int
	draining bool
	idle     chan struct{} // closed when draining and count is zero; nil before draining
}

// enter counts a new call, or returns false while draining.
func (a *callTracker) enter() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return false
	}
	a.count++
	return true
}

func (a *callTracker) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count--
	if a.draining && a.count == 0 {
		close(a.idle)
	}
}

// drain makes enter refuse new calls. It returns a channel that is closed when no
// calls are left.
func (a *callTracker) drain() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.draining {
		a.draining, a.idle = true, make(chan struct{})
		if a.count == 0 {
			close(a.idle)
		}
	}
	return a.idle
}

// logLost logs the loss of the current connection to a process, unless Run is
// ending.
func (p *Peer) logLost(l *connection) {
	p.mu.RLock()
	stopping := p.runContext == nil || p.runContext.Err() != nil
	p.mu.RUnlock()
	if !stopping {
		p.options.Log.Emit(event.PeerLost, l.fields()...)
	}
}
