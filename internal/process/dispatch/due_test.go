package dispatch

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// submitRepeating submits a job whose occurrences are all due.
func (b *testCluster) submitRepeating(id string, repeat int, steps ...job.Step) {
	v, ok := b.term().call(context.Background(), &cell.Call{
		Verb: cell.Submit, Host: "h", Path: "/q/" + id, Key: "k",
		Job: &job.Job{Steps: steps, Repeat: repeat, First: time.UnixMilli(0), Every: time.Millisecond},
	})
	b.is.True(ok)
	b.is.Equal(v.Code, cell.OK)
}

// Guards against a cell that serves nothing else, because each round walks all due occurrences of a job and
// keeps the state of each (rule LOST): 100,000 of 20,000 tasks each stopped it for good.
func TestManyDueOccurrences(t *testing.T) {
	for _, count := range []int{1, 20_000} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestCluster(t, "a")
			defer b.close()
			small := job.Step{Count: count, Size: work.Resources{Processors: 1000, Memory: 1 << 20}, Estimate: time.Second}
			b.submitRepeating("many", 100_000, small)
			began := time.Now()
			time.Sleep(1500 * time.Millisecond)
			b.submitTo("/u/", "other", tasks(1))
			time.Sleep(4 * time.Second)
			b.is.Equal(b.status("other"), job.Completed)
			b.state.View(func(v *job.View) {
				b.is.True(len(v.Jobs["many"].Open) <= 5) // one starts while the end of the one before is committed
			})
			b.is.True(time.Since(began) < 6*time.Second)
		})
	}
}

// Guards against occurrences that are not run, run twice or run out of order, since a round looks at a few of
// those that are due only.
func TestDueOccurrencesRunInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.workers.setRunTime(50 * time.Millisecond)
		const occurrences = 300
		second := tasks(1)
		second.After = []int{0}
		b.submitRepeating("many", occurrences, tasks(1), second)
		for range 60 {
			time.Sleep(time.Second)
			if b.status("many").Final() {
				break
			}
		}
		b.is.Equal(b.status("many"), job.Completed)
		var first []int
		for _, s := range b.workers.started() {
			var number, step, index, run int
			_, err := fmt.Sscanf(strings.ReplaceAll(s, ".", " "), "many %d %d %d run %d", &number, &step, &index, &run)
			b.is.NoErr(err)
			b.is.Equal(run, 1)
			if step == 0 {
				first = append(first, number)
			}
		}
		b.is.Equal(len(b.workers.started()), 2*occurrences)
		b.is.Equal(len(first), occurrences)
		for i := range first {
			b.is.True(first[i] <= i+8) // as many as run at a time may overtake each other
		}
	})
}

// Guards against a job that stops because a part of each occurrence can never run: later occurrences begin
// all the same, and their number is bounded.
func TestDueOccurrencesBesideATaskThatFitsNowhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		never := tasks(10_000)
		never.Label = "none"
		b.submitRepeating("many", 100_000, tasks(1), never)
		time.Sleep(8 * time.Second)
		b.state.View(func(v *job.View) {
			n := len(v.Jobs["many"].Open)
			b.is.True(n >= 3 && n <= 4)
		})
	})
}

// dueTerm is a term with one worker and a job of which occurrences are due.
func dueTerm(due int) (*term, *job.State) {
	s := job.New()
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	apply := func(r job.Round) {
		r.Term, r.Now = 1, at
		b, err := job.Encode(r)
		if err != nil {
			panic(err)
		}
		s.Apply(1, b)
	}
	apply(job.Round{Lead: true, Catalogue: &job.Catalogue{
		Version: 1, Pools: []job.Pool{{Name: "p"}}, Queues: []job.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 3}},
	}})
	apply(job.Round{Submits: []job.Job{{ID: "many", Host: "h", Prefix: "/q/", Steps: []job.Step{tasks(1)}, Repeat: 100_000,
		First: at.Add(-time.Duration(due-1) * time.Second), Every: time.Second}}})
	d := &Dispatcher{options: Options{State: s, Now: func() time.Time { return at }, Clock: func() time.Time { return at }, Events: event.Log{}}}
	return newTerm(d, 1), s
}

// The cost of a round does not grow with what is due.
func BenchmarkDueOccurrences(b *testing.B) {
	for _, due := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint(due), func(b *testing.B) {
			t, s := dueTerm(due)
			for b.Loop() {
				s.View(func(v *job.View) { t.demands(v, nil, t.now()) })
			}
		})
	}
}

// Guards against a round that looks at more occurrences the more are due.
func TestDueOccurrencesAreBounded(t *testing.T) {
	for _, due := range []int{10, 1000, 100_000} {
		current, s := dueTerm(due)
		s.View(func(v *job.View) {
			r := v.Jobs["many"]
			numbers := current.due(r, work.Resources{Processors: 4000, Memory: 16 << 30}, current.now())
			want := min(due, minDueTasks+4)
			if len(numbers) != want || !slices.IsSorted(numbers) || numbers[0] != 0 {
				t.Errorf("%d due: a round looks at %d occurrences from %d on, want %d from 0 on", due, len(numbers), numbers[0], want)
			}
			if len(r.Open) != 0 {
				t.Errorf("%d occurrences have a state, want none", len(r.Open))
			}
		})
	}
}
