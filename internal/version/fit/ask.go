package fit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// slowAnswer is the time of an answer from which on it is asked ahead.
	slowAnswer = 50 * time.Millisecond
	// renewMargin is how long before the end of its ticket a worker is asked
	// about again, beside the time of the answer.
	renewMargin = 200 * time.Millisecond
	// goodWanted is how many good workers are looked for ahead for each task. With
	// it, a gang of four is asked about nearly all of a pool of a hundred workers of
	// which three in ten are good.
	goodWanted = 8
	// renewedWorkers bounds the workers that are asked about ahead.
	renewedWorkers = 8
)

// ask asks about a step ahead of its turn, if nothing is known yet.
func (p *planner) ask(d *Demand) {
	if d.Advised && !d.Advice.Asking && len(d.Advice.Answers) == 0 {
		p.question(d, p.unknown(d, maximumAsk))
	}
}

// askFor asks about workers for tasks that found none with a valid ticket.
// Workers that are known to be good and have room come first; others are asked
// about once. A step without room anywhere asks nothing.
func (p *planner) askFor(d *Demand, tasks int) {
	if !d.Advised || d.Advice.Asking {
		return
	}
	if len(d.Advice.Answers) == 0 {
		p.question(d, p.unknown(d, maximumAsk))
		return
	}
	wanted := min(maximumAsk, max(3, int(math.Ceil(float64(tasks)*askFactor))))
	workers, fit := p.renewable(d)
	if len(workers) > wanted {
		workers = workers[:wanted]
	}
	if d.Spec.Gang && fit < len(d.Tasks) || len(workers) < wanted {
		workers = append(workers, p.unknown(d, max(wanted-len(workers), 0))...)
	}
	if d.Spec.Gang && fit < len(d.Tasks) && !p.news(d, workers) {
		workers = nil // there is no room for the gang yet
	}
	if len(workers) == 0 {
		if !p.explore(d) {
			p.renew(d)
		}
		return
	}
	p.keep(d, workers)
	p.question(d, workers)
}

// keep keeps the room on workers that are asked about until the answer comes.
func (p *planner) keep(d *Demand, names []string) {
	if d.rank != timely {
		return
	}
	for _, w := range p.pools[d.Pool] {
		if w.held == nil && slices.Contains(names, w.ID) {
			w.held = d
		}
	}
}

// explore asks ahead about workers that the step was not asked about, while few
// are known to be good for each of its tasks: a gang of wide tasks that is confined
// to a handful of workers waits until all of them are free at once. It reports
// whether there was anything to ask.
func (p *planner) explore(d *Demand) bool {
	if d.rank != timely || !p.claims(d) {
		return false
	}
	good := 0
	var unknown []*Worker
	for _, w := range p.pools[d.Pool] {
		a, known := d.Advice.Answers[w.ID]
		switch {
		case !known && suits(d, w):
			unknown = append(unknown, w)
		case a.Good:
			good++
		}
	}
	if len(unknown) == 0 || good >= goodWanted*len(d.Tasks) {
		return false
	}
	offers := make([]offer, 0, len(unknown))
	for _, w := range unknown {
		offers = append(offers, p.offer(d, w, d.Spec.Reserves()))
	}
	slices.SortStableFunc(offers, compareOffers)
	var workers []string
	for _, o := range offers[:min(len(offers), maximumAsk)] {
		workers = append(workers, o.worker.ID)
	}
	p.plan.Asks = append(p.plan.Asks, Ask{d, workers, true})
	return true
}

// renew asks ahead of room for a demand whose answers take long: otherwise each
// worker would idle for that time whenever it becomes free.
func (p *planner) renew(d *Demand) {
	if d.Slow < slowAnswer || d.rank != timely {
		return
	}
	var candidates []offer
	for _, w := range p.pools[d.Pool] {
		a := d.Advice.Answers[w.ID]
		if a.Good && p.now.Add(d.Slow+renewMargin).After(a.Expiry) && p.claimable(d, w) {
			candidates = append(candidates, p.offer(d, w, d.Spec.Reserves()))
		}
	}
	slices.SortStableFunc(candidates, compareOffers)
	var workers []string
	for i, o := range candidates {
		if i < renewedWorkers {
			workers = append(workers, o.worker.ID)
		}
	}
	if len(workers) > 0 {
		p.plan.Asks = append(p.plan.Asks, Ask{d, workers, true})
	}
}

// renewable returns the good workers whose tickets have expired and that have
// room, counting what is being stopped, and how many tasks fit on good workers.
func (p *planner) renewable(d *Demand) (workers []string, fit int) {
	size := d.Spec.Reserves()
	for _, w := range p.pools[d.Pool] {
		a := d.Advice.Answers[w.ID]
		if !a.Good {
			continue
		}
		ending := w.Ending
		w.Free = w.Free.Add(ending)
		if p.open(d, w) {
			n := times(size, w.Free)
			if d.Spec.Spread > 0 {
				n = min(n, d.Spec.Spread-d.Placed[w.ID])
			}
			fit += n
			if !p.now.Before(a.Expiry) {
				workers = append(workers, w.ID)
			}
		}
		w.Free = w.Free.Sub(ending)
	}
	return workers, fit
}

// news reports whether a worker is among those that the step was not asked about.
func (p *planner) news(d *Demand, workers []string) bool {
	for _, w := range workers {
		if _, known := d.Advice.Answers[w]; !known {
			return true
		}
	}
	return false
}

// unknown returns workers with room that the step was not asked about, those
// first that have room for most of its tasks. Before the first question, workers without room count too:
// they may have some when the answer comes.
func (p *planner) unknown(d *Demand, most int) []string {
	first := len(d.Advice.Answers) == 0
	var candidates []*Worker
	for _, w := range p.pools[d.Pool] {
		if _, known := d.Advice.Answers[w.ID]; !known && (first && suits(d, w) || p.open(d, w)) {
			candidates = append(candidates, w)
		}
	}
	size := d.Spec.Reserves()
	slices.SortStableFunc(candidates, func(a, b *Worker) int {
		return cmp.Compare(times(size, b.Free.Add(b.Ending)), times(size, a.Free.Add(a.Ending)))
	})
	var workers []string
	for i, w := range candidates {
		if i >= most {
			break
		}
		workers = append(workers, w.ID)
	}
	return workers
}

func (p *planner) question(d *Demand, workers []string) {
	if len(workers) > 0 {
		p.plan.Asks = append(p.plan.Asks, Ask{d, workers, false})
	}
}
