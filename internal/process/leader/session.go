package leader

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
)

const (
	// sessionTime is how long an entry VM acts on a grant, counted from when it
	// sent the renewal.
	sessionTime = control.ViewTime
	// sessionMargin covers the drift between the clocks.
	sessionMargin = time.Second
	// requestTime is the longest deadline of a request.
	requestTime = 30 * time.Second
	// commitWait bounds how long a renewal waits for commands to be committed.
	// An entry VM gives a renewal up after 500 ms.
	commitWait = 350 * time.Millisecond
	// deltaLimit is the largest number of catalogue changes sent as changes; an
	// entry VM that is further behind gets the whole catalogue.
	deltaLimit = 2000
)

// sessions holds the sessions of entry VMs with what they hold. There are a few
// dozen entry VMs at most, so that one lock is enough.
type sessions struct {
	term *term

	mu      sync.Mutex
	entries map[string]*session
	teams   map[string]*allotment
	runners runners
	settled bool      // every session of the former leader has reported or is over
	unheard time.Time // until then, what was not reported may be held by an entry VM not heard of
}

// session is an entry VM's session.
type session struct {
	name     string
	boot     uint64
	sequence uint64
	zone     string
	draining bool
	recorded bool   // the log has the session
	version  uint64 // of the catalogue held
	routes   uint64 // version of the list of runners held; zero if it is not this term's
	claim    claim  // list that its claims to runners rest on
	listed   bool   // gets the list of runners even while it is not complete
	deadline time.Time
}

func (s *sessions) init(t *term) {
	s.term = t
	s.entries = make(map[string]*session)
	s.teams = make(map[string]*allotment)
	s.runners.init()
}

// renew serves a renewal of an entry VM's session.
func (l *Leader) renew(ctx context.Context, name string, r *control.Renewal) (any, error) {
	t := l.current.Load()
	if t == nil || !t.within() {
		return nil, l.notLeader()
	}
	if r.Entry != name {
		return nil, &peer.Remote{Code: CodeDenied, Message: "the renewal is of another entry VM"}
	}
	received := t.now()
	fresh, ok := t.sessions.begin(r, received)
	if !ok {
		return nil, &peer.Remote{Code: CodeStale, Message: "a later renewal was served, or another process has the session"}
	}
	ctx, cancel := context.WithTimeout(ctx, commitWait)
	defer cancel()
	if fresh && !t.record(ctx, r) {
		return nil, &peer.Remote{Code: CodeUnknown, Message: "the session could not be recorded"}
	}
	g := &control.Grant{Term: t.number, Sequence: r.Sequence}
	g.Workers = t.polls(ctx, r.Entry, r.Workers, received)
	t.sessions.grant(r, g, t.now())
	g.Catalogue = t.catalogue(r.Version)
	return t.answer(control.MethodRenew, g)
}

// begin takes in the session part of a renewal. It reports whether the log has
// yet to record the session, and false for ok if the renewal is out of order.
func (s *sessions) begin(r *control.Renewal, received time.Time) (fresh, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[r.Entry]
	switch {
	case e == nil:
	case e.boot != r.Boot && s.term.leader.on(guardBoot):
		// A late renewal of a former process looks like one of a new process.
		// The current session has to end first, which takes 4 s.
		return false, false
	case e.boot != r.Boot:
		s.end(e, received)
		e = nil
	case r.Sequence <= e.sequence && s.term.leader.on(guardOrder):
		return false, false
	}
	if e == nil {
		// A session that begins late, or whose entry VM has no list any more, may
		// follow one that ended. It must learn at once which runners it has lost.
		e = &session{name: r.Entry, boot: r.Boot, listed: s.settled || r.Term == 0}
		s.entries[r.Entry] = e
		s.accept(e, r, received)
	} else {
		s.update(e, r)
	}
	e.sequence, e.zone, e.version = r.Sequence, r.Zone, r.Version
	e.deadline = received.Add(sessionTime + sessionMargin)
	e.routes, e.claim = 0, claim{r.Term, r.Routes}
	if r.Term == s.term.number {
		e.routes = r.Routes
	}
	if r.Draining && !e.draining {
		s.term.emit(event.SessionDraining, zap.String("entry", e.name))
	}
	e.draining = r.Draining
	s.owned(e, r)
	for i := range r.Runners {
		s.announced(&r.Runners[i], received)
	}
	return !e.recorded, true
}

// record commits that an entry VM has a session. Nothing is granted before, so
// that a later leader knows of every entry VM that may hold something.
func (t *term) record(ctx context.Context, r *control.Renewal) bool {
	recorded := func(v state.SessionView) bool { return v.Entry == r.Entry && v.Boot == r.Boot && v.Ended.IsZero() }
	if !slices.ContainsFunc(t.state().Sessions(), recorded) {
		v, err := t.propose(ctx, state.Command{Session: &state.Session{Entry: r.Entry, Boot: r.Boot}})
		if err != nil || v.Code != state.OK {
			return false
		}
	}
	t.emit(event.SessionBegan, zap.String("entry", r.Entry), zap.String("zone", r.Zone))
	t.sessions.mu.Lock()
	defer t.sessions.mu.Unlock()
	if e := t.sessions.entries[r.Entry]; e != nil && e.boot == r.Boot {
		e.recorded = true
	}
	return true
}

// grant fills in what an entry VM gets.
func (s *sessions) grant(r *control.Renewal, g *control.Grant, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[r.Entry]
	if e == nil || e.boot != r.Boot || e.sequence != r.Sequence {
		return // a later renewal was served meanwhile; the entry VM has given this one up
	}
	g.Teams = s.allot(e, r, now)
	g.Runners, g.Full, g.Routes = s.routes(e, now)
}

// catalogue returns what an entry VM that holds a version lacks.
func (t *term) catalogue(version uint64) control.Catalogue {
	if version > 0 {
		if c, ok := t.state().CatalogueSince(version, deltaLimit); ok {
			return control.Catalogue{Version: c.Version, Teams: c.Teams, Entries: c.Entries, Keys: c.Keys}
		}
	}
	c := t.state().Catalogue(false)
	return control.Catalogue{Version: c.Version, Whole: true, Teams: c.Teams, Entries: c.Entries, Keys: c.Keys}
}

// end ends a session: what it held is kept back, and its runners lose their
// owner.
func (s *sessions) end(e *session, now time.Time) {
	delete(s.entries, e.name)
	s.keepBack(e, now)
	s.orphan(e.name)
	s.term.emit(event.SessionEnded, zap.String("entry", e.name))
}

// tendSessions ends sessions past their deadline, settles a new term, and looks
// after the runners.
func (t *term) tendSessions(ctx context.Context) {
	now := t.now()
	for _, c := range t.sessions.tend(now) {
		if _, err := t.propose(ctx, state.Command{Session: &c}); err != nil {
			return // a new leader keeps back what it does not hear of
		}
	}
}

// tend returns the sessions whose end is to be recorded.
func (s *sessions) tend(now time.Time) []state.Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	var over []state.Session
	for _, name := range slices.Sorted(maps.Keys(s.entries)) {
		if e := s.entries[name]; !now.Before(e.deadline) {
			s.end(e, now)
			over = append(over, state.Session{Entry: name, Boot: e.boot, Ended: true})
		}
	}
	over = append(over, s.settle(now)...)
	s.releaseBack(now)
	s.tendRunners(now)
	return over
}

// settle ends the time in which a new leader only takes in reports. Sessions
// that the log has and that have not reported by then are over.
func (s *sessions) settle(now time.Time) []state.Session {
	if s.settled || now.Before(s.term.since.Add(sessionTime+sessionMargin)) && s.term.leader.on(guardSettle) {
		return nil
	}
	s.settled = true
	var over []state.Session
	for _, v := range s.term.state().Sessions() {
		if e := s.entries[v.Entry]; v.Ended.IsZero() && (e == nil || e.boot != v.Boot) {
			over = append(over, state.Session{Entry: v.Entry, Boot: v.Boot, Ended: true})
			s.unheard = now.Add(requestTime)
		}
		// Recorded by the clock of a former leader, hence the margin.
		until := latest(v.Ended, v.Former).Add(requestTime + sessionMargin)
		s.unheard = latest(s.unheard, earliest(until, now.Add(requestTime)))
	}
	if !s.term.leader.on(guardUnheard) {
		s.unheard = time.Time{}
	}
	if s.unheard.After(now) {
		s.reserveUnheard()
		s.term.emit(event.SessionHeld, zap.Time("until", s.unheard))
	}
	return over
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
