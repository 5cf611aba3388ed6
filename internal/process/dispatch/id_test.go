package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// call sends a call about a job of a queue and returns the answer.
func (b *testCluster) call(verb cell.Verb, path string) cell.Verdict {
	v, ok := b.term().call(context.Background(), &cell.Call{Verb: verb, Host: "h", Path: path, Key: "k", Job: &job.Job{Steps: []job.Step{tasks(1)}}})
	b.is.True(ok)
	return v
}

// Guards against a submission that is answered as accepted and never runs, because another queue has a job with
// its ID, and against calls about it that reach that job (rules LOST and MIXED, issue 53, point 5).
func TestIDOfAnotherQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.is.Equal(b.call(cell.Submit, "/q/one").Code, cell.OK)
		b.is.Equal(b.call(cell.Submit, "/u/one").Code, cell.Invalid)
		b.is.Equal(b.call(cell.Status, "/u/one").Code, cell.NoJob)
		b.is.Equal(b.call(cell.Cancel, "/u/one").Code, cell.NoJob)
		b.is.Equal(b.call(cell.Submit, "/q/one").Code, cell.OK) // a copy
		time.Sleep(3 * time.Second)
		b.is.Equal(b.call(cell.Status, "/q/one").State, job.Completed)
		b.is.Equal(len(b.workers.started()), 1)
	})
}

// Guards against the same for two submissions in one round.
func TestIDOfAnotherQueueInOneRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		codes := make(chan cell.Code, 2)
		for _, path := range []string{"/q/one", "/u/one"} {
			go func() { codes <- b.call(cell.Submit, path).Code }()
		}
		got := map[cell.Code]int{}
		for range 2 {
			got[<-codes]++
		}
		b.is.Equal(got, map[cell.Code]int{cell.OK: 1, cell.Invalid: 1})
	})
}
