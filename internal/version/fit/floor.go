package fit

import "time"

// Work that is not in time comes last, since few callers wait for it, but it has to end: whatever is
// free after all other work has had its turn goes to it, and while it waits for tickets beside free
// capacity, some clients of the advice service are kept for it. Answers this load: a flood of work
// that expires, behind which work in time takes all clients, so that accepted work never started
// although half of a pool was idle.

const (
	// floorWait is how long late work waits before clients are kept for it. Expired work does not
	// wait for that.
	floorWait = 5 * time.Second
	// maxFloorChecks bounds the demands of a plan for which free capacity is looked for.
	maxFloorChecks = 8
)

// atFloor reports whether clients of the advice service may be kept for the demand.
func (d *Demand) atFloor() bool {
	return d.rank == expired || d.rank == late && d.Waited >= floorWait
}

// noteFloor records that a demand waits for tickets, if a worker that may be allowed has room for a
// task of it which no demand before it waits for.
func (p *planner) noteFloor(l *inventory, d *Demand) {
	if p.plan.Floor || p.floorChecks >= maxFloorChecks || !d.atFloor() {
		return
	}
	p.floorChecks++
	l.freest(d.Spec.Reservation(), func(w *Worker) bool {
		p.plan.Floor = p.mayBeAllowed(d, w) && unsought(d, w) > 0
		return !p.plan.Floor
	})
}
