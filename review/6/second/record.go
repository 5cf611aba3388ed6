// Command review-2 runs the scripted cases of the second independent review. Each case starts a
// cell of the project's own processes on loopback, with stand-ins for the requesters, the
// operator and the runners, and reports whether a rule was broken.
//
// # Usage
//
//	review-2 CASE FOLDER
//
// FOLDER receives record.txt. With TROUBLE=0 the case runs without its disruption.
//
// # Exit codes
//
//	0  the rule held
//	1  the rule was broken
//	2  the case could not run
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

// add writes one line to the record and to standard output.
func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, arguments...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}
