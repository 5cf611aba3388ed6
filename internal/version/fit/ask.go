package fit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// slowAnswerTime is the response time of the advice service from which tickets
	// are renewed before capacity becomes free.
	slowAnswerTime = 50 * time.Millisecond
	// renewMargin is how long before a ticket expires it is renewed, in addition to
	// the response time.
	renewMargin = 200 * time.Millisecond
	// allowedPerTask is the number of allowed workers per task that explore aims
	// for. With 8, a gang of 4 queries nearly all of a pool of 100 workers of which
	// three in ten are allowed.
	allowedPerTask = 8
	// maxRenewedWorkers limits the workers in one renewal.
	maxRenewedWorkers = 8
)

// queryEarly sends the first query about a step that is not ready yet.
func (p *planner) queryEarly(l *inventory, d *Demand) {
	if d.Advised && !d.Advice.InFlight && len(d.Advice.Answers) == 0 {
		p.addQuery(d, p.unknownWorkers(l, d, maxQueryWorkers))
	}
}

// query asks the advice service about workers for tasks that did not fit on any
// worker with a valid ticket. Allowed workers with free capacity come first, then
// those not queried yet; no worker is queried again once it was refused. If no
// worker has free capacity, it queries ahead instead.
func (p *planner) query(l *inventory, d *Demand, tasks int) {
	if !d.Advised || d.Advice.InFlight {
		return
	}
	if len(d.Advice.Answers) == 0 {
		p.addQuery(d, p.unknownWorkers(l, d, maxQueryWorkers))
		return
	}
	wanted := min(maxQueryWorkers, max(3, int(math.Ceil(float64(tasks)*queryFactor))))
	workers, fit := p.expiredTickets(l, d)
	if len(workers) > wanted {
		workers = workers[:wanted]
	}
	if d.Spec.Gang && fit < len(d.Tasks) || len(workers) < wanted {
		workers = append(workers, p.unknownWorkers(l, d, max(wanted-len(workers), 0))...)
	}
	if d.Spec.Gang && fit < len(d.Tasks) && !p.anyUnknown(d, workers) {
		workers = nil // the gang does not fit yet
	}
	if len(workers) == 0 {
		if !p.explore(l, d) {
			p.renewTickets(l, d)
		}
		return
	}
	p.reserveQueried(l, d, workers)
	p.addQuery(d, workers)
}

// reserveQueried reserves queried workers, so that their capacity is still free
// when the answer arrives.
func (p *planner) reserveQueried(l *inventory, d *Demand, names []string) {
	if d.rank != onTime {
		return
	}
	for _, id := range names {
		l.reserve(l.named[id], d)
	}
}

// explore queries workers that are not known yet while few workers per task are
// known to be allowed. Otherwise a gang of wide tasks that is limited to a handful
// of workers would wait until all of them are free at once. It reports whether it
// added a query.
func (p *planner) explore(l *inventory, d *Demand) bool {
	if d.rank != onTime || !p.mayReserve(l, d) {
		return false
	}
	allowed := 0
	for _, a := range d.Advice.Answers {
		if a.Allowed {
			allowed++
		}
	}
	if allowed >= allowedPerTask*len(d.Tasks) {
		return false
	}
	var candidates []candidate
	for _, w := range l.workers {
		if _, known := d.Advice.Answers[w.ID]; !known && eligible(d, w) {
			candidates = append(candidates, p.evaluate(d, w, d.Spec.Reservation()))
		}
	}
	if len(candidates) == 0 {
		return false
	}
	var workers []string
	for _, c := range smallest(candidates, maxQueryWorkers, compareCandidates) {
		workers = append(workers, c.worker.ID)
	}
	p.plan.Queries = append(p.plan.Queries, Query{d, workers, true})
	return true
}

// renewTickets renews tickets before capacity becomes free if the advice service
// is slow. Otherwise each worker would be idle for the response time whenever it
// becomes free.
func (p *planner) renewTickets(l *inventory, d *Demand) {
	if d.MinAnswerTime < slowAnswerTime || d.rank != onTime {
		return
	}
	var candidates []candidate
	for _, w := range l.allowed(d) {
		if p.now.Add(d.MinAnswerTime+renewMargin).After(d.Advice.Answers[w.ID].Expiry) && p.reservable(d, w) {
			candidates = append(candidates, p.evaluate(d, w, d.Spec.Reservation()))
		}
	}
	var workers []string
	for _, c := range smallest(candidates, maxRenewedWorkers, compareCandidates) {
		workers = append(workers, c.worker.ID)
	}
	if len(workers) > 0 {
		p.plan.Queries = append(p.plan.Queries, Query{d, workers, true})
	}
}

// allowed returns the workers that the advice service allows, ordered by ID.
func (l *inventory) allowed(d *Demand) []*Worker {
	var list []*Worker
	for id, a := range d.Advice.Answers {
		if w := l.named[id]; a.Allowed && w != nil {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b *Worker) int { return a.order - b.order })
	return list
}

// expiredTickets returns the allowed workers with an expired ticket on which a
// task fits, and how many tasks fit on all allowed workers. Both count the
// capacity of runs that are being stopped as free.
func (p *planner) expiredTickets(l *inventory, d *Demand) (workers []string, fit int) {
	size := d.Spec.Reservation()
	for _, w := range l.allowed(d) {
		ending := w.Releasing
		w.Free = w.Free.Add(ending)
		if fits(d, w) {
			n := fitCount(size, w.Free)
			if d.Spec.Spread > 0 {
				n = min(n, d.Spec.Spread-d.Placed[w.ID])
			}
			fit += n
			if !p.now.Before(d.Advice.Answers[w.ID].Expiry) {
				workers = append(workers, w.ID)
			}
		}
		w.Free = w.Free.Sub(ending)
	}
	return workers, fit
}

// anyUnknown reports whether any of the workers has not been queried yet.
func (p *planner) anyUnknown(d *Demand, workers []string) bool {
	for _, w := range workers {
		if _, known := d.Advice.Answers[w]; !known {
			return true
		}
	}
	return false
}

// unknownWorkers returns up to most workers with free capacity that have not been
// queried yet, those that fit the most tasks first. The first query includes
// workers without free capacity, which may have some when the answer arrives.
func (p *planner) unknownWorkers(l *inventory, d *Demand, most int) []string {
	if most <= 0 {
		return nil
	}
	first := len(d.Advice.Answers) == 0
	var candidates []*Worker
	consider := func(w *Worker) bool {
		if _, known := d.Advice.Answers[w.ID]; !known && (first && eligible(d, w) || fits(d, w)) {
			candidates = append(candidates, w)
		}
		return len(candidates) < most
	}
	for _, w := range l.own {
		consider(w)
	}
	size := d.Spec.Reservation()
	l.freest(size, consider)
	for i := 0; first && i < len(l.workers) && len(candidates) < most; i++ {
		// Steps begin at different workers, so that they do not all wait for the same.
		if w := l.workers[(i+int(d.Sequence))%len(l.workers)]; w.reservedFor != nil && w.reservedFor != d {
			consider(w)
		}
	}
	var workers []string
	for _, w := range smallest(candidates, most, func(a, b *Worker) int {
		return cmp.Compare(fitCount(size, b.Free.Add(b.Releasing)), fitCount(size, a.Free.Add(a.Releasing)))
	}) {
		workers = append(workers, w.ID)
	}
	return workers
}

// addQuery adds a query to the plan unless it would be empty.
func (p *planner) addQuery(d *Demand, workers []string) {
	if len(workers) > 0 {
		p.plan.Queries = append(p.plan.Queries, Query{d, workers, false})
	}
}
