package placement_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/placement"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// fleet is a scheduler under load whose starts are confirmed at once. It
// bypasses the fake state, whose maps and checks would dominate the
// measurements.
type fleet struct {
	scheduler *placement.Scheduler
	now       time.Time
	index     uint64
	jobs      map[work.JobID]*work.Job
	running   []work.TaskID
}

const gib = 1 << 30

var benchScales = []struct{ workers, running, teams int }{{100, 400, 6}, {1000, 4000, 40}, {7800, 30000, 240}}

// newFleet builds a fleet of the given scale with running tasks, of which a
// fifth are services. One worker in eight has 8 accelerators.
func newFleet(workers, running, teams int) *fleet {
	f := &fleet{scheduler: placement.New(placement.Options{}), now: epoch, jobs: map[work.JobID]*work.Job{}}
	for i := range teams {
		f.scheduler.Observe(work.TeamEvent{Team: &work.Team{Name: fmt.Sprint("team", i), Weight: int64(1 + i%4)}})
	}
	for _, k := range classes {
		f.scheduler.Observe(work.EntryEvent{Entry: &work.Entry{Name: string(k), Class: k, Open: true, Owner: "team0"}})
	}
	for i := range workers {
		capacity := size(32000, 128*gib, 0)
		if i%8 == 0 {
			capacity = size(64000, 128*gib, 8)
		}
		f.scheduler.Observe(work.WorkerEvent{Worker: &work.Worker{Name: fmt.Sprint("w", i), Zone: fmt.Sprint("z", i%8),
			Rack: fmt.Sprint("r", i/40), Boot: 1, Capacity: capacity}})
	}
	for i := range running {
		k := work.Batch
		if i%5 == 0 {
			k = work.Service
		}
		f.submit(fmt.Sprint("team", i%teams), k, size(int64(1000+i%7*500), int64(2+i%9)*gib, 0), 1, false)
		if i%64 == 63 {
			f.startTasks(64)
		}
	}
	f.startTasks(running)
	return f
}

func (f *fleet) submit(team string, class work.Class, r work.Resources, n int, urgent bool) *work.Job {
	f.index++
	j := &work.Job{ID: work.JobID(f.index), Entry: string(class), Team: team, Class: class, Size: r, Urgent: urgent,
		Submitted: f.now, Finish: f.now.Add(10 * time.Minute), Tasks: make([]work.Task, n)}
	for i := range j.Tasks {
		j.Tasks[i] = work.Task{ID: work.TaskID{Job: j.ID, Index: uint32(i)}, State: work.TaskQueued}
	}
	f.jobs[j.ID] = j
	f.scheduler.Observe(work.SubmitEvent{Job: j})
	return j
}

func (f *fleet) startTasks(limit int) (n int) {
	for _, d := range f.scheduler.Decide(f.now, limit) {
		for _, s := range d.Starts {
			f.confirm(s)
			n++
		}
	}
	return n
}

func (f *fleet) confirm(s work.Start) {
	f.index++
	j := f.jobs[s.Task.Job]
	t := &j.Tasks[s.Task.Index]
	t.State, t.Worker, t.Token, t.Reserved, t.Started = work.TaskStarted, s.Worker, work.Token(f.index), s.Reserved, f.now
	f.scheduler.Observe(work.StartEvent{Job: j, Task: t})
	f.running = append(f.running, s.Task)
}

// endTask ends a running task and removes it from the list. The last task of a
// job also ends the job.
func (f *fleet) endTask(i int) {
	id := f.running[i]
	f.running[i] = f.running[len(f.running)-1]
	f.running = f.running[:len(f.running)-1]
	j := f.jobs[id.Job]
	t := &j.Tasks[id.Index]
	t.State = work.TaskEnded
	f.scheduler.Observe(work.EndEvent{Job: j, Task: t, Worker: t.Worker, Reserved: t.Reserved,
		Outcome: work.OutcomeSucceeded, At: f.now.Add(time.Minute)})
	for i := range j.Tasks {
		if j.Tasks[i].State != work.TaskEnded {
			return
		}
	}
	f.scheduler.Observe(work.FinishEvent{Job: j})
	delete(f.jobs, id.Job)
}

// fill submits batch jobs until the fleet is full, and then a queue of further
// ones.
func (f *fleet) fill(teams, queue int) {
	for range 100 {
		for i := range 4000 {
			f.submit(fmt.Sprint("team", i%teams), work.Batch, size(2000, 8*gib, 0), 1, false)
		}
		if f.startTasks(4000) < 4000 {
			break
		}
	}
	for i := range queue {
		f.submit(fmt.Sprint("team", i%teams), work.Batch, size(2000+int64(i%13)*100, 8*gib, 0), 1, false)
	}
	f.startTasks(1 << 20)
}

func runAtScales(b *testing.B, run func(b *testing.B, f *fleet, teams int)) {
	for _, c := range benchScales {
		b.Run(fmt.Sprintf("workers=%d", c.workers), func(b *testing.B) {
			f := newFleet(c.workers, c.running, c.teams)
			b.ReportAllocs()
			run(b, f, c.teams)
		})
	}
}

// benchDecide measures the decision that starts one job, without its submission
// and confirmation.
func benchDecide(b *testing.B, class work.Class, r work.Resources, n int, urgent bool) {
	runAtScales(b, func(b *testing.B, f *fleet, teams int) {
		names := make([]string, teams)
		for i := range names {
			names[i] = fmt.Sprint("team", i)
		}
		steps := f.scheduler.Stats().Steps
		i := 0
		for b.Loop() {
			b.StopTimer()
			f.now = f.now.Add(time.Millisecond)
			j := f.submit(names[i%teams], class, r, n, urgent)
			i++
			b.StartTimer()
			list := f.scheduler.Decide(f.now, 1)
			b.StopTimer()
			if len(list) != 1 || len(list[0].Starts) == 0 {
				b.Fatalf("no start: %v; %s", list, f.scheduler.Explain(j.ID, f.now))
			}
			for _, s := range list[0].Starts {
				f.confirm(s)
			}
			for len(j.Tasks) > 1 && len(f.running) > 0 && f.running[len(f.running)-1].Job == j.ID || n == 1 && f.jobs[j.ID] != nil {
				f.endLast(j)
			}
			b.StartTimer()
		}
		b.ReportMetric(float64(f.scheduler.Stats().Steps-steps)/float64(i), "steps/op")
	})
}

// endLast ends the last started task of j, and j with its last task.
func (f *fleet) endLast(j *work.Job) {
	id := f.running[len(f.running)-1]
	f.running = f.running[:len(f.running)-1]
	t := &j.Tasks[id.Index]
	t.State = work.TaskEnded
	f.scheduler.Observe(work.EndEvent{Job: j, Task: t, Worker: t.Worker, Reserved: t.Reserved, Outcome: work.OutcomeSucceeded, At: f.now})
	if len(f.running) == 0 || f.running[len(f.running)-1].Job != j.ID {
		f.scheduler.Observe(work.FinishEvent{Job: j})
		delete(f.jobs, j.ID)
	}
}

func BenchmarkDecideService(b *testing.B) {
	benchDecide(b, work.Service, size(1000, 2*gib, 0), 1, false)
}

func BenchmarkDecideBatch(b *testing.B) {
	benchDecide(b, work.Batch, size(2000, 4*gib, 0), 1, false)
}

func BenchmarkDecideGang(b *testing.B) {
	benchDecide(b, work.Gang, size(4000, 4*gib, 1), 16, false)
}

func BenchmarkDecideUrgent(b *testing.B) {
	benchDecide(b, work.Batch, size(2000, 4*gib, 0), 1, true)
}

// BenchmarkPreempt measures the selection of victims for an urgent task in a
// full fleet.
func BenchmarkPreempt(b *testing.B) {
	runAtScales(b, func(b *testing.B, f *fleet, teams int) {
		f.fill(teams, 1000)
		for b.Loop() {
			b.StopTimer()
			f.now = f.now.Add(time.Millisecond)
			j := f.submit("team1", work.Batch, size(8000, 24*gib, 0), 1, true)
			b.StartTimer()
			list := f.scheduler.Decide(f.now, 1)
			b.StopTimer()
			if len(list) != 1 || len(list[0].Stops) == 0 {
				b.Fatalf("no preemption: %v", list)
			}
			f.scheduler.Reject(list[0], "benchmark")
			f.scheduler.Observe(work.FinishEvent{Job: j})
			delete(f.jobs, j.ID)
			f.startTasks(1 << 20)
			b.StartTimer()
		}
	})
}

// BenchmarkEndAndReplace measures the end of a task in a full fleet with a
// queue of 50,000 jobs, and the decision that reuses its capacity, which
// selects a job by share among all teams.
func BenchmarkEndAndReplace(b *testing.B) {
	runAtScales(b, func(b *testing.B, f *fleet, teams int) {
		f.fill(teams, 50000)
		i, n, steps := 0, 0, f.scheduler.Stats().Steps
		for b.Loop() {
			f.now = f.now.Add(time.Millisecond)
			f.endTask(i * 7919 % len(f.running))
			n += f.startTasks(1)
			i++
			if i%1000 == 0 {
				b.StopTimer()
				for k := range 1000 {
					f.submit(fmt.Sprint("team", k%teams), work.Batch, size(2000, 8*gib, 0), 1, false)
				}
				f.startTasks(1 << 20)
				b.StartTimer()
			}
		}
		b.ReportMetric(float64(f.scheduler.Stats().Steps-steps)/float64(i), "steps/op")
	})
}

// BenchmarkBlockedGangs measures the end of a task and the decision that reuses
// its capacity in a full fleet with 64 blocked gangs, at 400 ends a second. It
// also reports the most steps of one decision.
func BenchmarkBlockedGangs(b *testing.B) {
	runAtScales(b, func(b *testing.B, f *fleet, teams int) {
		f.fill(teams, 5000)
		for i := range 64 {
			f.submit(fmt.Sprint("team", i%teams), work.Gang, size(16000, 32*gib, 0), 16, false)
		}
		f.startTasks(1)
		i, most := 0, uint64(0)
		for b.Loop() {
			f.now = f.now.Add(2500 * time.Microsecond)
			f.endTask(i * 7919 % len(f.running))
			steps := f.scheduler.Stats().Steps
			f.startTasks(1)
			most = max(most, f.scheduler.Stats().Steps-steps)
			i++
			if i%1000 == 0 {
				b.StopTimer()
				for k := range 1000 {
					f.submit(fmt.Sprint("team", k%teams), work.Batch, size(2000, 8*gib, 0), 1, false)
				}
				f.startTasks(1 << 20)
				b.StartTimer()
			}
		}
		b.ReportMetric(float64(most), "most-steps")
	})
}

// BenchmarkFairPick measures the choice of the next job for a worker with free
// capacity, among all teams and with a queue of 50,000 jobs.
func BenchmarkFairPick(b *testing.B) {
	runAtScales(b, func(b *testing.B, f *fleet, teams int) {
		f.fill(teams, 50000)
		j := f.jobs[f.running[0].Job]
		worker := j.Tasks[0].Worker
		for len(f.jobs) > 0 && f.scheduler.PickForWorker(worker) == 0 { // free capacity on the worker
			for i, id := range f.running {
				if f.jobs[id.Job].Tasks[id.Index].Worker == worker {
					f.endTask(i)
					break
				}
			}
		}
		for b.Loop() {
			f.scheduler.PickForWorker(worker)
		}
	})
}

// BenchmarkEnd measures the events of the end of a task and its job.
func BenchmarkEnd(b *testing.B) {
	runAtScales(b, func(b *testing.B, f *fleet, teams int) {
		f.fill(teams, 0)
		i := 0
		for b.Loop() {
			if len(f.running) < 500 {
				b.StopTimer()
				f.fill(teams, 0)
				b.StartTimer()
			}
			f.endTask(i * 7919 % len(f.running))
			i++
		}
	})
}

// BenchmarkCancellation measures the cancellation of one job out of a burst.
func BenchmarkCancellation(b *testing.B) {
	runAtScales(b, func(b *testing.B, f *fleet, teams int) {
		f.fill(teams, 20000)
		var burst []*work.Job
		for b.Loop() {
			if len(burst) == 0 {
				b.StopTimer()
				for i := range 1000 {
					burst = append(burst, f.submit(fmt.Sprint("team", i%teams), work.Batch, size(2000, 8*gib, 0), 1, false))
				}
				f.startTasks(1 << 20)
				b.StartTimer()
			}
			f.scheduler.Observe(work.FinishEvent{Job: burst[len(burst)-1]})
			delete(f.jobs, burst[len(burst)-1].ID)
			burst = burst[:len(burst)-1]
		}
	})
}

// BenchmarkHeap reports the bytes of heap per worker, running task and team.
func BenchmarkHeap(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		s := placement.New(placement.Options{})
		f := &fleet{scheduler: s, now: epoch, jobs: map[work.JobID]*work.Job{}}
		const teams, workers, tasks = 240, 7800, 30000
		names := make([]string, max(teams, workers))
		for i := range names {
			names[i] = fmt.Sprint("n", i)
		}
		s.Observe(work.EntryEvent{Entry: &work.Entry{Name: "batch", Class: work.Batch, Open: true}})
		h := heap()
		for i := range teams {
			s.Observe(work.TeamEvent{Team: &work.Team{Name: names[i], Weight: 1}})
		}
		perTeam := (heap() - h) / teams
		h = heap()
		for i := range workers {
			s.Observe(work.WorkerEvent{Worker: &work.Worker{Name: names[i], Zone: names[i%8], Rack: names[i/40], Capacity: size(32000, 128*gib, 0)}})
		}
		perWorker := (heap() - h) / workers
		h = heap()
		for i := range tasks {
			j := f.submit(names[i%teams], work.Batch, size(1000, 2*gib, 0), 1, false)
			f.startTasks(1)
			delete(f.jobs, j.ID)
		}
		perTask := (heap() - h) / tasks
		b.ReportMetric(perTeam, "B/team")
		b.ReportMetric(perWorker, "B/worker")
		b.ReportMetric(perTask, "B/task")
		runtime.KeepAlive(f)
		runtime.KeepAlive(names)
	}
}
