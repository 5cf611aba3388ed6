package fit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// kind is a kind of job in a replayed load.
type kind struct {
	name     string
	priority int
	tasks    int
	size     work.Resources
	runs     time.Duration // of a task
	stretch  float64
	target   time.Duration
	rate     float64 // jobs a second
	burst    float64 // times the rate from the 5th to the 9th second
	good     float64 // share of workers that the advice allows; zero if not advised
	answer   time.Duration
	gang     bool
	saves    bool             // its tasks may make way
	sizes    []work.Resources // one of them for each job, in place of size
	widest   int              // tasks of a job vary between one and this, in place of tasks
}

// arrival is a job of a replay.
type arrival struct {
	*Demand
	kind    *kind
	at      time.Time
	left    int
	running map[int]bool
	over    map[int]bool          // tasks that are done
	rest    map[int]time.Duration // run time that is left of tasks that made way
	done    time.Time
	allowed map[string]bool
	answer  time.Time // of the question under way
	asked   []string
}

// finish is the end of a task.
type finish struct {
	at     time.Time
	job    *arrival
	index  int
	worker *Worker
	stop   bool // makes way at the given time, and goes on elsewhere
}

// stopTime and restoreTime are what a run that makes way takes to end and to go on.
const (
	stopTime    = 500 * time.Millisecond
	restoreTime = 100 * time.Millisecond
)

// replay plays a load in virtual time, steps of 20 ms, and returns the share of
// jobs that were in time, by kind.
func replay(workers []*Worker, kinds []kind, spare func(kinds map[string]work.Resources) work.Resources) map[string]float64 {
	random := rand.New(rand.NewPCG(5, 11))
	var jobs []*arrival
	var ends []finish
	total, inTime := map[string]int{}, map[string]int{}
	for step := 0; step < 40*50; step++ {
		at := now.Add(time.Duration(step) * 20 * time.Millisecond)
		second := float64(step) / 50
		for i := range kinds {
			k := &kinds[i]
			rate := k.rate
			if second >= 5 && second < 9 && k.burst > 0 {
				rate *= k.burst
			}
			if second < 25 && random.Float64() < rate/50 {
				jobs = append(jobs, arrive(k, at, len(jobs), workers, random))
				total[k.name]++
			}
		}
		ends = slices.DeleteFunc(ends, func(f finish) bool { return finished(f, at) })
		ends = append(ends, placeAll(workers, jobs, ends, at, spare)...)
	}
	for _, j := range jobs {
		if j.left == 0 && !j.done.After(j.Late) {
			inTime[j.kind.name]++
		}
	}
	shares := map[string]float64{}
	for name, n := range total {
		shares[name] = float64(inTime[name]) / float64(n)
	}
	return shares
}

func arrive(k *kind, at time.Time, number int, workers []*Worker, random *rand.Rand) *arrival {
	tasks, size := k.tasks, k.size
	if k.widest > 0 {
		tasks = 1 + random.IntN(k.widest)
	}
	if len(k.sizes) > 0 {
		size = k.sizes[random.IntN(len(k.sizes))]
	}
	d := demand(job.ID(fmt.Sprintf("%s-%d", k.name, number)), k.priority, tasks, size)
	d.Spec.Gang = k.gang
	d.Order = uint64(number)
	d.Spec.Checkpoints = k.saves
	length := time.Duration(k.stretch*float64(k.runs)) + k.target
	d.Late, d.Useless = at.Add(length), at.Add(3*length)
	j := &arrival{Demand: d, kind: k, at: at, left: tasks, running: map[int]bool{}, over: map[int]bool{}, rest: map[int]time.Duration{}, allowed: map[string]bool{}}
	if k.good > 0 {
		advised(d, map[string]Answer{})
		d.Slow = k.answer
		for _, w := range workers {
			j.allowed[w.ID] = random.Float64() < k.good
		}
		j.allowed[workers[random.IntN(len(workers))].ID] = true
	}
	return j
}

func finished(f finish, at time.Time) bool {
	if f.at.After(at) {
		return false
	}
	f.worker.Free = f.worker.Free.Add(f.job.Spec.Size)
	delete(f.job.running, f.index)
	f.job.Placed[f.worker.ID]--
	if f.stop {
		return true
	}
	f.job.left--
	f.job.over[f.index] = true
	f.job.done = at
	return true
}

// placeAll runs one round of decisions and returns the ends of what it started.
func placeAll(workers []*Worker, jobs []*arrival, ends []finish, at time.Time, spare func(map[string]work.Resources) work.Resources) []finish {
	use := map[string]work.Resources{}
	byDemand := map[*Demand]*arrival{}
	var demands []*Demand
	for _, j := range jobs {
		for range j.running {
			use[j.kind.name] = use[j.kind.name].Add(j.Spec.Size)
		}
		if j.left == 0 || len(j.running) == j.left {
			continue
		}
		if !j.answer.IsZero() && !at.Before(j.answer) {
			for _, w := range j.asked {
				j.Advice.Answers[w] = Answer{Good: j.allowed[w], Ticket: "t", Expiry: at.Add(1500 * time.Millisecond)}
			}
			j.answer, j.Advice.Asking = time.Time{}, false
		}
		j.Tasks = j.Tasks[:0]
		for i := range j.Spec.Count {
			if _, stopped := j.rest[i]; !j.running[i] && (!j.over[i] || stopped) {
				j.Tasks = append(j.Tasks, i)
			}
		}
		j.Waited = at.Sub(j.at)
		demands = append(demands, j.Demand)
		byDemand[j.Demand] = j
	}
	for _, w := range workers {
		w.held, w.Runs, w.Ending = nil, nil, work.Resources{}
	}
	for _, f := range ends {
		switch {
		case f.stop:
			f.worker.Ending = f.worker.Ending.Add(f.job.Spec.Size)
		case f.job.Spec.Checkpoints:
			f.worker.Runs = append(f.worker.Runs, Run{
				Task: f.job.Step.Task(f.index), Priority: f.job.Priority, Due: Due(f.job.Late, f.job.Priority), Size: f.job.Spec.Size,
			})
		}
	}
	for _, w := range workers {
		slices.SortStableFunc(w.Runs, func(a, b Run) int { return a.Priority - b.Priority })
	}
	p := Decide(at, demands, Room{Workers: workers, Spare: map[string]work.Resources{"p": spare(use)}})
	for _, a := range p.Asks {
		if j := byDemand[a.Demand]; !j.Advice.Asking {
			j.Advice.Asking, j.asked, j.answer = true, a.Workers, at.Add(j.kind.answer)
		}
	}
	for i := range ends {
		f := &ends[i]
		if slices.Contains(p.Stops, f.job.Step.Task(f.index)) {
			f.job.rest[f.index], f.at, f.stop = f.at.Sub(at)+restoreTime, at.Add(stopTime), true
		}
	}
	var started []finish
	for _, s := range p.Starts {
		j := byDemand[s.Demand]
		length, resumed := j.rest[s.Index]
		if !resumed {
			length = j.kind.runs
		}
		delete(j.rest, s.Index)
		j.running[s.Index] = true
		started = append(started, finish{at: at.Add(length), job: j, index: s.Index, worker: s.Worker})
	}
	return started
}

func noSpare(map[string]work.Resources) work.Resources { return work.Resources{} }

// atLeast fails unless a kind's share of jobs in time reaches the target.
func atLeast(t *testing.T, shares map[string]float64, kind string, target float64) {
	t.Helper()
	if shares[kind] < target {
		t.Errorf("%s: %.2f of the jobs in time, the target is %.2f", kind, shares[kind], target)
	}
}

// The target of the users is a mean worth of 0.90; bursts that the pool can take
// must reach it, and no kind may fall below the floor of 0.40 that each day has.
const (
	targetShare = 0.90
	floorShare  = 0.40
)

// Replays a burst of twice the usual urgent jobs onto a pool that long batch
// work would fill. Guards against urgent work that waits for the end of batch
// tasks; without room kept free the share falls below the target.
func TestReplayBurstOfSmall(t *testing.T) {
	kinds := []kind{
		{name: "quick", priority: 0, tasks: 9, size: cores(3), runs: 700 * time.Millisecond, stretch: 1.5, target: 250 * time.Millisecond, rate: 5, burst: 2},
		{name: "batch", priority: 2, tasks: 22, size: cores(7), runs: 4500 * time.Millisecond, stretch: 4, target: 3 * time.Second, rate: 0.85},
	}
	keep := func(use map[string]work.Resources) work.Resources {
		return cores(max(0, 250-use["quick"].Processors/1000))
	}
	shares := replay(pool(20, cores(32)), kinds, keep)
	atLeast(t, shares, "quick", targetShare)
	atLeast(t, shares, "batch", floorShare)
	without := replay(pool(20, cores(32)), kinds, noSpare)
	if without["quick"] >= targetShare {
		t.Errorf("without spare room %.2f of the quick jobs are in time; the load does not need it", without["quick"])
	}
	t.Logf("quick jobs in time: %.2f, without spare room %.2f", shares["quick"], without["quick"])
}

// Replays wide and small work that together ask for half more than the pool has.
// Guards against one kind that takes everything from the other.
func TestReplayOverloadIsShared(t *testing.T) {
	shares := replay(pool(9, cores(64)), []kind{
		{name: "wide", priority: 1, tasks: 2, size: cores(31), runs: 5600 * time.Millisecond, stretch: 2.2, target: time.Second, rate: 1.5},
		{name: "small", priority: 2, tasks: 8, size: cores(6), runs: 2400 * time.Millisecond, stretch: 4, target: 3 * time.Second, rate: 3},
	}, noSpare)
	atLeast(t, shares, "wide", floorShare)
	atLeast(t, shares, "small", floorShare)
	t.Logf("in time: %v", shares)
}

// Replays wide tasks that fill a pool almost and may run on a third of it, with
// answers that take a tenth of a run, beside small tasks that fill every gap.
// Guards against rooms that idle while an answer is under way.
func TestReplayAdvisedWide(t *testing.T) {
	kinds := []kind{
		{name: "wide", priority: 1, tasks: 1, size: cores(40), runs: 5600 * time.Millisecond, stretch: 2.2, target: time.Second, rate: 2.1,
			good: 0.3, answer: 570 * time.Millisecond},
		{name: "small", priority: 2, tasks: 8, size: cores(6), runs: 2400 * time.Millisecond, stretch: 4, target: 3 * time.Second, rate: 1},
	}
	shares := replay(pool(13, cores(64)), kinds, noSpare)
	atLeast(t, shares, "wide", targetShare)
	t.Logf("in time: %v", shares)
}

// gpus returns a size with accelerators, in whole processors and GB.
func gpus(processors, memory, accelerators int64) work.Resources {
	return work.Resources{Processors: processors * 1000, Memory: memory << 30, Accelerators: accelerators}
}

// Replays gangs of wide tasks, each with a quarter of a worker to all of it, that
// may run on a third of the pool, beside small tasks that save their work; the
// load of the accelerators of a grown cell in a burst. Guards against gangs that
// wait because few workers are known to be good, and against room that idles
// because gangs keep it which cannot start yet.
func TestReplayWideGangs(t *testing.T) {
	kinds := []kind{
		{name: "wide", priority: 1, widest: 5, gang: true, sizes: []work.Resources{gpus(62, 320, 2), gpus(62, 320, 4), gpus(62, 320, 8), gpus(62, 320, 8)},
			runs: 5600 * time.Millisecond, stretch: 2.2, target: time.Second, rate: 5, burst: 1.3, good: 0.3, answer: 600 * time.Millisecond},
		{name: "small", priority: 2, widest: 25, size: gpus(11, 59, 1), saves: true, runs: 3800 * time.Millisecond, stretch: 4, target: 3 * time.Second,
			rate: 4.6, good: 0.45, answer: 200 * time.Millisecond},
	}
	shares := replay(pool(98, gpus(128, 512, 8)), kinds, noSpare)
	t.Logf("in time: %v", shares)
	atLeast(t, shares, "wide", targetShare)
	atLeast(t, shares, "small", targetShare)
}
