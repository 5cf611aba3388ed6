package raft

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

const (
	// heartbeats is the number of heartbeats in the shortest election timeout.
	heartbeats = 5
	// leaseShare of the shortest election timeout is the length of a leader's
	// lease; the rest is a margin for clock drift.
	leaseShare = 0.75
	// restartShare of the spread is the range of the first election timeout. After
	// a loss of all replicas nobody leads before, and callers wait for it.
	restartShare = 0.5
	// joinInterval is the time between two attempts to found or join a group.
	joinInterval = 200 * time.Millisecond
)

// role is what a replica does in its term.
type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

func (r role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// hooks switch off safety guards. Tests use them to show that a check would
// notice a missing guard.
type hooks struct {
	noSync     bool // answer before the sync
	noPreVote  bool // campaign without asking first
	noIdentity bool // take a replica for its name alone
	anyTerm    bool // commit entries of older terms by counting replicas
	noLease    bool // vote although a leader was heard of recently
}

// timing is what follows from the election timeouts of Options.
type timing struct {
	electionMin, electionMax time.Duration
	heartbeat                time.Duration
	lease                    time.Duration
	restart                  time.Duration
}

func newTiming(o *Options) timing {
	return timing{
		electionMin: o.Election, electionMax: o.Election + o.Spread, heartbeat: o.Election / heartbeats,
		lease: time.Duration(leaseShare * float64(o.Election)), restart: time.Duration(restartShare * float64(o.Spread)),
	}
}

// membershipAt is the membership that an entry set.
type membershipAt struct {
	index uint64
	*Membership
}

// core is the deterministic part of a replica. It has no goroutine and no
// clock: the caller steps messages, ticks with a time, and calls flush.
//
// The protocol is Raft (Ongaro, Ousterhout: In Search of an Understandable
// Consensus Algorithm, 2014) with pre-vote, check-quorum, leader lease and
// single-server membership changes (Ongaro: Consensus, chapters 4 and 6).
type core struct {
	name     string
	identity uint64
	settings []string // names of the members in the settings
	random   *rand.Rand
	log      event.Log
	load     func() (disk.Snapshot, error) // reads the stored snapshot
	trailing uint64
	open     bool // admits names that are not in the settings
	hooks    hooks
	timing

	term, vote  uint64
	role        role
	leader      uint64 // identity; zero if unknown
	leaderName  string
	entries     entryLog
	commit      uint64
	handed      uint64 // last entry returned by flush for applying
	stable      uint64 // last entry that is synced
	snapshot    disk.Position
	memberships []membershipAt // ascending; the last one is in force

	now              time.Time
	origin           time.Time // start, which Sent counts from
	contact          time.Time // last sign of a leader, or the start; no vote within electionMin after it
	unheard          bool      // no sign of a leader since the start
	electionDeadline time.Time
	heartbeatDue     time.Time
	joinDue          time.Time

	votes     map[uint64]bool // answers by identity
	restarts  map[uint64]bool // voters that answered a pre-vote with Restarted, by identity
	progress  map[uint64]*progress
	own       uint64 // first entry of the leader's term
	leaseFrom time.Time
	joins     map[string]join // latest request by name

	assembly assembly // snapshot that is being received
	founding founding

	changedHard bool
	unsaved     uint64 // first entry to append to the store; zero if none
	reset       *disk.Position
	install     *disk.Snapshot
	urgent      []envelope // need no sync first
	after       []envelope // sent after the sync
	err         error
}

type envelope struct {
	to string
	Message
}

// newCore starts a replica from what its store holds.
func newCore(options Options, identity uint64, contents disk.Contents, now time.Time) (*core, error) {
	c := &core{
		name: options.Name, identity: identity, settings: options.Members, random: options.Random, log: options.Log,
		trailing: options.Trailing, open: options.Open, hooks: options.hooks, timing: newTiming(&options),
		term: max(contents.Hard.Term, contents.Snapshot.Term), vote: contents.Hard.Vote,
		now: now, origin: now, contact: now, joinDue: now, joins: map[string]join{},
	}
	s := contents.Snapshot
	c.snapshot = disk.Position{Index: s.Index, Term: s.Term}
	c.entries.base = c.snapshot
	if e := contents.Entries; len(e) > 0 {
		if e[0].Index <= s.Index {
			c.entries.base = disk.Position{Index: e[0].Index, Term: e[0].Term}
			e = e[1:]
		}
		c.entries.entries = e
	}
	c.commit, c.handed, c.stable = s.Index, s.Index, c.entries.last()
	if s.Index > 0 {
		m, err := decodeMembership(s.Membership)
		if err != nil {
			return nil, err
		}
		c.memberships = []membershipAt{{s.Index, m}}
	}
	c.noteMemberships(c.entries.between(max(s.Index, c.entries.base.Index), c.entries.last()))
	// The founder persists the membership only when the founding is complete.
	c.founding.confirmed = c.founder() && c.membership() != nil
	c.restarted(options.Started)
	return c, c.err
}

// restarted sets from when on the replica may vote, and when it first campaigns.
// An earlier process of it ended before started.
func (c *core) restarted(started time.Time) {
	if started.IsZero() || started.After(c.now) {
		started = c.now
	}
	c.contact, c.unheard = started, true // a leader may have had an answer just before
	c.electionDeadline = c.now.Add(time.Duration(c.random.Int64N(int64(c.restart))))
}

// membership returns the membership in force, nil before founding.
func (c *core) membership() *Membership {
	if len(c.memberships) == 0 {
		return nil
	}
	return c.memberships[len(c.memberships)-1].Membership
}

// noteMemberships records the memberships set by appended entries. A
// membership is in force from the moment its entry is in the log.
func (c *core) noteMemberships(entries []disk.Entry) {
	for i := range entries {
		if entries[i].Kind != disk.Membership {
			continue
		}
		m, err := decodeMembership(entries[i].Data)
		if err != nil {
			c.err = errors.Wrapf(err, "entry %d", entries[i].Index)
			return
		}
		c.memberships = append(c.memberships, membershipAt{entries[i].Index, m})
	}
}

// append adds entries to the log, in place of those from the first index on.
func (c *core) append(entries []disk.Entry) {
	first := entries[0].Index
	for len(c.memberships) > 0 && c.memberships[len(c.memberships)-1].index >= first {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
	c.entries.append(entries)
	c.noteMemberships(entries)
	c.stable = min(c.stable, first-1)
	if c.unsaved == 0 || first < c.unsaved {
		c.unsaved = first
	}
}

// single tells whether this replica is the only voter.
func (c *core) single() bool {
	m := c.membership()
	return m != nil && m.voters() == 1 && m.voter(c.identity)
}

func (c *core) quorum() int { return c.membership().voters()/2 + 1 }

func (c *core) resetElection() {
	c.electionDeadline = c.now.Add(c.electionMin + time.Duration(c.random.Int64N(int64(c.electionMax-c.electionMin))))
}

// send queues a message to a replica. Messages that promise something wait for
// the sync; urgent ones do not.
func (c *core) send(urgent bool, to string, m Message) {
	m.From, m.FromName = c.identity, c.name
	if s := c.membership(); s != nil && m.Group == 0 {
		m.Group = s.Group
	}
	if m.Term == 0 {
		m.Term = c.term
	}
	if urgent {
		c.urgent = append(c.urgent, envelope{to, m})
	} else {
		c.after = append(c.after, envelope{to, m})
	}
}

// answer queues the answer to a request.
func (c *core) answer(to Message, m Message) {
	m.To, m.Sent, m.Group = to.From, to.Sent, to.Group
	c.send(false, to.FromName, m)
}

// clock sets the time of the current step. It never goes back.
func (c *core) clock(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
}

// next returns the time of the next necessary tick.
func (c *core) next() time.Time {
	if c.role == leader {
		return c.heartbeatDue
	}
	if c.asks() && (!c.inside() || c.joinDue.Before(c.electionDeadline)) {
		return c.joinDue
	}
	return c.electionDeadline
}

func (c *core) inside() bool {
	m := c.membership()
	return m != nil && m.member(c.identity) != nil
}

// asks tells whether this replica asks to found or join a group: it is not a
// member, it has promised nothing to its group, or it is a non-voter without a
// leader, which may have been added by a change that was never committed.
func (c *core) asks() bool {
	return !c.inside() || c.fresh() || !c.membership().voter(c.identity) && c.now.Sub(c.contact) >= c.electionMax
}

// tick lets time pass.
func (c *core) tick(now time.Time) {
	c.clock(now)
	if c.role == leader {
		c.tickLeader()
		return
	}
	if c.asks() {
		c.tickOutside()
	}
	m := c.membership()
	switch {
	case !c.inside():
	case m.voter(c.identity) && !c.empty() && (c.single() || !c.now.Before(c.electionDeadline)):
		c.campaign()
	case !c.now.Before(c.electionDeadline):
		c.resetElection()
		c.forgetLeader()
	}
}

func (c *core) forgetLeader() { c.leader, c.leaderName = 0, "" }

// step handles a message.
func (c *core) step(now time.Time, m Message) {
	c.clock(now)
	if m.To != 0 && m.To != c.identity && !c.hooks.noIdentity {
		return
	}
	switch m.Type {
	case Join, Report, ReportAnswer, Found, FoundAnswer:
		c.stepFounding(m)
		return
	}
	s := c.membership()
	if s == nil || m.Group != s.Group {
		c.stepOutside(m)
		return
	}
	if c.ignored(m.From) {
		return
	}
	if m.Type == PreVote {
		if c.open && c.role == leader && s.member(m.From) == nil {
			// It was dropped while it was silent and does not know.
			c.joins[m.FromName] = join{m.From, c.now}
		}
		c.handlePreVote(m)
		return
	}
	if m.Type == Vote && c.promised() && !(m.Restarted && c.restartedOnly()) {
		return
	}
	granted := m.Type == PreVoteAnswer && !m.Reject
	switch {
	case m.Term > c.term && !granted:
		c.follow(m.Term)
	case m.Term < c.term && !granted:
		if m.Type == Append || m.Type == Chunk {
			c.answer(m, Message{Type: AppendAnswer, Index: m.Index, Reject: true})
		}
		return
	}
	c.dispatch(m)
}

// ignored tells whether an identity was removed from the group by a committed
// change. One that is not committed may be undone by a leader that lacks it,
// possibly the replica to be removed.
func (c *core) ignored(identity uint64) bool {
	for i := len(c.memberships) - 1; i >= 0 && !c.hooks.noIdentity; i-- {
		if c.memberships[i].index <= c.commit {
			return slices.Contains(c.memberships[i].Removed, identity)
		}
	}
	return false
}

func (c *core) dispatch(m Message) {
	switch m.Type {
	case PreVoteAnswer:
		c.handlePreVoteAnswer(m)
	case Vote:
		c.handleVote(m)
	case VoteAnswer:
		c.handleVoteAnswer(m)
	case Append, Chunk:
		if c.role == leader {
			return // two leaders in a term would need two votes of one disk
		}
		c.heard(m)
		if m.Type == Append {
			c.handleAppend(m)
		} else {
			c.handleChunk(m)
		}
	case AppendAnswer, ChunkAnswer:
		if c.role == leader {
			c.handleAnswer(m)
		}
	}
}

// heard notes a sign of the leader of the current term.
func (c *core) heard(m Message) {
	c.role = follower
	c.contact, c.unheard = c.now, false
	c.resetElection()
	if c.leader != m.From {
		c.leader, c.leaderName = m.From, m.FromName
		c.log.Emit(event.LeaderFound, zap.String("leader", m.FromName), zap.Uint64("term", c.term))
	}
}

// follow enters a term without a known leader.
func (c *core) follow(term uint64) {
	if c.role == leader {
		// A lease that was handed out may still run, so this replica gives no
		// vote until it has certainly ended.
		c.contact, c.unheard = c.now, false
		c.log.Emit(event.LeadershipLost, zap.Uint64("term", c.term), zap.Uint64("next", term))
	}
	if term != c.term {
		c.term, c.vote, c.changedHard = term, 0, true
	}
	c.role = follower
	c.forgetLeader()
	c.progress, c.votes, c.own, c.leaseFrom = nil, nil, 0, time.Time{}
	c.resetElection()
}

// work is what flush returns for the state machine: first a snapshot to
// restore, if any, then entries to apply.
type work struct {
	restore *disk.Snapshot
	entries []disk.Entry
}

// flush sends what needs no sync, makes the rest durable with one sync, sends
// the answers and returns what to apply.
func (c *core) flush(store disk.Store, send func(to string, m Message)) (work, error) {
	var w work
	for c.err == nil && (len(c.urgent)+len(c.after) > 0 || c.changedHard || c.unsaved > 0 || c.install != nil || c.selfVotePending()) {
		for _, e := range take(&c.urgent) {
			send(e.to, e.Message)
		}
		after := take(&c.after)
		if c.install != nil {
			w = work{restore: c.install}
		}
		if err := c.persist(store); err != nil {
			return work{}, err
		}
		for _, e := range after {
			send(e.to, e.Message)
		}
		c.saved()
	}
	if c.handed < c.commit {
		w.entries = c.entries.between(c.handed, c.commit)
		c.handed = c.commit
	}
	return w, c.err
}

func take(list *[]envelope) []envelope {
	l := *list
	*list = nil
	return l
}

func (c *core) persist(store disk.Store) error {
	var b disk.Batch
	if c.changedHard {
		b.Hard = &disk.Hard{Term: c.term, Vote: c.vote}
	}
	if c.unsaved > 0 {
		b.Entries = c.entries.between(c.unsaved-1, c.entries.last())
	}
	b.Reset = c.reset
	if c.install != nil {
		if err := store.SaveSnapshot(*c.install); err != nil {
			return err
		}
	}
	c.changedHard, c.unsaved, c.reset, c.install = false, 0, nil, nil
	if b.Hard == nil && b.Reset == nil && b.Entries == nil {
		return nil
	}
	if err := store.Append(b); err != nil || c.hooks.noSync {
		return err
	}
	return store.Sync()
}

// saved notes that everything in the log and the vote is durable.
func (c *core) saved() {
	c.stable = c.entries.last()
	if c.selfVotePending() {
		c.votes[c.identity] = true
		c.countVotes()
	}
	if c.role == leader {
		c.advance()
	}
}

// selfVotePending tells whether the own vote is not counted yet, which waits
// for its sync.
func (c *core) selfVotePending() bool { return c.role == candidate && !c.votes[c.identity] }

// compact notes a stored snapshot and drops entries that nobody close behind needs.
func (c *core) compact(p disk.Position) {
	if p.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = p
	if p.Index > c.trailing {
		c.entries.compact(max(c.entries.base.Index, p.Index-c.trailing))
	}
	for len(c.memberships) > 1 && c.memberships[1].index <= p.Index {
		c.memberships = c.memberships[1:]
	}
}
