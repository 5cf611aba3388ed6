package operator

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/process/settings"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

const secret = "the operator's secret"

// fakeLeader commits changes to teams, entries and keys by compare-and-set, and
// stores results by request ID.
type fakeLeader struct {
	version    uint64
	objects    map[string]uint64
	keys       map[string]work.Key
	results    map[string]state.Result
	commands   []state.Command
	err        error // of the next proposal
	loseAnswer bool  // the next proposal commits, but its answer is lost
}

func newLeader() *fakeLeader {
	return &fakeLeader{objects: map[string]uint64{}, keys: map[string]work.Key{}, results: map[string]state.Result{}}
}

func (l *fakeLeader) Propose(_ context.Context, c state.Command) (state.Result, error) {
	if err := l.err; err != nil {
		l.err = nil
		return state.Result{}, err
	}
	r, known := l.results[c.Request]
	if !known || c.Request == "" {
		r = l.apply(c)
		l.results[c.Request] = r
	}
	if l.loseAnswer {
		l.loseAnswer = false
		return state.Result{}, control.ErrUnknown
	}
	return r, nil
}

func (l *fakeLeader) apply(c state.Command) state.Result {
	l.commands = append(l.commands, c)
	change := func(name string, base uint64) state.Result {
		if l.objects[name] != base {
			return state.Result{Code: state.Conflict, Version: l.objects[name]}
		}
		l.version++
		l.objects[name] = l.version
		return state.Result{Code: state.OK, Version: l.version}
	}
	switch {
	case c.Team != nil:
		return change("team "+c.Team.Team.Name, c.Team.Base)
	case c.Entry != nil:
		return change("entry "+c.Entry.Entry.Name, c.Entry.Base)
	case c.Key != nil:
		r := change("key "+c.Key.Key.Name, c.Key.Base)
		if r.Code == state.OK {
			l.keys[c.Key.Key.Name] = c.Key.Key
		}
		return r
	case c.Drain != nil && c.Drain.Worker != "w-1", c.Cancel != nil && c.Cancel.Jobs[0] != 7:
		return state.Result{Code: state.NotFound, Message: "there is none"}
	}
	return state.Result{Code: state.OK}
}

func (l *fakeLeader) Query(_ context.Context, q control.Query) (control.Answer, error) {
	a := control.Answer{Found: q.Job == 7, Jobs: []work.Job{{ID: 7, State: work.JobCancelled}, {ID: 8, State: work.JobQueued}}, Text: "because"}
	if q.Kind == control.QueryCatalogue {
		a.Catalogue.Teams = []work.Team{{Name: "t", Weight: 2}}
		for _, k := range l.keys {
			a.Catalogue.Keys = append(a.Catalogue.Keys, k)
		}
	}
	if q.Kind == control.QueryStatus {
		a.Status = &control.StatusView{Leader: "control-1", Members: []control.MemberView{{Name: "control-1", Voter: true}}}
	}
	return a, nil
}

// fakeDirectory knows the keys that the leader has committed.
type fakeDirectory struct {
	control.Directory
	*fakeLeader
	err error
}

func (d fakeDirectory) Key(secret string) (work.Key, error) {
	for _, k := range d.keys {
		if k.Digest == sha256.Sum256([]byte(secret)) && !k.Withdrawn {
			return k, d.err
		}
	}
	if d.err != nil {
		return work.Key{}, d.err
	}
	return work.Key{}, control.ErrNotFound
}

func newAdapter(l *fakeLeader) *Adapter {
	return New(Options{
		Leader: l, Directory: fakeDirectory{fakeLeader: l}, Digests: []settings.Digest{sha256.Sum256([]byte(secret))},
	})
}

// send sends one request and decodes the answer into T.
func send[T any](t testing.TB, a *Adapter, key, identity, line, body string) (T, *api.Error) {
	var ctx fasthttp.RequestCtx
	method, path, _ := strings.Cut(line, " ")
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(path)
	ctx.Request.Header.Set("Authorization", "Bearer "+key)
	if identity != "" {
		ctx.Request.Header.Set(api.IdempotencyHeader, identity)
	}
	ctx.Request.SetBodyString(body)
	a.Handler(&ctx)
	var value T
	if status := ctx.Response.StatusCode(); status >= 400 {
		e := &api.Error{Status: status}
		if err := json.Unmarshal(ctx.Response.Body(), e); err != nil || e.Message == "" || e.Ran == "" {
			t.Fatalf("%s: error %d is no api.Error: %s", line, status, ctx.Response.Body())
		}
		return value, e
	}
	if err := json.Unmarshal(ctx.Response.Body(), &value); err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	return value, nil
}

// Guards against operators who overwrite each other's changes, and against a
// conflict that does not state the current version.
func TestConflict(t *testing.T) {
	is := is.New(t)
	a := newAdapter(newLeader())
	c, e := send[api.Changed](t, a, secret, "", "PUT /v1/catalogue/teams/t", `{"weight":2,"limit":{"cpu":1000,"memory":0},"version":0}`)
	is.True(e == nil)
	is.Equal(c.Version, uint64(1))
	for _, base := range []string{"0", "7"} {
		_, e = send[api.Changed](t, a, secret, "", "PUT /v1/catalogue/teams/t", `{"weight":3,"version":`+base+`}`)
		is.Equal(e.Status, 409)
		is.Equal(e.Code, api.Conflict)
		is.Equal(e.Version, uint64(1))
		is.Equal(e.Ran, api.RanNo)
	}
}

// Guards against a retry after a lost answer that makes a second change, returns
// another secret, or fails.
func TestResend(t *testing.T) {
	is := is.New(t)
	l := newLeader()
	a, other := newAdapter(l), newAdapter(l) // two entry VMs
	const line, body = "PUT /v1/keys/k", `{"team":"t","role":"caller"}`
	l.loseAnswer = true
	_, e := send[api.Changed](t, a, secret, "id-1", line, body)
	is.Equal(e.Ran, api.RanUnknown)
	first, e := send[api.Changed](t, a, secret, "id-1", line, body)
	is.True(e == nil)
	second, e := send[api.Changed](t, other, secret, "id-1", line, ` { "role":"caller", "team":"t" } `)
	is.True(e == nil)
	is.Equal(first, second)
	is.Equal(len(l.commands), 1)
	is.Equal(l.keys["k"].Digest, sha256.Sum256([]byte(first.Secret))) // the secret works
	is.True(!strings.Contains(l.commands[0].Request, "id-1"))         // the input of the secret's derivation is not stored

	// The same Idempotency-Key with another change is another request and must
	// not seem to succeed.
	_, e = send[api.Changed](t, a, secret, "id-1", line, `{"team":"u","role":"caller"}`)
	is.Equal(e.Code, api.Conflict)
	third, e := send[api.Changed](t, a, secret, "id-2", "PUT /v1/keys/k2", body)
	is.True(e == nil)
	is.True(third.Secret != first.Secret)

	_, e = send[api.Changed](t, a, secret, "", line, body) // without an Idempotency-Key it is not a retry
	is.Equal(e.Code, api.Conflict)
}

// Guards against a withdrawn key that still works, and against a withdrawal that
// changes the key's team or role.
func TestWithdraw(t *testing.T) {
	is := is.New(t)
	l := newLeader()
	a := newAdapter(l)
	c, e := send[api.Changed](t, a, secret, "", "PUT /v1/keys/op", `{"role":"operator"}`)
	is.True(e == nil)
	_, e = send[api.Catalogue](t, a, c.Secret, "", "GET /v1/catalogue", "")
	is.True(e == nil) // a catalogue key with the operator role is accepted
	_, e = send[api.Changed](t, a, secret, "", "PUT /v1/keys/op", `{"withdrawn":true}`)
	is.Equal(e.Code, api.Malformed) // the version is missing
	_, e = send[api.Changed](t, a, secret, "", "PUT /v1/keys/op", `{"withdrawn":true,"version":1}`)
	is.True(e == nil)
	is.Equal(l.keys["op"].Role, work.OperatorRole)
	is.Equal(l.keys["op"].Digest, sha256.Sum256([]byte(c.Secret)))
	_, e = send[api.Catalogue](t, a, c.Secret, "", "GET /v1/catalogue", "")
	is.Equal(e.Code, api.Unauthorized)
}

// Guards against accepting requests without an operator's key, and against
// locking operators out while the catalogue cannot be read.
func TestAuthorization(t *testing.T) {
	is := is.New(t)
	l := newLeader()
	a := newAdapter(l)
	c, e := send[api.Changed](t, a, secret, "", "PUT /v1/keys/k", `{"team":"t","role":"caller"}`)
	is.True(e == nil)
	for _, r := range a.routes {
		line := r.method + " /" + strings.ReplaceAll(strings.Join(r.path, "/"), wildcard, "7")
		_, e := send[any](t, a, c.Secret, "", line, "{}")
		is.Equal(e.Code, api.Forbidden)
		_, e = send[any](t, a, "guess", "", line, "{}")
		is.Equal(e.Code, api.Unauthorized)
	}
	is.Equal(len(l.commands), 1)
	a.options.Directory = fakeDirectory{fakeLeader: l, err: control.ErrStale}
	_, e = send[api.Status](t, a, secret, "", "GET /v1/status", "")
	is.True(e == nil)
	_, e = send[api.Status](t, a, c.Secret, "", "GET /v1/status", "")
	is.Equal(e.Code, api.Stale)
}

// Guards against accepting bodies with misspelt or contradictory fields, and
// against refusals that do not name the field.
func TestBodies(t *testing.T) {
	is := is.New(t)
	l := newLeader()
	a := newAdapter(l)
	for _, c := range [][3]string{
		{"PUT /v1/catalogue/teams/t", `{"wieght":1}`, "wieght"},
		{"PUT /v1/catalogue/teams/t", `{"name":"u"}`, "the path names"},
		{"PUT /v1/catalogue/teams/t", `{"limit":{"cpu":-1}}`, `"limit"`},
		{"PUT /v1/catalogue/teams/T", `{}`, "name"},
		{"PUT /v1/catalogue/entries/e", `{"owner":"t","class":"bach"}`, `"class"`},
		{"PUT /v1/catalogue/entries/e", `{"class":"batch"}`, `"owner"`},
		{"PUT /v1/keys/k", `{"role":"caller"}`, `"team"`},
		{"PUT /v1/keys/k", `{"role":"operator","team":"t"}`, `"team"`},
		{"PUT /v1/keys/k", `{"role":"king"}`, `"role"`},
		{"PUT /v1/keys/k", `{"role":"caller","team":"t","secret":"mine"}`, `"secret"`},
		{"POST /v1/workers/w-1/drain", `{"drained":true}`, "drained"},
	} {
		_, e := send[any](t, a, secret, "", c[0], c[1])
		is.Equal(e.Code, api.Malformed)
		is.Equal(e.Ran, api.RanNo)
		is.True(strings.Contains(e.Message, c[2])) // names the field
	}
	is.Equal(len(l.commands), 0)
}

// Guards against lists that are encoded as null, unknown objects that are
// answered with 200, and an unavailable leader that looks like a refusal.
func TestRoutes(t *testing.T) {
	is := is.New(t)
	l := newLeader()
	a := newAdapter(l)
	jobs, e := send[[]api.Job](t, a, secret, "", "GET /v1/jobs?state=queued", "")
	is.True(e == nil)
	is.Equal(len(jobs), 1)
	workers, e := send[[]api.Worker](t, a, secret, "", "GET /v1/workers", "")
	is.True(e == nil && workers != nil)
	members, e := send[[]api.Member](t, a, secret, "", "GET /v1/members", "")
	is.True(e == nil)
	is.Equal(members[0].Name, "control-1")
	x, e := send[api.Explanation](t, a, secret, "", "GET /v1/jobs/7/explain", "")
	is.True(e == nil)
	is.Equal(x.Text, "because")
	j, e := send[api.Job](t, a, secret, "", "DELETE /v1/jobs/7", "")
	is.True(e == nil)
	is.Equal(j.State, "cancelled")
	_, e = send[api.Changed](t, a, secret, "", "POST /v1/workers/w-1/undrain", "{}")
	is.True(e == nil)
	for line, code := range map[string]api.Code{
		"GET /v1/jobs/9/explain":     api.UnknownJob,
		"DELETE /v1/jobs/9":          api.UnknownJob,
		"GET /v1/jobs/x":             api.UnknownJob,
		"POST /v1/workers/w-2/drain": api.UnknownObject,
		"GET /v1/nothing":            api.UnknownRoute,
		"POST /v1/catalogue":         api.UnknownRoute,
		"DELETE /v1/members/c":       api.UnknownRoute, // this adapter has no Members
		"GET /v1/workers/w-1/drain":  api.UnknownRoute,
	} {
		_, e := send[any](t, a, secret, "", line, "")
		is.Equal(e.Code, code)
	}
	l.err = control.ErrNoLeader
	_, e = send[any](t, a, secret, "", "POST /v1/workers/w-1/drain", "")
	is.Equal(e.Ran, api.RanNo)
	is.True(!e.Retry.IsZero())
}

// fakeMembers knows one replica.
type fakeMembers struct{ removed []string }

func (m *fakeMembers) RemoveMember(_ context.Context, name string) error {
	if name != "control-3" {
		return control.ErrNotFound
	}
	m.removed = append(m.removed, name)
	return nil
}

// Guards against a removal that is reported as successful but was not made.
func TestRemoveMember(t *testing.T) {
	is := is.New(t)
	m := &fakeMembers{}
	a := newAdapter(newLeader())
	a.options.Members = m
	_, e := send[api.Changed](t, a, secret, "", "DELETE /v1/members/control-9", "")
	is.Equal(e.Code, api.UnknownObject)
	_, e = send[api.Changed](t, a, secret, "", "DELETE /v1/members/control-3", "")
	is.True(e == nil)
	is.Equal(m.removed, []string{"control-3"})
}

// Guards against a shared server that passes callers' requests to the operators'
// adapter, or operators' requests to the callers' adapter.
func TestMatches(t *testing.T) {
	is := is.New(t)
	a := newAdapter(newLeader())
	for _, c := range []struct {
		method, path, key string
		want              bool
	}{
		{"GET", "/v1/status", "guess", true}, // matched here and then refused
		{"GET", "/v1/jobs/7", secret, true},
		{"GET", "/v1/jobs/7", "a caller's", false},
		{"POST", "/v1/jobs", secret, false},
		{"POST", "/v1/workers/w/poll", secret, false},
		{"GET", "/health", secret, false},
	} {
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetMethod(c.method)
		ctx.Request.SetRequestURI(c.path)
		ctx.Request.Header.Set("Authorization", "Bearer "+c.key)
		is.Equal(a.Matches(&ctx), c.want)
	}
}

// Guards against bodies that make a handler panic, and against commands that
// reach the leader without a valid name, role or class.
func FuzzBodies(f *testing.F) {
	for _, s := range []string{`{"weight":1,"limit":{"cpu":1}}`, `{"owner":"t","class":"gang"}`, `{"role":"caller","team":"t"}`, `{"withdrawn":true,"version":3}`, `{}`, `[`, `null`, `{"name":"x"}{}`, `{"version":-1}`, `{"limit":{"cpu":9223372036854775808}}`} {
		for i := range byte(3) {
			f.Add(i, "x", []byte(s))
		}
	}
	f.Fuzz(func(t *testing.T, kind byte, name string, body []byte) {
		l := newLeader()
		a := newAdapter(l)
		path := []string{"/v1/catalogue/teams/", "/v1/catalogue/entries/", "/v1/keys/"}[kind%3]
		if strings.ContainsAny(name, "?#/%") || len(body) == 0 {
			return
		}
		_, fail := send[api.Changed](t, a, secret, "", "PUT "+path+name, string(body))
		if fail == nil && len(l.commands) != 1 || fail != nil && fail.Code == api.Internal {
			t.Fatalf("%d commands, %v", len(l.commands), fail)
		}
		for _, c := range l.commands {
			if c.Key != nil && c.Key.Key.Digest == [32]byte{} && !c.Key.Key.Withdrawn ||
				c.Entry != nil && c.Entry.Entry.Class == "" || c.Team != nil && c.Team.Team.Weight < 1 {
				t.Fatalf("incomplete command %+v", c)
			}
		}
	})
}
