package leader

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// findRun returns the run of a task with the given token, or nil if runs does
// not contain it.
func findRun(runs []state.Run, id work.TaskID, token work.Token) *state.Run {
	i, found := slices.BinarySearchFunc(runs, runKey{id, token}, func(r state.Run, n runKey) int {
		return runKey{r.Task, r.Token}.compare(n)
	})
	if !found {
		return nil
	}
	return &runs[i]
}

// runKey identifies a run of a task. The runs of a worker are sorted by it.
type runKey struct {
	task  work.TaskID
	token work.Token
}

func (a runKey) compare(b runKey) int {
	return cmp.Or(cmp.Compare(a.token, b.token), cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Index, b.task.Index))
}

// reportedRuns finds the runs that a poll reports as running or ended.
type reportedRuns struct {
	report *control.WorkerReport
	index  map[runKey]struct{} // nil if the poll reports few runs
}

// maxLinearSearch is the number of runs up to which a linear search is faster
// than building an index.
const maxLinearSearch = 16

func newReportedRuns(r *control.WorkerReport) reportedRuns {
	n := reportedRuns{report: r}
	if len(r.Running)+len(r.Ended) <= maxLinearSearch {
		return n
	}
	n.index = make(map[runKey]struct{}, len(r.Running)+len(r.Ended))
	for _, u := range r.Running {
		n.index[runKey{u.Task, u.Token}] = struct{}{}
	}
	for _, e := range r.Ended {
		n.index[runKey{e.Task, e.Token}] = struct{}{}
	}
	return n
}

// contains reports whether the poll reports a run.
func (n *reportedRuns) contains(id work.TaskID, token work.Token) bool {
	if n.index != nil {
		_, ok := n.index[runKey{id, token}]
		return ok
	}
	return slices.ContainsFunc(n.report.Running, func(u work.Usage) bool { return u.Task == id && u.Token == token }) ||
		slices.ContainsFunc(n.report.Ended, func(e work.End) bool { return e.Task == id && e.Token == token })
}

// addOrders adds the orders for the runs of a worker to out: start orders until
// the worker reports the run or its end, and stop orders until it reports the
// end. Once the report of a run is overdue, the run is to be stopped. Runs that
// are to be stopped and for which no start order was ever sent are added to
// withdrawn and end without the worker. No start order for them can be sent any
// more, since this runs under the lock of the lease.
func (t *term) addOrders(l *lease, runs []state.Run, r *control.WorkerReport, out *control.WorkerOrders, withdrawn *[]work.End, now time.Time) {
	inReport := newReportedRuns(r)
	for i := range runs {
		n := &runs[i]
		reported := inReport.contains(n.Task, n.Token)
		overdue := !reported && t.reportOverdue(n, now)
		if n.State == work.TaskStopping {
			if !reported && t.neverSent(l, n) {
				*withdrawn = append(*withdrawn, work.End{Task: n.Task, Token: n.Token, Outcome: work.OutcomeStopped})
				continue
			}
			out.Stops = append(out.Stops, work.Stop{Task: n.Task, Token: n.Token, Mode: n.Stop})
		} else if overdue {
			out.Stops = append(out.Stops, work.Stop{Task: n.Task, Token: n.Token, Mode: work.StopKill})
		}
		// A worker that does not know a run to be stopped is told to start it as
		// well, so that it reports an end.
		if !reported && !overdue && !l.leaving {
			out.Starts = append(out.Starts, startOrder(n))
			if l.sentStarts == nil {
				l.sentStarts = make(map[work.TaskID]work.Token)
			}
			l.sentStarts[n.Task] = n.Token
		}
	}
}

// neverSent reports whether no start order for a run can have been sent: this
// term has sent none, and the run began in this term.
func (t *term) neverSent(l *lease, n *state.Run) bool {
	return l.sentStarts[n.Task] != n.Token && n.Token > t.orderQueue.termStart
}

func startOrder(n *state.Run) control.StartOrder {
	return control.StartOrder{
		Task: n.Task, Token: n.Token, Entry: n.Entry, Team: n.Team, Size: n.Reserved,
		Resume: n.Checkpoint, Command: n.Command,
	}
}

// stopStaleRuns orders the worker to stop runs whose tokens are not current, and
// returns the usage of the others.
func (t *term) stopStaleRuns(runs []state.Run, r *control.WorkerReport, out *control.WorkerOrders) []work.Usage {
	usage := make([]work.Usage, 0, len(r.Running))
	for _, u := range r.Running {
		switch {
		case findRun(runs, u.Task, u.Token) != nil:
			usage = append(usage, u)
		case t.leader.enabled(guardStaleTokens):
			out.Stops = append(out.Stops, work.Stop{Task: u.Task, Token: u.Token, Mode: work.StopKill})
			t.emit(event.StaleRunStopped, zap.String("worker", r.Worker.Name), zap.Uint64("job", uint64(u.Task.Job)),
				zap.Uint32("task", u.Task.Index), zap.Uint64("token", uint64(u.Token)))
		}
	}
	return usage
}

// pruneSentStarts deletes the start orders of ended runs once many have
// accumulated.
func (l *lease) pruneSentStarts(runs []state.Run) {
	if len(l.sentStarts) <= 2*len(runs)+8 {
		return
	}
	for id, token := range l.sentStarts {
		if findRun(runs, id, token) == nil {
			delete(l.sentStarts, id)
		}
	}
}
