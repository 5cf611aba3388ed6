package upstream

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/boottime"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/shard"
)

// Errors of Take.
var (
	// ErrLimited means that the team's allotment on this entry VM is in use.
	ErrLimited = errors.New("the team's allotment is in use")
	// ErrExpired means that the deadline of the session has passed, so that the
	// allotment may have been granted to another entry VM.
	ErrExpired = errors.New("the session has ended")
)

const (
	// maxFirstWait bounds how long a request waits for the first allotment of its
	// team on this entry VM. It is well above the time of a renewal in flight,
	// the renewal spacing and one more round trip.
	maxFirstWait = 500 * time.Millisecond
	// firstPause is how long such requests are refused immediately after a grant
	// of zero or a timeout, so that the requests of a team at its limit do not
	// wait in vain.
	firstPause = time.Second
)

// wantedDecay is the divisor for the decay of the wanted amount: without demand
// it shrinks by an eighth with each renewal, so that an allotment survives a
// short pause and is returned within a few seconds.
const wantedDecay = 8

// wantedSpare is the divisor for the headroom that is requested on top of the
// demand, so that growing demand is not refused until the next renewal.
const wantedSpare = 8

// Allotments limits the requests in flight of each team to the allotment that
// the leader granted to this entry VM. It implements control.Teams.
type Allotments struct {
	teams     *shard.Map[string, *allotment]
	now       func() time.Time
	start     time.Time
	deadline  atomic.Int64 // end of the session, in nanoseconds after start
	onRefused func()       // called after a request was refused for lack of allotment

	mu      sync.Mutex
	granted chan struct{} // closed and replaced by the next grant
}

// allotment is the state of one team. It is guarded by the lock of its shard.
type allotment struct {
	granted         int64
	used            int64
	peak            int64     // maximum of used since the last renewal
	refused         int64     // requests refused since the last renewal
	wanted          int64     // amount to request with the next renewal
	limited         bool      // the team had a limit at its last request or grant
	refusalReported bool      // a refusal was reported and not yet answered by a grant
	noWaitUntil     time.Time // until then no request waits for a first allotment
}

// NewAllotments returns Allotments without any grant. Deadlines of grants are times of
// now, which has to count suspensions of the VM and defaults to boottime.Now. The
// function refused, if not nil, is called after a request was refused for lack of
// allotment.
func NewAllotments(now func() time.Time, refused func()) *Allotments {
	if now == nil {
		now = boottime.Now
	}
	if refused == nil {
		refused = func() {}
	}
	return &Allotments{teams: shard.New[string, *allotment](), now: now, start: now(), onRefused: refused, granted: make(chan struct{})}
}

// Take adds a request in flight. limit is the team's limit over all entry VMs;
// zero means no limit. It fails with ErrLimited or ErrExpired.
func (a *Allotments) Take(team string, limit int64) error {
	if int64(a.now().Sub(a.start)) >= a.deadline.Load() {
		return ErrExpired
	}
	var err error
	a.teams.With(team, func(m map[string]*allotment) {
		t := m[team]
		if t == nil {
			t = &allotment{}
			m[team] = t
		}
		if !t.take(limit) {
			t.refused++
			err = ErrLimited
		}
	})
	if err != nil {
		a.onRefused()
	}
	return err
}

// take adds a request in flight if the allotment allows it.
func (t *allotment) take(limit int64) bool {
	t.limited = limit > 0
	if t.limited && t.used >= min(t.granted, limit) {
		return false
	}
	t.used++
	t.peak = max(t.peak, t.used)
	return true
}

// TakeOrWait is like Take, but waits for a grant if the team has neither an
// allotment nor a request in flight on this entry VM, at most for maxFirstWait
// and until the given time, which is one of time.Now. Without this, each request of a
// team that sends few requests would be refused.
func (a *Allotments) TakeOrWait(team string, limit int64, until time.Time) error {
	next := a.nextGrant()
	err := a.Take(team, limit)
	if !errors.Is(err, ErrLimited) || !a.mayAwaitFirst(team) {
		return err
	}
	timer := time.NewTimer(min(maxFirstWait, time.Until(until)))
	defer timer.Stop()
	for {
		select {
		case <-next:
		case <-timer.C:
			a.teams.With(team, func(m map[string]*allotment) {
				if t := m[team]; t != nil {
					t.noWaitUntil = a.now().Add(firstPause)
				}
			})
			return err
		}
		next = a.nextGrant()
		taken := false
		expired := int64(a.now().Sub(a.start)) >= a.deadline.Load()
		a.teams.With(team, func(m map[string]*allotment) {
			if t := m[team]; t != nil && !expired {
				taken = t.take(limit)
			}
		})
		if taken {
			return nil
		}
		if !a.mayAwaitFirst(team) {
			return err // other requests have used the grant
		}
	}
}

// mayAwaitFirst reports whether a request may wait for the first allotment of its
// team: the team has neither an allotment nor a request in flight, and the pause
// after an unsuccessful wait is over.
func (a *Allotments) mayAwaitFirst(team string) bool {
	first := false
	now := a.now()
	a.teams.With(team, func(m map[string]*allotment) {
		t := m[team]
		first = t != nil && t.granted == 0 && t.used == 0 && !now.Before(t.noWaitUntil)
	})
	return first
}

// nextGrant returns a channel that the next grant closes.
func (a *Allotments) nextGrant() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.granted
}

// Release ends a request that was added by Take or TakeOrWait.
func (a *Allotments) Release(team string) {
	a.teams.With(team, func(m map[string]*allotment) {
		if t := m[team]; t != nil && t.used > 0 {
			t.used--
		}
	})
}

// Uses appends the held, used and wanted amounts of each team. After the
// deadline of the session only the requests in flight count as held; the rest
// must be granted again.
func (a *Allotments) Uses(into []control.TeamUse) []control.TeamUse {
	expired := int64(a.now().Sub(a.start)) >= a.deadline.Load()
	var idle []string
	a.teams.Range(func(name string, t *allotment) bool {
		if expired {
			t.granted = 0
		}
		if u := t.report(); u.Held != 0 || u.Wanted != 0 {
			u.Team = name
			into = append(into, u)
		} else {
			idle = append(idle, name)
		}
		return true
	})
	for _, name := range idle {
		a.teams.With(name, func(m map[string]*allotment) {
			if t := m[name]; t != nil && t.idle() {
				delete(m, name)
			}
		})
	}
	return into
}

// idle reports whether the team holds, uses and wants nothing.
func (t *allotment) idle() bool {
	return t.granted == 0 && t.peak == 0 && t.refused == 0 && t.wanted == 0
}

// report returns the team's part of a renewal and starts the next period.
func (t *allotment) report() control.TeamUse {
	demand := t.peak + t.refused
	if demand > 0 {
		demand += 1 + demand/wantedSpare
	}
	t.wanted = max(demand, t.wanted-(t.wanted+wantedDecay-1)/wantedDecay)
	t.refusalReported = t.refusalReported || t.refused > 0
	t.peak, t.refused = t.used, 0
	if !t.limited {
		// An amount not reported as held may be granted to other entry VMs.
		t.granted = 0
	}
	return control.TeamUse{Held: max(t.granted, t.used), Used: t.used, Wanted: max(t.wanted, t.used)}
}

// Grant sets the allotments of the given teams. All allotments are valid until
// deadline on the clock of this entry VM.
func (a *Allotments) Grant(grants []control.TeamGrant, deadline time.Time) {
	now := a.now()
	for i := range grants {
		g := &grants[i]
		a.teams.With(g.Team, func(m map[string]*allotment) {
			t := m[g.Team]
			if t == nil {
				if g.Granted == 0 {
					return
				}
				t = &allotment{}
				m[g.Team] = t
			}
			t.granted = g.Granted
			t.limited = t.limited || g.Granted > 0
			if t.refusalReported && g.Granted == 0 {
				t.noWaitUntil = now.Add(firstPause)
			}
			t.refusalReported = false
		})
	}
	a.deadline.Store(int64(deadline.Sub(a.start)))
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.granted)
	a.granted = make(chan struct{})
}

// InFlight returns the number of requests in flight of a team on this entry VM.
func (a *Allotments) InFlight(team string) int64 {
	n := int64(0)
	a.teams.With(team, func(m map[string]*allotment) {
		if t := m[team]; t != nil {
			n = t.used
		}
	})
	return n
}

var _ control.Teams = (*Allotments)(nil)
