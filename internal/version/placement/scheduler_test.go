package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Guards against a gang of which only a part starts.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	is := is.New(t)
	s := New(Options{})
	s.Observe(work.TeamEvent{Team: &work.Team{Name: "a", Weight: 1}})
	s.Observe(work.EntryEvent{Entry: &work.Entry{Name: "e", Owner: "a", Class: work.Gang}})
	s.Observe(work.WorkerEvent{Worker: &work.Worker{Name: "w1", Capacity: work.Resources{Processors: 2}}})
	j := &work.Job{ID: 1, Entry: "e", Team: "a", Class: work.Gang, Size: work.Resources{Processors: 1}}
	for i := range uint32(3) {
		j.Tasks = append(j.Tasks, work.Task{ID: work.TaskID{Job: 1, Index: i}, State: work.TaskQueued})
	}
	s.Observe(work.SubmitEvent{Job: j})
	is.Equal(len(s.Decide(time.Unix(0, 0), 10)), 0)
	s.Observe(work.WorkerEvent{Worker: &work.Worker{Name: "w2", Capacity: work.Resources{Processors: 1}}})
	d := s.Decide(time.Unix(0, 0), 10)
	is.Equal(len(d), 1)
	is.True(d[0].Atomic)
	is.Equal(len(d[0].Starts), 3)
	is.Equal(len(s.Decide(time.Unix(0, 0), 10)), 0)
}
