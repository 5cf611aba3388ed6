package upstream

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
)

func routeOf(name, owner, zone string, slots int64) control.Route {
	return control.Route{
		Runner: control.RunnerID{Entry: "e", Name: name}, Owner: owner, Address: address, Zone: zone,
		Slots: slots, Connections: 64,
	}
}

// sendBurst sends 40 concurrent requests to a runner and returns how many were
// answered and how many refused because no slot was free.
func sendBurst(t *testing.T, p *Pool, peak *int, mu *sync.Mutex) (answered, refused int) {
	var group sync.WaitGroup
	for i := range 40 {
		group.Go(func() {
			_, err := send(p, fmt.Sprint(i), time.Minute)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				answered++
			case errors.Is(err, ErrFull):
				refused++
			}
		})
	}
	group.Wait()
	return answered, refused
}

// Guards against more concurrent requests at a runner than its slots or
// connections, including requests of former owners. With the slot check disabled
// the same load exceeds the slots that former owners leave.
func TestSlotLimit(t *testing.T) {
	for _, c := range []struct{ slots, connections, busy, want int64 }{{8, 64, 0, 8}, {8, 3, 0, 3}, {8, 64, 5, 3}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			flight, peak := 0, 0
			dial, dials := serve(t, func(conn net.Conn, id string) bool {
				mu.Lock()
				flight++
				peak = max(peak, flight)
				mu.Unlock()
				time.Sleep(time.Second)
				mu.Lock()
				flight--
				mu.Unlock()
				return writeAnswer(conn, id, "x")
			})
			p := newOwningPool(dial, c.slots, c.connections, c.busy)
			answered, refused := sendBurst(t, p, &peak, &mu)
			is.Equal(int64(peak), c.want)
			is.Equal(int64(answered), c.want)
			is.Equal(refused, 40-answered) // immediately
			is.True(dials.Load() <= c.connections)
			is.Equal(p.Free("e"), c.want) // every slot was returned
			p.hooks.ignoreSlots = true
			sendBurst(t, p, &peak, &mu)
			if c.busy > 0 { // in the other cases the connection limit still holds
				is.True(int64(peak) > c.want)
			}
			p.Routes(nil, true)
			time.Sleep(time.Minute)
		})
	}
}

// Guards against a slot count that omits the requests of former owners, or never
// stops counting them.
func TestFormerOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newOwningPool(nil, 8, 64, 6)
		is.Equal(p.Free("e"), int64(2))
		p.Announced(control.RunnerReport{Runner: control.RunnerID{Entry: "e", Name: "r"}, Address: address, Busy: 4})
		is.Equal(p.Free("e"), int64(4))
		p.Announced(control.RunnerReport{Runner: control.RunnerID{Entry: "e", Name: "r"}, Address: address, Busy: 7})
		is.Equal(p.Free("e"), int64(4)) // the rest are requests of this entry VM
		r := routeOf("r", "a", "z", 8)
		r.Busy = 1
		p.Routes([]control.Route{r}, false)
		is.Equal(p.Free("e"), int64(7))
		time.Sleep(RequestTimeout)
		is.Equal(p.Free("e"), int64(8)) // all of them have ended by now
	})
}

// Guards against double use of slots if a runner is assigned to another owner and
// back while a request of this entry VM is in flight.
func TestOwnerChange(t *testing.T) {
	is := is.New(t)
	p := newOwningPool(nil, 8, 64, 0)
	slot, err := p.Acquire("e")
	is.NoErr(err)
	is.True(slot.Valid())
	p.Routes([]control.Route{routeOf("r", "b", "z", 8)}, false)
	is.True(!slot.Valid()) // a caller that waited must not send
	_, err = p.Acquire("e")
	is.Equal(err, ErrNone)
	is.Equal(p.Owners("e", nil), []Owner{{Name: "b", SameZone: true, Slots: 8}})
	back := routeOf("r", "a", "z", 8)
	back.Busy = 3 // one of this entry VM and two of b
	p.Routes([]control.Route{back}, false)
	is.Equal(p.Free("e"), int64(5))
	slot.Release()
	slot.Release() // has no further effect
	is.Equal(p.Free("e"), int64(6))
}

// Guards against new requests to a runner that leaves, that the leader reports as
// gone, or that is missing from a complete list.
func TestGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gone := routeOf("r", "a", "z", 8)
		gone.Gone = true
		for _, leave := range []func(p *Pool){
			func(p *Pool) { p.Left(control.RunnerID{Entry: "e", Name: "r"}) },
			func(p *Pool) { p.Routes([]control.Route{gone}, false) },
			func(p *Pool) { p.Routes([]control.Route{routeOf("other", "b", "z", 8)}, true) },
		} {
			p := newOwningPool(nil, 8, 64, 0)
			slot, err := p.Acquire("e")
			is.NoErr(err)
			leave(p)
			is.True(!slot.Valid())
			_, err = p.Acquire("e")
			is.True(err != nil)
			slot.Release()
		}
		p := newOwningPool(nil, 8, 64, 0)
		p.Left(control.RunnerID{Entry: "e", Name: "r"})
		time.Sleep(leaveTime) // the leader still lists it, so the leave was of an earlier start
		is.Equal(p.Free("e"), int64(8))
		p.Routes([]control.Route{gone}, false)
		is.True(!p.Known("e"))
	})
}

// Guards against a slot that is reused while its abandoned request still runs, or
// that stays in use after the late response has arrived.
func TestLostSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		wait := 5 * time.Second
		dial, dials := serve(t, func(c net.Conn, id string) bool {
			time.Sleep(wait)
			return writeAnswer(c, id, "late")
		})
		p := newOwningPool(dial, 1, 64, 0)
		late := make(chan string, 1)
		slot, err := p.Acquire("e")
		is.NoErr(err)
		_, err = slot.Send(&Request{ID: "id", Method: "GET", Path: "/", Deadline: time.Now().Add(time.Second),
			OnLateResponse: func(a *Answer, err error) { late <- string(a.Body) }})
		is.True(errors.Is(err, ErrTimeout))
		slot.Release() // has no effect while the exchange continues
		time.Sleep(3 * time.Second)
		is.Equal(p.Free("e"), int64(0))
		time.Sleep(2 * time.Second)
		is.Equal(p.Free("e"), int64(1)) // the response has arrived
		is.Equal(<-late, "late")

		wait = time.Hour
		_, err = send(p, "id", time.Second)
		is.True(errors.Is(err, ErrTimeout))
		is.Equal(dials.Load(), int64(1)) // the connection was reused
		time.Sleep(RequestTimeout)
		is.Equal(p.Free("e"), int64(0)) // the request may still be running
		report := control.RunnerReport{Runner: control.RunnerID{Entry: "e", Name: "r"}, Address: address, Busy: 1}
		p.Announced(report)
		is.Equal(p.Free("e"), int64(0))
		report.Busy = 0
		p.Announced(report)
		is.Equal(p.Free("e"), int64(1))
		_, err = send(p, "id", time.Second)
		is.True(errors.Is(err, ErrTimeout))
		time.Sleep(2 * RequestTimeout)
		is.Equal(p.Free("e"), int64(1)) // without a report of the runner
		p.Routes(nil, true)
		time.Sleep(2 * time.Hour)
	})
}

// Guards against requests to another availability zone while the own one has free
// slots, and against an uneven distribution over the runners.
func TestChoice(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	p := New(Options{Name: "a", Zone: "near", Rand: random.IntN})
	var routes []control.Route
	for i := range 10 {
		routes = append(routes, routeOf(fmt.Sprint("near", i), "a", "near", 8), routeOf(fmt.Sprint("far", i), "a", "far", 8))
	}
	p.Routes(routes, true)
	used := map[string]int{}
	for range 40 {
		slot, err := p.Acquire("e")
		is.NoErr(err)
		used[slot.Runner()]++
	}
	for i := range 10 {
		is.Equal(used[fmt.Sprint("far", i)], 0)
		is.True(used[fmt.Sprint("near", i)] >= 1) // the average is 4
		is.True(used[fmt.Sprint("near", i)] <= 6)
	}
	for range 120 {
		_, err := p.Acquire("e")
		is.NoErr(err)
	}
	_, err := p.Acquire("e")
	is.Equal(err, ErrFull)
}

func BenchmarkAcquire(b *testing.B) {
	p := New(Options{Name: "a", Zone: "z"})
	var routes []control.Route
	for i := range 48 {
		owner, zone := "a", "z"
		if i%2 == 0 {
			zone = "y"
		}
		if i >= 10 {
			owner = fmt.Sprint("vm", i%7)
		}
		routes = append(routes, routeOf(fmt.Sprint("r", i), owner, zone, 8))
	}
	p.Routes(routes, true)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if slot, err := p.Acquire("e"); err == nil {
				slot.Release()
			}
		}
	})
}

// Guards against a shutdown that proceeds before each runner has another owner.
func TestHandedOver(t *testing.T) {
	is := is.New(t)
	p := New(Options{Name: "vm-1"})
	is.True(p.HandedOver()) // there are no runners
	route := control.Route{Runner: control.RunnerID{Entry: "e", Name: "r"}, Owner: "vm-1", Slots: 1, Connections: 1}
	for owner, over := range map[string]bool{"vm-1": false, "": false, "vm-2": true} {
		route.Owner = owner
		p.Routes([]control.Route{route}, true)
		is.Equal(p.HandedOver(), over)
	}
	route.Owner, route.Gone = "vm-1", true
	p.Routes([]control.Route{route}, true)
	is.True(p.HandedOver())
}
