package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["shed"] = shed }

// shed has one of seven idle runners be unhealthy for two seconds, in which it refuses all orders with 503. A
// submission that only this runner can run arrives then.
func shed(r *record, trouble bool) error {
	const id = "5c0e7a21d94b36f8"
	routes := []route{{prefix: queue, service: "huvo11a", attempts: 3}}
	c, p, err := startCell(r, 3, 2, 7, routes...)
	if err != nil {
		return err
	}
	defer c.stop(keep())
	for i, w := range p.runners {
		w.labels = []string{"a", fmt.Sprintf("r1-%d", i)}
	}
	if err := c.up(p, routes); err != nil {
		return err
	}
	sick := p.runners[3]
	if trouble {
		sick.setSick(true)
	}
	body := []byte(`{"specification":"x","steps":[{"count":1,"cpu":1000,"memory_request_mb":100,"estimated_ms":300,"requirements":"r1-3"}]}`)
	if c.submit(c.entries()[0], queue+id, body, 10*time.Second, 200) != 200 {
		return fmt.Errorf("the submission was not accepted")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		sick.setSick(false)
	}
	healthy := time.Now()
	for range 8 {
		time.Sleep(5 * time.Second)
		c.call(c.entries()[1], http.MethodGet, queue+id, nil)
	}
	p.mu.Lock()
	began := len(p.all)
	p.mu.Unlock()
	r.add("%d runs began", began)
	if began == 0 {
		r.breach("LOST: the submission was accepted, nothing of it has run, and the runner that can run it has been healthy and idle for %d s",
			int(time.Since(healthy).Seconds()))
	}
	return nil
}
