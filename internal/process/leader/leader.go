// Package leader implements the duties of the control group's leader: the
// scheduling loop, the leases of workers, and the sessions of entry VMs with
// their request allotments and the runners they own.
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
// All in-memory state belongs to a term. It lives as long as this replica leads
// and is never carried over to another term; it is rebuilt from the replicated
// state and from the reports of entry VMs. An answer that is not itself the
// result of a commit is checked against the replica's leader lease after it was
// computed, so that a leader that was paused sends nothing after another replica
// may have been elected.
//
// # Lock order
//
// The state observer runs under the state's lock. It takes only the locks of the
// scheduler and of the order queue, and neither of these may be held while the
// state is read. The shard locks of the leases and the lock of the sessions may.
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
	CodeUnknown = "unknown" // the command may or may not have been committed
	CodeDenied  = "denied"  // the caller's certificate names another process
	CodeStale   = "stale"   // the renewal is out of order, or another boot of the entry VM has a session
	CodeInvalid = "invalid" // the message cannot be decoded
)

// termRetryDelay is the delay before a failed start of a term is retried.
const termRetryDelay = 20 * time.Millisecond

// Scheduler decides where tasks run. Its methods are never called concurrently.
type Scheduler interface {
	// Observe processes a change of the replicated state.
	Observe(event work.Event)
	// Decide returns at most limit decisions. The scheduler assumes that they
	// take effect until it observes their outcome or Reject is called.
	Decide(now time.Time, limit int) []work.Decision
	// Reject reports that a decision, or a part of it, was not applied.
	Reject(decision work.Decision, reason string)
	// Report records the resource usage of a worker's tasks.
	Report(worker string, usage []work.Usage, now time.Time)
	// Throttles returns the caps to apply to running tasks of a worker.
	Throttles(worker string) []control.Throttle
	// Quarantined reports whether a worker is quarantined after failures.
	Quarantined(worker string) bool
	// Explain returns the reason why a job waits.
	Explain(job work.JobID, now time.Time) string
}

// Options configures a Leader.
type Options struct {
	Name      string // of this replica
	State     *state.State
	Log       raft.Log
	Scheduler func() Scheduler            // builds a scheduler without any state
	Now       func() time.Time            // defaults to time.Now
	Members   func() []control.MemberView // replicas of the control group; may be nil
	Events    event.Log
}

// Leader performs the leader's duties while its replica leads.
type Leader struct {
	options    Options
	activeTerm atomic.Pointer[term]
	disabled   guard // checks that a test has disabled
}

// guard is a set of safety checks. Tests disable single checks to prove that
// each of them is needed.
type guard uint32

const (
	guardLeaderLease        guard = 1 << iota // answers are sent only within the leader's own lease
	guardInheritedLeases                      // all worker leases count as just renewed when a term starts
	guardLeaseMargin                          // worker leases run longer by the leader's count than by the worker's
	guardPollOrder                            // polls older than the latest one are not answered
	guardClosingLease                         // a lease is not renewed while its end is being committed
	guardStaleTokens                          // runs whose tokens are not current are stopped
	guardCommittedEnds                        // ends of runs are acknowledged only once committed
	guardWithholdEnded                        // allotments of ended sessions are withheld for a while
	guardRecovery                             // a new leader collects reports before it assigns runners
	guardWithholdUnreported                   // allotments that missing entry VMs may hold are withheld
	guardRecordHoldings                       // allotments are granted once it is in the log that they may be held
	guardReleaseFirst                         // a runner is released by its owner before it gets another one
	guardRenewalOrder                         // renewals that arrive out of order are refused
	guardEntryBoot                            // the session of one boot ends before another boot gets one
	guardEarlyRoutes                          // an entry VM whose ownership of runners may be outdated gets the list at once
	guardNewestClaim                          // of two claims to a runner, the one based on the newer list wins
	guardWorkerBoot                           // another boot of a worker with a lease joins only if it is proven newer
	guardReports                              // a lease is not renewed by polls that lack a run after the deadline of its report
	guardTermFence                            // commands of earlier terms are refused
)

func (l *Leader) enabled(g guard) bool { return l.disabled&g == 0 }

// New checks the options and returns a Leader.
func New(options Options) (*Leader, error) {
	switch {
	case options.Name == "":
		return nil, errors.New("leader: Options.Name is empty")
	case options.State == nil || options.Log == nil || options.Scheduler == nil:
		return nil, errors.New("leader: Options.State, Options.Log and Options.Scheduler are required")
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Leader{options: options}, nil
}

// Register registers the handlers of the methods that the leader serves.
func (l *Leader) Register(mux peer.Mux) {
	mux.Handle(control.MethodRenew, handler(l.renew))
	mux.Handle(control.MethodPropose, handler(l.propose))
	mux.Handle(control.MethodQuery, handler(l.query))
}

// handler returns a peer.Handler that decodes the request and passes it to serve.
func handler[Q any](serve func(ctx context.Context, name string, request *Q) (any, error)) peer.Handler {
	return func(ctx context.Context, name string, decode peer.Decode) (any, error) {
		var request Q
		if err := decode(&request); err != nil {
			return nil, &peer.RemoteError{Code: CodeInvalid, Message: err.Error()}
		}
		return serve(ctx, name, &request)
	}
}

// Run performs the leader's duties in each term in which the replica leads,
// until ctx ends.
func (l *Leader) Run(ctx context.Context) error {
	for {
		changed := l.options.Log.Changed()
		name, number := l.options.Log.Leader()
		if name == l.options.Name && !l.options.Log.Lease().IsZero() {
			if err := l.runTerm(ctx, number); err != nil && ctx.Err() == nil {
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

// runTerm commits the start of a term and performs the leader's duties until
// the replica no longer leads in it or ctx ends.
func (l *Leader) runTerm(ctx context.Context, number uint64) error {
	group, ctx := errgroup.WithContext(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := newTerm(l, number)
	if err := t.commitStart(ctx); err != nil {
		t.sleep(ctx, termRetryDelay)
		return nil // Run retries if the replica still leads
	}
	t.resetScheduler()
	t.startLeases()
	defer func() { t.unsubscribe() }()
	l.activeTerm.Store(t)
	l.options.Events.Emit(event.LeaderElected, zap.Uint64("term", number))
	group.Go(func() error { return t.schedule(ctx) })
	group.Go(func() error { return t.runMaintenance(ctx) })
	l.waitUntilDeposed(ctx, number)
	l.activeTerm.Store(nil)
	cancel()
	err := group.Wait()
	l.options.Events.Emit(event.LeaderDeposed, zap.Uint64("term", number))
	return err
}

// waitUntilDeposed returns once the replica no longer leads in the given term or
// ctx ends.
func (l *Leader) waitUntilDeposed(ctx context.Context, number uint64) {
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

// notLeader returns the error of a replica that does not lead. Its message names
// the leader if it is known.
func (l *Leader) notLeader() error {
	name, _ := l.options.Log.Leader()
	if name == l.options.Name {
		name = "" // elected, but its term has not started
	}
	return &peer.RemoteError{Code: control.CodeNotLeader, Message: name}
}

// leading reports whether t is the current term and the replica's lease has not
// expired, so that no other replica can lead yet.
func (t *term) leading() bool {
	return !t.leader.enabled(guardLeaderLease) || t.leader.options.Log.Leads(t.number)
}

// answerIfLeading returns value if the replica still leads in the term, else an
// error.
func (t *term) answerIfLeading(method string, value any) (any, error) {
	if !t.leading() {
		t.emit(event.AnswerWithheld, zap.String("method", method))
		return nil, t.leader.notLeader()
	}
	return value, nil
}
