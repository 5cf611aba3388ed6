package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// BenchmarkReplay measures how long a replica takes to apply again what was committed
// since its latest snapshot: a round of 20 starts and the ends of the round before.
func BenchmarkReplay(b *testing.B) {
	const tasks, workers = 20, 1100
	rounds, size := replayRounds(b, tasks, workers)
	s := New()
	next := 0
	for b.Loop() {
		if next == len(rounds) {
			s, next = New(), 0
		}
		s.Apply(0, rounds[next])
		next++
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*tasks), "µs/run")
	b.ReportMetric(float64(size)/float64(len(rounds)*tasks), "B/run")
}

func replayRounds(b *testing.B, tasks, workers int) (rounds [][]byte, size int) {
	now := time.Unix(1_000, 0)
	add := func(r Round) {
		r.Term, r.Now = 1, now
		e, err := Encode(r)
		if err != nil {
			b.Fatal(err)
		}
		rounds, size = append(rounds, e), size+len(e)
	}
	first := Round{Lead: true, Catalogue: &Catalogue{Version: 1, Queues: []Queue{{Host: "h", Prefix: "/q/", Pool: "p"}}}}
	for i := range workers {
		first.Workers = append(first.Workers, Worker{ID: fmt.Sprintf("i-%09d", i), Life: 7, Pool: "p"})
	}
	add(first)
	var ends []End
	for i := range 2000 {
		r := Round{Ends: ends}
		ends = nil
		id := ID(fmt.Sprintf("%016x", i))
		r.Submits = []Job{{ID: id, Host: "h", Prefix: "/q/", Workspace: "w", Steps: []Step{
			{Count: tasks, Estimate: time.Second, Size: work.Resources{Processors: 1000, Memory: 2000}},
		}}}
		for k := range tasks {
			t := TaskID{Job: id, Index: k}
			w := first.Workers[(i*tasks+k)%workers].ID
			r.Starts = append(r.Starts, Start{Task: t, Run: 1, Worker: w, Life: 7})
			ends = append(ends, End{Task: t, Run: 1, Worker: w, Life: 7, Outcome: Done})
		}
		add(r)
	}
	return rounds, size
}

// BenchmarkSnapshot measures a snapshot of the state after the rounds of
// BenchmarkReplay: 2,000 jobs, of which the last one is not done.
func BenchmarkSnapshot(b *testing.B) {
	rounds, _ := replayRounds(b, 20, 1100)
	s := New()
	for _, r := range rounds {
		s.Apply(0, r)
	}
	data, err := s.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.Run("take", func(b *testing.B) {
		for b.Loop() {
			if _, err := s.Snapshot(); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "B")
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			if err := New().Restore(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}
