package main

import (
	"fmt"
	"time"
)

func init() { cases["lasting"] = lasting }

// lasting has one of seven runners go down and up twice, while it executes the only task of a submission that lasts.
func lasting(r *record, trouble bool) error {
	const id = "5c0e7a21d94b36f8"
	routes := []route{{prefix: queue, service: "huvo11a", attempts: 3, priority: 1}}
	c, p, err := startCell(r, 3, 2, 7, routes...)
	if err != nil {
		return err
	}
	defer c.stop(keep())
	p.plan = func(*runner, string, int) (time.Duration, string) { return -1, "" }
	x := &crasher{after: 400 * time.Millisecond, down: 4500 * time.Millisecond}
	if trouble {
		x.times = 2
	}
	p.began = x.began
	if err := c.up(p, routes); err != nil {
		return err
	}
	body := []byte(`{"specification":"x","steps":[{"count":1,"cpu":8100,"memory_request_mb":8300,"estimated_ms":400,"long_running":true}]}`)
	if c.submit(c.entries()[0], queue+id, body, 10*time.Second, 200) != 200 {
		return fmt.Errorf("the submission was not accepted")
	}
	var idle time.Duration
	last := time.Now()
	for end := time.Now().Add(50 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		p.mu.Lock()
		runs := 0
		for _, e := range p.all {
			e.runner.mu.Lock()
			if e.ended.IsZero() {
				runs++
			} else if e.ended.After(last) {
				last = e.ended
			}
			e.runner.mu.Unlock()
		}
		p.mu.Unlock()
		if runs > 0 {
			last = time.Now()
		}
		idle = max(idle, time.Since(last))
	}
	r.add("longest time without a run: %s", idle.Round(100*time.Millisecond))
	if idle > 16*time.Second {
		r.breach("LOST: the task that lasts had no run for %s, beside idle runners", idle.Round(100*time.Millisecond))
	}
	return nil
}
