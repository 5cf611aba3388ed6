package dispatch

import (
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// identifyAttempts bounds the listings by which a worker is identified. Each kept connection to the
// process that has ended breaks with one.
const identifyAttempts = 4

// A report proves nothing about its sender: it may be of another writer. So no worker is
// removed, or replaced by its next incarnation, before an answer at its address shows that it
// has ended.

// identify asks who answers at a worker's address.
func (t *term) identify(target *job.Worker, fence uint64) (a Answer) {
	for range identifyAttempts {
		_, a = t.dispatcher.options.Upstream.List(t.permit(listTimeoutMargin), target, ListOrder{Fence: fence})
		if a.Answered() || !t.isLeading() {
			break
		}
		sleep(t.ctx, orderRetryDelay)
	}
	return a
}

// checkFormer looks at a worker whose address a new one reports. If another process answers
// there, it has ended. The caller holds the lock.
func (t *term) checkFormer(w *worker) {
	target, fence := w.Worker, t.fence(w)
	t.orders.Go(func() {
		a := t.identify(&target, fence)
		t.mu.Lock()
		defer t.mu.Unlock()
		if a.Result == WrongWorker && !t.over {
			t.removeWorker(w, reasonOtherWorker)
		}
	})
}

// checkClaim looks at a worker of which a report says that a later incarnation runs. If that
// one answers, it takes the place of the known one. The caller holds the lock.
func (t *term) checkClaim(w *worker, r *cell.Report) {
	_, checking := t.claims[w.ID]
	t.claims[w.ID] = *r
	if checking {
		return
	}
	target, fence := r.Worker, t.fence(w)
	t.orders.Go(func() {
		a := t.identify(&target, fence)
		t.mu.Lock()
		defer t.mu.Unlock()
		claim := t.claims[w.ID]
		delete(t.claims, w.ID)
		present := t.workers[w.ID]
		if t.over || present != nil && present != w {
			return
		}
		if (a.Result == Accepted || a.Result == Refused) && a.Life == claim.Worker.Life {
			t.removeWorker(w, reasonNewLife) // another answer of this incarnation may have removed it before
			t.addWorker(&claim, t.now())
			return
		}
		if present == nil {
			return
		}
		t.emit(event.IdentityUnproved, zap.String("worker", w.ID), zap.Int64("life", int64(claim.Worker.Life)), zap.Int64("known", int64(w.Life)),
			zap.Int64("answers", int64(a.Life)), event.Cause(a.Error))
	})
}
