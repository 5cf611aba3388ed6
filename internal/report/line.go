package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

// maxLine is the maximum length of a line of a log, in bytes.
const maxLine = 1 << 20

// Line is a line of a log: the fields that this package uses.
type Line struct {
	Time    time.Time `json:"time"`
	Event   event.ID  `json:"event"`
	Message string    `json:"msg"`
	Process string    `json:"process"`

	Request   string `json:"request"`
	Job       string `json:"job"`
	Path      string `json:"path"`
	Queue     string `json:"queue"`
	Workspace string `json:"workspace"`
	Step      any    `json:"step"` // an ID, or the number of a step of Job
	Task      string `json:"task"`
	Run       int    `json:"run"`
	Worker    string `json:"worker"`
	State     string `json:"state"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	Code      string `json:"code"`
	Error     string `json:"error"`
	Status    int    `json:"status"`
	Priority  int    `json:"priority"`
	Term      uint64 `json:"term"`
	Lines     int    `json:"lines"` // of LinesDropped

	Tasks int    `json:"tasks"`
	Wait  string `json:"wait"` // what tasks wait for; of a refused call, how long to wait
	Since Moment `json:"since"`
	Until Moment `json:"until"`

	Waited    Wait `json:"waited"`
	After     Wait `json:"after"`
	Objective Wait `json:"objective"`

	Pool           string           `json:"pool"`
	Workers        json.RawMessage  `json:"workers"`
	Processors     int64            `json:"processors"`
	Of             int64            `json:"of"`
	Accelerators   int64            `json:"accelerators"`
	OfAccelerators int64            `json:"ofAccelerators"`
	Waiting        json.RawMessage  `json:"waiting"`
	Idle           map[string]int64 `json:"idle"`
	Trials         int              `json:"trials"`
	Untried        int              `json:"untried"`

	text string // the line as written
}

// Wait is a duration in the notation of time.Duration.
type Wait time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (w *Wait) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return err
	}
	d, err := time.ParseDuration(text)
	*w = Wait(d)
	return err
}

// Moment is a time. It is zero for a line that has a duration under the same name.
type Moment struct{ time.Time }

// UnmarshalJSON implements json.Unmarshaler.
func (m *Moment) UnmarshalJSON(b []byte) error {
	if t := (time.Time{}); json.Unmarshal(b, &t) == nil {
		m.Time = t
	}
	return nil
}

// step returns the ID of the step that the line is about, or "".
func (l *Line) step() string {
	id, _ := l.Step.(string) // a number if the line names the job
	return id
}

// waiting returns the numbers of waiting tasks by priority.
func (l *Line) waiting() []int {
	var list []int
	if err := json.Unmarshal(l.Waiting, &list); err != nil {
		return nil // another event has a number here
	}
	return list
}

// concerns reports whether the line names a job, or a run or a step of it.
func (l *Line) concerns(job string) bool {
	return job != "" && (l.Job == job || strings.HasPrefix(l.Task, job+".") || strings.HasPrefix(l.step(), job+".") ||
		strings.HasSuffix(l.Path, "/"+job))
}

// Read passes the lines of a log to visit. It returns the number of lines that it skipped
// because they are no log lines, such as the output of other programs.
func Read(r io.Reader, visit func(*Line)) (skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		b := s.Bytes()
		if i := bytes.IndexByte(b, '{'); i > 0 {
			b = b[i:]
		}
		var l Line
		if err := json.Unmarshal(b, &l); err != nil || l.Time.IsZero() || l.Event == 0 {
			skipped++
			continue
		}
		l.text = string(b)
		visit(&l)
	}
	return skipped, errors.Wrap(s.Err(), "log")
}
