package fit

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Workers of one pool differ in speed, for good or while they are cold. That counts where it decides
// whether a job is in time. Nothing here changes the order in which demands are served. Without
// unequal workers nothing is changed.

const (
	// haste is what the score of a worker rises by for each part of its estimate that a task
	// takes longer there, if the job would be late for it. It matches remoteRackPenalty, where
	// tasks take half as long again.
	haste = remoteRackPenalty / 0.5
	// startTime is the time that the commit and the order of a start take.
	startTime = 50 * time.Millisecond
	// estimateMargin is the part of its estimate by which tolerant work on a slow worker must
	// be in time, because estimates are rough.
	estimateMargin = 0.25
	// coldTenants is the number of runs from which on a cold worker takes no more, if they
	// would be late there or if it is not known how slow it is, until a task has waited for
	// coldWait.
	coldTenants = 2
	coldWait    = time.Second
	// equalSpeed is the largest ratio of speeds that count as equal for the members of a gang.
	equalSpeed = 1.2
)

// uneven reports whether the worker differs from the usual ones of its pool.
func (w *Worker) uneven() bool { return w.Speed != 0 && w.Speed != 1 || w.Cold > 0 }

// takes returns how long a task works on the worker that takes a time at speed 1.
func (w *Worker) takes(estimate time.Duration) time.Duration {
	if !w.uneven() {
		return estimate
	}
	warm := float64(estimate) / speedOr1(w.Speed)
	if w.Cold <= 0 {
		return time.Duration(warm)
	}
	cold := coldGuess
	if w.ColdSpeed > 0 {
		cold = w.ColdSpeed
	}
	if warm/cold <= float64(w.Cold) {
		return time.Duration(warm / cold)
	}
	return time.Duration(warm + float64(w.Cold)*(1-cold))
}

// delivers returns the capacity of a worker of speed 1 that does as much.
func (w *Worker) delivers() work.Resources {
	if !w.uneven() {
		return w.Capacity
	}
	scale := func(n int64) int64 { return int64(float64(n) * speedOr1(w.Speed)) }
	return work.Resources{Processors: scale(w.Capacity.Processors), Memory: scale(w.Capacity.Memory), Accelerators: w.Capacity.Accelerators}
}

// speedOn returns the speed of a task of the demand on the worker.
func (d *Demand) speedOn(w *Worker) float64 {
	if d.Spec.Estimate <= 0 || !w.uneven() {
		return speedOr1(w.Speed)
	}
	return float64(d.Spec.Estimate) / float64(w.takes(d.Spec.Estimate))
}

// inTime reports whether the job would meet its deadline if a task of the demand started now
// and took a time.
func (d *Demand) inTime(takes time.Duration) bool {
	rest := max(0, d.CriticalPath-d.Spec.Estimate)
	return !d.now.Add(startTime + takes + rest).After(d.Deadline)
}

// inTimeOn reports whether it would on the worker. Urgent work has no time for a margin. Of a
// cold worker nothing is certain until it is known how slow it is.
func (d *Demand) inTimeOn(w *Worker) bool {
	if w.Cold > 0 && w.ColdSpeed <= 0 {
		return false
	}
	margin := time.Duration(0)
	if d.tier() != 0 {
		margin = time.Duration(estimateMargin * float64(d.Spec.Estimate))
	}
	return d.inTime(w.takes(d.Spec.Estimate) + margin)
}

// indifferent reports whether the speed of a worker does not matter to the demand.
func (d *Demand) indifferent() bool { return d.Spec.Estimate <= 0 || d.Spec.Lasting }

// speedCost rates the speed of the worker for a task; lower is better. It counts only where it
// decides whether the job is in time.
func speedCost(d *Demand, w *Worker) float64 {
	if !w.uneven() || d.indifferent() || d.inTimeOn(w) || !d.inTime(d.shortest()) {
		return 0
	}
	return haste * (1/d.speedOn(w) - 1)
}

// shortest returns how long a task works on the fastest worker of the pool.
func (d *Demand) shortest() time.Duration {
	return time.Duration(float64(d.Spec.Estimate) / speedOr1(d.fastest))
}

// suits reports whether a task may start on the worker although that is cold.
func suits(d *Demand, w *Worker) bool {
	if w.Cold <= 0 || d.indifferent() || d.Only != "" || d.Trial || d.Spec.Gang {
		return true
	}
	return w.Tenants < coldTenants || d.Waited >= coldWait || d.inTimeOn(w)
}

// noteSpeed keeps the largest speed of a pool's workers, and whether they differ.
func (l *inventory) noteSpeed(w *Worker) {
	l.uneven = l.uneven || w.uneven()
	if w.Cold <= 0 {
		l.fastest = max(l.fastest, speedOr1(w.Speed))
	}
}

// preferred has scan visit the workers first that the demand prefers for their speed, then
// the others, until visit returns false. A scan may visit only the first of many workers, so
// that the score alone would not find them.
func (l *inventory) preferred(d *Demand, scan func(visit func(*Worker) bool), visit func(*Worker) bool) {
	if !l.uneven || d.indifferent() || d.Spec.Gang {
		scan(visit)
		return
	}
	more := true
	for _, first := range []bool{true, false} {
		scan(func(w *Worker) bool {
			if (speedCost(d, w) <= 0) == first && more {
				more = visit(w)
			}
			return more
		})
	}
}

// bands returns the groups of workers on which a gang is tried, the best first: a gang is as
// slow as its slowest member. If it is in time on slow workers, these are groups of equal
// speed, the slowest first. Then the fastest follow, together with more and more slower ones.
func bands(d *Demand, workers []*Worker) [][]*Worker {
	if d.indifferent() || len(d.Members) > 0 || !slices.ContainsFunc(workers, (*Worker).uneven) {
		return [][]*Worker{workers}
	}
	ordered := slices.Clone(workers)
	slices.SortStableFunc(ordered, func(a, b *Worker) int { return cmp.Compare(d.speedOn(b), d.speedOn(a)) })
	var equal, atLeast [][]*Worker
	for first := 0; first < len(ordered); {
		end := first + 1
		for end < len(ordered) && d.speedOn(ordered[end])*equalSpeed >= d.speedOn(ordered[first]) {
			end++
		}
		if d.tier() != 0 && d.inTimeOn(ordered[end-1]) {
			equal = append(equal, ordered[first:end])
		}
		atLeast = append(atLeast, ordered[:end])
		first = end
	}
	slices.Reverse(equal)
	return append(equal, atLeast...)
}
