package peer

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors of a call.
var (
	// ErrNotSent tells that no byte of the request can have reached the other side.
	ErrNotSent = errors.New("not sent")
	// ErrUnknown tells that the request may have been served.
	ErrUnknown = errors.New("the outcome of the call is not known")
)

// Remote is an error that the other side's handler returned.
type Remote struct {
	Code    string
	Message string
}

// Error returns the message.
func (r *Remote) Error() string { return r.Message }

// Decode reads the body of a call into a value.
type Decode func(into any) error

// Handler serves one method. The returned value is encoded as the answer. Name
// is the caller's, as its certificate states it. A *Remote error reaches the
// caller as it is; any other error reaches it with the code "internal".
type Handler func(ctx context.Context, name string, decode Decode) (any, error)

// Mux registers handlers.
type Mux interface {
	Handle(method string, handler Handler)
}

// Caller calls methods of other processes by their name in the settings. A
// call to the process's own name reaches its own handler.
type Caller interface {
	// Call sends request and reads the answer into response. It fails with
	// ErrNotSent, ErrUnknown or a *Remote error.
	Call(ctx context.Context, to, method string, request, response any) error
}
