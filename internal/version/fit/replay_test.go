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
	name         string
	priority     int
	tasks        int
	size         work.Resources
	runTime      time.Duration // of a task
	stretch      float64
	target       time.Duration
	rate         float64 // jobs per second
	burst        float64 // multiplies the rate from second 5 to second 9
	allowedShare float64 // fraction of workers that the advice service allows; zero if not advised
	answerTime   time.Duration
	gang         bool
	checkpoints  bool             // its tasks may be preempted
	sizes        []work.Resources // each job has one of these at random, instead of size
	maxTasks     int              // jobs have 1 to maxTasks tasks at random, instead of tasks
}

// replayJob is a job of a replay.
type replayJob struct {
	*Demand
	kind      *kind
	at        time.Time
	left      int
	running   map[int]bool
	ended     map[int]bool          // finished tasks
	remaining map[int]time.Duration // run time left of preempted tasks
	done      time.Time
	allowed   map[string]bool
	answerAt  time.Time // arrival of the answer to the query in flight
	queried   []string
}

// taskEnd is the end of a task.
type taskEnd struct {
	at        time.Time
	job       *replayJob
	index     int
	worker    *Worker
	preempted bool // preempted; the task resumes elsewhere
}

// stopTime and restoreTime are how long a preempted run takes to stop and to
// resume.
const (
	stopTime    = 500 * time.Millisecond
	restoreTime = 100 * time.Millisecond
)

// replayPlan decides in replays. Tests replace it by decisions without a rule.
var replayPlan = Decide

// replay simulates a load in virtual time with steps of 20 ms and returns the
// fraction of jobs that met their deadline, by kind.
func replay(workers []*Worker, kinds []kind, headroom func(kinds map[string]work.Resources) work.Resources) map[string]float64 {
	random := rand.New(rand.NewPCG(5, 11))
	var jobs []*replayJob
	var ends []taskEnd
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
				jobs = append(jobs, newReplayJob(k, at, len(jobs), workers, random))
				total[k.name]++
			}
		}
		ends = slices.DeleteFunc(ends, func(f taskEnd) bool { return applyEnd(f, at) })
		ends = append(ends, runRound(workers, jobs, ends, at, headroom)...)
	}
	for _, j := range jobs {
		if j.left == 0 && !j.done.After(j.Deadline) {
			inTime[j.kind.name]++
		}
	}
	shares := map[string]float64{}
	for name, n := range total {
		shares[name] = float64(inTime[name]) / float64(n)
	}
	return shares
}

// newReplayJob returns a job of a kind that arrives at a time.
func newReplayJob(k *kind, at time.Time, number int, workers []*Worker, random *rand.Rand) *replayJob {
	tasks, size := k.tasks, k.size
	if k.maxTasks > 0 {
		tasks = 1 + random.IntN(k.maxTasks)
	}
	if len(k.sizes) > 0 {
		size = k.sizes[random.IntN(len(k.sizes))]
	}
	d := demand(job.ID(fmt.Sprintf("%s-%d", k.name, number)), k.priority, tasks, size)
	d.Spec.Gang, d.Spec.Estimate = k.gang, k.runTime
	d.Sequence = uint64(number)
	d.Spec.Checkpoints = k.checkpoints
	length := time.Duration(k.stretch*float64(k.runTime)) + k.target
	d.Deadline, d.Expiry = at.Add(length), at.Add(3*length)
	j := &replayJob{Demand: d, kind: k, at: at, left: tasks, running: map[int]bool{}, ended: map[int]bool{}, remaining: map[int]time.Duration{}, allowed: map[string]bool{}}
	if k.allowedShare > 0 {
		advised(d, map[string]Answer{})
		d.MinAnswerTime = k.answerTime
		for _, w := range workers {
			j.allowed[w.ID] = random.Float64() < k.allowedShare
		}
		j.allowed[workers[random.IntN(len(workers))].ID] = true
	}
	return j
}

// applyEnd applies the end of a task if it is due, and reports whether it was.
func applyEnd(f taskEnd, at time.Time) bool {
	if f.at.After(at) {
		return false
	}
	f.worker.Free = f.worker.Free.Add(f.job.Spec.Size)
	delete(f.job.running, f.index)
	f.job.Placed[f.worker.ID]--
	if f.preempted {
		return true
	}
	f.job.left--
	f.job.ended[f.index] = true
	f.job.done = at
	return true
}

// runRound runs one scheduling round and returns the ends of the tasks it started.
func runRound(workers []*Worker, jobs []*replayJob, ends []taskEnd, at time.Time, headroom func(map[string]work.Resources) work.Resources) []taskEnd {
	use := map[string]work.Resources{}
	byDemand := map[*Demand]*replayJob{}
	var demands []*Demand
	for _, j := range jobs {
		for range j.running {
			use[j.kind.name] = use[j.kind.name].Add(j.Spec.Size)
		}
		if j.left == 0 || len(j.running) == j.left {
			continue
		}
		if !j.answerAt.IsZero() && !at.Before(j.answerAt) {
			for _, w := range j.queried {
				j.Advice.Answers[w] = Answer{Allowed: j.allowed[w], Ticket: "t", Expiry: at.Add(1500 * time.Millisecond)}
			}
			j.answerAt, j.queried, j.Advice.Asked, j.Advice.Queries = time.Time{}, nil, nil, 0
		}
		j.Tasks = j.Tasks[:0]
		for i := range j.Spec.Count {
			if _, stopped := j.remaining[i]; !j.running[i] && (!j.ended[i] || stopped) {
				j.Tasks = append(j.Tasks, i)
			}
		}
		j.Waited = at.Sub(j.at)
		demands = append(demands, j.Demand)
		byDemand[j.Demand] = j
	}
	for _, w := range workers {
		w.Runs, w.Releasing = nil, work.Resources{}
	}
	for _, f := range ends {
		switch {
		case f.preempted:
			f.worker.Releasing = f.worker.Releasing.Add(f.job.Spec.Size)
		case f.job.Spec.Checkpoints:
			f.worker.Runs = append(f.worker.Runs, Run{
				Task: f.job.Step.Task(f.index), Priority: f.job.Priority, EffectiveDeadline: EffectiveDeadline(f.job.Deadline, f.job.Priority), Size: f.job.Spec.Size,
			})
		}
	}
	for _, w := range workers {
		slices.SortStableFunc(w.Runs, func(a, b Run) int { return a.Priority - b.Priority })
	}
	p := replayPlan(at, demands, Cluster{Workers: workers, Headroom: map[string]work.Resources{"p": headroom(use)}, Early: len(workers)})
	for _, a := range p.Queries {
		if j := byDemand[a.Demand]; j.answerAt.IsZero() || j.answerAt.Equal(at.Add(j.kind.answerTime)) {
			if j.Advice.Asked == nil {
				j.Advice.Asked = map[string]bool{}
			}
			for _, w := range a.Workers {
				j.Advice.Asked[w] = true
			}
			j.Advice.Queries++
			j.queried, j.answerAt = append(j.queried, a.Workers...), at.Add(j.kind.answerTime)
		}
	}
	for i := range ends {
		f := &ends[i]
		if slices.Contains(p.Preemptions, f.job.Step.Task(f.index)) {
			f.job.remaining[f.index], f.at, f.preempted = f.at.Sub(at)+restoreTime, at.Add(stopTime), true
		}
	}
	var started []taskEnd
	for _, s := range p.Starts {
		j := byDemand[s.Demand]
		length, resumed := j.remaining[s.Index]
		if !resumed {
			length = j.kind.runTime
		}
		delete(j.remaining, s.Index)
		j.running[s.Index] = true
		started = append(started, taskEnd{at: at.Add(s.Worker.takes(length)), job: j, index: s.Index, worker: s.Worker})
	}
	return started
}

func noHeadroom(map[string]work.Resources) work.Resources { return work.Resources{} }

// atLeast fails the test unless a kind's share of jobs in time reaches the target.
func atLeast(t *testing.T, shares map[string]float64, kind string, target float64) {
	t.Helper()
	if shares[kind] < target {
		t.Errorf("%s: %.2f of the jobs in time, the target is %.2f", kind, shares[kind], target)
	}
}

// The users' target is a mean worth of 0.90. Bursts that the pool can handle must
// reach it, and no kind may fall below 0.40, the floor of each benchmark day.
const (
	targetShare = 0.90
	floorShare  = 0.40
)

// Replays a burst of twice the usual urgent jobs on a pool that long batch tasks
// would fill. Guards against urgent work waiting for batch tasks to end. Without
// headroom the share falls below the target.
func TestReplayBurstOfSmall(t *testing.T) {
	kinds := []kind{
		{name: "quick", priority: 0, tasks: 9, size: cores(3), runTime: 700 * time.Millisecond, stretch: 1.5, target: 250 * time.Millisecond, rate: 5, burst: 2},
		{name: "batch", priority: 2, tasks: 22, size: cores(7), runTime: 4500 * time.Millisecond, stretch: 4, target: 3 * time.Second, rate: 0.85},
	}
	headroom := func(use map[string]work.Resources) work.Resources {
		return cores(max(0, 250-use["quick"].Processors/1000))
	}
	shares := replay(pool(20, cores(32)), kinds, headroom)
	atLeast(t, shares, "quick", targetShare)
	atLeast(t, shares, "batch", floorShare)
	without := replay(pool(20, cores(32)), kinds, noHeadroom)
	if without["quick"] >= targetShare {
		t.Errorf("without headroom %.2f of the quick jobs are in time; the load does not need headroom", without["quick"])
	}
	t.Logf("quick jobs in time: %.2f, without headroom %.2f", shares["quick"], without["quick"])
}

// Replays wide and small work with a total demand of one and a half times the
// pool. Guards against one kind starving the other.
func TestReplayOverloadIsShared(t *testing.T) {
	shares := replay(pool(9, cores(64)), []kind{
		{name: "wide", priority: 1, tasks: 2, size: cores(31), runTime: 5600 * time.Millisecond, stretch: 2.2, target: time.Second, rate: 1.5},
		{name: "small", priority: 2, tasks: 8, size: cores(6), runTime: 2400 * time.Millisecond, stretch: 4, target: 3 * time.Second, rate: 3},
	}, noHeadroom)
	atLeast(t, shares, "wide", floorShare)
	atLeast(t, shares, "small", floorShare)
	t.Logf("in time: %v", shares)
}

// Replays wide tasks that almost fill a pool and may run on a third of it, with
// answers that take a tenth of a run, next to small tasks that fill every gap.
// Guards against capacity that is idle while an answer is awaited.
func TestReplayAdvisedWide(t *testing.T) {
	kinds := []kind{
		{name: "wide", priority: 1, tasks: 1, size: cores(40), runTime: 5600 * time.Millisecond, stretch: 2.2, target: time.Second, rate: 2.1,
			allowedShare: 0.3, answerTime: 570 * time.Millisecond},
		{name: "small", priority: 2, tasks: 8, size: cores(6), runTime: 2400 * time.Millisecond, stretch: 4, target: 3 * time.Second, rate: 1},
	}
	shares := replay(pool(13, cores(64)), kinds, noHeadroom)
	atLeast(t, shares, "wide", targetShare)
	t.Logf("in time: %v", shares)
}

// acceleratorSize returns a size in whole processors, GiB and accelerators.
func acceleratorSize(processors, memory, accelerators int64) work.Resources {
	return work.Resources{Processors: processors * 1000, Memory: memory << 30, Accelerators: accelerators}
}

// Replays gangs of wide tasks, each taking between a quarter and all of a worker,
// that may run on a third of the pool, next to small tasks with checkpoints. This
// is the load of the accelerators of a grown cell in a burst. Guards against gangs
// that wait because few workers are known to be allowed, and against capacity that
// is idle because it is reserved for gangs that cannot start yet.
func TestReplayWideGangs(t *testing.T) {
	kinds := []kind{
		{name: "wide", priority: 1, maxTasks: 5, gang: true, sizes: []work.Resources{acceleratorSize(62, 320, 2), acceleratorSize(62, 320, 4), acceleratorSize(62, 320, 8), acceleratorSize(62, 320, 8)},
			runTime: 5600 * time.Millisecond, stretch: 2.2, target: time.Second, rate: 5, burst: 1.3, allowedShare: 0.3, answerTime: 600 * time.Millisecond},
		{name: "small", priority: 2, maxTasks: 25, size: acceleratorSize(11, 59, 1), checkpoints: true, runTime: 3800 * time.Millisecond, stretch: 4, target: 3 * time.Second,
			rate: 4.6, allowedShare: 0.45, answerTime: 200 * time.Millisecond},
	}
	shares := replay(pool(98, acceleratorSize(128, 512, 8)), kinds, noHeadroom)
	t.Logf("in time: %v", shares)
	atLeast(t, shares, "wide", targetShare)
	atLeast(t, shares, "small", targetShare)
}
