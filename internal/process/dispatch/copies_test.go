package dispatch

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/boottime"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/version/codec"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

var copySeeds = flag.Int("copies.seeds", 6, "number of seeds of TestAnswersHoldForAllCopies")

const (
	copyTime = 40 * time.Second // of faults for each seed
	// cancelTime is the time after the acknowledgement of a cancellation from which on no
	// task of the job may start.
	cancelTime = 3 * time.Second
)

// heldNetwork connects processes. It holds what is sent to a process that is cut off or
// paused and delivers it afterwards, also if its sender has given up, and it loses answers.
type heldNetwork struct {
	handlers map[string]handlers

	mu     sync.Mutex
	random *rand.Rand
	held   map[string][]chan struct{} // by "from to" or by process; closed when the fault ends
	lossy  bool                       // half of the answers are lost
	traces map[string][]string        // by job; what happened to its copies
	copies sync.WaitGroup
}

// trace records what happened to a copy of a call.
func (n *heldNetwork) trace(from, to, method string, body []byte, format string, arguments ...any) {
	var relayed cell.Relay
	if method == cell.MethodRelay && codec.DecodeMessage(body, &relayed) == nil {
		method, body = relayed.Method, relayed.Body
	}
	var c cell.Call
	if method != cell.MethodCall || codec.DecodeMessage(body, &c) != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	id := strings.TrimPrefix(c.Path, "/q/")
	n.traces[id] = append(n.traces[id], fmt.Sprintf("%s %s to %s: verb %d, stamp %v, resent %t: ", time.Now().Format("05.000"), from, to, c.Verb, c.Stamp, c.Resent)+
		fmt.Sprintf(format, arguments...))
}

// hold cuts a link, given as "from to", or pauses a process, until the returned function is
// called.
func (n *heldNetwork) hold(what string) (release func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := make(chan struct{})
	n.held[what] = append(n.held[what], c)
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.held[what] = slices.DeleteFunc(n.held[what], func(o chan struct{}) bool { return o == c })
		close(c)
	}
}

// pass waits until nothing holds a message, and returns whether its answer is lost.
func (n *heldNetwork) pass(from, to string) bool {
	for {
		n.mu.Lock()
		holds := slices.Concat(n.held[from+" "+to], n.held[to])
		lost, delay := n.lossy && n.random.IntN(2) == 0, time.Duration(n.random.IntN(3000))*time.Microsecond
		n.mu.Unlock()
		if len(holds) == 0 {
			time.Sleep(delay)
			return lost
		}
		<-holds[0]
	}
}

// note records what happened to a job.
func (n *heldNetwork) note(id, format string, arguments ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.traces[id] = append(n.traces[id], time.Now().Format("05.000 ")+fmt.Sprintf(format, arguments...))
}

// endpoint is the peer.Caller of a process.
type endpoint struct {
	network *heldNetwork
	name    string
}

func (e endpoint) Call(ctx context.Context, to, method string, request, response any) error {
	body, err := codec.Encode(request)
	if err != nil {
		return err
	}
	type answer struct {
		body []byte
		err  error
	}
	done := make(chan answer, 1)
	deadline, _ := ctx.Deadline()
	waits := time.Until(deadline)
	e.network.copies.Go(func() {
		lost := e.network.pass(e.name, to)
		// Like a process that reads a request, it counts the caller's time from now on.
		inner, cancel := context.WithTimeout(context.Background(), waits)
		defer cancel()
		e.network.trace(e.name, to, method, body, "arrives")
		value, err := e.network.handlers[to][method](inner, e.name, func(into any) error { return codec.DecodeMessage(body, into) })
		e.network.trace(e.name, to, method, body, "answered %+v %v", value, err)
		a := answer{err: err}
		if err == nil {
			a.body, a.err = codec.Encode(value)
		}
		if lost || e.network.pass(to, e.name) {
			a = answer{err: peer.ErrUnknown}
		}
		done <- a
	})
	select {
	case a := <-done:
		if a.err != nil || response == nil {
			return a.err
		}
		return codec.DecodeMessage(a.body, response)
	case <-ctx.Done():
		return peer.ErrUnknown
	}
}

// copyRun is one run of callers against a leader under faults.
type copyRun struct {
	*testCluster
	network *heldNetwork
	links   []*cell.Link

	mu        sync.Mutex
	refused   map[string]bool // every attempt was refused
	cancelled map[string]time.Time
	started   map[string]time.Time // latest start
}

var copyEntries = []string{"one", "two", "three"}

// attempt submits a job through an entry process, which may read it late, and returns
// whether it was accepted and whether it was refused.
func (r *copyRun) attempt(entry int, id string, s job.Step) (accepted, refused bool) {
	arrived := boottime.Now()
	if entry == 0 {
		arrived = time.Time{} // this process does not notice its pauses
	}
	due := time.Now().Add(3 * time.Second)
	r.network.pass("caller", copyEntries[entry]) // it waits unread while the process is paused
	ctx, cancel := context.WithDeadline(context.Background(), due)
	defer cancel()
	v, err := r.links[entry].Call(ctx, cell.Call{
		Verb: cell.Submit, Host: "h", Path: "/q/" + id, Key: "k", Job: &job.Job{Steps: []job.Step{s}}, Arrived: arrived,
	})
	gone := time.Now().After(due) // the caller
	r.network.note(id, "caller of %s gets %+v %v, gone %t", copyEntries[entry], v, err, gone)
	return err == nil && v.Code == cell.OK && !gone, (err == nil && v.Code != cell.OK || err == cell.ErrNoLeader) && !gone
}

// changeQueues removes and adds the queue, so that copies of one submission meet either.
func (r *copyRun) changeQueues(end time.Time) {
	for version := uint64(2); time.Now().Before(end); version++ {
		prefix := "/q/"
		if version%2 == 0 {
			prefix = "/none/"
		}
		if t := r.term(); t != nil {
			t.apply(context.Background(), &job.Catalogue{
				Version: version, Pools: []job.Pool{{Name: "p"}}, Workspaces: []job.Workspace{{Name: "depot", Keys: []string{"k"}}},
				Queues: []job.Queue{{Name: "q", Host: "h", Prefix: prefix, Pool: "p", Priority: 1, Attempts: 3, Stretch: 4, Target: 3 * time.Second}},
			})
		}
		time.Sleep(time.Duration(100+rand.IntN(1500)) * time.Millisecond)
	}
}

// call is a caller: it submits a job, perhaps again, and perhaps cancels it.
func (r *copyRun) call(random *rand.Rand, id string) {
	// Most jobs are small. The estimates of the others are far too high, so that the leader
	// refuses further ones for a moment.
	s := tasks(40)
	if random.IntN(4) > 0 {
		s = tasks(1)
		s.Estimate = 20 * time.Millisecond
	}
	all, unclear := true, false
	for range 1 + random.IntN(3) {
		accepted, refused := r.attempt(random.IntN(len(r.links)), id, s)
		all = all && refused
		if accepted {
			break
		}
		unclear = !refused
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
	if all {
		r.mu.Lock()
		r.refused[id] = true
		r.mu.Unlock()
		return
	}
	if !unclear && random.IntN(3) > 0 {
		return
	}
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		v, err := r.links[random.IntN(len(r.links))].Call(ctx, cell.Call{Verb: cell.Cancel, Host: "h", Path: "/q/" + id, Key: "k"})
		cancel()
		if err == nil && (v.Code == cell.OK || v.Code == cell.NoJob) { // not one for the queue
			r.mu.Lock()
			r.cancelled[id] = time.Now()
			r.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// fault plays one fault: a cut between an entry process and the leader or all others, a
// pause of a process, or lost answers.
func (r *copyRun) fault(random *rand.Rand) {
	entry := copyEntries[random.IntN(len(copyEntries))]
	length := time.Duration(200+random.IntN(2500)) * time.Millisecond
	if random.IntN(4) == 0 {
		length += 4 * time.Second // longer than callers wait
	}
	var held []string
	switch random.IntN(5) {
	case 0:
		held = []string{entry + " me", "me " + entry}
	case 1:
		for _, o := range append([]string{"me"}, copyEntries...) {
			held = append(held, entry+" "+o, o+" "+entry)
		}
	case 2:
		held = []string{entry}
	case 3:
		length = min(length, 900*time.Millisecond)
		held = []string{"me"}
	case 4:
		r.network.setLossy(true)
		defer r.network.setLossy(false)
	}
	for _, w := range held {
		defer r.network.hold(w)()
	}
	time.Sleep(length)
}

// changeLeader ends the present term and starts the next one.
func (r *copyRun) changeLeader(term uint64) {
	r.log.set(false, term)
	time.Sleep(time.Duration(rand.IntN(800)) * time.Millisecond)
	r.log.set(true, term)
}

func (n *heldNetwork) setLossy(yes bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossy = yes
}

// violations returns the jobs that started although they were refused, or later than they
// may after they were cancelled.
func (r *copyRun) violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for id, at := range r.started {
		if r.refused[id] {
			list = append(list, "REFUSED "+id+"\n  "+strings.Join(r.network.traces[id], "\n  ")+"\n  started "+at.Format("05.000"))
		}
		if c := r.cancelled[id]; !c.IsZero() && at.Sub(c) > cancelTime {
			list = append(list, fmt.Sprintf("UNASKED %s %s after %s\n  %s", id, at.Sub(c), c.Format("05.000"), strings.Join(r.network.traces[id], "\n  ")))
		}
	}
	slices.Sort(list)
	return list
}

func playCopies(t *testing.T, seed uint64) (violations []string, refused, cancelled int) {
	r := &copyRun{
		testCluster: newTestCluster(t, "a"), refused: map[string]bool{}, cancelled: map[string]time.Time{}, started: map[string]time.Time{},
	}
	defer r.close()
	r.workers.mu.Lock()
	r.workers.runTime = 20 * time.Millisecond
	r.workers.onStart = func(_ string, o StartOrder) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.started[string(o.Task.Job)] = time.Now()
	}
	r.workers.mu.Unlock()
	r.network = &heldNetwork{handlers: map[string]handlers{"me": {}}, random: rand.New(rand.NewPCG(seed, 2)), held: map[string][]chan struct{}{}, traces: map[string][]string{}}
	r.leader.Register(r.network.handlers["me"])
	ctx, stop := context.WithCancel(context.Background())
	var running, calls sync.WaitGroup
	for _, name := range copyEntries {
		l := cell.New(cell.Options{Name: name, Seeds: []string{"me"}, Peer: endpoint{r.network, name}})
		r.network.handlers[name] = handlers{}
		l.Register(r.network.handlers[name])
		r.links = append(r.links, l)
	}
	for _, l := range r.links {
		running.Go(func() { _ = l.Run(ctx) }) // it has no error
	}
	time.Sleep(discoveryTime)
	end := time.Now().Add(copyTime)
	for i := range uint64(2) { // faults overlap
		running.Go(func() {
			random := rand.New(rand.NewPCG(seed, 4+i))
			for time.Now().Before(end) {
				r.fault(random)
				time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
			}
		})
	}
	running.Go(func() {
		for term := uint64(2); time.Now().Before(end); term++ {
			time.Sleep(time.Duration(1000+rand.IntN(8000)) * time.Millisecond)
			r.changeLeader(term)
		}
	})
	running.Go(func() { r.changeQueues(end) })
	random := rand.New(rand.NewPCG(seed, 3))
	for n := 0; time.Now().Before(end); n++ {
		own := rand.New(rand.NewPCG(seed, uint64(10+n)))
		calls.Go(func() { r.call(own, fmt.Sprintf("j%d", n)) })
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
	calls.Wait()
	time.Sleep(20 * time.Second)
	stop()
	running.Wait()
	r.network.copies.Wait()
	return r.violations(), len(r.refused), len(r.cancelled)
}

// Guards against answers that another copy of the call contradicts later: copies are held by
// partitions and paused processes, answers are lost, and leaders change (rules REFUSED and
// UNASKED).
func TestAnswersHoldForAllCopies(t *testing.T) {
	refused, cancelled := 0, 0
	for seed := range uint64(*copySeeds) {
		synctest.Test(t, func(t *testing.T) {
			violations, r, c := playCopies(t, seed)
			refused, cancelled = refused+r, cancelled+c
			if len(violations) > 0 {
				t.Errorf("seed %d: %s", seed, strings.Join(violations, "; "))
			}
		})
	}
	t.Logf("%d jobs were refused, %d cancelled", refused, cancelled)
	if refused < *copySeeds || cancelled < *copySeeds {
		t.Error("too few jobs were refused or cancelled")
	}
}
