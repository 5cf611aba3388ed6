package fit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// lagged returns a run with an estimate of 4 s that takes a multiple of it.
func lagged(id job.ID, lag float64, baseline *Baseline) Motion {
	m := motionAt(id, 100, baseline)
	m.Time = m.StartTime.Add(time.Duration(lag * 1.005 * float64(m.Estimate)))
	return m
}

// learnPaces plays steps of four tasks on workers with speeds, whose estimates are wrong by a
// factor of 2 in one standard deviation, and returns what is learned of the workers. assess
// is called for the runs of each.
func learnPaces(speeds []float64, steps int, assess func(worker int, m Motion)) []Pace {
	random, n := rand.New(rand.NewPCG(7, 3)), NewBaseline()
	paces := make([]Pace, len(speeds))
	for i := range steps {
		length, sum := logNormal(random, 0.7), 0.0
		for peer, w := range random.Perm(len(speeds))[:4] {
			lag := length * logNormal(random, 0.15) / speeds[w]
			m := lagged(job.ID(fmt.Sprint(i)), lag, n)
			m.Speed, m.Peers = paces[w].Speed(), peer
			if peer > 0 {
				m.PeerLag = math.Exp(sum / float64(peer))
				m.MinLag = m.PeerLag
			}
			assess(w, m)
			paces[w].Learn(&m, 1)
			sum += math.Log(lag * paces[w].Speed())
			if peer == 0 {
				n.Learn(lag * m.Speed)
			}
		}
	}
	return paces
}

// unequal are the speeds of a pool of which a quarter is slow.
func unequal(n int) []float64 {
	speeds := make([]float64, n)
	for i := range speeds {
		if speeds[i] = 1.2; i%4 == 0 {
			speeds[i] = 0.55
		}
	}
	return speeds
}

// Guards against speeds that are not learned because estimates are rough, and against sound
// slow workers that count as faulty.
func TestSpeedsAreLearned(t *testing.T) {
	is := is.New(t)
	speeds, recent, avoided := unequal(12), map[int][]Motion{}, 0
	paces := learnPaces(speeds, 300, func(w int, m Motion) {
		recent[w] = append(recent[w], m)
		recent[w] = recent[w][max(0, len(recent[w])-4):]
		if Assess(recent[w]).Speed == Slow {
			avoided++
		}
	})
	is.Equal(avoided, 0)
	for i := range paces {
		ratio := paces[i].Speed() / speeds[i]
		is.True(ratio > 0.85 && ratio < 1.15)
		is.Equal(paces[i].Factor() < 1, speeds[i] < 1)
	}
	for _, p := range learnPaces([]float64{1, 1, 1, 1, 1, 1, 1, 1}, 300, func(int, Motion) {}) {
		is.Equal(p.Factor(), 1.0) // the roughness of estimates is no speed
	}
}

// Guards against a worker that turns slow against its own speed and is not noticed, and a fault
// that is learned as its normal speed.
func TestFaultOfASlowWorkerIsNoticed(t *testing.T) {
	is := is.New(t)
	p, n := InheritedPace(0.55), NewBaseline()
	run := func(lag float64) Motion {
		m := lagged("a", lag, n)
		m.Speed, m.MinLag, m.PeerLag, m.Peers = p.Speed(), 1, 1, 3
		return m
	}
	list := func(lag float64) (runs []Motion) {
		for i := range 4 {
			m := run(lag)
			m.Step.Step = i
			runs = append(runs, m)
		}
		return runs
	}
	is.Equal(Assess(list(1/0.55)).Speed, Normal)
	is.Equal(Assess(list(7/0.55)).Speed, Slow)
	fault := run(7 / 0.55)
	is.True(!p.Learn(&fault, 1))
	cold := list(7 / 0.55)
	for i := range cold {
		cold[i].Unclear = true // the worker is cold, and how slow that makes it is not known
	}
	is.Equal(Assess(cold).Speed, Unknown)
	is.True(!cold[0].ShouldMove(true, 0))
	half := motionAt("a", 10, n) // as fast as at a speed of 0.4
	is.True(half.ShouldMove(true, 0))
	half.There = 0.45
	is.True(!half.ShouldMove(true, 0)) // it would be as slow there
}

// Guards against cold workers whose slowness is taken for their normal speed, or never learned.
func TestColdnessIsLearned(t *testing.T) {
	is := is.New(t)
	c, n := NewColdness(), NewBaseline()
	is.True(!c.Known())
	for i := range 10 {
		m := lagged(job.ID(fmt.Sprint(i)), 1/(1.2*0.2), n)
		m.PeerLag, m.Peers = 1, 3
		is.True(c.Learn(&m, 1.2))
	}
	is.True(c.Known() && c.Speed() > 0.18 && c.Speed() < 0.23)
}
