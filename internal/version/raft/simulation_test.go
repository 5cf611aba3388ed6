package raft

import (
	"bytes"
	"encoding/binary"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

// TestMain fixes the seed of rapid, so that every run gives the same result, and
// raises the number of checks from 100.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// simulation runs cores on a simulated network, with clocks that drift and stores
// that lose what was not synced. It checks the safety properties after every step
// and keeps the first violation.
type simulation struct {
	random         *rand.Rand
	names          []string
	nodes          map[string]*node
	now            time.Duration
	packets        []packet
	blocked        map[[2]string]bool
	drop           func(m Message) bool
	options        Options
	dropRate       float64 // share of packets dropped
	duplicateRate  float64 // share of packets duplicated
	delayRate      float64 // share of packets delayed by up to 3 s
	alignElections bool    // make election timeouts end at the same time
	steadyClocks   bool    // the clocks of nodes stand still while these are suspended, unlike the one that replicas use
	lastIdentity   uint64
	disks          map[uint64]*diskRecord // by identity
	checkedChanges map[*Membership]bool

	violation   string
	leaders     map[groupTerm]uint64             // identity of the leader
	contents    map[groupPosition]string         // of entries
	group       uint64                           // the only group that may commit anything; zero before
	states      map[uint64]uint64                // state of the machine by index
	committed   map[uint64]disk.Position         // committed entries by index
	commitTerms map[uint64]uint64                // term in which an entry was first seen committed, by index
	leases      map[groupTerm]time.Duration      // latest end of a lease
	checked     map[*core]map[disk.Position]bool // entries already compared
}

// groupTerm is a term of a group. A founding that elects a leader may be followed by another one, with
// terms of its own, as long as it commits nothing.
type groupTerm struct{ group, term uint64 }

type groupPosition struct {
	group uint64
	disk.Position
}

// diskRecord says whose a disk is and when it was lost.
type diskRecord struct {
	name   string
	lostAt time.Duration // zero while it exists
}

// lateAnswers is the time for which a lost disk may still seem alive: the longest
// delay of a packet and the time for which a join request or an answer counts.
const lateAnswers = 5 * time.Second

type packet struct {
	at time.Duration
	to string
	m  Message
}

type node struct {
	name        string
	clockRate   float64  // of its clock, relative to the simulation's
	seeds       []string // names that a replacement starts with; nil for a founding node
	started     bool     // it has started before
	first       bool     // its later starts have the flag that the system starts for the first time, too
	store       *disk.Memory
	core        *core // nil when crashed
	state       uint64
	applied     uint64
	checkedTerm uint64 // latest term checked for leader completeness
	paused      bool
	suspendedAt time.Duration // the VM has been suspended since then; zero if it is not
	lag         time.Duration // what its steady clock did not count of former suspensions
}

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(seed uint64, options Options, names ...string) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), names: names, nodes: map[string]*node{}, blocked: map[[2]string]bool{},
		options: options, leaders: map[groupTerm]uint64{}, contents: map[groupPosition]string{}, states: map[uint64]uint64{},
		committed: map[uint64]disk.Position{}, commitTerms: map[uint64]uint64{}, leases: map[groupTerm]time.Duration{},
		checked: map[*core]map[disk.Position]bool{}, disks: map[uint64]*diskRecord{}, checkedChanges: map[*Membership]bool{},
	}
	for _, n := range names {
		s.nodes[n] = &node{name: n, clockRate: 0.9 + 0.2*s.random.Float64()}
		s.replaceDisk(n)
	}
	return s
}

func (s *simulation) start(name string) {
	n := s.nodes[name]
	if n.core != nil {
		return
	}
	contents, err := n.store.Load()
	s.check(err == nil, "load: %v", err)
	o := s.options
	o.Name, o.Members, o.Random = name, s.names, rand.New(rand.NewPCG(s.random.Uint64(), 2))
	switch {
	case n.seeds != nil:
		o.Members, o.First, o.Founded = n.seeds, false, true
	case o.First && n.started:
		o.First, o.Founded = n.first, !n.first
	}
	n.started = true
	o.setTimingDefaults()
	if o.Trailing == 0 {
		o.Trailing = 10
	}
	n.core, err = newCore(o, n.store.Identity(), contents, s.localTime(n))
	s.check(err == nil, "start: %v", err)
	n.core.load = n.store.LoadSnapshot
	n.state, n.applied, n.checkedTerm = 0, contents.Snapshot.Index, 0
	if n.applied > foundingIndex {
		full, _ := n.store.LoadSnapshot()
		n.state = binary.LittleEndian.Uint64(full.Data)
	}
	s.checked[n.core] = map[disk.Position]bool{}
}

func (s *simulation) startAll() {
	for _, n := range s.names {
		s.start(n)
	}
}

func (s *simulation) crash(name string) {
	n := s.nodes[name]
	if n.core != nil && n.core.role == leader {
		// The process that holds a lease has crashed, so the lease ends.
		key := groupTerm{n.core.membership().Group, n.core.term}
		s.leases[key] = min(s.leases[key], s.now)
	}
	delete(s.checked, n.core)
	n.core, n.paused, n.suspendedAt = nil, false, 0
	n.store.Crash()
}

// suspend suspends the VM of a node. With steadyClocks it finds after the wake that its
// clock has stood still.
func (s *simulation) suspend(name string) {
	if n := s.nodes[name]; !n.paused {
		n.paused, n.suspendedAt = true, s.now
	}
}

func (s *simulation) wake(n *node) {
	if s.steadyClocks && n.suspendedAt > 0 {
		n.lag += s.now - n.suspendedAt
	}
	n.paused, n.suspendedAt = false, 0
	if n.core != nil {
		s.checkNode(n) // it may act before it handles a message
	}
}

// replaceDisk starts a replica on an empty disk.
func (s *simulation) replaceDisk(name string) {
	n := s.nodes[name]
	s.loseDisk(n)
	s.lastIdentity++
	s.disks[s.lastIdentity] = &diskRecord{name: name}
	n.store = disk.NewMemory(s.lastIdentity)
	n.core, n.paused, n.suspendedAt = nil, false, 0
	s.start(name)
}

// add starts a node on an empty disk, in a group that exists, with the names of some
// control replicas.
func (s *simulation) add(name string, seeds ...string) *node {
	s.names = append(slices.Clone(s.names), name)
	s.nodes[name] = &node{name: name, clockRate: 0.9 + 0.2*s.random.Float64(), seeds: seeds}
	s.replaceDisk(name)
	return s.nodes[name]
}

func (s *simulation) loseDisk(n *node) {
	if n.store != nil {
		s.disks[n.store.Identity()].lostAt = s.now + 1
	}
}

// lose removes a node for good.
func (s *simulation) lose(name string) {
	s.crash(name)
	s.loseDisk(s.nodes[name])
	s.names = slices.DeleteFunc(slices.Clone(s.names), func(x string) bool { return x == name })
	delete(s.nodes, name)
}

// reload replaces the names that a node's settings hold.
func (s *simulation) reload(name string, seeds ...string) {
	n := s.nodes[name]
	n.seeds = seeds
	n.core.setContacts(s.localTime(n), seeds)
	s.flush(n)
}

// votersRun reports whether the voters in force are the nodes that run, with their
// present disks.
func (s *simulation) votersRun() bool {
	l := s.leader()
	if l == nil || !l.core.canChangeMembership() || l.core.membership().voterCount() != len(s.names) {
		return false
	}
	for _, n := range s.nodes {
		if !l.core.membership().isVoter(n.store.Identity()) {
			return false
		}
	}
	return true
}

// timeToVoters runs the simulation until the voters are the nodes that run, for at
// most limit, and returns the time that it took.
func (s *simulation) timeToVoters(limit time.Duration) time.Duration {
	start := s.now
	for s.now < start+limit && s.violation == "" && !s.votersRun() {
		s.run(10 * time.Millisecond)
	}
	return s.now - start
}

func (s *simulation) block(a, b string, blocked bool) {
	s.blocked[[2]string{a, b}], s.blocked[[2]string{b, a}] = blocked, blocked
}

func (s *simulation) isolate(name string, blocked bool) {
	for _, o := range s.names {
		if o != name {
			s.block(name, o, blocked)
		}
	}
}

// localTime returns the time by a node's own clock.
func (s *simulation) localTime(n *node) time.Time {
	return epoch.Add(time.Duration(float64(s.now-n.lag) * n.clockRate))
}

func (s *simulation) globalTime(n *node, t time.Time) time.Duration {
	return time.Duration(float64(t.Sub(epoch))/n.clockRate) + n.lag + 1
}

func (s *simulation) send(from, to string, m Message) {
	if s.random.Float64() < s.dropRate || s.drop != nil && s.drop(m) {
		return
	}
	for {
		delay := time.Duration(500+s.random.IntN(4500)) * time.Microsecond
		if s.random.Float64() < s.delayRate {
			delay = time.Duration(s.random.IntN(3000)) * time.Millisecond
		}
		s.packets = append(s.packets, packet{s.now + delay, to, m})
		if s.random.Float64() >= s.duplicateRate {
			return
		}
	}
}

// run advances the time by d, event by event.
func (s *simulation) run(d time.Duration) {
	end := s.now + d
	for s.violation == "" {
		at, next, who := end, -1, ""
		for i := range s.packets {
			if s.packets[i].at < at {
				at, next = s.packets[i].at, i
			}
		}
		for _, name := range s.names {
			if n := s.nodes[name]; n.core != nil && !n.paused {
				if t := max(s.now, s.globalTime(n, n.core.nextTick())); t < at {
					at, next, who = t, -1, name
				}
			}
		}
		s.now = at
		switch {
		case who != "":
			n := s.nodes[who]
			n.core.tick(s.localTime(n))
			s.flush(n)
		case next >= 0:
			p := s.packets[next]
			s.packets = slices.Delete(s.packets, next, next+1)
			n := s.nodes[p.to]
			if n == nil {
				continue // lost for good
			}
			if n.paused {
				p.at += 10 * time.Millisecond
				s.packets = append(s.packets, p)
			} else if n.core != nil && !s.blocked[[2]string{p.m.FromName, p.to}] {
				n.core.step(s.localTime(n), p.m)
				s.flush(n)
			}
		default:
			return
		}
	}
}

func (s *simulation) flush(n *node) {
	w, err := n.core.flush(n.store, func(to string, m Message) { s.send(n.name, to, m) })
	s.check(err == nil, "flush of %s: %v", n.name, err)
	if r := w.restore; r != nil {
		n.state, n.applied = 0, r.Index
		if r.Index > foundingIndex {
			n.state = binary.LittleEndian.Uint64(r.Data)
			s.checkStateMachine(n, r.Index)
		}
	}
	for _, e := range w.entries {
		s.check(e.Index == n.applied+1, "%s applies entry %d after %d", n.name, e.Index, n.applied)
		h := fnv.New64()
		h.Write(binary.LittleEndian.AppendUint64(nil, n.state))
		h.Write(binary.LittleEndian.AppendUint64(nil, e.Index))
		h.Write(e.Data)
		n.state, n.applied = h.Sum64(), e.Index
		group := n.core.membership().Group
		s.check(s.group == 0 || s.group == group, "one group: %s commits entry %d of another one", n.name, e.Index)
		s.group = group
		s.checkStateMachine(n, e.Index)
		if _, ok := s.committed[e.Index]; !ok {
			s.committed[e.Index] = disk.Position{Index: e.Index, Term: e.Term}
			s.commitTerms[e.Index] = n.core.term
		}
	}
	s.checkNode(n)
	if c := n.core; s.alignElections {
		t := (s.globalTime(n, c.electionDeadline) + 499*time.Millisecond).Truncate(500 * time.Millisecond)
		c.electionDeadline = epoch.Add(time.Duration(float64(t-n.lag) * n.clockRate))
	}
	if n.applied >= n.core.snapshot.Index+20 {
		s.compact(n)
	}
}

// compact takes a snapshot of a node and compacts its log.
func (s *simulation) compact(n *node) {
	term, _ := n.core.entries.term(n.applied)
	p := disk.Position{Index: n.applied, Term: term}
	var m *Membership
	for _, a := range n.core.memberships {
		if a.index <= p.Index {
			m = a.Membership
		}
	}
	data := binary.LittleEndian.AppendUint64(nil, n.state)
	err := n.store.SaveSnapshot(disk.Snapshot{Index: p.Index, Term: p.Term, Membership: m.encode(), Data: data})
	s.check(err == nil, "snapshot: %v", err)
	n.core.compact(p)
	err = n.store.Compact(n.core.entries.base.Index)
	s.check(err == nil, "compact: %v", err)
}

func (s *simulation) check(ok bool, format string, arguments ...any) {
	if !ok && s.violation == "" {
		s.violation = fmt.Sprintf(format, arguments...)
	}
}

// checkStateMachine checks state machine safety: all nodes have the same state at an index.
func (s *simulation) checkStateMachine(n *node, index uint64) {
	if h, ok := s.states[index]; ok {
		s.check(h == n.state, "state machine safety: %s differs at entry %d", n.name, index)
	}
	s.states[index] = n.state
}

// checkNode checks the other properties on a node that has just run.
func (s *simulation) checkNode(n *node) {
	c := n.core
	previous := c.entries.base.Term
	for i := range c.entries.entries {
		e := &c.entries.entries[i]
		p := disk.Position{Index: e.Index, Term: e.Term}
		if !s.checked[c][p] {
			text := fmt.Sprint(previous, e.Kind, e.Data)
			key := groupPosition{c.membership().Group, p}
			if old, ok := s.contents[key]; ok && i > 0 {
				s.check(old == text, "log matching: entry %d of term %d differs on %s", e.Index, e.Term, n.name)
			} else if i > 0 {
				s.contents[key] = text
			}
			s.checked[c][p] = true
		}
		previous = e.Term
	}
	if c.role != leader {
		return
	}
	key := groupTerm{c.membership().Group, c.term}
	if id, ok := s.leaders[key]; ok {
		s.check(id == c.identity, "election safety: two leaders in term %d", c.term)
	}
	s.leaders[key] = c.identity
	s.checkMembership(n)
	if n.checkedTerm != c.term {
		n.checkedTerm = c.term
		s.checkNewLeader(n)
	}
	if l := c.lease(); n.applied >= c.termStart && s.localTime(n).Before(l) {
		s.leases[key] = max(s.leases[key], s.globalTime(n, l))
		for other := range s.leaders {
			s.check(other.group != key.group || other.term <= c.term, "lease exclusivity: %s holds a lease in term %d while term %d has a leader", n.name, c.term, other.term)
		}
	}
}

// checkMembership checks that a leader's membership names the owners of the disks,
// and that a change admits no disk that has been lost for a while.
func (s *simulation) checkMembership(n *node) {
	all := n.core.memberships
	now, last := all[len(all)-1], len(all)-1
	if s.checkedChanges[now.Membership] || last == 0 || now.index < n.core.termStart {
		return
	}
	s.checkedChanges[now.Membership] = true
	for _, p := range now.Members {
		d, before := s.disks[p.Identity], all[last-1].member(p.Identity)
		s.check(d != nil && d.name == p.Name, "membership: %s has disk %d as %s", n.name, p.Identity, p.Name)
		if admitted := before == nil || p.Voter && !before.Voter; admitted && d != nil && d.lostAt > 0 {
			s.check(s.now < d.lostAt+lateAnswers, "membership: %s admits the lost disk %d of %s", n.name, p.Identity, p.Name)
		}
	}
}

func (s *simulation) checkNewLeader(n *node) {
	c := n.core
	group := c.membership().Group
	for index, p := range s.committed {
		if group != s.group || index <= c.entries.base.Index || s.commitTerms[index] >= c.term {
			continue
		}
		t, ok := c.entries.term(index)
		s.check(ok && t == p.Term, "leader completeness: %s leads term %d without committed entry %d", n.name, c.term, index)
	}
	for other, end := range s.leases {
		s.check(other.group != group || other.term >= c.term || end <= s.now, "lease exclusivity: %s leads term %d while the lease of term %d runs", n.name, c.term, other.term)
	}
}

// leader returns the leader with the highest term among those with a valid lease.
func (s *simulation) leader() *node {
	var l *node
	for _, name := range s.names {
		n := s.nodes[name]
		if c := n.core; c != nil && c.role == leader && s.localTime(n).Before(c.lease()) && (l == nil || c.term > l.core.term) {
			l = n
		}
	}
	return l
}

// elect runs the simulation until there is a leader.
func (s *simulation) elect() *node {
	for range 600 {
		if l := s.leader(); l != nil || s.violation != "" {
			return l
		}
		s.run(50 * time.Millisecond)
	}
	s.check(false, "no leader within 30 s")
	return nil
}

// propose proposes a command on a node and reports whether the node leads.
func (s *simulation) propose(n *node, data string) bool {
	if n == nil || n.core == nil {
		return false
	}
	_, ok := n.core.propose(s.localTime(n), disk.Command, bytes.Clone([]byte(data)))
	s.flush(n)
	return ok
}

// settled reports whether the members in force are the nodes with their present
// disks, so that one more disk may be lost.
func (s *simulation) settled() bool {
	l := s.leader()
	if l == nil || !l.core.canChangeMembership() || len(l.core.membership().Members) != len(s.names) {
		return false
	}
	for _, n := range s.nodes {
		if !l.core.membership().isVoter(n.store.Identity()) {
			return false
		}
	}
	return true
}
