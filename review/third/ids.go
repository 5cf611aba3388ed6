package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["ids"] = ids }

// ids has two requesters of two queues number their submissions by themselves, so that both use the same ID. With
// no trouble, the second one uses another ID.
func ids(r *record, trouble bool) error {
	const first, other = "0000000000000001", "/pule252/"
	second := first
	if !trouble {
		second = "0000000000000002"
	}
	routes := []route{{prefix: queue, service: "huvo11a", attempts: 3}, {prefix: other, service: "huvo11a", attempts: 3}}
	c, p, err := startCell(r, 3, 2, 4, routes...)
	if err != nil {
		return err
	}
	defer c.stop(keep())
	if err := c.up(p, routes); err != nil {
		return err
	}
	body := func(text string) []byte {
		b, _ := json.Marshal(map[string]any{"specification": text,
			"steps": []map[string]any{{"count": 2, "cpu": 1000, "memory_request_mb": 100, "estimated_ms": 300}}})
		return b
	}
	if c.submit(c.entries()[0], queue+first, body("first"), 10*time.Second, 200) != 200 {
		return fmt.Errorf("the first submission was not accepted")
	}
	time.Sleep(2 * time.Second)
	status, _ := c.call(c.entries()[1], http.MethodPost, other+second, body("second"))
	if status/100 != 2 {
		r.add("the second submission was not accepted")
		return nil
	}
	var state string
	for range 4 {
		time.Sleep(5 * time.Second)
		_, state = c.call(c.entries()[1], http.MethodGet, other+second, nil)
	}
	began := p.begun("second")
	r.add("%d runs of the first submission began, and %d of the second one", p.begun("first"), began)
	if began == 0 {
		r.breach("LOST: the second submission was accepted, and nothing of it has run for 20 s beside idle runners")
		if strings.Contains(state, "completed") {
			r.breach("MIXED: the second submission is shown as completed")
		}
	}
	return nil
}

// begun returns how many runs with a specification began.
func (p *pool) begun(specification string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.all {
		if e.specification == specification {
			n++
		}
	}
	return n
}
