package dispatch

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// lateOrders are a start, and a listing that acknowledges the end of another task, that get no answer and
// are carried out by the next incarnation of their worker.
type lateOrders struct {
	startFirst bool // of the two orders
	rest       bool // a listing without an acknowledgement is answered between them
}

// play returns the listings that may arrive late and acknowledge an end.
func (o lateOrders) play(b *testCluster) (late []ListOrder) {
	lose := func(order orderKind, a Answer) Answer {
		if order == listOrder {
			return Answer{Result: Unanswered}
		}
		return a
	}
	busy := tasks(1)
	busy.Lasting = true
	b.submit("busy", busy)
	time.Sleep(2 * time.Second)
	if !o.startFirst {
		b.submit("one", tasks(1))
		time.Sleep(1010 * time.Millisecond) // its end is being listed
		b.changeWorker("a", func(w *fakeWorker) { w.delaysStarts, w.answers = true, lose })
		time.Sleep(60 * time.Millisecond)
		b.submit("two", tasks(1))
		time.Sleep(20 * time.Millisecond)
	} else {
		b.submit("one", tasks(1))
		time.Sleep(500 * time.Millisecond)
		b.changeWorker("a", func(w *fakeWorker) { w.delaysStarts = true })
		b.submit("two", tasks(1))
		time.Sleep(500 * time.Millisecond)
		if o.rest {
			time.Sleep(500 * time.Millisecond)
		}
		b.changeWorker("a", func(w *fakeWorker) { w.answers = lose })
		time.Sleep(time.Second)
	}
	var starts []StartOrder
	b.changeWorker("a", func(w *fakeWorker) { starts, late = w.late, w.lostListings })
	b.is.True(len(starts) > 0)
	b.restart("a", 2)
	b.changeWorker("a", func(w *fakeWorker) {
		b.workers.carryOut("a", w, starts[0], Answer{})
		w.silent = true
	})
	time.Sleep(1100 * time.Millisecond)
	b.changeWorker("a", func(w *fakeWorker) {
		b.workers.endDueRuns(w)
		for _, l := range late {
			b.workers.prepareList(w, l)
		}
		w.silent = false
	})
	b.report("a", false)
	time.Sleep(40 * time.Second)
	return late
}

// Guards against a task that starts again after its run was done and acknowledged: its start, and a listing
// for the former incarnation of its worker, reach the next one late (rule TWICE, review/15).
func TestLateAcknowledgementForgetsNoLateStart(t *testing.T) {
	for _, o := range []lateOrders{{}, {startFirst: true}, {startFirst: true, rest: true}} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestCluster(t, "a")
			defer b.close()
			late := o.play(b)
			if !o.startFirst {
				b.is.True(late[0].Acknowledged > 0) // the case is played as meant
			}
			runs := 0
			for _, s := range b.workers.started() {
				if len(s) > 4 && s[:4] == "two." {
					runs++
				}
			}
			b.is.Equal(runs, 1)
			b.is.Equal(b.status("two"), job.Completed)
		})
	}
}

// Guards against a worker that lists more ends than one answer can have, because they cannot be acknowledged and
// new tasks start there all the same, and against one that stays out of use then (rule LOST).
func TestManyListedEndsKeepNewTasksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		time.Sleep(time.Second)
		ends := make([]EndedRun, maxListedEnds)
		for i := range ends {
			ends[i] = EndedRun{Number: int64(i + 1), Task: job.TaskID{Job: "forgotten", Index: i}, Run: 1, Outcome: job.Done}
		}
		b.changeWorker("a", func(w *fakeWorker) { w.number = maxListedEnds })
		b.list("a", Listing{Ended: ends, Complete: true})
		current := b.term()
		current.mu.Lock()
		cause := current.workers["a"].out(current.now(), current.timing().ReportInterval)
		current.mu.Unlock()
		b.is.Equal(cause, outEnds)
		b.submit("one", tasks(1))
		time.Sleep(5 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against a task that starts again after its run was done and acknowledged: the record of its worker was
// removed and made anew between a listing without an answer and the start, and the next incarnation receives both
// late (rule TWICE).
func TestLateAcknowledgementOfAFormerRecordForgetsNoLateStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.submit("one", tasks(1))
		time.Sleep(1030 * time.Millisecond) // its end is listed, and not acknowledged yet
		b.changeWorker("a", func(w *fakeWorker) {
			w.answers = answerListings(func() Answer { return Answer{Result: Unanswered} })
		})
		time.Sleep(100 * time.Millisecond)
		b.term().leave(&cell.Leave{Worker: "a", Life: 1})
		time.Sleep(leaveGracePeriod + 2*checkInterval)
		var listings []ListOrder
		b.changeWorker("a", func(w *fakeWorker) {
			listings = w.lostListings
			w.answers, w.delaysStarts = nil, true
		})
		b.is.True(listings[0].Acknowledged > 0) // the case is played as meant
		b.report("a", false)
		time.Sleep(100 * time.Millisecond)
		b.submit("two", tasks(1))
		time.Sleep(20 * time.Millisecond)
		var starts []StartOrder
		b.changeWorker("a", func(w *fakeWorker) { starts = w.late })
		b.is.True(len(starts) > 0)
		b.restart("a", 2)
		b.changeWorker("a", func(w *fakeWorker) {
			b.workers.carryOut("a", w, starts[0], Answer{})
			w.silent = true
		})
		time.Sleep(1100 * time.Millisecond)
		b.changeWorker("a", func(w *fakeWorker) {
			b.workers.endDueRuns(w)
			for _, l := range listings {
				b.workers.prepareList(w, l)
			}
			w.silent = false
		})
		b.report("a", false)
		time.Sleep(40 * time.Second)
		runs := 0
		for _, s := range b.workers.started() {
			if strings.HasPrefix(s, "two.") {
				runs++
			}
		}
		b.is.Equal(runs, 1)
		b.is.Equal(b.status("two"), job.Completed)
	})
}
