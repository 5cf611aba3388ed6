package route

import (
	"context"
	"strings"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/upstream"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// verifyTime bounds the look-up of a refused request. The leader answers from
// memory within a round trip; a refusal is not held back for a lost leader.
const verifyTime = 100 * time.Millisecond

// verify makes a refusal true for the request under its idempotency key, and
// not only for this attempt: an earlier attempt, through another entry VM, may
// have run it. What is recorded of the request goes before the refusal. If the
// leader cannot be asked, it is not known whether the request has run.
func (r *Router) verify(f *flight, fail *api.Error) (*upstream.Answer, *api.Error) {
	if r.hooks.trustRefusal || f.intent == nil || f.intent.answered || fail.Ran != api.RanNo || fail.Retry.IsZero() {
		return nil, fail
	}
	ctx, cancel := context.WithTimeout(context.Background(), verifyTime)
	defer cancel()
	answer, err := r.options.Leader.Query(ctx, control.Query{
		Kind: control.QueryIntent, Team: f.team, Name: f.entry, Identity: f.request.Identity,
	})
	if err != nil {
		fail.Ran = api.RanUnknown
		return nil, fail
	}
	if !answer.Found || answer.Known == nil || f.holds(answer.Known.Intent.Holder) {
		return nil, fail
	}
	if s := answer.Known.Settle; s != nil && s.Ran == ranNo {
		return nil, fail // given up before it ran
	}
	if answer.Known.Intent.Digest != f.intent.digest {
		return nil, r.mismatch(f)
	}
	known := r.recorded(answer.Known)
	return known.answer, known.fail
}

// holds reports whether a record is of this very request, committed here or by
// an entry VM that it was forwarded to.
func (f *flight) holds(holder string) bool {
	return holder == f.intent.holder || strings.Contains(holder, "/"+f.id+".")
}
