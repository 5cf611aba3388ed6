package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// pool is all runners of a case, which follow PROTOCOL.md: they run tasks under a lease, keep their ends
// until these are acknowledged, and let the members of a gang begin together.
type pool struct {
	cell *cell
	// plan says after how much work a run ends, and how. It lasts if that is negative, and waits if it is zero.
	plan func(r *runner, task string, run int) (work time.Duration, how string)

	quiet bool               // runs are not recorded
	began func(e *execution) // called with each run that begins; may be nil

	mu      sync.Mutex
	runners []*runner
	all     []*execution // every run that began, in order
}

// execution is one run of a task, as the runners know it.
type execution struct {
	runner        *runner
	life          int64
	task          string
	run           int
	began         time.Time
	ended         time.Time // zero while it runs
	how           string
	specification string
	number        int64         // of its end
	work          time.Duration // from when it works until it ends; negative for one that lasts, zero while it waits
	works         time.Time     // when it began to work
	timer         *time.Timer
	noted         bool // its end was acknowledged by ack_cursor
}

// runner is one runner, with the state of its present lifetime.
type runner struct {
	pool    *pool
	id      string
	service string
	host    int
	port    int // at which its proxy or it is reached
	labels  []string
	cpu     int

	mu       sync.Mutex
	born     int64
	origin   time.Time
	sequence int64
	fence    uint64
	lease    time.Time
	runs     map[string]*execution
	highest  map[string]int // highest run that was stopped or has ended, by task
	ends     []*execution
	number   int64
	state    string
	down     bool
	waiters  []chan struct{}
	control  int // control process that takes its reports
	target   string
	server   *http.Server
	proxy    *proxy
	sick     bool // refuses all orders with 503, and does nothing
	mute     bool // sends no status reports
}

const (
	stopTime       = 50 * time.Millisecond
	reportInterval = 1500 * time.Millisecond
)

// note records what a runner sees.
func (p *pool) note(format string, arguments ...any) {
	if !p.quiet {
		p.cell.record.add(format, arguments...)
	}
}

func newPool(c *cell) *pool {
	return &pool{cell: c, plan: func(*runner, string, int) (time.Duration, string) { return 300 * time.Millisecond, "done" }}
}

// add adds a runner; its server listens on its own port, and callers reach it at the given port.
func (p *pool) add(service string, reached int) *runner {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.runners)
	r := &runner{pool: p, id: fmt.Sprintf("i-%08x", 0x7f3a9100+n), service: service, host: firstRunner + n, port: reached, labels: []string{"a", fmt.Sprintf("r1-%d", n/5)},
		cpu: 32000, state: "ready"}
	p.runners = append(p.runners, r)
	return r
}

// reachedPort is the port at which the proxy of a runner listens.
const reachedPort = runnerPort + 1

// addProxied adds a runner that is reached through a proxy, which can cut it off.
func (p *pool) addProxied(service string) (*runner, error) {
	r := p.add(service, reachedPort)
	var err error
	r.proxy, err = newProxy(p.cell.address(r.host, reachedPort), p.cell.address(r.host, runnerPort))
	return r, err
}

// cut cuts a runner off from the machines of the system, or ends that.
func (r *runner) cut(on bool) {
	r.pool.note("%s is cut off: %v", r.id, on)
	r.proxy.cut(on)
}

// start starts the runner's first or next lifetime.
func (r *runner) start() error {
	r.mu.Lock()
	r.born, r.origin, r.sequence, r.fence, r.lease = time.Now().UnixMilli(), time.Now(), 0, 0, time.Time{}
	r.runs, r.highest, r.ends, r.number, r.down, r.state = map[string]*execution{}, map[string]int{}, nil, 0, false, "ready"
	r.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", r.serveStart)
	mux.HandleFunc("POST /v1/run-stop", r.serveStop)
	mux.HandleFunc("POST /v1/hold", r.serveHold)
	mux.HandleFunc("POST /v1/pace", func(w http.ResponseWriter, q *http.Request) { r.answer(w, 200, nil) })
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, q *http.Request) { w.WriteHeader(200) })
	l, err := net.Listen("tcp", r.pool.cell.address(r.host, runnerPort))
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: mux}
	go r.server.Serve(l)
	go r.report(r.born)
	go r.expire(r.born)
	return nil
}

// clock returns the runner's clock in milliseconds.
func (r *runner) clock() int64 { return 100000 + time.Since(r.origin).Milliseconds() }

func (r *runner) at(clock int64) time.Time {
	return r.origin.Add(time.Duration(clock-100000) * time.Millisecond)
}

// answer writes a response; the caller holds no lock.
func (r *runner) answer(w http.ResponseWriter, status int, body map[string]any) {
	r.mu.Lock()
	if body == nil {
		body = map[string]any{}
	}
	body["clock_ms"] = r.clock()
	r.mu.Unlock()
	b, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(b)
}

// misdirected answers a call that is meant for another lifetime.
func (r *runner) misdirected(w http.ResponseWriter, q *http.Request) bool {
	if want := q.Header.Get("Expected-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	return false
}

// unhealthy refuses an order while the runner is unhealthy.
func (r *runner) unhealthy(w http.ResponseWriter, q *http.Request) bool {
	r.mu.Lock()
	sick := r.sick
	r.mu.Unlock()
	if sick {
		r.pool.note("%s %s -> 503", r.id, q.URL.Path)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return sick
}

// setSick makes the runner unhealthy, or healthy again.
func (r *runner) setSick(sick bool) {
	r.mu.Lock()
	r.sick = sick
	r.mu.Unlock()
	r.pool.note("%s is unhealthy: %v", r.id, sick)
}

// silent has the runner send no status reports, or send them again.
func (r *runner) silent(mute bool) {
	r.mu.Lock()
	r.mute = mute
	r.mu.Unlock()
}

// fenced checks and keeps the fence number; the caller holds the lock.
func (r *runner) fenced(n uint64) bool {
	if n < r.fence {
		return true
	}
	r.fence = n
	return false
}

// extend extends the lease of all that runs; the caller holds the lock.
func (r *runner) extend(deadline int64) {
	if deadline == 0 {
		return
	}
	at := r.at(deadline)
	if most := time.Now().Add(time.Duration(r.pool.cell.bounds.lease) * time.Millisecond); at.After(most) {
		at = most
	}
	if at.After(r.lease) {
		r.lease = at
	}
}

type startCall struct {
	Task          string `json:"task"`
	Run           int    `json:"run"`
	Specification string `json:"specification"`
	DeadlineMS    int64  `json:"deadline_ms"`
	FencingToken  uint64 `json:"fencing_token"`
	Checkpoint    string `json:"checkpoint"`
	AckCursor     int64  `json:"ack_cursor"`
	WaitMS        int64  `json:"wait_ms"`
}

func (r *runner) serveStart(w http.ResponseWriter, q *http.Request) {
	var c startCall
	if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
		r.answer(w, 400, nil)
		return
	}
	if r.misdirected(w, q) || r.unhealthy(w, q) {
		return
	}
	r.mu.Lock()
	status, reason := r.begin(&c)
	r.mu.Unlock()
	r.pool.note("%s run-start %s run %d fence %d -> %d %s", r.id, c.Task, c.Run, c.FencingToken, status, reason)
	if reason != "" {
		r.answer(w, status, map[string]any{"reason": reason})
		return
	}
	r.answer(w, status, nil)
}

// begin begins a run; the caller holds the lock.
func (r *runner) begin(c *startCall) (int, string) {
	if r.fenced(c.FencingToken) {
		return 409, "fence"
	}
	r.extend(c.DeadlineMS)
	if e := r.runs[c.Task]; e != nil && e.run == c.Run {
		return 200, ""
	}
	if c.Run <= r.highest[c.Task] || r.runs[c.Task] != nil {
		return 409, "old"
	}
	if !r.lease.After(time.Now()) {
		return 409, "late"
	}
	e := &execution{runner: r, life: r.born, task: c.Task, run: c.Run, specification: c.Specification, began: time.Now()}
	r.runs[c.Task] = e
	r.pool.mu.Lock()
	r.pool.all = append(r.pool.all, e)
	r.pool.mu.Unlock()
	work, how := r.pool.plan(r, c.Task, c.Run)
	switch {
	case work > 0:
		e.work, e.works = work, time.Now()
		e.timer = time.AfterFunc(work, func() { r.finish(e, how) })
	case work < 0:
		e.work, e.works = work, time.Now()
	}
	if r.pool.began != nil {
		go r.pool.began(e)
	}
	return 200, ""
}

// finish ends a run, unless it has ended.
func (r *runner) finish(e *execution, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end(e, how)
}

// end ends a run; the caller holds the lock.
func (r *runner) end(e *execution, how string) {
	if r.runs[e.task] != e || e.life != r.born {
		return
	}
	delete(r.runs, e.task)
	e.ended, e.how = time.Now(), how
	r.number++
	e.number = r.number
	r.highest[e.task] = max(r.highest[e.task], e.run)
	r.ends = append(r.ends, e)
	for _, c := range r.waiters {
		close(c)
	}
	r.waiters = nil
	r.pool.note("%s end %d: %s run %d %s", r.id, e.number, e.task, e.run, how)
}

func (r *runner) serveStop(w http.ResponseWriter, q *http.Request) {
	var c startCall
	if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
		r.answer(w, 400, nil)
		return
	}
	if r.misdirected(w, q) || r.unhealthy(w, q) {
		return
	}
	r.mu.Lock()
	if r.fenced(c.FencingToken) {
		r.mu.Unlock()
		r.answer(w, 409, map[string]any{"reason": "fence"})
		return
	}
	r.highest[c.Task] = max(r.highest[c.Task], c.Run)
	if e := r.runs[c.Task]; e != nil && e.run <= c.Run {
		time.AfterFunc(stopTime, func() { r.finish(e, "stopped") })
	}
	r.mu.Unlock()
	r.pool.note("%s run-stop %s run %d", r.id, c.Task, c.Run)
	r.answer(w, 200, nil)
}

func (r *runner) serveHold(w http.ResponseWriter, q *http.Request) {
	var c startCall
	if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
		r.answer(w, 400, nil)
		return
	}
	if r.misdirected(w, q) || r.unhealthy(w, q) {
		return
	}
	r.mu.Lock()
	if r.fenced(c.FencingToken) {
		r.mu.Unlock()
		r.answer(w, 409, map[string]any{"reason": "fence"})
		return
	}
	r.extend(c.DeadlineMS)
	kept := r.ends[:0:0]
	for _, e := range r.ends {
		if e.number > c.AckCursor {
			kept = append(kept, e)
		} else if !e.noted {
			e.noted = true
			r.pool.note("%s acknowledged end %d of %s run %d %s", r.id, e.number, e.task, e.run, e.how)
		}
	}
	r.ends = kept
	var changed chan struct{}
	if c.WaitMS > 0 && len(r.ends) == 0 {
		changed = make(chan struct{})
		r.waiters = append(r.waiters, changed)
	}
	r.mu.Unlock()
	if changed != nil {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(c.WaitMS, 2000)) * time.Millisecond):
		case <-q.Context().Done():
		}
	}
	r.mu.Lock()
	running, ended := [][]any{}, [][]any{}
	for _, e := range r.runs {
		percent := e.progress()
		running = append(running, []any{e.task, e.run, "", percent, 1000})
	}
	for _, e := range r.ends {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	born := r.born
	r.mu.Unlock()
	r.answer(w, 200, map[string]any{"running": running, "ended": ended, "born": born})
}

// progress returns the percentage of its work that a run has done; the caller holds the lock. A task that lasts is
// at work once it has started up.
func (e *execution) progress() int {
	const startup = 400 * time.Millisecond
	switch done := time.Since(e.works); {
	case e.work == 0:
		return 0
	case e.work < 0:
		return int(min(100, 100*done/startup))
	default:
		return int(min(99, 100*done/e.work))
	}
}

// workFor has a run work, and end after a time.
func (e *execution) workFor(work time.Duration, how string) {
	e.runner.mu.Lock()
	defer e.runner.mu.Unlock()
	e.work, e.works = work, time.Now()
	e.timer = time.AfterFunc(work, func() { e.runner.finish(e, how) })
}

// expire kills what runs when its lease ends.
func (r *runner) expire(life int64) {
	for {
		time.Sleep(20 * time.Millisecond)
		r.mu.Lock()
		if r.born != life || r.down {
			r.mu.Unlock()
			return
		}
		if len(r.runs) > 0 && !r.lease.After(time.Now()) {
			for _, e := range r.runs {
				r.end(e, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

// report sends status reports.
func (r *runner) report(life int64) {
	for {
		r.mu.Lock()
		if r.born != life || r.down {
			r.mu.Unlock()
			return
		}
		r.sequence++
		body := r.status()
		target := r.target
		r.mu.Unlock()
		next := r.send(target, body)
		r.mu.Lock()
		r.target = next
		r.mu.Unlock()
		time.Sleep(reportInterval)
	}
}

// status returns the runner's status report; the caller holds the lock.
func (r *runner) status() []byte {
	b, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.pool.cell.address(r.host, r.port), "zone": "thies-nord", "version": "v1", "slots": 8, "state": r.state,
		"cold_remaining_ms": 0, "capacity": map[string]any{"cpu": r.cpu, "memory_request_mb": 65536, "gpu": 8}, "labels": r.labels,
		"clock_ms": r.clock(), "sequence": r.sequence, "born": r.born,
	})
	return b
}

var reportClient = &http.Client{Timeout: time.Second}

// send sends a status report to a control process, and to the others if it is not acknowledged. It returns the
// address for the next one.
func (r *runner) send(target string, body []byte) string {
	c := r.pool.cell
	r.mu.Lock()
	mute := r.mute || r.proxy != nil && r.proxy.isCut.Load()
	r.mu.Unlock()
	if mute {
		return target // it reaches nobody
	}
	tries := []string{}
	if target != "" {
		tries = append(tries, target)
	}
	for _, p := range c.controls() {
		tries = append(tries, c.address(p.host, controlPort))
	}
	for _, a := range tries {
		q, _ := http.NewRequest(http.MethodPut, "http://"+a+"/v1/instances/"+r.id, strings.NewReader(string(body)))
		q.Header.Set("Content-Type", "application/json")
		s, err := reportClient.Do(q)
		if err != nil {
			continue
		}
		var b struct {
			Heartbeat string `json:"heartbeat_address"`
		}
		json.NewDecoder(s.Body).Decode(&b)
		s.Body.Close()
		if s.StatusCode/100 == 2 {
			if b.Heartbeat != "" {
				return b.Heartbeat
			}
			return a
		}
	}
	return ""
}

// crash ends the runner's lifetime without a word.
func (r *runner) crash() {
	r.mu.Lock()
	r.down = true
	for _, e := range r.runs {
		if e.timer != nil {
			e.timer.Stop()
		}
		e.ended, e.how = time.Now(), "crashed"
	}
	r.runs = map[string]*execution{}
	r.mu.Unlock()
	r.server.Close()
	r.pool.note("%s crashed", r.id)
}

// serveAdvice runs a stand-in for the advice service that allows all runners.
func (c *cell) serveAdvice() error {
	l, err := net.Listen("tcp", c.address(adviceHost, advicePort))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/advise", func(w http.ResponseWriter, q *http.Request) {
		var b struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		json.NewDecoder(q.Body).Decode(&b)
		time.Sleep(12 * time.Millisecond)
		good := [][]string{}
		for _, id := range b.Workers {
			good = append(good, []string{id, "t-" + b.Step + "-" + id})
		}
		json.NewEncoder(w).Encode(map[string]any{"good": good, "validity_ms": 1500})
	})
	go http.Serve(l, mux)
	return nil
}
