package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

const (
	announceInterval = 2 * time.Second
	announceRetry    = 200 * time.Millisecond
	postTimeout      = 3 * time.Second
	// leaveTime is how long requests may still come after a leave.
	leaveTime = time.Second
	// spareConnections are accepted beyond those announced: for GET /count, and
	// because a connection that its client has closed is served a little longer.
	spareConnections = 64
	// drainTime bounds the wait for requests in flight after a leave.
	drainTime = 35 * time.Second
)

// Kinds of Behaviour.Break.
const (
	BreakBefore = "before" // the connection ends before the first byte of the answer
	BreakHalf   = "half"   // the connection ends in the middle of the answer
)

// Behaviour tells how a Runner answers.
type Behaviour struct {
	Delay  time.Duration `json:"delay,omitempty"`  // before each answer, in nanoseconds
	Status int           `json:"status,omitempty"` // of the answers; zero means 200
	Break  string        `json:"break,omitempty"`  // BreakBefore, BreakHalf or empty
	Refuse bool          `json:"refuse,omitempty"` // answer 503 without running
	Wrong  bool          `json:"wrong,omitempty"`  // answer with another request's identity
	Bytes  int           `json:"bytes,omitempty"`  // length of the body; zero echoes the request's
}

// Count is what a Runner has run.
type Count struct {
	Boot     uint64         `json:"boot"`
	Busy     int64          `json:"busy"`
	Peak     int64          `json:"peak"`     // most requests at once
	Total    int64          `json:"total"`    // requests run
	Exceeded int64          `json:"exceeded"` // requests refused because every slot was taken
	Requests map[string]int `json:"requests"` // runs by Idempotency-Key, else by X-Request-Id
}

// RunnerOptions configures a Runner.
type RunnerOptions struct {
	Name        string
	Entry       string // of the catalogue
	Zone        string
	Key         string         // secret of an upstream key
	Entries     []string       // host:port of entry VMs
	Listener    net.Listener   // where it serves
	Address     netip.AddrPort // announced; by default the listener's
	Slots       int64
	Connections int64
	Interval    time.Duration // between two announcements; zero means 2 s
	Behaviour   Behaviour
	Dial        fasthttp.DialFunc // to entry VMs; may be nil
	Log         io.Writer         // gets a line with RunPrefix for each request run; may be nil
}

// RunPrefix begins a line of RunnerOptions.Log. The key under which
// Count.Requests counts the run follows.
const RunPrefix = "run "

// Runner is a stand-in for one runner of a service. GET /count tells what it
// has run; PUT /behaviour changes its Behaviour.
type Runner struct {
	options RunnerOptions
	client  *Client
	server  fasthttp.Server

	mu        sync.Mutex
	behaviour Behaviour
	count     Count
}

// NewRunner returns a Runner. Run makes it serve.
func NewRunner(options RunnerOptions) (*Runner, error) {
	if options.Listener == nil {
		return nil, errors.New("standin: the runner has no listener")
	}
	if !options.Address.IsValid() {
		address, err := netip.ParseAddrPort(options.Listener.Addr().String())
		if err != nil {
			return nil, errors.Wrap(err, "standin: the listener has no IP address to announce")
		}
		options.Address = address
	}
	if options.Interval == 0 {
		options.Interval = announceInterval
	}
	r := &Runner{
		options: options, behaviour: options.Behaviour, client: NewClient(options.Entries, options.Key, options.Dial),
		count: Count{Boot: boot(), Requests: make(map[string]int)},
	}
	r.server = fasthttp.Server{Handler: r.handle, Name: "standin", Concurrency: int(options.Connections) + spareConnections}
	return r, nil
}

// Run serves and announces until ctx ends, then leaves and finishes the
// requests in flight.
func (r *Runner) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- r.server.Serve(r.options.Listener) }()
	r.announce(ctx)
	r.leave()
	time.Sleep(leaveTime)
	stop, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	if err := r.server.ShutdownWithContext(stop); err != nil {
		return errors.Wrap(err, "standin: requests are still in flight")
	}
	return <-served
}

// announce announces the runner until ctx ends.
func (r *Runner) announce(ctx context.Context) {
	for ctx.Err() == nil {
		pause := r.options.Interval
		var accepted api.Accepted
		path := "/v1/runners/" + r.options.Name + "/announce"
		if err := r.client.Post(path, r.announcement(), &accepted, postTimeout); err != nil {
			pause = announceRetry
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (r *Runner) announcement() api.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	return api.Announcement{
		Entry: r.options.Entry, Address: r.options.Address, Zone: r.options.Zone, Boot: r.count.Boot,
		Slots: r.options.Slots, Connections: r.options.Connections, Busy: r.count.Busy,
		Deadline: time.Now().Add(3 * r.options.Interval),
	}
}

// leave tells one entry VM after the other until one has passed it on.
func (r *Runner) leave() {
	for range 2 * len(r.options.Entries) {
		var accepted api.Accepted
		path := "/v1/runners/" + r.options.Name + "/leave"
		if r.client.Post(path, api.Leave{Entry: r.options.Entry, Boot: r.Count().Boot}, &accepted, postTimeout) == nil {
			return
		}
		time.Sleep(announceRetry)
	}
}

// Count returns what the runner has run.
func (r *Runner) Count() Count {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.count
	c.Requests = maps.Clone(c.Requests)
	return c
}

// Behave changes the behaviour.
func (r *Runner) Behave(b Behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behaviour = b
}

func (r *Runner) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/count" && ctx.IsGet():
		reply(ctx, r.Count())
	case path == "/behaviour" && ctx.IsPut():
		var b Behaviour
		if err := json.Unmarshal(ctx.PostBody(), &b); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		r.Behave(b)
		reply(ctx, b)
	default:
		r.serve(ctx)
	}
}

func reply(ctx *fasthttp.RequestCtx, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// serve runs one request.
func (r *Runner) serve(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(api.RequestHeader))
	ctx.Response.Header.Set(api.RequestHeader, id)
	b, ok := r.begin(string(ctx.Request.Header.Peek(api.IdempotencyHeader)), id)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	defer r.end()
	if b.Delay > 0 {
		time.Sleep(b.Delay)
	}
	if b.Status != 0 {
		ctx.SetStatusCode(b.Status)
	}
	if b.Wrong {
		ctx.Response.Header.Set(api.RequestHeader, "other-"+id)
	}
	if b.Bytes > 0 {
		ctx.SetBody(make([]byte, b.Bytes))
	} else {
		ctx.SetBody(ctx.PostBody())
	}
	if b.Break != "" {
		r.sever(ctx, b.Break)
	}
}

// begin counts a run, unless the request is refused.
func (r *Runner) begin(identity, id string) (Behaviour, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count.Busy >= r.options.Slots {
		r.count.Exceeded++
		return Behaviour{}, false
	}
	if r.behaviour.Refuse {
		return Behaviour{}, false
	}
	if identity == "" {
		identity = id
	}
	r.count.Busy++
	r.count.Peak = max(r.count.Peak, r.count.Busy)
	r.count.Total++
	r.count.Requests[identity]++
	if r.options.Log != nil {
		_, _ = fmt.Fprintf(r.options.Log, "%s%s\n", RunPrefix, identity)
	}
	return r.behaviour, true
}

func (r *Runner) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count.Busy--
}

// sever ends the connection instead of answering, or half-way through.
func (r *Runner) sever(ctx *fasthttp.RequestCtx, kind string) {
	id, body := string(ctx.Response.Header.Peek(api.RequestHeader)), ctx.Response.Body()
	half := append([]byte(nil), body[:len(body)/2]...)
	length := len(body) + 1 // never complete, even if the body is empty
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		if kind == BreakHalf {
			head := "HTTP/1.1 200 OK\r\n" + api.RequestHeader + ": " + id + "\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"
			_, _ = conn.Write(append([]byte(head), half...))
		}
	})
}
