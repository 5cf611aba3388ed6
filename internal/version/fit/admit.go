package fit

import (
	"slices"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// firstReturn and lastReturn bound the time after which a refused caller is
	// told to come back.
	firstReturn = time.Second
	lastReturn  = 30 * time.Second
	// runningShare is the part of its estimated run time that a running task has
	// left on average.
	runningShare = 0.5
)

// Load is the work that a pool has ahead of it, for the decision whether more is
// taken. It answers overload that lasts longer than callers wait: what would be
// useless by the time of its turn is refused at once.
type Load struct {
	capacity work.Resources // of all workers that are there
	shapes   []*Worker
	running  [bands]time.Duration // time that the whole pool needs for what runs
	waiting  []ahead
}

type ahead struct {
	band  int
	due   time.Time
	needs time.Duration // of the whole pool
}

// NewLoad returns the load of a pool that has the workers.
func NewLoad(workers []*Worker) *Load {
	l := &Load{shapes: workers}
	for _, w := range workers {
		l.capacity = l.capacity.Add(w.Capacity)
	}
	return l
}

// needs returns the time that the whole pool needs for some tasks.
func (l *Load) needs(size work.Resources, tasks int, estimate time.Duration) time.Duration {
	return time.Duration(size.Dominant(l.capacity) * float64(tasks) * float64(estimate))
}

// Run counts a running task. It delays only what does not go before it: urgent
// work has room of its own.
func (l *Load) Run(d *Demand) {
	l.running[d.band()] += time.Duration(runningShare * float64(l.needs(d.Spec.Reserves(), 1, d.Spec.Estimate)))
}

// Wait counts a demand. Late ones come after all others and delay nothing.
func (l *Load) Wait(d *Demand, now time.Time) {
	if d.Spec.Lasting || d.ranked(now) != timely {
		return
	}
	l.waiting = append(l.waiting, ahead{d.band(), d.due(), l.needs(d.Spec.Reserves(), len(d.Tasks), d.Spec.Estimate)})
}

// Verdict tells whether a job is taken.
type Verdict struct {
	Refused bool
	Reason  string
	Return  time.Duration // when to come back
}

// Reasons to refuse a job.
const (
	Overload   = "the job would be of no use by the time of its turn"
	Infeasible = "a task is larger than every worker of the pool, or no worker has its label"
)

// Admit decides whether a job is taken whose demands are given, all of its
// steps, with the estimated time of its longest chain of steps.
func (l *Load) Admit(now time.Time, steps []*Demand, chain time.Duration) Verdict {
	if len(l.shapes) == 0 || len(steps) == 0 {
		return Verdict{} // nothing is known of the pool yet
	}
	for _, d := range steps {
		if !slices.ContainsFunc(l.shapes, func(w *Worker) bool { return suits(d, w) }) {
			return Verdict{Refused: true, Reason: Infeasible, Return: lastReturn}
		}
	}
	first := steps[0]
	if first.Spec.Lasting {
		return Verdict{}
	}
	delay := time.Duration(0)
	for band := range first.band() + 1 {
		delay += l.running[band]
	}
	for _, a := range l.waiting {
		if a.band < first.band() || a.band == first.band() && !a.due.After(first.due()) {
			delay += a.needs
		}
	}
	over := now.Add(delay + chain).Sub(first.Useless)
	if over <= 0 {
		return Verdict{}
	}
	return Verdict{Refused: true, Reason: Overload, Return: min(lastReturn, max(firstReturn, over))}
}
