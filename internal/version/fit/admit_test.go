package fit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// quick returns a demand of a second's work that is useless after 4.5 s.
func quick(number, tasks int) *Demand {
	d := demand(job.ID(fmt.Sprint(number)), 0, tasks, cores(4))
	d.Spec.Estimate = time.Second
	d.Late, d.Useless = now.Add(1500*time.Millisecond), now.Add(4500*time.Millisecond)
	return d
}

// Guards against callers that wait for work which can be of no use any more, and
// against refusals while the pool can still serve: a flood of quick jobs ten
// times what the pool does in a second.
func TestFloodIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	l := NewLoad(pool(8, cores(32))) // 64 tasks at a time
	taken := 0
	var last Verdict
	for i := range 100 {
		d := quick(i, 6)
		if last = l.Admit(now, []*Demand{d}, time.Second); !last.Refused {
			taken++
			l.Wait(d, now)
		}
	}
	is.True(taken*6 >= 3*64) // what is done in time for use is taken
	is.True(taken*6 <= 4*64)
	is.Equal(last.Reason, Overload)
	is.True(last.Return >= firstReturn && last.Return <= lastReturn)

	batch := demand("batch", 2, 50, cores(4))
	batch.Spec.Estimate = time.Second
	is.True(!l.Admit(now, []*Demand{batch}, time.Second).Refused) // it can wait longer
}

// Guards against refusals because of work that comes after a job anyway.
func TestLaterWorkDelaysNothing(t *testing.T) {
	is := is.New(t)
	l := NewLoad(pool(1, cores(32)))
	batch := demand("batch", 2, 1000, cores(4))
	batch.Spec.Estimate = time.Second
	l.Wait(batch, now)
	for range 32 {
		l.Run(batch) // the pool is full of it
	}
	late := quick(1, 1000)
	late.Late = now.Add(-time.Second)
	l.Wait(late, now)
	is.True(!l.Admit(now, []*Demand{quick(2, 6)}, time.Second).Refused)
}

// Guards against jobs that wait for a worker which the pool does not have, and
// against refusals before the workers are known.
func TestInfeasibleIsRefused(t *testing.T) {
	is := is.New(t)
	huge, labelled := quick(1, 1), quick(2, 1)
	huge.Spec.Size = cores(64)
	labelled.Spec.Label = "x"
	l := NewLoad(pool(2, cores(32)))
	is.Equal(l.Admit(now, []*Demand{quick(3, 1), huge}, time.Second).Reason, Infeasible)
	is.Equal(l.Admit(now, []*Demand{labelled}, time.Second).Reason, Infeasible)
	is.True(!NewLoad(nil).Admit(now, []*Demand{huge}, time.Second).Refused)
}
