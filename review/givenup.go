package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["givenup"] = givenUp }

const (
	quickTasks   = `{"specification":"ms=700","steps":[{"count":6,"cpu":3000,"memory_request_mb":2000,"estimated_ms":700}]}`
	lastingTasks = `{"specification":"last","steps":[{"count":6,"cpu":3000,"memory_request_mb":2000,"estimated_ms":400,"long_running":true}]}`
)

// All runners crash so often, and are down for so long.
const (
	crashes  = 3
	downTime = 1500 * time.Millisecond
)

// twoQueues has a queue of quick tasks and one of tasks that last.
const twoQueues = `{"version":7,"routes":[
 {"name":"r-check","host":"jobs.example","path_prefix":"/check/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":250,
 "priority":0,"service":"guichet","max_attempts":3,"stretch":1.5,"public":false},
 {"name":"r-watch","host":"jobs.example","path_prefix":"/watch/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":2500,
 "priority":1,"service":"guichet","max_attempts":4,"stretch":2.2,"public":false}],
 "services":[{"name":"guichet","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_check":false,"standby":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"hule930","api_keys":["3hh2b9wu3fexd9dnn2ct"],"priority":1,"weight":1000,
 "upper_limit":{"cpu":0,"memory_request_mb":0,"gpu":0}}]}`

// givenUp checks LOST: all runners of a service crash and start again by turns. No run
// ends failed, so that no submission may be shown as failed.
func givenUp(c *cell, trouble bool) (broken []string, err error) {
	f, err := c.begin(twoQueues, "guichet", 35, 3)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	accepted := map[string]string{} // path by ID
	submit := func(n int, prefix, body string) {
		id := fmt.Sprintf("%016x", 0x5c0e7a2100000000+n)
		if status, _ := c.call(n, "POST", prefix+id, body); status == 200 {
			mu.Lock()
			accepted[id] = prefix + id
			mu.Unlock()
		}
	}
	for n := range 4 {
		submit(1000+n, "/watch/", lastingTasks)
	}
	if trouble {
		for n := range crashes {
			time.AfterFunc(3*time.Second+time.Duration(n)*2*time.Second, func() {
				for _, r := range f.runners {
					r.crash(downTime, false)
				}
			})
		}
	}
	var calls sync.WaitGroup
	for n := range 160 { // 13.5 a second for 12 s
		calls.Go(func() { submit(n, "/check/", quickTasks) })
		time.Sleep(74 * time.Millisecond)
	}
	calls.Wait()
	time.Sleep(14 * time.Second)
	n := 0
	for id, path := range accepted {
		n++
		status, state := c.call(n, "GET", path, "")
		if status != 200 || state != `{"state":"failed"}` {
			continue
		}
		failed := 0
		for _, e := range f.endsOf(id + ".") {
			if e.how == "failed" {
				failed++
			}
		}
		if failed == 0 {
			broken = append(broken, fmt.Sprintf("LOST: %s was accepted and is shown as failed, though none of its runs has ended failed", path))
		}
	}
	fmt.Println(len(accepted), "submissions accepted,", len(broken), "shown as failed")
	return broken, nil
}
