package route

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/upstream"
	"github.com/rosemaryloft/rosemaryloft/internal/request/web"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

const (
	busyStatus = 503 // HTTP status of a runner that takes no request at the moment

	// maxForwards limits the entry VMs that one request is forwarded to. An
	// entry VM without a free slot refuses the request at once.
	maxForwards = 3
	// fullPause is how long an entry VM that had no free slot is skipped. Under
	// overload this avoids most forwards that would be refused. It is short
	// compared with the time until a slot becomes free again.
	fullPause = 5 * time.Millisecond
	// unreachablePause is how long an entry VM that could not be reached is skipped.
	unreachablePause = 250 * time.Millisecond
)

// ForwardRequest is a request that is forwarded to the entry VM that owns a runner.
type ForwardRequest struct {
	ID       string
	Entry    string
	Team     string
	Method   string
	Path     string
	Query    string
	Header   [][2]string
	Body     []byte
	Repeat   bool // the entry is idempotent
	Identity string
	Intent   bool // the owner must commit an intent
	Digest   [sha256.Size]byte
	// Remaining is the time until the caller's deadline. It is a duration
	// because the clocks of two VMs differ.
	Remaining time.Duration
}

// ForwardReply is the answer to a ForwardRequest.
type ForwardReply struct {
	ID      string // of the ForwardRequest
	Outcome Outcome
	Runner  string
	Free    int64 // free slots left at the owner
	Answer  upstream.Answer
	Fail    Failure
}

// Outcome says how the owner handled a ForwardRequest.
type Outcome string

// Outcomes of a ForwardRequest.
const (
	Answered Outcome = "answered" // Answer is the complete answer
	Refused  Outcome = "refused"  // the request did not run; another entry VM may be tried
	Failed   Outcome = "failed"   // Fail is final
	Doubtful Outcome = "doubtful" // the request may have run
)

// Failure is the form in which entry VMs send each other an api.Error. The HTTP
// status follows from the code.
type Failure struct {
	Code    api.Code
	Message string
	Ran     api.Ran
	Retry   time.Time
}

// ownerKey names an entry VM and a catalogue entry that it owns runners of.
type ownerKey struct{ owner, entry string }

// capacityHint is the number of free slots that an owner last reported.
type capacityHint struct {
	free      int64
	skipUntil time.Time // an owner without free slots is skipped until this time
}

// forwardToOwners forwards a request to entry VMs that own runners of its
// catalogue entry, until one of them has a free slot.
func (r *Router) forwardToOwners(f *pendingRequest) result {
	if !r.options.Pool.Known(f.entry) {
		return result{fail: r.refuse(api.NoUpstream, "no runner of %q is announced", f.entry)}
	}
	overloaded := result{fail: r.refuse(api.Overloaded, "no runner of %q has a free slot", f.entry)}
	if f.intent != nil && f.intent.committed {
		r.settle(f, ranNo, nil)
		return overloaded
	}
	owners := r.options.Pool.Owners(f.entry, nil)
	for range maxForwards {
		if fail := r.checkView(); fail != nil {
			return result{fail: fail}
		}
		i := r.pickOwner(f.entry, owners)
		if i < 0 {
			break
		}
		owner := owners[i].Name
		owners[i] = owners[len(owners)-1]
		owners = owners[:len(owners)-1]
		if res, refused := r.forwardTo(f, owner); !refused {
			return res
		}
	}
	return overloaded
}

// pickOwner returns the index of the owner to try next, or -1 if all owners are
// known to be full. Owners in the same zone come first, then
// those with more free slots; ties are broken at random.
func (r *Router) pickOwner(entry string, owners []upstream.Owner) int {
	now := r.options.Now()
	best, bestFree, bestSameZone, seen := -1, int64(0), false, int64(0)
	for i, o := range owners {
		h, known := r.capacityHints.Get(ownerKey{o.Name, entry})
		if known && h.free <= 0 && now.Before(h.skipUntil) {
			continue
		}
		free := o.Slots
		if known && h.free > 0 {
			free = h.free
		}
		switch {
		case best < 0 || o.SameZone && !bestSameZone:
			best, bestFree, bestSameZone, seen = i, free, o.SameZone, 1
		case o.SameZone == bestSameZone:
			seen++
			if free > bestFree || free == bestFree && r.options.Rand(seen) == 0 {
				best, bestFree = i, free
			}
		}
	}
	return best
}

// forwardTo forwards a request to one owner. It reports whether the owner
// certainly did not run the request, so that another owner may be tried.
func (r *Router) forwardTo(f *pendingRequest, owner string) (result, bool) {
	q := f.request
	now := r.options.Now()
	m := ForwardRequest{
		ID: f.nextID(), Entry: f.entry, Team: f.team, Method: q.Method, Path: q.Path, Query: q.Query,
		Header: q.Header, Body: q.Body, Repeat: f.idempotent, Remaining: f.deadline.Sub(now),
	}
	if m.Remaining <= 0 {
		return result{fail: web.Refuse(api.Timeout, "the deadline passed before the request was sent")}, false
	}
	if f.intent != nil {
		m.Intent, m.Identity, m.Digest = true, q.Identity, f.intent.digest
	}
	ctx, cancel := context.WithDeadline(context.Background(), f.deadline)
	defer cancel()
	f.owner = owner
	metricForwarded.Add(1)
	var reply ForwardReply
	if err := r.options.Peer.Call(ctx, owner, control.MethodForward, &m, &reply); err != nil {
		return r.forwardFailed(f, owner, err)
	}
	if reply.ID != m.ID {
		f.mayStillRun = true
		return result{fail: web.OutcomeUnknown(api.BadAnswer, "entry VM %s answered another request", owner), status: attemptUncertain}, false
	}
	r.capacityHints.Set(ownerKey{owner, f.entry}, capacityHint{free: reply.Free, skipUntil: r.options.Now().Add(fullPause)})
	f.runner = reply.Runner
	return replyResult(&reply)
}

// forwardFailed handles a forward that got no reply.
func (r *Router) forwardFailed(f *pendingRequest, owner string, err error) (result, bool) {
	var remote *peer.RemoteError
	if errors.Is(err, peer.ErrNotSent) ||
		errors.As(err, &remote) && (remote.Code == codeRefused || remote.Code == peer.CodeUnknownMethod) {
		r.capacityHints.Set(ownerKey{owner, f.entry}, capacityHint{skipUntil: r.options.Now().Add(unreachablePause)})
		return result{}, true
	}
	f.mayStillRun = true
	if !r.options.Now().Before(f.deadline) {
		return result{fail: web.OutcomeUnknown(api.Timeout, "entry VM %s did not answer before the deadline", owner), status: attemptUncertain}, false
	}
	r.capacityHints.Set(ownerKey{owner, f.entry}, capacityHint{skipUntil: r.options.Now().Add(unreachablePause)})
	return result{fail: web.OutcomeUnknown(api.BadAnswer, "entry VM %s was lost before it answered", owner), status: attemptUncertain}, false
}

// replyResult turns an owner's reply into a result.
func replyResult(reply *ForwardReply) (result, bool) {
	fail := &api.Error{
		Status: web.Status(reply.Fail.Code), Code: reply.Fail.Code, Message: reply.Fail.Message,
		Ran: reply.Fail.Ran, Retry: reply.Fail.Retry,
	}
	switch reply.Outcome {
	case Answered:
		return result{answer: &reply.Answer}, false
	case Refused:
		return result{}, true
	case Failed:
		return result{fail: fail}, false
	case Doubtful:
		if reply.Answer.Status != 0 {
			return result{answer: &reply.Answer, status: attemptUncertain}, false
		}
		return result{fail: fail, status: attemptUncertain}, false
	}
	return result{fail: web.OutcomeUnknown(api.BadAnswer, "the owner answered %q", reply.Outcome), status: attemptUncertain}, false
}

// codeRefused is the code of a *peer.RemoteError for a request that the owner
// refused before it did anything.
const codeRefused = "refused"

// HandleForward is the peer.Handler of control.MethodForward. It serves a
// request with a free slot of this entry VM, or refuses it at once.
func (r *Router) HandleForward(_ context.Context, name string, decode peer.Decode) (any, error) {
	var m ForwardRequest
	if err := decode(&m); err != nil {
		return nil, &peer.RemoteError{Code: codeRefused, Message: err.Error()}
	}
	if err := m.validate(); err != nil {
		return nil, &peer.RemoteError{Code: codeRefused, Message: err.Error()}
	}
	if !r.gate.enter() {
		return nil, &peer.RemoteError{Code: codeRefused, Message: "draining"}
	}
	defer r.gate.leave()
	if fail := r.checkView(); fail != nil {
		return nil, &peer.RemoteError{Code: codeRefused, Message: "stale"}
	}
	slot, err := r.options.Pool.Acquire(m.Entry)
	if err != nil {
		return &ForwardReply{ID: m.ID, Outcome: Refused}, nil
	}
	f := r.pendingFromForward(&m)
	res := r.serveLocally(f, slot)
	return r.newReply(f, &m, res), nil
}

// validate returns an error for a ForwardRequest that no entry VM would send.
func (m *ForwardRequest) validate() error {
	switch {
	case m.ID == "" || m.Entry == "" || m.Team == "" || m.Method == "":
		return errors.New("forward: a field is missing")
	case m.Path == "" || m.Path[0] != '/':
		return errors.New("forward: the path has no leading slash")
	case m.Remaining <= 0 || m.Remaining > upstream.RequestTimeout:
		return errors.New("forward: the remaining time is out of range")
	case m.Intent && (m.Repeat || m.Identity == ""):
		return errors.New("forward: an intent needs an identity and an entry that is not idempotent")
	}
	return nil
}

// pendingFromForward returns the state of a forwarded request.
func (r *Router) pendingFromForward(m *ForwardRequest) *pendingRequest {
	f := &pendingRequest{
		request: &Request{
			Method: m.Method, Path: m.Path, Query: m.Query, Header: m.Header, Body: m.Body, Identity: m.Identity,
		},
		entry: m.Entry, team: m.Team, id: m.ID, idempotent: m.Repeat,
		deadline: r.options.Now().Add(m.Remaining),
	}
	if m.Intent {
		// The sender finds its own ID in the holder and so recognizes its own
		// record. The unique suffix keeps a second copy of the forward from
		// being taken for the first.
		f.intent = &intent{digest: m.Digest, holder: r.options.Name + "/" + m.ID + "/" + r.uniqueID()}
	}
	return f
}

// newReply turns a result into the reply to a ForwardRequest.
func (r *Router) newReply(f *pendingRequest, m *ForwardRequest, res result) *ForwardReply {
	reply := &ForwardReply{ID: m.ID, Runner: f.runner, Free: r.options.Pool.Free(m.Entry)}
	if res.answer != nil {
		reply.Answer = *res.answer
	}
	if e := res.fail; e != nil {
		reply.Fail = Failure{Code: e.Code, Message: e.Message, Ran: e.Ran, Retry: e.Retry}
	}
	switch {
	case res.status == attemptNotRun:
		reply.Outcome = Refused
	case res.status == attemptUncertain:
		reply.Outcome = Doubtful
	case res.fail != nil:
		reply.Outcome = Failed
	default:
		reply.Outcome = Answered
	}
	return reply
}
