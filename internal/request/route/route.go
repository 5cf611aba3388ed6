// Package route takes one service request from its admission to its whole
// answer.
//
// Checks run in the order: view valid, key, catalogue entry, team, body,
// allotment of the team, slot, intent, dispatch. Nothing waits in a queue: a
// request that finds no allotment or no slot is refused at once. An own runner
// is used if one has a free slot; else the request is forwarded to an entry VM
// that owns one.
//
// # Usage
//
//	router, err := route.New(route.Options{
//		Name: "entry-1", Boot: boot, Directory: link, Leader: link,
//		Peer: peer, Pool: pool, Allotments: allotments,
//	})
//	mux.Handle(control.MethodForward, router.Forwarded)
//	admission, fail := router.Admit(key, "counter")
//	answer, fail := router.Do(admission, &route.Request{...})
//	router.Drain(ctx) // on shutdown
//
// Counters are published with expvar under "requests".
//
// The Ran field of each *api.Error is "no" only if no byte of the request can
// have reached a runner, in any attempt on any entry VM.
package route

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/upstream"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/request/web"
	"github.com/rosemaryloft/rosemaryloft/internal/shard"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

const (
	// IntentTime is how long the record of a non-idempotent request is kept.
	IntentTime = 24 * time.Hour

	// attemptsMaximum bounds the attempts of one request.
	attemptsMaximum = 5
	// backoff and backoffMaximum bound the random pause before a retry.
	backoff        = 20 * time.Millisecond
	backoffMaximum = 500 * time.Millisecond
	// returnFirst and returnSpread give the time at which a request refused
	// under overload may come back: after a random time, so that the refused
	// requests do not come back all at once.
	returnFirst  = 100 * time.Millisecond
	returnSpread = 400 * time.Millisecond
)

// Options configures a Router.
type Options struct {
	Name       string // of this entry VM
	Boot       uint64 // random number of the process's start
	Directory  control.Directory
	Leader     control.Leader
	Peer       peer.Caller
	Pool       *upstream.Pool
	Allotments *upstream.Allotments
	Now        func() time.Time
	Rand       func(n int64) int64 // uniform in [0, n)
	Log        event.Log
}

// Router routes requests. It is safe for concurrent use.
type Router struct {
	options  Options
	sequence atomic.Uint64
	budget   budget
	full     *shard.Map[owned, hint]
	gate     gate
	settling sync.WaitGroup // outcomes that are being recorded
	hooks    hooks
}

// hooks switch guards off in tests.
type hooks struct {
	ignoreView   bool // a view that expired during a wait is used
	lateIntent   bool // the first byte is sent before the intent is committed
	lateSlot     bool // the intent is committed before a slot is taken
	ignoreRetry  bool // any failed request is sent again
	trustRefusal bool // a refusal is not checked against what is recorded
}

// Admission is the right of a key's team to use a catalogue entry.
type Admission struct {
	Key   work.Key
	Entry work.Entry
	Team  work.Team
}

// Limit returns the largest request body, in bytes.
func (a *Admission) Limit() int64 { return cmp.Or(a.Entry.Body, work.DefaultBody) }

// Request is a caller's request.
type Request struct {
	Method   string
	Path     string // with a leading slash
	Query    string
	Header   [][2]string
	Body     []byte
	Identity string    // Idempotency-Key; empty if none
	Deadline time.Time // the caller waits until then
}

// New returns a Router.
func New(options Options) (*Router, error) {
	switch {
	case options.Name == "":
		return nil, errors.New("route: the entry VM has no name")
	case options.Directory == nil, options.Leader == nil, options.Peer == nil, options.Pool == nil, options.Allotments == nil:
		return nil, errors.New("route: directory, leader, peer, pool and allotments are all needed")
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Rand == nil {
		options.Rand = rand.Int64N
	}
	r := &Router{options: options, full: shard.New[owned, hint]()}
	r.budget.tokens.Store(budgetMaximum)
	r.gate.empty = make(chan struct{})
	return r, nil
}

// Admit checks a key's right to send requests to a catalogue entry. The key
// comes from the directory, which has checked the view and the secret.
func (r *Router) Admit(key work.Key, entry string) (*Admission, *api.Error) {
	if r.gate.closed.Load() {
		return nil, r.refuse(api.Draining, "this entry VM is shutting down; use another one")
	}
	e, err := r.options.Directory.Entry(entry)
	if err != nil {
		return nil, r.missing(err, api.UnknownEntry, "there is no service "+strconv.Quote(entry))
	}
	if e.Class != work.Service {
		return nil, web.Refuse(api.UnknownEntry, "%q takes jobs, not requests", entry)
	}
	if key.Role != work.CallerRole {
		return nil, web.Refuse(api.Forbidden, "a key of role %s may not send requests", key.Role)
	}
	if !e.Open && e.Owner != key.Team {
		return nil, web.Refuse(api.Forbidden, "service %q does not take requests of team %q", entry, key.Team)
	}
	t, err := r.options.Directory.Team(key.Team)
	if err != nil {
		return nil, r.missing(err, api.Forbidden, "team "+strconv.Quote(key.Team)+" is not known or retired")
	}
	return &Admission{Key: key, Entry: e, Team: t}, nil
}

func (r *Router) missing(err error, code api.Code, message string) *api.Error {
	if errors.Is(err, control.ErrStale) {
		return r.stale()
	}
	return web.Refuse(code, "%s", message)
}

func (r *Router) stale() *api.Error {
	return r.refuse(api.Stale, "this entry VM has lost contact with the control group; use another one")
}

// refuse returns an error for a request that did not run and may come back
// after a random time.
func (r *Router) refuse(code api.Code, format string, arguments ...any) *api.Error {
	retry := r.options.Now().Add(returnFirst + time.Duration(r.options.Rand(int64(returnSpread))))
	return web.RefuseUntil(retry, code, format, arguments...)
}

// fresh returns an error if the view has expired. It is called again after each
// wait, since the process may have been paused meanwhile.
func (r *Router) fresh() *api.Error {
	if !r.options.Now().Before(r.options.Directory.Deadline()) && !r.hooks.ignoreView {
		return r.stale()
	}
	return nil
}

// flight is one request on its way. A flight belongs to one goroutine.
type flight struct {
	request  *Request
	entry    string
	team     string
	id       string // unique for this request
	intent   *intent
	repeat   bool  // the entry is idempotent, so that a second run does no harm
	limit    int64 // of the team on requests in flight; zero means none
	deadline time.Time
	sends    int    // identities given out to attempts
	attempts int    // attempts made
	maybe    bool   // an attempt may have run it
	runner   string // last one tried
	owner    string // entry VM of that runner
	taken    bool   // the team's allotment is in use for the current attempt
	astray   bool   // the last attempt may still be running somewhere
}

// name returns an identity for the next attempt, so that a late answer to an
// earlier one is told from its own.
func (f *flight) name() string {
	f.sends++
	return f.id + "." + strconv.Itoa(f.sends)
}

// Do routes an admitted request and returns the whole answer, or why there is
// none. It returns at the latest at the request's deadline, which is at most
// upstream.RequestTime ahead.
func (r *Router) Do(a *Admission, q *Request) (*upstream.Answer, *api.Error) {
	f := r.flight(a, q)
	if !r.gate.enter() {
		return r.verify(f, r.refuse(api.Draining, "this entry VM is shutting down; use another one"))
	}
	defer r.gate.leave()
	answer, fail := r.admitted(a, f)
	if fail != nil {
		answer, fail = r.verify(f, fail)
	}
	r.log(f, answer, fail)
	return answer, fail
}

func (r *Router) flight(a *Admission, q *Request) *flight {
	f := &flight{
		request: q, entry: a.Entry.Name, team: a.Key.Team, repeat: a.Entry.Idempotent,
		id:       r.identity(),
		deadline: earlier(q.Deadline, r.options.Now().Add(upstream.RequestTime)),
	}
	if q.Identity != "" && !a.Entry.Idempotent {
		f.intent = &intent{digest: digest(q), holder: r.options.Name + "/" + f.id}
	}
	return f
}

// identity returns a request identity that no other process or start of this
// process has used.
func (r *Router) identity() string {
	return strconv.FormatUint(r.options.Boot, 36) + "-" + strconv.FormatUint(r.sequence.Add(1), 36)
}

func (r *Router) admitted(a *Admission, f *flight) (*upstream.Answer, *api.Error) {
	if int64(len(f.request.Body)) > a.Limit() {
		return nil, web.Refuse(api.TooLarge, "the body has %d bytes, %q takes %d", len(f.request.Body), f.entry, a.Limit())
	}
	f.limit = a.Team.Requests
	if fail := r.take(f); fail != nil {
		return nil, fail
	}
	defer r.release(f)
	r.budget.earn()
	return r.attempt(f)
}

// take counts the next attempt against the team's allotment.
func (r *Router) take(f *flight) *api.Error {
	err := r.options.Allotments.TakeFirst(f.team, f.limit, f.deadline)
	switch {
	case errors.Is(err, upstream.ErrLimited):
		return r.refuse(api.Limited, "team %q has as many requests in flight as it may have here", f.team)
	case err != nil && !r.hooks.ignoreView:
		return r.stale()
	}
	f.taken = err == nil
	return nil
}

// release ends the use of the team's allotment. An attempt that may still be
// running somewhere counts until the deadline.
func (r *Router) release(f *flight) {
	if !f.taken {
		return
	}
	f.taken = false
	if left := f.deadline.Sub(r.options.Now()); f.astray && left > 0 {
		time.AfterFunc(left, func() { r.options.Allotments.Release(f.team) })
		return
	}
	r.options.Allotments.Release(f.team)
}

// result is the outcome of one attempt. Without an answer, fail tells why.
type result struct {
	answer *upstream.Answer
	fail   *api.Error
	next   next
}

// next tells what may follow an attempt.
type next int

const (
	done      next = iota // nothing: the answer or the error is final
	elsewhere             // it certainly did not run and may be tried elsewhere
	uncertain             // it may have run; it may be repeated only if idempotent
)

// attempt tries runners until there is an answer or an error to return. An
// attempt that finds no slot leaves the error of the one before in place.
func (r *Router) attempt(f *flight) (*upstream.Answer, *api.Error) {
	var before *api.Error
	for {
		res := r.once(f)
		f.attempts++
		f.maybe = f.maybe || res.next == uncertain
		if before != nil && res.fail != nil && res.fail.Code == api.Overloaded {
			res.fail = before
		}
		if res.next == done || !r.again(f, res) {
			return res.answer, f.final(res.fail)
		}
		before = res.fail
		if f.astray {
			r.release(f)
			f.astray = false
			if fail := r.take(f); fail != nil {
				return nil, f.final(fail)
			}
		}
	}
}

// once makes one attempt: at an own runner, or else through their owners.
func (r *Router) once(f *flight) result {
	if r.hooks.lateSlot && f.intent != nil {
		if res, ok := r.intend(f); !ok {
			return res
		}
	}
	slot, err := r.options.Pool.Acquire(f.entry)
	if err == nil {
		f.owner = r.options.Name
		return r.serve(f, slot)
	}
	return r.forward(f)
}

// again reports whether another attempt may follow, after a pause with full
// jitter (Brooker, "Exponential Backoff and Jitter", 2015).
func (r *Router) again(f *flight, res result) bool {
	if res.next == uncertain && !f.repeat && !r.hooks.ignoreRetry || f.attempts >= attemptsMaximum {
		return false
	}
	limit := min(backoff<<(f.attempts-1), backoffMaximum)
	pause := time.Duration(r.options.Rand(int64(limit)))
	if !r.options.Now().Add(pause).Before(f.deadline) || !r.budget.spend() {
		return false
	}
	metricRetries.Add(1)
	time.Sleep(pause)
	return true
}

// final corrects an error for earlier attempts that may have run.
func (f *flight) final(fail *api.Error) *api.Error {
	if fail != nil && f.maybe && fail.Ran == api.RanNo {
		fail.Ran = api.RanUnknown
	}
	return fail
}

// serve sends a request to own runners, beginning with the one of the slot. It
// records the intent before the first byte and the outcome afterwards.
func (r *Router) serve(f *flight, slot *upstream.Slot) result {
	defer func() { slot.Release() }()
	if f.intent != nil && !r.hooks.lateIntent {
		if res, ok := r.intend(f); !ok {
			return res
		}
	}
	for {
		res := r.dispatch(f, slot)
		if res.next != elsewhere || f.intent == nil {
			return res
		}
		// Nothing was sent. The intent names this entry VM, so that only its own
		// runners can follow.
		slot.Release()
		f.attempts++
		again := r.again(f, res)
		if again {
			var err error
			if slot, err = r.options.Pool.Acquire(f.entry); err != nil {
				again, slot = false, &upstream.Slot{}
			}
		}
		if !again {
			return r.withdrawn(f, res.fail)
		}
	}
}

// dispatch sends a request to the slot's runner, unless a wait since the slot
// was taken has used up the view, the deadline or the slot.
func (r *Router) dispatch(f *flight, slot *upstream.Slot) result {
	f.runner = slot.Runner()
	if fail := r.fresh(); fail != nil {
		return r.withdrawn(f, fail)
	}
	if !r.options.Now().Before(f.deadline) {
		return r.withdrawn(f, web.Refuse(api.Timeout, "the deadline passed before the request was sent"))
	}
	if !slot.Valid() {
		return result{fail: r.refuse(api.NoUpstream, "the runner is leaving"), next: elsewhere}
	}
	q := f.request
	u := &upstream.Request{
		ID: f.name(), Method: q.Method, Path: q.Path, Query: q.Query, Header: q.Header, Body: q.Body, Deadline: f.deadline,
	}
	late := r.settleLate(f, u)
	answer, err := slot.Send(u)
	if errors.Is(err, upstream.ErrLate) {
		late()
	}
	return r.conclude(f, answer, err)
}

// withdrawn ends a request of which nothing was sent.
func (r *Router) withdrawn(f *flight, fail *api.Error) result {
	r.settle(f, ranNo, nil)
	return result{fail: fail}
}

// conclude turns the outcome of a dispatch into a result and records it.
func (r *Router) conclude(f *flight, answer *upstream.Answer, err error) result {
	switch {
	case err == nil:
		r.settle(f, ranYes, answer)
		if f.repeat && answer.Status == refusedStatus {
			return result{answer: answer, next: uncertain}
		}
		return result{answer: answer}
	case errors.Is(err, upstream.ErrNotSent):
		return result{fail: r.refuse(api.NoUpstream, "no runner could be reached"), next: elsewhere}
	case errors.Is(err, upstream.ErrLate):
		return result{fail: web.Unknown(api.Timeout, "the answer did not come before the deadline"), next: uncertain}
	}
	f.astray = errors.Is(err, upstream.ErrMismatch)
	r.settle(f, ranUnknown, nil)
	return result{fail: web.Unknown(api.BadAnswer, "%v", err), next: uncertain}
}

// log writes the one line of a routed request.
func (r *Router) log(f *flight, answer *upstream.Answer, fail *api.Error) {
	fields := []zap.Field{
		zap.String("id", f.id), zap.String("entry", f.entry), zap.String("team", f.team),
		zap.String("runner", f.runner), zap.String("owner", f.owner), zap.Int("attempts", f.attempts),
	}
	if fail != nil {
		metricRefused.Add(string(fail.Code), 1)
		r.options.Log.Emit(event.RequestRefused, append(fields, zap.String("code", string(fail.Code)), zap.String("ran", string(fail.Ran)))...)
		return
	}
	metricAnswered.Add(1)
	r.options.Log.Emit(event.RequestRouted, append(fields, zap.Int("status", answer.Status))...)
}

// Drain refuses new requests and waits until those in flight are answered and
// their outcomes are recorded, or until ctx ends.
func (r *Router) Drain(ctx context.Context) error {
	r.gate.close()
	settled := make(chan struct{})
	go func() {
		<-r.gate.empty
		r.settling.Wait()
		close(settled)
	}()
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain: requests are still in flight: %w", ctx.Err())
	}
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
