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
	// KeptBody and KeptHeader are the largest body and headers of an answer, in
	// bytes, that are recorded for resends.
	KeptBody   = 64 << 10
	KeptHeader = 8 << 10

	// intentWait bounds the wait for the commit of an intent. An election takes
	// up to 3 s.
	intentWait = 3 * time.Second
	// settleTime is how long the recording of an outcome is tried. Past it a
	// resend is answered in_progress until the intent expires.
	settleTime = 10 * time.Minute
	// settlePause and settlePauseMaximum bound the pause between two tries.
	settlePause        = 50 * time.Millisecond
	settlePauseMaximum = 2 * time.Second
)

// Short names of whether a request has run.
const (
	ranNo      = state.RanNo
	ranUnknown = state.RanUnknown
	ranYes     = state.RanYes
)

// intent is the record that a non-idempotent request is about to be sent.
type intent struct {
	digest    [sha256.Size]byte
	holder    string    // unique for this request, so that no other one's settlement matches
	attempt   uint64    // result of the commit; zero if not known
	expires   time.Time // of the record
	committed bool
	answered  bool // the log has taken or refused the intent
	doubtful  bool // the commit is uncertain
	settled   bool
}

// digest returns the SHA-256 of what identifies a request besides its key.
func digest(q *Request) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range [...]string{q.Method, q.Path, q.Query} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write([]byte(part))
	}
	h.Write(q.Body)
	return [sha256.Size]byte(h.Sum(nil))
}

// intend commits the intent of a request. It reports whether the request may
// be sent; otherwise the result says what the caller is told.
func (r *Router) intend(f *flight) (result, bool) {
	if f.intent.committed {
		return result{}, true
	}
	now := r.options.Now()
	ctx, cancel := context.WithDeadline(context.Background(), earlier(f.deadline, now.Add(intentWait)))
	defer cancel()
	f.intent.expires = now.Add(IntentTime)
	answer, err := r.options.Leader.Propose(ctx, f.command())
	if err != nil {
		// Nothing was sent. If the commit is uncertain, the record is settled as
		// not run, so that a resend is not refused for its sake.
		if !errors.Is(err, control.ErrNoLeader) {
			f.intent.doubtful = true
			r.settle(f, ranNo, nil)
		}
		return result{fail: r.refuse(api.NoLeader, "the intent of the request could not be committed: %v", err)}, false
	}
	return r.intended(f, &answer)
}

// command returns the command that records the intent. The holder, which is
// unique, is also the request id, so that a second copy gets the first result.
func (f *flight) command() state.Command {
	return state.Command{Request: f.intent.holder, Intent: &state.Intent{
		Team: f.team, Entry: f.entry, Identity: f.request.Identity, Digest: f.intent.digest,
		Holder: f.intent.holder, Deadline: f.intent.expires,
	}}
}

// intended reads the result of an intent.
func (r *Router) intended(f *flight, s *state.Result) (result, bool) {
	f.intent.answered = true
	switch s.Code {
	case state.OK:
		f.intent.committed, f.intent.attempt = true, s.Attempt
		return result{}, true
	case state.Mismatch:
		return result{fail: r.mismatch(f)}, false
	case state.Duplicate:
		if s.Known == nil {
			break
		}
		return r.recorded(s.Known), false
	case state.Denied:
		return result{fail: web.Refuse(api.Forbidden, "%s", s.Message)}, false
	case state.NotFound:
		return result{fail: web.Refuse(api.UnknownEntry, "%s", s.Message)}, false
	case state.Invalid:
		return result{fail: web.Refuse(api.Malformed, "%s", s.Message)}, false
	}
	return result{fail: web.Refuse(api.Internal, "the intent was answered with %q: %s", s.Code, s.Message)}, false
}

func (r *Router) mismatch(f *flight) *api.Error {
	return web.Refuse(api.Mismatch, "%s %q came with another request before", api.IdempotencyHeader, f.request.Identity)
}

// recorded answers a resend from what is recorded of the request.
func (r *Router) recorded(known *state.Record) result {
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
	return result{fail: web.Unknown(api.InProgress, "the request may have run; its outcome was lost")}
}

// settle records the outcome of a request in the background, so that the
// caller's answer does not wait for it. Only the first outcome counts.
func (r *Router) settle(f *flight, ran state.Ran, answer *upstream.Answer) {
	if f.intent == nil || f.intent.settled || !f.intent.committed && !f.intent.doubtful {
		return
	}
	f.intent.settled = true
	s, command := f.settlement(ran, answer), f.command()
	r.settling.Go(func() { r.record(s, command) })
}

// settlement returns the outcome of a request as it is recorded.
func (f *flight) settlement(ran state.Ran, answer *upstream.Answer) *state.Settle {
	s := &state.Settle{
		Team: f.team, Entry: f.entry, Identity: f.request.Identity, Holder: f.intent.holder, Ran: ran,
		Attempt: f.intent.attempt,
	}
	if answer != nil {
		s.Status = answer.Status
		if s.Whole = keepable(answer); s.Whole {
			s.Header, s.Body = answer.Header, answer.Body
		}
	}
	return s
}

// settleLate prepares a request for an answer that comes after its deadline, so
// that a resend gets it. The returned function is to be called if it is late.
func (r *Router) settleLate(f *flight, u *upstream.Request) (late func()) {
	if f.intent == nil || !f.intent.committed {
		return func() {}
	}
	done := make(chan *state.Settle, 1)
	u.Late = func(answer *upstream.Answer, err error) {
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
		command := f.command()
		r.settling.Go(func() { r.record(<-done, command) })
	}
}

// keepable reports whether an answer is small enough to be recorded.
func keepable(a *upstream.Answer) bool {
	n := 0
	for _, h := range a.Header {
		n += len(h[0]) + len(h[1])
	}
	return len(a.Body) <= KeptBody && n <= KeptHeader
}

// record proposes a settlement until it is applied.
func (r *Router) record(s *state.Settle, intent state.Command) {
	end := r.options.Now().Add(settleTime)
	var last error
	for pause := settlePause; r.options.Now().Before(end); pause = min(2*pause, settlePauseMaximum) {
		ctx, cancel := context.WithDeadline(context.Background(), end)
		last = r.propose(ctx, s, intent)
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

// propose settles an intent. Without the attempt a settlement would not let a
// resend run; an intent whose commit is uncertain is therefore proposed again,
// which returns the attempt if it is recorded and records it if not.
func (r *Router) propose(ctx context.Context, s *state.Settle, intent state.Command) error {
	if s.Attempt == 0 {
		answer, err := r.options.Leader.Propose(ctx, intent)
		if err != nil {
			return err
		}
		if answer.Code != state.OK {
			return nil // another request holds the identity: there is nothing to settle
		}
		s.Attempt = answer.Attempt
	}
	_, err := r.options.Leader.Propose(ctx, state.Command{Settle: s})
	return err
}
