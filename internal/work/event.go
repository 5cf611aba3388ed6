package work

import "time"

// Event is a change of the replicated state, in log order. Observers keep
// their indexes from events alone. The pointers are valid only during the call
// and must not be written to.
type Event interface{ event() }

type (
	// TeamEvent tells that a team was added, changed or retired.
	TeamEvent struct{ Team *Team }
	// EntryEvent tells that a catalogue entry was added, changed or retired.
	EntryEvent struct{ Entry *Entry }
	// KeyEvent tells that a key was granted or withdrawn.
	KeyEvent struct{ Key *Key }
	// SubmitEvent tells of a new job; all its tasks are queued.
	SubmitEvent struct{ Job *Job }
	// FinishEvent tells that no task of the job will start again. Tasks that
	// are still stopping end later, each with its EndEvent.
	FinishEvent struct{ Job *Job }
	// StartEvent tells that a task start was committed.
	StartEvent struct {
		Job  *Job
		Task *Task
	}
	// StopEvent tells that a started task is to be stopped or checkpointed. It
	// still holds its reservation.
	StopEvent struct {
		Job  *Job
		Task *Task
	}
	// EndEvent tells that the run of a task is over and its reservation free.
	EndEvent struct {
		Job      *Job
		Task     *Task
		Worker   string
		Reserved Resources
		Outcome  Outcome
		Requeued bool // the task is queued again
		At       time.Time
	}
	// WorkerEvent tells that a worker joined, changed, was drained or went.
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

// Decision is one outcome of a scheduling round, with the reason for its log
// line. The starts of one gang stand in one decision with Atomic set.
type Decision struct {
	Starts []Start
	Stops  []Stop // preemptions
	Refuse []Refusal
	Atomic bool // apply all Starts or none
	Reason string
}
