package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// minDueTasks is the number of tasks of due occurrences that a round looks at beyond those that have room.
	minDueTasks = 64
	// maxOpenTasks bounds the tasks of the occurrences of one job that have started.
	maxOpenTasks = 40_000
)

// poolRoom returns the free capacity of each pool.
func poolRoom(c *fit.Cluster) map[string]work.Resources {
	room := map[string]work.Resources{}
	for _, w := range c.Workers {
		if w.Usable {
			room[w.Pool] = room[w.Pool].Add(w.Free.Positive())
		}
	}
	return room
}

// due returns the occurrences of a job that a round looks at, in ascending order: those that have started and are not
// done, and as many of the next ones that are due as could start in the room of the pool, and some more. A job
// may have 100,000 that are due, which cost a round nothing.
func (t *term) due(r *job.Record, room work.Resources, now time.Time) []int {
	if r.Job.Repeat == 0 {
		return []int{0}
	}
	numbers := slices.DeleteFunc(r.OpenOccurrences(), r.Done)
	roots, tasks := rootsOf(&r.Job)
	left := roots.startable(room) + minDueTasks
	open := maxOpenTasks - len(numbers)*tasks
	for k := r.Behind; k < r.Job.Repeat && left > 0 && (open >= tasks || len(numbers) == 0) && !r.Job.Due(k).After(now); k++ {
		if r.Open[k] == nil && !r.Done(k) {
			numbers = append(numbers, k)
			left -= roots.tasks
			open -= tasks
		}
	}
	slices.Sort(numbers)
	return numbers
}

// rootSteps are the steps of a job that wait for no others.
type rootSteps struct {
	tasks int
	size  work.Resources // the least of each resource that one of their tasks reserves
}

// rootsOf describes the steps of a job that wait for no others, and returns the number of all tasks of an occurrence.
func rootsOf(j *job.Job) (f rootSteps, tasks int) {
	f.size = work.Resources{Processors: math.MaxInt64, Memory: math.MaxInt64, Accelerators: math.MaxInt64}
	for i := range j.Steps {
		s := &j.Steps[i]
		tasks += s.Count
		if len(s.After) == 0 {
			f.tasks += s.Count
			n := s.Reservation()
			f.size = work.Resources{Processors: min(f.size.Processors, n.Processors), Memory: min(f.size.Memory, n.Memory), Accelerators: min(f.size.Accelerators, n.Accelerators)}
		}
	}
	return f, tasks
}

// startable returns how many of the tasks could start in a room in one round at most.
func (f *rootSteps) startable(room work.Resources) int {
	n := int64(maxRoundStarts)
	for _, p := range [...][2]int64{
		{room.Processors, f.size.Processors}, {room.Memory, f.size.Memory}, {room.Accelerators, f.size.Accelerators},
	} {
		if p[1] > 0 {
			n = min(n, p[0]/p[1])
		}
	}
	return int(n)
}
