package work

import "time"

// Event is a change of the replicated state. Events are delivered in log order,
// and observers maintain their indexes from events alone. The pointers are
// valid only during the call and must not be written to.
type Event interface{ event() }

type (
	// TeamEvent reports that a team was added, changed or retired.
	TeamEvent struct{ Team *Team }
	// EntryEvent reports that a catalogue entry was added, changed or retired.
	EntryEvent struct{ Entry *Entry }
	// KeyEvent reports that a key was granted or withdrawn.
	KeyEvent struct{ Key *Key }
	// SubmitEvent reports a new job, all of whose tasks are queued.
	SubmitEvent struct{ Job *Job }
	// FinishEvent reports that no task of the job will start again. Tasks that
	// are still stopping end later, each with its own EndEvent.
	FinishEvent struct{ Job *Job }
	// StartEvent reports that a task start was committed.
	StartEvent struct {
		Job  *Job
		Task *Task
	}
	// StopEvent reports that a started task is to be stopped or checkpointed.
	// The task still holds its reservation.
	StopEvent struct {
		Job  *Job
		Task *Task
	}
	// EndEvent reports that a run of a task has ended and its reservation is
	// released.
	EndEvent struct {
		Job      *Job
		Task     *Task
		Worker   string
		Reserved Resources
		Outcome  Outcome
		Requeued bool // the task is queued again
		At       time.Time
	}
	// WorkerEvent reports that a worker joined, changed, was drained or departed.
	WorkerEvent struct{ Worker *Worker }
)

func (TeamEvent) event()   {}
func (EntryEvent) event()  {}
func (KeyEvent) event()    {}
func (SubmitEvent) event() {}
func (FinishEvent) event() {}
func (StartEvent) event()  {}
func (StopEvent) event()   {}
func (EndEvent) event()    {}
func (WorkerEvent) event() {}

// Decision is one outcome of a scheduling round. The starts of a gang are in
// one decision with Atomic set. Reason is written to the log.
type Decision struct {
	Starts []Start
	Stops  []Stop // preemptions
	Refuse []Refusal
	Atomic bool // apply all Starts or none
	Reason string
}
