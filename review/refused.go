package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["refused"] = refusedAndRun }

const urgentQueue = `{"version":7,"routes":[{"name":"r-check","host":"jobs.example","path_prefix":"/check/","kind":"non_idempotent",
 "timeout_ms":3000,"target_latency_ms":250,"priority":0,"service":"guichet","max_attempts":2,"stretch":1.5,"public":false}],
 "services":[{"name":"guichet","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_check":false,"standby":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"hule930","api_keys":["3hh2b9wu3fexd9dnn2ct"],"priority":1,"weight":1000,
 "upper_limit":{"cpu":0,"memory_request_mb":0,"gpu":0}}]}`

// wide is a large submission of a kind with quick tasks.
const wide = `{"specification":"ms=700","steps":[{"count":36,"cpu":9000,"memory_request_mb":2000,"estimated_ms":700}]}`

const (
	bursts     = 10
	burstSize  = 16
	burstGap   = 4500 * time.Millisecond
	resetShare = 0.55 // of the connections of the leader
)

// refusedAndRun checks REFUSED: large submissions come at once, more than the runners
// can do in time, and more than half of the connections between the entry processes and
// the machine of the leader are reset meanwhile. Requesters that are told that a submission never runs
// do not send it again.
func refusedAndRun(c *cell, trouble bool) (broken []string, err error) {
	if err := c.startControls(); err != nil {
		return nil, err
	}
	const entries = 3
	// The proxies stand between the entry processes and the control processes, in both
	// directions; resets hit the calls of entry processes.
	var links []*proxy
	for i := range 3 {
		p, err := newProxy(c.join(10+i, entryPeers), c.join(10+i, controlPeers))
		if err != nil {
			return nil, err
		}
		links = append(links, p)
	}
	for i := range entries {
		if _, err := newProxy(c.join(20+i, controlPeers), c.join(20+i, entryPeers)); err != nil {
			return nil, err
		}
	}
	if err := c.startEntries(entries, entryPeers); err != nil {
		return nil, err
	}
	f, err := newFleet(c, "guichet", 12, 32000, 65536)
	if err != nil {
		return nil, err
	}
	if err := c.configure(urgentQueue); err != nil {
		return nil, err
	}
	if err := c.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second) // a new leader refuses nothing for 6 s
	rejected := map[string]string{}
	var mu sync.Mutex
	served := 0
	for burst := range bursts {
		leader := c.leaderIndex()

		var calls sync.WaitGroup
		for n := range burstSize {
			calls.Go(func() {
				id := fmt.Sprintf("%08x%08x", 0x5c0e7a21+burst, rand.Uint32())
				status, answer := c.call(n, "POST", "/check/"+id, wide)
				mu.Lock()
				defer mu.Unlock()
				switch status {
				case 200:
					served++
				case 429, 503:
					rejected[id] = fmt.Sprint(status, " ", answer)
				}
			})
		}
		if trouble {
			time.Sleep(time.Duration(1000+rand.IntN(3000)) * time.Microsecond)
			n := links[leader].reset(resetShare)
			c.record.add("%d connections of entry processes to %s are reset", n, c.controls[leader].name)
		}
		calls.Wait()
		time.Sleep(burstGap)
	}
	c.record.add("%d submissions accepted, %d rejected", served, len(rejected))
	fmt.Println(served, "submissions accepted,", len(rejected), "rejected")
	if served == 0 || len(rejected) == 0 {
		return nil, fmt.Errorf("%d submissions accepted and %d rejected: the load is not as meant", served, len(rejected))
	}
	for id, answer := range rejected {
		if s := f.startsOf(id); len(s) > 0 {
			broken = append(broken, fmt.Sprintf("REFUSED: %s was rejected at its only attempt (%s), and %d of its tasks were started, the first %s on %s",
				id, strings.TrimSpace(answer), len(s), s[0].task, s[0].runner))
		}
	}
	return broken, nil
}
