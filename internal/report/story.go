package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

// maxStory is the number of lines that a Story keeps. Later ones are counted.
const maxStory = 5000

// Story explains what became of a job or a request.
type Story struct {
	id       string // of the job, or of the request until its job is known
	request  string // of the call that handed the job in; empty if not known
	lines    []Line
	left     int    // lines beyond maxStory
	accepted Line   // zero until the job was accepted
	refused  []Line // calls that were refused
	finished Line   // zero until the job was over
	started  int    // tasks that started
	waits    map[string]time.Duration
	waiting  []Waiting
	losses   map[string]int // runs that did not end as done, by how
	unclear  Line           // the latest call whose outcome was not known
}

// NewStory returns a Story of a job or a request.
func NewStory(id string) *Story {
	return &Story{id: id, waits: map[string]time.Duration{}, losses: map[string]int{}}
}

// Job returns the job of a request, once a line has named it. Lines of the job that came
// before are missing from the story of a request: read the logs again for the job.
func (s *Story) Job() string {
	return cmp.Or(s.accepted.Job, s.id)
}

// Add takes a line into account if it is about the job or the request.
func (s *Story) Add(l *Line) {
	if l.Request != s.id && !l.concerns(s.id) && (s.request == "" || l.Request != s.request) {
		return
	}
	switch l.Event {
	case event.JobAccepted:
		s.accepted, s.request = *l, l.Request
	case event.JobRefused:
		s.refused = append(s.refused, *l)
	case event.CallRefused:
		if l.Status == unknownStatus {
			s.unclear = *l
		} else {
			s.refused = append(s.refused, *l)
		}
	case event.JobFinished, event.JobCancelled:
		if s.finished.Event != event.JobFinished {
			s.finished = *l
		}
	case event.StepWaits:
		s.waits[l.Reason] = max(s.waits[l.Reason], time.Duration(l.Waited))
		if l.Wait != "" && l.Wait != boundWait { // which has lines of its own
			s.addWait(l)
		}
	case event.TaskWaits, event.WaitOverdue:
		s.addWait(l)
	case event.TasksStarted:
		s.started++
	case event.RunLost:
		s.losses["lost: "+l.Reason]++
	case event.RunRefused:
		s.losses["refused by the worker: "+l.Reason]++
	case event.RunEnded:
		s.losses["ended: "+l.Outcome]++
	case event.RunPreempted:
		s.losses["preempted"]++
	case event.TaskGivenUp:
		s.losses["given up, since workers crash under it"]++
	}
	if len(s.lines) == maxStory {
		s.left++
		return
	}
	s.lines = append(s.lines, *l)
}

// boundWait is the wait of tasks that only one worker may run.
const boundWait = "bound"

// unknownStatus is the HTTP status of a call that may have been carried out.
const unknownStatus = 504

// Found reports whether any line was about the job or the request.
func (s *Story) Found() bool { return len(s.lines) > 0 }

// Outcome says in one line what became of it.
func (s *Story) Outcome() string {
	switch {
	case s.finished.Event == event.JobFinished && s.finished.State == "completed" && s.finished.After > s.finished.Objective:
		return fmt.Sprintf("completed late: after %s, the objective was %s", rounded(time.Duration(s.finished.After)), rounded(time.Duration(s.finished.Objective)))
	case s.finished.Event == event.JobFinished:
		return s.finished.State + " after " + rounded(time.Duration(s.finished.After))
	case s.finished.Event == event.JobCancelled:
		return "cancelled"
	case s.accepted.Event != 0 && s.started == 0:
		return "accepted, nothing has started yet"
	case s.accepted.Event != 0:
		return "accepted, not over yet"
	case len(s.refused) > 0:
		l := &s.refused[len(s.refused)-1]
		return "refused, it has not run: " + text(cmp.Or(l.Reason, l.Code, l.Error))
	case s.unclear.Event != 0:
		return "answered with 504, it may have been accepted: " + text(s.unclear.Error)
	case s.Found():
		return "answered"
	}
	return "no line is about it"
}

// Causes returns what delayed or ended it, with the longest waits first.
func (s *Story) Causes() []string {
	var causes []string
	reasons := make([]string, 0, len(s.waits))
	for r := range s.waits {
		reasons = append(reasons, r)
	}
	slices.SortFunc(reasons, func(a, b string) int { return cmp.Or(cmp.Compare(s.waits[b], s.waits[a]), cmp.Compare(a, b)) })
	for _, r := range reasons {
		causes = append(causes, fmt.Sprintf("a step waited up to %s: %s", rounded(s.waits[r]), r))
	}
	how := make([]string, 0, len(s.losses))
	for h := range s.losses {
		how = append(how, h)
	}
	slices.Sort(how)
	for _, h := range how {
		causes = append(causes, fmt.Sprintf("%d runs %s", s.losses[h], h))
	}
	for i := range s.refused {
		l := &s.refused[i]
		if s.accepted.Event != 0 {
			causes = append(causes, "an earlier call was refused: "+text(cmp.Or(l.Reason, l.Code, l.Error)))
		}
	}
	return causes
}

// Text writes the outcome, its causes, the waits and the lines in the order of their times.
func (s *Story) Text(out io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s\n", s.id, s.Outcome())
	for _, c := range s.Causes() {
		fmt.Fprintf(&b, "  %s\n", c)
	}
	for _, w := range s.Waits() {
		fmt.Fprintf(&b, "  %s\n", &w)
	}
	lines := slices.Clone(s.lines)
	slices.SortStableFunc(lines, func(x, y Line) int { return x.Time.Compare(y.Time) })
	for i := range lines {
		fmt.Fprintf(&b, "%s %s %s\n", stamp(lines[i].Time), text(lines[i].Process), lines[i].text)
	}
	if s.left > 0 {
		fmt.Fprintf(&b, "%d more lines\n", s.left)
	}
	_, err := io.WriteString(out, b.String())
	return err
}
