// Package web holds what the HTTP adapters share: JSON answers, api.Error
// answers, strict decoding of bodies, and the headers that carry keys,
// Idempotency-Keys and deadlines.
//
// # Usage
//
//	func (a *Adapter) Handler(ctx *fasthttp.RequestCtx) {
//		key, fail := web.Authorize(ctx, a.directory, work.CallerRole)
//		if fail != nil {
//			web.Fail(ctx, fail)
//			return
//		}
//		var body api.Submission
//		if fail := web.Decode(ctx.PostBody(), &body); fail != nil {
//			web.Fail(ctx, fail)
//			return
//		}
//		...
//		web.JSON(ctx, fasthttp.StatusOK, answer)
//	}
//
// Functions that can fail return an *api.Error with its status set, so that an
// adapter can pass it to Fail unchanged.
package web

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

const (
	// MaxIdentityBytes is the maximum length of an Idempotency-Key.
	MaxIdentityBytes = 128
	// MaxNameBytes is the maximum length of the name of a catalogue object. It
	// equals the maximum length of a label in a DNS name.
	MaxNameBytes = 63
	// LeaderRetryDelay is the delay after which a request that found no leader
	// may be retried. An election takes 1 to 3 s.
	LeaderRetryDelay = time.Second
	// maxTimeoutSeconds is the longest timeout that a caller may request.
	maxTimeoutSeconds = 3600
)

// statuses maps each error code to its HTTP status.
var statuses = map[api.Code]int{
	api.Malformed:     fasthttp.StatusBadRequest,
	api.Unauthorized:  fasthttp.StatusUnauthorized,
	api.Forbidden:     fasthttp.StatusForbidden,
	api.UnknownEntry:  fasthttp.StatusNotFound,
	api.UnknownJob:    fasthttp.StatusNotFound,
	api.UnknownObject: fasthttp.StatusNotFound,
	api.UnknownRoute:  fasthttp.StatusNotFound,
	api.Conflict:      fasthttp.StatusConflict,
	api.Mismatch:      fasthttp.StatusConflict,
	api.InProgress:    fasthttp.StatusConflict,
	api.TooLarge:      fasthttp.StatusRequestEntityTooLarge,
	api.Infeasible:    fasthttp.StatusUnprocessableEntity,
	api.Limited:       fasthttp.StatusTooManyRequests,
	api.Overloaded:    fasthttp.StatusServiceUnavailable,
	api.NoUpstream:    fasthttp.StatusServiceUnavailable,
	api.Stale:         fasthttp.StatusServiceUnavailable,
	api.NoLeader:      fasthttp.StatusServiceUnavailable,
	api.Draining:      fasthttp.StatusServiceUnavailable,
	api.BadAnswer:     fasthttp.StatusBadGateway,
	api.Timeout:       fasthttp.StatusGatewayTimeout,
	api.Internal:      fasthttp.StatusInternalServerError,
}

// Status returns the HTTP status of a code, or 500 if the code is unknown.
func Status(code api.Code) int {
	if s, ok := statuses[code]; ok {
		return s
	}
	return fasthttp.StatusInternalServerError
}

// Refuse returns an error for a request that did not run.
func Refuse(code api.Code, format string, arguments ...any) *api.Error {
	return &api.Error{Status: Status(code), Code: code, Message: fmt.Sprintf(format, arguments...), Ran: api.RanNo}
}

// RefuseUntil is Refuse with the time from which the request may be retried.
func RefuseUntil(retry time.Time, code api.Code, format string, arguments ...any) *api.Error {
	e := Refuse(code, format, arguments...)
	e.Retry = retry
	return e
}

// OutcomeUnknown returns an error for a request that may have run.
func OutcomeUnknown(code api.Code, format string, arguments ...any) *api.Error {
	e := Refuse(code, format, arguments...)
	e.Ran = api.RanUnknown
	return e
}

// JSON answers with a status and a JSON body.
func JSON(ctx *fasthttp.RequestCtx, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		Fail(ctx, OutcomeUnknown(api.Internal, "the answer cannot be encoded: %v", err))
		return
	}
	ctx.Response.ResetBody()
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(b, '\n'))
}

// Fail answers with an error. If its status is zero, that of its code is used.
func Fail(ctx *fasthttp.RequestCtx, e *api.Error) {
	status := e.Status
	if status == 0 {
		status = Status(e.Code)
	}
	if status == fasthttp.StatusUnauthorized {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	}
	if !e.Retry.IsZero() {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, e.Retry.UTC().Format(http.TimeFormat))
	}
	JSON(ctx, status, e)
}

// Bearer returns the secret in the Authorization header, or "" if there is none.
func Bearer(ctx *fasthttp.RequestCtx) string {
	h := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	scheme, secret, ok := strings.Cut(h, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(secret)
}

// Authorize returns the key of a request if the key has one of the roles. If no
// role is given, every valid key is accepted.
func Authorize(ctx *fasthttp.RequestCtx, directory control.Directory, roles ...work.Role) (work.Key, *api.Error) {
	secret := Bearer(ctx)
	if secret == "" {
		return work.Key{}, Refuse(api.Unauthorized, "the request has no key: send Authorization: Bearer KEY")
	}
	k, err := directory.Key(secret)
	switch {
	case errors.Is(err, control.ErrNotFound):
		return work.Key{}, Refuse(api.Unauthorized, "the key is not known or was withdrawn")
	case err != nil:
		return work.Key{}, ControlError(err)
	}
	if len(roles) == 0 {
		return k, nil
	}
	for _, r := range roles {
		if k.Role == r {
			return k, nil
		}
	}
	return work.Key{}, Refuse(api.Forbidden, "a key of role %s may not do this", k.Role)
}

// ControlError converts an error of a control.Leader or control.Directory to an
// api.Error. For ErrUnknown and for any other unexpected error, the request may
// have run.
func ControlError(err error) *api.Error {
	switch {
	case errors.Is(err, control.ErrStale):
		return RefuseUntil(time.Now().Add(LeaderRetryDelay), api.Stale, "this entry VM has lost contact with the control group; try another one")
	case errors.Is(err, control.ErrNoLeader):
		return RefuseUntil(time.Now().Add(LeaderRetryDelay), api.NoLeader, "the control group has no leader now")
	case errors.Is(err, control.ErrNotFound):
		return Refuse(api.UnknownObject, "not found")
	case errors.Is(err, control.ErrUnknown):
		e := OutcomeUnknown(api.Timeout, "the change may or may not have been made; resend it with the same %s", api.IdempotencyHeader)
		e.Retry = time.Now().Add(LeaderRetryDelay)
		return e
	}
	return OutcomeUnknown(api.Internal, "%v", err)
}

// IdempotencyKey returns the Idempotency-Key of a request, or "" if there is
// none.
func IdempotencyKey(ctx *fasthttp.RequestCtx) (string, *api.Error) {
	id := string(ctx.Request.Header.Peek(api.IdempotencyHeader))
	if len(id) > MaxIdentityBytes {
		return "", Refuse(api.Malformed, "%s is longer than %d bytes", api.IdempotencyHeader, MaxIdentityBytes)
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return "", Refuse(api.Malformed, "%s holds a byte that is not printable ASCII", api.IdempotencyHeader)
		}
	}
	return id, nil
}

// Deadline returns the deadline of a request that arrived at now: Request-Timeout
// seconds later, or fallback later if the request has no such header.
func Deadline(ctx *fasthttp.RequestCtx, now time.Time, fallback time.Duration) (time.Time, *api.Error) {
	h := ctx.Request.Header.Peek(api.TimeoutHeader)
	if len(h) == 0 {
		return now.Add(fallback), nil
	}
	s, err := fasthttp.ParseUfloat(h)
	if err != nil || !(s > 0 && s <= maxTimeoutSeconds) {
		return time.Time{}, Refuse(api.Malformed, "%s must be a number of seconds above 0 and up to %d", api.TimeoutHeader, maxTimeoutSeconds)
	}
	return now.Add(time.Duration(s * float64(time.Second))), nil
}

// Decode decodes a JSON body strictly. It refuses unknown fields and anything
// after the first value. The error names the field.
func Decode(body []byte, into any) *api.Error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return Refuse(api.Malformed, "%s", decodeErrorText(err))
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return Refuse(api.Malformed, "the body goes on after the JSON value")
	}
	return nil
}

// decodeErrorText describes an error of the JSON decoder for the client.
func decodeErrorText(err error) string {
	var kind *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.Is(err, io.EOF):
		return "the body is empty; a JSON object is expected"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "the JSON body is cut short"
	case errors.As(err, &kind):
		return fmt.Sprintf("field %q cannot hold a JSON %s", kind.Field, kind.Value)
	case errors.As(err, &syntax):
		return fmt.Sprintf("the body is not JSON, at byte %d: %v", syntax.Offset, syntax)
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}

// Segments splits a path at its slashes, without the empty first segment. It
// returns nil for a path with another empty segment, such as "/v1//jobs", so
// that it matches no route.
func Segments(path []byte) []string {
	if len(path) == 0 || path[0] != '/' {
		return nil
	}
	s := strings.Split(string(path[1:]), "/")
	for _, p := range s {
		if p == "" {
			return nil
		}
	}
	return s
}

// CheckName checks the name of an object: lower-case letters, digits, "-", "_"
// and ".", starting with a letter or digit, at most MaxNameBytes long.
func CheckName(name string) *api.Error {
	if name == "" || len(name) > MaxNameBytes {
		return Refuse(api.Malformed, "a name must have 1 to %d bytes", MaxNameBytes)
	}
	for i, c := range []byte(name) {
		switch {
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9':
		case i > 0 && (c == '-' || c == '_' || c == '.'):
		default:
			return Refuse(api.Malformed, "name %q: only lower-case letters, digits, '-', '_' and '.' may stand in a name, and it starts with a letter or digit", name)
		}
	}
	return nil
}
