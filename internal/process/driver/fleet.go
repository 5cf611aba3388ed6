package driver

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/boottime"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/process/dispatch"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// presenceInterval is the interval at which an idle driver is asked whether it is
	// there, and at which new members are looked for.
	presenceInterval = 100 * time.Millisecond
	// fetchInterval is the interval at which answers are fetched from a driver that
	// cannot deliver them.
	fetchInterval = 20 * time.Millisecond
	// batchTimeout bounds the delivery of a batch to a driver. A driver that takes
	// longer gets nothing until it answers.
	batchTimeout = 250 * time.Millisecond
	// answerMargin is the time, in addition to the time-out of an order, for the order
	// and its answer to pass between leader and driver and to wait for their turn.
	answerMargin = 120 * time.Millisecond
	// maxQueued bounds the orders that wait for a driver. Further ones are not sent.
	maxQueued = 8192
)

// FleetOptions configures a Fleet.
type FleetOptions struct {
	Name    string
	Local   dispatch.Upstream // sends orders from this process
	Peer    peer.Caller
	Members func() []string // control processes
	Leading func() bool
	Changed func() <-chan struct{} // closed once Leading may have changed; nil if that is only polled
	Log     event.Log
}

// Fleet is a leader's view of its drivers, and the Upstream through which it sends
// orders.
type Fleet struct {
	options FleetOptions
	session uint64
	number  atomic.Uint64

	mu      sync.Mutex
	drivers map[string]*remote
	routes  routes
	workers map[string]bool // that orders were sent to and that were not forgotten
}

var _ dispatch.Upstream = (*Fleet)(nil)

// remote is a driver.
type remote struct {
	name    string
	queue   []order
	wake    chan struct{}
	cancel  context.CancelFunc
	flight  map[uint64]*flight // orders that wait for an answer
	reading *cell.Reading      // of its clock; nil until it has answered
}

// flight is an order that a driver holds.
type flight struct {
	answer   chan reply
	left     bool                  // it may have reached the driver
	unsent   bool                  // it was given up and has not left this process; set before answer is sent to
	answered bool                  // only late answers follow
	late     func(dispatch.Answer) // see dispatch.Permit; nil if none is waited for
	known    map[int]bool          // late answers that have arrived; a batch may arrive twice
	givenUp  *givenUp              // nil unless it was, and late answers are waited for
}

// givenUp is an order that counts as not delivered, with one open copy. Once all of its copies are
// known, that one is settled by a late answer.
type givenUp struct {
	answered bool            // the driver has answered the order
	open     int             // copies without an answer by then
	outcome  dispatch.Answer // that an incarnation accepted, if one did; else any
}

// NewFleet returns a Fleet.
func NewFleet(options FleetOptions) *Fleet {
	return &Fleet{options: options, session: rand.Uint64(), drivers: map[string]*remote{}, workers: map[string]bool{}}
}

// Register registers the method that a leader serves.
func (f *Fleet) Register(mux peer.Mux) {
	mux.Handle(MethodDriven, func(_ context.Context, name string, decode peer.Decode) (any, error) {
		var b replies
		if err := decode(&b); err != nil {
			return nil, &peer.RemoteError{Code: peer.CodeMalformed, Message: err.Error()}
		}
		if b.Session == f.session {
			f.receive(name, b.Replies)
		}
		return nil, nil
	})
}

// receive hands answers to those who wait for them.
func (f *Fleet) receive(name string, list []reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.drivers[name]
	if d == nil {
		return
	}
	for i := range list {
		d.receive(&list[i])
	}
}

// receive passes an answer on. The caller holds the lock of the fleet.
func (d *remote) receive(r *reply) {
	o := d.flight[r.Number]
	switch {
	case o == nil:
	case o.givenUp != nil:
		if a, known := o.conclude(r); known {
			delete(d.flight, r.Number)
			go o.late(a)
		}
	case r.Late > 0:
		if _, a := r.answer(); o.late != nil && !o.known[r.Late] {
			o.known[r.Late] = true
			go o.late(a)
		}
	case !o.answered:
		o.answered = true
		if o.late == nil || r.Open <= 0 {
			delete(d.flight, r.Number)
		}
		o.answer <- *r
	}
}

// conclude notes an answer to an order that was given up. It returns the order's outcome once all copies are
// known.
func (o *flight) conclude(r *reply) (dispatch.Answer, bool) {
	g := o.givenUp
	_, a := r.answer()
	switch {
	case r.Late > 0:
		o.known[r.Late] = true
	case g.answered:
		return dispatch.Answer{}, false // a batch may arrive twice
	default:
		g.answered, g.open = true, a.Open
	}
	if a.Result == dispatch.Undelivered && a.Open == 0 {
		a.Result = dispatch.NotSent // its permit has ended
	}
	if a.Result == dispatch.Accepted || g.outcome.Result == 0 && (a.Answered() || a.Result == dispatch.NotSent) {
		g.outcome = a
	}
	return g.outcome, g.answered && len(o.known) >= g.open && g.outcome.Result != 0
}

// giveUp keeps an order without an answer if late answers are waited for, and drops it otherwise. The caller
// holds the lock of the fleet.
func (d *remote) giveUp(number uint64) {
	if o := d.flight[number]; o != nil && o.late != nil && o.left && !o.answered {
		o.answered, o.givenUp = true, &givenUp{}
	} else if o != nil && !(o.answered && o.late != nil) {
		delete(d.flight, number)
	}
}

// Run keeps in touch with the drivers while this process leads, until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	var senders sync.WaitGroup
	defer senders.Wait()
	tick := time.NewTicker(presenceInterval)
	defer tick.Stop()
	for {
		var changed <-chan struct{}
		if f.options.Changed != nil {
			changed = f.options.Changed()
		}
		f.update(ctx, &senders)
		select {
		case <-tick.C:
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// update adds drivers for new members and drops those that are gone, or all if this
// process does not lead.
func (f *Fleet) update(ctx context.Context, senders *sync.WaitGroup) {
	wanted := map[string]bool{}
	if f.options.Leading() {
		for _, n := range f.options.Members() {
			wanted[n] = n != f.options.Name
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, d := range f.drivers {
		if !wanted[name] {
			delete(f.drivers, name)
			f.routes.drop(name)
			d.cancel()
			d.abandon()
		}
	}
	for name, yes := range wanted {
		if !yes || f.drivers[name] != nil {
			continue
		}
		inner, cancel := context.WithCancel(ctx)
		d := &remote{name: name, wake: make(chan struct{}, 1), cancel: cancel, flight: map[uint64]*flight{}}
		f.drivers[name] = d
		senders.Go(func() { f.feed(inner, d) })
	}
}

// feed sends the queued orders to a driver, one batch at a time.
func (f *Fleet) feed(ctx context.Context, d *remote) {
	for ctx.Err() == nil {
		f.mu.Lock()
		orders := d.queue
		d.queue = nil
		d.setLeft(orders, true)
		f.mu.Unlock()
		var p presence
		call, cancel := context.WithTimeout(ctx, batchTimeout)
		err := f.options.Peer.Call(call, d.name, MethodDrive, batch{Session: f.session, Orders: orders}, &p)
		cancel()
		f.note(d, &p, orders, err)
		pause := presenceInterval
		if err == nil && p.Cut {
			f.receive(d.name, p.Replies)
			pause = fetchInterval
		}
		wait(ctx, pause, d.wake)
	}
}

// wait waits for d, a signal on wake, or the end of ctx.
func wait(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// setLeft records whether orders may have reached the driver. The caller holds the lock of the fleet.
func (d *remote) setLeft(orders []order, left bool) {
	for i := range orders {
		if o := d.flight[orders[i].Number]; o != nil {
			o.left = left
		}
	}
}

// note records whether a driver took a batch of orders. If not, whatever it holds counts as
// not delivered, and its workers are reached through others until it answers.
func (f *Fleet) note(d *remote, p *presence, orders []order, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.drivers[d.name] != d {
		return
	}
	if err == nil {
		d.reading = d.reading.Update(p.Mark)
		if f.routes.add(d.name, p.Zone) {
			f.options.Log.Emit(event.DriverFound, zap.String("driver", d.name), zap.String("zone", p.Zone))
		}
		return
	}
	if errors.Is(err, peer.ErrNotSent) {
		d.setLeft(orders, false)
	}
	if f.routes.drop(d.name) {
		f.options.Log.Emit(event.DriverLost, zap.String("driver", d.name), zap.Int("orders", len(d.flight)), event.Cause(err))
	}
	d.abandon()
}

// abandon answers all orders that a driver holds. Late answers to those that have left still
// count. The caller holds the lock of the fleet.
func (d *remote) abandon() {
	for n, o := range d.flight {
		if !o.answered {
			r := reply{Number: n, Result: dispatch.Undelivered}
			if o.unsent = !o.left; o.left {
				r.Open = 1
			}
			o.answer <- r
		}
		d.giveUp(n)
	}
	d.queue = nil
}

// route returns the driver for a worker, or nil if this process sends the order
// itself. The caller holds the lock.
func (f *Fleet) route(w *job.Worker) *remote {
	f.workers[w.ID] = true
	return f.drivers[f.routes.choose(w.ID, w.Zone, len(f.workers))]
}

// send sends an order through a driver and waits for its answer. An order that is given up with its
// driver before it has left this process takes another way: it would count as one that may be
// carried out later. send returns false if this process has to send the order itself.
func (f *Fleet) send(p dispatch.Permit, w *job.Worker, o order) (reply, bool) {
	for {
		r, unsent, ok := f.try(p, w, o)
		if !unsent || !p.Valid() {
			return r, ok
		}
	}
}

// try sends an order through the present driver of its worker. It also reports whether the order was given up
// with the driver before it left this process.
func (f *Fleet) try(p dispatch.Permit, w *job.Worker, o order) (r reply, unsent, ok bool) {
	o.Number, o.Timeout, o.Worker, o.Address = f.number.Add(1), p.Timeout, w.ID, address(w)
	sent, now := &flight{answer: make(chan reply, 1), late: p.Late, known: map[int]bool{}}, boottime.Now()
	f.mu.Lock()
	d := f.route(w)
	if d == nil {
		f.mu.Unlock()
		return reply{}, false, false
	}
	if len(d.queue) >= maxQueued || !p.Valid() {
		f.mu.Unlock()
		return reply{Result: dispatch.Undelivered}, false, true
	}
	o.Stamp = d.reading.Stamp(now, now.Add(dispatch.MaxOrderAge))
	d.queue, d.flight[o.Number] = append(d.queue, o), sent
	f.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
	t := time.NewTimer(p.Timeout + answerMargin)
	defer t.Stop()
	r, ok = f.await(d, o.Number, sent, t.C)
	if !ok {
		r = reply{Result: dispatch.Undelivered, Open: 1}
	}
	if r.Open > 0 && p.Late != nil {
		time.AfterFunc(p.Await+answerMargin, func() { f.drop(d, o.Number) })
	}
	return r, sent.unsent, true
}

// await waits for the answer to an order until the end of its time, and gives up an order that has none by
// then. An answer and the end may come together if this process is paused.
func (f *Fleet) await(d *remote, number uint64, sent *flight, end <-chan time.Time) (reply, bool) {
	select {
	case r := <-sent.answer:
		return r, true
	case <-end:
	}
	f.mu.Lock()
	d.giveUp(number)
	f.mu.Unlock()
	select {
	case r := <-sent.answer:
		return r, true
	default:
		return reply{}, false
	}
}

// drop drops an order whose answers no longer count.
func (f *Fleet) drop(d *remote, number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(d.flight, number)
}

// Start implements dispatch.Upstream.
func (f *Fleet) Start(p dispatch.Permit, w *job.Worker, o dispatch.StartOrder) dispatch.Answer {
	copies := 0
	if p.Single {
		copies = 1
	}
	r, ok := f.send(p, w, order{
		Kind: start, Copies: copies, Task: o.Task, Run: o.Run, Payload: o.Payload, Lease: milliseconds(o.Lease), Fence: o.Fence, Checkpoint: o.Checkpoint,
		Ticket: o.Ticket, Wait: p.Await,
	})
	if !ok {
		return f.options.Local.Start(p, w, o)
	}
	_, a := r.answer()
	return a
}

// Stop implements dispatch.Upstream.
func (f *Fleet) Stop(p dispatch.Permit, w *job.Worker, o dispatch.StopOrder) dispatch.Answer {
	r, ok := f.send(p, w, order{Kind: stop, Task: o.Task, Run: o.Run, Fence: o.Fence})
	if !ok {
		return f.options.Local.Stop(p, w, o)
	}
	_, a := r.answer()
	return a
}

// List implements dispatch.Upstream.
func (f *Fleet) List(p dispatch.Permit, w *job.Worker, o dispatch.ListOrder) (dispatch.Listing, dispatch.Answer) {
	r, ok := f.send(p, w, order{Kind: list, Lease: milliseconds(o.Lease), Fence: o.Fence, Acked: o.Acknowledged, Wait: o.Wait, Repeat: o.Repeat, Copies: o.Copies})
	if !ok {
		return f.options.Local.List(p, w, o)
	}
	return r.answer()
}

// Throttle implements dispatch.Upstream.
func (f *Fleet) Throttle(p dispatch.Permit, w *job.Worker, o dispatch.ThrottleOrder) dispatch.Answer {
	r, ok := f.send(p, w, order{Kind: throttle, Task: o.Task, Run: o.Run, Percent: o.Percent, Fence: o.Fence})
	if !ok {
		return f.options.Local.Throttle(p, w, o)
	}
	_, a := r.answer()
	return a
}

// Forget implements dispatch.Upstream.
func (f *Fleet) Forget(w *job.Worker) {
	f.options.Local.Forget(w)
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.route(w)
	delete(f.workers, w.ID)
	if d != nil && len(d.queue) < maxQueued {
		d.queue = append(d.queue, order{Kind: forget, Worker: w.ID, Address: address(w)})
	}
}
