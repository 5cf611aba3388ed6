package upstream

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/shard"
)

// Errors of Take.
var (
	// ErrLimited tells that the team's allotment here is in use.
	ErrLimited = errors.New("the team's allotment is in use")
	// ErrExpired tells that the session's deadline has passed, so that the
	// allotment may be somebody else's.
	ErrExpired = errors.New("the session has ended")
)

const (
	// firstWait bounds how long a request waits for the allotment of a team that
	// holds none here: a renewal in flight, its spacing and one more round trip
	// are well below it.
	firstWait = 500 * time.Millisecond
	// firstPause is how long such requests are refused at once after a grant
	// said no or did not come, so that a team at its limit does not keep
	// requests waiting.
	firstPause = time.Second
)

// wantedDecay is the part of the wanted amount that is kept from one renewal to
// the next without demand: an eighth is given up, so that an allotment outlives
// a short pause and is returned within a few seconds.
const wantedDecay = 8

// wantedSpare is the part of the demand that is wanted on top of it, so that
// growing demand is not refused until the next renewal.
const wantedSpare = 8

// Allotments counts requests in flight per team against what the leader
// granted to this entry VM. It implements control.Teams.
type Allotments struct {
	teams    *shard.Map[string, *allotment]
	now      func() time.Time
	start    time.Time
	deadline atomic.Int64 // of the session, in nanoseconds after start
	refused  func()       // called when an allotment was too small

	mu   sync.Mutex
	next chan struct{} // closed by the next grant
}

// allotment is guarded by its shard's lock.
type allotment struct {
	granted int64
	used    int64
	peak    int64 // largest use since the last renewal
	refused int64 // requests refused since the last renewal
	wanted  int64
	limited bool      // the team had a limit when last seen
	asked   bool      // a refusal was reported and no grant has answered it
	empty   time.Time // no request waits for a first allotment before then
}

// NewAllotments returns Allotments without any grant. The function refused, if
// not nil, is called after a request was refused for want of an allotment.
func NewAllotments(now func() time.Time, refused func()) *Allotments {
	if now == nil {
		now = time.Now
	}
	if refused == nil {
		refused = func() {}
	}
	return &Allotments{teams: shard.New[string, *allotment](), now: now, start: now(), refused: refused, next: make(chan struct{})}
}

// Take counts one more request in flight. Limit is the team's fleet-wide limit;
// zero means none. It fails with ErrLimited or ErrExpired.
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
		a.refused()
	}
	return err
}

// take counts one more request in flight if the grant allows it.
func (t *allotment) take(limit int64) bool {
	t.limited = limit > 0
	if t.limited && t.used >= min(t.granted, limit) {
		return false
	}
	t.used++
	t.peak = max(t.peak, t.used)
	return true
}

// TakeFirst is Take, but waits a moment for the grant if the team holds nothing
// here, at most until the given time. Without that, each request of a team that
// sends few would be refused.
func (a *Allotments) TakeFirst(team string, limit int64, until time.Time) error {
	next := a.following()
	err := a.Take(team, limit)
	if !errors.Is(err, ErrLimited) || !a.first(team) {
		return err
	}
	timer := time.NewTimer(min(firstWait, until.Sub(a.now())))
	defer timer.Stop()
	for {
		select {
		case <-next:
		case <-timer.C:
			a.teams.With(team, func(m map[string]*allotment) {
				if t := m[team]; t != nil {
					t.empty = a.now().Add(firstPause)
				}
			})
			return err
		}
		next = a.following()
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
		if !a.first(team) {
			return err // others took what was granted
		}
	}
}

// first reports whether nothing is granted to the team and nothing is in use.
func (a *Allotments) first(team string) bool {
	first := false
	now := a.now()
	a.teams.With(team, func(m map[string]*allotment) {
		t := m[team]
		first = t != nil && t.granted == 0 && t.used == 0 && !now.Before(t.empty)
	})
	return first
}

// following returns a channel that the next grant closes.
func (a *Allotments) following() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.next
}

// Release ends what Take began.
func (a *Allotments) Release(team string) {
	a.teams.With(team, func(m map[string]*allotment) {
		if t := m[team]; t != nil && t.used > 0 {
			t.used--
		}
	})
}

// Uses appends what is held, used and wanted of each team. After the session's
// deadline only what is in use counts as held: the rest must be granted anew.
func (a *Allotments) Uses(into []control.TeamUse) []control.TeamUse {
	expired := int64(a.now().Sub(a.start)) >= a.deadline.Load()
	var idle []string
	a.teams.Range(func(name string, t *allotment) bool {
		if expired {
			t.granted = 0
		}
		if u := t.use(); u.Held != 0 || u.Wanted != 0 {
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

// idle reports whether nothing is held, in use or wanted.
func (t *allotment) idle() bool {
	return t.granted == 0 && t.peak == 0 && t.refused == 0 && t.wanted == 0
}

// use returns the team's part of a renewal and starts the next period.
func (t *allotment) use() control.TeamUse {
	demand := t.peak + t.refused
	if demand > 0 {
		demand += 1 + demand/wantedSpare
	}
	t.wanted = max(demand, t.wanted-(t.wanted+wantedDecay-1)/wantedDecay)
	t.asked = t.asked || t.refused > 0
	t.peak, t.refused = t.used, 0
	if !t.limited {
		// What is not reported as held may be granted to others.
		t.granted = 0
	}
	return control.TeamUse{Held: max(t.granted, t.used), Used: t.used, Wanted: max(t.wanted, t.used)}
}

// Grant sets the allotments of the teams named. All allotments are valid until
// deadline, by the clock of this entry VM.
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
			if t.asked && g.Granted == 0 {
				t.empty = now.Add(firstPause)
			}
			t.asked = false
		})
	}
	a.deadline.Store(int64(deadline.Sub(a.start)))
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.next)
	a.next = make(chan struct{})
}

// InFlight returns the number of requests of a team that are in flight here.
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
