package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	maxHold  = 6000 * time.Millisecond // max_hold_ms
	stopTime = 200 * time.Millisecond  // below stop_timeout_ms
)

// size is an amount of resources.
type size struct {
	CPU      int `json:"cpu"`
	MemoryMB int `json:"memory_request_mb"`
	GPU      int `json:"gpu"`
}

// outcome says how long a run takes and how it ends.
type outcome struct {
	after time.Duration // zero: it runs until it is stopped
	how   string
}

// pool is a set of runners of one service, and the record of all that they have run.
type pool struct {
	cell     *cell
	service  string
	plan     func(task string, run int) outcome
	started  func(r *runner, task string, run int) // called after a run has begun; may be nil
	delay    time.Duration                         // of each answer, as links between zones have one
	mu       sync.Mutex
	runners  []*runner
	quiet    bool // starts and ends are not recorded one by one
	starts   int
	perTask  map[string]int
	finished map[string]int // ends by how
}

// execution is a run on a runner.
type execution struct {
	task  string
	run   int
	began time.Time
	plan  outcome
	stop  time.Time // when its stop is carried out; zero if there is none
}

// runner is a stand-in for a runner, in one life after the other.
type runner struct {
	pool     *pool
	id       string
	address  string
	capacity size

	mu       sync.Mutex
	server   *http.Server
	born     int64
	origin   time.Time // of its clock
	fence    int64
	deadline time.Time
	running  map[string]*execution
	over     map[string]int // by task: highest run that was stopped or has ended
	ended    [][]any
	number   int
	sequence int
	control  string
	changed  chan struct{}
	stopped  chan struct{}
}

func newPool(c *cell, service string, n int, capacity size, plan func(string, int) outcome) (*pool, error) {
	p := &pool{cell: c, service: service, plan: plan, perTask: map[string]int{}, finished: map[string]int{}}
	for i := range n {
		r := &runner{pool: p, id: fmt.Sprintf("i-%s-%02d", service, i+1), capacity: capacity}
		l, err := net.Listen("tcp", c.network+".100:0")
		if err != nil {
			return nil, err
		}
		r.address = l.Addr().String()
		p.runners = append(p.runners, r)
		r.live(l)
	}
	return p, nil
}

// live begins a life of the runner.
func (r *runner) live(l net.Listener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born, r.origin = time.Now().UnixMilli(), time.Now().Add(-time.Second)
	r.fence, r.deadline, r.number, r.sequence = 0, time.Time{}, 0, 0
	r.running, r.over, r.ended = map[string]*execution{}, map[string]int{}, nil
	r.changed, r.stopped = make(chan struct{}), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", r.handle(r.start))
	mux.HandleFunc("POST /v1/run-stop", r.handle(r.halt))
	mux.HandleFunc("POST /v1/hold", r.handle(r.hold))
	mux.HandleFunc("POST /v1/pace", r.handle(func(order, int64) (int, map[string]any) { return 200, nil }))
	r.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(l) }(r.server)
	go r.report(r.stopped)
	go r.tick(r.stopped)
}

// crash ends the life of the runner, with all that runs on it.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.stopped:
		return
	default:
	}
	close(r.stopped)
	_ = r.server.Close()
	r.pool.cell.record.add("%s crashes with %d runs", r.id, len(r.running))
	r.running = nil
}

// revive begins the next life, under the same id and address.
func (r *runner) revive() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.live(l)
	r.pool.cell.record.add("%s is back", r.id)
	return nil
}

func (r *runner) clock() int64 { return time.Since(r.origin).Milliseconds() }

// order is the body of any order.
type order struct {
	Task          string `json:"task"`
	Run           int    `json:"run"`
	Specification string `json:"specification"`
	DeadlineMS    int64  `json:"deadline_ms"`
	FencingToken  int64  `json:"fencing_token"`
	AckCursor     int    `json:"ack_cursor"`
	WaitMS        int64  `json:"wait_ms"`
}

// handle decodes an order, checks its instance, and answers with the clock and the time of birth.
func (r *runner) handle(serve func(order, int64) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		var o order
		b, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		status, body := http.StatusBadRequest, map[string]any(nil)
		switch {
		case q.Header.Get("Expected-Instance") != r.id:
			status = http.StatusMisdirectedRequest
		case json.Unmarshal(b, &o) == nil:
			status, body = serve(o, r.born)
		}
		if body == nil {
			body = map[string]any{}
		}
		time.Sleep(r.pool.delay)
		body["clock_ms"], body["born"] = r.clock(), r.born
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func refusal(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// extend takes a lease over. The caller holds the lock.
func (r *runner) extend(deadlineMS int64) {
	if deadlineMS <= 0 {
		return
	}
	at := r.origin.Add(time.Duration(deadlineMS) * time.Millisecond)
	if latest := time.Now().Add(maxHold); at.After(latest) {
		at = latest
	}
	if at.After(r.deadline) {
		r.deadline = at
	}
}

func (r *runner) start(o order, _ int64) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e := r.running[o.Task]; {
	case o.FencingToken < r.fence:
		return refusal("fence")
	case e != nil && e.run == o.Run:
		r.fence = o.FencingToken
		r.extend(o.DeadlineMS)
		return http.StatusOK, nil
	case o.Run <= r.over[o.Task], e != nil:
		r.fence = o.FencingToken
		r.extend(o.DeadlineMS)
		return refusal("old")
	case o.DeadlineMS <= r.clock():
		r.fence = o.FencingToken
		return refusal("late")
	}
	r.fence = o.FencingToken
	r.extend(o.DeadlineMS)
	p := r.pool
	e := &execution{task: o.Task, run: o.Run, began: time.Now(), plan: p.plan(o.Task, o.Run)}
	r.running[o.Task] = e
	p.mu.Lock()
	p.starts++
	p.perTask[o.Task]++
	quiet := p.quiet
	p.mu.Unlock()
	if !quiet {
		p.cell.record.add("%s starts %s run %d", r.id, o.Task, o.Run)
	}
	if p.started != nil {
		go p.started(r, o.Task, o.Run)
	}
	return http.StatusOK, nil
}

func (r *runner) halt(o order, _ int64) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.FencingToken < r.fence {
		return refusal("fence")
	}
	r.fence = o.FencingToken
	if e := r.running[o.Task]; e != nil && e.run == o.Run {
		if e.stop.IsZero() {
			e.stop = time.Now().Add(stopTime)
		}
	} else {
		r.over[o.Task] = max(r.over[o.Task], o.Run)
	}
	return http.StatusOK, nil
}

func (r *runner) hold(o order, born int64) (int, map[string]any) {
	r.mu.Lock()
	if o.FencingToken < r.fence {
		r.mu.Unlock()
		return refusal("fence")
	}
	r.fence = o.FencingToken
	r.extend(o.DeadlineMS)
	r.ended = slices.DeleteFunc(r.ended, func(row []any) bool { return row[0].(int) <= o.AckCursor })
	changed, stopped, waits := r.changed, r.stopped, len(r.ended) == 0
	r.mu.Unlock()
	if waits && o.WaitMS > 0 {
		select {
		case <-changed:
		case <-stopped:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	running := [][]any{}
	for _, e := range r.running {
		percent := 100
		if e.plan.after > 0 {
			percent = min(99, int(100*time.Since(e.began)/e.plan.after))
		} else if time.Since(e.began) < 200*time.Millisecond {
			percent = 0
		}
		running = append(running, []any{e.task, e.run, "", percent, 0})
	}
	ended := append([][]any{}, r.ended...)
	return http.StatusOK, map[string]any{"running": running, "ended": ended[:min(len(ended), 500)]}
}

// tick ends what is done, stopped or without a lease.
func (r *runner) tick(stopped chan struct{}) {
	for {
		select {
		case <-stopped:
			return
		case <-time.After(5 * time.Millisecond):
		}
		r.mu.Lock()
		now, any := time.Now(), false
		for _, e := range r.running {
			how := ""
			switch {
			case e.plan.after > 0 && now.Sub(e.began) >= e.plan.after:
				how = e.plan.how
			case !e.stop.IsZero() && !now.Before(e.stop):
				how = "stopped"
			case now.After(r.deadline):
				how = "lapsed"
			}
			if how != "" {
				any = true
				r.end(e, how)
			}
		}
		if any {
			close(r.changed)
			r.changed = make(chan struct{})
		}
		r.mu.Unlock()
	}
}

// end ends a run. The caller holds the lock.
func (r *runner) end(e *execution, how string) {
	delete(r.running, e.task)
	r.over[e.task] = max(r.over[e.task], e.run)
	r.number++
	r.ended = append(r.ended, []any{r.number, e.task, e.run, how, ""})
	p := r.pool
	p.mu.Lock()
	p.finished[how]++
	quiet := p.quiet
	p.mu.Unlock()
	if !quiet {
		p.cell.record.add("%s ends %s run %d: %s", r.id, e.task, e.run, how)
	}
}

// report sends the runner's reports about itself.
func (r *runner) report(stopped chan struct{}) {
	c := r.pool.cell
	for i := 0; ; i++ {
		r.mu.Lock()
		r.sequence++
		if r.control == "" {
			r.control = fmt.Sprintf("%s:%d", c.address(i%controls), c.port+1)
		}
		control := r.control
		b, _ := json.Marshal(map[string]any{
			"service": r.pool.service, "address": r.address, "zone": "zone-1", "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": r.capacity, "labels": []string{"a", "r1-1"}, "clock_ms": r.clock(),
			"sequence": r.sequence, "born": r.born,
		})
		r.mu.Unlock()
		next := c.sendReport(control, r.id, b)
		r.mu.Lock()
		r.control = next
		r.mu.Unlock()
		pause := 1500 * time.Millisecond
		if next == "" {
			pause = 100 * time.Millisecond
		}
		select {
		case <-stopped:
			return
		case <-time.After(pause):
		}
	}
}

// sendReport sends a report and returns the address for the next one, or "" if it failed.
func (c *cell) sendReport(control, id string, body []byte) string {
	q, err := http.NewRequest(http.MethodPut, "http://"+control+"/v1/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return ""
	}
	q.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: c.client.Transport}
	a, err := client.Do(q)
	if err != nil {
		return ""
	}
	defer a.Body.Close()
	var next struct {
		HeartbeatAddress string `json:"heartbeat_address"`
	}
	if b, err := io.ReadAll(a.Body); err != nil || a.StatusCode/100 != 2 || json.Unmarshal(b, &next) != nil {
		return ""
	}
	if next.HeartbeatAddress == "" {
		return control
	}
	return next.HeartbeatAddress
}

// atWork returns how many tasks of a submission run now.
func (p *pool) atWork(path string) int {
	n := 0
	for _, r := range p.runners {
		r.mu.Lock()
		for task := range r.running {
			if ofSubmission(task, path) {
				n++
			}
		}
		r.mu.Unlock()
	}
	return n
}

// begun returns how many tasks of a submission have ever started.
func (p *pool) begun(path string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for task := range p.perTask {
		if ofSubmission(task, path) {
			n++
		}
	}
	return n
}

// ofSubmission reports whether a task belongs to the submission with a path.
func ofSubmission(task, path string) bool {
	id, _, _ := strings.Cut(task, ".")
	return strings.HasSuffix(path, "/"+id)
}
