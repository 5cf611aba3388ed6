package job

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// endMerged applies ends as a leader proposes them.
func (m *machine) endMerged(ends []End) {
	m.is.Helper()
	m.state.View(func(v *View) { v.MergeFailures(ends) })
	m.apply(Round{Ends: ends})
}

// gangMachine has a gang with many attempts, of which runs have started and ended as lost.
func gangMachine(is *is.I, members, runs int) *machine {
	m := newMachine(is)
	m.apply(Round{Catalogue: &Catalogue{Version: 2, Queues: []Queue{{Name: "sorting", Host: "h", Prefix: "/s/", Pool: "p", Attempts: 100}}, Pools: []Pool{{Name: "p"}}}})
	m.submit("one", Step{Count: members, Size: singleTask.Size, Gang: true})
	for run := 1; run <= runs; run++ {
		for i := range members {
			is.True(m.start(task("one", 0, i), run, "a"))
			m.end(task("one", 0, i), run, "a", Lost)
		}
	}
	return m
}

// Guards against a gang whose failed runs are counted by anything but their number, in whatever order and
// grouping their ends are listed, and against replicas of the version before, which compare with the last
// counted run only, that come to another number during an update.
func TestFailedRunsOfAGangCountOnce(t *testing.T) {
	for seed := range 200 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is, random := is.New(t), rand.New(rand.NewPCG(uint64(seed), 1))
			const members, runs = 3, 5
			m := gangMachine(is, members, runs)
			var ends []End
			failed := map[int]bool{}
			for run := 1; run <= runs; run++ {
				for i := range members {
					e := End{Task: task("one", 0, i), Run: run, Worker: "a", Life: 1, Outcome: []Outcome{RunFailed, GangBroken, Stopped}[random.IntN(3)]}
					failed[run] = failed[run] || e.Outcome == RunFailed
					for range 1 + random.IntN(2) { // a new leader lists ends again
						ends = append(ends, e)
					}
				}
			}
			random.Shuffle(len(ends), func(i, k int) { ends[i], ends[k] = ends[k], ends[i] })
			before, last, counted := 0, 0, map[string]bool{}
			for len(ends) > 0 {
				n := 1 + random.IntN(min(4, len(ends)))
				m.endMerged(ends[:n])
				for _, e := range ends[:n] {
					if key := fmt.Sprint(e.Task, e.Run); e.Outcome == RunFailed && !counted[key] {
						counted[key] = true
						if last != e.Run {
							before, last = before+1, e.Run
						}
					}
				}
				ends = ends[n:]
				if random.IntN(3) == 0 {
					b, err := m.state.Snapshot()
					is.NoErr(err)
					is.NoErr(m.state.Restore(b))
				}
			}
			r := m.record("one")
			is.Equal(r.Open[0].Steps[0].Faults, len(failed)-countFalse(failed))
			is.Equal(before, len(failed)-countFalse(failed)) // by the rule of the version before
		})
	}
}

func countFalse(m map[int]bool) int {
	n := 0
	for _, yes := range m {
		if !yes {
			n++
		}
	}
	return n
}

// Guards against a late end that counts once more after an update, since a snapshot of the version before
// states only the latest run that was counted.
func TestFailedRunsOfAnEarlierBuild(t *testing.T) {
	is := is.New(t)
	m := gangMachine(is, 2, 3)
	m.endMerged([]End{{Task: task("one", 0, 0), Run: 1, Worker: "a", Life: 1, Outcome: RunFailed}})
	m.endMerged([]End{{Task: task("one", 0, 0), Run: 2, Worker: "a", Life: 1, Outcome: RunFailed}})
	m.state.View(func(v *View) { v.Jobs["one"].Open[0].Steps[0].FailedRuns = nil })
	b, err := m.state.Snapshot()
	is.NoErr(err)
	is.NoErr(m.state.Restore(b))
	m.endMerged([]End{{Task: task("one", 0, 1), Run: 1, Worker: "a", Life: 1, Outcome: RunFailed}})
	is.Equal(m.record("one").Open[0].Steps[0].Faults, 2)
	m.endMerged([]End{{Task: task("one", 0, 1), Run: 3, Worker: "a", Life: 1, Outcome: RunFailed}})
	is.Equal(m.record("one").Open[0].Steps[0].Faults, 3)
}
