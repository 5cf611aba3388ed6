package leader

import (
	"cmp"
	"slices"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// current returns the run of a task under a token, or nil if it is not among
// the runs.
func current(runs []state.Run, id work.TaskID, token work.Token) *state.Run {
	i, found := slices.BinarySearchFunc(runs, identity{id, token}, func(r state.Run, n identity) int {
		return identity{r.Task, r.Token}.compare(n)
	})
	if !found {
		return nil
	}
	return &runs[i]
}

// identity names one run of a task. The runs of a worker are in its order.
type identity struct {
	task  work.TaskID
	token work.Token
}

func (a identity) compare(b identity) int {
	return cmp.Or(cmp.Compare(a.token, b.token), cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Index, b.task.Index))
}

// reported is what a poll names as running or ended.
type reported struct {
	report *control.WorkerReport
	index  map[identity]struct{} // nil if the poll names few runs
}

// fewRuns is the number of runs up to which a search beats building an index.
const fewRuns = 16

func newReported(r *control.WorkerReport) reported {
	n := reported{report: r}
	if len(r.Running)+len(r.Ended) <= fewRuns {
		return n
	}
	n.index = make(map[identity]struct{}, len(r.Running)+len(r.Ended))
	for _, u := range r.Running {
		n.index[identity{u.Task, u.Token}] = struct{}{}
	}
	for _, e := range r.Ended {
		n.index[identity{e.Task, e.Token}] = struct{}{}
	}
	return n
}

// has reports whether the poll names a run.
func (n *reported) has(id work.TaskID, token work.Token) bool {
	if n.index != nil {
		_, ok := n.index[identity{id, token}]
		return ok
	}
	return slices.ContainsFunc(n.report.Running, func(u work.Usage) bool { return u.Task == id && u.Token == token }) ||
		slices.ContainsFunc(n.report.Ended, func(e work.End) bool { return e.Task == id && e.Token == token })
}

// order adds the orders for the runs of a worker: starts until the worker
// reports the task or its end, and stops until it reports the end. Runs that
// are to be stopped and that no start order was ever sent for go to withdrawn:
// they end without the worker, and since this runs under the lock of the lease
// no start order for them can be sent any more.
func (t *term) order(l *lease, runs []state.Run, r *control.WorkerReport, out *control.WorkerOrders, withdrawn *[]work.End) {
	named := newReported(r)
	for i := range runs {
		n := &runs[i]
		reported := named.has(n.Task, n.Token)
		if n.State == work.TaskStopping {
			if !reported && t.unsent(l, n) {
				*withdrawn = append(*withdrawn, work.End{Task: n.Task, Token: n.Token, Outcome: work.OutcomeStopped})
				continue
			}
			out.Stops = append(out.Stops, work.Stop{Task: n.Task, Token: n.Token, Mode: n.Stop})
		}
		// A worker that does not know a task to be stopped is told to start it
		// as well, so that it reports an end.
		if !reported && !l.leaving {
			out.Starts = append(out.Starts, startOrder(n))
			if l.sent == nil {
				l.sent = make(map[work.TaskID]work.Token)
			}
			l.sent[n.Task] = n.Token
		}
	}
}

// unsent reports whether no start order for a run can have been sent: neither
// in this term nor, as the run is of this term, before.
func (t *term) unsent(l *lease, n *state.Run) bool {
	return l.sent[n.Task] != n.Token && n.Token > t.orders.first
}

func startOrder(n *state.Run) control.StartOrder {
	return control.StartOrder{
		Task: n.Task, Token: n.Token, Entry: n.Entry, Team: n.Team, Size: n.Reserved,
		Resume: n.Checkpoint, Command: n.Command,
	}
}

// stale orders tasks to stop that the worker runs under tokens that are not
// current, and returns the use of the others.
func (t *term) stale(runs []state.Run, r *control.WorkerReport, out *control.WorkerOrders) []work.Usage {
	usage := make([]work.Usage, 0, len(r.Running))
	for _, u := range r.Running {
		switch {
		case current(runs, u.Task, u.Token) != nil:
			usage = append(usage, u)
		case t.leader.on(guardStale):
			out.Stops = append(out.Stops, work.Stop{Task: u.Task, Token: u.Token, Mode: work.StopKill})
			t.emit(event.WorkerStale, zap.String("worker", r.Worker.Name), zap.Uint64("job", uint64(u.Task.Job)),
				zap.Uint32("task", u.Task.Index), zap.Uint64("token", uint64(u.Token)))
		}
	}
	return usage
}

// prune forgets the start orders of runs that are over.
func (l *lease) prune(runs []state.Run) {
	if len(l.sent) <= 2*len(runs)+8 {
		return
	}
	for id, token := range l.sent {
		if current(runs, id, token) == nil {
			delete(l.sent, id)
		}
	}
}
