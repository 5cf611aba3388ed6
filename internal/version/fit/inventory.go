package fit

import (
	"slices"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// buckets is the number of classes by which an index tells apart how much of a
// resource is free.
const buckets = 64

// The indexes of an inventory, by the resource that they are about.
const (
	byProcessors = iota
	byAccelerators
	indexes
)

// inventory is the planner's view of the usable workers of a pool. Under overload a
// round plans hundreds of demands that do not fit, so a demand must not look at
// every worker: the indexes lead to those that have enough free.
type inventory struct {
	workers  []*Worker // ordered by ID
	named    map[string]*Worker
	racks    map[string][]*Worker
	free     work.Resources // of all workers
	capacity work.Resources // of all workers
	largest  work.Resources // capacity
	open     int            // workers that are not reserved
	own      []*Worker      // reserved for the demand that is being planned
	index    [indexes]index
	uneven   bool            // workers differ in speed
	fastest  float64         // largest speed of the warm workers; 0 if there are none
	trials   map[job.ID]bool // jobs that have trials, or reserve workers for them
}

// index holds the workers that are not reserved, by how much of a resource is free.
type index [buckets + 1][]*Worker

// place is the position of a worker in an index.
type place struct{ bucket, slot int }

// newPools groups the usable workers by pool.
func newPools(workers []*Worker) map[string]*inventory {
	pools := map[string]*inventory{}
	for _, w := range workers {
		l := pools[w.Pool]
		if l == nil {
			l = &inventory{named: map[string]*Worker{}, racks: map[string][]*Worker{}, trials: map[job.ID]bool{}}
			pools[w.Pool] = l
		}
		if w.Trial != "" {
			l.trials[w.Trial] = true
		}
		if !w.Usable {
			continue
		}
		w.order, w.reservedFor, w.sought = len(l.workers), nil, work.Resources{}
		l.workers = append(l.workers, w)
		l.noteSpeed(w)
		l.named[w.ID] = w
		l.racks[w.Rack] = append(l.racks[w.Rack], w)
		l.free, l.capacity = l.free.Add(w.Free.Positive()), l.capacity.Add(w.Capacity)
		l.largest.Processors = max(l.largest.Processors, w.Capacity.Processors)
		l.largest.Accelerators = max(l.largest.Accelerators, w.Capacity.Accelerators)
	}
	for _, l := range pools {
		for _, w := range l.workers {
			l.insert(w)
		}
	}
	return pools
}

// amount returns the amount of the resource that an index is about.
func amount(i int, r work.Resources) int64 {
	if i == byAccelerators {
		return r.Accelerators
	}
	return r.Processors
}

// bucket returns the bucket for an amount in an index.
func (l *inventory) bucket(i int, r work.Resources) int {
	largest := amount(i, l.largest)
	if largest == 0 {
		return 0
	}
	return int(min(max(amount(i, r)*buckets/largest, 0), buckets))
}

// insert adds a worker to the indexes.
func (l *inventory) insert(w *Worker) {
	l.open++
	for i := range l.index {
		l.put(i, w)
	}
}

func (l *inventory) put(i int, w *Worker) {
	b := l.bucket(i, w.Free)
	w.places[i] = place{b, len(l.index[i][b])}
	l.index[i][b] = append(l.index[i][b], w)
}

func (l *inventory) take(i int, w *Worker) {
	list, at := l.index[i][w.places[i].bucket], w.places[i]
	last := list[len(list)-1]
	list[at.slot], last.places[i] = last, at
	l.index[i][at.bucket] = list[:len(list)-1]
}

// reserve reserves a worker for a demand, so that those planned after it may not
// use it.
func (l *inventory) reserve(w *Worker, d *Demand) {
	if w.reservedFor != nil {
		return
	}
	w.reservedFor, w.asked = d, false
	l.own = append(l.own, w)
	l.open--
	for i := range l.index {
		l.take(i, w)
	}
}

// use takes an amount from a worker.
func (l *inventory) use(w *Worker, size work.Resources) {
	w.Free, l.free = w.Free.Sub(size), l.free.Sub(size)
	if w.reservedFor != nil {
		return
	}
	for i := range l.index {
		if l.bucket(i, w.Free) != w.places[i].bucket {
			l.take(i, w)
			l.put(i, w)
		}
	}
}

// indexFor returns the index that tells most about which workers have a size free.
func (l *inventory) indexFor(size work.Resources) int {
	if size.Accelerators > 0 {
		return byAccelerators
	}
	return byProcessors
}

// tightest calls visit for the workers that are not reserved and may have a size
// free, those with the least free first, until visit returns false.
func (l *inventory) tightest(size work.Resources, visit func(*Worker) bool) {
	i := l.indexFor(size)
	for b := l.bucket(i, size); b <= buckets; b++ {
		for _, w := range l.index[i][b] {
			if !visit(w) {
				return
			}
		}
	}
}

// freest calls visit for the workers that are not reserved, those with the most
// free first, until visit returns false.
func (l *inventory) freest(size work.Resources, visit func(*Worker) bool) {
	i := l.indexFor(size)
	for _, list := range slices.Backward(l.index[i][:]) {
		for _, w := range list {
			if !visit(w) {
				return
			}
		}
	}
}

// turn calls visit for all workers until it returns false. Steps begin at different workers,
// so that they do not all wait for the same.
func (l *inventory) turn(d *Demand, visit func(*Worker) bool) {
	for i := range l.workers {
		if !visit(l.workers[(i+int(d.Sequence))%len(l.workers)]) {
			return
		}
	}
}

// smallest returns the n first items of a list in the order of compare, without
// sorting the others. Equal items stay in their order.
func smallest[T any](list []T, n int, compare func(a, b T) int) []T {
	if n <= 0 {
		return nil
	}
	var out []T
	for _, x := range list {
		if len(out) == n && compare(x, out[n-1]) >= 0 {
			continue
		}
		at := len(out)
		for at > 0 && compare(x, out[at-1]) < 0 {
			at--
		}
		if len(out) == n {
			out = out[:n-1]
		}
		out = slices.Insert(out, at, x)
	}
	return out
}
