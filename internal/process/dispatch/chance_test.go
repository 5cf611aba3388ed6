package dispatch

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// poolSizes are the numbers of workers with which the verdicts on tasks are tested.
var poolSizes = []int{2, 5, 40}

// crashUnder crashes the worker of each of the first n runs of a job, at an age. It returns
// the name of the worker of the latest run.
func (b *testCluster) crashUnder(id job.ID, n int64, age time.Duration) *atomic.Value {
	var starts atomic.Int64
	var latest atomic.Value
	b.workers.mu.Lock()
	defer b.workers.mu.Unlock()
	b.workers.onStart = func(worker string, o StartOrder) {
		if o.Task.Job == id {
			latest.Store(worker)
			if starts.Add(1) <= n {
				time.AfterFunc(age, func() { b.crash(worker, crashTime) })
			}
		}
	}
	return &latest
}

// Guards against a new leader that times a run by the clock of its predecessor, which is
// ahead, takes a crash seconds after the start for one at the start, and gives the job up
// (rule LOST, seed 9111 of the soak).
func TestClockOfAnotherLeaderProvesNothing(t *testing.T) {
	type row struct {
		heard  bool // the new leader hears of the worker before it crashes
		behind time.Duration
	}
	for _, n := range poolSizes {
		for name, c := range map[string]row{
			"crash while nobody leads":          {false, 2600 * time.Millisecond},
			"crash in the new term":             {true, 2600 * time.Millisecond},
			"crash while nobody leads, far off": {false, 9 * time.Second},
			"crash in the new term, far off":    {true, 9 * time.Second},
		} {
			t.Run(fmt.Sprint(n, " workers, ", name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newTestCluster(t, workerNames(n)...)
					defer b.close()
					b.workers.setRunTime(8 * time.Second)
					latest := b.crashUnder("one", 1, crashDelay)
					b.submit("one", tasks(1))
					for b.startsOf(job.TaskID{Job: "one"}) < 2 {
						time.Sleep(10 * time.Millisecond)
					}
					time.Sleep(2500 * time.Millisecond)
					b.log.set(false, 2)
					b.stepped.Store(int64(-c.behind))
					if !c.heard {
						b.crash(latest.Load().(string), 1500*time.Millisecond)
					}
					time.Sleep(100 * time.Millisecond)
					b.log.set(true, 3)
					if c.heard {
						time.Sleep(20 * time.Millisecond)
						b.crash(latest.Load().(string), 1500*time.Millisecond)
					}
					time.Sleep(30 * time.Second)
					b.is.Equal(b.status("one"), job.Completed)
				})
			})
		}
	}
}

// Guards against a crash of all workers that counts against a trial whose worker had not been
// heard for a while, because other workers had runs that started much later and may have had
// its age if the crashes had been at other times (rule LOST, seed 5002 of the soak).
func TestRunsOfOtherAgesCrashInCommon(t *testing.T) {
	for _, n := range poolSizes {
		t.Run(fmt.Sprint(n, " workers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestCluster(t, workerNames(n)...)
				defer b.close()
				b.workers.setRunTime(5 * time.Second)
				latest := b.crashUnder("one", 1, 200*time.Millisecond)
				b.submit("one", tasks(1))
				for b.startsOf(job.TaskID{Job: "one"}) < 2 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(15 * time.Millisecond)
				b.changeWorker(latest.Load().(string), func(w *fakeWorker) { w.silent = true })
				time.Sleep(270 * time.Millisecond)
				beside := tasks(n - 1)
				beside.Size.Processors, beside.Spread = 2000, 1
				b.submit("beside", beside)
				time.Sleep(40 * time.Millisecond)
				b.crashAll(1500 * time.Millisecond)
				time.Sleep(30 * time.Second)
				b.is.Equal(b.status("one"), job.Completed)
				b.is.Equal(b.status("beside"), job.Completed)
			})
		})
	}
}

// Guards against a job that is given up because two workers crashed by chance at the starts of
// its runs, in a pool in which workers crash every few seconds (rule LOST).
func TestCrashesByChanceFailNoJob(t *testing.T) {
	for _, n := range poolSizes {
		t.Run(fmt.Sprint(n, " workers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestCluster(t, workerNames(n)...)
				defer b.close()
				crashes := b.crashOften(n)
				b.crashUnder("one", 2, crashDelay)
				b.submit("one", tasks(1))
				time.Sleep(40 * time.Second)
				crashes.Stop()
				time.Sleep(30 * time.Second)
				b.is.Equal(b.status("one"), job.Completed)
			})
		})
	}
}

// Guards against a job that is given up for two crashes by chance, because a new leader does not
// know how often workers crashed before (rule LOST, issue 45).
func TestNextTermKnowsTheRateOfCrashes(t *testing.T) {
	for _, n := range poolSizes {
		t.Run(fmt.Sprint(n, " workers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestCluster(t, workerNames(n)...)
				defer b.close()
				crashes := b.crashOften(n)
				b.crashUnder("one", 2, crashDelay)
				b.submit("one", tasks(1))
				for b.startsOf(job.TaskID{Job: "one"}) < 2 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(3500 * time.Millisecond) // the second crash is known, and no verdict given
				b.log.set(false, 2)
				time.Sleep(300 * time.Millisecond)
				b.log.set(true, 3)
				time.Sleep(40 * time.Second)
				crashes.Stop()
				time.Sleep(30 * time.Second)
				b.is.Equal(b.status("one"), job.Completed)
			})
		})
	}
}

// crashOften crashes each of n workers about every 16 s, for other reasons than its tasks.
func (b *testCluster) crashOften(n int) *time.Ticker {
	ticker := time.NewTicker(16 * time.Second / time.Duration(n))
	go func() {
		for range 40 * n / 16 {
			<-ticker.C
			b.crashOne(1)
		}
	}()
	time.Sleep(20 * time.Second)
	return ticker
}

// Guards against work that crashes its workers without end because workers crash anyway (rule
// BUDGET).
func TestKillerEndsWhereWorkersCrashAnyway(t *testing.T) {
	for _, n := range poolSizes {
		t.Run(fmt.Sprint(n, " workers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestCluster(t, workerNames(n)...)
				defer b.close()
				b.crashOften(n)
				killer := job.TaskID{Job: "killer"}
				b.crashing(func(id job.TaskID) bool { return id == killer })
				b.submit("killer", tasks(1))
				time.Sleep(60 * time.Second)
				b.is.Equal(b.status("killer"), job.Failed)
				b.is.True(b.startsOf(killer) <= maxKillerStarts)
			})
		})
	}
}

// Guards against work that crashes its workers without end because each of its crashes is taken for one in
// common with those beside it (rule BUDGET, issue 68).
func TestKillerEndsWhateverCrashesBeside(t *testing.T) {
	for _, n := range []int{2, 4, 5, 6} {
		for _, k := range []int{0, 2, 5, 7} {
			t.Run(fmt.Sprintf("%d workers, %d", n, k), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newTestCluster(t, workerNames(n)...)
					defer b.close()
					b.crashOften(n)
					time.Sleep(time.Duration(k) * 370 * time.Millisecond) // other workers have crashed last
					killer := job.TaskID{Job: "killer"}
					b.crashing(func(id job.TaskID) bool { return id == killer })
					b.submit("killer", tasks(1))
					time.Sleep(60 * time.Second)
					b.is.Equal(b.status("killer"), job.Failed)
					b.is.True(b.startsOf(killer) <= maxKillerStarts)
				})
			})
		}
	}
}

// Guards against work that crashes its workers and is cleared by the crash of an idle worker of
// long ago, whose record a new leader removes late (rule BUDGET, seed 9303 of the soak).
func TestLateFoundCrashLiesBeforeTheNextProcess(t *testing.T) {
	for name, c := range map[string]struct {
		known time.Duration // after the start of the term; zero if in an earlier one
	}{"known in this term": {time.Second}, "known in an earlier term": {0}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestCluster(t, "a")
				defer b.close()
				time.Sleep(5 * time.Second)
				term := b.term()
				old, next := newWorker(job.Worker{ID: "old"}, time.Now()), newWorker(job.Worker{ID: "next"}, time.Now())
				if c.known > 0 {
					next.knownAt = term.began.Add(c.known)
				}
				term.mu.Lock()
				defer term.mu.Unlock()
				term.workers["old"], term.workers["next"] = old, next
				b.is.Equal(term.lossOf(old, nil, nil).To, time.Now()) // nothing was heard at the address
				term.handleAnswer(next, Answer{Result: Accepted}, time.Now())
				delete(term.workers, "next")
				b.is.Equal(term.lossOf(old, nil, nil).To, term.began.Add(c.known))
				b.is.Equal(term.lossOf(next, nil, nil).To, time.Now())
				delete(term.workers, "old")
			})
		})
	}
}
