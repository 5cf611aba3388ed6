package main

import (
	"fmt"
	"time"
)

func init() { cases["foreign"] = foreignReport }

const fiveSeconds = `{"specification":"ms=5000","steps":[{"count":1,"cpu":1000,"memory_request_mb":500,"estimated_ms":5000}]}`

// foreignReport checks TWICE: status reports of another writer come, in which a field is
// of another type. Each states the address of a runner.
func foreignReport(c *cell, trouble bool) (broken []string, err error) {
	f, err := c.begin(oneQueue, "guichet", 12, 3)
	if err != nil {
		return nil, err
	}
	for round := range 4 {
		for n := range 8 {
			c.call(n, "POST", fmt.Sprintf("/sort/%016x", 0x5c0e7a2100000000+100*round+n), fiveSeconds)
		}
		time.Sleep(1600*time.Millisecond + time.Duration(round)*350*time.Millisecond)
		if trouble {
			c.reportForeign(fmt.Sprintf("i-00000000a%d", round), f.busiest())
		}
		time.Sleep(7 * time.Second)
	}
	return f.twice(), nil
}

// reportForeign sends a status report of another writer with the address of a runner. Its
// number of slots is a string.
func (c *cell) reportForeign(id string, r *runner) {
	body := fmt.Sprintf(`{"service":"guichet","address":%q,"zone":%q,"version":"v1","slots":"8","state":"ready","cold_remaining_ms":0,`+
		`"capacity":{"cpu":32000,"memory_request_mb":65536,"gpu":0},"labels":["a","r0-0"],"clock_ms":5000,"sequence":1,"born":%d}`,
		r.address, r.zone, time.Now().UnixMilli())
	for _, node := range c.seeds {
		status, answer := send("PUT", "http://"+node+"/v1/instances/"+id, "", "", body, time.Second)
		c.record.add("another writer: PUT /v1/instances/%s to %s: %s, answered %d %s", id, node, body, status, answer)
		if status != 0 && status < 500 {
			return
		}
	}
}
