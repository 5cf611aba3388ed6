package placement

import (
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// health holds the outcomes of the runs on a worker.
type health struct {
	successes    int
	failedJobs   []jobFailure // different jobs that failed since the last success
	quarantined  bool
	trialRunning bool // a trial task is running
	trialDelay   time.Duration
}

// jobFailure is a job that failed on a worker.
type jobFailure struct {
	job     work.JobID
	profile *profile
}

// Quarantined reports whether a worker is quarantined: runs of several
// different jobs failed on it, and it gets only an occasional trial task.
func (s *Scheduler) Quarantined(name string) bool {
	w := s.workers[name]
	return w != nil && w.health.quarantined
}

// recordOutcome updates the records of the worker and the job after a run
// ended.
func (s *Scheduler) recordOutcome(j *job, w *worker, outcome work.Outcome, requeued bool) {
	if s.options.Off.Health {
		return
	}
	h := &w.health
	switch outcome {
	case work.OutcomeSucceeded:
		j.profile.countRun(false)
		h.successes++
		h.failedJobs = h.failedJobs[:0]
		if h.quarantined {
			s.resetHealth(w)
		}
	case work.OutcomeFailed:
		s.recordFailure(j, w, requeued)
	default:
		if h.quarantined && h.trialRunning {
			h.trialRunning = false
			s.trials.add(s.now.Add(h.trialDelay), w)
		}
	}
}

// maxProfileRuns is the number of runs above which the counts are halved.
const maxProfileRuns = 64

func (p *profile) countRun(failed bool) {
	p.runs++
	if failed {
		p.failures++
	}
	if p.runs > maxProfileRuns {
		p.runs, p.failures = p.runs/2, p.failures/2
	}
}

// mostlyFails reports whether most runs of the entry and team fail, so that a
// failure says more about the job than about the worker.
func (p *profile) mostlyFails() bool { return p.runs >= 8 && p.failures*2 > p.runs }

// maxFailedWorkers limits the workers that are recorded for a job.
const maxFailedWorkers = 16

// recordFailure updates the records of the worker and the job after a failed
// run.
func (s *Scheduler) recordFailure(j *job, w *worker, requeued bool) {
	h := &w.health
	if h.quarantined {
		// On a quarantined worker only the failure of a trial is new
		// information.
		if h.trialRunning {
			h.trialRunning = false
			h.trialDelay = min(h.trialDelay*2, s.options.TrialMaximum)
			s.trials.add(s.now.Add(h.trialDelay), w)
		}
		j.addFailedWorker(w)
		return
	}
	j.addFailedWorker(w)
	known := false
	for _, p := range h.failedJobs {
		known = known || p.job == j.id
	}
	if !known {
		j.profile.countRun(true)
		h.failedJobs = append(h.failedJobs, jobFailure{j.id, j.profile})
	}
	if s.refuseIfFaulty(j, requeued) {
		return
	}
	distinct := 0
	for _, p := range h.failedJobs {
		if !p.profile.mostlyFails() {
			distinct++
		}
	}
	if distinct >= s.options.QuarantineAfter {
		s.quarantine(w)
	}
}

func (j *job) addFailedWorker(w *worker) {
	for _, o := range j.failedOn {
		if o == w {
			return
		}
	}
	if len(j.failedOn) < maxFailedWorkers {
		j.failedOn = append(j.failedOn, w)
	}
}

// refuseIfFaulty refuses a job that failed on several healthy workers, and
// removes its failures from the records of those workers. A worker is healthy
// if it has succeeded and no other job has failed on it since.
func (s *Scheduler) refuseIfFaulty(j *job, requeued bool) bool {
	healthy, unproven := 0, 0
	for _, w := range j.failedOn {
		switch h := &w.health; {
		case h.quarantined || len(h.failedJobs) > 1:
		case h.successes > 0:
			healthy++
		default:
			unproven++
		}
	}
	// Workers with neither a success nor a failure of another job count half.
	if healthy < s.options.RefuseAfter && healthy*2+unproven < s.options.RefuseAfter*2 {
		return false
	}
	for _, w := range j.failedOn {
		h := &w.health
		kept := h.failedJobs[:0]
		for _, p := range h.failedJobs {
			if p.job != j.id {
				kept = append(kept, p)
			}
		}
		h.failedJobs = kept
	}
	if requeued || len(j.queuedTasks) > 0 || j.liveTasks > 0 {
		s.pendingRefusals = append(s.pendingRefusals, refusal{j.id, ReasonFaulty,
			"failed on several workers that are fine with other jobs, last on " + j.failedOn[len(j.failedOn)-1].name})
	}
	return true
}

// quarantine excludes a worker from placement, except for trial tasks.
func (s *Scheduler) quarantine(w *worker) {
	w.health.quarantined, w.health.trialDelay = true, s.options.Trial
	s.stats.Quarantined++
	s.trials.add(s.now.Add(w.health.trialDelay), w)
	s.reindexWorker(w)
	if w.hold != nil {
		w.hold.changed = true
	}
}

// resetHealth ends the quarantine of a worker, if any, and clears its failures.
func (s *Scheduler) resetHealth(w *worker) {
	if w.health.quarantined {
		s.stats.Quarantined--
	}
	w.health = health{successes: w.health.successes}
	s.reindexWorker(w)
	s.markFreed(w)
}

// trialRetryDelay is the delay after which a trial is tried again if no job was
// found for it.
const trialRetryDelay = 5 * time.Second

// placeTrials starts one batch task on each worker whose trial is due.
func (s *Scheduler) placeTrials() {
	for !s.limitReached() {
		w, ok := s.trials.popDue(s.now)
		if !ok {
			return
		}
		if !w.health.quarantined || w.health.trialRunning || w.departed {
			continue
		}
		var j *job
		if !w.drained && w.hold == nil {
			j = s.pickForWorker(w)
		}
		if j == nil {
			s.trials.add(s.now.Add(trialRetryDelay), w)
			continue
		}
		w.health.trialRunning = true
		s.startTask(j, w, s.taskSize(j), ReasonTrial)
	}
}
