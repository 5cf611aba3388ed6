// Package dispatch is the work of a cell's leader for jobs with steps: it takes
// calls, decides with package fit, commits its decisions, and drives the
// workers with orders and leases.
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
// Everything that changes the state goes through one loop. It gathers what came
// since the previous round, decides, commits one command, and only then answers
// callers, sends orders and acknowledges ends. One round is under way at a time,
// so that each decision sees the outcome of all earlier ones.
//
// # Terms
//
// What the leader remembers lives as long as its term and is rebuilt from the
// replicated state and from the workers. The number of the term is the fencing
// token of its orders. Each order is preceded by a look at the replica's own
// lease, so that a leader that was paused sends nothing.
package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/version/raft"
)

// Timing is what the platform promises and demands about time.
type Timing struct {
	LongestLease time.Duration // a worker shortens longer ones to this
	StopTime     time.Duration // a stop takes at most this long
	GangTime     time.Duration // members of a gang wait this long for each other
	ReportEvery  time.Duration // between two reports of a worker
	Keep         time.Duration // states of jobs are kept this long
	LongestPoll  time.Duration // a listing waits at most this long for an end
}

// Options configures a Dispatcher.
type Options struct {
	Name     string // of this process
	State    *job.State
	Log      raft.Log
	Upstream Upstream
	Peer     peer.Caller
	Timing   Timing
	Members  func() []string  // control processes
	Now      func() time.Time // with a monotonic reading; defaults to time.Now
	Events   event.Log
}

// Dispatcher does the leader's work whenever its replica leads.
type Dispatcher struct {
	options Options
	current atomic.Pointer[term]
}

// New returns a Dispatcher.
func New(options Options) (*Dispatcher, error) {
	if options.State == nil || options.Log == nil || options.Upstream == nil || options.Peer == nil || options.Members == nil {
		return nil, errors.New("dispatch: state, log, upstream, peer and members are needed")
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	options.Upstream = timed{options.Upstream, options.Events}
	return &Dispatcher{options: options}, nil
}

// Run leads whenever the replica is elected, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := d.options.Log.Changed()
		name, number := d.options.Log.Leader()
		if name == d.options.Name && !d.options.Log.Lease().IsZero() {
			d.lead(ctx, number)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}

// lead does the work of one term and returns when it is over.
func (d *Dispatcher) lead(ctx context.Context, number uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := newTerm(d, number)
	if !t.begin(ctx) {
		pause(ctx, beginPause)
		return // Run tries again if the replica still leads
	}
	d.current.Store(t)
	group, ctx := errgroup.WithContext(ctx)
	t.ctx = ctx
	t.adopt()
	group.Go(func() error { t.rounds(ctx); return nil })
	group.Go(func() error { t.tend(ctx); return nil })
	d.hold(ctx, number)
	d.current.Store(nil)
	cancel()
	t.abandon()
	if err := group.Wait(); err != nil {
		t.emit(event.RoundDropped, event.Cause(err))
	}
	t.orders.Wait()
	t.emit(event.TermEnded, zap.Uint64("term", number))
}

// hold returns once the replica no longer leads in the given term or ctx ends.
func (d *Dispatcher) hold(ctx context.Context, number uint64) {
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

// notLeader is the error of a process that does not lead.
func (d *Dispatcher) notLeader() error {
	name, _ := d.options.Log.Leader()
	if name == d.options.Name {
		name = "" // elected, but not ready yet
	}
	return &peer.Remote{Code: cell.CodeNotLeader, Message: name}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
