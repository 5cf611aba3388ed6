package state

import (
	"crypto/sha256"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/codec"
)

const (
	// maxOperatorResults bounds the stored results of operators' requests, as the
	// design page states. About 6,000 changes are made a day.
	maxOperatorResults = 10_000
	// resultRetention is how long the result of a request is stored for retries.
	resultRetention = 24 * time.Hour
)

// storedResult is the result of a request, returned again to its retries.
type storedResult struct {
	Key      string
	Digest   [32]byte // of the command, to refuse a different one with the same request ID
	Result   Result
	Deadline time.Time
}

// dedupTable stores the results of requests in the order of their deadlines, so
// that a retry is not applied again. It holds at most limit results; a limit of
// zero means no bound.
type dedupTable struct {
	limit int
	byKey map[string]*storedResult
	queue fifo[*storedResult]
}

func newDedupTable(limit int) dedupTable {
	return dedupTable{limit: limit, byKey: make(map[string]*storedResult)}
}

func (t *dedupTable) get(key string) *storedResult { return t.byKey[key] }

func (t *dedupTable) add(k *storedResult) {
	if t.limit > 0 && t.queue.len() >= t.limit {
		t.removeOldest()
	}
	t.byKey[k.Key] = k
	t.queue.push(k)
}

func (t *dedupTable) removeOldest() {
	delete(t.byKey, t.queue.first().Key)
	t.queue.pop()
}

// dedupTableFor returns the table that stores the result of a command and its
// key there, or nil if the result is not stored. Keys of submissions include the
// team, so that request IDs of different teams do not collide. Submissions are
// not bounded in number, so that a burst of them does not evict results that a
// caller may still ask for. Cancellations are idempotent and need no result.
func (s *State) dedupTableFor(c *Command) (*dedupTable, string) {
	switch {
	case c.Request == "":
		return nil, ""
	case c.Submit != nil:
		return &s.submissionResults, c.Submit.Job.Team + "\x00" + c.Request
	case c.Team != nil, c.Entry != nil, c.Key != nil, c.Drain != nil:
		return &s.operatorResults, c.Request
	}
	return nil, ""
}

// digest returns a digest of the command's content. Times are left out, because
// they are later in a retry.
func (c *Command) digest() [32]byte {
	d := *c
	d.Time = time.Time{}
	if d.Submit != nil {
		m := *d.Submit
		m.Job.Submitted, m.Job.Finish = time.Time{}, time.Time{}
		d.Submit = &m
	}
	b, err := codec.Encode(d)
	if err != nil {
		return [32]byte{}
	}
	return sha256.Sum256(b)
}
