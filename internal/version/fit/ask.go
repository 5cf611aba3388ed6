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
	// queryWorkers is the number of workers that a query names at least, if there are
	// as many. Naming a worker costs little beside the query itself, and an answer
	// that covers more workers saves later queries.
	queryWorkers = 30
	// maxRenewedWorkers limits the workers in one renewal.
	maxRenewedWorkers = 8
)

// queryEarly sends the first queries about a step that is not ready yet.
func (p *planner) queryEarly(l *inventory, d *Demand) {
	if d.Advised && !d.Advice.Paused && d.Advice.unused() {
		workers, _ := p.unknownWorkers(l, d, queryFactor*float64(len(d.Tasks)))
		p.addQueries(d, workers, false)
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
	defer func() { p.seek(l, d, tasks) }()
	early := d.rank != onTime && !p.off.wideQueries
	p.noteFloor(l, d)
	if early && !p.mayAskEarly(d) {
		return
	}
	idle := d.Advice.Queries == 0
	missing := queryFactor*float64(tasks) - p.expected(l, d)
	workers, missing, fit := p.expiredTickets(l, d, missing)
	needed := len(workers)
	if !d.Spec.Gang || fit < len(d.Tasks) {
		unknown, n := p.unknownWorkers(l, d, missing)
		workers, needed = append(workers, unknown...), needed+n
	}
	if d.Spec.Gang && fit < len(d.Tasks) && !p.anyUnknown(d, workers) {
		workers, needed = nil, 0 // the gang does not fit yet
	}
	p.ask(l, d, p.pad(l, d, workers), needed, early)
	idle = idle && len(workers) == 0
	if explored := (idle || d.Spec.Gang) && p.explore(l, d); !explored && idle {
		p.renewTickets(l, d)
	}
}

// expected returns the number of tasks that are expected to fit on the workers in
// the queries that are in flight.
func (p *planner) expected(l *inventory, d *Demand) float64 {
	n := 0
	for id := range d.Advice.Asked {
		if w := l.named[id]; w != nil {
			n += room(d, w)
		}
	}
	return d.allowedShare() * float64(n)
}

// room returns how many tasks of the demand fit on a worker once the runs that are
// being stopped there have ended.
func room(d *Demand, w *Worker) int {
	ending := w.Releasing
	w.Free = w.Free.Add(ending)
	defer func() { w.Free = w.Free.Sub(ending) }()
	if !fits(d, w) {
		return 0
	}
	n := fitCount(d.Spec.Reservation(), w.Free)
	if d.Spec.Spread > 0 {
		n = min(n, d.Spec.Spread-d.Placed[w.ID])
	}
	return n
}

// allowedShare returns the expected fraction of allowed workers.
func (d *Demand) allowedShare() float64 {
	if d.AllowedShare <= 0 {
		return defaultAllowedShare
	}
	return d.AllowedShare
}

// pad adds workers to a query that names few: allowed ones whose ticket expires
// soon, then those that have not been queried, both regardless of what is free on
// them. Without these, a step that finds a full pool would send a query for each
// worker that becomes free.
func (p *planner) pad(l *inventory, d *Demand, workers []string) []string {
	if len(workers) == 0 || len(workers) >= queryWorkers || p.off.wideQueries {
		return workers
	}
	add := func(w *Worker) {
		if len(workers) < queryWorkers && eligible(d, w) && !d.Advice.Asked[w.ID] && !slices.Contains(workers, w.ID) {
			workers = append(workers, w.ID)
		}
	}
	for _, w := range p.allowedWorkers(l, d) {
		if p.expiresSoon(d, w) {
			add(w)
		}
	}
	l.preferred(d, func(visit func(*Worker) bool) { l.turn(d, visit) }, func(w *Worker) bool {
		if !d.Advice.known(w.ID) {
			add(w)
		}
		return len(workers) < queryWorkers
	})
	return workers
}

// expiresSoon reports whether the ticket for a worker may expire before a renewal
// is answered.
func (p *planner) expiresSoon(d *Demand, w *Worker) bool {
	return p.now.Add(d.MinAnswerTime + renewMargin).After(d.Advice.Answers[w.ID].Expiry)
}

// ask queries the advice service about workers and reserves the needed ones, which
// come first, so that their capacity is still free when the answer arrives.
func (p *planner) ask(l *inventory, d *Demand, workers []string, needed int, early bool) {
	p.addQueries(d, workers, early)
	if d.rank != onTime {
		return
	}
	for _, id := range workers[:needed] {
		w := l.named[id]
		l.reserve(w, d)
		w.asked = w.reservedFor == d
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
		floor := early && p.cluster.Floor > 0 && d.atFloor(p.pools[d.Pool])
		p.plan.Queries = append(p.plan.Queries, Query{Demand: d, Workers: chunk, Early: early, Floor: floor})
		p.asking = append(p.asking, chunk...)
		p.queries++
		switch {
		case !early:
		case floor:
			p.cluster.Floor--
		case d.Priority == 0 && p.cluster.Urgent > 0:
			p.cluster.Urgent--
		default:
			p.cluster.Early--
		}
	}
}

// mayAskEarly reports whether an early query about a demand can be sent now.
func (p *planner) mayAskEarly(d *Demand) bool {
	return p.cluster.Early > 0 || d.Priority == 0 && p.cluster.Urgent > 0 || p.cluster.Floor > 0 && d.atFloor(p.pools[d.Pool])
}

// explore queries workers that are not known yet while few workers per task are
// known to be allowed. Otherwise a gang of wide tasks that is limited to a handful
// of workers would wait until all of them are free at once. It reports whether it
// added a query.
func (p *planner) explore(l *inventory, d *Demand) bool {
	if !p.mayAskEarly(d) || d.rank != onTime || !p.mayReserve(l, d) {
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

// unused reports whether nothing was asked yet.
func (a *Advice) unused() bool { return a.Queries == 0 && len(a.Answers) == 0 }

// known reports whether a worker was asked about.
func (a *Advice) known(worker string) bool {
	_, answered := a.Answers[worker]
	return answered || a.Asked[worker]
}

// renewTickets renews tickets before capacity becomes free if the advice service
// is slow. Otherwise each worker would be idle for the response time whenever it
// becomes free.
func (p *planner) renewTickets(l *inventory, d *Demand) {
	if !p.mayAskEarly(d) || d.MinAnswerTime < slowAnswerTime || d.rank != onTime {
		return
	}
	var candidates []candidate
	for _, w := range p.allowedWorkers(l, d) {
		if p.expiresSoon(d, w) && p.reservable(d, w) {
			candidates = append(candidates, p.evaluate(d, w, d.Spec.Reservation()))
		}
	}
	var workers []string
	for _, c := range smallest(candidates, maxRenewedWorkers, compareCandidates) {
		workers = append(workers, c.worker.ID)
	}
	p.addQueries(d, workers, true)
}

// allowedWorkers returns the workers that the advice service allows for the demand
// that is being planned, ordered by ID.
func (p *planner) allowedWorkers(l *inventory, d *Demand) []*Worker {
	if p.allowed == nil {
		p.allowed = []*Worker{}
		for _, id := range d.Advice.allowedNames() {
			if w := l.named[id]; w != nil {
				p.allowed = append(p.allowed, w)
			}
		}
	}
	return p.allowed
}

// expiredTickets returns allowed workers with an expired ticket on which tasks fit,
// those that fit most first, until they fit the missing tasks. It also returns what
// is missing then, and how many tasks fit on all allowed workers.
func (p *planner) expiredTickets(l *inventory, d *Demand, missing float64) (names []string, left float64, fit int) {
	type expired struct {
		worker string
		room   int
	}
	var list []expired
	for _, w := range p.allowedWorkers(l, d) {
		n := unsought(d, w)
		fit += n
		if n > 0 && !p.now.Before(d.Advice.Answers[w.ID].Expiry) && !d.Advice.Asked[w.ID] {
			list = append(list, expired{w.ID, n})
		}
	}
	slices.SortStableFunc(list, func(a, b expired) int {
		if d.names(a.worker) != d.names(b.worker) {
			if d.names(a.worker) {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.room, a.room)
	})
	for _, e := range list {
		if missing <= 0 {
			break
		}
		names, missing = append(names, e.worker), missing-float64(e.room)
	}
	return names, missing, fit
}

// names reports whether a member of the gang may run on a worker only.
func (d *Demand) names(worker string) bool {
	for _, name := range d.Members {
		if name == worker {
			return true
		}
	}
	return false
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

// unknownWorkers returns workers with free capacity that have not been queried yet,
// those with the most free first, and how many of them are needed for the missing
// tasks to fit. The first query includes further ones and some without free
// capacity, which may have some when the answer arrives.
func (p *planner) unknownWorkers(l *inventory, d *Demand, missing float64) (names []string, needed int) {
	first := d.Advice.unused()
	least := 0
	if first {
		least = queryWorkers
	}
	consider := func(w *Worker) bool {
		if n := unsought(d, w); !d.Advice.known(w.ID) && (n > 0 || first && eligible(d, w)) {
			names = append(names, w.ID)
			if n > 0 && missing > 0 {
				needed = len(names)
			}
			missing -= d.allowedShare() * float64(max(n, 1))
		}
		return (missing > 0 || len(names) < least) && len(names) < maxQueries*maxQueryWorkers
	}
	if missing <= 0 && least == 0 {
		return nil, 0
	}
	for _, w := range l.own {
		if !consider(w) {
			return names, needed
		}
	}
	more := true
	l.preferred(d, func(visit func(*Worker) bool) { l.freest(d.Spec.Reservation(), visit) }, func(w *Worker) bool {
		more = consider(w)
		return more
	})
	for i := 0; first && more && i < len(l.workers); i++ {
		// Steps begin at different workers, so that they do not all wait for the same.
		if w := l.workers[(i+int(d.Sequence))%len(l.workers)]; w.reservedFor != nil && w.reservedFor != d {
			more = consider(w)
		}
	}
	return names, needed
}
