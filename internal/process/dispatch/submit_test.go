package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// submission returns the call that submits a job, which takes the worker of a small
// cluster longer than a second one may wait.
func submission(id string) *cell.Call {
	return &cell.Call{Verb: cell.Submit, Host: "h", Path: "/q/" + id, Key: "k", Job: &job.Job{Steps: []job.Step{tasks(100)}}}
}

// Guards against a submission that is refused and runs all the same: its connection broke
// while it waited for its commit, and the second copy was refused because the load now
// contained the first one (rule REFUSED).
func TestSecondCopyJoinsTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		time.Sleep(discoveryTime)
		first := make(chan cell.Verdict, 1)
		go func() {
			v, _ := b.term().call(context.Background(), submission("one"))
			first <- v
		}()
		time.Sleep(time.Millisecond) // the commit takes 4 ms
		c := submission("one")
		c.Resent = true
		v, ok := b.term().call(context.Background(), c)
		b.is.True(ok)
		b.is.Equal(v.Code, cell.OK)
		b.is.Equal((<-first).Code, cell.OK)
		v, ok = b.term().call(context.Background(), submission("two"))
		b.is.True(ok)
		b.is.Equal(v.Code, cell.Busy) // the load is as meant
	})
}

// Guards against a refusal for a withdrawn key, or for a queue that is gone, of a
// submission whose first copy was accepted before: the refusal says that it never runs.
func TestRefusalAfterAnAcceptedCopyIsUnclear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.submit("one", tasks(1))
		_, ok := b.term().apply(context.Background(), &job.Catalogue{Version: 2})
		b.is.True(ok)
		c := submission("one")
		v, _ := b.term().call(context.Background(), c)
		b.is.Equal(v.Code, cell.NoQueue) // of another caller
		c.Resent = true
		v, _ = b.term().call(context.Background(), c)
		b.is.Equal(v.Code, cell.Unclear)
		c = submission("two")
		c.Resent = true
		v, _ = b.term().call(context.Background(), c)
		b.is.Equal(v.Code, cell.NoQueue)
	})
}

// Guards against a copy that is refused after a round with another copy failed in the
// log, which may commit that round all the same.
func TestCopyOfAnUnsettledRoundIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		time.Sleep(discoveryTime)
		b.submit("two", tasks(100))
		term := b.term()
		j := submission("one").Job
		j.ID, j.Host, j.Prefix = "one", "h", "/q/"
		term.mu.Lock()
		term.admitted["h/q/one"] = 1
		term.mu.Unlock()
		term.requeue(inbox{submits: []job.Job{*j}})
		v, ok := term.call(context.Background(), submission("one"))
		b.is.True(ok)
		b.is.Equal(v.Code, cell.OK)
		term.mu.Lock()
		defer term.mu.Unlock()
		b.is.Equal(len(term.admitted), 0)
	})
}

// Guards against a copy that is refused although another one still waits for its commit: the
// round with the first copy removed the queue, and the round with the second one adds it
// again (seed 4 of TestAnswersHoldForAllCopies, in one run of many).
func TestCopyThatWaitsIsKnownAfterARefusedRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		term := b.term()
		c := submission("one")
		c.Resent = true
		target := callTarget{queue: job.Queue{Host: "h", Prefix: "/q/", Pool: "p"}, id: "one", workspace: "depot"}
		// enqueue puts a catalogue and a copy into one round.
		enqueue := func(version uint64, prefix string) <-chan bool {
			term.mu.Lock()
			defer term.mu.Unlock()
			term.enqueue(func(n *inbox) {
				n.catalogue = &job.Catalogue{
					Version: version, Pools: []job.Pool{{Name: "p"}}, Workspaces: []job.Workspace{{Name: "depot", Keys: []string{"k"}}},
					Queues: []job.Queue{{Name: "q", Host: "h", Prefix: prefix, Pool: "p"}},
				}
			})
			_, committed := term.admit(c, &target, cell.Verdict{Code: cell.OK})
			return committed
		}
		first := enqueue(2, "/none/")
		time.Sleep(time.Millisecond) // the round is under way
		second := enqueue(3, "/q/")
		b.is.True(<-first)
		b.is.Equal(term.outcome(c, &target).Code, cell.Unclear) // of the first copy
		v, ok := term.call(context.Background(), c)
		b.is.True(ok)
		b.is.Equal(v.Code, cell.Unclear)
		b.is.True(<-second)
		time.Sleep(time.Second)
		b.is.True(len(b.workers.started()) > 0)
	})
}
