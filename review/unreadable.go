package main

import (
	"fmt"
	"time"
)

func init() { cases["unreadable"] = unreadableEntry }

// oddRow is an entry of another writer in a runner's list: its name is in another
// encoding than UTF-8.
const oddRow = "[\"caf\xe9.0.0.1\",1,\"\",50]"

// twoSteps is a submission of two tasks of 3 s, and two more once these are done.
const twoSteps = `{"specification":"ms=3000","steps":[{"count":2,"cpu":1000,"memory_request_mb":500,"estimated_ms":3000},
 {"count":2,"cpu":1000,"memory_request_mb":500,"estimated_ms":3000,"after_revision":[0]}]}`

// unreadableEntry checks LOST: submissions are accepted, then one runner lists, for
// 2 s, one entry of another writer that cannot be read.
func unreadableEntry(c *cell, trouble bool) (broken []string, err error) {
	f, err := c.begin(oneQueue, "guichet", 12, 3)
	if err != nil {
		return nil, err
	}
	var accepted []string
	submit := func(n int) {
		id := fmt.Sprintf("%016x", 0x5c0e7a2100000000+n)
		if status, _ := c.call(n, "POST", "/sort/"+id, twoSteps); status == 200 {
			accepted = append(accepted, id)
		}
	}
	for n := range 10 {
		submit(n)
	}
	if len(accepted) < 10 {
		return nil, fmt.Errorf("only %d of 10 submissions were accepted before the disruption", len(accepted))
	}
	if trouble {
		r := f.busiest()
		c.record.add("runner %s lists an entry of another writer for 2 s: %q", r.id, oddRow)
		r.setOdd(oddRow)
		time.AfterFunc(2*time.Second, func() {
			r.setOdd("")
			c.record.add("runner %s no longer lists it", r.id)
		})
	}
	for n := 10; n < 18; n++ {
		time.Sleep(250 * time.Millisecond)
		submit(n)
	}
	// finish_s is 14: the submissions are asked for that long after the traffic.
	time.Sleep(14 * time.Second)
	capacity := 12 * 32
	for i, id := range accepted {
		status, state := c.call(i, "GET", "/sort/"+id, "")
		if status != 200 {
			broken = append(broken, fmt.Sprintf("LOST: at the end %s gets the answer %d %s", id, status, state))
			continue
		}
		if state == `{"state":"completed"}` || f.busy() > capacity/2 {
			continue
		}
		if waits := f.waitsFor(id, 2, 2); waits > 3*time.Second {
			broken = append(broken, fmt.Sprintf("LOST: at the end %s is shown as %s, and nothing of it has run for %.1f s though its turn has come and the runners are idle",
				id, state, waits.Seconds()))
		}
	}
	return broken, nil
}

// waitsFor returns for how long a submission of two steps has had nothing running while
// the turn of a task had come.
func (f *fleet) waitsFor(id string, first, second int) time.Duration {
	var since time.Time
	open := map[string]bool{}
	done := map[string]bool{}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.starts {
		if len(s.task) > len(id) && s.task[:len(id)+1] == id+"." {
			open[fmt.Sprint(s.task, s.run)] = true
		}
	}
	for _, e := range f.ends {
		if len(e.task) > len(id) && e.task[:len(id)+1] == id+"." {
			delete(open, fmt.Sprint(e.task, e.run))
			since = e.at
			if e.how == "done" {
				done[e.task] = true
			}
		}
	}
	if len(open) > 0 || len(done) == first+second {
		return 0
	}
	if since.IsZero() {
		return time.Since(f.cell.record.start)
	}
	return time.Since(since)
}

func (r *runner) setOdd(row string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.odd = row
}
