package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/internal/boottime"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

const (
	pollInterval = time.Second
	pollRetry    = 200 * time.Millisecond
	// followUpDelay is the delay of the poll that follows orders or the end of a run.
	followUpDelay = 20 * time.Millisecond
	// pollTimeout is longer than the 4 s for which an entry VM may hold a poll.
	pollTimeout = 6 * time.Second
	// failDelay is the run time of a task that fails at once.
	failDelay = 10 * time.Millisecond
	// leaseCheckInterval bounds how long after a suspension of the VM, during which
	// timers stand still, tasks run on without a lease.
	leaseCheckInterval = 200 * time.Millisecond
)

// WorkerOptions configures a Worker.
type WorkerOptions struct {
	Name        string
	Zone        string
	Rack        string
	Key         string   // secret of a worker key
	Entries     []string // host:port of entry VMs
	Capacity    api.Size
	Accelerator string
	Interval    time.Duration // interval between polls; zero means 1 s
	Lag         time.Duration // age of the reported usage
	Client      *Client       // may be shared by several workers; nil creates a new one
	Dial        fasthttp.DialFunc
	Fail        bool // fail every task at once
	// Now returns the time on a clock that counts suspensions of the VM, by which the
	// lease is measured. It defaults to boottime.Now.
	Now func() time.Time
	Log io.Writer // receives a Record as a line of JSON for each start and end of a run; may be nil
}

// Record is one line of WorkerOptions.Log.
type Record struct {
	Worker  string    `json:"worker"`
	Job     uint64    `json:"job"`
	Index   uint32    `json:"index"`
	Token   uint64    `json:"token"`
	Outcome string    `json:"outcome"` // empty in the record of a start
	Expired bool      `json:"expired"` // the run ended because the lease expired
	At      time.Time `json:"at"`
}

// Worker is a stand-in for a worker VM. Its tasks are timers. The command of a task
// determines how long it runs and how it ends:
//
//	sleep 2s             succeeds after 2 s
//	fail [2s]            fails after 2 s, by default at once
//	need 1073741824 2s   is oversized if fewer bytes of memory are reserved for it, else succeeds after 2 s
//	(empty)              runs until it is stopped
//
// Any other command fails.
type Worker struct {
	options WorkerOptions
	client  *Client
	boot    uint64

	changed chan struct{} // signals that a run has ended

	mu       sync.Mutex
	sequence uint64
	echo     uint64 // latest challenge received, returned in each poll
	lease    time.Time
	expiry   *time.Timer
	tasks    map[taskID]*run
	tokens   map[taskID]uint64 // highest token of a start accepted for each task
	ended    map[taskID]api.Ended
	stats    Stats
}

// Stats holds the counters of a Worker.
type Stats struct {
	Starts  int
	Stale   int // starts ignored because their token is not above the last one of the task
	Expired int // tasks stopped because the lease expired
	Peak    int // maximum number of concurrent tasks
}

type taskID struct {
	job   uint64
	index uint32
}

// run is a task in progress.
type run struct {
	start   api.Start
	limit   api.Size
	timer   *time.Timer
	expired bool // the lease has expired
}

// NewWorker returns a Worker. It polls once Run is called.
func NewWorker(options WorkerOptions) *Worker {
	if options.Interval == 0 {
		options.Interval = pollInterval
	}
	if options.Now == nil {
		options.Now = boottime.Now
	}
	if options.Client == nil {
		options.Client = NewClient(options.Entries, options.Key, options.Dial)
	}
	return &Worker{
		options: options, client: options.Client, boot: newBoot(),
		changed: make(chan struct{}, 1),
		tasks:   make(map[taskID]*run), tokens: make(map[taskID]uint64), ended: make(map[taskID]api.Ended),
	}
}

// Run polls until ctx is done, then stops the tasks and leaves.
func (w *Worker) Run(ctx context.Context) error {
	// A random delay spreads the polls of workers that start at the same time.
	pause(ctx, rand.N(w.options.Interval), nil)
	for ctx.Err() == nil {
		w.pollOnce(ctx)
	}
	w.stopAll("stopped")
	_, err := w.poll("leave")
	return err
}

// pollOnce sends one poll and waits until the next one is due. If a run ends during a
// poll that the entry VM holds, it returns early, so that the next poll reports the end.
func (w *Worker) pollOnce(ctx context.Context) {
	type result struct {
		ordered bool
		err     error
	}
	begin := time.Now()
	done := make(chan result, 1)
	go func() {
		ordered, err := w.poll("poll")
		done <- result{ordered, err}
	}()
	select {
	case r := <-done:
		next := begin.Add(w.options.Interval)
		switch {
		case r.err != nil:
			next = time.Now().Add(pollRetry)
		case r.ordered:
			next = time.Now().Add(followUpDelay)
		}
		pause(ctx, time.Until(next), w.changed)
	case <-w.changed:
		pause(ctx, followUpDelay, nil) // lets one poll report all runs that end at about the same time
	case <-ctx.Done():
	}
}

// pause waits for a duration, or until changed is signalled or ctx is done.
func pause(ctx context.Context, d time.Duration, changed <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-changed:
	case <-time.After(d):
	}
}

// poll sends one poll or leave and carries out the orders in the response. It reports
// whether there were any.
func (w *Worker) poll(kind string) (bool, error) {
	sent := w.options.Now()
	body := w.nextPoll(time.Now())
	var orders api.Orders
	if err := w.client.Post("/v1/workers/"+w.options.Name+"/"+kind, body, &orders, pollTimeout); err != nil {
		return false, err
	}
	w.carryOut(&orders, sent)
	return len(orders.Starts)+len(orders.Stops)+len(orders.Throttle)+len(orders.Ended) > 0, nil
}

// nextPoll returns the body of the next poll.
func (w *Worker) nextPoll(now time.Time) api.Poll {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	p := api.Poll{
		Boot: w.boot, Sequence: w.sequence, Echo: w.echo, Zone: w.options.Zone, Rack: w.options.Rack,
		Capacity: w.options.Capacity, Accelerator: w.options.Accelerator,
		Running: []api.Running{}, Ended: []api.Ended{},
	}
	for id, r := range w.tasks {
		p.Running = append(p.Running, api.Running{
			Job: id.job, Index: id.index, Token: r.start.Token, Used: r.limit, At: now.Add(-w.options.Lag),
		})
	}
	for _, e := range w.ended {
		p.Ended = append(p.Ended, e)
	}
	slices.SortFunc(p.Ended, func(a, b api.Ended) int { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index)) })
	return p
}

// carryOut carries out the orders if they answer the latest poll, and ignores them
// otherwise. The lease is counted from when the poll was sent.
func (w *Worker) carryOut(o *api.Orders, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Sequence != w.sequence {
		return
	}
	if o.Challenge != 0 {
		w.echo = o.Challenge
	}
	if o.Lease > 0 {
		w.renewLease(sent.Add(time.Duration(o.Lease) * time.Millisecond))
	}
	for _, e := range o.Ended {
		id := taskID{e.Job, e.Index}
		if known, ok := w.ended[id]; ok && known.Token == e.Token {
			delete(w.ended, id)
		}
	}
	for _, s := range o.Stops {
		outcome := "stopped"
		if s.Mode == "checkpoint" {
			outcome = "checkpointed"
		}
		w.stop(taskID{s.Job, s.Index}, s.Token, outcome)
	}
	for _, t := range o.Throttle {
		if r := w.tasks[taskID{t.Job, t.Index}]; r != nil && r.start.Token == t.Token {
			r.limit = t.Used
		}
	}
	for _, s := range o.Starts {
		w.start(s)
	}
}

// renewLease sets the end of the lease, at which every task is stopped. If the previous
// lease has expired, its tasks are stopped first.
func (w *Worker) renewLease(lease time.Time) {
	w.stopIfExpired()
	if !lease.After(w.lease) {
		return
	}
	w.lease = lease
	if w.expiry != nil {
		w.expiry.Stop()
	}
	w.awaitExpiry()
}

// awaitExpiry has expire called at the end of the lease, or earlier.
func (w *Worker) awaitExpiry() {
	w.expiry = time.AfterFunc(min(w.lease.Sub(w.options.Now()), leaseCheckInterval), w.expire)
}

func (w *Worker) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopIfExpired()
	if w.options.Now().Before(w.lease) {
		w.awaitExpiry()
	}
}

// stopIfExpired stops every task if the lease has expired.
func (w *Worker) stopIfExpired() {
	if w.options.Now().Before(w.lease) {
		return
	}
	w.stats.Expired += len(w.tasks)
	for id, r := range w.tasks {
		r.expired = true
		w.end(id, r.start.Token, "stopped")
	}
}

func (w *Worker) stopAll(outcome string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.expiry != nil {
		w.expiry.Stop()
	}
	for id, r := range w.tasks {
		w.end(id, r.start.Token, outcome)
	}
}

// start starts a task, unless the token is not above the last one of the task or the
// lease has expired.
func (w *Worker) start(s api.Start) {
	id := taskID{s.Job, s.Index}
	if s.Token <= w.tokens[id] {
		w.stats.Stale++
		return
	}
	if !w.options.Now().Before(w.lease) {
		return
	}
	w.tokens[id] = s.Token
	if old := w.tasks[id]; old != nil {
		w.end(id, old.start.Token, "stopped")
	}
	delete(w.ended, id) // end of an earlier run, which the leader knows to be over
	w.stats.Starts++
	r := &run{start: s, limit: s.Size}
	w.tasks[id] = r
	w.stats.Peak = max(w.stats.Peak, len(w.tasks))
	w.logRun(r, "")
	after, outcome, ends := parseCommand(s)
	if w.options.Fail {
		after, outcome, ends = failDelay, "failed", true
	}
	if ends {
		r.timer = time.AfterFunc(after, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.options.Now().Before(w.lease) {
				outcome, r.expired = "stopped", true // the process was paused until after its lease expired
			}
			w.end(id, s.Token, outcome)
		})
	}
}

// stop ends a run. One that has not started here never will, and is reported as
// ended as well, so that the leader does not wait for it.
func (w *Worker) stop(id taskID, token uint64, outcome string) {
	if token <= w.tokens[id] {
		w.end(id, token, outcome)
		return
	}
	w.tokens[id] = token
	if old := w.tasks[id]; old != nil {
		w.end(id, old.start.Token, "stopped")
	}
	w.reportEnd(id, token, "stopped")
}

// end ends the run with the given token and reports its outcome.
func (w *Worker) end(id taskID, token uint64, outcome string) {
	r := w.tasks[id]
	if r == nil || r.start.Token != token {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.tasks, id)
	w.logRun(r, outcome)
	w.reportEnd(id, token, outcome)
}

// reportEnd queues the end of a run for the next polls.
func (w *Worker) reportEnd(id taskID, token uint64, outcome string) {
	w.ended[id] = api.Ended{Job: id.job, Index: id.index, Token: token, Outcome: outcome}
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// logRun logs the end of a run, or its start if outcome is empty.
func (w *Worker) logRun(r *run, outcome string) {
	if w.options.Log == nil {
		return
	}
	b, err := json.Marshal(Record{
		Worker: w.options.Name, Job: r.start.Job, Index: r.start.Index, Token: r.start.Token,
		Outcome: outcome, Expired: r.expired, At: time.Now(),
	})
	if err == nil {
		_, _ = w.options.Log.Write(append(b, '\n'))
	}
}

// parseCommand returns the run time and the outcome of a task. If ends is false, the
// task runs until it is stopped.
func parseCommand(s api.Start) (after time.Duration, outcome string, ends bool) {
	words := strings.Fields(s.Command)
	if len(words) == 0 {
		return 0, "", false
	}
	switch {
	case words[0] == "sleep" && len(words) == 2:
		if d, err := time.ParseDuration(words[1]); err == nil {
			return d, "succeeded", true
		}
	case words[0] == "fail" && len(words) == 2:
		if d, err := time.ParseDuration(words[1]); err == nil {
			return d, "failed", true
		}
	case words[0] == "need" && len(words) == 3:
		need, err := strconv.ParseInt(words[1], 10, 64)
		d, wrong := time.ParseDuration(words[2])
		if err == nil && wrong == nil {
			if need > s.Size.Memory {
				return failDelay, "oversized", true
			}
			return d, "succeeded", true
		}
	}
	return failDelay, "failed", true
}

// Running returns the number of running tasks.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.tasks)
}

// Stats returns a copy of the counters.
func (w *Worker) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}
