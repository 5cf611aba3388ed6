package dispatch

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// adviceClientTimeout is how long after its last ping a process counts as
	// able to query the advice service.
	adviceClientTimeout = 1200 * time.Millisecond
	// adviceTimeoutMargin is added to the expected response time.
	adviceTimeoutMargin = 1500 * time.Millisecond
	// allowedLearnRate is the weight of each answer in the moving average of the share
	// of workers that a queue's steps may use; minAllowedShare is its lower limit.
	allowedLearnRate = 0.05
	minAllowedShare  = 0.05
	// adviceRetryDelay is the delay after a query that failed, or whose answer could not be read
	// in full.
	adviceRetryDelay = 100 * time.Millisecond
	// minClientRest is how long a process whose query failed gets no further one. The time
	// doubles with each failure up to maxClientRest.
	minClientRest = 250 * time.Millisecond
	maxClientRest = 2 * time.Second
	// maxClientFailures bounds the count of failures.
	maxClientFailures = 10
)

// queryAdvice sends a query, if one of the clients can send it soon, and updates the
// list of clients. The caller holds the lock.
func (t *term) queryAdvice(a fit.Query, clients []fit.Client, now time.Time) {
	i := fit.PickClient(now, clients, a, t.floor)
	if i < 0 {
		return
	}
	client := t.adviceClients[clients[i].Name]
	q := t.adviceSettings(a.Demand.Step)
	if q == nil {
		return
	}
	s := t.step(a.Demand.Step)
	expected := q.Base + time.Duration(len(a.Workers))*q.Each
	client.idleAt = later(client.idleAt, now).Add(expected)
	clients[i].IdleAt = client.idleAt
	deadline := client.idleAt.Add(adviceTimeoutMargin)
	s.advice.Queries++
	for _, w := range a.Workers {
		s.advice.Asked[w] = true
	}
	t.orders.Go(func() { t.sendQuery(s, a, client, q, deadline) })
}

// liveAdviceClients returns the processes that can send queries, ordered by name.
func (t *term) liveAdviceClients(now time.Time) []fit.Client {
	var clients []fit.Client
	for n, c := range t.adviceClients {
		if now.Sub(c.lastPing) <= adviceClientTimeout {
			clients = append(clients, fit.Client{Name: n, IdleAt: c.idleAt})
		}
	}
	slices.SortFunc(clients, func(a, b fit.Client) int { return strings.Compare(a.Name, b.Name) })
	return clients
}

// adviceSettings returns the advice settings of a step's queue, or nil if the
// queue is not advised or the job is gone.
func (t *term) adviceSettings(id job.StepID) *job.Advised {
	var q *job.Advised
	t.state().View(func(v *job.View) {
		if r := v.Jobs[id.Job]; r != nil {
			q = r.Queue.Advised
		}
	})
	return q
}

// sendQuery sends a query through a process and records the answer.
func (t *term) sendQuery(s *stepState, a fit.Query, client *adviceClient, q *job.Advised, deadline time.Time) {
	ctx, cancel := context.WithDeadline(t.ctx, deadline)
	defer cancel()
	var answer cell.Advice
	sent := t.now()
	err := t.dispatcher.options.Peer.Call(ctx, client.name, cell.MethodAdvise,
		cell.AdviceQuery{Step: a.Demand.Step.String(), Workers: a.Workers}, &answer)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if t.steps[a.Demand.Step] != s {
		return // the job is over
	}
	s.advice.Queries--
	for _, w := range a.Workers {
		delete(s.advice.Asked, w)
	}
	if err != nil {
		s.adviceRetryAt = now.Add(adviceRetryDelay)
		client.noteFailure(now)
		t.emit(event.AdviceFailed, zap.Stringer("step", a.Demand.Step), zap.String("through", client.name), event.Cause(err))
		t.signal()
		return
	}
	client.failures = 0
	if client.idleAt.Before(now) {
		client.idleAt = now
	}
	t.recordAdvice(s, a, q, answer, now)
	t.emit(event.AdviceAsked, zap.Stringer("step", a.Demand.Step), zap.String("through", client.name),
		zap.Int("workers", len(a.Workers)), zap.Int("good", len(answer.Tickets)), zap.Duration("took", now.Sub(sent)))
	t.signal()
}

// noteFailure has other processes queried for a while. One that does not reach the service would
// otherwise look idle, and get the queries of late work again and again.
func (c *adviceClient) noteFailure(now time.Time) {
	c.idleAt = later(c.idleAt, now.Add(min(minClientRest<<c.failures, maxClientRest)))
	c.failures = min(c.failures+1, maxClientFailures)
}

// recordAdvice stores the answer to a query. Workers that it gives no ticket
// are not allowed.
func (t *term) recordAdvice(s *stepState, a fit.Query, q *job.Advised, answer cell.Advice, now time.Time) {
	valid := answer.Valid
	if valid == 0 {
		valid = q.Expiry
	}
	share := t.allowedShares[a.Demand.Queue]
	if share == 0 {
		share = float64(len(answer.Tickets)) / float64(len(a.Workers))
	}
	share += allowedLearnRate * (float64(len(answer.Tickets))/float64(len(a.Workers)) - share)
	t.allowedShares[a.Demand.Queue] = max(share, minAllowedShare)
	if answer.Unread {
		s.adviceRetryAt = now.Add(adviceRetryDelay)
	}
	for _, w := range a.Workers {
		ticket, allowed := answer.Tickets[w]
		if answer.Unread && !allowed {
			continue
		}
		s.advice.Record(w, fit.Answer{Allowed: allowed, Ticket: ticket, Expiry: now.Add(valid - ticketMargin)})
	}
}
