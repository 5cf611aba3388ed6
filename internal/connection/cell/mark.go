package cell

import (
	"context"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/boottime"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
)

// A copy of a call may wait in a connection during a partition, or unread at a process
// that is paused, while its caller gets an answer by another way. So each copy says for
// which term it is, and until when, on the leader's own clock, it may be carried out. A
// process learns that clock with each answered ping and ages the reading itself, on a
// clock that counts suspensions.

const (
	// MaxCallAge is the age from which on a leader carries out no call, whatever the
	// call says. Callers wait for 3 s.
	MaxCallAge = 5 * time.Second
	// clockDrift is by how much the rates of two clocks may differ.
	clockDrift = 0.02
)

// Mark is a time on a process's clock. That of a leader starts with its term, that of a
// driver with its process, under a random number.
type Mark struct {
	Term  uint64        `cbor:"1,keyasint,omitempty"` // or the number of the driver's process; zero if the process does not lead
	Since time.Duration `cbor:"2,keyasint,omitempty"` // since the start of either
}

// Stamp says when a call or an order was issued and until when it may be carried out, both
// as times since the term began on the clock of the process that carries it out. They are
// too early by the time that the Mark took to arrive and the possible drift of the clocks.
type Stamp struct {
	Term    uint64        `cbor:"1,keyasint,omitempty"` // zero if not known: no limit applies
	Issued  time.Duration `cbor:"2,keyasint,omitempty"`
	Expires time.Duration `cbor:"3,keyasint,omitempty"`
}

// Validity returns the call's stamp.
func (c *Call) Validity() *Stamp { return &c.Stamp }

func (c *Call) arrival() time.Time { return c.Arrived }

func (c *Call) renew(s Stamp, resent bool) { c.Stamp, c.Resent = s, resent }

// Reading is a Mark of another process and when it arrived here.
type Reading struct {
	mark     Mark
	received time.Time // on the boot-time clock
}

// reading is the Reading of a leader's clock.
type reading struct {
	leader string
	*Reading
}

// Update returns the reading that says more: r, which may be nil, or that of a Mark that has
// just arrived. An answer that took longer says less.
func (r *Reading) Update(m Mark) *Reading {
	n := &Reading{m, boottime.Now()}
	if r != nil && r.mark.Term == m.Term && r.since(n.received) > m.Since {
		return r
	}
	return n
}

// since returns a lower bound of the time since the term began at a time of the boot-time
// clock.
func (r *Reading) since(at time.Time) time.Duration {
	elapsed := at.Sub(r.received)
	drift := time.Duration(clockDrift * float64(elapsed.Abs()))
	return r.mark.Since + elapsed - drift
}

// Stamp returns the stamp of a call that arrived at a time and has a deadline, both on the
// boot-time clock.
func (r *Reading) Stamp(arrived, deadline time.Time) Stamp {
	return Stamp{Term: r.mark.Term, Issued: r.since(arrived), Expires: r.since(deadline)}
}

// noteMark records the reading of the clock of a leader that has just answered.
func (l *Link) noteMark(name string, m Mark) *reading {
	var known *Reading
	if k := l.reading.Load(); k != nil && k.leader == name {
		known = k.Reading
	}
	r := &reading{name, known.Update(m)}
	l.reading.Store(r)
	return r
}

// readLeader returns the reading of a leader's clock, and asks the leader if there is none.
func (l *Link) readLeader(ctx context.Context, name string) (*reading, error) {
	if r := l.reading.Load(); r != nil && r.leader == name {
		return r, nil
	}
	var a Leader
	if err := l.ask(ctx, name, MethodWho, &a); err != nil {
		return nil, err
	}
	if a.Name != name {
		return nil, &peer.RemoteError{Code: CodeNotLeader, Message: a.Name}
	}
	return l.noteMark(name, a.Mark), nil
}

// readThrough returns the reading of the leader's clock that a relay has.
func (l *Link) readThrough(ctx context.Context, relay string) (*reading, error) {
	var a Leader
	if err := l.ask(ctx, relay, MethodMark, &a); err != nil {
		return nil, err
	}
	return &reading{a.Name, (*Reading)(nil).Update(a.Mark)}, nil
}

// ask sends a question that changes nothing.
func (l *Link) ask(ctx context.Context, to, method string, a *Leader) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return l.options.Peer.Call(ctx, to, method, Who{}, a)
}

// serveMark answers a process that wants to relay a call through this one.
func (l *Link) serveMark() (Leader, error) {
	name := l.Leader()
	r := l.reading.Load()
	if name == "" || r == nil || r.leader != name {
		return Leader{}, &peer.RemoteError{Code: codeNoLeader, Message: ErrNoLeader.Error()}
	}
	m := r.mark
	m.Since = r.since(boottime.Now())
	return Leader{Name: name, Mark: m}, nil
}
