// Command review3 plays the cases of the review. The first argument names the case, the second the file for
// its record. The exit code is 1 if the rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// started is the cell of the case, whose processes end with this one.
var started atomic.Pointer[cell]

var cases = map[string]func(r *record, trouble bool) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		if c := started.Load(); c != nil {
			c.stop(false)
		}
		os.Exit(2)
	}()
	r, err := newRecord(os.Args[2])
	if err == nil {
		err = cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		if r != nil {
			r.add("the case could not run: %v", err)
		}
		os.Exit(2)
	case len(r.broken) > 0:
		fmt.Println("the rule was broken:", r.broken[0])
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

// binary is the program of the deploy file, from the root of the repository.
const binary = "target/rosemaryloft-cell"

// startCell starts a cell of control and entry processes and runners, and has a desired state acknowledged.
func startCell(r *record, controls, entries, runners int, routes ...route) (*cell, *pool, error) {
	c, err := newCell(r, binary)
	if err != nil {
		return nil, nil, err
	}
	started.Store(c)
	for range controls {
		c.add(true)
	}
	for range entries {
		c.add(false)
	}
	p := newPool(c)
	for range runners {
		p.add(routes[0].service, runnerPort)
	}
	return c, p, nil
}

// up starts the processes and the runners, has a desired state acknowledged, and waits until work is placed.
func (c *cell) up(p *pool, routes []route) error {
	if err := c.serveAdvice(); err != nil {
		return err
	}
	for _, x := range c.processes {
		if err := x.start(true); err != nil {
			return err
		}
	}
	if !c.configure(desiredState(1, routes...), 15*time.Second) {
		return fmt.Errorf("no desired state was acknowledged")
	}
	for _, w := range p.runners {
		if err := w.start(); err != nil {
			return err
		}
	}
	time.Sleep(7 * time.Second)
	return nil
}

// keep reports whether to keep the folder with the data and the logs of the processes.
func keep() bool { return os.Getenv("KEEP") != "" }
