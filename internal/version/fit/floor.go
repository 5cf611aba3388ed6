package fit

// Work that is not in time comes last, since few callers wait for it, but it has to end: whatever is
// free after all other work has had its turn goes to it, and while it waits for tickets beside free
// capacity, some clients of the advice service are kept for it. Answers this load: a flood of work
// that expires, behind which the work of another pool takes all clients, so that accepted work never
// started although half of its pool was idle.

const (
	// floorUse is the use of a pool, by its scarcest resource, below which clients are kept for its
	// late and expired work: operators take work for lost that waits beside a pool that is half idle.
	floorUse = 0.5
	// maxFloorChecks bounds the demands of a plan for which free capacity is looked for.
	maxFloorChecks = 8
)

// atFloor reports whether clients of the advice service may be kept for the demand. In a pool that
// is busy, its queries would take them from a pool that is idle.
func (d *Demand) atFloor(l *inventory) bool {
	return (d.rank == late || d.rank == expired) && l.capacity.Sub(l.free).Dominant(l.capacity) < floorUse
}

// noteFloor records that a demand waits for tickets, if a worker that may be allowed has room for a
// task of it which no demand before it waits for.
func (p *planner) noteFloor(l *inventory, d *Demand) {
	if p.plan.Floor || p.floorChecks >= maxFloorChecks || !d.atFloor(l) {
		return
	}
	p.floorChecks++
	l.freest(d.Spec.Reservation(), func(w *Worker) bool {
		p.plan.Floor = p.mayBeAllowed(d, w) && unsought(d, w) > 0
		return !p.plan.Floor
	})
}
