package fit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// BenchmarkDecide measures the first round after a take-over in a cell of 1,100
// workers: hundreds of steps wait, the pool is nearly full, and nothing is known from
// the advice service.
func BenchmarkDecide(b *testing.B) {
	for _, known := range []bool{false, true} {
		b.Run(fmt.Sprintf("answers=%t", known), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				demands, cluster := takeover(known)
				b.StartTimer()
				Decide(now, demands, cluster)
			}
		})
	}
}

// takeover returns the demands and the cluster; known tells whether the advice service
// has answered about a third of the workers for each step.
func takeover(known bool) ([]*Demand, Cluster) {
	r := rand.New(rand.NewPCG(3, 4))
	workers := pool(792, work.Resources{Processors: 32_000, Memory: 128_000})
	for _, w := range pool(308, work.Resources{Processors: 128_000, Memory: 512_000, Accelerators: 8}) {
		w.ID, w.Pool = "wide-"+w.ID, "wide"
		workers = append(workers, w)
	}
	for i, w := range workers {
		size := work.Resources{Processors: w.Capacity.Processors / 8, Memory: w.Capacity.Memory / 8, Accelerators: w.Capacity.Accelerators / 8}
		for k := range 6 + r.IntN(3) {
			w.Free = w.Free.Sub(size)
			w.Runs = append(w.Runs, Run{
				Task: job.TaskID{Job: job.ID(fmt.Sprint("r", i)), Index: k}, Priority: 2, EffectiveDeadline: now.Add(8 * time.Second), Size: size,
			})
		}
	}
	var demands []*Demand
	add := func(n int, pool string, priority, tasks int, size work.Resources, gang bool) {
		for range n {
			d := demand(job.ID(fmt.Sprintf("j%04d", len(demands))), priority, tasks, size)
			d.Pool, d.Sequence, d.Spec.Gang, d.Waited = pool, uint64(len(demands)), gang, time.Second
			d.Deadline = now.Add(time.Duration(2000+r.IntN(10_000)) * time.Millisecond)
			d.Expiry = d.Deadline.Add(20 * time.Second)
			advised(d, map[string]Answer{})
			for i, w := range workers {
				if known && w.Pool == pool && (i+len(demands))%3 == 0 {
					d.Advice.Answers[w.ID] = Answer{Allowed: r.Float64() < 0.4, Ticket: "t", Expiry: now.Add(time.Second)}
				}
			}
			d.Advice.allowedNames() // kept since the round before
			demands = append(demands, d)
		}
	}
	add(220, "p", 0, 13, work.Resources{Processors: 8_400, Memory: 30_000}, false)
	add(250, "p", 2, 29, work.Resources{Processors: 9_000, Memory: 26_000}, false)
	add(50, "wide", 1, 6, work.Resources{Processors: 62_000, Memory: 100_000, Accelerators: 4}, true)
	add(150, "wide", 2, 32, work.Resources{Processors: 11_000, Memory: 20_000, Accelerators: 1}, false)
	return demands, Cluster{Workers: workers, Headroom: map[string]work.Resources{"p": {Processors: 2_000_000}}, Early: 100}
}

// Guards against a list of allowed workers that is kept although an answer has come or
// has changed.
func TestAllowedWorkersFollowTheAnswers(t *testing.T) {
	is := is.New(t)
	a := Advice{Answers: map[string]Answer{"w2": {Allowed: true}, "w1": {Allowed: true}}}
	is.Equal(a.allowedNames(), []string{"w1", "w2"})
	a.Record("w0", Answer{Allowed: true})
	is.Equal(a.allowedNames(), []string{"w0", "w1", "w2"})
	a.Record("w1", Answer{})
	is.Equal(a.allowedNames(), []string{"w0", "w2"})
	a.Record("w1", Answer{Allowed: true})
	is.Equal(a.allowedNames(), []string{"w0", "w1", "w2"})
}
