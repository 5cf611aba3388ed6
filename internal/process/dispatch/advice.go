package dispatch

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// laneSeen is how long a process counts as able to ask after its last ping.
	laneSeen = 1200 * time.Millisecond
	// laneBacklog bounds the time that questions wait in one process; the advice
	// service handles one of a process at a time, and tickets expire.
	laneBacklog = 400 * time.Millisecond
	// urgentLanes is the number of processes that ask for urgent work only.
	urgentLanes = 2
	// adviceSlack is added to the expected time of an answer.
	adviceSlack = 1500 * time.Millisecond
	// adviceRetry is the pause after a question without an answer.
	adviceRetry = 100 * time.Millisecond
)

// ask sends a question through the process that is free first, unless all are
// busy. The caller holds the lock.
func (t *term) ask(a fit.Ask, now time.Time) {
	s := t.remember(a.Demand.Step)
	if s.advice.Asking {
		return
	}
	name, l := t.lane(now, a.Demand.Priority == 0)
	if l == nil || l.free.Sub(now) > laneBacklog || a.Ahead && l.free.After(now) {
		return
	}
	q := t.advised(a.Demand.Step)
	if q == nil {
		return
	}
	expected := q.Base + time.Duration(len(a.Workers))*q.Each
	l.free = later(l.free, now).Add(expected)
	deadline := l.free.Add(adviceSlack)
	s.advice.Asking = true
	t.orders.Go(func() { t.question(a, name, l, q, deadline) })
}

// lane returns the process that answers its questions first. Some are kept for
// urgent work, whose questions are short and would wait behind long ones.
func (t *term) lane(now time.Time, urgent bool) (string, *lane) {
	var names []string
	for n, l := range t.lanes {
		if now.Sub(l.seen) <= laneSeen {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	if !urgent && len(names) > 2*urgentLanes {
		names = names[urgentLanes:]
	}
	var name string
	var best *lane
	for _, n := range names {
		if l := t.lanes[n]; best == nil || l.free.Before(best.free) {
			name, best = n, l
		}
	}
	return name, best
}

// advised returns how the queue of a step is advised.
func (t *term) advised(id job.StepID) *job.Advised {
	var q *job.Advised
	t.state().View(func(v *job.View) {
		if r := v.Jobs[id.Job]; r != nil {
			q = r.Queue.Advised
		}
	})
	return q
}

func (t *term) question(a fit.Ask, name string, l *lane, q *job.Advised, deadline time.Time) {
	ctx, cancel := context.WithDeadline(t.ctx, deadline)
	defer cancel()
	var answer cell.Advice
	sent := t.now()
	err := t.dispatcher.options.Peer.Call(ctx, name, cell.MethodAdvise,
		cell.Question{Step: a.Demand.Step.String(), Workers: a.Workers}, &answer)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	s := t.steps[a.Demand.Step]
	if s == nil {
		return // the job is over
	}
	s.advice.Asking = false
	if err != nil {
		s.retry = now.Add(adviceRetry)
		l.free = later(l.free, now)
		t.emit(event.AdviceFailed, zap.Stringer("step", a.Demand.Step), zap.String("through", name), event.Cause(err))
		t.signal()
		return
	}
	if l.free.Before(now) {
		l.free = now
	}
	t.advise(s, a, q, answer, now)
	t.emit(event.AdviceAsked, zap.Stringer("step", a.Demand.Step), zap.String("through", name),
		zap.Int("workers", len(a.Workers)), zap.Int("good", len(answer.Tickets)), zap.Duration("took", now.Sub(sent)))
	t.signal()
}

// advise keeps an answer.
func (t *term) advise(s *step, a fit.Ask, q *job.Advised, answer cell.Advice, now time.Time) {
	valid := answer.Valid
	if valid == 0 {
		valid = q.Expiry
	}
	if s.advice.Answers == nil {
		s.advice.Answers = map[string]fit.Answer{}
	}
	for _, w := range a.Workers {
		ticket, good := answer.Tickets[w]
		s.advice.Answers[w] = fit.Answer{Good: good, Ticket: ticket, Expiry: now.Add(valid - ticketMargin)}
	}
}

func sortWorkers(workers []*fit.Worker) {
	slices.SortFunc(workers, func(a, b *fit.Worker) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}
