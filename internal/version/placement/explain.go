package placement

import (
	"fmt"
	"strings"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Explain tells an operator why a job waits, as one line of text.
func (s *Scheduler) Explain(id work.JobID, now time.Time) string {
	j := s.jobs[id]
	switch {
	case j == nil:
		return "the job has no task that waits or runs"
	case j.finished:
		return "the job has ended; tasks that still stop: " + fmt.Sprint(j.live)
	case j.refusing:
		return "the job is about to be refused: " + s.impossible(j)
	case len(j.ready) == 0:
		return fmt.Sprintf("no task waits; %d are starting or running", j.live)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%d of %d tasks wait since %s", len(j.ready), len(j.tasks), now.Sub(j.submitted).Truncate(time.Second))
	for _, cause := range s.causes(j, now) {
		b.WriteString("; ")
		b.WriteString(cause)
	}
	return b.String()
}

func (s *Scheduler) causes(j *job, now time.Time) []string {
	t, e, size := j.team, j.profile.entry, s.size(j)
	n := int64(1)
	if j.class == work.Gang {
		n = int64(len(j.ready))
	}
	var list []string
	add := func(format string, values ...any) { list = append(list, fmt.Sprintf(format, values...)) }
	if s.stats.Workers == 0 {
		add("no worker is known")
	} else if text := s.impossible(j); text != "" {
		add("%s", text)
	}
	if j.held {
		add("its last start was rejected and is tried again soon")
	}
	if t.tasks > 0 && t.running+n > t.tasks {
		add("team %s runs %d of at most %d tasks", t.name, t.running, t.tasks)
	}
	if !t.used.Add(size.Times(n)).Within(t.limit) {
		add("team %s has reserved what its limit allows", t.name)
	}
	if e.tasks > 0 && e.running+n > e.tasks {
		add("entry %s runs %d of at most %d tasks", e.name, e.running, e.tasks)
	}
	if j.stopping > 0 {
		add("%d of its tasks have yet to stop", j.stopping)
	}
	if h := j.hold; h != nil && h.claim {
		add("urgent; tasks on %d workers make way for it", len(h.slots))
	} else if h != nil {
		add("%d workers are reserved for it, expected to be free in %s", len(h.slots), max(h.at.Sub(now), 0).Truncate(time.Second))
	}
	if len(list) == 0 {
		add("no worker has %d millicores, %d bytes of memory and %d accelerators free", size.Processors, size.Memory, size.Accelerators)
		add("team %s holds %.2f of its weighted share", t.name, s.share(t))
		if size != j.declared {
			add("the reserved size follows earlier runs")
		}
	}
	return list
}
