package state

import (
	"crypto/sha256"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/codec"
)

const (
	// operatorResults bounds the results of operators' requests that are kept,
	// as the design page states. A day has about 6,000 changes.
	operatorResults = 10_000
	// resultRetention is how long the result of a request is kept for resends.
	resultRetention = 24 * time.Hour
)

// kept is the result of a request, for resends.
type kept struct {
	Key      string
	Digest   [32]byte // of the command, to refuse another one under the same id
	Result   Result
	Deadline time.Time
}

// ledger keeps results in the order of their deadlines, at most limit of them
// unless limit is zero.
type ledger struct {
	limit int
	byKey map[string]*kept
	queue fifo[*kept]
}

func newLedger(limit int) ledger { return ledger{limit: limit, byKey: make(map[string]*kept)} }

func (l *ledger) find(key string) *kept { return l.byKey[key] }

func (l *ledger) keep(k *kept) {
	if l.limit > 0 && l.queue.len() >= l.limit {
		l.drop()
	}
	l.byKey[k.Key] = k
	l.queue.push(k)
}

func (l *ledger) drop() {
	delete(l.byKey, l.queue.first().Key)
	l.queue.pop()
}

// ledgerOf returns where the result of a command is kept and under which key,
// or nil if it is not kept. Submissions are kept apart by team, so that one
// team's ids do not meet another's, and are not bounded in number, so that a
// wave of them does not push out results that a caller may still ask for. A
// cancellation needs no result, because a second one changes nothing.
func (s *State) ledgerOf(c *Command) (*ledger, string) {
	switch {
	case c.Request == "":
		return nil, ""
	case c.Submit != nil:
		return &s.callers, c.Submit.Job.Team + "\x00" + c.Request
	case c.Team != nil, c.Entry != nil, c.Key != nil, c.Drain != nil:
		return &s.operators, c.Request
	}
	return nil, ""
}

// digest returns a digest of what the command asks for. Times are left out,
// because a resend carries later ones.
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
