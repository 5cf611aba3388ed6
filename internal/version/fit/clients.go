package fit

import "time"

const (
	// urgentClientShare is the share of the clients of the advice service that send
	// queries for urgent work only, and minUrgentClients their least number.
	urgentClientShare = 0.25
	minUrgentClients  = 2
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
func PickClient(now time.Time, clients []Client, q Query) int {
	first, best := 0, -1
	if q.Demand.Priority != 0 {
		first = keptClients(len(clients))
	}
	for i := first; i < len(clients); i++ {
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

// IdleClients returns the number of clients that can send early queries now for all
// work, and of further ones that can for urgent work.
func IdleClients(now time.Time, clients []Client) (others, urgent int) {
	kept := keptClients(len(clients))
	for i, c := range clients {
		switch {
		case c.IdleAt.After(now):
		case i < kept:
			urgent++
		default:
			others++
		}
	}
	return others, urgent
}
