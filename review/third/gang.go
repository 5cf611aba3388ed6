package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["gang"] = gang }

// gang plays a gang of two tasks with three attempts. Its first two runs fail by its own fault, on both runners at
// the same moment; the third run ends well. In trouble, one runner is cut off while the first run works.
func gang(r *record, trouble bool) error {
	const id = "5c0e7a21d94b36f8"
	routes := []route{{prefix: queue, service: "huvo11a", attempts: 3}}
	c, p, err := startCell(r, 3, 2, 0, routes...)
	if err != nil {
		return err
	}
	defer c.stop(keep())
	for range 6 {
		if _, err := p.addProxied("huvo11a"); err != nil {
			return err
		}
	}
	g := &gangs{present: map[string][]*execution{}, cut: make(chan *runner, 1)}
	p.plan = func(w *runner, task string, run int) (time.Duration, string) { return 0, "" }
	p.began = g.began
	if err := c.up(p, routes); err != nil {
		return err
	}
	body := []byte(`{"specification":"x","steps":[{"count":2,"cpu":1000,"memory_request_mb":100,"estimated_ms":2500,"gang":true,"anti_affinity":1}]}`)
	if c.submit(c.entries()[0], queue+id, body, 10*time.Second, 200) != 200 {
		return fmt.Errorf("the submission was not accepted")
	}
	if trouble {
		select {
		case w := <-g.cut:
			time.Sleep(2 * time.Second) // its answers to the start and to a listing have arrived
			w.cut(true)
			time.Sleep(5500 * time.Millisecond)
			w.cut(false)
		case <-time.After(10 * time.Second):
			return fmt.Errorf("no run began")
		}
	}
	state := ""
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		_, state = c.call(c.entries()[1], http.MethodGet, queue+id, nil)
		if strings.Contains(state, "completed") || strings.Contains(state, "failed") {
			break
		}
	}
	time.Sleep(time.Second)
	failed := g.failedRuns(p)
	r.add("runs of the gang that ended failed: %v; state: %s", failed, state)
	if strings.Contains(state, "failed") && len(failed) < 3 {
		r.breach("LOST: the submission is shown as failed, and %d of its gang's runs have ended failed, of 3 attempts", len(failed))
	}
	return nil
}

// gangs lets the members of a run begin to work together.
type gangs struct {
	mu      sync.Mutex
	present map[string][]*execution
	cut     chan *runner
}

func (g *gangs) began(e *execution) {
	g.mu.Lock()
	defer g.mu.Unlock()
	step := e.task[:strings.LastIndexByte(e.task, '.')]
	key := fmt.Sprintf("%s %d", step, e.run)
	g.present[key] = append(g.present[key], e)
	members := g.present[key]
	if len(members) < 2 {
		return
	}
	how := "done"
	if e.run <= 2 {
		how = "failed"
	}
	if e.run == 1 {
		g.cut <- members[1].runner
	}
	work := 2500 * time.Millisecond
	if e.run == 2 {
		work = time.Second
	}
	for _, m := range members {
		m.workFor(work, how)
	}
}

// failedRuns returns the numbers of the runs of which a member has ended failed.
func (g *gangs) failedRuns(p *pool) map[int]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := map[int]int{}
	for _, e := range p.all {
		if e.how == "failed" {
			n[e.run]++
		}
	}
	return n
}
