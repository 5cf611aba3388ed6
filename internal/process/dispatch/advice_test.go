package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
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
	clients := tm.liveClients(now)
	is.Equal(len(clients), 6) // one has gone
	for range 20 {
		client := pickAdviceClient(clients, false)
		client.idleAt = client.idleAt.Add(time.Second)
	}
	is.Equal(tm.idleClients(now), urgentAdviceClients)
	is.Equal(pickAdviceClient(clients, true).name, "c0")
}

// BenchmarkPickAdviceClient measures the choice of processes for the queries of a
// round in a cell of 152 processes.
func BenchmarkPickAdviceClient(b *testing.B) {
	now := time.Unix(1000, 0)
	tm := &term{adviceClients: map[string]*adviceClient{}}
	for i := range 152 {
		n := fmt.Sprintf("10.0.%d.%d", i%5, i)
		tm.adviceClients[n] = &adviceClient{name: n, lastPing: now, idleAt: now}
	}
	for b.Loop() {
		clients := tm.liveClients(now)
		for range 300 {
			pickAdviceClient(clients, false)
		}
	}
}
