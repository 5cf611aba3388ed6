package crash

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a task that is given up for a crash that is likely by chance (rule LOST), and
// against one that crashes its workers without end because others crash as well (rule BUDGET).
func TestCrashesThatProve(t *testing.T) {
	for name, c := range map[string]struct {
		rate Rate
		want int // crashes with which a task is given up that crashes each worker 10 ms after its start
	}{
		"a quiet large pool":        {Rate{Crashes: 0, Workers: 300}, 2},
		"a large pool that crashes": {Rate{Crashes: 300, Workers: 300}, 3},
		"two workers, one crash":    {Rate{Crashes: 1, Workers: 2}, 3},
		"two quiet workers":         {Rate{Crashes: 0, Workers: 2}, 2},
		"nothing but crashes":       {Rate{Crashes: 10000, Workers: 2}, 4},
		"a pool that is gone":       {Rate{Crashes: 100, Workers: 0}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, crashes := &Record{}, 0
			for run := 1; crashes == 0; run++ {
				r.Started(run)
				r.Add(run, Evidence{Age: 5 * ms, Most: 30 * ms, Confirmed: true, Suspected: true, Sole: true, Alone: true})
				if r.Faulty() && r.Proven(&c.rate) {
					crashes = run
				} else if r.Faulty() {
					r.Retry()
					is.True(!r.Faulty())
					is.True(r.NeedsTrial())
				}
			}
			is.Equal(crashes, c.want)
		})
	}
}

// Guards against work that goes on crashing its workers because crashes under it that are taken
// for those in common do not count for the last resort (rule BUDGET, seed 9303 of the soak).
func TestClearedCrashesCountForTheLastResort(t *testing.T) {
	is := is.New(t)
	rate := Rate{Crashes: 100, Workers: 2}
	r, e := &Record{}, Evidence{Age: 5 * ms, Most: 30 * ms, Confirmed: true, Suspected: true, Alone: true}
	for run := 1; run <= 3; run++ {
		r.Clear(run)
	}
	r.Add(4, e)
	r.Started(5)
	r.Add(5, e)
	is.True(r.Faulty())
	is.True(r.Proven(&rate))
	r.Cleared = nil
	is.True(!r.Proven(&rate))
}
