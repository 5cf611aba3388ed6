package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Guards against a job that starts after its cancellation was answered: its submission was
// held up, so that no job was known when it was cancelled (rule UNASKED).
func TestCancelledBeforeItArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		c := submission("one")
		cancel := &cell.Call{Verb: cell.Cancel, Host: "h", Path: "/q/one", Key: "k"}
		status := &cell.Call{Verb: cell.Status, Host: "h", Path: "/q/one", Key: "k"}
		v, err := b.deliver(cancel)
		b.is.NoErr(err)
		b.is.Equal(v.Code, cell.NoJob)
		c.Stamp = b.stampNow() // a process that was paused reads the submission only now
		for term := uint64(2); term < 4; term++ {
			v, err = b.deliver(c)
			b.is.NoErr(err)
			b.is.Equal(v.Code, cell.Withdrawn)
			for _, q := range []*cell.Call{cancel, status} {
				v, err = b.deliver(q)
				b.is.NoErr(err)
				b.is.Equal(v.Code, cell.NoJob)
			}
			b.log.set(false, term) // the next leader knows it, too
			time.Sleep(10 * time.Millisecond)
			b.log.set(true, term)
			time.Sleep(100 * time.Millisecond)
			c.Stamp = b.stampNow()
		}
		time.Sleep(2 * time.Second)
		b.is.Equal(len(b.workers.started()), 0)
	})
}

// Guards against different answers to a submission and to its cancellation that wait for
// the same round.
func TestCancelledWhileItIsCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		term := b.term()
		submitted, cancelled := make(chan cell.Verdict, 1), make(chan cell.Verdict, 1)
		go func() {
			v, _ := term.call(context.Background(), submission("one"))
			submitted <- v
		}()
		go func() {
			v, _ := term.call(context.Background(), &cell.Call{Verb: cell.Cancel, Host: "h", Path: "/q/one", Key: "k"})
			cancelled <- v
		}()
		s, c := <-submitted, <-cancelled
		b.is.True(s.Code == cell.OK && c.Code == cell.OK || s.Code == cell.Withdrawn && c.Code == cell.NoJob)
		time.Sleep(2 * time.Second)
		b.is.Equal(b.running(), 0)
		term.mu.Lock()
		defer term.mu.Unlock()
		b.is.Equal(len(term.admitted), 0)
	})
}

// Guards against a job that can neither be read nor cancelled any more, and that runs on, because its
// queue was removed while an outer one stays (rules LOST and UNASKED).
func TestJobOfARemovedInnerQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(time.Minute)
		b.addQueue(2, "/u/inner/")
		b.submitTo("/u/inner/", "one", tasks(2))
		time.Sleep(time.Second)
		b.is.Equal(b.running(), 2)
		b.addQueue(3, "/q/")
		v, ok := b.term().call(context.Background(), &cell.Call{Verb: cell.Status, Host: "h", Path: "/u/inner/one", Key: "k"})
		b.is.True(ok)
		b.is.Equal(v, cell.Verdict{Code: cell.OK, State: job.Running})
		v, ok = b.term().call(context.Background(), &cell.Call{Verb: cell.Cancel, Host: "h", Path: "/u/inner/one", Key: "k"})
		b.is.True(ok)
		b.is.Equal(v.Code, cell.OK)
		time.Sleep(2 * time.Second)
		b.is.Equal(b.running(), 0)
	})
}

// Guards against the count of a queue whose path has no slash at its end that is answered as the state of a
// job, and against the count of a removed queue that is answered by another one (rule CONFIG,
// issue 52).
func TestCountIsThatOfTheQueueItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t)
		defer b.close()
		b.addQueue(2, "/u/inner")
		count := func(verb cell.Verb, path string) cell.Verdict {
			v, ok := b.term().call(context.Background(), &cell.Call{Verb: verb, Host: "h", Path: path, Key: "k"})
			b.is.True(ok)
			return v
		}
		queue := cell.Verdict{Code: cell.OK, Queue: true}
		b.is.Equal(count(cell.Status, "/u/inner"), queue)
		b.is.Equal(count(cell.Pending, "/u/"), queue)
		b.addQueue(3, "/q/")
		for _, verb := range []cell.Verb{cell.Status, cell.Pending} {
			b.is.Equal(count(verb, "/u/inner"), cell.Verdict{Code: cell.NoJob})
			b.is.Equal(count(verb, "/u/inner/"), cell.Verdict{Code: cell.NoJob})
		}
	})
}
