package cell

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// maxReports is the number of reports in one call to the leader.
	maxReports = 256
	// maxQueuedReports is the number of reports that wait for a call. Further ones are
	// refused, so that their workers try another process.
	maxQueuedReports = 4096
	// reportsTimeout bounds a call. A worker waits for a second.
	reportsTimeout = 850 * time.Millisecond
)

// reporter passes the reports of workers on to the leader. Those that arrive while
// a call is under way leave with the next one: a thousand workers report themselves
// several hundred times a second, and a call costs the leader more than a report.
type reporter struct {
	link *Link

	mu      sync.Mutex
	queue   []queuedReport
	sending bool
}

type queuedReport struct {
	report Report
	ctx    context.Context    // of the worker's request
	done   chan reportOutcome // buffered
}

type reportOutcome struct {
	receipt Receipt
	err     error
}

// send queues a report and waits until the leader has taken it.
func (r *reporter) send(ctx context.Context, report Report) (Receipt, error) {
	done := make(chan reportOutcome, 1)
	r.mu.Lock()
	if len(r.queue) >= maxQueuedReports {
		r.mu.Unlock()
		return Receipt{}, ErrNoLeader
	}
	r.queue = append(r.queue, queuedReport{report, ctx, done})
	if !r.sending {
		r.sending = true
		go r.deliver()
	}
	r.mu.Unlock()
	select {
	case o := <-done:
		return o.receipt, o.err
	case <-ctx.Done():
		return Receipt{}, callError(true)
	}
}

// deliver sends the queued reports until there are none.
func (r *reporter) deliver() {
	for {
		r.mu.Lock()
		r.queue = slices.DeleteFunc(r.queue, func(q queuedReport) bool { return q.ctx.Err() != nil })
		n := min(len(r.queue), maxReports)
		batch := r.queue[:n:n]
		r.queue = r.queue[n:]
		if n == 0 {
			r.queue, r.sending = nil, false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		r.call(batch)
	}
}

// call sends reports to the leader and hands out its answer.
func (r *reporter) call(batch []queuedReport) {
	ctx, cancel := context.WithTimeout(context.Background(), reportsTimeout)
	defer cancel()
	reports := make([]Report, len(batch))
	for i := range batch {
		reports[i] = batch[i].report
	}
	var a Receipts
	err := r.link.callLeader(ctx, MethodReports, reports, &a)
	for i := range batch {
		o := reportOutcome{Receipt{Leader: a.Leader, Spread: a.Spread}, err}
		if err == nil && (i >= len(a.Taken) || !a.Taken[i]) {
			o.err = ErrUnknown
		}
		batch[i].done <- o
	}
}
