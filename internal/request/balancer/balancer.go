// Package balancer answers the load balancer and the monitoring of the platform
// on which the VMs run:
//
//   - GET /health answers 200 while the process runs. If this check fails, the
//     process should be restarted.
//   - GET /ready answers 200 while the process accepts requests, and 503 while
//     it is draining or its view of the catalogue has expired. The body states
//     the reason.
//   - GET /debug/vars returns the metrics of package expvar.
//   - GET /debug/vars answers the metrics of package expvar.
//
// # Usage
//
//	a := balancer.New(balancer.Options{Directory: link, Draining: draining.Load})
//	server := &fasthttp.Server{Handler: a.Handler}
package balancer

import (
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/request/web"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// Options configure New.
type Options struct {
	Directory control.Directory // nil for a process without the entry role
	Draining  func() bool       // nil means never
}

// Health is the body of the answers to /health and /ready.
type Health struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"` // why it is not ready
}

// Adapter handles requests from the platform. Use New to create one.
type Adapter struct{ options Options }

// New returns an Adapter.
func New(options Options) *Adapter {
	if options.Draining == nil {
		options.Draining = func() bool { return false }
	}
	return &Adapter{options: options}
}

// Matches reports whether a request is for this adapter. It is used by servers
// that several adapters share.
func (a *Adapter) Matches(ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Path()) {
	case "/health", "/ready", "/debug/vars":
		return true
	}
	return false
}

// Handler handles one request.
func (a *Adapter) Handler(ctx *fasthttp.RequestCtx) {
	if !ctx.IsGet() && !ctx.IsHead() {
		ctx.Response.Header.Set(fasthttp.HeaderAllow, "GET, HEAD")
		e := web.Refuse(api.UnknownRoute, "use GET")
		e.Status = fasthttp.StatusMethodNotAllowed
		web.Fail(ctx, e)
		return
	}
	switch string(ctx.Path()) {
	case "/health":
		web.JSON(ctx, fasthttp.StatusOK, a.ready())
	case "/ready":
		status, r := fasthttp.StatusOK, a.ready()
		if !r.Ready {
			status = fasthttp.StatusServiceUnavailable
		}
		web.JSON(ctx, status, r)
	case "/debug/vars":
		expvarhandler.ExpvarHandler(ctx)
	default:
		web.Fail(ctx, web.Refuse(api.UnknownRoute, "there is no route %s", ctx.Path()))
	}
}

func (a *Adapter) ready() Health {
	switch {
	case a.options.Draining():
		return Health{Reason: "the process is shutting down"}
	case a.options.Directory != nil && !a.options.Directory.Valid():
		return Health{Reason: "there is no valid view of the catalogue"}
	}
	return Health{Ready: true}
}
