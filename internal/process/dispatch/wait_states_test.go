package dispatch

import (
	"context"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// waitState is the state of a worker after a start without an answer.
type waitState struct {
	name    string
	refuses bool // so that it is avoided
	unclear bool // no start on it gets an answer of its own, so that each step waits anew
	change  func(w *fakeWorker)
	enter   func(b *testCluster) // what else happens; nil if nothing
}

var waitStates = []waitState{
	{name: "unhealthy", refuses: true, change: func(w *fakeWorker) { w.unhealthy = true }},
	{name: "refusesCopies", refuses: true, unclear: true, change: func(w *fakeWorker) { w.refusesCopies = true }},
	{name: "refusesStops", refuses: true, change: func(w *fakeWorker) { w.refusesStops = true }},
	{name: "hidesRuns", change: func(w *fakeWorker) { w.hidesRuns = true }},
	{name: "loses", change: func(w *fakeWorker) { w.loses = true }},
	{name: "silent", change: func(w *fakeWorker) { w.silent = true }},
	{name: "unheard", change: func(w *fakeWorker) { w.unheard = true }},
	{name: "gone", change: func(w *fakeWorker) { w.refusesConnections, w.running = true, map[job.TaskID]*fakeRun{} }},
	{name: "small", change: func(w *fakeWorker) { w.processors = 500 }},
	{name: "draining", change: func(w *fakeWorker) { w.draining = true }},
	{name: "well", change: func(*fakeWorker) {}},
	{name: "replaced", change: func(w *fakeWorker) { w.replaced, w.running = true, map[job.TaskID]*fakeRun{} },
		enter: func(b *testCluster) { b.add("a-2", 9) }},
	{name: "cordoned", change: func(*fakeWorker) {}, enter: func(b *testCluster) {
		b.vms.add("a", "b")
		b.vms.change(func() { b.vms.loses = true }) // the maintenance never begins
		b.awaitTerm()
		b.begin(1, 1, time.Hour, "a")
	}},
	{name: "fails", refuses: true, change: func(w *fakeWorker) { w.fails = true }},
	{name: "trial", change: func(*fakeWorker) {}, enter: func(b *testCluster) {
		t := b.awaitTerm()
		t.mu.Lock()
		defer t.mu.Unlock()
		if w := t.workers["a"]; w != nil {
			w.trial, w.trialEnds = "other", t.now().Add(time.Hour)
		}
	}},
	{name: "unread", change: func(w *fakeWorker) { w.unread = true }},
	{name: "clock", change: func(w *fakeWorker) { w.slowClock = true }},
}

// waitWays are the ways in which a start gets no answer.
var waitWays = map[string]func(w *fakeWorker, yes bool){
	"silent":  func(w *fakeWorker, yes bool) { w.silent = yes },
	"dropped": func(w *fakeWorker, yes bool) { w.dropsAnswers = yes },
	"held":    func(w *fakeWorker, yes bool) { w.delaysStarts = yes },
}

// waitKind is a kind of job.
type waitKind struct {
	prefix string // of its queue; /q/ if empty
	change func(s *job.Step)
	steps  int           // each after the one before; zero means one
	run    time.Duration // run time of its tasks; boundRun if zero
	extra  time.Duration // beyond what other jobs take
}

var waitKinds = map[string]waitKind{
	"one":     {change: func(*job.Step) {}},
	"four":    {change: func(s *job.Step) { s.Count = 4 }},
	"gang":    {change: func(s *job.Step) { s.Count, s.Gang = 2, true }},
	"wide":    {change: func(s *job.Step) { s.Size.Processors = 4000 }},
	"long":    {change: func(s *job.Step) { s.Estimate = boundLong }, run: boundLong, extra: boundLong - boundRun},
	"lasting": {change: func(s *job.Step) { s.Lasting, s.Estimate = true, 0 }, run: time.Hour},
	"copies":  {change: func(s *job.Step) { s.Count, s.Copies = 2, true }},
	"steps":   {change: func(*job.Step) {}, steps: 2, extra: boundRun + boundStop},
	"advised": {change: func(*job.Step) {}, prefix: "/advised/", extra: boundAdvice},
}

// spec returns the job's steps.
func (k waitKind) spec() []job.Step {
	var list []job.Step
	for i := range max(1, k.steps) {
		s := tasks(1)
		if k.change != nil {
			k.change(&s)
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		list = append(list, s)
	}
	return list
}

// awaitTerm waits for a leader and returns its term.
func (b *testCluster) awaitTerm() *term {
	for b.term() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	return b.term()
}

// submitKind submits a job of a kind until a leader accepts it, for a while.
func (b *testCluster) submitKind(id string, k waitKind) bool {
	prefix := k.prefix
	if prefix == "" {
		prefix = "/q/"
	}
	for range 20 {
		if t := b.term(); t != nil {
			v, ok := t.call(context.Background(), &cell.Call{Verb: cell.Submit, Host: "h", Path: prefix + id, Key: "k", Job: &job.Job{Steps: k.spec()}})
			if ok && v.Code == cell.OK {
				return true
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// advise adds a queue that is advised, and has a process answer the queries until ctx ends.
func (b *testCluster) advise(ctx context.Context) {
	b.is.Helper()
	var c job.Catalogue
	b.state.View(func(v *job.View) { c = *v.Catalogue })
	q := c.Queues[0]
	q.Name, q.Prefix, q.Advised = "advised", "/advised/", &job.Advised{Base: 100 * time.Millisecond, Each: time.Millisecond, Expiry: 2 * time.Second}
	c.Version, c.Queues = c.Version+1, append(c.Queues[:len(c.Queues):len(c.Queues)], q)
	v, ok := b.term().apply(ctx, &c)
	b.is.True(ok)
	b.is.Equal(v.Code, cell.OK)
	go func() {
		for ctx.Err() == nil {
			if t := b.term(); t != nil {
				t.ping("entry")
			}
			sleep(ctx, 300*time.Millisecond)
		}
	}()
}

// fakePeers is a peer.Caller of processes that answer queries for advice only. Other calls time
// out.
type fakePeers struct{ workers *fakeWorkers }

func (f *fakePeers) Call(ctx context.Context, _, method string, request, response any) error {
	q, ok := request.(cell.AdviceQuery)
	if !ok || method != cell.MethodAdvise {
		return context.DeadlineExceeded
	}
	sleep(ctx, 100*time.Millisecond+time.Duration(len(q.Workers))*time.Millisecond)
	a := response.(*cell.Advice)
	a.Tickets = map[string]string{}
	f.workers.mu.Lock()
	defer f.workers.mu.Unlock()
	for _, name := range q.Workers {
		if w := f.workers.all[name]; w != nil {
			a.Tickets[name] = w.ticket(name)
		}
	}
	return ctx.Err()
}

// startTrial starts a job that runs until the end and leaves room for others.
func (b *testCluster) startTrial() {
	b.submit("other", job.Step{Count: 1, Size: work.Resources{Memory: 1 << 20}, Lasting: true})
	time.Sleep(200 * time.Millisecond)
}
