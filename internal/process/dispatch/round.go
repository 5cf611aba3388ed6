package dispatch

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/version/raft"
)

const (
	// maxRoundStarts bounds the starts of one round, but for the last gang. A round of this size
	// takes about 100 KB in the log.
	maxRoundStarts = 800
	// maxRoundInput bounds the input of one round in bytes. It leaves room for the
	// starts and for an input that is a little larger than estimated.
	maxRoundInput = raft.MaxCommand / 2
	// roundReserve is kept free of entries in each round.
	roundReserve = 16 << 10
)

// roundLimits bound the next round.
type roundLimits struct {
	input  int        // bytes
	starts int        // but for the last gang
	gang   job.StepID // has the next round for itself, since it fits beside no others; zero if there is none
}

var fullRound = roundLimits{input: maxRoundInput, starts: maxRoundStarts}

// commitOutcome is what became of a round.
type commitOutcome uint8

const (
	roundCommitted commitOutcome = iota
	roundFailed                  // it may still be committed
	roundTooLarge                // for the log; it was not proposed
)

// progressInterval is the interval of rounds while copies of starts may be carried out.
const progressInterval = 500 * time.Millisecond

// maxDecideShare is the largest share of the time that decisions take. Beyond it,
// rounds come less often and decide more at once, so that orders, listings and
// calls are not starved of the processor under overload.
const maxDecideShare = 0.4

// runRounds builds and commits rounds until ctx ends.
func (t *term) runRounds(ctx context.Context) {
	for {
		select {
		case <-t.wake:
		case <-ctx.Done():
			return
		}
		sleepUntil(ctx, t.nextRound)
		began := time.Now()
		r, in, starts := t.buildRound()
		took := time.Since(began)
		t.nextRound = began.Add(time.Duration(float64(took) / maxDecideShare))
		t.emit(event.RoundDecided, zap.Duration("took", took))
		if r.Empty() && !t.progressDue() {
			t.notify(in, true)
			continue
		}
		result, outcome := t.commit(ctx, r)
		switch outcome {
		case roundCommitted:
			t.handleCommitted(&r, in, starts, result)
		case roundTooLarge:
			t.split(in)
		case roundFailed:
			t.dropFaulty(&in)
			t.requeue(in)
			if ctx.Err() == nil {
				sleep(ctx, commitRetryDelay)
				t.signal()
			}
		}
	}
}

// progressDue reports whether to commit an empty round, which records the time that has passed since
// starts with copies without an answer, so that the next leader does not count it anew.
func (t *term) progressDue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.doubts) == 0 {
		return false
	}
	due := false
	t.state().View(func(v *job.View) { due = t.now().Sub(v.Updated) >= progressInterval })
	return due
}

// buildRound builds the next round from the input received and the starts
// planned.
func (t *term) buildRound() (job.Round, inbox, []fit.Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inbox.replaced = t.dropReplaced(t.inbox.replaced)
	limits := t.limits
	if limits.gang != (job.StepID{}) {
		limits.input = 0
	}
	in, used := t.inbox.take(limits.input)
	if len(in.ends) > 0 {
		t.state().View(func(v *job.View) { v.MergeFailures(in.ends) })
	}
	r := job.Round{
		Catalogue: in.catalogue, Workers: in.workers, Gone: in.gone, Ends: in.ends, Cancels: in.cancels, Submits: in.submits,
		Crashes: in.crashes, Confirmed: in.confirmed, Orphans: in.orphans, Settled: in.settled, Waves: in.waves, Steps: in.steps,
		Withdrawn: in.withdrawn, Cleared: in.cleared, Faulty: in.faulty, Unclear: in.unclear, Retried: in.retried, Replaced: in.replaced, Lost: in.lost,
		Evacuations: in.evacuations, Speeds: in.speeds, Uses: in.uses, Places: in.places, Adopted: in.adopted,
	}
	if t.over || !t.isLeading() {
		return r, in, nil
	}
	if in.catalogue != nil || len(in.crashes)+len(in.places)+len(in.cleared)+len(in.evacuations) > 0 {
		// What starts is decided under the new limits, or with the crashes and the evacuations
		// known, in the next round.
		return r, in, nil
	}
	plan := t.decide()
	starts, gang := trim(plan, limits, raft.MaxCommand-roundReserve-used)
	t.limits.gang = job.StepID{}
	if gang != limits.gang { // no round holds one that has just had its own
		t.limits.gang = gang
	}
	if len(starts) < len(plan) {
		t.signal()
	}
	for _, s := range starts {
		r.Starts = append(r.Starts, job.Start{
			Task: s.Demand.Step.Task(s.Index), Run: s.Demand.RunNumber(s.Index), Worker: s.Worker.ID, Life: s.Worker.Life,
		})
		r.Sendings = append(r.Sendings, sendingOf(&s))
	}
	return r, in, starts
}

// trim returns the starts of a plan that a round has room for, in bytes. Members of a gang start together.
// The other steps share the round, so that a wide one does not hold up those after it. It also returns
// a gang that has to have a round for itself.
func trim(plan []fit.Start, limits roundLimits, room int) (starts []fit.Start, gang job.StepID) {
	groups, share := groupStarts(plan, limits.gang), limits.starts
	for share > 1 && sharedStarts(groups, share) > limits.starts {
		share /= 2
	}
	for _, g := range groups {
		if len(starts) >= limits.starts {
			break
		}
		n := len(g)
		if !g[0].Demand.Spec.Gang {
			n = min(n, share)
		}
		size := 0
		for i := range g[:n] {
			size += sizeOfStart(&g[i])
		}
		switch {
		case size <= room:
			starts, room = append(starts, g[:n]...), room-size
		case g[0].Demand.Spec.Gang && gang == job.StepID{}:
			gang = g[0].Demand.Step
		}
	}
	return starts, gang
}

// sharedStarts returns the number of starts if none of the groups has more than its share.
func sharedStarts(groups [][]fit.Start, share int) int {
	n := 0
	for _, g := range groups {
		n += min(len(g), share)
	}
	return n
}

// groupStarts groups the starts of a plan by demand, those of one step first.
func groupStarts(plan []fit.Start, first job.StepID) [][]fit.Start {
	var groups [][]fit.Start
	for len(plan) > 0 {
		n := 1
		for n < len(plan) && plan[n].Demand == plan[0].Demand {
			n++
		}
		at := len(groups)
		if plan[0].Demand.Step == first {
			at = 0
		}
		groups, plan = slices.Insert(groups, at, plan[:n]), plan[n:]
	}
	return groups
}

// split puts the input of a round back that is larger than a command of the log. The next rounds are
// smaller, until one is committed.
func (t *term) split(in inbox) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := &t.limits
	if l.input <= 1 && l.starts <= 1 {
		t.emit(event.EntryDropped, zap.String("kind", "round"), zap.Int("waiters", len(in.waiters)))
		for _, c := range in.waiters {
			c <- false
		}
	} else {
		t.inbox.putBack(in)
	}
	l.input, l.starts = max(1, l.input/2), max(1, l.starts/2)
	t.signal()
}

// notify records which ends are acknowledged by a round and tells its waiters
// whether it was committed.
func (t *term) notify(in inbox, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range in.acks {
		c.worker.acknowledged = max(c.worker.acknowledged, c.number)
	}
	for _, c := range in.waiters {
		c <- ok
	}
}

// handleCommitted carries out the consequences of a committed round.
func (t *term) handleCommitted(r *job.Round, in inbox, starts []fit.Start, result job.Result) {
	t.mu.Lock()
	t.limits.input, t.limits.starts = fullRound.input, fullRound.starts
	t.settleAdmitted(r.Submits)
	if len(r.Evacuations) > 0 {
		t.state().View(t.noteEvacuations) // before their operators are answered
	}
	for i := range r.Ends {
		t.removeRun(&r.Ends[i])
		t.markStale(r.Ends[i].Worker)
	}
	for i := range r.Workers {
		t.markStale(r.Workers[i].ID)
	}
	for i := range r.Gone {
		t.markStale(r.Gone[i].ID)
	}
	if r.Catalogue != nil {
		t.markStale() // priorities may have changed
		clear(t.timeToDeadline)
	}
	for i := range r.Ends {
		// The task is done, so another run of it is not needed.
		if other := t.runs[r.Ends[i].Task]; other != nil && r.Ends[i].Outcome == job.Done && !other.spec.Lasting && !other.spec.Gang {
			t.stop(other)
		}
	}
	started := map[*fit.Demand][]string{}
	for i, s := range starts {
		if !result.Refused[i] {
			t.startRun(&r.Starts[i], s)
			started[s.Demand] = append(started[s.Demand], s.Worker.ID)
		}
	}
	for d, workers := range started {
		s := t.step(d.Step)
		t.emit(event.TasksStarted, zap.String("job", string(d.Step.Job)), zap.Int("occurrence", d.Step.Occurrence),
			zap.Int("step", d.Step.Step), zap.Strings("workers", workers), zap.Int("waiting", len(d.Tasks)-len(workers)),
			zap.Duration("waited", t.now().Sub(s.waitingSince)), zap.Int("priority", d.Priority))
		if len(workers) == len(d.Tasks) {
			s.waitingSince = time.Time{} // a later wait of the step is measured anew
		}
	}
	for i := range result.GivenUp {
		t.emit(event.TaskGivenUp, zap.Stringer("task", result.GivenUp[i].Task), zap.Int("run", result.GivenUp[i].Run))
	}
	for _, id := range result.Ended {
		t.finishJob(id)
	}
	t.mu.Unlock()
	t.notify(in, true)
	t.signal()
}

// removeRun removes a run whose end is committed.
func (t *term) removeRun(e *job.End) {
	r := t.runs[e.Task]
	if r == nil || r.number != e.Run || r.worker.ID != e.Worker || r.worker.Life != e.Life {
		return
	}
	t.creditUse(r, e)
	t.deleteRun(r)
}

// startRun registers a run and sends its start order.
func (t *term) startRun(s *job.Start, d fit.Start) {
	now := t.now()
	w := t.workers[s.Worker]
	if w == nil || w.Life != s.Life {
		// The worker's incarnation ended while the round was committed.
		t.inbox.ends = append(t.inbox.ends, job.End{Task: s.Task, Run: s.Run, Worker: s.Worker, Life: s.Life, Outcome: job.Lost})
		return
	}
	r := &run{id: s.Task, number: s.Run, worker: w, spec: d.Demand.Spec, committedAt: now, startedAt: now, lastProgress: now, urgent: d.Demand.Priority == 0,
		queue: d.Demand.Queue, resumed: d.Demand.Checkpoint(d.Index) != "", sending: sendingOf(&d)}
	t.addRun(r)
	if len(t.unclear[r.id]) > 0 {
		t.retried[r.id] = true
	}
	if d.Demand.Trial {
		t.state().View(func(v *job.View) { t.noteTrial(v, r) })
	}
	t.sendStartAsync(r, StartOrder{
		Task: s.Task, Run: s.Run, Payload: d.Demand.Payload,
		Checkpoint: d.Demand.Checkpoint(d.Index), Ticket: d.Ticket,
	})
}

// sendingOf returns how a start is sent.
func sendingOf(s *fit.Start) job.Sending {
	if s.Ticket != "" {
		return job.SendTicket
	}
	return job.SendOnce
}

// finishJob stops the remaining runs of a finished job and removes what is kept
// about it in memory.
func (t *term) finishJob(id job.ID) {
	var status job.Status
	var elapsed, objective time.Duration
	t.state().View(func(v *job.View) {
		if r := v.Jobs[id]; r != nil {
			status, elapsed = r.Status, r.Over.Sub(r.Accepted)
			deadline, _ := t.deadlines(r, max(0, r.Job.Repeat-1))
			objective = deadline.Sub(r.Accepted)
		}
	})
	t.emit(event.JobFinished, zap.String("job", string(id)), zap.Stringer("state", status), zap.Duration("after", elapsed),
		zap.Duration("objective", objective))
	for task, r := range t.runs {
		if task.Job == id {
			t.stop(r)
		}
	}
	for s := range t.steps {
		if s.Job == id {
			delete(t.steps, s)
		}
	}
	delete(t.timeToDeadline, id)
}
