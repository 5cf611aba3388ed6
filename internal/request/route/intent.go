package route

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/upstream"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/request/web"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

const (
	// MaxStoredBody and MaxStoredHeader are the maximum sizes, in bytes, of the
	// body and of the headers of an answer that is stored for retries.
	MaxStoredBody   = 64 << 10
	MaxStoredHeader = 8 << 10

	// intentTimeout limits the wait for the commit of an intent. An election
	// takes up to 3 s.
	intentTimeout = 3 * time.Second
	// settleTimeout limits the attempts to record an outcome. After it, a retry
	// with the same key gets in_progress until the intent expires.
	settleTimeout = 10 * time.Minute
	// settleBackoff and maxSettleBackoff limit the delay between two attempts.
	settleBackoff    = 50 * time.Millisecond
	maxSettleBackoff = 2 * time.Second
)

// Short names for the values of state.Ran.
const (
	ranNo      = state.RanNo
	ranUnknown = state.RanUnknown
	ranYes     = state.RanYes
)

// intent is the record that a non-idempotent request is about to be sent.
type intent struct {
	digest        [sha256.Size]byte
	holder        string    // unique to this request, so that no other request can settle its intent
	attempt       uint64    // number from the committed intent; zero if unknown
	expires       time.Time // when the record expires
	committed     bool
	decided       bool // the replicated log has accepted or refused the intent
	commitUnknown bool // it is unknown whether the intent was committed
	settled       bool
}

// digest returns the SHA-256 of the parts that identify a request, without its key.
func digest(q *Request) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range [...]string{q.Method, q.Path, q.Query} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write([]byte(part))
	}
	h.Write(q.Body)
	return [sha256.Size]byte(h.Sum(nil))
}

// commitIntent commits the intent of a request. It reports whether the request
// may be sent; if not, the result holds the answer for the caller.
func (r *Router) commitIntent(f *pendingRequest) (result, bool) {
	if f.intent.committed {
		return result{}, true
	}
	now := r.options.Now()
	ctx, cancel := context.WithDeadline(context.Background(), earlier(f.deadline, now.Add(intentTimeout)))
	defer cancel()
	f.intent.expires = now.Add(IntentRetention)
	answer, err := r.options.Leader.Propose(ctx, f.intentCommand())
	if err != nil {
		// Nothing was sent. If the intent may have been committed, it is settled
		// as not run, so that it does not make a retry fail.
		if !errors.Is(err, control.ErrNoLeader) {
			f.intent.commitUnknown = true
			r.settle(f, ranNo, nil)
		}
		return result{fail: r.refuse(api.NoLeader, "the intent of the request could not be committed: %v", err)}, false
	}
	return r.intentResult(f, &answer)
}

// intentCommand returns the command that records the intent. The holder, which
// is unique, is also the request ID, so that a second copy of the command gets
// the result of the first.
func (f *pendingRequest) intentCommand() state.Command {
	return state.Command{Request: f.intent.holder, Intent: &state.Intent{
		Team: f.team, Entry: f.entry, Identity: f.request.Identity, Digest: f.intent.digest,
		Holder: f.intent.holder, Deadline: f.intent.expires,
	}}
}

// intentResult evaluates the result of an intent command.
func (r *Router) intentResult(f *pendingRequest, s *state.Result) (result, bool) {
	f.intent.decided = true
	switch s.Code {
	case state.OK:
		f.intent.committed, f.intent.attempt = true, s.Attempt
		return result{}, true
	case state.Mismatch:
		return result{fail: r.mismatchError(f)}, false
	case state.Duplicate:
		if s.Known == nil {
			break
		}
		return r.recordedResult(s.Known), false
	case state.Denied:
		return result{fail: web.Refuse(api.Forbidden, "%s", s.Message)}, false
	case state.NotFound:
		return result{fail: web.Refuse(api.UnknownEntry, "%s", s.Message)}, false
	case state.Invalid:
		return result{fail: web.Refuse(api.Malformed, "%s", s.Message)}, false
	}
	return result{fail: web.Refuse(api.Internal, "the intent was answered with %q: %s", s.Code, s.Message)}, false
}

func (r *Router) mismatchError(f *pendingRequest) *api.Error {
	return web.Refuse(api.Mismatch, "%s %q came with another request before", api.IdempotencyHeader, f.request.Identity)
}

// recordedResult returns the result for a retry from the record of the request.
func (r *Router) recordedResult(known *state.Record) result {
	s := known.Settle
	switch {
	case s == nil:
		fail := r.refuse(api.InProgress, "the same request is being run, or its outcome was lost")
		fail.Ran = api.RanUnknown
		return result{fail: fail}
	case s.Ran == ranYes && s.Whole:
		return result{answer: &upstream.Answer{Status: s.Status, Header: s.Header, Body: s.Body}}
	case s.Ran == ranYes:
		fail := web.Refuse(api.InProgress, "the request ran with status %d; its answer was too large to keep", s.Status)
		fail.Ran = api.RanYes
		return result{fail: fail}
	case s.Ran == ranNo:
		return result{fail: r.refuse(api.InProgress, "the same request was given up before it ran; send it again")}
	}
	return result{fail: web.OutcomeUnknown(api.InProgress, "the request may have run; its outcome was lost")}
}

// settle records the outcome of a request in the background, so that the
// caller's answer does not wait for it. Only the first outcome counts.
func (r *Router) settle(f *pendingRequest, ran state.Ran, answer *upstream.Answer) {
	if f.intent == nil || f.intent.settled || !f.intent.committed && !f.intent.commitUnknown {
		return
	}
	f.intent.settled = true
	s, command := f.settlement(ran, answer), f.intentCommand()
	r.settlements.Go(func() { r.recordSettlement(s, command) })
}

// settlement returns the outcome of a request in the form that is recorded.
func (f *pendingRequest) settlement(ran state.Ran, answer *upstream.Answer) *state.Settle {
	s := &state.Settle{
		Team: f.team, Entry: f.entry, Identity: f.request.Identity, Holder: f.intent.holder, Ran: ran,
		Attempt: f.intent.attempt,
	}
	if answer != nil {
		s.Status = answer.Status
		if s.Whole = storable(answer); s.Whole {
			s.Header, s.Body = answer.Header, answer.Body
		}
	}
	return s
}

// settleWhenLate sets up u so that an answer that comes after the deadline is
// recorded and a retry gets it. The returned function must be called if the
// deadline passed before the answer came.
func (r *Router) settleWhenLate(f *pendingRequest, u *upstream.Request) (late func()) {
	if f.intent == nil || !f.intent.committed {
		return func() {}
	}
	done := make(chan *state.Settle, 1)
	u.OnLateResponse = func(answer *upstream.Answer, err error) {
		switch {
		case err == nil:
			done <- f.settlement(ranYes, answer)
		case errors.Is(err, upstream.ErrNotSent):
			done <- f.settlement(ranNo, nil)
		default:
			done <- f.settlement(ranUnknown, nil)
		}
	}
	return func() {
		f.intent.settled = true
		command := f.intentCommand()
		r.settlements.Go(func() { r.recordSettlement(<-done, command) })
	}
}

// storable reports whether an answer is small enough to be stored.
func storable(a *upstream.Answer) bool {
	n := 0
	for _, h := range a.Header {
		n += len(h[0]) + len(h[1])
	}
	return len(a.Body) <= MaxStoredBody && n <= MaxStoredHeader
}

// recordSettlement proposes a settlement until it is committed or settleTimeout
// has passed.
func (r *Router) recordSettlement(s *state.Settle, intent state.Command) {
	end := r.options.Now().Add(settleTimeout)
	var last error
	for pause := settleBackoff; r.options.Now().Before(end); pause = min(2*pause, maxSettleBackoff) {
		ctx, cancel := context.WithDeadline(context.Background(), end)
		last = r.proposeSettlement(ctx, s, intent)
		cancel()
		if last == nil {
			return
		}
		time.Sleep(pause)
	}
	metricUnsettled.Add(1)
	r.options.Log.Emit(event.RequestUnsettled, zap.String("entry", s.Entry), zap.String("team", s.Team),
		zap.String("holder", s.Holder), zap.Error(last))
}

// proposeSettlement settles an intent. A settlement without an attempt number
// would not let a retry run. An intent that may not have been committed is
// therefore proposed again: this returns the attempt number of the existing
// record, or creates the record.
func (r *Router) proposeSettlement(ctx context.Context, s *state.Settle, intent state.Command) error {
	if s.Attempt == 0 {
		answer, err := r.options.Leader.Propose(ctx, intent)
		if err != nil {
			return err
		}
		if answer.Code != state.OK {
			return nil // the key belongs to another request, so there is nothing to settle
		}
		s.Attempt = answer.Attempt
	}
	_, err := r.options.Leader.Propose(ctx, state.Command{Settle: s})
	return err
}
