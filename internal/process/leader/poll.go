package leader

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// expectedRunsPerPoll is the number of runs for which memory is reserved per
// poll. Fleets run about four tasks on each worker.
const expectedRunsPerPoll = 4

// poll is a worker's report while the renewal that carries it is processed.
type poll struct {
	report      *control.WorkerReport
	runs        []state.Run // runs of the worker when the poll arrived
	staleEnds   []work.End  // reported ends of runs that are not current; they need no commit
	newEnds     []work.End  // reported ends to commit
	join        bool        // the worker is new, or has a new boot or shape
	provenNewer bool        // its boot is proven to be newer than the one with the lease
	challenge   uint64      // to answer with, as another boot has the lease; zero if none has
	departing   bool        // the worker leaves and runs nothing
	committed   bool        // everything it reports is committed
}

// servePolls processes the polls of a renewal that was received at the given
// time. It returns orders for their workers and for other workers with new orders
// that last polled through the same entry VM.
func (t *term) servePolls(ctx context.Context, entry string, reports []control.WorkerReport, received time.Time) []control.WorkerOrders {
	polls := make([]poll, 0, len(reports))
	arena := make([]state.Run, 0, expectedRunsPerPoll*len(reports))
	for i := range reports {
		p := poll{report: &reports[i]}
		if t.admitPoll(&p, received, &arena) {
			polls = append(polls, p)
		}
	}
	t.commitReports(ctx, polls, received)
	out := make([]control.WorkerOrders, 0, len(polls))
	var withdrawn []work.End
	for i := range polls {
		p := &polls[i]
		if p.challenge != 0 || p.join && p.report.Worker.Capacity == (work.Resources{}) {
			out = append(out, control.WorkerOrders{Worker: p.report.Worker.Name, Boot: p.report.Worker.Boot, Rejoin: true, Challenge: p.challenge})
			continue
		}
		// Orders that are created after this are queued again.
		t.orderQueue.recordPoll(p.report.Worker.Name, entry)
		if o, ok := t.answerPoll(p, received, &withdrawn); ok {
			out = append(out, o)
		}
	}
	for _, name := range t.orderQueue.takePending(entry) {
		if o, ok := t.pendingOrders(name); ok {
			out = append(out, o)
		}
	}
	t.commitWithdrawn(ctx, withdrawn)
	return out
}

// admitPoll renews the lease if the poll is the latest of the current boot, and
// determines what has to be committed. It returns false for a poll that must not
// be answered. The runs of the worker are appended to arena.
func (t *term) admitPoll(p *poll, received time.Time, arena *[]state.Run) bool {
	r := p.report
	name := r.Worker.Name
	from := len(*arena)
	known, all, found := t.state().Runs(name, *arena)
	*arena = all
	runs := all[from:len(all):len(all)] // capped, so that an append cannot overwrite the next poll's runs
	p.runs = runs
	p.join = !found || known.Worker.Gone || !sameShape(&known.Worker, &r.Worker)
	if r.Leaving && found && !known.Worker.Gone && known.Worker.Boot == r.Worker.Boot {
		p.join = false
	}
	ok := true
	t.leases.With(name, func(leases map[string]*lease) {
		l := leases[name]
		if l == nil {
			return // join or startLeases adds it
		}
		if p.join && l.belongsTo(&known) && l.refusedShape == r.Worker {
			p.join = false
		}
		switch {
		case !l.belongsTo(&known):
			return // join or startLeases replaces it
		case l.boot != r.Worker.Boot && t.leader.enabled(guardWorkerBoot):
			if l.challenger.boot != r.Worker.Boot {
				l.challenger = challenger{r.Worker.Boot, max(1, rand.Uint64())}
			}
			p.provenNewer = r.Echo == l.challenger.challenge
			if !p.provenNewer {
				p.challenge = l.challenger.challenge
			}
		case l.closing && t.leader.enabled(guardClosingLease), r.Sequence < l.sequence && t.leader.enabled(guardPollOrder):
			ok = false
		case l.isNewer(r) && !p.join:
			t.accept(l, runs, r, received)
		}
	})
	if !ok {
		return false
	}
	for _, e := range r.Ended {
		if findRun(runs, e.Task, e.Token) != nil {
			p.newEnds = append(p.newEnds, e)
		} else {
			p.staleEnds = append(p.staleEnds, e)
		}
	}
	p.departing = r.Leaving && len(r.Running) == 0
	return true
}

// sameShape reports whether a report contains nothing new about a worker.
func sameShape(known, reported *work.Worker) bool {
	w := *reported
	w.Drained, w.Gone = known.Drained, known.Gone
	return w == *known
}

// commitReports commits what the polls report: joins and leaves as one command
// each, as they are rare, and all ends as a single command. What is not committed
// in time is not acknowledged, so the workers report it again.
func (t *term) commitReports(ctx context.Context, polls []poll, received time.Time) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentProposals)
	for i := range polls {
		p := &polls[i]
		switch {
		case p.challenge != 0:
		case p.join && p.report.Worker.Capacity != (work.Resources{}) && !p.report.Leaving:
			group.Go(func() error {
				p.committed = t.join(ctx, p, received)
				return nil
			})
		case p.join && !p.report.Leaving:
		case p.join: // an unknown worker leaves
			p.committed = true
		default:
			p.committed = true
		}
	}
	_ = group.Wait()
	var ends []work.End
	for i := range polls {
		if polls[i].committed {
			ends = append(ends, polls[i].newEnds...)
		}
	}
	if len(ends) > 0 && !t.commitEnds(ctx, ends) {
		for i := range polls {
			polls[i].committed = polls[i].committed && len(polls[i].newEnds) == 0
		}
	}
	for i := range polls {
		p := &polls[i]
		p.departing = p.departing && p.committed
		if p.departing && !p.join {
			group.Go(func() error {
				p.departing = t.leave(ctx, p.report.Worker.Name, p.report.Worker.Boot)
				return nil
			})
		}
	}
	_ = group.Wait()
}

func (t *term) commitEnds(ctx context.Context, ends []work.End) bool {
	_, err := t.propose(ctx, state.Command{Ends: &state.Ends{Ends: ends}})
	return err == nil || !t.leader.enabled(guardCommittedEnds)
}

// answerPoll returns the orders that answer a poll whose report is committed, and
// false if the poll must not be answered.
func (t *term) answerPoll(p *poll, received time.Time, withdrawn *[]work.End) (control.WorkerOrders, bool) {
	r := p.report
	name := r.Worker.Name
	out := control.WorkerOrders{Worker: name, Boot: r.Worker.Boot, Ended: p.staleEnds}
	if p.departing {
		out.Acknowledged, out.Ended = r.Sequence, r.Ended
		return out, true
	}
	if !p.committed {
		return out, false
	}
	out.Ended = append(out.Ended, p.newEnds...)
	ok := false
	var usage []work.Usage
	t.leases.With(name, func(leases map[string]*lease) {
		l := leases[name]
		if l == nil || l.closing && t.leader.enabled(guardClosingLease) || r.Sequence < l.sequence && t.leader.enabled(guardPollOrder) {
			return
		}
		known, runs, found := t.state().Runs(name, p.runs[:0])
		if !found || l.boot != r.Worker.Boot || !l.belongsTo(&known) {
			return
		}
		ok = true
		out.Acknowledged = l.renewed
		if l.leaving {
			out.Acknowledged = l.sequence // the answer to a leave carries no lease
		}
		out.Throttles = l.throttles
		t.addOrders(l, runs, r, &out, withdrawn, received)
		usage = t.stopStaleRuns(runs, r, &out)
		l.pruneSentStarts(runs)
	})
	if len(usage) > 0 {
		select {
		case t.usageReports <- usageReport{name, usage, received}:
		default:
		}
	}
	return out, ok
}

// commitWithdrawn commits the end of runs that were stopped before any start
// order was sent. If this fails, the next polls retry it.
func (t *term) commitWithdrawn(ctx context.Context, ends []work.End) {
	if len(ends) == 0 {
		return
	}
	if t.commitEnds(ctx, ends) {
		t.emit(event.StartWithdrawn, zap.Int("tasks", len(ends)))
	}
}

// pendingOrders returns the new orders of a worker that has polled before. The
// entry VM drops them if no poll of the worker is waiting.
func (t *term) pendingOrders(name string) (control.WorkerOrders, bool) {
	out := control.WorkerOrders{Worker: name}
	ok := false
	t.leases.With(name, func(leases map[string]*lease) {
		l := leases[name]
		if l == nil || l.closing || l.leaving || l.sequence == 0 {
			return
		}
		known, runs, found := t.state().Runs(name, nil)
		if !found || !l.belongsTo(&known) {
			return
		}
		ok = true
		out.Boot, out.Acknowledged = l.boot, l.renewed
		for i := range runs {
			switch n := &runs[i]; {
			case n.State == work.TaskStopping && !t.neverSent(l, n):
				out.Stops = append(out.Stops, work.Stop{Task: n.Task, Token: n.Token, Mode: n.Stop})
			case n.State == work.TaskStarted && l.sentStarts[n.Task] != n.Token && n.Token > t.orderQueue.termStart:
				out.Starts = append(out.Starts, startOrder(n))
				if l.sentStarts == nil {
					l.sentStarts = make(map[work.TaskID]work.Token)
				}
				l.sentStarts[n.Task] = n.Token
			}
		}
		ok = len(out.Starts)+len(out.Stops) > 0
	})
	return out, ok
}
