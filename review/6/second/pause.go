package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["pause"] = pause }

const (
	crashAfter = 150 * time.Millisecond // from the start of the task
	crashTime  = 3 * time.Second        // for_s
	crashes    = 2
	waitMost   = 6 * time.Second // a task that lasts is owed a run from this time after its last run on
	calmBefore = 4 * time.Second
)

// pause crashes the runner of a long-running task shortly after the task has started, twice. The
// task must be restarted.
func pause(r *record, trouble bool) error {
	c, err := newCell(r)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return err
	}
	if err := c.configure(desired(1, route("r-watch", "/watch/", "desk", 1, 3))); err != nil {
		return err
	}
	p, err := newPool(c, "desk", 8, size{CPU: 32000, MemoryMB: 65536}, func(string, int) outcome { return outcome{} })
	if err != nil {
		return err
	}
	var mu sync.Mutex
	crashed, last := 0, time.Time{}
	p.started = func(runner *runner, task string, run int) {
		if !trouble {
			return
		}
		mu.Lock()
		strike := crashed < crashes
		if strike {
			crashed++
		}
		mu.Unlock()
		if !strike {
			return
		}
		time.Sleep(crashAfter)
		runner.crash()
		mu.Lock()
		last = time.Now()
		mu.Unlock()
		time.Sleep(crashTime)
		if err := runner.revive(); err != nil {
			r.add("%s: %s", runner.id, err)
		}
	}
	r.add("8 runners of 32 cores and 64 GB; waiting until they are known")
	time.Sleep(9 * time.Second)
	path := "/watch/7a9e04c2f1d8b365"
	a := c.call(0, http.MethodPost, path, "key-north", submission(map[string]any{"count": 1, "cpu": 8000, "memory_request_mb": 8192, "estimated_ms": 400, "long_running": true}))
	r.add("submit %s, 1 long-running task of 8 cores: %s", path, a)
	if a.status != http.StatusOK {
		return errNotAccepted
	}
	idle, longest := time.Time{}, time.Duration(0)
	for began := time.Now(); time.Since(began) < 45*time.Second; time.Sleep(100 * time.Millisecond) {
		mu.Lock()
		owed := last.Add(max(waitMost, crashTime+3*time.Second+calmBefore)) // 3 s: contact_ms
		hit := crashed == crashes && !last.IsZero()
		mu.Unlock()
		switch {
		case p.atWork(path) > 0:
			idle = time.Time{}
		case !trouble || hit && time.Now().After(owed):
			if idle.IsZero() {
				idle = time.Now()
			}
			longest = max(longest, time.Since(idle))
		}
	}
	r.add("longest time that the task had no run while it was owed one: %.1f s", longest.Seconds())
	r.add("state: %s", c.call(1, http.MethodGet, path, "key-north", nil))
	if longest > held {
		r.add("LOST: a task that lasts had nothing running for over %s, with 7 or 8 idle runners and no disruption", held)
		return errBroken
	}
	return nil
}
