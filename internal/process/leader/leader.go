// Package leader runs everything that only the leader of the control group
// does: the scheduling loop, the leases of workers, and the sessions of entry
// VMs with their allotments and the runners they own.
//
// # Usage
//
//	l, err := leader.New(leader.Options{
//		Name: "control-1", State: machine, Log: replica, Now: time.Now, Events: log,
//		Scheduler: func() leader.Scheduler { return placement.New(placement.Options{}) },
//	})
//	l.Register(peer)
//	group.Go(func() error { return l.Run(ctx) })
//
// What the package remembers is in a term, which lives as long as this replica
// leads and is never carried over. It is rebuilt from the replicated state and
// from the reports of entry VMs. Every answer is checked against the replica's
// own lease after the work for it is done, so that a leader that was paused
// cannot hand out anything after another one may have been elected.
//
// # Locks
//
// The observer of the state runs under the state's lock. It takes the lock of
// the scheduler and of the queue of orders only, and neither is held while the
// state is read. The shards of leases and the sessions may read the state.
package leader

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/raft"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Codes of the errors that the methods return, besides control.CodeNotLeader.
const (
	CodeUnknown = "unknown" // the command may or may not be committed
	CodeDenied  = "denied"  // the caller's certificate names another process
	CodeStale   = "stale"   // the renewal is late, or another boot of the entry VM has a session
	CodeInvalid = "invalid" // the message cannot be decoded
)

// beginPause is the pause after a term could not begin.
const beginPause = 20 * time.Millisecond

// Scheduler decides where tasks run. Its methods are called one at a time.
type Scheduler interface {
	// Observe takes in a change of the replicated state.
	Observe(event work.Event)
	// Decide returns at most limit decisions. It counts on them until it
	// observes their outcome or Rejected is called.
	Decide(now time.Time, limit int) []work.Decision
	// Rejected tells that a decision, or a part of it, was not applied.
	Rejected(decision work.Decision, reason string)
	// Report takes in what the tasks of a worker use.
	Report(worker string, usage []work.Usage, now time.Time)
	// Throttles returns the caps to apply to running tasks of a worker.
	Throttles(worker string) []control.Throttle
	// Aside reports whether a worker is set aside after failures.
	Aside(worker string) bool
	// Explain tells why a job waits.
	Explain(job work.JobID, now time.Time) string
}

// Options configures a Leader.
type Options struct {
	Name      string // of this replica
	State     *state.State
	Log       raft.Log
	Scheduler func() Scheduler            // builds a scheduler that knows nothing yet
	Now       func() time.Time            // defaults to time.Now
	Members   func() []control.MemberView // replicas of the control group; may be nil
	Events    event.Log
}

// Leader does the work of the leader whenever its replica leads.
type Leader struct {
	options Options
	current atomic.Pointer[term]
	off     guard // checks that a test has switched off
}

// guard is a set of checks. Tests switch single checks off to show that they
// are needed.
type guard uint32

const (
	guardLease    guard = 1 << iota // answers only within the leader's own lease
	guardTerm                       // leases count as running when a term begins
	guardMargin                     // margin of worker leases over the worker's own count
	guardSequence                   // polls in the order of their sequences
	guardClosing                    // no renewal of a lease whose end is being committed
	guardStale                      // tasks under tokens that are not current are stopped
	guardCommit                     // ends are acknowledged only once committed
	guardHold                       // allotments of ended sessions are kept back
	guardSettle                     // a new leader waits for reports before it grants
	guardUnheard                    // allotments of entry VMs not heard of are kept back
	guardRelease                    // a runner is released before it gets another owner
	guardOrder                      // renewals in the order of their sequences
	guardBoot                       // the session of one boot ends before another one begins
	guardListed                     // an entry VM that may own a runner wrongly gets the list at once
	guardClaim                      // of two claims to a runner the one on the later list counts
	guardRival                      // a boot joins beside another one's lease only if it is newer
	guardFence                      // commands of a former term are refused
)

func (l *Leader) on(g guard) bool { return l.off&g == 0 }

// New returns a Leader.
func New(options Options) (*Leader, error) {
	switch {
	case options.Name == "":
		return nil, errors.New("leader: the replica has no name")
	case options.State == nil || options.Log == nil || options.Scheduler == nil:
		return nil, errors.New("leader: state, log and scheduler are needed")
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Leader{options: options}, nil
}

// Register registers the methods that the leader serves.
func (l *Leader) Register(mux peer.Mux) {
	mux.Handle(control.MethodRenew, handler(l.renew))
	mux.Handle(control.MethodPropose, handler(l.propose))
	mux.Handle(control.MethodQuery, handler(l.query))
}

// handler decodes the request of a method.
func handler[Q any](serve func(ctx context.Context, name string, request *Q) (any, error)) peer.Handler {
	return func(ctx context.Context, name string, decode peer.Decode) (any, error) {
		var request Q
		if err := decode(&request); err != nil {
			return nil, &peer.Remote{Code: CodeInvalid, Message: err.Error()}
		}
		return serve(ctx, name, &request)
	}
}

// Run leads whenever the replica is elected, until ctx ends.
func (l *Leader) Run(ctx context.Context) error {
	for {
		changed := l.options.Log.Changed()
		name, number := l.options.Log.Leader()
		if name == l.options.Name && !l.options.Log.Lease().IsZero() {
			if err := l.lead(ctx, number); err != nil && ctx.Err() == nil {
				return err
			}
			if ctx.Err() != nil {
				return nil
			}
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// lead does the work of one term.
func (l *Leader) lead(ctx context.Context, number uint64) error {
	group, ctx := errgroup.WithContext(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := newTerm(l, number)
	if err := t.begin(ctx); err != nil {
		t.idle(ctx, beginPause)
		return nil // Run tries again if the replica still leads
	}
	t.follow()
	t.adopt()
	defer func() { t.unfollow() }()
	l.current.Store(t)
	l.options.Events.Emit(event.LeaderElected, zap.Uint64("term", number))
	group.Go(func() error { return t.schedule(ctx) })
	group.Go(func() error { return t.tend(ctx) })
	l.hold(ctx, number)
	l.current.Store(nil)
	cancel()
	err := group.Wait()
	l.options.Events.Emit(event.LeaderDeposed, zap.Uint64("term", number))
	return err
}

// hold returns once the replica no longer leads in the given term or ctx ends.
func (l *Leader) hold(ctx context.Context, number uint64) {
	for {
		changed := l.options.Log.Changed()
		name, current := l.options.Log.Leader()
		if name != l.options.Name || current != number {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// notLeader is the error of a replica that does not lead. Its message names
// the leader if that is known.
func (l *Leader) notLeader() error {
	name, _ := l.options.Log.Leader()
	if name == l.options.Name {
		name = "" // elected, but not ready yet
	}
	return &peer.Remote{Code: control.CodeNotLeader, Message: name}
}

// within reports whether no other replica can lead yet and t is still the
// current term. The lease is read first: terms only grow, so that a term that
// is still current afterwards is the one the lease belongs to.
func (t *term) within() bool {
	if !t.leader.on(guardLease) {
		return true
	}
	lease := t.leader.options.Log.Lease()
	name, number := t.leader.options.Log.Leader()
	return name == t.leader.options.Name && number == t.number && t.now().Before(lease)
}

// answer returns a value if the term still holds, else an error.
func (t *term) answer(method string, value any) (any, error) {
	if !t.within() {
		t.emit(event.LeaderLate, zap.String("method", method))
		return nil, t.leader.notLeader()
	}
	return value, nil
}
