package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/version/raft"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Guards against a term in which nothing commits any more, and no cancellation takes
// effect, because the input of one round is larger than an entry of the log may be: a
// third of 30,000 runs ends at once with an availability zone (rules LOST, UNASKED).
func TestLargeInputIsSplitIntoRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		current := b.term()
		current.mu.Lock()
		for i := range 10_000 {
			id := job.TaskID{Job: "5c0e7a21d94b36f8", Index: i}
			current.inbox.ends = append(current.inbox.ends,
				job.End{Task: id, Run: 1, Worker: "i-7f3a91c2", Life: 1_796_395_000_000, Outcome: job.Lost, Saved: "00000bb87a21d94b"})
		}
		current.mu.Unlock()
		current.signal()
		time.Sleep(100 * time.Millisecond)
		b.submit("one", tasks(2))
		time.Sleep(4 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// tiny returns a step of many small tasks.
func tiny(count int) job.Step {
	return job.Step{Count: count, Size: work.Resources{Processors: 1, Memory: 1 << 10}, Estimate: 300 * time.Millisecond}
}

// roomy starts a cluster with room for as many small tasks as a job may have.
func roomy(t *testing.T) *testCluster {
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprintf("i-7f3a91c2%02d", i))
	}
	b := newTestCluster(t, names...)
	for _, name := range names {
		b.resize(name, 900)
	}
	b.workers.setRunTime(300 * time.Millisecond)
	return b
}

// Guards against a submission that stops the whole cell, because the starts of one of its steps are larger
// than a command of the log (rule LOST, issue 53).
func TestWideStepHoldsUpNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := roomy(t)
		defer b.close()
		b.submit("5c0e7a21d94b36f8", tiny(16_000))
		for i := range 10 {
			id := fmt.Sprintf("small-%d", i)
			b.submit(id, tiny(2))
			time.Sleep(time.Second)
			b.is.Equal(b.status(id), job.Completed)
		}
		b.submit("c4ce11ed00000000", tiny(4000))
		time.Sleep(50 * time.Millisecond)
		b.cancel("c4ce11ed00000000")
		time.Sleep(20 * time.Second)
		b.is.Equal(b.status("5c0e7a21d94b36f8"), job.Completed)
		b.is.Equal(b.running(), 0)
	})
}

// Guards against a gang that is accepted and can never start, and against one that is refused although a
// round has room for it.
func TestLargestGangStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := roomy(t)
		defer b.close()
		most := (raft.MaxCommand - roundReserve) / (startSize + len("gang") + minNameRoom)
		gang := tiny(most + 1)
		gang.Gang = true
		v, _ := b.term().call(context.Background(), &cell.Call{Verb: cell.Submit, Host: "h", Path: "/q/gang", Key: "k", Job: &job.Job{Steps: []job.Step{gang}}})
		b.is.Equal(v.Code, cell.Invalid)
		b.is.True(strings.Contains(v.Message, fmt.Sprintf("larger than %d", most)))
		gang.Count--
		b.submit("gang", gang)
		for i := range 5 {
			b.submit(fmt.Sprintf("small-%d", i), tiny(2))
			time.Sleep(time.Second)
		}
		b.is.Equal(b.status("gang"), job.Completed)
		b.is.Equal(b.status("small-4"), job.Completed)
	})
}

// Guards against a round that the log refuses and that is built again as it was (rule LOST, issue 53): input and
// starts up to ten times the size of a command.
func TestRoundsOfAnySizeAreCommitted(t *testing.T) {
	for seed := range uint64(2) {
		synctest.Test(t, func(t *testing.T) {
			is, random := is.New(t), rand.New(rand.NewPCG(seed, 53))
			b := roomy(t)
			defer b.close()
			for i := range 3 {
				b.submit(fmt.Sprint("wide-", i), tiny(500+random.IntN(1000)))
			}
			current := b.term()
			text := func() string { return strings.Repeat("x", random.IntN(256)) }
			var waiters []<-chan bool
			for size := 0; size < 10*raft.MaxCommand; {
				name := fmt.Sprint(size, text())
				current.mu.Lock()
				waiters = append(waiters, current.enqueue(func(n *inbox) {
					switch random.IntN(4) {
					case 0:
						n.ends = append(n.ends, job.End{Task: job.TaskID{Job: job.ID(name)}, Run: 1, Worker: text(), Saved: strings.Repeat("s", random.IntN(4000))})
					case 1:
						n.orphans = append(n.orphans, job.Start{Task: job.TaskID{Job: job.ID(name)}, Run: 1, Worker: text()})
					case 2:
						n.submits = append(n.submits, job.Job{ID: job.ID(name[:min(len(name), 100)]), Host: "h", Prefix: "/q/", Payload: strings.Repeat("p", random.IntN(4000)), Steps: []job.Step{tiny(1)}})
					case 3:
						n.lost = append(n.lost, job.PoolCrash{Pool: text(), Suspects: make([]job.ID, random.IntN(200))})
					}
				}))
				current.mu.Unlock()
				size += 1000
			}
			time.Sleep(time.Minute)
			for _, c := range waiters {
				is.True(<-c)
			}
			for i := range 3 {
				is.Equal(b.status(fmt.Sprint("wide-", i)), job.Completed)
			}
		})
	}
}

// Guards against a round that is built again as it was although it is larger than estimated, and against
// rounds that stay small afterwards.
func TestUnderestimatedRoundIsSplit(t *testing.T) {
	is := is.New(t)
	current := &term{wake: make(chan struct{}, 1), limits: fullRound, dispatcher: &Dispatcher{}}
	c := make(chan bool, 1)
	in := inbox{cancels: []job.ID{"one", "two"}, waiters: []chan bool{c}}
	for range 40 {
		before := current.limits
		current.split(in)
		if len(current.inbox.cancels) == 0 {
			break
		}
		is.True(current.limits.input < before.input || before.input == 1)
		is.Equal(len(c), 0)
		in, _ = current.inbox.take(current.limits.input)
		in.waiters = append(in.waiters, current.inbox.waiters...)
		current.inbox = inbox{}
	}
	is.Equal(len(current.inbox.cancels), 0)
	is.Equal(<-c, false)
}

// Guards against a wide step that takes a whole round, and against members of a gang that are
// separated.
func TestRoundIsSharedByItsSteps(t *testing.T) {
	is := is.New(t)
	w := &fit.Worker{Worker: job.Worker{ID: "a"}}
	var plan []fit.Start
	add := func(id job.ID, n int, gang bool) {
		d := &fit.Demand{Step: job.StepID{Job: id}, Spec: &job.Step{Gang: gang}}
		for i := range n {
			plan = append(plan, fit.Start{Demand: d, Index: i, Worker: w})
		}
	}
	count := func(starts []fit.Start) map[job.ID]int {
		n := map[job.ID]int{}
		for _, s := range starts {
			n[s.Demand.Step.Job]++
		}
		return n
	}
	add("wide", 5000, false)
	add("small", 10, false)
	add("gang", 500, true)
	starts, left := trim(plan, fullRound, raft.MaxCommand)
	is.Equal(left, job.StepID{})
	is.Equal(count(starts)["small"], 10)
	is.Equal(count(starts)["gang"], 500)
	is.True(count(starts)["wide"] >= 100)
	is.True(len(starts) <= maxRoundStarts)
	starts, left = trim(plan, fullRound, 1000)
	is.Equal(left.Job, job.ID("gang"))
	is.Equal(count(starts)["gang"], 0)
	starts, _ = trim(plan, roundLimits{starts: maxRoundStarts, gang: left}, 500*(startSize+5))
	is.Equal(count(starts)["gang"], 500)
}
