package placement

import (
	"fmt"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Inconsistency returns the first sum or index that differs from what the
// tasks themselves say, or nothing.
func (s *Scheduler) Inconsistency() string {
	live := 0
	teams, entries := map[*team]work.Resources{}, map[*entry]int64{}
	for _, w := range s.workers {
		used, yield := work.Resources{}, work.Resources{}
		for i, t := range w.placed {
			if t.worker != w || t.place != i {
				return fmt.Sprintf("task %v is not at place %d of %s", t.id(), i, w.name)
			}
			used = used.Add(t.reserved)
			if t.preemptibleBefore() {
				yield = yield.Add(t.reserved)
			}
			teams[t.job.team] = teams[t.job.team].Add(t.reserved)
			entries[t.job.profile.entry]++
			live++
		}
		if used != w.used || yield != w.yield {
			return fmt.Sprintf("worker %s has used %v and yield %v, not %v and %v", w.name, w.used, w.yield, used, yield)
		}
		listed := s.forests[primary][byProcessors].holds(w.number)
		if want := w.usable() && w.hold == nil; listed != want {
			return fmt.Sprintf("worker %s is indexed: %v, want %v", w.name, listed, want)
		}
		if listed && s.forests[primary][byProcessors].nodes[w.number].bound != vectorOf(w.free()) {
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
		waiting += len(j.ready)
		want := len(j.ready) > 0 && !j.finished && !j.refusing && !j.held
		if s.waiting.holds(j.slot) != want {
			return fmt.Sprintf("job %d waits in a queue: %v, want %v", j.id, !want, want)
		}
	}
	if waiting != s.stats.Queued {
		return fmt.Sprintf("%d tasks wait, counted %d", waiting, s.stats.Queued)
	}
	return ""
}

func (f *forest) holds(i int32) bool { return int(i) < len(f.nodes) && f.nodes[i].root != nil }

// Shape returns the free sizes of present workers and the use by team, to
// compare a scheduler with one that was built from the state.
func (s *Scheduler) Shape() (free map[string]work.Resources, use map[string]work.Resources, waiting int) {
	free, use = map[string]work.Resources{}, map[string]work.Resources{}
	for _, w := range s.workers {
		if !w.gone {
			free[w.name] = w.free()
		}
	}
	for _, t := range s.teamList {
		use[t.name] = t.used
	}
	return free, use, s.stats.Queued
}

// Missed names a waiting job that could start now, or nothing. Work that waits
// for its retry after a rejection does not count.
func (s *Scheduler) Missed() string {
	for _, j := range s.jobs {
		if s.waiting.holds(j.slot) && j.class != work.Gang && s.permits(j, s.size(j), 1) {
			if w, ok := policyOf(j.class).place(s, request{j, s.size(j)}); ok {
				return fmt.Sprintf("%s job %d (urgent %v, size %v of %v) could start on %s (free %v, listed for release: %v; walk %v, parked %v)",
					j.class, j.id, j.urgent, s.size(j), j.declared, w.name, w.free(), w.dirty, j.profile.walk, j.profile.parked)
			}
		}
	}
	return ""
}

// Pick returns the job that comes next among those that fit the worker.
func (s *Scheduler) Pick(worker string) work.JobID {
	if j := s.pickFor(s.workers[worker]); j != nil {
		return j.id
	}
	return 0
}
