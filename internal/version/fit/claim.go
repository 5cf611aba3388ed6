package fit

import (
	"cmp"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// urgentPreemptDelay and preemptDelay are how long urgent work, and other work
	// that reserves workers, waits before it preempts runs of lower priority. A
	// preempted run loses its work since the last checkpoint, at most one second,
	// plus the time of a restart.
	urgentPreemptDelay = 80 * time.Millisecond
	preemptDelay       = 700 * time.Millisecond
	// wideTaskShare is the fraction of a worker from which a task seldom fits
	// between smaller ones, so that workers are reserved for it.
	wideTaskShare = 0.25
)

// mayReserve reports whether the demand may reserve workers: urgent and
// long-running work may, and so may wide tasks.
func (p *planner) mayReserve(l *inventory, d *Demand) bool {
	return d.Priority == 0 || d.Spec.Lasting || p.wide(l, d)
}

// wide reports whether tasks of the demand seldom fit between smaller ones.
func (p *planner) wide(l *inventory, d *Demand) bool {
	if d.Spec.Gang {
		return true
	}
	for _, w := range l.workers {
		if eligible(d, w) {
			return d.Spec.Reservation().Dominant(w.Capacity) >= wideTaskShare
		}
	}
	return false
}

// reserve reserves workers for a demand that does not fit, preferring those that
// lack the least and where the fewest runs have to be preempted. Once the demand
// has waited for its preemption delay, those runs are stopped. A gang that would
// not fit even then reserves the workers that come closest.
func (p *planner) reserve(l *inventory, d *Demand, tasks int) {
	size := d.Spec.Reservation()
	if l.open == 0 || d.Spec.Gang && d.Spec.Lasting && !l.holds(d, size, tasks) {
		return // others are late at some time, and reserve nothing from then on
	}
	workers := l.workers
	if d.Advised {
		workers = p.allowedWorkers(l, d)
	}
	var candidates []candidate
	for _, w := range workers {
		if !p.reservable(d, w) {
			continue
		}
		if c := p.evaluate(d, w, size); c.tasks > 0 || d.Spec.Gang {
			candidates = append(candidates, c)
		}
	}
	candidates = smallest(candidates, tasks, compareCandidates)
	preempt := d.Waited >= preemptDelay || d.Priority == 0 && d.Waited >= urgentPreemptDelay
	if d.Spec.Gang && total(candidates) < tasks && !p.off.wholeGangs {
		preempt = false // the runs would be stopped in vain
	}
	for _, c := range candidates {
		if tasks <= 0 {
			return
		}
		l.reserve(c.worker, d)
		n := min(tasks, max(1, c.tasks))
		tasks -= n
		if preempt && c.tasks > 0 {
			p.preempt(c.worker, d, size.Times(int64(n)))
		}
	}
}

// holds reports whether the workers would hold the tasks if nothing else ran there.
func (l *inventory) holds(d *Demand, size work.Resources, tasks int) bool {
	for _, w := range l.workers {
		if tasks <= 0 {
			break
		}
		if eligible(d, w) {
			n := fitCount(size, w.Capacity)
			if d.Spec.Spread > 0 {
				n = min(n, d.Spec.Spread)
			}
			tasks -= n
		}
	}
	return tasks <= 0
}

// total returns how many tasks fit on the candidates.
func total(candidates []candidate) int {
	n := 0
	for _, c := range candidates {
		n += c.tasks
	}
	return n
}

// reservable reports whether a worker may be reserved for the demand.
func (p *planner) reservable(d *Demand, w *Worker) bool {
	if w.reservedFor != nil && w.reservedFor != d || !eligible(d, w) || !p.mayBeAllowed(d, w) || !suits(d, w) {
		return false
	}
	if d.Spec.Filler && w.TargetTasks > 0 || d.Spec.Target > 0 && w.FillerTasks > 0 {
		return false
	}
	return d.Spec.Spread == 0 || d.Placed[w.ID] < d.Spec.Spread
}

// candidate is a worker that could be reserved for or queried about a demand.
type candidate struct {
	worker    *Worker
	tasks     int     // that fit after preemption
	shortage  float64 // fraction of the worker that has to become free for one task, and what its speed costs the task
	preempted int     // runs to preempt for one task
}

// evaluate computes how well a worker could serve a demand if runs of lower
// priority were preempted.
func (p *planner) evaluate(d *Demand, w *Worker, size work.Resources) candidate {
	free := w.Free.Add(w.Releasing)
	c := candidate{worker: w, shortage: shortage(size, free, w.Capacity) + speedCost(d, w)}
	total := free
	for i := range w.Runs {
		r := &w.Runs[i]
		if !r.preemptible(d) {
			continue
		}
		if !size.Fits(total) {
			c.preempted++
		}
		total = total.Add(r.Size)
	}
	c.tasks = fitCount(size, total)
	if d.Spec.Spread > 0 {
		c.tasks = min(c.tasks, d.Spec.Spread-d.Placed[w.ID])
	}
	return c
}

// preemptible reports whether a demand may preempt the run.
func (r *Run) preemptible(d *Demand) bool {
	return !r.preempted && r.Priority > d.Priority && (d.tier() < 2 || d.effectiveDeadline().Before(r.EffectiveDeadline))
}

// shortage returns the missing part of size as a fraction of the capacity, for
// the resource that lacks most.
func shortage(size, free, capacity work.Resources) float64 {
	return size.Sub(free).Positive().Dominant(capacity)
}

// compareCandidates sorts workers that fit a task first, then those that lack the
// least, then those with the fewest runs to preempt.
func compareCandidates(a, b candidate) int {
	if (a.tasks > 0) != (b.tasks > 0) {
		if a.tasks > 0 {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(a.shortage, b.shortage); c != 0 {
		return c
	}
	return cmp.Compare(a.preempted, b.preempted)
}

// preempt stops runs of lower priority on a worker until an amount fits, lowest
// priority first: Worker.Runs has these last. It stops nothing if that would not
// be enough.
func (p *planner) preempt(w *Worker, d *Demand, amount work.Resources) {
	free := w.Free.Add(w.Releasing)
	var chosen []int
	for i := len(w.Runs) - 1; i >= 0 && !amount.Fits(free); i-- {
		r := &w.Runs[i]
		if r.preemptible(d) && reducesShortage(r.Size, amount, free) {
			chosen, free = append(chosen, i), free.Add(r.Size)
		}
	}
	if !amount.Fits(free) {
		return
	}
	for _, i := range chosen {
		r := &w.Runs[i]
		r.preempted = true
		w.Releasing = w.Releasing.Add(r.Size)
		p.plan.Preemptions = append(p.plan.Preemptions, r.Task)
	}
}

// reducesShortage reports whether freeing a size adds to a resource that an
// amount lacks.
func reducesShortage(size, amount, free work.Resources) bool {
	missing := amount.Sub(free)
	return missing.Processors > 0 && size.Processors > 0 || missing.Memory > 0 && size.Memory > 0 ||
		missing.Accelerators > 0 && size.Accelerators > 0
}
