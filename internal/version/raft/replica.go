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
	// inboxSize is the number of messages that can wait for the replica. Further
	// ones are dropped.
	inboxSize = 4096
	// proposalsSize is the number of proposals that can wait for the replica.
	// Propose blocks when it is reached.
	proposalsSize = 1024
	// batchSize bounds the messages or proposals handled between two syncs.
	batchSize = 2048
	// backlogLimit is the size in bytes of proposals not applied yet above which
	// the replica accepts no more.
	backlogLimit = 64 << 20
)

// outcome is the result or error of a proposal.
type outcome struct {
	result any
	err    error
}

// proposal is a command that is not appended to the log yet.
type proposal struct {
	command []byte
	done    chan outcome // buffered, so that sending never blocks
}

// membershipChange is a membership change requested by an operator.
type membershipChange struct {
	change func(now time.Time) (uint64, error)
	done   chan outcome
}

// waiter is a proposer whose entry is in this leader's log.
type waiter struct {
	index uint64
	term  uint64
	size  int
	done  chan outcome
}

// Replica is one replica of the log. Its methods may be called from any goroutine.
type Replica struct {
	options           Options
	store             disk.Store
	core              *core // owned by Run
	inbox             chan Message
	proposals         chan proposal
	membershipChanges chan membershipChange
	snapshots         chan disk.Position // positions saved by the applier
	contacts          chan []string      // names of reloaded settings
	stopped           chan struct{}
	applier           *applier
	waiters           []waiter // ascending by index; owned by Run

	mu      sync.Mutex // guards the fields below
	view    view
	changed chan struct{}
}

// view is the state of the replica as last published to other goroutines.
type view struct {
	role       role
	leader     string
	term       uint64
	termStart  uint64 // first entry of the leader's own term, zero if not leading
	applied    uint64
	lease      time.Time
	commit     uint64
	first      uint64
	last       uint64
	snapshot   uint64
	membership *Membership
	progress   map[uint64]progress
}

// ready reports whether the replica leads and has applied an entry of its own term.
func (v *view) ready() bool { return v.role == leader && v.applied >= v.termStart }

var _ Log = (*Replica)(nil)

// New opens the store of a replica. Run starts the replica.
func New(options Options) (*Replica, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	store := options.Store
	if store == nil {
		d, err := disk.Open(options.Directory)
		if err != nil {
			options.Log.Emit(event.ReplicaFailed, zap.Error(err))
			return nil, err
		}
		if d.TruncatedBytes() > 0 {
			options.Log.Emit(event.WriteCut, zap.Int64("bytes", d.TruncatedBytes()))
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
		membershipChanges: make(chan membershipChange), snapshots: make(chan disk.Position, 1),
		contacts: make(chan []string, 1),
		stopped:  make(chan struct{}), changed: make(chan struct{}),
	}
	r.applier = newApplier(r)
	snapshot := contents.Snapshot
	if snapshot.Index > foundingIndex {
		if snapshot, err = store.LoadSnapshot(); err != nil {
			return nil, err
		}
		if err := options.Machine.Restore(snapshot.Data); err != nil {
			return nil, errors.Wrap(err, "restore snapshot")
		}
	}
	r.applier.setPosition(snapshot)
	options.Log.Emit(event.ReplicaStarted, zap.String("name", options.Name), zap.Uint64("identity", c.identity),
		zap.Uint64("term", c.term), zap.Uint64("snapshot", contents.Snapshot.Index), zap.Uint64("last", c.entries.last()))
	r.publish()
	return r, nil
}

// Run runs the replica until the context ends or until the store or the machine
// fails. It closes the store. It must be called once.
func (r *Replica) Run(ctx context.Context) error {
	g, inner := errgroup.WithContext(ctx)
	g.Go(func() error { return r.loop(inner) })
	g.Go(func() error { return r.applier.run(inner) })
	err := g.Wait()
	r.core.becomeFollower(r.core.term)
	r.publish()
	close(r.stopped)
	r.failWaiters()
	r.applier.failWaiters()
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
	var slow slowness
	due := r.options.Now()
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
		case q := <-r.membershipChanges:
			r.startMembershipChange(q)
		case p := <-r.snapshots:
			r.core.compact(p)
		case names := <-r.contacts:
			r.core.setContacts(r.options.Now(), names)
		case <-timer.C:
		}
		r.drainQueues(proposals, batch)
		// Handle messages before the tick: after a pause, a waiting heartbeat must
		// keep this replica from campaigning.
		woke := r.options.Now()
		r.core.tick(woke)
		if err := r.flush(); err != nil {
			return err
		}
		now := r.options.Now()
		slow.note(r.options.Log, r.core.heartbeat, due, woke, now)
		due = r.core.nextTick()
		timer.Reset(max(0, due.Sub(now)))
	}
}

// drainQueues handles everything that waits, so that one sync covers it.
func (r *Replica) drainQueues(proposals chan proposal, batch []proposal) {
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
	for len(batch) < batchSize && size < appendBytes*maxInflight {
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
		r.addWaiter(first+uint64(i), len(p.command), p.done)
	}
}

func (r *Replica) addWaiter(index uint64, size int, done chan outcome) {
	r.waiters = append(r.waiters, waiter{index, r.core.term, size, done})
	r.applier.addPending(size)
}

func (r *Replica) startMembershipChange(q membershipChange) {
	index, err := q.change(r.options.Now())
	if err != nil {
		q.done <- outcome{err: err}
		return
	}
	r.addWaiter(index, 0, q.done)
}

// flush lets the core persist and send, and passes committed entries and their
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
	// Publish before the applier can announce that the lease is ready.
	r.publish()
	if w.restore != nil || len(w.entries) > 0 {
		n := 0
		if len(w.entries) > 0 {
			last := w.entries[len(w.entries)-1].Index
			for n < len(r.waiters) && r.waiters[n].index <= last {
				n++
			}
		}
		r.applier.add(applyTask{applyBatch: w, waiters: r.waiters[:n:n]})
		r.waiters = r.waiters[n:]
	}
	if r.core.role != leader {
		r.failWaiters()
	}
	return nil
}

// failWaiters returns ErrUnknown to the proposers of uncommitted entries.
func (r *Replica) failWaiters() {
	for _, w := range r.waiters {
		r.applier.addPending(-w.size)
		w.done <- outcome{err: ErrUnknown}
	}
	r.waiters = nil
}

// publish makes the state of the core visible to other goroutines.
func (r *Replica) publish() {
	c := r.core
	v := view{
		role: c.role, leader: c.leaderName, term: c.term, termStart: c.termStart, lease: c.lease(), commit: c.commit,
		first: c.entries.base.Index + 1, last: c.entries.last(), snapshot: c.snapshot.Index, membership: c.membership(),
	}
	if c.role == leader {
		v.progress = make(map[uint64]progress, len(c.progress))
		for id, p := range c.progress {
			v.progress[id] = progress{matchIndex: p.matchIndex, heardAt: p.heardAt}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	v.applied = r.view.applied
	r.setView(v)
}

// leads reports whether this replica leads.
func (r *Replica) leads() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.role == leader
}

// setView replaces the view. The caller holds the lock.
func (r *Replica) setView(v view) {
	o := &r.view
	if o.leader != v.leader || o.term != v.term || o.role != v.role || o.ready() != v.ready() {
		close(r.changed)
		r.changed = make(chan struct{})
	}
	r.view = v
}

// publishApplied is called by the applier after it has applied entries.
func (r *Replica) publishApplied(index uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.view
	v.applied = index
	r.setView(v)
}

// Receive takes a message from the transport. It drops the message if the inbox is full.
func (r *Replica) Receive(message Message) {
	select {
	case r.inbox <- message:
	default:
	}
}

// SetContacts adds names of control replicas, such as those of reloaded settings, to
// the names that this replica asks for the present members. It does not block.
func (r *Replica) SetContacts(names []string) {
	// Replace names that were not read yet.
	select {
	case <-r.contacts:
	default:
	}
	select {
	case r.contacts <- names:
	default: // another call was faster
	}
}

// Propose commits a command and returns the machine's result for it. It fails
// with ErrNotLeader or ErrTooLarge if the command was certainly not appended,
// and with ErrUnknown if it may or may not commit. The caller must not modify
// the command afterwards.
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
	return r.awaitOutcome(ctx, p.done)
}

func (r *Replica) awaitOutcome(ctx context.Context, done chan outcome) (any, error) {
	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, errors.CombineErrors(ErrUnknown, ctx.Err())
	case <-r.stopped:
	}
	// The outcome may have arrived together with the end of Run.
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

// Leads implements Log.
func (r *Replica) Leads(term uint64) bool {
	r.mu.Lock()
	v := r.view
	r.mu.Unlock()
	return v.ready() && v.term == term && r.options.Now().Before(v.lease)
}

// Changed implements Log.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Remove removes all identities of a name from the group and refuses the name
// from then on. It must be called on the leader and returns when the change is
// committed. It fails with ErrNotLeader, ErrNoMember, ErrNoQuorum or
// ErrChangeInProgress if nothing was changed, and with ErrUnknown if the change
// may or may not commit.
func (r *Replica) Remove(ctx context.Context, name string) error {
	return r.changeMembership(ctx, func(now time.Time) (uint64, error) { return r.core.retire(now, name) })
}

// Allow lets a name that was removed with Remove join again. Its errors are those
// of Remove.
func (r *Replica) Allow(ctx context.Context, name string) error {
	return r.changeMembership(ctx, func(now time.Time) (uint64, error) { return r.core.allow(now, name) })
}

func (r *Replica) changeMembership(ctx context.Context, change func(time.Time) (uint64, error)) error {
	q := membershipChange{change: change, done: make(chan outcome, 1)}
	select {
	case r.membershipChanges <- q:
	case <-ctx.Done():
		return errors.CombineErrors(ErrNotLeader, ctx.Err())
	case <-r.stopped:
		return ErrNotLeader
	}
	_, err := r.awaitOutcome(ctx, q.done)
	return err
}
