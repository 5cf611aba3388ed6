package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	benchWorkers = 7_800
	benchTasks   = 30_000
	benchRound   = 500
)

// benchState returns a state of the target scale: 30,000 running tasks in jobs
// of 10 tasks on 7,800 workers.
func benchState(b *testing.B) *fixture {
	f := &fixture{State: New(), now: time.Unix(1_800_000_000, 0)}
	f.do(Command{Team: &TeamChange{Team: work.Team{Name: "a", Weight: 1}}})
	f.do(Command{Entry: &EntryChange{Entry: work.Entry{Name: "batch", Owner: "a", Class: work.Batch}}})
	for i := range benchWorkers {
		f.do(Command{Join: &Join{Worker: work.Worker{Name: fmt.Sprint("w", i), Boot: 1, Capacity: size(64)}}})
	}
	for n := 0; n < benchTasks; n += benchRound {
		ids := f.submitJobs(benchRound)
		if r := f.startAll(false, f.startsFor(ids, n)...); len(r.Rejects) > 0 {
			b.Fatal(r.Rejects[0])
		}
	}
	return f
}

// submitJobs submits jobs of 10 tasks each, with the given number of tasks in
// total.
func (f *fixture) submitJobs(tasks int) []work.JobID {
	var ids []work.JobID
	for range tasks / 10 {
		ids = append(ids, f.submit("batch", "a", 1, 10))
	}
	return ids
}

func (f *fixture) startsFor(ids []work.JobID, at int) []work.Start {
	var starts []work.Start
	for _, id := range ids {
		for i := range uint32(10) {
			starts = append(starts, newStart(id, i, fmt.Sprint("w", at%benchWorkers), 1))
			at++
		}
	}
	return starts
}

// apply applies an encoded command. The timer runs only while Apply runs.
func (f *fixture) apply(b *testing.B, c Command) {
	c.Time = f.now
	encoded, err := Encode(c)
	if err != nil {
		b.Fatal(err)
	}
	f.index++
	b.StartTimer()
	r := f.Apply(f.index, encoded).(Result)
	b.StopTimer()
	if r.Code != OK || len(r.Rejects) > 0 {
		b.Fatal(r)
	}
}

func (f *fixture) endsFor(ids []work.JobID) []work.End {
	var ends []work.End
	for _, id := range ids {
		for _, t := range f.jobs[id].Tasks {
			ends = append(ends, work.End{Task: t.ID, Token: t.Token, Outcome: work.OutcomeSucceeded})
		}
	}
	return ends
}

func reportTimePerTask(b *testing.B) {
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/benchRound, "µs/task")
}

func BenchmarkApplyStarts(b *testing.B) {
	f := benchState(b)
	b.ReportAllocs()
	b.ResetTimer()
	b.StopTimer()
	for i := range b.N {
		ids := f.submitJobs(benchRound)
		f.apply(b, Command{Round: &Round{Decisions: []work.Decision{{Starts: f.startsFor(ids, i*benchRound)}}}})
		f.do(Command{Ends: &Ends{Ends: f.endsFor(ids)}})
	}
	reportTimePerTask(b)
}

func BenchmarkApplyEnds(b *testing.B) {
	f := benchState(b)
	b.ReportAllocs()
	b.ResetTimer()
	b.StopTimer()
	for i := range b.N {
		ids := f.submitJobs(benchRound)
		f.startAll(false, f.startsFor(ids, i*benchRound)...)
		f.apply(b, Command{Ends: &Ends{Ends: f.endsFor(ids)}})
	}
	reportTimePerTask(b)
}

// BenchmarkCancelWave cancels 50 jobs of 10 queued tasks each, with a backlog of
// other queued tasks. The time must not depend on the size of the backlog.
func BenchmarkCancelWave(b *testing.B) {
	for _, backlog := range []int{0, 100_000} {
		b.Run(fmt.Sprint("backlog=", backlog), func(b *testing.B) {
			f := benchState(b)
			f.submitJobs(backlog)
			b.ReportAllocs()
			b.ResetTimer()
			b.StopTimer()
			for range b.N {
				f.apply(b, Command{Cancel: &Cancel{Jobs: f.submitJobs(benchRound)}})
			}
			reportTimePerTask(b)
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	f := benchState(b)
	b.ReportAllocs()
	for b.Loop() {
		s, err := f.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(s))/1e6, "MB")
	}
}
