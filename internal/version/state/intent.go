package state

import (
	"cmp"
	"container/heap"
)

const (
	// maximumBody is the largest answer that is kept with an outcome, in bytes.
	maximumBody = 64 << 10
	// maximumBodies bounds the answers kept of all intents, in bytes. Beyond it
	// outcomes are kept without the answer, as the state is in memory and is
	// written whole with each snapshot.
	maximumBodies = 256 << 20
	// maximumHeader is the largest number of header fields kept with it.
	maximumHeader = 64
)

type intentID struct{ team, entry, identity string }

func (a intentID) compare(b intentID) int {
	return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.entry, b.entry), cmp.Compare(a.identity, b.identity))
}

// intent is a recorded intent.
type intent struct {
	Record
	request string // id of the proposal, which a resend by the holder repeats
	attempt uint64 // log index
	place   int    // in the heap
}

func (n *intent) id() intentID { return intentID{n.Intent.Team, n.Intent.Entry, n.Intent.Identity} }

// intentHeap orders intents by deadline, then by identity.
type intentHeap []*intent

func (h intentHeap) Len() int { return len(h) }
func (h intentHeap) Less(i, j int) bool {
	return cmp.Or(h[i].Intent.Deadline.Compare(h[j].Intent.Deadline), h[i].id().compare(h[j].id())) < 0
}
func (h intentHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *intentHeap) Push(x any) {
	n := x.(*intent)
	n.place = len(*h)
	*h = append(*h, n)
}
func (h *intentHeap) Pop() any {
	last := len(*h) - 1
	n := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return n
}

// intend records an intent unless the request is known already. A request that
// certainly did not run may be recorded again.
func (s *State) intend(c *Intent, request string) Result {
	n := *c
	n.Deadline = normal(n.Deadline)
	e := s.entries[n.Entry]
	switch {
	case e == nil || e.Retired:
		return Result{Code: NotFound, Message: "there is no entry " + n.Entry}
	case n.Identity == "" || n.Holder == "" || len(n.Identity) > maximumCommand:
		return invalid("the intent lacks an identity or a holder")
	case n.Deadline.IsZero():
		return invalid("the intent has no deadline")
	}
	id := intentID{n.Team, n.Entry, n.Identity}
	if known := s.intents[id]; known != nil {
		again := known.Settle != nil && known.Settle.Ran == RanNo &&
			(known.Settle.Attempt == known.attempt || !s.on(guardAttempt))
		switch {
		case known.Intent.Digest != n.Digest:
			return Result{Code: Mismatch, Message: "the key came with another request before"}
		case request != "" && known.request == request && known.Intent.Holder == n.Holder && known.Settle == nil:
			return Result{Code: OK, Attempt: known.attempt}
		case !again && s.on(guardIntent):
			return Result{Code: Duplicate, Known: known.record()}
		}
		s.forgetIntent(known)
	}
	r := &intent{Record: Record{Intent: n}, request: request, attempt: s.index}
	s.intents[id] = r
	heap.Push(&s.deadlines, r)
	return Result{Code: OK, Attempt: r.attempt}
}

// forgetIntent drops what is recorded of a request.
func (s *State) forgetIntent(n *intent) {
	heap.Remove(&s.deadlines, n.place)
	delete(s.intents, n.id())
	if n.Settle != nil {
		s.bodies -= len(n.Settle.Body)
	}
}

func (n *intent) record() *Record {
	r := n.Record
	return &r
}

// settle records the outcome of an intent. The first outcome stays.
func (s *State) settle(c *Settle) Result {
	n := s.intents[intentID{c.Team, c.Entry, c.Identity}]
	switch {
	case n == nil:
		return Result{Code: NotFound, Message: "there is no such intent"}
	case n.Intent.Holder != c.Holder && s.on(guardHolder):
		return Result{Code: Denied, Message: "another entry VM holds the intent"}
	case c.Attempt != 0 && c.Attempt != n.attempt && s.on(guardAttempt):
		return Result{Code: Denied, Message: "the intent was recorded again since"}
	case n.Settle != nil:
		return Result{Code: Duplicate, Known: n.record()}
	case c.Ran != RanNo && c.Ran != RanUnknown && c.Ran != RanYes:
		return invalid("the outcome is not known")
	}
	kept := *c
	if len(kept.Body) > maximumBody || len(kept.Header) > maximumHeader || s.bodies+len(kept.Body) > maximumBodies {
		kept.Body, kept.Header, kept.Whole = nil, nil, false
	}
	n.Settle = &kept
	s.bodies += len(kept.Body)
	return Result{Code: OK}
}

// Intent returns what is recorded of a request.
func (s *State) Intent(team, entry, identity string) (Record, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if n := s.intents[intentID{team, entry, identity}]; n != nil {
		return n.Record, true
	}
	return Record{}, false
}
