package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// disturbance keeps the ends of the worker "a" from being acknowledged for a time.
type disturbance struct {
	name   string
	length time.Duration
	begin  func(b *testCluster)
	end    func(b *testCluster) // nil if the disturbance ends by itself
}

// onWorker returns a disturbance that changes the worker "a" and takes the change back.
func onWorker(name string, length time.Duration, change func(w *fakeWorker, on bool)) disturbance {
	set := func(on bool) func(*testCluster) {
		return func(b *testCluster) { b.changeWorker("a", func(w *fakeWorker) { change(w, on) }) }
	}
	return disturbance{name, length, set(true), set(false)}
}

// answerListings has a worker answer listings only if answers says so.
func answerListings(answers func() Answer) answerShape {
	return func(o orderKind, a Answer) Answer {
		if o != listOrder {
			return a
		}
		if other := answers(); other.Result != Accepted {
			other.Clock, other.Life = a.Clock, a.Life
			return other
		}
		return a
	}
}

// someListings has a worker answer each n-th listing only.
func someListings(n int) func(w *fakeWorker, on bool) {
	return func(w *fakeWorker, on bool) {
		if w.answers = nil; !on {
			return
		}
		number := 0
		w.answers = answerListings(func() Answer {
			if number++; number%n == 0 {
				return Answer{Result: Accepted}
			}
			return Answer{Result: Unanswered}
		})
	}
}

func refuseListings(r Reason) func(w *fakeWorker, on bool) {
	return func(w *fakeWorker, on bool) {
		if w.answers = nil; on {
			w.answers = answerListings(func() Answer { return Answer{Result: Refused, Reason: r} })
		}
	}
}

func disturbances() (list []disturbance) {
	for _, length := range []time.Duration{600 * time.Millisecond, 2 * time.Second, 7 * time.Second, 20 * time.Second, 80 * time.Second} {
		list = append(list,
			onWorker("silent", length, func(w *fakeWorker, on bool) { w.silent = on }),
			onWorker("unheard", length, func(w *fakeWorker, on bool) { w.unheard = on }),
			onWorker("refuses connections", length, func(w *fakeWorker, on bool) { w.refusesConnections = on }),
			onWorker("loses", length, func(w *fakeWorker, on bool) { w.loses = on }),
			onWorker("replaced", length, func(w *fakeWorker, on bool) { w.replaced = on }),
			onWorker("hides runs", length, func(w *fakeWorker, on bool) { w.hidesRuns = on }),
			onWorker("refuses listings", length, func(w *fakeWorker, on bool) { w.refusesListings = on }),
			onWorker("refuses listings as fence", length, refuseListings(ReasonStaleLeader)),
			onWorker("unhealthy", length, func(w *fakeWorker, on bool) { w.unhealthy = on }),
			onWorker("answers each second listing", length, someListings(2)),
			onWorker("answers each third listing", length, someListings(3)),
			onWorker("unread end", length, func(w *fakeWorker, on bool) {
				if w.unreadEnd = 0; on {
					w.unreadEnd = 2
				}
			}),
			disturbance{"commits fail", length, func(b *testCluster) { b.log.setFails(true) }, func(b *testCluster) { b.log.setFails(false) }},
			disturbance{"lease lapses", length, func(b *testCluster) { b.log.setLease(-time.Millisecond) }, func(b *testCluster) { b.log.setLease(time.Second) }},
		)
	}
	leave := func(life job.Incarnation) func(*testCluster) {
		return func(b *testCluster) { b.term().leave(&cell.Leave{Worker: "a", Life: life}) }
	}
	return append(list,
		onWorker("draining", time.Second, func(w *fakeWorker, on bool) { w.draining = w.draining || on }),
		disturbance{"stray notice of leaving", time.Second, leave(0), nil},
		disturbance{"evacuated", time.Second, func(b *testCluster) { b.ordered(true) }, nil},
		disturbance{"upkeep", time.Second, func(b *testCluster) { b.term().workers["a"].cordoned = true }, nil},
		disturbance{"avoided", time.Second, func(b *testCluster) {
			current := b.term()
			current.mu.Lock()
			defer current.mu.Unlock()
			current.avoidWorker(current.workers["a"], "test")
		}, nil},
		disturbance{"ends of forgotten tasks, more than an answer has", 300 * time.Millisecond, func(b *testCluster) {
			b.changeWorker("a", func(w *fakeWorker) {
				for i := range 3 * maxEndsListed {
					w.number++
					w.ended = append(w.ended, EndedRun{Number: w.number, Task: job.TaskID{Job: "forgotten", Index: i}, Run: 1, Outcome: job.Done})
				}
			})
		}, nil},
	)
}

// Guards against ends that a worker lists and that are not acknowledged for longer than the pages allow once
// a disturbance is over (rule LOST, issue 71).
func TestEndsAreAcknowledgedAfterDisturbances(t *testing.T) {
	for _, d := range disturbances() {
		t.Run(d.name+" "+d.length.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestCluster(t)
				defer b.close()
				b.addIn("z", "a")
				time.Sleep(time.Second)
				b.submit("one", tasks(4))
				time.Sleep(600 * time.Millisecond)
				b.add("b", 1)
				d.begin(b)
				time.Sleep(d.length)
				if d.end != nil {
					d.end(b)
				}
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				e := watchEnds(ctx, b)
				time.Sleep(acknowledgeTime + 100*time.Millisecond)
				b.is.True(b.workers.worker("a").number > 0) // ends were listed
				b.is.Equal(len(e.late), 0)
			})
		})
	}
}
