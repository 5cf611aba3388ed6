package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Guards against failures anywhere on the path of a job: it must be accepted,
// placed within the capacity of the workers and shown as completed, all without
// a platform.
func TestJobsAreDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.submit("one", tasks(3))
		b.submit("two", tasks(12))
		time.Sleep(4 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
		b.is.Equal(b.status("two"), job.Completed)
		b.is.Equal(len(b.workers.started()), 15)
		for _, id := range []string{"a", "b"} {
			b.is.True(b.workers.worker(id).peakRuns <= 4) // four processors
		}
		b.is.Equal(b.workers.copied(), "")
	})
}

// Guards against a task that starts again before the lease of its unreachable
// worker has expired there.
func TestCutWorkerKeepsItsTasksUntilTheLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.changeBusyWorker(func(w *fakeWorker) { w.silent = true })
		time.Sleep(3 * time.Second)
		b.is.Equal(len(b.workers.started()), 4) // nothing starts elsewhere yet
		time.Sleep(5 * time.Second)
		b.is.Equal(len(b.workers.started()), 8)
		b.is.Equal(b.workers.copied(), "")
	})
}

// Guards against tasks that wait for the lease of a silent worker although they
// may run in several copies, and against overfilling that worker: the runs that
// were given up there continue and still take up its capacity.
func TestCopiesStartElsewhereAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.workers.setRunTime(8 * time.Second)
		s := tasks(4)
		s.Copies = true
		b.submit("one", s)
		time.Sleep(time.Second)
		first := b.busyWorker()
		b.changeWorker(first, func(w *fakeWorker) { w.silent = true })
		time.Sleep(2600 * time.Millisecond)
		b.is.Equal(len(b.workers.started()), 8) // before the lease has ended
		b.changeWorker(first, func(w *fakeWorker) { w.silent = false })
		b.submit("two", tasks(8))
		time.Sleep(20 * time.Second)
		b.is.Equal(b.status("two"), job.Completed)
		b.is.True(b.workers.worker(first).peakRuns <= 4)
	})
}

// Guards against urgent jobs that are late because the answer to one listing was
// lost: the ends in it are seen only with the next listing, which after the
// usual wait was two seconds later (scenario scale-2 of rmpc-thies).
func TestLostListingCostsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		current := b.term()
		current.mu.Lock()
		defer current.mu.Unlock()
		w := current.workers["a"]
		w.runs[job.TaskID{Job: "j"}] = &run{worker: w, spec: &job.Step{}, startResolvedAt: current.now(), urgent: true}
		b.is.Equal(current.listOrder(w).Wait, maxListWait)
		current.handleAnswer(w, Answer{Result: Unanswered}, current.now())
		current.handleAnswer(w, Answer{Result: Accepted}, current.now())
		b.is.Equal(current.listOrder(w).Wait, lossyListWait)
		delete(w.runs, job.TaskID{Job: "j"})
	})
}

// Guards against a worker that stays out of use after a network partition in
// which it lost all its runs, because nothing polls it again (rule LOST, seen in
// the scenario servers-reset).
func TestWorkerIsUsedAgainAfterACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(20 * time.Second)
		b.submit("one", tasks(2))
		time.Sleep(time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.silent = true })
		time.Sleep(8 * time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.silent = false })
		time.Sleep(3 * time.Second)
		b.is.Equal(len(b.workers.started()), 4)
	})
}

// Guards against a refused connection that counts as the end of a worker. A
// network partition may refuse connections while the worker continues, and tasks
// then ran in two places at once (rule TWICE, scenario servers-reset of
// bellerive-crates).
func TestRefusedConnectionsProveNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.changeBusyWorker(func(w *fakeWorker) { w.refusesConnections = true })
		time.Sleep(7 * time.Second)
		b.is.Equal(len(b.workers.started()), 8)
		b.is.Equal(b.workers.copied(), "")
	})
}

// Guards against tasks that wait for the lease of a worker to which no copy of their
// start could be sent, as after the replacement of many workers.
func TestUnsentStartsAreRepeatedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.changeWorker("a", func(w *fakeWorker) { w.refusesConnections = true })
		b.submit("one", tasks(4)) // fit on one worker
		time.Sleep(400 * time.Millisecond)
		b.is.Equal(len(b.workers.worker("b").running), 4)
		b.is.Equal(b.workers.copied(), "")
	})
}

// Guards against runs that are given up because their worker refuses connections
// although an earlier copy of their start may be carried out.
func TestStartSentBeforeARefusalIsStoppedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.workers.runTime = 3 * time.Second
		b.changeWorker("a", func(w *fakeWorker) { w.dropsAnswers = true })
		b.submit("one", tasks(4)) // fit on one worker
		time.Sleep(40 * time.Millisecond)
		b.is.True(len(b.workers.worker("a").running) > 0)
		b.changeWorker("a", func(w *fakeWorker) { w.refusesConnections, w.dropsAnswers = true, false })
		time.Sleep(2 * time.Second)
		b.is.Equal(b.workers.copied(), "")
		b.changeWorker("a", func(w *fakeWorker) { w.refusesConnections = false })
		time.Sleep(10 * time.Second)
		b.is.Equal(b.workers.copied(), "")
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against a start that is executed but not answered, and is repeated
// elsewhere while its run executes.
func TestStartWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.changeWorker("a", func(w *fakeWorker) { w.dropsAnswers = true })
		b.changeWorker("b", func(w *fakeWorker) { w.dropsAnswers = true })
		b.submit("one", tasks(6))
		time.Sleep(8 * time.Second)
		b.is.Equal(b.workers.copied(), "")
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against a start that counts as refused although an earlier copy of the
// order was carried out.
func TestRefusalOfACopyProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.changeWorker("a", func(w *fakeWorker) { w.refusesCopies = true })
		b.submit("one", tasks(6))
		time.Sleep(300 * time.Millisecond)
		b.changeWorker("a", func(w *fakeWorker) { w.refusesCopies = false })
		time.Sleep(8 * time.Second)
		b.is.Equal(b.workers.copied(), "")
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against tasks that wait for a lease although their worker is known to
// have restarted, and against ends of its former incarnation that count for the
// new one.
func TestRestartedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(3 * time.Second)
		b.submit("one", tasks(2))
		time.Sleep(time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.refusesConnections = true })
		time.Sleep(300 * time.Millisecond)
		b.add("a", 2)
		time.Sleep(500 * time.Millisecond)
		b.is.Equal(len(b.workers.started()), 4) // both again, in the new incarnation
		time.Sleep(4 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against new tasks on a worker that announced that it is draining.
func TestDrainingWorkerGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.report("a", true)
		b.submit("one", tasks(6))
		time.Sleep(3 * time.Second)
		b.is.Equal(b.workers.worker("a").peakRuns, 0)
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against runs that continue after their job was cancelled.
func TestCancelStopsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(time.Minute)
		b.submit("one", tasks(3))
		time.Sleep(time.Second)
		_, ok := b.term().call(context.Background(), &cell.Call{Verb: cell.Cancel, Host: "h", Path: "/q/one", Key: "k"})
		b.is.True(ok)
		time.Sleep(1200 * time.Millisecond)
		b.is.Equal(len(b.workers.worker("a").running), 0)
		b.is.Equal(b.status("one"), job.Cancelled)
	})
}

// Guards against listings that do not wait while a run is being stopped: the
// loop spun and listed the runs of workers 29,838 times in one day (scenario
// scale-1 of rmpc-thies).
func TestListingsWaitWhileRunsAreStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(time.Minute)
		b.submit("one", tasks(3))
		time.Sleep(time.Second)
		before := b.workers.worker("a").listings
		_, ok := b.term().call(context.Background(), &cell.Call{Verb: cell.Cancel, Host: "h", Path: "/q/one", Key: "k"})
		b.is.True(ok)
		time.Sleep(2 * time.Second)
		b.is.True(b.workers.worker("a").listings-before < 20)
	})
}

// Guards against a leader that continues after its term, and against a new
// leader that starts tasks again that still run under the former one.
func TestNextTermTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.workers.setRunTime(4 * time.Second)
		b.submit("one", tasks(8))
		time.Sleep(time.Second)
		b.log.set(false, 2)
		time.Sleep(time.Second)
		b.is.True(b.term() == nil)
		b.log.set(true, 3)
		time.Sleep(6 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
		b.is.Equal(len(b.workers.started()), 8)
		b.is.Equal(b.workers.worker("a").fence, uint64(3)<<generationBits)
	})
}

// Guards against a leader that acts on a lease that has expired, as after a
// pause.
func TestNothingLeavesWithoutALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.log.mu.Lock()
		b.log.lease = -time.Millisecond
		b.log.mu.Unlock()
		go b.term().call(context.Background(), &cell.Call{
			Verb: cell.Submit, Host: "h", Path: "/q/one", Key: "k", Job: &job.Job{Steps: []job.Step{tasks(1)}},
		})
		time.Sleep(2 * time.Second)
		b.is.Equal(len(b.workers.started()), 0)
	})
}

// Guards against a leader that avoids all workers after a pause, because it saw
// no progress of their runs meanwhile (scenario trouble-1 of rmpc-thies).
func TestPausedLeaderSuspectsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(time.Minute)
		long := tasks(2)
		long.Estimate = b.workers.runTime // a wrong estimate would itself make the worker look slow
		b.submit("one", long)
		time.Sleep(time.Second)
		b.log.mu.Lock()
		b.log.lease = -time.Millisecond
		b.log.mu.Unlock()
		time.Sleep(6 * time.Second)
		current := b.term()
		current.mu.Lock()
		avoided := current.workers["a"].avoidedUntil
		current.mu.Unlock()
		b.is.True(avoided.IsZero())
	})
}

// Guards against a step that avoids a worker for good after one failed run
// there. It may be the only worker that can run the step (rule LOST).
func TestAvoidedOnlyForAWhile(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	s := &stepState{avoidUntil: map[string]time.Time{"a": at.Add(stepAvoidTime)}}
	is.True(s.avoidedWorkers(at)["a"])
	is.Equal(len(s.avoidedWorkers(at.Add(stepAvoidTime+time.Millisecond))), 0)
}

// Guards against a lease that is extended while the worker does not answer, so
// that its tasks could never start elsewhere, and against a computed expiry that
// is too early for a slow clock.
func TestLeaseStandsStillWithoutAnswers(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	w := newWorker(job.Worker{}, at)
	w.updateClock(time.UnixMilli(10_000), at)
	end := w.extendLease(at, 5*time.Second)
	is.Equal(end, time.UnixMilli(15_000))
	w.missed = 1
	is.Equal(w.extendLease(at.Add(3*time.Second), 5*time.Second), end)
	is.True(w.leaseExpiry().After(at.Add(5100 * time.Millisecond)))
	is.True(w.leaseExpiry().Before(at.Add(5400 * time.Millisecond)))
}

// Guards against a leader that commits a call, loses its lease before it answers
// and then says that it does not lead, which callers take for a call that was not
// carried out.
func TestLeaseOverBeforeTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		methods := handlers{}
		b.leader.Register(methods)
		go func() {
			time.Sleep(2 * time.Millisecond) // while the round is synced
			b.log.mu.Lock()
			defer b.log.mu.Unlock()
			b.log.lease = -time.Millisecond
		}()
		c := cell.Call{Verb: cell.Submit, Host: "h", Path: "/q/one", Key: "k", Job: &job.Job{Steps: []job.Step{tasks(1)}}}
		_, err := methods[cell.MethodCall](context.Background(), "entry", func(v any) error { *v.(*cell.Call) = c; return nil })
		var r *peer.RemoteError
		b.is.True(errors.As(err, &r))
		b.is.Equal(r.Code, cell.CodeUnsettled)
		b.is.Equal(b.status("one"), job.Queued)
		who, err := methods[cell.MethodWho](context.Background(), "entry", nil)
		b.is.NoErr(err)
		b.is.Equal(who.(cell.Leader).Name, "") // it cannot answer
	})
}

// Guards against preempting long-running tasks (rule AVAIL): their users would
// miss them, whatever else waits. Tasks that save checkpoints are preempted.
func TestLastingTasksAreNotStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(2 * time.Minute)
		lasting := tasks(2)
		lasting.Lasting, lasting.Checkpoints, lasting.Allowance = true, true, 1
		b.submit("lasting", lasting)
		saving := tasks(2)
		saving.Checkpoints, saving.Estimate = true, b.workers.runTime
		b.submit("saving", saving)
		time.Sleep(time.Second)
		b.is.Equal(len(b.workers.worker("a").running), 4) // as many as there are processors
		urgent := tasks(4)
		urgent.Estimate = b.workers.runTime
		b.submitTo("/u/", "urgent", urgent)
		time.Sleep(5 * time.Second)
		running := map[job.ID]int{}
		for id := range b.workers.worker("a").running {
			running[id.Job]++
		}
		b.is.Equal(running, map[job.ID]int{"lasting": 2, "urgent": 2})
	})
}

// Guards against a new leader that fills a worker before it knows what runs there:
// the worker had reported itself, but not yet listed a run that the former leader
// had given up (rule LIMIT).
func TestNewLeaderLooksBeforeItStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.changeWorker("a", func(w *fakeWorker) {
			w.running[job.TaskID{Job: "forgotten"}] = &fakeRun{run: 1, began: time.Now(), ends: time.Now().Add(time.Minute)}
			w.lease, w.hidesRuns = b.workers.clock(w).Add(time.Minute), true
		})
		b.log.set(false, 2)
		time.Sleep(100 * time.Millisecond)
		b.log.set(true, 3)
		time.Sleep(2 * time.Second) // the worker reports itself meanwhile
		b.submit("one", tasks(4))
		time.Sleep(2 * time.Second)
		b.is.Equal(len(b.workers.started()), 0)
		b.changeWorker("a", func(w *fakeWorker) { w.hidesRuns = false })
		time.Sleep(6 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
		b.is.True(b.workers.worker("a").peakRuns <= 4)
	})
}

// Guards against a worker that is filled while it may still carry out starts that
// were given up (rule LIMIT).
func TestGivenUpStartsTakeNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(5 * time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.delaysStarts = true })
		s := tasks(4)
		s.Copies = true
		b.submit("one", s)
		time.Sleep(450 * time.Millisecond) // given up, but not answered
		_, ok := b.term().call(context.Background(), &cell.Call{Verb: cell.Cancel, Host: "h", Path: "/q/one", Key: "k"})
		b.is.True(ok)
		b.submit("two", tasks(4))
		b.changeWorker("a", func(w *fakeWorker) { w.delaysStarts = false })
		time.Sleep(3 * time.Second)
		b.is.Equal(len(b.workers.worker("a").running), 4)
		b.workers.carryOutLate("a")
		b.is.Equal(b.workers.worker("a").peakRuns, 4)
	})
}

// Guards against starts that are decided under limits which the same round replaces
// (rule QUOTA).
func TestNoStartsUnderReplacedLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.changeWorker("a", func(w *fakeWorker) { w.hidesRuns = true })
		b.add("b", 1)
		current := b.term()
		var lower job.Catalogue
		b.state.View(func(v *job.View) { lower = *v.Catalogue })
		lower.Version = 2
		lower.Workspaces = []job.Workspace{{Name: "depot", Keys: []string{"k"}, Limit: work.Resources{Processors: 1000}}}
		current.mu.Lock()
		j := job.Job{ID: "one", Host: "h", Prefix: "/q/", Workspace: "depot", Steps: []job.Step{tasks(3)}}
		current.workers["a"].listed, current.workers["b"].listed = false, false
		submitted := current.enqueue(func(n *inbox) { n.submits = append(n.submits, j) })
		current.mu.Unlock()
		b.is.True(<-submitted)
		current.mu.Lock()
		current.workers["b"].listed = true // the task could start with the next round
		applied := current.enqueue(func(n *inbox) { n.catalogue = &lower })
		current.mu.Unlock()
		b.is.True(<-applied)
		time.Sleep(500 * time.Millisecond)
		b.is.Equal(b.workers.worker("a").peakRuns+b.workers.worker("b").peakRuns, 1)
	})
}

// Guards against an answer of the advice service about a job that is over: it once
// ended the leader's process, since an end that came late had made the record of the
// step anew (scenario freeze-in-late of nwp-coop-grown). The record must not stay.
func TestAdviceAboutAJobThatIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.submit("one", tasks(1))
		current := b.term()
		d := &fit.Demand{Step: job.StepID{Job: "one"}}
		q := &job.Advised{Expiry: time.Second}
		current.mu.Lock()
		s := current.step(d.Step)
		s.advice.Queries++
		current.mu.Unlock()
		time.Sleep(2 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
		current.mu.Lock()
		made := current.step(d.Step)
		current.recordAdvice(made, fit.Query{Demand: d, Workers: []string{"a"}}, q, cell.Advice{}, current.now())
		current.mu.Unlock()
		current.sendQuery(s, fit.Query{Demand: d, Workers: []string{"a"}}, &adviceClient{name: "entry"}, q, current.now())
		b.is.Equal(made.advice.Queries, 0) // the query belonged to the former record
		time.Sleep(2 * stepCheckInterval)
		current.mu.Lock()
		defer current.mu.Unlock()
		b.is.Equal(len(current.steps), 0)
	})
}
