package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Guards against a run with two copies of its start on their way whose replicated mark is cleared when a doubt about
// another start to its worker is dropped, so that the next leader takes the run for one with a single copy (rule TWICE).
func TestMarkOfASecondCopyOutlivesOtherDoubts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(3 * time.Second)
		time.Sleep(2 * time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.delayedStarts, w.dropsAnswers, w.hidesRuns = 1, true, true })
		b.submit("one", tasks(1))
		for b.workers.startsOn("a") < 1 { // the second copy is executed, the first one is held up
			time.Sleep(time.Millisecond)
		}
		b.changeWorker("a", func(w *fakeWorker) { w.dropsAnswers, w.hidesRuns = false, false })
		time.Sleep(300 * time.Millisecond) // the run is listed
		unclear := func() (mark string) {
			b.state.View(func(v *job.View) {
				if r := v.Active["one"]; r != nil {
					mark = r.Peek(0).Steps[0].Tasks[0].Unclear
				}
			})
			return mark
		}
		b.is.Equal(unclear(), "a") // the case is played as meant

		b.changeWorker("a", func(w *fakeWorker) { w.dropsAnswers, w.hidesRuns = true, true })
		b.submit("two", tasks(1))
		for b.workers.startsOn("a") < 2 { // the only copy is executed
			time.Sleep(time.Millisecond)
		}
		b.log.setFails(true)
		time.Sleep(50 * time.Millisecond)
		b.changeWorker("a", func(w *fakeWorker) { w.dropsAnswers, w.hidesRuns = false, false })
		time.Sleep(600 * time.Millisecond) // listed before it may be sent again
		b.log.setFails(false)
		time.Sleep(200 * time.Millisecond)
		b.is.Equal(len(b.workers.worker("a").late), 1)
		t.Log("mark of one:", unclear())

		b.changeLeader(1)
		time.Sleep(6 * time.Second)
		acknowledged := len(b.workers.worker("a").ended) == 0 // the next incarnation may execute the first copy
		late := b.workers.worker("a").late
		b.restart("a", 2)
		b.changeWorker("a", func(w *fakeWorker) { b.workers.carryOut("a", w, late[0], Answer{}) })
		t.Log("status of one:", b.status("one"), "starts:", b.workers.started())
		b.is.True(!acknowledged)
	})
}

// Guards against a hold of ends that each change of the leader prolongs, though no start was lost since (rule LOST,
// issue 71).
func TestChangesOfTheLeaderDoNotProlongAHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b", "c", "d", "e")
		defer b.close()
		b.workers.setRunTime(500 * time.Millisecond)
		b.submitSteadily("j", 5, 2*time.Second)
		names := []string{"a", "b", "c", "d", "e"}
		for _, name := range names {
			b.changeWorker(name, func(w *fakeWorker) { w.delayedStarts, w.hidesRuns = 2, true })
		}
		b.submit("lost", tasks(5))
		time.Sleep(200 * time.Millisecond)
		lost := time.Now() // no start is lost from now on
		for _, name := range names {
			b.changeWorker(name, func(w *fakeWorker) { w.delayedStarts, w.hidesRuns = 0, false })
		}
		term := uint64(1)
		for i := range 4 {
			b.submitSteadily("k"+string(rune('0'+i)), 5, 6*time.Second)
			b.changeLeader(term)
			term++
			current := b.term()
			current.mu.Lock()
			for name, until := range current.heldUntil {
				t.Log("change at", time.Since(lost), name, "held until", until.Sub(lost))
			}
			current.mu.Unlock()
		}
		b.submitSteadily("l", 5, 2*time.Second)
		current, held := b.term(), false
		current.mu.Lock()
		for _, w := range current.workers {
			t.Log(time.Since(lost), w.ID, current.holdOf(w), "held until", current.heldUntil[w.ID].Sub(lost), "ends", len(b.workers.all[w.ID].ended))
			held = held || current.heldUntil[w.ID].After(lost.Add(2*lateOrderTime))
		}
		current.mu.Unlock()
		b.is.True(!held)
	})
}

// Guards against a mark that stays although no copy of the start left before the one that was answered (rule LOST,
// issue 71).
func TestStartThatWasNotSentHoldsNoEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(500 * time.Millisecond)
		time.Sleep(2 * time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.refusesConnections = true })
		b.submit("one", tasks(1))
		time.Sleep(20 * time.Millisecond)
		b.changeWorker("a", func(w *fakeWorker) { w.refusesConnections = false })
		time.Sleep(time.Second)
		b.is.Equal(b.workers.startsOn("a"), 1)
		b.state.View(func(v *job.View) {
			_, unclear := v.Doubtful("a")
			b.is.True(!unclear)
		})
		b.changeLeader(1)
		b.submit("two", tasks(1))
		time.Sleep(500*time.Millisecond + acknowledgeTime + time.Second)
		b.is.Equal(len(b.workers.worker("a").ended), 0)
	})
}

// Guards against copies of an earlier run without a ticket that count as settled, since the task's latest run has
// a ticket (rule TWICE).
func TestTicketSettlesNoEarlierRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		time.Sleep(time.Second)
		current := b.term()
		current.mu.Lock()
		w := current.workers["a"]
		task := &job.Task{Run: 2, Worker: "a", Life: w.Life, Unclear: "a", Retried: true, Sending: job.SendTicket}
		current.adoptDoubt(w, orphan{job.TaskID{Job: "one"}, 2}, task, 0)
		d := current.doubts["a"]
		current.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		current.handleListing(w, &ListOrder{Fence: current.fence(w)}, time.Now(), Listing{Complete: true}, Answer{Result: Accepted, Life: w.Life, Clock: w.clockReading})
		b.is.Equal(len(d.starts), 1)
	})
}

// Guards against a run whose replicated mark is cleared when a late answer settles its first copy, and that is not
// marked again when further copies are sent (rule TWICE).
func TestFurtherCopiesAreMarkedAfterTheFirstOneIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(3 * time.Second)
		time.Sleep(2 * time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.delayedStarts, w.dropsAnswers, w.hidesRuns = 2, true, true })
		b.submit("one", tasks(1))
		unclear := func() (mark string) {
			b.state.View(func(v *job.View) {
				if r := v.Active["one"]; r != nil {
					mark = r.Peek(0).Steps[0].Tasks[0].Unclear
				}
			})
			return mark
		}
		current := b.term()
		var r *run
		copies := 0
		for marked := false; !marked; time.Sleep(time.Millisecond) {
			current.mu.Lock()
			if r = current.runs[job.TaskID{Job: "one"}]; r != nil {
				copies, marked = r.copies, r.unclear
			}
			current.mu.Unlock()
		}
		b.is.Equal(copies, 1) // the second copy is not sent yet
		current.handleLateAnswer(&attempt{run: r, returned: true}, Answer{Result: Refused, Reason: ReasonOther})
		b.changeWorker("a", func(w *fakeWorker) { w.late = nil })
		for b.workers.startsOn("a") < 1 { // the second copy is held up, the third one executed
			time.Sleep(time.Millisecond)
		}
		b.is.Equal(len(b.workers.worker("a").late), 1)
		b.changeWorker("a", func(w *fakeWorker) { w.dropsAnswers, w.hidesRuns = false, false })
		time.Sleep(300 * time.Millisecond)
		t.Log("mark of one:", unclear())
		b.changeLeader(1)
		time.Sleep(6 * time.Second)
		b.is.True(len(b.workers.worker("a").ended) > 0) // the next incarnation may execute the second copy
	})
}

// Guards against a mark that stays although the only copy of a start is listed as ended (rule LOST, issue 71).
func TestStartThatIsListedAsEndedIsNotMarked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(time.Millisecond)
		time.Sleep(2 * time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.dropsAnswers = true })
		b.submit("one", tasks(1))
		time.Sleep(500 * time.Millisecond)
		b.changeWorker("a", func(w *fakeWorker) { w.dropsAnswers = false })
		b.is.Equal(b.workers.startsOn("a"), 1)
		time.Sleep(500 * time.Millisecond)
		b.is.Equal(b.status("one"), job.Completed)
		unclear := false
		b.state.View(func(v *job.View) { _, unclear = v.Doubtful("a") })
		b.is.True(!unclear)
	})
}

// Guards against a driver of an earlier build that sends several copies of a start and is lost with its answer: a
// listing that shows the run proves nothing about the other copies (rule TWICE).
func TestLostDriverOfAnEarlierBuildMayHaveSentSeveralCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		time.Sleep(2 * time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.loses = true })
		b.submit("one", tasks(1))
		current := b.term()
		var r *run
		for r == nil {
			time.Sleep(time.Millisecond)
			current.mu.Lock()
			r = current.runs[job.TaskID{Job: "one"}]
			current.mu.Unlock()
		}
		b.log.setFails(true) // the mark is not committed yet
		time.Sleep(10 * time.Millisecond)
		current.mu.Lock()
		copies, once, fence := r.copies, r.once, current.fence(r.worker)
		current.mu.Unlock()
		t.Log("copies", copies, "once", once)
		o := StartOrder{Task: r.id, Run: r.number, Lease: time.UnixMilli(1000).Add(10 * time.Second), Fence: fence}
		b.changeWorker("a", func(w *fakeWorker) { // the driver has sent two copies
			w.loses = false
			b.workers.carryOut("a", w, o, Answer{})
			w.late = append(w.late, o)
		})
		time.Sleep(400 * time.Millisecond)
		b.log.setFails(false)
		time.Sleep(6 * time.Second)
		b.is.Equal(b.workers.startsOn("a"), 1)
		b.is.True(len(b.workers.worker("a").ended) > 0) // the next incarnation may execute the other copy
	})
}

// Guards against a next leader that takes a start of which two copies were sent for one that has arrived, because
// a listing shows its run (rule TWICE).
func TestSecondCopyIsKnownToTheNextLeader(t *testing.T) {
	for _, soon := range []time.Duration{90 * time.Millisecond, 105 * time.Millisecond, 130 * time.Millisecond, 200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestCluster(t, "a")
			defer b.close()
			b.workers.setRunTime(3 * time.Second)
			time.Sleep(2 * time.Second)
			b.changeWorker("a", func(w *fakeWorker) { w.delayedStarts, w.dropsAnswers, w.hidesRuns = 1, true, true })
			b.submit("one", tasks(1))
			time.Sleep(soon) // the first copy is held up, the second one executed, or not yet sent
			b.log.set(false, 2)
			b.changeWorker("a", func(w *fakeWorker) { w.dropsAnswers, w.hidesRuns = false, false })
			time.Sleep(100 * time.Millisecond)
			b.log.set(true, 3)
			time.Sleep(8 * time.Second)
			b.is.Equal(len(b.workers.worker("a").late), 1)
			b.is.True(len(b.workers.worker("a").ended) > 0) // the next incarnation may execute the first copy
			b.changeWorker("a", func(w *fakeWorker) { w.late = nil })
			time.Sleep(20 * time.Second)
			b.is.Equal(len(b.workers.worker("a").ended), 0)
			b.is.Equal(b.status("one"), job.Completed)
		})
	}
}

// Guards against a next leader that does not know of a start with copies on their way, since the mark of its worker
// was cleared with another start: a further copy let this leader forget that the start was noted (rule TWICE).
func TestFurtherCopiesStayNoted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		time.Sleep(time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.delaysStarts = true })
		b.submit("one", tasks(1))
		time.Sleep(200 * time.Millisecond) // several copies, none of which arrives
		current := b.term()
		current.mu.Lock()
		defer current.mu.Unlock()
		d := current.doubts["a"]
		b.is.Equal(len(d.starts), 1)
		b.is.Equal(len(current.noted["a"]), 1)
		other := orphan{job.TaskID{Job: "two"}, 1}
		current.addDoubt(d, other, current.now())
		current.noted.add("a", other)
		current.dropDoubt(d, other)
		b.is.Equal(len(current.dropReplaced(current.inbox.replaced)), 0)
	})
}
