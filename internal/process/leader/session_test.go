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

// gate is an entry VM that keeps to the rules of a Renewal.
type gate struct {
	s        *site
	name     string
	zone     string
	boot     uint64
	sequence uint64
	draining bool
	deadline time.Time // of its view
	granted  int64
	used     int64
	want     int64
	term     uint64
	routes   uint64
	owners   map[control.RunnerID]string
	cut      time.Time // no renewal gets through until then
}

// site is a set of entry VMs with runners and the requests in flight.
type site struct {
	c      *cluster
	random *rand.Rand
	gates  []*gate
	leader atomic.Int32
	stop   chan struct{}

	mu       sync.Mutex
	inflight int64
	most     int64
	owned    int // sum over checks of the runners that have an owner
}

func newSite(c *cluster, seed uint64, n int) *site {
	s := &site{c: c, random: source(seed), stop: make(chan struct{})}
	c.do(state.Command{Team: &state.TeamChange{Team: work.Team{Name: "a", Weight: 1, Requests: testLimit}}})
	c.do(state.Command{Entry: &state.EntryChange{Entry: work.Entry{Name: "counter", Owner: "a", Class: work.Service}}})
	for i := range n {
		g := &gate{s: s, name: fmt.Sprint("entry-", i), zone: fmt.Sprint("zone-", i%3), boot: 1, want: testLimit, owners: map[control.RunnerID]string{}}
		s.gates = append(s.gates, g)
		c.done.Go(func() { g.run(source(seed + 100*uint64(i))) })
	}
	return s
}

func (g *gate) run(random *rand.Rand) {
	for {
		select {
		case <-g.s.stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		g.s.mu.Lock()
		cut := g.cut
		g.s.mu.Unlock()
		if time.Now().Before(cut) {
			continue
		}
		i := int(g.s.leader.Load())
		if random.IntN(8) == 0 {
			i = random.IntN(len(g.s.c.replicas))
		}
		late := millis(random, 20)
		if random.IntN(10) == 0 {
			late = millis(random, 3000)
		}
		g.renew(i, late, millis(random, 20))
		g.s.mu.Lock()
		g.admit(random)
		g.s.mu.Unlock()
	}
}

// valid reports whether the view is valid.
func (g *gate) valid() bool { return time.Now().Before(g.deadline) }

// renew sends a renewal to a replica and takes over the grant. It reports
// whether there was one.
func (g *gate) renew(i int, late, answerLate time.Duration) bool {
	g.s.mu.Lock()
	g.sequence++
	if !g.valid() {
		g.granted, g.term, g.routes = 0, 0, 0
	}
	r := control.Renewal{
		Entry: g.name, Boot: g.boot, Sequence: g.sequence, Zone: g.zone, Draining: g.draining, Term: g.term, Routes: g.routes,
		Teams: []control.TeamUse{{Team: "a", Held: max(g.granted, g.used), Used: g.used, Wanted: g.want}},
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
	g.s.mu.Unlock()
	grant, err := call[control.Grant](g.s.c.replicas[i], control.MethodRenew, g.name, r, late, answerLate)
	g.s.mu.Lock()
	defer g.s.mu.Unlock()
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
	g.deadline = sent.Add(control.ViewTime)
	return true
}

// admit begins requests up to the allotment. They last up to 30 s, also if the
// entry VM crashes.
func (g *gate) admit(random *rand.Rand) {
	for g.valid() && !g.draining && g.used < g.granted {
		g.used++
		g.s.inflight++
		g.s.most = max(g.s.most, g.s.inflight)
		if g.s.inflight > testLimit {
			g.s.c.t.Errorf("%d requests are in flight", g.s.inflight)
		}
		boot, span := g.boot, requestTime-millis(random, 15_000)
		g.s.c.done.Go(func() {
			select {
			case <-time.After(span):
			case <-g.s.stop:
			}
			g.s.mu.Lock()
			defer g.s.mu.Unlock()
			g.s.inflight--
			if boot == g.boot {
				g.used--
			}
		})
	}
}

// check looks for a runner with two owners.
func (s *site) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	owner := map[control.RunnerID]string{}
	for _, g := range s.gates {
		if !g.valid() {
			continue
		}
		for id, name := range g.owners {
			if name != g.name {
				continue
			}
			if other := owner[id]; other != "" {
				s.c.t.Errorf("%v is owned by %s and %s", id, other, name)
			}
			owner[id] = name
		}
	}
	s.owned += len(owner)
}

// crash restarts an entry VM, which forgets everything.
func (g *gate) crash() {
	g.boot++
	g.sequence, g.used, g.granted, g.term, g.routes, g.draining = 0, 0, 0, 0, 0, false
	g.deadline = time.Time{}
	clear(g.owners)
}

// Guards against allotments above the limit in sum and runners with two owners
// while entry VMs crash, are cut off and drain, the leader changes or is paused,
// and renewals are late.
func TestAllotmentsAndOwnersUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				defer c.close()
				s := newSite(c, seed, 5)
				defer close(s.stop)
				const steps = 6000 // 600 s
				for range steps {
					s.disturb()
					time.Sleep(100 * time.Millisecond)
					s.check()
				}
				if s.most < testLimit*9/10 || s.owned < steps*20/3 {
					t.Errorf("only %d requests at most, and %d runners owned on average", s.most, s.owned/steps)
				}
			})
		})
	}
}

// disturb breaks something now and then.
func (s *site) disturb() {
	g := s.gates[s.random.IntN(len(s.gates))]
	leader := int(s.leader.Load())
	switch s.random.IntN(400) {
	case 0:
		s.mu.Lock()
		g.crash()
		s.mu.Unlock()
	case 1:
		s.mu.Lock()
		g.cut = time.Now().Add(millis(s.random, 12_000))
		s.mu.Unlock()
	case 2:
		s.mu.Lock()
		g.draining = !g.draining
		s.mu.Unlock()
	case 3:
		next := (leader + 1) % len(s.c.replicas)
		s.c.part(leader, next)
		s.leader.Store(int32(next))
	case 4:
		for i := range s.c.replicas {
			s.c.heal(i)
		}
	case 5:
		s.c.mu.Lock()
		s.c.replicas[leader].pause = millis(s.random, 5_000)
		s.c.mu.Unlock()
	case 6:
		s.mu.Lock()
		g.want = s.random.Int64N(testLimit)
		s.mu.Unlock()
	}
}
