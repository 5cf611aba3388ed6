// Package route handles one service request from its admission to its complete
// answer.
//
// The checks run in this order: validity of the catalogue view, key, catalogue
// entry, team, body size, team allotment, slot, intent, dispatch. Requests are
// never queued: a request that finds no allotment or no slot is refused at
// once. If this entry VM owns a runner with a free slot, that runner is used;
// otherwise the request is forwarded to an entry VM that owns one.
//
// # Usage
//
//	router, err := route.New(route.Options{
//		Name: "entry-1", Boot: boot, Directory: link, Leader: link,
//		Peer: peer, Pool: pool, Allotments: allotments,
//	})
//	mux.Handle(control.MethodForward, router.HandleForward)
//	admission, fail := router.Admit(key, "counter")
//	answer, fail := router.Do(admission, &route.Request{...})
//	router.Drain(ctx) // on shutdown
//
// Metrics are published with expvar under "requests".
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
	// IntentRetention is how long the record of a non-idempotent request is kept.
	IntentRetention = 24 * time.Hour

	// maxAttempts limits the attempts of one request.
	maxAttempts = 5
	// maxBroken limits the attempts whose answer broke off. A request that ends two
	// runners may be what crashes them.
	maxBroken = 2
	// initialBackoff and maxBackoff limit the random delay before a retry.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// A request refused under overload is told to retry after retryAfterMin plus
	// a random part of retryAfterSpread. The random part keeps the refused
	// requests from coming back all at once.
	retryAfterMin    = 100 * time.Millisecond
	retryAfterSpread = 400 * time.Millisecond
)

// Options configures a Router.
type Options struct {
	Name       string // of this entry VM
	Boot       uint64 // random number of this process start
	Directory  control.Directory
	Leader     control.Leader
	Peer       peer.Caller
	Pool       *upstream.Pool
	Allotments *upstream.Allotments
	Now        func() time.Time
	Rand       func(n int64) int64 // returns a uniform value in [0, n)
	Log        event.Log
}

// Router routes requests. It is safe for concurrent use.
type Router struct {
	options       Options
	sequence      atomic.Uint64
	budget        retryBudget
	capacityHints *shard.Map[ownerKey, capacityHint]
	gate          gate
	settlements   sync.WaitGroup // outcomes that are still being recorded
	hooks         hooks
}

// hooks disable single safeguards in tests.
type hooks struct {
	ignoreViewExpiry bool // use a view that expired while the request waited
	sendBeforeIntent bool // send the first byte before the intent is committed
	intentBeforeSlot bool // commit the intent before a slot is taken
	retryAny         bool // retry every failed request
	skipRefusalCheck bool // return a refusal without looking up the recorded outcome
}

// Admission is the permission of a key's team to use a catalogue entry.
type Admission struct {
	Key   work.Key
	Entry work.Entry
	Team  work.Team
}

// BodyLimit returns the maximum size of a request body, in bytes.
func (a *Admission) BodyLimit() int64 { return cmp.Or(a.Entry.Body, work.DefaultBody) }

// Request is a request from a caller.
type Request struct {
	Method   string
	Path     string // with a leading slash
	Query    string
	Header   [][2]string
	Body     []byte
	Identity string    // Idempotency-Key; empty if none
	Deadline time.Time // the caller waits until this time
}

// New returns a Router, or an error if a required option is missing.
func New(options Options) (*Router, error) {
	switch {
	case options.Name == "":
		return nil, errors.New("route: Options.Name is empty")
	case options.Directory == nil, options.Leader == nil, options.Peer == nil, options.Pool == nil, options.Allotments == nil:
		return nil, errors.New("route: Options must set Directory, Leader, Peer, Pool and Allotments")
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Rand == nil {
		options.Rand = rand.Int64N
	}
	r := &Router{options: options, capacityHints: shard.New[ownerKey, capacityHint]()}
	r.budget.tokens.Store(maxBudget)
	r.gate.drained = make(chan struct{})
	return r, nil
}

// Admit checks whether a key may send requests to a catalogue entry. The caller
// obtains the key from the directory, which has checked the view and the secret.
func (r *Router) Admit(key work.Key, entry string) (*Admission, *api.Error) {
	if r.gate.closed.Load() {
		return nil, r.refuse(api.Draining, "this entry VM is shutting down; use another one")
	}
	e, err := r.options.Directory.Entry(entry)
	if err != nil {
		return nil, r.lookupError(err, api.UnknownEntry, "there is no service "+strconv.Quote(entry))
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
		return nil, r.lookupError(err, api.Forbidden, "team "+strconv.Quote(key.Team)+" is not known or retired")
	}
	return &Admission{Key: key, Entry: e, Team: t}, nil
}

func (r *Router) lookupError(err error, code api.Code, message string) *api.Error {
	if errors.Is(err, control.ErrStale) {
		return r.staleError()
	}
	return web.Refuse(code, "%s", message)
}

func (r *Router) staleError() *api.Error {
	return r.refuse(api.Stale, "this entry VM has lost contact with the control group; use another one")
}

// refuse returns an error for a request that did not run. The error tells the
// caller to retry after a random delay.
func (r *Router) refuse(code api.Code, format string, arguments ...any) *api.Error {
	retry := r.options.Now().Add(retryAfterMin + time.Duration(r.options.Rand(int64(retryAfterSpread))))
	return web.RefuseUntil(retry, code, format, arguments...)
}

// checkView returns an error if the catalogue view has expired. It is called
// again after each wait, because the process may have been paused or the VM suspended
// meanwhile.
func (r *Router) checkView() *api.Error {
	if !r.options.Directory.Valid() && !r.hooks.ignoreViewExpiry {
		return r.staleError()
	}
	return nil
}

// pendingRequest is the state of one request. Only one goroutine uses it.
type pendingRequest struct {
	request     *Request
	entry       string
	team        string
	id          string // unique to this request
	intent      *intent
	idempotent  bool  // the catalogue entry is idempotent, so the request may run again
	limit       int64 // the team's limit on concurrent requests; zero means none
	deadline    time.Time
	sendCount   int    // number of attempt IDs issued
	attempts    int    // number of attempts made
	broken      int    // of these, how many had an answer that broke off
	mayHaveRun  bool   // an attempt may have run the request
	runner      string // the last runner tried
	owner       string // the entry VM that owns that runner
	counted     bool   // the current attempt counts against the team's allotment
	mayStillRun bool   // the last attempt may still be running on a runner
}

// nextID returns a unique ID for the next attempt, so that a late answer to an
// earlier attempt is not taken for the answer to this one.
func (f *pendingRequest) nextID() string {
	f.sendCount++
	return f.id + "." + strconv.Itoa(f.sendCount)
}

// Do routes an admitted request. It returns the complete answer, or an error
// that says why there is none. It returns no later than the request's deadline,
// which is at most upstream.RequestTimeout ahead.
func (r *Router) Do(a *Admission, q *Request) (*upstream.Answer, *api.Error) {
	f := r.newPending(a, q)
	if !r.gate.enter() {
		return r.verifyRefusal(f, r.refuse(api.Draining, "this entry VM is shutting down; use another one"))
	}
	defer r.gate.leave()
	answer, fail := r.doAdmitted(a, f)
	if fail != nil {
		answer, fail = r.verifyRefusal(f, fail)
	}
	r.log(f, answer, fail)
	return answer, fail
}

func (r *Router) newPending(a *Admission, q *Request) *pendingRequest {
	f := &pendingRequest{
		request: q, entry: a.Entry.Name, team: a.Key.Team, idempotent: a.Entry.Idempotent,
		id:       r.uniqueID(),
		deadline: earlier(q.Deadline, r.options.Now().Add(upstream.RequestTimeout)),
	}
	if q.Identity != "" && !a.Entry.Idempotent {
		f.intent = &intent{digest: digest(q), holder: r.options.Name + "/" + f.id}
	}
	return f
}

// uniqueID returns a request ID that neither another process nor another start
// of this process has used.
func (r *Router) uniqueID() string {
	return strconv.FormatUint(r.options.Boot, 36) + "-" + strconv.FormatUint(r.sequence.Add(1), 36)
}

func (r *Router) doAdmitted(a *Admission, f *pendingRequest) (*upstream.Answer, *api.Error) {
	if int64(len(f.request.Body)) > a.BodyLimit() {
		return nil, web.Refuse(api.TooLarge, "the body has %d bytes, %q takes %d", len(f.request.Body), f.entry, a.BodyLimit())
	}
	f.limit = a.Team.Requests
	if fail := r.takeAllotment(f); fail != nil {
		return nil, fail
	}
	defer r.releaseAllotment(f)
	r.budget.deposit()
	return r.runAttempts(f)
}

// takeAllotment counts the next attempt against the team's allotment.
func (r *Router) takeAllotment(f *pendingRequest) *api.Error {
	err := r.options.Allotments.TakeOrWait(f.team, f.limit, f.deadline)
	switch {
	case errors.Is(err, upstream.ErrLimited):
		return r.refuse(api.Limited, "team %q has as many requests in flight as it may have here", f.team)
	case err != nil && !r.hooks.ignoreViewExpiry:
		return r.staleError()
	}
	f.counted = err == nil
	return nil
}

// releaseAllotment stops counting the current attempt against the team's
// allotment. An attempt that may still be running counts until the deadline.
func (r *Router) releaseAllotment(f *pendingRequest) {
	if !f.counted {
		return
	}
	f.counted = false
	if left := f.deadline.Sub(r.options.Now()); f.mayStillRun && left > 0 {
		time.AfterFunc(left, func() { r.options.Allotments.Release(f.team) })
		return
	}
	r.options.Allotments.Release(f.team)
}

// result is the outcome of one attempt. If answer is nil, fail says why.
type result struct {
	answer *upstream.Answer
	fail   *api.Error
	status attemptStatus
}

// attemptStatus says what may follow an attempt.
type attemptStatus int

const (
	attemptFinal     attemptStatus = iota // the answer or the error is final
	attemptNotRun                         // the request did not run and may be tried on another runner
	attemptUncertain                      // the request may have run; only an idempotent one may be retried
)

// runAttempts makes attempts until one gives a final answer or error. If a
// retry finds no free slot, the error of the attempt before it is returned.
func (r *Router) runAttempts(f *pendingRequest) (*upstream.Answer, *api.Error) {
	var previous *api.Error
	for {
		res := r.runAttempt(f)
		f.attempts++
		f.mayHaveRun = f.mayHaveRun || res.status == attemptUncertain
		if res.status == attemptUncertain && res.fail != nil && res.fail.Code == api.BadAnswer {
			f.broken++
		}
		if previous != nil && res.fail != nil && res.fail.Code == api.Overloaded {
			res.fail = previous
		}
		if res.status == attemptFinal || !r.waitForRetry(f, res) {
			return res.answer, f.correctRan(res.fail)
		}
		previous = res.fail
		if f.mayStillRun {
			r.releaseAllotment(f)
			f.mayStillRun = false
			if fail := r.takeAllotment(f); fail != nil {
				return nil, f.correctRan(fail)
			}
		}
	}
}

// runAttempt makes one attempt, on a runner of this entry VM if it has a free
// slot, else through the entry VMs that own other runners.
func (r *Router) runAttempt(f *pendingRequest) result {
	if r.hooks.intentBeforeSlot && f.intent != nil {
		if res, ok := r.commitIntent(f); !ok {
			return res
		}
	}
	slot, err := r.options.Pool.Acquire(f.entry)
	if err == nil {
		f.owner = r.options.Name
		return r.serveLocally(f, slot)
	}
	return r.forwardToOwners(f)
}

// waitForRetry reports whether another attempt may follow. If so, it first
// waits for a delay with full jitter (Brooker, "Exponential Backoff and
// Jitter", 2015).
func (r *Router) waitForRetry(f *pendingRequest, res result) bool {
	if res.status == attemptUncertain && !f.idempotent && !r.hooks.retryAny || f.attempts >= maxAttempts || f.broken >= maxBroken {
		return false
	}
	limit := min(initialBackoff<<(f.attempts-1), maxBackoff)
	pause := time.Duration(r.options.Rand(int64(limit)))
	if !r.options.Now().Add(pause).Before(f.deadline) || !r.budget.tryWithdraw() {
		return false
	}
	metricRetries.Add(1)
	time.Sleep(pause)
	return true
}

// correctRan changes "did not run" to "unknown" if an earlier attempt may have
// run the request.
func (f *pendingRequest) correctRan(fail *api.Error) *api.Error {
	if fail != nil && f.mayHaveRun && fail.Ran == api.RanNo {
		fail.Ran = api.RanUnknown
	}
	return fail
}

// serveLocally sends a request to runners of this entry VM, starting with the
// runner of the given slot. It commits the intent before the first byte is sent
// and records the outcome afterwards.
func (r *Router) serveLocally(f *pendingRequest, slot *upstream.Slot) result {
	defer func() { slot.Release() }()
	if f.intent != nil && !r.hooks.sendBeforeIntent {
		if res, ok := r.commitIntent(f); !ok {
			return res
		}
	}
	for {
		res := r.dispatch(f, slot)
		if res.status != attemptNotRun || f.intent == nil {
			return res
		}
		// Nothing was sent. The intent names this entry VM as its holder, so
		// only runners of this entry VM may be tried next.
		slot.Release()
		f.attempts++
		retry := r.waitForRetry(f, res)
		if retry {
			var err error
			if slot, err = r.options.Pool.Acquire(f.entry); err != nil {
				retry, slot = false, &upstream.Slot{}
			}
		}
		if !retry {
			return r.finishUnsent(f, res.fail)
		}
	}
}

// dispatch sends a request to the slot's runner, unless the view, the deadline
// or the slot has expired while the request waited after the slot was taken.
func (r *Router) dispatch(f *pendingRequest, slot *upstream.Slot) result {
	f.runner = slot.Runner()
	if fail := r.checkView(); fail != nil {
		return r.finishUnsent(f, fail)
	}
	if !r.options.Now().Before(f.deadline) {
		return r.finishUnsent(f, web.Refuse(api.Timeout, "the deadline passed before the request was sent"))
	}
	if !slot.Valid() {
		return result{fail: r.refuse(api.NoUpstream, "the runner is leaving"), status: attemptNotRun}
	}
	q := f.request
	u := &upstream.Request{
		ID: f.nextID(), Method: q.Method, Path: q.Path, Query: q.Query, Header: q.Header, Body: q.Body, Deadline: f.deadline,
	}
	late := r.settleWhenLate(f, u)
	answer, err := slot.Send(u)
	if errors.Is(err, upstream.ErrTimeout) {
		late()
	}
	return r.finishAttempt(f, answer, err)
}

// finishUnsent ends a request of which no byte was sent.
func (r *Router) finishUnsent(f *pendingRequest, fail *api.Error) result {
	r.settle(f, ranNo, nil)
	return result{fail: fail}
}

// finishAttempt turns the outcome of a dispatch into a result and records it.
func (r *Router) finishAttempt(f *pendingRequest, answer *upstream.Answer, err error) result {
	switch {
	case err == nil:
		r.settle(f, ranYes, answer)
		if f.idempotent && answer.Status == busyStatus {
			return result{answer: answer, status: attemptUncertain}
		}
		return result{answer: answer}
	case errors.Is(err, upstream.ErrNotSent):
		return result{fail: r.refuse(api.NoUpstream, "no runner could be reached"), status: attemptNotRun}
	case errors.Is(err, upstream.ErrTimeout):
		return result{fail: web.OutcomeUnknown(api.Timeout, "the answer did not come before the deadline"), status: attemptUncertain}
	}
	f.mayStillRun = errors.Is(err, upstream.ErrMismatch)
	r.settle(f, ranUnknown, nil)
	return result{fail: web.OutcomeUnknown(api.BadAnswer, "%v", err), status: attemptUncertain}
}

// log writes the single log line of a routed request.
func (r *Router) log(f *pendingRequest, answer *upstream.Answer, fail *api.Error) {
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
// their outcomes are recorded, or until ctx is done.
func (r *Router) Drain(ctx context.Context) error {
	r.gate.close()
	settled := make(chan struct{})
	go func() {
		<-r.gate.drained
		r.settlements.Wait()
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
