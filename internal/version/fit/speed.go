package fit

import "math"

const (
	// taskSpread is the standard deviation of the logarithm of the run times of one
	// step's tasks on workers of one speed.
	taskSpread = 0.2
	// speedSpread is that of the normal speeds of a pool's workers before anything is
	// learned of them.
	speedSpread = 0.35
	// maxPaceWeight limits the weight of past runs, about ten of a step that also ran
	// elsewhere, so that a lasting change of speed is learned.
	maxPaceWeight = 200.0
	// inheritedWeight is the weight of a speed that an earlier leader learned.
	inheritedWeight = 100.0
	// sureDeviations and minDifference are the number of standard deviations and the
	// fraction by which a speed must differ from the usual one to count in decisions.
	sureDeviations = 2.0
	minDifference  = 0.1
	// coldGuess is the speed of a cold worker relative to its normal one before any run
	// on a cold worker of the pool was measured. knownWeight is the weight from which on
	// it is known: three runs that are compared with others of their step.
	coldGuess   = 0.6
	knownWeight = 50.0
)

// Pace is the learned logarithm of a speed: the weighted mean of what runs showed, drawn
// to what is usual while they are few. The zero Pace is that of a worker of which nothing
// is known.
type Pace struct {
	usual  float64 // logarithm of the usual speed
	widest float64 // largest difference that counts; zero means that between sound workers
	sum    float64
	weight float64
}

// InheritedPace returns the pace for a speed that an earlier leader learned.
func InheritedPace(factor float64) Pace {
	return Pace{sum: math.Log(factor) * (inheritedWeight + usualWeight), weight: inheritedWeight}
}

// NewColdness returns the pace of a pool's cold workers, relative to their normal speed.
func NewColdness() *Pace { return &Pace{usual: math.Log(coldGuess), widest: maxLogLag} }

// usualWeight is the weight of the usual speed.
const usualWeight = 1 / (speedSpread * speedSpread)

func (p *Pace) mean() float64 { return p.usual + p.sum/(p.weight+usualWeight) }

// Speed returns the most likely speed; 1 is the usual one of a pool.
func (p *Pace) Speed() float64 { return math.Exp(p.mean()) }

// Known reports whether runs have shown the speed.
func (p *Pace) Known() bool { return p.weight >= knownWeight }

var minLogDifference = math.Log1p(minDifference)

// Factor returns the speed for decisions. It is 1 unless it certainly differs, so that
// rough estimates do not change where work goes.
func (p *Pace) Factor() float64 {
	mean := p.mean()
	if math.Abs(mean) < minLogDifference || mean*mean*(p.weight+usualWeight) < sureDeviations*sureDeviations {
		return 1
	}
	return math.Exp(mean)
}

// Learn adds the progress of a run, whose worker is known to be others times as fast as
// a worker of speed 1 for other reasons. A run of a warm worker that differs by slowFactor
// or more shows a fault or a wrong estimate, and is not counted. It reports whether the run was counted.
func (p *Pace) Learn(m *Motion, others float64) bool {
	lag, ok := m.Lag()
	expected, variance, founded := m.reference()
	if !ok || !founded {
		return false
	}
	x := expected - math.Log(others) - math.Log(lag) - p.usual
	widest := p.widest
	if widest == 0 {
		widest = math.Log(slowFactor)
	}
	if math.Abs(x-(p.mean()-p.usual)) >= widest {
		return false
	}
	p.sum, p.weight = p.sum+x/variance, p.weight+1/variance
	if p.weight > maxPaceWeight {
		p.sum, p.weight = p.sum*maxPaceWeight/p.weight, maxPaceWeight
	}
	return true
}

// reference returns the logarithm of the lag that is expected on a worker of speed 1, and
// the variance of a run's around it. Runs of the same step elsewhere tell most; otherwise
// the queue's baseline counts once it is known.
func (m *Motion) reference() (logLag, variance float64, ok bool) {
	switch {
	case m.Peers > 0:
		return math.Log(m.PeerLag), taskSpread * taskSpread * (1 + 1/float64(m.Peers)), true
	case m.Baseline.steps >= knownSteps:
		spread := max(m.Baseline.spread, minSpread)
		return m.Baseline.mean, spread * spread, true
	}
	return 0, 0, false
}
