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
	// sessionDuration is how long an entry VM may use a grant, counted from when
	// it sent the renewal.
	sessionDuration = control.GrantValidity
	// sessionMargin covers the drift between the clocks.
	sessionMargin = time.Second
	// maxRequestDuration is the longest deadline of a request.
	maxRequestDuration = 30 * time.Second
	// commitTimeout bounds how long a renewal waits for its commands to be
	// committed. An entry VM gives up a renewal after 500 ms.
	commitTimeout = 350 * time.Millisecond
	// maxCatalogueDelta is the largest number of catalogue changes that are sent
	// as changes. An entry VM that is further behind gets the whole catalogue.
	maxCatalogueDelta = 2000
)

// sessions holds the sessions of entry VMs with their allotments and runners. One
// lock is enough, as there are a few dozen entry VMs at most.
type sessions struct {
	term *term

	mu              sync.Mutex
	entries         map[string]*session
	teams           map[string]*allotment
	runners         runners
	recovered       bool      // every session of the former leader has reported or has ended
	unreportedUntil time.Time // until then, missing entry VMs may hold what was not reported
}

// session is the session of one entry VM.
type session struct {
	name             string
	boot             uint64
	sequence         uint64
	zone             string
	draining         bool
	recorded         bool   // the session is in the log
	catalogueVersion uint64 // of the catalogue held
	routesVersion    uint64 // of the runner list held; zero if it is of another term
	claim            claim  // runner list on which its claims to runners are based
	needsRoutes      bool   // gets the runner list even while it is incomplete
	deadline         time.Time
}

func (s *sessions) init(t *term) {
	s.term = t
	s.entries = make(map[string]*session)
	s.teams = make(map[string]*allotment)
	s.runners.init()
}

// renew serves a renewal of an entry VM's session.
func (l *Leader) renew(ctx context.Context, name string, r *control.Renewal) (any, error) {
	t := l.activeTerm.Load()
	if t == nil || !t.leading() {
		return nil, l.notLeader()
	}
	if r.Entry != name {
		return nil, &peer.RemoteError{Code: CodeDenied, Message: "the renewal is of another entry VM"}
	}
	received := t.now()
	needsCommit, ok := t.sessions.acceptRenewal(r, received)
	if !ok {
		return nil, &peer.RemoteError{Code: CodeStale, Message: "a later renewal was served, or another process has the session"}
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if needsCommit && !t.commitSession(ctx, r) {
		return nil, &peer.RemoteError{Code: CodeUnknown, Message: "the session could not be recorded"}
	}
	g := &control.Grant{Term: t.number, Sequence: r.Sequence}
	g.Workers = t.servePolls(ctx, r.Entry, r.Workers, received)
	t.sessions.fillGrant(r, g, t.now())
	g.Catalogue = t.catalogueSince(r.Version)
	return t.answerIfLeading(control.MethodRenew, g)
}

// acceptRenewal processes the session part of a renewal. needsCommit reports
// whether the session is not in the log yet. ok is false if the renewal is out of
// order or another boot has the session.
func (s *sessions) acceptRenewal(r *control.Renewal, received time.Time) (needsCommit, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[r.Entry]
	switch {
	case e == nil:
	case e.boot != r.Boot && s.term.leader.enabled(guardEntryBoot):
		// A late renewal of a former process looks like one of a new process, so
		// the current session has to end first, which takes 4 s.
		return false, false
	case e.boot != r.Boot:
		s.endSession(e, received)
		e = nil
	case r.Sequence <= e.sequence && s.term.leader.enabled(guardRenewalOrder):
		return false, false
	}
	if e == nil {
		// A session that starts after recovery, or whose entry VM has lost its runner
		// list, may follow an ended one. It must learn at once which runners it lost.
		e = &session{name: r.Entry, boot: r.Boot, needsRoutes: s.recovered || r.Term == 0}
		s.entries[r.Entry] = e
		s.initHoldings(e, r, received)
	} else {
		s.updateHoldings(e, r)
	}
	e.sequence, e.zone, e.catalogueVersion = r.Sequence, r.Zone, r.Version
	e.deadline = received.Add(sessionDuration + sessionMargin)
	e.routesVersion, e.claim = 0, claim{r.Term, r.Routes}
	if r.Term == s.term.number {
		e.routesVersion = r.Routes
	}
	if r.Draining && !e.draining {
		s.term.emit(event.SessionDraining, zap.String("entry", e.name))
	}
	e.draining = r.Draining
	s.acceptOwned(e, r)
	for i := range r.Runners {
		s.acceptAnnouncement(&r.Runners[i], received)
	}
	return !e.recorded, true
}

// commitSession commits that an entry VM has a session. Nothing is granted
// before, so that a later leader knows every entry VM that may hold something.
func (t *term) commitSession(ctx context.Context, r *control.Renewal) bool {
	recorded := func(v state.SessionRecord) bool { return v.Entry == r.Entry && v.Boot == r.Boot && v.Ended.IsZero() }
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

// fillGrant sets the allotments and the runner list of a grant.
func (s *sessions) fillGrant(r *control.Renewal, g *control.Grant, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[r.Entry]
	if e == nil || e.boot != r.Boot || e.sequence != r.Sequence {
		return // a later renewal was served meanwhile; the entry VM has given up this one
	}
	g.Teams = s.allot(e, r, now)
	g.Runners, g.Full, g.Routes = s.routeChanges(e, now)
}

// catalogueSince returns the catalogue changes after a version that an entry VM
// holds, or the whole catalogue.
func (t *term) catalogueSince(version uint64) control.Catalogue {
	if version > 0 {
		if c, ok := t.state().CatalogueSince(version, maxCatalogueDelta); ok {
			return control.Catalogue{Version: c.Version, Teams: c.Teams, Entries: c.Entries, Keys: c.Keys}
		}
	}
	c := t.state().Catalogue(false)
	return control.Catalogue{Version: c.Version, Whole: true, Teams: c.Teams, Entries: c.Entries, Keys: c.Keys}
}

// endSession ends a session: its allotments are withheld, and its runners lose
// their owner.
func (s *sessions) endSession(e *session, now time.Time) {
	delete(s.entries, e.name)
	s.withhold(e, now)
	s.orphanRunners(e.name)
	s.term.emit(event.SessionEnded, zap.String("entry", e.name))
}

// maintainSessions ends sessions past their deadline, ends the recovery period of
// a new term, and maintains the runners.
func (t *term) maintainSessions(ctx context.Context) {
	now := t.now()
	for _, c := range t.sessions.maintain(now) {
		if _, err := t.propose(ctx, state.Command{Session: &c}); err != nil {
			return // a new leader withholds what no entry VM reports to it
		}
	}
}

// maintain does the work of maintainSessions that needs no commit, and returns
// the sessions whose end has to be committed.
func (s *sessions) maintain(now time.Time) []state.Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ended []state.Session
	for _, name := range slices.Sorted(maps.Keys(s.entries)) {
		if e := s.entries[name]; !now.Before(e.deadline) {
			s.endSession(e, now)
			ended = append(ended, state.Session{Entry: name, Boot: e.boot, Ended: true})
		}
	}
	ended = append(ended, s.endRecovery(now)...)
	s.releaseExpired(now)
	s.maintainRunners(now)
	return ended
}

// endRecovery ends the period in which a new leader only collects reports, once
// it is over. Sessions in the log that have not reported by then have ended.
func (s *sessions) endRecovery(now time.Time) []state.Session {
	if s.recovered || now.Before(s.term.startedAt.Add(sessionDuration+sessionMargin)) && s.term.leader.enabled(guardRecovery) {
		return nil
	}
	s.recovered = true
	var ended []state.Session
	for _, v := range s.term.state().Sessions() {
		if e := s.entries[v.Entry]; v.Ended.IsZero() && (e == nil || e.boot != v.Boot) {
			ended = append(ended, state.Session{Entry: v.Entry, Boot: v.Boot, Ended: true})
			s.unreportedUntil = now.Add(maxRequestDuration)
		}
		// These times were stamped by a former leader's clock, hence the margin.
		until := latest(v.Ended, v.Former).Add(maxRequestDuration + sessionMargin)
		s.unreportedUntil = latest(s.unreportedUntil, earliest(until, now.Add(maxRequestDuration)))
	}
	if !s.term.leader.enabled(guardWithholdUnreported) {
		s.unreportedUntil = time.Time{}
	}
	if s.unreportedUntil.After(now) {
		s.withholdUnreported()
		s.term.emit(event.AllotmentsWithheld, zap.Time("until", s.unreportedUntil))
	}
	return ended
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
