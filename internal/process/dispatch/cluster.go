package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// cluster describes the workers and the limits of the workspaces. What is known of
// a worker is kept between rounds, since few workers change in each.
func (t *term) cluster(v *job.View, now time.Time) fit.Cluster {
	t.noteEvacuations(v)
	cluster := fit.Cluster{Limits: map[string]*fit.Limit{}, Headroom: map[string]work.Resources{}}
	if t.sorted == nil {
		for _, w := range t.workers {
			t.sorted = append(t.sorted, w)
		}
		slices.SortFunc(t.sorted, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
	}
	cluster.Workers = make([]*fit.Worker, 0, len(t.sorted))
	for _, w := range t.sorted {
		if n := v.Changes[w.ID]; w.stale || n != w.changes {
			w.committed = v.Workers[w.ID].Life == w.Life
			w.load, w.changes, w.stale = t.load(v, w), n, false
		}
		if !w.committed {
			continue // this incarnation is not committed yet
		}
		w.planned = w.load
		w.planned.Worker, w.planned.WasSlow, w.planned.Unanswering = w.Worker, w.wasSlow, w.missed > 0
		w.planned.Speed, w.planned.Cold = w.pace.Factor(), w.coldLeft(now)
		if w.planned.Cold > 0 {
			w.planned.ColdSpeed = t.knownColdness(w.Pool)
		}
		w.planned.Trial, w.planned.Settled = w.trialAt(now), now.Sub(w.lastStart) >= settleTime
		w.planned.Crashed = now.Before(t.crashedUntil[w.Address])
		w.planned.Evacuated = w.evacuated.Load()
		w.planned.Usable = w.usable(now, t.timing().ReportInterval)
		cluster.Workers = append(cluster.Workers, &w.planned)
	}
	for name, limit := range v.Limits {
		cluster.Limits[name] = &fit.Limit{Max: limit, Used: v.Used[name]}
	}
	t.setHeadroom(v, cluster, now)
	cluster.Early, cluster.Urgent, cluster.Floor = fit.IdleClients(now, t.liveAdviceClients(now), t.floor)
	return cluster
}

// load describes what runs on a worker.
func (t *term) load(v *job.View, w *worker) fit.Worker {
	f := fit.Worker{Free: w.Capacity, Tenants: len(v.Reservations[w.ID]) + len(v.Orphans[w.ID])}
	for id, o := range v.Reservations[w.ID] {
		t.countRun(&f, v.Jobs[id.Job], id, o)
	}
	for _, o := range v.Orphans[w.ID] {
		f.Free = f.Free.Sub(o.Reserved)
		f.Releasing = f.Releasing.Add(o.Reserved)
	}
	slices.SortFunc(f.Runs, comparePreemption)
	return f
}

// countRun subtracts a run from the free capacity of its worker. A run that
// saves checkpoints is listed as one that may be preempted.
func (t *term) countRun(f *fit.Worker, record *job.Record, id job.TaskID, o job.Reservation) {
	f.Free = f.Free.Sub(o.Size)
	if _, risky := t.risky[queueKey(&record.Queue)]; risky {
		f.Risky++
	}
	s := &record.Job.Steps[id.Step]
	if s.Filler {
		f.FillerTasks++
	} else if s.Target > 0 {
		f.TargetTasks++
	}
	r := t.runs[id]
	if r != nil && r.trial {
		f.Tried++
	}
	switch {
	case r == nil:
	case r.stopping || r.endQueued:
		f.Releasing = f.Releasing.Add(o.Size)
	case s.Checkpoints && !s.Gang && !s.Lasting && !r.startResolvedAt.IsZero():
		deadline, _ := t.deadlines(record, id.Occurrence)
		f.Runs = append(f.Runs, fit.Run{
			Task: id, Priority: record.Queue.Priority, EffectiveDeadline: fit.EffectiveDeadline(deadline, record.Queue.Priority), Size: o.Size,
		})
	}
}

// comparePreemption sorts the runs that are preempted first to the end: those
// of the lowest priority, of these the ones with the latest deadline, and of
// these the smallest.
func comparePreemption(a, b fit.Run) int {
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	if c := a.EffectiveDeadline.Compare(b.EffectiveDeadline); c != 0 {
		return c
	}
	if c := cmp.Compare(b.Size.Processors, a.Size.Processors); c != 0 {
		return c
	}
	return strings.Compare(a.Task.String(), b.Task.String())
}

// setHeadroom sets the capacity that is kept free for urgent work.
func (t *term) setHeadroom(v *job.View, cluster fit.Cluster, now time.Time) {
	capacity := map[string]work.Resources{}
	for _, w := range cluster.Workers {
		if w.Usable {
			capacity[w.Pool] = capacity[w.Pool].Add(w.Capacity)
		}
	}
	for i := range v.Catalogue.Pools {
		name := v.Catalogue.Pools[i].Name
		p := t.urgentPeaks[name]
		if p == nil {
			p = &fit.Peak{}
			t.urgentPeaks[name] = p
		}
		p.Record(t.urgentUse[name], now)
		cluster.Headroom[name] = p.Headroom(t.urgentUse[name], capacity[name])
	}
}

// addRun registers a run.
func (t *term) addRun(r *run) {
	w := r.worker
	w.runs[r.id], t.runs[r.id] = r, r
	w.lastStart = later(w.lastStart, r.startedAt)
	w.stale = true
	if r.urgent {
		t.urgentUse[w.Pool] = t.urgentUse[w.Pool].Add(r.spec.Reservation())
	}
}

// deleteRun removes a run whose end is committed.
func (t *term) deleteRun(r *run) {
	w := r.worker
	delete(t.runs, r.id)
	delete(w.runs, r.id)
	w.stale = true
	if r.urgent {
		t.urgentUse[w.Pool] = t.urgentUse[w.Pool].Sub(r.spec.Reservation())
	}
}

// markStale has the load of workers computed anew in the next round, all of them
// if none is named.
func (t *term) markStale(names ...string) {
	for _, n := range names {
		if w := t.workers[n]; w != nil {
			w.stale = true
		}
	}
	if len(names) == 0 {
		for _, w := range t.workers {
			w.stale = true
		}
	}
}
