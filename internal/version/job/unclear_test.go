package job

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a new leader that gives up a run of which its predecessor knew that a copy of
// its start has no answer (rule TWICE, issue 41), and against one that keeps runs for good.
func TestUnclearStarts(t *testing.T) {
	is := is.New(t)
	began := time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
	s := New()
	apply := func(after time.Duration, r Round) {
		r.Term, r.Now = 1, began.Add(after)
		b, err := Encode(r)
		is.NoErr(err)
		s.Apply(0, b)
	}
	start := Start{Task: TaskID{Job: "one"}, Run: 1, Worker: "a", Life: 3}
	unclear := func() (yes bool) {
		s.View(func(v *View) {
			_, _, task := v.Find(start.Task)
			_, yes = v.Unclear(task)
		})
		return yes
	}
	apply(0, Round{
		Catalogue: &Catalogue{Version: 1, Queues: []Queue{{Host: "h", Prefix: "/q/"}}}, Workers: []Worker{{ID: "a", Life: 3}},
		Submits: []Job{{ID: "one", Host: "h", Prefix: "/q/", Steps: []Step{{Count: 1}}}},
	})
	apply(0, Round{Starts: []Start{start}})
	is.True(unclear()) // its copies may be on their way
	apply(time.Minute, Round{Lead: true})
	is.True(unclear()) // what the next leader's clock reads proves nothing
	apply(copyTime, Round{})
	is.True(!unclear())
	apply(copyTime, Round{Unclear: []Start{{Task: start.Task, Run: 1, Worker: "a", Life: 2}}})
	is.True(!unclear()) // of another incarnation
	apply(copyTime, Round{Unclear: []Start{start}})
	is.True(unclear())
	b, err := s.Snapshot()
	is.NoErr(err)
	s = New()
	is.NoErr(s.Restore(b))
	is.True(unclear())
	apply(maxCopyAge, Round{})
	is.True(!unclear())
	apply(maxCopyAge, Round{Ends: []End{{Task: start.Task, Run: 1, Worker: "a", Life: 3, Outcome: Lost}}})
	start.Run = 2
	apply(maxCopyAge, Round{Starts: []Start{start}})
	apply(maxCopyAge+copyTime, Round{})
	is.True(!unclear()) // the next run has copies of its own
}

// Guards against a leader that takes a start for settled because two leaders before it followed each other slowly: the
// first one sent it, and the second one has not seen it settled (rule TWICE).
func TestAdoptedStarts(t *testing.T) {
	is := is.New(t)
	began := time.Date(2026, 12, 8, 4, 0, 0, 0, time.UTC)
	s := New()
	apply := func(after time.Duration, r Round) {
		r.Term, r.Now = 1, began.Add(after)
		b, err := Encode(r)
		is.NoErr(err)
		s.Apply(0, b)
	}
	start := Start{Task: TaskID{Job: "one"}, Run: 1, Worker: "a", Life: 3}
	state := func() (sending Sending, unclear, held bool) {
		s.View(func(v *View) {
			_, _, task := v.Find(start.Task)
			_, unclear = v.Unclear(task)
			_, held = v.Doubtful("a")
			sending = task.Sending
		})
		return sending, unclear, held
	}
	apply(0, Round{
		Catalogue: &Catalogue{Version: 1, Pools: []Pool{{Name: "p"}}, Queues: []Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 3}}},
		Workers:   []Worker{{ID: "a", Pool: "p", Life: 3}},
		Submits:   []Job{{ID: "one", Host: "h", Prefix: "/q/", Steps: []Step{{Count: 1}}}},
	})
	apply(0, Round{Starts: []Start{start}, Sendings: []Sending{SendOnce}})
	other := start
	other.Life = 2
	apply(copyTime, Round{Adopted: []Start{other}})
	_, unclear, _ := state()
	is.True(!unclear) // of another incarnation
	apply(copyTime, Round{Adopted: []Start{start}})
	b, err := s.Snapshot()
	is.NoErr(err)
	s = New()
	is.NoErr(s.Restore(b))
	sending, unclear, held := state()
	is.Equal(sending, SendOnce)
	is.True(unclear)
	is.True(!held) // no end is kept for it
	apply(maxCopyAge, Round{})
	_, unclear, _ = state()
	is.True(!unclear)
}
