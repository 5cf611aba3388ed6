package leader

import (
	"context"
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

// leaseSpan returns how long a lease runs by the leader's count.
func (t *term) leaseSpan() time.Duration {
	if !t.leader.on(guardMargin) {
		return leaseTime - leaseMargin
	}
	return leaseTime + leaseMargin
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

// join commits a worker's shape and begins its lease.
func (t *term) join(ctx context.Context, p *poll, received time.Time) bool {
	w := p.report.Worker
	if r := t.state().CheckWorker(w); r.Code != state.OK {
		t.emit(event.WorkerRefused, zap.String("worker", w.Name), zap.String("reason", r.Message))
		return false
	}
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
