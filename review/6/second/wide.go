package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["wide"] = wide }

const (
	wideTasks = 13_000
	wideID    = 0x5c0e7a21d94b36f8
	smallID   = 0x1b7d03c2e85f9000
	finish    = 14 * time.Second // finish_s
	held      = 3 * time.Second  // the span that rule LOST names
)

// wide submits 13,000 short tasks between small submissions: as one step of one submission, or
// without the disruption as 13 submissions. All accepted work must run.
func wide(r *record, trouble bool) error {
	c, err := newCell(r)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return err
	}
	if err := c.configure(desired(1, route("r-small", "/small/", "desk", 1, 3), route("r-wide", "/wide/", "desk", 1, 3))); err != nil {
		return err
	}
	p, err := newPool(c, "desk", 35, size{CPU: 32000, MemoryMB: 65536}, func(string, int) outcome { return outcome{300 * time.Millisecond, "done"} })
	if err != nil {
		return err
	}
	p.quiet = true
	r.add("35 runners of 32 cores and 64 GB; waiting until they are known")
	time.Sleep(9 * time.Second)

	var mu sync.Mutex
	accepted := map[string]int{} // tasks by path
	submit := func(path string, tasks int) {
		a := c.call(0, http.MethodPost, path, "key-north", submission(map[string]any{"count": tasks, "cpu": 20, "memory_request_mb": 32, "estimated_ms": 300}))
		r.add("submit %s, %d tasks of 0.02 cores and 32 MB: %s", path, tasks, a)
		mu.Lock()
		defer mu.Unlock()
		if a.status == http.StatusOK {
			accepted[path] = tasks
		}
	}
	var calls sync.WaitGroup
	for i := range 15 {
		if i == 5 && trouble {
			submit(fmt.Sprintf("/wide/%016x", wideID), wideTasks)
		}
		if i == 5 && !trouble {
			for k := range 13 {
				submit(fmt.Sprintf("/wide/%016x", wideID+k), wideTasks/13)
			}
		}
		calls.Go(func() { submit(fmt.Sprintf("/small/%016x", smallID+i), 2) })
		time.Sleep(300 * time.Millisecond)
	}
	calls.Wait()
	r.add("end of the traffic")
	time.Sleep(finish)

	stuck := map[string]bool{}
	for path := range accepted {
		stuck[path] = true
	}
	for began := time.Now(); time.Since(began) < held+500*time.Millisecond; time.Sleep(500 * time.Millisecond) {
		for path := range stuck {
			a := c.call(1, http.MethodGet, path, "key-north", nil)
			if a.state() == "completed" || p.atWork(path) > 0 {
				delete(stuck, path)
				continue
			}
			r.add("ask for %s: %s; %d of its tasks run, %d have started", path, a, p.atWork(path), p.begun(path))
		}
	}
	r.add("%d runs have started, %v", p.starts, p.finished)
	if len(stuck) > 0 {
		r.add("LOST: %d of %d accepted submissions had nothing running for %s, %s after the end of the traffic, on idle runners", len(stuck), len(accepted), held, finish)
		return errBroken
	}
	return nil
}
