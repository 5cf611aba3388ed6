// Package web holds what the HTTP adapters share: JSON answers, errors in the
// form of api.Error, strict decoding of bodies, and the headers that carry
// keys, request identities and deadlines.
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
// Functions that can fail return a *api.Error with its status set, so that an
// adapter can hand it to Fail as it is.
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
	// MaximumIdentity is the longest Idempotency-Key, in bytes.
	MaximumIdentity = 128
	// MaximumName is the longest name of a catalogue object, in bytes. It is
	// the longest label of a DNS name.
	MaximumName = 63
	// ElectionRetry is when a request that found no leader is worth a resend.
	// An election takes 1 to 3 s.
	ElectionRetry = time.Second
	// maximumWait is the longest deadline that a caller may ask for, in seconds.
	maximumWait = 3600
)

// statuses gives the HTTP status of each code.
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

// Status returns the HTTP status of a code, 500 if the code is not known.
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

// RefuseUntil is Refuse with the time at which a resend makes sense.
func RefuseUntil(retry time.Time, code api.Code, format string, arguments ...any) *api.Error {
	e := Refuse(code, format, arguments...)
	e.Retry = retry
	return e
}

// Unknown returns an error for a request that may have run.
func Unknown(code api.Code, format string, arguments ...any) *api.Error {
	e := Refuse(code, format, arguments...)
	e.Ran = api.RanUnknown
	return e
}

// JSON answers with a status and a body.
func JSON(ctx *fasthttp.RequestCtx, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		Fail(ctx, Unknown(api.Internal, "the answer cannot be encoded: %v", err))
		return
	}
	ctx.Response.ResetBody()
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(b, '\n'))
}

// Fail answers with an error. A status of zero is replaced by the code's.
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

// Bearer returns the secret in the Authorization header, empty if there is none.
func Bearer(ctx *fasthttp.RequestCtx) string {
	h := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	scheme, secret, ok := strings.Cut(h, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(secret)
}

// Authorize returns the key that came with a request if it has one of the
// roles. Without any role, each key is accepted.
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
		return work.Key{}, Control(err)
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

// Control turns an error of a control.Leader or control.Directory into an
// api.Error. ErrUnknown, and any error it does not know, count as "may have run".
func Control(err error) *api.Error {
	switch {
	case errors.Is(err, control.ErrStale):
		return RefuseUntil(time.Now().Add(ElectionRetry), api.Stale, "this entry VM has lost contact with the control group; try another one")
	case errors.Is(err, control.ErrNoLeader):
		return RefuseUntil(time.Now().Add(ElectionRetry), api.NoLeader, "the control group has no leader now")
	case errors.Is(err, control.ErrNotFound):
		return Refuse(api.UnknownObject, "not found")
	case errors.Is(err, control.ErrUnknown):
		e := Unknown(api.Timeout, "the change may or may not have been made; resend it with the same %s", api.IdempotencyHeader)
		e.Retry = time.Now().Add(ElectionRetry)
		return e
	}
	return Unknown(api.Internal, "%v", err)
}

// Identity returns the Idempotency-Key of a request, empty if there is none.
func Identity(ctx *fasthttp.RequestCtx) (string, *api.Error) {
	id := string(ctx.Request.Header.Peek(api.IdempotencyHeader))
	if len(id) > MaximumIdentity {
		return "", Refuse(api.Malformed, "%s is longer than %d bytes", api.IdempotencyHeader, MaximumIdentity)
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return "", Refuse(api.Malformed, "%s holds a byte that is not printable ASCII", api.IdempotencyHeader)
		}
	}
	return id, nil
}

// Deadline returns when the caller of a request that came at now stops
// waiting: after Request-Timeout seconds, or after standard if it sent none.
func Deadline(ctx *fasthttp.RequestCtx, now time.Time, standard time.Duration) (time.Time, *api.Error) {
	h := ctx.Request.Header.Peek(api.TimeoutHeader)
	if len(h) == 0 {
		return now.Add(standard), nil
	}
	s, err := fasthttp.ParseUfloat(h)
	if err != nil || !(s > 0 && s <= maximumWait) {
		return time.Time{}, Refuse(api.Malformed, "%s must be a number of seconds above 0 and up to %d", api.TimeoutHeader, maximumWait)
	}
	return now.Add(time.Duration(s * float64(time.Second))), nil
}

// Decode reads a JSON body strictly: fields that the type does not have, and
// anything after the first value, are refused. The error names the field.
func Decode(body []byte, into any) *api.Error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return Refuse(api.Malformed, "%s", explain(err))
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return Refuse(api.Malformed, "the body goes on after the JSON value")
	}
	return nil
}

// explain words an error of the JSON decoder for the sender of the body.
func explain(err error) string {
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

// Segments splits a path at its slashes, without the empty first one. An empty
// segment, as in "/v1//jobs", makes the path match no route: the result is nil.
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

// Name checks a name of an object: lower-case letters, digits, "-", "_" and
// ".", starting with a letter or digit, at most MaximumName bytes.
func Name(name string) *api.Error {
	if name == "" || len(name) > MaximumName {
		return Refuse(api.Malformed, "a name must have 1 to %d bytes", MaximumName)
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
