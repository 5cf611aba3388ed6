package fit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// urgentDemand returns an urgent demand with an estimate of 1 s that expires
// after 4.5 s.
func urgentDemand(number, tasks int) *Demand {
	d := demand(job.ID(fmt.Sprint(number)), 0, tasks, cores(4))
	d.Spec.Estimate = time.Second
	d.Deadline, d.Expiry = now.Add(1500*time.Millisecond), now.Add(4500*time.Millisecond)
	return d
}

// Guards against accepting jobs that would expire before they finish, and against
// refusing jobs while the pool can still serve them. The load is ten times what
// the pool can do in a second.
func TestFloodIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	l := NewLoad(pool(8, cores(32)), &Returns{}) // 64 tasks at a time
	accepted := 0
	var last Admission
	for i := range 100 {
		d := urgentDemand(i, 6)
		if last = l.Admit(now, []*Demand{d}, time.Second); !last.Refused {
			accepted++
			l.AddWaiting(d, len(d.Tasks), now)
		}
	}
	is.True(accepted*6 >= 3*64) // jobs that finish before they expire are accepted
	is.True(accepted*6 <= 4*64)
	is.Equal(last.Reason, Overload)
	is.True(last.RetryAfter >= minRetryAfter && last.RetryAfter <= maxRetryAfter)

	batch := demand("batch", 2, 50, cores(4))
	batch.Spec.Estimate = time.Second
	is.True(!l.Admit(now, []*Demand{batch}, time.Second).Refused) // expires later
}

// Guards against refusing a job because of work that is served after it anyway.
func TestLaterWorkDelaysNothing(t *testing.T) {
	is := is.New(t)
	l := NewLoad(pool(1, cores(32)), &Returns{})
	batch := demand("batch", 2, 1000, cores(4))
	batch.Spec.Estimate = time.Second
	l.AddWaiting(batch, len(batch.Tasks), now)
	for range 32 {
		l.AddRunning(batch) // fills the pool
	}
	late := urgentDemand(1, 1000)
	late.Deadline = now.Add(-time.Second)
	l.AddWaiting(late, len(late.Tasks), now)
	is.True(!l.Admit(now, []*Demand{urgentDemand(2, 6)}, time.Second).Refused)
}

// Guards against jobs that wait for a worker that the pool does not have, and
// against refusals before the workers are known.
func TestInfeasibleIsRefused(t *testing.T) {
	is := is.New(t)
	huge, labelled := urgentDemand(1, 1), urgentDemand(2, 1)
	huge.Spec.Size = cores(64)
	labelled.Spec.Label = "x"
	l := NewLoad(pool(2, cores(32)), &Returns{})
	is.Equal(l.Admit(now, []*Demand{urgentDemand(3, 1), huge}, time.Second).Reason, Infeasible)
	is.Equal(l.Admit(now, []*Demand{labelled}, time.Second).Reason, Infeasible)
	is.True(!NewLoad(nil, &Returns{}).Admit(now, []*Demand{huge}, time.Second).Refused)
}

// Guards against refused callers that return all at once, or before those that were
// refused earlier.
func TestRefusedCallersReturnInOrder(t *testing.T) {
	is := is.New(t)
	returns := &Returns{}
	l := NewLoad(pool(8, cores(32)), returns)
	flood := urgentDemand(0, 6*64)
	l.AddWaiting(flood, len(flood.Tasks), now)
	var last time.Duration
	for i := range 20 {
		if i%5 == 0 { // the load is computed anew between them
			l = NewLoad(pool(8, cores(32)), returns)
			l.AddWaiting(flood, len(flood.Tasks), now)
		}
		a := l.Admit(now, []*Demand{urgentDemand(i+1, 64)}, time.Second)
		is.True(a.Refused)
		is.True(a.RetryAfter <= maxRetryAfter)
		if last > 0 && a.RetryAfter < maxRetryAfter {
			is.True(a.RetryAfter-last >= 900*time.Millisecond) // each job keeps the pool busy for a second
		}
		last = a.RetryAfter
	}
	batch := demand("batch", 2, 64, cores(4))
	batch.Spec.Estimate, batch.Expiry = time.Second, now.Add(time.Second)
	is.True(l.Admit(now, []*Demand{batch}, time.Second).RetryAfter < last) // waits only for its own tier
}
