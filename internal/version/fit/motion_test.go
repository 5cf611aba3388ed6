package fit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// motionAt returns a run with an estimate of 4 s that has reached a percentage
// after 1 s.
func motionAt(id job.ID, percent int, baseline *Baseline) Motion {
	return Motion{
		Step: job.StepID{Job: id}, StartTime: now, Time: now.Add(time.Second), Percent: percent, Estimate: 4 * time.Second, Baseline: baseline,
	}
}

// Guards against a slow worker that is not detected, and against a single rough
// estimate that makes a worker look slow.
func TestJudge(t *testing.T) {
	is := is.New(t)
	n := NewBaseline()
	is.Equal(Assess(nil).Speed, Unknown)
	is.Equal(Assess([]Motion{motionAt("a", 25, n)}).Speed, Normal)
	is.Equal(Assess([]Motion{motionAt("a", 4, n)}).Speed, Unknown) // a single estimate is not enough
	is.Equal(Assess([]Motion{motionAt("a", 4, n), motionAt("a", 4, n)}).Speed, Unknown)
	is.Equal(Assess([]Motion{motionAt("a", 4, n), motionAt("b", 4, n), motionAt("c", 3, n)}).Speed, Slow)
	is.Equal(Assess([]Motion{motionAt("a", 4, n), motionAt("b", 24, n), motionAt("c", 26, n)}).Speed, Unknown)
	for range 100 {
		n.Learn(1.1)
	}
	is.Equal(Assess([]Motion{motionAt("a", 3, n)}).Speed, Slow) // estimates were accurate so far
	slowEverywhere := motionAt("a", 3, n)
	slowEverywhere.MinLag = 6 // the step is as slow elsewhere
	is.Equal(Assess([]Motion{slowEverywhere}).Speed, Normal)
	young := motionAt("a", 0, n)
	young.Time = now.Add(300 * time.Millisecond)
	is.Equal(Assess([]Motion{young}).Speed, Unknown)
}

// Guards against moving a run that would finish sooner where it is.
func TestMoves(t *testing.T) {
	is := is.New(t)
	n := NewBaseline()
	slow := motionAt("a", 4, n) // 22 s to go
	is.True(slow.ShouldMove(false, time.Second))
	slow.Percent = 15 // 5.5 s to go
	is.True(!slow.ShouldMove(false, time.Second))
	is.True(slow.ShouldMove(true, time.Second/2))
	done := motionAt("a", 25, n)
	is.True(!done.ShouldMove(false, 0))
}

// Guards against avoiding normal workers because estimates are rough. The load is
// 40 workers with four runs of different jobs each, evaluated 100 times; one
// standard deviation of the estimates is a factor of 2.5.
func TestRoughEstimatesAvoidNobody(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 9))
	n := NewBaseline()
	lag := func() float64 { return logNormal(random, 0.9) }
	for range 200 {
		n.Learn(lag())
	}
	falsePositives, detected := 0, 0
	for range 4000 {
		var sound, slow []Motion
		for j := range 4 {
			l := lag()
			sound = append(sound, motionAt(job.ID(rune('a'+j)), int(25/l), n))
			slow = append(slow, motionAt(job.ID(rune('a'+j)), int(25/l/8), n))
		}
		if Assess(sound).Speed == Slow {
			falsePositives++
		}
		if Assess(slow).Speed == Slow {
			detected++
		}
	}
	is.True(falsePositives <= 4) // a thousandth
	is.True(detected > 2000)
}

func logNormal(random *rand.Rand, deviation float64) float64 {
	return math.Exp(deviation * random.NormFloat64())
}
