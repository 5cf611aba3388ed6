package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// shareHistory is the time of accepted jobs from which a new leader computes the shares of the
// workspaces. A share refills in 2 s or in the time of one submission, so that this is exact for
// weights from one submission in 20 s on.
const shareHistory = 20 * time.Second

// heldInterval is the interval at which what workspaces hold of the pools is computed anew.
const heldInterval = 200 * time.Millisecond

// heldShares is what workspaces hold of the pools.
type heldShares struct {
	at     time.Time
	levels map[job.UseKey]int
}

// updateHeld computes what workspaces hold of the pools, if any has a weight. The caller holds the lock.
func (t *term) updateHeld(v *job.View, now time.Time) {
	if since := now.Sub(t.held.at); since >= 0 && since < heldInterval {
		return
	}
	t.held = heldShares{at: now}
	weighted := func(w job.Workspace) bool { return w.Weight > 0 }
	if !slices.ContainsFunc(v.Catalogue.Workspaces, weighted) {
		return
	}
	capacity, shares := t.poolCapacity(), map[job.UseKey]float64{}
	for _, r := range t.runs {
		if record := v.Jobs[r.id.Job]; record != nil {
			k := job.UseKey{Workspace: record.Job.Workspace, Pool: r.worker.Pool}
			shares[k] += fit.Dominant(r.spec.Reservation(), capacity[k.Pool])
		}
	}
	t.held.levels = map[job.UseKey]int{}
	for k, share := range shares {
		t.held.levels[k] = fit.HeldLevel(share, v.Catalogue.Weight(k.Workspace))
	}
}

// heldLevel returns the level of a workspace in a pool.
func (t *term) heldLevel(workspace, pool string) int {
	if level, ok := t.held.levels[job.UseKey{Workspace: workspace, Pool: pool}]; ok {
		return level
	}
	return fit.HeldLevel(0, 0)
}

// poolCapacity returns the capacity of all known workers of each pool.
func (t *term) poolCapacity() map[string]work.Resources {
	capacity := map[string]work.Resources{}
	for _, w := range t.workers {
		capacity[w.Pool] = capacity[w.Pool].Add(w.Capacity)
	}
	return capacity
}

// noteShare records in a job whether it is beyond the weight of its workspace. The caller
// holds the lock.
func (t *term) noteShare(j *job.Job, now time.Time) {
	weight := 0.0
	t.state().View(func(v *job.View) { weight = v.Catalogue.Weight(j.Workspace) })
	j.Beyond = t.share(j.Workspace).Beyond(weight, now)
}

// refundShare returns what noteShare charged for a job that is refused. Otherwise a caller that
// comes back would be charged for each attempt.
func (t *term) refundShare(j *job.Job) {
	if !j.Beyond {
		t.share(j.Workspace).Refund()
	}
}

// share returns the share of a workspace.
func (t *term) share(workspace string) *fit.Share {
	s := t.shares[workspace]
	if s == nil {
		s = &fit.Share{}
		t.shares[workspace] = s
	}
	return s
}

// adoptShares computes the shares from the jobs that earlier leaders accepted, so that a flood
// gets no fresh allowance from a change of the leader. Their clocks may have been ahead.
func (t *term) adoptShares(v *job.View, now time.Time) {
	var recent []*job.Record
	for _, r := range v.Jobs {
		if now.Sub(r.Accepted) < shareHistory {
			recent = append(recent, r)
		}
	}
	slices.SortFunc(recent, func(a, b *job.Record) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, r := range recent {
		t.share(r.Job.Workspace).Replay(v.Catalogue.Weight(r.Job.Workspace), earlier(r.Accepted, now), r.Job.Beyond)
	}
}
