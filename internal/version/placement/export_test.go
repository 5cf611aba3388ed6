package placement

import (
	"fmt"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Inconsistency describes the first sum or index that does not match the tasks,
// or returns "".
func (s *Scheduler) Inconsistency() string {
	live := 0
	teams, entries := map[*team]work.Resources{}, map[*entry]int64{}
	for _, w := range s.workers {
		used, preemptible := work.Resources{}, work.Resources{}
		for i, t := range w.placed {
			if t.worker != w || t.placedIndex != i {
				return fmt.Sprintf("task %v is not at index %d of worker %s", t.id(), i, w.name)
			}
			used = used.Add(t.reserved)
			if t.preemptibleByState() {
				preemptible = preemptible.Add(t.reserved)
			}
			teams[t.job.team] = teams[t.job.team].Add(t.reserved)
			entries[t.job.profile.entry]++
			live++
		}
		if used != w.used || preemptible != w.preemptible {
			return fmt.Sprintf("worker %s has used %v and preemptible %v, not %v and %v", w.name, w.used, w.preemptible, used, preemptible)
		}
		listed := s.forests[primaryFamily][byProcessors].contains(w.number)
		if want := w.usable() && w.hold == nil; listed != want {
			return fmt.Sprintf("worker %s is indexed: %v, want %v", w.name, listed, want)
		}
		if listed && s.forests[primaryFamily][byProcessors].nodes[w.number].bound != vectorOf(w.free()) {
			return fmt.Sprintf("worker %s is indexed with an old free size", w.name)
		}
	}
	if live != s.stats.Running {
		return fmt.Sprintf("%d tasks live, counted %d", live, s.stats.Running)
	}
	for _, t := range s.teamList {
		if teams[t] != t.used {
			return fmt.Sprintf("team %s has used %v, not %v", t.name, t.used, teams[t])
		}
	}
	for _, e := range s.entries {
		if entries[e] != e.running {
			return fmt.Sprintf("entry %s runs %d, not %d", e.name, e.running, entries[e])
		}
	}
	waiting := 0
	for _, j := range s.jobs {
		waiting += len(j.queuedTasks)
		want := len(j.queuedTasks) > 0 && !j.finished && !j.refusalProposed && !j.backingOff
		if s.waiting.contains(j.slot) != want {
			return fmt.Sprintf("job %d waits in a queue: %v, want %v", j.id, !want, want)
		}
	}
	if waiting != s.stats.Queued {
		return fmt.Sprintf("%d tasks wait, counted %d", waiting, s.stats.Queued)
	}
	return ""
}

func (f *forest) contains(i int32) bool { return int(i) < len(f.nodes) && f.nodes[i].root != nil }

// Allocations returns the free sizes of present workers, the use of each team
// and the number of queued tasks, to compare a scheduler with one that was
// built from the state.
func (s *Scheduler) Allocations() (free map[string]work.Resources, use map[string]work.Resources, waiting int) {
	free, use = map[string]work.Resources{}, map[string]work.Resources{}
	for _, w := range s.workers {
		if !w.departed {
			free[w.name] = w.free()
		}
	}
	for _, t := range s.teamList {
		use[t.name] = t.used
	}
	return free, use, s.stats.Queued
}

// MissedStart describes a waiting job that could start now, or returns "". Jobs
// that wait for Options.Retry after a rejection do not count.
func (s *Scheduler) MissedStart() string {
	for _, j := range s.jobs {
		if s.waiting.contains(j.slot) && j.class != work.Gang && s.withinLimits(j, s.taskSize(j), 1) {
			if w, ok := policyFor(j.class).place(s, taskRequest{j, s.taskSize(j)}); ok {
				return fmt.Sprintf("%s job %d (urgent %v, size %v of %v) could start on %s (free %v, listed as freed: %v; rescan %v, parked %v)",
					j.class, j.id, j.urgent, s.taskSize(j), j.declared, w.name, w.free(), w.listedAsFreed, j.profile.rescan, j.profile.parked)
			}
		}
	}
	return ""
}

// PickForWorker returns the next job among those that fit on the worker.
func (s *Scheduler) PickForWorker(worker string) work.JobID {
	if j := s.pickForWorker(s.workers[worker]); j != nil {
		return j.id
	}
	return 0
}
