package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// shareHistory is the time of accepted jobs from which a new leader computes the shares of the
// workspaces. A share refills in 2 s or in the time of one submission, so that this is exact for
// weights from one submission in 20 s on.
const shareHistory = 20 * time.Second

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
