package fit

// Work that has expired comes last, since no caller waits for it, but it has to end: whatever is
// free after all other work has had its turn goes to it, and while it waits for tickets beside free
// capacity, a few clients of the advice service are kept for it. Answers this load: a flood of work
// that expires, behind which work in time takes all clients, so that accepted work never started
// although half of a pool was idle.

// hasRoom reports whether a worker that may be allowed has room for a task of the demand which no
// demand before it waits for.
func (p *planner) hasRoom(l *inventory, d *Demand) bool {
	found := false
	l.freest(d.Spec.Reservation(), func(w *Worker) bool {
		if room(d, w) == 0 {
			return false // those that follow have less
		}
		found = p.mayBeAllowed(d, w) && unsought(d, w) > 0
		return !found
	})
	return found
}
