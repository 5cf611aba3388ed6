// Package worker is the HTTP adapter for workers. It holds their polls until
// the leader has answered them.
//
// # Usage
//
//	adapter := worker.New(worker.Options{Directory: link})
//	link, err := control.New(control.Options{Workers: adapter, ...})
//	adapter.Start(link, link) // the directory, and the link that each poll asks for a renewal
//	server := fasthttp.Server{Handler: adapter.Handler}
//
// Handler serves the paths below /v1/workers/{name}/ that workers use. A poll is
// sent to the leader with the next renewal. It is answered when a grant brings
// orders or acknowledges it, at most HoldTime later.
package worker

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/request/web"
	"github.com/rosemaryloft/rosemaryloft/internal/shard"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

const (
	// HoldTime is how long a poll waits for orders. While its poll is held, a
	// worker gets a start with the next renewal. A worker without orders polls
	// once in this time. It is well below LeaseTime, so that a worker that gets
	// no answer can try two other entry VMs before its lease expires.
	HoldTime = 4 * time.Second
	// LeaseTime is the duration of a worker's lease, from the time it sent the poll.
	LeaseTime = 15 * time.Second

	defaultMaxPolls = 16384
	maxTasks        = 4096 // maximum number of running and of ended tasks in one poll
	maxBodyBytes    = 1 << 20
	leaseMillis     = int64(LeaseTime / time.Millisecond)
)

// Renewer triggers a renewal. *control.Link implements it.
type Renewer interface{ RequestRenewal() }

// Options configures an Adapter.
type Options struct {
	Polls int64 // maximum number of polls held at once; zero means 16,384
	Now   func() time.Time
	Log   event.Log
}

// Adapter handles HTTP requests from workers. It implements control.Workers.
type Adapter struct {
	options   Options
	directory control.Directory
	renewer   Renewer
	waiting   *shard.Map[string, *heldPoll] // by worker name
	heldCount atomic.Int64
	repeat    atomic.Bool // the next Reports include the acknowledged polls
}

// heldPoll is a poll that waits for the leader's answer.
type heldPoll struct {
	report control.WorkerReport
	once   sync.Once
	done   chan struct{}
	answer *control.WorkerOrders // nil if a later poll of the worker replaced this one
	// acknowledged is the leader's answer without orders. The poll stays held.
	acknowledged atomic.Pointer[control.WorkerOrders]
}

func (p *heldPoll) finish(answer *control.WorkerOrders) {
	p.once.Do(func() {
		p.answer = answer
		close(p.done)
	})
}

// New returns an Adapter. Start must be called before Handler.
func New(options Options) *Adapter {
	if options.Polls == 0 {
		options.Polls = defaultMaxPolls
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Adapter{options: options, waiting: shard.New[string, *heldPoll]()}
}

// Start sets the directory and the renewer. They come from the link, which
// itself needs the adapter, so they cannot be passed to New.
func (a *Adapter) Start(directory control.Directory, renewer Renewer) {
	a.directory, a.renewer = directory, renewer
}

// Handler handles one request from a worker.
func (a *Adapter) Handler(ctx *fasthttp.RequestCtx) {
	key, fail := web.Authorize(ctx, a.directory, work.WorkerRole)
	if fail != nil {
		web.CloseIfUnread(ctx)
		web.Fail(ctx, fail)
		return
	}
	s := web.Segments(ctx.Path())
	if len(s) != 4 || s[0] != "v1" || s[1] != "workers" || s[3] != "poll" && s[3] != "leave" || !ctx.IsPost() {
		web.Fail(ctx, web.Refuse(api.UnknownRoute, "%s is not possible on %s", ctx.Method(), ctx.Path()))
		return
	}
	body, fail := web.Body(ctx, maxBodyBytes)
	if fail != nil {
		web.Fail(ctx, fail)
		return
	}
	report, fail := parsePoll(s[2], key, body)
	if fail != nil {
		web.Fail(ctx, fail)
		return
	}
	report.Leaving = s[3] == "leave"
	defer a.heldCount.Add(-1)
	if a.heldCount.Add(1) > a.options.Polls {
		web.Fail(ctx, web.RefuseUntil(a.options.Now().Add(HoldTime), api.Overloaded, "as many polls are held as this entry VM takes"))
		return
	}
	a.holdPoll(ctx, report)
}

// parsePoll decodes and validates the body of a poll.
func parsePoll(name string, key work.Key, body []byte) (control.WorkerReport, *api.Error) {
	var b api.Poll
	var none control.WorkerReport
	if fail := web.CheckName(name); fail != nil {
		return none, fail
	}
	if fail := web.Decode(body, &b); fail != nil {
		return none, fail
	}
	capacity := web.Resources(b.Capacity)
	switch {
	case b.Boot == 0:
		return none, web.Refuse(api.Malformed, "field \"boot\" must be a random number other than 0")
	case b.Sequence == 0:
		return none, web.Refuse(api.Malformed, "field \"sequence\" must start at 1")
	case b.Zone == "" || b.Rack == "":
		return none, web.Refuse(api.Malformed, "fields \"zone\" and \"rack\" are needed")
	case !capacity.Valid():
		return none, web.Refuse(api.Malformed, "field \"capacity\" must be positive")
	case len(b.Running) > maxTasks || len(b.Ended) > maxTasks:
		return none, web.Refuse(api.Malformed, "a poll may list %d tasks", maxTasks)
	}
	r := control.WorkerReport{
		Worker: work.Worker{
			Name: name, Address: b.Address, Zone: b.Zone, Rack: b.Rack, Team: key.Team, Boot: b.Boot,
			Capacity: capacity, Accelerator: b.Accelerator,
		},
		Sequence: b.Sequence, Echo: b.Echo,
	}
	return r, addTasks(&r, &b)
}

// addTasks validates the tasks of a poll and adds them to the report.
func addTasks(r *control.WorkerReport, b *api.Poll) *api.Error {
	for _, t := range b.Running {
		if t.Used.CPU < 0 || t.Used.Memory < 0 || t.Used.Accelerators < 0 {
			return web.Refuse(api.Malformed, "field \"used\" must not be negative")
		}
		r.Running = append(r.Running, work.Usage{
			Task: work.TaskID{Job: work.JobID(t.Job), Index: t.Index}, Token: work.Token(t.Token),
			Used: web.Resources(t.Used), At: t.At,
		})
	}
	for _, t := range b.Ended {
		o := work.Outcome(t.Outcome)
		switch o {
		case work.OutcomeSucceeded, work.OutcomeFailed, work.OutcomeOversized, work.OutcomeCheckpointed, work.OutcomeStopped:
		default:
			return web.Refuse(api.Malformed, "%q is not an outcome that a worker reports", t.Outcome)
		}
		r.Ended = append(r.Ended, work.End{
			Task: work.TaskID{Job: work.JobID(t.Job), Index: t.Index}, Token: work.Token(t.Token), Outcome: o,
		})
	}
	return nil
}

// holdPoll waits until the leader has answered the poll, and answers the worker.
func (a *Adapter) holdPoll(ctx *fasthttp.RequestCtx, report control.WorkerReport) {
	p := &heldPoll{report: report, done: make(chan struct{})}
	if !a.register(p) {
		web.Fail(ctx, web.Refuse(api.Conflict, "a later poll of the worker is being held"))
		return
	}
	defer a.unregister(p)
	a.renewer.RequestRenewal()
	timer := time.NewTimer(HoldTime)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
		p.finish(p.acknowledged.Load())
	}
	if p.answer == nil {
		fail := web.OutcomeUnknown(api.NoLeader, "the leader did not answer the poll, or a later one came")
		fail.Retry = a.options.Now()
		web.Fail(ctx, fail)
		return
	}
	id := event.RequestPoll
	if report.Leaving {
		id = event.RequestDeparted
	}
	a.options.Log.Emit(id, zap.String("worker", report.Worker.Name), zap.Uint64("sequence", report.Sequence),
		zap.Int("starts", len(p.answer.Starts)), zap.Int("stops", len(p.answer.Stops)))
	if report.Leaving {
		web.JSON(ctx, fasthttp.StatusOK, api.Accepted{})
		return
	}
	web.JSON(ctx, fasthttp.StatusOK, ordersToAPI(&p.report, p.answer))
}

// register makes p the worker's held poll, unless a later poll of the same boot
// is held. A retry of the same poll replaces the first copy.
func (a *Adapter) register(p *heldPoll) bool {
	registered := true
	a.waiting.With(p.report.Worker.Name, func(m map[string]*heldPoll) {
		if old := m[p.report.Worker.Name]; old != nil {
			if old.report.Worker.Boot == p.report.Worker.Boot && old.report.Sequence > p.report.Sequence {
				registered = false
				return
			}
			old.finish(old.acknowledged.Load())
		}
		m[p.report.Worker.Name] = p
	})
	return registered
}

func (a *Adapter) unregister(p *heldPoll) {
	a.waiting.With(p.report.Worker.Name, func(m map[string]*heldPoll) {
		if m[p.report.Worker.Name] == p {
			delete(m, p.report.Worker.Name)
		}
	})
}

// Repeat implements control.Workers.
func (a *Adapter) Repeat() { a.repeat.Store(true) }

// Reports appends the polls that the leader has not acknowledged, or all held
// polls after Repeat.
func (a *Adapter) Reports(into []control.WorkerReport) []control.WorkerReport {
	repeat := a.repeat.Swap(false)
	a.waiting.Range(func(_ string, p *heldPoll) bool {
		if repeat || p.acknowledged.Load() == nil {
			into = append(into, p.report)
		}
		return true
	})
	return into
}

// Deliver answers the polls that the orders are for. A poll that is acknowledged
// without orders stays held. Orders that do not acknowledge the held poll are
// delivered without the starts and do not renew the lease. The leader sends such
// starts again, unless the tasks have started elsewhere since. A leave is answered
// only once the leader has it, as its worker reports nothing after it. A request to rejoin
// does not renew the lease either; the worker answers it with its next poll.
func (a *Adapter) Deliver(list []control.WorkerOrders) {
	for i := range list {
		o := &list[i]
		p, ok := a.waiting.Get(o.Worker)
		if !ok || p.report.Worker.Boot != o.Boot {
			continue
		}
		previous := p.acknowledged.Load()
		acknowledged := o.Acknowledged >= p.report.Sequence
		if !acknowledged && previous == nil {
			o.Starts = nil
		}
		switch {
		case p.report.Leaving && !acknowledged && !o.Rejoin: // orders that were under way when the leave came
		case o.Rejoin || len(o.Starts)+len(o.Stops)+len(o.Throttles)+len(o.Ended) > 0 || acknowledged && p.report.Leaving:
			if previous != nil {
				o.Acknowledged = max(o.Acknowledged, previous.Acknowledged)
			}
			p.finish(o)
		case acknowledged:
			saved := *o // a pointer to o would keep the whole grant in memory
			p.acknowledged.Store(&saved)
		}
	}
}

// ordersToAPI returns the JSON form of the answer to a poll.
func ordersToAPI(r *control.WorkerReport, o *control.WorkerOrders) api.Orders {
	a := api.Orders{Sequence: r.Sequence, Challenge: o.Challenge}
	if o.Acknowledged >= r.Sequence {
		a.Lease = leaseMillis
	}
	for _, s := range o.Starts {
		a.Starts = append(a.Starts, api.Start{
			Job: uint64(s.Task.Job), Index: s.Task.Index, Token: uint64(s.Token), Entry: s.Entry, Team: s.Team,
			Size: web.Size(s.Size), Resume: s.Resume, Command: string(s.Command),
		})
	}
	for _, s := range o.Stops {
		a.Stops = append(a.Stops, api.Stop{Job: uint64(s.Task.Job), Index: s.Task.Index, Token: uint64(s.Token), Mode: string(s.Mode)})
	}
	for _, t := range o.Throttles {
		a.Throttle = append(a.Throttle, api.Running{Job: uint64(t.Task.Job), Index: t.Task.Index, Token: uint64(t.Token), Used: web.Size(t.Size)})
	}
	for _, e := range o.Ended {
		a.Ended = append(a.Ended, api.Ended{Job: uint64(e.Task.Job), Index: e.Task.Index, Token: uint64(e.Token), Outcome: string(e.Outcome)})
	}
	return a
}

var _ control.Workers = (*Adapter)(nil)
