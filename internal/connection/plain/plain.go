// Package plain connects the processes of a cell over unencrypted HTTP with CBOR
// bodies, for platforms that provide no certificates. It implements the interfaces
// of package peer, so that handlers and callers work with either package.
//
// # Usage
//
//	node := plain.New(plain.Options{Name: "10.0.0.1", Port: 7180, Log: log})
//	node.Handle("status", func(ctx context.Context, name string, decode peer.Decode) (any, error) { ... })
//	go node.Run(ctx)
//	err := node.Call(ctx, "10.0.0.2", "status", query, &answer)
//	node.Send("10.0.0.2", "raft", message) // one-way, in order, dropped if it cannot be sent
//
// Processes are named by their IP addresses and all listen on the same port, so
// that a process can call another one without configuration. There is no
// authentication: the platform's network decides who can connect, and the name
// that a caller states is not verified. Use package peer where certificates are
// available.
//
// # Outcomes
//
// A call fails with peer.ErrNotSent only if no connection could be opened.
// Later failures are reported as peer.ErrUnknown. Each call has a deadline, after
// which an unresponsive connection is closed.
package plain

import (
	"bytes"
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/tcp"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/codec"
)

const (
	// DefaultTimeout bounds a call whose context has no deadline.
	DefaultTimeout = 2 * time.Second
	// maxTimeout bounds a call whatever the caller states.
	maxTimeout = time.Hour
	// dialTimeout bounds the opening of a connection. A VM in the same region
	// answers within a few milliseconds, a partitioned one not at all.
	dialTimeout = 300 * time.Millisecond
	// sendTimeout bounds the sending of a batch of one-way messages. It is below
	// half of an election timeout, so that one unresponsive connection does not
	// make a leader lose its followers.
	sendTimeout = 200 * time.Millisecond
	// idleTime is how long an idle connection stays open.
	idleTime = 60 * time.Second
	// maxConnections is the maximum number of open connections to one process.
	maxConnections = 64
	// defaultBudget is the number of connections from and to other processes unless
	// Options states one.
	defaultBudget = 1024
	// readTimeout and writeTimeout bound the transfer of one request and of its
	// response, so that a peer that stalls does not keep its connection forever.
	readTimeout  = 10 * time.Second
	writeTimeout = 10 * time.Second
	// maxBodySize is the maximum size of a request or response body, in bytes. A
	// chunk of a snapshot and the largest desired state are smaller.
	maxBodySize = 8 << 20
	// queueLength is the maximum number of queued one-way messages per process,
	// and maxBatchLength the maximum number sent in one request.
	queueLength    = 512
	maxBatchLength = 64
	// maxBatchBytes is the size after which no more messages are added to a batch.
	maxBatchBytes = 1 << 20

	callPath   = "/call/"
	sendPath   = "/send"
	nameHeader = "From"
	codeHeader = "Code"
	// timeoutHeader carries the remaining time of the caller, in milliseconds.
	timeoutHeader = "Budget"
)

// Options configures a Node.
type Options struct {
	Name     string // IP address of this process
	Port     uint16 // of all processes
	Log      event.Log
	Accepted *tcp.Budget // connections from other processes; nil for a default
	Opened   *tcp.Budget // connections to other processes for calls; nil for a default
	Messages *tcp.Budget // connections to other processes for one-way messages; nil for a default
}

// Node is the endpoint of one process: its server, and its connections to the
// others.
type Node struct {
	options Options
	server  *fasthttp.Server
	calls   *tcp.Pool
	sends   *tcp.Pool // of its own, so that calls cannot hold up the replica's messages

	mu         sync.RWMutex
	handlers   map[string]peer.Handler
	remotes    map[string]*remote
	runContext context.Context
	senders    sync.WaitGroup
}

var (
	_ peer.Mux    = (*Node)(nil)
	_ peer.Caller = (*Node)(nil)
)

// remote holds the connections and the message queue to another process.
type remote struct {
	name    string
	address netip.AddrPort
	queue   chan message
}

// message is a one-way message as sent in a batch.
type message struct {
	_      struct{} `cbor:",toarray"`
	Method string
	Body   cbor.RawMessage
}

// New returns a Node. It listens only after Run is called.
func New(options Options) *Node {
	if options.Accepted == nil {
		options.Accepted = tcp.NewBudget("peers", defaultBudget)
	}
	if options.Opened == nil {
		options.Opened = tcp.NewBudget("to peers", defaultBudget)
	}
	if options.Messages == nil {
		options.Messages = tcp.NewBudget("messages", defaultBudget)
	}
	n := &Node{options: options, handlers: map[string]peer.Handler{}, remotes: map[string]*remote{}}
	n.server = &fasthttp.Server{
		Handler: n.serve, MaxRequestBodySize: maxBodySize, NoDefaultServerHeader: true, NoDefaultDate: true,
		NoDefaultContentType: true, IdleTimeout: 2 * idleTime, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		CloseOnShutdown: true, Logger: discardLogger{}, ReduceMemoryUsage: false,
	}
	newPool := func(budget *tcp.Budget) *tcp.Pool {
		return tcp.NewPool(tcp.PoolOptions{
			Budget: budget, PerAddress: maxConnections, DialTimeout: dialTimeout, IdleTime: idleTime, MaxBody: maxBodySize,
		})
	}
	n.calls, n.sends = newPool(options.Opened), newPool(options.Messages)
	return n
}

// discardLogger discards the log of fasthttp, which only reports lost connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Handle implements peer.Mux.
func (n *Node) Handle(method string, handler peer.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = handler
}

// Run serves calls until ctx is done.
func (n *Node) Run(ctx context.Context) error {
	address, err := netip.ParseAddr(n.options.Name)
	if err != nil {
		return errors.Wrap(err, "name of the process")
	}
	l, err := tcp.Listen(netip.AddrPortFrom(address, n.options.Port), n.options.Accepted, n.options.Log)
	if err != nil {
		return errors.Wrap(err, "listen for connections of other processes")
	}
	n.server.ConnState = l.Track
	n.mu.Lock()
	n.runContext = ctx
	for _, r := range n.remotes {
		n.startSender(ctx, r)
	}
	n.mu.Unlock()
	failed := make(chan error, 1)
	go func() { failed <- n.server.Serve(l) }()
	select {
	case err = <-failed:
	case <-ctx.Done():
		err = l.Close()
	}
	n.senders.Wait()
	return errors.Wrap(err, "serve connections of other processes")
}

// startSender starts the goroutine that sends one-way messages to r. The caller
// holds the lock.
func (n *Node) startSender(ctx context.Context, r *remote) {
	n.senders.Go(func() { n.deliver(ctx, r) })
}

// getRemote returns the state of another process and creates it if needed.
func (n *Node) getRemote(name string) (*remote, error) {
	n.mu.RLock()
	r := n.remotes[name]
	n.mu.RUnlock()
	if r != nil {
		return r, nil
	}
	a, err := netip.ParseAddr(name)
	if err != nil {
		return nil, errors.Wrap(err, "process name is not an IP address")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if r = n.remotes[name]; r != nil {
		return r, nil
	}
	r = &remote{name: name, queue: make(chan message, queueLength), address: netip.AddrPortFrom(a, n.options.Port)}
	n.remotes[name] = r
	if n.runContext != nil && n.runContext.Err() == nil {
		n.startSender(n.runContext, r)
	}
	return r, nil
}

// Call implements peer.Caller.
func (n *Node) Call(ctx context.Context, to, method string, request, response any) error {
	if to == n.options.Name {
		return n.callLocal(ctx, method, request, response)
	}
	body, err := codec.Encode(request)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(DefaultTimeout)
	}
	answer, err := n.post(n.calls, to, callPath+method, body, deadline)
	if err != nil {
		return err
	}
	if response == nil {
		return nil
	}
	return errors.Wrap(codec.DecodeMessage(answer, response), "decode answer")
}

// callLocal calls a handler of this process. Values are encoded and decoded as for
// other processes, so that caller and handler share no memory.
func (n *Node) callLocal(ctx context.Context, method string, request, response any) error {
	body, err := codec.Encode(request)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	value, err := n.handle(ctx, n.options.Name, method, body)
	if err != nil || response == nil {
		return err
	}
	if body, err = codec.Encode(value); err != nil {
		return errors.Wrap(err, "encode answer")
	}
	return errors.Wrap(codec.DecodeMessage(body, response), "decode answer")
}

// post sends one request and returns the body of the response.
func (n *Node) post(pool *tcp.Pool, to, path string, body []byte, deadline time.Time) ([]byte, error) {
	r, err := n.getRemote(to)
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
	request.Header.Set(timeoutHeader, formatTimeout(remaining))
	request.SetBodyRaw(body)
	if err := pool.Do(r.address, request, response, tcp.Until(deadline)); err != nil {
		return nil, classifyError(err)
	}
	switch response.StatusCode() {
	case fasthttp.StatusOK:
		return bytes.Clone(response.Body()), nil
	case fasthttp.StatusConflict:
		return nil, &peer.RemoteError{Code: string(response.Header.Peek(codeHeader)), Message: string(response.Body())}
	}
	return nil, errors.CombineErrors(peer.ErrUnknown, errors.Newf("answer with status %d", response.StatusCode()))
}

// classifyError marks an error with peer.ErrNotSent if the request cannot have
// reached the other side, else with peer.ErrUnknown.
func classifyError(err error) error {
	if tcp.NotSent(err) {
		return errors.CombineErrors(peer.ErrNotSent, err)
	}
	return errors.CombineErrors(peer.ErrUnknown, err)
}

func formatTimeout(d time.Duration) string {
	return string(fasthttp.AppendUint(nil, int(max(1, d.Milliseconds()))))
}

// parseTimeout returns the time that a caller waits, or DefaultTimeout if the text
// states none.
func parseTimeout(text []byte) time.Duration {
	n, err := fasthttp.ParseUint(text)
	if err != nil {
		return DefaultTimeout
	}
	return time.Duration(min(int64(n), maxTimeout.Milliseconds())) * time.Millisecond
}

// serve handles the requests of other processes.
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
	ctx, cancel := context.WithTimeout(context.Background(), parseTimeout(c.Request.Header.Peek(timeoutHeader)))
	defer cancel()
	value, err := n.handle(ctx, name, path[len(callPath):], c.PostBody())
	if err != nil {
		writeError(c, err)
		return
	}
	body, err := codec.Encode(value)
	if err != nil {
		writeError(c, err)
		return
	}
	c.Response.SetBodyRaw(body)
}

// writeError responds to a call with the error of its handler.
func writeError(c *fasthttp.RequestCtx, err error) {
	code := peer.CodeInternal
	var r *peer.RemoteError
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
		return nil, &peer.RemoteError{Code: peer.CodeUnknownMethod, Message: "no handler for " + method}
	}
	return h(ctx, name, func(into any) error { return codec.DecodeMessage(body, into) })
}

// receive handles a batch of one-way messages.
func (n *Node) receive(c *fasthttp.RequestCtx, name string) {
	var batch []message
	if err := codec.DecodeMessage(c.PostBody(), &batch); err != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	for _, m := range batch {
		if _, err := n.handle(context.Background(), name, m.Method, bytes.Clone(m.Body)); err != nil {
			n.options.Log.Emit(event.MessageRefused, zap.String("peer", name), zap.String("method", m.Method), event.Cause(err))
		}
	}
}

// Send queues a one-way message. It does not block. The message is dropped if the
// queue is full or the other process is unreachable.
func (n *Node) Send(to, method string, body any) {
	r, err := n.getRemote(to)
	if err != nil {
		return
	}
	b, err := codec.Encode(body)
	if err != nil {
		n.options.Log.Emit(event.MessageRefused, zap.String("peer", to), zap.String("method", method), event.Cause(err))
		return
	}
	select {
	case r.queue <- message{Method: method, Body: b}:
	default:
	}
}

// deliver sends the queued messages to one process in order.
func (n *Node) deliver(ctx context.Context, r *remote) {
	failing := false
	for {
		var batch []message
		select {
		case m := <-r.queue:
			batch = append(batch, m)
		case <-ctx.Done():
			return
		}
		batch = fillBatch(r.queue, batch)
		body, err := codec.Encode(batch)
		if err == nil {
			_, err = n.post(n.sends, r.name, sendPath, body, time.Now().Add(sendTimeout))
		}
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			n.logConnection(r.name, err)
		}
	}
}

// fillBatch adds queued messages to a batch until it is full or the queue is empty.
func fillBatch(queue chan message, batch []message) []message {
	size := len(batch[0].Body)
	for len(batch) < maxBatchLength && size < maxBatchBytes {
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

// logConnection logs that a process has become unreachable, or reachable again.
func (n *Node) logConnection(name string, err error) {
	if err != nil {
		n.options.Log.Emit(event.PeerLost, zap.String("peer", name), event.Cause(err))
		return
	}
	n.options.Log.Emit(event.PeerConnected, zap.String("peer", name))
}
