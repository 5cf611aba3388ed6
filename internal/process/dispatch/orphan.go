package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// orphan identifies a run that was given up.
type orphan struct {
	task job.TaskID
	run  int
}

// giveUp gives up a run that may continue, or begin, because its task may run in
// several copies. Its worker gets no new tasks before it can no longer execute the
// run: it has answered a stop, and a later listing does not show the run.
func (t *term) giveUp(r *run, reason string) {
	if r.endQueued {
		return
	}
	t.lose(r, reason)
	t.addOrphan(r.worker, r.id, r.number, t.fence(r.worker), reason)
}

// addOrphan has a run counted until its worker can no longer execute it, and stops
// it. The run was given up, or the worker lists it and the leader does not know it.
func (t *term) addOrphan(w *worker, id job.TaskID, number int, fence uint64, reason string) {
	if w.orphans[orphan{id, number}] != nil {
		return
	}
	t.inbox.orphans = append(t.inbox.orphans, job.Start{Task: id, Run: number, Worker: w.ID, Life: w.Life})
	t.stopOrphan(w, id, number, fence, reason)
	t.signal()
}

// stopOrphan stops a run that is given up or not known. Its start had a fencing token of at most
// fence.
func (t *term) stopOrphan(w *worker, id job.TaskID, number int, fence uint64, reason string) {
	key := orphan{id, number}
	if w.orphans[key] != nil {
		return
	}
	r := &run{id: id, number: number, worker: w, spec: &job.Step{}, fence: fence}
	if w.orphans == nil {
		w.orphans = map[orphan]*run{}
	}
	w.orphans[key] = r
	t.emit(event.RunUnclear, zap.Stringer("task", id), zap.Int("run", number), zap.String("worker", w.ID), zap.Int64("life", int64(w.Life)),
		zap.String("reason", reason))
	t.stop(r)
}

// dropOrphans drops the orphans that the worker can no longer execute: those that a listing does not
// show although it was sent after the worker had accepted their stop, after an earlier listing that
// showed them, or with a higher fencing token than their start, which the worker refuses from then on.
func (t *term) dropOrphans(w *worker, fence uint64, sent time.Time, present map[job.TaskID]int) {
	for key, r := range w.orphans {
		switch listed, ok := present[key.task]; {
		case ok && listed == key.run:
			r.listed = true
		case ok && listed == Unread && !t.stopTimeOver(r, sent):
		case !r.stopAcceptedAt.IsZero() && r.stopAcceptedAt.Before(sent), r.listed, fence > r.fence:
			t.dropOrphan(w, key, r, "the next incarnation of its worker does not execute it")
		}
	}
}

// dropOrphan drops an orphan, and ends the run of a former incarnation that ends with it.
func (t *term) dropOrphan(w *worker, key orphan, r *run, reason string) {
	r.endQueued = true // ends the resending of the stop
	delete(w.orphans, key)
	if r.former != nil {
		t.lose(r.former, reason)
	}
	t.inbox.settled = append(t.inbox.settled, job.Start{Task: key.task, Run: key.run, Worker: w.ID, Life: w.Life})
	t.signal()
}

// adoptOrphans stops the runs on one worker that an earlier leader gave up, or this one for an
// incarnation that has returned.
func (t *term) adoptOrphans(name string, orphans map[job.OrphanID]job.Orphan, fence uint64) {
	w := t.workers[name]
	for id := range orphans {
		if w != nil && w.Life == id.Life {
			t.stopOrphan(w, id.Task, id.Run, fence, "it was given up before")
		}
	}
}
