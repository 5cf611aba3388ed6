package fit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against queries of urgent work that wait behind long ones about wide tasks,
// and against queries of late work that take the place of others.
func TestClientsAreKeptForUrgentWork(t *testing.T) {
	is := is.New(t)
	var clients []Client
	for range 16 {
		clients = append(clients, Client{IdleAt: now.Add(time.Minute)})
	}
	for i := range 4 {
		clients[i].IdleAt = now.Add(100 * time.Millisecond)
	}
	clients[2].IdleAt = now.Add(50 * time.Millisecond)
	urgent, batch := Query{Demand: demand("a", 0, 1, cores(1))}, Query{Demand: demand("b", 2, 1, cores(1))}
	is.Equal(PickClient(now, clients, urgent, false), 2)
	is.Equal(PickClient(now, clients, batch, false), -1) // the others have too long a backlog
	clients[9].IdleAt = now.Add(300 * time.Millisecond)
	is.Equal(PickClient(now, clients, batch, false), 9)
	urgent.Early, batch.Early = true, true
	is.Equal(PickClient(now, clients, urgent, false), -1)
	clients[3].IdleAt, clients[9].IdleAt = now, now.Add(-time.Second)
	is.Equal(PickClient(now, clients, urgent, false), 9)
	is.Equal(PickClient(now, clients, batch, false), 9)
	is.Equal(PickClient(now, nil, urgent, false), -1)
}
