package main

import (
	"net/http"
	"time"
)

func init() { cases["long"] = long }

const (
	longTime  = 10 * time.Minute // work of a task
	shortTime = 80 * time.Second // likewise without the disruption
	longTasks = 8
	watched   = 75 * time.Second
)

// long submits 8 tasks of ten minutes, or without the disruption of 80 s, to 8 idle runners. They must
// run.
func long(r *record, trouble bool) error {
	c, err := newCell(r)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return err
	}
	if err := c.configure(desired(1, route("r-plan", "/plan/", "desk", 2, 3))); err != nil {
		return err
	}
	work := shortTime
	if trouble {
		work = longTime
	}
	p, err := newPool(c, "desk", 8, size{CPU: 32000, MemoryMB: 65536}, func(string, int) outcome { return outcome{work, "done"} })
	if err != nil {
		return err
	}
	r.add("8 runners of 32 cores and 64 GB; waiting until they are known")
	time.Sleep(9 * time.Second)
	path := "/plan/c40d7e915fb2a836"
	a := c.call(0, http.MethodPost, path, "key-north", submission(map[string]any{"count": longTasks, "cpu": 6000, "memory_request_mb": 6000, "estimated_ms": work.Milliseconds(), "anti_affinity": 1}))
	r.add("submit %s, %d tasks of 6 cores, 6 GB and %s, one a runner: %s", path, longTasks, work, a)
	if a.status != http.StatusOK {
		return errNotAccepted
	}
	began := time.Now() // end of the traffic
	idle, longest := time.Time{}, time.Duration(0)
	for ; time.Since(began) < watched; time.Sleep(100 * time.Millisecond) {
		switch {
		case p.atWork(path) > 0 || time.Since(began) < finish:
			idle = time.Time{}
		case idle.IsZero():
			idle = time.Now()
		default:
			longest = max(longest, time.Since(idle))
		}
	}
	r.add("%d starts, ends %v; state: %s", p.starts, p.finished, c.call(1, http.MethodGet, path, "key-north", nil))
	r.add("longest time without a run of it, from %s after the end of the traffic on: %.1f s", finish, longest.Seconds())
	if longest > held {
		r.add("LOST: the submission had nothing running for over %s on 8 idle runners", held)
		return errBroken
	}
	return nil
}
