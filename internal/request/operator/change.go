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
	// secretBytes is the size of a key's secret before it is encoded as 32
	// letters and digits.
	secretBytes = 20
	// requestIDBytes is the number of digest bytes that identify a request.
	requestIDBytes = 16
	secretLabel    = "rosemaryloft key secret\x00"
)

// scope returns the text that identifies a request. A request is a retry only if
// the operator, the method, the path, the body and the Idempotency-Key are the
// same. An Idempotency-Key that is reused for another change thus makes another
// request, instead of one that seems to succeed without effect.
func (r *request) scope(body any) []byte {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err) // bodies are plain structs of package api
	}
	return fmt.Appendf(nil, "%s\x00%s\x00%s\x00%s\x00%s", r.operator, r.http.Method(), r.http.Path(), r.identity, b)
}

// requestID returns Command.Request for a change, or "" if the request has no
// Idempotency-Key. It is a digest: secrets of new keys are derived from the
// Idempotency-Key, so the Idempotency-Key itself must not be stored.
func (r *request) requestID(body any) string {
	if r.identity == "" {
		return ""
	}
	d := sha256.Sum256(r.scope(body))
	return "operator-" + hex.EncodeToString(d[:requestIDBytes])
}

// newSecret returns the secret for a new key; see the package comment.
func (r *request) newSecret(body any) string {
	var b [secretBytes]byte
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
	command.Request = r.requestID(body)
	result, err := a.options.Leader.Propose(r, command)
	var fail *api.Error
	if err != nil {
		fail = web.ControlError(err)
	} else {
		fail = resultError(result)
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

// resultError returns the error for a result, or nil if the result is OK.
func resultError(result state.Result) *api.Error {
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

// decodeNamed decodes a body whose object is named in the path.
func decodeNamed[T any](r *request, body *T, name *string) *api.Error {
	if fail := web.Decode(r.http.PostBody(), body); fail != nil {
		return fail
	}
	if *name != "" && *name != r.name {
		return web.Refuse(api.Malformed, "field \"name\" is %q, but the path names %q", *name, r.name)
	}
	*name = r.name
	return web.CheckName(r.name)
}

// checkNotNegative returns an error if one of the values is negative.
func checkNotNegative(field string, values ...int64) *api.Error {
	for _, v := range values {
		if v < 0 {
			return web.Refuse(api.Malformed, "field %q must not be negative", field)
		}
	}
	return nil
}

// firstError returns the first error that is not nil.
func firstError(fails ...*api.Error) *api.Error {
	for _, f := range fails {
		if f != nil {
			return f
		}
	}
	return nil
}

func changedAnswer(result state.Result, fail *api.Error) (any, *api.Error) {
	if fail != nil {
		return nil, fail
	}
	return api.Changed{Version: result.Version}, nil
}

func (a *Adapter) putTeam(r *request) (any, *api.Error) {
	var t api.Team
	if fail := decodeNamed(r, &t, &t.Name); fail != nil {
		return nil, fail
	}
	if fail := firstError(
		checkNotNegative("weight", t.Weight),
		checkNotNegative("limit", t.Limit.CPU, t.Limit.Memory, t.Limit.Accelerators),
		checkNotNegative("tasks", t.Tasks),
		checkNotNegative("requests", t.Requests),
	); fail != nil {
		return nil, fail
	}
	return changedAnswer(a.propose(r, t, state.Command{Team: &state.TeamChange{Base: t.Version, Team: work.Team{
		Name: t.Name, Weight: max(1, t.Weight), Limit: web.Resources(t.Limit),
		Tasks: t.Tasks, Requests: t.Requests, Retired: t.Retired,
	}}}))
}

func (a *Adapter) putEntry(r *request) (any, *api.Error) {
	var e api.Entry
	if fail := decodeNamed(r, &e, &e.Name); fail != nil {
		return nil, fail
	}
	if fail := firstError(
		checkNotNegative("maximum", e.Maximum.CPU, e.Maximum.Memory, e.Maximum.Accelerators),
		checkNotNegative("tasks", e.Tasks),
		checkNotNegative("body", e.Body),
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
	return changedAnswer(a.propose(r, e, state.Command{Entry: &state.EntryChange{Base: e.Version, Entry: work.Entry{
		Name: e.Name, Owner: e.Owner, Class: work.Class(e.Class), Open: e.Open, Idempotent: e.Idempotent,
		Maximum: web.Resources(e.Maximum), Tasks: e.Tasks, Body: e.Body, Retired: e.Retired,
	}}}))
}

// putKey creates a key, replaces its secret, or withdraws it.
func (a *Adapter) putKey(r *request) (any, *api.Error) {
	var k api.Key
	if fail := decodeNamed(r, &k, &k.Name); fail != nil {
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
	case work.WorkerRole: // without a team, the worker joins the shared pool
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

// withdrawKey withdraws a key. The team and role are taken from the catalogue,
// whether or not the body repeats them.
func (a *Adapter) withdrawKey(r *request, k api.Key) (any, *api.Error) {
	if k.Version == 0 {
		return nil, web.Refuse(api.Malformed, "field \"version\" must hold the current version of the key to withdraw")
	}
	answer, err := a.options.Leader.Query(r, control.Query{Kind: control.QueryCatalogue})
	if err != nil {
		return nil, web.ControlError(err)
	}
	// On a retry, the catalogue may no longer list the key. The command is
	// proposed anyway, to get the result of the first attempt.
	former := work.Key{Name: k.Name, Team: k.Team, Role: work.Role(k.Role)}
	for _, known := range answer.Catalogue.Keys {
		if known.Name == k.Name {
			former = known
		}
	}
	former.Version, former.Withdrawn = 0, true
	return changedAnswer(a.propose(r, k, state.Command{Key: &state.KeyChange{Base: k.Version, Key: former}}))
}

func (a *Adapter) drain(r *request) (any, *api.Error)   { return a.setDrained(r, true) }
func (a *Adapter) undrain(r *request) (any, *api.Error) { return a.setDrained(r, false) }

func (a *Adapter) setDrained(r *request, drained bool) (any, *api.Error) {
	if fail := r.requireEmptyBody(); fail != nil {
		return nil, fail
	}
	return changedAnswer(a.propose(r, nil, state.Command{Drain: &state.Drain{Worker: r.name, Drained: drained}}))
}

// requireEmptyBody refuses a body that is neither empty nor an empty object.
func (r *request) requireEmptyBody() *api.Error {
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
		return nil, web.ControlError(err)
	}
	a.options.Log.Emit(event.OperatorChanged, zap.String("operator", r.operator), zap.ByteString("method", r.http.Method()), zap.ByteString("path", r.http.Path()))
	return api.Changed{}, nil
}

// cancel cancels a job of any team and answers with the job.
func (a *Adapter) cancel(r *request) (any, *api.Error) {
	id, fail := r.jobID()
	if fail != nil {
		return nil, fail
	}
	if fail := r.requireEmptyBody(); fail != nil {
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
		fail.Ran = api.RanYes // the job was cancelled; only reading it afterwards failed
	}
	return body, fail
}
