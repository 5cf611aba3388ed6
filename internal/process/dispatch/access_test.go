package dispatch

import (
	"maps"
	"slices"
	"time"
)

// The simulated workers and the log are used by several goroutines. Tests read and
// change them only through the functions of this file or with their locks held.

// worker returns a copy of a worker.
func (h *fakeWorkers) worker(id string) fakeWorker {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := *h.all[id]
	w.running = maps.Clone(w.running)
	return w
}

// started returns the starts that were executed.
func (h *fakeWorkers) started() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.starts)
}

// copied returns a description of a task that ran in two places at once, if any.
func (h *fakeWorkers) copied() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.duplicate
}

// setRunTime sets how long the tasks take that start from now on.
func (h *fakeWorkers) setRunTime(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runTime = d
}

// setLease sets for how long the leader's lease is valid at each time.
func (l *fakeLog) setLease(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease = d
}
