package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["ack"] = ack }

// courier passes calls on to a runner. It may hold some of them, which get no answer and are carried out later by the
// process that is up at the runner's address then, and it may let none through.
type courier struct {
	record *record
	target string
	client *http.Client

	mu      sync.Mutex
	holds   func(path string, body []byte) bool // whether a call is held; nil for none
	dark    bool                                // calls get no answer and are lost
	held    []heldCall
	arrived chan string // path of each call that is held
}

type heldCall struct {
	path   string
	header http.Header
	body   []byte
	at     time.Time
}

func newCourier(r *record, address, target string) (*courier, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &courier{record: r, target: target, client: &http.Client{Timeout: 4 * time.Second}, arrived: make(chan string, 100)}
	go http.Serve(l, c)
	return c, nil
}

func (c *courier) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	c.mu.Lock()
	hold := c.holds != nil && c.holds(q.URL.Path, body)
	dark := c.dark
	if hold {
		c.held = append(c.held, heldCall{q.URL.Path, q.Header.Clone(), body, time.Now()})
		c.record.add("held: %s %s", q.URL.Path, body)
	}
	c.mu.Unlock()
	if hold {
		c.arrived <- q.URL.Path
	}
	if hold || dark {
		<-q.Context().Done() // no answer
		return
	}
	status, answer, err := c.call(q.URL.Path, q.Header, body)
	if err != nil {
		panic(http.ErrAbortHandler) // the channel breaks
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(answer)
}

func (c *courier) call(path string, header http.Header, body []byte) (int, []byte, error) {
	q, err := http.NewRequest(http.MethodPost, "http://"+c.target+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for _, name := range []string{"Expected-Instance", "Content-Type"} {
		if v := header.Get(name); v != "" {
			q.Header.Set(name, v)
		}
	}
	a, err := c.client.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer a.Body.Close()
	answer, err := io.ReadAll(a.Body)
	return a.StatusCode, answer, err
}

func (c *courier) set(dark bool, holds func(path string, body []byte) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dark, c.holds = dark, holds
}

// deliver carries out the held calls of a path.
func (c *courier) deliver(path string) {
	c.mu.Lock()
	held := c.held
	c.mu.Unlock()
	for _, h := range held {
		if h.path == path {
			status, answer, err := c.call(h.path, h.header, h.body)
			c.record.add("carried out %.2f s late: %s %s -> %d %s %v", time.Since(h.at).Seconds(), h.path, h.body, status, answer, err)
		}
	}
}

// ack holds a listing with an acknowledgement and a start for two seconds, in which their runner crashes and starts
// again under its id. It carries them out then, before anything else arrives there.
func ack(r *record, trouble bool) error {
	const first, second = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
	routes := []route{{prefix: queue, service: "huvo11a", attempts: 3}}
	c, p, err := startCell(r, 3, 2, 0, routes...)
	if err != nil {
		return err
	}
	defer c.stop(keep())
	for i := range 7 {
		w := p.add("huvo11a", runnerPort)
		w.labels = []string{"a", fmt.Sprintf("r1-%d", i)}
	}
	victim := p.runners[3]
	victim.port = reachedPort
	link, err := newCourier(r, c.address(victim.host, reachedPort), c.address(victim.host, runnerPort))
	if err != nil {
		return err
	}
	p.plan = func(w *runner, task string, run int) (time.Duration, string) {
		if task == first+".0.0.1" {
			return 20 * time.Second, "done"
		}
		return 100 * time.Millisecond, "done"
	}
	if err := c.up(p, routes); err != nil {
		return err
	}
	if trouble {
		link.set(false, func(path string, body []byte) bool {
			return path == "/v1/run-start" && strings.Contains(string(body), second) ||
				path == "/v1/hold" && !strings.Contains(string(body), `"ack_cursor":0`)
		})
	}
	step := func(count int) []byte {
		return fmt.Appendf(nil, `{"specification":"x","steps":[{"count":%d,"cpu":1000,"memory_request_mb":100,"estimated_ms":300,"requirements":"r1-3"}]}`, count)
	}
	if c.submit(c.entries()[0], queue+first, step(2), 10*time.Second, 200) != 200 {
		return fmt.Errorf("the first submission was not accepted")
	}
	if trouble {
		if err := awaitPath(link, "/v1/hold"); err != nil {
			return err
		}
	} else {
		time.Sleep(500 * time.Millisecond)
	}
	if c.submit(c.entries()[0], queue+second, step(1), 10*time.Second, 200) != 200 {
		return fmt.Errorf("the second submission was not accepted")
	}
	if trouble {
		if err := awaitPath(link, "/v1/run-start"); err != nil {
			return err
		}
		link.set(true, nil)
		victim.silent(true)
		victim.crash()
		time.Sleep(2 * time.Second)
		if err := victim.start(); err != nil {
			return err
		}
		r.add("%s has started again under its id", victim.id)
		link.deliver("/v1/run-start")
		time.Sleep(200 * time.Millisecond)
		link.deliver("/v1/hold")
		link.set(false, nil)
		victim.silent(false)
	}
	for range 10 {
		time.Sleep(4 * time.Second)
		c.call(c.entries()[1], http.MethodGet, queue+second, nil)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.all {
		for _, b := range p.all {
			if a.task == b.task && a.how == "done" && a.noted && b.began.After(a.ended) {
				r.breach("TWICE: %s run %d ended done on %s and was taken note of, and run %d began on %s %.2f s later", a.task, a.run, a.runner.id, b.run,
					b.runner.id, b.began.Sub(a.ended).Seconds())
			}
		}
	}
	return nil
}

// awaitPath waits until a call of a path is held.
func awaitPath(c *courier, path string) error {
	for {
		select {
		case p := <-c.arrived:
			if p == path {
				return nil
			}
		case <-time.After(10 * time.Second):
			return fmt.Errorf("no call of %s was held", path)
		}
	}
}
