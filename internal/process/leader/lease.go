package leader

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// leaseTime is how long a worker runs tasks after it sent a poll that was
	// answered.
	leaseTime = 15 * time.Second
	// leaseMargin covers the drift of the worker's clock and pauses between
	// its check of the lease and the end of its tasks.
	leaseMargin = 3 * time.Second
	// commitWait bounds how long a renewal waits for what its polls report.
	// An entry VM gives a renewal up after 500 ms.
	commitWait = 300 * time.Millisecond
	// runsPerPoll is the number of runs for which a poll reserves memory. Fleets
	// run about four tasks on each worker.
	runsPerPoll = 4
)

// lease is what the leader knows of a worker that polls.
type lease struct {
	boot      uint64
	joined    uint64                     // membership in the state that the lease belongs to
	sequence  uint64                     // of the latest poll of this membership
	deadline  time.Time                  // the worker may run its tasks until then
	closing   bool                       // the end of the membership is being committed
	leaving   bool                       // gets no starts any more
	refused   work.Worker                // shape that was refused last, so that it is proposed once
	rival     rival                      // another boot that polls
	sent      map[work.TaskID]work.Token // start orders handed out in this term
	throttles []control.Throttle
}

// rival is a boot that polls while another one has the lease.
type rival struct{ boot, challenge uint64 }

// of reports whether the lease belongs to the membership that the state has.
func (l *lease) of(w *state.WorkerState) bool {
	return !w.Worker.Gone && l.boot == w.Worker.Boot && l.joined == w.Joined
}

// membership names a worker's membership in the state.
type membership struct {
	name         string
	boot, joined uint64
}

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

// leaseSpan returns how long a lease runs by the leader's count.
func (t *term) leaseSpan() time.Duration {
	if !t.leader.on(guardMargin) {
		return leaseTime - leaseMargin
	}
	return leaseTime + leaseMargin
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
		if o, ok := t.serve(p, received, &withdrawn); ok {
			t.orders.polled(p.report.Worker.Name, entry)
			out = append(out, o)
		}
	}
	for _, name := range t.orders.take(entry) {
		if slices.ContainsFunc(reports, func(r control.WorkerReport) bool { return r.Worker.Name == name }) {
			continue
		}
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

// newer reports whether a poll comes after all polls seen of the membership.
func (l *lease) newer(r *control.WorkerReport) bool {
	return r.Sequence > l.sequence || l.sequence == 0
}

func (l *lease) extend(r *control.WorkerReport, deadline time.Time) {
	l.sequence = r.Sequence
	l.leaving = r.Leaving
	if deadline.After(l.deadline) {
		l.deadline = deadline
	}
}

// alike reports whether a report tells nothing new of a worker.
func alike(known, reported *work.Worker) bool {
	w := *reported
	w.Drained, w.Gone = known.Drained, known.Gone
	return w == *known
}

// current returns the run of a task under a token, or nil if it is not among
// the runs.
func current(runs []state.Run, id work.TaskID, token work.Token) *state.Run {
	for i := range runs {
		if runs[i].Task == id && runs[i].Token == token {
			return &runs[i]
		}
	}
	return nil
}

// commit commits what the polls report: joins and leaves each by itself, as
// they are rare, and all ends in one command. What is not committed in time is
// not acknowledged, so that the workers report it again.
func (t *term) commit(ctx context.Context, polls []poll, received time.Time) {
	ctx, cancel := context.WithTimeout(ctx, commitWait)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(proposals)
	var ends []work.End
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
			ends = append(ends, p.fresh...)
		}
	}
	_ = group.Wait()
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

// join commits a worker's shape and begins its lease.
func (t *term) join(ctx context.Context, p *poll, received time.Time) bool {
	w := p.report.Worker
	r, err := t.propose(ctx, state.Command{Join: &state.Join{Worker: w, Newer: p.newer || !t.leader.on(guardRival)}})
	if err != nil {
		return false
	}
	if r.Code != state.OK {
		t.emit(event.WorkerRefused, zap.String("worker", w.Name), zap.String("reason", r.Message))
	} else {
		t.emit(event.WorkerJoined, zap.String("worker", w.Name), zap.Uint64("boot", w.Boot), zap.String("zone", w.Zone))
	}
	known, ok := t.state().Worker(w.Name)
	ok = ok && !known.Worker.Gone && known.Worker.Boot == w.Boot
	if !ok {
		return false
	}
	t.leases.With(w.Name, func(leases map[string]*lease) {
		l := leases[w.Name]
		switch {
		case l == nil, l.joined < known.Joined:
			l = &lease{boot: known.Worker.Boot, joined: known.Joined}
			leases[w.Name] = l
		case l.joined > known.Joined:
			ok = false
			return
		}
		if r.Code != state.OK {
			l.refused = w
		}
		if l.newer(p.report) {
			l.extend(p.report, received.Add(t.leaseSpan()))
		}
	})
	return ok
}

// leave ends the membership of a worker that leaves and runs nothing any more.
// If a start order may be under way to it, its lease has to run out instead.
func (t *term) leave(ctx context.Context, name string, boot uint64) bool {
	var m membership
	t.leases.With(name, func(leases map[string]*lease) {
		l := leases[name]
		if l == nil || l.boot != boot {
			return
		}
		_, runs, _ := t.state().Runs(name, nil)
		for i := range runs {
			if !t.unsent(l, &runs[i]) {
				return
			}
		}
		l.closing = true
		m = membership{name, boot, l.joined}
	})
	return m.name != "" && t.depart(ctx, m, event.WorkerLeft)
}

// depart commits the end of a membership whose lease is closed. It is closed
// first, as a poll that comes meanwhile must not be told that its tasks may go
// on.
func (t *term) depart(ctx context.Context, m membership, id event.ID) bool {
	c := state.Command{Depart: &state.Depart{Worker: m.name, Boot: m.boot, Joined: m.joined}}
	if _, err := t.propose(ctx, c); err != nil {
		return false
	}
	t.leases.With(m.name, func(leases map[string]*lease) {
		if l := leases[m.name]; l != nil && l.joined == m.joined {
			delete(leases, m.name)
		}
	})
	t.orders.forget(m.name)
	t.emit(id, zap.String("worker", m.name), zap.Uint64("boot", m.boot))
	return true
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

// order adds the orders for the runs of a worker: starts until the worker
// reports the task or its end, and stops until it reports the end. Runs that
// are to be stopped and that no start order was ever sent for go to withdrawn:
// they end without the worker, and since this runs under the lock of the lease
// no start order for them can be sent any more.
func (t *term) order(l *lease, runs []state.Run, r *control.WorkerReport, out *control.WorkerOrders, withdrawn *[]work.End) {
	for i := range runs {
		n := &runs[i]
		reported := reports(r, n.Task, n.Token)
		if n.State == work.TaskStopping {
			if !reported && t.unsent(l, n) {
				*withdrawn = append(*withdrawn, work.End{Task: n.Task, Token: n.Token, Outcome: work.OutcomeStopped})
				continue
			}
			out.Stops = append(out.Stops, work.Stop{Task: n.Task, Token: n.Token, Mode: n.Stop})
		}
		// A worker that does not know a task to be stopped is told to start it
		// as well, so that it reports an end.
		if !reported && !l.leaving {
			out.Starts = append(out.Starts, startOrder(n))
			if l.sent == nil {
				l.sent = make(map[work.TaskID]work.Token)
			}
			l.sent[n.Task] = n.Token
		}
	}
}

// unsent reports whether no start order for a run can have been sent: neither
// in this term nor, as the run is of this term, before.
func (t *term) unsent(l *lease, n *state.Run) bool {
	return l.sent[n.Task] != n.Token && n.Token > t.orders.first
}

func startOrder(n *state.Run) control.StartOrder {
	return control.StartOrder{
		Task: n.Task, Token: n.Token, Entry: n.Entry, Team: n.Team, Size: n.Reserved,
		Resume: n.Checkpoint, Command: n.Command,
	}
}

// reports reports whether a poll names a run as running or ended.
func reports(r *control.WorkerReport, id work.TaskID, token work.Token) bool {
	return slices.ContainsFunc(r.Running, func(u work.Usage) bool { return u.Task == id && u.Token == token }) ||
		slices.ContainsFunc(r.Ended, func(e work.End) bool { return e.Task == id && e.Token == token })
}

// stale orders tasks to stop that the worker runs under tokens that are not
// current, and returns the use of the others.
func (t *term) stale(runs []state.Run, r *control.WorkerReport, out *control.WorkerOrders) []work.Usage {
	usage := make([]work.Usage, 0, len(r.Running))
	for _, u := range r.Running {
		switch {
		case current(runs, u.Task, u.Token) != nil:
			usage = append(usage, u)
		case t.leader.on(guardStale):
			out.Stops = append(out.Stops, work.Stop{Task: u.Task, Token: u.Token, Mode: work.StopKill})
			t.emit(event.WorkerStale, zap.String("worker", r.Worker.Name), zap.Uint64("job", uint64(u.Task.Job)),
				zap.Uint32("task", u.Task.Index), zap.Uint64("token", uint64(u.Token)))
		}
	}
	return usage
}

// prune forgets the start orders of runs that are over.
func (l *lease) prune(runs []state.Run) {
	if len(l.sent) <= 2*len(runs)+8 {
		return
	}
	for id, token := range l.sent {
		if current(runs, id, token) == nil {
			delete(l.sent, id)
		}
	}
}

// withdraw ends runs that were stopped before any start order was sent. If this
// fails the next polls try again.
func (t *term) withdraw(ctx context.Context, ends []work.End) {
	if len(ends) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitWait/2)
	defer cancel()
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

// expireLeases ends the membership of workers whose lease is over, and begins
// leases for workers that the state has and that have not polled here.
func (t *term) expireLeases(ctx context.Context) {
	t.adopt()
	var over []membership
	now := t.now()
	t.leases.Range(func(name string, l *lease) bool {
		if l.closing || !now.Before(l.deadline) {
			l.closing = true
			over = append(over, membership{name, l.boot, l.joined})
		}
		return true
	})
	var group errgroup.Group
	group.SetLimit(proposals)
	for _, m := range over {
		group.Go(func() error {
			t.depart(ctx, m, event.WorkerExpired)
			return nil
		})
	}
	_ = group.Wait()
}

// adopt begins leases for workers that joined in the state. At the beginning of
// a term these are all workers, and their leases count as running: the former
// leader may have renewed them until just before.
func (t *term) adopt() {
	for _, name := range t.orders.adopted() {
		w, ok := t.state().Worker(name)
		if !ok || w.Worker.Gone {
			continue
		}
		deadline := t.now().Add(t.leaseSpan())
		if !t.leader.on(guardTerm) {
			deadline = t.now()
		}
		t.leases.With(name, func(leases map[string]*lease) {
			if l := leases[name]; l == nil || l.joined < w.Joined {
				leases[name] = &lease{boot: w.Worker.Boot, joined: w.Joined, deadline: deadline}
			}
		})
	}
}
