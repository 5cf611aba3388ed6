package route

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/upstream"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// virtual runs a test on a cell in virtual time.
func virtual(t *testing.T, vms, slots int, limit int64, f func(is *is.I, c *cell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCell(vms, slots, limit)
		func() {
			defer c.close()
			f(is.New(t), c)
		}()
		c.mu.Lock()
		defer c.mu.Unlock()
		if len(c.faults) > 0 {
			t.Fatal(c.faults)
		}
	})
}

// Guards against a caller that is told another outcome than the upstream had:
// "no" for a request that ran, an answer for one that did not, or a second run
// of a request that is not idempotent (I6, I7).
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		send    send
		vms     int  // zero means 1
		far     bool // sent through a VM whose own slots are taken
		down    bool // the only runner refuses connections
		intents []string
		code    api.Code // empty for an answer
		ran     api.Ran
		runs    int
	}{
		"answered":                     {send: send{entry: once}, runs: 1},
		"answered, keyed":              {send: send{entry: once, identity: "k"}, runs: 1},
		"refused connection":           {send: send{entry: once}, down: true, code: api.NoUpstream, ran: api.RanNo},
		"refused connection, keyed":    {send: send{entry: once, identity: "k"}, down: true, code: api.NoUpstream, ran: api.RanNo},
		"broken before the run":        {send: send{entry: once, acts: "unread"}, code: api.BadAnswer, ran: api.RanUnknown},
		"broken before the first byte": {send: send{entry: once, acts: "break"}, code: api.BadAnswer, ran: api.RanUnknown, runs: 1},
		"broken half-way":              {send: send{entry: once, acts: "half"}, code: api.BadAnswer, ran: api.RanUnknown, runs: 1},
		"another's answer":             {send: send{entry: once, acts: "wrong"}, code: api.BadAnswer, ran: api.RanUnknown, runs: 1},
		"late":                         {send: send{entry: once, acts: "late"}, code: api.Timeout, ran: api.RanUnknown, runs: 1},
		"late, keyed":                  {send: send{entry: once, acts: "late", identity: "k"}, code: api.Timeout, ran: api.RanUnknown, runs: 1},
		"half-way, keyed":              {send: send{entry: once, acts: "half", identity: "k"}, code: api.BadAnswer, ran: api.RanUnknown, runs: 1},
		"repeated":                     {send: send{entry: idem, acts: "half,"}, vms: 2, runs: 2},
		"repeated, other's answer":     {send: send{entry: idem, acts: "wrong,"}, vms: 2, runs: 2},
		"repeated while busy":          {send: send{entry: idem, acts: "busy,"}, vms: 2, runs: 2},
		"busy, not repeated":           {send: send{entry: once, acts: "busy"}, runs: 1},
		"repeat finds nothing":         {send: send{entry: idem, acts: "half"}, code: api.BadAnswer, ran: api.RanUnknown, runs: 1},
		"forwarded":                    {send: send{entry: once}, vms: 2, far: true, runs: 1},
		"forwarded, keyed":             {send: send{entry: once, identity: "k"}, vms: 2, far: true, runs: 1},
		"owner unreachable":            {send: send{entry: once, fates: "unreachable"}, vms: 2, far: true, code: api.Overloaded, ran: api.RanNo},
		"another owner":                {send: send{entry: once, fates: "unreachable"}, vms: 3, far: true, runs: 1},
		"forward lost":                 {send: send{entry: once, fates: "unheard"}, vms: 2, far: true, code: api.BadAnswer, ran: api.RanUnknown},
		"owner dies":                   {send: send{entry: once, fates: "dies"}, vms: 2, far: true, code: api.BadAnswer, ran: api.RanUnknown, runs: 1},
		"owner dies, repeated":         {send: send{entry: idem, fates: "dies"}, vms: 3, far: true, runs: 2},
		"forward crossed":              {send: send{entry: once, fates: "crossed"}, vms: 2, far: true, code: api.BadAnswer, ran: api.RanUnknown, runs: 1},
		"forward late":                 {send: send{entry: once, acts: "late"}, vms: 2, far: true, code: api.Timeout, ran: api.RanUnknown, runs: 1},
		"no leader":                    {send: send{entry: once, identity: "k"}, intents: []string{"none"}, code: api.NoLeader, ran: api.RanNo},
		"intent lost":                  {send: send{entry: once, identity: "k"}, intents: []string{"lost"}, code: api.NoLeader, ran: api.RanNo},
		"intent dropped":               {send: send{entry: once, identity: "k"}, intents: []string{"dropped"}, code: api.NoLeader, ran: api.RanNo},
		"far intent lost":              {send: send{entry: once, identity: "k"}, vms: 2, far: true, intents: []string{"lost"}, code: api.NoLeader, ran: api.RanNo},
	} {
		t.Run(name, func(t *testing.T) {
			virtual(t, max(1, c.vms), 1, 0, func(is *is.I, cell *cell) {
				v := cell.vms[0]
				v.down = c.down
				cell.intents = c.intents
				if c.far {
					slot, err := v.pool.Acquire(c.send.entry)
					is.NoErr(err)
					defer slot.Release()
				}
				c.send.id = "s"
				begin := time.Now()
				answer, fail := v.do(c.send)
				is.True(time.Since(begin) <= 5*time.Second) // within the deadline
				if c.code == "" {
					is.True(fail == nil)
					is.True(answer.Status == 503 || string(answer.Body) == "s") // its own answer
				} else {
					is.True(fail != nil)
					is.Equal(fail.Code, c.code)
					is.Equal(fail.Ran, c.ran)
				}
				time.Sleep(30 * time.Second)
				runs, _ := cell.ran("s", "")
				is.Equal(runs, c.runs)
				is.Equal(v.allotments.InFlight(team), int64(0)) // nothing is left behind
			})
		})
	}
}

// Guards against a second run of a keyed request that is sent again, through
// the same or another VM, whatever became of the first one (I7).
func TestResend(t *testing.T) {
	for name, c := range map[string]struct {
		first   send
		intents []string
		settles []string
		early   bool     // sent again while the first one runs
		code    api.Code // of the resend; empty for an answer
		ran     api.Ran
		runs    int
	}{
		"answered":              {runs: 1},
		"answered, settle lost": {settles: []string{"lost", "lost", "dropped", "none"}, runs: 1},
		"settle too late":       {settles: []string{"none", "none", "none", "none", "none", "none", "none"}, code: api.InProgress, ran: api.RanUnknown, runs: 1},
		"in progress":           {early: true, code: api.InProgress, ran: api.RanUnknown, runs: 1},
		"half":                  {first: send{acts: "half"}, code: api.InProgress, ran: api.RanUnknown, runs: 1},
		"late":                  {first: send{acts: "late", wait: time.Second}, runs: 1}, // the late answer is recorded
		"intent lost":           {intents: []string{"lost"}, runs: 1},
		"intent lost twice":     {intents: []string{"lost", "lost", "dropped"}, runs: 1},
		"intent dropped":        {intents: []string{"dropped"}, runs: 1},
		"no leader":             {intents: []string{"none"}, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			for via := range 2 {
				virtual(t, 2, 2, 0, func(is *is.I, cell *cell) {
					cell.intents, cell.settles = c.intents, c.settles
					first := c.first
					first.entry, first.id, first.identity = once, "s1", "k"
					done := make(chan struct{})
					go func() { defer close(done); cell.vms[0].do(first) }()
					time.Sleep(10 * time.Millisecond)
					if !c.early {
						<-done
						time.Sleep(900 * time.Millisecond) // for the settlement
					}
					again := send{entry: once, id: "s2", identity: "k"}
					answer, fail := cell.vms[via].do(again)
					if c.code == "" {
						is.True(fail == nil)
						is.True(string(answer.Body) == "s1" || string(answer.Body) == "s2")
					} else {
						is.True(fail != nil)
						is.Equal(fail.Code, c.code)
						is.Equal(fail.Ran, c.ran)
					}
					<-done
					time.Sleep(time.Minute)
					_, runs := cell.ran("", "k")
					is.Equal(runs, c.runs)
					other, fail := cell.vms[via].router.Admit(key, once)
					is.True(fail == nil)
					_, fail = cell.vms[via].router.Do(other, &Request{
						Method: "GET", Path: "/other", Identity: "k", Deadline: time.Now().Add(time.Second),
					})
					is.Equal(fail.Code, api.Mismatch)
				})
			}
		})
	}
}

// Shows for each guard of the router that a check fails without it.
func TestGuards(t *testing.T) {
	t.Run("intent before bytes", func(t *testing.T) {
		for _, off := range []bool{false, true} {
			virtual(t, 1, 2, 0, func(is *is.I, c *cell) {
				c.vms[0].router.hooks.lateIntent = off
				c.vms[0].do(send{entry: once, id: "s1", identity: "k"})
				c.vms[0].do(send{entry: once, id: "s2", identity: "k"})
				_, runs := c.ran("", "k")
				is.Equal(runs > 1, off) // a second run without the guard
			})
		}
	})
	t.Run("slot first", func(t *testing.T) {
		for _, off := range []bool{false, true} {
			virtual(t, 1, 1, 0, func(is *is.I, c *cell) {
				c.vms[0].router.hooks.lateSlot = off
				slot, err := c.vms[0].pool.Acquire(once)
				is.NoErr(err)
				defer slot.Release()
				index := c.commits()
				_, fail := c.vms[0].do(send{entry: once, id: "s", identity: "k"})
				is.Equal(fail.Code, api.Overloaded)
				is.Equal(c.commits() != index, off) // a refused request costs a log entry without the guard
			})
		}
	})
	t.Run("view deadline", func(t *testing.T) {
		for _, off := range []bool{false, true} {
			virtual(t, 1, 1, 0, func(is *is.I, c *cell) {
				v := c.vms[0]
				v.router.hooks.ignoreView = off
				c.set(func() { v.deadline = time.Now().Add(time.Millisecond) }) // passes while the intent is committed
				_, fail := v.do(send{entry: once, id: "s", identity: "k"})
				runs, _ := c.ran("s", "")
				is.Equal(runs == 1, off)
				c.set(func() {
					is.Equal(len(c.faults) == 1, off) // the runner notices
					c.faults = nil
				})
				if !off {
					is.Equal(fail.Code, api.Stale)
					is.Equal(fail.Ran, api.RanNo)
					_, fail = v.do(send{entry: once, id: "s"})
					is.Equal(fail.Code, api.Stale) // at admission
				}
			})
		}
	})
	t.Run("refusal looked up", func(t *testing.T) {
		for _, off := range []bool{false, true} {
			virtual(t, 2, 1, 0, func(is *is.I, c *cell) {
				c.vms[1].router.hooks.trustRefusal = off
				c.vms[0].do(send{entry: once, id: "s1", identity: "k"})
				time.Sleep(time.Second) // for the settlement
				for _, v := range c.vms {
					slot, err := v.pool.Acquire(once)
					is.NoErr(err)
					defer slot.Release()
				}
				again := send{entry: once, id: "s2", identity: "k"}
				_, fail := c.vms[1].do(again)
				is.Equal(fail != nil && fail.Ran == api.RanNo, off) // "not run" of an order that ran, without the guard
				c.set(func() { c.leaderless = true })
				_, fail = c.vms[1].do(again)
				is.Equal(fail.Code, api.Overloaded)
				is.Equal(fail.Ran == api.RanNo, off) // nobody can be asked
			})
		}
	})
	t.Run("retry rule", func(t *testing.T) {
		for _, off := range []bool{false, true} {
			virtual(t, 2, 1, 0, func(is *is.I, c *cell) {
				c.vms[0].router.hooks.ignoreRetry = off
				c.vms[0].do(send{entry: once, id: "s", acts: "half,"})
				runs, _ := c.ran("s", "")
				is.Equal(runs > 1, off)
			})
		}
	})
}

// Guards against checks in another order than the documented one, of which callers see
// the first that fails.
func TestAdmission(t *testing.T) {
	virtual(t, 1, 1, 2, func(is *is.I, c *cell) {
		v := c.vms[0]
		for _, a := range []struct {
			key   work.Key
			entry string
			code  api.Code
		}{
			{key, "none", api.UnknownEntry},
			{work.Key{Team: "other", Role: work.CallerRole}, once, api.Forbidden},
			{work.Key{Team: team, Role: work.WorkerRole}, once, api.Forbidden},
		} {
			_, fail := v.router.Admit(a.key, a.entry)
			is.Equal(fail.Code, a.code)
			is.Equal(fail.Ran, api.RanNo)
		}
		admission, fail := v.router.Admit(key, once)
		is.True(fail == nil)
		v.allotments.Grant([]control.TeamGrant{{Team: team}}, time.Now().Add(time.Hour))
		_, fail = v.router.Do(admission, &Request{Method: "POST", Path: "/", Body: make([]byte, work.DefaultBody+1)})
		is.Equal(fail.Code, api.TooLarge) // before the allotment
		_, fail = v.do(send{entry: once, id: "s"})
		is.Equal(fail.Code, api.Limited) // before the slot
		is.True(fail.Retry.After(time.Now()))
		c.grant(2)
		v.pool.Routes(nil, true)
		_, fail = v.do(send{entry: once, id: "s"})
		is.Equal(fail.Code, api.NoUpstream)
	})
}

// Guards against a shutdown that breaks requests off or lets new ones in (I9).
func TestDrain(t *testing.T) {
	virtual(t, 2, 4, 0, func(is *is.I, c *cell) {
		v, other := c.vms[0], c.vms[1]
		var group sync.WaitGroup
		for i := range 4 {
			group.Go(func() {
				a, fail := v.do(send{entry: once, id: fmt.Sprint("s", i), identity: fmt.Sprint("k", i)})
				is.True(fail == nil)
				is.Equal(string(a.Body), fmt.Sprint("s", i))
			})
		}
		time.Sleep(10 * time.Millisecond)
		short, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		is.True(v.router.Drain(short) != nil) // still in flight
		_, fail := v.do(send{entry: once, id: "new"})
		is.Equal(fail.Code, api.Draining)
		is.Equal(fail.Ran, api.RanNo)
		for range 4 {
			slot, err := other.pool.Acquire(once)
			is.NoErr(err)
			defer slot.Release()
		}
		_, fail = other.do(send{entry: once, id: "forwarded"})
		is.Equal(fail.Ran, api.RanNo) // the draining owner refuses it
		is.NoErr(v.router.Drain(context.Background()))
		is.Equal(len(c.settles), 0)
		for i := range 4 { // every outcome is recorded
			record, ok := c.state.Intent(team, once, fmt.Sprint("k", i))
			is.True(ok && record.Settle != nil)
		}
		group.Wait()
	})
}

// Guards against overload that passes a slot limit, holds requests back, or
// keeps the admitted work below the rate that the slots allow. Three requests
// come for each that the slots can run.
func TestOverload(t *testing.T) {
	virtual(t, 3, 4, 0, func(is *is.I, c *cell) {
		const service, seconds = 100 * time.Millisecond, 20
		capacity := int(seconds * time.Second / service * 3 * 4) // 3 VMs with 4 slots each
		var mu sync.Mutex
		answered, refused := 0, 0
		before := metricAnswered.Value()
		var slowest time.Duration
		var group sync.WaitGroup
		for i := range 3 * capacity {
			time.Sleep(seconds * time.Second / time.Duration(3*capacity))
			group.Go(func() {
				begin := time.Now()
				_, fail := c.vms[i%3].do(send{entry: once, id: fmt.Sprint(i), acts: "slow"})
				mu.Lock()
				defer mu.Unlock()
				if fail == nil {
					answered++
					return
				}
				refused++
				slowest = max(slowest, time.Since(begin))
				if fail.Code != api.Overloaded || fail.Ran != api.RanNo || !fail.Retry.After(begin) {
					t.Error(fail)
				}
			})
		}
		group.Wait()
		t.Logf("%d of %d possible answered, %d refused, the slowest refusal after %v", answered, capacity, refused, slowest)
		is.Equal(answered+refused, 3*capacity)
		is.Equal(int(metricAnswered.Value()-before), answered)
		is.Equal(metricFlight.Value(), int64(0))
		is.Equal(slowest, time.Duration(0)) // at once
		is.True(answered > capacity*95/100)
		is.Equal(c.peak, int64(12)) // all slots, and no more
	})
}

// Guards against retries above 10% of the requests.
func TestBudget(t *testing.T) {
	is := is.New(t)
	var b budget
	b.tokens.Store(budgetMaximum)
	for range budgetMaximum / budgetSpent { // the burst
		is.True(b.spend())
	}
	is.True(!b.spend())
	retries := 0
	for range 1000 {
		b.earn()
		for b.spend() {
			retries++
		}
	}
	is.Equal(retries, 100)
}

// plan is a random scenario.
type plan struct {
	sends   []planned
	intents []string
	settles []string
	drain   int // VM that drains half-way, -1 for none
	leave   int // VM whose runner leaves half-way
	down    int // VM whose runner refuses connections for a while
	cut     int // VM whose view expires half-way
}

type planned struct {
	send
	vm int
	at time.Duration
}

const scenario = 500 * time.Millisecond // in which the sends begin

func draw(t *rapid.T, vms int) plan {
	acts := rapid.SliceOfN(rapid.SampledFrom([]string{"", "", "", "unread", "break", "half", "wrong", "late", "busy"}), 1, 4)
	fates := rapid.SliceOfN(rapid.SampledFrom([]string{"", "", "", "unreachable", "unheard", "dies", "crossed"}), 0, 3)
	commits := rapid.SliceOfN(rapid.SampledFrom([]string{"", "", "none", "lost", "dropped"}), 0, 12)
	some := rapid.IntRange(-1, vms-1)
	p := plan{
		intents: commits.Draw(t, "intents"), settles: commits.Draw(t, "settles"),
		drain: some.Draw(t, "drain"), leave: some.Draw(t, "leave"), down: some.Draw(t, "down"),
		cut: some.Draw(t, "cut"),
	}
	for i := range rapid.IntRange(1, 25).Draw(t, "sends") {
		s := planned{vm: rapid.IntRange(0, vms-1).Draw(t, "vm"), at: time.Duration(rapid.Int64Range(0, int64(scenario)).Draw(t, "at"))}
		s.id, s.entry = fmt.Sprint("s", i), rapid.SampledFrom([]string{once, idem}).Draw(t, "entry")
		s.identity = rapid.SampledFrom([]string{"", "k1", "k2"}).Draw(t, "identity")
		s.wait = time.Duration(rapid.IntRange(50, 2000).Draw(t, "wait")) * time.Millisecond
		s.acts, s.fates = join(acts.Draw(t, "acts")), join(fates.Draw(t, "fates"))
		p.sends = append(p.sends, s)
	}
	return p
}

func join(list []string) (s string) {
	for _, e := range list {
		s += e + ","
	}
	return s
}

// run plays a plan and returns the invariants that it broke.
func (p *plan) run(vms, slots int, limit int64, off hooks) (faults []string) {
	c := newCell(vms, slots, limit)
	for _, v := range c.vms {
		v.router.hooks = off
	}
	c.intents, c.settles = p.intents, p.settles
	var group sync.WaitGroup
	var told sync.Map
	for _, s := range p.sends {
		group.Go(func() {
			time.Sleep(s.at)
			begin := time.Now()
			answer, fail := c.vms[s.vm].do(s.send)
			told.Store(s.id, fail)
			if late := time.Since(begin) - s.wait; late > 0 {
				c.fault("%s was answered %v after its deadline", s.id, late)
			}
			if fail == nil && answer.Status == 200 && string(answer.Body) != s.id && s.identity == "" {
				c.fault("%s got the answer %q", s.id, answer.Body)
			}
		})
	}
	group.Go(func() { p.disturb(c) })
	group.Wait()
	time.Sleep(2 * time.Minute) // lost forwards and settlements end
	for _, s := range p.sends {
		fail, _ := told.Load(s.id)
		sends, _ := c.ran(s.id, s.identity)
		switch e := fail.(*api.Error); {
		case e != nil && e.Ran == api.RanNo && sends > 0:
			c.fault("%s was told that it did not run (%v), and ran %d times", s.id, e, sends)
		case e == nil && sends == 0 && s.identity == "":
			c.fault("%s was answered and did not run", s.id)
		case s.entry == once && sends > 1:
			c.fault("%s ran %d times", s.id, sends)
		}
	}
	p.count(c)
	for _, v := range c.vms {
		if n := v.allotments.InFlight(team); n != 0 {
			c.fault("%d requests still count as in flight", n)
		}
	}
	c.close()
	return c.faults
}

// count checks that no keyed request ran twice. Keys are counted for the entry
// that is not idempotent only.
func (p *plan) count(c *cell) {
	runs := map[string]int{}
	for _, s := range p.sends {
		if s.entry == once && s.identity != "" {
			n, _ := c.ran(s.id, "")
			runs[s.identity] += n
		}
	}
	for k, n := range runs {
		if n > 1 {
			c.fault("the request with key %s ran %d times", k, n)
		}
	}
}

func (p *plan) disturb(c *cell) {
	time.Sleep(scenario / 4)
	if p.down >= 0 {
		c.set(func() { c.vms[p.down].down = true })
	}
	time.Sleep(scenario / 4)
	if p.cut >= 0 {
		c.set(func() { c.vms[p.cut].deadline = time.Now() })
	}
	if p.leave >= 0 {
		v := c.vms[p.leave]
		for _, w := range c.vms {
			w.pool.Left(control.RunnerID{Entry: once, Name: once + "-of-" + v.name})
			w.pool.Left(control.RunnerID{Entry: idem, Name: idem + "-of-" + v.name})
		}
		time.Sleep(time.Second) // the documented bound is a second
		c.set(func() { v.gone = true })
		c.route()
	}
	if p.down >= 0 {
		c.set(func() { c.vms[p.down].down = false })
	}
	if p.drain >= 0 {
		if err := c.vms[p.drain].router.Drain(context.Background()); err != nil {
			c.fault("drain: %v", err)
		}
	}
}

func (c *cell) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *cell) fault(format string, arguments ...any) {
	c.set(func() { c.faults = append(c.faults, fmt.Sprintf(format, arguments...)) })
}

// Guards against any combination of failures that breaks I4 to I9: limits of
// team and slots, own answers only, "no" only if it did not run, one run of
// what is not idempotent, nothing for a runner that left, and a drain that
// finishes what is in flight.
func TestScenarios(t *testing.T) {
	for vms := 1; vms <= 3; vms++ {
		rapid.Check(t, func(rt *rapid.T) {
			p := draw(rt, vms)
			var faults []string
			synctest.Test(t, func(t *testing.T) { faults = p.run(vms, 2, 3*int64(vms), hooks{}) })
			if len(faults) > 0 {
				rt.Fatalf("%d VMs: %v", vms, faults)
			}
		})
	}
}

// Shows that the scenarios find a router without one of its guards.
func TestScenariosFindFaults(t *testing.T) {
	plans := rapid.Custom(func(t *rapid.T) plan { return draw(t, 2) })
	for name, off := range map[string]hooks{"intent": {lateIntent: true}, "retry": {ignoreRetry: true}, "view": {ignoreView: true}} {
		found := false
		for i := 0; i < 200 && !found; i++ {
			p := plans.Example(i)
			synctest.Test(t, func(t *testing.T) { found = len(p.run(2, 2, 6, off)) > 0 })
		}
		if !found {
			t.Errorf("%s: no scenario fails without the guard", name)
		}
	}
}

func BenchmarkDigest(b *testing.B) {
	q := &Request{Method: "POST", Path: "/orders", Body: make([]byte, 1024)}
	b.ReportAllocs()
	for b.Loop() {
		digest(q)
	}
}

// Guards against a choice of owner that allocates for each request.
func BenchmarkRouteChoice(b *testing.B) {
	c := &cell{}
	v := &vm{cell: c}
	pool := upstream.New(upstream.Options{Name: "vm0", Zone: "z"})
	var routes []control.Route
	for i := range 48 {
		routes = append(routes, control.Route{
			Runner: control.RunnerID{Entry: once, Name: fmt.Sprint("r", i)}, Owner: fmt.Sprint("vm", 1+i%6), Zone: fmt.Sprint("z", i%3),
			Slots: 8, Connections: 64,
		})
	}
	pool.Routes(routes, true)
	r, err := New(Options{
		Name: "vm0", Directory: v, Leader: c, Peer: c, Pool: pool, Allotments: upstream.NewAllotments(nil, nil),
	})
	if err != nil {
		b.Fatal(err)
	}
	owners := make([]upstream.Owner, 0, 8)
	b.ReportAllocs()
	for b.Loop() {
		owners = pool.Owners(once, owners[:0])
		if r.pick(once, owners) < 0 {
			b.Fatal("no owner")
		}
	}
}

// FuzzForward guards against a forward message that crashes the owner or is
// served although no entry VM sends it.
func FuzzForward(f *testing.F) {
	good := Forward{ID: "a", Entry: "e", Team: "t", Method: "GET", Path: "/", Remaining: time.Second}
	for _, change := range []func(*Forward){
		func(*Forward) {},
		func(m *Forward) { m.Path = "x" },
		func(m *Forward) { m.Remaining = -1 },
		func(m *Forward) { m.Intent = true },
		func(m *Forward) { m.Header = [][2]string{{"A", "b\r\nC: d"}} },
	} {
		m := good
		change(&m)
		b, err := cbor.Marshal(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		c := &cell{}
		v := &vm{cell: c, deadline: time.Now().Add(time.Hour)}
		r, err := New(Options{
			Name: "vm0", Directory: v, Leader: c, Peer: c, Pool: upstream.New(upstream.Options{Name: "vm0"}),
			Allotments: upstream.NewAllotments(nil, nil),
		})
		if err != nil {
			t.Fatal(err)
		}
		var decoded *Forward
		reply, err := r.Forwarded(context.Background(), "", func(into any) error {
			decoded = into.(*Forward)
			return cbor.Unmarshal(b, into)
		})
		if err == nil {
			if answer := reply.(*Forwarded); answer.Outcome != Refused || answer.ID != decoded.ID {
				t.Fatalf("%+v", answer)
			}
			if decoded.Path[0] != '/' || decoded.Remaining <= 0 || decoded.Remaining > upstream.RequestTime {
				t.Fatalf("%+v was accepted", decoded)
			}
		}
	})
}
