package leader

import (
	"slices"
	"sync"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// orders queues workers that have new orders by the entry VM that they polled
// through last. The observer of the state fills it under the state's lock, so
// that its own lock must never be held while the state is read.
type orders struct {
	first work.Token // log index as of the beginning of the term

	mu    sync.Mutex
	via   map[string]string              // entry VM by worker
	queue map[string]map[string]struct{} // workers by entry VM
	newly []string                       // workers that may lack a lease
}

func (o *orders) init() {
	o.via = make(map[string]string)
	o.queue = make(map[string]map[string]struct{})
}

// joined records a worker that the state has as a member.
func (o *orders) joined(w *work.Worker) {
	if w.Gone {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newly = append(o.newly, w.Name)
}

// adopted returns the workers recorded by joined since the last call.
func (o *orders) adopted() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := o.newly
	o.newly = nil
	return n
}

// due records that a worker has new orders.
func (o *orders) due(worker string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	entry, ok := o.via[worker]
	if !ok {
		return // its next poll brings them
	}
	q := o.queue[entry]
	if q == nil {
		q = make(map[string]struct{})
		o.queue[entry] = q
	}
	q[worker] = struct{}{}
}

// polled records that a worker polled through an entry VM and that its orders
// are about to be read.
func (o *orders) polled(worker, entry string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if former, ok := o.via[worker]; ok {
		delete(o.queue[former], worker)
	}
	o.via[worker] = entry
}

// take returns the workers with new orders that polled through an entry VM.
func (o *orders) take(entry string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queue[entry]
	if len(q) == 0 {
		return nil
	}
	names := make([]string, 0, len(q))
	for name := range q {
		names = append(names, name)
	}
	clear(q)
	slices.Sort(names)
	return names
}

// forget drops a worker.
func (o *orders) forget(worker string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.queue[o.via[worker]], worker)
	delete(o.via, worker)
}
