package dispatch

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	crashDelay = 10 * time.Millisecond   // from the start of a task that crashes its worker to the crash
	crashTime  = 3300 * time.Millisecond // a worker that crashed is back after this
	// maxKillerStarts is how often a task may start that crashes its workers: less than
	// three times after three workers have crashed under it.
	maxKillerStarts = 5
)

// crashing has the tasks of a job crash each worker that starts them. A worker is back
// under another ID at the same address.
func (b *testCluster) crashing(match func(job.TaskID) bool) {
	b.workers.mu.Lock()
	defer b.workers.mu.Unlock()
	b.workers.onStart = func(worker string, o StartOrder) {
		if match(o.Task) {
			time.AfterFunc(crashDelay, func() { b.crash(worker, crashTime) })
		}
	}
}

// crash ends an incarnation of a worker. After a time another one is at its address.
func (b *testCluster) crash(id string, down time.Duration) {
	b.workers.mu.Lock()
	defer b.workers.mu.Unlock()
	w := b.workers.all[id]
	if w.refusesConnections {
		return
	}
	w.refusesConnections, w.running = true, map[job.TaskID]*fakeRun{}
	life := w.life
	b.workers.breakGang()
	time.AfterFunc(down, func() {
		b.changeWorker(id, func(w *fakeWorker) { w.replaced = true })
		b.add(fmt.Sprintf("%s-%d", strings.Split(id, "-")[0], life+1), life+1)
	})
}

// breakGang ends the runs of the gang, one of whose members was on a worker that crashed.
func (h *fakeWorkers) breakGang() {
	for _, w := range h.all {
		for id, r := range w.running {
			if id.Job == h.gang {
				h.end(w, id, r, job.GangBroken)
			}
		}
	}
}

// startsOf returns how often a task was started.
func (b *testCluster) startsOf(task job.TaskID) int {
	n := 0
	for _, s := range b.workers.started() {
		if strings.HasPrefix(s, task.String()+" ") {
			n++
		}
	}
	return n
}

// Guards against a task that crashes one worker after another (rule BUDGET): a run that
// ended with its worker counted as if it had never been, and its task started again
// next to others.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b", "c", "d")
		defer b.close()
		killer := job.TaskID{Job: "killer"}
		b.crashing(func(id job.TaskID) bool { return id == killer })
		b.submit("one", tasks(6))
		b.submit("killer", tasks(2))
		b.submit("two", tasks(6))
		time.Sleep(20 * time.Second)
		b.is.Equal(b.status("killer"), job.Failed)
		b.is.True(b.startsOf(killer) <= 3)
		b.is.Equal(b.status("one"), job.Completed)
		b.is.Equal(b.status("two"), job.Completed)
		b.is.Equal(b.workers.copied(), "")
	})
}

// Guards against jobs that are given up, or never done, because their workers crash again
// and again for another reason.
func TestCrashesOfWorkersFailNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b", "c", "d", "e", "f")
		defer b.close()
		for i := range 60 {
			b.submit(fmt.Sprint("job", i), tasks(2))
			time.Sleep(300 * time.Millisecond)
			if i%6 == 0 {
				b.crashOne(i)
			}
		}
		time.Sleep(30 * time.Second)
		for i := range 60 {
			b.is.Equal(b.status(fmt.Sprint("job", i)), job.Completed)
		}
		b.is.Equal(b.workers.copied(), "")
	})
}

// crashOne crashes one of the workers that are up.
func (b *testCluster) crashOne(n int) {
	b.workers.mu.Lock()
	var ids []string
	for id, w := range b.workers.all {
		if !w.refusesConnections && !w.replaced {
			ids = append(ids, id)
		}
	}
	b.workers.mu.Unlock()
	slices.Sort(ids)
	b.crash(ids[n%len(ids)], crashTime)
}

// Guards against a job that is given up for the crash of an idle worker, which is not
// known yet when a trial is sent there and its connection breaks (rule LOST). Seen in
// hunt-6013-3 of bellerive-crates-grown.
func TestTrialOnADeadWorkerProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b", "c", "d")
		defer b.close()
		b.workers.setRunTime(700 * time.Millisecond)
		time.Sleep(time.Second)
		s := tasks(1)
		s.Copies = true
		b.submit("one", s)
		time.Sleep(150 * time.Millisecond)
		b.changeWorker("a", func(w *fakeWorker) { w.refusesConnections, w.running = true, map[job.TaskID]*fakeRun{} })
		time.Sleep(crashTime - 300*time.Millisecond)
		for _, id := range []string{"b", "c", "d"} {
			b.changeWorker(id, func(w *fakeWorker) { w.replaced, w.keptConnections = true, 1 })
		}
		time.Sleep(300 * time.Millisecond)
		b.restart("a", 2)
		b.changeWorker("a", func(w *fakeWorker) { w.hidesRuns = true }) // so it gets no tasks
		b.report("a", false)
		time.Sleep(3 * time.Second)
		b.add("e", 1)
		time.Sleep(20 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against copies of a task that crashes its workers: each silent worker was a reason
// to start the next copy, before anything was known of the crash (issue 28).
func TestCopiesOfACrashingTaskWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b", "c", "d")
		defer b.close()
		b.crashing(func(id job.TaskID) bool { return id.Job == "killer" })
		s := tasks(1)
		s.Copies = true
		b.submit("killer", s)
		time.Sleep(20 * time.Second)
		b.is.Equal(b.status("killer"), job.Failed)
		b.is.Equal(b.startsOf(job.TaskID{Job: "killer"}), 2)
	})
}

// Guards against a leader that knows nothing of the crashes that its predecessor saw, or
// that happened while nobody led.
func TestNextTermCountsCrashes(t *testing.T) {
	for name, change := range map[string]time.Duration{"after the crash": time.Second, "before the first answer": 5 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestCluster(t, "a", "b", "c", "d")
				defer b.close()
				b.crashing(func(id job.TaskID) bool { return id.Job == "killer" })
				b.submit("killer", tasks(1))
				for term := uint64(2); term < 8; term += 2 {
					time.Sleep(change)
					b.log.set(false, term)
					time.Sleep(500 * time.Millisecond)
					b.log.set(true, term+1)
					time.Sleep(4 * time.Second)
				}
				time.Sleep(15 * time.Second)
				b.is.Equal(b.status("killer"), job.Failed)
				b.is.True(b.startsOf(job.TaskID{Job: "killer"}) <= maxKillerStarts)
			})
		})
	}
}

// Guards against a task that is started on one worker after another because none of them
// is back before the lease of its run is over.
func TestCrashIsCountedWhenTheWorkerIsBackLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b", "c", "d", "e", "f")
		defer b.close()
		killer := job.TaskID{Job: "killer"}
		b.workers.onStart = func(worker string, o StartOrder) {
			if o.Task == killer {
				time.AfterFunc(crashDelay, func() { b.crash(worker, 9*time.Second) })
			}
		}
		b.submit("killer", tasks(1))
		time.Sleep(40 * time.Second)
		b.is.Equal(b.status("killer"), job.Failed)
		b.is.True(b.startsOf(killer) <= maxKillerStarts)
	})
}

// Guards against a worker that was only cut off, or that left, and is taken for one that
// its latest task has crashed.
func TestCutOffOrLeavingWorkerIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b")
		defer b.close()
		b.workers.setRunTime(30 * time.Second)
		b.submit("one", tasks(1))
		for range 4 {
			time.Sleep(100 * time.Millisecond)
			w := b.busyWorker()
			b.changeWorker(w, func(w *fakeWorker) { w.silent = true })
			time.Sleep(7 * time.Second)
			b.changeWorker(w, func(w *fakeWorker) { w.silent = false })
			time.Sleep(3 * time.Second)
		}
		b.is.Equal(b.status("one"), job.Running)
		w := b.busyWorker()
		b.report(w, true)
		time.Sleep(200 * time.Millisecond)
		b.crash(w, 2*time.Second)
		time.Sleep(5 * time.Second)
		b.is.Equal(b.status("one"), job.Running)
		b.state.View(func(v *job.View) {
			_, _, task := v.Find(job.TaskID{Job: "one"})
			for _, c := range task.Crashes.Crashes {
				b.is.True(!c.Evidence.Confirmed)
			}
		})
	})
}

// Guards against work that is placed beside a task that may crash its worker again.
func TestTrialIsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b", "c")
		defer b.close()
		killer := job.TaskID{Job: "killer"}
		beside := -1
		b.workers.onStart = func(worker string, o StartOrder) {
			if o.Task == killer {
				if o.Run > 1 {
					beside = len(b.workers.all[worker].running) - 1
				}
				time.AfterFunc(crashDelay, func() { b.crash(worker, crashTime) })
			}
		}
		b.submit("killer", tasks(1))
		for i := range 30 {
			time.Sleep(300 * time.Millisecond)
			b.submit(fmt.Sprint("job", i), tasks(2))
		}
		time.Sleep(10 * time.Second)
		b.is.Equal(b.status("killer"), job.Failed)
		b.is.Equal(beside, 0)
		for i := range 30 {
			b.is.Equal(b.status(fmt.Sprint("job", i)), job.Completed)
		}
	})
}

// Guards against a gang of which one member crashes its workers and that is started anew
// each time.
func TestGangThatCrashesWorkersIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b", "c", "d", "e")
		defer b.close()
		killer := job.TaskID{Job: "killer", Index: 1}
		b.crashing(func(id job.TaskID) bool { return id == killer })
		b.workers.setRunTime(10 * time.Second)
		b.workers.gang = "killer"
		s := tasks(3)
		s.Gang, s.Size.Processors = true, 3000
		b.submit("killer", s)
		b.submit("one", tasks(4))
		time.Sleep(30 * time.Second)
		b.is.Equal(b.status("killer"), job.Failed)
		b.is.True(b.startsOf(killer) <= 3)
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// crashAll crashes all workers that are up.
func (b *testCluster) crashAll(down time.Duration) {
	b.workers.mu.Lock()
	var ids []string
	for id, w := range b.workers.all {
		if !w.refusesConnections && !w.replaced {
			ids = append(ids, id)
		}
	}
	b.workers.mu.Unlock()
	for _, id := range ids {
		b.crash(id, down)
	}
}

// workerNames returns n names of workers.
func workerNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("%c%c", 'a'+i/10, 'a'+i%10))
	}
	return names
}

// longestTrialWait is how long a task may wait after the workers are back for which there is
// room: a round, the time for which other steps avoid its worker, and the longest trial.
const longestTrialWait = 3 * time.Second

// Guards against jobs that are given up, or wait for trials, because all workers crash again
// and again (rule LOST, review/5).
func TestCrashesOfAllWorkersFailNoJob(t *testing.T) {
	for name, jobs := range map[string]int{"idle pool": 12, "busy pool": 160} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestCluster(t, workerNames(35)...)
				defer b.close()
				b.workers.setRunTime(700 * time.Millisecond)
				lasting := tasks(6)
				lasting.Lasting = true
				for i := range 4 {
					b.submit(fmt.Sprint("lasting", i), lasting)
				}
				for i := range 3 {
					time.AfterFunc(3*time.Second+time.Duration(i)*2*time.Second, func() { b.crashAll(1500 * time.Millisecond) })
				}
				for i := range jobs {
					b.submitTo("/u/", fmt.Sprint("job", i), tasks(6))
					time.Sleep(12 * time.Second / time.Duration(jobs))
				}
				time.Sleep(longestTrialWait)
				for i := range jobs {
					b.is.Equal(b.status(fmt.Sprint("job", i)), job.Completed)
				}
				for i := range 4 {
					b.is.Equal(b.status(fmt.Sprint("lasting", i)), job.Running)
				}
				b.is.Equal(b.workers.copied(), "")
			})
		})
	}
}

// Guards against a job that is given up because idle workers, of whose crashes the leader
// hears later, crashed with the one of its trial (rule LOST, review/5).
func TestCrashWithIdleWorkersIsNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, workerNames(12)...)
		defer b.close()
		b.workers.setRunTime(5 * time.Second)
		var starts atomic.Int64
		b.workers.onStart = func(string, StartOrder) {
			if starts.Add(1) <= 4 {
				time.AfterFunc(200*time.Millisecond, func() { b.crashAll(1500 * time.Millisecond) })
			}
		}
		b.submit("one", tasks(1))
		time.Sleep(30 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
	})
}

// Guards against jobs whose tasks crash many workers at one time, such as those of a faulty
// image, and that go on because all workers seem to crash alike (rule BUDGET).
func TestJobsThatCrashWorkersTogetherAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, workerNames(12)...)
		defer b.close()
		for i := range 6 {
			b.changeWorker(workerNames(12)[i], func(w *fakeWorker) { w.processors = 1000 })
		}
		b.crashing(func(id job.TaskID) bool { return strings.HasPrefix(string(id.Job), "killer") })
		term, s := b.term(), tasks(1)
		for i := range 10 {
			go term.call(context.Background(), &cell.Call{
				Verb: cell.Submit, Host: "h", Path: fmt.Sprint("/q/killer", i), Key: "k", Job: &job.Job{Steps: []job.Step{s}},
			})
		}
		time.Sleep(40 * time.Second)
		for i := range 10 {
			b.is.Equal(b.status(fmt.Sprint("killer", i)), job.Failed)
			b.is.True(b.startsOf(job.TaskID{Job: job.ID(fmt.Sprint("killer", i))}) <= maxKillerStarts)
		}
	})
}

// Guards against a task that goes on crashing workers because half of the pool is cut off, and
// counts as crashed at the same time (rule BUDGET).
func TestCutOffWorkersClearNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, workerNames(12)...)
		defer b.close()
		b.workers.setRunTime(40 * time.Second)
		s := tasks(12)
		s.Size.Processors, s.Spread = 100, 1
		b.submit("one", s)
		time.Sleep(time.Second)
		for _, w := range workerNames(12)[:9] {
			b.changeWorker(w, func(w *fakeWorker) { w.silent = true })
		}
		time.Sleep(time.Second)
		killer := job.TaskID{Job: "killer"}
		b.crashing(func(id job.TaskID) bool { return id == killer })
		b.submit("killer", tasks(1))
		time.Sleep(40 * time.Second)
		b.is.Equal(b.status("killer"), job.Failed)
		b.is.True(b.startsOf(killer) <= 3)
	})
}

// Guards against a job that is given up because its next worker crashes, for another reason and
// long after the start, while there is no leader: the new one took the crash for one at the start
// (rule LOST, seed 9111 of the soak).
func TestCrashBetweenTwoTermsProvesLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b", "c", "d")
		defer b.close()
		b.workers.setRunTime(6 * time.Second)
		var starts atomic.Int64
		var second atomic.Value // name of the worker
		b.workers.onStart = func(worker string, _ StartOrder) {
			switch starts.Add(1) {
			case 1:
				time.AfterFunc(crashDelay, func() { b.crash(worker, crashTime) })
			case 2:
				second.Store(worker)
			}
		}
		b.submit("one", tasks(1))
		time.Sleep(6 * time.Second)
		b.is.Equal(starts.Load(), int64(2))
		b.log.set(false, 2)
		b.crash(second.Load().(string), 1500*time.Millisecond)
		time.Sleep(time.Second)
		b.log.set(true, 3)
		time.Sleep(20 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
	})
}
