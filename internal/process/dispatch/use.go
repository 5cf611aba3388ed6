package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// useEvery and idleEvery are the times between two lines about a pool, while
	// work waits for it and otherwise.
	useEvery  = time.Second
	idleEvery = 10 * time.Second
)

// load is what a pool has and what is asked of it.
type load struct {
	workers  int // usable
	capacity work.Resources
	free     work.Resources
	waiting  [3]int // tasks by priority, the lowest priorities together
}

// use writes a line about each pool now and then.
func (t *term) use(room fit.Room, demands []*fit.Demand, now time.Time) {
	if now.Sub(t.noted) < useEvery {
		return
	}
	waits := false
	loads := map[string]*load{}
	for _, w := range room.Workers {
		l := loads[w.Pool]
		if l == nil {
			l = &load{}
			loads[w.Pool] = l
		}
		if w.Usable {
			l.workers++
			l.capacity, l.free = l.capacity.Add(w.Capacity), l.free.Add(w.Free)
		}
	}
	for _, d := range demands {
		if l := loads[d.Pool]; l != nil && !d.Early {
			waits = true
			l.waiting[min(max(d.Priority, 0), len(l.waiting)-1)] += len(d.Tasks)
		}
	}
	if !waits && now.Sub(t.noted) < idleEvery {
		return
	}
	t.noted = now
	for name, l := range loads {
		used := l.capacity.Sub(l.free)
		t.emit(event.PoolUse, zap.String("pool", name), zap.Int("workers", l.workers),
			zap.Int64("processors", used.Processors), zap.Int64("of", l.capacity.Processors),
			zap.Int64("accelerators", used.Accelerators), zap.Int64("ofAccelerators", l.capacity.Accelerators),
			zap.Int64("memory", used.Memory>>20), zap.Int64("ofMemory", l.capacity.Memory>>20),
			zap.Int64("spare", room.Spare[name].Processors), zap.Ints("waiting", l.waiting[:]))
	}
}
