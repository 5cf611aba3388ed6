package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// waitCheckInterval is the time between two classifications of what tasks wait for.
	waitCheckInterval = time.Second
	// A wait is overdue overdueMargin after its deadline. Time counts only between
	// classifications at most maxCheckGap apart: a leader that was paused, or had no lease,
	// could not end the wait.
	overdueMargin = time.Second
	maxCheckGap   = 1500 * time.Millisecond
)

// Wait is the mechanism for which a task that is due does not start.
type Wait uint8

// Waits of tasks. classify.go says what ends each at the latest.
const (
	WaitCopies    Wait = iota // for copies of an earlier start
	WaitBound                 // for the only worker that has refused such copies
	WaitKept                  // for a run that is kept on a worker that is not heard
	WaitFormer                // for a run of a former incarnation
	WaitLease                 // for the lease of a worker that does not answer or is unhealthy
	WaitStopping              // for the end of a run that is being stopped
	WaitStarting              // for the outcome of a start
	WaitCommit                // for the commit of the end of its run
	WaitGang                  // for the other members of its gang
	WaitVerdict               // for a verdict on whether it crashes its workers
	WaitPaused                // for the end of a pause after it has crashed its workers
	WaitAvoided               // for a worker that its step avoids
	WaitUnplanned             // in no demand and no other wait
	WaitTrial                 // the rest are what the planner says of a demand
	WaitRound                 // for the next rounds
	WaitRoom
	WaitLimit
	WaitHeadroom
	WaitAdvice
	WaitDenied
	WaitUnsuitable
	numWaits
)

var waitNames = [numWaits]string{
	"copies", "bound", "kept", "former", "lease", "stopping", "starting", "commit", "gang", "verdict", "paused", "avoided",
	"unplanned", "trial", "round", "room", "limit", "headroom", "advice", "denied", "unsuitable",
}

// waitReasons describe the waits that the planner does not know.
var waitReasons = [WaitTrial]string{
	"copies of an earlier start may still be carried out",
	"only the worker that has refused copies of an earlier start may run it",
	"its run is kept, since the worker is not heard and copies of the start have no answer",
	"a former incarnation of the worker may have its run",
	"the worker of its run does not answer or is unhealthy, and holds a lease",
	"its run is being stopped",
	"its start has no outcome yet",
	"the end of its run is not committed yet",
	"members of the former run of its gang have not ended",
	"workers crashed under it, and others may have crashed too",
	"it crashes its workers and is never given up",
	"its step avoids the workers that could run it",
	"no round has considered it",
}

// String returns the name of the wait.
func (w Wait) String() string { return waitNames[w] }

// Waits returns all waits.
func Waits() []Wait {
	list := make([]Wait, numWaits)
	for i := range list {
		list[i] = Wait(i)
	}
	return list
}

// taskWait is what a task waits for.
type taskWait struct {
	wait    Wait
	run     int
	worker  string    // on which the wait depends; empty if none
	since   time.Time // as far as this leader knows
	cause   time.Time // of what the deadline derives from, such as the latest copy of a start
	until   time.Time // zero if the wait has no deadline
	late    time.Duration
	overdue bool // it was logged
	checked time.Time
}

// sameAs reports whether a wait goes on with the same deadline.
func (w *taskWait) sameAs(o *taskWait) bool {
	return w.wait == o.wait && w.run == o.run && w.worker == o.worker && w.cause.Equal(o.cause)
}

// waitGroup identifies tasks of a step that wait for the same.
type waitGroup struct {
	step   job.StepID
	wait   Wait
	worker string
}

// groupLine is what is logged about a group.
type groupLine struct {
	tasks        int
	since, until time.Time
}

// waits is what the leader knows of the waits of tasks. Those that the planner explains are
// only counted.
type waits struct {
	checked time.Time // when the waits were last classified
	tasks   map[job.TaskID]*taskWait
	nextLog map[waitGroup]time.Time // a group is not logged before this
	counts  [numWaits]int
}

// Waiting returns the number of tasks in a wait, as of the last classification, while this
// process leads.
func (d *Dispatcher) Waiting(w Wait) int {
	if d.current.Load() == nil {
		return 0
	}
	return int(d.waiting[w].Load())
}

// Overdue returns how many waits of tasks went on past their deadline.
func (d *Dispatcher) Overdue() int { return int(d.overdue.Load()) }

// begin starts a classification.
func (w *waits) begin(now time.Time) {
	if w.tasks == nil {
		w.tasks, w.nextLog = map[job.TaskID]*taskWait{}, map[waitGroup]time.Time{}
	}
	w.checked, w.counts = now, [numWaits]int{}
}

// add records the wait of a task. The deadline of one that goes on stays as it is.
func (w *waits) add(id job.TaskID, n taskWait) {
	n.checked = w.checked
	if old := w.tasks[id]; old != nil && old.wait == n.wait && old.run == n.run {
		n.since = old.since
		if old.sameAs(&n) {
			n.until, n.late, n.overdue = old.until, old.late, old.overdue
		}
	}
	if n.since.IsZero() {
		n.since = w.checked
	}
	w.tasks[id] = &n
	w.counts[n.wait]++
}

// finishWaits drops the waits that are over, logs those that are not, and counts those that are
// overdue. The time since the classification before is given.
func (t *term) finishWaits(gap time.Duration) {
	w := &t.waits
	lines := map[waitGroup]groupLine{}
	for id, k := range w.tasks {
		if !k.checked.Equal(w.checked) {
			delete(w.tasks, id)
			continue
		}
		t.checkOverdue(id, k, gap)
		g := waitGroup{id.StepID(), k.wait, k.worker}
		l := lines[g]
		if l.tasks == 0 || k.since.Before(l.since) {
			l.since = k.since
		}
		l.tasks, l.until = l.tasks+1, later(l.until, k.until)
		lines[g] = l
	}
	for g := range w.nextLog {
		if lines[g].tasks == 0 {
			delete(w.nextLog, g)
		}
	}
	for g, l := range lines {
		t.logWait(g, l)
	}
	for i, n := range w.counts {
		t.dispatcher.waiting[i].Store(int64(n))
	}
}

// logWait logs the tasks of a step that have been waiting for a while.
func (t *term) logWait(g waitGroup, l groupLine) {
	w := &t.waits
	if w.checked.Sub(l.since) < waitLogDelay || w.checked.Before(w.nextLog[g]) {
		return
	}
	w.nextLog[g] = w.checked.Add(waitLogInterval)
	t.emit(event.TaskWaits, append([]zap.Field{zap.Stringer("step", g.step), zap.Int("tasks", l.tasks)}, g.wait.fields(g.worker, l.since, l.until)...)...)
}

// fields returns the fields of a line about a wait.
func (w Wait) fields(worker string, since, until time.Time) []zap.Field {
	f := []zap.Field{zap.Stringer("wait", w), zap.String("reason", waitReasons[w]), zap.Time("since", since)}
	if worker != "" {
		f = append(f, zap.String("worker", worker))
	}
	if !until.IsZero() {
		f = append(f, zap.Time("until", until))
	}
	return f
}

// checkOverdue logs a wait that is past its deadline, once.
func (t *term) checkOverdue(id job.TaskID, k *taskWait, gap time.Duration) {
	past := t.waits.checked.Sub(k.until)
	if k.until.IsZero() || past <= 0 || gap > maxCheckGap || k.overdue {
		return
	}
	if k.late += min(past, gap); k.late < overdueMargin {
		return
	}
	k.overdue = true
	t.dispatcher.overdue.Add(1)
	t.emit(event.WaitOverdue, append([]zap.Field{zap.Stringer("task", id), zap.Int("run", k.run)}, k.wait.fields(k.worker, k.since, k.until)...)...)
}
