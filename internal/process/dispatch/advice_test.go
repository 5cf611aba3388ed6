package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
)

// Guards against urgent queries that wait behind long ones in every process.
func TestSomeClientsAreKeptForUrgentQueries(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tm := &term{adviceClients: map[string]*adviceClient{}}
	for i := range 6 {
		n := fmt.Sprint("c", i)
		tm.adviceClients[n] = &adviceClient{name: n, lastPing: now, idleAt: now}
	}
	tm.adviceClients["c6"] = &adviceClient{name: "c6", lastPing: now.Add(-2 * adviceClientTimeout)}
	clients := tm.liveAdviceClients(now)
	is.Equal(len(clients), 6) // one has gone
	query := func(priority int) int {
		i := fit.PickClient(now, clients, fit.Query{Demand: &fit.Demand{Priority: priority}})
		if i >= 0 {
			clients[i].IdleAt = clients[i].IdleAt.Add(time.Second)
		}
		return i
	}
	for range 20 {
		query(1)
	}
	_, urgent := fit.IdleClients(now, clients)
	is.Equal(urgent, 2)
	is.Equal(clients[query(0)].Name, "c0")
}

// BenchmarkPickClient measures the choice of processes for the queries of a round in
// a cell of 152 processes.
func BenchmarkPickClient(b *testing.B) {
	now := time.Unix(1000, 0)
	tm := &term{adviceClients: map[string]*adviceClient{}}
	for i := range 152 {
		n := fmt.Sprintf("10.0.%d.%d", i%5, i)
		tm.adviceClients[n] = &adviceClient{name: n, lastPing: now, idleAt: now}
	}
	q := fit.Query{Demand: &fit.Demand{Priority: 1}}
	for b.Loop() {
		clients := tm.liveAdviceClients(now)
		for range 300 {
			fit.PickClient(now, clients, q)
		}
	}
}
