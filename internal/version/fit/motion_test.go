package fit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// moving returns a run that is estimated at four seconds and has worked for one.
func moving(id job.ID, percent int, norm *Norm) Motion {
	return Motion{
		Step: job.StepID{Job: id}, Begun: now, Seen: now.Add(time.Second), Percent: percent, Estimate: 4 * time.Second, Norm: norm,
	}
}

// Guards against a slow worker that goes unnoticed, and against a single rough
// estimate that makes a worker look slow.
func TestJudge(t *testing.T) {
	is := is.New(t)
	n := NewNorm()
	is.Equal(Judge(nil).Speed, Unknown)
	is.Equal(Judge([]Motion{moving("a", 25, n)}).Speed, Sound)
	is.Equal(Judge([]Motion{moving("a", 4, n)}).Speed, Unknown) // one estimate says little
	is.Equal(Judge([]Motion{moving("a", 4, n), moving("a", 4, n)}).Speed, Unknown)
	is.Equal(Judge([]Motion{moving("a", 4, n), moving("b", 4, n), moving("c", 3, n)}).Speed, Slow)
	is.Equal(Judge([]Motion{moving("a", 4, n), moving("b", 24, n), moving("c", 26, n)}).Speed, Unknown)
	for range 100 {
		n.Learn(1.1)
	}
	is.Equal(Judge([]Motion{moving("a", 3, n)}).Speed, Slow) // estimates have been good
	again := moving("a", 3, n)
	again.Least = 6 // the step takes as long elsewhere
	is.Equal(Judge([]Motion{again}).Speed, Sound)
	young := moving("a", 0, n)
	young.Seen = now.Add(300 * time.Millisecond)
	is.Equal(Judge([]Motion{young}).Speed, Unknown)
}

// Guards against a run that is moved although it would be done sooner where it is.
func TestMoves(t *testing.T) {
	is := is.New(t)
	n := NewNorm()
	slow := moving("a", 4, n) // 22 s to go
	is.True(slow.Moves(false, time.Second))
	slow.Percent = 15 // 5.5 s to go
	is.True(!slow.Moves(false, time.Second))
	is.True(slow.Moves(true, time.Second/2))
	done := moving("a", 25, n)
	is.True(!done.Moves(false, 0))
}

// Guards against sound workers that are avoided because estimates are rough. The
// load: 40 workers with four runs of different jobs each, estimates off by a
// factor of 2.5 either way (one standard deviation), looked at 100 times.
func TestRoughEstimatesAvoidNobody(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 9))
	n := NewNorm()
	lag := func() float64 { return logNormal(random, 0.9) }
	for range 200 {
		n.Learn(lag())
	}
	avoided, noticed := 0, 0
	for range 4000 {
		var sound, slow []Motion
		for j := range 4 {
			l := lag()
			sound = append(sound, moving(job.ID(rune('a'+j)), int(25/l), n))
			slow = append(slow, moving(job.ID(rune('a'+j)), int(25/l/8), n))
		}
		if Judge(sound).Speed == Slow {
			avoided++
		}
		if Judge(slow).Speed == Slow {
			noticed++
		}
	}
	is.True(avoided <= 4) // a thousandth
	is.True(noticed > 2000)
}

func logNormal(random *rand.Rand, deviation float64) float64 {
	return math.Exp(deviation * random.NormFloat64())
}
