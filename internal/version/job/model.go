package job

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// ID identifies a job. The caller chooses it.
type ID string

// TaskID identifies a task of one occurrence of a job.
type TaskID struct {
	_          struct{} `cbor:",toarray"`
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String formats the ID as JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// maxTaskName bounds the name of a task in bytes. Earlier builds took longer IDs than ID.Check.
const maxTaskName = 16 << 10

// ParseTask parses the format of TaskID.String.
func ParseTask(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || parts[0] == "" || len(name) > maxTaskName || !utf8.ValidString(name) {
		return TaskID{}, errors.Newf("%q is not a valid task ID", name)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, errors.Newf("%q is not a valid task ID", name)
		}
		n[i] = v
	}
	return TaskID{Job: ID(parts[0]), Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        ID
	Occurrence int
	Step       int
}

// String formats the ID as JOB.OCCURRENCE.STEP.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// StepID returns the step that the task belongs to.
func (t TaskID) StepID() StepID { return StepID{t.Job, t.Occurrence, t.Step} }

// Step is a set of identical tasks.
type Step struct {
	Count       int            `cbor:"1,keyasint,omitempty"`
	Size        work.Resources `cbor:"2,keyasint"`           // of each task
	Estimate    time.Duration  `cbor:"3,keyasint,omitempty"` // rough estimate of a task's run time
	After       []int          `cbor:"4,keyasint,omitempty"` // indices of the steps that must finish first
	Gang        bool           `cbor:"5,keyasint,omitempty"` // all tasks must run at the same time
	SameRack    bool           `cbor:"6,keyasint,omitempty"` // the gang is slower across racks
	Checkpoints bool           `cbor:"7,keyasint,omitempty"`
	Copies      bool           `cbor:"8,keyasint,omitempty"`  // several runs of a task may overlap
	Lasting     bool           `cbor:"9,keyasint,omitempty"`  // long-running: the tasks run until the job is cancelled
	Filler      bool           `cbor:"10,keyasint,omitempty"` // reserves no processors; uses those that others leave idle
	Label       string         `cbor:"11,keyasint,omitempty"` // required label of the worker; empty if none
	Rack        string         `cbor:"12,keyasint,omitempty"` // rack of the data; the tasks are slower on others
	Spread      int            `cbor:"13,keyasint,omitempty"` // maximum tasks of the step on one worker; zero means no limit
	Image       string         `cbor:"14,keyasint,omitempty"` // tasks of the same image behave alike
	Target      time.Duration  `cbor:"15,keyasint,omitempty"` // response time target of a long-running task
	Allowance   int            `cbor:"16,keyasint,omitempty"` // maximum tasks that the system may disrupt at the same time
}

// Reservation returns the resources that one task reserves on its worker.
func (s *Step) Reservation() work.Resources {
	r := s.Size
	if s.Filler {
		r.Processors = 0
	}
	return r
}

// Job is a job as submitted.
type Job struct {
	ID        ID            `cbor:"1,keyasint"`
	Host      string        `cbor:"2,keyasint"` // identifies the queue together with Prefix
	Prefix    string        `cbor:"3,keyasint"`
	Workspace string        `cbor:"4,keyasint,omitempty"`
	Payload   string        `cbor:"5,keyasint,omitempty"` // passed to every task
	Steps     []Step        `cbor:"6,keyasint"`
	Repeat    int           `cbor:"7,keyasint,omitempty"`  // number of scheduled occurrences; zero means one that is due at once
	First     time.Time     `cbor:"8,keyasint"`            // due time of occurrence 0
	Every     time.Duration `cbor:"9,keyasint,omitempty"`  // interval between occurrences
	Beyond    bool          `cbor:"10,keyasint,omitempty"` // beyond the weight of its workspace; set by the leader that accepts it
}

// Occurrences returns the number of times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat) }

// Due returns the earliest start of an occurrence, or the zero time if the job
// does not repeat.
func (j *Job) Due(occurrence int) time.Time {
	if j.Repeat == 0 {
		return time.Time{}
	}
	return j.First.Add(time.Duration(occurrence) * j.Every)
}

// Lasting reports whether the job has a long-running step.
func (j *Job) Lasting() bool {
	for i := range j.Steps {
		if j.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// Limits on the cost of a single submission.
const (
	maxSteps       = 64
	maxTasks       = 20_000
	maxOccurrences = 100_000
	maxPayload     = 16 << 10 // bytes
)

// Limits on the times of a repeating job. Later ones cannot be encoded, or overflow.
var earliestDue, latestDue = time.Unix(0, 0), time.Date(9000, 1, 1, 0, 0, 0, 0, time.UTC)

// maxRepeatTime is the longest time from the first occurrence to the last one.
const maxRepeatTime = 100 * 365 * 24 * time.Hour

// Check returns an error if the job cannot be accepted. Steps may only wait for
// earlier steps, so that there are no cycles.
func (j *Job) Check() error {
	if err := j.checkSteps(); err != nil {
		return err
	}
	if j.Repeat > 0 && (j.First.Before(earliestDue) || j.First.After(latestDue) || j.Every > maxRepeatTime/time.Duration(j.Repeat)) {
		return errors.Newf("%d occurrences, the first one due at Unix second %d and then each %s", j.Repeat, j.First.Unix(), j.Every)
	}
	if len(j.Payload) > maxPayload || !utf8.ValidString(j.Payload) {
		return errors.Newf("a payload of %d bytes, or one that is not UTF-8", len(j.Payload))
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		if err := checkTexts(s.Label, s.Rack, s.Image); err != nil {
			return errors.Wrapf(err, "step %d", i)
		}
		if len(s.After) > i {
			return errors.Newf("step %d waits for %d steps", i, len(s.After))
		}
	}
	return nil
}

// checkSteps returns an error if the numbers of the steps do not fit together. Jobs of earlier builds
// that fail it have failed; see giveUpInvalid.
func (j *Job) checkSteps() error {
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return errors.Newf("a job has 1 to %d steps, not %d", maxSteps, len(j.Steps))
	}
	if j.Repeat < 0 || j.Repeat > maxOccurrences || j.Repeat > 0 && j.Every < 0 {
		return errors.Newf("%d occurrences", j.Repeat)
	}
	tasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count < 1 || s.Count > maxTasks {
			return errors.Newf("step %d has %d tasks, want 1 to %d", i, s.Count, maxTasks)
		}
		if !s.Size.Representable() {
			return errors.Newf("step %d has a negative or too large size", i)
		}
		tasks += s.Count
		for _, a := range s.After {
			if a < 0 || a >= i {
				return errors.Newf("step %d waits for step %d", i, a)
			}
		}
	}
	if tasks > maxTasks {
		return errors.Newf("%d tasks are more than %d", tasks, maxTasks)
	}
	return nil
}

// Queue is a catalogue entry that jobs are submitted to.
type Queue struct {
	Name     string        `cbor:"1,keyasint"`
	Host     string        `cbor:"2,keyasint"`
	Prefix   string        `cbor:"3,keyasint"`
	Pool     string        `cbor:"4,keyasint"` // pool whose workers run the tasks
	Priority int           `cbor:"5,keyasint,omitempty"`
	Attempts int           `cbor:"6,keyasint,omitempty"` // number of failed runs of a task that fails its job
	Stretch  float64       `cbor:"7,keyasint,omitempty"` // a job's deadline is its estimated critical path times Stretch, plus Target
	Target   time.Duration `cbor:"8,keyasint,omitempty"`
	Advised  *Advised      `cbor:"9,keyasint,omitempty"` // nil if any worker of the pool may run the tasks
	Public   bool          `cbor:"10,keyasint,omitempty"`
}

// Advised configures a queue whose workers are chosen by an external advice
// service.
type Advised struct {
	Base   time.Duration `cbor:"1,keyasint"` // base response time of the service
	Each   time.Duration `cbor:"2,keyasint"` // additional response time per queried worker
	Expiry time.Duration `cbor:"3,keyasint"` // validity period of a ticket
}

// Pool is a set of workers.
type Pool struct {
	Name    string `cbor:"1,keyasint"`
	Guarded bool   `cbor:"2,keyasint,omitempty"` // its workers refuse tasks that do not fit
	Standby bool   `cbor:"3,keyasint,omitempty"`
}

// Workspace is a group of callers with its keys, weight and limit.
type Workspace struct {
	Name     string         `cbor:"1,keyasint"`
	Keys     []string       `cbor:"2,keyasint"`
	Priority int            `cbor:"3,keyasint,omitempty"`
	Weight   float64        `cbor:"4,keyasint,omitempty"`
	Limit    work.Resources `cbor:"5,keyasint"` // on the total size of its runs; zero fields mean no limit
}

// Catalogue is the versioned configuration that operators maintain.
type Catalogue struct {
	Version    uint64      `cbor:"1,keyasint"`
	Document   []byte      `cbor:"2,keyasint"` // as the operator sent it
	Queues     []Queue     `cbor:"3,keyasint"`
	Pools      []Pool      `cbor:"4,keyasint"`
	Workspaces []Workspace `cbor:"5,keyasint"`
}

// Incarnation identifies one worker process among those that run under the same
// ID over time. It is the start time that the process reports, in Unix
// milliseconds.
type Incarnation int64

// Worker is one incarnation of a process that runs tasks.
type Worker struct {
	ID       string         `cbor:"1,keyasint"`
	Pool     string         `cbor:"2,keyasint"`
	Address  netip.AddrPort `cbor:"3,keyasint"`
	Zone     string         `cbor:"4,keyasint,omitempty"`
	Rack     string         `cbor:"5,keyasint,omitempty"`
	Labels   []string       `cbor:"6,keyasint"` // nil if not stated
	Capacity work.Resources `cbor:"7,keyasint"`
	Life     Incarnation    `cbor:"8,keyasint"`
	Draining bool           `cbor:"9,keyasint,omitempty"`
	Sequence int64          `cbor:"10,keyasint,omitempty"` // number of the report that says this; rises within an incarnation
	Warm     time.Time      `cbor:"11,keyasint"`           // when it is no longer cold, on its own clock; zero if it is not
}

// Limits of what a worker says of itself. One that says more is none: its sums with
// others, or its record in the log, would be too large.
const (
	maxText   = 256 // bytes of a name or a label
	maxLabels = 64
	// MaxStamp is the largest time in milliseconds that a worker gives, some centuries.
	MaxStamp = 1 << 43
)

// Check returns an error if no worker can be as described.
func (w *Worker) Check() error {
	if w.ID == "" || w.Pool == "" || len(w.Labels) > maxLabels {
		return errors.Newf("worker %q of pool %q with %d labels", shortened(w.ID), shortened(w.Pool), len(w.Labels))
	}
	if err := checkTexts(append([]string{w.ID, w.Pool, w.Zone, w.Rack}, w.Labels...)...); err != nil {
		return errors.Wrapf(err, "worker %q", shortened(w.ID))
	}
	switch a := w.Address.Addr(); {
	case w.Address.Port() == 0, a.IsUnspecified(), a.IsMulticast():
		return errors.Newf("worker %q: address %s", w.ID, w.Address)
	case !w.Capacity.Representable():
		return errors.Newf("worker %q: capacity %+v", w.ID, w.Capacity)
	case w.Life < 0 || w.Life > MaxStamp:
		return errors.Newf("worker %q: started at %d", w.ID, w.Life)
	}
	return nil
}

// checkTexts returns an error if a name or a label is too long or not UTF-8, which the
// decoder of the log refuses.
func checkTexts(texts ...string) error {
	for _, s := range texts {
		if len(s) > maxText || !utf8.ValidString(s) {
			return errors.Newf("a text of %d bytes, or one that is not UTF-8: %q", len(s), shortened(s))
		}
	}
	return nil
}

func shortened(s string) string { return s[:min(len(s), maxText)] }

// Status is the state of a job.
type Status uint8

// States of a job, in the order it passes through. Completed and later are final.
const (
	Queued Status = iota
	Running
	Completed
	Failed
	Cancelled
)

// Final reports whether the state is final.
func (s Status) Final() bool { return s >= Completed }

// String returns the state's name.
func (s Status) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[s]
}

// Outcome is the way a run ended.
type Outcome uint8

// Outcomes of a run.
const (
	Done           Outcome = iota + 1
	RunFailed              // failed, because of the task or the worker
	Stopped                // stopped by an order
	LeaseExpired           // the worker's lease expired
	GangBroken             // another member of the gang ended
	GangIncomplete         // the other members of the gang did not start
	Lost                   // the worker's incarnation ended, or the run never began
)

// String returns the outcome's name.
func (o Outcome) String() string {
	if o == 0 || int(o) > len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o-1]
}

var outcomeNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}

// Task returns one task of the step.
func (s StepID) Task(index int) TaskID {
	return TaskID{Job: s.Job, Occurrence: s.Occurrence, Step: s.Step, Index: index}
}
