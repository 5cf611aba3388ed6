package fit

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// trial returns the demand of a job whose tasks may have crashed their worker.
func trial(id job.ID, tasks int) *Demand {
	d := demand(id, 1, tasks, cores(2))
	d.Trial = true
	return d
}

// fill has n tasks run on a worker.
func fill(w *Worker, n int64) {
	w.Tenants, w.Free = int(n), w.Free.Sub(cores(n))
}

// Guards against work beside a trial: on the worker before it, in the same plan, and while
// it lasts.
func TestNothingStartsBesideATrial(t *testing.T) {
	is := is.New(t)
	workers := pool(2, cores(8))
	fill(workers[0], 1)
	one, other, more := trial("a", 2), trial("b", 1), demand("c", 1, 9, cores(1))
	p := Decide(now, []*Demand{one, other, more}, Cluster{Workers: workers})
	is.Equal(startsOf(p, one), 2)
	is.Equal(startsOf(p, other), 0)
	is.Equal(startsOf(p, more), 7)
	for _, s := range p.Starts {
		is.Equal(s.Worker == workers[1], s.Demand == one)
	}

	workers = pool(1, cores(8))
	fill(workers[0], 2)
	workers[0].Tried, workers[0].Trial = 2, "a"
	again, more := trial("a", 1), demand("c", 1, 1, cores(1))
	p = Decide(now, []*Demand{more, again}, Cluster{Workers: workers})
	is.Equal(startsOf(p, more), 0)
	is.Equal(startsOf(p, again), 1)

	workers[0].Trial = "" // the first has passed
	workers[0].Free = cores(4)
	p = Decide(now, []*Demand{trial("b", 1)}, Cluster{Workers: workers})
	is.Equal(len(p.Starts), 1)
}

// Guards against trials that take the whole pool, and against a task that is never tried
// because something runs on each worker.
func TestTrialsLeaveRoomAndComeToTheirTurn(t *testing.T) {
	is := is.New(t)
	workers := pool(24, cores(8))
	for _, w := range workers[:20] {
		fill(w, 8)
	}
	var demands []*Demand
	for _, id := range []job.ID{"a", "b", "c", "d"} {
		demands = append(demands, trial(id, 1))
	}
	p := Decide(now, demands, Cluster{Workers: workers})
	is.Equal(len(p.Starts), 24/leastShare) // less than a fifth is free

	workers = pool(2, cores(8))
	fill(workers[0], 3)
	fill(workers[1], 1)
	waiting := trial("a", 1)
	p = Decide(now, []*Demand{waiting}, Cluster{Workers: workers})
	is.Equal(len(p.Starts), 0)
	is.True(workers[1].reservedFor == waiting) // it becomes empty soonest
	waiting.Waited, workers[0].Settled = trialPatience, true
	p = Decide(now, []*Demand{waiting}, Cluster{Workers: workers})
	is.Equal(len(p.Starts), 1)
	is.Equal(p.Starts[0].Worker, workers[0])
}

// Guards against a trial that goes to a worker that crashed under it, where another one can run it, and
// against one that waits for others for good (rule LOST, review/13).
func TestTrialShunsWorkersThatCrashed(t *testing.T) {
	is := is.New(t)
	address := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80) }
	addressed := func(n int) []*Worker {
		workers := pool(n, cores(8))
		for i, w := range workers {
			w.Address = address(byte(i))
		}
		return workers
	}
	shunning := func(waited time.Duration) *Demand {
		d := trial("a", 1)
		d.Crashed, d.Waited = []netip.AddrPort{address(0)}, waited
		return d
	}
	workers := addressed(3)
	p := Decide(now, []*Demand{shunning(0)}, Cluster{Workers: workers})
	is.Equal(len(p.Starts), 1)
	is.True(p.Starts[0].Worker != workers[0])

	p = Decide(now, []*Demand{shunning(0)}, Cluster{Workers: addressed(1)})
	is.Equal(len(p.Starts), 1) // no other one

	for waited, starts := range map[time.Duration]int{0: 0, shunTime: 1} {
		workers = addressed(3)
		fill(workers[1], 8)
		fill(workers[2], 8)
		d := shunning(waited)
		p = Decide(now, []*Demand{d}, Cluster{Workers: workers})
		is.Equal(len(p.Starts), starts)
		is.True(workers[0].reservedFor == nil)
	}

	workers = addressed(3)
	bound := shunning(0)
	bound.Only = workers[0].ID
	p = Decide(now, []*Demand{bound}, Cluster{Workers: workers})
	is.Equal(len(p.Starts), 1)
}

// Guards against a pool in which nothing starts because one worker has shrunk below what
// runs on it: what it lacks counted against what the others have free (rule LOST).
func TestShrunkenWorkerTakesNothingFromOthers(t *testing.T) {
	is := is.New(t)
	workers := pool(2, cores(8))
	fill(workers[0], 8)
	workers[0].Capacity, workers[0].Free = cores(1), cores(-7)
	d := demand("a", 1, 1, cores(2))
	p := Decide(now, []*Demand{d}, Cluster{Workers: workers})
	is.Equal(startsOf(p, d), 1)
}

// Guards against tasks that probably crash their worker and keep others waiting, which only
// were beside them.
func TestLikelySuspectsComeLast(t *testing.T) {
	is := is.New(t)
	likely, beside := trial("a", 1), trial("b", 1)
	likely.Likely = true
	beside.Deadline, beside.Expiry = now.Add(-time.Minute), now.Add(-time.Second)
	p := Decide(now, []*Demand{likely, beside}, Cluster{Workers: pool(1, cores(8))})
	is.Equal(startsOf(p, beside), 1)
	is.Equal(startsOf(p, likely), 0)
}

// Guards against work of all kinds on workers that the tasks of one queue crash.
func TestRiskyWorkIsKeptApart(t *testing.T) {
	is := is.New(t)
	workers := pool(3, cores(8))
	fill(workers[0], 1)
	workers[0].Risky = 1
	fill(workers[1], 1)
	risky, other := demand("a", 1, 2, cores(2)), demand("b", 1, 2, cores(2))
	risky.Risky = true
	p := Decide(now, []*Demand{risky, other}, Cluster{Workers: workers})
	for _, s := range p.Starts {
		want := workers[1]
		if s.Demand == risky {
			want = workers[0]
		}
		is.Equal(s.Worker, want)
	}
	full := demand("c", 1, 6, cores(2)) // where there is no other room, they mix
	p = Decide(now, []*Demand{full}, Cluster{Workers: workers})
	is.Equal(len(p.Starts), 6)
	is.Equal(workers[0].Free, cores(1))
}

// Guards against a trial that never finds room and takes the only place for trials from all others
// (issue 46).
func TestTrialWithoutRoomLeavesItsPlace(t *testing.T) {
	is := is.New(t)
	for _, waited := range []time.Duration{0, trialTurn} {
		workers := pool(2, cores(8))
		fill(workers[0], 7)
		fill(workers[1], 7)
		wide, other := trial("a", 1), trial("b", 1)
		other.Spec.Size = cores(1)
		wide.Waited, other.Waited = waited, trialPatience
		workers[0].Settled = true
		p := Decide(now, []*Demand{wide, other}, Cluster{Workers: workers})
		is.Equal(startsOf(p, wide), 0)
		is.Equal(startsOf(p, other), int(waited/trialTurn))
	}
}
