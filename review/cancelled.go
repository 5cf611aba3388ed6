package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["cancelled"] = cancelledRuns }

const (
	cutFor      = 10 * time.Second
	cancelTime  = 3 * time.Second // cancel_ms
	lastingTask = `{"specification":"last","steps":[{"count":2,"cpu":1000,"memory_request_mb":500,"estimated_ms":3000,"long_running":true}]}`
	firstPeers  = 7580 // port between processes of the entry process that is cut off
)

// cancelledRuns checks UNASKED: one entry machine is cut off from all others for 10 s
// while a requester hands a submission in there. The requester gets no success, gives the
// submission up, and cancels it through another machine.
func cancelledRuns(c *cell, trouble bool) (broken []string, err error) {
	if err := c.startControls(); err != nil {
		return nil, err
	}
	p, err := c.start("frontend-z0-1", 20, false, firstPeers)
	if err != nil {
		return nil, err
	}
	c.entries = append(c.entries, p)
	for i := 1; i < 3; i++ {
		if p, err = c.start(fmt.Sprintf("frontend-z%d-1", i), 20+i, false, controlPeers); err != nil {
			return nil, err
		}
		c.entries = append(c.entries, p)
	}
	// All links of the first entry machine lead through proxies.
	var links []*proxy
	link := func(address, target string) {
		p, e := newProxy(address, target)
		if e != nil {
			err = e
			return
		}
		links = append(links, p)
	}
	link(c.join(20, controlPeers), c.join(20, firstPeers))
	for _, host := range []int{10, 11, 12, 21, 22} {
		link(c.join(host, firstPeers), c.join(host, controlPeers))
	}
	if err != nil {
		return nil, err
	}
	f, err := newFleet(c, "guichet", 12, 32000, 65536)
	if err != nil {
		return nil, err
	}
	if err := c.configure(oneQueue); err != nil {
		return nil, err
	}
	if err := c.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	for round := range 3 {
		var calls sync.WaitGroup
		for n := range 8 { // the usual traffic of the machine
			calls.Go(func() { c.call(0, "GET", fmt.Sprintf("/sort/%016x", n), "") })
		}
		calls.Wait()
		id := fmt.Sprintf("%016x", 0x5c0e7a2100000000+round)
		if trouble {
			c.record.add("%s is cut off from all other machines", c.entries[0].name)
			for _, l := range links {
				l.hold(true)
			}
			time.AfterFunc(cutFor, func() {
				for _, l := range links {
					l.hold(false)
				}
				c.record.add("%s is in touch again", c.entries[0].name)
			})
		}
		handedIn := time.Now()
		status, _ := c.call(0, "POST", "/sort/"+id, lastingTask)
		if trouble && status == 200 {
			c.record.add("the submission was accepted before the cut")
		}
		var acked time.Time
		for n := 1; acked.IsZero() && time.Since(handedIn) < 10*time.Second; n++ {
			if status, _ := c.call(1+n%2, "DELETE", "/sort/"+id, ""); status == 410 || status/100 == 2 {
				acked = time.Now()
			}
		}
		if acked.IsZero() {
			return nil, fmt.Errorf("the cancel of %s was not acknowledged", id)
		}
		time.Sleep(time.Until(handedIn.Add(cutFor + 6*time.Second)))
		for _, s := range f.startsOf(id) {
			if late := s.at.Sub(acked); late > cancelTime {
				broken = append(broken, fmt.Sprintf("UNASKED: %s run %d starts on %s %.1f s after the cancelling of its submission was acknowledged",
					s.task, s.run, s.runner, late.Seconds()))
			}
		}
		status, state := c.call(1, "GET", "/sort/"+id, "")
		c.record.add("in the end %s: %d %s, and %d tasks run", id, status, state, f.busy())
	}
	return broken, nil
}
