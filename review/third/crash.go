package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["crash"] = crash }

// crasher has the runner of the first run that begins go down and up by turns: it crashes a while after each of
// some runs has begun there, and starts again under its id.
type crasher struct {
	after time.Duration // from the start of a run to the crash
	down  time.Duration
	times int

	mu      sync.Mutex
	victim  *runner
	crashes int
}

func (x *crasher) began(e *execution) {
	x.mu.Lock()
	if x.victim == nil {
		x.victim = e.runner
	}
	hit := x.victim == e.runner && x.crashes < x.times
	if hit {
		x.crashes++
	}
	x.mu.Unlock()
	if !hit {
		return
	}
	time.Sleep(x.after)
	e.runner.crash()
	time.Sleep(x.down)
	if err := e.runner.start(); err != nil {
		e.runner.pool.cell.record.add("%s does not start again: %v", e.runner.id, err)
		return
	}
	e.runner.pool.cell.record.add("%s is back", e.runner.id)
}

// crash has one of 35 runners go down and up twice, while it executes the only task of a submission. The task takes
// 0.7 s and would end well.
func crash(r *record, trouble bool) error {
	const id = "5c0e7a21d94b36f8"
	routes := []route{{prefix: queue, service: "huvo11a", attempts: 3}}
	c, p, err := startCell(r, 3, 2, 35, routes...)
	if err != nil {
		return err
	}
	defer c.stop(keep())
	p.plan = func(*runner, string, int) (time.Duration, string) { return 700 * time.Millisecond, "done" }
	x := &crasher{after: 400 * time.Millisecond, down: 3 * time.Second}
	if trouble {
		x.times = 2
	}
	p.began = x.began
	if err := c.up(p, routes); err != nil {
		return err
	}
	body := []byte(`{"specification":"x","steps":[{"count":1,"cpu":3000,"memory_request_mb":3100,"estimated_ms":700}]}`)
	if c.submit(c.entries()[0], queue+id, body, 10*time.Second, 200) != 200 {
		return fmt.Errorf("the submission was not accepted")
	}
	state := ""
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		_, state = c.call(c.entries()[1], http.MethodGet, queue+id, nil)
		if strings.Contains(state, "completed") || strings.Contains(state, "failed") {
			break
		}
	}
	failed := 0
	p.mu.Lock()
	for _, e := range p.all {
		if e.how == "failed" {
			failed++
		}
	}
	p.mu.Unlock()
	r.add("%d runs ended failed; state: %s", failed, state)
	if strings.Contains(state, "failed") && failed < 3 {
		r.breach("LOST: the submission is shown as failed, and %d of its runs have ended failed, of 3 attempts", failed)
	}
	return nil
}
