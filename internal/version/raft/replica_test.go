package raft

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

// sum is a state machine that adds numbers and counts the commands.
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
		return errors.New("snapshot has a wrong length")
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

// cluster is an in-process group with a network delay of 1 ms.
type cluster struct {
	t        testing.TB
	names    []string
	mu       sync.Mutex
	replicas map[string]*Replica
	machines map[string]*sum
	stores   map[string]disk.Store
	isolated map[string]bool
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
	drop := r == nil || l.c.isolated[l.from] || l.c.isolated[to]
	l.c.mu.Unlock()
	if !drop {
		time.AfterFunc(time.Millisecond, func() { r.Receive(m) })
	}
}

func newCluster(t testing.TB, names ...string) *cluster {
	return &cluster{
		t: t, names: names, replicas: map[string]*Replica{}, machines: map[string]*sum{},
		stores: map[string]disk.Store{}, isolated: map[string]bool{}, stops: map[string]func(){},
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

// leader waits in virtual time for a leader with a lease that is not in except.
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

// Guards against a group that fails to found, elect, replicate or apply.
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

// largeState is a machine with a snapshot of 1000 bytes.
type largeState struct {
	sum
	snapshots int
}

func (m *largeState) Snapshot() ([]byte, error) {
	m.snapshots++
	return make([]byte, 1000), nil
}

func (*largeState) Restore([]byte) error { return nil }

// Guards against snapshots that are larger than the part of the log that they replace.
func TestLargeStateIsSavedLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "a")
		m := &largeState{}
		c.options = func(o *Options) { o.Machine, o.SnapshotBytes, o.SnapshotEntries = m, 80, 1000 }
		for i := range 2 { // the size of the snapshot is known after a restart too
			r := c.start("a", uint64(1-i))
			synctest.Wait()
			for range 60 {
				_, err := r.Propose(t.Context(), make([]byte, 8))
				is.NoErr(err)
				synctest.Wait()
			}
			c.stop("a")
		}
		is.Equal(m.snapshots, 1)
	})
}

// Guards against a new leader that first has to apply all entries since the latest
// snapshot, although it waited for its election with nothing to do.
func TestRestartedReplicaAppliesBeforeAnElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "a", "b", "c")
		c.startAll()
		l := c.leader()
		for range 10 {
			_, err := l.Propose(t.Context(), number(1))
			is.NoErr(err)
		}
		time.Sleep(time.Second)
		c.stopAll()
		for _, n := range c.names {
			c.start(n, 0)
			synctest.Wait()
			is.True(c.machines[n].value() >= 9) // the commit of the last entry is not on disk
			c.stop(n)
		}
	})
}

// Guards against a replica that cannot restart from its data directory.
func TestReplicaOnDisk(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	for run := range uint64(3) {
		m := &sum{}
		r, err := New(Options{Name: "a", Members: []string{"a"}, Directory: directory, Machine: m, SnapshotEntries: 4})
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		changed := r.Changed()
		go func() { done <- r.Run(ctx) }()
		for r.Lease().IsZero() {
			<-changed
			changed = r.Changed()
		}
		for i := range uint64(5) {
			v, err := r.Propose(ctx, number(1))
			is.NoErr(err)
			is.Equal(v, run*5+i+1)
		}
		cancel()
		is.NoErr(<-done)
	}
}

// Guards against a result or a lease that survives the loss of leadership, and
// against a change of leadership that is not signalled by Changed.
func TestLostLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "a", "b", "c")
		c.startAll()
		old := c.leader()
		changed := old.Changed()
		c.mu.Lock()
		c.isolated[old.options.Name] = true
		c.mu.Unlock()
		_, err := old.Propose(t.Context(), number(1))
		is.True(errors.Is(err, ErrUnknown))
		<-changed
		is.True(old.Lease().IsZero())
		_, err = old.Propose(t.Context(), number(1))
		is.True(errors.Is(err, ErrNotLeader))
		_, err = old.Propose(t.Context(), make([]byte, MaxCommand+1))
		is.True(errors.Is(err, ErrTooLarge))
		l := c.leader(old.options.Name)
		v, err := l.Propose(t.Context(), number(2))
		is.NoErr(err)
		is.Equal(v, uint64(2)) // does not include the command of the old leader
		c.stopAll()
	})
}

// padded is a state machine whose snapshot takes several chunks.
type padded struct{ sum }

func (p *padded) Snapshot() ([]byte, error) {
	b, err := p.sum.Snapshot()
	return append(b, make([]byte, 3*chunkBytes)...), err
}

func (p *padded) Restore(b []byte) error { return p.sum.Restore(b[:16]) }

// Guards against a log that grows without bound, and against a replica that is far
// behind or has a new disk and never catches up.
func TestSnapshotInstallation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "a", "b", "c")
		machines := map[string]*padded{}
		c.options = func(o *Options) {
			machines[o.Name] = &padded{}
			o.Machine, o.SnapshotEntries, o.Trailing = machines[o.Name], 50, 10
		}
		c.startAll()
		l := c.leader()
		behind := "a"
		if l.options.Name == "a" {
			behind = "b"
		}
		c.stop(behind)
		for range 200 {
			_, err := l.Propose(t.Context(), number(1))
			is.NoErr(err)
		}
		time.Sleep(time.Second)
		is.True(l.Status().First > 100)
		c.start(behind, 0)
		time.Sleep(3 * time.Second)
		is.Equal(machines[behind].value(), uint64(200))
		c.stop(behind)
		r := c.start(behind, 77) // the same name with an empty disk
		time.Sleep(10 * time.Second)
		is.Equal(machines[behind].value(), uint64(200))
		for _, m := range r.Members() {
			is.True(m.Voter && (m.Name != behind || m.Identity == 77))
		}
		c.stopAll()
	})
}

// Guards against a removed member that still votes, rejoins by itself, or cannot be
// allowed again, and against a removal that stops the group.
func TestRemoveForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "a", "b", "c")
		c.startAll()
		l := c.leader()
		removed, remaining := "a", "c"
		if l.options.Name == "a" {
			removed = "b"
		} else if l.options.Name == "c" {
			remaining = "b"
		}
		is.True(errors.Is(l.Remove(t.Context(), "x"), ErrNoMember))
		is.NoErr(l.Remove(t.Context(), removed))
		is.Equal(len(l.Members()), 2)
		c.stop(removed)
		c.start(removed, 50) // a new disk under the removed name
		time.Sleep(5 * time.Second)
		is.Equal(len(l.Members()), 2)
		is.NoErr(l.Allow(t.Context(), removed))
		time.Sleep(5 * time.Second)
		is.Equal(len(l.Members()), 3)
		c.stop(removed)
		c.stop(remaining)
		time.Sleep(500 * time.Millisecond)
		is.True(l.Remove(t.Context(), removed) != nil) // the quorum would include a dead replica
		c.stopAll()
	})
}

// register is a state machine for the linearizability check. A command of 0 reads;
// any other value is written. Both go through the log and return the value.
type register struct {
	sum
	value uint64
}

func (r *register) Apply(_ uint64, command []byte) any {
	if n, _ := binary.Uvarint(command); n > 0 {
		r.value = n
	}
	return r.value
}

// Guards against results that a single register could not return, while replicas
// are isolated and crash.
func TestLinearizableRegister(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		c.options = func(o *Options) { o.Machine = &register{} }
		c.startAll()
		c.leader()
		var mu sync.Mutex
		var history []porcupine.Operation
		var clients sync.WaitGroup
		begin, end := time.Now(), time.Now().Add(30*time.Second)
		for id := range 4 {
			clients.Go(func() {
				random := rand.New(rand.NewPCG(4, uint64(id)))
				for i := 0; time.Now().Before(end); i++ {
					var write uint64
					if random.IntN(2) == 0 {
						write = uint64(i*4 + id + 1)
					}
					c.mu.Lock()
					r := c.replicas[c.names[random.IntN(3)]]
					c.mu.Unlock()
					time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
					if r == nil {
						continue
					}
					o := porcupine.Operation{ClientId: id, Input: write, Call: int64(time.Since(begin))}
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					v, err := r.Propose(ctx, number(write))
					cancel()
					o.Output, o.Return = v, int64(time.Since(begin))
					if errors.Is(err, ErrNotLeader) || err != nil && write == 0 {
						continue
					}
					mu.Lock()
					if err != nil {
						// It may take effect at any later time.
						o.Output, o.Return, o.ClientId = write, 1<<62, 1000+len(history)
					}
					history = append(history, o)
					mu.Unlock()
				}
			})
		}
		random := rand.New(rand.NewPCG(9, 9))
		for time.Now().Before(end) {
			n := c.names[random.IntN(3)]
			time.Sleep(2 * time.Second)
			if random.IntN(2) == 0 {
				c.stop(n)
				c.stores[n].(*disk.Memory).Crash()
				time.Sleep(3 * time.Second)
				c.start(n, 0)
				continue
			}
			for _, cut := range []bool{true, false} {
				c.mu.Lock()
				c.isolated[n] = cut
				c.mu.Unlock()
				time.Sleep(2 * time.Second)
			}
		}
		clients.Wait()
		c.stopAll()
		model := porcupine.Model{
			Init: func() any { return uint64(0) },
			Step: func(state, input, output any) (bool, any) {
				if w := input.(uint64); w > 0 {
					return true, w
				}
				return output == state, state
			},
		}
		t.Logf("%d operations", len(history))
		if len(history) < 200 || !porcupine.CheckOperations(model, history) {
			t.Errorf("%d operations, or they are not linearizable", len(history))
		}
	})
}

// Guards against an append that exceeds the transport's message limit.
func TestMessagesStayBelowLimit(t *testing.T) {
	is := is.New(t)
	l := entryLog{}
	for i := range uint64(3000) {
		l.append([]disk.Entry{{Index: i + 1, Term: 1 << 40, Data: make([]byte, i%200)}})
	}
	l.append([]disk.Entry{{Index: 3001, Term: 1 << 40, Data: make([]byte, MaxCommand)}})
	for from := uint64(1); from <= l.last(); {
		entries := l.slice(from, appendBytes)
		b, err := EncodeMessage(Message{Type: Append, FromName: "a", Entries: entries})
		is.NoErr(err)
		is.True(len(b) < 1<<20)
		from += uint64(len(entries))
	}
}

// Guards against a decoder that panics or loses fields.
func FuzzDecodeMessage(f *testing.F) {
	for _, m := range []Message{
		{Type: Append, FromName: "a", From: 1, To: 2, Term: 3, Index: 4, Entries: []disk.Entry{{Index: 5, Term: 3, Data: []byte("x")}}},
		{Type: Chunk, Offset: 1, Size: 2, Data: []byte{1}, Membership: (&Membership{Group: 1, Members: []Member{{"a", 1, true}}}).encode()},
	} {
		b, err := EncodeMessage(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMessage(b)
		if err != nil {
			return
		}
		e, err := EncodeMessage(m)
		again, err2 := DecodeMessage(e)
		if err != nil || err2 != nil || fmt.Sprint(again) != fmt.Sprint(m) {
			t.Fatalf("%v, %v: %v became %v", err, err2, m, again)
		}
	})
}

// Guards against a membership decoder that accepts a membership without members.
func FuzzDecodeMembership(f *testing.F) {
	f.Add((&Membership{Group: 1, Members: []Member{{"a", 1, true}}, Removed: []uint64{2}, Retired: []string{"b"}}).encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := decodeMembership(b); err == nil && len(m.Members) == 0 {
			t.Fatal("no members")
		}
	})
}

// Guards against a status that shows a voter as live after it is gone, and against
// followers that count voters which the leader counts too.
func TestStatusCountsLiveVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "a", "b", "c")
		c.startAll()
		l := c.leader()
		time.Sleep(time.Second)
		counts := func(r *Replica) [2]int {
			s := r.Status()
			all, live := s.Voters()
			return [2]int{all, live}
		}
		is.Equal(counts(l), [2]int{3, 3})
		for _, n := range c.names {
			if r := c.replicas[n]; r != l {
				is.Equal(counts(r), [2]int{})
				c.stop(n)
				break
			}
		}
		time.Sleep(2 * time.Second)
		is.Equal(counts(l), [2]int{3, 2})
		c.stopAll()
	})
}
