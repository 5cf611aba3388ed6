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
// # Errors and retries
//
// Every error of a call is a *api.Error, whose Ran states whether the request may
// have had an effect. If there was no response, the error has the code Unreachable
// and a Status of zero.
//
// A failed request is retried, at each address in turn, only if it was not
// executed or if a retry is harmless. A retry is harmless for reads, for
// announcements and polls, and for requests with an Idempotency-Key, which is the
// same in all attempts. Changes and submissions always carry one. Set the key with
// WithIdentity to be able to continue a request after a restart of the program.
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

// Unreachable is the code of the error of a request that got no response.
const Unreachable api.Code = "unreachable"

const (
	// DefaultTimeout bounds a call whose context has no deadline. It is enough for an
	// election and for the 3 s after which an entry VM without a connection to the
	// leader refuses requests.
	DefaultTimeout = 30 * time.Second
	// DefaultAttempts bounds the number of attempts of one call.
	DefaultAttempts = 10
	// firstBackoff and lastBackoff bound the wait after an attempt at every address.
	// An election takes 1 to 3 s.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 2 * time.Second
	// dialTimeout bounds a connection attempt, and thereby the delay that a VM which
	// is down adds to a call.
	dialTimeout = 2 * time.Second
	// maxResponseSize is the maximum size of a response body, in bytes.
	maxResponseSize = 64 << 20
	// maxRequestTimeout is the longest Request-Timeout that an entry VM accepts.
	maxRequestTimeout = time.Hour
	// pollInterval is how often Wait polls the job.
	pollInterval = 500 * time.Millisecond
)

// Options configure New.
type Options struct {
	Addresses []string      // of entry VMs: host:port, or a URL with the scheme http or https
	Key       string        // secret of the key
	Timeout   time.Duration // of a call whose context has no deadline; zero means DefaultTimeout
	Attempts  int           // attempts of one call; zero means DefaultAttempts
	Dial      func(address string) (net.Conn, error)
	Random    func() float64 // jitter of the backoff, in [0, 1); nil means a random source
}

// Client calls the HTTP interface. It is safe for concurrent use.
type Client struct {
	options  Options
	bases    []string // URLs without a path
	http     *fasthttp.Client
	lastGood atomic.Uint64 // index of the address that answered last

	plainErrors bool // errors are texts; see Control
}

// New returns a Client. It does not connect yet.
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
		return nil, errors.New("client: no address of an entry VM is given")
	}
	c := &Client{options: options}
	for _, a := range options.Addresses {
		if !strings.Contains(a, "://") {
			a = "http://" + a
		}
		u, err := url.Parse(a)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" || strings.Trim(u.Path, "/") != "" {
			return nil, errors.Newf("client: %q is not an address of an entry VM, such as 10.0.0.1:8600", a)
		}
		c.bases = append(c.bases, u.Scheme+"://"+u.Host)
	}
	c.http = &fasthttp.Client{
		Name:                      "rosemaryloft",
		NoDefaultUserAgentHeader:  true,
		MaxResponseBodySize:       maxResponseSize,
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

// dialError wraps the error of a failed connection attempt, after which the request
// was not sent.
type dialError struct{ cause error }

func (d *dialError) Error() string { return d.cause.Error() }
func (d *dialError) Unwrap() error { return d.cause }

type idempotencyContextKey struct{}

// WithIdentity sets the Idempotency-Key of changes and requests made with the
// context. All calls with the same key must make the same request.
func WithIdentity(ctx context.Context, identity string) context.Context {
	return context.WithValue(ctx, idempotencyContextKey{}, identity)
}

func idempotencyKey(ctx context.Context) string {
	s, _ := ctx.Value(idempotencyContextKey{}).(string)
	return s
}

// call is a request to the HTTP interface.
type call struct {
	method         string
	path           string
	body           []byte
	contentType    string // of the body
	idempotencyKey string // empty if there is none
	retrySafe      bool   // a retry is harmless even if the request was executed
}

// rawResponse is a response with its body not yet decoded.
type rawResponse struct {
	status int
	header [][2]string
	body   []byte
}

// do makes a call and retries it until it succeeds, may not be retried, has used up
// its attempts, or its time is up. If an earlier attempt may have been executed, a
// refusal by an entry VM that does not rule that out is returned as RanUnknown.
func (c *Client) do(ctx context.Context, q call) (*rawResponse, *api.Error) {
	ctx, cancel := c.withDefaultDeadline(ctx)
	defer cancel()
	start := c.lastGood.Load()
	backoff := firstBackoff
	mayHaveRun := false // an attempt so far may have been executed
	var lastAnswer *api.Error
	for n := 1; ; n++ {
		index := (start + uint64(n-1)) % uint64(len(c.bases))
		a, e := c.send(ctx, c.bases[index], q)
		if e == nil {
			c.lastGood.Store(index)
			return a, nil
		}
		mayHaveRun = mayHaveRun || e.Ran == api.RanUnknown
		if e.Code != Unreachable {
			lastAnswer = e
		}
		var wait time.Duration
		if n%len(c.bases) == 0 { // every address has been tried
			wait = time.Duration(c.options.Random() * float64(backoff))
			backoff = min(2*backoff, lastBackoff)
		}
		if !retryable(e, q.retrySafe) || n >= c.options.Attempts || !sleep(ctx, wait) {
			if ctx.Err() != nil && lastAnswer != nil {
				e = lastAnswer // more specific than the end of the context
			}
			if mayHaveRun && e.Ran == api.RanNo && refusedByEntryVM(e) {
				e.Ran = api.RanUnknown
			}
			return a, e
		}
	}
}

// withDefaultDeadline applies the timeout of the options to a context without a
// deadline.
func (c *Client) withDefaultDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.options.Timeout)
}

// retryable reports whether another attempt may succeed and is harmless.
func retryable(e *api.Error, retrySafe bool) bool {
	switch e.Code {
	case api.Stale, api.NoLeader, api.Draining, api.Overloaded, api.NoUpstream, api.Timeout, api.BadAnswer, Unreachable:
		return e.Ran == api.RanNo || retrySafe && e.Ran == api.RanUnknown
	}
	return false
}

// refusedByEntryVM reports whether an entry VM may have returned the error without
// asking the leader, so that it says nothing about earlier attempts.
func refusedByEntryVM(e *api.Error) bool {
	return retryable(e, true) || e.Code == api.Limited
}

// sleep waits for d, and returns false if ctx is done before.
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

// send makes one attempt of a call. It returns as soon as ctx is done.
func (c *Client) send(ctx context.Context, base string, q call) (*rawResponse, *api.Error) {
	if err := ctx.Err(); err != nil {
		return nil, &api.Error{Code: Unreachable, Message: err.Error(), Ran: api.RanNo}
	}
	deadline, _ := ctx.Deadline()
	type result struct {
		answer *rawResponse
		err    *api.Error
	}
	done := make(chan result, 1) // buffered: roundTrip may end after ctx
	go func() {
		a, e := c.roundTrip(base, q, deadline)
		done <- result{a, e}
	}()
	select {
	case r := <-done:
		return r.answer, r.err
	case <-ctx.Done():
		return nil, &api.Error{Code: Unreachable, Message: ctx.Err().Error(), Ran: api.RanUnknown}
	}
}

// roundTrip sends a request to the entry VM at base and reads the response.
func (c *Client) roundTrip(base string, q call, deadline time.Time) (*rawResponse, *api.Error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(q.method)
	request.SetRequestURI(base + q.path)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.options.Key)
	if left := min(time.Until(deadline), maxRequestTimeout).Seconds(); left > 0 {
		request.Header.Set(api.TimeoutHeader, strconv.FormatFloat(math.Ceil(left*1000)/1000, 'f', -1, 64))
	}
	if q.idempotencyKey != "" {
		request.Header.Set(api.IdempotencyHeader, q.idempotencyKey)
	}
	if q.body != nil {
		request.Header.SetContentType(q.contentType)
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
	a := &rawResponse{status: response.StatusCode(), body: append([]byte(nil), response.Body()...)}
	for k, v := range response.Header.All() {
		a.header = append(a.header, [2]string{string(k), string(v)})
	}
	if a.status < fasthttp.StatusBadRequest {
		return a, nil
	}
	if c.plainErrors {
		e := plainError(a.status, a.body)
		e.Status = a.status
		return a, e
	}
	e := &api.Error{}
	if json.Unmarshal(a.body, e) != nil || e.Code == "" || e.Ran == "" {
		// Not an error of an entry VM, but of a load balancer in between or of the
		// service itself.
		e = &api.Error{Code: api.Internal, Message: "HTTP status " + strconv.Itoa(a.status), Ran: api.RanUnknown}
	}
	e.Status = a.status
	return a, e
}

// get makes a GET request and decodes the response.
func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	return decode[T](c.do(ctx, call{method: fasthttp.MethodGet, path: path, retrySafe: true}))
}

// change makes a request with an Idempotency-Key, so that it can be retried.
func change[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	q := call{method: method, path: path, idempotencyKey: idempotencyKey(ctx), retrySafe: true}
	if q.idempotencyKey == "" {
		q.idempotencyKey = rand.Text()
	}
	return callJSON[T](ctx, c, q, body)
}

// callJSON makes a request with body encoded as JSON and decodes the response.
func callJSON[T any](ctx context.Context, c *Client, q call, body any) (T, error) {
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			var zero T
			return zero, &api.Error{Code: api.Malformed, Message: err.Error(), Ran: api.RanNo}
		}
		q.body, q.contentType = b, "application/json"
	}
	return decode[T](c.do(ctx, q))
}

func decode[T any](a *rawResponse, e *api.Error) (T, error) {
	var value T
	if e != nil {
		return value, e
	}
	if err := json.Unmarshal(a.body, &value); err != nil {
		return value, &api.Error{Status: a.status, Code: api.BadAnswer, Message: "cannot decode the response: " + err.Error(), Ran: api.RanYes}
	}
	return value, nil
}
