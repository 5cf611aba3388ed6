package daemon

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/tcp"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/process/settings"
	"github.com/rosemaryloft/rosemaryloft/internal/request/web"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

const (
	// readTimeout bounds how long a client may take to send a request. It allows
	// for the largest body over a slow link; the adapters set shorter bounds.
	readTimeout = 60 * time.Second
	// idleTimeout closes connections that a client no longer uses.
	idleTimeout = 2 * time.Minute
	// maxBodySize is above every body limit that an entry may set. The adapters
	// enforce the lower limits.
	maxBodySize = 64 << 20
	// serverShare is the fraction of the process's descriptors that the HTTP servers
	// divide among them. The rest is for runners and files.
	serverShare = 0.6
)

// adapter serves a part of the HTTP interface.
type adapter interface {
	Handler(ctx *fasthttp.RequestCtx)
	// Matches reports whether the adapter serves a request.
	Matches(ctx *fasthttp.RequestCtx) bool
}

// prefixAdapter serves the paths that begin with one of its prefixes.
type prefixAdapter struct {
	handler  fasthttp.RequestHandler
	prefixes []string
}

// Handler implements adapter.
func (p prefixAdapter) Handler(ctx *fasthttp.RequestCtx) { p.handler(ctx) }

// Matches implements adapter.
func (p prefixAdapter) Matches(ctx *fasthttp.RequestCtx) bool {
	path := string(ctx.Path())
	for _, x := range p.prefixes {
		if len(path) >= len(x) && path[:len(x)] == x {
			return true
		}
	}
	return false
}

// server is an HTTP server on one address.
type server struct {
	http     *fasthttp.Server
	listener net.Listener
}

// matchOrder is the order in which the adapters of a server are tried. Operators
// come before callers, because both have routes under the path of jobs.
var matchOrder = []settings.Surface{settings.Platform, settings.Operators, settings.Callers, settings.Upstreams}

// listen opens the listeners of the configured HTTP servers. A server none of
// whose surfaces has an adapter is not opened.
func listen(servers []settings.Server, adapters map[settings.Surface]adapter, log event.Log) ([]*server, error) {
	var out []*server
	budget := int(serverShare*float64(tcp.DescriptorLimit())) / max(1, len(servers))
	for _, s := range servers {
		var serves []adapter
		for _, o := range matchOrder {
			for _, x := range s.Surfaces {
				if a, ok := adapters[x]; ok && x == o {
					serves = append(serves, a)
				}
			}
		}
		if len(serves) == 0 {
			continue
		}
		l, err := tcp.Listen(s.Address, tcp.NewBudget(s.Address.String(), budget), log)
		if err != nil {
			for _, open := range out {
				_ = open.listener.Close()
			}
			return nil, errors.Wrapf(err, "listen on %s", s.Address)
		}
		h := newServer(serves)
		h.ConnState = func(c net.Conn, s fasthttp.ConnState) {
			if c, ok := c.(countingConn); ok {
				l.Track(c.Conn, s)
			}
		}
		out = append(out, &server{http: h, listener: countingListener{l}})
	}
	return out, nil
}

func newServer(serves []adapter) *fasthttp.Server {
	return &fasthttp.Server{
		Name:                  "rosemaryloft",
		Handler:               dispatch(serves),
		StreamRequestBody:     true, // a body is read only after its key and length have been checked
		MaxRequestBodySize:    maxBodySize,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			web.Fail(ctx, web.Refuse(api.Malformed, "the request cannot be read: %v", err))
		},
	}
}

func dispatch(serves []adapter) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		for _, a := range serves {
			if a.Matches(ctx) {
				a.Handler(ctx)
				return
			}
		}
		web.Fail(ctx, web.Refuse(api.UnknownRoute, "there is no route %s %s", ctx.Method(), ctx.Path()))
	}
}

// serve runs the server until it is shut down.
func (s *server) serve() error { return s.http.Serve(s.listener) }

// shutdown closes the listener, answers the requests in flight, and closes idle
// connections.
func (s *server) shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }
