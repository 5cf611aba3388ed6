package leader

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const testLimit = 40

// testEntryVM simulates an entry VM that follows the rules of a Renewal.
type testEntryVM struct {
	fleet         *entryFleet
	name          string
	zone          string
	boot          uint64
	sequence      uint64
	draining      bool
	deadline      time.Time // of its view
	granted       int64
	used          int64
	wanted        int64
	term          uint64
	routes        uint64
	owners        map[control.RunnerID]string
	isolatedUntil time.Time // no renewal gets through until then
}

// entryFleet is a set of entry VMs with their runners and the requests in flight.
type entryFleet struct {
	cluster *cluster
	random  *rand.Rand
	entries []*testEntryVM
	leader  atomic.Int32
	stop    chan struct{}

	mu          sync.Mutex
	inflight    int64
	maxInflight int64
	ownedSum    int // sum over all checks of the runners that have an owner
}

func newEntryFleet(c *cluster, seed uint64, n int) *entryFleet {
	s := &entryFleet{cluster: c, random: newRand(seed), stop: make(chan struct{})}
	c.mustApply(state.Command{Team: &state.TeamChange{Team: work.Team{Name: "a", Weight: 1, Requests: testLimit}}})
	c.mustApply(state.Command{Entry: &state.EntryChange{Entry: work.Entry{Name: "counter", Owner: "a", Class: work.Service}}})
	for i := range n {
		g := &testEntryVM{fleet: s, name: fmt.Sprint("entry-", i), zone: fmt.Sprint("zone-", i%3), boot: 1, wanted: testLimit, owners: map[control.RunnerID]string{}}
		s.entries = append(s.entries, g)
		c.done.Go(func() { g.run(newRand(seed + 100*uint64(i))) })
	}
	return s
}

func (g *testEntryVM) run(random *rand.Rand) {
	for {
		select {
		case <-g.fleet.stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		g.fleet.mu.Lock()
		isolatedUntil := g.isolatedUntil
		g.fleet.mu.Unlock()
		if time.Now().Before(isolatedUntil) {
			continue
		}
		i := int(g.fleet.leader.Load())
		if random.IntN(8) == 0 {
			i = random.IntN(len(g.fleet.cluster.replicas))
		}
		requestDelay := randomMillis(random, 20)
		if random.IntN(10) == 0 {
			requestDelay = randomMillis(random, 3000)
		}
		g.renew(i, requestDelay, randomMillis(random, 20))
		g.fleet.mu.Lock()
		g.startRequests(random)
		g.fleet.mu.Unlock()
	}
}

// valid reports whether the view is valid.
func (g *testEntryVM) valid() bool { return time.Now().Before(g.deadline) }

// renew sends a renewal to a replica and applies the grant. It reports whether
// there was one.
func (g *testEntryVM) renew(i int, requestDelay, answerDelay time.Duration) bool {
	g.fleet.mu.Lock()
	g.sequence++
	if !g.valid() {
		g.granted, g.term, g.routes = 0, 0, 0
	}
	r := control.Renewal{
		Entry: g.name, Boot: g.boot, Sequence: g.sequence, Zone: g.zone, Draining: g.draining, Term: g.term, Routes: g.routes,
		Teams: []control.TeamUse{{Team: "a", Held: max(g.granted, g.used), Used: g.used, Wanted: g.wanted}},
	}
	for id, owner := range g.owners {
		if owner == g.name && g.valid() {
			r.Owned = append(r.Owned, control.OwnedRunner{Runner: id, Used: 1})
		}
	}
	for k := range 4 { // each runner announces itself through one entry VM
		id := control.RunnerID{Entry: "counter", Name: g.name + fmt.Sprint("-", k)}
		r.Runners = append(r.Runners, control.RunnerReport{Runner: id, Zone: g.zone, Team: "a", Boot: 1, Slots: 8, Connections: 64, Busy: 2})
	}
	sent, boot := time.Now(), g.boot
	g.fleet.mu.Unlock()
	grant, err := call[control.Grant](g.fleet.cluster.replicas[i], control.MethodRenew, g.name, r, requestDelay, answerDelay)
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	if err != nil || boot != g.boot || grant.Sequence != g.sequence {
		return false
	}
	for _, t := range grant.Teams {
		g.granted = t.Granted
	}
	if grant.Full {
		clear(g.owners)
	}
	if grant.Full || grant.Term == g.term {
		g.term, g.routes = grant.Term, grant.Routes
		for _, n := range grant.Runners {
			g.owners[n.Runner] = n.Owner
		}
	} else {
		g.term, g.routes = 0, 0
	}
	g.deadline = sent.Add(control.GrantValidity)
	return true
}

// startRequests starts requests up to the allotment. They last up to 30 s, even
// if the entry VM crashes.
func (g *testEntryVM) startRequests(random *rand.Rand) {
	for g.valid() && !g.draining && g.used < g.granted {
		g.used++
		g.fleet.inflight++
		g.fleet.maxInflight = max(g.fleet.maxInflight, g.fleet.inflight)
		if g.fleet.inflight > testLimit {
			g.fleet.cluster.t.Errorf("%d requests are in flight", g.fleet.inflight)
		}
		boot, span := g.boot, maxRequestDuration-randomMillis(random, 15_000)
		g.fleet.cluster.done.Go(func() {
			select {
			case <-time.After(span):
			case <-g.fleet.stop:
			}
			g.fleet.mu.Lock()
			defer g.fleet.mu.Unlock()
			g.fleet.inflight--
			if boot == g.boot {
				g.used--
			}
		})
	}
}

// checkOwners fails the test if a runner has two owners.
func (s *entryFleet) checkOwners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	owner := map[control.RunnerID]string{}
	for _, g := range s.entries {
		if !g.valid() {
			continue
		}
		for id, name := range g.owners {
			if name != g.name {
				continue
			}
			if other := owner[id]; other != "" {
				s.cluster.t.Errorf("%v is owned by %s and %s", id, other, name)
			}
			owner[id] = name
		}
	}
	s.ownedSum += len(owner)
}

// crash restarts an entry VM, which loses all its state.
func (g *testEntryVM) crash() {
	g.boot++
	g.sequence, g.used, g.granted, g.term, g.routes, g.draining = 0, 0, 0, 0, 0, false
	g.deadline = time.Time{}
	clear(g.owners)
}

// Guards against requests in flight above the limit of a team and against runners
// with two owners while entry VMs crash, are isolated and drain, the leader
// changes or is paused, and renewals are late.
func TestAllotmentsAndOwnersUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				defer c.close()
				s := newEntryFleet(c, seed, 5)
				defer close(s.stop)
				const steps = 6000 // 600 s
				for range steps {
					s.injectFault()
					time.Sleep(100 * time.Millisecond)
					s.checkOwners()
				}
				if s.maxInflight < testLimit*9/10 || s.ownedSum < steps*20/3 {
					t.Errorf("only %d requests at most, and %d runners owned on average", s.maxInflight, s.ownedSum/steps)
				}
			})
		})
	}
}

// injectFault sometimes injects a fault.
func (s *entryFleet) injectFault() {
	g := s.entries[s.random.IntN(len(s.entries))]
	leader := int(s.leader.Load())
	switch s.random.IntN(400) {
	case 0:
		s.mu.Lock()
		g.crash()
		s.mu.Unlock()
	case 1:
		s.mu.Lock()
		g.isolatedUntil = time.Now().Add(randomMillis(s.random, 12_000))
		s.mu.Unlock()
	case 2:
		s.mu.Lock()
		g.draining = !g.draining
		s.mu.Unlock()
	case 3:
		next := (leader + 1) % len(s.cluster.replicas)
		s.cluster.isolate(leader, next)
		s.leader.Store(int32(next))
	case 4:
		for i := range s.cluster.replicas {
			s.cluster.heal(i)
		}
	case 5:
		s.cluster.mu.Lock()
		s.cluster.replicas[leader].clockPause = randomMillis(s.random, 5_000)
		s.cluster.mu.Unlock()
	case 6:
		s.mu.Lock()
		g.wanted = s.random.Int64N(testLimit)
		s.mu.Unlock()
	}
}
