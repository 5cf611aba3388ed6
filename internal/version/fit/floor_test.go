package fit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against accepted work that never starts although a pool is half idle (rule LOST): work in
// time takes all clients of the advice service, and queries for expired work wait for an idle one.
func TestExpiredWorkGetsAClient(t *testing.T) {
	is := is.New(t)
	old := advised(demand("a", 2, 4, cores(4)), map[string]Answer{})
	old.Deadline, old.Expiry = now.Add(-time.Minute), now.Add(-time.Second)
	busy := Cluster{Workers: pool(10, cores(32))}
	p := Decide(now, []*Demand{old}, busy)
	is.True(p.Floor)
	is.Equal(len(p.Queries), 0)
	clients := make([]Client, 32)
	for i := range clients {
		clients[i].IdleAt = now.Add(time.Minute)
	}
	clients[31].IdleAt = now
	_, _, busy.Floor = IdleClients(now, clients, p.Floor)
	p = Decide(now, []*Demand{old}, busy)
	is.Equal(len(p.Queries), 1)
	is.Equal(PickClient(now, clients, p.Queries[0], true), 31)
	is.Equal(PickClient(now, clients, Query{Demand: demand("b", 2, 1, cores(4))}, true), -1) // kept
	is.Equal(PickClient(now, clients, Query{Demand: demand("b", 2, 1, cores(4))}, false), 31)
}

// Guards against free capacity that is not seen because a worker with more of it may not be used, and
// against clients that the work of a busy pool takes from that of an idle one.
func TestFloorIsForIdlePools(t *testing.T) {
	is := is.New(t)
	old := advised(demand("a", 2, 4, cores(4)), map[string]Answer{})
	old.Deadline, old.Expiry = now.Add(-time.Minute), now.Add(-time.Second)
	workers := pool(3, cores(32))
	old.Avoid = map[string]bool{workers[0].ID: true}
	workers[2].Free = cores(8)
	is.True(Decide(now, []*Demand{old}, Cluster{Workers: workers}).Floor) // 24 of 96 cores in use
	workers[1].Free = cores(4)
	p := Decide(now, []*Demand{old}, Cluster{Workers: workers, Floor: 1})
	is.True(!p.Floor) // 52 of 96
	is.Equal(len(p.Queries), 0)
}
