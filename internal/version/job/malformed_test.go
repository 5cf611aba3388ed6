package job

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/version/codec"
)

// survives fails the test if f panics.
func survives(t *testing.T, f func()) {
	t.Helper()
	defer func() {
		if r := recover(); r != nil {
			t.Errorf("panics: %v", r)
		}
	}()
	f()
}

// oddRounds are rounds that decode, but that no leader of this build commits.
func oddRounds() map[string]Round {
	odd := func(change func(id *TaskID)) TaskID {
		id := TaskID{Job: "one"}
		change(&id)
		return id
	}
	rounds := map[string]Round{
		"ends and starts of no job": {Ends: []End{{}}, Starts: []Start{{}}, Settled: []Start{{}}, Orphans: []Start{{}}, Cancels: []ID{""}},
		"workers without a name":    {Workers: []Worker{{}}, Gone: []Worker{{}}},
		"job without steps":         {Submits: []Job{{ID: "two", Host: "h", Prefix: "/s/", Workspace: "depot"}}},
		"job of no queue":           {Submits: []Job{{ID: "two", Steps: []Step{{Count: 1}}}}},
		"negative count":            {Submits: []Job{{ID: "two", Host: "h", Prefix: "/s/", Steps: []Step{{Count: -1}}}}},
		"empty catalogue":           {Catalogue: &Catalogue{Version: math.MaxUint64}},
	}
	for name, id := range map[string]TaskID{
		"negative index":      odd(func(id *TaskID) { id.Index = -1 }),
		"large index":         odd(func(id *TaskID) { id.Index = math.MaxInt }),
		"negative step":       odd(func(id *TaskID) { id.Step = -1 }),
		"large step":          odd(func(id *TaskID) { id.Step = math.MaxInt }),
		"negative occurrence": odd(func(id *TaskID) { id.Occurrence = -1 }),
		"large occurrence":    odd(func(id *TaskID) { id.Occurrence = math.MaxInt }),
	} {
		rounds["end with a "+name] = Round{Ends: []End{{Task: id, Run: 1, Worker: "a", Life: 1, Outcome: Done}}}
		rounds["start with a "+name] = Round{Starts: []Start{{Task: id, Run: 1, Worker: "a", Life: 1}}}
		rounds["orphan with a "+name] = Round{Orphans: []Start{{Task: id, Run: 1, Worker: "a", Life: 1}}}
	}
	return rounds
}

// Guards against a committed round that takes down every process that applies it, as
// one of another build may hold anything.
func TestOddRounds(t *testing.T) {
	for name, r := range oddRounds() {
		t.Run(name, func(t *testing.T) {
			survives(t, func() {
				m := newMachine(is.New(t))
				m.submit("one", Step{Count: 1})
				m.apply(r)
				m.apply(Round{Cancels: []ID{"one", "two"}})
				_, err := m.state.Snapshot()
				m.is.NoErr(err)
			})
		})
	}
}

// Guards against a snapshot of another process that is taken over although it
// contradicts itself, or that takes the process down.
func TestOddSnapshots(t *testing.T) {
	one := Job{ID: "one", Host: "h", Prefix: "/s/", Steps: []Step{{Count: 1}}}
	running := func(steps ...Progress) map[int]*Occurrence { return map[int]*Occurrence{0: {Steps: steps}} }
	task := Progress{Tasks: []Task{{Run: 1, Worker: "a", Life: 1}}, Left: 1}
	for name, s := range map[string]snapshot{
		"no record":           {Jobs: []*Record{nil}},
		"no occurrence":       {Jobs: []*Record{{Job: one, Open: map[int]*Occurrence{0: nil}}}},
		"more steps":          {Jobs: []*Record{{Job: one, Open: running(task, task)}}},
		"fewer steps":         {Jobs: []*Record{{Job: one, Open: running()}}},
		"fewer tasks":         {Jobs: []*Record{{Job: one, Open: running(Progress{Left: 1})}}},
		"negative occurrence": {Jobs: []*Record{{Job: one, Open: map[int]*Occurrence{-1: {Steps: []Progress{task}}}}}},
		"job without steps":   {Jobs: []*Record{{Job: Job{ID: "one"}, Open: running(task)}}},
	} {
		t.Run(name, func(t *testing.T) {
			b, err := codec.Encode(s)
			if err != nil {
				t.Fatal(err)
			}
			survives(t, func() {
				m := newMachine(is.New(t))
				if err := m.state.Restore(b); err == nil {
					t.Error("the snapshot was taken over")
				}
				m.apply(Round{Ends: []End{{Task: TaskID{Job: "one"}, Run: 1, Worker: "a", Life: 1, Outcome: Done}}})
				m.apply(Round{Cancels: []ID{"one"}})
			})
		})
	}
}

func FuzzRestore(f *testing.F) {
	m := newMachine(is.New(f))
	m.submit("one", Step{Count: 2})
	b, err := m.state.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		m := newMachine(is.New(t))
		if m.state.Restore(b) == nil {
			if _, err := m.state.Snapshot(); err != nil {
				t.Error(err)
			}
		}
	})
}

func FuzzApply(f *testing.F) {
	for _, r := range oddRounds() {
		b, err := Encode(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m := newMachine(is.New(t))
		m.submit("one", Step{Count: 2})
		m.state.Apply(9, b)
		if _, err := m.state.Snapshot(); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a replica that does not start, because its snapshot has a job that an earlier build
// accepted and that cannot be run.
func TestSnapshotWithAJobThatCannotBeRun(t *testing.T) {
	for _, status := range []Status{Queued, Cancelled} {
		is := is.New(t)
		huge := Job{ID: "one", Host: "h", Prefix: "/s/", Steps: []Step{{Count: math.MaxInt}, {Count: math.MaxInt}, {Count: 4}}}
		b, err := codec.Encode(snapshot{Jobs: []*Record{{Job: huge, Status: status, Accepted: start}}})
		is.NoErr(err)
		m := newMachine(is)
		is.NoErr(m.state.Restore(b))
		want := status
		if status == Queued {
			want = Failed
		}
		is.Equal(m.record("one").Status, want)
		b, err = m.state.Snapshot()
		is.NoErr(err)
		is.NoErr(m.state.Restore(b))
		m.apply(Round{Cancels: []ID{"one"}})
		is.Equal(m.record("one").Status, want)
	}
}
