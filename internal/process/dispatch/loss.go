package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/crash"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// lossMemory is how long a crash of a worker is kept, so that crashes in common with it
// that become known later show as such. An idle worker is looked at when its next
// incarnation reports, which may be down for seconds.
const lossMemory = 15 * time.Second

// recheckInterval is the time between two comparisons of crashes that may show in common only
// with later ones. Most do when they become known.
const recheckInterval = 500 * time.Millisecond

// loss is the crash of a worker.
type loss struct {
	crash.Loss
	pool    string
	runs    []job.Start // those of Loss.Runs
	cleared []bool      // for each run, whether the crash is no evidence against it
	open    int         // runs that are not cleared
	expires time.Time
}

// lossOf describes the crash of a worker. One that this leader did not see lies after the
// latest start on the worker.
func (t *term) lossOf(w *worker, runs []*run, evidence []crash.Evidence) *loss {
	l := &loss{Loss: crash.Loss{From: w.heardAt, To: w.brokeAt, Runs: slices.Clone(evidence)}, pool: w.Pool, cleared: make([]bool, len(runs)), open: len(runs)}
	for _, r := range runs {
		l.runs = append(l.runs, job.Start{Task: r.id, Run: r.number})
		l.Tasks = append(l.Tasks, r.id.String())
		if r.confirmed || w.heardAt.IsZero() {
			l.From = later(l.From, r.startedAt)
		}
	}
	if l.To.IsZero() {
		l.To = t.latestEnd(w)
	}
	for i, r := range runs {
		l.Loss.Runs[i].Most = max(0, l.To.Sub(r.startedAt))
	}
	return l
}

// latestEnd returns the time until which a worker may have crashed whose connections have not
// broken: until now, or until another one was known at its address.
func (t *term) latestEnd(w *worker) time.Time {
	if now := t.now(); w.replacedAt.IsZero() || now.Before(w.replacedAt) {
		return now
	}
	return w.replacedAt
}

// noteReplaced records that the process of a worker that was known at a time has taken the
// address of others, which its first answer shows.
func (t *term) noteReplaced(by *worker, known time.Time) {
	for _, w := range t.workers {
		if w != by && w.Address == by.Address && w.replacedAt.IsZero() && !w.heardAt.After(known) {
			w.replacedAt = known
		}
	}
}

// missingLoss describes the crash of a worker that does not answer, if it has crashed.
func (t *term) missingLoss(w *worker) *crash.Loss {
	if w.missing == nil {
		runs, evidence := t.assess(w, w.heardAt)
		w.missing = t.lossOf(w, runs, evidence)
	}
	if w.brokeAt.IsZero() {
		to := t.latestEnd(w)
		d := to.Sub(w.missing.To)
		w.missing.To = to
		for i := range w.missing.Loss.Runs {
			w.missing.Loss.Runs[i].Most += d
		}
	}
	return &w.missing.Loss
}

// addLoss records the crash of a worker. The caller holds the lock.
func (t *term) addLoss(w *worker, runs []*run, evidence []crash.Evidence) *loss {
	l := t.lossOf(w, runs, evidence)
	l.expires = t.now().Add(lossMemory)
	t.losses = append(t.losses, l)
	t.crashedUntil[w.Address] = l.expires
	t.clearCommon(l, t.lossesIn(w.Pool, w, false))
	t.recheck[w.Pool] = true
	return l
}

// recheckLosses looks again at the crashes in pools in which another worker crashed since.
func (t *term) recheckLosses(now time.Time) {
	if now.Before(t.nextRecheck) {
		return
	}
	t.nextRecheck = now.Add(recheckInterval)
	t.losses = slices.DeleteFunc(t.losses, func(l *loss) bool { return now.After(l.expires) })
	maps.DeleteFunc(t.crashedUntil, func(_ netip.AddrPort, until time.Time) bool { return now.After(until) })
	for name := range t.recheck {
		pool := t.lossesIn(name, nil, false)
		for _, l := range t.losses {
			if l.pool == name {
				t.clearCommon(l, pool)
			}
		}
	}
	clear(t.recheck)
}

// clearCommon takes back the evidence about the runs on a crashed worker that others without
// such runs crashed in common with.
func (t *term) clearCommon(l *loss, pool *crash.Pool) {
	if l.open == 0 {
		return
	}
	before := l.open
	mass := l.From.Before(t.commonUntil[l.pool]) && l.Mass(pool)
	for i := range l.runs {
		if l.cleared[i] {
			continue
		}
		if common := mass || l.Common(i, pool); common && t.mayClear(&l.runs[i]) {
			if !mass {
				t.commonUntil[l.pool] = later(t.commonUntil[l.pool], l.To.Add(lossMemory))
			}
			l.cleared[i] = true
			l.open--
			t.inbox.cleared = append(t.inbox.cleared, l.runs[i])
			t.clearedRuns[l.runs[i].Task] = append(t.clearedRuns[l.runs[i].Task], l.runs[i].Run)
		}
	}
	if n := before - l.open; n > 0 {
		t.emit(event.CrashInCommon, zap.String("pool", l.pool), zap.Int("runs", n), zap.Time("from", l.From), zap.Time("to", l.To), zap.Bool("mass", mass))
	}
}

// mayClear reports whether a crash may still be taken back: not without end, since work that crashes its
// workers among others that crash would go on as long as these do.
func (t *term) mayClear(s *job.Start) bool {
	may := false
	t.state().View(func(v *job.View) {
		if r, o, task := v.Find(s.Task); task != nil {
			may = o.Steps[s.Task.Step].MayClear(&r.Job.Steps[s.Task.Step], task, t.clearedRuns[s.Task])
		}
	})
	return may
}

// lossesIn describes a pool. Workers that do not answer and whose connections broke count as
// crashed; silent ones only if they are asked for, since they may be cut off. One worker is
// left out.
func (t *term) lossesIn(name string, without *worker, silent bool) *crash.Pool {
	now, pool := t.now(), &crash.Pool{}
	for _, l := range t.losses {
		if l.pool == name {
			pool.Losses = append(pool.Losses, &l.Loss)
		}
	}
	for _, w := range t.workers {
		switch {
		case w == without || w.Pool != name:
		case w.missed > 0 && (!w.brokeAt.IsZero() || silent && w.silent(now)):
			pool.Losses = append(pool.Losses, t.missingLoss(w))
		default:
			pool.Up = append(pool.Up, w.knownAt)
		}
	}
	slices.SortFunc(pool.Up, time.Time.Compare)
	return pool
}

// silentInCommon returns, for each run on a silent worker, whether others without such runs
// fell silent at about the same time.
func (t *term) silentInCommon(w *worker, runs []*run, evidence []crash.Evidence) []bool {
	pool := t.lossesIn(w.Pool, w, true)
	l := t.lossOf(w, runs, evidence)
	for i := range runs {
		l.cleared[i] = l.Common(i, pool)
	}
	return l.cleared
}

// paused reports whether a task does not start now because it looks faulty. It is given up
// once crashes of workers that were idle at the time are known as well, if they leave no doubt,
// unless it is a long-running one. The caller holds the lock.
func (t *term) paused(p *job.Progress, s *job.Step, id job.TaskID, pool string, now time.Time) bool {
	k := &p.Tasks[id.Index]
	if !p.Faulty(s, k) {
		delete(t.verdicts, id)
		paused := p.Paused(s, k, now)
		if run, early := p.EarlyPause(s, k); paused && early {
			t.endPause(id, run, pool)
		}
		return paused
	}
	due, known := t.verdicts[id]
	switch {
	case !known:
		t.verdicts[id] = now.Add(t.verdictDelay())
	case !now.Before(due):
		t.verdicts[id] = now.Add(t.verdictDelay()) // in case that the round is not committed
		t.settleVerdict(p, s, id, pool)
	}
	return true
}

// endPause has a long-running task start once more by taking back the crash under a run.
func (t *term) endPause(id job.TaskID, run int, pool string) {
	s := job.Start{Task: id, Run: run}
	if slices.Contains(t.inbox.cleared, s) {
		return
	}
	t.inbox.cleared = append(t.inbox.cleared, s)
	t.emit(event.TaskRetried, zap.Stringer("task", id), zap.Int("run", run), zap.String("pool", pool), zap.Bool("lasting", true))
	t.signal()
}

// verdictDelay is the time after a crash within which idle workers that crashed at the same
// time and are back have reported themselves.
func (t *term) verdictDelay() time.Duration {
	return t.timing().ReportInterval + silentTime
}
