package raft

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

var foundingSeeds = flag.Int("founding.seeds", 150, "number of seeds of TestFoundingUnderFaults")

// Guards against a group that is never founded, because one of its replicas is lost at the
// first start, and against a second group when that one comes back with an empty disk
// (review/9, issue 53).
func TestMajorityFoundsTheGroup(t *testing.T) {
	for _, lost := range []string{"a", "b", "c"} {
		for _, wiped := range []bool{false, true} {
			t.Run(fmt.Sprint(lost, wiped), func(t *testing.T) {
				is := is.New(t)
				s := newSimulation(4, Options{First: true, Open: true}, "a", "b", "c")
				s.crash(lost)
				s.nodes[lost].started = wiped
				l := s.elect()
				is.True(s.now < 8*time.Second)
				is.True(s.propose(l, "one"))
				s.run(time.Second)
				group := s.group
				is.True(group != 0)
				if wiped {
					s.replaceDisk(lost)
				} else {
					s.start(lost)
				}
				s.timeToVoters(20 * time.Second)
				is.True(s.votersRun())
				is.Equal(s.group, group)
				is.Equal(s.violation, "")
			})
		}
	}
}

// Guards against a founding that ends when its founder restarts, and is started with the flag that the
// system was started before, or that it was not (issue 53).
func TestFounderRestartsBeforeTheEnd(t *testing.T) {
	for _, first := range []bool{false, true} {
		for after := range 40 {
			is := is.New(t)
			s := newSimulation(uint64(after), Options{First: true, Open: true}, "a", "b", "c")
			s.lose("c")
			s.run(time.Duration(1+after) * 100 * time.Millisecond)
			for _, name := range []string{"a", "b"} {
				s.nodes[name].first = first
				s.crash(name)
				s.run(50 * time.Millisecond)
				s.start(name)
			}
			s.elect()
			is.Equal(s.violation, "")
		}
	}
}

// Guards against two groups, or none, of founders that crash, are cut off and hear late
// from each other. None is lost, or one before it has taken part, or one after it has. A
// lost one comes back with an empty disk, or not at all (issue 53).
func TestFoundingUnderFaults(t *testing.T) {
	for seed := range uint64(*foundingSeeds) {
		random := rand.New(rand.NewPCG(seed, 9))
		s := newSimulation(seed, Options{First: true, Open: true}, "a", "b", "c")
		lost, when := s.names[random.IntN(3)], random.IntN(3)
		s.run(time.Duration(50+random.IntN(500)) * time.Millisecond) // each has noted that it is a founder
		if when == 1 {
			s.crash(lost)
		}
		s.dropRate, s.duplicateRate, s.delayRate = 0.3*random.Float64(), 0.2*random.Float64(), 0.3*random.Float64()
		for range random.IntN(25) {
			s.disturbFounding(random, when == 1, lost)
			s.run(time.Duration(random.IntN(900)) * time.Millisecond)
		}
		clear(s.blocked)
		s.dropRate, s.duplicateRate, s.delayRate = 0, 0, 0
		switch when {
		case 0:
			s.startAll()
		case 1:
			s.startOthers(lost)
			s.loseFounder(lost, random.IntN(2) == 0)
		case 2:
			s.startAll()
			s.run(20 * time.Second)
			s.check(s.votersRun(), "not all of them are voters")
			s.loseFounder(lost, random.IntN(2) == 0)
		}
		s.propose(s.elect(), "last")
		s.run(10 * time.Second)
		s.check(s.group != 0, "nothing is committed")
		if s.violation != "" {
			t.Errorf("seed %d: %s", seed, s.violation)
		}
	}
}

// disturbFounding injects a random fault, or starts what has crashed. One replica may be
// left out.
func (s *simulation) disturbFounding(random *rand.Rand, leaveOut bool, lost string) {
	n, o := s.names[random.IntN(3)], s.names[random.IntN(3)]
	if leaveOut && n == lost {
		return
	}
	switch random.IntN(6) {
	case 0, 1:
		s.nodes[n].first = random.IntN(2) == 0
		s.crash(n)
	case 2:
		s.isolate(n, random.IntN(2) == 0)
	case 3:
		s.block(n, o, random.IntN(2) == 0)
	case 4:
		if leaveOut {
			s.startOthers(lost)
		} else {
			s.startAll()
		}
	case 5:
		s.propose(s.leader(), n)
	}
}

func (s *simulation) startOthers(lost string) {
	for _, name := range s.names {
		if name != lost {
			s.start(name)
		}
	}
}

// loseFounder has a replica lose its disk, with which it starts again, or loses it for good.
func (s *simulation) loseFounder(name string, again bool) {
	if !again {
		s.lose(name)
		return
	}
	s.crash(name)
	s.nodes[name].first = false
	s.replaceDisk(name)
}

// Guards against a number of founders of which two sets form groups that both commit.
func TestQuorumsOfFoundersIntersect(t *testing.T) {
	is := is.New(t)
	for n := 1; n <= 9; n++ {
		needed := foundersNeeded(n)
		is.True(needed > n/2)
		is.True(needed <= n)
		for a := needed; a <= n; a++ {
			is.True(2*(a/2+1) > n)
		}
	}
	is.Equal(foundersNeeded(3), 2)
}

// Guards against a replica that votes twice in a term of a founding that it left and comes
// back to.
func TestChangedFoundingTakesANewTerm(t *testing.T) {
	is := is.New(t)
	o := Options{Name: "a", Members: []string{"a", "b", "c"}, First: true, Random: rand.New(rand.NewPCG(1, 1))}
	o.setTimingDefaults()
	now := epoch
	c, err := newCore(o, 1, disk.Contents{}, now)
	is.NoErr(err)
	first, second := &Membership{Group: 7, Founders: o.Members}, &Membership{Group: 8, Founders: o.Members}
	for _, m := range []*Membership{first, second} {
		for i, name := range o.Members {
			m.Members = append(m.Members, Member{Name: name, Identity: uint64(i + 1), Voter: true})
		}
	}
	votes := map[groupTerm]uint64{}
	for range 4 {
		for _, m := range []*Membership{first, second} {
			now = now.Add(2 * foundingGrace)
			for _, from := range []uint64{2, 3} {
				c.step(now, Message{Type: PreVote, From: from, FromName: o.Members[from-1], To: 1, Group: m.Group, Term: 2, Index: foundingIndex, LogTerm: foundingTerm, Membership: m.encode()})
				now = now.Add(time.Second)
				c.step(now, Message{Type: Vote, From: from, FromName: o.Members[from-1], To: 1, Group: m.Group, Term: c.term + 1 - from%2, Index: foundingIndex, LogTerm: foundingTerm})
				key := groupTerm{m.Group, c.term}
				is.True(c.vote == 0 || votes[key] == 0 || votes[key] == c.vote)
				votes[key] = c.vote
			}
		}
	}
	is.True(len(votes) > 2)
}
