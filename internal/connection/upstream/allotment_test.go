package upstream

import (
	"fmt"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rosemaryloft/rosemaryloft/internal/boottime"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
)

// manualClock is a clock that tests advance explicitly.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func newAllotments() (*Allotments, *manualClock, *int) {
	c, refused := &manualClock{now: time.Unix(1000, 0)}, new(int)
	return NewAllotments(c.Now, func() { *refused++ }), c, refused
}

func grant(a *Allotments, c *manualClock, team string, n int64) {
	a.Grant([]control.TeamGrant{{Team: team, Granted: n}}, c.now.Add(3*time.Second))
}

// Guards against use beyond the allotment, also after a grant has reduced it, and
// against use after the deadline of the session.
func TestAllotment(t *testing.T) {
	is := is.New(t)
	a, c, refused := newAllotments()
	is.Equal(a.Take("t", 10), ErrExpired) // no session yet
	grant(a, c, "t", 2)
	is.NoErr(a.Take("t", 10))
	is.NoErr(a.Take("t", 10))
	is.Equal(a.Take("t", 10), ErrLimited)
	is.Equal(*refused, 1)
	is.Equal(a.Uses(nil), []control.TeamUse{{Team: "t", Held: 2, Used: 2, Wanted: 4}})
	grant(a, c, "t", 1)
	is.Equal(a.Uses(nil)[0].Held, int64(2)) // requests in flight count as held
	a.Release("t")
	is.Equal(a.Take("t", 10), ErrLimited)
	a.Release("t")
	is.NoErr(a.Take("t", 10))
	is.NoErr(a.Take("free", 0)) // a team without a limit needs no grant
	c.now = c.now.Add(3 * time.Second)
	is.Equal(a.Take("t", 10), ErrExpired)
	is.Equal(a.Take("free", 0), ErrExpired)
	a.Release("t")
	for _, u := range a.Uses(nil) {
		is.Equal(u.Held, u.Used) // the grant has expired
	}
	a.Grant(nil, c.now.Add(3*time.Second))
	is.Equal(a.Take("t", 10), ErrLimited) // until it is granted again
}

// Guards against the use of an allotment after a suspension of the VM, and against
// requests that are refused at once since then because their deadline is on the clock of
// time.Now.
func TestAllotmentAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		suspended := time.Duration(0)
		a := NewAllotments(func() time.Time { return time.Now().Add(suspended) }, nil)
		a.Grant([]control.TeamGrant{{Team: "t", Granted: 2}}, a.now().Add(3*time.Second))
		is.NoErr(a.Take("t", 5))
		suspended = time.Hour
		is.Equal(a.Take("t", 5), ErrExpired)
		a.Release("t")
		a.Uses(nil)
		a.Grant(nil, a.now().Add(3*time.Second))
		time.AfterFunc(50*time.Millisecond, func() {
			a.Grant([]control.TeamGrant{{Team: "t", Granted: 1}}, a.now().Add(3*time.Second))
		})
		is.NoErr(a.TakeOrWait("t", 5, time.Now().Add(time.Minute)))
		is.Equal(reflect.ValueOf(NewAllotments(nil, nil).now).Pointer(), reflect.ValueOf(boottime.Now).Pointer())
	})
}

// Guards against a team that sends few requests being refused each time, and
// against requests that wait although other entry VMs use up the team's limit.
func TestTakeFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := NewAllotments(nil, nil)
		give := func(n int64) {
			a.Grant([]control.TeamGrant{{Team: "t", Granted: n}}, time.Now().Add(3*time.Second))
		}
		give(0)
		begin := time.Now()
		time.AfterFunc(20*time.Millisecond, func() { give(0) }) // the answer to an earlier renewal
		time.AfterFunc(50*time.Millisecond, func() { give(1) })
		is.NoErr(a.TakeOrWait("t", 5, begin.Add(time.Minute)))
		is.Equal(time.Since(begin), 50*time.Millisecond)
		is.Equal(a.TakeOrWait("t", 5, begin.Add(time.Minute)), ErrLimited)
		is.Equal(time.Since(begin), 50*time.Millisecond) // immediately: the team has an allotment
		a.Release("t")
		give(0)
		time.AfterFunc(20*time.Millisecond, func() { a.Uses(nil) })
		time.AfterFunc(30*time.Millisecond, func() { give(0) })
		is.Equal(a.TakeOrWait("t", 5, begin.Add(time.Minute)), ErrLimited)
		is.Equal(time.Since(begin), 80*time.Millisecond) // the leader granted nothing
		is.Equal(a.TakeOrWait("t", 5, begin.Add(time.Minute)), ErrLimited)
		is.Equal(time.Since(begin), 80*time.Millisecond) // immediately after that
		time.Sleep(firstPause)
		begin = time.Now()
		is.Equal(a.TakeOrWait("t", 5, begin.Add(10*time.Millisecond)), ErrLimited)
		is.Equal(time.Since(begin), 10*time.Millisecond) // the caller's deadline
		time.Sleep(firstPause)
		begin = time.Now()
		is.Equal(a.TakeOrWait("t", 5, begin.Add(time.Minute)), ErrLimited)
		is.Equal(time.Since(begin), maxFirstWait) // no grant came
		is.Equal(a.InFlight("t"), int64(0))
	})
}

// Guards against an allotment that is never returned without demand, or that is
// returned during a short pause.
func TestWanted(t *testing.T) {
	is := is.New(t)
	a, c, _ := newAllotments()
	grant(a, c, "t", 100)
	for range 80 {
		is.NoErr(a.Take("t", 1000))
	}
	is.Equal(a.Uses(nil)[0].Wanted, int64(91)) // 80 plus an eighth plus one
	for range 80 {
		a.Release("t")
	}
	a.Uses(nil)                          // still includes the peak of the last period
	is.True(a.Uses(nil)[0].Wanted >= 60) // after a short pause
	n := 0
	for ; n < 100; n++ {
		u := a.Uses(nil)
		if len(u) == 0 || u[0].Wanted == 0 {
			break
		}
	}
	is.True(n < 40) // 8 s
	grant(a, c, "t", 0)
	is.Equal(len(a.Uses(nil)), 0)
}

// Guards against the use of an old grant when a limit is set again on a team
// whose limit had been removed.
func TestLimitSet(t *testing.T) {
	is := is.New(t)
	a, c, _ := newAllotments()
	grant(a, c, "t", 5)
	is.NoErr(a.Take("t", 0)) // the limit was removed
	is.Equal(a.Uses(nil)[0].Held, int64(1))
	is.Equal(a.Take("t", 5), ErrLimited) // the grant of five was reported as no longer held
}

// Guards against more requests in flight than a team's limit, over several entry
// VMs that receive and return allotments in any order (I4). The simulated leader
// grants only what no entry VM holds.
func TestAllotmentsTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, vms = 7, 3
		c := &manualClock{now: time.Unix(1000, 0)}
		var entries [vms]*Allotments
		var held, flight [vms]int64 // as known to the leader; actual requests
		for i := range entries {
			entries[i] = NewAllotments(c.Now, nil)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, vms-1).Draw(t, "entry")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if entries[i].Take("t", limit) == nil {
					flight[i]++
				}
			case 1:
				if flight[i] > 0 {
					entries[i].Release("t")
					flight[i]--
				}
			default:
				renew(t, entries[i], c, held[:], i, limit)
			}
			total := int64(0)
			for _, n := range flight {
				total += n
			}
			if total > limit {
				t.Fatalf("%d in flight", total)
			}
		}
	})
}

// renew simulates the renewal of one entry VM and its grant.
func renew(t *rapid.T, a *Allotments, c *manualClock, held []int64, i int, limit int64) {
	use := control.TeamUse{}
	if uses := a.Uses(nil); len(uses) > 0 {
		use = uses[0]
	}
	held[i] = use.Held
	free := limit
	for _, h := range held {
		free -= h
	}
	granted := min(use.Wanted, use.Held+max(0, free))
	if rapid.Bool().Draw(t, "shrink") {
		granted = rapid.Int64Range(0, granted).Draw(t, "granted")
	}
	held[i] = max(use.Held, granted) // until reported as no longer held
	if rapid.Bool().Draw(t, "lost") {
		return
	}
	a.Grant([]control.TeamGrant{{Team: "t", Granted: granted}}, c.now.Add(time.Minute))
}

func BenchmarkTake(b *testing.B) {
	a := NewAllotments(nil, nil)
	var grants []control.TeamGrant
	for i := range 240 {
		grants = append(grants, control.TeamGrant{Team: fmt.Sprint("team", i), Granted: 1000})
	}
	a.Grant(grants, time.Now().Add(time.Hour))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			team := grants[i%len(grants)].Team
			if a.Take(team, 1<<20) == nil {
				a.Release(team)
			}
		}
	})
}

// Guards against refusing the first request of a team on an entry VM although the
// team is far below its limit, and against waiting while the team has an
// allotment.
func TestFirstAllotment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := NewAllotments(nil, nil)
		later := time.Now().Add(time.Minute)
		a.Grant(nil, later)
		go func() {
			time.Sleep(20 * time.Millisecond)
			a.Grant([]control.TeamGrant{{Team: "t", Granted: 1}}, later)
		}()
		is.NoErr(a.TakeOrWait("t", 10, later))
		start := time.Now()
		is.Equal(a.TakeOrWait("t", 10, later), ErrLimited)
		is.Equal(time.Since(start), time.Duration(0))
	})
}
