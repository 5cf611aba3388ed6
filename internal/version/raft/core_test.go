package raft

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rosemaryloft/rosemaryloft/internal/boottime"
	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

// Guards against any violation of safety under crashes, pauses, lost disks,
// partitions and duplicated, delayed and reordered messages, and against a group
// that does not recover after the faults end.
func TestCoreUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		if rapid.Bool().Draw(t, "five") {
			names = append(names, "d", "e")
		}
		var o Options
		if rapid.Bool().Draw(t, "short") {
			o.Election, o.Spread = 400*time.Millisecond, 150*time.Millisecond
		}
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), o, names...)
		name := rapid.SampledFrom(names)
		proposed := 0
		t.Repeat(map[string]func(*rapid.T){
			"run":      func(t *rapid.T) { s.run(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond) },
			"start":    func(t *rapid.T) { s.start(name.Draw(t, "name")) },
			"startAll": func(*rapid.T) { s.startAll() },
			"crash":    func(t *rapid.T) { s.crash(name.Draw(t, "name")) },
			"replace": func(t *rapid.T) {
				if n := name.Draw(t, "name"); s.settled() {
					s.replaceDisk(n)
				}
			},
			"pause":   func(t *rapid.T) { s.nodes[name.Draw(t, "name")].paused = rapid.Bool().Draw(t, "paused") },
			"isolate": func(t *rapid.T) { s.isolate(name.Draw(t, "name"), true) },
			"block":   func(t *rapid.T) { s.block(name.Draw(t, "one"), name.Draw(t, "other"), true) },
			"heal":    func(*rapid.T) { clear(s.blocked) },
			"network": func(t *rapid.T) {
				share := rapid.SampledFrom([]float64{0, 0.05, 0.3})
				s.dropRate, s.duplicateRate, s.delayRate = share.Draw(t, "drops"), share.Draw(t, "copies"), share.Draw(t, "late")
				s.alignElections = rapid.Bool().Draw(t, "collide")
			},
			"propose": func(t *rapid.T) {
				for range rapid.IntRange(1, 15).Draw(t, "count") {
					proposed++
					s.propose(s.nodes[name.Draw(t, "name")], fmt.Sprint(proposed))
					s.propose(s.leader(), fmt.Sprint(-proposed))
				}
			},
			"": func(t *rapid.T) {
				if s.violation != "" {
					t.Fatal(s.violation)
				}
			},
		})
		s.dropRate, s.duplicateRate, s.delayRate, s.alignElections = 0, 0, 0, false
		clear(s.blocked)
		s.startAll()
		for _, n := range s.nodes {
			n.paused = false
		}
		s.run(45 * time.Second)
		l := s.elect()
		if s.violation == "" {
			s.propose(l, "last")
			s.run(2 * time.Second)
			s.check(s.settled(), "the members are not those that run: %+v", l.core.membership())
			for _, n := range s.nodes {
				s.check(n.applied == l.applied, "%s applied %d, the leader %d", n.name, n.applied, l.applied)
			}
		}
		if s.violation != "" {
			t.Fatal(s.violation)
		}
	})
}

// Guards against a delayed founding that replaces the one adopted since.
func TestDelayedFoundingIsRefused(t *testing.T) {
	is := is.New(t)
	s := newSimulation(7, Options{}, "a", "b", "c")
	b := s.nodes["b"]
	var old []Message
	s.drop = func(m Message) bool {
		if m.Type == PreVote && m.To == b.store.Identity() {
			old = append(old, m)
		}
		return m.Type == PreVote
	}
	s.run(time.Second)
	is.True(len(old) > 0)
	s.crash("a")
	s.start("a")
	s.drop = func(m Message) bool { return m.Type == PreVote && m.Group == old[0].Group }
	for i := 0; i < 10_000 && (b.core.membership() == nil || b.core.membership().Group == old[0].Group); i++ {
		s.run(time.Millisecond)
	}
	group := b.core.membership().Group
	is.True(b.core.undecided())
	b.core.step(s.localTime(b), old[0])
	is.Equal(b.core.membership().Group, group)
	s.elect()
	s.run(time.Second)
	is.True(!b.core.undecided())
	b.core.step(s.localTime(b), old[0])
	is.Equal(b.core.membership().Group, group)
}

// guard runs a scenario with a safety guard in place and with it switched off. In
// the first case no check may fail, in the second the named check must.
func guard(t *testing.T, off testHooks, check string, scenario func(s *simulation)) {
	t.Helper()
	for _, h := range []testHooks{{}, off} {
		s := newSimulation(3, Options{hooks: h}, "a", "b", "c")
		scenario(s)
		if h == off && !strings.HasPrefix(s.violation, check) {
			t.Errorf("without the guard: got %q, want a failure of %q", s.violation, check)
		}
		if h != off && s.violation != "" {
			t.Errorf("with the guard: %s", s.violation)
		}
	}
}

func others(s *simulation, l *node) (*node, *node) {
	var o []*node
	for _, n := range s.names {
		if s.nodes[n] != l {
			o = append(o, s.nodes[n])
		}
	}
	return o[0], o[1]
}

// Guards against a leader that is suspended and has, after the wake, what was left of
// its lease before, while another replica leads (rule CONFIG).
func TestSuspendedLeaderKeepsNoLease(t *testing.T) {
	is := is.New(t)
	for _, steady := range []bool{false, true} {
		for seed := range uint64(100) {
			s := newSimulation(seed, Options{}, "a", "b", "c")
			s.steadyClocks = steady
			l := s.elect()
			s.suspend(l.name)
			s.run(3 * time.Second)
			s.wake(l)
			s.run(2 * time.Second)
			is.Equal(strings.HasPrefix(s.violation, "lease exclusivity"), steady) // the check needs the fault to show
			is.Equal(s.violation == "", !steady)
		}
	}
}

// Guards against a replica whose lease is measured with a clock that stands still while
// the VM is suspended.
func TestReplicaCountsSuspensions(t *testing.T) {
	is := is.New(t)
	o := Options{Name: "a", Members: []string{"a"}, Machine: &sum{}, Store: disk.NewMemory(1)}
	is.NoErr(o.validate())
	is.Equal(reflect.ValueOf(o.Now).Pointer(), reflect.ValueOf(boottime.Now).Pointer())
}

// Guards against an answer before the sync: a committed entry would be lost when
// the replicas that hold it crash.
func TestGuardSync(t *testing.T) {
	guard(t, testHooks{noSync: true}, "leader completeness", func(s *simulation) {
		l := s.elect()
		b, c := others(s, l)
		s.isolate(c.name, true)
		s.propose(l, "one")
		s.run(time.Second)
		s.check(l.applied > l.core.termStart, "nothing committed")
		s.crash(l.name)
		s.crash(b.name)
		clear(s.blocked)
		s.startAll()
		s.run(10 * time.Second)
		s.propose(s.elect(), "two")
		s.run(time.Second)
	})
}

// Guards against a replica that returns from a partition and deposes a leader that
// has a quorum.
func TestGuardPreVote(t *testing.T) {
	guard(t, testHooks{noPreVote: true}, "the term changed", func(s *simulation) {
		l := s.elect()
		term := l.core.term
		_, c := others(s, l)
		s.isolate(c.name, true)
		s.run(10 * time.Second)
		clear(s.blocked)
		s.run(3 * time.Second)
		s.check(l.core.term == term && l.core.role == leader, "the term changed from %d to %d", term, l.core.term)
	})
}

// Guards against an empty disk that votes under the name of the lost one: it would
// elect a leader that lacks a committed entry.
func TestGuardDiskIdentity(t *testing.T) {
	guard(t, testHooks{noIdentity: true}, "leader completeness", func(s *simulation) {
		l := s.elect()
		b, c := others(s, l)
		s.isolate(c.name, true)
		s.propose(l, "one")
		s.run(time.Second)
		founding := l.core.memberships[0].Membership.encode()
		s.crash(l.name)
		s.replaceDisk(b.name)
		// This simulates a replica that takes the members from its settings.
		b.core.installSnapshot(disk.Snapshot{Index: foundingIndex, Term: foundingTerm, Membership: founding})
		s.flush(b)
		clear(s.blocked)
		s.run(10 * time.Second)
	})
}

// Guards against a commit of an older term's entry by counting replicas (figure 8
// of the Raft paper): a leader with a later term would replace the entry.
func TestGuardOwnTerm(t *testing.T) {
	guard(t, testHooks{commitOldTerms: true}, "leader completeness", func(s *simulation) {
		m := &Membership{Group: 9}
		for _, n := range s.names {
			m.Members = append(m.Members, Member{n, s.nodes[n].store.Identity(), true})
		}
		for n, e := range map[string][]disk.Entry{"a": {{Index: 2, Term: 2, Data: make([]byte, appendBytes)}}, "b": nil, "c": {{Index: 2, Term: 3, Data: []byte("new")}}} {
			s.crash(n)
			st := s.nodes[n].store
			s.check(st.SaveSnapshot(disk.Snapshot{Index: 1, Term: 1, Membership: m.encode()}) == nil, "snapshot")
			s.check(st.Append(disk.Batch{Hard: &disk.HardState{Term: 3}, Entries: e}) == nil && st.Sync() == nil, "append")
		}
		s.startAll()
		s.isolate("c", true)
		// The old entry fills an append; the empty entry of the new term is never delivered.
		s.drop = func(m Message) bool {
			return m.Type == Append && m.Index >= 2 && s.nodes["b"].core.entries.last() >= 2
		}
		s.nodes["b"].core.electionDeadline = epoch.Add(time.Hour)
		s.run(5 * time.Second)
		s.crash("a")
		s.drop = nil
		clear(s.blocked)
		s.run(10 * time.Second)
	})
}

// Guards against a vote while a leader's lease may be running.
func TestGuardLease(t *testing.T) {
	guard(t, testHooks{noLease: true}, "lease exclusivity", func(s *simulation) {
		l := s.elect()
		_, c := others(s, l)
		s.block(l.name, c.name, true)
		s.run(10 * time.Second)
	})
}

// Guards against a group that loses an entry or stops permanently when a replica is
// replaced just before a second one is lost.
func TestReplacedThenSecondLost(t *testing.T) {
	is := is.New(t)
	s := newSimulation(5, Options{}, "a", "b", "c")
	l := s.elect()
	for i := range 100 {
		s.propose(l, fmt.Sprint(i))
		s.run(10 * time.Millisecond)
	}
	b, _ := others(s, l)
	old := b.store.Identity()
	s.replaceDisk(b.name)
	s.run(500 * time.Millisecond)
	is.True(l.core.membership().isVoter(old)) // the new disk does not vote yet
	for i := 0; i < 1000 && !s.settled(); i++ {
		s.run(10 * time.Millisecond)
	}
	is.True(s.settled())
	last := l.applied
	s.replaceDisk(l.name)
	l = s.elect()
	is.Equal(s.violation, "")
	is.True(l.applied >= last)
	s.run(20 * time.Second)
	is.True(s.settled())
	is.Equal(s.violation, "")
	is.Equal(len(s.leader().core.membership().Removed), 2)
}

// Guards against a founding while a member is unreachable or belongs to a group,
// which would discard what that group committed.
func TestFoundingNeedsAllEmpty(t *testing.T) {
	is := is.New(t)
	s := newSimulation(6, Options{}, "a", "b", "c")
	s.isolate("c", true)
	s.run(20 * time.Second)
	for _, n := range s.nodes {
		is.True(n.core.membership() == nil)
	}
	clear(s.blocked)
	l := s.elect()
	s.propose(l, "one")
	s.run(time.Second)
	group := l.core.membership().Group
	s.replaceDisk("a") // a majority of the disks, including the founder's
	s.replaceDisk("b")
	s.run(20 * time.Second)
	is.Equal(s.violation, "")
	for _, n := range s.nodes {
		is.True(n.core.membership() == nil || n.core.membership().Group == group)
	}
}

// Guards against two membership changes at a time, against one before an entry of
// the leader's own term is committed, and against a change that stays in force
// after its entry was replaced.
func TestOneChangeAtATime(t *testing.T) {
	is := is.New(t)
	s := newSimulation(8, Options{}, "a", "b", "c")
	l := s.elect()
	b, c := others(s, l)
	s.isolate(l.name, true)
	_, err := l.core.retire(s.localTime(l), c.name)
	is.NoErr(err)
	s.flush(l)
	is.Equal(len(l.core.membership().Members), 2)
	_, err = l.core.retire(s.localTime(l), b.name)
	is.True(errors.Is(err, ErrChangeInProgress))
	s.run(5 * time.Second)
	clear(s.blocked)
	s.run(5 * time.Second)
	is.Equal(len(l.core.membership().Members), 3)

	s.drop = func(m Message) bool { return m.Type == AppendAnswer }
	for i := 0; i < 1000 && (s.leader() != nil || l.core.role != leader); i++ {
		s.run(10 * time.Millisecond)
	}
	is.True(l.core.commit < l.core.termStart) // elected again, with nothing committed yet
	_, err = l.core.retire(s.localTime(l), b.name)
	is.True(errors.Is(err, ErrChangeInProgress))
	is.Equal(s.violation, "")
}

// Guards against a snapshot assembled from the parts of two leaders, which may
// encode the same state differently.
func TestChunksOfTwoLeaders(t *testing.T) {
	is := is.New(t)
	s := newSimulation(9, Options{}, "a", "b", "c")
	l := s.elect()
	b, c := others(s, l)
	s.crash(l.name)
	s.crash(c.name)
	m := Message{Type: Chunk, To: b.store.Identity(), Group: b.core.membership().Group, Index: 50, LogTerm: 2, Size: 16,
		Data: make([]byte, 8), Membership: b.core.membership().encode()}
	deliver := func(from *node, term, offset uint64) {
		m.From, m.FromName, m.Term, m.Offset = from.store.Identity(), from.name, term, offset
		b.core.step(s.localTime(b), m)
	}
	deliver(l, 20, 0)
	deliver(c, 21, 8)
	is.True(b.core.pendingSnapshot == nil)
	deliver(c, 21, 0)
	deliver(c, 21, 8)
	is.True(b.core.pendingSnapshot != nil)
}

// Guards against an open group that tolerates no further failure after a VM was
// replaced by one whose name is in no settings, and against a group that excludes a
// voter removed while it was silent.
func TestOpenGroupReplacesSilentVoter(t *testing.T) {
	is := is.New(t)
	s := newSimulation(5, Options{Open: true}, "a", "b", "c")
	s.startAll()
	l := s.elect()
	is.True(l != nil)
	lost, _ := others(s, l)
	s.crash(lost.name)
	s.names = append(s.names, "d")
	s.nodes["d"] = &node{name: "d", clockRate: 1}
	s.replaceDisk("d")
	s.run(8 * time.Second)
	l = s.leader()
	is.True(l != nil)
	m := l.core.membership()
	is.Equal(m.voterCount(), 3)
	is.True(m.memberNamed("d", true) != nil)       // the new VM votes
	is.True(m.memberNamed(lost.name, true) == nil) // the lost VM does not count

	s.start(lost.name) // with its disk
	s.run(8 * time.Second)
	is.True(s.leader().core.membership().memberNamed(lost.name, true) != nil)
	is.Equal(s.violation, "")
}

// Guards against two replicas that campaign at the same time, split the votes and
// leave the group without a leader for another election timeout.
func TestPreVotePostponesOwnCampaign(t *testing.T) {
	is := is.New(t)
	s := newSimulation(3, Options{}, "a", "b", "c")
	l := s.elect()
	b, c := others(s, l)
	now := s.localTime(c)
	c.core.lastContact, c.core.electionDeadline = now.Add(-2*c.core.electionMin), now.Add(time.Millisecond)
	term := b.core.term
	c.core.step(s.localTime(c), Message{
		Type: PreVote, From: b.core.identity, FromName: b.name, To: c.core.identity, Group: c.core.membership().Group,
		Term: term + 1, Index: b.core.entries.last(), LogTerm: b.core.entries.lastTerm(),
	})
	is.True(c.core.electionDeadline.Sub(now) >= c.core.electionMin)
}

// Guards against a group that has no leader for a whole election timeout after all
// replicas have restarted, and against one that elects a leader that early while
// the former leader may still be running with its lease.
func TestRestartedGroupElectsSoon(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(40) {
		s := newSimulation(seed, Options{}, "a", "b", "c")
		old := s.elect()
		survives := seed%2 == 1
		for _, n := range s.names {
			if n != old.name || !survives {
				s.crash(n)
			}
		}
		s.isolate(old.name, survives)
		s.run(100 * time.Millisecond)
		s.startAll()
		began := s.now
		after := func() time.Duration {
			for s.now-began < 4*time.Second && s.violation == "" {
				s.run(10 * time.Millisecond)
				if l := s.leader(); l != nil && (l != old || !survives) {
					return s.now - began
				}
			}
			return 4 * time.Second
		}()
		is.Equal(s.violation, "")
		c := s.nodes["a"].core
		if survives {
			is.True(after >= c.electionMin*10/11) // allows for the fastest clock
		} else {
			is.True(after <= c.restartSpread*10/9+100*time.Millisecond) // allows for the slowest clock and some messages
		}
	}
}

// Guards against pre-vote answers of different terms that count together: a voter
// with a lower term may, after its answer, elect a leader whose lease then still
// runs.
func TestRestartedAnswersOnlyInTheSameTerm(t *testing.T) {
	is := is.New(t)
	s := newSimulation(3, Options{}, "a", "b", "c")
	s.elect()
	for _, n := range s.names {
		s.crash(n)
	}
	s.start("b")
	b := s.nodes["b"]
	ask := func(term uint64) int {
		b.core.immediate, b.core.afterSync = nil, nil
		b.core.step(s.localTime(b), Message{
			Type: PreVote, From: b.core.membership().memberNamed("c", true).Identity, FromName: "c", To: b.core.identity,
			Group: b.core.membership().Group, Term: term, Index: b.core.entries.last(), LogTerm: b.core.entries.lastTerm(),
		})
		return len(b.core.immediate) + len(b.core.afterSync)
	}
	is.Equal(ask(b.core.term+1), 1)
	is.Equal(ask(b.core.term+2), 0)
}
