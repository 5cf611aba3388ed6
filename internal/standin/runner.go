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
	// leaveDelay is the time after a leave for which new requests are still accepted.
	leaveDelay = time.Second
	// spareConnections is the number of connections accepted in addition to those
	// announced: for GET /count, and because a connection that its client has closed
	// counts until the server notices.
	spareConnections = 64
	// drainTimeout limits the wait for requests in flight after a leave.
	drainTimeout = 35 * time.Second
)

// Values of Behaviour.Break.
const (
	BreakBefore = "before" // close the connection before the first byte of the response
	BreakHalf   = "half"   // close the connection in the middle of the response
)

// Behaviour configures how a Runner answers requests, including faults.
type Behaviour struct {
	Delay  time.Duration `json:"delay,omitempty"`  // delay before each response, in nanoseconds
	Status int           `json:"status,omitempty"` // status code of the responses; zero means 200
	Break  string        `json:"break,omitempty"`  // BreakBefore, BreakHalf or empty
	Refuse bool          `json:"refuse,omitempty"` // answer 503 without running the request
	Wrong  bool          `json:"wrong,omitempty"`  // answer with the request ID of another request
	Bytes  int           `json:"bytes,omitempty"`  // size of the response body; zero echoes the request's body
}

// Count holds the counters of a Runner.
type Count struct {
	Boot     uint64         `json:"boot"`
	Busy     int64          `json:"busy"`
	Peak     int64          `json:"peak"`     // maximum number of concurrent requests
	Total    int64          `json:"total"`    // requests run
	Exceeded int64          `json:"exceeded"` // requests refused because every slot was in use
	Requests map[string]int `json:"requests"` // runs by Idempotency-Key, or by X-Request-Id without one
}

// RunnerOptions configures a Runner.
type RunnerOptions struct {
	Name        string
	Entry       string // name of the catalogue entry
	Zone        string
	Key         string         // secret of an upstream key
	Entries     []string       // host:port of entry VMs
	Listener    net.Listener   // listener on which it serves requests
	Address     netip.AddrPort // address to announce; defaults to that of Listener
	Slots       int64
	Connections int64
	Interval    time.Duration // interval between announcements; zero means 2 s
	Behaviour   Behaviour
	Dial        fasthttp.DialFunc // connects to entry VMs; may be nil
	Log         io.Writer         // receives a line with RunPrefix for each request run; may be nil
}

// RunPrefix is the prefix of each line of RunnerOptions.Log. The rest of the line is
// the key under which Count.Requests counts the run.
const RunPrefix = "run "

// Runner is a stand-in for one runner of a service. GET /count returns its Count; PUT
// /behaviour changes its Behaviour.
type Runner struct {
	options RunnerOptions
	client  *Client
	server  fasthttp.Server

	mu        sync.Mutex
	behaviour Behaviour
	count     Count
}

// NewRunner returns a Runner. It serves requests once Run is called.
func NewRunner(options RunnerOptions) (*Runner, error) {
	if options.Listener == nil {
		return nil, errors.New("standin: runner has no listener")
	}
	if !options.Address.IsValid() {
		address, err := netip.ParseAddrPort(options.Listener.Addr().String())
		if err != nil {
			return nil, errors.Wrap(err, "standin: address of the listener is not an IP address that can be announced")
		}
		options.Address = address
	}
	if options.Interval == 0 {
		options.Interval = announceInterval
	}
	r := &Runner{
		options: options, behaviour: options.Behaviour, client: NewClient(options.Entries, options.Key, options.Dial),
		count: Count{Boot: newBoot(), Requests: make(map[string]int)},
	}
	r.server = fasthttp.Server{Handler: r.handle, Name: "standin", Concurrency: int(options.Connections) + spareConnections}
	return r, nil
}

// Run serves requests and announces the runner until ctx is done, then leaves and
// waits for the requests in flight.
func (r *Runner) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- r.server.Serve(r.options.Listener) }()
	r.announce(ctx)
	r.leave()
	time.Sleep(leaveDelay)
	stop, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := r.server.ShutdownWithContext(stop); err != nil {
		return errors.Wrap(err, "standin: requests still in flight at the end of the shutdown")
	}
	return <-served
}

// announce announces the runner periodically until ctx is done.
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

// leave sends a leave to the entry VMs in turn until one accepts it. It gives up after
// two attempts per entry VM.
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

// Count returns a copy of the counters.
func (r *Runner) Count() Count {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.count
	c.Requests = maps.Clone(c.Requests)
	return c
}

// Behave sets the behaviour for new requests.
func (r *Runner) Behave(b Behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behaviour = b
}

func (r *Runner) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/count" && ctx.IsGet():
		writeJSON(ctx, r.Count())
	case path == "/behaviour" && ctx.IsPut():
		var b Behaviour
		if err := json.Unmarshal(ctx.PostBody(), &b); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		r.Behave(b)
		writeJSON(ctx, b)
	default:
		r.serve(ctx)
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// serve runs or refuses one request.
func (r *Runner) serve(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(api.RequestHeader))
	ctx.Response.Header.Set(api.RequestHeader, id)
	b, ok := r.beginRequest(string(ctx.Request.Header.Peek(api.IdempotencyHeader)), id)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	defer r.endRequest()
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
		r.breakConnection(ctx, b.Break)
	}
}

// beginRequest takes a slot and counts the run. It reports false if the request is
// refused.
func (r *Runner) beginRequest(identity, id string) (Behaviour, bool) {
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

func (r *Runner) endRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count.Busy--
}

// breakConnection closes the connection before or in the middle of the response.
func (r *Runner) breakConnection(ctx *fasthttp.RequestCtx, kind string) {
	id, body := string(ctx.Response.Header.Peek(api.RequestHeader)), ctx.Response.Body()
	half := append([]byte(nil), body[:len(body)/2]...)
	length := len(body) + 1 // one more than the body, so that even an empty one is incomplete
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		if kind == BreakHalf {
			head := "HTTP/1.1 200 OK\r\n" + api.RequestHeader + ": " + id + "\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"
			_, _ = conn.Write(append([]byte(head), half...))
		}
	})
}
