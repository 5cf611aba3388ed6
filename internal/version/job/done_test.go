package job

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a task that starts again after an acknowledged end as done: its run had been
// stopped, and the next incarnation of the worker carried a late copy of the start out (rule
// TWICE, issue 41).
func TestDoneOnTheNextIncarnationCounts(t *testing.T) {
	is := is.New(t)
	s := New()
	apply := func(r Round) {
		r.Term, r.Now = 1, time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
		b, err := Encode(r)
		is.NoErr(err)
		s.Apply(0, b)
	}
	id := TaskID{Job: "one"}
	apply(Round{
		Catalogue: &Catalogue{Version: 1, Queues: []Queue{{Host: "h", Prefix: "/q/"}}}, Workers: []Worker{{ID: "a", Life: 3}},
		Submits: []Job{{ID: "one", Host: "h", Prefix: "/q/", Steps: []Step{{Count: 2}}}},
	})
	apply(Round{Starts: []Start{{Task: id, Run: 1, Worker: "a", Life: 3}}})
	apply(Round{Ends: []End{{Task: id, Run: 1, Worker: "a", Life: 3, Outcome: Stopped}}})
	apply(Round{Starts: []Start{{Task: id, Run: 2, Worker: "a", Life: 3}}})
	for range 2 { // a new leader lists the end again
		apply(Round{Ends: []End{{Task: id, Run: 1, Worker: "a", Life: 4, Outcome: Done}}})
	}
	s.View(func(v *View) {
		_, occurrence, task := v.Find(id)
		is.True(task.Done)
		is.Equal(occurrence.Steps[0].Left, 1) // the other task
	})
}
