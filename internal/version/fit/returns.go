package fit

import "time"

// Returns holds when callers that were refused were told to retry. It answers a
// flood that outlasts the patience of callers: those refused first return first, and
// they return as fast as the pool can serve them, not all at once.
type Returns struct {
	next [tiers]time.Time // when there is expected to be room for one more
}

// assign returns when a caller retries that is refused now. There is expected to be
// room for its job from a time on, and the job then keeps the whole pool busy.
func (r *Returns) assign(now, room time.Time, tier int, busy time.Duration) time.Time {
	at := room
	if r.next[tier].After(at) {
		at = r.next[tier]
	}
	if latest := now.Add(maxRetryAfter); at.After(latest) {
		return latest
	}
	r.next[tier] = at.Add(busy)
	return at
}
