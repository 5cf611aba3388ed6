package dispatch

import (
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// discoveryTime is the time after the start of a term in which workers report
// themselves. No job is refused for lack of workers or capacity before it has
// passed.
const discoveryTime = 6 * time.Second

// loadInterval is the interval at which the loads of the pools are computed anew.
// Jobs that are accepted meanwhile are added to them.
const loadInterval = 40 * time.Millisecond

// checkAdmission returns whether a job is accepted, or when its caller may retry. Repeated
// jobs are never refused. The caller holds the lock.
func (t *term) checkAdmission(j *job.Job, q *job.Queue) cell.Verdict {
	now := t.now()
	t.noteShare(j, now)
	l := t.loads[q.Pool]
	if l == nil || now.Sub(t.began) < discoveryTime || j.Repeat > 0 {
		return cell.Verdict{Code: cell.OK}
	}
	path := criticalPath(j)
	timeToDeadline := q.Target + time.Duration(q.Stretch*float64(path))
	var steps []*fit.Demand
	for i := range j.Steps {
		steps = append(steps, &fit.Demand{
			Spec: &j.Steps[i], Priority: q.Priority, Deadline: now.Add(timeToDeadline), Expiry: now.Add(expiryFactor * timeToDeadline),
			CriticalPath: criticalPathFrom(j, i), Beyond: j.Beyond,
			Delay: t.past.delays[job.UseKey{Workspace: j.Workspace, Pool: q.Pool}],
		})
	}
	v := l.Admit(now, steps, path)
	if v.Refused {
		t.refundShare(j)
		return cell.Verdict{Code: cell.Busy, Message: v.Reason, Wait: v.RetryAfter}
	}
	for i, d := range steps {
		if len(j.Steps[i].After) == 0 {
			l.AddWaiting(d, d.Spec.Count, now)
		}
	}
	return cell.Verdict{Code: cell.OK}
}

// updateLoads computes the load of each pool, at intervals. The caller holds the
// lock.
func (t *term) updateLoads(v *job.View, cluster fit.Cluster, demands []*fit.Demand, now time.Time) {
	if now.Sub(t.loadsAt) < loadInterval {
		return
	}
	t.loadsAt = now
	pools := map[string][]*fit.Worker{}
	for _, w := range cluster.Workers {
		pools[w.Pool] = append(pools[w.Pool], w)
	}
	t.loads = map[string]*fit.Load{}
	for name, workers := range pools {
		if t.returns[name] == nil {
			t.returns[name] = &fit.Returns{}
		}
		t.loads[name] = fit.NewLoad(workers, t.returns[name])
	}
	for _, r := range t.runs {
		if l, record := t.loads[r.worker.Pool], v.Jobs[r.id.Job]; l != nil && record != nil && !r.spec.Lasting && !r.worker.evacuated.Load() {
			l.AddRunning(&fit.Demand{Spec: r.spec, Priority: record.Queue.Priority})
		}
	}
	for _, d := range demands {
		if l := t.loads[d.Pool]; l != nil && !d.Prefetch {
			l.AddWaiting(d, len(d.Tasks), now)
		}
	}
}
