package route

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/upstream"
	"github.com/rosemaryloft/rosemaryloft/internal/version/codec"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// withCell runs a test on a cell in virtual time and fails it if the cell saw a
// violated invariant.
func withCell(t *testing.T, vms, slots int, limit int64, f func(is *is.I, c *cell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCell(vms, slots, limit)
		func() {
			defer c.close()
			f(is.New(t), c)
		}()
		c.mu.Lock()
		defer c.mu.Unlock()
		if len(c.violations) > 0 {
			t.Fatal(c.violations)
		}
	})
}

// Guards against a caller that is told another outcome than the runner had:
// "no" for a request that ran, an answer for one that did not run, or a second
// run of a non-idempotent request (I6, I7).
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		send         send
		vms          int  // zero means 1
		slotsTaken   bool // the receiving VM has no free slot of its own
		runnerDown   bool // the only runner refuses connections
		intentFaults []string
		code         api.Code // empty if an answer is expected
		ran          api.Ran
		runs         int
	}{
		"answered":                     {send: send{entry: nonIdempotent}, runs: 1},
		"answered, keyed":              {send: send{entry: nonIdempotent, identity: "k"}, runs: 1},
		"refused connection":           {send: send{entry: nonIdempotent}, runnerDown: true, code: api.NoUpstream, ran: api.RanNo},
		"refused connection, keyed":    {send: send{entry: nonIdempotent, identity: "k"}, runnerDown: true, code: api.NoUpstream, ran: api.RanNo},
		"broken before the run":        {send: send{entry: nonIdempotent, behaviours: "unread"}, code: api.BadAnswer, ran: api.RanUnknown},
		"broken before the first byte": {send: send{entry: nonIdempotent, behaviours: "break"}, code: api.BadAnswer, ran: api.RanUnknown, runs: 1},
		"broken half-way":              {send: send{entry: nonIdempotent, behaviours: "half"}, code: api.BadAnswer, ran: api.RanUnknown, runs: 1},
		"another's answer":             {send: send{entry: nonIdempotent, behaviours: "wrong"}, code: api.BadAnswer, ran: api.RanUnknown, runs: 1},
		"late":                         {send: send{entry: nonIdempotent, behaviours: "late"}, code: api.Timeout, ran: api.RanUnknown, runs: 1},
		"late, keyed":                  {send: send{entry: nonIdempotent, behaviours: "late", identity: "k"}, code: api.Timeout, ran: api.RanUnknown, runs: 1},
		"half-way, keyed":              {send: send{entry: nonIdempotent, behaviours: "half", identity: "k"}, code: api.BadAnswer, ran: api.RanUnknown, runs: 1},
		"repeated":                     {send: send{entry: idempotent, behaviours: "half,"}, vms: 2, runs: 2},
		"repeated, other's answer":     {send: send{entry: idempotent, behaviours: "wrong,"}, vms: 2, runs: 2},
		"repeated while busy":          {send: send{entry: idempotent, behaviours: "busy,"}, vms: 2, runs: 2},
		"busy, not repeated":           {send: send{entry: nonIdempotent, behaviours: "busy"}, runs: 1},
		"crashes its runners":          {send: send{entry: idempotent, behaviours: "break,break,break,break,"}, vms: 6, code: api.BadAnswer, ran: api.RanUnknown, runs: 2},
		"repeat finds nothing":         {send: send{entry: idempotent, behaviours: "half"}, code: api.BadAnswer, ran: api.RanUnknown, runs: 1},
		"forwarded":                    {send: send{entry: nonIdempotent}, vms: 2, slotsTaken: true, runs: 1},
		"forwarded, keyed":             {send: send{entry: nonIdempotent, identity: "k"}, vms: 2, slotsTaken: true, runs: 1},
		"owner unreachable":            {send: send{entry: nonIdempotent, forwardFaults: "unreachable"}, vms: 2, slotsTaken: true, code: api.Overloaded, ran: api.RanNo},
		"another owner":                {send: send{entry: nonIdempotent, forwardFaults: "unreachable"}, vms: 3, slotsTaken: true, runs: 1},
		"forward lost":                 {send: send{entry: nonIdempotent, forwardFaults: "lost"}, vms: 2, slotsTaken: true, code: api.BadAnswer, ran: api.RanUnknown},
		"owner dies":                   {send: send{entry: nonIdempotent, forwardFaults: "dies"}, vms: 2, slotsTaken: true, code: api.BadAnswer, ran: api.RanUnknown, runs: 1},
		"owner dies, repeated":         {send: send{entry: idempotent, forwardFaults: "dies"}, vms: 3, slotsTaken: true, runs: 2},
		"forward crossed":              {send: send{entry: nonIdempotent, forwardFaults: "crossed"}, vms: 2, slotsTaken: true, code: api.BadAnswer, ran: api.RanUnknown, runs: 1},
		"forward late":                 {send: send{entry: nonIdempotent, behaviours: "late"}, vms: 2, slotsTaken: true, code: api.Timeout, ran: api.RanUnknown, runs: 1},
		"no leader":                    {send: send{entry: nonIdempotent, identity: "k"}, intentFaults: []string{"none"}, code: api.NoLeader, ran: api.RanNo},
		"intent lost":                  {send: send{entry: nonIdempotent, identity: "k"}, intentFaults: []string{"lost"}, code: api.NoLeader, ran: api.RanNo},
		"intent dropped":               {send: send{entry: nonIdempotent, identity: "k"}, intentFaults: []string{"dropped"}, code: api.NoLeader, ran: api.RanNo},
		"far intent lost":              {send: send{entry: nonIdempotent, identity: "k"}, vms: 2, slotsTaken: true, intentFaults: []string{"lost"}, code: api.NoLeader, ran: api.RanNo},
	} {
		t.Run(name, func(t *testing.T) {
			withCell(t, max(1, c.vms), 1, 0, func(is *is.I, cell *cell) {
				v := cell.vms[0]
				v.refusing = c.runnerDown
				cell.intentFaults = c.intentFaults
				if c.slotsTaken {
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
					is.True(answer.Status == 503 || string(answer.Body) == "s") // the answer to this request
				} else {
					is.True(fail != nil)
					is.Equal(fail.Code, c.code)
					is.Equal(fail.Ran, c.ran)
				}
				time.Sleep(30 * time.Second)
				runs, _ := cell.runCounts("s", "")
				is.Equal(runs, c.runs)
				is.Equal(v.allotments.InFlight(team), int64(0)) // the allotment is released
			})
		})
	}
}

// Guards against a second run when a request is retried with the same
// Idempotency-Key, through the same or another VM, after any outcome of the
// first attempt (I7).
func TestResend(t *testing.T) {
	for name, c := range map[string]struct {
		first        send
		intentFaults []string
		settleFaults []string
		whileRunning bool     // retry while the first request runs
		code         api.Code // of the retry; empty if an answer is expected
		ran          api.Ran
		runs         int
	}{
		"answered":              {runs: 1},
		"answered, settle lost": {settleFaults: []string{"lost", "lost", "dropped", "none"}, runs: 1},
		"settle too late":       {settleFaults: []string{"none", "none", "none", "none", "none", "none", "none"}, code: api.InProgress, ran: api.RanUnknown, runs: 1},
		"in progress":           {whileRunning: true, code: api.InProgress, ran: api.RanUnknown, runs: 1},
		"half":                  {first: send{behaviours: "half"}, code: api.InProgress, ran: api.RanUnknown, runs: 1},
		"late":                  {first: send{behaviours: "late", timeout: time.Second}, runs: 1}, // the late answer is recorded
		"intent lost":           {intentFaults: []string{"lost"}, runs: 1},
		"intent lost twice":     {intentFaults: []string{"lost", "lost", "dropped"}, runs: 1},
		"intent dropped":        {intentFaults: []string{"dropped"}, runs: 1},
		"no leader":             {intentFaults: []string{"none"}, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			for via := range 2 {
				withCell(t, 2, 2, 0, func(is *is.I, cell *cell) {
					cell.intentFaults, cell.settleFaults = c.intentFaults, c.settleFaults
					first := c.first
					first.entry, first.id, first.identity = nonIdempotent, "s1", "k"
					done := make(chan struct{})
					go func() { defer close(done); cell.vms[0].do(first) }()
					time.Sleep(10 * time.Millisecond)
					if !c.whileRunning {
						<-done
						time.Sleep(900 * time.Millisecond) // until the outcome is recorded
					}
					again := send{entry: nonIdempotent, id: "s2", identity: "k"}
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
					_, runs := cell.runCounts("", "k")
					is.Equal(runs, c.runs)
					other, fail := cell.vms[via].router.Admit(key, nonIdempotent)
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

// Checks that each safeguard of the router has a test that fails without it.
func TestGuards(t *testing.T) {
	t.Run("intent before bytes", func(t *testing.T) {
		for _, off := range []bool{false, true} {
			withCell(t, 1, 2, 0, func(is *is.I, c *cell) {
				c.vms[0].router.hooks.sendBeforeIntent = off
				c.vms[0].do(send{entry: nonIdempotent, id: "s1", identity: "k"})
				c.vms[0].do(send{entry: nonIdempotent, id: "s2", identity: "k"})
				_, runs := c.runCounts("", "k")
				is.Equal(runs > 1, off) // runs twice without the safeguard
			})
		}
	})
	t.Run("slot first", func(t *testing.T) {
		for _, off := range []bool{false, true} {
			withCell(t, 1, 1, 0, func(is *is.I, c *cell) {
				c.vms[0].router.hooks.intentBeforeSlot = off
				slot, err := c.vms[0].pool.Acquire(nonIdempotent)
				is.NoErr(err)
				defer slot.Release()
				index := c.commits()
				_, fail := c.vms[0].do(send{entry: nonIdempotent, id: "s", identity: "k"})
				is.Equal(fail.Code, api.Overloaded)
				is.Equal(c.commits() != index, off) // without the safeguard, a refused request costs a log entry
			})
		}
	})
	t.Run("view deadline", func(t *testing.T) {
		for _, off := range []bool{false, true} {
			withCell(t, 1, 1, 0, func(is *is.I, c *cell) {
				v := c.vms[0]
				v.router.hooks.ignoreViewExpiry = off
				c.locked(func() { v.deadline = time.Now().Add(time.Millisecond) }) // expires while the intent is committed
				_, fail := v.do(send{entry: nonIdempotent, id: "s", identity: "k"})
				runs, _ := c.runCounts("s", "")
				is.Equal(runs == 1, off)
				c.locked(func() {
					is.Equal(len(c.violations) == 1, off) // the runner detects it
					c.violations = nil
				})
				if !off {
					is.Equal(fail.Code, api.Stale)
					is.Equal(fail.Ran, api.RanNo)
					_, fail = v.do(send{entry: nonIdempotent, id: "s"})
					is.Equal(fail.Code, api.Stale) // refused at admission
				}
			})
		}
	})
	t.Run("refusal looked up", func(t *testing.T) {
		for _, off := range []bool{false, true} {
			withCell(t, 2, 1, 0, func(is *is.I, c *cell) {
				c.vms[1].router.hooks.skipRefusalCheck = off
				c.vms[0].do(send{entry: nonIdempotent, id: "s1", identity: "k"})
				time.Sleep(time.Second) // until the outcome is recorded
				for _, v := range c.vms {
					slot, err := v.pool.Acquire(nonIdempotent)
					is.NoErr(err)
					defer slot.Release()
				}
				again := send{entry: nonIdempotent, id: "s2", identity: "k"}
				_, fail := c.vms[1].do(again)
				is.Equal(fail != nil && fail.Ran == api.RanNo, off) // without the safeguard, "not run" for a request that ran
				c.locked(func() { c.noLeader = true })
				_, fail = c.vms[1].do(again)
				is.Equal(fail.Code, api.Overloaded)
				is.Equal(fail.Ran == api.RanNo, off) // without a leader, the outcome is unknown
			})
		}
	})
	t.Run("retry rule", func(t *testing.T) {
		for _, off := range []bool{false, true} {
			withCell(t, 2, 1, 0, func(is *is.I, c *cell) {
				c.vms[0].router.hooks.retryAny = off
				c.vms[0].do(send{entry: nonIdempotent, id: "s", behaviours: "half,"})
				runs, _ := c.runCounts("s", "")
				is.Equal(runs > 1, off)
			})
		}
	})
}

// Guards against admission checks in another order than the documented one.
// Callers see the first check that fails.
func TestAdmission(t *testing.T) {
	withCell(t, 1, 1, 2, func(is *is.I, c *cell) {
		v := c.vms[0]
		for _, a := range []struct {
			key   work.Key
			entry string
			code  api.Code
		}{
			{key, "none", api.UnknownEntry},
			{work.Key{Team: "other", Role: work.CallerRole}, nonIdempotent, api.Forbidden},
			{work.Key{Team: team, Role: work.WorkerRole}, nonIdempotent, api.Forbidden},
		} {
			_, fail := v.router.Admit(a.key, a.entry)
			is.Equal(fail.Code, a.code)
			is.Equal(fail.Ran, api.RanNo)
		}
		admission, fail := v.router.Admit(key, nonIdempotent)
		is.True(fail == nil)
		v.allotments.Grant([]control.TeamGrant{{Team: team}}, time.Now().Add(time.Hour))
		_, fail = v.router.Do(admission, &Request{Method: "POST", Path: "/", Body: make([]byte, work.DefaultBody+1)})
		is.Equal(fail.Code, api.TooLarge) // checked before the allotment
		_, fail = v.do(send{entry: nonIdempotent, id: "s"})
		is.Equal(fail.Code, api.Limited) // checked before the slot
		is.True(fail.Retry.After(time.Now()))
		c.grant(2)
		v.pool.Routes(nil, true)
		_, fail = v.do(send{entry: nonIdempotent, id: "s"})
		is.Equal(fail.Code, api.NoUpstream)
	})
}

// Guards against a shutdown that aborts requests or admits new ones (I9).
func TestDrain(t *testing.T) {
	withCell(t, 2, 4, 0, func(is *is.I, c *cell) {
		v, other := c.vms[0], c.vms[1]
		var group sync.WaitGroup
		for i := range 4 {
			group.Go(func() {
				a, fail := v.do(send{entry: nonIdempotent, id: fmt.Sprint("s", i), identity: fmt.Sprint("k", i)})
				is.True(fail == nil)
				is.Equal(string(a.Body), fmt.Sprint("s", i))
			})
		}
		time.Sleep(10 * time.Millisecond)
		short, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		is.True(v.router.Drain(short) != nil) // requests are still in flight
		_, fail := v.do(send{entry: nonIdempotent, id: "new"})
		is.Equal(fail.Code, api.Draining)
		is.Equal(fail.Ran, api.RanNo)
		for range 4 {
			slot, err := other.pool.Acquire(nonIdempotent)
			is.NoErr(err)
			defer slot.Release()
		}
		_, fail = other.do(send{entry: nonIdempotent, id: "forwarded"})
		is.Equal(fail.Ran, api.RanNo) // the draining owner refuses it
		is.NoErr(v.router.Drain(context.Background()))
		is.Equal(len(c.settleFaults), 0)
		for i := range 4 { // every outcome is recorded
			record, ok := c.state.Intent(team, nonIdempotent, fmt.Sprint("k", i))
			is.True(ok && record.Settle != nil)
		}
		group.Wait()
	})
}

// Guards against an overload that exceeds a slot limit, delays refusals, or
// reduces the number of answered requests below what the slots allow. The load
// is three times the capacity of the slots.
func TestOverload(t *testing.T) {
	withCell(t, 3, 4, 0, func(is *is.I, c *cell) {
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
				_, fail := c.vms[i%3].do(send{entry: nonIdempotent, id: fmt.Sprint(i), behaviours: "slow"})
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
		is.Equal(metricInFlight.Value(), int64(0))
		is.Equal(slowest, time.Duration(0)) // refused at once
		is.True(answered > capacity*95/100)
		is.Equal(c.maxInFlight, int64(12)) // all slots, and no more
	})
}

// Guards against retries that exceed 10% of the requests.
func TestBudget(t *testing.T) {
	is := is.New(t)
	var b retryBudget
	b.tokens.Store(maxBudget)
	for range maxBudget / retryCost { // the allowed burst
		is.True(b.tryWithdraw())
	}
	is.True(!b.tryWithdraw())
	retries := 0
	for range 1000 {
		b.deposit()
		for b.tryWithdraw() {
			retries++
		}
	}
	is.Equal(retries, 100)
}

func BenchmarkDigest(b *testing.B) {
	q := &Request{Method: "POST", Path: "/orders", Body: make([]byte, 1024)}
	b.ReportAllocs()
	for b.Loop() {
		digest(q)
	}
}

// Guards against an allocation for each choice of an owner.
func BenchmarkRouteChoice(b *testing.B) {
	c := &cell{}
	v := &vm{cell: c}
	pool := upstream.New(upstream.Options{Name: "vm0", Zone: "z"})
	var routes []control.Route
	for i := range 48 {
		routes = append(routes, control.Route{
			Runner: control.RunnerID{Entry: nonIdempotent, Name: fmt.Sprint("r", i)}, Owner: fmt.Sprint("vm", 1+i%6), Zone: fmt.Sprint("z", i%3),
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
		owners = pool.Owners(nonIdempotent, owners[:0])
		if r.pickOwner(nonIdempotent, owners) < 0 {
			b.Fatal("no owner")
		}
	}
}

// FuzzForward guards against a forward message that crashes the owner, and
// against serving one that no entry VM would send.
func FuzzForward(f *testing.F) {
	good := ForwardRequest{ID: "a", Entry: "e", Team: "t", Method: "GET", Path: "/", Remaining: time.Second}
	for _, change := range []func(*ForwardRequest){
		func(*ForwardRequest) {},
		func(m *ForwardRequest) { m.Path = "x" },
		func(m *ForwardRequest) { m.Remaining = -1 },
		func(m *ForwardRequest) { m.Intent = true },
		func(m *ForwardRequest) { m.Header = [][2]string{{"A", "b\r\nC: d"}} },
	} {
		m := good
		change(&m)
		b, err := codec.Encode(&m)
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
		var decoded *ForwardRequest
		reply, err := r.HandleForward(context.Background(), "", func(into any) error {
			decoded = into.(*ForwardRequest)
			return codec.DecodeMessage(b, into)
		})
		if err == nil {
			if answer := reply.(*ForwardReply); answer.Outcome != Refused || answer.ID != decoded.ID {
				t.Fatalf("%+v", answer)
			}
			if decoded.Path[0] != '/' || decoded.Remaining <= 0 || decoded.Remaining > upstream.RequestTimeout {
				t.Fatalf("%+v was accepted", decoded)
			}
		}
	})
}
