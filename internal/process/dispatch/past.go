package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// chargeInterval is the interval at which running work is charged to its workspace.
	chargeInterval = 500 * time.Millisecond
	// useWriteInterval is the interval at which changed amounts are recorded. The death of a
	// leader loses at most the charges since the last record.
	useWriteInterval = 2 * time.Second
	// A changed delay of a workspace is logged at most every useLogInterval, if it changed by
	// more than useLogChange.
	useLogInterval = 10 * time.Second
	useLogChange   = 250 * time.Millisecond
)

// pastUse is what the leader knows of past use. It is empty while past use is off.
type pastUse struct {
	settings  fit.UseSettings
	ledger    *fit.Ledger // nil until the first round with past use on
	chargedAt time.Time
	writtenAt time.Time
	delays    map[job.UseKey]time.Duration
	logged    map[job.UseKey]loggedDelay
}

// loggedDelay is the delay of a workspace when it was last logged.
type loggedDelay struct {
	delay time.Duration
	at    time.Time
}

// runUse is what a run was charged for since its last checkpoint, and what it loses without one.
type runUse struct {
	key        job.UseKey
	amount     float64
	checkpoint string
}

// SetUse sets how past use counts, from the next round on.
func (d *Dispatcher) SetUse(s fit.UseSettings) { d.use.Store(&s) }

// useSettings returns how past use counts.
func (d *Dispatcher) useSettings() fit.UseSettings {
	if s := d.use.Load(); s != nil {
		return *s
	}
	return fit.UseSettings{}
}

// updateUse charges running work and computes the delays of the workspaces. The caller holds the lock.
func (t *term) updateUse(v *job.View, now time.Time) {
	p, s := &t.past, t.dispatcher.useSettings()
	switch {
	case !s.On():
		t.past = pastUse{}
		return
	case p.ledger == nil:
		t.past = pastUse{ledger: fit.NewLedger(now, v.Uses, s), writtenAt: now, logged: map[job.UseKey]loggedDelay{}}
		for _, r := range t.runs {
			r.use = runUse{} // charged before past use was turned off
		}
	case s == p.settings && now.Sub(p.chargedAt) < chargeInterval && !now.Before(p.chargedAt):
		return
	}
	p.settings, p.chargedAt = s, now
	t.chargeRuns(v, now)
	known := knownUse(v.Catalogue)
	p.ledger.Keep(known)
	maps.DeleteFunc(p.logged, func(k job.UseKey, _ loggedDelay) bool { return !known(k) })
	p.delays = map[job.UseKey]time.Duration{}
	for k, part := range p.ledger.Parts(v.Catalogue.Workspaces) {
		if delay := part.Delay(s); delay > 0 {
			p.delays[k] = delay
		}
		t.logDelay(k, part, now)
	}
	if now.Sub(p.writtenAt) >= useWriteInterval || now.Before(p.writtenAt) {
		p.writtenAt = now
		t.inbox.uses = p.ledger.Changed(v.Uses, s) // earlier ones that were not taken are out of date
	}
}

// knownUse returns whether a catalogue has the workspace and the pool of a use.
func knownUse(c *job.Catalogue) func(job.UseKey) bool {
	workspaces, pools := map[string]bool{}, map[string]bool{}
	for i := range c.Workspaces {
		workspaces[c.Workspaces[i].Name] = true
	}
	for i := range c.Pools {
		pools[c.Pools[i].Name] = true
	}
	return func(k job.UseKey) bool { return workspaces[k.Workspace] && pools[k.Pool] }
}

// chargeRuns charges the runs that work for the time since the last call.
func (t *term) chargeRuns(v *job.View, now time.Time) {
	elapsed, left := t.past.ledger.Advance(now, t.past.settings)
	capacity := t.poolCapacity()
	for _, r := range t.runs {
		record := v.Jobs[r.id.Job]
		if record == nil || r.startResolvedAt.IsZero() || r.endQueued {
			continue
		}
		amount := fit.Dominant(r.spec.Reservation(), capacity[r.worker.Pool]) * elapsed.Seconds()
		r.use.key = job.UseKey{Workspace: record.Job.Workspace, Pool: r.worker.Pool}
		if r.use.checkpoint != r.checkpoint {
			r.use.checkpoint, r.use.amount = r.checkpoint, 0
		}
		r.use.amount = r.use.amount*left + amount
		t.past.ledger.Charge(r.use.key, amount)
	}
}

// creditUse credits the workspace of a run with the work that is lost with its end, if the end is no
// fault of the workspace. A long-running task serves while it runs, so that its work is not lost.
func (t *term) creditUse(r *run, e *job.End) {
	ofTask := e.Outcome == job.RunFailed && r.worker.faults < maxFaults // otherwise the worker fails all its runs
	if t.past.ledger == nil || r.use.amount <= 0 || r.spec.Lasting || e.Outcome == job.Done || ofTask ||
		e.Saved != "" && e.Saved != r.use.checkpoint {
		return
	}
	given := false
	t.state().View(func(v *job.View) {
		record := v.Jobs[e.Task.Job]
		given = record != nil && record.Status != job.Cancelled && record.Status != job.Failed
	})
	if given {
		t.past.ledger.Charge(r.use.key, -r.use.amount)
	}
	r.use.amount = 0
}

// logDelay logs the delay of a workspace if it has changed much.
func (t *term) logDelay(k job.UseKey, part fit.Part, now time.Time) {
	delay, last := t.past.delays[k], t.past.logged[k]
	if (delay-last.delay).Abs() <= useLogChange || !last.at.IsZero() && now.Sub(last.at) < useLogInterval {
		return
	}
	t.past.logged[k] = loggedDelay{delay, now}
	t.emit(event.UseDelay, zap.String("workspace", k.Workspace), zap.String("pool", k.Pool), zap.Duration("delay", delay),
		zap.Float64("amount", part.Amount), zap.Float64("ofUse", part.OfUse), zap.Float64("ofWeight", part.OfWeight))
}

// UseStatus is what a workspace has used of a pool, and how that delays its work.
type UseStatus struct {
	job.UseKey
	fit.Part
	Delay time.Duration
}

// Uses returns the recorded past use, decayed to now, by workspace and pool. Every replica knows it;
// it is up to useWriteInterval old. The list is empty while past use is off.
func (d *Dispatcher) Uses() []UseStatus {
	s := d.useSettings()
	if !s.On() {
		return nil
	}
	var list []UseStatus
	d.options.State.View(func(v *job.View) {
		if v.Catalogue == nil {
			return
		}
		for k, part := range fit.NewLedger(d.options.Now(), v.Uses, s).Parts(v.Catalogue.Workspaces) {
			list = append(list, UseStatus{k, part, part.Delay(s)})
		}
	})
	slices.SortFunc(list, func(a, b UseStatus) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Pool, b.Pool))
	})
	return list
}
