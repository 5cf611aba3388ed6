package placement

import (
	"fmt"
	"strings"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Explain returns one line of text that tells an operator why a job waits.
func (s *Scheduler) Explain(id work.JobID, now time.Time) string {
	j := s.jobs[id]
	switch {
	case j == nil:
		return "the job has no task that waits or runs"
	case j.finished:
		return "the job has ended; tasks that still stop: " + fmt.Sprint(j.liveTasks)
	case j.refusalProposed:
		return "the job is about to be refused: " + s.infeasibleReason(j)
	case len(j.queuedTasks) == 0:
		return fmt.Sprintf("no task waits; %d are starting or running", j.liveTasks)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%d of %d tasks wait since %s", len(j.queuedTasks), len(j.tasks), now.Sub(j.submitted).Truncate(time.Second))
	for _, cause := range s.waitReasons(j, now) {
		b.WriteString("; ")
		b.WriteString(cause)
	}
	return b.String()
}

func (s *Scheduler) waitReasons(j *job, now time.Time) []string {
	t, e, size := j.team, j.profile.entry, s.taskSize(j)
	n := int64(1)
	if j.class == work.Gang {
		n = int64(len(j.queuedTasks))
	}
	var list []string
	add := func(format string, values ...any) { list = append(list, fmt.Sprintf(format, values...)) }
	if s.stats.Workers == 0 {
		add("no worker is known")
	} else if text := s.infeasibleReason(j); text != "" {
		add("%s", text)
	}
	if j.backingOff {
		add("its last start was rejected and is tried again soon")
	}
	if t.maxTasks > 0 && t.running+n > t.maxTasks {
		add("team %s runs %d of at most %d tasks", t.name, t.running, t.maxTasks)
	}
	if !t.used.Add(size.Times(n)).Within(t.limit) {
		add("team %s has reserved what its limit allows", t.name)
	}
	if e.maxTasks > 0 && e.running+n > e.maxTasks {
		add("entry %s runs %d of at most %d tasks", e.name, e.running, e.maxTasks)
	}
	if j.stoppingTasks > 0 {
		add("%d of its tasks have yet to stop", j.stoppingTasks)
	}
	if h := j.hold; h != nil && h.forPreemption {
		add("urgent; tasks on %d workers make way for it", len(h.slots))
	} else if h != nil {
		add("%d workers are reserved for it, expected to be free in %s", len(h.slots), max(h.expectedStart.Sub(now), 0).Truncate(time.Second))
	}
	if len(list) == 0 {
		add("no worker has %d millicores, %d bytes of memory and %d accelerators free", size.Processors, size.Memory, size.Accelerators)
		add("team %s holds %.2f of its weighted share", t.name, s.weightedShare(t))
		if size != j.declared {
			add("the reserved size follows earlier runs")
		}
	}
	return list
}
