// Package plain links processes of a cell over HTTP with CBOR bodies on TCP,
// for platforms that hand out no certificates. It offers the interfaces of
// package peer, so that handlers and callers work with either.
//
// # Usage
//
//	node := plain.New(plain.Options{Name: "10.0.0.1", Port: 7180, Log: log})
//	node.Handle("status", func(ctx context.Context, name string, decode peer.Decode) (any, error) { ... })
//	go node.Run(ctx)
//	err := node.Call(ctx, "10.0.0.2", "status", query, &answer)
//	node.Send("10.0.0.2", "raft", message) // one way, in order, dropped if it cannot leave
//
// Processes are named by their IP address and all listen on the same port, so
// that a process can call one that it was never told of. There is no
// authentication: the platform's network decides who can connect, and a caller
// states its own name. Use package peer where certificates can be had.
//
// # Outcomes
//
// A call fails with peer.ErrNotSent only if no connection could be opened.
// Anything later is peer.ErrUnknown. Every call has a deadline, so that a
// connection that went silent is given up and closed.
package plain

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

const (
	// DefaultTimeout bounds a call whose context has no deadline.
	DefaultTimeout = 2 * time.Second
	// dialTimeout bounds the opening of a connection; a VM in the region answers
	// in a few milliseconds, one that is cut off not at all.
	dialTimeout = 300 * time.Millisecond
	// sendTimeout bounds a one-way message. It is below half of an election
	// timeout, so that one silent connection does not cost a leader its followers.
	sendTimeout = 200 * time.Millisecond
	// idleTime is how long an unused connection stays open.
	idleTime = 60 * time.Second
	// connections bounds the open connections to one process.
	connections = 64
	// maximumBody bounds a request or answer, in bytes; a chunk of a snapshot
	// and the largest desired state are below it.
	maximumBody = 8 << 20
	// queueLength bounds the one-way messages that wait for one process, and
	// batchLength those that leave in one request.
	queueLength = 512
	batchLength = 64
	// batchBytes is the size after which no more messages join a batch.
	batchBytes = 1 << 20

	callPath   = "/call/"
	sendPath   = "/send"
	nameHeader = "From"
	codeHeader = "Code"
	// budgetHeader carries the milliseconds until the caller gives up.
	budgetHeader = "Budget"
)

// Options configures a Node.
type Options struct {
	Name string // IP address of this process
	Port uint16 // of all processes
	Log  event.Log
}

// Node is one process's end of the links.
type Node struct {
	options Options
	server  *fasthttp.Server

	mu       sync.RWMutex
	handlers map[string]peer.Handler
	remotes  map[string]*remote
	running  context.Context
	work     sync.WaitGroup
}

var (
	_ peer.Mux    = (*Node)(nil)
	_ peer.Caller = (*Node)(nil)
)

// remote is another process.
type remote struct {
	name   string
	client *fasthttp.HostClient
	queue  chan message
}

type message struct {
	_      struct{} `cbor:",toarray"`
	Method string
	Body   cbor.RawMessage
}

// New returns a Node. It listens once it runs.
func New(options Options) *Node {
	n := &Node{options: options, handlers: map[string]peer.Handler{}, remotes: map[string]*remote{}}
	n.server = &fasthttp.Server{
		Handler: n.serve, MaxRequestBodySize: maximumBody, NoDefaultServerHeader: true, NoDefaultDate: true,
		NoDefaultContentType: true, IdleTimeout: 2 * idleTime, TCPKeepalive: true, TCPKeepalivePeriod: idleTime / 4,
		CloseOnShutdown: true, Logger: quiet{}, ReduceMemoryUsage: false,
	}
	return n
}

// quiet drops the library's own log lines, which only tell of broken connections.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Handle implements peer.Mux.
func (n *Node) Handle(method string, handler peer.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = handler
}

// Run serves until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	l, err := net.Listen("tcp4", netip.AddrPortFrom(netip.MustParseAddr(n.options.Name), n.options.Port).String())
	if err != nil {
		return errors.Wrap(err, "links between processes")
	}
	n.mu.Lock()
	n.running = ctx
	for _, r := range n.remotes {
		n.start(ctx, r)
	}
	n.mu.Unlock()
	failed := make(chan error, 1)
	go func() { failed <- n.server.Serve(l) }()
	select {
	case err = <-failed:
	case <-ctx.Done():
		err = l.Close()
	}
	n.work.Wait()
	return errors.Wrap(err, "links between processes")
}

// start runs the sender of one-way messages. The caller holds the lock.
func (n *Node) start(ctx context.Context, r *remote) {
	n.work.Go(func() { n.deliver(ctx, r) })
}

func (n *Node) remote(name string) (*remote, error) {
	n.mu.RLock()
	r := n.remotes[name]
	n.mu.RUnlock()
	if r != nil {
		return r, nil
	}
	a, err := netip.ParseAddr(name)
	if err != nil {
		return nil, errors.Wrap(err, "name of a process")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if r = n.remotes[name]; r != nil {
		return r, nil
	}
	r = &remote{name: name, queue: make(chan message, queueLength), client: newClient(netip.AddrPortFrom(a, n.options.Port))}
	n.remotes[name] = r
	if n.running != nil && n.running.Err() == nil {
		n.start(n.running, r)
	}
	return r, nil
}

func newClient(address netip.AddrPort) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: address.String(), MaxConns: connections, MaxIdleConnDuration: idleTime,
		Dial:                func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, dialTimeout) },
		MaxResponseBodySize: maximumBody, NoDefaultUserAgentHeader: true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// Call implements peer.Caller.
func (n *Node) Call(ctx context.Context, to, method string, request, response any) error {
	if to == n.options.Name {
		return n.local(ctx, method, request, response)
	}
	body, err := cbor.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(DefaultTimeout)
	}
	answer, err := n.post(to, callPath+method, body, deadline)
	if err != nil {
		return err
	}
	if response == nil {
		return nil
	}
	return errors.Wrap(cbor.Unmarshal(answer, response), "decode answer")
}

// local calls a handler of this process. Values pass through the codec like
// those of other processes, so that nothing is shared.
func (n *Node) local(ctx context.Context, method string, request, response any) error {
	body, err := cbor.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	value, err := n.handle(ctx, n.options.Name, method, body)
	if err != nil || response == nil {
		return err
	}
	if body, err = cbor.Marshal(value); err != nil {
		return errors.Wrap(err, "encode answer")
	}
	return errors.Wrap(cbor.Unmarshal(body, response), "decode answer")
}

// post sends one request and returns the body of the answer.
func (n *Node) post(to, path string, body []byte, deadline time.Time) ([]byte, error) {
	r, err := n.remote(to)
	if err != nil {
		return nil, errors.CombineErrors(peer.ErrNotSent, err)
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(path)
	request.Header.SetHost(to)
	request.Header.Set(nameHeader, n.options.Name)
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return nil, errors.CombineErrors(peer.ErrNotSent, context.DeadlineExceeded)
	}
	request.Header.Set(budgetHeader, formatBudget(remaining))
	request.SetBodyRaw(body)
	if err := r.client.DoDeadline(request, response, deadline); err != nil {
		return nil, outcome(err)
	}
	switch response.StatusCode() {
	case fasthttp.StatusOK:
		return bytes.Clone(response.Body()), nil
	case fasthttp.StatusConflict:
		return nil, &peer.Remote{Code: string(response.Header.Peek(codeHeader)), Message: string(response.Body())}
	}
	return nil, errors.CombineErrors(peer.ErrUnknown, errors.Newf("answer with status %d", response.StatusCode()))
}

// outcome tells whether the request may have reached the other side.
func outcome(err error) error {
	var op *net.OpError
	if errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) ||
		errors.As(err, &op) && op.Op == "dial" {
		return errors.CombineErrors(peer.ErrNotSent, err)
	}
	return errors.CombineErrors(peer.ErrUnknown, err)
}

func formatBudget(d time.Duration) string {
	return string(fasthttp.AppendUint(nil, int(max(1, d.Milliseconds()))))
}

// serve answers the calls of other processes.
func (n *Node) serve(c *fasthttp.RequestCtx) {
	name, path := string(c.Request.Header.Peek(nameHeader)), string(c.Path())
	if path == sendPath {
		n.receive(c, name)
		return
	}
	if len(path) <= len(callPath) || path[:len(callPath)] != callPath {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	budget, err := fasthttp.ParseUint(c.Request.Header.Peek(budgetHeader))
	if err != nil {
		budget = int(DefaultTimeout.Milliseconds())
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(budget)*time.Millisecond)
	defer cancel()
	value, err := n.handle(ctx, name, path[len(callPath):], c.PostBody())
	if err != nil {
		refuse(c, err)
		return
	}
	body, err := cbor.Marshal(value)
	if err != nil {
		refuse(c, err)
		return
	}
	c.Response.SetBodyRaw(body)
}

func refuse(c *fasthttp.RequestCtx, err error) {
	code := peer.CodeInternal
	var r *peer.Remote
	if errors.As(err, &r) {
		code = r.Code
	}
	c.SetStatusCode(fasthttp.StatusConflict)
	c.Response.Header.Set(codeHeader, code)
	c.SetBodyString(err.Error())
}

func (n *Node) handle(ctx context.Context, name, method string, body []byte) (any, error) {
	n.mu.RLock()
	h := n.handlers[method]
	n.mu.RUnlock()
	if h == nil {
		return nil, &peer.Remote{Code: peer.CodeMethod, Message: "no handler for " + method}
	}
	return h(ctx, name, func(into any) error { return cbor.Unmarshal(body, into) })
}

// receive takes a batch of one-way messages.
func (n *Node) receive(c *fasthttp.RequestCtx, name string) {
	var batch []message
	if err := cbor.Unmarshal(c.PostBody(), &batch); err != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	for _, m := range batch {
		if _, err := n.handle(context.Background(), name, m.Method, bytes.Clone(m.Body)); err != nil {
			n.options.Log.Emit(event.MessageRefused, zap.String("peer", name), zap.String("method", m.Method), event.Cause(err))
		}
	}
}

// Send sends a one-way message. It does not block; a message that finds the
// queue full or the other process unreachable is dropped.
func (n *Node) Send(to, method string, body any) {
	r, err := n.remote(to)
	if err != nil {
		return
	}
	b, err := cbor.Marshal(body)
	if err != nil {
		n.options.Log.Emit(event.MessageRefused, zap.String("peer", to), zap.String("method", method), event.Cause(err))
		return
	}
	select {
	case r.queue <- message{Method: method, Body: b}:
	default:
	}
}

// deliver sends the queued messages of one process in order.
func (n *Node) deliver(ctx context.Context, r *remote) {
	lost := false
	for {
		var batch []message
		select {
		case m := <-r.queue:
			batch = append(batch, m)
		case <-ctx.Done():
			return
		}
		batch = gather(r.queue, batch)
		body, err := cbor.Marshal(batch)
		if err == nil {
			_, err = n.post(r.name, sendPath, body, time.Now().Add(sendTimeout))
		}
		if (err != nil) != lost && ctx.Err() == nil {
			lost = err != nil
			n.report(r.name, err)
		}
	}
}

func gather(queue chan message, batch []message) []message {
	size := len(batch[0].Body)
	for len(batch) < batchLength && size < batchBytes {
		select {
		case m := <-queue:
			batch, size = append(batch, m), size+len(m.Body)
			continue
		default:
		}
		break
	}
	return batch
}

func (n *Node) report(name string, err error) {
	if err != nil {
		n.options.Log.Emit(event.PeerLost, zap.String("peer", name), event.Cause(err))
		return
	}
	n.options.Log.Emit(event.PeerConnected, zap.String("peer", name))
}
