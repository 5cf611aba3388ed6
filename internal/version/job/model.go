package job

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// ID names a job. The caller chooses it.
type ID string

// TaskID names one task of one occurrence of a job.
type TaskID struct {
	_          struct{} `cbor:",toarray"`
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name as JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseTask reads a name that TaskID.String wrote.
func ParseTask(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, errors.Newf("%q does not name a task", name)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, errors.Newf("%q does not name a task", name)
		}
		n[i] = v
	}
	return TaskID{Job: ID(parts[0]), Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// StepID names one step of one occurrence of a job.
type StepID struct {
	Job        ID
	Occurrence int
	Step       int
}

// String returns the step's name as JOB.OCCURRENCE.STEP.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// Of returns the step of a task.
func (t TaskID) Of() StepID { return StepID{t.Job, t.Occurrence, t.Step} }

// Step is a set of alike tasks.
type Step struct {
	Count       int            `cbor:"1,keyasint,omitempty"`
	Size        work.Resources `cbor:"2,keyasint"`           // of each task
	Estimate    time.Duration  `cbor:"3,keyasint,omitempty"` // rough run time of a task
	After       []int          `cbor:"4,keyasint,omitempty"` // steps that must be done first
	Gang        bool           `cbor:"5,keyasint,omitempty"` // the tasks work only together
	SameRack    bool           `cbor:"6,keyasint,omitempty"` // the gang is slower on several racks
	Checkpoints bool           `cbor:"7,keyasint,omitempty"`
	Copies      bool           `cbor:"8,keyasint,omitempty"`  // copies of a task may run in parallel
	Lasting     bool           `cbor:"9,keyasint,omitempty"`  // the tasks run until the job is cancelled
	Filler      bool           `cbor:"10,keyasint,omitempty"` // its processors are not reserved; it uses what others leave idle
	Label       string         `cbor:"11,keyasint,omitempty"` // a worker must have it
	Rack        string         `cbor:"12,keyasint,omitempty"` // where the data is; other racks are slower
	Spread      int            `cbor:"13,keyasint,omitempty"` // most tasks of the step on one worker; zero means no limit
	Image       string         `cbor:"14,keyasint,omitempty"` // tasks of one image behave alike
	Target      time.Duration  `cbor:"15,keyasint,omitempty"` // bound of the response times of a lasting task
	Allowance   int            `cbor:"16,keyasint,omitempty"` // tasks that the system may keep from work at the same time
}

// Reserves returns the part of a worker that one task takes.
func (s *Step) Reserves() work.Resources {
	r := s.Size
	if s.Filler {
		r.Processors = 0
	}
	return r
}

// Job is what a caller submitted.
type Job struct {
	ID        ID            `cbor:"1,keyasint"`
	Host      string        `cbor:"2,keyasint"` // with Prefix, the place of the queue
	Prefix    string        `cbor:"3,keyasint"`
	Workspace string        `cbor:"4,keyasint,omitempty"`
	Payload   string        `cbor:"5,keyasint,omitempty"` // handed to every task
	Steps     []Step        `cbor:"6,keyasint"`
	Repeat    int           `cbor:"7,keyasint,omitempty"` // number of timed occurrences; zero means one that is due at once
	First     time.Time     `cbor:"8,keyasint"`           // when occurrence 0 is due
	Every     time.Duration `cbor:"9,keyasint,omitempty"`
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat) }

// Due returns when an occurrence may start.
func (j *Job) Due(occurrence int) time.Time {
	if j.Repeat == 0 {
		return time.Time{}
	}
	return j.First.Add(time.Duration(occurrence) * j.Every)
}

// Lasting reports whether the job runs until it is cancelled.
func (j *Job) Lasting() bool {
	for i := range j.Steps {
		if j.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// Limits of a job, which bound what one submission can cost.
const (
	maximumSteps       = 64
	maximumTasks       = 20_000
	maximumOccurrences = 100_000
)

// Check returns what makes the job one that cannot be accepted.
func (j *Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > maximumSteps {
		return errors.Newf("a job has 1 to %d steps, not %d", maximumSteps, len(j.Steps))
	}
	if j.Repeat < 0 || j.Repeat > maximumOccurrences || j.Repeat > 0 && j.Every < 0 {
		return errors.Newf("%d occurrences", j.Repeat)
	}
	tasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count < 1 || s.Size.Processors < 0 || s.Size.Memory < 0 || s.Size.Accelerators < 0 {
			return errors.Newf("step %d has no tasks or a negative size", i)
		}
		tasks += s.Count
		for _, a := range s.After {
			if a < 0 || a >= i {
				return errors.Newf("step %d waits for step %d", i, a)
			}
		}
	}
	if tasks > maximumTasks {
		return errors.Newf("%d tasks are more than %d", tasks, maximumTasks)
	}
	return nil
}

// Queue is a catalogue entry that jobs are submitted to.
type Queue struct {
	Name     string        `cbor:"1,keyasint"`
	Host     string        `cbor:"2,keyasint"`
	Prefix   string        `cbor:"3,keyasint"`
	Pool     string        `cbor:"4,keyasint"` // whose workers run the tasks
	Priority int           `cbor:"5,keyasint,omitempty"`
	Attempts int           `cbor:"6,keyasint,omitempty"` // failed runs of a task that fail its job
	Stretch  float64       `cbor:"7,keyasint,omitempty"` // a job is late after its longest chain times this, and Target more
	Target   time.Duration `cbor:"8,keyasint,omitempty"`
	Advised  *Advised      `cbor:"9,keyasint,omitempty"` // nil if every worker of the pool may run the tasks
	Public   bool          `cbor:"10,keyasint,omitempty"`
}

// Advised describes a queue whose workers an outside service chooses.
type Advised struct {
	Base   time.Duration `cbor:"1,keyasint"` // of an answer
	Each   time.Duration `cbor:"2,keyasint"` // more for each worker asked about
	Expiry time.Duration `cbor:"3,keyasint"` // how long a ticket is good for
}

// Pool is a set of workers.
type Pool struct {
	Name    string `cbor:"1,keyasint"`
	Guarded bool   `cbor:"2,keyasint,omitempty"` // its workers refuse what does not fit
	Standby bool   `cbor:"3,keyasint,omitempty"`
}

// Workspace is a group of callers with their keys, share and limit.
type Workspace struct {
	Name     string         `cbor:"1,keyasint"`
	Keys     []string       `cbor:"2,keyasint"`
	Priority int            `cbor:"3,keyasint,omitempty"`
	Weight   float64        `cbor:"4,keyasint,omitempty"`
	Limit    work.Resources `cbor:"5,keyasint"` // of what it may have running; zero fields mean no limit
}

// Catalogue is everything that operators decide, under one version.
type Catalogue struct {
	Version    uint64      `cbor:"1,keyasint"`
	Document   []byte      `cbor:"2,keyasint"` // as the operator sent it
	Queues     []Queue     `cbor:"3,keyasint"`
	Pools      []Pool      `cbor:"4,keyasint"`
	Workspaces []Workspace `cbor:"5,keyasint"`
}

// Life tells the lives of a worker process under one ID apart. It is the Unix
// time in milliseconds at which the process says that it started.
type Life int64

// Worker is one life of a process that runs tasks.
type Worker struct {
	ID       string         `cbor:"1,keyasint"`
	Pool     string         `cbor:"2,keyasint"`
	Address  netip.AddrPort `cbor:"3,keyasint"`
	Zone     string         `cbor:"4,keyasint,omitempty"`
	Rack     string         `cbor:"5,keyasint,omitempty"`
	Labels   []string       `cbor:"6,keyasint,omitempty"`
	Capacity work.Resources `cbor:"7,keyasint"`
	Life     Life           `cbor:"8,keyasint"`
	Draining bool           `cbor:"9,keyasint,omitempty"`
}

// Status is the state of a job.
type Status uint8

// States of a job, in the order in which it can take them.
const (
	Queued Status = iota
	Running
	Completed
	Failed
	Cancelled
)

// Over reports whether the job takes no further state.
func (s Status) Over() bool { return s >= Completed }

// String returns the state's name.
func (s Status) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[s]
}

// Outcome tells how a run ended.
type Outcome uint8

// Outcomes of a run.
const (
	Done    Outcome = iota + 1
	Faulted         // failed, by its own fault or the worker's
	Stopped         // by an order
	Lapsed          // the worker's lease ended
	Broken          // another member of the gang ended
	Alone           // the other members of the gang did not come
	Lost            // the worker's life ended, or the run never began
)

// String returns the outcome's name.
func (o Outcome) String() string {
	if o == 0 || int(o) > len(outcomes) {
		return "unknown"
	}
	return outcomes[o-1]
}

var outcomes = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}

// Task returns one task of the step.
func (s StepID) Task(index int) TaskID {
	return TaskID{Job: s.Job, Occurrence: s.Occurrence, Step: s.Step, Index: index}
}
