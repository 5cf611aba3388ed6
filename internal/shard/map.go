// Package shard provides a map that is split into shards, each with its own lock,
// so that goroutines working on different keys rarely contend.
//
// # Usage
//
//	sessions := shard.New[string, session]()
//	sessions.With("entry-1", func(m map[string]session) { m["entry-1"] = session{} })
package shard

import (
	"hash/maphash"
	"sync"
)

// shardCount is a power of two well above the number of cores of a small VM.
const shardCount = 32

// Map is a sharded map that is safe for concurrent use. It must not be copied. Use
// New to create one.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	shards [shardCount]shard[K, V]
}

type shard[K comparable, V any] struct {
	mu     sync.Mutex
	values map[K]V
}

// New returns an empty map.
func New[K comparable, V any]() *Map[K, V] {
	m := &Map[K, V]{seed: maphash.MakeSeed()}
	for i := range m.shards {
		m.shards[i].values = make(map[K]V)
	}
	return m
}

func (m *Map[K, V]) shardOf(key K) *shard[K, V] {
	return &m.shards[maphash.Comparable(m.seed, key)%shardCount]
}

// Get returns the value of key and whether key is present.
func (m *Map[K, V]) Get(key K) (V, bool) {
	p := m.shardOf(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.values[key]
	return v, ok
}

// Set stores value under key.
func (m *Map[K, V]) Set(key K, value V) {
	m.With(key, func(values map[K]V) { values[key] = value })
}

// Delete removes key, if present.
func (m *Map[K, V]) Delete(key K) {
	m.With(key, func(values map[K]V) { delete(values, key) })
}

// With calls f with the contents of the shard of key while holding the shard's
// lock. f may read and write only the value of key, and must not call methods of m.
func (m *Map[K, V]) With(key K, f func(values map[K]V)) {
	p := m.shardOf(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.values)
}

// Range calls f for every pair until f returns false. It holds the lock of one
// shard at a time, so that changes made meanwhile in other shards may or may not
// be seen. f must not call methods of m.
func (m *Map[K, V]) Range(f func(key K, value V) bool) {
	for i := range m.shards {
		if !m.shards[i].forEach(f) {
			return
		}
	}
}

func (p *shard[K, V]) forEach(f func(key K, value V) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, v := range p.values {
		if !f(k, v) {
			return false
		}
	}
	return true
}

// Len returns the number of pairs. It counts one shard after the other, so the
// result is approximate while other goroutines change m.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		m.shards[i].mu.Lock()
		n += len(m.shards[i].values)
		m.shards[i].mu.Unlock()
	}
	return n
}
