package main

import (
	"fmt"
	"sort"
	"time"
)

// overlap is the shortest time that two runs of one task have to run together to count,
// for the inexactness of this program's own times.
const overlap = 100 * time.Millisecond

// twice returns the tasks with two runs at the same time, and those that were started
// after a run had ended done.
func (f *fleet) twice() (broken []string) {
	type span struct {
		start
		until time.Time
		how   string
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	spans := map[string][]span{}
	for _, s := range f.starts {
		n := span{s, time.Now(), "goes on"}
		for _, e := range f.ends {
			if e.task == s.task && e.run == s.run && e.runner == s.runner && !e.at.Before(s.at) && e.at.Before(n.until) {
				n.until, n.how = e.at, e.how
			}
		}
		spans[s.task] = append(spans[s.task], n)
	}
	for task, list := range spans {
		sort.Slice(list, func(a, b int) bool { return list[a].at.Before(list[b].at) })
		for i, a := range list {
			for _, b := range list[i+1:] {
				if together := minTime(a.until, b.until).Sub(b.at); together > overlap {
					broken = append(broken, fmt.Sprintf("TWICE: %s run %d on %s (%s) and run %d on %s (%s) ran at the same time, for %.1f s",
						task, a.run, a.runner, a.how, b.run, b.runner, b.how, together.Seconds()))
				}
			}
		}
	}
	return broken
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
