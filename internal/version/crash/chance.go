package crash

import (
	"math"
	"time"
)

const (
	// A task is given up if the probability that other reasons crashed its workers during its
	// trials is at most maxChance, or after mostTried of them on different workers, or mostCrashes
	// soon after a start, with those in common and those of one worker. See docs/policy.md, section "Crashes by chance".
	maxChance   = 1e-3
	mostTried   = 3
	mostCrashes = 5
	// RateTime is the time for which crashes count in a Rate.
	RateTime = time.Minute
)

// Rate describes how often workers of a pool crash for reasons other than a task.
type Rate struct {
	Crashes int // known ones of the last RateTime
	Workers int // in the pool
	Able    int // of these, at different addresses, could run the task; with one, each of its crashes counts
}

// perSecond returns a rate for one worker that the known crashes do not exclude.
func (r *Rate) perSecond() float64 {
	return float64(r.Crashes+1) / float64(max(1, r.Workers)) / RateTime.Seconds()
}

// Chance returns the probability that the workers of a task that looks faulty crashed for other
// reasons. The first crash says nothing, since it is what made the task a suspect, and so do
// those outside of trials.
func (r *Record) Chance(rate *Rate) float64 {
	chance, left := 1.0, r.count(r.counts(rate, confirmed))-1
	countedTrial := r.counts(rate, tried)
	for i := len(r.Crashes) - 1; i >= 0 && left > 0; i-- {
		if c := &r.Crashes[i]; countedTrial(c) {
			chance *= -math.Expm1(-rate.perSecond() * r.window(&c.Evidence, rate).Seconds())
			left--
		}
	}
	return chance
}

// window returns for how long during a trial a crash would have counted as one did. With a
// second one during a trial, or if it is like none that counts, it counts at any age.
func (r *Record) window(e *Evidence, rate *Rate) time.Duration {
	trial := r.TrialTime()
	like := r.count(r.counts(rate, func(c *Crash) bool { return confirmed(c) && c.Evidence.alike(e) })) > 1 // with its own
	if r.count(r.counts(rate, tried)) > 1 || !like {
		return trial
	}
	first := max(0, time.Duration(float64(e.Age)/likeFactor)-ageMargin)
	return min(trial, time.Duration(likeFactor*float64(e.Most+ageMargin))) - min(trial, first)
}

// counts returns a match for those crashes that count for the verdict: only the first one of each worker, as long
// as another one is left that could run the task.
func (r *Record) counts(rate *Rate, match func(*Crash) bool) func(*Crash) bool {
	left := rate.Able > max(1, r.places())
	return func(c *Crash) bool { return match(c) && !(left && r.repeated(c)) }
}

// early matches crashes soon after a start, or during a trial.
func early(c *Crash) bool { return c.Tried || confirmed(c) && suspected(c) }

// Proven reports whether the crashes under a task that looks faulty suffice to give it up.
func (r *Record) Proven(rate *Rate) bool {
	return r.count(r.counts(rate, tried)) >= mostTried || r.count(early)+len(r.Cleared) >= mostCrashes || r.Chance(rate) <= maxChance
}

// Retry has the task start again as a trial, until one more worker has crashed under it.
func (r *Record) Retry() { r.Needed = r.count(confirmed) + 1 }

// Vague returns the evidence for a run whose start another clock has timed, so that its age is
// hardly known.
func (e Evidence) Vague() Evidence {
	e.Most = max(e.Most, e.Age+maxTrial)
	return e
}
