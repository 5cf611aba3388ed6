package dispatch

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// waveInterval is the interval at which open waves are looked after.
	waveInterval = 500 * time.Millisecond
	// vmListTimeout bounds the listing of all VMs, maintainTimeout one order.
	vmListTimeout   = 3 * time.Second
	maintainTimeout = time.Second
	// maxMaintainCalls bounds the orders in flight.
	maxMaintainCalls = 4
	// missingTime is how long a VM has to be missing from the lists before it counts
	// as one that has left.
	missingTime = 2 * time.Second
	// maxReturnTime is how long the VMs of a wave are looked after once all have begun.
	maxReturnTime = 30 * time.Second
	// lateStop is how far beyond the time that it may take a stop is no longer waited
	// for.
	lateStop = time.Second
	// waveLogInterval is the interval at which what holds waves up is logged.
	waveLogInterval = 5 * time.Second
)

// VM is a VM as the platform lists it.
type VM struct {
	Name   string
	Worker string // ID of the worker that runs on it; empty if none is known
	Up     bool   // in service
	Unread bool   // its entry cannot be read; Name may be empty, and the rest is not set
}

// VMs are the VMs that workers run on.
type VMs interface {
	// List returns all VMs, or an error if the list may be incomplete.
	List(ctx context.Context) ([]VM, error)
	// Maintain orders the maintenance of a VM of a wave. It returns nil if the order
	// is or was accepted; after any error it may have been carried out.
	Maintain(p Permit, o MaintenanceOrder) error
}

// MaintenanceOrder is an order to begin the maintenance of a VM.
type MaintenanceOrder struct {
	VM    string
	Wave  int64
	Fence uint64
}

// addWave accepts an operator's wave. A wave whose number is known is acknowledged
// and changes nothing.
func (t *term) addWave(ctx context.Context, w *job.Wave) (cell.Verdict, bool) {
	if t.dispatcher.options.VMs == nil {
		return cell.Verdict{Code: cell.Invalid, Message: "the platform offers no maintenance"}, true
	}
	if err := errors.CombineErrors(w.Check(), holds(job.Round{Waves: []job.Wave{*w}}, maxRoundInput)); err != nil {
		return cell.Verdict{Code: cell.Invalid, Message: err.Error()}, true
	}
	if t.waveState(w.Number).Code == cell.OK {
		return cell.Verdict{Code: cell.OK}, true
	}
	t.mu.Lock()
	committed := t.enqueue(func(n *inbox) { n.waves = append(n.waves, *w) })
	t.mu.Unlock()
	if !t.awaitCommit(ctx, committed) {
		return cell.Verdict{}, false
	}
	if t.waveState(w.Number).Code != cell.OK {
		return cell.Verdict{Code: cell.Busy, Message: "too many waves are open"}, true
	}
	t.emit(event.WaveAccepted, zap.Int64("wave", w.Number), zap.Int("vms", len(w.VMs)), zap.Int("limit", w.Limit), zap.Time("deadline", w.Deadline))
	return cell.Verdict{Code: cell.OK}, true
}

// waveState returns the progress of a wave.
func (t *term) waveState(number int64) cell.Verdict {
	verdict := cell.Verdict{Code: cell.NoJob}
	t.state().View(func(v *job.View) {
		switch known, finished := v.WaveKnown(number); {
		case finished:
			verdict = cell.Verdict{Code: cell.OK, State: job.Completed}
		case known:
			verdict = cell.Verdict{Code: cell.OK, State: job.Running}
		}
	})
	return verdict
}

// OpenWaves returns the number of waves that are not finished, and of their VMs whose
// maintenance has not begun, while this process leads.
func (d *Dispatcher) OpenWaves() (waves, waiting int) {
	if t := d.current.Load(); t != nil {
		for _, w := range t.openWaves() {
			waves, waiting = waves+1, waiting+w.Count(job.Waiting, job.Ordered)
		}
	}
	return waves, waiting
}

// openWaves returns copies of the waves that are not finished, ordered by number.
func (t *term) openWaves() []*job.WaveRecord {
	var waves []*job.WaveRecord
	t.state().View(func(v *job.View) {
		for _, number := range slices.Sorted(maps.Keys(v.Waves.Open)) {
			w := v.Waves.Open[number]
			waves = append(waves, &job.WaveRecord{Wave: w.Wave, VMs: maps.Clone(w.VMs)})
		}
	})
	return waves
}

// runWaves looks after the open waves until ctx ends.
func (t *term) runWaves(ctx context.Context) {
	if t.dispatcher.options.VMs == nil {
		return
	}
	active := false
	for ctx.Err() == nil {
		if waves := t.openWaves(); len(waves) > 0 {
			active = true
			t.advanceWaves(ctx, waves)
		} else if active {
			active = false
			t.endWaves()
		}
		sleep(ctx, waveInterval)
	}
}

// endWaves drops what is kept about waves.
func (t *term) endWaves() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cordon(nil)
	clear(t.missing)
	clear(t.begunAt)
}

// advanceWaves lists the VMs, records what has changed, and begins what the plan says.
// What may have been ordered is committed first, so that the next leader knows.
func (t *term) advanceWaves(ctx context.Context, waves []*job.WaveRecord) {
	listed, err := t.listVMs(ctx)
	if err != nil {
		t.emit(event.VMsUnknown, event.Cause(err))
		return
	}
	if steps := t.observeVMs(waves, listed); len(steps) > 0 {
		if !t.commitSteps(ctx, waves, steps) {
			return
		}
		waves = t.openWaves()
	}
	plan := t.planWaves(waves, listed)
	t.logWaits(waves, plan)
	if t.now().Sub(t.began) < t.timing().HolderLease+maintainTimeout {
		return // the last order of the previous leader may be that recent
	}
	if steps := t.newOrders(waves, listed, plan); len(steps) > 0 {
		if !t.commitSteps(ctx, waves, steps) {
			return
		}
		waves = t.openWaves()
		plan = t.planWaves(waves, listed) // meanwhile, other tasks may have ended
	}
	t.orderDowns(ctx, waves, plan)
}

func (t *term) listVMs(ctx context.Context) (map[string]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	list, err := t.dispatcher.options.VMs.List(ctx)
	listed := make(map[string]VM, len(list))
	unread := 0
	for _, m := range list {
		if m.Unread {
			unread++
		}
		if known, ok := listed[m.Name]; !ok || known.Unread {
			listed[m.Name] = m
		}
	}
	t.noteUnread("list of VMs", unread)
	return listed, err
}

// commitSteps commits steps of VMs and reports whether it succeeded.
func (t *term) commitSteps(ctx context.Context, waves []*job.WaveRecord, steps []job.WaveStep) bool {
	t.mu.Lock()
	committed := t.enqueue(func(n *inbox) { n.steps = append(n.steps, steps...) })
	t.mu.Unlock()
	if !t.awaitCommit(ctx, committed) {
		return false
	}
	for i := range steps {
		s := &steps[i]
		fields := []zap.Field{zap.Int64("wave", s.Wave), zap.String("vm", s.VM)}
		switch s.Stage {
		case job.Ordered:
			t.emit(event.VMOrdered, append(fields, zap.String("worker", s.Worker))...)
		case job.Begun:
			t.emit(event.VMBegun, fields...)
		case job.Back:
			t.emit(event.VMBack, fields...)
		case job.Left:
			t.emit(event.VMLeft, fields...)
		}
	}
	t.logFinished(waves)
	return true
}

// observeVMs compares the waves with the platform's list and returns what has changed.
// It removes the workers whose incarnation has ended with an accepted order.
func (t *term) observeVMs(waves []*job.WaveRecord, listed map[string]VM) []job.WaveStep {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var steps []job.WaveStep
	for _, w := range waves {
		for _, name := range w.Wave.VMs {
			m, ok := listed[name]
			stage, changed := t.observeVM(name, w.VMs[name], m, ok, now)
			if w.VMs[name].Stage == job.Begun && w.Finished() && now.Sub(t.downSince(name)) >= maxReturnTime {
				stage, changed = job.Back, true
			}
			if changed {
				steps = append(steps, job.WaveStep{Wave: w.Wave.Number, VM: name, Stage: stage})
			}
		}
	}
	return steps
}

// observeVM returns the stage that a VM has reached according to the platform's list.
func (t *term) observeVM(name string, record job.WaveVM, m VM, listed bool, now time.Time) (job.Stage, bool) {
	if !listed {
		if _, ok := t.missing[name]; !ok {
			t.missing[name] = now
		}
		gone := now.Sub(t.missing[name]) >= missingTime
		if record.Stage == job.Begun {
			return job.Back, gone // it is not down for its maintenance any more
		}
		return job.Left, gone && record.Stage < job.Begun
	}
	delete(t.missing, name)
	if m.Unread {
		return 0, false
	}
	switch record.Stage {
	case job.Left:
		return job.Waiting, true
	case job.Begun:
		replaced := record.Worker != "" && m.Worker != "" && m.Worker != record.Worker
		if !m.Up || replaced {
			if r := t.workers[record.Worker]; r != nil && r.Life == record.Life {
				t.removeWorker(r, reasonMaintenance)
			}
		}
		// A worker may keep its ID. Until the maintenance must be over, a list that shows
		// it may be old.
		return job.Back, m.Up && (replaced || now.Sub(t.downSince(name)) >= t.timing().Maintenance)
	}
	return 0, false
}

// downSince returns when the maintenance of a VM has begun at the latest.
func (t *term) downSince(name string) time.Time { return later(t.began, t.begunAt[name]) }

// planWaves plans what to do for the waves, cordons workers and stops runs.
func (t *term) planWaves(waves []*job.WaveRecord, listed map[string]VM) fit.MaintenancePlan {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	m := &fit.Maintenance{Waves: waves, VMs: map[string]*fit.VM{}, Services: map[job.StepID]*fit.Service{}, Time: t.timing().Maintenance}
	t.state().View(func(v *job.View) {
		for _, w := range waves {
			for _, name := range w.Wave.VMs {
				if l, ok := listed[name]; ok && !l.Unread && m.VMs[name] == nil {
					m.VMs[name] = t.describeVM(v, m, l, now)
				}
			}
		}
	})
	plan := fit.PlanMaintenance(now, m)
	t.cordon(plan.Cordon)
	for _, id := range plan.Stops {
		if r := t.runs[id]; r != nil {
			t.stop(r)
			t.stopGang(r)
		}
	}
	return plan
}

// describeVM describes a VM, the runs on it, and their long-running steps.
func (t *term) describeVM(v *job.View, m *fit.Maintenance, l VM, now time.Time) *fit.VM {
	vm := &fit.VM{Worker: l.Worker, Up: l.Up}
	w := t.workers[l.Worker]
	if w == nil {
		return vm
	}
	vm.Up = l.Up && !w.Draining && w.leavesAt.IsZero()
	vm.Cordoned = w.cordoned
	for _, r := range w.runs {
		record := v.Jobs[r.id.Job]
		if r.endQueued || record == nil {
			continue
		}
		lasting := r.spec.Lasting && !record.Status.Final()
		if lasting && m.Services[r.id.StepID()] == nil {
			m.Services[r.id.StepID()] = t.describeService(v, r)
		}
		vm.Runs = append(vm.Runs, fit.VMRun{
			Task: r.id, Lasting: lasting, Checkpoints: r.spec.Checkpoints, Stopping: r.stopping,
			Left:     r.spec.Estimate * time.Duration(max(0, 100-r.percent)) / 100,
			StopLate: r.stopping && now.Sub(r.stoppingSince) > t.timing().StopTime+lateStop,
		})
	}
	return vm
}

// describeService tells which tasks of a run's long-running step are at work.
func (t *term) describeService(v *job.View, r *run) *fit.Service {
	s := &fit.Service{Allowance: r.spec.Allowance, Tasks: r.spec.Count, Gang: r.spec.Gang, Away: map[job.TaskID]bool{}}
	for i := range r.spec.Count {
		id := r.id
		id.Index = i
		if other := t.runs[id]; other == nil || !t.atWork(other) {
			s.Away[id] = true
		}
	}
	return s
}

// atWork reports whether a run of a long-running task serves and is likely to go on.
func (t *term) atWork(r *run) bool {
	w := r.worker
	return r.percent >= 100 && !r.stopping && !r.endQueued && w.missed == 0 && !w.Draining && w.leavesAt.IsZero() && t.workers[w.ID] == w
}

// cordon has exactly the named workers get no new tasks. The caller holds the lock.
func (t *term) cordon(names map[string]bool) {
	for _, w := range t.workers {
		w.cordoned = names[w.ID]
	}
}

// newOrders returns the steps of the VMs that are to be ordered down for the first
// time.
func (t *term) newOrders(waves []*job.WaveRecord, listed map[string]VM, plan fit.MaintenancePlan) []job.WaveStep {
	t.mu.Lock()
	defer t.mu.Unlock()
	var steps []job.WaveStep
	for _, d := range plan.Downs {
		if stageOf(waves, d) != job.Waiting {
			continue
		}
		s := job.WaveStep{Wave: d.Wave, VM: d.VM, Stage: job.Ordered, Worker: listed[d.VM].Worker}
		if w := t.workers[s.Worker]; w != nil {
			s.Life = w.Life
		}
		steps = append(steps, s)
	}
	return steps
}

// stageOf returns the stage of a VM in one of the waves.
func stageOf(waves []*job.WaveRecord, d fit.Down) job.Stage {
	for _, w := range waves {
		if w.Wave.Number == d.Wave {
			return w.VMs[d.VM].Stage
		}
	}
	return job.Left
}

// orderDowns sends the orders of a plan that are committed and records which of them
// the platform has accepted.
func (t *term) orderDowns(ctx context.Context, waves []*job.WaveRecord, plan fit.MaintenancePlan) {
	begun := make([]bool, len(plan.Downs))
	var group errgroup.Group
	group.SetLimit(maxMaintainCalls)
	for i, d := range plan.Downs {
		if stageOf(waves, d) != job.Ordered {
			continue
		}
		group.Go(func() error {
			err := t.dispatcher.options.VMs.Maintain(Permit{Timeout: maintainTimeout, Valid: t.isLeading}, MaintenanceOrder{VM: d.VM, Wave: d.Wave, Fence: t.number})
			begun[i] = err == nil
			if err != nil {
				t.emit(event.VMNotBegun, zap.Int64("wave", d.Wave), zap.String("vm", d.VM), event.Cause(err))
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	var steps []job.WaveStep
	for i, d := range plan.Downs {
		if begun[i] {
			t.begunAt[d.VM] = t.now()
			steps = append(steps, job.WaveStep{Wave: d.Wave, VM: d.VM, Stage: job.Begun})
		}
	}
	if len(steps) > 0 {
		t.commitSteps(ctx, waves, steps)
	}
}

// logFinished logs which of the waves, as they were before a commit, are finished.
func (t *term) logFinished(waves []*job.WaveRecord) {
	for _, w := range waves {
		if !w.Finished() && t.waveState(w.Wave.Number).State == job.Completed {
			t.emit(event.WaveFinished, zap.Int64("wave", w.Wave.Number), zap.Duration("late", t.now().Sub(w.Wave.Deadline)))
		}
	}
}

// logWaits logs at intervals what holds the waves up.
func (t *term) logWaits(waves []*job.WaveRecord, plan fit.MaintenancePlan) {
	now := t.now()
	if now.Before(t.nextWaveLog) {
		return
	}
	t.nextWaveLog = now.Add(waveLogInterval)
	for _, w := range waves {
		var fields []zap.Field
		counts := map[string]int{}
		for _, name := range w.Wave.VMs {
			if reason := plan.Waits[name]; reason != "" && w.VMs[name].Stage <= job.Ordered {
				counts[reason]++
			}
		}
		for _, reason := range slices.Sorted(maps.Keys(counts)) {
			fields = append(fields, zap.Int(reason, counts[reason]))
		}
		if len(fields) > 0 {
			t.emit(event.WaveHeldUp, zap.Int64("wave", w.Wave.Number), zap.Int("waiting", w.Count(job.Waiting, job.Ordered)),
				zap.Time("deadline", w.Wave.Deadline), zap.Dict("reasons", fields...))
		}
	}
}
