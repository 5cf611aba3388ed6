package placement

import (
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Reasons for decisions. Each one is also the name of the event under which the
// leader logs the decision.
const (
	ReasonService    = "service task spread over zones and racks"
	ReasonBatch      = "batch task packed by best fit"
	ReasonGang       = "all tasks of a gang fit at once"
	ReasonReserved   = "reserved capacity of a gang became free"
	ReasonBackfill   = "task backfilled before a reservation begins"
	ReasonUrgent     = "urgent task placed"
	ReasonClaimed    = "urgent task placed where others were preempted"
	ReasonPreempt    = "tasks asked to checkpoint for urgent work"
	ReasonStop       = "tasks stopped for urgent work"
	ReasonTrial      = "trial task on a worker that was set aside"
	ReasonInfeasible = "job refused: it fits no worker or limit"
	ReasonFaulty     = "job refused: it fails on healthy workers"
	ReasonOversized  = "job refused: it needs more than any worker or limit allows"
)

// Reasons returns every reason that a decision can have.
func Reasons() []string {
	return []string{ReasonService, ReasonBatch, ReasonGang, ReasonReserved, ReasonBackfill, ReasonUrgent, ReasonClaimed,
		ReasonPreempt, ReasonStop, ReasonTrial, ReasonInfeasible, ReasonFaulty, ReasonOversized}
}

// Decide proposes up to limit decisions. It treats them as applied until an
// event confirms them or Reject reverts them.
func (s *Scheduler) Decide(now time.Time, limit int) []work.Decision {
	s.advanceClock(now)
	s.limit, s.decisions = limit, nil
	s.refreshShares()
	s.endBackoffs(s.now)
	s.unpark()
	s.removeDeparted()
	s.refuseInfeasible()
	s.escalatePreemptions()
	s.placeUrgent()
	s.placeGangs()
	s.placeOnFreedWorkers()
	s.placeUntried()
	s.placeTrials()
	out := s.decisions
	s.decisions = nil
	s.stats.Decisions += uint64(len(out))
	return out
}

func (s *Scheduler) limitReached() bool { return len(s.decisions) >= s.limit }

// decisionCapacity is the initial capacity of a list of decisions, unless the
// limit is lower.
const decisionCapacity = 16

func (s *Scheduler) emit(d work.Decision) {
	if s.decisions == nil {
		s.decisions = make([]work.Decision, 0, max(min(s.limit, decisionCapacity), 1))
	}
	s.decisions = append(s.decisions, d)
}

// startArenaSize is the number of work.Start values that are allocated at once.
const startArenaSize = 256

// allocStarts returns n starts from the arena for the caller to fill.
func (s *Scheduler) allocStarts(n int) []work.Start {
	if cap(s.startArena)-len(s.startArena) < n {
		s.startArena = make([]work.Start, 0, max(n, startArenaSize))
	}
	k := len(s.startArena)
	s.startArena = s.startArena[:k+n]
	return s.startArena[k : k+n : k+n]
}

// proposeStart reserves size on w for the next queued task of j and returns the
// proposed start.
func (s *Scheduler) proposeStart(j *job, w *worker, size work.Resources) work.Start {
	end := len(j.queuedTasks) - 1
	t := &j.tasks[j.queuedTasks[end]]
	j.queuedTasks = j.queuedTasks[:end]
	s.stats.Queued--
	s.stats.Starts++
	t.token, t.start = 0, s.now
	t.estimatedEnd = s.now.Add(s.runTimeQuantile(j, s.options.EndQuantile))
	s.reserveRun(t, w, size, taskProposed)
	if len(j.queuedTasks) == 0 {
		s.dequeue(j)
	}
	return work.Start{Task: t.id(), Worker: w.name, Boot: w.boot, Reserved: size}
}

// startTask proposes the start of one task of j on w.
func (s *Scheduler) startTask(j *job, w *worker, size work.Resources, reason string) {
	list := s.allocStarts(1)
	list[0] = s.proposeStart(j, w, size)
	s.emit(work.Decision{Starts: list, Reason: reason})
}

// startGang proposes the start of all queued tasks of a gang in one atomic
// decision.
func (s *Scheduler) startGang(j *job, size work.Resources, allocations []allocation, reason string) {
	list := s.allocStarts(len(j.queuedTasks))
	n := 0
	for _, p := range allocations {
		for range p.count {
			list[n] = s.proposeStart(j, p.worker, size)
			n++
		}
	}
	s.emit(work.Decision{Starts: list, Atomic: true, Reason: reason})
}

func placementReason(class work.Class) string {
	if class == work.Service {
		return ReasonService
	}
	return ReasonBatch
}

// placeOnFreedWorkers offers the free capacity of workers in freedWorkers to
// waiting jobs, in the order of team priority.
func (s *Scheduler) placeOnFreedWorkers() {
	head := 0
	for head < len(s.freedWorkers) && !s.limitReached() {
		if w := s.freedWorkers[head]; !s.startNextOn(w) {
			w.listedAsFreed = false
			head++
		}
	}
	n := copy(s.freedWorkers, s.freedWorkers[head:])
	clear(s.freedWorkers[n:])
	s.freedWorkers = s.freedWorkers[:n]
}

// startNextOn starts one task of the next job that fits on w and reports
// whether there was one. The job's policy may choose another worker for the
// task.
func (s *Scheduler) startNextOn(w *worker) bool {
	if !w.usable() || w.hold != nil && w.hold.forPreemption {
		return false
	}
	j := s.pickForWorker(w)
	if j == nil {
		return false
	}
	size, reason := s.taskSize(j), placementReason(j.class)
	at := w
	if w.hold != nil {
		reason = ReasonBackfill
	} else if best, ok := policyFor(j.class).place(s, taskRequest{j, size}); ok {
		at = best
	}
	s.startTask(j, at, size, reason)
	return true
}

// maxFailedSearches limits the unsuccessful placement searches in one round.
const maxFailedSearches = 64

// placeUntried places jobs that were not tried yet and jobs that a rescan tries
// again.
func (s *Scheduler) placeUntried() {
	for failed := 0; failed < maxFailedSearches && !s.limitReached(); {
		j := s.pickUntried()
		if j == nil {
			return
		}
		size := s.taskSize(j)
		if w, ok := policyFor(j.class).place(s, taskRequest{j, size}); ok {
			s.startTask(j, w, size, placementReason(j.class))
		} else if w := s.findBackfill(j, size); w != nil {
			s.startTask(j, w, size, ReasonBackfill)
		} else {
			failed++
			s.untried.drop(j.slot)
			s.advanceRescan(j)
			s.reindexTeam(j.team)
		}
	}
}

// Reject reverts a proposed decision that was not applied.
func (s *Scheduler) Reject(decision work.Decision, _ string) {
	s.stats.Rejections++
	for i := range decision.Starts {
		t := s.task(decision.Starts[i].Task)
		if t == nil || t.state != taskProposed || t.worker.name != decision.Starts[i].Worker {
			continue
		}
		s.releaseRun(t)
		t.state = taskQueued
		t.job.queuedTasks = append(t.job.queuedTasks, t.index)
		s.stats.Queued++
		s.backOff(t.job)
	}
	for i := range decision.Stops {
		if t := s.task(decision.Stops[i].Task); t != nil && t.state == taskStarted && t.token == decision.Stops[i].Token {
			t.stopRequested = false
		}
	}
	for i := range decision.Refuse {
		if j := s.jobs[decision.Refuse[i].Job]; j != nil && j.refusalProposed {
			j.refusalProposed, j.checked = false, false
			s.backOff(j)
		}
	}
}
