package tcp

import (
	"container/list"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ErrNoDescriptor means that no connection could be opened because the budget is
// used up by connections that are in use.
var ErrNoDescriptor = errors.New("the budget of connections is used up")

// ErrUnsent means that a request was not sent since no connection was free or open in time.
var ErrUnsent = errors.New("no connection was free in time")

// ErrNotAllowed means that Bounds.Allowed did not allow a request.
var ErrNotAllowed = errors.New("the request was not to be sent any more")

// PoolOptions configures a Pool.
type PoolOptions struct {
	Budget      *Budget
	PerAddress  int           // maximum number of connections to one address
	Prompt      int           // of these, for requests that are answered at once; zero means all
	DialTimeout time.Duration // to open a connection
	Wait        time.Duration // longest wait for one of the PerAddress connections
	IdleTime    time.Duration // after which an unused connection is closed
	MaxBody     int           // maximum size of a response in bytes; zero means no limit
}

// Pool sends HTTP requests to many addresses over a bounded number of
// connections. It never retries a request. It is safe for concurrent use.
type Pool struct {
	options PoolOptions
	opened  atomic.Int64

	mu     sync.Mutex
	remote map[netip.AddrPort]*remote
	recent *list.List // of *remote that may have an idle connection, the one used last first
}

// remote is the client for one address.
type remote struct {
	http   *fasthttp.HostClient
	prompt chan struct{} // places for requests that are answered at once; nil if they are not limited
	place  *list.Element // in Pool.recent; nil if it is not there
}

// NewPool returns a Pool.
func NewPool(options PoolOptions) *Pool {
	return &Pool{options: options, remote: map[netip.AddrPort]*remote{}, recent: list.New()}
}

// Opened returns the number of connections that were opened.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// Bounds bound a request.
type Bounds struct {
	SendBy   time.Time   // it is not sent after this
	Deadline time.Time   // of the response
	Allowed  func() bool // called right before it is sent, which it must allow; nil allows it
	Waits    bool        // the response may wait for an event, so that it takes none of the prompt places
}

// Until returns the bounds of a request that is sent and answered by a deadline.
func Until(deadline time.Time) Bounds { return Bounds{SendBy: deadline, Deadline: deadline} }

// Do sends a request and reads the response. It returns by the deadline, or once a connection
// that it waits for was opened or could not be.
func (p *Pool) Do(address netip.AddrPort, request *fasthttp.Request, response *fasthttp.Response, b Bounds) error {
	r := p.get(address)
	if r.prompt != nil && !b.Waits {
		if !r.enter(min(p.options.Wait, time.Until(b.SendBy))) {
			return fasthttp.ErrNoFreeConns
		}
		defer func() { <-r.prompt }()
	}
	err := exchange(r.http, request, response, b)
	p.use(r)
	return err
}

// exchange sends a request over one of a client's connections and reads the response. A
// connection that is not free or open in time is kept for later requests.
func exchange(c *fasthttp.HostClient, request *fasthttp.Request, response *fasthttp.Response, b Bounds) error {
	wait := time.Until(b.SendBy)
	if wait <= 0 {
		return ErrUnsent
	}
	used, err := c.AcquireConn(wait, false)
	if errors.Is(err, fasthttp.ErrTimeout) {
		return ErrUnsent // all connections were in use
	}
	if err != nil {
		return err
	}
	if !time.Now().Before(b.SendBy) {
		c.ReleaseConn(used)
		return ErrUnsent
	}
	if b.Allowed != nil && !b.Allowed() {
		c.ReleaseConn(used)
		return ErrNotAllowed
	}
	err = used.Conn().SetDeadline(b.Deadline)
	if err == nil {
		writer := c.AcquireWriter(used.Conn())
		err = request.Write(writer)
		if err == nil {
			err = writer.Flush()
		}
		c.ReleaseWriter(writer)
	}
	if err == nil {
		reader := c.AcquireReader(used.Conn())
		err = response.ReadLimitBody(reader, c.MaxResponseBodySize)
		c.ReleaseReader(reader)
	}
	if err != nil || response.ConnectionClose() {
		c.CloseConn(used)
		return err
	}
	c.ReleaseConn(used)
	return nil
}

// enter waits for a place. It returns false if there is none in time.
func (r *remote) enter(wait time.Duration) bool {
	select {
	case r.prompt <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case r.prompt <- struct{}{}:
		return true
	case <-timer.C:
		return false
	}
}

// get returns the client for an address and creates it if needed.
func (p *Pool) get(address netip.AddrPort) *remote {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.remote[address]
	if r == nil {
		r = &remote{http: &fasthttp.HostClient{
			Addr: address.String(), MaxConns: p.options.PerAddress, MaxIdleConnDuration: p.options.IdleTime,
			MaxConnWaitTimeout: p.options.Wait, MaxResponseBodySize: p.options.MaxBody,
			Dial: p.dial, NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		}}
		if p.options.Prompt > 0 {
			r.prompt = make(chan struct{}, p.options.Prompt)
		}
		p.remote[address] = r
	}
	return r
}

// use moves a client to the front of the recently used ones.
func (p *Pool) use(r *remote) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.place != nil {
		p.recent.MoveToFront(r.place)
		return
	}
	r.place = p.recent.PushFront(r)
}

// Forget closes the idle connections to an address that is no longer used.
func (p *Pool) Forget(address netip.AddrPort) {
	p.mu.Lock()
	r := p.remote[address]
	delete(p.remote, address)
	if r != nil {
		p.drop(r)
	}
	p.mu.Unlock()
	if r != nil {
		r.http.CloseIdleConnections()
	}
}

// drop removes a client from the recently used ones. The caller holds the lock.
func (p *Pool) drop(r *remote) {
	if r.place != nil {
		p.recent.Remove(r.place)
		r.place = nil
	}
}

// dial opens a connection within the budget.
func (p *Pool) dial(address string) (net.Conn, error) {
	if !p.reserve() {
		return nil, ErrNoDescriptor
	}
	// Requests have deadlines, so that probes would find nothing that they do not.
	d := net.Dialer{Timeout: p.options.DialTimeout, KeepAlive: -1}
	c, err := d.Dial("tcp4", address)
	if err != nil {
		p.options.Budget.release()
		return nil, err
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		p.options.Budget.release()
		return nil, errors.CombineErrors(errors.Newf("%s: not a TCP connection", address), c.Close())
	}
	p.opened.Add(1)
	return &conn{TCPConn: t, closed: p.options.Budget.release}, nil
}

// reserve takes a descriptor. While there is none, it closes the idle connections
// of the clients that were used least recently. It returns false if all
// connections are in use.
func (p *Pool) reserve() bool {
	for {
		if _, ok := p.options.Budget.acquire(); ok {
			return true
		}
		p.mu.Lock()
		last := p.recent.Back()
		if last == nil {
			p.mu.Unlock()
			return false
		}
		r := last.Value.(*remote)
		p.drop(r)
		p.mu.Unlock()
		r.http.CloseIdleConnections()
	}
}

// Broken reports whether an error of Pool.Do is the end or the refusal of a connection,
// rather than a time-out or the lack of a descriptor.
func Broken(err error) bool {
	var timeout interface{ Timeout() bool }
	return !unsent(err) && !errors.Is(err, fasthttp.ErrTimeout) && !(errors.As(err, &timeout) && timeout.Timeout())
}

// NotSent reports whether an error of Pool.Do rules out that the request reached
// the other side.
func NotSent(err error) bool {
	var op *net.OpError
	return unsent(err) || errors.As(err, &op) && op.Op == "dial"
}

// unsent reports whether a request had no connection to be sent on, or was not allowed.
func unsent(err error) bool {
	return errors.IsAny(err, ErrNoDescriptor, ErrUnsent, ErrNotAllowed, fasthttp.ErrNoFreeConns)
}
