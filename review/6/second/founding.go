package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["founding"] = founding }

const (
	startSpread = 300 * time.Millisecond // all machines start within 0.3 s of each other
	ackTimeout  = 4 * time.Second        // ack_timeout_ms
	contact     = 3 * time.Second        // contact_ms
	traffic     = 10 * time.Second       // traffic starts 10 s after the machines do
)

// founding loses one of the three control machines during the first start of the whole system. The
// other two are more than half of the core and must serve.
func founding(r *record, trouble bool) error {
	c, err := prepareCell(r)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return err
	}
	// The third control machine starts last.
	lost := c.processes[controls-1]
	for _, p := range c.processes {
		if p == lost {
			continue
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	began := time.Now()
	time.Sleep(startSpread)
	if err := lost.start(); err != nil {
		return err
	}
	r.add("all processes are started, %s %s after the others", lost.name, startSpread)
	if trouble {
		lost.kill()
		r.add("%s is lost: its process is killed and does not come back", lost.name)
	}
	stable := time.Now().Add(contact)
	state := desired(1, route("r-a", "/a/", "desk", 1, 3))
	acknowledged, tries, answers := time.Time{}, 0, map[string]int{}
	for time.Since(began) < 60*time.Second && acknowledged.IsZero() {
		a := c.send(http.MethodPut, fmt.Sprintf("http://%s:%d/v1/configuration", c.address(tries%controls), c.port+1), "", state)
		tries++
		answers[a.short()]++
		if a.status == http.StatusOK {
			acknowledged = time.Now()
			r.add("the first desired state is acknowledged")
		}
		time.Sleep(250 * time.Millisecond)
	}
	r.add("%d calls of the operator for the first desired state: %v", tries, answers)
	for _, p := range c.processes {
		r.add("%s runs: %v", p.name, p.running())
	}
	if !acknowledged.IsZero() {
		return nil
	}
	served := 0
	for i := range 5 {
		a := c.call(i%entries, http.MethodPost, fmt.Sprintf("/a/%016x", 0x4d1e92b7a06f3c00+i), "key-north", submission(map[string]any{"count": 1, "cpu": 1000, "memory_request_mb": 64, "estimated_ms": 300}))
		r.add("submit: %s", a)
		if a.status == http.StatusOK {
			served++
		}
	}
	if waited := time.Since(stable); waited > ackTimeout && served == 0 && time.Since(began) > traffic {
		r.add("Acks, Fault: for %.0f s two of three control processes ran and were connected, no desired state was acknowledged, and no request was served", waited.Seconds())
		return errBroken
	}
	return nil
}

// short returns the status of an answer.
func (a answer) short() string {
	if a.err != nil {
		return "no answer"
	}
	return fmt.Sprint(a.status)
}
