//go:build measure

package crash

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// What the measurement assumes.
const (
	slots        = 4                      // runs on a busy worker
	runTime      = time.Second            // of innocent tasks
	listings     = 100 * time.Millisecond // between two answers of a worker
	breaks       = 20 * time.Millisecond  // from a crash until its connections break, at most
	killerDelay  = 10 * time.Millisecond  // from the start of work that crashes its workers to the crash
	minutesADay  = 24 * 60
	innocentRuns = 20000 // samples a cell of the table
	killerRuns   = 1000
)

// simulation draws crashes of workers and has package crash decide about the tasks under them.
type simulation struct {
	random  *rand.Rand
	workers int
	minute  float64 // crashes a minute in the pool for other reasons
	bound   float64 // in place of maxChance
}

// evidence returns what the leader knows of runs of the given ages when their worker crashes.
func (s *simulation) evidence(ages ...time.Duration) []Evidence {
	from := at.Add(-time.Duration(s.random.Float64() * float64(listings)))
	to := at.Add(time.Duration(s.random.Float64() * float64(breaks)))
	runs := exposures(ages...)
	for i := range runs {
		runs[i].Group = fmt.Sprint(i)
	}
	return Assess(from, to, runs)
}

// givenUp reports whether a task that looks faulty is given up.
func (s *simulation) givenUp(r *Record) bool {
	rate := Rate{Crashes: s.poisson(s.minute * RateTime.Minutes()), Workers: s.workers}
	if r.count(tried) >= mostTried || r.count(early)+len(r.Cleared) >= mostCrashes || r.Chance(&rate) <= s.bound {
		return true
	}
	r.Retry()
	return false
}

// poisson draws a number with the given mean.
func (s *simulation) poisson(mean float64) int {
	n := 0
	for t := s.random.ExpFloat64(); t < mean; t += s.random.ExpFloat64() {
		n++
	}
	return n
}

// innocent returns the probability that a crash for other reasons leads to a task that is given
// up. Each further crash is drawn under the condition that it happens and weighted by its
// probability.
func (s *simulation) innocent() float64 {
	second := s.minute / 60 / float64(s.workers)
	ages := make([]time.Duration, slots)
	for i := range ages {
		ages[i] = time.Duration(s.random.Float64() * float64(runTime))
	}
	total := 0.0
	for _, e := range s.evidence(ages...) {
		record, weight := &Record{}, 1.0
		record.Add(1, e)
		for run := 2; run < 2+mostCrashes; run++ {
			if record.Faulty() && s.givenUp(record) {
				total += weight
				break
			}
			record.Started(run)
			hit := -math.Expm1(-second * runTime.Seconds())
			weight *= hit
			age := time.Duration(-math.Log1p(-s.random.Float64()*hit) / second * float64(time.Second))
			record.Add(run, s.evidence(age)[0])
		}
	}
	return total
}

// killer returns how many workers work that always crashes them costs.
func (s *simulation) killer() int {
	record := &Record{}
	for run := 1; ; run++ {
		record.Started(run)
		record.Add(run, s.evidence(killerDelay)[0])
		if record.Faulty() && s.givenUp(record) {
			return run
		}
	}
}

// TestChance prints the tables of docs/policy.md on crashes by chance.
func TestChance(t *testing.T) {
	for _, minute := range []float64{0.1, 1, 10, 60} {
		for _, workers := range []int{2, 5, 12, 35, 100, 300} {
			line := fmt.Sprintf("| %g | %d |", minute, workers)
			for _, bound := range []float64{1, 1e-2, maxChance, 1e-4, 0} {
				s := &simulation{random: rand.New(rand.NewPCG(uint64(workers), uint64(10*minute))), workers: workers, minute: minute, bound: bound}
				share, crashes := 0.0, 0
				for range innocentRuns {
					share += s.innocent()
				}
				for range killerRuns {
					crashes += s.killer()
				}
				line += fmt.Sprintf(" %.2g, %.2f |", share/innocentRuns*minute*minutesADay, float64(crashes)/killerRuns)
			}
			t.Log(line)
		}
	}
}
