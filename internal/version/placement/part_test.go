package placement_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/placement"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

func (c *cluster) workers(prefix string, n int, capacity work.Resources) {
	for i := range n {
		c.Worker(work.Worker{Name: fmt.Sprint(prefix, i), Zone: fmt.Sprint("z", i%3), Rack: fmt.Sprint("r", i/6), Boot: 1, Capacity: capacity}, c.now)
	}
}

func (c *cluster) submit(team string, class work.Class, r work.Resources, n int, declared time.Duration) work.JobID {
	j := work.Job{Entry: "e-" + string(class), Team: team, Size: r, Submitted: c.now}
	if declared > 0 {
		j.Finish = c.now.Add(declared)
	}
	return c.Submit(j, n)
}

// places returns the workers on which the tasks of a job run.
func (c *cluster) places(id work.JobID) (list []string) {
	for _, t := range c.Jobs[id].Tasks {
		if t.Worker != "" {
			list = append(list, t.Worker)
		}
	}
	return list
}

// advance lets time pass in steps. Batch and gang runs end after their run
// time.
func (c *cluster) advance(d, step time.Duration, run func(*work.Job) time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(step) {
		for _, id := range c.running() {
			j := c.Jobs[id.Job]
			if t := c.Task(id); j.Class != work.Service && c.now.Sub(t.Started) >= run(j) {
				c.End(id, work.OutcomeSucceeded, c.now)
			}
		}
		c.obeyStops()
		c.decideAndApply(1000)
	}
}

func fixedRunTime(d time.Duration) func(*work.Job) time.Duration {
	return func(*work.Job) time.Duration { return d }
}

// Each part of the policy prevents one failure. Its scenario reports whether
// the failure is prevented, and must report that it is not when the part is
// disabled.
var policyParts = []struct {
	name, failure string
	off           placement.Off
	scenario      func(c *cluster) bool
}{
	{"spread", "all tasks of a service lost with one rack", placement.Off{Spread: true}, func(c *cluster) bool {
		c.workers("w", 12, size(16, 16, 0))
		id := c.submit("a", work.Service, size(2, 2, 0), 6, 0)
		c.settle()
		racks := map[string]int{}
		for _, w := range c.places(id) {
			racks[c.Workers[w].Zone+c.Workers[w].Rack]++
		}
		return len(racks) == 6
	}},
	{"pack", "small tasks that leave no worker free for a large one", placement.Off{Pack: true}, func(c *cluster) bool {
		c.workers("w", 4, size(8, 8, 0))
		for range 4 {
			c.submit("a", work.Batch, size(2, 2, 0), 1, time.Hour)
			c.settle()
		}
		id := c.submit("a", work.Batch, size(8, 8, 0), 3, time.Hour)
		c.settle()
		return len(c.places(id)) == 3
	}},
	{"accelerators", "accelerator machines filled with work that needs none", placement.Off{Accelerators: true}, func(c *cluster) bool {
		c.workers("w", 2, size(8, 8, 0))
		c.workers("x", 1, size(8, 8, 8))
		id := c.submit("a", work.Batch, size(4, 4, 0), 2, time.Hour)
		c.settle()
		return !slices.Contains(c.places(id), "x0")
	}},
	{"fairness", "a team that queues first and takes the whole pool", placement.Off{Fairness: true}, func(c *cluster) bool {
		c.Team(work.Team{Name: "b", Weight: 3})
		c.workers("w", 2, size(8, 8, 0))
		c.submit("a", work.Batch, size(1, 1, 0), 2000, time.Hour)
		c.advance(time.Second, time.Second, fixedRunTime(time.Hour))
		c.submit("b", work.Batch, size(1, 1, 0), 2000, time.Hour)
		c.advance(time.Hour, 30*time.Second, fixedRunTime(5*time.Minute))
		return c.Running["b"] >= 10 && c.Running["a"] >= 3
	}},
	{"ageing", "a team above its share that never gets a start", placement.Off{Ageing: true}, func(c *cluster) bool {
		c.workers("w", 2, size(8, 8, 0))
		c.submit("a", work.Service, size(1, 1, 0), 10, 0)
		c.settle()
		c.submit("b", work.Batch, size(1, 1, 0), 5000, time.Hour)
		c.advance(time.Second, time.Second, fixedRunTime(time.Hour))
		id := c.submit("a", work.Batch, size(1, 1, 0), 1, time.Hour)
		c.advance(2*time.Hour, 30*time.Second, fixedRunTime(5*time.Minute))
		return c.Jobs[id].State == work.JobSucceeded
	}},
	{"reservation", "a gang that small work starves", placement.Off{Reservation: true}, func(c *cluster) bool {
		c.workers("w", 4, size(8, 8, 0))
		for range 500 {
			c.submit("a", work.Batch, size(3, 3, 0), 1, 5*time.Minute)
		}
		c.settle()
		id := c.submit("b", work.Gang, size(8, 8, 0), 3, time.Minute)
		c.advance(time.Hour, 10*time.Second, func(j *work.Job) time.Duration { return time.Duration(3+j.ID%3) * time.Minute })
		return c.Jobs[id].State == work.JobSucceeded
	}},
	{"quota", "a gang that small work of its own team starves at the team's limit", placement.Off{Reservation: true}, func(c *cluster) bool {
		c.Team(work.Team{Name: "a", Weight: 1, Limit: size(12, 0, 0)})
		c.workers("w", 4, size(8, 8, 0))
		for range 600 {
			c.submit("a", work.Batch, size(1, 1, 0), 1, 5*time.Minute)
		}
		c.settle()
		id := c.submit("a", work.Gang, size(5, 5, 0), 2, time.Minute)
		c.advance(time.Hour, 10*time.Second, func(j *work.Job) time.Duration { return time.Duration(3+j.ID%3) * time.Minute })
		return c.Jobs[id].State == work.JobSucceeded && c.Running["a"] == 12
	}},
	{"backfill", "reserved capacity that stays idle, or a gang delayed by long work", placement.Off{Backfill: true}, func(c *cluster) bool {
		c.workers("w", 2, size(8, 8, 0))
		c.submit("a", work.Batch, size(8, 8, 0), 1, time.Hour)
		c.settle()
		c.submit("b", work.Gang, size(8, 8, 0), 2, time.Minute)
		c.settle()
		long := c.submit("c", work.Batch, size(4, 4, 0), 1, 2*time.Hour)
		c.settle()
		short := c.submit("c", work.Batch, size(4, 4, 0), 1, time.Minute)
		c.settle()
		return len(c.places(short)) == 1 && len(c.places(long)) == 0
	}},
	{"preemption", "urgent work that waits behind long batch work", placement.Off{Preemption: true}, func(c *cluster) bool {
		c.workers("w", 2, size(8, 8, 0))
		c.submit("a", work.Batch, size(2, 2, 0), 100, time.Hour)
		c.settle()
		id := c.Submit(work.Job{Entry: "e-batch", Team: "b", Urgent: true, Size: size(4, 4, 0), Submitted: c.now}, 1)
		c.advance(6600*time.Millisecond, time.Second, fixedRunTime(time.Hour))
		return len(c.places(id)) == 1
	}},
	{"sizes", "capacity held back for declared sizes that nobody uses", placement.Off{Sizes: true}, func(c *cluster) bool {
		c.workers("w", 2, size(8000, 8000, 0))
		c.submit("a", work.Batch, size(4000, 4000, 0), 200, time.Minute)
		for range 30 {
			c.settle()
			for _, id := range c.running() {
				k := c.Task(id)
				c.scheduler.Report(k.Worker, []work.Usage{{Task: id, Token: k.Token, Used: size(800, 800, 0), At: c.now}}, c.now)
			}
			c.advance(time.Minute, 30*time.Second, fixedRunTime(time.Minute))
		}
		c.submit("a", work.Batch, size(4000, 4000, 0), 200, time.Minute)
		c.settle()
		return len(c.running()) >= 12
	}},
	{"times", "backfill that trusts declared run times", placement.Off{Times: true}, func(c *cluster) bool {
		c.workers("w", 2, size(8, 8, 0))
		c.submit("c", work.Batch, size(4, 4, 0), 20, 8*time.Hour)
		c.advance(20*time.Minute, 30*time.Second, fixedRunTime(time.Minute))
		c.submit("a", work.Batch, size(8, 8, 0), 1, time.Hour)
		c.settle()
		c.submit("b", work.Gang, size(8, 8, 0), 2, time.Minute)
		c.settle()
		id := c.submit("c", work.Batch, size(4, 4, 0), 1, 8*time.Hour)
		c.settle()
		return len(c.places(id)) == 1
	}},
	{"health", "a worker that fails every task and so attracts all of them", placement.Off{Health: true}, func(c *cluster) bool {
		c.workers("w", 3, size(8, 8, 0))
		for range 200 {
			c.submit("a", work.Batch, size(2, 2, 0), 1, time.Minute)
		}
		failed := 0
		for range 100 {
			c.settle()
			for _, id := range c.running() {
				if c.Task(id).Worker == "w1" {
					failed++
					c.End(id, work.OutcomeFailed, c.now)
				}
			}
			c.advance(10*time.Second, 10*time.Second, fixedRunTime(20*time.Second))
		}
		return c.scheduler.Quarantined("w1") && failed < 20
	}},
	{"refusal", "a job that waits for a worker that cannot exist", placement.Off{Refusal: true}, func(c *cluster) bool {
		id := c.submit("a", work.Batch, size(9, 8, 0), 1, time.Hour)
		if len(c.settle()) != 0 { // no worker is known yet
			return false
		}
		c.workers("w", 1, size(8, 8, 0))
		c.settle()
		return c.Jobs[id].State == work.JobFailed && c.Jobs[id].Reason != ""
	}},
}

func TestEachPartPreventsItsFailure(t *testing.T) {
	for _, p := range policyParts {
		t.Run(p.name, func(t *testing.T) {
			run := func(o placement.Off) bool {
				c := newCluster(placement.Options{Off: o}, t.Fatalf)
				c.addTeamsAndEntries()
				return p.scenario(c)
			}
			if !run(placement.Off{}) {
				t.Errorf("not prevented: %s", p.failure)
			}
			if run(p.off) {
				t.Errorf("the scenario passes with the part switched off: %s", p.failure)
			}
		})
	}
}

// Guards against a gang that can never start because of its team's services and
// also holds back the team's batch jobs.
func TestGangThatCannotStartHoldsNothingBack(t *testing.T) {
	is := is.New(t)
	c := newCluster(placement.Options{}, t.Fatalf)
	c.addTeamsAndEntries()
	c.Team(work.Team{Name: "a", Weight: 1, Limit: size(12, 0, 0)})
	c.workers("w", 4, size(8, 8, 0))
	c.submit("a", work.Service, size(6, 6, 0), 1, 0)
	c.settle()
	c.submit("a", work.Gang, size(4, 4, 0), 2, time.Minute)
	c.advance(time.Minute, time.Second, fixedRunTime(time.Hour))
	id := c.submit("a", work.Batch, size(2, 2, 0), 3, time.Minute)
	c.advance(time.Minute, time.Second, fixedRunTime(time.Hour))
	is.Equal(len(c.places(id)), 3)
}

// Guards against blaming workers for the failures of a job, which would
// quarantine healthy workers.
func TestFaultyJobIsRefusedAndWorkersStay(t *testing.T) {
	is := is.New(t)
	c := newCluster(placement.Options{}, t.Fatalf)
	c.addTeamsAndEntries()
	c.workers("w", 6, size(8, 8, 0))
	c.submit("a", work.Batch, size(8, 8, 0), 6, time.Minute)
	c.advance(2*time.Minute, 30*time.Second, fixedRunTime(time.Minute))
	id := c.submit("b", work.Batch, size(2, 2, 0), 1, time.Minute)
	for range 10 {
		c.settle()
		for _, k := range c.running() {
			c.End(k, work.OutcomeFailed, c.now)
		}
	}
	is.Equal(c.Jobs[id].State, work.JobFailed)
	is.True(strings.Contains(c.Jobs[id].Reason, "fine with other jobs"))
	is.Equal(c.Jobs[id].Failures, uint32(3))
	is.Equal(c.scheduler.Stats().Quarantined, 0)
}

// Guards against a repaired worker that stays quarantined, and against trials
// in quick succession on a broken one.
func TestWorkerSetAsideGetsTrialsAtGrowingIntervals(t *testing.T) {
	is := is.New(t)
	c := newCluster(placement.Options{Trial: time.Minute}, t.Fatalf)
	c.addTeamsAndEntries()
	c.workers("w", 2, size(8, 8, 0))
	for range 400 {
		c.submit("a", work.Batch, size(4, 4, 0), 1, time.Minute)
	}
	var trials []time.Time
	for range 200 {
		for _, d := range c.settle() {
			if d.Reason == placement.ReasonTrial {
				trials = append(trials, c.now)
			}
		}
		for _, id := range c.running() {
			if c.Task(id).Worker == "w1" && len(trials) < 4 {
				c.End(id, work.OutcomeFailed, c.now)
			}
		}
		c.advance(5*time.Second, 5*time.Second, fixedRunTime(20*time.Second))
	}
	is.Equal(len(trials), 4)
	for i := 2; i < 4; i++ {
		is.True(trials[i].Sub(trials[i-1]) > trials[i-1].Sub(trials[i-2])*3/2)
	}
	is.True(!c.scheduler.Quarantined("w1")) // the fourth trial succeeded
}

// Guards against victims that ignore the request for a checkpoint: they are
// throttled, then stopped.
func TestPreemptionEscalates(t *testing.T) {
	is := is.New(t)
	c := newCluster(placement.Options{}, t.Fatalf)
	c.addTeamsAndEntries()
	c.workers("w", 1, size(8, 8, 0))
	c.submit("a", work.Batch, size(4, 4, 0), 2, time.Hour)
	c.settle()
	c.Submit(work.Job{Entry: "e-batch", Team: "b", Urgent: true, Size: size(3, 3, 0), Submitted: c.now}, 1)
	d := c.decideAndApply(10)
	is.Equal(len(d), 1)
	is.Equal(len(d[0].Stops), 1) // the fewest victims
	is.Equal(d[0].Stops[0].Mode, work.StopCheckpoint)
	is.Equal(len(c.scheduler.Throttles("w0")), 0)
	c.now = c.now.Add(2 * time.Second)
	c.decideAndApply(10)
	is.Equal(len(c.scheduler.Throttles("w0")), 1)
	c.now = c.now.Add(time.Second)
	d = c.decideAndApply(10)
	is.Equal(len(d), 1)
	is.Equal(d[0].Stops[0].Mode, work.StopKill)
	c.obeyStops()
	is.Equal(c.decideAndApply(10)[0].Reason, placement.ReasonClaimed)
	is.Equal(len(c.scheduler.Throttles("w0")), 0)
}

// Guards against a start that is proposed twice, and against one that is
// proposed again immediately after each rejection.
func TestProposalsWaitForAnAnswer(t *testing.T) {
	is := is.New(t)
	c := newCluster(placement.Options{Retry: time.Second}, t.Fatalf)
	c.addTeamsAndEntries()
	c.workers("w", 1, size(8, 8, 0))
	c.submit("a", work.Batch, size(4, 4, 0), 1, time.Hour)
	d := c.scheduler.Decide(c.now, 10)
	is.Equal(len(d), 1)
	is.Equal(len(c.scheduler.Decide(c.now, 10)), 0)
	c.scheduler.Reject(d[0], "test")
	is.Equal(len(c.scheduler.Decide(c.now, 10)), 0)
	is.Equal(len(c.scheduler.Decide(c.now.Add(time.Second), 10)), 1)
}

// Guards against runs that fail as oversized forever, and against sizes beyond
// the capacity of a worker.
func TestOversizedRunsGrowUpToTheWorker(t *testing.T) {
	is := is.New(t)
	c := newCluster(placement.Options{}, t.Fatalf)
	c.addTeamsAndEntries()
	c.workers("w", 1, size(8000, 8000, 0))
	id := c.submit("a", work.Batch, size(1000, 1000, 0), 1, time.Hour)
	last := int64(0)
	for range 20 {
		c.settle()
		for _, k := range c.running() {
			is.True(c.Task(k).Reserved.Memory > last)
			last = c.Task(k).Reserved.Memory
			c.End(k, work.OutcomeOversized, c.now)
		}
	}
	is.Equal(last, int64(8000))
	is.Equal(c.Jobs[id].State, work.JobFailed)
}

// Guards against refusing jobs only because all workers of a shape are
// temporarily absent.
func TestShapesAreRememberedForAWhile(t *testing.T) {
	is := is.New(t)
	c := newCluster(placement.Options{ShapeMemory: time.Hour}, t.Fatalf)
	c.addTeamsAndEntries()
	c.workers("w", 1, size(8, 8, 0))
	c.workers("x", 1, size(8, 8, 4))
	x := *c.Workers["x0"]
	x.Gone = true
	c.settle()
	c.Worker(x, c.now)
	id := c.submit("a", work.Batch, size(1, 1, 1), 1, time.Hour)
	c.settle()
	c.now = c.now.Add(50 * time.Minute)
	c.settle()
	is.Equal(c.Jobs[id].State, work.JobQueued)
	c.now = c.now.Add(11 * time.Minute)
	c.settle()
	is.Equal(c.Jobs[id].State, work.JobFailed)
}

// Guards against a worker bound to a team that runs other teams' jobs of
// entries that are not open.
func TestBoundWorkerTakesItsTeamAndOpenEntries(t *testing.T) {
	is := is.New(t)
	c := newCluster(placement.Options{}, t.Fatalf)
	c.addTeamsAndEntries()
	c.Entry(work.Entry{Name: "e-batch", Owner: "a", Class: work.Batch})
	c.Worker(work.Worker{Name: "w", Team: "a", Boot: 1, Capacity: size(8, 8, 0)}, c.now)
	c.Worker(work.Worker{Name: "small", Boot: 1, Capacity: size(1, 1, 0)}, c.now)
	other, own := c.submit("b", work.Batch, size(1, 1, 0), 3, 0), c.submit("a", work.Batch, size(1, 1, 0), 3, 0)
	c.settle()
	is.Equal(c.places(other), []string{"small"})
	is.Equal(len(c.places(own)), 3)
	c.Entry(work.Entry{Name: "e-batch", Owner: "a", Class: work.Batch, Open: true})
	c.workers("touch", 1, size(1, 1, 0)) // an event that reports free capacity
	c.Worker(*c.Workers["w"], c.now)
	c.settle()
	is.Equal(len(c.places(other)), 3)
}

// Guards against two gangs that each hold half of the pool, and against
// starvation of gangs and teams in a long run with a full pool.
func TestNobodyStarvesInALongRun(t *testing.T) {
	is := is.New(t)
	c := newCluster(placement.Options{}, t.Fatalf)
	c.addTeamsAndEntries()
	c.workers("w", 6, size(8, 8, 0))
	worst := map[string]time.Duration{}
	for i := range 2000 {
		team := []string{"a", "a", "a", "b", "c"}[i%5]
		if c.submit(team, work.Batch, size(int64(1+i%4), 2, 0), 2, 3*time.Minute); i%40 == 0 {
			c.submit([]string{"b", "c"}[i/40%2], work.Gang, size(6, 4, 0), 4, 2*time.Minute)
		}
		c.advance(10*time.Second, 10*time.Second, func(j *work.Job) time.Duration { return time.Duration(60+j.ID%120) * time.Second })
	}
	for _, j := range c.Jobs {
		begun := j.Tasks[0].Started
		if begun.IsZero() {
			begun = c.now
		}
		worst[j.Team+" "+string(j.Class)] = max(worst[j.Team+" "+string(j.Class)], begun.Sub(j.Submitted))
	}
	delete(worst, "a batch") // team a requests more than the capacity of the pool
	is.Equal(len(worst), 4)
	for name, d := range worst {
		t.Log(name, d)
		is.True(d < 40*time.Minute)
	}
	is.True(c.Running["a"] > 0)
}

// Guards against cancellations whose cost grows with the queue.
func TestCancellationCostsOnlyTheWave(t *testing.T) {
	is := is.New(t)
	cost := func(queue int) uint64 {
		f := newFleet(100, 400, 6)
		f.fill(6, queue)
		burst := make([]*work.Job, 200)
		for i := range burst {
			burst[i] = f.submit("team1", work.Batch, size(2000, 8*gib, 0), 1, false)
		}
		f.startTasks(1000)
		before := f.scheduler.Stats().Steps
		for _, j := range burst {
			f.scheduler.Observe(work.FinishEvent{Job: j})
		}
		f.startTasks(1000)
		return f.scheduler.Stats().Steps - before
	}
	is.True(cost(20000) < 2*cost(200))
}

// Guards against a wait without an explanation for the operator, and against
// options out of range.
func TestExplainAndOptions(t *testing.T) {
	is := is.New(t)
	c := newCluster(placement.Options{}, t.Fatalf)
	c.addTeamsAndEntries()
	c.Team(work.Team{Name: "a", Weight: 1, Tasks: 1})
	c.workers("w", 1, size(8, 8, 0))
	id := c.submit("a", work.Batch, size(1, 1, 0), 2, 0)
	c.settle()
	is.True(strings.Contains(c.scheduler.Explain(id, c.now), "team a runs 1 of at most 1 tasks"))
	id = c.submit("b", work.Batch, size(8, 8, 0), 1, 0)
	c.settle()
	is.True(strings.Contains(c.scheduler.Explain(id, c.now), "no worker has 8 millicores"))
	is.True(strings.Contains(c.scheduler.Explain(999, c.now), "no task that waits"))
	is.NoErr(placement.Options{}.Validate())
	is.True(placement.Options{Stop: time.Millisecond, SizeQuantile: 2}.Validate() != nil)
}

// Guards against a reason without an event for its log line.
func TestEveryReasonHasAnEvent(t *testing.T) {
	for _, r := range placement.Reasons() {
		if _, ok := event.Placement(r); !ok {
			t.Errorf("no event for %q", r)
		}
	}
}
