package raft

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

// admissionLimit is the time within which a replacement must vote and the VM that it
// replaces must have left, on the slowest clock.
const admissionLimit = time.Second * 10 / 9

// fiveOpen returns a group of five as on a platform that renames replacements, its
// leader, and the other names.
func fiveOpen(seed uint64) (*simulation, *node, []string) {
	s := newSimulation(seed, Options{Open: true, Election: 400 * time.Millisecond, Spread: 150 * time.Millisecond}, "a", "b", "c", "d", "e")
	l := s.elect()
	s.run(time.Second)
	var followers []string
	for _, n := range s.names {
		if n != l.name {
			followers = append(followers, n)
		}
	}
	return s, l, followers
}

// Guards against a replacement that is never admitted because the names that it
// starts with do not include the leader, or include one replica that still runs.
func TestReplacementFindsTheLeader(t *testing.T) {
	for name, seeds := range map[string]func(followers []string) []string{
		"leader is no seed": func(f []string) []string { return []string{f[0], f[1], f[2]} },
		"one seed lives":    func(f []string) []string { return []string{"x", f[0], "y", f[3]} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				s, _, f := fiveOpen(seed)
				s.lose(f[0])
				s.run(time.Second)
				s.add("n", seeds(f)...)
				is.True(s.timeToVoters(4*time.Second) <= admissionLimit)
				is.Equal(s.violation, "")
			}
		})
	}
}

// Guards against a replacement that keeps to the seeds of its start when the settings
// name others.
func TestReloadedSeedsReachTheReplica(t *testing.T) {
	is := is.New(t)
	s, _, f := fiveOpen(1)
	s.lose(f[0])
	n := s.add("n", "x", "y")
	s.run(3 * time.Second)
	is.True(n.core.membership() == nil)
	s.reload("n", f[1])
	is.True(s.timeToVoters(4*time.Second) <= admissionLimit)
	is.Equal(s.violation, "")
}

// Guards against a replacement that is lost before, while or after it is admitted, and
// keeps its own replacement out.
func TestReplacementIsReplaced(t *testing.T) {
	is := is.New(t)
	for delay := time.Duration(0); delay <= 600*time.Millisecond; delay += 20 * time.Millisecond {
		s, _, f := fiveOpen(uint64(delay))
		s.lose(f[0])
		s.run(time.Second)
		s.add("n", f[0], f[1])
		s.run(delay)
		s.lose("n")
		s.run(time.Second)
		s.add("m", "n", f[1])
		is.True(s.timeToVoters(4*time.Second) <= admissionLimit)
		is.Equal(s.violation, "")
	}
}

// Guards against a replica that lost its disk and stays out, because the leader has
// changed since the names that it starts with were written.
func TestLostDiskAfterTheLeaderChanged(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		s := newSimulation(seed, Options{Open: true}, "a", "b", "c")
		old := s.elect()
		s.crash(old.name)
		s.run(3 * time.Second)
		l := s.elect()
		s.start(old.name)
		s.run(2 * time.Second)
		empty, _ := others(s, l)
		if empty == old {
			_, empty = others(s, l)
		}
		empty.seeds = []string{old.name, empty.name}
		s.replaceDisk(empty.name)
		is.True(s.timeToVoters(10*time.Second) <= 4*time.Second)
		is.Equal(s.violation, "")
	}
}

// Guards against a replica that comes back after a long absence and finds nobody,
// since every member that it knows has been replaced.
func TestAllKnownMembersWereReplaced(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprintf("cut=%v", cut), func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(4, Options{Open: true}, "a", "b", "c")
			absent, _ := others(s, s.elect())
			if cut {
				for _, n := range []string{"d", "e", "f"} {
					s.block(absent.name, n, true)
				}
				s.isolate(absent.name, true)
			} else {
				s.crash(absent.name)
			}
			s.names = []string{"a", "b", "c"}
			last := "d"
			s.run(3 * time.Second)
			s.add(last, s.elect().name)
			s.run(4 * time.Second)
			for i, name := range []string{"a", "b", "c"} {
				if name == absent.name {
					continue
				}
				next := string(rune('e' + i))
				s.block(absent.name, next, cut)
				s.lose(name)
				s.run(time.Second)
				s.add(next, last)
				last = next
				s.run(4 * time.Second)
			}
			clear(s.blocked)
			if cut {
				s.reload(absent.name, last)
			} else {
				absent.seeds = []string{last}
				s.start(absent.name)
			}
			is.True(s.timeToVoters(10*time.Second) <= 4*time.Second)
			is.Equal(s.violation, "")
		})
	}
}

// Guards against a disk that is admitted although it was replaced, belongs to another
// group or bears a name that was removed for good, whoever its request reaches first.
func TestWrongIdentitiesAreNotAdmitted(t *testing.T) {
	is := is.New(t)
	s, l, f := fiveOpen(2)
	replaced := s.nodes[f[0]].store.Identity()
	s.replaceDisk(f[0])
	s.timeToVoters(10 * time.Second)
	is.True(s.votersRun())
	_, err := l.core.retire(s.localTime(l), f[1])
	is.NoErr(err)
	s.flush(l)
	s.run(time.Second)
	before := l.core.membership()
	ask := func(m Message) {
		m.Type, m.Term = Join, 1
		for range 10 {
			for _, n := range s.names {
				s.send(m.FromName, n, m)
			}
			s.run(100 * time.Millisecond)
		}
	}
	group := before.Group
	ask(Message{From: replaced, FromName: f[0], Group: group})
	ask(Message{From: replaced, FromName: "n", Group: group})
	ask(Message{From: 77, FromName: "n", Group: group + 1})                             // of another group
	ask(Message{From: 78, FromName: f[1], Empty: true})                                 // a retired name
	ask(Message{From: l.core.identity, FromName: "n", Group: group})                    // a member's disk under another name
	ask(Message{From: s.nodes[f[2]].store.Identity(), FromName: "n", Group: group + 1}) // the same
	is.Equal(s.leader(), l)
	is.Equal(l.core.membership(), before)
	is.Equal(s.violation, "")
}

// Guards against a second group: a replica with an empty disk whose settings name no
// other replica, or only others that have lost their disks too.
func TestEmptyDisksFoundNoSecondGroup(t *testing.T) {
	is := is.New(t)
	s := newSimulation(3, Options{Open: true}, "a", "b", "c")
	s.elect()
	for _, n := range []string{"a", "b", "c"} {
		s.lose(n)
	}
	alone := s.add("n", "n")
	first, second := s.add("p", "p", "q"), s.add("q", "p", "q")
	s.run(20 * time.Second)
	for _, n := range []*node{alone, first, second} {
		is.True(n.core.membership() == nil)
	}
	is.Equal(s.violation, "")
}

// Guards against a founding that never ends because a replica has restarted before it
// and was then told that the group exists, with the names of others.
func TestFoundingOutlivesARestart(t *testing.T) {
	is := is.New(t)
	s := newSimulation(3, Options{Open: true}, "a", "b", "c")
	for _, n := range []string{"b", "c"} {
		s.crash(n)
		s.nodes[n].seeds = []string{"n", n}
	}
	s.startAll()
	l := s.elect()
	is.Equal(l.core.membership().names(), []string{"a", "b", "c"})
	s.run(time.Second)
	is.True(s.votersRun())
	is.Equal(s.violation, "")
}

// Guards against a flood of requests among replicas that answer each other and none
// of which is a member.
func TestJoinRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newSimulation(3, Options{Open: true}, "a", "b", "c")
	s.elect()
	names := []string{"n", "p", "q", "r"}
	for _, n := range []string{"a", "b", "c"} {
		s.lose(n)
	}
	for _, n := range names {
		s.add(n, names...)
	}
	sent := 0
	s.drop = func(m Message) bool {
		if m.Type == Join || m.Type == JoinAnswer {
			sent++
		}
		return false
	}
	s.run(10 * time.Second)
	known := 6 // others, and the lost ones
	rounds := int(10*time.Second/joinInterval) * 12 / 10
	is.True(sent <= 2*len(names)*known*rounds)
}

// Guards against a group that tolerates fewer losses without anything in the log, and
// against a replica that waits to be admitted and does not say so.
func TestMissingVotersAreLogged(t *testing.T) {
	is := is.New(t)
	var seen []event.ID
	reasons := map[string]bool{}
	log := event.New(zap.NewNop()).Observed(func(id event.ID, fields []zap.Field) {
		if id != event.VotersMissing && id != event.VotersComplete && id != event.NotAdmitted {
			return
		}
		seen = append(seen, id)
		for _, f := range fields {
			if f.Key == "reason" {
				reasons[f.String] = true
			}
		}
	})
	s := newSimulation(3, Options{Open: true, Log: log}, "a", "b", "c")
	l := s.elect()
	s.run(3 * time.Second)
	is.Equal(len(seen), 0)
	gone, rest := others(s, l)
	s.lose(gone.name)
	s.run(9 * time.Second)
	is.Equal(seen, []event.ID{event.VotersMissing})
	is.True(reasons["no replica has asked to take a place"])
	s.run(5 * time.Second)
	is.Equal(len(seen), 2) // repeated
	s.add("n", "x")
	s.run(3 * time.Second)
	is.Equal(seen[2:], []event.ID{event.NotAdmitted})
	s.reload("n", rest.name)
	s.run(2 * time.Second)
	is.Equal(seen[len(seen)-1], event.VotersComplete)
	s.run(15 * time.Second)
	is.Equal(seen[len(seen)-1], event.VotersComplete)
}

// Guards against a group that loses an entry, admits a wrong disk or stays short of
// voters, while VMs are replaced under new names, disks are lost under old ones, and
// replacements know only a few names, mostly not the leader's.
func TestOpenGroupUnderReplacements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		if rapid.Bool().Draw(t, "five") {
			names = append(names, "d", "e")
		}
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), Options{Open: true, Election: 400 * time.Millisecond, Spread: 150 * time.Millisecond}, names...)
		s.elect()
		added := 0
		pick := func(t *rapid.T) string { return rapid.SampledFrom(s.names).Draw(t, "name") }
		// seeds draws names of which one at most is certain to run.
		seeds := func(t *rapid.T) []string {
			n := []string{"gone"}
			for range rapid.IntRange(1, 2).Draw(t, "seeds") {
				n = append(n, pick(t))
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"run":      func(t *rapid.T) { s.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
			"startAll": func(*rapid.T) { s.startAll() },
			"crash":    func(t *rapid.T) { s.crash(pick(t)) },
			"swap": func(t *rapid.T) {
				if !s.votersRun() {
					return
				}
				s.lose(pick(t))
				s.run(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				added++
				s.add(fmt.Sprint("n", added), seeds(t)...)
			},
			"wipe": func(t *rapid.T) {
				if n := pick(t); s.votersRun() {
					s.nodes[n].seeds = seeds(t)
					s.replaceDisk(n)
				}
			},
			"reload": func(t *rapid.T) {
				if n := pick(t); s.nodes[n].core != nil {
					s.reload(n, seeds(t)...)
				}
			},
			"pause":   func(t *rapid.T) { s.nodes[pick(t)].paused = rapid.Bool().Draw(t, "paused") },
			"isolate": func(t *rapid.T) { s.isolate(pick(t), true) },
			"heal":    func(*rapid.T) { clear(s.blocked) },
			"network": func(t *rapid.T) {
				share := rapid.SampledFrom([]float64{0, 0.05, 0.3})
				s.dropRate, s.duplicateRate, s.delayRate = share.Draw(t, "drops"), share.Draw(t, "copies"), share.Draw(t, "late")
			},
			"propose": func(*rapid.T) { s.propose(s.leader(), fmt.Sprint(s.now)) },
			"": func(t *rapid.T) {
				if s.violation != "" {
					t.Fatal(s.violation)
				}
			},
		})
		s.dropRate, s.duplicateRate, s.delayRate = 0, 0, 0
		clear(s.blocked)
		s.startAll()
		for _, n := range s.nodes {
			n.paused = false
		}
		l := s.elect()
		for _, name := range s.names {
			if l == nil || slices.Contains(l.core.membership().names(), name) {
				continue // the leader finds it
			}
			for _, other := range s.names {
				o := s.nodes[other]
				if o != l && other != name && l.core.membership().isVoter(o.store.Identity()) {
					s.reload(name, other) // does not lead
					break
				}
			}
		}
		s.run(10 * time.Second)
		s.check(s.votersRun(), "the voters are not those that run")
		if s.violation != "" {
			t.Fatal(s.violation)
		}
	})
}

// Guards against a group that stops for good, or loses an entry, when two disks are
// lost and all lose power after a VM was replaced while no seed led, and against lost
// disks that stay out because every seed is gone or has lost its disk too. Seen in
// docs/incidents/2026-12-04-replacement-not-admitted.md.
func TestReplacedThenTwoDisksLost(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		s, l, _ := fiveOpen(seed)
		seeds := []string{"a", "b", "c"}
		for range 2 { // the leader changes twice, and no seed leads
			l.paused = true
			s.run(3 * time.Second)
			l.paused = false
			s.run(2 * time.Second)
			l = s.elect()
		}
		lost, _ := others(s, l)
		s.lose(lost.name)
		s.run(time.Second)
		s.add("n", slices.DeleteFunc(seeds, func(n string) bool { return n == l.name })...)
		s.run(admissionLimit)
		last := s.elect().applied
		var old []string
		for _, n := range s.names {
			if n != "n" {
				old = append(old, n)
			}
		}
		for _, n := range s.names {
			s.crash(n)
		}
		for _, n := range old[:2] {
			s.nodes[n].seeds = seeds
			s.replaceDisk(n)
		}
		s.startAll()
		is.True(s.elect() != nil)
		is.True(s.leader().applied >= last)
		is.True(s.timeToVoters(20*time.Second) <= 2*time.Second)
		is.Equal(s.violation, "")
	}
}
