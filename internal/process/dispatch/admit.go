package dispatch

import (
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// settleTime is the time after the beginning of a term in which workers report
// themselves; no job is refused for want of a worker before.
const settleTime = 6 * time.Second

// full reports whether a job cannot be served, with the time to come back.
func (t *term) full(j *job.Job, q *job.Queue) (cell.Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	l := t.loads[q.Pool]
	if l == nil || now.Sub(t.began) < settleTime || j.Repeat > 0 {
		return cell.Verdict{}, false
	}
	length := chain(j)
	late := q.Target + time.Duration(q.Stretch*float64(length))
	var steps []*fit.Demand
	for i := range j.Steps {
		steps = append(steps, &fit.Demand{
			Spec: &j.Steps[i], Priority: q.Priority, Late: now.Add(late), Useless: now.Add(uselessFactor * late),
		})
	}
	v := l.Admit(now, steps, length)
	return cell.Verdict{Code: cell.Busy, Message: v.Reason, Wait: v.Return}, v.Refused
}

// measure works out the load of each pool. The caller holds the lock.
func (t *term) measure(v *job.View, room fit.Room, demands []*fit.Demand, now time.Time) {
	pools := map[string][]*fit.Worker{}
	for _, w := range room.Workers {
		pools[w.Pool] = append(pools[w.Pool], w)
	}
	t.loads = map[string]*fit.Load{}
	for name, workers := range pools {
		t.loads[name] = fit.NewLoad(workers)
	}
	for _, r := range t.runs {
		if l, record := t.loads[r.worker.Pool], v.Jobs[r.id.Job]; l != nil && record != nil && !r.spec.Lasting {
			l.Run(&fit.Demand{Spec: r.spec, Priority: record.Queue.Priority})
		}
	}
	for _, d := range demands {
		if l := t.loads[d.Pool]; l != nil && !d.Early {
			l.Wait(d, now)
		}
	}
}
