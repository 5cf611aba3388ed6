package dispatch

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
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
	waiting  [3]int         // tasks by priority; the last entry includes all lower priorities
	empty    int            // usable workers without runs
	cold     int            // usable workers that are slow for some time after their start
	slow     int            // usable workers whose normal speed is below that of others
	speed    float64        // sum of the normal speeds of usable workers
	trials   int            // workers kept for a trial
	untried  int            // steps that wait for a trial
	out      map[string]int // workers that get no new tasks, by cause
}

// poolUsages returns the usage of each pool before a round, or nil if it need not be
// logged now.
func (t *term) poolUsages(cluster fit.Cluster, demands []*fit.Demand, now time.Time) map[string]*poolUsage {
	if now.Sub(t.lastPoolLog) < poolLogInterval {
		return nil
	}
	hasWaiting := false
	usages := map[string]*poolUsage{}
	for _, w := range cluster.Workers {
		usage := usages[w.Pool]
		if usage == nil {
			usage = &poolUsage{out: map[string]int{}}
			usages[w.Pool] = usage
		}
		if cause := t.workers[w.ID].out(now, t.timing().ReportInterval); cause != "" {
			usage.out[cause]++
		}
		if w.Trial != "" {
			usage.trials++
		}
		if w.Usable {
			usage.workers++
			if w.Tenants == 0 {
				usage.empty++
			}
			usage.countSpeed(w)
			usage.capacity, usage.free = usage.capacity.Add(w.Capacity), usage.free.Add(w.Free.Positive())
		}
	}
	for _, d := range demands {
		if usage := usages[d.Pool]; usage != nil && !d.Prefetch {
			hasWaiting = true
			if d.Trial {
				usage.untried++
			}
			usage.waiting[min(max(d.Priority, 0), len(usage.waiting)-1)] += len(d.Tasks)
		}
	}
	if !hasWaiting && now.Sub(t.lastPoolLog) < idlePoolLogInterval {
		t.idle.Store(nil)
		return nil
	}
	t.lastPoolLog = now
	return usages
}

// logPoolUsage logs the usage of each pool, and what holds the capacity that is idle
// while tasks wait.
func (t *term) logPoolUsage(usages map[string]*poolUsage, cluster fit.Cluster, idle map[string]fit.Idle) {
	if usages == nil {
		return
	}
	t.recordIdle(idle)
	t.logOrderUse()
	for name, usage := range usages {
		used := usage.capacity.Sub(usage.free)
		t.emit(event.PoolUse, zap.String("pool", name), zap.Int("workers", usage.workers),
			zap.Int64("processors", used.Processors), zap.Int64("of", usage.capacity.Processors),
			zap.Int64("accelerators", used.Accelerators), zap.Int64("ofAccelerators", usage.capacity.Accelerators),
			zap.Int64("memory", used.Memory>>20), zap.Int64("ofMemory", usage.capacity.Memory>>20),
			zap.Int64("spare", cluster.Headroom[name].Processors), zap.Ints("waiting", usage.waiting[:]),
			zap.Int("empty", usage.empty), zap.Int("trials", usage.trials), zap.Int("untried", usage.untried),
			zap.Int("cold", usage.cold), zap.Float64("coldSpeed", t.coldnessOf(name).Speed()), zap.Int("slow", usage.slow), zap.Float64("speed", usage.speed/float64(max(1, usage.workers))),
			zap.Dict("out", countFields(usage.out)...), zap.Dict("idle", idleFields(idle[name], processors)...), zap.Dict("idleAccelerators", idleFields(idle[name], accelerators)...))
	}
}

func processors(r work.Resources) int64   { return r.Processors }
func accelerators(r work.Resources) int64 { return r.Accelerators }

// idleFields returns the idle amounts of one resource by cause.
func idleFields(i fit.Idle, amount func(work.Resources) int64) []zap.Field {
	var fields []zap.Field
	for c, idle := range i.Amounts() {
		if n := amount(idle); n > 0 {
			fields = append(fields, zap.Int64(fit.Causes[c], n))
		}
	}
	return fields
}

// countFields returns counts as fields, sorted by name.
func countFields(counts map[string]int) []zap.Field {
	var fields []zap.Field
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fields = append(fields, zap.Int(name, counts[name]))
	}
	return fields
}

// Idle returns the capacity of all pools that was idle while tasks waited, by cause,
// when the usage of the pools was last logged.
func (d *Dispatcher) Idle() map[string]work.Resources {
	t := d.current.Load()
	if t == nil {
		return nil
	}
	if sum := t.idle.Load(); sum != nil {
		return *sum
	}
	return nil
}

// recordIdle sums up what is idle in all pools.
func (t *term) recordIdle(pools map[string]fit.Idle) {
	sum := map[string]work.Resources{}
	t.idlePools = map[string]map[string]int64{}
	for name, i := range pools {
		t.idlePools[name] = map[string]int64{}
		for c, idle := range i.Amounts() {
			if idle.Processors > 0 {
				t.idlePools[name][fit.Causes[c]] = idle.Processors
			}
			sum[fit.Causes[c]] = sum[fit.Causes[c]].Add(idle)
		}
	}
	t.idle.Store(&sum)
}

// orderUse counts the orders to workers since it was last logged.
type orderUse struct {
	starts    int           // whose outcome became known
	copies    int           // of these, sent
	listed    int           // of these, learned from a listing
	slowest   time.Duration // from the commit of a start to its outcome
	total     time.Duration
	listings  int // sent
	unlisted  int // of these, without an answer
	late      int // copies of starts that were answered after their attempt had returned
	abandoned int // starts that were stopped for lack of an answer
	unclear   int // starts with copies that were not answered in time
	kept      int // runs that were kept for such copies
	waits     int // waits of tasks for copies of their earlier starts that have ended
	waited    time.Duration
	longest   time.Duration // of these waits
}

// noteWait records that a task waits for copies of its earlier starts, or may start on one worker
// only.
func (t *term) noteWait(id job.TaskID) {
	if t.copyWaits[id].IsZero() {
		t.copyWaits[id] = t.now()
	}
}

// endWait counts the wait of a task that may start again, or that starts.
func (t *term) endWait(id job.TaskID) {
	since, waits := t.copyWaits[id]
	if !waits {
		return
	}
	delete(t.copyWaits, id)
	waited := t.now().Sub(since)
	t.orderUse.waits++
	t.orderUse.waited += waited
	t.orderUse.longest = max(t.orderUse.longest, waited)
}

// noteOutcome counts a start whose outcome became known, from a listing or an answer.
func (t *term) noteOutcome(r *run, listed bool) {
	delay := t.now().Sub(r.committedAt)
	t.orderUse.starts++
	t.orderUse.copies += r.sentCopies
	t.orderUse.total += delay
	t.orderUse.slowest = max(t.orderUse.slowest, delay)
	if listed {
		t.orderUse.listed++
	}
	t.emit(event.StartSettled, zap.Duration("delay", delay), zap.Int("copies", r.sentCopies), zap.Bool("listed", listed))
}

// logOrderUse logs and resets the counts of orders.
func (t *term) logOrderUse() {
	u := t.orderUse
	t.orderUse = orderUse{}
	t.emit(event.OrderUse, zap.Int("starts", u.starts), zap.Int("copies", u.copies), zap.Int("listed", u.listed),
		zap.Int("abandoned", u.abandoned), zap.Duration("mean", u.total/time.Duration(max(u.starts, 1))), zap.Duration("slowest", u.slowest),
		zap.Int("listings", u.listings), zap.Int("unlisted", u.unlisted), zap.Int("late", u.late), zap.Int("unclear", u.unclear), zap.Int("kept", u.kept),
		zap.Int("waits", u.waits), zap.Duration("waited", u.waited), zap.Duration("longest", u.longest), zap.Int("waiting", len(t.copyWaits)))
}
