package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/crash"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// settleTime is the time without starts on a worker after which a trial may start beside
// the runs on it.
const settleTime = time.Second

// recentAnswer is how recently the worker of a trial must have answered, so that a crash
// under the trial's start is not one from before it.
const recentAnswer = 100 * time.Millisecond

// riskyTime is how long the work of a queue is kept apart from that of others after one of
// its tasks was suspected.
const riskyTime = 15 * time.Second

// crashed reports whether the end of a worker's incarnation was a crash, rather than one
// that was announced or ordered.
func crashed(w *worker, reason string) bool {
	switch reason {
	case reasonOtherLife, reasonNewLife, reasonOtherWorker:
		return !w.Draining && w.leavesAt.IsZero() && !w.cordoned
	}
	return false
}

// assess returns the runs that a worker may have executed when it was last heard of, and
// the evidence about each if it crashed between then and the time at which its connections
// broke; if none broke, before a given time.
func (t *term) assess(w *worker, silentAt time.Time) ([]*run, []crash.Evidence) {
	if !w.brokeAt.IsZero() {
		silentAt = w.brokeAt
	}
	runs := w.lapsed[:len(w.lapsed):len(w.lapsed)]
	for _, r := range w.runs {
		if !r.endQueued && (r.sent || r.confirmed) && !slices.Contains(w.lapsed, r) {
			runs = append(runs, r)
		}
	}
	exposures := make([]crash.Exposure, len(runs))
	for i, r := range runs {
		exposures[i] = crash.Exposure{Started: r.startedAt, Confirmed: r.confirmed && !r.stopping, Group: string(r.id.Job)}
	}
	return runs, crash.Assess(w.heardAt, silentAt, exposures)
}

// recordCrash records which runs a worker executed when it crashed. The caller holds the
// term's lock.
func (t *term) recordCrash(w *worker, reason string) {
	runs, evidence := t.assess(w, w.heardAt)
	l := t.addLoss(w, runs, evidence)
	t.notePast(w.Pool, runs, evidence)
	if len(runs) == 0 {
		return
	}
	latest, suspects, inherited := 0, 0, 0
	for i, r := range runs {
		if r.startedAt.After(runs[latest].startedAt) {
			latest = i
		}
		if r.inherited {
			inherited++
		}
		if l.cleared[i] || !evidence[i].Suspected && !evidence[i].Confirmed {
			continue
		}
		if evidence[i].Suspected {
			suspects++
			t.noteRisk(r.queue, t.now())
		}
		e := evidence[i]
		if w.heardAt.IsZero() || w.brokeAt.IsZero() {
			e.Most = max(e.Most, l.To.Sub(r.startedAt)) // it may have crashed at any time until then
		}
		if r.inherited {
			e = e.Vague()
		}
		t.noteCrash(w, r, e)
	}
	t.emit(event.WorkerCrashed, zap.String("worker", w.ID), zap.String("reason", reason), zap.Int("runs", len(runs)), zap.Int("suspects", suspects),
		zap.Stringer("latest", runs[latest].id), zap.Int("run", runs[latest].number), zap.Bool("confirmed", runs[latest].confirmed),
		zap.Duration("age", evidence[latest].Age), zap.Duration("most", evidence[latest].Most), zap.Duration("silent", t.now().Sub(w.lastSeen)),
		zap.Time("started", runs[latest].startedAt), zap.Time("from", l.From), zap.Time("to", l.To), zap.Int("inherited", inherited))
	t.signal()
}

// noteCrash has the evidence about a run on a worker known to the next leaders.
func (t *term) noteCrash(w *worker, r *run, e crash.Evidence) {
	t.inbox.crashes = append(t.inbox.crashes, job.Crash{Task: r.id, Run: r.number, Evidence: e})
	t.inbox.places = append(t.inbox.places, job.Place{Task: r.id, Run: r.number, Address: w.Address})
}

// loseCopies gives up the runs on a silent worker whose tasks may run in several copies,
// but for those under which this worker or an earlier one may have crashed.
func (t *term) loseCopies(w *worker, now time.Time) {
	if len(w.runs) == 0 {
		return
	}
	runs, evidence := t.assess(w, now)
	for i, r := range runs {
		if r.spec.Copies && !r.endQueued && !evidence[i].Suspected && !t.lapsedBefore(r) && !t.crashedBefore(r) {
			w.lapsed = append(w.lapsed, r)
			t.giveUp(r, "the worker is silent and a copy may run elsewhere")
		}
	}
}

// suspectRuns has the latest runs on a silent worker start again as trials. It may have
// crashed; if that shows later, the runs are counted then.
func (t *term) suspectRuns(w *worker) {
	runs, evidence := t.assess(w, w.heardAt)
	common := t.silentInCommon(w, runs, evidence)
	for i, r := range runs {
		if evidence[i].Suspected && !common[i] && !r.endQueued {
			evidence[i].Confirmed = false
			t.noteCrash(w, r, evidence[i])
		}
	}
	w.lapsed = runs
}

// clearLapsed takes back what is suspected of the runs on a worker that was silent: it has not crashed.
func (t *term) clearLapsed(w *worker) {
	for _, r := range w.lapsed {
		t.inbox.cleared = append(t.inbox.cleared, job.Start{Task: r.id, Run: r.number, Worker: w.ID, Life: w.Life})
		t.signal()
	}
	w.lapsed = nil
}

// crashedBefore reports whether there is evidence of a crash under the task of a run.
func (t *term) crashedBefore(r *run) bool {
	found := false
	t.state().View(func(v *job.View) {
		if record, o, task := v.Find(r.id); task != nil {
			found = o.Steps[r.id.Step].Crashed(&record.Job.Steps[r.id.Step], task)
		}
	})
	return found
}

// lapsedBefore reports whether an earlier run of the task was given up on a worker that
// may have crashed.
func (t *term) lapsedBefore(r *run) bool {
	for _, w := range t.workers {
		for _, l := range w.lapsed {
			if l.id == r.id {
				return true
			}
		}
	}
	return false
}

// noteRisk has the work of a queue kept apart from now on, until a while after the last
// call.
func (t *term) noteRisk(queue string, now time.Time) {
	if _, known := t.risky[queue]; !known {
		t.markStale()
	}
	t.risky[queue] = now.Add(riskyTime)
}

// expireRisks ends the separation of queues.
func (t *term) expireRisks(now time.Time) {
	for queue, until := range t.risky {
		if now.After(until) {
			delete(t.risky, queue)
			t.markStale()
		}
	}
}

// confirm records that a worker executes a run. For a trial the next leader knows it too.
func (t *term) confirm(r *run) {
	if r.trial && !r.confirmed {
		t.inbox.confirmed = append(t.inbox.confirmed, job.Start{Task: r.id, Run: r.number, Worker: r.worker.ID, Life: r.worker.Life})
		t.signal()
	}
	r.confirmed = true
}

// noteTrial keeps other starts off the worker of a run that is a trial.
func (t *term) noteTrial(v *job.View, r *run) {
	record, o, task := v.Find(r.id)
	if task == nil {
		return
	}
	p, s := &o.Steps[r.id.Step], &record.Job.Steps[r.id.Step]
	if d := p.TrialTime(s, task); d > 0 {
		r.trial, r.confirmed = true, r.confirmed || p.Confirmed(s, task)
		r.worker.trial, r.worker.trialEnds = r.id.Job, later(r.worker.trialEnds, t.now().Add(d))
	}
}

// answeredRecently reports whether a worker was certainly well a moment ago.
func (t *term) answeredRecently(w *worker) bool { return t.now().Sub(w.answeredAt) < recentAnswer }

// probe asks the worker of a trial for a listing, because the end of a worker that executes
// nothing shows only when an order to it fails. Without an answer the trial is given up
// before its start is sent. It returns false if the listing was not sent.
func (t *term) probe(r *run) bool {
	t.mu.Lock()
	w := r.worker
	target, fence := w.Worker, t.fence(w)
	t.mu.Unlock()
	sent := t.now()
	_, a := t.dispatcher.options.Upstream.List(t.permit(listTimeoutMargin), &target, ListOrder{Fence: fence})
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case a.Result == Undelivered:
		return false
	case t.over || r.endQueued, t.handleAnswer(w, a, sent) && t.answeredRecently(w):
		return true
	}
	t.avoidForStep(r, t.now())
	t.lose(r, "its worker does not answer")
	t.stopGang(r)
	return true
}

// trialAt returns the job whose trial keeps other starts off the worker, if any. A worker
// that does not answer may have crashed during the trial. A run that is kept after its lease
// does not hold back the trials of other jobs.
func (w *worker) trialAt(now time.Time) job.ID {
	if w.trial == "" {
		return ""
	}
	for id, r := range w.runs {
		if id.Job == w.trial && (now.Before(w.trialEnds) || w.missed > 0 && r.keptSince.IsZero()) {
			return w.trial
		}
	}
	w.trial, w.trialEnds = "", time.Time{}
	return ""
}
