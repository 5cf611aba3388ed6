// Package caller is the HTTP adapter for callers: service requests and jobs.
//
// # Usage
//
//	adapter := caller.New(caller.Options{Router: router, Directory: link, Leader: link})
//	server := fasthttp.Server{Handler: adapter.Handler, StreamRequestBody: true}
//
// Handler serves the paths below /v1/services/ and /v1/jobs. With
// StreamRequestBody a body is read only after its key, entry and length were
// checked. The adapter bounds the requests that it works on and the bytes of
// bodies that it holds; beyond that, requests are refused at once.
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
	DefaultRequests = 4096
	DefaultBytes    = 256 << 20
)

const (
	services  = "/v1/services/"
	jobsRoute = "/v1/jobs"
	// busyRetry is when a request that exceeded the bounds may come back.
	busyRetry = 200 * time.Millisecond
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
	Requests  int64 // most requests worked on at once; zero means DefaultRequests
	Bytes     int64 // most bytes of bodies held at once; zero means DefaultBytes
	Now       func() time.Time
	Log       event.Log
}

// Adapter serves callers.
type Adapter struct {
	options  Options
	requests atomic.Int64
	bytes    atomic.Int64
}

// New returns an Adapter.
func New(options Options) *Adapter {
	if options.Requests == 0 {
		options.Requests = DefaultRequests
	}
	if options.Bytes == 0 {
		options.Bytes = DefaultBytes
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Adapter{options: options}
}

// Handler serves one request of a caller.
func (a *Adapter) Handler(ctx *fasthttp.RequestCtx) {
	defer a.requests.Add(-1)
	if a.requests.Add(1) > a.options.Requests {
		a.fail(ctx, a.busy("as many requests are being worked on as this entry VM takes"))
		return
	}
	path := string(ctx.URI().PathOriginal())
	switch {
	case strings.HasPrefix(path, services):
		a.service(ctx, path)
	case path == jobsRoute || strings.HasPrefix(path, jobsRoute+"/"):
		a.jobs(ctx, path)
	default:
		a.fail(ctx, web.Refuse(api.UnknownRoute, "there is no route %s", path))
	}
}

func (a *Adapter) busy(message string) *api.Error {
	return web.RefuseUntil(a.options.Now().Add(busyRetry), api.Overloaded, "%s", message)
}

// fail answers with an error, without the body having been read.
//
// A request with an idempotency key that may come back has not been looked up:
// an earlier attempt through another entry VM may have run it.
func (a *Adapter) fail(ctx *fasthttp.RequestCtx, e *api.Error) {
	if !e.Retry.IsZero() && e.Ran == api.RanNo && len(ctx.Request.Header.Peek(api.IdempotencyHeader)) > 0 {
		e.Ran = api.RanUnknown
	}
	web.Abandon(ctx)
	web.Fail(ctx, e)
}

// refuse answers a service request that is refused before it is routed, and
// writes its log line; the router writes those of all others.
func (a *Adapter) refuse(ctx *fasthttp.RequestCtx, e *api.Error) {
	a.fail(ctx, e)
	a.options.Log.Emit(event.RequestRefused, zap.ByteString("path", ctx.Path()), zap.Stringer("from", ctx.RemoteAddr()),
		zap.String("code", string(e.Code)), zap.String("ran", string(e.Ran)))
}

// service serves a request to a service.
func (a *Adapter) service(ctx *fasthttp.RequestCtx, path string) {
	now := a.options.Now()
	key, fail := web.Authorize(ctx, a.options.Directory, work.CallerRole)
	if fail != nil {
		a.refuse(ctx, fail)
		return
	}
	entry, rest, fail := split(path, string(ctx.Path()))
	if fail != nil {
		a.refuse(ctx, fail)
		return
	}
	admission, fail := a.options.Router.Admit(key, entry)
	if fail != nil {
		a.refuse(ctx, fail)
		return
	}
	request, fail := request(ctx, rest, now)
	if fail != nil {
		a.refuse(ctx, fail)
		return
	}
	body, held, fail := a.body(ctx, admission.Limit())
	defer a.bytes.Add(-held)
	if fail != nil {
		a.refuse(ctx, fail)
		return
	}
	request.Body = body
	answer, fail := a.options.Router.Do(admission, request)
	if fail != nil {
		web.Fail(ctx, fail)
		return
	}
	write(ctx, answer)
}

// split returns the entry of a service path and the path at the service. A path
// that leaves its prefix through dot segments is refused.
func split(path, clean string) (entry, rest string, fail *api.Error) {
	entry, rest, _ = strings.Cut(path[len(services):], "/")
	if fail := web.Name(entry); fail != nil {
		return "", "", fail
	}
	if prefix := services + entry; clean != prefix && !strings.HasPrefix(clean, prefix+"/") {
		return "", "", web.Refuse(api.Malformed, "the path leaves the service")
	}
	return entry, "/" + rest, nil
}

// request reads everything but the body.
func request(ctx *fasthttp.RequestCtx, path string, now time.Time) (*route.Request, *api.Error) {
	identity, fail := web.Identity(ctx)
	if fail != nil {
		return nil, fail
	}
	deadline, fail := web.Deadline(ctx, now, upstream.RequestTime)
	if fail != nil {
		return nil, fail
	}
	r := &route.Request{
		Method: string(ctx.Method()), Path: path, Query: string(ctx.URI().QueryString()),
		Identity: identity, Deadline: deadline,
	}
	listed := string(ctx.Request.Header.Peek(fasthttp.HeaderConnection))
	for k, v := range ctx.Request.Header.All() {
		if name := string(k); passed(name, listed) {
			r.Header = append(r.Header, [2]string{name, string(v)})
		}
	}
	return r, nil
}

// passed reports whether a request header goes to the runner. The key's secret
// does not, and the headers that the system sets itself are set anew.
func passed(name, listed string) bool {
	switch name {
	case fasthttp.HeaderAuthorization, fasthttp.HeaderExpect, api.TimeoutHeader, api.RequestHeader:
		return false
	}
	if upstream.HopByHop(name) {
		return false
	}
	for option := range strings.SplitSeq(listed, ",") {
		if strings.EqualFold(strings.TrimSpace(option), name) {
			return false
		}
	}
	return true
}

// body reads the body up to limit. It also returns the bytes that count as held
// until the request is over.
func (a *Adapter) body(ctx *fasthttp.RequestCtx, limit int64) (body []byte, held int64, fail *api.Error) {
	length := int64(ctx.Request.Header.ContentLength())
	if !ctx.Request.IsBodyStream() {
		length = int64(len(ctx.PostBody()))
	}
	if length > limit {
		return nil, 0, web.Refuse(api.TooLarge, "the body has %d bytes, %d are allowed", length, limit)
	}
	held = length
	if length < 0 { // chunked
		held = limit
	}
	if a.bytes.Add(held) > a.options.Bytes {
		return nil, held, a.busy("as many bytes are held as this entry VM takes")
	}
	body, fail = web.Body(ctx, limit)
	return body, held, fail
}

// write answers with a runner's answer.
func write(ctx *fasthttp.RequestCtx, answer *upstream.Answer) {
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

// random returns an identity for a request that came without one.
func random() string { return rand.Text() }
