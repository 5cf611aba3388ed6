package leader

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// maxDecisionsPerRound keeps the log's sync short: a round of this size
	// takes about 100 KB in the log.
	maxDecisionsPerRound = 512
	// maxRoundInterval is the longest time between rounds. Policies with
	// deadlines depend on time as well as on events.
	maxRoundInterval = 200 * time.Millisecond
	// rejectedRoundDelay is the delay after a round of which nothing was
	// applied, so that a scheduler that repeats its decisions does not fill the
	// log.
	rejectedRoundDelay = 50 * time.Millisecond
	// usageQueueSize bounds the usage reports that wait for the scheduler.
	// Further ones are dropped, as a later poll repeats them.
	usageQueueSize = 1024
)

type usageReport struct {
	worker string
	usage  []work.Usage
	at     time.Time
}

// schedule runs the scheduling loop. A round is decided on applied state,
// proposed as one command, and applied before the next one is decided.
func (t *term) schedule(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-t.wake:
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		pause := maxRoundInterval
		for ctx.Err() == nil {
			decisions := t.decide()
			if len(decisions) == 0 {
				break
			}
			if applied := t.commitRound(ctx, decisions); applied == 0 {
				pause = rejectedRoundDelay
				t.sleep(ctx, rejectedRoundDelay)
				break
			}
		}
		timer.Reset(pause)
	}
}

// sleep waits for d or until ctx ends.
func (t *term) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// decide passes usage reports to the scheduler and returns the decisions of a
// round.
func (t *term) decide() []work.Decision {
	throttles := make(map[string][]control.Throttle)
	decisions := t.runScheduler(throttles, t.now())
	// The lease locks are taken only after the scheduler is unlocked: their
	// holder may wait for the state, whose observer waits for the scheduler.
	for worker, c := range throttles {
		t.leases.With(worker, func(leases map[string]*lease) {
			if l := leases[worker]; l != nil {
				l.throttles = c
			}
		})
	}
	return decisions
}

// runScheduler does the part of decide that needs the scheduler's lock. It adds
// the throttles of the reported workers to throttles.
func (t *term) runScheduler(throttles map[string][]control.Throttle, now time.Time) []work.Decision {
	t.schedulerMu.Lock()
	defer t.schedulerMu.Unlock()
	for range usageQueueSize {
		select {
		case u := <-t.usageReports:
			t.scheduler.Report(u.worker, u.usage, u.at)
			throttles[u.worker] = t.scheduler.Throttles(u.worker)
			continue
		default:
		}
		break
	}
	return t.scheduler.Decide(now, maxDecisionsPerRound)
}

// commitRound commits a round and returns how many of its decisions were applied
// at least in part.
func (t *term) commitRound(ctx context.Context, decisions []work.Decision) int {
	r, err := t.propose(ctx, state.Command{Round: &state.Round{Decisions: decisions}})
	if err != nil {
		if ctx.Err() == nil {
			t.emit(event.RoundFailed, zap.Error(err), zap.Int("decisions", len(decisions)))
			t.resetScheduler()
		}
		return 0
	}
	applied := len(decisions)
	for i := range decisions {
		n := 0
		for n < len(r.Rejects) && r.Rejects[n].Decision == i {
			n++
		}
		if !t.handleOutcome(&decisions[i], r.Rejects[:n]) {
			applied--
		}
		r.Rejects = r.Rejects[n:]
	}
	return applied
}

// handleOutcome logs the outcome of a decision, tells the scheduler which parts
// were rejected, and reports whether anything was applied.
func (t *term) handleOutcome(d *work.Decision, rejects []state.Reject) bool {
	starts, stops, refusals := len(d.Starts), len(d.Stops), len(d.Refuse)
	for _, r := range rejects {
		part := rejectedPart(d, r.Task)
		starts -= len(part.Starts)
		stops -= len(part.Stops)
		refusals -= len(part.Refuse)
		t.schedulerMu.Lock()
		t.scheduler.Reject(part, r.Reason)
		t.schedulerMu.Unlock()
		t.emit(event.DecisionReject, zap.Uint64("job", uint64(r.Task.Job)), zap.Uint32("task", r.Task.Index),
			zap.String("reason", r.Reason), zap.String("decision", d.Reason))
	}
	if starts > 0 {
		s := &d.Starts[0]
		t.emit(event.DecisionStart, zap.Uint64("job", uint64(s.Task.Job)), zap.Uint32("task", s.Task.Index),
			zap.Int("tasks", starts), zap.String("worker", s.Worker), zap.String("reason", d.Reason), ruleField(d))
	}
	if stops > 0 {
		s := &d.Stops[0]
		t.emit(event.DecisionStop, zap.Uint64("job", uint64(s.Task.Job)), zap.Uint32("task", s.Task.Index),
			zap.Int("tasks", stops), zap.String("mode", string(s.Mode)), zap.String("reason", d.Reason), ruleField(d))
	}
	if refusals > 0 {
		t.emit(event.DecisionRefuse, zap.Uint64("job", uint64(d.Refuse[0].Job)), zap.String("reason", d.Refuse[0].Reason))
	}
	return starts+stops+refusals > 0
}

// ruleField returns the log field for the placement rule behind a decision.
func ruleField(d *work.Decision) zap.Field {
	id, ok := event.Placement(d.Reason)
	if !ok {
		return zap.Skip()
	}
	return zap.Int("rule", int(id))
}

// rejectedPart returns the part of a decision that was rejected along with a
// task: all starts of an atomic decision, else what concerns the task.
func rejectedPart(d *work.Decision, id work.TaskID) work.Decision {
	part := work.Decision{Atomic: d.Atomic, Reason: d.Reason}
	for _, s := range d.Stops {
		if s.Task == id {
			part.Stops = append(part.Stops, s)
			return part
		}
	}
	for _, s := range d.Starts {
		if d.Atomic || s.Task == id {
			part.Starts = append(part.Starts, s)
		}
	}
	if len(part.Starts) > 0 {
		return part
	}
	for _, f := range d.Refuse {
		if f.Job == id.Job {
			part.Refuse = append(part.Refuse, f)
		}
	}
	return part
}
