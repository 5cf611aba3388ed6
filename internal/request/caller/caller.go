// Package caller is the HTTP adapter for callers. It handles service requests
// and jobs.
//
// # Usage
//
//	adapter := caller.New(caller.Options{Router: router, Directory: link, Leader: link})
//	server := fasthttp.Server{Handler: adapter.Handler, StreamRequestBody: true}
//
// Handler serves the paths below /v1/services/ and /v1/jobs. With
// StreamRequestBody, a body is read only after the key, the entry and the
// length have been checked. The adapter limits the number of requests in
// progress and the total size of the bodies in memory. Requests above these
// limits are refused at once.
package caller

import (
	"crypto/rand"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/upstream"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/request/route"
	"github.com/rosemaryloft/rosemaryloft/internal/request/web"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// Defaults of Options.
const (
	DefaultMaxRequests = 4096
	DefaultMaxBytes    = 256 << 20
)

const (
	servicesPrefix = "/v1/services/"
	jobsPath       = "/v1/jobs"
	// overloadRetryDelay is the time after which a request that exceeded the
	// limits may be retried.
	overloadRetryDelay = 200 * time.Millisecond
)

// Router routes service requests. *route.Router implements it.
type Router interface {
	Admit(key work.Key, entry string) (*route.Admission, *api.Error)
	Do(admission *route.Admission, request *route.Request) (*upstream.Answer, *api.Error)
}

// Options configures an Adapter.
type Options struct {
	Router    Router
	Directory control.Directory
	Leader    control.Leader
	Requests  int64 // maximum number of requests in progress; zero means DefaultMaxRequests
	Bytes     int64 // maximum total size of bodies in memory; zero means DefaultMaxBytes
	Now       func() time.Time
	Log       event.Log
}

// Adapter handles HTTP requests from callers.
type Adapter struct {
	options  Options
	requests atomic.Int64
	bytes    atomic.Int64
}

// New returns an Adapter.
func New(options Options) *Adapter {
	if options.Requests == 0 {
		options.Requests = DefaultMaxRequests
	}
	if options.Bytes == 0 {
		options.Bytes = DefaultMaxBytes
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Adapter{options: options}
}

// Handler handles one request from a caller.
func (a *Adapter) Handler(ctx *fasthttp.RequestCtx) {
	defer a.requests.Add(-1)
	if a.requests.Add(1) > a.options.Requests {
		a.answerError(ctx, a.overloaded("as many requests are being worked on as this entry VM takes"))
		return
	}
	path := string(ctx.URI().PathOriginal())
	switch {
	case strings.HasPrefix(path, servicesPrefix):
		a.service(ctx, path)
	case path == jobsPath || strings.HasPrefix(path, jobsPath+"/"):
		a.jobs(ctx, path)
	default:
		a.answerError(ctx, web.Refuse(api.UnknownRoute, "there is no route %s", path))
	}
}

func (a *Adapter) overloaded(message string) *api.Error {
	return web.RefuseUntil(a.options.Now().Add(overloadRetryDelay), api.Overloaded, "%s", message)
}

// answerError answers with an error, and closes the connection if the body may
// not have been read.
//
// A request with an Idempotency-Key that may be retried has not been looked up:
// an earlier attempt through another entry VM may have run it. The error
// therefore says that it is unknown whether the request has run.
func (a *Adapter) answerError(ctx *fasthttp.RequestCtx, e *api.Error) {
	if !e.Retry.IsZero() && e.Ran == api.RanNo && len(ctx.Request.Header.Peek(api.IdempotencyHeader)) > 0 {
		e.Ran = api.RanUnknown
	}
	web.CloseIfUnread(ctx)
	web.Fail(ctx, e)
}

// refuseService answers a service request that is refused before it is routed,
// and writes its log line. The router writes the log lines of all others.
func (a *Adapter) refuseService(ctx *fasthttp.RequestCtx, e *api.Error) {
	a.answerError(ctx, e)
	a.options.Log.Emit(event.RequestRefused, zap.ByteString("path", ctx.Path()), zap.Stringer("from", ctx.RemoteAddr()),
		zap.String("code", string(e.Code)), zap.String("ran", string(e.Ran)))
}

// service handles a service request.
func (a *Adapter) service(ctx *fasthttp.RequestCtx, path string) {
	now := a.options.Now()
	key, fail := web.Authorize(ctx, a.options.Directory, work.CallerRole)
	if fail != nil {
		a.refuseService(ctx, fail)
		return
	}
	entry, rest, fail := splitServicePath(path, string(ctx.Path()))
	if fail != nil {
		a.refuseService(ctx, fail)
		return
	}
	admission, fail := a.options.Router.Admit(key, entry)
	if fail != nil {
		a.refuseService(ctx, fail)
		return
	}
	request, fail := readRequest(ctx, rest, now)
	if fail != nil {
		a.refuseService(ctx, fail)
		return
	}
	body, reserved, fail := a.readBody(ctx, admission.BodyLimit())
	defer a.bytes.Add(-reserved)
	if fail != nil {
		a.refuseService(ctx, fail)
		return
	}
	request.Body = body
	answer, fail := a.options.Router.Do(admission, request)
	if fail != nil {
		web.Fail(ctx, fail)
		return
	}
	writeAnswer(ctx, answer)
}

// splitServicePath returns the catalogue entry of a service path and the path
// within the service. It refuses a path that leaves the service's prefix through
// dot segments.
func splitServicePath(path, normalized string) (entry, rest string, fail *api.Error) {
	entry, rest, _ = strings.Cut(path[len(servicesPrefix):], "/")
	if fail := web.CheckName(entry); fail != nil {
		return "", "", fail
	}
	if prefix := servicesPrefix + entry; normalized != prefix && !strings.HasPrefix(normalized, prefix+"/") {
		return "", "", web.Refuse(api.Malformed, "the path leaves the service")
	}
	return entry, "/" + rest, nil
}

// readRequest reads the request without its body.
func readRequest(ctx *fasthttp.RequestCtx, path string, now time.Time) (*route.Request, *api.Error) {
	identity, fail := web.IdempotencyKey(ctx)
	if fail != nil {
		return nil, fail
	}
	deadline, fail := web.Deadline(ctx, now, upstream.RequestTimeout)
	if fail != nil {
		return nil, fail
	}
	r := &route.Request{
		Method: string(ctx.Method()), Path: path, Query: string(ctx.URI().QueryString()),
		Identity: identity, Deadline: deadline,
	}
	connectionOptions := string(ctx.Request.Header.Peek(fasthttp.HeaderConnection))
	for k, v := range ctx.Request.Header.All() {
		if name := string(k); forwardHeader(name, connectionOptions) {
			r.Header = append(r.Header, [2]string{name, string(v)})
		}
	}
	return r, nil
}

// forwardHeader reports whether a request header is passed to the runner. The
// key's secret, hop-by-hop headers, headers listed in Connection, and headers
// that the system sets itself are not passed.
func forwardHeader(name, connectionOptions string) bool {
	switch name {
	case fasthttp.HeaderAuthorization, fasthttp.HeaderExpect, api.TimeoutHeader, api.RequestHeader:
		return false
	}
	if upstream.HopByHop(name) {
		return false
	}
	for option := range strings.SplitSeq(connectionOptions, ",") {
		if strings.EqualFold(strings.TrimSpace(option), name) {
			return false
		}
	}
	return true
}

// readBody reads the body, up to limit bytes. It also returns the number of bytes
// that count as held in memory until the request has ended.
func (a *Adapter) readBody(ctx *fasthttp.RequestCtx, limit int64) (body []byte, reserved int64, fail *api.Error) {
	length := int64(ctx.Request.Header.ContentLength())
	if !ctx.Request.IsBodyStream() {
		length = int64(len(ctx.PostBody()))
	}
	if length > limit {
		return nil, 0, web.Refuse(api.TooLarge, "the body has %d bytes, %d are allowed", length, limit)
	}
	reserved = length
	if length < 0 { // chunked
		reserved = limit
	}
	if a.bytes.Add(reserved) > a.options.Bytes {
		return nil, reserved, a.overloaded("as many bytes are held as this entry VM takes")
	}
	body, fail = web.Body(ctx, limit)
	return body, reserved, fail
}

// writeAnswer answers with a runner's answer.
func writeAnswer(ctx *fasthttp.RequestCtx, answer *upstream.Answer) {
	ctx.Response.ResetBody()
	ctx.Response.Header.SetNoDefaultContentType(true)
	ctx.SetStatusCode(answer.Status)
	for _, h := range answer.Header {
		ctx.Response.Header.Add(h[0], h[1])
	}
	ctx.Response.SetBodyRaw(answer.Body)
	if ctx.IsHead() {
		ctx.Response.SkipBody = true // keeps the runner's Content-Length
	}
}

// randomID returns an identity for a request that came without an
// Idempotency-Key.
func randomID() string { return rand.Text() }
