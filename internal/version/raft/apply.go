package raft

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

// task is committed work with the proposers that wait for it.
type task struct {
	work
	waiters []waiter
}

// applier applies committed entries in a goroutine of its own, so that a slow
// machine does not delay heartbeats.
type applier struct {
	replica *Replica
	signal  chan struct{}

	mu    sync.Mutex // guards tasks and size
	tasks []task
	size  int // bytes of proposals that are not applied yet

	// Owned by the goroutine.
	applied    disk.Position
	membership []byte // as of applied
	since      uint64 // entries since the last snapshot
	bytes      int    // of commands since the last snapshot
	saving     chan error
}

func newApplier(r *Replica) *applier {
	return &applier{replica: r, signal: make(chan struct{}, 1)}
}

// start sets the position that the machine is at.
func (a *applier) start(s disk.Snapshot) {
	a.applied = disk.Position{Index: s.Index, Term: s.Term}
	a.membership = s.Membership
	a.replica.view.applied = s.Index
}

func (a *applier) add(t task) {
	a.mu.Lock()
	a.tasks = append(a.tasks, t)
	a.mu.Unlock()
	select {
	case a.signal <- struct{}{}:
	default:
	}
}

func (a *applier) grow(n int) {
	a.mu.Lock()
	a.size += n
	a.mu.Unlock()
}

func (a *applier) backlog() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.size
}

func (a *applier) take() []task {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.tasks
	a.tasks = nil
	return t
}

func (a *applier) run(ctx context.Context) error {
	defer a.finishSaving()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-a.saving:
			a.saving = nil
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

// finishSaving waits for a snapshot that is being written, because the store
// is closed afterwards.
func (a *applier) finishSaving() {
	if a.saving != nil {
		<-a.saving
	}
}

func (a *applier) apply(t task) error {
	r := a.replica
	if s := t.restore; s != nil {
		if s.Index > foundingIndex {
			if err := r.options.Machine.Restore(s.Data); err != nil {
				return errors.Wrap(err, "restore snapshot")
			}
		}
		a.applied, a.membership = disk.Position{Index: s.Index, Term: s.Term}, s.Membership
		a.since, a.bytes = 0, 0
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
		a.since++
		a.bytes += len(e.Data)
		if len(waiters) > 0 && waiters[0].index == e.Index {
			a.grow(-waiters[0].size)
			if waiters[0].term == e.Term {
				waiters[0].done <- outcome{result: result}
			} else {
				waiters[0].done <- outcome{err: ErrUnknown}
			}
			waiters = waiters[1:]
		}
	}
	r.noteApplied(a.applied.Index)
	return a.save()
}

// save takes a snapshot when enough was applied since the last one, and writes
// it in a goroutine of its own.
func (a *applier) save() error {
	r := a.replica
	if a.saving != nil || a.since < r.options.SnapshotEntries && a.bytes < r.options.SnapshotBytes {
		return nil
	}
	data, err := r.options.Machine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "take snapshot")
	}
	a.since, a.bytes = 0, 0
	s := disk.Snapshot{Index: a.applied.Index, Term: a.applied.Term, Membership: a.membership, Data: data}
	done := make(chan error, 1)
	a.saving = done
	go func() { done <- a.write(s) }()
	return nil
}

func (a *applier) write(s disk.Snapshot) error {
	r := a.replica
	if err := r.store.SaveSnapshot(s); err != nil {
		return err
	}
	keep := s.Index - min(s.Index, r.options.Trailing)
	if err := r.store.Compact(keep); err != nil {
		return err
	}
	r.options.Log.Emit(event.SnapshotTaken, zap.Uint64("entry", s.Index), zap.Int("bytes", len(s.Data)))
	// An unread position is outdated.
	select {
	case <-r.snapshots:
	default:
	}
	r.snapshots <- disk.Position{Index: s.Index, Term: s.Term}
	return nil
}

// abandon ends the wait of proposers whose entries are committed but were not
// applied before the end of Run.
func (a *applier) abandon() {
	for _, t := range a.take() {
		for _, w := range t.waiters {
			w.done <- outcome{err: ErrUnknown}
		}
	}
}
