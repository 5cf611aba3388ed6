package placement

import (
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Reasons that decisions give. The leader logs one line for each decision with
// the event of the same name.
const (
	ReasonService  = "service task spread over zones and racks"
	ReasonBatch    = "batch task packed by best fit"
	ReasonGang     = "all tasks of a gang fit at once"
	ReasonReserved = "reserved capacity of a gang became free"
	ReasonBackfill = "task backfilled before a reservation begins"
	ReasonUrgent   = "urgent task placed"
	ReasonClaimed  = "urgent task placed where others were preempted"
	ReasonPreempt  = "tasks asked to checkpoint for urgent work"
	ReasonStop     = "tasks stopped for urgent work"
	ReasonTrial    = "trial task on a worker that was set aside"
	ReasonShape    = "job refused: it fits no worker or limit"
	ReasonFaulty   = "job refused: it fails on healthy workers"
	ReasonOversize = "job refused: it needs more than any worker or limit allows"
)

// Reasons returns all reasons of decisions.
func Reasons() []string {
	return []string{ReasonService, ReasonBatch, ReasonGang, ReasonReserved, ReasonBackfill, ReasonUrgent, ReasonClaimed,
		ReasonPreempt, ReasonStop, ReasonTrial, ReasonShape, ReasonFaulty, ReasonOversize}
}

// Decide proposes up to limit decisions. It counts what it proposes as taken
// until an event or Rejected answers.
func (s *Scheduler) Decide(now time.Time, limit int) []work.Decision {
	s.advance(now)
	s.limit, s.out = limit, nil
	s.rebase()
	s.resume(s.now)
	s.unpark()
	s.forgetDeparted()
	s.check()
	s.escalate()
	s.placeUrgent()
	s.placeGangs()
	s.placeReleased()
	s.placeFresh()
	s.placeTrials()
	out := s.out
	s.out = nil
	s.stats.Decisions += uint64(len(out))
	return out
}

func (s *Scheduler) full() bool { return len(s.out) >= s.limit }

// outMinimum is the capacity of a new list of decisions.
const outMinimum = 16

func (s *Scheduler) emit(d work.Decision) {
	if s.out == nil {
		s.out = make([]work.Decision, 0, max(min(s.limit, outMinimum), 1))
	}
	s.out = append(s.out, d)
}

// arenaSize is the number of starts that are allocated at once.
const arenaSize = 256

// record returns a list of n starts that the caller fills.
func (s *Scheduler) record(n int) []work.Start {
	if cap(s.starts)-len(s.starts) < n {
		s.starts = make([]work.Start, 0, max(n, arenaSize))
	}
	k := len(s.starts)
	s.starts = s.starts[:k+n]
	return s.starts[k : k+n : k+n]
}

// begins proposes one queued task of j on w and returns the start.
func (s *Scheduler) begins(j *job, w *worker, size work.Resources) work.Start {
	end := len(j.ready) - 1
	t := &j.tasks[j.ready[end]]
	j.ready = j.ready[:end]
	s.stats.Queued--
	s.stats.Starts++
	t.token, t.start = 0, s.now
	t.end = s.now.Add(s.runTime(j, s.options.EndQuantile))
	s.occupy(t, w, size, proposed)
	if len(j.ready) == 0 {
		s.dequeue(j)
	}
	return work.Start{Task: t.id(), Worker: w.name, Boot: w.boot, Reserved: size}
}

// start proposes one task.
func (s *Scheduler) start(j *job, w *worker, size work.Resources, reason string) {
	list := s.record(1)
	list[0] = s.begins(j, w, size)
	s.emit(work.Decision{Starts: list, Reason: reason})
}

// startGang proposes all waiting tasks of a gang.
func (s *Scheduler) startGang(j *job, size work.Resources, shares []share, reason string) {
	list := s.record(len(j.ready))
	n := 0
	for _, p := range shares {
		for range p.n {
			list[n] = s.begins(j, p.worker, size)
			n++
		}
	}
	s.emit(work.Decision{Starts: list, Atomic: true, Reason: reason})
}

func reasonOf(class work.Class) string {
	if class == work.Service {
		return ReasonService
	}
	return ReasonBatch
}

// placeReleased gives the room on workers that became freer to the work that
// comes next in the order of the teams.
func (s *Scheduler) placeReleased() {
	head := 0
	for head < len(s.released) && !s.full() {
		if w := s.released[head]; !s.serve(w) {
			w.dirty = false
			head++
		}
	}
	n := copy(s.released, s.released[head:])
	clear(s.released[n:])
	s.released = s.released[:n]
}

// serve starts one task that fits the worker, wherever its policy places it.
func (s *Scheduler) serve(w *worker) bool {
	if !w.usable() || w.hold != nil && w.hold.claim {
		return false
	}
	j := s.pickFor(w)
	if j == nil {
		return false
	}
	size, reason := s.size(j), reasonOf(j.class)
	at := w
	if w.hold != nil {
		reason = ReasonBackfill
	} else if best, ok := policyOf(j.class).place(s, request{j, size}); ok {
		at = best
	}
	s.start(j, at, size, reason)
	return true
}

// freshTries bounds the searches in vain of one round.
const freshTries = 64

// placeFresh tries the work that was not tried yet.
func (s *Scheduler) placeFresh() {
	for failed := 0; failed < freshTries && !s.full(); {
		j := s.pickFresh()
		if j == nil {
			return
		}
		size := s.size(j)
		if w, ok := policyOf(j.class).place(s, request{j, size}); ok {
			s.start(j, w, size, reasonOf(j.class))
		} else if w := s.borrow(j, size); w != nil {
			s.start(j, w, size, ReasonBackfill)
		} else {
			failed++
			s.fresh.drop(j.slot)
			s.passed(j)
			s.refreshTeam(j.team)
		}
	}
}

// Rejected tells that a proposed decision was not applied.
func (s *Scheduler) Rejected(decision work.Decision, _ string) {
	s.stats.Rejections++
	for i := range decision.Starts {
		t := s.task(decision.Starts[i].Task)
		if t == nil || t.state != proposed || t.worker.name != decision.Starts[i].Worker {
			continue
		}
		s.vacate(t)
		t.state = queued
		t.job.ready = append(t.job.ready, t.index)
		s.stats.Queued++
		s.later(t.job)
	}
	for i := range decision.Stops {
		if t := s.task(decision.Stops[i].Task); t != nil && t.state == started && t.token == decision.Stops[i].Token {
			t.asked = false
		}
	}
	for i := range decision.Refuse {
		if j := s.jobs[decision.Refuse[i].Job]; j != nil && j.refusing {
			j.refusing, j.checked = false, false
			s.later(j)
		}
	}
}
