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
	// heartbeatsPerElection is the number of heartbeats in the shortest election timeout.
	heartbeatsPerElection = 5
	// leaseFraction is the length of a leader's lease as a fraction of the
	// shortest election timeout. The rest is a margin for clock drift.
	leaseFraction = 0.75
	// restartFraction is the range of the first election timeout after a start,
	// as a fraction of Spread. It is short because after a restart of all
	// replicas there is no leader until the first election, and callers wait.
	restartFraction = 0.5
	// joinInterval is the time between two attempts to found or join a group.
	joinInterval = 200 * time.Millisecond
)

// role is the role of a replica in its term.
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

// testHooks switch off safety guards. Tests use them to show that a check fails
// when a guard is missing.
type testHooks struct {
	noSync         bool // answer before the sync
	noPreVote      bool // campaign without a pre-vote
	noIdentity     bool // identify replicas by name alone
	commitOldTerms bool // commit entries of older terms by counting replicas
	noLease        bool // vote although a leader was heard from recently
}

// timing holds the intervals derived from the election timeouts of Options.
type timing struct {
	electionMin, electionMax time.Duration
	heartbeat                time.Duration
	lease                    time.Duration
	restartSpread            time.Duration
}

func newTiming(o *Options) timing {
	return timing{
		electionMin: o.Election, electionMax: o.Election + o.Spread, heartbeat: o.Election / heartbeatsPerElection,
		lease: time.Duration(leaseFraction * float64(o.Election)), restartSpread: time.Duration(restartFraction * float64(o.Spread)),
	}
}

// membershipAt is a membership and the index of the entry that set it.
type membershipAt struct {
	index uint64
	*Membership
}

// core is the deterministic part of a replica. It has no goroutine and no clock:
// the caller passes messages to step and the time to tick, and calls flush
// afterwards.
//
// The protocol is Raft (Ongaro, Ousterhout: In Search of an Understandable
// Consensus Algorithm, 2014) with pre-vote, check-quorum, leader lease and
// single-server membership changes (Ongaro: Consensus, chapters 4 and 6).
type core struct {
	name       string
	identity   uint64
	configured []string // names of the members in the settings of the start
	founded    bool     // this replica is no founder, unless its disk says so
	random     *rand.Rand
	log        event.Log
	load       func() (disk.Snapshot, error) // reads the stored snapshot
	trailing   uint64
	open       bool // admits names that are not in the settings
	hooks      testHooks
	timing

	term, vote  uint64
	role        role
	leader      uint64 // identity; zero if unknown
	leaderName  string
	entries     entryLog
	commit      uint64
	delivered   uint64 // last entry returned by flush to be applied
	stable      uint64 // last synced entry
	snapshot    disk.Position
	memberships []membershipAt // ascending by index; the last one is in force

	now                time.Time
	origin             time.Time // time of the start, from which Message.Sent is counted
	lastContact        time.Time // last message from a leader, or the start; no vote within electionMin after it
	noLeaderSinceStart bool      // no message from a leader since the start
	electionDeadline   time.Time
	heartbeatDue       time.Time
	joinDue            time.Time

	votes           map[uint64]bool // votes received, by identity
	restartedVoters map[uint64]bool // voters that answered the pre-vote with Restarted, by identity
	progress        map[uint64]*progress
	termStart       uint64 // first entry of the leader's own term
	leaseStart      time.Time
	joinRequests    map[string]joinRequest // latest join request by name
	shortage        shortage

	joining  joining
	incoming incomingSnapshot // snapshot being received
	founding founding

	hardStateChanged bool
	firstUnsaved     uint64 // first entry to append to the store; zero if none
	pendingReset     *disk.Position
	pendingSnapshot  *disk.Snapshot
	immediate        []envelope // messages that may be sent before the sync
	afterSync        []envelope // messages to send after the sync
	err              error
}

type envelope struct {
	to string
	Message
}

// newCore returns a replica in the state that its store holds.
func newCore(options Options, identity uint64, contents disk.Contents, now time.Time) (*core, error) {
	c := &core{
		name: options.Name, identity: identity, configured: options.Members, random: options.Random, log: options.Log,
		founded: options.Founded, trailing: options.Trailing, open: options.Open, hooks: options.hooks, timing: newTiming(&options),
		term: max(contents.Hard.Term, contents.Snapshot.Term), vote: contents.Hard.Vote,
		now: now, origin: now, lastContact: now, joinDue: now, joinRequests: map[string]joinRequest{},
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
	// Entries that are known to be committed are applied at once, so that an election
	// does not have to wait for them.
	c.commit = max(s.Index, min(contents.Commit, c.entries.last()))
	c.delivered, c.stable = s.Index, c.entries.last()
	if s.Index > 0 {
		m, err := decodeMembership(s.Membership)
		if err != nil {
			return nil, err
		}
		c.memberships = []membershipAt{{s.Index, m}}
	}
	c.recordMemberships(c.entries.between(max(s.Index, c.entries.base.Index), c.entries.last()))
	if options.First && c.membership() == nil && slices.Contains(options.Members, options.Name) {
		c.noteFounders(options.Members)
	}
	c.initElectionTimer(options.Started)
	c.learnContacts(options.Members)
	return c, c.err
}

// initElectionTimer sets the time from which the replica may vote and the time of
// its first campaign. Its previous process ended before started.
func (c *core) initElectionTimer(started time.Time) {
	if started.IsZero() || started.After(c.now) {
		started = c.now
	}
	c.lastContact, c.noLeaderSinceStart = started, true // a leader may have received an answer just before
	c.electionDeadline = c.now.Add(time.Duration(c.random.Int64N(int64(c.restartSpread))))
}

// membership returns the membership in force, or nil before founding.
func (c *core) membership() *Membership {
	if len(c.memberships) == 0 {
		return nil
	}
	return c.memberships[len(c.memberships)-1].Membership
}

// recordMemberships records the memberships set by appended entries. A membership
// is in force as soon as its entry is in the log.
func (c *core) recordMemberships(entries []disk.Entry) {
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

// append adds entries to the log and replaces those from the first index on.
func (c *core) append(entries []disk.Entry) {
	first := entries[0].Index
	for len(c.memberships) > 0 && c.memberships[len(c.memberships)-1].index >= first {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
	c.entries.append(entries)
	c.recordMemberships(entries)
	c.stable = min(c.stable, first-1)
	if c.firstUnsaved == 0 || first < c.firstUnsaved {
		c.firstUnsaved = first
	}
}

// isOnlyVoter reports whether this replica is the only voter.
func (c *core) isOnlyVoter() bool {
	m := c.membership()
	return m != nil && m.voterCount() == 1 && m.isVoter(c.identity)
}

func (c *core) quorum() int { return c.membership().voterCount()/2 + 1 }

func (c *core) resetElectionTimer() {
	c.electionDeadline = c.now.Add(c.electionMin + time.Duration(c.random.Int64N(int64(c.electionMax-c.electionMin))))
}

// send queues a message. One that relies on state not synced yet must not be
// immediate; it is sent after the sync.
func (c *core) send(immediate bool, to string, m Message) {
	m.From, m.FromName = c.identity, c.name
	if s := c.membership(); s != nil && m.Group == 0 {
		m.Group = s.Group
	}
	if m.Term == 0 {
		m.Term = c.term
	}
	if immediate {
		c.immediate = append(c.immediate, envelope{to, m})
	} else {
		c.afterSync = append(c.afterSync, envelope{to, m})
	}
}

// answer queues the answer to a request, to be sent after the sync.
func (c *core) answer(to Message, m Message) {
	m.To, m.Sent, m.Group = to.From, to.Sent, to.Group
	c.send(false, to.FromName, m)
}

// advanceClock sets the time of the current step. Time never goes back.
func (c *core) advanceClock(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
}

// nextTick returns the time at which tick must be called next.
func (c *core) nextTick() time.Time {
	if c.role == leader {
		return c.heartbeatDue
	}
	if c.needsMembership() && (!c.isMember() || c.joinDue.Before(c.electionDeadline)) {
		return c.joinDue
	}
	return c.electionDeadline
}

func (c *core) isMember() bool {
	m := c.membership()
	return m != nil && m.member(c.identity) != nil
}

// needsMembership reports whether this replica tries to found or join a group: it
// is not a member, it has promised nothing to its group, or it knows no leader. In
// the last case it may have been removed, or all members that it knows replaced.
func (c *core) needsMembership() bool {
	return !c.isMember() || c.undecided() || c.leader == 0
}

// tick advances the time and runs what is due.
func (c *core) tick(now time.Time) {
	c.advanceClock(now)
	if c.role == leader {
		c.tickLeader()
		return
	}
	if c.needsMembership() {
		c.foundOrJoin()
	}
	m := c.membership()
	switch {
	case !c.isMember():
	case m.isVoter(c.identity) && (c.isOnlyVoter() || !c.now.Before(c.electionDeadline)):
		c.campaign()
	case !c.now.Before(c.electionDeadline):
		c.resetElectionTimer()
		c.forgetLeader()
	}
}

func (c *core) forgetLeader() { c.leader, c.leaderName = 0, "" }

// step handles a message.
func (c *core) step(now time.Time, m Message) {
	c.advanceClock(now)
	if c.needsMembership() {
		c.meet(m.FromName)
	}
	if m.To != 0 && m.To != c.identity && !c.hooks.noIdentity {
		return
	}
	switch m.Type {
	case Join, JoinAnswer, Report, ReportAnswer:
		c.stepFounding(m)
		return
	}
	s := c.membership()
	if s == nil || m.Group != s.Group {
		c.stepOtherGroup(m)
		return
	}
	if c.isRemoved(m.From) {
		return
	}
	if m.Type == PreVote {
		c.handlePreVote(m)
		return
	}
	if m.Type == Vote && c.leaseMayBeActive() && !(m.Restarted && c.blockedOnlyByRestart()) {
		return
	}
	granted := m.Type == PreVoteAnswer && !m.Reject
	switch {
	case m.Term > c.term && !granted:
		c.becomeFollower(m.Term)
	case m.Term < c.term && !granted:
		if m.Type == Append || m.Type == Chunk {
			c.answer(m, Message{Type: AppendAnswer, Index: m.Index, Reject: true})
		}
		return
	}
	c.dispatch(m)
}

// isRemoved reports whether a committed change removed an identity from the group.
// An uncommitted change does not count: a leader without its entry, possibly the
// replica to be removed, may still undo it.
func (c *core) isRemoved(identity uint64) bool {
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
			return // two leaders in a term would need two votes from one disk
		}
		c.recordLeaderContact(m)
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

// recordLeaderContact records a message from the leader of the current term.
func (c *core) recordLeaderContact(m Message) {
	c.role = follower
	c.lastContact, c.noLeaderSinceStart = c.now, false
	c.founding.bound = nil // some may have come back to this group
	c.resetElectionTimer()
	if c.leader != m.From {
		c.leader, c.leaderName = m.From, m.FromName
		c.log.Emit(event.LeaderFound, zap.String("leader", m.FromName), zap.Uint64("term", c.term))
	}
}

// becomeFollower enters a term without a known leader.
func (c *core) becomeFollower(term uint64) {
	if c.role == leader {
		// The lease of this leader may still be running, so it grants no vote
		// until the lease has certainly ended.
		c.lastContact, c.noLeaderSinceStart = c.now, false
		c.log.Emit(event.LeadershipLost, zap.Uint64("term", c.term), zap.Uint64("next", term))
	}
	if term != c.term {
		c.term, c.vote, c.hardStateChanged = term, 0, true
	}
	c.role = follower
	c.forgetLeader()
	c.progress, c.votes, c.termStart, c.leaseStart = nil, nil, 0, time.Time{}
	c.resetElectionTimer()
}

// applyBatch is what flush returns for the state machine: a snapshot to restore, if
// any, then entries to apply.
type applyBatch struct {
	restore *disk.Snapshot
	entries []disk.Entry
}

// flush sends the immediate messages, persists the changes with one sync, sends the
// remaining messages, and returns what to apply.
func (c *core) flush(store disk.Store, send func(to string, m Message)) (applyBatch, error) {
	var w applyBatch
	for c.err == nil && (len(c.immediate)+len(c.afterSync) > 0 || c.hardStateChanged || c.firstUnsaved > 0 || c.pendingSnapshot != nil || c.selfVotePending()) {
		for _, e := range take(&c.immediate) {
			send(e.to, e.Message)
		}
		after := take(&c.afterSync)
		if c.pendingSnapshot != nil {
			w = applyBatch{restore: c.pendingSnapshot}
		}
		if err := c.persist(store); err != nil {
			return applyBatch{}, err
		}
		for _, e := range after {
			send(e.to, e.Message)
		}
		c.markPersisted()
	}
	if c.delivered < c.commit {
		w.entries = c.entries.between(c.delivered, c.commit)
		c.delivered = c.commit
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
	if c.hardStateChanged {
		b.Hard = &disk.HardState{Term: c.term, Vote: c.vote}
	}
	if c.firstUnsaved > 0 {
		b.Entries = c.entries.between(c.firstUnsaved-1, c.entries.last())
	}
	b.Reset, b.Commit = c.pendingReset, c.commit
	if c.pendingSnapshot != nil {
		if err := store.SaveSnapshot(*c.pendingSnapshot); err != nil {
			return err
		}
	}
	c.hardStateChanged, c.firstUnsaved, c.pendingReset, c.pendingSnapshot = false, 0, nil, nil
	if b.Hard == nil && b.Reset == nil && b.Entries == nil {
		return nil
	}
	if err := store.Append(b); err != nil || c.hooks.noSync {
		return err
	}
	return store.Sync()
}

// markPersisted records that the vote and the whole log are durable.
func (c *core) markPersisted() {
	c.stable = c.entries.last()
	if c.selfVotePending() {
		c.votes[c.identity] = true
		c.countVotes()
	}
	if c.role == leader {
		c.advanceCommit()
	}
}

// selfVotePending reports whether this candidate's own vote is not counted yet. It
// counts only once it is synced.
func (c *core) selfVotePending() bool { return c.role == candidate && !c.votes[c.identity] }

// compact records a stored snapshot and drops the entries before it, except for
// the trailing ones.
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
