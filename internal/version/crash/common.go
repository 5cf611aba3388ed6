package crash

import (
	"cmp"
	"slices"
	"time"
)

const (
	// A crash is in common if minCommon other workers, or all others, and commonShare of them
	// all, probably crashed within commonTime of it, or if massShare of them all may have.
	minCommon   = 2
	commonShare = 0.05
	commonTime  = 100 * time.Millisecond
	massShare   = 0.5
)

// Loss is the crash of a worker, at some time between two.
type Loss struct {
	From, To time.Time
	Runs     []Evidence // about all runs that the worker may have executed; Most is the age at To
	Tasks    []string   // of these runs; nil if they are not known
}

// Pool is what is known of the workers of a pool when crashes there are compared.
type Pool struct {
	Losses []*Loss     // recent ones
	Up     []time.Time // since when each worker is known that is up, the earliest first
}

// Common reports whether a worker crashed in common with others that had no run like one of
// its own, so that its crash is no evidence against that run.
//
// Runs that started together, such as those of a job or of a faulty image, may crash many
// workers at one time. These have runs of the same age, and do not count.
func (l *Loss) Common(run int, pool *Pool) bool {
	return l.compare(pool, commonShare, func(o *Loss) bool { return !l.hasLike(run, o) })
}

// Mass reports whether a large part of a pool may have crashed at about the same time as a
// worker, whatever they ran. All workers that crashed in common start their tasks again
// together, so that these look alike in the next such crash.
func (l *Loss) Mass(pool *Pool) bool { return l.compare(pool, 1, func(*Loss) bool { return true }) }

// compare reports whether at least a share of the workers probably crashed with one and
// match, or massShare of them may have.
func (l *Loss) compare(pool *Pool, share float64, match func(*Loss) bool) bool {
	window := l.To.Sub(l.From) + 2*commonTime
	probable, possible := 0.0, 0.0
	up, _ := slices.BinarySearchFunc(pool.Up, l.To, func(since, at time.Time) int { return cmp.Or(since.Compare(at), -1) })
	most := share * float64(up+len(pool.Losses))
	for _, o := range pool.Losses {
		if o == l || o.From.After(l.To.Add(commonTime)) || l.From.After(o.To.Add(commonTime)) || !match(o) {
			continue
		}
		possible++
		probable += min(1, float64(window)/float64(max(window, o.To.Sub(o.From))))
		if probable >= max(minCommon, most) {
			return true // the other losses cannot change this
		}
	}
	known := possible + float64(up)
	least := max(1, min(minCommon, known))
	return probable >= max(least, share*known) || possible >= max(least, massShare*known)
}

// hasLike reports whether a run on another worker is one of the same task as that of this worker,
// or may have had about the same age if both crashed in common.
func (l *Loss) hasLike(run int, o *Loss) bool {
	if l.Tasks != nil && slices.Contains(o.Tasks, l.Tasks[run]) {
		return true
	}
	// Times are relative to l.To, since many runs of many workers are compared.
	theirTo, mine := o.To.Sub(l.To), -l.Runs[run].Most
	myLead, theirLead := max(-commonTime, l.From.Sub(o.To)), max(-commonTime, o.From.Sub(l.To))
	for i := range o.Runs {
		theirs := theirTo - o.Runs[i].Most
		if mine <= theirs && mayBeAlike(theirs-mine+myLead, min(theirTo, commonTime)-theirs) ||
			theirs <= mine && mayBeAlike(mine-theirs+theirLead, min(0, theirTo+commonTime)-mine) {
			return true
		}
	}
	return false
}

// mayBeAlike reports whether two runs may have had about the same age when their workers crashed
// in common, if one is older by a time at least and the younger one has an age at most. The ages
// of both at any two other moments say nothing.
func mayBeAlike(older, age time.Duration) bool {
	age = max(0, age)
	return float64(age+older) <= likeFactor*float64(age+ageMargin)
}
