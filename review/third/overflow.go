package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["overflow"] = overflow }

// finish is finish_s, after which accepted submissions have to be known.
const finish = 14 * time.Second

// overflow sends one submission that can never be done: its two steps have 2^62 tasks each. An earlier submission
// has been accepted and is done.
func overflow(r *record, trouble bool) error {
	const id = "5c0e7a21d94b36f8"
	routes := []route{{prefix: queue, service: "huvo11a", attempts: 3}}
	c, p, err := startCell(r, 3, 2, 4, routes...)
	if err != nil {
		return err
	}
	defer c.stop(keep())
	if err := c.up(p, routes); err != nil {
		return err
	}
	body := []byte(`{"specification":"x","steps":[{"count":2,"cpu":1000,"memory_request_mb":100,"estimated_ms":300}]}`)
	if c.submit(c.entries()[0], queue+id, body, 10*time.Second, 200) != 200 {
		return fmt.Errorf("the submission was not accepted")
	}
	time.Sleep(2 * time.Second)
	if status, _ := c.call(c.entries()[0], http.MethodGet, queue+id, nil); status != http.StatusOK {
		return fmt.Errorf("the submission is not known")
	}
	if trouble {
		impossible := []byte(`{"specification":"x","steps":[{"count":4611686018427387904,"cpu":1000,"memory_request_mb":100,"estimated_ms":300},` +
			`{"count":4611686018427387904,"cpu":1000,"memory_request_mb":100,"estimated_ms":300}]}`)
		c.call(c.entries()[0], http.MethodPost, queue+"5c0e7a21d94b36f9", impossible)
	}
	time.Sleep(finish)
	answered := false
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && !answered; time.Sleep(500 * time.Millisecond) {
		for _, e := range c.entries() {
			status, _ := c.call(e, http.MethodGet, queue+id, nil)
			answered = answered || status == http.StatusOK
		}
	}
	if !answered {
		r.breach("LOST: an accepted submission gets no answer, from %d s after the last one was sent on", int(finish.Seconds()))
	}
	often := 0
	for _, x := range c.controls() {
		r.add("%s ended by itself %d times", x.name, x.exitCount())
		if x.exitCount() >= 3 {
			often++
		}
	}
	if 2*often >= len(c.controls()) {
		r.breach("Fault: on %d of %d core machines processes ended by themselves three times or more, with no impairment", often, len(c.controls()))
	}
	return nil
}
