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
	// defaultAllowedShare is the expected fraction of allowed workers for a queue that
	// has had no answers.
	defaultAllowedShare = 0.5
	// minQueryWorkers is the lowest number of workers to ask about.
	minQueryWorkers = 6
	// maxRenewedWorkers limits the workers in one renewal.
	maxRenewedWorkers = 8
)

// queryEarly sends the first queries about a step that is not ready yet.
func (p *planner) queryEarly(l *inventory, d *Demand) {
	if d.Advised && !d.Advice.Paused && d.Advice.Queries == 0 && len(d.Advice.Answers) == 0 {
		p.addQueries(d, p.unknownWorkers(l, d, p.wanted(d, len(d.Tasks))), false)
	}
}

// query asks the advice service about workers for tasks that did not fit on any
// worker with a valid ticket. Allowed workers with free capacity come first, then
// those not queried yet; no worker is queried again once it was refused. If no
// worker has free capacity, it queries ahead instead.
func (p *planner) query(l *inventory, d *Demand, tasks int) {
	if !d.Advised || d.Advice.Paused || d.Advice.Queries >= maxQueries {
		return
	}
	wanted := p.wanted(d, tasks)
	if d.Advice.Queries == 0 && len(d.Advice.Answers) == 0 {
		p.ask(l, d, p.unknownWorkers(l, d, wanted))
		if d.Spec.Gang {
			p.explore(l, d)
		}
		return
	}
	wanted -= len(d.Advice.Asked)
	workers, fit := p.expiredTickets(l, d)
	if len(workers) > wanted {
		workers = workers[:max(wanted, 0)]
	}
	if d.Spec.Gang && fit < len(d.Tasks) || len(workers) < wanted {
		workers = append(workers, p.unknownWorkers(l, d, wanted-len(workers))...)
	}
	if d.Spec.Gang && fit < len(d.Tasks) && !p.anyUnknown(d, workers) {
		workers = nil // the gang does not fit yet
	}
	p.ask(l, d, workers)
	idle := len(workers) == 0 && d.Advice.Queries == 0
	if explored := (idle || d.Spec.Gang) && p.explore(l, d); !explored && idle {
		p.renewTickets(l, d)
	}
}

// wanted returns how many workers to ask about for a number of tasks, those
// included that are being asked about.
func (p *planner) wanted(d *Demand, tasks int) int {
	n := int(math.Ceil(float64(tasks) * queryFactor / d.allowedShare()))
	return min(max(n, minQueryWorkers), maxQueries*maxQueryWorkers)
}

// allowedShare returns the expected fraction of allowed workers.
func (d *Demand) allowedShare() float64 {
	if d.AllowedShare <= 0 {
		return defaultAllowedShare
	}
	return d.AllowedShare
}

// ask queries the advice service about workers and reserves them, so that their
// capacity is still free when the answer arrives.
func (p *planner) ask(l *inventory, d *Demand, workers []string) {
	p.addQueries(d, workers, false)
	if d.rank != onTime {
		return
	}
	for _, id := range workers {
		l.reserve(l.named[id], d)
	}
}

// addQueries adds queries about workers to the plan, as many as are needed for all
// of them, but no more than may be in flight.
func (p *planner) addQueries(d *Demand, workers []string, early bool) {
	if len(workers) == 0 {
		return
	}
	n := (len(workers) + maxQueryWorkers - 1) / maxQueryWorkers
	n = min(n, maxQueries-d.Advice.Queries-p.queries)
	if n <= 0 {
		return
	}
	size := min((len(workers)+n-1)/n, maxQueryWorkers)
	for chunk := range slices.Chunk(workers[:min(len(workers), n*size)], size) {
		p.plan.Queries = append(p.plan.Queries, Query{d, chunk, early})
		p.asking = append(p.asking, chunk...)
		p.queries++
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
	allowed := d.allowedShare() * float64(len(d.Advice.Asked)+len(p.asking))
	for _, a := range d.Advice.Answers {
		if a.Allowed {
			allowed++
		}
	}
	missing := float64(allowedPerTask*len(d.Tasks)) - allowed
	if missing <= 0 {
		return false
	}
	var candidates []candidate
	for _, w := range l.workers {
		if !d.Advice.known(w.ID) && !slices.Contains(p.asking, w.ID) && eligible(d, w) {
			candidates = append(candidates, p.evaluate(d, w, d.Spec.Reservation()))
		}
	}
	if len(candidates) == 0 {
		return false
	}
	var workers []string
	most := min(int(math.Ceil(missing/d.allowedShare())), maxQueries*maxQueryWorkers)
	for _, c := range smallest(candidates, most, compareCandidates) {
		workers = append(workers, c.worker.ID)
	}
	p.addQueries(d, workers, true)
	return true
}

// known reports whether a worker was asked about.
func (a *Advice) known(worker string) bool {
	_, answered := a.Answers[worker]
	return answered || a.Asked[worker]
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
	p.addQueries(d, workers, true)
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
			if !p.now.Before(d.Advice.Answers[w.ID].Expiry) && !d.Advice.Asked[w.ID] {
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
	first := len(d.Advice.Answers) == 0 && d.Advice.Queries == 0
	var candidates []*Worker
	consider := func(w *Worker) bool {
		if !d.Advice.known(w.ID) && (first && eligible(d, w) || fits(d, w)) {
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
