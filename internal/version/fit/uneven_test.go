package fit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// unevenPool returns a pool of which a quarter is slow.
func unevenPool(n int, size work.Resources) []*Worker {
	workers := pool(n, size)
	for i, s := range unequal(n) {
		workers[i].Speed = s
	}
	return workers
}

// blind decides as if all workers were equally fast and warm.
func blind(at time.Time, demands []*Demand, cluster Cluster) Plan {
	known := make([]Worker, len(cluster.Workers))
	for i, w := range cluster.Workers {
		known[i] = *w
		w.Speed, w.Cold = 0, 0
	}
	p := Decide(at, demands, cluster)
	for i, w := range cluster.Workers {
		w.Speed, w.Cold = known[i].Speed, known[i].Cold
	}
	return p
}

// replayBlind plays a load with and without the speeds known.
func replayBlind(workers func() []*Worker, kinds []kind, headroom func(map[string]work.Resources) work.Resources) (after, before map[string]float64) {
	after = replay(workers(), kinds, headroom)
	defer func() { replayPlan = Decide }()
	replayPlan = blind
	return after, replay(workers(), kinds, headroom)
}

// mixedLoad is urgent work with little slack beside batches and gangs, for 20 workers.
func mixedLoad(quick float64) []kind {
	return []kind{
		{name: "quick", priority: 0, tasks: 9, size: cores(3), runTime: 600 * time.Millisecond, stretch: 1.5, target: 250 * time.Millisecond, rate: quick, burst: 2, allowedShare: 0.7, answerTime: 20 * time.Millisecond},
		{name: "batch", priority: 2, tasks: 22, size: cores(7), runTime: 4500 * time.Millisecond, stretch: 4, target: 3 * time.Second, rate: 0.6, checkpoints: true},
		{name: "wide", priority: 1, tasks: 2, gang: true, size: cores(16), runTime: 4500 * time.Millisecond, stretch: 2.2, target: time.Second, rate: 0.4},
	}
}

func mixedHeadroom(use map[string]work.Resources) work.Resources {
	return cores(max(0, 160-use["quick"].Processors/1000))
}

// Replays a burst of quick jobs on a pool of which a quarter is slow. Guards against quick jobs
// that are late on slow workers while batches run on fast ones.
func TestReplayUnevenPool(t *testing.T) {
	after, before := replayBlind(func() []*Worker { return unevenPool(20, cores(32)) }, mixedLoad(10), mixedHeadroom)
	t.Logf("in time: %v, before %v", after, before)
	atLeast(t, after, "quick", targetShare)
	atLeast(t, after, "batch", targetShare)
	atLeast(t, after, "wide", targetShare)
	if before["quick"] >= targetShare {
		t.Errorf("%.2f of the quick jobs in time without the speeds", before["quick"])
	}
}

// Replays the same load on a pool of which a zone of a quarter has returned and is slow for 15 s,
// which is not learned yet. Guards against cold workers that are filled with work that is late there.
func TestReplayColdReturn(t *testing.T) {
	isCold := func(w *Worker) bool { return w.order%4 == 0 }
	returned := func(decide func(time.Time, []*Demand, Cluster) Plan) func(time.Time, []*Demand, Cluster) Plan {
		return func(at time.Time, demands []*Demand, cluster Cluster) Plan {
			for i, w := range cluster.Workers {
				if w.order = i; isCold(w) {
					w.Cold, w.ColdSpeed = max(0, now.Add(15*time.Second).Sub(at)), 0
				}
			}
			p := decide(at, demands, cluster)
			for _, w := range cluster.Workers {
				if isCold(w) {
					w.ColdSpeed = 0.3
				}
			}
			return p
		}
	}
	defer func() { replayPlan = Decide }()
	replayPlan = returned(Decide)
	after := replay(pool(20, cores(32)), mixedLoad(10), mixedHeadroom)
	replayPlan = returned(blind)
	before := replay(pool(20, cores(32)), mixedLoad(10), mixedHeadroom)
	t.Logf("in time: %v, before %v", after, before)
	atLeast(t, after, "quick", targetShare)
	if before["quick"] >= targetShare {
		t.Errorf("%.2f of the quick jobs in time without the coldness", before["quick"])
	}
}

// Guards against plans that change where all workers are equally fast and warm.
func TestEqualSpeedsChangeNothing(t *testing.T) {
	plans := func(speed float64) (all []string) {
		defer func() { replayPlan = Decide }()
		replayPlan = func(at time.Time, demands []*Demand, cluster Cluster) Plan {
			p := Decide(at, demands, cluster)
			for _, s := range p.Starts {
				all = append(all, fmt.Sprint(at, s.Demand.Step.Task(s.Index), s.Worker.ID))
			}
			for _, q := range p.Queries {
				all = append(all, fmt.Sprint(at, q.Demand.Step, q.Workers))
			}
			all = append(all, fmt.Sprint(p.Preemptions))
			return p
		}
		workers := pool(20, cores(32))
		for _, w := range workers {
			w.Speed = speed
		}
		replay(workers, mixedLoad(10), mixedHeadroom)
		return all
	}
	is.New(t).Equal(plans(0), plans(1))
}

// quickDemand returns a demand of a quick job that has waited for a time.
func quickDemand(waited time.Duration) *Demand {
	d := demand("quick", 0, 1, cores(3))
	d.Spec.Estimate, d.CriticalPath, d.Waited = 600*time.Millisecond, 600*time.Millisecond, waited
	d.Deadline = now.Add(1150*time.Millisecond - waited)
	d.Expiry = now.Add(3450*time.Millisecond - waited)
	return d
}

// Guards against a quick job that is late on a slow worker while a fast one is free, and against
// one that waits while only a slow one is: under a flood half of a pool stood idle for such work.
func TestQuickWorkTakesTheFastWorker(t *testing.T) {
	is := is.New(t)
	start := func(waited time.Duration, free int) float64 {
		workers := unevenPool(4, cores(4)) // w00 is slow
		for _, w := range workers[free:] {
			w.Free = cores(0)
		}
		return Decide(now, []*Demand{quickDemand(waited)}, Cluster{Workers: workers}).Starts[0].Worker.Speed
	}
	is.Equal(start(200*time.Millisecond, 4), 1.2) // 1.09 s of 0.95 s on the slow one
	is.Equal(start(200*time.Millisecond, 1), 0.55)
	is.Equal(start(0, 4), 0.55) // it is in time there, and the others stay free
}

// Guards against a gang on workers of different speeds, and one that is late on slow ones.
func TestGangsGetWorkersOfEqualSpeed(t *testing.T) {
	is := is.New(t)
	speeds := func(workers int, estimate time.Duration) (found []float64) {
		d := demand("gang", 1, 2, cores(4))
		d.Spec.Gang, d.Spec.Estimate, d.CriticalPath = true, estimate, estimate
		for _, s := range Decide(now, []*Demand{d}, Cluster{Workers: unevenPool(workers, cores(4))}).Starts {
			found = append(found, s.Worker.Speed)
		}
		return found
	}
	is.Equal(speeds(8, 2*time.Second), []float64{0.55, 0.55})
	is.Equal(speeds(8, 6*time.Second), []float64{1.2, 1.2})
	is.Equal(speeds(4, 2*time.Second), []float64{1.2, 1.2}) // only one is slow
}

// Guards against work with slack that is late on a slow worker while fast ones are free.
func TestWorkGoesWhereItsSpeedIsEnough(t *testing.T) {
	is := is.New(t)
	speed := func(priority int, estimate time.Duration) float64 {
		d := demand("a", priority, 1, cores(3))
		d.Spec.Estimate, d.CriticalPath = estimate, estimate
		return Decide(now, []*Demand{d}, Cluster{Workers: unevenPool(4, cores(4))}).Starts[0].Worker.Speed
	}
	is.Equal(speed(2, time.Second), 0.55)
	is.Equal(speed(2, 6*time.Second), 1.2)
}

// Guards against a cold worker that is filled while its speed is not known, and against one
// that stands idle while work waits.
func TestColdWorkerTakesFewStarts(t *testing.T) {
	is := is.New(t)
	starts := func(waited time.Duration, known float64) int {
		workers := pool(1, cores(32))
		workers[0].Cold, workers[0].ColdSpeed = 10*time.Second, known
		d := demand("a", 1, 6, cores(3))
		d.Spec.Estimate, d.CriticalPath, d.Waited = time.Second, time.Second, waited
		return startsOf(Decide(now, []*Demand{d}, Cluster{Workers: workers}), d)
	}
	is.Equal(starts(0, 0), 2)
	is.Equal(starts(0, 0.5), 6)
	is.Equal(starts(coldWait, 0), 6)
}
