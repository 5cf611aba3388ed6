package fit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const maintenanceTime = 2 * time.Second

// openWave returns a wave of VMs that is due after a while.
func openWave(limit int, due time.Duration, vms ...string) *job.WaveRecord {
	r := &job.WaveRecord{Wave: job.Wave{Number: 1, VMs: vms, Deadline: now.Add(due), Limit: limit}, VMs: map[string]job.WaveVM{}}
	for _, name := range vms {
		r.VMs[name] = job.WaveVM{}
	}
	return r
}

func taskOf(id job.ID, index int) job.TaskID { return job.TaskID{Job: id, Index: index} }

func upVM(name string, runs ...VMRun) *VM { return &VM{Worker: "w-" + name, Up: true, Runs: runs} }

func lastingRun(id job.ID, index int) VMRun { return VMRun{Task: taskOf(id, index), Lasting: true} }

func service(allowance, tasks int, away ...int) *Service {
	s := &Service{Allowance: allowance, Tasks: tasks, Away: map[job.TaskID]bool{}}
	for _, i := range away {
		s.Away[taskOf("s", i)] = true
	}
	return s
}

var stepS = job.StepID{Job: "s"}

// Guards against VMs with much work that go down while others are idle, more VMs down
// than the limit, and orders without an answer or VMs that are not back which do not
// count as down.
func TestWaveKeepsItsLimitAndTakesIdleVMsFirst(t *testing.T) {
	is := is.New(t)
	m := &Maintenance{Time: maintenanceTime, VMs: map[string]*VM{
		"a": upVM("a", VMRun{Task: taskOf("j", 0), Left: 9 * time.Second}), "b": upVM("b"), "c": upVM("c"), "d": upVM("d"), "e": {},
	}}
	w := openWave(2, time.Minute, "a", "b", "c", "d", "e", "unknown")
	m.Waves = []*job.WaveRecord{w}
	p := PlanMaintenance(now, m)
	is.Equal(p.Downs, []Down{{1, "b"}, {1, "c"}})
	is.Equal(p.Cordon, map[string]bool{"w-b": true, "w-c": true})
	is.Equal(p.Waits, map[string]string{"e": waitsForReturn})
	w.VMs["b"] = job.WaveVM{Stage: job.Begun}
	w.VMs["c"] = job.WaveVM{Stage: job.Ordered}
	p = PlanMaintenance(now, m)
	is.Equal(p.Downs, []Down{{1, "c"}}) // the order is repeated, and nothing else begins
	w.VMs["b"] = job.WaveVM{Stage: job.Back}
	w.VMs["c"] = job.WaveVM{Stage: job.Left}
	is.Equal(PlanMaintenance(now, m).Downs, []Down{{1, "d"}}) // the other place is for a, whose run may finish
}

// Guards against runs that are lost although there is time to finish them, against a
// wave that is late because it waits for them, and against work that is not saved.
func TestWaveWaitsForRunsWhileThereIsTime(t *testing.T) {
	is := is.New(t)
	saver := VMRun{Task: taskOf("j", 1), Checkpoints: true, Left: time.Minute}
	plain := VMRun{Task: taskOf("j", 0), Left: 30 * time.Second}
	vm := upVM("a", plain, saver)
	m := &Maintenance{Time: maintenanceTime, VMs: map[string]*VM{"a": vm, "b": upVM("b", plain)}}
	m.Waves = []*job.WaveRecord{openWave(1, 20*time.Second, "a", "b")}
	p := PlanMaintenance(now, m)
	is.Equal(len(p.Downs)+len(p.Stops), 0)
	is.Equal(p.Cordon, map[string]bool{"w-b": true}) // it has fewer runs
	late := now.Add(20*time.Second - 2*(maintenanceTime+slotOverhead))
	is.Equal(PlanMaintenance(late.Add(-time.Millisecond), m).Downs, nil)
	is.Equal(PlanMaintenance(late, m).Downs, []Down{{1, "b"}})
	m.Waves = []*job.WaveRecord{openWave(math.MaxInt, 20*time.Second, "a", "b")}
	last := now.Add(20*time.Second - maintenanceTime - slotOverhead) // for a single turn
	is.Equal(len(PlanMaintenance(last.Add(-time.Millisecond), m).Downs), 0)
	is.Equal(PlanMaintenance(last, m).Downs, []Down{{1, "b"}})
	m.Waves = []*job.WaveRecord{openWave(1, 0, "a")}
	p = PlanMaintenance(late, m)
	is.Equal(p.Stops, []job.TaskID{saver.Task}) // its checkpoint first
	is.Equal(len(p.Downs), 0)
	vm.Runs[1].Stopping = true
	p = PlanMaintenance(late, m)
	is.Equal(len(p.Downs)+len(p.Stops), 0)
	vm.Runs[1].StopLate = true // the worker does not answer
	is.Equal(PlanMaintenance(late, m).Downs, []Down{{1, "a"}})
}

// Guards against a long-running task that ends while as many others of its step are
// away as its allowance says (rule AVAIL), also past the deadline.
func TestWaveKeepsAllowances(t *testing.T) {
	is := is.New(t)
	for name, k := range map[string]struct {
		service *Service
		runs    [2]int // of the service on a and b; the rest is elsewhere
		downs   []Down
		stops   int
	}{
		"two of three":                {service(2, 5), [2]int{2, 2}, []Down{{1, "a"}}, 0},
		"both within it":              {service(4, 5), [2]int{2, 2}, []Down{{1, "a"}, {1, "b"}}, 0},
		"another is away":             {service(1, 5, 4), [2]int{1, 1}, nil, 0},
		"its own is away":             {service(1, 5, 0), [2]int{1, 1}, []Down{{1, "a"}}, 0},
		"more on a VM than may be":    {service(1, 5), [2]int{3, 0}, []Down{{1, "b"}}, 1},
		"of these one is moved":       {service(1, 5, 4), [2]int{3, 0}, []Down{{1, "b"}}, 0},
		"no allowance, one at a time": {service(0, 5), [2]int{1, 1}, []Down{{1, "a"}}, 0},
	} {
		var runs [2][]VMRun
		index := 0
		for i := range runs {
			for range k.runs[i] {
				runs[i] = append(runs[i], lastingRun("s", index))
				index++
			}
		}
		m := &Maintenance{Time: maintenanceTime, VMs: map[string]*VM{"a": upVM("a", runs[0]...), "b": upVM("b", runs[1]...)}}
		m.Services = map[job.StepID]*Service{stepS: k.service}
		m.Waves = []*job.WaveRecord{openWave(2, -time.Minute, "a", "b")}
		p := PlanMaintenance(now, m)
		if fmt.Sprint(p.Downs) != fmt.Sprint(k.downs) || len(p.Stops) != k.stops {
			t.Errorf("%s: takes down %v and stops %v", name, p.Downs, p.Stops)
		}
		is.True(len(p.Cordon) <= len(p.Downs)+k.stops) // what is blocked stays in use
	}
	gang := &Service{Allowance: 2, Tasks: 3, Gang: true}
	m := &Maintenance{VMs: map[string]*VM{"a": upVM("a", lastingRun("s", 0))}, Services: map[job.StepID]*Service{stepS: gang}}
	m.Waves = []*job.WaveRecord{openWave(1, 0, "a")}
	is.Equal(len(PlanMaintenance(now, m).Downs), 0) // all three would end
}

// Guards against states in which two waves over the same VMs break a limit or an
// allowance, or come to a stop: orders get lost, VMs stay down for a while, and tasks
// start again elsewhere later.
func TestWavesInRandomSituations(t *testing.T) {
	for seed := range uint64(300) {
		simulateWaves(t, seed)
	}
}

func simulateWaves(t *testing.T, seed uint64) {
	g := rand.New(rand.NewPCG(seed, 1))
	s := &Service{Allowance: 1 + g.IntN(2), Tasks: 4, Away: map[job.TaskID]bool{}}
	m := &Maintenance{Time: maintenanceTime, VMs: map[string]*VM{}, Services: map[job.StepID]*Service{stepS: s}}
	names := []string{"a", "b", "c", "d", "e"}
	for _, name := range names {
		m.VMs[name] = upVM(name)
	}
	m.Waves = []*job.WaveRecord{openWave(1+g.IntN(3), 10*time.Second, names...), openWave(1+g.IntN(3), 20*time.Second, names[:3]...)}
	m.Waves[1].Wave.Number = 2
	place := func(index int, cordon map[string]bool) {
		for _, i := range g.Perm(len(names)) {
			if v := m.VMs[names[i]]; v.Up && !cordon[v.Worker] {
				v.Runs = append(v.Runs, lastingRun("s", index))
				delete(s.Away, taskOf("s", index))
				return
			}
		}
	}
	for i := range s.Tasks {
		place(i, nil)
	}
	remove := func(v *VM, index int) {
		for i := range v.Runs {
			if v.Runs[i].Task.Index == index {
				v.Runs = append(v.Runs[:i:i], v.Runs[i+1:]...)
				s.Away[taskOf("s", index)] = true
				return
			}
		}
	}
	at := now
	for range 2000 {
		p := PlanMaintenance(at, m)
		for _, id := range p.Stops {
			for _, v := range m.VMs {
				remove(v, id.Index)
			}
		}
		for _, d := range p.Downs {
			w, v := m.Waves[d.Wave-1], m.VMs[d.VM]
			if stage := w.VMs[d.VM].Stage; stage == job.Waiting {
				w.VMs[d.VM] = job.WaveVM{Stage: job.Ordered}
			}
			if g.IntN(3) > 0 { // else the order is lost
				w.VMs[d.VM] = job.WaveVM{Stage: job.Begun}
				v.Up = false
				for _, r := range v.Runs {
					s.Away[r.Task] = true
				}
				v.Runs = nil
			}
		}
		if len(s.Away) > s.Allowance {
			t.Fatalf("seed %d: %d tasks are away, more than %d", seed, len(s.Away), s.Allowance)
		}
		open := 0
		for _, w := range m.Waves {
			if w.Count(job.Ordered, job.Begun) > w.Wave.Limit {
				t.Fatalf("seed %d: wave %d has more than %d VMs down", seed, w.Wave.Number, w.Wave.Limit)
			}
			for _, name := range names {
				if w.VMs[name].Stage == job.Begun && g.IntN(4) == 0 {
					w.VMs[name] = job.WaveVM{Stage: job.Back}
					m.VMs[name].Up = true
				}
			}
			open += w.Count(job.Waiting, job.Ordered, job.Begun)
		}
		if open == 0 {
			return
		}
		for i := range s.Tasks {
			if s.Away[taskOf("s", i)] && g.IntN(3) == 0 {
				place(i, p.Cordon)
			}
		}
		at = at.Add(500 * time.Millisecond)
	}
	t.Fatalf("seed %d: the waves do not end: %v", seed, m.Waves[0].VMs)
}
