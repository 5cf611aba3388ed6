package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["budget"] = budget }

const configApply = 2 * time.Second // config_apply_ms

// budget has a task fail twice and then wait for room. Meanwhile its route is removed, and added again
// with max_attempts = 2. The task must not start once more.
func budget(r *record, trouble bool) error {
	c, err := newCell(r)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return err
	}
	urgent := route("r-urgent", "/urgent/", "lab", 0, 3)
	if err := c.configure(desired(1, urgent, route("r-sort", "/sort/", "lab", 1, 4))); err != nil {
		return err
	}
	const id, urgentID = "3f6b81d0c47a2e95", "a1d94e7730b2c86f"
	p, err := newPool(c, "lab", 2, size{CPU: 128000, MemoryMB: 524288, GPU: 8}, func(task string, _ int) outcome {
		if strings.HasPrefix(task, id) {
			return outcome{700 * time.Millisecond, "failed"}
		}
		return outcome{9 * time.Second, "done"}
	})
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var startedAt []time.Time
	second := make(chan struct{}, 1)
	p.started = func(_ *runner, task string, _ int) {
		if !strings.HasPrefix(task, id) {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if startedAt = append(startedAt, time.Now()); len(startedAt) == 2 {
			second <- struct{}{}
		}
	}
	r.add("2 runners of 128 cores and 512 GB; waiting until they are known")
	time.Sleep(9 * time.Second)
	a := c.call(0, http.MethodPost, "/sort/"+id, "key-north", submission(map[string]any{"count": 1, "cpu": 100000, "memory_request_mb": 65536, "estimated_ms": 700}))
	r.add("submit /sort/%s, 1 task of 100 cores that fails each time; max_attempts is 4: %s", id, a)
	if a.status != http.StatusOK {
		return errNotAccepted
	}
	<-second
	a = c.call(0, http.MethodPost, "/urgent/"+urgentID, "key-south", submission(map[string]any{"count": 2, "cpu": 100000, "memory_request_mb": 65536, "estimated_ms": 9000}))
	r.add("submit /urgent/%s, 2 tasks of 100 cores and 9 s: %s", urgentID, a)
	if a.status != http.StatusOK {
		return errNotAccepted
	}
	time.Sleep(1500 * time.Millisecond)
	acknowledged := time.Time{}
	if trouble {
		if err := c.configure(desired(2, urgent)); err != nil {
			return err
		}
		time.Sleep(1500 * time.Millisecond)
		if err := c.configure(desired(3, urgent, route("r-sort", "/sort/", "lab", 1, 2))); err != nil {
			return err
		}
		acknowledged = time.Now()
		r.add("the route /sort/ is in force again, with max_attempts = 2")
	}
	time.Sleep(12 * time.Second)
	r.add("state of /sort/%s: %s", id, c.call(1, http.MethodGet, "/sort/"+id, "key-north", nil))
	late := 0
	mu.Lock()
	defer mu.Unlock()
	for i, at := range startedAt {
		if i >= 2 && !acknowledged.IsZero() && at.After(acknowledged.Add(configApply)) {
			late++
		}
	}
	r.add("the task has started %d times, %d times later than %s after the ack of max_attempts = 2", len(startedAt), late, configApply)
	if late > 0 {
		r.add("BUDGET: it started after 2 runs had ended failed, which are taken note of")
		return errBroken
	}
	return nil
}
