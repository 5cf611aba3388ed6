package operator

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/request/web"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

const (
	// secretSize is the size of a key's secret in bytes, before its encoding
	// as 32 letters and digits.
	secretSize = 20
	// requestSize is how many bytes of its digest identify a request.
	requestSize = 16
	secretLabel = "rosemaryloft key secret\x00"
)

// scope is the text that tells requests apart: a request is a resend only if
// the operator, the method, the path, the body and the Idempotency-Key are
// the same. A key that is reused for another change is thereby another
// request, rather than one that seems to succeed without effect.
func (r *request) scope(body any) []byte {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err) // bodies are plain structs of package api
	}
	return fmt.Appendf(nil, "%s\x00%s\x00%s\x00%s\x00%s", r.operator, r.http.Method(), r.http.Path(), r.identity, b)
}

// token returns Command.Request of a change, empty without an Idempotency-Key.
// It is a digest, because the key of the request is part of what a key's
// secret is derived from and must not be stored.
func (r *request) token(body any) string {
	if r.identity == "" {
		return ""
	}
	d := sha256.Sum256(r.scope(body))
	return "operator-" + hex.EncodeToString(d[:requestSize])
}

// newSecret returns the secret of a new key; see the package comment.
func (r *request) newSecret(body any) string {
	var b [secretSize]byte
	if r.identity == "" {
		rand.Read(b[:]) // never fails
	} else {
		m := hmac.New(sha256.New, []byte(r.secret))
		m.Write([]byte(secretLabel))
		m.Write(r.scope(body))
		copy(b[:], m.Sum(nil))
	}
	return base32.StdEncoding.EncodeToString(b[:])
}

// propose commits a change and logs its outcome.
func (a *Adapter) propose(r *request, body any, command state.Command) (state.Result, *api.Error) {
	command.Request = r.token(body)
	result, err := a.options.Leader.Propose(r, command)
	var fail *api.Error
	if err != nil {
		fail = web.Control(err)
	} else {
		fail = refusal(result)
	}
	fields := []zap.Field{
		zap.String("operator", r.operator), zap.ByteString("method", r.http.Method()), zap.ByteString("path", r.http.Path()),
		zap.String("request", command.Request),
	}
	switch {
	case fail == nil:
		a.options.Log.Emit(event.OperatorChanged, append(fields, zap.Uint64("version", result.Version))...)
	case fail.Code == api.Internal:
		a.options.Log.Emit(event.OperatorInternal, append(fields, zap.String("error", fail.Message))...)
	case fail.Ran == api.RanUnknown:
		a.options.Log.Emit(event.OperatorUnknown, fields...)
	default:
		a.options.Log.Emit(event.OperatorRefused, append(fields, zap.String("code", string(fail.Code)), zap.String("reason", fail.Message))...)
	}
	return result, fail
}

// refusal turns a result other than OK into an error.
func refusal(result state.Result) *api.Error {
	code := api.Internal
	switch result.Code {
	case state.OK:
		return nil
	case state.Conflict:
		e := web.Refuse(api.Conflict, "the object has changed meanwhile; its current version is %d", result.Version)
		e.Version = result.Version
		return e
	case state.NotFound:
		code = api.UnknownObject
	case state.Denied:
		code = api.Forbidden
	case state.Invalid:
		code = api.Malformed
	case state.Infeasible:
		code = api.Infeasible
	case state.Mismatch, state.Duplicate:
		code = api.Mismatch
	}
	message := result.Message
	if message == "" {
		message = string(result.Code)
	}
	return web.Refuse(code, "%s", message)
}

// decode reads a body whose object is named in the path.
func decode[T any](r *request, body *T, name *string) *api.Error {
	if fail := web.Decode(r.http.PostBody(), body); fail != nil {
		return fail
	}
	if *name != "" && *name != r.name {
		return web.Refuse(api.Malformed, "field \"name\" is %q, but the path names %q", *name, r.name)
	}
	*name = r.name
	return web.Name(r.name)
}

// notNegative refuses negative numbers.
func notNegative(field string, values ...int64) *api.Error {
	for _, v := range values {
		if v < 0 {
			return web.Refuse(api.Malformed, "field %q must not be negative", field)
		}
	}
	return nil
}

// first returns the first error there is.
func first(fails ...*api.Error) *api.Error {
	for _, f := range fails {
		if f != nil {
			return f
		}
	}
	return nil
}

func changed(result state.Result, fail *api.Error) (any, *api.Error) {
	if fail != nil {
		return nil, fail
	}
	return api.Changed{Version: result.Version}, nil
}

func (a *Adapter) putTeam(r *request) (any, *api.Error) {
	var t api.Team
	if fail := decode(r, &t, &t.Name); fail != nil {
		return nil, fail
	}
	if fail := first(
		notNegative("weight", t.Weight),
		notNegative("limit", t.Limit.CPU, t.Limit.Memory, t.Limit.Accelerators),
		notNegative("tasks", t.Tasks),
		notNegative("requests", t.Requests),
	); fail != nil {
		return nil, fail
	}
	return changed(a.propose(r, t, state.Command{Team: &state.TeamChange{Base: t.Version, Team: work.Team{
		Name: t.Name, Weight: max(1, t.Weight), Limit: web.Resources(t.Limit),
		Tasks: t.Tasks, Requests: t.Requests, Retired: t.Retired,
	}}}))
}

func (a *Adapter) putEntry(r *request) (any, *api.Error) {
	var e api.Entry
	if fail := decode(r, &e, &e.Name); fail != nil {
		return nil, fail
	}
	if fail := first(
		notNegative("maximum", e.Maximum.CPU, e.Maximum.Memory, e.Maximum.Accelerators),
		notNegative("tasks", e.Tasks),
		notNegative("body", e.Body),
	); fail != nil {
		return nil, fail
	}
	switch work.Class(e.Class) {
	case work.Service, work.Batch, work.Gang:
	default:
		return nil, web.Refuse(api.Malformed, "field \"class\" must be %s, %s or %s", work.Service, work.Batch, work.Gang)
	}
	if e.Owner == "" {
		return nil, web.Refuse(api.Malformed, "field \"owner\" must name a team")
	}
	return changed(a.propose(r, e, state.Command{Entry: &state.EntryChange{Base: e.Version, Entry: work.Entry{
		Name: e.Name, Owner: e.Owner, Class: work.Class(e.Class), Open: e.Open, Idempotent: e.Idempotent,
		Maximum: web.Resources(e.Maximum), Tasks: e.Tasks, Body: e.Body, Retired: e.Retired,
	}}}))
}

// putKey creates a key, replaces its secret, or withdraws it.
func (a *Adapter) putKey(r *request) (any, *api.Error) {
	var k api.Key
	if fail := decode(r, &k, &k.Name); fail != nil {
		return nil, fail
	}
	if k.Secret != "" {
		return nil, web.Refuse(api.Malformed, "field \"secret\" must be empty; secrets are made by the server")
	}
	if k.Withdrawn {
		return a.withdrawKey(r, k)
	}
	role := work.Role(k.Role)
	switch role {
	case work.CallerRole, work.UpstreamRole:
		if k.Team == "" {
			return nil, web.Refuse(api.Malformed, "field \"team\" must name the team of a key of role %s", role)
		}
	case work.WorkerRole: // without a team, the worker is in the shared pool
	case work.OperatorRole:
		if k.Team != "" {
			return nil, web.Refuse(api.Malformed, "field \"team\" must be empty for a key of role %s", role)
		}
	default:
		return nil, web.Refuse(api.Malformed, "field \"role\" must be %s, %s, %s or %s", work.CallerRole, work.UpstreamRole, work.WorkerRole, work.OperatorRole)
	}
	secret := r.newSecret(k)
	result, fail := a.propose(r, k, state.Command{Key: &state.KeyChange{Base: k.Version, Key: work.Key{
		Name: k.Name, Team: k.Team, Role: role, Digest: sha256.Sum256([]byte(secret)),
	}}})
	if fail != nil {
		return nil, fail
	}
	return api.Changed{Version: result.Version, Secret: secret}, nil
}

// withdrawKey ends a key. Team and role are those of the catalogue, whether or
// not the body repeats them.
func (a *Adapter) withdrawKey(r *request, k api.Key) (any, *api.Error) {
	if k.Version == 0 {
		return nil, web.Refuse(api.Malformed, "field \"version\" must hold the current version of the key to withdraw")
	}
	answer, err := a.options.Leader.Query(r, control.Query{Kind: control.QueryCatalogue})
	if err != nil {
		return nil, web.Control(err)
	}
	// A resend may come when the list does not have the key any more. It is
	// proposed all the same, to get the first result.
	former := work.Key{Name: k.Name, Team: k.Team, Role: work.Role(k.Role)}
	for _, known := range answer.Catalogue.Keys {
		if known.Name == k.Name {
			former = known
		}
	}
	former.Version, former.Withdrawn = 0, true
	return changed(a.propose(r, k, state.Command{Key: &state.KeyChange{Base: k.Version, Key: former}}))
}

func (a *Adapter) drain(r *request) (any, *api.Error)   { return a.setDrained(r, true) }
func (a *Adapter) undrain(r *request) (any, *api.Error) { return a.setDrained(r, false) }

func (a *Adapter) setDrained(r *request, drained bool) (any, *api.Error) {
	if fail := r.empty(); fail != nil {
		return nil, fail
	}
	return changed(a.propose(r, nil, state.Command{Drain: &state.Drain{Worker: r.name, Drained: drained}}))
}

// empty refuses a body where none is expected, other than an empty object.
func (r *request) empty() *api.Error {
	if len(r.http.PostBody()) == 0 {
		return nil
	}
	return web.Decode(r.http.PostBody(), &struct{}{})
}

func (a *Adapter) removeMember(r *request) (any, *api.Error) {
	if a.options.Members == nil {
		return nil, web.Refuse(api.UnknownRoute, "this process cannot change the control group")
	}
	if err := a.options.Members.RemoveMember(r, r.name); err != nil {
		return nil, web.Control(err)
	}
	a.options.Log.Emit(event.OperatorChanged, zap.String("operator", r.operator), zap.ByteString("method", r.http.Method()), zap.ByteString("path", r.http.Path()))
	return api.Changed{}, nil
}

// cancel cancels a job of any team and answers with the job.
func (a *Adapter) cancel(r *request) (any, *api.Error) {
	id, fail := r.number()
	if fail != nil {
		return nil, fail
	}
	if fail := r.empty(); fail != nil {
		return nil, fail
	}
	if _, fail := a.propose(r, nil, state.Command{Cancel: &state.Cancel{Jobs: []work.JobID{id}}}); fail != nil {
		if fail.Code == api.UnknownObject {
			fail.Code = api.UnknownJob
		}
		return nil, fail
	}
	body, fail := a.job(r)
	if fail != nil && fail.Code != api.UnknownJob {
		fail.Ran = api.RanYes // only the reading afterwards failed
	}
	return body, fail
}
