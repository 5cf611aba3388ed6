package state

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// goneRetention is how long a departed worker is kept.
const goneRetention = time.Hour

// worker is a worker with its runs and the state of its membership.
type worker struct {
	work.Worker
	reserved  work.Resources
	runs      []run     // ordered by token, then by task
	joinIndex uint64    // log index at which the latest membership began
	goneSince time.Time // when the latest membership ended, or the drained flag was cleared after that
}

// run identifies a task that is started or stopping on a worker.
type run struct {
	job   *job
	index uint32
}

func (r run) task() *work.Task { return &r.job.Tasks[r.index] }

// shape determines which tasks a worker can take.
type shape struct {
	capacity work.Resources
	team     string
}

func (w *worker) shape() shape { return shape{w.Capacity, w.Team} }

func compareRuns(a, b *work.Task) int {
	return cmp.Or(cmp.Compare(a.Token, b.Token), cmp.Compare(a.ID.Job, b.ID.Job), cmp.Compare(a.ID.Index, b.ID.Index))
}

func (w *worker) addRun(r run) {
	t := r.task()
	w.reserved = w.reserved.Add(t.Reserved)
	w.runs = append(w.runs, r)
	for i := len(w.runs) - 1; i > 0 && compareRuns(w.runs[i-1].task(), t) > 0; i-- {
		w.runs[i-1], w.runs[i] = w.runs[i], w.runs[i-1]
	}
}

func (w *worker) removeRun(id work.TaskID, reserved work.Resources) {
	w.reserved = w.reserved.Sub(reserved)
	i := slices.IndexFunc(w.runs, func(r run) bool { return r.index == id.Index && r.job.ID == id.Job })
	if i >= 0 {
		w.runs = slices.Delete(w.runs, i, i+1)
	}
}

// join adds a worker or applies its new boot or shape. The capacity may drop below
// what is reserved: the runs go on, and nothing starts until it fits again.
func (s *State) join(c *Join) Result {
	n := c.Worker
	if r := s.checkWorker(&n); r.Code != OK {
		return r
	}
	w := s.workers[n.Name]
	n.Gone = false
	if w == nil {
		n.Drained = false
		w = &worker{Worker: n, joinIndex: s.index}
		s.workers[n.Name] = w
		s.shapes[w.shape()]++
		s.emit(work.WorkerEvent{Worker: &w.Worker})
		return Result{Code: OK}
	}
	n.Drained = w.Drained
	if n.Boot != w.Boot {
		if !w.Gone && !c.Newer && s.enabled(guardNewerBoot) {
			return Result{Code: Conflict, Message: "another boot of the worker has a lease"}
		}
		s.endRunsInCrash(w, c.Unsent)
	} else if n.Team != w.Team && len(w.runs) > 0 {
		return invalid("the worker runs tasks of its former team")
	}
	if n == w.Worker {
		return Result{Code: OK}
	}
	if w.Gone || n.Boot != w.Boot {
		w.joinIndex = s.index
	}
	s.removeShape(w.shape())
	w.Worker = n
	s.shapes[w.shape()]++
	s.emit(work.WorkerEvent{Worker: &w.Worker})
	return Result{Code: OK}
}

// checkWorker validates the properties that a worker reports.
func (s *State) checkWorker(w *work.Worker) Result {
	switch {
	case !validName(w.Name) || !validSize(w.Capacity):
		return invalid("the worker's name or capacity is not valid")
	case len(w.Zone) > maxNameBytes || len(w.Rack) > maxNameBytes || len(w.Accelerator) > maxNameBytes:
		return invalid("the worker's zone, rack or accelerator is too long")
	case w.Team != "" && s.teams[w.Team] == nil:
		return Result{Code: NotFound, Message: "there is no team " + w.Team}
	}
	return Result{Code: OK}
}

// CheckWorker returns the refusal that a Join would get for the properties that
// the worker reports, so that a refusal needs no log entry.
func (s *State) CheckWorker(w work.Worker) Result {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.checkWorker(&w)
}

func (s *State) removeShape(h shape) {
	if s.shapes[h]--; s.shapes[h] == 0 {
		delete(s.shapes, h)
	}
}

// endRunsAsLost ends every run on a worker with the outcome lost.
func (s *State) endRunsAsLost(w *worker) {
	for len(w.runs) > 0 {
		r := w.runs[len(w.runs)-1]
		s.endRun(r.job, r.task(), work.OutcomeLost)
	}
}

func (s *State) depart(c *Depart) Result {
	w := s.workers[c.Worker]
	switch {
	case w == nil:
		return Result{Code: NotFound, Message: "there is no worker " + c.Worker}
	case w.Boot != c.Boot:
		return invalid("the worker has booted anew since")
	case c.Joined != 0 && c.Joined != w.joinIndex && s.enabled(guardMembership):
		return invalid("the worker has joined again since")
	case w.Gone:
		return Result{Code: OK}
	}
	s.endRunsAsLost(w)
	w.Gone, w.goneSince = true, s.now
	s.goneWorkers.push(expiring[string]{w.Name, s.now.Add(goneRetention)})
	s.emit(work.WorkerEvent{Worker: &w.Worker})
	return Result{Code: OK}
}

func (s *State) drain(c *Drain) Result {
	w := s.workers[c.Worker]
	if w == nil {
		return Result{Code: NotFound, Message: "there is no worker " + c.Worker}
	}
	if w.Drained != c.Drained {
		w.Drained = c.Drained
		if w.Gone && !w.Drained {
			w.goneSince = s.now
			s.goneWorkers.push(expiring[string]{w.Name, s.now.Add(goneRetention)})
		}
		s.emit(work.WorkerEvent{Worker: &w.Worker})
	}
	return Result{Code: OK}
}

// removeGoneWorker removes a worker that has been gone since the queue item was
// added. A drained worker is kept, so that it is still drained when it returns.
func (s *State) removeGoneWorker(d expiring[string]) {
	w := s.workers[d.Item]
	if w == nil || !w.Gone || w.Drained || !w.goneSince.Add(goneRetention).Equal(d.Deadline) {
		return
	}
	s.removeShape(w.shape())
	delete(s.workers, d.Item)
}
