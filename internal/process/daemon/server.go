package daemon

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/internal/process/settings"
	"github.com/rosemaryloft/rosemaryloft/internal/request/web"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

const (
	// headerTime bounds how long a client may take to send a request. It is
	// above the largest body over a slow link; the adapters set shorter bounds.
	headerTime = 60 * time.Second
	// idleTime ends connections that a client has forgotten.
	idleTime = 2 * time.Minute
	// maximumBody is above every body limit that an entry may set; the
	// adapters refuse smaller ones by their own rules.
	maximumBody = 64 << 20
)

// adapter serves a part of the HTTP interface.
type adapter interface {
	Handler(ctx *fasthttp.RequestCtx)
	// Matches reports whether a request is for the adapter.
	Matches(ctx *fasthttp.RequestCtx) bool
}

// prefixed is an adapter that serves the paths below some prefixes.
type prefixed struct {
	handler  fasthttp.RequestHandler
	prefixes []string
}

// Handler implements adapter.
func (p prefixed) Handler(ctx *fasthttp.RequestCtx) { p.handler(ctx) }

// Matches implements adapter.
func (p prefixed) Matches(ctx *fasthttp.RequestCtx) bool {
	path := string(ctx.Path())
	for _, x := range p.prefixes {
		if len(path) >= len(x) && path[:len(x)] == x {
			return true
		}
	}
	return false
}

// server is one HTTP server on one address.
type server struct {
	http     *fasthttp.Server
	listener net.Listener
}

// order is the order in which adapters are asked whether a request is theirs.
// Operators come before callers, who share the path of jobs.
var order = []settings.Surface{settings.Platform, settings.Operators, settings.Callers, settings.Upstreams}

// listen opens the HTTP servers of the settings. Surfaces without an adapter
// are not served.
func listen(servers []settings.Server, adapters map[settings.Surface]adapter) ([]*server, error) {
	var out []*server
	for _, s := range servers {
		var serves []adapter
		for _, o := range order {
			for _, x := range s.Surfaces {
				if a, ok := adapters[x]; ok && x == o {
					serves = append(serves, a)
				}
			}
		}
		if len(serves) == 0 {
			continue
		}
		l, err := net.Listen("tcp", s.Address.String())
		if err != nil {
			for _, open := range out {
				_ = open.listener.Close()
			}
			return nil, errors.Wrapf(err, "listen on %s", s.Address)
		}
		out = append(out, &server{http: newServer(serves), listener: countedListener{l}})
	}
	return out, nil
}

func newServer(serves []adapter) *fasthttp.Server {
	return &fasthttp.Server{
		Name:                  "rosemaryloft",
		Handler:               dispatch(serves),
		StreamRequestBody:     true, // a body is read only after its key and length were checked
		MaxRequestBodySize:    maximumBody,
		ReadTimeout:           headerTime,
		IdleTimeout:           idleTime,
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

// shutdown closes the listener, answers requests in flight and closes idle
// connections.
func (s *server) shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }
