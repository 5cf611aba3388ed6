package fit

import (
	"math"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// slowFactor is how many times slower than expected a worker's runs must be
	// for the worker to count as slow. Normal workers differ by less than 2.
	slowFactor = 3.0
	// slowDeviations is the number of standard deviations by which they must be
	// slower, because estimates of single jobs are rough.
	slowDeviations = 4.0
	// normalFactor is the largest factor by which a sound worker's runs differ from its
	// own speed, before that is learned: speeds are usually between 0.8 and 1.25 times
	// the average.
	normalFactor = 1.6
	// windowShare is the fraction of its estimate, and minWindow the minimum time,
	// that a run must work before its progress is significant.
	windowShare = 0.15
	minWindow   = 200 * time.Millisecond
	// moveGain is the factor by which a run must finish sooner on another worker to
	// be moved there.
	moveGain = 1.3
	// initialSpread is the standard deviation of a queue's baseline before any of
	// its runs has ended. minSpread is its lower limit, which is how much tasks of
	// one step differ.
	initialSpread = 0.7
	minSpread     = 0.3
	// learnRate is the weight of each new step in the moving average of its queue.
	learnRate = 0.1
	// knownSteps is the number of learned steps from which on a baseline tells how
	// rough the estimates of its queue are.
	knownSteps = 5
	// maxLogLag limits the logarithm of the lag of a single run; e^3 is a factor
	// of 20.
	maxLogLag = 3.0
	// deviationFactor converts a mean absolute deviation to a standard deviation.
	deviationFactor = 1.25
)

// Baseline is the learned baseline of a queue: the mean and the standard
// deviation of the logarithm of its runs' lags on a worker of speed 1. A lag is the
// ratio of run time to estimate.
type Baseline struct {
	mean   float64
	spread float64
	steps  int // that were learned
}

// NewBaseline returns the baseline of a queue without finished runs, which
// assumes that its estimates are right.
func NewBaseline() *Baseline { return &Baseline{spread: initialSpread} }

// Learn adds the lag of the first finished run of a step. Runs of one step share
// an estimate, so the others add no information. The lag is that on a worker of speed 1.
func (n *Baseline) Learn(lag float64) {
	x := min(max(math.Log(lag), -maxLogLag), maxLogLag)
	n.spread += learnRate * (deviationFactor*math.Abs(x-n.mean) - n.spread)
	n.mean += learnRate * (x - n.mean)
	n.steps++
}

// Expected returns the expected run time for an estimate.
func (n *Baseline) Expected(estimate time.Duration) time.Duration {
	return time.Duration(math.Exp(n.mean) * float64(estimate))
}

// Motion is the progress of a run between two readings.
type Motion struct {
	Step         job.StepID
	StartTime    time.Time // time of the reading StartPercent
	StartPercent int       // percent
	Time         time.Time // time of the reading Percent
	Percent      int
	Estimate     time.Duration // of the whole run
	Baseline     *Baseline     // of its queue
	MinLag       float64       // smallest lag of the step's runs on other workers, as if their speed were 1; zero if unknown
	PeerLag      float64       // mean of these lags, likewise
	Peers        int           // number of these lags
	Speed        float64       // expected of the worker, as learned; zero counts as 1
	Unclear      bool          // the worker was cold, and how slow that makes it is not known
	There        float64       // speed of where the run would start if it were moved; zero counts as 1
}

// Window returns how long a run with an estimate must work before its progress is
// significant.
func Window(estimate time.Duration) time.Duration {
	return max(minWindow, time.Duration(windowShare*float64(estimate)))
}

// Lag returns the projected run time as a multiple of the estimate. ok is false
// while the run has not worked long enough to tell.
func (m *Motion) Lag() (lag float64, ok bool) {
	worked := m.Time.Sub(m.StartTime)
	if m.Estimate <= 0 || worked < Window(m.Estimate) {
		return 0, false
	}
	// Percentages are rounded down, so the best estimate is 0.5 more.
	done := (float64(m.Percent-m.StartPercent) + 0.5) / 100
	return float64(worked) / (done * float64(m.Estimate)), true
}

// expectedHere returns the logarithm of the lag that is expected on the run's worker.
func (m *Motion) expectedHere() float64 { return m.expectedLogLag() - math.Log(speedOr1(m.Speed)) }

// speedOr1 returns a speed, of which zero counts as 1.
func speedOr1(speed float64) float64 {
	if speed <= 0 {
		return 1
	}
	return speed
}

// expectedLogLag returns the logarithm of the lag that is expected on a worker of
// speed 1.
func (m *Motion) expectedLogLag() float64 {
	if m.MinLag > 0 {
		return max(m.Baseline.mean, math.Log(m.MinLag))
	}
	return m.Baseline.mean
}

// Speed classifies a worker by the progress of its runs.
type Speed uint8

// Speeds of a worker.
const (
	Unknown Speed = iota
	Normal        // normal speed
	Slow
)

// Assessment is the outcome of Assess.
type Assessment struct {
	Speed     Speed
	Factor    float64 // by which its runs are slower than expected
	Certainty float64 // of the slowdown, in standard deviations
	Steps     int     // steps whose runs were evaluated
}

// Assess assesses a worker's speed from the progress of its runs. It detects
// workers that still accept tasks and answer orders while their tasks take
// several times as long as the worker's own speed and its coldness explain. Runs of one
// step count once, because they share an estimate.
func Assess(runs []Motion) Assessment {
	type evidence struct {
		sum, weight float64
		runs        int
	}
	founded := false // on runs of the same step on another worker, or on a known baseline
	steps := map[job.StepID]*evidence{}
	for i := range runs {
		m := &runs[i]
		lag, ok := m.Lag()
		if !ok || m.Unclear {
			continue
		}
		e := steps[m.Step]
		if e == nil {
			spread := max(m.Baseline.spread, minSpread)
			e = &evidence{weight: 1 / (spread * spread)}
			steps[m.Step] = e
		}
		founded = founded || m.MinLag > 0 || m.Baseline.steps >= knownSteps
		e.sum += math.Log(lag) - m.expectedHere()
		e.runs++
	}
	if len(steps) == 0 {
		return Assessment{}
	}
	sum, weight := 0.0, 0.0
	for _, e := range steps {
		sum += e.sum / float64(e.runs) * e.weight
		weight += e.weight
	}
	mean := sum / weight
	j := Assessment{Factor: math.Exp(mean), Certainty: mean * math.Sqrt(weight), Steps: len(steps)}
	switch {
	case len(steps) == 1 && !founded && j.Factor > normalFactor:
		// It is as likely that the estimate of the step is wrong.
	case j.Factor >= slowFactor && j.Certainty >= slowDeviations:
		j.Speed = Slow
	case j.Factor <= normalFactor:
		j.Speed = Normal
	}
	return j
}

// ShouldMove reports whether the run would finish sooner on another worker if
// it started there after a delay. With saves set it resumes from its current
// progress, otherwise it starts over.
func (m *Motion) ShouldMove(saves bool, delay time.Duration) bool {
	lag, ok := m.Lag()
	if !ok || m.Unclear {
		return false
	}
	left := float64(100-m.Percent) / 100
	redo := 1.0
	if saves {
		redo = left
	}
	here := lag * left * float64(m.Estimate)
	there := math.Exp(m.expectedLogLag()) / speedOr1(m.There) * redo * float64(m.Estimate)
	return here > float64(delay)+moveGain*there
}
