// Package peer links the processes of a cell with each other: calls with an
// answer and one-way messages over QUIC with mutual TLS 1.3.
//
// Two processes share one connection, whichever of them dialled it. It is kept
// open by probes and dialled again when it is lost. Each call has a stream of
// its own, so that a late answer cannot reach another call and a lost packet
// delays only its own call. One-way messages share a stream per direction, in
// order, and are dropped rather than queued without bound.
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
// A call is a request header and a body on a bidirectional stream, answered
// by an answer header and a body. Each header is CBOR behind its length in two
// bytes; each body is CBOR of the size that the header states. The caller ends
// its side of the stream once it has the whole answer, which confirms it. A
// caller that gives up resets the stream, which cancels the handler's context.
//
// # Outcomes
//
// A handler runs only once the whole request has arrived. A call therefore
// fails with ErrNotSent only if part of the request was never handed to the
// connection, or if the other side refused the stream or the connection.
// Anything later is ErrUnknown.
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
	// ErrNotSent tells that no byte of the request can have reached the other side.
	ErrNotSent = errors.New("not sent")
	// ErrUnknown tells that the request may have been served.
	ErrUnknown = errors.New("the outcome of the call is not known")
)

// Remote is an error that the other side's handler returned.
type Remote struct {
	Code    string
	Message string
}

// Error returns the message.
func (r *Remote) Error() string { return r.Message }

// Decode reads the body of a call into a value.
type Decode func(into any) error

// Handler serves one method. The returned value is encoded as the answer. Name
// is the caller's, as its certificate states it. A *Remote error reaches the
// caller as it is; any other error reaches it with the code "internal".
type Handler func(ctx context.Context, name string, decode Decode) (any, error)

// Mux registers handlers.
type Mux interface {
	Handle(method string, handler Handler)
}

// Caller calls methods of other processes by their name in the settings. A
// call to the process's own name reaches its own handler.
type Caller interface {
	// Call sends request and reads the answer into response. It fails with
	// ErrNotSent, ErrUnknown or a *Remote error.
	Call(ctx context.Context, to, method string, request, response any) error
}

// Peer is this process's end of the links to all others. Use New.
type Peer struct {
	options   Options
	socket    net.PacketConn
	transport *quic.Transport
	listener  *quic.Listener
	own       *side // delivers one-way messages to this process itself

	work sync.WaitGroup // goroutines started by Run

	mu       sync.RWMutex
	handlers map[string]Handler
	sides    map[string]*side
	links    map[*link]struct{}   // all open connections, also superfluous ones
	refused  map[string]time.Time // next report of a refused name
	running  context.Context      // that of Run; nil before

	active active
}

var (
	_ Mux    = (*Peer)(nil)
	_ Caller = (*Peer)(nil)
)

// New opens the socket. Nothing is accepted or dialled before Run.
func New(options Options) (*Peer, error) {
	if err := options.complete(); err != nil {
		return nil, errors.Wrap(err, "peer")
	}
	p := &Peer{
		options:  options,
		socket:   options.Conn,
		handlers: map[string]Handler{},
		sides:    map[string]*side{},
		links:    map[*link]struct{}{},
		refused:  map[string]time.Time{},
	}
	p.own = newSide(options.Name, netip.AddrPort{}, options.Queue)
	for name, address := range options.Peers {
		if name != options.Name {
			p.sides[name] = newSide(name, address, options.Queue)
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
	l, err := p.transport.Listen(p.serverConfig(), configuration())
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

// Handle registers the handler of a method, in place of a former one.
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

// SetPeer adds a process, or changes its address. A connection that exists
// stays; the next dial uses the new address.
func (p *Peer) SetPeer(name string, address netip.AddrPort) {
	if name == p.options.Name {
		return
	}
	p.mu.Lock()
	s, ok := p.sides[name]
	if !ok {
		s = newSide(name, address, p.options.Queue)
		p.sides[name] = s
		if p.running != nil && p.running.Err() == nil {
			p.start(p.running, s)
		}
	}
	p.mu.Unlock()
	s.move(address)
}

// DropPeer forgets a process and closes its connections. It is refused from
// then on.
func (p *Peer) DropPeer(name string) {
	p.mu.Lock()
	s := p.sides[name]
	delete(p.sides, name)
	var open []*link
	for l := range p.links {
		if l.name == name {
			open = append(open, l)
		}
	}
	p.mu.Unlock()
	if s != nil {
		s.drop()
	}
	for _, l := range open {
		l.close(closeDropped, "no longer a peer")
	}
}

// Peers returns the names of the other processes, sorted.
func (p *Peer) Peers() []string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return slices.Sorted(maps.Keys(p.sides))
}

// side returns what is kept of another process, nil if it is not expected.
func (p *Peer) side(name string) *side {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.sides[name]
}

// start runs the goroutines of one side. The caller holds p.mu.
func (p *Peer) start(ctx context.Context, s *side) {
	p.work.Go(func() { p.maintain(ctx, s) })
	p.work.Go(func() { p.deliver(ctx, s) })
}

// Run accepts and dials connections until ctx ends, then closes them all and
// returns once every handler has. It returns an error if the socket fails.
// It must be called at most once; a Peer that is never run keeps its socket.
func (p *Peer) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	p.mu.Lock()
	p.running = inner
	p.work.Go(func() { p.deliver(inner, p.own) })
	for _, s := range p.sides {
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
		p.work.Go(func() { p.accept(inner, c) })
	}

	p.mu.Lock()
	cancel() // under the lock, so that SetPeer starts nothing from here on
	open := slices.Collect(maps.Keys(p.links))
	p.mu.Unlock()
	for _, l := range open {
		l.close(closeShutdown, "shutting down")
	}
	failed = errors.CombineErrors(failed, p.close())
	p.work.Wait()
	return failed
}

// close ends the transport and the socket.
func (p *Peer) close() error {
	err := p.transport.Close()
	if e := p.socket.Close(); e != nil && !errors.Is(e, net.ErrClosed) {
		err = errors.CombineErrors(err, e)
	}
	return err
}

// Drain refuses new calls of other processes, which get ErrNotSent, and
// returns once every call that was accepted has been answered and its answer
// confirmed. It returns ctx's error if that comes first. Own calls, one-way
// messages and calls to the own name go on until Run's context ends.
func (p *Peer) Drain(ctx context.Context) error {
	select {
	case <-p.active.drain():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// active counts the calls that are being served.
type active struct {
	mu       sync.Mutex
	count    int
	draining bool
	idle     chan struct{} // closed when draining and count is zero; nil before drain
}

// enter reports whether a new call may be served.
func (a *active) enter() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return false
	}
	a.count++
	return true
}

func (a *active) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count--
	if a.draining && a.count == 0 {
		close(a.idle)
	}
}

func (a *active) drain() <-chan struct{} {
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

// lost reports the end of a connection that was in use.
func (p *Peer) lost(l *link) {
	p.mu.RLock()
	stopping := p.running == nil || p.running.Err() != nil
	p.mu.RUnlock()
	if !stopping {
		p.options.Log.Emit(event.PeerLost, l.fields()...)
	}
}
