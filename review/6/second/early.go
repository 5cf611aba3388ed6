package main

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["early"] = early }

const (
	earlyBy     = 250 * time.Millisecond // early_ms
	occurrences = 6
	interval    = 3 * time.Second
)

// early submits two scheduled submissions. Their first times are 900 ms and 500 ms after a whole second,
// or without the disruption whole seconds. No task may start more than early_ms before its time.
func early(r *record, trouble bool) error {
	c, err := newCell(r)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return err
	}
	if err := c.configure(desired(1, route("r-roster", "/roster/", "desk", 1, 3))); err != nil {
		return err
	}
	p, err := newPool(c, "desk", 8, size{CPU: 32000, MemoryMB: 65536}, func(string, int) outcome { return outcome{400 * time.Millisecond, "done"} })
	if err != nil {
		return err
	}
	p.quiet = true
	var mu sync.Mutex
	first := map[string]time.Time{} // by submission
	tooEarly, runs := 0, 0
	p.started = func(runner *runner, task string, run int) {
		now := time.Now()
		parts := strings.Split(task, ".")
		k, _ := strconv.Atoi(parts[1])
		mu.Lock()
		defer mu.Unlock()
		due := first[parts[0]].Add(time.Duration(k) * interval)
		before := due.Sub(now)
		r.add("%s starts %s run %d, %d ms before its time", runner.id, task, run, before.Milliseconds())
		runs++
		if before > earlyBy {
			tooEarly++
		}
	}
	r.add("8 runners of 32 cores and 64 GB; waiting until they are known")
	time.Sleep(9 * time.Second)
	start := time.Now().Truncate(time.Second).Add(3 * time.Second)
	for id, after := range map[string]time.Duration{"6d02f8e914b7a35c": 900 * time.Millisecond, "e15b70c93a8d4f26": 500 * time.Millisecond} {
		if !trouble {
			after = 0
		}
		body := submission(map[string]any{"count": 2, "cpu": 1000, "memory_request_mb": 256, "estimated_ms": 400})
		body["repetitions"], body["first_run_ms"], body["interval_ms"] = occurrences, start.Add(after).UnixMilli(), interval.Milliseconds()
		mu.Lock()
		first[id] = start.Add(after)
		mu.Unlock()
		a := c.call(0, http.MethodPost, "/roster/"+id, "key-north", body)
		r.add("submit /roster/%s, 2 tasks, %d times, first_run_ms %d, interval_ms %d: %s", id, occurrences, start.Add(after).UnixMilli(), interval.Milliseconds(), a)
		if a.status != http.StatusOK {
			return errNotAccepted
		}
	}
	time.Sleep(time.Until(start) + occurrences*interval + 2*time.Second)
	mu.Lock()
	defer mu.Unlock()
	r.add("%d runs have started, %d of them more than %s before their time", runs, tooEarly, earlyBy)
	if tooEarly > 0 {
		r.add("ORDER: starts more than early_ms before their time")
		return errBroken
	}
	return nil
}
