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

// relay is an entry VM that passes on polls.
type relay struct {
	c        *cluster
	name     string
	sequence uint64
	mu       sync.Mutex
	waiting  map[string]waiting // latest poll by worker
}

// waiting is a poll that waits for the leader.
type waiting struct {
	report control.WorkerReport
	answer func(control.WorkerOrders)
}

// renew sends a renewal to the replica.
func (e *relay) renew(i int, r control.Renewal, late, answerLate time.Duration) (*control.Grant, error) {
	e.sequence++
	r.Entry, r.Boot, r.Sequence = e.name, 1, e.sequence
	return call[control.Grant](e.c.replicas[i], control.MethodRenew, e.name, r, late, answerLate)
}

// poll passes on a poll and returns the orders for it, or nil.
func (e *relay) poll(i int, r control.WorkerReport) *control.WorkerOrders {
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

// run passes on polls, which repeat until they are answered, and now and then
// asks a replica that does not lead any more or gives a late renewal up.
func (e *relay) run(f *fleet, random *rand.Rand, stop <-chan struct{}) {
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
			i = random.IntN(len(e.c.replicas))
		}
		late := millis(random, 5)
		if random.IntN(10) == 0 {
			late = millis(random, 800)
		}
		g, err := e.renew(i, r, late, millis(random, 5))
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

// machine is a worker VM. It keeps to the rules for workers: it stops its tasks
// when its lease ends, ignores answers to all but its latest poll, and repeats
// ends until they are acknowledged.
type machine struct {
	f        *fleet
	shape    work.Worker
	sequence uint64
	lease    time.Time
	running  map[work.TaskID]work.Token
	latest   map[work.TaskID]work.Token
	ended    []work.End
	cut      time.Time // no polls get through until then
	epoch    int       // grows with each boot
	echo     uint64
}

// fleet is a set of workers that polls through two entry VMs.
type fleet struct {
	c        *cluster
	random   *rand.Rand
	relays   []*relay
	machines []*machine
	leader   atomic.Int32
	stop     chan struct{}

	mu     sync.Mutex
	ran    int // runs that ended well
	copies map[work.TaskID]string
}

func newFleet(c *cluster, seed uint64, n int) *fleet {
	f := &fleet{c: c, random: source(seed), stop: make(chan struct{}), copies: map[work.TaskID]string{}}
	c.do(state.Command{Team: &state.TeamChange{Team: work.Team{Name: "a", Weight: 1}}})
	c.do(state.Command{Entry: &state.EntryChange{Entry: work.Entry{Name: "batch", Owner: "a", Class: work.Batch}}})
	c.do(state.Command{Entry: &state.EntryChange{Entry: work.Entry{Name: "gang", Owner: "a", Class: work.Gang}}})
	for i := range 2 {
		e := &relay{c: c, name: fmt.Sprint("entry-", i), waiting: map[string]waiting{}}
		f.relays = append(f.relays, e)
		c.done.Go(func() { e.run(f, source(seed+uint64(i)), f.stop) })
	}
	for i := range n {
		m := &machine{f: f, shape: work.Worker{Name: fmt.Sprint("w", i), Boot: 1, Capacity: size(4)}}
		m.boot(1)
		f.machines = append(f.machines, m)
	}
	return f
}

func (m *machine) boot(number uint64) {
	m.clear()
	m.shape.Boot, m.sequence, m.ended, m.lease, m.echo = number, 0, nil, time.Time{}, 0
	m.running, m.latest = map[work.TaskID]work.Token{}, map[work.TaskID]work.Token{}
	m.epoch++
}

// clear stops all tasks.
func (m *machine) clear() {
	for _, id := range m.tasks() {
		m.finish(id, m.running[id], work.OutcomeStopped)
	}
}

func (m *machine) finish(id work.TaskID, token work.Token, o work.Outcome) {
	if m.running[id] != token {
		return
	}
	delete(m.running, id)
	delete(m.f.copies, id)
	m.ended = append(m.ended, work.End{Task: id, Token: token, Outcome: o})
}

// tasks returns what runs, in a fixed order.
func (m *machine) tasks() []work.TaskID {
	return slices.SortedFunc(maps.Keys(m.running), func(a, b work.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
}

// report builds the next poll.
func (m *machine) report() control.WorkerReport {
	m.sequence++
	r := control.WorkerReport{Worker: m.shape, Sequence: m.sequence, Echo: m.echo, Ended: append([]work.End(nil), m.ended...)}
	for _, id := range m.tasks() {
		r.Running = append(r.Running, work.Usage{Task: id, Token: m.running[id]})
	}
	return r
}

// obey carries out the orders that answer the poll sent at the given time.
func (m *machine) obey(o *control.WorkerOrders, sequence uint64, sent time.Time) {
	if o.Rejoin {
		m.echo = o.Challenge
	}
	if sequence != m.sequence || o.Boot != m.shape.Boot || o.Acknowledged < sequence || !time.Now().Before(sent.Add(leaseTime)) {
		return
	}
	m.lease = sent.Add(leaseTime)
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
		m.finish(s.Task, s.Token, o)
	}
}

func (m *machine) start(id work.TaskID, token work.Token) {
	if token <= m.latest[id] {
		return
	}
	m.latest[id] = token
	if other, twice := m.f.copies[id]; twice {
		m.f.c.t.Errorf("I2: task %v runs on %s and %s", id, other, m.shape.Name)
	}
	m.f.copies[id], m.running[id] = m.shape.Name, token
}

// step lets 100 ms pass for every worker.
func (f *fleet) step() {
	time.Sleep(100 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, m := range f.machines {
		if !now.Before(m.lease) {
			m.clear()
		}
		for _, id := range m.tasks() {
			token := m.running[id]
			if f.random.IntN(60) == 0 {
				m.finish(id, token, work.OutcomeSucceeded)
				f.ran++
			}
		}
		if f.random.IntN(10) == 0 && now.After(m.cut) {
			f.poll(m)
		}
	}
}

// poll sends a poll by one of the entry VMs. Now and then it or its answer is
// late, so that it meets later polls or a lease that is over.
func (f *fleet) poll(m *machine) {
	r, epoch, sent := m.report(), m.epoch, time.Now()
	e := f.relays[f.random.IntN(len(f.relays))]
	late, answerLate := time.Duration(0), millis(f.random, 90)
	if f.random.IntN(6) == 0 {
		late, answerLate = millis(f.random, 20_000), millis(f.random, 20_000)
	}
	f.c.done.Go(func() {
		time.Sleep(late)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.waiting[m.shape.Name] = waiting{r, func(o control.WorkerOrders) {
			f.c.done.Go(func() {
				time.Sleep(answerLate)
				f.mu.Lock()
				defer f.mu.Unlock()
				if epoch == m.epoch {
					m.obey(&o, r.Sequence, sent)
				}
			})
		}}
	})
}

// Guards against a task that runs in two places (I2) while workers are cut off
// and boot, polls and answers are late and out of order, and the leader changes
// or is paused.
func TestNoTaskRunsInTwoPlaces(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				defer c.close()
				c.mu.Lock()
				c.preempt = 20 // from the second term on
				c.mu.Unlock()
				f := newFleet(c, seed, 6)
				defer close(f.stop)
				for range 3000 { // 300 s
					f.disturb()
					f.step()
				}
				if f.ran < 200 {
					t.Errorf("only %d tasks ran", f.ran)
				}
			})
		})
	}
}

// disturb submits work and breaks something now and then.
func (f *fleet) disturb() {
	random := f.random
	if random.IntN(10) == 0 {
		j := work.Job{Entry: []string{"batch", "gang"}[random.IntN(2)], Team: "a", Size: size(1)}
		r := f.c.do(state.Command{Submit: &state.Submit{Job: j, Count: uint32(1 + random.IntN(4))}})
		if random.IntN(4) == 0 {
			f.c.do(state.Command{Cancel: &state.Cancel{Jobs: []work.JobID{r.Job}}})
		}
	}
	m := f.machines[random.IntN(len(f.machines))]
	leader := int(f.leader.Load())
	switch random.IntN(150) {
	case 0:
		m.cut = time.Now().Add(millis(random, 40_000))
	case 1:
		f.mu.Lock()
		m.boot(m.shape.Boot + 1)
		f.mu.Unlock()
	case 2:
		next := (leader + 1) % len(f.c.replicas)
		f.c.part(leader, next)
		f.leader.Store(int32(next))
	case 3:
		for i := range f.c.replicas {
			f.c.heal(i)
		}
	case 4:
		f.c.mu.Lock()
		f.c.replicas[leader].pause = millis(random, 5_000)
		f.c.mu.Unlock()
	case 5:
		f.c.mu.Lock()
		f.c.stuck = !f.c.stuck
		f.c.mu.Unlock()
		f.step()
		f.step()
		f.c.mu.Lock()
		f.c.stuck = false
		f.c.mu.Unlock()
	}
}
