package fit

import (
	"math"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// slowFactor is how many times slower than usual a worker's runs have to move
	// before the worker counts as slow. Sound workers differ by less than two.
	slowFactor = 3.0
	// slowCertainty is the number of standard deviations by which they have to be
	// slower; estimates of single jobs are rough.
	slowCertainty = 4.0
	// soundFactor is the most by which sound workers differ: speeds are between 0.8
	// and 1.25 times the usual one.
	soundFactor = 1.6
	// lookShare of its estimate, and leastLook at least, a run has to work before
	// its progress tells anything.
	lookShare = 0.15
	leastLook = 200 * time.Millisecond
	// moveGain is how much sooner, as a factor, a run has to be done elsewhere to be
	// moved there.
	moveGain = 1.3
	// firstSpread is the spread of a queue's norm before any of its runs has ended,
	// leastSpread the smallest one: tasks of one step differ by as much.
	firstSpread = 0.7
	leastSpread = 0.3
	// learnRate is the weight of a step in the norm of its queue.
	learnRate = 0.1
	// learnLimit bounds what a single run adds; a factor of twenty.
	learnLimit = 3.0
	// deviationFactor turns a mean deviation into a standard deviation.
	deviationFactor = 1.25
)

// Norm is how long the runs of a queue take against their estimates: mean and
// deviation of the logarithm of that ratio.
type Norm struct {
	mean   float64
	spread float64
}

// NewNorm returns the norm of a queue whose estimates are right.
func NewNorm() *Norm { return &Norm{spread: firstSpread} }

// Learn takes in the lag of the first run of a step that was done.
func (n *Norm) Learn(lag float64) {
	x := min(max(math.Log(lag), -learnLimit), learnLimit)
	n.spread += learnRate * (deviationFactor*math.Abs(x-n.mean) - n.spread)
	n.mean += learnRate * (x - n.mean)
}

// Expected returns how long a run with an estimate usually takes.
func (n *Norm) Expected(estimate time.Duration) time.Duration {
	return time.Duration(math.Exp(n.mean) * float64(estimate))
}

// Motion is the progress of a run.
type Motion struct {
	Step     job.StepID
	Begun    time.Time // when the run stood at From
	From     int       // percent
	Seen     time.Time // when the run stood at Percent
	Percent  int
	Estimate time.Duration // of the whole run
	Norm     *Norm         // of its queue
	Least    float64       // smallest lag of the step's runs on other workers; zero if unknown
}

// Window returns how long a run with an estimate has to work before its progress
// tells anything.
func Window(estimate time.Duration) time.Duration {
	return max(leastLook, time.Duration(lookShare*float64(estimate)))
}

// Lag returns how many times its estimate the run takes. It is not ok as long as
// the run has not worked long enough to tell.
func (m *Motion) Lag() (lag float64, ok bool) {
	worked := m.Seen.Sub(m.Begun)
	if m.Estimate <= 0 || worked < Window(m.Estimate) {
		return 0, false
	}
	// Percentages are cut off, so half a percent more is the best guess.
	done := (float64(m.Percent-m.From) + 0.5) / 100
	return float64(worked) / (done * float64(m.Estimate)), true
}

// usual returns the logarithm of the lag that is expected on a sound worker.
func (m *Motion) usual() float64 {
	if m.Least > 0 {
		return max(m.Norm.mean, math.Log(m.Least))
	}
	return m.Norm.mean
}

// Speed is what the runs of a worker tell about it.
type Speed uint8

// Speeds of a worker.
const (
	Unknown Speed = iota
	Sound
	Slow
)

// Judgement is what the runs of a worker tell about it.
type Judgement struct {
	Speed     Speed
	Factor    float64 // by which its runs are slower than usual
	Certainty float64 // standard deviations
	Steps     int     // whose runs were looked at
}

// Judge tells from the progress of a worker's runs whether the worker is slow.
// It answers workers that go on taking tasks and answering orders while their
// tasks take several times as long as elsewhere. Runs of one step count once,
// because they share an estimate.
func Judge(runs []Motion) Judgement {
	type evidence struct {
		sum, weight float64
		runs        int
	}
	steps := map[job.StepID]*evidence{}
	for i := range runs {
		m := &runs[i]
		lag, ok := m.Lag()
		if !ok {
			continue
		}
		e := steps[m.Step]
		if e == nil {
			spread := max(m.Norm.spread, leastSpread)
			e = &evidence{weight: 1 / (spread * spread)}
			steps[m.Step] = e
		}
		e.sum += math.Log(lag) - m.usual()
		e.runs++
	}
	if len(steps) == 0 {
		return Judgement{}
	}
	sum, weight := 0.0, 0.0
	for _, e := range steps {
		sum += e.sum / float64(e.runs) * e.weight
		weight += e.weight
	}
	mean := sum / weight
	j := Judgement{Factor: math.Exp(mean), Certainty: mean * math.Sqrt(weight), Steps: len(steps)}
	switch {
	case j.Factor >= slowFactor && j.Certainty >= slowCertainty:
		j.Speed = Slow
	case j.Factor <= soundFactor:
		j.Speed = Sound
	}
	return j
}

// Moves reports whether the run is done sooner on another worker, if starting
// there takes the given delay. One that saves goes on from its progress.
func (m *Motion) Moves(saves bool, delay time.Duration) bool {
	lag, ok := m.Lag()
	if !ok {
		return false
	}
	left := float64(100-m.Percent) / 100
	again := 1.0
	if saves {
		again = left
	}
	here := lag * left * float64(m.Estimate)
	there := math.Exp(m.usual()) * again * float64(m.Estimate)
	return here > float64(delay)+moveGain*there
}
