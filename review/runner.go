package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// maxHold is the longest lease, as in the bounds.
const maxHold = 6000

// runner is a stand-in for a runner. It starts what it is told to, keeps leases on its
// own clock and lists what runs and what has ended. The specification of a submission
// says how long its tasks run, in milliseconds; "last" stands for ever.
type runner struct {
	cell    *cell
	service string
	address string
	zone    string
	cpu     int
	memory  int
	labels  []string
	fleet   *fleet

	mu       sync.Mutex
	id       string
	born     time.Time
	down     bool
	sequence int
	running  map[string]*run
	ended    [][]any
	number   int
	latest   map[string]int // by task: highest run that was stopped or has ended
	fence    uint64
	lease    int64
	odd      string // row of another writer at the head of the list of what runs
	late     lateness
	skipped  string        // job of the last start that was left unanswered
	changed  chan struct{} // closed and replaced at each end
	server   *http.Server
	beat     string
}

// run is a task that a runner has begun.
type run struct {
	number  int
	cpu     int
	started time.Time
	ends    time.Time // zero if it lasts
}

// lateness says which start orders get no answer and are carried out later, by whatever
// lifetime there is then under the id.
type lateness struct {
	until time.Time // of the orders that arrive before
	job   string    // of the orders for its tasks
	delay time.Duration
}

// fleet is all runners, and what they have seen.
type fleet struct {
	cell    *cell
	runners []*runner
	orders  atomic.Int64

	mu     sync.Mutex
	starts []start
	ends   []end
}

type start struct {
	at     time.Time
	task   string
	run    int
	runner string
}

type end struct {
	at     time.Time
	task   string
	run    int
	how    string
	runner string
}

// newFleet starts n runners of a service.
func newFleet(c *cell, service string, n, cpu, memory int) (*fleet, error) {
	f := &fleet{cell: c}
	for i := range n {
		r := &runner{
			cell: c, service: service, address: c.join(100+i, workerPort), zone: fmt.Sprintf("z%d", i%3), cpu: cpu, memory: memory,
			labels: []string{"a", fmt.Sprintf("r%d-%d", i%3, i/5)}, fleet: f,
		}
		r.reset(fmt.Sprintf("i-%010x", 0x7f3a91c200+i))
		f.runners = append(f.runners, r)
		mux := http.NewServeMux()
		mux.HandleFunc("POST /v1/run-start", r.serve(r.start))
		mux.HandleFunc("POST /v1/run-stop", r.serve(r.stop))
		mux.HandleFunc("POST /v1/hold", r.hold)
		mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
		l, err := net.Listen("tcp4", r.address)
		if err != nil {
			return nil, err
		}
		r.server = &http.Server{Handler: mux}
		go func() { _ = r.server.Serve(l) }() // ends with the program
		go r.live()
		go r.report()
	}
	return f, nil
}

// reset begins a new lifetime.
func (r *runner) reset(id string) {
	r.id, r.born, r.down, r.sequence = id, time.Now(), false, 0
	r.running, r.ended, r.number, r.latest = map[string]*run{}, nil, 0, map[string]int{}
	r.fence, r.lease = 0, 0
	if r.changed != nil {
		close(r.changed)
	}
	r.changed = make(chan struct{})
}

// crash ends the lifetime without a word. After a while a new one begins, under the same
// id if keep is set.
func (r *runner) crash(down time.Duration, keep bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return
	}
	r.cell.record.add("runner %s crashes with %d tasks", r.id, len(r.running))
	for task, k := range r.running {
		r.fleet.noteEnd(r, task, k.number, "crashed")
	}
	r.down, r.running = true, map[string]*run{}
	close(r.changed)
	r.changed = make(chan struct{})
	time.AfterFunc(down, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		id := r.id
		if !keep {
			id = fmt.Sprintf("i-%010x", time.Now().UnixNano()&0xffffffffff)
		}
		r.reset(id)
		r.cell.record.add("runner %s starts at %s", r.id, r.address)
	})
}

func (r *runner) clock() int64 { return 100_000 + time.Since(r.born).Milliseconds() }

// live ends what is done or whose lease is over.
func (r *runner) live() {
	for range time.Tick(5 * time.Millisecond) {
		r.mu.Lock()
		now := time.Now()
		for task, k := range r.running {
			switch {
			case r.clock() > r.lease:
				r.end(task, k, "lapsed")
			case !k.ends.IsZero() && now.After(k.ends):
				r.end(task, k, "done")
			}
		}
		r.mu.Unlock()
	}
}

// end ends a run. The caller holds the lock.
func (r *runner) end(task string, k *run, how string) {
	r.number++
	r.ended = append(r.ended, []any{r.number, task, k.number, how, ""})
	r.latest[task] = max(r.latest[task], k.number)
	delete(r.running, task)
	r.fleet.noteEnd(r, task, k.number, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (f *fleet) noteEnd(r *runner, task string, number int, how string) {
	f.cell.record.add("runner %s: %s run %d ends %s", r.id, task, number, how)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends = append(f.ends, end{time.Now(), task, number, how, r.id})
}

func (f *fleet) noteStart(r *runner, task string, number int) {
	f.cell.record.add("runner %s: %s run %d starts", r.id, task, number)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, start{time.Now(), task, number, r.id})
}

// order is the body of any order.
type order struct {
	Task          string `json:"task"`
	Run           int    `json:"run"`
	Specification string `json:"specification"`
	DeadlineMS    int64  `json:"deadline_ms"`
	FencingToken  uint64 `json:"fencing_token"`
	AckCursor     int    `json:"ack_cursor"`
	WaitMS        int    `json:"wait_ms"`
}

// accept decodes an order, and refuses it if it is not for this lifetime or comes from
// a former leader. The caller holds the lock.
func (r *runner) accept(w http.ResponseWriter, q *http.Request, o *order) bool {
	if r.down {
		panic(http.ErrAbortHandler) // breaks the connection
	}
	if q.Header.Get("Expected-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if err := json.NewDecoder(q.Body).Decode(o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	if o.FencingToken < r.fence {
		r.answer(w, http.StatusConflict, `"reason":"fence"`)
		return false
	}
	r.fence = o.FencingToken
	return true
}

// answer sends an answer with the runner's clock. The caller holds the lock.
func (r *runner) answer(w http.ResponseWriter, status int, fields string) {
	body := fmt.Sprintf(`{"clock_ms":%d,"born":%d`, r.clock(), r.born.UnixMilli())
	if fields != "" {
		body += "," + fields
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body + "}")) // the peer may be gone
}

func (r *runner) serve(do func(http.ResponseWriter, *order)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		r.fleet.orders.Add(1)
		r.mu.Lock()
		defer r.mu.Unlock()
		var o order
		if !r.accept(w, q, &o) {
			return
		}
		if l := r.late; o.Specification != "" && time.Now().Before(l.until) && strings.HasPrefix(o.Task, l.job+".") {
			r.cell.record.add("runner %s leaves a start of %s run %d unanswered, to be carried out in %s", r.id, o.Task, o.Run, l.delay)
			id := r.id
			r.skipped = l.job
			time.AfterFunc(l.delay, func() { r.carryOut(&o, id) })
			r.mu.Unlock()
			<-q.Context().Done() // until the caller gives up
			r.mu.Lock()
			panic(http.ErrAbortHandler)
		}
		do(w, &o)
	}
}

// carryOut carries out a start order that was left unanswered.
func (r *runner) carryOut(o *order, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.down || r.id != id:
		r.cell.record.add("runner %s: a late start of %s run %d finds nobody", id, o.Task, o.Run)
	case o.FencingToken < r.fence:
		r.cell.record.add("runner %s refuses a late start of %s run %d: fence", id, o.Task, o.Run)
	default:
		r.fence = o.FencingToken
		w := httptest.NewRecorder()
		r.start(w, o)
		r.cell.record.add("runner %s has carried out a late start of %s run %d: %d %s", id, o.Task, o.Run, w.Code, w.Body)
	}
}

// extend extends the lease, up to the longest one. It never shortens it.
func (r *runner) extend(deadline int64) { r.lease = max(r.lease, min(deadline, r.clock()+maxHold)) }

func (r *runner) start(w http.ResponseWriter, o *order) {
	if o.DeadlineMS <= r.clock() {
		r.answer(w, http.StatusConflict, `"reason":"late"`)
		return
	}
	r.extend(o.DeadlineMS)
	if o.Run <= r.latest[o.Task] {
		r.answer(w, http.StatusConflict, `"reason":"old"`)
		return
	}
	if k := r.running[o.Task]; k == nil || k.number < o.Run {
		k := &run{number: o.Run, started: time.Now()}
		if o.Specification != "last" {
			ms, err := strconv.Atoi(strings.TrimPrefix(o.Specification, "ms="))
			if err != nil {
				r.answer(w, http.StatusBadRequest, "")
				return
			}
			k.ends = time.Now().Add(time.Duration(ms) * time.Millisecond)
		}
		r.running[o.Task] = k
		r.fleet.noteStart(r, o.Task, o.Run)
	}
	r.answer(w, http.StatusOK, "")
}

func (r *runner) stop(w http.ResponseWriter, o *order) {
	if k := r.running[o.Task]; k != nil && k.number == o.Run {
		r.end(o.Task, k, "stopped")
	}
	r.latest[o.Task] = max(r.latest[o.Task], o.Run)
	r.answer(w, http.StatusOK, "")
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var o order
	if !r.accept(w, q, &o) {
		return
	}
	if o.DeadlineMS > 0 {
		r.extend(o.DeadlineMS)
	}
	kept := r.ended[:0:0]
	for _, e := range r.ended {
		if e[0].(int) > o.AckCursor {
			kept = append(kept, e)
		}
	}
	r.ended = kept
	born := r.born
	until := time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for waiting := o.WaitMS > 0; waiting && len(r.ended) == 0; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waiting = false
		}
		r.mu.Lock()
		if r.down || r.born != born {
			panic(http.ErrAbortHandler)
		}
	}
	var running, ended []string
	if r.odd != "" {
		running = append(running, r.odd)
	}
	for task, k := range r.running {
		percent := 100
		if !k.ends.IsZero() {
			percent = int(100 * time.Since(k.started) / k.ends.Sub(k.started))
		}
		running = append(running, fmt.Sprintf(`[%q,%d,"",%d,0]`, task, k.number, min(percent, 100)))
	}
	for _, e := range r.ended[:min(len(r.ended), 500)] {
		ended = append(ended, fmt.Sprintf(`[%d,%q,%d,%q,%q]`, e...))
	}
	r.answer(w, http.StatusOK, fmt.Sprintf(`"running":[%s],"ended":[%s]`, strings.Join(running, ","), strings.Join(ended, ",")))
}

// report sends status reports until the program ends.
func (r *runner) report() {
	for {
		r.mu.Lock()
		r.sequence++
		id, beat := r.id, r.beat
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,`+
			`"capacity":{"cpu":%d,"memory_request_mb":%d,"gpu":0},"labels":["%s"],"clock_ms":%d,"sequence":%d,"born":%d}`,
			r.service, r.address, r.zone, r.cpu, r.memory, strings.Join(r.labels, `","`), r.clock(), r.sequence, r.born.UnixMilli())
		down := r.down
		r.mu.Unlock()
		if down {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		nodes := r.cell.seeds
		if beat != "" {
			nodes = append([]string{beat}, nodes...)
		}
		beat = ""
		for _, node := range nodes {
			status, answer := send("PUT", "http://"+node+"/v1/instances/"+id, "", "", body, time.Second)
			if status/100 == 2 {
				var a struct {
					Address string `json:"heartbeat_address"`
				}
				_ = json.Unmarshal([]byte(answer), &a) // the field is optional
				beat = a.Address
				break
			}
		}
		r.mu.Lock()
		r.beat = beat
		r.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
	}
}

// startsOf returns the starts of the tasks of a submission.
func (f *fleet) startsOf(id string) []start {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []start
	for _, s := range f.starts {
		if strings.HasPrefix(s.task, id+".") {
			list = append(list, s)
		}
	}
	return list
}

// endsOf returns the ends of the tasks whose names begin so.
func (f *fleet) endsOf(prefix string) []end {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []end
	for _, e := range f.ends {
		if strings.HasPrefix(e.task, prefix) {
			list = append(list, e)
		}
	}
	return list
}

// busy returns the number of tasks that run.
func (f *fleet) busy() int {
	n := 0
	for _, r := range f.runners {
		r.mu.Lock()
		n += len(r.running)
		r.mu.Unlock()
	}
	return n
}

// busiest returns the runner that runs the most tasks.
func (f *fleet) busiest() *runner {
	best, most := f.runners[0], -1
	for _, r := range f.runners {
		r.mu.Lock()
		n := len(r.running)
		r.mu.Unlock()
		if n > most {
			best, most = r, n
		}
	}
	return best
}
