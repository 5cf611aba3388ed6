package upstream

import (
	"io"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// statusRefused is the status of a runner that takes no request now.
const statusRefused = fasthttp.StatusServiceUnavailable

// errDial marks a connection that could not be opened.
var errDial = errors.New("the connection could not be opened")

// client sends requests to one runner over kept connections.
type client struct {
	http fasthttp.HostClient
	host string
}

func newClient(o *Options, address string, connections int64) *client {
	c := &client{host: address}
	c.http = fasthttp.HostClient{
		Addr:                     address,
		MaxConns:                 int(connections),
		MaxIdleConnDuration:      IdleTime,
		DisablePathNormalizing:   true,
		NoDefaultUserAgentHeader: true,
		StreamResponseBody:       true, // the body's framing is checked here
		// A request is sent once. Whether it may be sent again is for the
		// router to say.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
			if timeout <= 0 || timeout > DialTime {
				timeout = DialTime
			}
			conn, err := o.Dial(address, timeout)
			if err != nil {
				return nil, errors.Mark(err, errDial)
			}
			return conn, nil
		},
	}
	return c
}

// resize sets the most connections.
func (c *client) resize(connections int64) { c.http.SetMaxConns(int(max(1, connections))) }

// close closes the idle connections. Requests in flight go on.
func (c *client) close() { c.http.CloseIdleConnections() }

// do sends one request and reads the whole answer, which the caller waits for
// as long as left says. It goes on to wait until RequestTime has passed.
func (c *client) do(r *Request, left time.Duration, h *hooks) (*Answer, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	c.fill(request, r, left)
	if err := c.http.Do(request, response); err != nil {
		return nil, classify(err)
	}
	body, err := readBody(response, h)
	if closing := response.CloseBodyStream(); err == nil && closing != nil {
		err = errors.Mark(closing, ErrBroken)
	}
	if err != nil {
		return nil, err
	}
	if id := response.Header.Peek(api.RequestHeader); string(id) != r.ID && !h.ignoreIdentity {
		// Another idle connection may be off by one answer as well.
		c.http.CloseIdleConnections()
		return nil, errors.Wrapf(ErrMismatch, "it carries %q", id)
	}
	a := &Answer{Status: response.StatusCode(), Header: headers(&response.Header), Body: body}
	if n := response.Header.ContentLength(); r.Method == fasthttp.MethodHead && n >= 0 {
		a.Header = append(a.Header, [2]string{fasthttp.HeaderContentLength, strconv.Itoa(n)})
	}
	return a, nil
}

func (c *client) fill(request *fasthttp.Request, r *Request, left time.Duration) {
	request.Header.SetMethod(r.Method)
	request.Header.SetNoDefaultContentType(true)
	for _, h := range r.Header {
		request.Header.Add(h[0], h[1])
	}
	u := request.URI()
	u.SetScheme("http")
	u.SetHost(c.host)
	u.DisablePathNormalizing = true
	u.SetPath(r.Path)
	u.SetQueryString(r.Query)
	request.Header.SetHost(c.host)
	request.Header.Set(api.RequestHeader, r.ID)
	// The runner is told how long the answer is of use.
	request.Header.Set(api.TimeoutHeader, strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	request.SetBodyRaw(r.Body)
	request.SetTimeout(RequestTime)
}

// classify tells whether a failed request can have reached the runner.
func classify(err error) error {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, errDial), errors.Is(err, fasthttp.ErrNoFreeConns):
		return errors.Mark(err, ErrNotSent)
	case errors.As(err, &timeout) && timeout.Timeout():
		return errors.Mark(err, ErrLate)
	}
	return errors.Mark(err, ErrBroken)
}

// readBody reads the body and checks that it is whole. A body that ends with
// the connection cannot be told from one that broke off and is refused.
func readBody(response *fasthttp.Response, h *hooks) ([]byte, error) {
	stream := response.BodyStream()
	if stream == nil {
		return nil, nil // an answer without a body
	}
	length := response.Header.ContentLength()
	if length > AnswerBytes {
		return nil, errors.Wrapf(ErrBroken, "%d bytes are announced, more than %d", length, AnswerBytes)
	}
	if length < -1 && !h.ignoreLength {
		return nil, errors.Wrap(ErrBroken, "the answer has no length")
	}
	body := make([]byte, 0, max(length, 512))
	body, err := appendAll(body, io.LimitReader(stream, AnswerBytes+1))
	switch {
	case h.ignoreLength:
		return body, nil
	case err != nil:
		return nil, classify(err)
	case len(body) > AnswerBytes:
		return nil, errors.Wrapf(ErrBroken, "it has more than %d bytes", AnswerBytes)
	case length >= 0 && len(body) != length:
		return nil, errors.Wrapf(ErrBroken, "%d of %d bytes came", len(body), length)
	}
	return body, nil
}

// appendAll reads r to its end, as io.ReadAll does, into a buffer of a known size.
func appendAll(b []byte, r io.Reader) ([]byte, error) {
	for {
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err != nil {
			if err == io.EOF {
				err = nil
			}
			return b, err
		}
	}
}

// headers returns the end-to-end headers of an answer.
func headers(h *fasthttp.ResponseHeader) [][2]string {
	var list [][2]string
	for k, v := range h.All() {
		if name := string(k); !HopByHop(name) {
			list = append(list, [2]string{name, string(v)})
		}
	}
	return list
}

// HopByHop reports whether a header in canonical form concerns one connection
// only (RFC 9110, section 7.6.1) or is set anew by each sender.
func HopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Host", "Server", "Date":
		return true
	}
	return false
}
