package dispatch

import (
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

// loss is the crash of a worker.
type loss struct {
	crash.Loss
	pool    string
	runs    []job.Start // those of Loss.Runs
	cleared []bool      // for each run, whether the crash is no evidence against it
	expires time.Time
}

// lossOf describes the crash of a worker. One that this leader did not see lies after the
// latest start on the worker.
func (t *term) lossOf(w *worker, runs []*run, evidence []crash.Evidence) *loss {
	l := &loss{Loss: crash.Loss{From: w.heardAt, To: w.brokeAt, Runs: evidence}, pool: w.Pool, cleared: make([]bool, len(runs))}
	for _, r := range runs {
		l.runs = append(l.runs, job.Start{Task: r.id, Run: r.number})
		if r.confirmed || w.heardAt.IsZero() {
			l.From = later(l.From, r.startedAt)
		}
	}
	if l.To.IsZero() {
		l.To = t.now()
	}
	return l
}

// addLoss records the crash of a worker. The caller holds the lock.
func (t *term) addLoss(w *worker, runs []*run, evidence []crash.Evidence) *loss {
	l := t.lossOf(w, runs, evidence)
	l.expires = t.now().Add(lossMemory)
	t.losses = append(t.losses, l)
	all, up := t.lossesIn(w.Pool, w, false)
	t.clearCommon(l, all, up)
	t.recheck[w.Pool] = true
	return l
}

// recheckLosses looks again at the crashes in pools in which another worker crashed since.
func (t *term) recheckLosses(now time.Time) {
	t.losses = slices.DeleteFunc(t.losses, func(l *loss) bool { return now.After(l.expires) })
	for pool := range t.recheck {
		all, up := t.lossesIn(pool, nil, false)
		for _, l := range t.losses {
			if l.pool == pool {
				t.clearCommon(l, all, up)
			}
		}
	}
	clear(t.recheck)
}

// clearCommon takes back the evidence about the runs on a crashed worker that others without
// such runs crashed in common with.
func (t *term) clearCommon(l *loss, all []*crash.Loss, up []time.Time) {
	n := 0
	mass := l.From.Before(t.commonUntil[l.pool]) && l.Mass(all, up)
	for i := range l.runs {
		if l.cleared[i] {
			continue
		}
		if common := l.Common(i, all, up); common || mass {
			if common {
				t.commonUntil[l.pool] = later(t.commonUntil[l.pool], l.To.Add(lossMemory))
			}
			l.cleared[i] = true
			t.inbox.cleared = append(t.inbox.cleared, l.runs[i])
			n++
		}
	}
	if n > 0 {
		t.emit(event.CrashInCommon, zap.String("pool", l.pool), zap.Int("runs", n), zap.Time("from", l.From), zap.Time("to", l.To), zap.Bool("mass", mass))
	}
}

// lossesIn returns the recent crashes in a pool, and since when the workers that are up are
// known. Those that do not answer and whose connections broke count as crashed; silent ones
// only if they are asked for, since they may be cut off. One is left out.
func (t *term) lossesIn(pool string, without *worker, silent bool) (all []*crash.Loss, up []time.Time) {
	now := t.now()
	for _, l := range t.losses {
		if l.pool == pool {
			all = append(all, &l.Loss)
		}
	}
	for _, w := range t.workers {
		switch {
		case w == without || w.Pool != pool:
		case w.missed > 0 && (!w.brokeAt.IsZero() || silent && w.silent(now)):
			runs, evidence := t.assess(w, w.heardAt)
			all = append(all, &t.lossOf(w, runs, evidence).Loss)
		default:
			up = append(up, w.knownAt)
		}
	}
	return all, up
}

// silentInCommon returns, for each run on a silent worker, whether others without such runs
// fell silent at about the same time.
func (t *term) silentInCommon(w *worker, runs []*run, evidence []crash.Evidence) []bool {
	all, up := t.lossesIn(w.Pool, w, true)
	l := t.lossOf(w, runs, evidence)
	for i := range runs {
		l.cleared[i] = l.Common(i, all, up)
	}
	return l.cleared
}

// judge reports whether a task waits because it looks faulty. It is given up once crashes of
// workers that were idle at the time are known as well, unless it is a long-running one. The
// caller holds the lock.
func (t *term) judge(p *job.Progress, s *job.Step, id job.TaskID, now time.Time) bool {
	k := &p.Tasks[id.Index]
	if !p.Faulty(s, k) {
		delete(t.verdicts, id)
		return p.Paused(s, k, now)
	}
	due, known := t.verdicts[id]
	switch {
	case !known:
		t.verdicts[id] = now.Add(t.verdictDelay())
	case !now.Before(due):
		t.verdicts[id] = now.Add(t.verdictDelay()) // in case that the round is not committed
		t.inbox.faulty = append(t.inbox.faulty, job.Start{Task: id, Run: k.Run})
		t.signal()
	}
	return true
}

// verdictDelay is the time after a crash within which idle workers that crashed at the same
// time and are back have reported themselves.
func (t *term) verdictDelay() time.Duration {
	return t.timing().ReportInterval + silentTime
}
