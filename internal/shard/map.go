// Package shard provides a map split into shards, each under its own lock, so
// that goroutines that work on different keys seldom wait for each other.
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

// shards is a power of two well above the cores of a small VM.
const shards = 32

// Map is a sharded map. It must not be copied. Use New.
type Map[K comparable, V any] struct {
	seed maphash.Seed
	part [shards]part[K, V]
}

type part[K comparable, V any] struct {
	mu     sync.Mutex
	values map[K]V
}

// New returns an empty map.
func New[K comparable, V any]() *Map[K, V] {
	m := &Map[K, V]{seed: maphash.MakeSeed()}
	for i := range m.part {
		m.part[i].values = make(map[K]V)
	}
	return m
}

func (m *Map[K, V]) of(key K) *part[K, V] {
	return &m.part[maphash.Comparable(m.seed, key)%shards]
}

// Get returns the value of key and whether there is one.
func (m *Map[K, V]) Get(key K) (V, bool) {
	p := m.of(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.values[key]
	return v, ok
}

// Set sets the value of key.
func (m *Map[K, V]) Set(key K, value V) {
	m.With(key, func(values map[K]V) { values[key] = value })
}

// Delete removes key.
func (m *Map[K, V]) Delete(key K) {
	m.With(key, func(values map[K]V) { delete(values, key) })
}

// With calls f with the shard that holds key, under the shard's lock. f may
// read and write the value of key only, and must not call other methods of m.
func (m *Map[K, V]) With(key K, f func(values map[K]V)) {
	p := m.of(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.values)
}

// Range calls f for every pair, shard by shard under the shard's lock, until f
// returns false. Pairs that other goroutines change meanwhile may be missed.
func (m *Map[K, V]) Range(f func(key K, value V) bool) {
	for i := range m.part {
		if !m.part[i].each(f) {
			return
		}
	}
}

func (p *part[K, V]) each(f func(key K, value V) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, v := range p.values {
		if !f(k, v) {
			return false
		}
	}
	return true
}

// Len returns the number of pairs.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.part {
		m.part[i].mu.Lock()
		n += len(m.part[i].values)
		m.part[i].mu.Unlock()
	}
	return n
}
