package raft

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

// sum is a machine that adds numbers and counts the commands.
type sum struct {
	mu           sync.Mutex
	total, count uint64
}

func (s *sum) Apply(_ uint64, command []byte) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, _ := binary.Uvarint(command)
	s.total += n
	s.count++
	return s.total
}

func (s *sum) Snapshot() ([]byte, error) {
	return binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, s.total), s.count), nil
}

func (s *sum) Restore(b []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(b) != 16 {
		return errors.New("length of a snapshot")
	}
	s.total, s.count = binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[8:])
	return nil
}

func (s *sum) value() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

func number(n uint64) []byte { return binary.AppendUvarint(nil, n) }

// cluster is an in-process group with a network that delays by 1 ms.
type cluster struct {
	t        testing.TB
	names    []string
	mu       sync.Mutex
	replicas map[string]*Replica
	machines map[string]*sum
	stores   map[string]disk.Store
	cut      map[string]bool
	stops    map[string]func()
	options  func(*Options)
}

type link struct {
	c    *cluster
	from string
}

func (l link) Send(to string, m Message) {
	l.c.mu.Lock()
	r := l.c.replicas[to]
	drop := r == nil || l.c.cut[l.from] || l.c.cut[to]
	l.c.mu.Unlock()
	if !drop {
		time.AfterFunc(time.Millisecond, func() { r.Receive(m) })
	}
}

func newCluster(t testing.TB, names ...string) *cluster {
	return &cluster{
		t: t, names: names, replicas: map[string]*Replica{}, machines: map[string]*sum{},
		stores: map[string]disk.Store{}, cut: map[string]bool{}, stops: map[string]func(){},
	}
}

// start starts a replica on its store, or on a new one if identity is not zero.
func (c *cluster) start(name string, identity uint64) *Replica {
	if identity != 0 {
		c.stores[name] = disk.NewMemory(identity)
	}
	m := &sum{}
	o := Options{
		Name: name, Members: c.names, Store: c.stores[name], Machine: m, Transport: link{c, name},
		Random: rand.New(rand.NewPCG(7, identity+uint64(len(name)+int(name[len(name)-1])))),
	}
	if c.options != nil {
		c.options(&o)
	}
	r, err := New(o)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	c.mu.Lock()
	c.replicas[name], c.machines[name] = r, m
	c.mu.Unlock()
	c.stops[name] = func() {
		c.mu.Lock()
		delete(c.replicas, name)
		c.mu.Unlock()
		cancel()
		if err := <-done; err != nil {
			c.t.Error(err)
		}
	}
	return r
}

func (c *cluster) startAll() {
	for i, n := range c.names {
		c.start(n, uint64(i+1))
	}
}

func (c *cluster) stop(name string) {
	c.stops[name]()
	delete(c.stops, name)
}

func (c *cluster) stopAll() {
	for n := range c.stops {
		c.stop(n)
	}
}

// leader waits in virtual time for a leader with a lease, other than some names.
func (c *cluster) leader(except ...string) *Replica {
	for range 600 {
		for _, n := range c.names {
			r := c.replicas[n]
			if r != nil && time.Now().Before(r.Lease()) && !contains(except, n) {
				return r
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatal("no leader within 30 s")
	return nil
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// Guards against a group that does not found, elect, replicate or apply.
func TestReplicaCommitsOnAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "a", "b", "c")
		c.startAll()
		l := c.leader()
		for i := range uint64(10) {
			v, err := l.Propose(t.Context(), number(i))
			is.NoErr(err)
			is.Equal(v, i*(i+1)/2)
		}
		time.Sleep(time.Second)
		for _, m := range c.machines {
			is.Equal(m.value(), uint64(45))
		}
		c.stopAll()
	})
}

// Guards against a single replica that needs others or a tick to commit.
func TestSingleReplicaCommitsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "a")
		r := c.start("a", 1)
		synctest.Wait()
		begin := time.Now()
		v, err := r.Propose(t.Context(), number(5))
		is.NoErr(err)
		is.Equal(v, uint64(5))
		is.Equal(time.Since(begin), time.Duration(0))
		is.True(time.Now().Before(r.Lease()))
		c.stop("a")
		r = c.start("a", 0)
		synctest.Wait()
		v, err = r.Propose(t.Context(), number(1))
		is.NoErr(err)
		is.Equal(v, uint64(6)) // the restarted replica has the first command
		c.stopAll()
	})
}
