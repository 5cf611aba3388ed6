// Package dispatch does the work of a cell's leader for jobs with steps: it
// serves calls, places tasks with package fit, commits its decisions, and
// controls the workers with orders and leases.
//
// # Usage
//
//	d, err := dispatch.New(dispatch.Options{
//		Name: "10.0.0.1", State: state, Log: replica, Upstream: upstream, Peer: node, Timing: timing, Events: log,
//	})
//	d.Register(node)
//	group.Go(func() error { return d.Run(ctx) })
//
// # Rounds
//
// All changes of the state go through one loop. A round collects the input
// received since the previous round, decides, commits one command, and only then
// answers callers, sends orders and acknowledges the ends of runs. Only one round
// is in progress at a time, so that each decision sees the outcome of all earlier
// ones.
//
// # Terms
//
// The leader's in-memory state lasts for one term. It is rebuilt from the
// replicated state and from the workers. The number of the term is the fencing
// token of the leader's orders. Before each order the leader checks the lease of
// its replica, so that a leader that was paused or suspended sends nothing. Its other
// times are of Options.Now, which may stand still while the VM is suspended: they bound
// what workers may still do, which then only seems to last longer.
//
// # Copies of calls
//
// A call may arrive in several copies, some of them after its caller got an answer. Each
// copy is for one term and ends at a time of this leader's clock (late.go). All copies of a
// submission get answers that agree (submit.go).
//
// # Runs that may still execute
//
// An order without an answer may be carried out later, and a refused one proves
// nothing. A run counts as over only on proof; see docs/design.md, 8. A run that is
// given up before is an orphan (orphan.go), and what a worker's next incarnation might
// carry out is a doubt (doubt.go).
//
// # Waits
//
// Each task that is due and neither executes nor is done is in one wait (wait.go). Those
// that derive from bounds of the platform have a deadline, and one that is past it is logged
// as an error (classify.go).
package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/rosemaryloft/rosemaryloft/internal/boottime"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/version/raft"
)

// Timing holds the time limits and intervals that the platform sets.
type Timing struct {
	MaxLease       time.Duration // a worker shortens longer leases to this
	StopTime       time.Duration // a stop takes at most this long
	GangTime       time.Duration // members of a gang wait this long for each other
	ReportInterval time.Duration // interval between the reports of a worker
	JobRetention   time.Duration // finished jobs are kept this long
	MaxPoll        time.Duration // a listing waits at most this long for the end of a run
	Maintenance    time.Duration // a VM is down this long for its maintenance
	HolderLease    time.Duration // two processes must not order the maintenance of one VM within this
}

// Options configures a Dispatcher.
type Options struct {
	Name     string // of this process
	State    *job.State
	Log      raft.Log
	Upstream Upstream
	VMs      VMs // nil if the platform offers no maintenance
	Peer     peer.Caller
	Timing   Timing
	Members  func() []string  // names of the control processes
	Now      func() time.Time // with a monotonic clock reading; defaults to time.Now
	Clock    func() time.Time // counts suspensions of the VM; defaults to boottime.Now
	Events   event.Log
}

// Dispatcher schedules jobs while its replica is the leader.
type Dispatcher struct {
	options        Options
	current        atomic.Pointer[term]
	waiting        [numWaits]atomic.Int64 // see Waiting
	overdue        atomic.Int64           // see Overdue
	unacknowledged [numHolds]atomic.Int64 // see Unacknowledged
	use            atomic.Pointer[fit.UseSettings]
}

// New returns a Dispatcher. It fails if a required option is missing.
func New(options Options) (*Dispatcher, error) {
	if options.State == nil || options.Log == nil || options.Upstream == nil || options.Peer == nil || options.Members == nil {
		return nil, errors.New("dispatch: the options State, Log, Upstream, Peer and Members are required")
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Clock == nil {
		options.Clock = boottime.Now
	}
	options.Upstream = timedUpstream{options.Upstream, options.Events}
	return &Dispatcher{options: options}, nil
}

// Term returns the number of the term in which this process leads, or zero if it
// does not.
func (d *Dispatcher) Term() uint64 {
	if t := d.current.Load(); t != nil {
		return t.number
	}
	return 0
}

// Run serves the terms in which the replica is the leader, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := d.options.Log.Changed()
		name, number := d.options.Log.Leader()
		if name == d.options.Name && !d.options.Log.Lease().IsZero() {
			d.serveTerm(ctx, number)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}

// serveTerm does the work of one term and returns when it is over.
func (d *Dispatcher) serveTerm(ctx context.Context, number uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := newTerm(d, number)
	if !t.begin(ctx) {
		sleep(ctx, commitRetryDelay)
		return // Run retries if the replica still leads
	}
	group, ctx := errgroup.WithContext(ctx)
	t.ctx = ctx
	t.adopt()
	d.current.Store(t)
	group.Go(func() error { t.runRounds(ctx); return nil })
	group.Go(func() error { t.runChecks(ctx); return nil })
	group.Go(func() error { t.runWaves(ctx); return nil })
	d.waitForTermEnd(ctx, number)
	d.current.Store(nil)
	cancel()
	t.abandon()
	if err := group.Wait(); err != nil {
		t.emit(event.RoundDropped, event.Cause(err))
	}
	t.orders.Wait()
	t.emit(event.TermEnded, zap.Uint64("term", number))
}

// waitForTermEnd returns once the replica no longer leads in the given term or
// ctx ends.
func (d *Dispatcher) waitForTermEnd(ctx context.Context, number uint64) {
	for {
		changed := d.options.Log.Changed()
		if name, current := d.options.Log.Leader(); name != d.options.Name || current != number {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// notLeaderError returns the error of a process that does not lead. Its message
// is the name of the leader, if known.
func (d *Dispatcher) notLeaderError() error {
	name, _ := d.options.Log.Leader()
	if name == d.options.Name {
		name = "" // elected, but not ready to serve yet
	}
	return &peer.RemoteError{Code: cell.CodeNotLeader, Message: name}
}

// sleepUntil waits until a time or until ctx ends.
func sleepUntil(ctx context.Context, at time.Time) {
	if d := time.Until(at); d > 0 {
		sleep(ctx, d)
	}
}

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
