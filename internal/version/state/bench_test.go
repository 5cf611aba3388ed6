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

// benchState returns a state of the target scale: 30,000 tasks in jobs of 10 run
// on 7,800 workers.
func benchState(b *testing.B) *fixture {
	f := &fixture{State: New(), now: time.Unix(1_800_000_000, 0)}
	f.do(Command{Team: &TeamChange{Team: work.Team{Name: "a", Weight: 1}}})
	f.do(Command{Entry: &EntryChange{Entry: work.Entry{Name: "batch", Owner: "a", Class: work.Batch}}})
	for i := range benchWorkers {
		f.do(Command{Join: &Join{Worker: work.Worker{Name: fmt.Sprint("w", i), Boot: 1, Capacity: size(64)}}})
	}
	for n := 0; n < benchTasks; n += benchRound {
		ids := f.jobsOf(benchRound)
		if r := f.startAll(false, f.starts(ids, n)...); len(r.Rejects) > 0 {
			b.Fatal(r.Rejects[0])
		}
	}
	return f
}

// jobsOf submits jobs of 10 tasks with the given number of tasks in all.
func (f *fixture) jobsOf(tasks int) []work.JobID {
	var ids []work.JobID
	for range tasks / 10 {
		ids = append(ids, f.submit("batch", "a", 1, 10))
	}
	return ids
}

func (f *fixture) starts(ids []work.JobID, at int) []work.Start {
	var starts []work.Start
	for _, id := range ids {
		for i := range uint32(10) {
			starts = append(starts, begin(id, i, fmt.Sprint("w", at%benchWorkers), 1))
			at++
		}
	}
	return starts
}

// apply applies an encoded command outside of which the timer is stopped.
func (f *fixture) apply(b *testing.B, c Command) {
	c.Time = f.now
	log, err := Encode(c)
	if err != nil {
		b.Fatal(err)
	}
	f.index++
	b.StartTimer()
	r := f.Apply(f.index, log).(Result)
	b.StopTimer()
	if r.Code != OK || len(r.Rejects) > 0 {
		b.Fatal(r)
	}
}

func (f *fixture) endsOf(ids []work.JobID) []work.End {
	var ends []work.End
	for _, id := range ids {
		for _, t := range f.jobs[id].Tasks {
			ends = append(ends, work.End{Task: t.ID, Token: t.Token, Outcome: work.OutcomeSucceeded})
		}
	}
	return ends
}

func rate(b *testing.B) {
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/benchRound, "µs/task")
}

func BenchmarkApplyStarts(b *testing.B) {
	f := benchState(b)
	b.ReportAllocs()
	b.ResetTimer()
	b.StopTimer()
	for i := range b.N {
		ids := f.jobsOf(benchRound)
		f.apply(b, Command{Round: &Round{Decisions: []work.Decision{{Starts: f.starts(ids, i*benchRound)}}}})
		f.do(Command{Ends: &Ends{Ends: f.endsOf(ids)}})
	}
	rate(b)
}

func BenchmarkApplyEnds(b *testing.B) {
	f := benchState(b)
	b.ReportAllocs()
	b.ResetTimer()
	b.StopTimer()
	for i := range b.N {
		ids := f.jobsOf(benchRound)
		f.startAll(false, f.starts(ids, i*benchRound)...)
		f.apply(b, Command{Ends: &Ends{Ends: f.endsOf(ids)}})
	}
	rate(b)
}

// BenchmarkCancelWave cancels 50 jobs of 10 queued tasks beside a backlog of the
// given size. The time must not depend on the backlog.
func BenchmarkCancelWave(b *testing.B) {
	for _, backlog := range []int{0, 100_000} {
		b.Run(fmt.Sprint("backlog=", backlog), func(b *testing.B) {
			f := benchState(b)
			f.jobsOf(backlog)
			b.ReportAllocs()
			b.ResetTimer()
			b.StopTimer()
			for range b.N {
				f.apply(b, Command{Cancel: &Cancel{Jobs: f.jobsOf(benchRound)}})
			}
			rate(b)
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
