// Command standin runs the cases of the review. Each starts the processes of a cell, plays
// requesters, runners and the platform for it, and checks one rule.
//
//	standin CASE FOLDER ROOT
//
// FOLDER is the folder of the case, where record.txt is written, and ROOT that of the
// repository. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 there is no disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit is the longest time that a case takes.
const limit = 115 * time.Second

// cases holds the cases by name. A case returns what broke the rule.
var cases = map[string]func(c *cell, trouble bool) (broken []string, err error){}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER ROOT")
		return 2
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	c, err := newCell(os.Args[3], r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer c.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, trouble %t", os.Args[1], trouble)
	type outcome struct {
		broken []string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[os.Args[1]](c, trouble)
		done <- outcome{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var o outcome
	select {
	case o = <-done:
	case <-time.After(limit):
		o.err = errors.New("the case took too long")
	case <-signals:
		o.err = errors.New("interrupted")
	}
	if o.err != nil {
		r.add("could not run: %v", o.err)
		fmt.Println("could not run:", o.err)
		return 2
	}
	for _, b := range o.broken {
		r.add("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(o.broken) > 0 {
		return 1
	}
	r.add("the rule held")
	fmt.Println("the rule held")
	return 0
}
