package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// lateTime is how long an order without an answer may still be carried out on the platform.
const lateTime = 12 * time.Second

// runID identifies a run on the workers of an ID.
type runID struct {
	task   job.TaskID
	run    int
	worker string
}

// fates decides what becomes of orders: some get no answer and are lost, carried out at once, or
// carried out late by the incarnation that runs then. It records what the workers see. A
// nil pointer leaves all orders as they are.
type fates struct {
	// settled, if set, has late starts carried out by an incarnation after the one that
	// had settled their run, by an answer to its stop or a listing of its end.
	settled bool
	// prompt, if set, has no order carried out late.
	prompt bool
	// origins, if set, has the clocks of later incarnations start with any reading.
	origins bool
	// named, if set, has answers to starts and stops state the incarnation.
	named bool

	mu     sync.Mutex
	random *rand.Rand
	slow   *rand.Rand // draws which copies are answered after their order
	links  map[string]*linkState
	proofs map[runID]job.Incarnation // incarnation that settled a run
	done   map[doneRun]time.Time     // when a run ended done
	noted  map[doneRun]bool          // ends of done that were acknowledged
	starts []startedRun
	gaps   int // late starts of settled runs that were, or would have been, carried out
	late   int // starts that were carried out late
	copies int // starts without an answer that were carried out at once
	slowly int // copies that were answered late
	trace  []string
}

// linkState counts the faults on the way to a worker.
type linkState struct {
	cut     int // nothing arrives in either direction, but some orders do later
	unheard int // orders arrive, and nothing that the worker sends does
	lossy   int // half of the orders get no answer
}

type doneRun struct {
	task job.TaskID
	run  int
}

type startedRun struct {
	doneRun
	worker string
	at     time.Time
}

func newFates(seed uint64) *fates {
	return &fates{
		random: rand.New(rand.NewPCG(seed, 1)), slow: rand.New(rand.NewPCG(seed, 9)), links: map[string]*linkState{},
		proofs: map[runID]job.Incarnation{}, done: map[doneRun]time.Time{}, noted: map[doneRun]bool{},
	}
}

// note records what happened.
func (f *fates) note(format string, arguments ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record(format, arguments...)
}

func (f *fates) record(format string, arguments ...any) {
	f.trace = append(f.trace, time.Now().Format("04:05.000 ")+fmt.Sprintf(format, arguments...))
}

// Write records a line of the leader's log.
func (f *fates) Write(line []byte) (int, error) {
	f.note("%s", strings.TrimSpace(string(line)))
	return len(line), nil
}

// Sync does nothing.
func (f *fates) Sync() error { return nil }

// history returns what happened to a task, and all faults.
func (f *fates) history(task string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var lines []string
	for _, l := range f.trace {
		if strings.Contains(l, task) || strings.Contains(l, "fault") {
			lines = append(lines, l)
		}
	}
	return "\n    " + strings.Join(lines, "\n    ")
}

// link returns the state of the way to a worker. The caller holds the lock.
func (f *fates) link(id string) *linkState {
	if f.links[id] == nil {
		f.links[id] = &linkState{}
	}
	return f.links[id]
}

// decide returns whether an order gets no answer, whether it is carried out, and when.
func (f *fates) decide(id string) (unanswered, arrives bool, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, chance := f.link(id), f.random.IntN(10)
	late := time.Duration(f.random.Int64N(int64(lateTime)))
	if f.prompt {
		late = 0
	}
	switch {
	case l.cut > 0:
		return true, chance < 3, late
	case l.unheard > 0 && chance < 7:
		return true, true, 0
	case l.unheard > 0:
		return true, chance < 9, late
	case l.lossy > 0 && chance < 2:
		return true, true, 0
	case l.lossy > 0 && chance < 4:
		return true, true, late
	case l.lossy > 0 && chance < 5:
		return true, false, 0
	}
	return false, false, 0
}

// unanswered plays an order that gets no answer. It reports whether this one gets none.
func (f *fates) unanswered(p Permit, h *fakeWorkers, id string, carryOut func(w *fakeWorker, late bool)) bool {
	if f == nil {
		return false
	}
	unanswered, arrives, delay := f.decide(id)
	if !unanswered {
		return false
	}
	deliver := func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if w := h.all[id]; w != nil && !w.replaced && !w.refusesConnections {
			h.endDueRuns(w)
			carryOut(w, delay > 0)
		}
	}
	switch {
	case arrives && delay > 0:
		time.AfterFunc(delay, deliver)
	case arrives:
		deliver()
	}
	time.Sleep(p.Timeout)
	return true
}

// start has a worker carry out a start without an answer in time. Every second one is answered late,
// if that is awaited so long.
func (f *fates) start(p Permit, sent time.Time, h *fakeWorkers, id string, w *fakeWorker, o StartOrder, late bool) {
	f.mu.Lock()
	proof := f.proofs[runID{o.Task, o.Run, id}]
	gap := proof != 0 && w.life > proof && o.Fence >= w.fence && o.Run > w.stopped[o.Task] && o.Lease.After(h.clock(w))
	if gap {
		f.gaps++
	}
	if late {
		f.late++
	} else {
		f.copies++
	}
	f.record("%s run %d: copy without an answer on %s life %d, late %t, settled by life %d", o.Task, o.Run, id, w.life, late, proof)
	answers := f.slow.IntN(2) == 0 && f.link(id).cut+f.link(id).unheard == 0 && time.Since(sent) < p.Await && p.Late != nil
	if gap && !f.settled {
		f.mu.Unlock()
		return
	}
	if answers {
		f.slowly++
	}
	f.mu.Unlock()
	a := h.carryOut(id, w, o, Answer{Result: Accepted, Clock: h.clock(w)})
	if answers {
		time.AfterFunc(time.Millisecond, func() { p.Late(a) })
	}
}

// anonymous removes the incarnation from an answer to a start or a stop, unless answers state it.
func (f *fates) anonymous(w *fakeWorker, a Answer) Answer {
	if w.anonymous || f != nil && !f.named {
		a.Life = 0
	}
	return a
}

// settle records that an incarnation has proved to the leader that it executes a run no more.
func (f *fates) settle(id string, w *fakeWorker, task job.TaskID, run int) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if key := (runID{task, run, id}); f.proofs[key] == 0 {
		f.proofs[key] = w.life
		f.record("%s run %d: settled by %s life %d", task, run, id, w.life)
	}
}

// ended records the end of a run.
func (f *fates) ended(w *fakeWorker, e EndedRun) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record("%s run %d: ended %s on life %d, number %d", e.Task, e.Run, e.Outcome, w.life, e.Number)
	if e.Outcome == job.Done {
		f.done[doneRun{e.Task, e.Run}] = time.Now()
	}
}

// acknowledged records that a worker forgets an end. It counts unless the worker's lease was
// over meanwhile.
func (f *fates) acknowledged(w *fakeWorker, e EndedRun) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record("%s run %d: end %d acknowledged, life %d", e.Task, e.Run, e.Number, w.life)
	if e.Outcome == job.Done && e.Number > w.lapsedEnds {
		f.noted[doneRun{e.Task, e.Run}] = true
	}
}

// started records a start.
func (f *fates) started(id string, w *fakeWorker, o StartOrder) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, startedRun{doneRun{o.Task, o.Run}, id, time.Now()})
	f.record("%s run %d: runs on %s life %d, fence %d", o.Task, o.Run, id, w.life, o.Fence)
}

// startsAfterDone returns the tasks that started after an acknowledged end of done.
func (f *fates) startsAfterDone() []job.TaskID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var tasks []job.TaskID
	for _, s := range f.starts {
		for d, at := range f.done {
			if f.noted[d] && d.task == s.task && s.at.After(at) {
				tasks = append(tasks, s.task)
			}
		}
	}
	return tasks
}

// prepareList has a worker carry out what a listing orders. It reports whether the order is
// of the latest leader that the worker knows.
func (h *fakeWorkers) prepareList(w *fakeWorker, o ListOrder) bool {
	if o.Fence < w.fence {
		return false
	}
	w.fence, w.lastListing = o.Fence, o
	h.extendLease(w, o.Lease)
	w.ended = slices.DeleteFunc(w.ended, func(e EndedRun) bool {
		if e.Number <= o.Acknowledged {
			h.fates.acknowledged(w, e)
		}
		return e.Number <= o.Acknowledged
	})
	return true
}
