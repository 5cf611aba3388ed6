package crash

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// lost returns the crash of a worker at a time after another one, with runs of given ages.
func lost(after time.Duration, ages ...time.Duration) *Loss {
	crashed := at.Add(after)
	return &Loss{From: crashed, To: crashed, Runs: Assess(crashed, crashed, exposures(ages...))}
}

// times returns n crashes like one.
func times(n int, l *Loss) []*Loss {
	var list []*Loss
	for range n {
		c := *l
		list = append(list, &c)
	}
	return list
}

// Guards against a task that is held responsible for the crash of all workers (rule LOST,
// review/5), and against tasks that go on for ever because those like them crash other
// workers, one by one or all at once.
func TestCrashesInCommon(t *testing.T) {
	longAgo := &Loss{To: at.Add(time.Second)}
	seconds := &Loss{From: at.Add(-2 * time.Second), To: at.Add(3 * time.Second)}
	for name, c := range map[string]struct {
		others       []*Loss
		steady       int
		common, mass bool
	}{
		"all at once, idle or with other runs": {append(times(4, lost(2*ms)), lost(-3*ms, 400*ms, 900*ms)), 0, true, true},
		"some at once":                         {times(3, lost(0)), 30, true, false},
		"two of many at once":                  {times(2, lost(0, 2000*ms)), 60, false, false},
		"one by one":                           {[]*Loss{lost(150 * ms), lost(-150 * ms), lost(400 * ms), lost(-700 * ms)}, 0, false, false},
		"one other":                            {times(1, lost(0)), 3, false, false},
		"the only other one":                   {times(1, lost(0)), 0, true, true},
		"each with a task that just started":   {times(8, lost(2*ms, 12*ms, 3000*ms)), 4, false, true},
		"most were idle, at times not known":   {times(8, longAgo), 4, true, true},
		"some were idle, at times not known":   {times(8, seconds), 30, false, false},
		"many were idle, in the same seconds":  {times(100, seconds), 120, false, false},
		"a third of a large pool was idle":     {times(120, seconds), 200, false, false},
		"none":                                 {nil, 0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := lost(0, 10*ms)
			all, up := append(c.others, l), make([]time.Time, c.steady)
			for range 50 {
				up = append(up, at.Add(time.Second)) // the next incarnations
			}
			pool := &Pool{Losses: all, Up: up}
			is.Equal(l.Common(0, pool), c.common)
			is.Equal(l.Mass(pool), c.mass)
		})
	}
}

// Guards against work that crashes its workers and that is cleared by the crash under its own
// next run, where the time of the first one is hardly known (rule BUDGET, seed 9303 of the soak).
func TestCrashUnderTheNextRunIsNotInCommon(t *testing.T) {
	is := is.New(t)
	first := &Loss{From: at.Add(-1500 * ms), To: at, Runs: []Evidence{{Most: 1500 * ms, Confirmed: true}}, Tasks: []string{"a"}}
	next := lost(50*ms, 20*ms)
	next.Tasks = []string{"a"}
	is.True(!first.Common(0, &Pool{Losses: []*Loss{first, next}}))
	next.Tasks = []string{"b"}
	is.True(first.Common(0, &Pool{Losses: []*Loss{first, next}}))
}

// Measures a comparison of one crash with those of a large pool, each with eight runs.
func BenchmarkCommon(b *testing.B) {
	for name, like := range map[string]bool{"in common": false, "like runs": true} {
		b.Run(name, func(b *testing.B) {
			ages := []time.Duration{1 * time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 6 * time.Second, 7 * time.Second}
			if like {
				ages = append(ages, 12*ms)
			}
			l := lost(0, 10*ms)
			pool := &Pool{Losses: append(times(1100, lost(0, ages...)), l), Up: make([]time.Time, 300)}
			for b.Loop() {
				l.Common(0, pool)
			}
		})
	}
}
