package job

import (
	"net/netip"
	"slices"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/crash"
)

// Crash is evidence that a worker crashed under a run, or may have.
type Crash struct {
	_        struct{} `cbor:",toarray"`
	Task     TaskID
	Run      int
	Evidence crash.Evidence
}

// Place is the address of a worker that crashed under a run. Only the verdicts and the placements of
// leaders depend on it, so that replicas of earlier builds, which do not know it, start and give up the
// same tasks.
type Place struct {
	_       struct{} `cbor:",toarray"`
	Task    TaskID
	Run     int
	Address netip.AddrPort
}

// crashes returns the record of the crashes under a task. Members of a gang share one.
func (p *Progress) crashes(s *Step, t *Task) **crash.Record {
	if s.Gang {
		return &p.Crashes
	}
	return &t.Crashes
}

// NeedsTrial reports whether the next start of a task is a trial.
func (p *Progress) NeedsTrial(s *Step, t *Task) bool { return (*p.crashes(s, t)).NeedsTrial() }

// LikelyCrash reports whether a task probably crashed its worker.
func (p *Progress) LikelyCrash(s *Step, t *Task) bool { return (*p.crashes(s, t)).Likely() }

// TrialTime returns how long nothing else may start on the worker of a task's current
// run. It is zero if the run is no trial.
func (p *Progress) TrialTime(s *Step, t *Task) time.Duration {
	if c := *p.crashes(s, t); c != nil && slices.Contains(c.Trials, t.Run) {
		return c.TrialTime()
	}
	return 0
}

// Confirmed reports whether a task's current run is a trial that its worker has answered
// that it executes.
func (p *Progress) Confirmed(s *Step, t *Task) bool {
	c := *p.crashes(s, t)
	return c != nil && c.Confirmed > 0 && c.Confirmed == t.Run
}

// confirm records that a worker executes a trial.
func (v *View) confirm(s *Start) {
	if r, o, t := v.Find(s.Task); t != nil {
		if c := *o.Steps[s.Task.Step].crashes(&r.Job.Steps[s.Task.Step], t); c != nil {
			c.Confirm(s.Run)
		}
	}
}

// Crashed reports whether there is any evidence that a worker crashed under a task.
func (p *Progress) Crashed(s *Step, t *Task) bool { return *p.crashes(s, t) != nil }

// Faulty reports whether a task looks faulty and is to be given up. Until then it does not
// start.
func (p *Progress) Faulty(s *Step, t *Task) bool { return !s.Lasting && (*p.crashes(s, t)).Faulty() }

// Paused reports whether a task may not start at a time because it looks faulty. A
// long-running task is never given up.
func (p *Progress) Paused(s *Step, t *Task, now time.Time) bool {
	return p.Faulty(s, t) || (*p.crashes(s, t)).PausedAt(now)
}

// EarlyPause reports whether a long-running task that pauses is to start once more, and the run whose crash
// is taken back for that. Replicas of earlier builds end the pause with it, too.
func (p *Progress) EarlyPause(s *Step, t *Task) (run int, early bool) {
	return (*p.crashes(s, t)).EarlyPause()
}

// PausedUntil returns the end of the latest pause of a long-running task, or the zero time if it
// has not paused.
func (p *Progress) PausedUntil(s *Step, t *Task) time.Time {
	if c := *p.crashes(s, t); c != nil && c.UntilMS > 0 {
		return time.UnixMilli(c.UntilMS)
	}
	return time.Time{}
}

// crash records the crash of a worker under a run, which may have ended meanwhile.
func (v *View) crash(c *Crash, now time.Time) {
	r, o, t := v.Find(c.Task)
	if t == nil || r.Status.Final() || t.Done || c.Run > t.Run {
		return
	}
	s, p := &r.Job.Steps[c.Task.Step], &o.Steps[c.Task.Step]
	record := p.crashes(s, t)
	if *record == nil {
		*record = &crash.Record{}
	}
	if added := (*record).Add(c.Run, c.Evidence); added && s.Lasting && (*record).Faulty() {
		(*record).Pause(now)
	}
}

// notePlace records the address of a worker that crashed under a run.
func (v *View) notePlace(l *Place) {
	r, o, t := v.Find(l.Task)
	if t == nil || r.Status.Final() || t.Done {
		return
	}
	if c := *o.Steps[l.Task.Step].crashes(&r.Job.Steps[l.Task.Step], t); c != nil {
		c.NotePlace(l.Run, l.Address)
	}
}

// CrashedAt returns the addresses of the workers that crashed under a task.
func (p *Progress) CrashedAt(s *Step, t *Task) []netip.AddrPort {
	return (*p.crashes(s, t)).Addresses()
}

// clear takes back the evidence about a run.
func (v *View) clear(s *Start) {
	r, o, t := v.Find(s.Task)
	if t == nil || r.Status.Final() || t.Done {
		return
	}
	if c := *o.Steps[s.Task.Step].crashes(&r.Job.Steps[s.Task.Step], t); c != nil {
		c.Clear(s.Run)
	}
}

// MayClear reports whether evidence about a task may still be taken back, beside that about some runs.
func (p *Progress) MayClear(s *Step, t *Task, runs []int) bool {
	return s.Lasting || (*p.crashes(s, t)).MayClear(runs)
}

// retry has a task that still looks faulty start as a trial once more.
func (v *View) retry(s *Start) {
	r, o, t := v.Find(s.Task)
	if t != nil && !t.Done && o.Steps[s.Task.Step].Faulty(&r.Job.Steps[s.Task.Step], t) {
		(*o.Steps[s.Task.Step].crashes(&r.Job.Steps[s.Task.Step], t)).Retry()
	}
}

// Proven reports whether the crashes under a task that looks faulty suffice to give it up,
// and otherwise the probability that they have other causes.
func (p *Progress) Proven(s *Step, t *Task, rate *crash.Rate) (proven bool, chance float64) {
	c := *p.crashes(s, t)
	return c.Proven(rate), c.Chance(rate)
}

// giveUp fails the job of a task that still looks faulty, or has no attempt left.
func (v *View) giveUp(s *Start, now time.Time, result *Result) {
	r, o, t := v.Find(s.Task)
	if t == nil || r.Status.Final() || t.Done {
		return
	}
	step, p := &r.Job.Steps[s.Task.Step], &o.Steps[s.Task.Step]
	switch {
	case p.Faulty(step, t):
		result.GivenUp = append(result.GivenUp, *s)
	case !r.Spent(step, p, t):
		return
	}
	v.finishJob(r, Failed, now, result)
}
