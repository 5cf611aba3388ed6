package client

import (
	"context"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// Control calls the operators' interface of the control processes of a cell on a platform. All
// its calls may be repeated, so that one without an answer is sent to the next address.
type Control struct{ client *Client }

// NewControl returns a Control for the addresses in the options. It does not connect yet.
func NewControl(options Options) (*Control, error) {
	c, err := New(options)
	if err != nil {
		return nil, err
	}
	c.plainErrors = true
	return &Control{c}, nil
}

// GetControl makes a GET request to a control process and decodes the response.
func GetControl[T any](ctx context.Context, c *Control, path string) (T, error) {
	return get[T](ctx, c.client, path)
}

// SendControl makes a request with a body, which may be nil, and decodes the response.
func SendControl[T any](ctx context.Context, c *Control, method, path string, body any) (T, error) {
	return callJSON[T](ctx, c.client, call{method: method, path: path, retrySafe: true}, body)
}

// plainError returns the error of a control process, whose body is a text.
func plainError(status int, body []byte) *api.Error {
	e := &api.Error{Code: api.Internal, Message: strings.TrimSpace(string(body)), Ran: api.RanNo}
	switch status {
	case fasthttp.StatusBadRequest, fasthttp.StatusMethodNotAllowed, fasthttp.StatusRequestEntityTooLarge:
		e.Code = api.Malformed
	case fasthttp.StatusNotFound:
		e.Code = api.UnknownObject
	case fasthttp.StatusTooManyRequests:
		e.Code = api.Limited
	case fasthttp.StatusServiceUnavailable:
		e.Code = api.NoLeader
	case fasthttp.StatusGatewayTimeout:
		e.Code, e.Ran = api.Timeout, api.RanUnknown
	default:
		e.Ran = api.RanUnknown
	}
	return e
}
