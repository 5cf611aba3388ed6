package fit

import "github.com/rosemaryloft/rosemaryloft/internal/work"

// maxExplained limits the blocked demands of a pool that are matched with its idle
// capacity.
const maxExplained = 200

// Idle is the free capacity of a pool that waiting tasks could use, by what keeps
// them from it.
type Idle struct {
	Ticket      work.Resources // a task waits for the advice service's answer
	Denied      work.Resources // the advice service does not allow the worker
	Reservation work.Resources // the worker is reserved for others, or other members of the gang do not fit
	Headroom    work.Resources // kept for urgent work
	Limit       work.Resources // the workspaces of these tasks are at their limits
	Shape       work.Resources // too little on one worker for any waiting task
}

// Causes holds the names of the causes, in the order of Amounts.
var Causes = [...]string{"ticket", "denied", "reservation", "headroom", "limit", "shape"}

// Amounts returns the amounts by cause.
func (i *Idle) Amounts() [len(Causes)]work.Resources {
	return [...]work.Resources{i.Ticket, i.Denied, i.Reservation, i.Headroom, i.Limit, i.Shape}
}

// explain sums up what the plan leaves free in each pool with waiting tasks.
func (p *planner) explain() map[string]Idle {
	waiting := map[string][]Block{}
	for _, limited := range []bool{false, true} {
		for _, b := range p.plan.Blocks {
			if (b.Reason == AtLimit) == limited && len(waiting[b.Demand.Pool]) < maxExplained {
				waiting[b.Demand.Pool] = append(waiting[b.Demand.Pool], b)
			}
		}
	}
	idle := map[string]Idle{}
	for name, blocks := range waiting {
		if l := p.pools[name]; l != nil {
			idle[name] = p.explainPool(l, blocks)
		}
	}
	return idle
}

// explainPool matches the waiting tasks of a pool, in their order, with the workers
// that have room for them.
func (p *planner) explainPool(l *inventory, blocks []Block) Idle {
	var idle Idle
	left := make([]int, len(blocks))
	for i, b := range blocks {
		left[i] = len(b.Left())
	}
	for _, w := range l.workers {
		free, reserved := w.Free, w.reservedFor
		w.reservedFor = nil
		wanted := false
		for i, b := range blocks {
			if left[i] > 0 && fits(b.Demand, w) {
				size := b.Demand.Spec.Reservation()
				n := min(left[i], fitCount(size, w.Free))
				p.charge(&idle, w, reserved, b, size.Times(int64(n)))
				left[i], w.Free = left[i]-n, w.Free.Sub(size.Times(int64(n)))
			}
			wanted = wanted || left[i] > 0
		}
		if wanted {
			idle.Shape = idle.Shape.Add(w.Free)
		}
		w.Free, w.reservedFor = free, reserved
	}
	return idle
}

// charge adds an amount on a worker, which a blocked demand could use, to what
// holds it.
func (p *planner) charge(idle *Idle, w *Worker, reserved *Demand, b Block, amount work.Resources) {
	d := b.Demand
	holder := &idle.Reservation
	switch {
	case b.Reason == AtLimit:
		holder = &idle.Limit
	case b.Reason == UrgentHeadroom:
		holder = &idle.Headroom
	case reserved != nil && reserved != d:
		if w.asked {
			holder = &idle.Ticket
		}
	case !p.mayBeAllowed(d, w):
		holder = &idle.Denied
	case d.Advised && !p.now.Before(d.Advice.Answers[w.ID].Expiry):
		holder = &idle.Ticket
	}
	*holder = holder.Add(amount)
}
