package peer

import "context"

// Decode reads the body of a call into a value.
type Decode func(into any) error

// Handler serves one method. The returned value is encoded as the answer.
// Name is the caller's, as its certificate states it.
type Handler func(ctx context.Context, name string, decode Decode) (any, error)

// Caller calls methods of other processes by their name in the settings.
type Caller interface {
	// Call sends request and reads the answer into response. An error that is
	// ErrNotSent tells that no byte of the request can have reached the other
	// side; ErrUnknown that the outcome is not known; a *Remote error is the
	// other side's answer.
	Call(ctx context.Context, to, method string, request, response any) error
}
