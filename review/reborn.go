package main

import (
	"fmt"
	"time"
)

func init() { cases["reborn"] = startOfFormerLife }

const longTask = `{"specification":"ms=12000","steps":[{"count":1,"cpu":1000,"memory_request_mb":500,"estimated_ms":12000}]}`

const shortTasks = `{"specification":"ms=1000","steps":[{"count":12,"cpu":1000,"memory_request_mb":500,"estimated_ms":1000}]}`

// startOfFormerLife checks TWICE: a runner leaves the start of one task unanswered and
// carries it out 6 s later. Meanwhile it crashes and starts again under its id, twice.
func startOfFormerLife(c *cell, trouble bool) (broken []string, err error) {
	f, err := c.begin(oneQueue, "guichet", 12, 3)
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() { // other work, for orders that are answered at once
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
				c.call(n, "POST", fmt.Sprintf("/sort/%016x", 0x1000000000000000+n), shortTasks)
			}
		}
	}()
	for round := range 3 {
		id := fmt.Sprintf("%016x", 0x5c0e7a2100000000+round)
		if trouble {
			for _, r := range f.runners {
				r.setLate(lateness{until: time.Now().Add(500 * time.Millisecond), job: id, delay: 6 * time.Second})
			}
		}
		c.call(round, "POST", "/sort/"+id, longTask)
		if trouble {
			time.Sleep(1500 * time.Millisecond)
			for _, r := range f.runners {
				if r.leftOut(id) {
					r.crash(300*time.Millisecond, true)
					time.AfterFunc(2*time.Second, func() { r.crash(300*time.Millisecond, true) })
				}
			}
		}
		time.Sleep(15 * time.Second)
	}
	c.record.add("%d orders in all", f.orders.Load())
	return f.twice(), nil
}

func (r *runner) setLate(l lateness) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late = l
	r.skipped = ""
}

// leftOut reports whether the runner has left a start of the job unanswered.
func (r *runner) leftOut(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.skipped == id
}
