package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// poolLogInterval and idlePoolLogInterval are the intervals at which the
	// usage of a pool is logged, while work waits for it and otherwise.
	poolLogInterval     = time.Second
	idlePoolLogInterval = 10 * time.Second
)

// poolUsage is the capacity of a pool and the work that waits for it.
type poolUsage struct {
	workers  int // usable
	capacity work.Resources
	free     work.Resources
	waiting  [3]int // tasks by priority; the last entry includes all lower priorities
}

// logPoolUsage logs the usage of each pool at intervals.
func (t *term) logPoolUsage(cluster fit.Cluster, demands []*fit.Demand, now time.Time) {
	if now.Sub(t.lastPoolLog) < poolLogInterval {
		return
	}
	hasWaiting := false
	usages := map[string]*poolUsage{}
	for _, w := range cluster.Workers {
		usage := usages[w.Pool]
		if usage == nil {
			usage = &poolUsage{}
			usages[w.Pool] = usage
		}
		if w.Usable {
			usage.workers++
			usage.capacity, usage.free = usage.capacity.Add(w.Capacity), usage.free.Add(w.Free)
		}
	}
	for _, d := range demands {
		if usage := usages[d.Pool]; usage != nil && !d.Prefetch {
			hasWaiting = true
			usage.waiting[min(max(d.Priority, 0), len(usage.waiting)-1)] += len(d.Tasks)
		}
	}
	if !hasWaiting && now.Sub(t.lastPoolLog) < idlePoolLogInterval {
		return
	}
	t.lastPoolLog = now
	for name, usage := range usages {
		used := usage.capacity.Sub(usage.free)
		t.emit(event.PoolUse, zap.String("pool", name), zap.Int("workers", usage.workers),
			zap.Int64("processors", used.Processors), zap.Int64("of", usage.capacity.Processors),
			zap.Int64("accelerators", used.Accelerators), zap.Int64("ofAccelerators", usage.capacity.Accelerators),
			zap.Int64("memory", used.Memory>>20), zap.Int64("ofMemory", usage.capacity.Memory>>20),
			zap.Int64("spare", cluster.Headroom[name].Processors), zap.Ints("waiting", usage.waiting[:]))
	}
}
