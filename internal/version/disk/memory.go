package disk

import (
	"slices"
	"sync"
)

// Memory is an in-memory Store for tests and for processes without a disk. Crash
// simulates a power failure.
type Memory struct {
	mu       sync.Mutex
	identity uint64
	synced   Contents
	pending  []Batch
	snapshot Snapshot
}

// NewMemory returns an empty store with the given identity, which must not be
// zero.
func NewMemory(identity uint64) *Memory { return &Memory{identity: identity} }

// Identity implements Store.
func (m *Memory) Identity() uint64 { return m.identity }

// Load implements Store.
func (m *Memory) Load() (Contents, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.synced
	c.Entries = slices.Clone(c.Entries)
	c.Snapshot = m.snapshot
	c.Snapshot.Data = nil
	dropped, err := c.reconcile()
	if dropped {
		m.synced.Entries, m.synced.Commit = nil, 0
	}
	return c, err
}

// Append implements Store.
func (m *Memory) Append(batch Batch) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if batch.Hard != nil {
		h := *batch.Hard
		batch.Hard = &h
	}
	batch.Entries = slices.Clone(batch.Entries)
	m.pending = append(m.pending, batch)
	return nil
}

// Sync implements Store.
func (m *Memory) Sync() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range m.pending {
		if err := m.synced.applyBatch(b); err != nil {
			return err
		}
	}
	m.pending = nil
	return nil
}

// Crash drops everything that was not synced.
func (m *Memory) Crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending = nil
}

// SaveSnapshot implements Store.
func (m *Memory) SaveSnapshot(snapshot Snapshot) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if snapshot.Index >= m.snapshot.Index {
		m.snapshot = snapshot
	}
	return nil
}

// LoadSnapshot implements Store.
func (m *Memory) LoadSnapshot() (Snapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snapshot, nil
}

// Compact implements Store.
func (m *Memory) Compact(index uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	index = min(index, m.snapshot.Index)
	if e := m.synced.Entries; len(e) > 0 && e[0].Index <= index {
		m.synced.Entries = slices.Clone(e[min(index+1-e[0].Index, uint64(len(e))):])
	}
	return nil
}

// Close implements Store.
func (m *Memory) Close() error { return nil }
