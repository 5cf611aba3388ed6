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
	// tendInterval is how often leases, sessions and records are looked through.
	tendInterval = 250 * time.Millisecond
	// proposals bounds the commands that one sweep has under way at a time.
	proposals = 64
)

// term is what the leader remembers while it leads.
type term struct {
	leader *Leader
	number uint64
	since  time.Time // when this replica found itself leading; not before its election

	leases   *shard.Map[string, *lease]
	orders   orders
	sessions sessions

	scheduling sync.Mutex
	scheduler  Scheduler
	unfollow   func()
	wake       chan struct{}
	usage      chan usageReport
}

func newTerm(l *Leader, number uint64) *term {
	t := &term{
		leader: l, number: number, since: l.options.Now(),
		leases: shard.New[string, *lease](),
		wake:   make(chan struct{}, 1),
		usage:  make(chan usageReport, usageQueue),
	}
	t.orders.init()
	t.sessions.init(t)
	return t
}

func (t *term) now() time.Time { return t.leader.options.Now() }

func (t *term) state() *state.State { return t.leader.options.State }

func (t *term) emit(id event.ID, fields ...zap.Field) { t.leader.options.Events.Emit(id, fields...) }

// begin commits that this term has begun, so that commands of former ones are
// refused from now on.
func (t *term) begin(ctx context.Context) error {
	if _, err := t.propose(ctx, state.Command{Lead: &state.Lead{}}); err != nil {
		return err
	}
	t.orders.first = work.Token(t.state().Index())
	return nil
}

// propose commits a command that depends on what this term remembers. It fails
// if a later term has begun.
func (t *term) propose(ctx context.Context, c state.Command) (state.Result, error) {
	if t.leader.on(guardFence) {
		c.Term = t.number
	}
	r, err := t.pass(ctx, c)
	if err == nil && r.Code == state.Superseded {
		return r, raft.ErrNotLeader
	}
	return r, err
}

// pass commits a command, stamped with the time.
func (t *term) pass(ctx context.Context, c state.Command) (state.Result, error) {
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

// follow builds the scheduler and the queue of orders from the state. It is
// repeated when the outcome of a round is not known, because a scheduler counts
// on its decisions until it learns of their outcome.
func (t *term) follow() {
	if t.unfollow != nil {
		t.unfollow()
	}
	t.scheduling.Lock()
	t.scheduler = t.leader.options.Scheduler()
	t.scheduling.Unlock()
	t.unfollow = t.state().Follow(t.observe)
}

// observe takes in a change of the state. It runs under the state's lock.
func (t *term) observe(e work.Event) {
	switch e := e.(type) {
	case work.WorkerEvent:
		t.orders.joined(e.Worker)
	case work.StartEvent:
		t.orders.due(e.Task.Worker)
	case work.StopEvent:
		t.orders.due(e.Task.Worker)
	case work.EndEvent:
		if e.Worker == "" {
			break // brings a task that was over back into the queue
		}
		t.emit(event.TaskEnded, zap.Uint64("job", uint64(e.Job.ID)), zap.Uint32("task", e.Task.ID.Index),
			zap.String("worker", e.Worker), zap.String("outcome", string(e.Outcome)), zap.Bool("queued", e.Requeued))
	}
	t.scheduling.Lock()
	t.scheduler.Observe(e)
	t.scheduling.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// tend looks after what changes with time alone.
func (t *term) tend(ctx context.Context) error {
	tick := time.NewTicker(tendInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		t.expireLeases(ctx)
		t.tendSessions(ctx)
		t.expireRecords(ctx)
	}
}

// expireRecords drops records past their deadline.
func (t *term) expireRecords(ctx context.Context) {
	for t.state().Due(t.now()) {
		r, err := t.propose(ctx, state.Command{Expire: &state.Expire{}})
		if err != nil || r.Count == 0 {
			return
		}
		t.emit(event.RecordsExpired, zap.Int("count", r.Count))
	}
}
