package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// slowCopies are copies of starts that are answered after their order has returned. A nil pointer
// stands for none.
type slowCopies struct {
	delay   time.Duration // until the answer; zero: never
	alone   bool          // the order returns without an answer to another copy
	refused bool          // by the worker
}

// answer has another copy of a start wait for its answer. The caller holds the lock.
func (c *slowCopies) answer(p Permit, h *fakeWorkers, w *fakeWorker, a Answer) Answer {
	if c == nil || a.Result != Accepted {
		return a
	}
	if c.delay > 0 && c.delay <= p.Await {
		late := a
		time.AfterFunc(c.delay, func() {
			h.mu.Lock()
			late.Clock = h.clock(w)
			h.mu.Unlock()
			if c.refused {
				late.Result, late.Reason = Refused, ReasonOther
			}
			p.Late(late)
		})
	}
	if c.alone {
		return Answer{Result: Unanswered, Open: 1}
	}
	a.Open, a.Repeated = 1, true
	return a
}

// Guards against a task that waits for copies of its start that were answered (rule LOST, issue 45).
func TestAnsweredCopiesAreSettled(t *testing.T) {
	for name, c := range map[string]struct {
		copies slowCopies
		waits  bool // a copy of its first start may still be carried out
	}{
		"answered after the other one":      {slowCopies{delay: 3 * time.Millisecond}, false},
		"refused after the other one":       {slowCopies{delay: 3 * time.Millisecond, refused: true}, false},
		"answered after the end of the run": {slowCopies{delay: 300 * time.Millisecond}, false},
		"answered after its attempt":        {slowCopies{delay: 95 * time.Millisecond, alone: true}, false},
		"not answered":                      {slowCopies{}, true},
		"answered too late":                 {slowCopies{delay: 2 * lateAnswerTime}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestCluster(t, "a", "b", "c")
				defer b.close()
				b.workers.setRunTime(20 * time.Second)
				b.workers.mu.Lock()
				b.workers.slow = &c.copies
				b.workers.mu.Unlock()
				gang := tasks(2)
				gang.Gang, gang.Size.Processors = true, 3000
				b.submit("one", gang)
				first := job.TaskID{Job: "one"}
				for b.startsOf(first) == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(100 * time.Millisecond)
				term := b.term()
				term.mu.Lock()
				r := term.runs[first]
				resolved := r.startResolvedAt.Sub(r.committedAt)
				term.mu.Unlock()
				b.is.True(c.copies.alone || resolved < 4*time.Millisecond) // by the first answer
				b.workers.fail(first)
				time.Sleep(4 * time.Second) // its other member stops, and workers are avoided
				b.is.Equal(b.unclear(orphan{first, 1}), c.waits)
				time.Sleep(25 * time.Second)
				b.is.True(b.startsOf(first) > 1)
			})
		})
	}
}

// unclear reports whether copies of a start may still be carried out.
func (b *testCluster) unclear(key orphan) bool {
	t := b.term()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range t.unclear[key.task] {
		if _, unclear := d.starts[key]; unclear {
			return true
		}
	}
	return false
}

// fail ends the runs of a task as failed.
func (h *fakeWorkers) fail(id job.TaskID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range h.all {
		if r := w.running[id]; r != nil {
			h.end(w, id, r, job.RunFailed)
		}
	}
}
