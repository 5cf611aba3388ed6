package balancer

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
)

type directory struct {
	control.Directory
	deadline, now time.Time
}

func (d directory) Valid() bool { return d.now.Before(d.deadline) }

// Guards against a load balancer that sends requests to a process that would
// refuse them all, and against restarting a process that is only draining.
func TestReady(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		deadline time.Time
		draining bool
		want     int
	}{
		{now.Add(time.Second), false, 200},
		{now, false, 503},
		{time.Time{}, false, 503},
		{now.Add(time.Second), true, 503},
	} {
		is := is.New(t)
		a := New(Options{
			Directory: directory{deadline: c.deadline, now: now}, Draining: func() bool { return c.draining },
		})
		var ctx fasthttp.RequestCtx
		ctx.Request.SetRequestURI("/ready")
		a.Handler(&ctx)
		is.Equal(ctx.Response.StatusCode(), c.want)
		var h Health
		is.NoErr(json.Unmarshal(ctx.Response.Body(), &h))
		is.Equal(h.Ready, c.want == 200)
		ctx.Request.SetRequestURI("/health")
		a.Handler(&ctx)
		is.Equal(ctx.Response.StatusCode(), 200)
	}
}

// Guards against missing routes and against routes that accept other methods.
func TestRoutes(t *testing.T) {
	is := is.New(t)
	a := New(Options{})
	for _, c := range []struct {
		method, path string
		want         int
	}{
		{"GET", "/ready", 200}, {"HEAD", "/ready", 200}, {"GET", "/debug/vars", 200}, {"POST", "/ready", 405}, {"GET", "/", 404},
	} {
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetMethod(c.method)
		ctx.Request.SetRequestURI(c.path)
		a.Handler(&ctx)
		is.Equal(ctx.Response.StatusCode(), c.want)
		is.Equal(a.Matches(&ctx), c.path != "/")
	}
}
