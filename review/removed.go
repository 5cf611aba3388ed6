package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["removed"] = removedRoute }

// outerRoute and innerRoute are two queues. The prefix of the second one begins with that
// of the first one.
const (
	outerRoute = `{"name":"r-stock","host":"jobs.example","path_prefix":"/stock/","kind":"non_idempotent","timeout_ms":3000,
 "target_latency_ms":3000,"priority":2,"service":"guichet","max_attempts":3,"stretch":4.0,"public":false}`
	innerRoute = `{"name":"r-watch","host":"jobs.example","path_prefix":"/stock/watch/","kind":"non_idempotent","timeout_ms":3000,
 "target_latency_ms":2500,"priority":1,"service":"guichet","max_attempts":4,"stretch":2.2,"public":false}`
)

func nestedRoutes(version int, inner bool) string {
	routes := outerRoute
	if inner {
		routes += "," + innerRoute
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],
 "services":[{"name":"guichet","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_check":false,"standby":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"hule930","api_keys":["3hh2b9wu3fexd9dnn2ct"],"priority":1,"weight":1000,
 "upper_limit":{"cpu":0,"memory_request_mb":0,"gpu":0}}]}`, version, routes)
}

// visibleTime is visible_ms, and stopTime is cancel_ms and stop_timeout_ms.
const (
	visibleTime = 3 * time.Second
	stopTime    = 3900 * time.Millisecond
)

// removedRoute checks LOST and UNASKED: a route is removed while a submission on it runs.
func removedRoute(c *cell, trouble bool) (broken []string, err error) {
	f, err := c.begin(nestedRoutes(7, true), "guichet", 12, 3)
	if err != nil {
		return nil, err
	}
	const path = "/stock/watch/5c0e7a21d94b36f8"
	if status, _ := c.call(0, "POST", path, lastingTasks); status != 200 {
		return nil, fmt.Errorf("the submission was answered %d", status)
	}
	time.Sleep(visibleTime + time.Second)
	if trouble {
		if err := c.configure(nestedRoutes(9, false)); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	for n := range 3 {
		if status, answer := c.call(n, "GET", path, ""); status == 410 {
			broken = append(broken, fmt.Sprintf("LOST: GET %s is answered 410 %s, while %d of its tasks run and nobody has cancelled it",
				path, answer, f.busy()))
		}
	}
	status, _ := c.call(1, "DELETE", path, "")
	acked := time.Now()
	time.Sleep(stopTime + 6*time.Second)
	if running := f.busy(); running > 0 && (status == 410 || status/100 == 2) {
		broken = append(broken, fmt.Sprintf("UNASKED: %d tasks of %s run %.1f s after its cancelling was acknowledged with %d",
			running, path[strings.LastIndex(path, "/")+1:], time.Since(acked).Seconds(), status))
	}
	return broken, nil
}
