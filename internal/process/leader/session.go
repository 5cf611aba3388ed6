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
	// lowerInterval is the minimum time between a change of a session's record and
	// the next one that only lowers its holdings.
	lowerInterval = 10 * time.Second
	// maxCatalogueDelta is the largest number of catalogue changes that are sent
	// as changes. An entry VM that is further behind gets the whole catalogue.
	maxCatalogueDelta = 2000
)

// sessions holds the sessions of entry VMs with their allotments and runners. One
// lock is enough, as there are a few dozen entry VMs at most.
type sessions struct {
	term *term

	mu        sync.Mutex
	entries   map[string]*session
	teams     map[string]*allotment
	runners   runners
	recovered bool // every session of the former leader has reported or has ended
}

// session is the session of one entry VM.
type session struct {
	name             string
	boot             uint64
	sequence         uint64
	zone             string
	draining         bool
	recorded         bool           // the session is in the log
	record           state.Holdings // what the log says that it may hold, at least
	proposed         uint64         // sequence of the renewal that proposed the last change of the record
	lowerAt          time.Time      // when the record may be lowered next
	catalogueVersion uint64         // of the catalogue held
	routesVersion    uint64         // of the runner list held; zero if it is of another term
	claim            claim          // runner list on which its claims to runners are based
	needsRoutes      bool           // gets the runner list even while it is incomplete
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
	if !t.sessions.acceptRenewal(r, received) {
		return nil, &peer.RemoteError{Code: CodeStale, Message: "a later renewal was served, or another process has the session"}
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	g := &control.Grant{Term: t.number, Sequence: r.Sequence}
	var recorded bool
	if g.Teams, recorded = t.grantTeams(ctx, r); !recorded {
		return nil, &peer.RemoteError{Code: CodeUnknown, Message: "the session could not be recorded"}
	}
	g.Workers = t.servePolls(ctx, r.Entry, r.Workers, received)
	t.sessions.fillGrant(r, g, t.now())
	g.Catalogue = t.catalogueSince(r.Version)
	return t.answerIfLeading(control.MethodRenew, g)
}

// acceptRenewal processes the session part of a renewal. It returns false if the
// renewal is out of order or another boot has the session.
func (s *sessions) acceptRenewal(r *control.Renewal, received time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[r.Entry]
	switch {
	case e == nil:
	case e.boot != r.Boot && s.term.leader.enabled(guardEntryBoot):
		// A late renewal of a former process looks like one of a new process, so
		// the current session has to end first, which takes 4 s.
		return false
	case e.boot != r.Boot:
		s.endSession(e, received)
		e = nil
	case r.Sequence <= e.sequence && s.term.leader.enabled(guardRenewalOrder):
		return false
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
	return true
}

// grantTeams returns the allotments that answer a renewal. Nothing is granted
// before it is in the log that the session may hold it, so that a later leader
// knows what an entry VM may hold that does not report to it. If that cannot be
// committed in time, the allotments do not grow. recorded reports whether the
// session is in the log.
func (t *term) grantTeams(ctx context.Context, r *control.Renewal) (grants []control.TeamGrant, recorded bool) {
	grants, change := t.sessions.planAllotments(r, t.now())
	if change == nil {
		return grants, true
	}
	if v, err := t.propose(ctx, state.Command{Session: change}); err == nil && v.Code == state.OK {
		if t.sessions.setRecord(change, t.now()) {
			t.emit(event.SessionBegan, zap.String("entry", r.Entry), zap.String("zone", r.Zone))
		}
		return grants, true
	}
	return t.sessions.recordedGrants(change, grants)
}

// planAllotments returns the allotments that answer a renewal, and the change of
// the session's record that has to be committed before, if any.
func (s *sessions) planAllotments(r *control.Renewal, now time.Time) ([]control.TeamGrant, *state.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[r.Entry]
	if e == nil || e.boot != r.Boot || e.sequence != r.Sequence {
		return nil, nil // a later renewal was served meanwhile; the entry VM has given up this one
	}
	grants := s.allot(e, r, now)
	held := s.holdingsOf(e.name)
	if e.recorded && e.record.Covers(held) && (now.Before(e.lowerAt) || held.Covers(e.record)) {
		return grants, nil
	}
	e.proposed = r.Sequence
	e.record = e.record.Min(held) // the change may take effect at any time, or never
	return grants, &state.Session{Entry: e.name, Boot: e.boot, Sequence: r.Sequence, Held: held}
}

// setRecord notes that a change of a session's record was committed. It reports
// whether the session has begun with it.
func (s *sessions) setRecord(c *state.Session, now time.Time) (began bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[c.Entry]
	if e == nil || e.boot != c.Boot {
		return false
	}
	began, e.recorded = !e.recorded, true
	if e.proposed == c.Sequence {
		e.record, e.lowerAt = c.Held, now.Add(lowerInterval)
	}
	return began
}

// recordedGrants returns the part of the grants that is covered without a change
// of the session's record, and whether the session is in the log. Teams without
// such a part are left out, because a grant of zero means that the limit is in use.
func (s *sessions) recordedGrants(c *state.Session, grants []control.TeamGrant) (covered []control.TeamGrant, recorded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[c.Entry]
	if e == nil || e.boot != c.Boot || !e.recorded {
		return nil, false
	}
	for _, g := range grants {
		if n := e.record.Of(g.Team, 0); n > 0 || g.Granted == 0 {
			covered = append(covered, control.TeamGrant{Team: g.Team, Granted: min(g.Granted, n)})
		}
	}
	return covered, true
}

// holdingsOf returns what an entry VM holds of each team's limit.
func (s *sessions) holdingsOf(entry string) state.Holdings {
	held := state.Holdings{Known: true}
	if !s.term.leader.enabled(guardRecordHoldings) {
		return held
	}
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		if h := s.teams[name].holdings[entry]; h.held > 0 {
			held.Teams = append(held.Teams, state.TeamHolding{Team: name, Amount: h.held})
		}
	}
	return held
}

// fillGrant sets the runner list of a grant.
func (s *sessions) fillGrant(r *control.Renewal, g *control.Grant, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[r.Entry]
	if e == nil || e.boot != r.Boot || e.sequence != r.Sequence {
		g.Teams = nil
		return // a later renewal was served meanwhile; the entry VM has given up this one
	}
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
			return // the next leader withholds what the session may hold
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
			ended = append(ended, state.Session{Entry: name, Boot: e.boot, Sequence: e.sequence, Ended: true})
		}
	}
	ended = append(ended, s.endRecovery(now)...)
	s.releaseExpired(now)
	s.maintainRunners(now)
	return ended
}

// endRecovery ends the period in which a new leader collects what entry VMs report
// of runners, once it is over. Sessions in the log that have not reported by then
// have ended.
func (s *sessions) endRecovery(now time.Time) []state.Session {
	if s.recovered || now.Before(s.term.startedAt.Add(sessionDuration+sessionMargin)) && s.term.leader.enabled(guardRecovery) {
		return nil
	}
	s.recovered = true
	var ended []state.Session
	for _, v := range s.term.state().Sessions() {
		if e := s.entries[v.Entry]; v.Ended.IsZero() && (e == nil || e.boot != v.Boot) {
			ended = append(ended, state.Session{Entry: v.Entry, Boot: v.Boot, Sequence: v.Sequence, Ended: true})
		}
	}
	if until := s.withheldUntil(); now.Before(until) {
		s.term.emit(event.AllotmentsWithheld, zap.Time("until", until))
	}
	return ended
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
