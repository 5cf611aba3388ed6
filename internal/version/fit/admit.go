package fit

import (
	"slices"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// minRetryAfter and maxRetryAfter limit the time after which a refused caller is
	// told to retry.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// remainingShare is the fraction of its estimated run time that a running task
	// has left on average.
	remainingShare = 0.5
	// evacuatedRetryAfter is the time after which to retry while all workers that could run the job
	// are in evacuated zones. When these come back is not known; the four retries of a caller cover 40 s.
	evacuatedRetryAfter = 10 * time.Second
)

// Load is the outstanding work of a pool, for admission control. Under overload
// that outlasts the patience of callers, a job that would finish too late to be
// of use is refused at once.
type Load struct {
	capacity  work.Resources // of all workers of the pool, as if their speed were 1, but for those in evacuated zones
	workers   []*Worker
	evacuated []*Worker
	running   [tiers]time.Duration // by tier; time that the whole pool needs to finish its runs
	waiting   []queuedWork
	returns   *Returns
}

// queuedWork is the waiting part of one demand.
type queuedWork struct {
	tier     int
	deadline time.Time
	poolTime time.Duration // time that the whole pool needs for it
}

// NewLoad returns the load of an idle pool of the workers. The returns outlive it.
func NewLoad(workers []*Worker, returns *Returns) *Load {
	l := &Load{returns: returns}
	for _, w := range workers {
		if w.Evacuated {
			l.evacuated = append(l.evacuated, w)
			continue
		}
		l.workers = append(l.workers, w)
		l.capacity = l.capacity.Add(w.delivers())
	}
	return l
}

// poolTime returns the time in which the whole pool, working on nothing else,
// would finish the tasks.
func (l *Load) poolTime(size work.Resources, tasks int, estimate time.Duration) time.Duration {
	return time.Duration(size.Dominant(l.capacity) * float64(tasks) * float64(estimate))
}

// AddRunning adds a running task. It delays only work of the same or a lower
// tier, because urgent work has its own headroom.
func (l *Load) AddRunning(d *Demand) {
	l.running[d.tier()] += time.Duration(remainingShare * float64(l.poolTime(d.Spec.Reservation(), 1, d.Spec.Estimate)))
}

// AddWaiting adds waiting tasks of a demand. Late and expired ones are served last and
// delay nothing, so they do not count. Long-running ones do not count either.
func (l *Load) AddWaiting(d *Demand, tasks int, now time.Time) {
	if d.Spec.Lasting || d.rankAt(now) != onTime {
		return
	}
	l.waiting = append(l.waiting, queuedWork{d.tier(), d.effectiveDeadline(), l.poolTime(d.Spec.Reservation(), tasks, d.Spec.Estimate)})
}

// Admission is the decision whether a job is accepted.
type Admission struct {
	Refused    bool
	Reason     string
	RetryAfter time.Duration // time after which to retry
}

// Reasons to refuse a job.
const (
	Overload   = "the job would be of no use by the time of its turn"
	Evacuated  = "the availability zones with workers for the job are evacuated"
	Infeasible = "a task is larger than every worker of the pool, or no worker has its label"
)

// Admit decides whether to accept a job, given the demands of all its steps and
// its estimated critical path.
func (l *Load) Admit(now time.Time, steps []*Demand, chain time.Duration) Admission {
	if len(l.workers)+len(l.evacuated) == 0 || len(steps) == 0 {
		return Admission{} // the workers of the pool are not known yet
	}
	for _, d := range steps {
		suits := func(w *Worker) bool { return eligible(d, w) }
		switch {
		case slices.ContainsFunc(l.workers, suits):
		case !slices.ContainsFunc(l.evacuated, suits):
			return Admission{Refused: true, Reason: Infeasible, RetryAfter: maxRetryAfter}
		case !steps[0].Spec.Lasting: // those wait
			return Admission{Refused: true, Reason: Evacuated, RetryAfter: evacuatedRetryAfter}
		}
	}
	first := steps[0]
	if first.Spec.Lasting {
		return Admission{}
	}
	delay := time.Duration(0)
	for tier := range first.tier() + 1 {
		delay += l.running[tier]
	}
	for _, a := range l.waiting {
		if a.tier < first.tier() || a.tier == first.tier() && !a.deadline.After(first.effectiveDeadline()) {
			delay += a.poolTime
		}
	}
	excess := now.Add(delay + chain).Sub(first.Expiry)
	if excess <= 0 {
		return Admission{}
	}
	busy := time.Duration(0)
	for _, d := range steps {
		busy += l.poolTime(d.Spec.Reservation(), d.Spec.Count, d.Spec.Estimate)
	}
	at := l.returns.assign(now, now.Add(max(minRetryAfter, excess)), first.tier(), busy)
	return Admission{Refused: true, Reason: Overload, RetryAfter: at.Sub(now)}
}
