package leader

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// pollRelay is an entry VM that forwards polls.
type pollRelay struct {
	cluster  *cluster
	name     string
	sequence uint64
	mu       sync.Mutex
	waiting  map[string]waitingPoll // latest poll by worker
}

// waitingPoll is a poll that waits for the leader's answer.
type waitingPoll struct {
	report control.WorkerReport
	answer func(control.WorkerOrders)
}

// renew sends a renewal to a replica.
func (e *pollRelay) renew(i int, r control.Renewal, requestDelay, answerDelay time.Duration) (*control.Grant, error) {
	e.sequence++
	r.Entry, r.Boot, r.Sequence = e.name, 1, e.sequence
	return call[control.Grant](e.cluster.replicas[i], control.MethodRenew, e.name, r, requestDelay, answerDelay)
}

// poll forwards a poll and returns the orders that answer it, or nil.
func (e *pollRelay) poll(i int, r control.WorkerReport) *control.WorkerOrders {
	g, err := e.renew(i, control.Renewal{Workers: []control.WorkerReport{r}}, 0, 0)
	if err != nil {
		return nil
	}
	for k := range g.Workers {
		if g.Workers[k].Worker == r.Worker.Name {
			return &g.Workers[k]
		}
	}
	return nil
}

// run forwards polls, each repeatedly until it is answered. Sometimes it asks a
// replica that no longer leads, or a renewal is so late that it times out.
func (e *pollRelay) run(f *fleet, random *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		var r control.Renewal
		e.mu.Lock()
		for _, w := range e.waiting {
			r.Workers = append(r.Workers, w.report)
		}
		e.mu.Unlock()
		i := int(f.leader.Load())
		if random.IntN(5) == 0 {
			i = random.IntN(len(e.cluster.replicas))
		}
		requestDelay := randomMillis(random, 5)
		if random.IntN(10) == 0 {
			requestDelay = randomMillis(random, 800)
		}
		g, err := e.renew(i, r, requestDelay, randomMillis(random, 5))
		if err != nil {
			continue
		}
		e.mu.Lock()
		for _, o := range g.Workers {
			if w, ok := e.waiting[o.Worker]; ok && (o.Rejoin || w.report.Sequence <= o.Acknowledged) && w.report.Worker.Boot == o.Boot {
				delete(e.waiting, o.Worker)
				w.answer(o)
			}
		}
		e.mu.Unlock()
	}
}

// testWorker simulates a worker that follows the rules: it stops its tasks when
// its lease ends, ignores answers to all but its latest poll, and repeats ends
// until they are acknowledged.
type testWorker struct {
	fleet         *fleet
	shape         work.Worker
	sequence      uint64
	lease         time.Time
	running       map[work.TaskID]work.Token
	latest        map[work.TaskID]work.Token
	ended         []work.End
	silent        map[work.TaskID]work.Token // runs that it neither reports nor stops by order
	isolatedUntil time.Time                  // no polls get through until then
	epoch         int                        // incremented with each boot
	echo          uint64
}

// fleet is a set of workers that poll through two entry VMs.
type fleet struct {
	cluster *cluster
	random  *rand.Rand
	relays  []*pollRelay
	workers []*testWorker
	leader  atomic.Int32
	stop    chan struct{}

	mu        sync.Mutex
	succeeded int                    // runs that succeeded
	silence   *rand.Rand             // decides which starts are not reported; nil for none
	runningOn map[work.TaskID]string // worker by running task
}

func newFleet(c *cluster, seed uint64, n int) *fleet {
	f := &fleet{cluster: c, random: newRand(seed), stop: make(chan struct{}), runningOn: map[work.TaskID]string{}}
	c.mustApply(state.Command{Team: &state.TeamChange{Team: work.Team{Name: "a", Weight: 1}}})
	c.mustApply(state.Command{Entry: &state.EntryChange{Entry: work.Entry{Name: "batch", Owner: "a", Class: work.Batch}}})
	c.mustApply(state.Command{Entry: &state.EntryChange{Entry: work.Entry{Name: "gang", Owner: "a", Class: work.Gang}}})
	for i := range 2 {
		e := &pollRelay{cluster: c, name: fmt.Sprint("entry-", i), waiting: map[string]waitingPoll{}}
		f.relays = append(f.relays, e)
		c.done.Go(func() { e.run(f, newRand(seed+uint64(i)), f.stop) })
	}
	for i := range n {
		m := &testWorker{fleet: f, shape: work.Worker{Name: fmt.Sprint("w", i), Boot: 1, Capacity: processors(4)}}
		m.boot(1)
		f.workers = append(f.workers, m)
	}
	return f
}

func (m *testWorker) boot(number uint64) {
	m.stopTasks()
	m.shape.Boot, m.sequence, m.ended, m.lease, m.echo = number, 0, nil, time.Time{}, 0
	m.running, m.latest = map[work.TaskID]work.Token{}, map[work.TaskID]work.Token{}
	m.silent = map[work.TaskID]work.Token{}
	m.epoch++
}

// stopTasks stops all tasks.
func (m *testWorker) stopTasks() {
	for _, id := range m.sortedTasks() {
		m.finish(id, m.running[id], work.OutcomeStopped)
	}
}

func (m *testWorker) finish(id work.TaskID, token work.Token, o work.Outcome) {
	if m.running[id] != token {
		return
	}
	delete(m.running, id)
	delete(m.fleet.runningOn, id)
	if m.silent[id] != token {
		m.ended = append(m.ended, work.End{Task: id, Token: token, Outcome: o})
	}
}

// sortedTasks returns the running tasks in sorted order.
func (m *testWorker) sortedTasks() []work.TaskID {
	return slices.SortedFunc(maps.Keys(m.running), func(a, b work.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
}

// report builds the next poll.
func (m *testWorker) report() control.WorkerReport {
	m.sequence++
	r := control.WorkerReport{Worker: m.shape, Sequence: m.sequence, Echo: m.echo, Ended: append([]work.End(nil), m.ended...)}
	for _, id := range m.sortedTasks() {
		if m.silent[id] != m.running[id] {
			r.Running = append(r.Running, work.Usage{Task: id, Token: m.running[id]})
		}
	}
	return r
}

// applyOrders carries out the orders that answer the poll sent at the given time.
func (m *testWorker) applyOrders(o *control.WorkerOrders, sequence uint64, sent time.Time) {
	if o.Rejoin {
		m.echo = o.Challenge
	}
	if sequence != m.sequence || o.Boot != m.shape.Boot || o.Acknowledged < sequence || !time.Now().Before(sent.Add(leaseDuration)) {
		return
	}
	m.lease = sent.Add(leaseDuration)
	for _, e := range o.Ended {
		for i := range m.ended {
			if m.ended[i] == e {
				m.ended = append(m.ended[:i], m.ended[i+1:]...)
				break
			}
		}
	}
	for _, s := range o.Starts {
		m.start(s.Task, s.Token)
	}
	for _, s := range o.Stops {
		o := work.OutcomeStopped
		if s.Mode == work.StopCheckpoint {
			o = work.OutcomeCheckpointed
		}
		if m.silent[s.Task] != s.Token {
			m.finish(s.Task, s.Token, o)
		}
	}
}

func (m *testWorker) start(id work.TaskID, token work.Token) {
	if token <= m.latest[id] {
		return
	}
	m.latest[id] = token
	if other, twice := m.fleet.runningOn[id]; twice {
		m.fleet.cluster.t.Errorf("I2: task %v runs on %s and %s", id, other, m.shape.Name)
	}
	m.fleet.runningOn[id], m.running[id] = m.shape.Name, token
	if r := m.fleet.silence; r != nil && r.IntN(40) == 0 {
		m.silent[id] = token
	}
}

// step advances the time of every worker by 100 ms.
func (f *fleet) step() {
	time.Sleep(100 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, m := range f.workers {
		if !now.Before(m.lease) {
			m.stopTasks()
		}
		for _, id := range m.sortedTasks() {
			token := m.running[id]
			if f.random.IntN(60) == 0 {
				m.finish(id, token, work.OutcomeSucceeded)
				f.succeeded++
			}
		}
		if f.random.IntN(10) == 0 && now.After(m.isolatedUntil) {
			f.poll(m)
		}
	}
}

// poll sends a poll through one of the entry VMs. Sometimes the poll or its answer
// is so late that it arrives after later polls or after the lease has expired.
func (f *fleet) poll(m *testWorker) {
	r, epoch, sent := m.report(), m.epoch, time.Now()
	e := f.relays[f.random.IntN(len(f.relays))]
	requestDelay, answerDelay := time.Duration(0), randomMillis(f.random, 90)
	if f.random.IntN(6) == 0 {
		requestDelay, answerDelay = randomMillis(f.random, 20_000), randomMillis(f.random, 20_000)
	}
	f.cluster.done.Go(func() {
		time.Sleep(requestDelay)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.waiting[m.shape.Name] = waitingPoll{r, func(o control.WorkerOrders) {
			f.cluster.done.Go(func() {
				time.Sleep(answerDelay)
				f.mu.Lock()
				defer f.mu.Unlock()
				if epoch == m.epoch {
					m.applyOrders(&o, r.Sequence, sent)
				}
			})
		}}
	})
}

// Guards against a task that runs in two places (I2) while workers are isolated
// and restarted, polls and answers are delayed and reordered, and the leader
// changes or is paused. From seed 5 on, workers do not report some of their runs.
func TestNoTaskRunsInTwoPlaces(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				defer c.close()
				c.mu.Lock()
				c.preempt = 20 // from the second term on
				c.mu.Unlock()
				f := newFleet(c, seed, 6)
				if seed >= 5 {
					f.silence = newRand(seed + 100)
				}
				defer close(f.stop)
				for range 3000 { // 300 s
					f.injectFault()
					f.step()
				}
				if f.succeeded < 200 {
					t.Errorf("only %d runs succeeded", f.succeeded)
				}
			})
		})
	}
}

// injectFault submits or cancels work, and sometimes injects a fault.
func (f *fleet) injectFault() {
	random := f.random
	if random.IntN(10) == 0 {
		j := work.Job{Entry: []string{"batch", "gang"}[random.IntN(2)], Team: "a", Size: processors(1)}
		r := f.cluster.mustApply(state.Command{Submit: &state.Submit{Job: j, Count: uint32(1 + random.IntN(4))}})
		if random.IntN(4) == 0 {
			f.cluster.mustApply(state.Command{Cancel: &state.Cancel{Jobs: []work.JobID{r.Job}}})
		}
	}
	m := f.workers[random.IntN(len(f.workers))]
	leader := int(f.leader.Load())
	switch random.IntN(150) {
	case 0:
		m.isolatedUntil = time.Now().Add(randomMillis(random, 40_000))
	case 1:
		f.mu.Lock()
		m.boot(m.shape.Boot + 1)
		f.mu.Unlock()
	case 2:
		next := (leader + 1) % len(f.cluster.replicas)
		f.cluster.isolate(leader, next)
		f.leader.Store(int32(next))
	case 3:
		for i := range f.cluster.replicas {
			f.cluster.heal(i)
		}
	case 4:
		f.cluster.mu.Lock()
		f.cluster.replicas[leader].clockPause = randomMillis(random, 5_000)
		f.cluster.mu.Unlock()
	case 5:
		f.cluster.mu.Lock()
		f.cluster.blockCommits = !f.cluster.blockCommits
		f.cluster.mu.Unlock()
		f.step()
		f.step()
		f.cluster.mu.Lock()
		f.cluster.blockCommits = false
		f.cluster.mu.Unlock()
	}
}
