package measure

import (
	"slices"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/placement"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Decider is the decision core under measurement: the scheduler or the baseline.
type Decider interface {
	Observe(work.Event)
	Decide(now time.Time, limit int) []work.Decision
	Reject(decision work.Decision, reason string)
	Report(worker string, usage []work.Usage, now time.Time)
	Stats() placement.Stats
}

// firstFit is the baseline policy: strictly first come, first served, with each
// task on the first worker where it fits. Work that exceeds a limit or that no
// worker is large enough for is skipped, because it would block the queue forever.
type firstFit struct {
	state       *Fake
	queue       []work.TaskID
	workerNames []string
	stats       placement.Stats
}

func (f *firstFit) Observe(event work.Event) {
	switch e := event.(type) {
	case work.SubmitEvent:
		for i := range e.Job.Tasks {
			f.queue = append(f.queue, e.Job.Tasks[i].ID)
		}
	case work.EndEvent:
		if e.Requeued {
			f.queue = append(f.queue, e.Task.ID)
		}
	case work.WorkerEvent:
		if i, ok := slices.BinarySearch(f.workerNames, e.Worker.Name); !ok {
			f.workerNames = slices.Insert(f.workerNames, i, e.Worker.Name)
		}
	}
}

func (f *firstFit) Reject(work.Decision, string) {}

func (f *firstFit) Report(string, []work.Usage, time.Time) {}

func (f *firstFit) Stats() placement.Stats { return f.stats }

// Decide goes through the queue in order until a job does not fit. It returns
// after one decision, so that the state has applied it before the next one.
func (f *firstFit) Decide(time.Time, int) []work.Decision {
	kept := f.queue[:0]
	for i, id := range f.queue {
		j, t := f.state.Jobs[id.Job], f.state.Task(id)
		if t.State != work.TaskQueued {
			continue
		}
		f.stats.Steps++
		ids := []work.TaskID{id}
		if j.Class == work.Gang {
			ids = ids[:0]
			for k := range j.Tasks {
				if j.Tasks[k].State == work.TaskQueued {
					ids = append(ids, j.Tasks[k].ID)
				}
			}
		}
		starts, feasible := f.fit(j, ids)
		if starts == nil {
			kept = append(kept, id)
			if feasible {
				f.queue = append(kept, f.queue[i+1:]...)
				return nil
			}
			continue
		}
		f.queue = append(kept, f.queue[i+1:]...)
		f.stats.Decisions++
		return []work.Decision{{Starts: starts, Atomic: j.Class == work.Gang, Reason: "first fit"}}
	}
	f.queue = kept
	return nil
}

// fit returns starts for all the tasks, or nil if they do not all fit now. feasible
// reports whether waiting could help: no limit blocks the job and some worker is
// large enough for a task.
func (f *firstFit) fit(j *work.Job, ids []work.TaskID) (starts []work.Start, feasible bool) {
	team, entry, n := f.state.Teams[j.Team], f.state.Entries[j.Entry], int64(len(ids))
	if !f.state.ReservedByTeam[j.Team].Add(j.Size.Times(n)).Within(team.Limit) || team.Tasks > 0 && f.state.Running[j.Team]+n > team.Tasks ||
		entry.Tasks > 0 && f.state.Active[j.Entry]+n > entry.Tasks {
		return nil, false
	}
	taken := map[string]work.Resources{}
	for _, id := range ids {
		found := false
		for _, name := range f.workerNames {
			f.stats.Steps++
			w := f.state.Workers[name]
			feasible = feasible || j.Size.Fits(w.Capacity)
			if !w.Gone && f.state.ReservedByWorker[name].Add(taken[name]).Add(j.Size).Fits(w.Capacity) {
				taken[name] = taken[name].Add(j.Size)
				starts = append(starts, work.Start{Task: id, Worker: name, Boot: w.Boot, Reserved: j.Size})
				found = true
				break
			}
		}
		if !found {
			return nil, feasible
		}
	}
	return starts, true
}
