package state

import (
	"slices"
	"strconv"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/crash"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// bootMemory is how long the boot of a worker is kept. Workers that crashed together,
	// such as those of a rack, are back within such a time of each other.
	bootMemory = 30 * time.Second
	maxBoots   = 4096
)

// boot is the crash of a worker that has booted anew.
type boot struct {
	At    time.Time
	Loss  crash.Loss
	Tasks []bootTask // those of Loss.Runs
}

// bootTask is a run that ended with its worker.
type bootTask struct {
	ID      work.TaskID
	Attempt uint32
	Cleared bool
}

// endRunsInCrash ends every run on a worker that has booted anew. Jobs with a task that
// was among the latest in too many crashes fail, but for crashes that other workers had in
// common.
func (s *State) endRunsInCrash(w *worker, unsent []work.TaskID) {
	runs := slices.DeleteFunc(slices.Clone(w.runs), func(r run) bool {
		return r.task().State != work.TaskStarted || slices.Contains(unsent, r.task().ID)
	})
	exposures := make([]crash.Exposure, len(runs))
	for i, r := range runs {
		exposures[i] = crash.Exposure{Started: r.task().Started, Confirmed: true, Group: strconv.FormatUint(uint64(r.job.ID), 10)}
	}
	evidence := crash.Assess(time.Time{}, time.Time{}, exposures)
	for i, r := range runs {
		j, k := r.job, r.task().ID.Index
		if j.crashes == nil {
			j.crashes = map[uint32]*crash.Record{}
		}
		if j.crashes[k] == nil {
			j.crashes[k] = &crash.Record{}
		}
		j.crashes[k].Add(int(r.task().Attempts), evidence[i])
	}
	if !w.Gone {
		s.addBoot(w, runs, evidence)
	}
	s.endRunsAsLost(w)
	for _, r := range runs {
		if r.job.crashes[r.index].Repeated() && !r.job.finished() {
			s.finishJob(r.job, work.JobFailed, "workers crashed under a task")
		}
	}
}

// addBoot records the crash of a worker and takes back the evidence of the recent ones that
// it shows to be in common. The time of a crash is known badly, so that only workers that
// were idle show this.
func (s *State) addBoot(w *worker, runs []run, evidence []crash.Evidence) {
	s.boots = slices.DeleteFunc(s.boots, func(b *boot) bool { return s.now.Sub(b.At) > bootMemory })
	s.boots = s.boots[max(0, len(s.boots)+1-maxBoots):]
	b := &boot{At: s.now, Loss: crash.Loss{From: s.now.Add(-bootMemory), To: s.now, Runs: evidence}}
	for i, r := range runs {
		t := r.task()
		b.Tasks = append(b.Tasks, bootTask{ID: t.ID, Attempt: t.Attempts})
		if t.Started.After(b.Loss.From) {
			b.Loss.From = t.Started
		}
		b.Loss.Runs[i].Most = max(0, s.now.Sub(t.Started))
	}
	s.boots = append(s.boots, b)
	pool := &crash.Pool{Up: make([]time.Time, max(0, s.present()-len(s.boots)))}
	for _, b := range s.boots {
		pool.Losses = append(pool.Losses, &b.Loss)
	}
	for _, b := range s.boots {
		for i := range b.Tasks {
			if t := &b.Tasks[i]; !t.Cleared && b.Loss.Common(i, pool) {
				t.Cleared = true
				if j := s.jobs[t.ID.Job]; j != nil && j.crashes[t.ID.Index] != nil {
					j.crashes[t.ID.Index].Clear(int(t.Attempt))
				}
			}
		}
	}
}

// present returns the number of workers that are not gone.
func (s *State) present() int {
	n := 0
	for _, w := range s.workers {
		if !w.Gone {
			n++
		}
	}
	return n
}
