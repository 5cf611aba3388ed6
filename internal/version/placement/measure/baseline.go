package measure

import (
	"slices"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/placement"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Decider is what a measurement drives.
type Decider interface {
	Observe(work.Event)
	Decide(now time.Time, limit int) []work.Decision
	Rejected(decision work.Decision, reason string)
	Report(worker string, usage []work.Usage, now time.Time)
	Stats() placement.Stats
}

// firstFit is the baseline: strictly first come, first served, each task on
// the first worker with room. Work that a limit or the absence of any large
// enough worker blocks is passed over, as it would block the queue for ever.
type firstFit struct {
	fake  *Fake
	queue []work.TaskID
	names []string
	stats placement.Stats
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
		if i, ok := slices.BinarySearch(f.names, e.Worker.Name); !ok {
			f.names = slices.Insert(f.names, i, e.Worker.Name)
		}
	}
}

func (f *firstFit) Rejected(work.Decision, string) {}

func (f *firstFit) Report(string, []work.Usage, time.Time) {}

func (f *firstFit) Stats() placement.Stats { return f.stats }

// Decide proposes work in order until one job finds no room. It returns after
// one decision, so that the state has applied it before the next.
func (f *firstFit) Decide(time.Time, int) []work.Decision {
	kept := f.queue[:0]
	for i, id := range f.queue {
		j, t := f.fake.Jobs[id.Job], f.fake.Task(id)
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
		starts, possible := f.fit(j, ids)
		if starts == nil {
			kept = append(kept, id)
			if possible {
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

// fit returns starts for all the tasks, and whether the job is worth waiting for.
func (f *firstFit) fit(j *work.Job, ids []work.TaskID) (starts []work.Start, possible bool) {
	team, entry, n := f.fake.Teams[j.Team], f.fake.Entries[j.Entry], int64(len(ids))
	if !f.fake.Held[j.Team].Add(j.Size.Times(n)).Within(team.Limit) || team.Tasks > 0 && f.fake.Running[j.Team]+n > team.Tasks ||
		entry.Tasks > 0 && f.fake.Active[j.Entry]+n > entry.Tasks {
		return nil, false
	}
	taken := map[string]work.Resources{}
	for _, id := range ids {
		found := false
		for _, name := range f.names {
			f.stats.Steps++
			w := f.fake.Workers[name]
			possible = possible || j.Size.Fits(w.Capacity)
			if !w.Gone && f.fake.Used[name].Add(taken[name]).Add(j.Size).Fits(w.Capacity) {
				taken[name] = taken[name].Add(j.Size)
				starts = append(starts, work.Start{Task: id, Worker: name, Boot: w.Boot, Reserved: j.Size})
				found = true
				break
			}
		}
		if !found {
			return nil, possible
		}
	}
	return starts, true
}
