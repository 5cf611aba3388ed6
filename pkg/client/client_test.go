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

// seen is a request that a stand-in got.
type seen struct{ address, line, identity, key, wait string }

// cell is a set of entry VMs that answer from scripts, one script per address.
// An address without a script does not accept connections.
type cell struct {
	t       *testing.T
	mu      sync.Mutex
	scripts map[string][]any // *api.Error, "cut", or a body
	seen    []seen
	listen  map[string]*fasthttputil.InmemoryListener
}

func newCell(t *testing.T, scripts map[string][]any) *cell {
	c := &cell{t: t, scripts: scripts, listen: map[string]*fasthttputil.InmemoryListener{}}
	for address := range scripts {
		l := fasthttputil.NewInmemoryListener()
		c.listen[address] = l
		s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { c.answer(address, ctx) }}
		go s.Serve(l)                       // ends with the listener
		t.Cleanup(func() { _ = l.Close() }) // it has no other error than being closed
	}
	return c
}

func (c *cell) answer(address string, ctx *fasthttp.RequestCtx) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = append(c.seen, seen{
		address, string(ctx.Method()) + " " + string(ctx.Path()),
		string(ctx.Request.Header.Peek(api.IdempotencyHeader)), string(ctx.Request.Header.Peek("Authorization")),
		string(ctx.Request.Header.Peek(api.TimeoutHeader)),
	})
	script := c.scripts[address]
	if len(script) == 0 {
		c.t.Errorf("%s got one request too many", address)
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

func (c *cell) client(addresses ...string) *Client {
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

func fail(status int, code api.Code, ran api.Ran) *api.Error {
	return &api.Error{Status: status, Code: code, Message: "m", Ran: ran}
}

// Guards against a change that is made twice, or given up, when an entry VM is
// down, breaks off, or has lost the leader.
func TestResendsKeepIdentity(t *testing.T) {
	is := is.New(t)
	c := newCell(t, map[string][]any{
		"b:1": {fail(503, api.Stale, api.RanNo), "cut"},
		"c:1": {fail(504, api.Timeout, api.RanUnknown), api.Changed{Version: 7, Secret: "s"}},
	})
	r, err := c.client("a:1", "b:1", "c:1").PutKey(context.Background(), api.Key{Name: "k", Role: "caller", Team: "t"})
	is.NoErr(err)
	is.Equal(r, api.Changed{Version: 7, Secret: "s"})
	is.Equal(len(c.seen), 4)
	for _, s := range c.seen {
		is.Equal(s.identity, c.seen[0].identity)
		is.Equal(s.line, "PUT /v1/keys/k")
		is.Equal(s.key, "Bearer secret")
	}
	is.True(c.seen[0].identity != "")

	c = newCell(t, map[string][]any{"a:1": {api.Changed{}, api.Changed{}}})
	k := c.client("a:1")
	is.NoErr(k.Drain(context.Background(), "w"))
	is.NoErr(k.Drain(WithIdentity(context.Background(), "mine"), "w"))
	is.True(c.seen[0].identity != c.seen[1].identity) // each change has its own
	is.Equal(c.seen[1].identity, "mine")
}

// Guards against a non-idempotent request that is sent again although it may
// have run.
func TestRequestIsNotResentInDoubt(t *testing.T) {
	for _, c := range []struct {
		script     []any
		idempotent bool
		identity   string
		sends      int
		ran        api.Ran // empty: answered
	}{
		{[]any{"cut"}, false, "", 1, api.RanUnknown},
		{[]any{"cut", "ok"}, true, "", 2, ""},
		{[]any{"cut", "ok"}, false, "id", 2, ""},
		{[]any{fail(503, api.Overloaded, api.RanNo), "ok"}, false, "", 2, ""},
		{[]any{fail(502, api.BadAnswer, api.RanUnknown)}, false, "", 1, api.RanUnknown},
		{[]any{fail(429, api.Limited, api.RanNo)}, true, "", 1, api.RanNo},
		// The first send may have run, whatever a later entry VM says of its own.
		{[]any{"cut", fail(429, api.Limited, api.RanNo)}, true, "", 2, api.RanUnknown},
	} {
		is := is.New(t)
		k := newCell(t, map[string][]any{"a:1": c.script})
		r, err := k.client("a:1").Request(WithIdentity(context.Background(), c.identity), "e", "p/q", []byte("x"), c.idempotent)
		is.Equal(len(k.seen), c.sends)
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

// Guards against refusals that are resent, errors of another type, and
// answers that are lost on the way to the caller.
func TestErrors(t *testing.T) {
	is := is.New(t)
	conflict := fail(409, api.Conflict, api.RanNo)
	conflict.Version = 9
	c := newCell(t, map[string][]any{"a:1": {conflict, "not a catalogue"}})
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
	is.Equal(e.Ran, api.RanNo) // no connection at all
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = k.Status(ended)
	is.True(errors.As(err, &e))

	for _, a := range []string{"", "ftp://a:1", "http://a:1/path", "http://"} {
		_, err := New(Options{Addresses: []string{a}})
		is.True(err != nil) // no address of an entry VM
	}
}

// Guards against a caller that learns only that its time is up, when an entry
// VM had told it that there is no leader.
func TestLastAnswerGoesBeforeTheDeadline(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	c := newCell(t, map[string][]any{"a:1": {fail(503, api.NoLeader, api.RanNo), func() { cancel() }}})
	_, err := c.client("a:1").Status(ctx)
	var e *api.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Code, api.NoLeader)
}

// Guards against an address that stays in use after it failed, and against
// deadlines that entry VMs refuse.
func TestGoodAddressIsKept(t *testing.T) {
	is := is.New(t)
	c := newCell(t, map[string][]any{"b:1": {api.Status{}, api.Status{}}, "c:1": nil})
	k := c.client("a:1", "b:1", "c:1")
	ctx, cancel := context.WithTimeout(context.Background(), 1000*time.Hour)
	defer cancel()
	for range 2 {
		_, err := k.Status(ctx)
		is.NoErr(err)
	}
	is.Equal(len(c.seen), 2)
	is.Equal(c.seen[0].wait, "3600") // entry VMs refuse a longer one
}
