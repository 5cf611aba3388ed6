package leader

import (
	"context"
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
	// leaseDuration is how long a worker may run tasks, counted from when it
	// sent a poll that was answered.
	leaseDuration = 15 * time.Second
	// leaseMargin covers the drift of the worker's clock, and pauses between
	// its check of the lease and the end of its tasks.
	leaseMargin = 3 * time.Second
	// reportTime is how long a worker may take to report a run, counted from
	// when the start was committed. A worker that keeps its lease has its polls
	// answered with the start order in this time.
	reportTime = leaseDuration + leaseMargin
)

// lease is the leader's record of a worker's lease.
type lease struct {
	boot         uint64
	joined       uint64                     // membership in the state to which the lease belongs
	sequence     uint64                     // of the latest poll in this membership
	renewed      uint64                     // of the latest poll that renewed the lease
	deadline     time.Time                  // the worker may run its tasks until then
	closing      bool                       // the end of the membership is being committed
	leaving      bool                       // the worker gets no more start orders
	refusedShape work.Worker                // shape that was refused last, so that it is proposed only once
	challenger   challenger                 // another boot that polls
	sentStarts   map[work.TaskID]work.Token // start orders sent in this term
	throttles    []control.Throttle
}

// challenger is a boot that polls while another boot has the lease. It proves
// that it is the newer one by echoing the challenge.
type challenger struct{ boot, challenge uint64 }

// belongsTo reports whether the lease belongs to the worker's membership in the
// state.
func (l *lease) belongsTo(w *state.WorkerState) bool {
	return !w.Worker.Gone && l.boot == w.Worker.Boot && l.joined == w.Joined
}

// membership identifies a worker's membership in the state.
type membership struct {
	name         string
	boot, joined uint64
}

// leaderLeaseDuration returns how long a lease runs by the leader's count.
func (t *term) leaderLeaseDuration() time.Duration {
	if !t.leader.enabled(guardLeaseMargin) {
		return leaseDuration - leaseMargin
	}
	return leaseDuration + leaseMargin
}

// isNewer reports whether a poll is newer than all polls of the membership so
// far.
func (l *lease) isNewer(r *control.WorkerReport) bool {
	return r.Sequence > l.sequence || l.sequence == 0
}

// accept records the latest poll of the membership. It renews the lease unless
// the report of a run is overdue: once the lease has ended, the run cannot be
// executed there any more.
func (t *term) accept(l *lease, runs []state.Run, r *control.WorkerReport, received time.Time) {
	wasRenewed := l.renewed == l.sequence
	l.sequence = r.Sequence
	l.leaving = r.Leaving
	if n := t.findOverdue(l, runs, r, received); n != nil {
		if wasRenewed {
			t.emit(event.ReportOverdue, zap.String("worker", r.Worker.Name), zap.Uint64("job", uint64(n.Task.Job)),
				zap.Uint32("task", n.Task.Index), zap.Uint64("token", uint64(n.Token)), zap.Time("deadline", n.Started.Add(reportTime)))
		}
		return
	}
	l.renewed = r.Sequence
	if deadline := received.Add(t.leaderLeaseDuration()); deadline.After(l.deadline) {
		l.deadline = deadline
	}
}

// findOverdue returns a run whose start order may have been sent and that a poll
// lacks although the deadline of its report has passed, or nil.
func (t *term) findOverdue(l *lease, runs []state.Run, r *control.WorkerReport, now time.Time) *state.Run {
	inReport := newReportedRuns(r)
	i := slices.IndexFunc(runs, func(n state.Run) bool {
		return t.reportOverdue(&n, now) && !inReport.contains(n.Task, n.Token) && !t.neverSent(l, &n)
	})
	if i < 0 {
		return nil
	}
	return &runs[i]
}

// reportOverdue reports whether the deadline of a run's report has passed. The
// deadline depends on nothing but the replicated time of the start, so that
// neither polls nor a change of the leader move it.
func (t *term) reportOverdue(n *state.Run, now time.Time) bool {
	return t.leader.enabled(guardReports) && !now.Before(n.Started.Add(reportTime))
}

// join commits a worker's boot and shape and starts its lease.
func (t *term) join(ctx context.Context, p *poll, received time.Time) bool {
	w := p.report.Worker
	if r := t.state().CheckWorker(w); r.Code != state.OK {
		t.emit(event.WorkerRefused, zap.String("worker", w.Name), zap.String("reason", r.Message))
		return false
	}
	r, err := t.propose(ctx, state.Command{Join: &state.Join{
		Worker: w, Newer: p.provenNewer || !t.leader.enabled(guardWorkerBoot), Unsent: t.unsentRuns(w.Name),
	}})
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
			l.refusedShape = w
		}
		if l.isNewer(p.report) {
			_, runs, _ := t.state().Runs(w.Name, nil)
			t.accept(l, runs, p.report, received)
		}
	})
	return ok
}

// unsentRuns returns the runs of a worker of which no start order was sent.
func (t *term) unsentRuns(name string) []work.TaskID {
	var unsent []work.TaskID
	t.leases.With(name, func(leases map[string]*lease) {
		l := leases[name]
		if l == nil {
			return
		}
		_, runs, _ := t.state().Runs(name, nil)
		for i := range runs {
			if t.neverSent(l, &runs[i]) {
				unsent = append(unsent, runs[i].Task)
			}
		}
	})
	return unsent
}

// leave ends the membership of a worker that leaves and runs nothing. If a start
// order may have been sent to it, its lease has to expire instead.
func (t *term) leave(ctx context.Context, name string, boot uint64) bool {
	var m membership
	t.leases.With(name, func(leases map[string]*lease) {
		l := leases[name]
		if l == nil || l.boot != boot {
			return
		}
		_, runs, _ := t.state().Runs(name, nil)
		for i := range runs {
			if !t.neverSent(l, &runs[i]) {
				return
			}
		}
		l.closing = true
		m = membership{name, boot, l.joined}
	})
	return m.name != "" && t.commitDeparture(ctx, m, event.WorkerLeft)
}

// commitDeparture commits the end of a membership. Its lease has to be marked as
// closing before, so that a poll that arrives meanwhile does not renew it.
func (t *term) commitDeparture(ctx context.Context, m membership, id event.ID) bool {
	c := state.Command{Depart: &state.Depart{Worker: m.name, Boot: m.boot, Joined: m.joined}}
	if _, err := t.propose(ctx, c); err != nil {
		return false
	}
	t.leases.With(m.name, func(leases map[string]*lease) {
		if l := leases[m.name]; l != nil && l.joined == m.joined {
			delete(leases, m.name)
		}
	})
	t.orderQueue.remove(m.name)
	t.emit(id, zap.String("worker", m.name), zap.Uint64("boot", m.boot))
	return true
}

// expireLeases ends the membership of workers whose lease has expired, and starts
// leases for workers in the state that have not polled this leader.
func (t *term) expireLeases(ctx context.Context) {
	t.startLeases()
	var expired []membership
	now := t.now()
	t.leases.Range(func(name string, l *lease) bool {
		if l.closing || !now.Before(l.deadline) {
			l.closing = true
			expired = append(expired, membership{name, l.boot, l.joined})
		}
		return true
	})
	var group errgroup.Group
	group.SetLimit(maxConcurrentProposals)
	for _, m := range expired {
		group.Go(func() error {
			t.commitDeparture(ctx, m, event.WorkerExpired)
			return nil
		})
	}
	_ = group.Wait()
}

// startLeases starts leases for workers that joined in the state. At the start of
// a term these are all workers, and their leases count as just renewed: the former
// leader may have renewed them immediately before.
func (t *term) startLeases() {
	for _, name := range t.orderQueue.takeJoined() {
		w, ok := t.state().Worker(name)
		if !ok || w.Worker.Gone {
			continue
		}
		deadline := t.now().Add(t.leaderLeaseDuration())
		if !t.leader.enabled(guardInheritedLeases) {
			deadline = t.now()
		}
		t.leases.With(name, func(leases map[string]*lease) {
			if l := leases[name]; l == nil || l.joined < w.Joined {
				leases[name] = &lease{boot: w.Worker.Boot, joined: w.Joined, deadline: deadline}
			}
		})
	}
}
