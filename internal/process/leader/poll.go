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

// runsPerPoll is the number of runs for which a poll reserves memory. Fleets run
// about four tasks on each worker.
const runsPerPoll = 4

// poll is a worker's report on its way through a renewal.
type poll struct {
	report *control.WorkerReport
	runs   []state.Run // as of when it came in
	ended  []work.End  // reported ends that are not current; they need no commit
	fresh  []work.End  // reported ends to be committed
	join   bool        // the worker is new, or has a new boot or shape
	newer  bool        // its boot is proven to be newer than the one with the lease
	rival  uint64      // challenge to answer with, as another boot has the lease
	depart bool
	done   bool // what it reports is committed
}

// polls serves the polls of a renewal that was received at the given time, and
// returns orders for their workers and for those with orders due that polled
// through the same entry VM.
func (t *term) polls(ctx context.Context, entry string, reports []control.WorkerReport, received time.Time) []control.WorkerOrders {
	polls := make([]poll, 0, len(reports))
	arena := make([]state.Run, 0, runsPerPoll*len(reports))
	for i := range reports {
		p := poll{report: &reports[i]}
		if t.admit(&p, received, &arena) {
			polls = append(polls, p)
		}
	}
	t.commit(ctx, polls, received)
	out := make([]control.WorkerOrders, 0, len(polls))
	var withdrawn []work.End
	for i := range polls {
		p := &polls[i]
		if p.rival != 0 || p.join && p.report.Worker.Capacity == (work.Resources{}) {
			out = append(out, control.WorkerOrders{Worker: p.report.Worker.Name, Boot: p.report.Worker.Boot, Rejoin: true, Challenge: p.rival})
			continue
		}
		// Orders that come after this are queued again.
		t.orders.polled(p.report.Worker.Name, entry)
		if o, ok := t.serve(p, received, &withdrawn); ok {
			out = append(out, o)
		}
	}
	for _, name := range t.orders.take(entry) {
		if o, ok := t.remind(name); ok {
			out = append(out, o)
		}
	}
	t.withdraw(ctx, withdrawn)
	return out
}

// admit takes in a poll: it renews the lease if the poll is the latest of the
// current boot, and finds out what has to be committed. It returns false for a
// poll that must not be answered. The runs of the worker are appended to arena.
func (t *term) admit(p *poll, received time.Time, arena *[]state.Run) bool {
	r := p.report
	name := r.Worker.Name
	from := len(*arena)
	known, all, found := t.state().Runs(name, *arena)
	*arena = all
	runs := all[from:len(all):len(all)] // an append must not reach the next poll's
	p.runs = runs
	p.join = !found || known.Worker.Gone || !alike(&known.Worker, &r.Worker)
	if r.Leaving && found && !known.Worker.Gone && known.Worker.Boot == r.Worker.Boot {
		p.join = false
	}
	ok := true
	t.leases.With(name, func(leases map[string]*lease) {
		l := leases[name]
		if l == nil {
			return // a join or tend adds it
		}
		if p.join && l.of(&known) && l.refused == r.Worker {
			p.join = false
		}
		switch {
		case !l.of(&known):
			return // a join or tend renews it
		case l.boot != r.Worker.Boot && t.leader.on(guardRival):
			if l.rival.boot != r.Worker.Boot {
				l.rival = rival{r.Worker.Boot, max(1, rand.Uint64())}
			}
			p.newer = r.Echo == l.rival.challenge
			if !p.newer {
				p.rival = l.rival.challenge
			}
		case l.closing && t.leader.on(guardClosing), r.Sequence < l.sequence && t.leader.on(guardSequence):
			ok = false
		case l.newer(r) && !p.join:
			l.extend(r, received.Add(t.leaseSpan()))
		}
	})
	if !ok {
		return false
	}
	for _, e := range r.Ended {
		if current(runs, e.Task, e.Token) != nil {
			p.fresh = append(p.fresh, e)
		} else {
			p.ended = append(p.ended, e)
		}
	}
	p.depart = r.Leaving && len(r.Running) == 0
	return true
}

// alike reports whether a report tells nothing new of a worker.
func alike(known, reported *work.Worker) bool {
	w := *reported
	w.Drained, w.Gone = known.Drained, known.Gone
	return w == *known
}

// commit commits what the polls report: joins and leaves each by itself, as
// they are rare, and all ends in one command. What is not committed in time is
// not acknowledged, so that the workers report it again.
func (t *term) commit(ctx context.Context, polls []poll, received time.Time) {
	var group errgroup.Group
	group.SetLimit(proposals)
	for i := range polls {
		p := &polls[i]
		switch {
		case p.rival != 0:
		case p.join && p.report.Worker.Capacity != (work.Resources{}) && !p.report.Leaving:
			group.Go(func() error {
				p.done = t.join(ctx, p, received)
				return nil
			})
		case p.join && !p.report.Leaving:
		case p.join: // leaves without being known
			p.done = true
		default:
			p.done = true
		}
	}
	_ = group.Wait()
	var ends []work.End
	for i := range polls {
		if polls[i].done {
			ends = append(ends, polls[i].fresh...)
		}
	}
	if len(ends) > 0 && !t.commitEnds(ctx, ends) {
		for i := range polls {
			polls[i].done = polls[i].done && len(polls[i].fresh) == 0
		}
	}
	for i := range polls {
		p := &polls[i]
		p.depart = p.depart && p.done
		if p.depart && !p.join {
			group.Go(func() error {
				p.depart = t.leave(ctx, p.report.Worker.Name, p.report.Worker.Boot)
				return nil
			})
		}
	}
	_ = group.Wait()
}

func (t *term) commitEnds(ctx context.Context, ends []work.End) bool {
	_, err := t.propose(ctx, state.Command{Ends: &state.Ends{Ends: ends}})
	return err == nil || !t.leader.on(guardCommit)
}

// serve answers a poll whose report is committed.
func (t *term) serve(p *poll, received time.Time, withdrawn *[]work.End) (control.WorkerOrders, bool) {
	r := p.report
	name := r.Worker.Name
	out := control.WorkerOrders{Worker: name, Boot: r.Worker.Boot, Ended: p.ended}
	if p.depart {
		out.Acknowledged, out.Ended = r.Sequence, r.Ended
		return out, true
	}
	if !p.done {
		return out, false
	}
	out.Ended = append(out.Ended, p.fresh...)
	ok := false
	var usage []work.Usage
	t.leases.With(name, func(leases map[string]*lease) {
		l := leases[name]
		if l == nil || l.closing && t.leader.on(guardClosing) || r.Sequence < l.sequence && t.leader.on(guardSequence) {
			return
		}
		known, runs, found := t.state().Runs(name, p.runs[:0])
		if !found || l.boot != r.Worker.Boot || !l.of(&known) {
			return
		}
		ok = true
		out.Acknowledged = l.sequence
		out.Throttles = l.throttles
		t.order(l, runs, r, &out, withdrawn)
		usage = t.stale(runs, r, &out)
		l.prune(runs)
	})
	if len(usage) > 0 {
		select {
		case t.usage <- usageReport{name, usage, received}:
		default:
		}
	}
	return out, ok
}

// withdraw ends runs that were stopped before any start order was sent. If this
// fails the next polls try again.
func (t *term) withdraw(ctx context.Context, ends []work.End) {
	if len(ends) == 0 {
		return
	}
	if t.commitEnds(ctx, ends) {
		t.emit(event.TaskUnassigned, zap.Int("tasks", len(ends)))
	}
}

// remind repeats the orders of a worker that has polled before and has new
// ones. The entry VM drops them if no poll of the worker waits.
func (t *term) remind(name string) (control.WorkerOrders, bool) {
	out := control.WorkerOrders{Worker: name}
	ok := false
	t.leases.With(name, func(leases map[string]*lease) {
		l := leases[name]
		if l == nil || l.closing || l.leaving || l.sequence == 0 {
			return
		}
		known, runs, found := t.state().Runs(name, nil)
		if !found || !l.of(&known) {
			return
		}
		ok = true
		out.Boot, out.Acknowledged = l.boot, l.sequence
		for i := range runs {
			switch n := &runs[i]; {
			case n.State == work.TaskStopping && !t.unsent(l, n):
				out.Stops = append(out.Stops, work.Stop{Task: n.Task, Token: n.Token, Mode: n.Stop})
			case n.State == work.TaskStarted && l.sent[n.Task] != n.Token && n.Token > t.orders.first:
				out.Starts = append(out.Starts, startOrder(n))
				if l.sent == nil {
					l.sent = make(map[work.TaskID]work.Token)
				}
				l.sent[n.Task] = n.Token
			}
		}
		ok = len(out.Starts)+len(out.Stops) > 0
	})
	return out, ok
}
