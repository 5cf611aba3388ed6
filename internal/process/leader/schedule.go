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
	// roundLimit bounds the decisions of a round. A round of this size is
	// about 100 KB in the log, so that its sync stays short.
	roundLimit = 512
	// roundInterval is the longest time without a round. Policies with
	// deadlines depend on time as well as on events.
	roundInterval = 200 * time.Millisecond
	// roundPause follows a round that came to nothing, so that a scheduler
	// that repeats itself does not fill the log.
	roundPause = 50 * time.Millisecond
	// usageQueue bounds the usage reports that wait for the scheduler. Further
	// ones are dropped, as a later poll repeats them.
	usageQueue = 1024
)

type usageReport struct {
	worker string
	usage  []work.Usage
	at     time.Time
}

// schedule is the scheduling loop. A round is decided on applied state,
// proposed as one command and applied before the next one is decided.
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
		pause := roundInterval
		for ctx.Err() == nil {
			decisions := t.decide()
			if len(decisions) == 0 {
				break
			}
			if applied := t.round(ctx, decisions); applied == 0 {
				pause = roundPause
				t.idle(ctx, roundPause)
				break
			}
		}
		timer.Reset(pause)
	}
}

// idle waits for d or until ctx ends.
func (t *term) idle(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// decide hands usage reports to the scheduler and asks it for a round.
func (t *term) decide() []work.Decision {
	caps := make(map[string][]control.Throttle)
	decisions := t.consult(caps, t.now())
	// The lease locks may be waiting for the state, whose observer waits for
	// the scheduler, so that they are taken only after it is unlocked.
	for worker, c := range caps {
		t.leases.With(worker, func(leases map[string]*lease) {
			if l := leases[worker]; l != nil {
				l.throttles = c
			}
		})
	}
	return decisions
}

func (t *term) consult(caps map[string][]control.Throttle, now time.Time) []work.Decision {
	t.scheduling.Lock()
	defer t.scheduling.Unlock()
	for range usageQueue {
		select {
		case u := <-t.usage:
			t.scheduler.Report(u.worker, u.usage, u.at)
			caps[u.worker] = t.scheduler.Throttles(u.worker)
			continue
		default:
		}
		break
	}
	return t.scheduler.Decide(now, roundLimit)
}

// round commits a round and returns how many of its decisions were applied at
// least in part.
func (t *term) round(ctx context.Context, decisions []work.Decision) int {
	r, err := t.propose(ctx, state.Command{Round: &state.Round{Decisions: decisions}})
	if err != nil {
		if ctx.Err() == nil {
			t.emit(event.RoundFailed, zap.Error(err), zap.Int("decisions", len(decisions)))
			t.follow()
		}
		return 0
	}
	applied := len(decisions)
	for i := range decisions {
		n := 0
		for n < len(r.Rejects) && r.Rejects[n].Decision == i {
			n++
		}
		if !t.outcome(&decisions[i], r.Rejects[:n]) {
			applied--
		}
		r.Rejects = r.Rejects[n:]
	}
	return applied
}

// outcome logs what became of a decision, tells the scheduler of the parts that
// were rejected, and reports whether anything was applied.
func (t *term) outcome(d *work.Decision, rejects []state.Reject) bool {
	starts, stops, refusals := len(d.Starts), len(d.Stops), len(d.Refuse)
	for _, r := range rejects {
		part := rejected(d, r.Task)
		starts -= len(part.Starts)
		stops -= len(part.Stops)
		refusals -= len(part.Refuse)
		t.scheduling.Lock()
		t.scheduler.Rejected(part, r.Reason)
		t.scheduling.Unlock()
		t.emit(event.DecisionReject, zap.Uint64("job", uint64(r.Task.Job)), zap.Uint32("task", r.Task.Index),
			zap.String("reason", r.Reason), zap.String("decision", d.Reason))
	}
	if starts > 0 {
		s := &d.Starts[0]
		t.emit(event.DecisionStart, zap.Uint64("job", uint64(s.Task.Job)), zap.Uint32("task", s.Task.Index),
			zap.Int("tasks", starts), zap.String("worker", s.Worker), zap.String("reason", d.Reason), rule(d))
	}
	if stops > 0 {
		s := &d.Stops[0]
		t.emit(event.DecisionStop, zap.Uint64("job", uint64(s.Task.Job)), zap.Uint32("task", s.Task.Index),
			zap.Int("tasks", stops), zap.String("mode", string(s.Mode)), zap.String("reason", d.Reason), rule(d))
	}
	if refusals > 0 {
		t.emit(event.DecisionRefuse, zap.Uint64("job", uint64(d.Refuse[0].Job)), zap.String("reason", d.Refuse[0].Reason))
	}
	return starts+stops+refusals > 0
}

// rule returns the number of the placement rule behind a decision, for the log.
func rule(d *work.Decision) zap.Field {
	id, ok := event.Placement(d.Reason)
	if !ok {
		return zap.Skip()
	}
	return zap.Int("rule", int(id))
}

// rejected returns the part of a decision that was rejected with a task: all
// starts of an atomic decision, else what concerns the task.
func rejected(d *work.Decision, id work.TaskID) work.Decision {
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
