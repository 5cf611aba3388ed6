package plain

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/version/codec"
)

// echoed is the message of the test's handler.
type echoed struct {
	Text string
	List []int64
	Next *echoed
}

// newTestNode returns a node that doesn't listen, with the method "echo", and a
// counter of the messages that it received.
func newTestNode() (*Node, *int) {
	n, received := New(Options{Name: "127.0.0.1", Port: 1}), new(int)
	n.Handle("echo", func(_ context.Context, _ string, decode peer.Decode) (any, error) {
		var m echoed
		if err := decode(&m); err != nil {
			return nil, &peer.RemoteError{Code: peer.CodeMalformed, Message: err.Error()}
		}
		*received++
		return m, nil
	})
	return n, received
}

// request serves one request and returns its status and the code of the error.
func (n *Node) request(path, budget string, body []byte) (status int, code string) {
	var c fasthttp.RequestCtx
	c.Request.Header.SetMethod(fasthttp.MethodPost)
	c.Request.SetRequestURI(path)
	c.Request.Header.Set(nameHeader, "127.0.0.2")
	c.Request.Header.Set(timeoutHeader, budget)
	c.Request.SetBody(body)
	n.serve(&c)
	return c.Response.StatusCode(), string(c.Response.Header.Peek(codeHeader))
}

func encode(t testing.TB, v any) []byte {
	b, err := codec.Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against malformed requests of another process that are carried out, that
// take the process down, or that stop the messages beside them.
func TestMalformedRequests(t *testing.T) {
	is := is.New(t)
	n, received := newTestNode()
	good := encode(t, echoed{Text: "x", List: []int64{1, 2}, Next: &echoed{}})
	deep := append(make([]byte, 0, 1<<16), 0x81)
	for len(deep) < 1<<16 {
		deep = append(deep, 0x81) // arrays of one array
	}
	for _, c := range []struct {
		path   string
		body   []byte
		status int
		code   string
	}{
		{"/call/echo", good, fasthttp.StatusOK, ""},
		{"/call/echo", good[:len(good)-1], fasthttp.StatusConflict, peer.CodeMalformed},
		{"/call/echo", append(good, 0), fasthttp.StatusConflict, peer.CodeMalformed},
		{"/call/echo", nil, fasthttp.StatusConflict, peer.CodeMalformed},
		{"/call/echo", encode(t, 7), fasthttp.StatusConflict, peer.CodeMalformed},
		{"/call/echo", encode(t, map[string]any{"Text": 7}), fasthttp.StatusConflict, peer.CodeMalformed},
		{"/call/echo", deep, fasthttp.StatusConflict, peer.CodeMalformed},
		{"/call/echo", []byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, fasthttp.StatusConflict, peer.CodeMalformed},
		{"/call/other", good, fasthttp.StatusConflict, peer.CodeUnknownMethod},
		{"/call/", good, fasthttp.StatusNotFound, ""},
		{"/", good, fasthttp.StatusNotFound, ""},
		{"/send", good, fasthttp.StatusBadRequest, ""},
		{"/send", nil, fasthttp.StatusBadRequest, ""},
	} {
		*received = 0
		status, code := n.request(c.path, "100", c.body)
		is.Equal(status, c.status)
		is.Equal(code, c.code)
		is.Equal(*received > 0, c.status == fasthttp.StatusOK)
	}
	*received = 0
	batch := []message{{Method: "echo", Body: good}, {Method: "other", Body: good}, {Method: "echo", Body: encode(t, 7)}, {Method: "echo", Body: good}}
	status, _ := n.request("/send", "", encode(t, batch))
	is.Equal(status, fasthttp.StatusOK)
	is.Equal(*received, 2)
}

// Guards against a time budget that is malformed or does not fit a duration.
func TestMalformedBudget(t *testing.T) {
	is := is.New(t)
	n := New(Options{Name: "127.0.0.1", Port: 1})
	var deadline time.Time
	n.Handle("time", func(ctx context.Context, _ string, _ peer.Decode) (any, error) {
		deadline, _ = ctx.Deadline()
		return nil, ctx.Err()
	})
	for _, budget := range []string{"", "x", "-1", "99999999999999999999", "9223372036854775807"} {
		status, _ := n.request("/call/time", budget, nil)
		is.Equal(status, fasthttp.StatusOK)
		is.True(time.Until(deadline) > 0)
	}
}

func FuzzRequests(f *testing.F) {
	good := encode(f, echoed{Text: "x", Next: &echoed{}})
	f.Add("/call/echo", "100", good)
	f.Add("/send", "", encode(f, []message{{Method: "echo", Body: good}, {Method: "none"}}))
	n, _ := newTestNode()
	f.Fuzz(func(t *testing.T, path, budget string, body []byte) {
		n.request(path, budget, body)
		if status, _ := n.request("/call/echo", "100", good); status != fasthttp.StatusOK {
			t.Errorf("the next call got status %d", status)
		}
	})
}
