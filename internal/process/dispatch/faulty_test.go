package dispatch

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Guards against an entry that the log cannot hold and that stops every round after it
// (rule LOST): a name that is not UTF-8, which one worker listed.
func TestFaultyEntryStopsNoRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		term := b.term()
		faulty := job.TaskID{Job: "caf\xe9"}
		term.mu.Lock()
		term.inbox.ends = append(term.inbox.ends, job.End{Task: faulty, Run: 1, Worker: "a", Life: 1, Outcome: job.Done})
		term.inbox.orphans = append(term.inbox.orphans, job.Start{Task: faulty, Run: 1, Worker: "a", Life: 1})
		good := job.End{Task: job.TaskID{Job: "other"}, Run: 1, Worker: "a", Life: 1, Outcome: job.Done}
		committed := term.enqueue(func(n *inbox) { n.ends = append(n.ends, good) })
		term.mu.Unlock()
		b.is.True(!<-committed) // the round fails once
		b.submit("one", tasks(2))
		time.Sleep(3 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
		term.mu.Lock()
		defer term.mu.Unlock()
		b.is.True(term.inbox.empty())
	})
}

// Guards against calls that fail the rounds that they are in, with the calls of others,
// until their callers give up.
func TestWhatNoRoundHoldsIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		late, long := submission("one"), submission("two")
		late.Job.Repeat, late.Job.First = 1, time.Date(12000, 1, 1, 0, 0, 0, 0, time.UTC)
		long.Job.Payload = "caf\xe9"
		for _, c := range []*cell.Call{late, long} {
			v, ok := b.term().call(context.Background(), c)
			b.is.True(ok)
			b.is.Equal(v.Code, cell.Invalid)
		}
		v, ok := b.term().apply(context.Background(), &job.Catalogue{Version: 2, Document: []byte(strings.Repeat("x", maxCatalogue))})
		b.is.True(ok)
		b.is.Equal(v.Code, cell.Invalid)
		v, ok = b.term().apply(context.Background(), &job.Catalogue{
			Version: 2, Document: []byte(strings.Repeat("x", maxCatalogue-1000)), Pools: []job.Pool{{Name: "p"}},
			Workspaces: []job.Workspace{{Name: "depot", Keys: []string{"k"}}}, Queues: []job.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p"}},
		})
		b.is.True(ok)
		b.is.Equal(v.Code, cell.OK)
		b.submit("three", tasks(1))
	})
}
