// Package client is the Go client of rosemaryloft's HTTP interface for
// operators, callers, upstreams and workers.
//
// # Usage
//
//	c, err := client.New(client.Options{Addresses: []string{"10.0.0.1:8600", "10.0.0.2:8600"}, Key: secret})
//	catalogue, err := c.Catalogue(ctx)
//	job, err := c.Submit(ctx, api.Submission{Entry: "sorting", Tasks: 4, Size: size})
//	job, err = c.Wait(ctx, job.ID)
//
// # Errors and resends
//
// Every error is a *api.Error, whose Ran tells whether the request may have
// had an effect. An error without an answer has the code Unreachable and a
// Status of zero.
//
// A request is resent, to each address in turn, only if it certainly did not
// run or if a resend is harmless: reads, and changes and submissions, which
// carry an Idempotency-Key that all resends share. Set the key with
// WithIdentity to go on with a request after a restart of the own process.
package client

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"math"
	mathrand "math/rand/v2"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// Unreachable is the code of errors of requests that got no answer.
const Unreachable api.Code = "unreachable"

const (
	// DefaultTimeout bounds a call whose context has no deadline. It covers an
	// election and the 3 s after which an entry VM that is cut off says so.
	DefaultTimeout = 30 * time.Second
	// DefaultAttempts bounds the sends of one call.
	DefaultAttempts = 10
	// firstBackoff and lastBackoff bound the wait between rounds over the
	// addresses. An election takes 1 to 3 s.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 2 * time.Second
	// dialTimeout bounds a connection attempt, so that a VM that is down
	// delays a call by no more.
	dialTimeout = 2 * time.Second
	// maximumAnswer bounds an answer, in bytes.
	maximumAnswer = 64 << 20
	// longestWait is the longest Request-Timeout that an entry VM accepts.
	longestWait = time.Hour
	// pollInterval is how often Wait asks for the job.
	pollInterval = 500 * time.Millisecond
)

// Options configure New.
type Options struct {
	Addresses []string      // of entry VMs: host:port, or a URL with the scheme http or https
	Key       string        // secret of the key
	Timeout   time.Duration // of a call whose context has no deadline; zero means DefaultTimeout
	Attempts  int           // sends of one call; zero means DefaultAttempts
	Dial      func(address string) (net.Conn, error)
	Random    func() float64 // for jitter, in [0, 1); nil means a random source
}

// Client calls the HTTP interface. It is safe for concurrent use.
type Client struct {
	options Options
	bases   []string // URLs without a path
	http    *fasthttp.Client
	good    atomic.Uint64 // index of the address that answered last
}

// New returns a Client. It makes no connection yet.
func New(options Options) (*Client, error) {
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.Attempts == 0 {
		options.Attempts = DefaultAttempts
	}
	if options.Random == nil {
		options.Random = mathrand.Float64
	}
	if options.Dial == nil {
		options.Dial = func(address string) (net.Conn, error) { return fasthttp.DialDualStackTimeout(address, dialTimeout) }
	}
	if len(options.Addresses) == 0 {
		return nil, errors.New("client: there is no address")
	}
	c := &Client{options: options}
	for _, a := range options.Addresses {
		if !strings.Contains(a, "://") {
			a = "http://" + a
		}
		u, err := url.Parse(a)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" || strings.Trim(u.Path, "/") != "" {
			return nil, errors.Newf("client: %q is no address of an entry VM, such as 10.0.0.1:8600", a)
		}
		c.bases = append(c.bases, u.Scheme+"://"+u.Host)
	}
	c.http = &fasthttp.Client{
		Name:                      "rosemaryloft",
		NoDefaultUserAgentHeader:  true,
		MaxResponseBodySize:       maximumAnswer,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			conn, err := options.Dial(address)
			if err != nil {
				return nil, &dialError{err}
			}
			return conn, nil
		},
	}
	return c, nil
}

// dialError marks a request that was not sent because there was no connection.
type dialError struct{ cause error }

func (d *dialError) Error() string { return d.cause.Error() }
func (d *dialError) Unwrap() error { return d.cause }

type identityKey struct{}

// WithIdentity sets the Idempotency-Key of changes and requests that are made
// with the context. Each call with the same key must be the same request.
func WithIdentity(ctx context.Context, identity string) context.Context {
	return context.WithValue(ctx, identityKey{}, identity)
}

func identity(ctx context.Context) string {
	s, _ := ctx.Value(identityKey{}).(string)
	return s
}

// call is one request of the interface.
type call struct {
	method   string
	path     string
	body     []byte
	kind     string // content type of the body
	identity string // Idempotency-Key; empty if there is none
	safe     bool   // a resend is harmless even if the request has run
}

// answer is what a request got.
type answer struct {
	status int
	header [][2]string
	body   []byte
}

// do sends a call until it gets an answer, may not be resent, or time is up.
func (c *Client) do(ctx context.Context, q call) (*answer, *api.Error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	start := c.good.Load()
	backoff := firstBackoff
	doubt := false // an earlier send may have run
	var answered *api.Error
	for n := 1; ; n++ {
		at := (start + uint64(n-1)) % uint64(len(c.bases))
		a, e := c.send(ctx, c.bases[at], q)
		if e == nil {
			c.good.Store(at)
			return a, nil
		}
		doubt = doubt || e.Ran == api.RanUnknown
		if e.Code != Unreachable {
			answered = e
		}
		var wait time.Duration
		if n%len(c.bases) == 0 { // every address was tried
			wait = time.Duration(c.options.Random() * float64(backoff))
			backoff = min(2*backoff, lastBackoff)
		}
		if !resendable(e, q.safe) || n >= c.options.Attempts || !sleep(ctx, wait) {
			if ctx.Err() != nil && answered != nil {
				e = answered // says more than that the time is up
			}
			if doubt && e.Ran == api.RanNo && refusesAtEntry(e) {
				e.Ran = api.RanUnknown
			}
			return a, e
		}
	}
}

// bound gives a context without a deadline that of the options.
func (c *Client) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.options.Timeout)
}

// resendable reports whether another send may succeed and does no harm.
func resendable(e *api.Error, safe bool) bool {
	switch e.Code {
	case api.Stale, api.NoLeader, api.Draining, api.Overloaded, api.NoUpstream, api.Timeout, api.BadAnswer, Unreachable:
		return e.Ran == api.RanNo || safe && e.Ran == api.RanUnknown
	}
	return false
}

// refusesAtEntry reports whether an error says nothing about earlier sends of
// the same request: the entry VM gave it without asking the leader.
func refusesAtEntry(e *api.Error) bool {
	return resendable(e, true) || e.Code == api.Limited
}

// sleep waits and reports whether ctx goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends a call once.
func (c *Client) send(ctx context.Context, base string, q call) (*answer, *api.Error) {
	if err := ctx.Err(); err != nil {
		return nil, &api.Error{Code: Unreachable, Message: err.Error(), Ran: api.RanNo}
	}
	deadline, _ := ctx.Deadline()
	type result struct {
		answer *answer
		fail   *api.Error
	}
	done := make(chan result, 1) // the send outlasts a cancelled context
	go func() {
		a, e := c.exchange(base, q, deadline)
		done <- result{a, e}
	}()
	select {
	case r := <-done:
		return r.answer, r.fail
	case <-ctx.Done():
		return nil, &api.Error{Code: Unreachable, Message: ctx.Err().Error(), Ran: api.RanUnknown}
	}
}

func (c *Client) exchange(base string, q call, deadline time.Time) (*answer, *api.Error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(q.method)
	request.SetRequestURI(base + q.path)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.options.Key)
	if left := min(time.Until(deadline), longestWait).Seconds(); left > 0 {
		request.Header.Set(api.TimeoutHeader, strconv.FormatFloat(math.Ceil(left*1000)/1000, 'f', -1, 64))
	}
	if q.identity != "" {
		request.Header.Set(api.IdempotencyHeader, q.identity)
	}
	if q.body != nil {
		request.Header.SetContentType(q.kind)
		request.SetBodyRaw(q.body)
	}
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		e := &api.Error{Code: Unreachable, Message: base + ": " + err.Error(), Ran: api.RanUnknown}
		var d *dialError
		if errors.As(err, &d) {
			e.Ran = api.RanNo
		}
		return nil, e
	}
	a := &answer{status: response.StatusCode(), body: append([]byte(nil), response.Body()...)}
	for k, v := range response.Header.All() {
		a.header = append(a.header, [2]string{string(k), string(v)})
	}
	if a.status < fasthttp.StatusBadRequest {
		return a, nil
	}
	e := &api.Error{}
	if json.Unmarshal(a.body, e) != nil || e.Code == "" || e.Ran == "" {
		// Not from an entry VM: a balancer in between, or a service's own error.
		e = &api.Error{Code: api.Internal, Message: "HTTP status " + strconv.Itoa(a.status), Ran: api.RanUnknown}
	}
	e.Status = a.status
	return a, e
}

// read makes a GET request and decodes the answer.
func read[T any](ctx context.Context, c *Client, path string) (T, error) {
	return decode[T](c.do(ctx, call{method: fasthttp.MethodGet, path: path, safe: true}))
}

// change makes a request that carries an Idempotency-Key, so that it can be resent.
func change[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	q := call{method: method, path: path, identity: identity(ctx), safe: true}
	if q.identity == "" {
		q.identity = rand.Text()
	}
	return with[T](ctx, c, q, body)
}

// with encodes a body, makes the request and decodes the answer.
func with[T any](ctx context.Context, c *Client, q call, body any) (T, error) {
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			var zero T
			return zero, &api.Error{Code: api.Malformed, Message: err.Error(), Ran: api.RanNo}
		}
		q.body, q.kind = b, "application/json"
	}
	return decode[T](c.do(ctx, q))
}

func decode[T any](a *answer, e *api.Error) (T, error) {
	var value T
	if e != nil {
		return value, e
	}
	if err := json.Unmarshal(a.body, &value); err != nil {
		return value, &api.Error{Status: a.status, Code: api.BadAnswer, Message: "the answer is not as expected: " + err.Error(), Ran: api.RanYes}
	}
	return value, nil
}
