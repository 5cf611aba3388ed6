package raft

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

const (
	// inboxSize is the number of messages that wait for the replica before more
	// are dropped.
	inboxSize = 4096
	// proposalsSize is the number of proposals that wait for the replica; with
	// more, Propose blocks.
	proposalsSize = 1024
	// batchSize bounds the messages or proposals handled between two syncs.
	batchSize = 2048
	// backlogLimit is the size in bytes of proposals that are not applied yet at
	// which the replica takes no more.
	backlogLimit = 64 << 20
)

// outcome is what a proposer waits for.
type outcome struct {
	result any
	err    error
}

// proposal is a command on its way into the log.
type proposal struct {
	command []byte
	done    chan outcome // has room for one
}

// request is a membership change of an operator.
type request struct {
	change func(now time.Time) (uint64, error)
	done   chan outcome
}

// waiter is a proposer whose entry is in the log of this leader.
type waiter struct {
	index uint64
	term  uint64
	size  int
	done  chan outcome
}

// Replica is one replica of the log. Its methods may be called from any goroutine.
type Replica struct {
	options   Options
	store     disk.Store
	core      *core // owned by Run
	inbox     chan Message
	proposals chan proposal
	requests  chan request
	snapshots chan disk.Position // saved by the applier
	stopped   chan struct{}
	applier   *applier
	waiting   []waiter // ascending; owned by Run

	mu      sync.Mutex // guards the rest
	view    view
	changed chan struct{}
}

// view is what the replica last published about itself.
type view struct {
	role       role
	leader     string
	term       uint64
	own        uint64 // first entry of the own term, zero if not leading
	applied    uint64
	lease      time.Time
	commit     uint64
	first      uint64
	last       uint64
	snapshot   uint64
	membership *Membership
	progress   map[uint64]progress
}

// ready tells whether the leader has applied an entry of its own term.
func (v *view) ready() bool { return v.role == leader && v.applied >= v.own }

var _ Log = (*Replica)(nil)

// New opens the store of a replica. Run starts it.
func New(options Options) (*Replica, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	store := options.Store
	if store == nil {
		d, err := disk.Open(options.Directory)
		if err != nil {
			options.Log.Emit(event.ReplicaFailed, zap.Error(err))
			return nil, err
		}
		if d.Cut() > 0 {
			options.Log.Emit(event.WriteCut, zap.Int64("bytes", d.Cut()))
		}
		store = d
	}
	r, err := open(options, store)
	if err != nil {
		options.Log.Emit(event.ReplicaFailed, zap.Error(err))
		return nil, errors.CombineErrors(err, store.Close())
	}
	return r, nil
}

func open(options Options, store disk.Store) (*Replica, error) {
	contents, err := store.Load()
	if err != nil {
		return nil, err
	}
	c, err := newCore(options, store.Identity(), contents, options.Now())
	if err != nil {
		return nil, err
	}
	c.load = store.LoadSnapshot
	r := &Replica{
		options: options, store: store, core: c,
		inbox: make(chan Message, inboxSize), proposals: make(chan proposal, proposalsSize),
		requests: make(chan request), snapshots: make(chan disk.Position, 1),
		stopped: make(chan struct{}), changed: make(chan struct{}),
	}
	r.applier = newApplier(r)
	if s := contents.Snapshot; s.Index > foundingIndex {
		full, err := store.LoadSnapshot()
		if err != nil {
			return nil, err
		}
		if err := options.Machine.Restore(full.Data); err != nil {
			return nil, errors.Wrap(err, "restore snapshot")
		}
	}
	r.applier.start(contents.Snapshot)
	options.Log.Emit(event.ReplicaStarted, zap.String("name", options.Name), zap.Uint64("identity", c.identity),
		zap.Uint64("term", c.term), zap.Uint64("snapshot", contents.Snapshot.Index), zap.Uint64("last", c.entries.last()))
	r.publish()
	return r, nil
}

// Run runs the replica until the context ends or the store or machine fails.
// It closes the store. It must be called once.
func (r *Replica) Run(ctx context.Context) error {
	g, inner := errgroup.WithContext(ctx)
	g.Go(func() error { return r.loop(inner) })
	g.Go(func() error { return r.applier.run(inner) })
	err := g.Wait()
	r.core.follow(r.core.term)
	r.publish()
	close(r.stopped)
	r.abandon()
	r.applier.abandon()
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		err = nil
	}
	if err != nil {
		r.options.Log.Emit(event.ReplicaFailed, zap.Error(err))
	}
	return errors.CombineErrors(err, r.store.Close())
}

func (r *Replica) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		proposals := r.proposals
		if r.applier.backlog() > backlogLimit {
			proposals = nil
		}
		var batch []proposal
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-r.inbox:
			r.core.step(r.options.Now(), m)
		case p := <-proposals:
			batch = append(batch, p)
		case q := <-r.requests:
			r.serve(q)
		case p := <-r.snapshots:
			r.core.compact(p)
		case <-timer.C:
		}
		r.drain(proposals, batch)
		// Messages come before the tick: after a pause, a waiting heartbeat must
		// keep this replica from campaigning.
		r.core.tick(r.options.Now())
		if err := r.flush(); err != nil {
			return err
		}
		timer.Reset(max(0, r.core.next().Sub(r.options.Now())))
	}
}

// drain takes everything that waits, so that one sync covers it.
func (r *Replica) drain(proposals chan proposal, batch []proposal) {
	for range batchSize {
		select {
		case m := <-r.inbox:
			r.core.step(r.options.Now(), m)
			continue
		default:
		}
		break
	}
	size := 0
	for len(batch) < batchSize && size < appendBytes*inflightLimit {
		select {
		case p := <-proposals:
			batch, size = append(batch, p), size+len(p.command)
			continue
		default:
		}
		break
	}
	if len(batch) == 0 {
		return
	}
	commands := make([][]byte, len(batch))
	for i := range batch {
		commands[i] = batch[i].command
	}
	first, ok := r.core.propose(r.options.Now(), disk.Command, commands...)
	for i, p := range batch {
		if !ok {
			p.done <- outcome{err: ErrNotLeader}
			continue
		}
		r.wait(first+uint64(i), len(p.command), p.done)
	}
}

func (r *Replica) wait(index uint64, size int, done chan outcome) {
	r.waiting = append(r.waiting, waiter{index, r.core.term, size, done})
	r.applier.grow(size)
}

func (r *Replica) serve(q request) {
	index, err := q.change(r.options.Now())
	if err != nil {
		q.done <- outcome{err: err}
		return
	}
	r.wait(index, 0, q.done)
}

// flush lets the core persist and send, and hands committed entries and their
// proposers to the applier.
func (r *Replica) flush() error {
	w, err := r.core.flush(r.store, func(to string, m Message) {
		if r.options.Transport != nil {
			r.options.Transport.Send(to, m)
		}
	})
	if err != nil {
		return err
	}
	// Before the applier can announce that the lease is ready.
	r.publish()
	if w.restore != nil || len(w.entries) > 0 {
		n := 0
		if len(w.entries) > 0 {
			last := w.entries[len(w.entries)-1].Index
			for n < len(r.waiting) && r.waiting[n].index <= last {
				n++
			}
		}
		r.applier.add(task{work: w, waiters: r.waiting[:n:n]})
		r.waiting = r.waiting[n:]
	}
	if r.core.role != leader {
		r.abandon()
	}
	return nil
}

// abandon tells the proposers of uncommitted entries that their fate is unknown.
func (r *Replica) abandon() {
	for _, w := range r.waiting {
		r.applier.grow(-w.size)
		w.done <- outcome{err: ErrUnknown}
	}
	r.waiting = nil
}

// publish makes the state of the core visible to other goroutines.
func (r *Replica) publish() {
	c := r.core
	v := view{
		role: c.role, leader: c.leaderName, term: c.term, own: c.own, lease: c.lease(), commit: c.commit,
		first: c.entries.base.Index + 1, last: c.entries.last(), snapshot: c.snapshot.Index, membership: c.membership(),
	}
	if c.role == leader {
		v.progress = make(map[uint64]progress, len(c.progress))
		for id, p := range c.progress {
			v.progress[id] = progress{match: p.match, heard: p.heard}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	v.applied = r.view.applied
	r.set(v)
}

// set replaces the view. The caller holds the lock.
func (r *Replica) set(v view) {
	o := &r.view
	if o.leader != v.leader || o.term != v.term || o.role != v.role || o.ready() != v.ready() {
		close(r.changed)
		r.changed = make(chan struct{})
	}
	r.view = v
}

// noteApplied is called by the applier.
func (r *Replica) noteApplied(index uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.view
	v.applied = index
	r.set(v)
}

// Receive takes a message from the transport. It drops the message if too many wait.
func (r *Replica) Receive(message Message) {
	select {
	case r.inbox <- message:
	default:
	}
}

// Propose commits a command and returns the machine's result for it. It fails
// with ErrNotLeader or ErrTooLarge if the command was certainly not appended,
// and with ErrUnknown if it may or may not commit. The command must not be
// changed afterwards.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	if len(command) > MaxCommand {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(command))
	}
	r.mu.Lock()
	leading := r.view.role == leader
	r.mu.Unlock()
	if !leading {
		return nil, ErrNotLeader
	}
	p := proposal{command: command, done: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, errors.CombineErrors(ErrNotLeader, ctx.Err())
	case <-r.stopped:
		return nil, ErrNotLeader
	}
	return r.result(ctx, p.done)
}

func (r *Replica) result(ctx context.Context, done chan outcome) (any, error) {
	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, errors.CombineErrors(ErrUnknown, ctx.Err())
	case <-r.stopped:
	}
	// The outcome may have come together with the end.
	select {
	case o := <-done:
		return o.result, o.err
	default:
		return nil, ErrUnknown
	}
}

// Leader implements Log.
func (r *Replica) Leader() (name string, term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.leader, r.view.term
}

// Lease implements Log.
func (r *Replica) Lease() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.view.ready() {
		return time.Time{}
	}
	return r.view.lease
}

// Changed implements Log.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Remove removes all identities of a name from the group for good. It must be
// called on the leader and returns when the change is committed. It fails with
// ErrNotLeader, ErrMember, ErrQuorum or ErrChanging if nothing was changed,
// and with ErrUnknown.
func (r *Replica) Remove(ctx context.Context, name string) error {
	return r.request(ctx, func(now time.Time) (uint64, error) { return r.core.retire(now, name) })
}

// Allow lets a name join again that was removed for good. Errors are those of Remove.
func (r *Replica) Allow(ctx context.Context, name string) error {
	return r.request(ctx, func(now time.Time) (uint64, error) { return r.core.admit(now, name) })
}

func (r *Replica) request(ctx context.Context, change func(time.Time) (uint64, error)) error {
	q := request{change: change, done: make(chan outcome, 1)}
	select {
	case r.requests <- q:
	case <-ctx.Done():
		return errors.CombineErrors(ErrNotLeader, ctx.Err())
	case <-r.stopped:
		return ErrNotLeader
	}
	_, err := r.result(ctx, q.done)
	return err
}
