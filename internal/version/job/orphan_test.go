package job

import (
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Guards against a limit or a worker that is exceeded because a run that was given
// up and goes on is no longer counted, also after a restart from a snapshot, and
// against room that is lost for good because it is counted for too long.
func TestOrphansCountUntilTheyAreOver(t *testing.T) {
	k := task("j", 0, 0)
	for name, over := range map[string]Round{
		"settled":             {Settled: []Start{{Task: k, Run: 1, Worker: "a", Life: 1}}},
		"ended":               {Ends: []End{{Task: k, Run: 1, Worker: "a", Life: 1, Outcome: Done}}},
		"the worker is gone":  {Gone: []Worker{worker("a", 1)}},
		"settled twice":       {Settled: []Start{{Task: k, Run: 1, Worker: "a", Life: 1}, {Task: k, Run: 1, Worker: "a", Life: 1}}},
		"the job is over too": {Cancels: []ID{"j"}, Settled: []Start{{Task: k, Run: 1, Worker: "a", Life: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMachine(is)
			m.submit("j", singleTask)
			is.True(m.start(k, 1, "a"))
			for range 2 { // proposed again after a round that was not committed
				m.apply(Round{
					Ends:    []End{{Task: k, Run: 1, Worker: "a", Life: 1, Outcome: Lost}},
					Orphans: []Start{{Task: k, Run: 1, Worker: "a", Life: 1}},
				})
			}
			is.Equal(m.used(), singleTask.Size)
			b, err := m.state.Snapshot()
			is.NoErr(err)
			is.NoErr(m.state.Restore(b))
			is.Equal(m.used(), singleTask.Size)
			is.True(m.start(k, 2, "b"))
			is.Equal(m.used(), singleTask.Size.Add(singleTask.Size))
			m.apply(Round{Settled: []Start{{Task: k, Run: 1, Worker: "a", Life: 9}, {Task: k, Run: 2, Worker: "b", Life: 1}}}) // no such orphans
			is.Equal(m.used(), singleTask.Size.Add(singleTask.Size))
			m.apply(over)
			m.end(k, 2, "b", Stopped)
			is.Equal(m.used(), work.Resources{})
			m.state.View(func(v *View) { is.Equal(len(v.Orphans), 0) })
		})
	}
}

// used returns what the runs and orphans of the workspace take up.
func (m *machine) used() work.Resources {
	var u work.Resources
	m.state.View(func(v *View) { u = v.Used["depot"] })
	return u
}
