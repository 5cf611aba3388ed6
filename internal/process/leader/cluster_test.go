package leader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/version/raft"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const testLease = 750 * time.Millisecond

// cluster is a control group in virtual time. The test controls its log, its
// elections and its partitions.
type cluster struct {
	t            testing.TB
	mu           sync.Mutex
	index        uint64
	term         uint64
	replicas     []*replica
	preempt      int  // see firstFit
	blockCommits bool // proposals are neither committed nor refused
	stop         func()
	done         sync.WaitGroup
}

// replica is the raft.Log of one replica, with its state and leader.
type replica struct {
	cluster    *cluster
	name       string
	state      *state.State
	leader     *Leader
	methods    map[string]peer.Handler
	clockPause time.Duration // length of the pause after the next reading of the clock

	// The replica's view of the group, guarded by the cluster's lock.
	knownLeader string
	term        uint64
	isolatedAt  time.Time // when it lost the others; zero if it has not
	changed     chan struct{}
}

func newCluster(t testing.TB, n int, off ...guard) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{t: t, stop: cancel}
	for i := range n {
		r := &replica{cluster: c, name: fmt.Sprint("control-", i), state: state.New(), methods: map[string]peer.Handler{}, changed: make(chan struct{})}
		l, err := New(Options{Name: r.name, State: r.state, Log: r, Now: r.now, Scheduler: c.scheduler})
		if err != nil {
			t.Fatal(err)
		}
		r.leader = l
		for _, g := range off {
			l.disabled |= g
		}
		l.Register(r)
		c.replicas = append(c.replicas, r)
		c.done.Go(func() { _ = l.Run(ctx) })
	}
	c.elect(0)
	return c
}

func (c *cluster) scheduler() Scheduler {
	c.mu.Lock()
	defer c.mu.Unlock()
	return newFirstFit(c.preempt)
}

func (c *cluster) close() {
	c.stop()
	c.done.Wait()
}

// elect makes a replica the leader of a new term. Isolated replicas do not learn
// of it.
func (c *cluster) elect(i int) {
	c.mu.Lock()
	c.term++
	c.replicas[i].isolatedAt = time.Time{}
	for _, r := range c.replicas {
		if r.isolatedAt.IsZero() {
			r.setLeader(c.replicas[i].name, c.term)
		}
	}
	c.mu.Unlock()
	time.Sleep(10 * time.Millisecond) // time for the term to start
}

func (r *replica) setLeader(leader string, term uint64) {
	r.knownLeader, r.term = leader, term
	close(r.changed)
	r.changed = make(chan struct{})
}

// isolate cuts a replica off from the others, and elects another one once its
// lease has expired.
func (c *cluster) isolate(from, to int) {
	c.mu.Lock()
	c.replicas[from].isolatedAt = time.Now()
	c.mu.Unlock()
	time.Sleep(testLease + time.Millisecond)
	c.elect(to)
}

// heal reconnects a replica.
func (c *cluster) heal(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.replicas[i]
	if r.isolatedAt.IsZero() {
		return
	}
	r.isolatedAt = time.Time{}
	for _, o := range c.replicas {
		if o.knownLeader == o.name && o.term == c.term {
			r.setLeader(o.name, c.term)
		}
	}
}

// now reads the clock. The pause after it simulates a process that is suspended
// between reading the clock and acting on the result.
func (r *replica) now() time.Time {
	now := time.Now()
	r.cluster.mu.Lock()
	pause := r.clockPause
	r.clockPause = 0
	r.cluster.mu.Unlock()
	if pause > 0 {
		time.Sleep(pause)
	}
	return now
}

func (r *replica) Handle(method string, h peer.Handler) { r.methods[method] = h }

func (r *replica) Propose(ctx context.Context, command []byte) (any, error) {
	time.Sleep(time.Millisecond)
	_, term := r.Leader()
	for first := true; ; first = false {
		r.cluster.mu.Lock()
		if r.knownLeader != r.name || r.term != term {
			r.cluster.mu.Unlock()
			if first {
				return nil, raft.ErrNotLeader
			}
			return nil, raft.ErrUnknown
		}
		if r.isolatedAt.IsZero() && !r.cluster.blockCommits {
			defer r.cluster.mu.Unlock()
			return r.cluster.apply(r, command), nil
		}
		changed := r.changed
		r.cluster.mu.Unlock()
		select {
		case <-changed:
			return nil, raft.ErrUnknown
		case <-ctx.Done():
			return nil, raft.ErrUnknown
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (c *cluster) apply(by *replica, command []byte) (result any) {
	c.index++
	for _, r := range c.replicas {
		if v := r.state.Apply(c.index, command); r == by {
			result = v
		}
	}
	return result
}

// mustApply commits a command regardless of who leads.
func (c *cluster) mustApply(command state.Command) state.Result {
	command.Time = time.Now()
	b, err := state.Encode(command)
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.apply(c.replicas[0], b).(state.Result)
	if r.Code != state.OK {
		c.t.Fatalf("%+v: %+v", command, r)
	}
	return r
}

func (r *replica) Leader() (string, uint64) {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	return r.knownLeader, r.term
}

func (r *replica) Lease() time.Time {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	switch {
	case r.knownLeader != r.name:
		return time.Time{}
	case !r.isolatedAt.IsZero():
		return r.isolatedAt.Add(testLease)
	}
	return time.Now().Add(testLease)
}

func (r *replica) Leads(term uint64) bool {
	lease := r.Lease()
	name, current := r.Leader()
	return name == r.name && current == term && r.now().Before(lease)
}

func (r *replica) Changed() <-chan struct{} {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	return r.changed
}

// call calls a method of a replica. The request and the answer can be delayed. A
// call whose answer takes longer than the timeout fails with peer.ErrUnknown.
func call[A any](r *replica, method, from string, request any, requestDelay, answerDelay time.Duration) (*A, error) {
	type reply struct {
		value any
		err   error
	}
	out := make(chan reply, 1)
	r.cluster.done.Go(func() {
		time.Sleep(requestDelay)
		v, err := r.methods[method](context.Background(), from, func(into any) error {
			switch d := into.(type) {
			case *control.Renewal:
				*d = request.(control.Renewal)
			case *control.Proposal:
				*d = request.(control.Proposal)
			case *control.Query:
				*d = request.(control.Query)
			}
			return nil
		})
		time.Sleep(answerDelay)
		out <- reply{v, err}
	})
	select {
	case a := <-out:
		if a.err != nil {
			return nil, a.err
		}
		if v, ok := a.value.(A); ok {
			return &v, nil
		}
		return a.value.(*A), nil
	case <-time.After(500 * time.Millisecond):
		return nil, peer.ErrUnknown
	}
}

// firstFit is a scheduler that starts queued tasks on the first worker with
// enough free capacity, gangs as a whole. It can preempt a running task at
// regular intervals, although no other task needs it.
type firstFit struct {
	rounds  int
	preempt int // rounds from one preemption to the next; zero for none
	started map[work.TaskID]work.Token
	workers map[string]*work.Worker
	free    map[string]work.Resources
	jobs    map[work.JobID]*work.Job
	queued  map[work.JobID]map[uint32]bool
}

func newFirstFit(preempt int) *firstFit {
	return &firstFit{
		preempt: preempt, started: map[work.TaskID]work.Token{},
		workers: map[string]*work.Worker{}, free: map[string]work.Resources{},
		jobs: map[work.JobID]*work.Job{}, queued: map[work.JobID]map[uint32]bool{},
	}
}

func (f *firstFit) Observe(e work.Event) {
	switch e := e.(type) {
	case work.WorkerEvent:
		w := *e.Worker
		if f.workers[w.Name] == nil {
			f.free[w.Name] = w.Capacity
		}
		f.workers[w.Name] = &w
	case work.SubmitEvent:
		j := *e.Job
		f.jobs[j.ID], f.queued[j.ID] = &j, map[uint32]bool{}
		for i := range j.Tasks {
			f.queued[j.ID][uint32(i)] = true
		}
	case work.StartEvent:
		delete(f.queued[e.Job.ID], e.Task.ID.Index)
		f.started[e.Task.ID] = e.Task.Token
		f.free[e.Task.Worker] = f.free[e.Task.Worker].Sub(e.Task.Reserved)
	case work.StopEvent:
		delete(f.started, e.Task.ID)
	case work.EndEvent:
		delete(f.started, e.Task.ID)
		f.free[e.Worker] = f.free[e.Worker].Add(e.Reserved)
		if e.Requeued {
			f.queued[e.Job.ID][e.Task.ID.Index] = true
		}
	case work.FinishEvent:
		delete(f.jobs, e.Job.ID)
	}
}

func (f *firstFit) Decide(time.Time, int) []work.Decision {
	var out []work.Decision
	free := map[string]work.Resources{}
	var names []string
	for n, r := range f.free {
		free[n] = r
		names = append(names, n)
	}
	slices.Sort(names)
	if f.rounds++; f.preempt > 0 && f.rounds%f.preempt == 0 {
		for id, token := range f.started {
			mode := []work.StopMode{work.StopCheckpoint, work.StopKill}[f.rounds/f.preempt%2]
			return []work.Decision{{Stops: []work.Stop{{Task: id, Token: token, Mode: mode}}}}
		}
	}
	for id, j := range f.jobs {
		var starts []work.Start
		for i := range f.queued[id] {
			for _, n := range names {
				if w := f.workers[n]; w != nil && !w.Gone && !w.Drained && j.Size.Fits(free[n]) {
					free[n] = free[n].Sub(j.Size)
					starts = append(starts, work.Start{Task: work.TaskID{Job: id, Index: i}, Worker: n, Boot: w.Boot, Reserved: j.Size})
					break
				}
			}
		}
		if len(starts) > 0 && (j.Class != work.Gang || len(starts) == len(j.Tasks)) {
			out = append(out, work.Decision{Starts: starts, Atomic: j.Class == work.Gang, Reason: "first fit"})
		}
	}
	return out
}

func (f *firstFit) Reject(work.Decision, string)           {}
func (f *firstFit) Report(string, []work.Usage, time.Time) {}
func (f *firstFit) Throttles(string) []control.Throttle    { return nil }
func (f *firstFit) Quarantined(string) bool                { return false }
func (f *firstFit) Explain(work.JobID, time.Time) string   { return "waits" }

func processors(n int64) work.Resources { return work.Resources{Processors: n} }

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// randomMillis returns a random duration of up to n milliseconds.
func randomMillis(r *rand.Rand, n int) time.Duration {
	return time.Duration(r.IntN(n+1)) * time.Millisecond
}
