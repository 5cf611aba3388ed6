package report

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

const (
	// maxWaits is the number of waits that a Story keeps.
	maxWaits = 1000
	// maxWaitGap is the longest time between two lines about one wait: these come every 2 s,
	// and the next leader states when it first saw the wait.
	maxWaitGap = 3 * time.Second
)

// Waiting is a time in which tasks of a step waited for the same.
type Waiting struct {
	Step    string    `json:"step"`
	Wait    string    `json:"wait"` // short name, such as "copies"
	Reason  string    `json:"reason"`
	Worker  string    `json:"worker,omitempty"` // that is meant
	Tasks   int       `json:"tasks"`            // most at a time
	Since   time.Time `json:"since"`
	Seen    time.Time `json:"seen"`             // last line
	Until   time.Time `json:"until,omitzero"`   // latest end; zero if there is no bound
	First   time.Time `json:"first,omitzero"`   // earliest one that a line states, such as of a former leader
	Overdue int       `json:"overdue,omitzero"` // tasks that waited for longer
}

// String describes the wait in one line.
func (w *Waiting) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d tasks of %s waited from %s, last seen %s", w.Wait, w.Tasks, w.Step, stamp(w.Since), stamp(w.Seen))
	if !w.Until.IsZero() {
		fmt.Fprintf(&b, ", until %s at the latest", stamp(w.Until))
	}
	if w.First.Before(w.Until) {
		fmt.Fprintf(&b, " (first %s)", stamp(w.First))
	}
	if w.Worker != "" {
		fmt.Fprintf(&b, ", worker %s", w.Worker)
	}
	if w.Overdue > 0 {
		fmt.Fprintf(&b, ", %d overdue", w.Overdue)
	}
	fmt.Fprintf(&b, ": %s", w.Reason)
	return b.String()
}

// Waits returns what the job's tasks waited for, in the order in which the waits began.
func (s *Story) Waits() []Waiting {
	var list []Waiting
	sorted := slices.Clone(s.waiting)
	slices.SortStableFunc(sorted, func(a, b Waiting) int { return cmp.Or(a.Since.Compare(b.Since), strings.Compare(a.Step, b.Step)) })
	for _, w := range sorted {
		list = join(list, &w)
	}
	return list
}

// join adds a wait to a list, or merges it with the part of it that is there.
func join(list []Waiting, w *Waiting) []Waiting {
	for i := range slices.Backward(list) {
		if o := &list[i]; o.Step == w.Step && o.Wait == w.Wait && o.Worker == w.Worker && o.meets(w) {
			o.merge(w)
			return list
		}
	}
	return append(list, *w)
}

// addWait takes a line about a wait into account.
func (s *Story) addWait(l *Line) {
	w := Waiting{Step: l.step(), Wait: l.Wait, Reason: l.Reason, Worker: l.Worker, Tasks: l.Tasks, Since: l.Since.Time, Seen: l.Time, Until: l.Until.Time}
	switch l.Event {
	case event.StepWaits:
		w.Since = l.Time.Add(-time.Duration(l.Waited))
	case event.WaitOverdue:
		w.Step, w.Tasks, w.Overdue = stepOf(l.Task), 1, 1
	}
	w.First = w.Until
	if list := join(s.waiting, &w); len(list) <= maxWaits {
		s.waiting = list
	}
}

// meets reports whether two times in which tasks waited are one.
func (w *Waiting) meets(o *Waiting) bool {
	return !o.Since.After(w.Seen.Add(maxWaitGap)) && !w.Since.After(o.Seen.Add(maxWaitGap))
}

// merge adds a further line about the same wait.
func (w *Waiting) merge(o *Waiting) {
	if o.Since.Before(w.Since) {
		w.Since = o.Since
	}
	w.Tasks, w.Overdue = max(w.Tasks, o.Tasks), w.Overdue+o.Overdue
	if w.First.IsZero() || !o.First.IsZero() && o.First.Before(w.First) {
		w.First = o.First
	}
	w.Seen, w.Until = latest(w.Seen, o.Seen), latest(w.Until, o.Until)
}

// stepOf returns the step of a task.
func stepOf(task string) string {
	if i := strings.LastIndexByte(task, '.'); i >= 0 {
		return task[:i]
	}
	return task
}
