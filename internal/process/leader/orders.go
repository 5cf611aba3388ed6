package leader

import (
	"slices"
	"sync"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// orderQueue tracks which workers have new orders, by the entry VM through which
// they last polled. The state observer updates it under the state's lock, so its
// own lock must never be held while the state is read.
type orderQueue struct {
	termStart work.Token // log index at the start of the term; tokens of this term are greater

	mu        sync.Mutex
	lastEntry map[string]string              // worker -> entry VM of its last poll
	pending   map[string]map[string]struct{} // entry VM -> workers with new orders
	joined    []string                       // workers that may lack a lease
}

func (o *orderQueue) init() {
	o.lastEntry = make(map[string]string)
	o.pending = make(map[string]map[string]struct{})
}

// addJoined records a worker that is a member in the state.
func (o *orderQueue) addJoined(w *work.Worker) {
	if w.Gone {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.joined = append(o.joined, w.Name)
}

// takeJoined returns the workers recorded by addJoined since the last call.
func (o *orderQueue) takeJoined() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := o.joined
	o.joined = nil
	return n
}

// markPending records that a worker has new orders.
func (o *orderQueue) markPending(worker string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	entry, ok := o.lastEntry[worker]
	if !ok {
		return // its next poll fetches them
	}
	q := o.pending[entry]
	if q == nil {
		q = make(map[string]struct{})
		o.pending[entry] = q
	}
	q[worker] = struct{}{}
}

// recordPoll records that a worker polled through an entry VM. The worker is no
// longer pending, as its orders are read next to answer the poll.
func (o *orderQueue) recordPoll(worker, entry string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if former, ok := o.lastEntry[worker]; ok {
		delete(o.pending[former], worker)
	}
	o.lastEntry[worker] = entry
}

// takePending returns the workers with new orders that last polled through an
// entry VM, and clears their pending state.
func (o *orderQueue) takePending(entry string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.pending[entry]
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

// remove deletes a worker from the queue.
func (o *orderQueue) remove(worker string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.pending[o.lastEntry[worker]], worker)
	delete(o.lastEntry, worker)
}
