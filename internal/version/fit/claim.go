package fit

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// urgentPatience and patience are how long urgent work, and other work that
	// claims workers, waits for room before runs of lower priority make way. A
	// run that makes way loses its work since the last checkpoint, at most a
	// second of it, and the time of a restart.
	urgentPatience = 80 * time.Millisecond
	patience       = 700 * time.Millisecond
	// wideTask is the fraction of a worker from which on a task seldom finds room
	// among smaller ones, so that workers are kept for it.
	wideTask = 0.25
)

// claims reports whether workers are kept for tasks of the demand.
func (p *planner) claims(d *Demand) bool {
	if d.Priority == 0 || d.Spec.Lasting {
		return true
	}
	for _, w := range p.pools[d.Pool] {
		if suits(d, w) {
			return d.Spec.Reserves().Dominant(w.Capacity) >= wideTask
		}
	}
	return false
}

// claim keeps workers for a demand that found no room: those where the fewest
// runs of lower priority have to make way. After the demand's patience these
// are stopped. A demand that fits nowhere even so keeps what comes closest.
func (p *planner) claim(d *Demand, tasks int) {
	size := d.Spec.Reserves()
	var offers []offer
	for _, w := range p.pools[d.Pool] {
		if p.claimable(d, w) {
			offers = append(offers, p.offer(d, w, size))
		}
	}
	slices.SortStableFunc(offers, compareOffers)
	stop := d.Waited >= patience || d.Priority == 0 && d.Waited >= urgentPatience
	for _, o := range offers {
		if tasks <= 0 {
			return
		}
		if o.tasks == 0 && !d.Spec.Gang {
			continue
		}
		o.worker.held = d
		n := min(tasks, max(1, o.tasks))
		tasks -= n
		if stop && o.tasks > 0 {
			p.makeWay(o.worker, d, size.Times(int64(n)))
		}
	}
}

// claimable reports whether a worker may be kept for the demand.
func (p *planner) claimable(d *Demand, w *Worker) bool {
	if w.held != nil && w.held != d || !suits(d, w) || !p.mayBeGood(d, w) {
		return false
	}
	if d.Spec.Filler && w.Serving > 0 || d.Spec.Target > 0 && w.Filling > 0 {
		return false
	}
	return d.Spec.Spread == 0 || d.Placed[w.ID] < d.Spec.Spread
}

// offer is what a worker could give to a demand.
type offer struct {
	worker  *Worker
	tasks   int     // that fit once runs have made way
	lack    float64 // fraction of the worker that has to become free for one task
	stopped int     // runs that have to make way for one task
}

func (p *planner) offer(d *Demand, w *Worker, size work.Resources) offer {
	room := w.Free.Add(w.Ending)
	o := offer{worker: w, lack: lack(size, room, w.Capacity)}
	total := room
	for i := range w.Runs {
		r := &w.Runs[i]
		if !r.yields(d) {
			continue
		}
		if !size.Fits(total) {
			o.stopped++
		}
		total = total.Add(r.Size)
	}
	o.tasks = times(size, total)
	if d.Spec.Spread > 0 {
		o.tasks = min(o.tasks, d.Spec.Spread-d.Placed[w.ID])
	}
	return o
}

// yields reports whether a run makes way for a demand.
func (r *Run) yields(d *Demand) bool {
	return !r.stopped && r.Priority > d.Priority && (d.band() < 2 || d.due().Before(r.Due))
}

// lack returns the largest fraction of the capacity by which room is too small.
func lack(size, room, capacity work.Resources) float64 {
	missing := size.Sub(room)
	return work.Resources{
		Processors: max(0, missing.Processors), Memory: max(0, missing.Memory), Accelerators: max(0, missing.Accelerators),
	}.Dominant(capacity)
}

func compareOffers(a, b offer) int {
	if (a.tasks > 0) != (b.tasks > 0) {
		if a.tasks > 0 {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(a.lack, b.lack); c != 0 {
		return c
	}
	return cmp.Compare(a.stopped, b.stopped)
}

// makeWay stops runs of lower priority on a worker until an amount fits, the
// lowest priority first. It stops nothing if that would not be enough.
func (p *planner) makeWay(w *Worker, d *Demand, amount work.Resources) {
	room := w.Free.Add(w.Ending)
	var chosen []int
	for i := len(w.Runs) - 1; i >= 0 && !amount.Fits(room); i-- {
		r := &w.Runs[i]
		if r.yields(d) && useful(r.Size, amount, room) {
			chosen, room = append(chosen, i), room.Add(r.Size)
		}
	}
	if !amount.Fits(room) {
		return
	}
	for _, i := range chosen {
		r := &w.Runs[i]
		r.stopped = true
		w.Ending = w.Ending.Add(r.Size)
		p.plan.Stops = append(p.plan.Stops, r.Task)
	}
}

// useful reports whether a size helps an amount to fit the room.
func useful(size, amount, room work.Resources) bool {
	missing := amount.Sub(room)
	return missing.Processors > 0 && size.Processors > 0 || missing.Memory > 0 && size.Memory > 0 ||
		missing.Accelerators > 0 && size.Accelerators > 0
}
