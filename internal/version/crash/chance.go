package crash

import (
	"math"
	"time"
)

const (
	// A task is given up if the probability that other reasons crashed its workers during its
	// trials is at most maxChance, or after mostTried of them, or mostCrashes in all, with those
	// in common. See docs/policy.md, section "Crashes by chance".
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
}

// perSecond returns a rate for one worker that the known crashes do not exclude.
func (r *Rate) perSecond() float64 {
	return float64(r.Crashes+1) / float64(max(1, r.Workers)) / RateTime.Seconds()
}

// Chance returns the probability that the workers of a task that looks faulty crashed for other
// reasons. The first crash says nothing, since it is what made the task a suspect, and so do
// those outside of trials.
func (r *Record) Chance(rate *Rate) float64 {
	chance, left := 1.0, r.count(confirmed)-1
	for i := len(r.Crashes) - 1; i >= 0 && left > 0; i-- {
		if c := &r.Crashes[i]; c.Tried {
			chance *= -math.Expm1(-rate.perSecond() * r.window(&c.Evidence).Seconds())
			left--
		}
	}
	return chance
}

// window returns for how long during a trial a crash would have counted as one did. With a
// second one during a trial it counts at any age.
func (r *Record) window(e *Evidence) time.Duration {
	trial := r.TrialTime()
	if r.count(tried) > 1 {
		return trial
	}
	first := max(0, time.Duration(float64(e.Age)/likeFactor)-ageMargin)
	return min(trial, time.Duration(likeFactor*float64(e.Most+ageMargin))) - min(trial, first)
}

// Proven reports whether the crashes under a task that looks faulty suffice to give it up.
func (r *Record) Proven(rate *Rate) bool {
	return r.count(tried) >= mostTried || r.count(confirmed)+len(r.Cleared) >= mostCrashes || r.Chance(rate) <= maxChance
}

// Retry has the task start again as a trial, until one more worker has crashed under it.
func (r *Record) Retry() { r.Needed = r.count(confirmed) + 1 }

// Vague returns the evidence for a run whose start another clock has timed, so that its age is
// hardly known.
func (e Evidence) Vague() Evidence {
	e.Most = max(e.Most, e.Age+maxTrial)
	return e
}
