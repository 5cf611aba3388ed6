package raft

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

// applyTask is a batch to apply with the proposers that wait for its entries.
type applyTask struct {
	applyBatch
	waiters []waiter
}

// applier applies committed entries in its own goroutine, so that a slow state
// machine does not delay heartbeats.
type applier struct {
	replica *Replica
	signal  chan struct{}

	mu           sync.Mutex // guards tasks and pendingBytes
	tasks        []applyTask
	pendingBytes int // bytes of proposals that are not applied yet

	// The rest is owned by the run goroutine.
	applied              disk.Position
	membership           []byte // as of applied
	entriesSinceSnapshot uint64
	bytesSinceSnapshot   int // of commands
	snapshotBytes        int // size of the latest snapshot
	snapshotDone         chan error
}

func newApplier(r *Replica) *applier {
	return &applier{replica: r, signal: make(chan struct{}, 1)}
}

// setPosition sets the position of the restored state machine.
func (a *applier) setPosition(s disk.Snapshot) {
	a.applied = disk.Position{Index: s.Index, Term: s.Term}
	a.membership, a.snapshotBytes = s.Membership, len(s.Data)
	a.replica.view.applied = s.Index
}

func (a *applier) add(t applyTask) {
	a.mu.Lock()
	a.tasks = append(a.tasks, t)
	a.mu.Unlock()
	select {
	case a.signal <- struct{}{}:
	default:
	}
}

func (a *applier) addPending(n int) {
	a.mu.Lock()
	a.pendingBytes += n
	a.mu.Unlock()
}

func (a *applier) backlog() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pendingBytes
}

func (a *applier) take() []applyTask {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.tasks
	a.tasks = nil
	return t
}

func (a *applier) run(ctx context.Context) error {
	defer a.awaitSnapshot()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-a.snapshotDone:
			a.snapshotDone = nil
			if err != nil {
				return err
			}
			continue
		case <-a.signal:
		}
		for _, t := range a.take() {
			if err := a.apply(t); err != nil {
				return err
			}
		}
	}
}

// awaitSnapshot waits until a snapshot in progress is written, because the store
// is closed afterwards.
func (a *applier) awaitSnapshot() {
	if a.snapshotDone != nil {
		<-a.snapshotDone
	}
}

func (a *applier) apply(t applyTask) error {
	r := a.replica
	if s := t.restore; s != nil {
		if s.Index > foundingIndex {
			if err := r.options.Machine.Restore(s.Data); err != nil {
				return errors.Wrap(err, "restore snapshot")
			}
		}
		a.applied, a.membership = disk.Position{Index: s.Index, Term: s.Term}, s.Membership
		a.entriesSinceSnapshot, a.bytesSinceSnapshot, a.snapshotBytes = 0, 0, len(s.Data)
	}
	waiters := t.waiters
	for i := range t.entries {
		e := &t.entries[i]
		var result any
		switch e.Kind {
		case disk.Command:
			result = r.options.Machine.Apply(e.Index, e.Data)
		case disk.Membership:
			a.membership = e.Data
		}
		a.applied = disk.Position{Index: e.Index, Term: e.Term}
		a.entriesSinceSnapshot++
		a.bytesSinceSnapshot += len(e.Data)
		if len(waiters) > 0 && waiters[0].index == e.Index {
			a.addPending(-waiters[0].size)
			if waiters[0].term == e.Term {
				waiters[0].done <- outcome{result: result}
			} else {
				waiters[0].done <- outcome{err: ErrUnknown}
			}
			waiters = waiters[1:]
		}
	}
	r.publishApplied(a.applied.Index)
	return a.maybeSnapshot()
}

// maybeSnapshot takes a snapshot if enough was applied since the last one, and
// writes it in a separate goroutine. A large state is saved only once as many bytes
// were applied, so that snapshots do not cost more than the log. A leader, which has
// the most to do, above all after an election, saves its state half as often.
func (a *applier) maybeSnapshot() error {
	r := a.replica
	enough := max(r.options.SnapshotBytes, a.snapshotBytes)
	if r.leads() {
		enough *= 2
	}
	if a.snapshotDone != nil || a.entriesSinceSnapshot < r.options.SnapshotEntries && a.bytesSinceSnapshot < enough {
		return nil
	}
	data, err := r.options.Machine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "take snapshot")
	}
	a.entriesSinceSnapshot, a.bytesSinceSnapshot, a.snapshotBytes = 0, 0, len(data)
	s := disk.Snapshot{Index: a.applied.Index, Term: a.applied.Term, Membership: a.membership, Data: data}
	done := make(chan error, 1)
	a.snapshotDone = done
	go func() { done <- a.writeSnapshot(s) }()
	return nil
}

func (a *applier) writeSnapshot(s disk.Snapshot) error {
	r := a.replica
	if err := r.store.SaveSnapshot(s); err != nil {
		return err
	}
	keep := s.Index - min(s.Index, r.options.Trailing)
	if err := r.store.Compact(keep); err != nil {
		return err
	}
	r.options.Log.Emit(event.SnapshotTaken, zap.Uint64("entry", s.Index), zap.Int("bytes", len(s.Data)))
	// Replace a position that was not read yet; it is outdated.
	select {
	case <-r.snapshots:
	default:
	}
	r.snapshots <- disk.Position{Index: s.Index, Term: s.Term}
	return nil
}

// failWaiters returns ErrUnknown to proposers whose entries were committed but not
// applied before Run ended.
func (a *applier) failWaiters() {
	for _, t := range a.take() {
		for _, w := range t.waiters {
			w.done <- outcome{err: ErrUnknown}
		}
	}
}
