package state

import (
	"testing"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Guards against damaged commands that crash a replica, or that Apply handles
// differently from Decode followed by ApplyCommand.
func FuzzDecodeCommand(f *testing.F) {
	for _, c := range []Command{
		{Expire: &Expire{}},
		{Request: "r", Submit: &Submit{Job: work.Job{Entry: "batch", Team: "a", Size: size(1)}, Count: 2}},
		{Round: &Round{Decisions: []work.Decision{{Atomic: true, Starts: []work.Start{newStart(1, 0, "w1", 1)}}}}},
		{Settle: &Settle{Identity: "i", Header: [][2]string{{"k", "v"}}, Body: []byte("b")}},
	} {
		c.Time = time.Unix(1_800_000_000, 5)
		b, err := Encode(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s := newFixture()
		s.Apply(100, b)
		c, err := Decode(b)
		if err != nil {
			return
		}
		n := newFixture()
		n.ApplyCommand(100, c)
		applied, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if decoded, _ := n.Snapshot(); string(applied) != string(decoded) {
			t.Fatal("Apply and ApplyCommand reach different states")
		}
	})
}

// Guards against a damaged snapshot that crashes a replica, or that is restored
// to a state that cannot apply commands or be encoded again.
func FuzzRestore(f *testing.F) {
	s := newFixture()
	j := s.submit("batch", "a", 1, 3)
	s.start(j, 0, "w1", 1)
	s.end(s.submit("batch", "a", 1, 1), 0, work.OutcomeFailed)
	s.do(Command{Intent: &Intent{Team: "a", Entry: "service", Identity: "i", Holder: "e", Deadline: s.now}})
	b, err := s.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(b[:len(b)-3])
	empty, _ := New().Snapshot()
	f.Add(empty)
	f.Fuzz(func(t *testing.T, b []byte) {
		s := New()
		if s.Restore(b) != nil {
			return
		}
		for i := range uint64(3) { // a restored state must accept commands
			s.ApplyCommand(s.index+1, Command{Time: s.now.Add(time.Duration(i) * time.Hour), Expire: &Expire{}})
		}
		for _, w := range sortedValues(s.workers) {
			s.ApplyCommand(s.index+1, Command{Depart: &Depart{Worker: w.Name, Boot: w.Boot}})
		}
		for _, id := range sortedValues(s.jobs) {
			s.ApplyCommand(s.index+1, Command{Cancel: &Cancel{Jobs: []work.JobID{id.ID}}})
		}
		if _, err := s.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}
