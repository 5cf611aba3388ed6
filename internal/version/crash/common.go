package crash

import "time"

const (
	// A crash is in common if minCommon other workers, and commonShare of them all, probably
	// crashed within commonTime of it, or if massShare of them all may have.
	minCommon   = 2
	commonShare = 0.05
	commonTime  = 100 * time.Millisecond
	massShare   = 0.5
)

// Loss is the crash of a worker, at some time between two.
type Loss struct {
	From, To time.Time
	Runs     []Evidence // about all runs that the worker may have executed
}

// Common reports whether a worker crashed in common with others that had no run like one of
// its own, so that its crash is no evidence against that run. All are the crashes in its pool
// lately, and up says since when each worker is known that is up.
//
// Runs that started together, such as those of a job or of a faulty image, may crash many
// workers at one time. These have runs of the same age, and do not count.
func (l *Loss) Common(run int, all []*Loss, up []time.Time) bool {
	probable, possible, known := l.count(all, up, func(o *Loss) bool { return !o.hasLike(&l.Runs[run]) })
	return probable >= max(minCommon, commonShare*known) || possible >= max(minCommon, massShare*known)
}

// Mass reports whether a large part of a pool may have crashed at about the same time as a
// worker, whatever they ran. All workers that crashed in common start their tasks again
// together, so that these look alike in the next such crash.
func (l *Loss) Mass(all []*Loss, up []time.Time) bool {
	_, possible, known := l.count(all, up, func(*Loss) bool { return true })
	return possible >= max(minCommon, massShare*known)
}

// count returns how many of the crashes that match probably were at the time of one, how many
// may have been, and the number of workers that were known at the time.
func (l *Loss) count(all []*Loss, up []time.Time, match func(*Loss) bool) (probable, possible, known float64) {
	window := l.To.Sub(l.From) + 2*commonTime
	for _, o := range all {
		if o == l || o.From.After(l.To.Add(commonTime)) || l.From.After(o.To.Add(commonTime)) || !match(o) {
			continue
		}
		possible++
		probable += min(1, float64(window)/float64(max(window, o.To.Sub(o.From))))
	}
	known = possible
	for _, since := range up {
		if !since.After(l.To) {
			known++
		}
	}
	return probable, possible, known
}

// hasLike reports whether a run on the worker had about the same age as another one when
// their workers crashed.
func (l *Loss) hasLike(e *Evidence) bool {
	for i := range l.Runs {
		if e.alike(&l.Runs[i]) {
			return true
		}
	}
	return false
}
