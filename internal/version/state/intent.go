package state

import (
	"cmp"
	"container/heap"
)

const (
	// maxAnswerBytes is the largest answer that is stored with an outcome, in
	// bytes.
	maxAnswerBytes = 64 << 10
	// maxTotalAnswerBytes bounds the stored answers of all intents, in bytes.
	// Beyond it outcomes are stored without the answer, because the state is
	// held in memory and written in full with each snapshot.
	maxTotalAnswerBytes = 256 << 20
	// maxAnswerHeaders is the largest number of header fields stored with an
	// answer.
	maxAnswerHeaders = 64
)

type intentID struct{ team, entry, identity string }

func (a intentID) compare(b intentID) int {
	return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.entry, b.entry), cmp.Compare(a.identity, b.identity))
}

// intent is a recorded intent with its position in the heap.
type intent struct {
	Record
	request   string // ID of the proposal, which the holder repeats in a retry
	attempt   uint64 // log index of the command that recorded it
	heapIndex int    // position in intentsByDeadline
}

func (n *intent) id() intentID { return intentID{n.Intent.Team, n.Intent.Entry, n.Intent.Identity} }

// intentHeap is a heap.Interface that orders intents by deadline, then by ID.
type intentHeap []*intent

func (h intentHeap) Len() int { return len(h) }
func (h intentHeap) Less(i, j int) bool {
	return cmp.Or(h[i].Intent.Deadline.Compare(h[j].Intent.Deadline), h[i].id().compare(h[j].id())) < 0
}
func (h intentHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *intentHeap) Push(x any) {
	n := x.(*intent)
	n.heapIndex = len(*h)
	*h = append(*h, n)
}
func (h *intentHeap) Pop() any {
	last := len(*h) - 1
	n := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return n
}

// recordIntent records an intent unless one is already recorded for the
// request. An intent that was settled as not run may be recorded again. A
// holder that repeats its proposal before the intent is settled gets the first
// result.
func (s *State) recordIntent(c *Intent, request string) Result {
	n := *c
	n.Deadline = normalizeTime(n.Deadline)
	e := s.entries[n.Entry]
	switch {
	case e == nil || e.Retired:
		return Result{Code: NotFound, Message: "there is no entry " + n.Entry}
	case n.Identity == "" || n.Holder == "" || len(n.Identity) > maxCommandBytes:
		return invalid("the intent lacks an identity or a holder")
	case n.Deadline.IsZero():
		return invalid("the intent has no deadline")
	}
	id := intentID{n.Team, n.Entry, n.Identity}
	if existing := s.intents[id]; existing != nil {
		retryable := existing.Settle != nil && existing.Settle.Ran == RanNo &&
			(existing.Settle.Attempt == existing.attempt || !s.enabled(guardAttempt))
		switch {
		case existing.Intent.Digest != n.Digest:
			return Result{Code: Mismatch, Message: "the key came with another request before"}
		case request != "" && existing.request == request && existing.Intent.Holder == n.Holder && existing.Settle == nil:
			return Result{Code: OK, Attempt: existing.attempt}
		case !retryable && s.enabled(guardIntent):
			return Result{Code: Duplicate, Known: existing.copyRecord()}
		}
		s.removeIntent(existing)
	}
	r := &intent{Record: Record{Intent: n}, request: request, attempt: s.index}
	s.intents[id] = r
	heap.Push(&s.intentsByDeadline, r)
	return Result{Code: OK, Attempt: r.attempt}
}

// removeIntent removes an intent and its outcome.
func (s *State) removeIntent(n *intent) {
	heap.Remove(&s.intentsByDeadline, n.heapIndex)
	delete(s.intents, n.id())
	if n.Settle != nil {
		s.answerBytes -= len(n.Settle.Body)
	}
}

func (n *intent) copyRecord() *Record {
	r := n.Record
	return &r
}

// settleIntent records the outcome of an intent. It never replaces an earlier
// outcome.
func (s *State) settleIntent(c *Settle) Result {
	n := s.intents[intentID{c.Team, c.Entry, c.Identity}]
	switch {
	case n == nil:
		return Result{Code: NotFound, Message: "there is no such intent"}
	case n.Intent.Holder != c.Holder && s.enabled(guardHolder):
		return Result{Code: Denied, Message: "another entry VM holds the intent"}
	case c.Attempt != 0 && c.Attempt != n.attempt && s.enabled(guardAttempt):
		return Result{Code: Denied, Message: "the intent was recorded again since"}
	case n.Settle != nil:
		return Result{Code: Duplicate, Known: n.copyRecord()}
	case c.Ran != RanNo && c.Ran != RanUnknown && c.Ran != RanYes:
		return invalid("the outcome is not known")
	}
	stored := *c
	if len(stored.Body) > maxAnswerBytes || len(stored.Header) > maxAnswerHeaders || s.answerBytes+len(stored.Body) > maxTotalAnswerBytes {
		stored.Body, stored.Header, stored.Whole = nil, nil, false
	}
	n.Settle = &stored
	s.answerBytes += len(stored.Body)
	return Result{Code: OK}
}

// Intent returns the recorded intent of a request.
func (s *State) Intent(team, entry, identity string) (Record, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if n := s.intents[intentID{team, entry, identity}]; n != nil {
		return n.Record, true
	}
	return Record{}, false
}
