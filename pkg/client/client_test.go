package client

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// receivedRequest is a request that an entry VM of a fakeCell got.
type receivedRequest struct{ address, line, identity, key, wait string }

// fakeCell simulates entry VMs, each of which responds to requests from a script.
// An address without a script does not accept connections.
type fakeCell struct {
	t        *testing.T
	mu       sync.Mutex
	scripts  map[string][]any // by address: *api.Error, a body, "cut" to close the connection, or a func to call before that
	received []receivedRequest
	listen   map[string]*fasthttputil.InmemoryListener
}

func newFakeCell(t *testing.T, scripts map[string][]any) *fakeCell {
	c := &fakeCell{t: t, scripts: scripts, listen: map[string]*fasthttputil.InmemoryListener{}}
	for address := range scripts {
		l := fasthttputil.NewInmemoryListener()
		c.listen[address] = l
		s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { c.answer(address, ctx) }}
		go s.Serve(l)                       // ends with the listener
		t.Cleanup(func() { _ = l.Close() }) // fails only if it is already closed
	}
	return c
}

func (c *fakeCell) answer(address string, ctx *fasthttp.RequestCtx) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = append(c.received, receivedRequest{
		address, string(ctx.Method()) + " " + string(ctx.Path()),
		string(ctx.Request.Header.Peek(api.IdempotencyHeader)), string(ctx.Request.Header.Peek("Authorization")),
		string(ctx.Request.Header.Peek(api.TimeoutHeader)),
	})
	script := c.scripts[address]
	if len(script) == 0 {
		c.t.Errorf("%s got an unexpected request", address)
		return
	}
	c.scripts[address] = script[1:]
	body, status := script[0], fasthttp.StatusOK
	if e, ok := body.(*api.Error); ok {
		status = e.Status
	}
	if f, ok := body.(func()); ok {
		f()
		body = "cut"
	}
	if body == "cut" {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(conn net.Conn) { _ = conn.Close() })
		return
	}
	b, err := json.Marshal(body)
	if err != nil {
		c.t.Error(err)
	}
	ctx.SetStatusCode(status)
	ctx.SetBody(b)
}

func (c *fakeCell) client(addresses ...string) *Client {
	k, err := New(Options{
		Addresses: addresses, Key: "secret", Timeout: time.Hour, Random: func() float64 { return 0 },
		Dial: func(address string) (net.Conn, error) {
			if l := c.listen[address]; l != nil {
				return l.Dial()
			}
			return nil, errors.New("connection refused")
		},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	return k
}

func apiError(status int, code api.Code, ran api.Ran) *api.Error {
	return &api.Error{Status: status, Code: code, Message: "m", Ran: ran}
}

// Guards against a change that is made twice, or not retried, when an entry VM is
// down, closes the connection, or has lost the leader.
func TestResendsKeepIdentity(t *testing.T) {
	is := is.New(t)
	c := newFakeCell(t, map[string][]any{
		"b:1": {apiError(503, api.Stale, api.RanNo), "cut"},
		"c:1": {apiError(504, api.Timeout, api.RanUnknown), api.Changed{Version: 7, Secret: "s"}},
	})
	r, err := c.client("a:1", "b:1", "c:1").PutKey(context.Background(), api.Key{Name: "k", Role: "caller", Team: "t"})
	is.NoErr(err)
	is.Equal(r, api.Changed{Version: 7, Secret: "s"})
	is.Equal(len(c.received), 4)
	for _, s := range c.received {
		is.Equal(s.identity, c.received[0].identity)
		is.Equal(s.line, "PUT /v1/keys/k")
		is.Equal(s.key, "Bearer secret")
	}
	is.True(c.received[0].identity != "")

	c = newFakeCell(t, map[string][]any{"a:1": {api.Changed{}, api.Changed{}}})
	k := c.client("a:1")
	is.NoErr(k.Drain(context.Background(), "w"))
	is.NoErr(k.Drain(WithIdentity(context.Background(), "mine"), "w"))
	is.True(c.received[0].identity != c.received[1].identity) // each change has its own key
	is.Equal(c.received[1].identity, "mine")
}

// Guards against a non-idempotent request that is retried although it may have
// been executed.
func TestRequestIsNotResentInDoubt(t *testing.T) {
	for _, c := range []struct {
		script     []any
		idempotent bool
		identity   string
		sends      int
		ran        api.Ran // of the error; empty if the request succeeds
	}{
		{[]any{"cut"}, false, "", 1, api.RanUnknown},
		{[]any{"cut", "ok"}, true, "", 2, ""},
		{[]any{"cut", "ok"}, false, "id", 2, ""},
		{[]any{apiError(503, api.Overloaded, api.RanNo), "ok"}, false, "", 2, ""},
		{[]any{apiError(502, api.BadAnswer, api.RanUnknown)}, false, "", 1, api.RanUnknown},
		{[]any{apiError(429, api.Limited, api.RanNo)}, true, "", 1, api.RanNo},
		// The first attempt may have been executed, although the refusal of the second
		// one says "no".
		{[]any{"cut", apiError(429, api.Limited, api.RanNo)}, true, "", 2, api.RanUnknown},
	} {
		is := is.New(t)
		k := newFakeCell(t, map[string][]any{"a:1": c.script})
		r, err := k.client("a:1").Request(WithIdentity(context.Background(), c.identity), "e", "p/q", []byte("x"), c.idempotent)
		is.Equal(len(k.received), c.sends)
		if c.ran == "" {
			is.NoErr(err)
			is.Equal(string(r.Body), `"ok"`)
			continue
		}
		var e *api.Error
		is.True(errors.As(err, &e))
		is.Equal(e.Ran, c.ran)
	}
}

// Guards against retries of refused requests, errors of other types than
// *api.Error, and error details that do not reach the caller.
func TestErrors(t *testing.T) {
	is := is.New(t)
	conflict := apiError(409, api.Conflict, api.RanNo)
	conflict.Version = 9
	c := newFakeCell(t, map[string][]any{"a:1": {conflict, "not a catalogue"}})
	k := c.client("a:1")
	var e *api.Error
	_, err := k.PutTeam(context.Background(), api.Team{Name: "t"})
	is.True(errors.As(err, &e))
	is.Equal(*e, *conflict)
	_, err = k.Catalogue(context.Background())
	is.True(errors.As(err, &e))
	is.Equal(e.Code, api.BadAnswer)

	_, err = c.client("x:1", "y:1").Status(context.Background())
	is.True(errors.As(err, &e))
	is.Equal(e.Code, Unreachable)
	is.Equal(e.Ran, api.RanNo) // no connection was made
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = k.Status(ended)
	is.True(errors.As(err, &e))

	for _, a := range []string{"", "ftp://a:1", "http://a:1/path", "http://"} {
		_, err := New(Options{Addresses: []string{a}})
		is.True(err != nil) // not an address of an entry VM
	}
}

// Guards against a caller that gets only a timeout although an entry VM has
// responded that there is no leader.
func TestLastAnswerGoesBeforeTheDeadline(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	c := newFakeCell(t, map[string][]any{"a:1": {apiError(503, api.NoLeader, api.RanNo), func() { cancel() }}})
	_, err := c.client("a:1").Status(ctx)
	var e *api.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Code, api.NoLeader)
}

// Guards against trying a failed address first again in the next call, and against
// timeouts that entry VMs refuse.
func TestGoodAddressIsKept(t *testing.T) {
	is := is.New(t)
	c := newFakeCell(t, map[string][]any{"b:1": {api.Status{}, api.Status{}}, "c:1": nil})
	k := c.client("a:1", "b:1", "c:1")
	ctx, cancel := context.WithTimeout(context.Background(), 1000*time.Hour)
	defer cancel()
	for range 2 {
		_, err := k.Status(ctx)
		is.NoErr(err)
	}
	is.Equal(len(c.received), 2)
	is.Equal(c.received[0].wait, "3600") // entry VMs refuse more than an hour
}
