package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// silentWorkerTimeout is the silence after which a worker without runs is
	// removed.
	silentWorkerTimeout = 15 * time.Second
	// stepAvoidTime is how long a step avoids a worker on which a run of it
	// failed or was slow.
	stepAvoidTime = 1500 * time.Millisecond
	// stepCheckInterval is the interval at which records of steps that are over are
	// dropped.
	stepCheckInterval = 5 * time.Second
	// A stop is logged if it is not confirmed stopLogDelay after the time that a
	// stop may take, and every stopLogInterval from then on.
	stopLogDelay    = time.Second
	stopLogInterval = 2 * time.Second
	// drainMargin is the time left between the stop of the runs on a draining
	// worker and the worker's termination, in addition to the time that a stop
	// may take.
	drainMargin = 400 * time.Millisecond
)

// runChecks handles timeouts, and wakes the loop that builds rounds for what
// becomes due, until ctx ends.
func (t *term) runChecks(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if !t.noteLease(t.isLeading()) {
			continue // this process may have been paused and heard nothing meanwhile
		}
		t.mu.Lock()
		now := t.now()
		for _, w := range t.workers {
			t.checkWorker(w, now)
			t.logStops(w, now)
		}
		t.expireDoubts(now)
		t.expireHolds(now)
		t.noteHeldEnds(now)
		t.expireRisks(now)
		t.recheckLosses(now)
		t.writeSpeeds(now)
		if now.Sub(t.stepsChecked) >= stepCheckInterval {
			t.stepsChecked = now
			t.dropSteps()
		}
		t.mu.Unlock()
		t.signal()
	}
}

// noteLease logs when the lease lapses and when it is regained. It returns held.
func (t *term) noteLease(held bool) bool {
	switch {
	case !held && t.lapsedAt.IsZero():
		t.lapsedAt = t.now()
		t.emit(event.LeaseLapsed, zap.Uint64("term", t.number))
	case held && !t.lapsedAt.IsZero():
		t.emit(event.LeaseRegained, zap.Uint64("term", t.number), zap.Duration("lapsed", t.now().Sub(t.lapsedAt)))
		t.lapsedAt = time.Time{}
	}
	return held
}

// logStops logs the runs of a worker that should have ended a while ago.
func (t *term) logStops(w *worker, now time.Time) {
	for _, r := range w.runs {
		t.logStop(r, now)
	}
	for _, r := range w.orphans {
		t.logStop(r, now)
	}
}

func (t *term) logStop(r *run, now time.Time) {
	if !r.stopping || r.endQueued || now.Sub(r.stoppingSince) < t.timing().StopTime+stopLogDelay || now.Before(r.nextStopLog) {
		return
	}
	r.nextStopLog = now.Add(stopLogInterval)
	t.emit(event.StopUnconfirmed, zap.Stringer("task", r.id), zap.Int("run", r.number), zap.String("worker", r.worker.ID),
		zap.Duration("since", now.Sub(r.stoppingSince)), zap.Bool("accepted", !r.stopAcceptedAt.IsZero()), zap.Int("missed", r.worker.missed))
}

// dropSteps drops the records of steps whose jobs are over. An answer or an end
// that came after a job was over may have made one anew.
func (t *term) dropSteps() {
	t.state().View(func(v *job.View) {
		for id := range t.steps {
			if v.Active[id.Job] == nil {
				delete(t.steps, id)
			}
		}
		for id := range t.timeToDeadline {
			if v.Active[id] == nil {
				delete(t.timeToDeadline, id)
			}
		}
		for id := range t.clearedRuns {
			if v.Active[id.Job] == nil {
				delete(t.clearedRuns, id)
			}
		}
		for id := range t.verdicts {
			if v.Active[id.Job] == nil {
				delete(t.verdicts, id)
			}
		}
	})
}

// checkWorker handles the timeouts of a worker and its runs.
func (t *term) checkWorker(w *worker, now time.Time) {
	if t.concludeLeave(w, now) {
		return
	}
	if len(w.runs)+len(w.orphans) > 0 && w.listsNothing(now) {
		t.loseRuns(w, "the lease has expired and the worker lists nothing")
		t.expireOrphans(w, now)
	}
	if len(w.runs) == 0 && now.Sub(w.lastSeen) > silentWorkerTimeout {
		t.removeWorker(w, "silent")
		return
	}
	if w.silent(now) {
		t.loseCopies(w, now)
	}
	if !w.polling && w.answers() && t.owesAcknowledgement(w) {
		t.startPolling(w) // what kept its ends is over
	}
	if w.Draining && !w.drainDeadline.IsZero() && now.After(w.drainDeadline.Add(-t.timing().StopTime-drainMargin)) {
		t.stopForDrain(w)
	}
	t.stopStalled(w, now)
}

// concludeLeave removes a worker that announced that it is leaving and has left. The
// notice names no incarnation and may be of an earlier one, so that a worker with
// runs is only removed if it no longer answers. It reports whether it was removed.
func (t *term) concludeLeave(w *worker, now time.Time) bool {
	switch {
	case w.leavesAt.IsZero() || !now.After(w.leavesAt):
		return false
	case w.answeredAt.After(w.leavesAt):
		t.emit(event.WorkerStays, zap.String("worker", w.ID), zap.Int64("life", int64(w.Life)), zap.Int("runs", len(w.runs)))
		w.leavesAt = time.Time{}
		return false
	case len(w.runs)+len(w.orphans) > 0 && w.missed < maxMissedAnswers:
		return false
	}
	t.removeWorker(w, "the worker left")
	return true
}

// gangTime returns how long a run may make no progress because it waits for
// other members of its gang.
func (t *term) gangTime(r *run) time.Duration {
	if r.spec.Gang {
		return t.timing().GangTime
	}
	return 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// stopForDrain stops the runs that would lose their work when a draining worker
// terminates.
func (t *term) stopForDrain(w *worker) {
	for _, r := range w.runs {
		if r.spec.Checkpoints || r.spec.Lasting {
			t.stop(r)
			t.stopGang(r)
		}
	}
}

// avoidForStep makes the step of a run avoid the run's worker for a while. It
// is not avoided for good, because it may be the only worker that can run the
// step.
func (t *term) avoidForStep(r *run, now time.Time) {
	until := now.Add(stepAvoidTime)
	if !r.unreadSince.IsZero() {
		until = now.Add(unreadAvoidTime)
	}
	t.step(r.id.StepID()).avoidUntil[r.worker.ID] = until
}

// step returns the leader's record of a step. It creates one if there is none.
func (t *term) step(id job.StepID) *stepState {
	s := t.steps[id]
	if s == nil {
		s = &stepState{
			avoidUntil: map[string]time.Time{},
			advice:     fit.Advice{Answers: map[string]fit.Answer{}, Asked: map[string]bool{}},
		}
		t.steps[id] = s
	}
	return s
}
