package fit

import "github.com/rosemaryloft/rosemaryloft/internal/work"

// A query is bought for free capacity, and only one demand can use that. So each demand that
// waits for answers seeks a part of what is free on the workers that its queries name, and the
// demands planned after it query the advice service only about what is left. They may still start
// there with tickets that they have. Answers this load: a backlog of hundreds of advised steps, of
// which each queried the same few free workers, so that most answers found them full.

// seek records which free capacity a demand waits for, by the queries that are in flight and
// those of the plan.
func (p *planner) seek(l *inventory, d *Demand, tasks int) {
	if p.off.sharedQueries {
		return
	}
	total := 0
	p.eachAsked(l, d, func(w *Worker) { total += room(d, w) })
	if total == 0 {
		return
	}
	part := min(1, float64(tasks)/float64(total))
	size := d.Spec.Reservation()
	p.eachAsked(l, d, func(w *Worker) {
		n := part * float64(room(d, w))
		w.sought = w.sought.Add(work.Resources{
			Processors: int64(n * float64(size.Processors)), Memory: int64(n * float64(size.Memory)), Accelerators: int64(n * float64(size.Accelerators)),
		})
	})
}

// eachAsked calls visit for the workers about which the demand that is being planned waits for an
// answer.
func (p *planner) eachAsked(l *inventory, d *Demand, visit func(*Worker)) {
	for id := range d.Advice.Asked {
		if w := l.named[id]; w != nil {
			visit(w)
		}
	}
	for _, id := range p.asking {
		if w := l.named[id]; w != nil && !d.Advice.Asked[id] {
			visit(w)
		}
	}
}

// unsought returns how many tasks of the demand fit on a worker beside what other demands seek
// there.
func unsought(d *Demand, w *Worker) int {
	if d.Spec.Gang {
		return room(d, w) // it reserves its workers
	}
	free := w.Free
	w.Free = w.Free.Sub(w.sought)
	defer func() { w.Free = free }()
	return room(d, w)
}
