package placement

import (
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// health is what the runs on a worker tell about it.
type health struct {
	successes int
	suspects  []suspect // different jobs that failed since the last success
	aside     bool
	trying    bool // a trial task runs
	delay     time.Duration
}

// suspect is a job that failed on a worker.
type suspect struct {
	job     work.JobID
	profile *profile
}

// Aside reports whether a worker is set aside: it failed runs of several
// different jobs and gets a trial task only now and then.
func (s *Scheduler) Aside(name string) bool {
	w := s.workers[name]
	return w != nil && w.health.aside
}

// judge takes in how a run ended, for the worker and for the job.
func (s *Scheduler) judge(j *job, w *worker, outcome work.Outcome, requeued bool) {
	if s.options.Off.Health {
		return
	}
	h := &w.health
	switch outcome {
	case work.OutcomeSucceeded:
		j.profile.count(false)
		h.successes++
		h.suspects = h.suspects[:0]
		if h.aside {
			s.heal(w)
		}
	case work.OutcomeFailed:
		s.fault(j, w, requeued)
	default:
		if h.aside && h.trying {
			h.trying = false
			s.trials.add(s.now.Add(h.delay), w)
		}
	}
}

// profileRuns is the number of runs after which their count is halved.
const profileRuns = 64

func (p *profile) count(failed bool) {
	p.runs++
	if failed {
		p.faults++
	}
	if p.runs > profileRuns {
		p.runs, p.faults = p.runs/2, p.faults/2
	}
}

// unsound reports whether most runs of the entry and team fail, so that a
// failure tells more about the work than about the worker.
func (p *profile) unsound() bool { return p.runs >= 8 && p.faults*2 > p.runs }

// failedMost bounds the workers that are kept for a job.
const failedMost = 16

// fault takes in a failed run.
func (s *Scheduler) fault(j *job, w *worker, requeued bool) {
	h := &w.health
	if h.aside {
		// Other runs that fail here say nothing new, except for a trial.
		if h.trying {
			h.trying = false
			h.delay = min(h.delay*2, s.options.TrialMaximum)
			s.trials.add(s.now.Add(h.delay), w)
		}
		j.failed(w)
		return
	}
	j.failed(w)
	known := false
	for _, p := range h.suspects {
		known = known || p.job == j.id
	}
	if !known {
		j.profile.count(true)
		h.suspects = append(h.suspects, suspect{j.id, j.profile})
	}
	if s.blame(j, requeued) {
		return
	}
	distinct := 0
	for _, p := range h.suspects {
		if !p.profile.unsound() {
			distinct++
		}
	}
	if distinct >= s.options.AsideAfter {
		s.setAside(w)
	}
}

func (j *job) failed(w *worker) {
	for _, o := range j.failedOn {
		if o == w {
			return
		}
	}
	if len(j.failedOn) < failedMost {
		j.failedOn = append(j.failedOn, w)
	}
}

// blame refuses a job that failed on several workers that are fine with other
// jobs, and takes its failures back from them. A worker is fine if it has
// succeeded and no other job has failed on it since.
func (s *Scheduler) blame(j *job, requeued bool) bool {
	fine, unproven := 0, 0
	for _, w := range j.failedOn {
		switch h := &w.health; {
		case h.aside || len(h.suspects) > 1:
		case h.successes > 0:
			fine++
		default:
			unproven++
		}
	}
	// Workers that have shown neither success nor another failure count half.
	if fine < s.options.RefuseAfter && fine*2+unproven < s.options.RefuseAfter*2 {
		return false
	}
	for _, w := range j.failedOn {
		h := &w.health
		kept := h.suspects[:0]
		for _, p := range h.suspects {
			if p.job != j.id {
				kept = append(kept, p)
			}
		}
		h.suspects = kept
	}
	if requeued || len(j.ready) > 0 || j.live > 0 {
		s.condemned = append(s.condemned, refusal{j.id, ReasonFaulty,
			"failed on several workers that are fine with other jobs, last on " + j.failedOn[len(j.failedOn)-1].name})
	}
	return true
}

func (s *Scheduler) setAside(w *worker) {
	w.health.aside, w.health.delay = true, s.options.Trial
	s.stats.Aside++
	s.trials.add(s.now.Add(w.health.delay), w)
	s.refresh(w)
	if w.hold != nil {
		w.hold.changed = true
	}
}

// heal puts a worker that was set aside back into use.
func (s *Scheduler) heal(w *worker) {
	if w.health.aside {
		s.stats.Aside--
	}
	w.health = health{successes: w.health.successes}
	s.refresh(w)
	s.release(w)
}

// trialPoll is the delay before a trial is tried again for want of work.
const trialPoll = 5 * time.Second

// placeTrials gives each worker whose trial is due one batch task.
func (s *Scheduler) placeTrials() {
	for !s.full() {
		w, ok := s.trials.due(s.now)
		if !ok {
			return
		}
		if !w.health.aside || w.health.trying || w.gone {
			continue
		}
		var j *job
		if !w.drained && w.hold == nil {
			j = s.pickFor(w)
		}
		if j == nil {
			s.trials.add(s.now.Add(trialPoll), w)
			continue
		}
		w.health.trying = true
		s.start(j, w, s.size(j), ReasonTrial)
	}
}
