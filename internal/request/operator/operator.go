// Package operator serves the operators' part of the HTTP interface:
//
//	GET    /v1/catalogue
//	PUT    /v1/catalogue/teams/{name}
//	PUT    /v1/catalogue/entries/{name}
//	GET    /v1/keys
//	PUT    /v1/keys/{name}
//	GET    /v1/workers
//	POST   /v1/workers/{name}/drain, /v1/workers/{name}/undrain
//	GET    /v1/upstreams, /v1/queues, /v1/status, /v1/members
//	DELETE /v1/members/{name}
//	GET    /v1/jobs              with ?entry=, ?team= and ?state=
//	GET    /v1/jobs/{id}, /v1/jobs/{id}/explain
//	DELETE /v1/jobs/{id}
//
// A change carries the version that it is based on, zero for a new object. If
// that is not the current version any more, the answer is a conflict that
// names the current one. A change with an Idempotency-Key can be resent
// through any entry VM and gets the first result.
//
// # Usage
//
//	a := operator.New(operator.Options{Leader: link, Directory: link, Digests: s.Operators, Log: log})
//	server := &fasthttp.Server{Handler: a.Handler}
//
// # Secrets of keys
//
// A key's secret is made here and is only in the answer to its creation. With
// an Idempotency-Key, the secret is derived from the operator's own secret,
// the Idempotency-Key and the change, so that a resend through any entry VM
// gets the same secret while none of them stores it: the log holds only
// digests. Without one, the secret is random and a resend meets a conflict.
package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/process/settings"
	"github.com/rosemaryloft/rosemaryloft/internal/request/web"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

const (
	// standardWait is how long a request may take if it states no deadline. It
	// covers an election and the commit after it.
	standardWait = 10 * time.Second
	// maximumBody bounds a request body, in bytes. An object of the catalogue
	// has a few hundred.
	maximumBody = 64 << 10
	// wildcard stands for a name in a route.
	wildcard = "*"
)

// Members changes the membership of the control group.
type Members interface {
	// RemoveMember removes a replica. It fails with control.ErrNotFound,
	// control.ErrNoLeader or control.ErrUnknown.
	RemoveMember(ctx context.Context, name string) error
}

// Options configure New.
type Options struct {
	Leader    control.Leader
	Directory control.Directory
	Members   Members           // nil if membership cannot be changed through this process
	Digests   []settings.Digest // of operator keys that are valid without the catalogue
	Log       event.Log
	Now       func() time.Time // nil means time.Now
}

// Adapter serves operators. Use New.
type Adapter struct {
	options Options
	routes  []route
}

// route is one method on one path. The path's wildcard segment is the name.
type route struct {
	method string
	path   []string
	serve  func(r *request) (any, *api.Error)
}

// request is one authorized request.
type request struct {
	context.Context
	http     *fasthttp.RequestCtx
	operator string // who sends it, for logs and the identity of resends
	secret   string // that the operator presented
	name     string // the wildcard of the path
	identity string // Idempotency-Key, empty if there is none
}

// New returns an Adapter.
func New(options Options) *Adapter {
	if options.Now == nil {
		options.Now = time.Now
	}
	a := &Adapter{options: options}
	add := func(method, path string, serve func(*request) (any, *api.Error)) {
		a.routes = append(a.routes, route{method, strings.Split(path, "/"), serve})
	}
	add("GET", "v1/catalogue", a.catalogue)
	add("PUT", "v1/catalogue/teams/*", a.putTeam)
	add("PUT", "v1/catalogue/entries/*", a.putEntry)
	add("GET", "v1/keys", a.keys)
	add("PUT", "v1/keys/*", a.putKey)
	add("GET", "v1/workers", a.workers)
	add("POST", "v1/workers/*/drain", a.drain)
	add("POST", "v1/workers/*/undrain", a.undrain)
	add("GET", "v1/upstreams", a.upstreams)
	add("GET", "v1/queues", a.queues)
	add("GET", "v1/status", a.status)
	add("GET", "v1/members", a.members)
	add("DELETE", "v1/members/*", a.removeMember)
	add("GET", "v1/jobs", a.jobs)
	add("GET", "v1/jobs/*", a.job)
	add("GET", "v1/jobs/*/explain", a.explain)
	add("DELETE", "v1/jobs/*", a.cancel)
	return a
}

// find returns the route of a request. Without one, allowed holds the methods
// that the path has.
func (a *Adapter) find(method string, path []string) (r route, name string, allowed []string) {
	for _, r := range a.routes {
		if len(r.path) != len(path) {
			continue
		}
		name, fits := "", true
		for i, s := range r.path {
			if s == wildcard {
				name = path[i]
			} else if s != path[i] {
				fits = false
				break
			}
		}
		switch {
		case !fits:
		case r.method == method:
			return r, name, nil
		default:
			allowed = append(allowed, r.method)
		}
	}
	return route{}, "", allowed
}

// Matches reports whether a request is for this adapter, for servers that
// several adapters share. Callers have routes under /v1/jobs too; there, the
// request is an operator's if its key is.
func (a *Adapter) Matches(ctx *fasthttp.RequestCtx) bool {
	path := web.Segments(ctx.Path())
	r, _, _ := a.find(string(ctx.Method()), path)
	if r.serve == nil {
		return false
	}
	if path[1] != "jobs" {
		return true
	}
	_, fail := a.authorize(ctx)
	return fail == nil
}

// Handler serves one request.
func (a *Adapter) Handler(ctx *fasthttp.RequestCtx) {
	body, fail := a.serve(ctx)
	if fail != nil {
		web.Fail(ctx, fail)
		return
	}
	web.JSON(ctx, fasthttp.StatusOK, body)
}

func (a *Adapter) serve(ctx *fasthttp.RequestCtx) (any, *api.Error) {
	r, name, allowed := a.find(string(ctx.Method()), web.Segments(ctx.Path()))
	if r.serve == nil {
		e := web.Refuse(api.UnknownRoute, "there is no route %s %s", ctx.Method(), ctx.Path())
		if len(allowed) > 0 {
			e.Status = fasthttp.StatusMethodNotAllowed
			ctx.Response.Header.Set(fasthttp.HeaderAllow, strings.Join(allowed, ", "))
		}
		return nil, e
	}
	operator, fail := a.authorize(ctx)
	if fail != nil {
		a.options.Log.Emit(event.OperatorDenied, zap.Stringer("from", ctx.RemoteAddr()),
			zap.ByteString("path", ctx.Path()), zap.String("code", string(fail.Code)))
		return nil, fail
	}
	body, fail := web.Body(ctx, maximumBody)
	if fail != nil {
		return nil, fail
	}
	ctx.Request.SetBodyRaw(body) // ends the stream, so that PostBody returns the body
	identity, fail := web.Identity(ctx)
	if fail != nil {
		return nil, fail
	}
	deadline, fail := web.Deadline(ctx, a.options.Now(), standardWait)
	if fail != nil {
		return nil, fail
	}
	inner, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return r.serve(&request{inner, ctx, operator, web.Bearer(ctx), name, identity})
}

// authorize returns who sends a request, if that is an operator. The digests
// of the settings also work while the view of the catalogue is out of date,
// so that operators can look into that.
func (a *Adapter) authorize(ctx *fasthttp.RequestCtx) (string, *api.Error) {
	if secret := web.Bearer(ctx); secret != "" {
		if d := settings.Digest(sha256.Sum256([]byte(secret))); slices.Contains(a.options.Digests, d) {
			return "settings:" + hex.EncodeToString(d[:4]), nil
		}
	}
	k, fail := web.Authorize(ctx, a.options.Directory, work.OperatorRole)
	if fail != nil {
		return "", fail
	}
	return "key:" + k.Name, nil
}

// number reads the id of a job from the path.
func (r *request) number() (work.JobID, *api.Error) {
	id, err := strconv.ParseUint(r.name, 10, 64)
	if err != nil {
		return 0, web.Refuse(api.UnknownJob, "%q is no job number", r.name)
	}
	return work.JobID(id), nil
}

// argument returns a parameter of the query string.
func (r *request) argument(name string) string {
	return string(r.http.QueryArgs().Peek(name))
}
