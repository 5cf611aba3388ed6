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
	refusedStatus = 503 // of a runner that takes no request now

	// forwardTries bounds the entry VMs that one request is forwarded to. Each
	// of them refuses at once if it has no slot.
	forwardTries = 3
	// fullTime is how long an entry VM that had no free slot is not asked again.
	// Under overload it saves most calls that would be refused; it is short
	// against the time in which a slot is used again.
	fullTime = 5 * time.Millisecond
	// downTime is the same for an entry VM that could not be reached.
	downTime = 250 * time.Millisecond
)

// Forward is a request on its way to the entry VM that owns a runner.
type Forward struct {
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
	Intent   bool // an intent is to be committed
	Digest   [sha256.Size]byte
	// Remaining is the time until the caller's deadline. A duration is sent
	// because the clocks of two VMs differ.
	Remaining time.Duration
}

// Forwarded answers a Forward.
type Forwarded struct {
	ID      string // of the Forward
	Outcome Outcome
	Runner  string
	Free    int64 // slots still free at the owner
	Answer  upstream.Answer
	Fail    Failure
}

// Outcome classifies the answer of a Forward.
type Outcome string

// Outcomes of a Forward.
const (
	Answered Outcome = "answered" // Answer is the whole answer
	Refused  Outcome = "refused"  // it certainly did not run; another entry VM may be tried
	Failed   Outcome = "failed"   // Fail is final
	Doubtful Outcome = "doubtful" // it may have run
)

// Failure is an api.Error between entry VMs. The status follows from the code.
type Failure struct {
	Code    api.Code
	Message string
	Ran     api.Ran
	Retry   time.Time
}

// owned names an entry VM and a catalogue entry that it owns runners of.
type owned struct{ owner, entry string }

// hint is the number of free slots that an owner stated last.
type hint struct {
	free  int64
	until time.Time // with no free slot, it is not asked before then
}

// forward sends a request to the entry VMs that own runners of its entry, until
// one of them has a slot.
func (r *Router) forward(f *flight) result {
	if !r.options.Pool.Known(f.entry) {
		return result{fail: r.refuse(api.NoUpstream, "no runner of %q is announced", f.entry)}
	}
	overloaded := result{fail: r.refuse(api.Overloaded, "no runner of %q has a free slot", f.entry)}
	if f.intent != nil && f.intent.committed {
		r.settle(f, ranNo, nil)
		return overloaded
	}
	owners := r.options.Pool.Owners(f.entry, nil)
	for range forwardTries {
		if fail := r.fresh(); fail != nil {
			return result{fail: fail}
		}
		i := r.pick(f.entry, owners)
		if i < 0 {
			break
		}
		owner := owners[i].Name
		owners[i] = owners[len(owners)-1]
		owners = owners[:len(owners)-1]
		if res, refused := r.call(f, owner); !refused {
			return res
		}
	}
	return overloaded
}

// pick returns the index of the owner to ask next, -1 if all are known to be
// full: of two random ones the one with more free slots, near ones first.
func (r *Router) pick(entry string, owners []upstream.Owner) int {
	now := r.options.Now()
	best, bestFree, bestNear, seen := -1, int64(0), false, int64(0)
	for i, o := range owners {
		h, known := r.full.Get(owned{o.Name, entry})
		if known && h.free <= 0 && now.Before(h.until) {
			continue
		}
		free := o.Slots
		if known && h.free > 0 {
			free = h.free
		}
		switch {
		case best < 0 || o.Near && !bestNear:
			best, bestFree, bestNear, seen = i, free, o.Near, 1
		case o.Near == bestNear:
			seen++
			if free > bestFree || free == bestFree && r.options.Rand(seen) == 0 {
				best, bestFree = i, free
			}
		}
	}
	return best
}

// call forwards a request to one owner. It reports whether the owner certainly
// did not run it and another one may be tried.
func (r *Router) call(f *flight, owner string) (result, bool) {
	q := f.request
	now := r.options.Now()
	m := Forward{
		ID: f.name(), Entry: f.entry, Team: f.team, Method: q.Method, Path: q.Path, Query: q.Query,
		Header: q.Header, Body: q.Body, Repeat: f.repeat, Remaining: f.deadline.Sub(now),
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
	var reply Forwarded
	if err := r.options.Peer.Call(ctx, owner, control.MethodForward, &m, &reply); err != nil {
		return r.lost(f, owner, err)
	}
	if reply.ID != m.ID {
		f.astray = true
		return result{fail: web.Unknown(api.BadAnswer, "entry VM %s answered another request", owner), next: uncertain}, false
	}
	r.full.Set(owned{owner, f.entry}, hint{free: reply.Free, until: r.options.Now().Add(fullTime)})
	f.runner = reply.Runner
	return replied(&reply)
}

// lost handles a call without an answer.
func (r *Router) lost(f *flight, owner string, err error) (result, bool) {
	var remote *peer.Remote
	if errors.Is(err, peer.ErrNotSent) ||
		errors.As(err, &remote) && (remote.Code == codeRefused || remote.Code == peer.CodeMethod) {
		r.full.Set(owned{owner, f.entry}, hint{until: r.options.Now().Add(downTime)})
		return result{}, true
	}
	f.astray = true
	if !r.options.Now().Before(f.deadline) {
		return result{fail: web.Unknown(api.Timeout, "entry VM %s did not answer before the deadline", owner), next: uncertain}, false
	}
	r.full.Set(owned{owner, f.entry}, hint{until: r.options.Now().Add(downTime)})
	return result{fail: web.Unknown(api.BadAnswer, "entry VM %s was lost before it answered", owner), next: uncertain}, false
}

// replied turns an owner's answer into a result.
func replied(reply *Forwarded) (result, bool) {
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
			return result{answer: &reply.Answer, next: uncertain}, false
		}
		return result{fail: fail, next: uncertain}, false
	}
	return result{fail: web.Unknown(api.BadAnswer, "the owner answered %q", reply.Outcome), next: uncertain}, false
}

// codeRefused is the code of a *peer.Remote error for a request that was
// refused before anything was done.
const codeRefused = "refused"

// Forwarded is the peer.Handler of control.MethodForward. It serves a request
// with an own slot, or refuses it at once.
func (r *Router) Forwarded(_ context.Context, name string, decode peer.Decode) (any, error) {
	var m Forward
	if err := decode(&m); err != nil {
		return nil, &peer.Remote{Code: codeRefused, Message: err.Error()}
	}
	if err := m.check(); err != nil {
		return nil, &peer.Remote{Code: codeRefused, Message: err.Error()}
	}
	if !r.gate.enter() {
		return nil, &peer.Remote{Code: codeRefused, Message: "draining"}
	}
	defer r.gate.leave()
	if fail := r.fresh(); fail != nil {
		return nil, &peer.Remote{Code: codeRefused, Message: "stale"}
	}
	slot, err := r.options.Pool.Acquire(m.Entry)
	if err != nil {
		return &Forwarded{ID: m.ID, Outcome: Refused}, nil
	}
	f := r.received(&m)
	res := r.serve(f, slot)
	return r.reply(f, &m, res), nil
}

// check refuses a Forward that no entry VM sends.
func (m *Forward) check() error {
	switch {
	case m.ID == "" || m.Entry == "" || m.Team == "" || m.Method == "":
		return errors.New("forward: a field is missing")
	case m.Path == "" || m.Path[0] != '/':
		return errors.New("forward: the path has no leading slash")
	case m.Remaining <= 0 || m.Remaining > upstream.RequestTime:
		return errors.New("forward: the remaining time is out of range")
	case m.Intent && (m.Repeat || m.Identity == ""):
		return errors.New("forward: an intent needs an identity and an entry that is not idempotent")
	}
	return nil
}

// received returns the flight of a forwarded request.
func (r *Router) received(m *Forward) *flight {
	f := &flight{
		request: &Request{
			Method: m.Method, Path: m.Path, Query: m.Query, Header: m.Header, Body: m.Body, Identity: m.Identity,
		},
		entry: m.Entry, team: m.Team, id: m.ID, repeat: m.Repeat,
		deadline: r.options.Now().Add(m.Remaining),
	}
	if m.Intent {
		// The identity of the forward tells the sender its own record; a second
		// copy of the forward must not pass for the first one.
		f.intent = &intent{digest: m.Digest, holder: r.options.Name + "/" + m.ID + "/" + r.identity()}
	}
	return f
}

// reply turns a result into the answer of a Forward.
func (r *Router) reply(f *flight, m *Forward, res result) *Forwarded {
	reply := &Forwarded{ID: m.ID, Runner: f.runner, Free: r.options.Pool.Free(m.Entry)}
	if res.answer != nil {
		reply.Answer = *res.answer
	}
	if e := res.fail; e != nil {
		reply.Fail = Failure{Code: e.Code, Message: e.Message, Ran: e.Ran, Retry: e.Retry}
	}
	switch {
	case res.next == elsewhere:
		reply.Outcome = Refused
	case res.next == uncertain:
		reply.Outcome = Doubtful
	case res.fail != nil:
		reply.Outcome = Failed
	default:
		reply.Outcome = Answered
	}
	return reply
}
