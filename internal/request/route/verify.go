package route

import (
	"context"
	"strings"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/upstream"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// verifyTimeout limits the lookup for a refused request. The leader answers from
// memory within a round trip. A refusal is not delayed if there is no leader.
const verifyTimeout = 100 * time.Millisecond

// verifyRefusal makes a refusal accurate for all attempts with the same
// Idempotency-Key, not only for this one: an earlier attempt through another
// entry VM may have run the request. A recorded outcome takes precedence over
// the refusal. If the leader cannot be asked, the refusal says that it is
// unknown whether the request has run.
func (r *Router) verifyRefusal(f *pendingRequest, fail *api.Error) (*upstream.Answer, *api.Error) {
	if r.hooks.skipRefusalCheck || f.intent == nil || f.intent.decided || fail.Ran != api.RanNo || fail.Retry.IsZero() {
		return nil, fail
	}
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	answer, err := r.options.Leader.Query(ctx, control.Query{
		Kind: control.QueryIntent, Team: f.team, Name: f.entry, Identity: f.request.Identity,
	})
	if err != nil {
		fail.Ran = api.RanUnknown
		return nil, fail
	}
	if !answer.Found || answer.Known == nil || f.ownsRecord(answer.Known.Intent.Holder) {
		return nil, fail
	}
	if s := answer.Known.Settle; s != nil && s.Ran == ranNo {
		return nil, fail // the earlier attempt ended before anything was sent
	}
	if answer.Known.Intent.Digest != f.intent.digest {
		return nil, r.mismatchError(f)
	}
	known := r.recordedResult(answer.Known)
	return known.answer, known.fail
}

// ownsRecord reports whether a record belongs to this request, committed here
// or by an entry VM that the request was forwarded to.
func (f *pendingRequest) ownsRecord(holder string) bool {
	return holder == f.intent.holder || strings.Contains(holder, "/"+f.id+".")
}
