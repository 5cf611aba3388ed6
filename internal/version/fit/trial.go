package fit

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// A task that may have crashed its worker starts again as a trial. Nothing else starts on
// its worker meanwhile, so that a second crash is the task's, and nothing else runs there
// but what has passed its own trial. Answers this load: a flood of work that crashes its
// workers.

const (
	// trialPatience is how long a trial waits for a worker on which nothing else runs. Then
	// one will do on which nothing has started for a while.
	trialPatience = time.Second
	// trialTurn is how long a trial that does not start keeps workers for itself. Then others have their
	// turn for as long: what runs beside it may never leave it enough room.
	trialTurn = 5 * time.Second
	// shunTime is how long a trial waits for another worker than those that crashed under it. Work must
	// not wait for three seconds where there is room.
	shunTime = 2 * time.Second
	// leastUse is the fraction that counts as used on a worker with runs that reserve
	// next to nothing.
	leastUse = 0.01
	// keptShare is the fraction of a pool that trials leave free for others. What is free
	// beyond it, as a number of workers, limits the jobs that have trials at a time; one for
	// leastShare workers may always have them. A worker that crashed during one is out of
	// use for seconds and counts as well.
	keptShare  = 0.15
	leastShare = 12
)

// admits reports whether the trials, of the demand or on the worker, allow the demand to
// use the worker.
func admits(d *Demand, w *Worker) bool {
	switch {
	case w.Trial != "":
		return d.Trial && d.Step.Job == w.Trial
	case !d.Trial || w.Tenants == w.Tried:
		return true
	}
	return d.Waited >= trialPatience && w.Settled
}

// mayShun reports whether the demand, if it is a trial, waits for a worker that has not crashed under its
// tasks, because there is one that could run them: one that goes down and up by turns is often the only idle one.
func (l *inventory) mayShun(d *Demand) bool {
	return len(d.Crashed) > 0 && d.Only == "" && len(d.Members) == 0 && d.Waited < shunTime &&
		slices.ContainsFunc(l.workers, func(w *Worker) bool { return !d.crashed(w) && eligible(d, w) })
}

// crashed reports whether the worker, or another one at its address, crashed under the demand's tasks.
func (d *Demand) crashed(w *Worker) bool {
	_, found := slices.BinarySearchFunc(d.Crashed, w.Address, netip.AddrPort.Compare)
	return found
}

// mayTry reports whether the demand may have trials now.
func (l *inventory) mayTry(d *Demand) bool {
	free := 1 - l.capacity.Sub(l.free).Dominant(l.capacity)
	return l.trials[d.Step.Job] || len(l.trials) < max(1, len(l.workers)/leastShare, int((free-keptShare)*float64(len(l.workers))))
}

// reserveTrial reserves the workers with the least on them for a trial, which then counts
// among those of the pool. It reserves none for which there is no answer of the advice
// service yet, so that others have their trials meanwhile.
func (p *planner) reserveTrial(l *inventory, d *Demand, tasks int) {
	if d.Waited/trialTurn%2 != 0 {
		return
	}
	size := d.Spec.Reservation()
	var workers []*Worker
	for _, w := range l.workers {
		if w.Trial == "" && !(d.shunning && d.crashed(w)) && p.reservable(d, w) && (!d.Advised || p.now.Before(d.Advice.Answers[w.ID].Expiry)) {
			workers = append(workers, w)
		}
	}
	for _, w := range smallest(workers, tasks, func(a, b *Worker) int { return cmp.Compare(a.others(), b.others()) }) {
		if tasks <= 0 {
			return
		}
		l.reserve(w, d)
		l.trials[d.Step.Job] = true
		tasks -= max(1, fitCount(size, w.Capacity))
	}
}

// others returns the dominant fraction of the worker that is in use by other runs than
// trials. Runs that reserve nothing count as well.
func (w *Worker) others() float64 {
	if w.Tenants == w.Tried {
		return 0
	}
	return max(w.used(), leastUse)
}

// used returns the dominant fraction of the worker that is in use.
func (w *Worker) used() float64 { return w.Capacity.Sub(w.Free).Dominant(w.Capacity) }
