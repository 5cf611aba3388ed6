package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Guards against late work that is sent again and again to a process that does not reach the advice
// service, because that one looks idle while the others are busy (issue 46).
func TestFailedClientLooksBusy(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	broken, busy := &adviceClient{name: "a", lastPing: now, idleAt: now}, &adviceClient{name: "b", lastPing: now, idleAt: now.Add(300 * time.Millisecond)}
	tm := &term{adviceClients: map[string]*adviceClient{"a": broken, "b": busy}}
	query := fit.Query{Demand: &fit.Demand{Priority: 1}, Early: true}
	is.Equal(fit.PickClient(now, tm.liveAdviceClients(now), query, false), 0)
	for range 3 {
		broken.noteFailure(now)
	}
	now = now.Add(300 * time.Millisecond)
	is.Equal(fit.PickClient(now, tm.liveAdviceClients(now), query, false), 1)
	broken.noteFailure(now)
	is.True(!broken.idleAt.After(now.Add(maxClientRest)))
}

// Guards against a step whose workers are all denied for good, because a part of an answer of the
// advice service cannot be read (issue 46).
func TestUnreadAdviceDeniesNoWorker(t *testing.T) {
	is := is.New(t)
	tm := &term{allowedShares: map[string]float64{}}
	s := &stepState{advice: fit.Advice{Answers: map[string]fit.Answer{}, Asked: map[string]bool{}}}
	q, now := fit.Query{Demand: &fit.Demand{}, Workers: []string{"a", "b"}}, time.Unix(1000, 0)
	tm.recordAdvice(s, q, &job.Advised{Expiry: time.Second}, cell.Advice{Tickets: map[string]string{"a": "t"}, Unread: true}, now)
	is.Equal(len(s.advice.Answers), 1)
	is.True(s.advice.Answers["a"].Allowed)
	is.True(s.adviceRetryAt.After(now))
	tm.recordAdvice(s, q, &job.Advised{Expiry: time.Second}, cell.Advice{}, now)
	is.Equal(len(s.advice.Answers), 2)
}

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
		i := fit.PickClient(now, clients, fit.Query{Demand: &fit.Demand{Priority: priority}}, false)
		if i >= 0 {
			clients[i].IdleAt = clients[i].IdleAt.Add(time.Second)
		}
		return i
	}
	for range 20 {
		query(1)
	}
	_, urgent, _ := fit.IdleClients(now, clients, false)
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
			fit.PickClient(now, clients, q, false)
		}
	}
}
