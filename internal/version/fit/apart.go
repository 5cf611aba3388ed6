package fit

// While tasks of a queue crash their workers, the queue's work is kept apart from that of
// other queues where there is room: a crash then takes short runs of the same kind with
// it, and not hours of others' work. Answers this load: a flood of work that crashes its
// workers, of which the first crash cannot be foreseen.

// mixPenalty ranks a worker with work from which the demand is kept apart behind all
// others that fit, but before slow ones.
const mixPenalty = 1.5

// mixes reports whether the demand would be beside work from which it is kept apart.
func mixes(d *Demand, w *Worker) bool {
	switch {
	case d.Trial:
		return false
	case w.Tried > 0:
		return true // the next trial may be there
	case d.Risky:
		return w.Tenants > w.Risky
	}
	return w.Risky > 0
}
