package fit

import "time"

const (
	// urgentClientShare is the share of the clients of the advice service that send
	// queries for urgent work only, and minUrgentClients their least number.
	urgentClientShare = 0.25
	minUrgentClients  = 2
	// floorClientShare is the share of the clients that send queries only for work that is not in
	// time, while such work waits for tickets beside free capacity, and minFloorClients their least
	// number. With 32 clients and queries of 0.3 s, an eighth of them starts the 35 steps that such
	// a flood leaves within 3 s, the time after which they would be LOST.
	floorClientShare = 0.125
	minFloorClients  = 1
	// maxBacklog bounds the time that queries wait at one client. The advice service
	// handles one query of a client at a time, and tickets expire.
	maxBacklog = 400 * time.Millisecond
)

// Client is a process that queries the advice service.
type Client struct {
	Name   string
	IdleAt time.Time // when its queries so far are expected to be answered
}

// PickClient returns the position of the client through which a query is sent, or -1
// if it must wait. The clients are ordered by name.
//
// It answers a burst of all kinds of work, in which there are more queries than the
// clients can send: some clients are kept for urgent work, whose queries are short
// and would otherwise wait behind the long ones about wide tasks, and early queries
// take only idle clients.
//
// While floor is set, the last clients send queries only for work that is not in time, so that the backlog of
// a flood ends although other work waits for advice as well.
func PickClient(now time.Time, clients []Client, q Query, floor bool) int {
	first, best := 0, -1
	if q.Demand.Priority != 0 {
		first = keptClients(len(clients))
	}
	last := len(clients)
	if floor && !q.Floor {
		last -= floorClients(len(clients))
	}
	for i := first; i < last; i++ {
		if best < 0 || clients[i].IdleAt.Before(clients[best].IdleAt) {
			best = i
		}
	}
	if best < 0 || clients[best].IdleAt.Sub(now) > maxBacklog || q.Early && clients[best].IdleAt.After(now) {
		return -1
	}
	return best
}

// keptClients returns how many of the clients, the first ones, send queries for urgent
// work only.
func keptClients(clients int) int {
	if kept := max(minUrgentClients, int(urgentClientShare*float64(clients))); clients > 2*kept {
		return kept
	}
	return 0
}

// floorClients returns how many of the clients, the last ones, send queries only for work
// that is not in time while such work waits for tickets.
func floorClients(clients int) int {
	if n := max(minFloorClients, int(floorClientShare*float64(clients))); clients > 2*minUrgentClients+n {
		return n
	}
	return 0
}

// IdleClients counts the clients that can send early queries now. Floor reports whether some are kept
// for work that is not in time.
func IdleClients(now time.Time, clients []Client, floor bool) (others, urgent, expired int) {
	kept, last := keptClients(len(clients)), len(clients)
	if floor {
		last -= floorClients(len(clients))
	}
	for i, c := range clients {
		switch {
		case c.IdleAt.After(now):
		case i < kept:
			urgent++
		case i >= last:
			expired++
		default:
			others++
		}
	}
	return others, urgent, expired
}
