package leader

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/shard"
	"github.com/rosemaryloft/rosemaryloft/internal/version/raft"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// maintenanceInterval is how often leases, sessions and records are checked
	// for expiry.
	maintenanceInterval = 250 * time.Millisecond
	// maxConcurrentProposals bounds the commands that one batch of polls or one
	// check of the leases proposes concurrently.
	maxConcurrentProposals = 64
)

// term is the in-memory state of the leader during one term.
type term struct {
	leader    *Leader
	number    uint64
	startedAt time.Time // when this replica noticed that it leads; not before its election

	leases     *shard.Map[string, *lease]
	orderQueue orderQueue
	sessions   sessions

	schedulerMu  sync.Mutex
	scheduler    Scheduler
	unsubscribe  func()
	wake         chan struct{}
	usageReports chan usageReport
}

func newTerm(l *Leader, number uint64) *term {
	t := &term{
		leader: l, number: number, startedAt: l.options.Now(),
		leases:       shard.New[string, *lease](),
		wake:         make(chan struct{}, 1),
		usageReports: make(chan usageReport, usageQueueSize),
	}
	t.orderQueue.init()
	t.sessions.init(t)
	return t
}

func (t *term) now() time.Time { return t.leader.options.Now() }

func (t *term) state() *state.State { return t.leader.options.State }

func (t *term) emit(id event.ID, fields ...zap.Field) { t.leader.options.Events.Emit(id, fields...) }

// commitStart commits the start of the term. From then on, commands of earlier
// terms are refused.
func (t *term) commitStart(ctx context.Context) error {
	if _, err := t.propose(ctx, state.Command{Lead: &state.Lead{Holdings: true}}); err != nil {
		return err
	}
	t.orderQueue.termStart = work.Token(t.state().Index())
	if t.leader.enabled(guardWithholdUnreported) {
		t.sessions.withholdRecorded()
	}
	return nil
}

// propose commits a command that is based on the in-memory state of this term.
// It fails if a later term has started.
func (t *term) propose(ctx context.Context, c state.Command) (state.Result, error) {
	if t.leader.enabled(guardTermFence) {
		c.Term = t.number
	}
	r, err := t.commitCommand(ctx, c)
	if err == nil && r.Code == state.Superseded {
		return r, raft.ErrNotLeader
	}
	return r, err
}

// commitCommand stamps a command with the time and commits it.
func (t *term) commitCommand(ctx context.Context, c state.Command) (state.Result, error) {
	c.Time = t.now()
	b, err := state.Encode(c)
	if err != nil {
		return state.Result{}, err
	}
	v, err := t.leader.options.Log.Propose(ctx, b)
	if err != nil {
		return state.Result{}, err
	}
	return v.(state.Result), nil
}

// resetScheduler rebuilds the scheduler and the order queue from the state. This
// is repeated when the outcome of a round is unknown, because a scheduler assumes
// that its decisions take effect until it learns of their outcome.
func (t *term) resetScheduler() {
	if t.unsubscribe != nil {
		t.unsubscribe()
	}
	t.schedulerMu.Lock()
	t.scheduler = t.leader.options.Scheduler()
	t.schedulerMu.Unlock()
	t.unsubscribe = t.state().ReplayAndSubscribe(t.observe)
}

// observe processes a change of the state. It runs under the state's lock.
func (t *term) observe(e work.Event) {
	switch e := e.(type) {
	case work.WorkerEvent:
		t.orderQueue.addJoined(e.Worker)
	case work.StartEvent:
		t.orderQueue.markPending(e.Task.Worker)
	case work.StopEvent:
		t.orderQueue.markPending(e.Task.Worker)
	case work.EndEvent:
		if e.Worker == "" {
			break // requeues a task that had already ended
		}
		t.emit(event.TaskEnded, zap.Uint64("job", uint64(e.Job.ID)), zap.Uint32("task", e.Task.ID.Index),
			zap.String("worker", e.Worker), zap.String("outcome", string(e.Outcome)), zap.Bool("queued", e.Requeued))
	}
	t.schedulerMu.Lock()
	t.scheduler.Observe(e)
	t.schedulerMu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// runMaintenance periodically handles changes that are caused by time alone.
func (t *term) runMaintenance(ctx context.Context) error {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		t.expireLeases(ctx)
		t.maintainSessions(ctx)
		t.expireRecords(ctx)
	}
}

// expireRecords deletes records past their deadline.
func (t *term) expireRecords(ctx context.Context) {
	for t.state().HasExpired(t.now()) {
		r, err := t.propose(ctx, state.Command{Expire: &state.Expire{}})
		if err != nil || r.Count == 0 {
			return
		}
		t.emit(event.RecordsExpired, zap.Int("count", r.Count))
	}
}
