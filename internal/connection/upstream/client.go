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

// statusRefused is the status with which a runner refuses a request for now.
const statusRefused = fasthttp.StatusServiceUnavailable

// errDial marks errors of opening a connection.
var errDial = errors.New("the connection could not be opened")

// client sends requests to one runner over persistent connections.
type client struct {
	http fasthttp.HostClient
	host string
}

func newClient(o *Options, address string, connections int64) *client {
	c := &client{host: address}
	c.http = fasthttp.HostClient{
		Addr:                     address,
		MaxConns:                 int(connections),
		MaxIdleConnDuration:      IdleTimeout,
		DisablePathNormalizing:   true,
		NoDefaultUserAgentHeader: true,
		StreamResponseBody:       true, // readBody checks the framing of the body
		// Each request is sent only once. The router decides whether to retry it.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
			if timeout <= 0 || timeout > DialTimeout {
				timeout = DialTimeout
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

// resize sets the maximum number of connections.
func (c *client) resize(connections int64) { c.http.SetMaxConns(int(max(1, connections))) }

// close closes the idle connections. Requests in flight continue.
func (c *client) close() { c.http.CloseIdleConnections() }

// do sends one request and reads the complete response. remaining is the time
// for which the caller waits; do itself waits up to RequestTimeout.
func (c *client) do(r *Request, remaining time.Duration, h *hooks) (*Answer, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	c.buildRequest(request, r, remaining)
	if err := c.http.Do(request, response); err != nil {
		return nil, classify(err)
	}
	body, err := readBody(response, h)
	if closing := response.CloseBodyStream(); err == nil && closing != nil {
		err = errors.Mark(closing, ErrIncomplete)
	}
	if err != nil {
		return nil, err
	}
	if id := response.Header.Peek(api.RequestHeader); string(id) != r.ID && !h.ignoreIdentity {
		// The responses on other idle connections may be shifted as well.
		c.http.CloseIdleConnections()
		return nil, errors.Wrapf(ErrMismatch, "it carries %q", id)
	}
	a := &Answer{Status: response.StatusCode(), Header: headers(&response.Header), Body: body}
	if n := response.Header.ContentLength(); r.Method == fasthttp.MethodHead && n >= 0 {
		a.Header = append(a.Header, [2]string{fasthttp.HeaderContentLength, strconv.Itoa(n)})
	}
	return a, nil
}

// buildRequest fills in the HTTP request for r.
func (c *client) buildRequest(request *fasthttp.Request, r *Request, remaining time.Duration) {
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
	// Tell the runner how long the caller waits for the response.
	request.Header.Set(api.TimeoutHeader, strconv.FormatFloat(remaining.Seconds(), 'f', 3, 64))
	request.SetBodyRaw(r.Body)
	request.SetTimeout(RequestTimeout)
}

// classify marks the error of a failed request with ErrNotSent if the request
// cannot have reached the runner, and otherwise with ErrTimeout or ErrIncomplete.
func classify(err error) error {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, errDial), errors.Is(err, fasthttp.ErrNoFreeConns):
		return errors.Mark(err, ErrNotSent)
	case errors.As(err, &timeout) && timeout.Timeout():
		return errors.Mark(err, ErrTimeout)
	}
	return errors.Mark(err, ErrIncomplete)
}

// readBody reads the body and checks that it is complete. A body delimited by
// the end of the connection is refused, since it cannot be distinguished from a
// truncated one.
func readBody(response *fasthttp.Response, h *hooks) ([]byte, error) {
	stream := response.BodyStream()
	if stream == nil {
		return nil, nil // a response without a body
	}
	length := response.Header.ContentLength()
	if length > MaxResponseBytes {
		return nil, errors.Wrapf(ErrIncomplete, "%d bytes are announced, more than %d", length, MaxResponseBytes)
	}
	if length < -1 && !h.ignoreLength {
		return nil, errors.Wrap(ErrIncomplete, "the answer has no length")
	}
	body := make([]byte, 0, max(length, 512))
	body, err := appendAll(body, io.LimitReader(stream, MaxResponseBytes+1))
	switch {
	case h.ignoreLength:
		return body, nil
	case err != nil:
		return nil, classify(err)
	case len(body) > MaxResponseBytes:
		return nil, errors.Wrapf(ErrIncomplete, "it has more than %d bytes", MaxResponseBytes)
	case length >= 0 && len(body) != length:
		return nil, errors.Wrapf(ErrIncomplete, "%d of %d bytes came", len(body), length)
	}
	return body, nil
}

// appendAll reads r to its end like io.ReadAll, and appends to the given buffer.
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

// headers returns the end-to-end headers of a response.
func headers(h *fasthttp.ResponseHeader) [][2]string {
	var list [][2]string
	for k, v := range h.All() {
		if name := string(k); !HopByHop(name) {
			list = append(list, [2]string{name, string(v)})
		}
	}
	return list
}

// HopByHop reports whether a header, given in canonical form, applies to a
// single connection (RFC 9110, section 7.6.1) or is set by each sender itself.
func HopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Host", "Server", "Date":
		return true
	}
	return false
}
