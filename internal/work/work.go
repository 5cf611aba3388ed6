// Package work defines the data types shared by the placement policies, the
// replicated state machine and the leader.
//
// The types are plain data without locks or I/O, so that the state machine and
// the placement policies stay deterministic.
//
// # Usage
//
//	size := work.Resources{Processors: 2000, Memory: 4 << 30}
//	if size.Fits(worker.Free()) { ... }
//
// Sizes are in millicores, bytes and whole accelerators. Times are absolute;
// Job.Finish shows how a declared run time is stored.
package work

import (
	"net/netip"
	"time"
)

// Class determines how the tasks of an entry are placed and when they end.
type Class string

const (
	// Service tasks run until they are cancelled and are spread over
	// availability zones and racks. Callers send requests to their runners.
	Service Class = "service"
	// Batch tasks run to completion, independently of each other.
	Batch Class = "batch"
	// Gang tasks of one job all start together or not at all.
	Gang Class = "gang"
)

// JobID identifies a job. It is assigned from the log index of the submission
// and is never reused.
type JobID uint64

// TaskID identifies one task of a job.
type TaskID struct {
	Job   JobID
	Index uint32
}

// Token is the fencing token of a task start: the log index at which the start
// was committed. A later start of the same task has a greater token.
type Token uint64

// Team owns entries and keys. Customers know a team as a workspace.
type Team struct {
	Name     string
	Weight   int64     // share of a fully used pool, relative to the other teams; at least 1
	Limit    Resources // upper limit on the sizes reserved by running tasks; zero fields mean no limit
	Tasks    int64     // upper limit on running tasks; zero means no limit
	Requests int64     // upper limit on service requests in flight over all entry VMs; zero means no limit
	Version  uint64    // catalogue version of the last change
	Retired  bool
}

// Entry is a catalogue entry: a service or queue to which callers send work.
type Entry struct {
	Name       string
	Owner      string // team
	Class      Class
	Open       bool      // accepts work from every team, not only from the owner
	Idempotent bool      // service requests may be executed more than once
	Maximum    Resources // largest size that a task may declare; zero fields mean no limit
	Tasks      int64     // upper limit on running tasks of this entry; zero means no limit
	Body       int64     // largest request body in bytes; zero means DefaultBody
	Version    uint64    // catalogue version of the last change
	Retired    bool
}

// DefaultBody is the request body limit, in bytes, of entries that set none.
const DefaultBody = 1 << 20

// Role determines what a key may be used for.
type Role string

const (
	CallerRole   Role = "caller"   // sends requests and jobs for its team
	UpstreamRole Role = "upstream" // announces runners of its team's entries
	WorkerRole   Role = "worker"   // announces workers; an empty team means the shared pool
	OperatorRole Role = "operator" // changes the catalogue
)

// Key grants a role in a team. Only a digest of its secret is stored.
type Key struct {
	Name      string
	Team      string
	Role      Role
	Digest    [32]byte // SHA-256 of the secret
	Version   uint64   // catalogue version of the last change
	Withdrawn bool
}

// JobState is the state of a job as a whole.
type JobState string

const (
	JobQueued    JobState = "queued"    // no task has started yet
	JobRunning   JobState = "running"   // at least one task has started
	JobSucceeded JobState = "succeeded" // every task ended without an error
	JobFailed    JobState = "failed"    // a task failed too often, or the job is infeasible
	JobCancelled JobState = "cancelled"
)

// Job is a submitted unit of work: one or more tasks of the same size.
type Job struct {
	ID        JobID
	Entry     string
	Team      string // the team of the key that submitted it
	Class     Class
	Urgent    bool
	Size      Resources // declared size of each task
	Tasks     []Task
	Command   []byte    // passed to the worker without being interpreted
	Submitted time.Time // set by the leader
	Finish    time.Time // Submitted plus the declared run time of a task; zero if none was declared
	State     JobState
	Reason    string // why a job failed or was refused
	Failures  uint32 // failed runs of all tasks together
	Ended     time.Time
}

// TaskState is the state of a task.
type TaskState string

const (
	TaskQueued   TaskState = "queued"
	TaskStarted  TaskState = "started"  // start committed; the worker may or may not have it yet
	TaskStopping TaskState = "stopping" // to be stopped or checkpointed; still counts as running
	TaskEnded    TaskState = "ended"
)

// Task is the unit of placement: one part of a job, which runs on one worker.
type Task struct {
	ID         TaskID
	State      TaskState
	Worker     string    // where it runs; empty unless started or stopping
	Token      Token     // of the current or last start
	Reserved   Resources // reserved on the worker for the current start
	Started    time.Time
	Checkpoint bool // a checkpoint exists, from which the next start resumes
	Stop       StopMode
	Outcome    Outcome
	Attempts   uint32 // starts so far
}

// StopMode determines how a started task is ended.
type StopMode string

const (
	StopNone       StopMode = ""
	StopCheckpoint StopMode = "checkpoint" // save a checkpoint, then end; the task is queued again
	StopKill       StopMode = "stop"       // end immediately
)

// Outcome is how a run of a task ended.
type Outcome string

const (
	OutcomeNone         Outcome = ""
	OutcomeSucceeded    Outcome = "succeeded"
	OutcomeFailed       Outcome = "failed"
	OutcomeOversized    Outcome = "oversized"    // needed more resources than were reserved
	OutcomeCheckpointed Outcome = "checkpointed" // preempted after saving a checkpoint
	OutcomeStopped      Outcome = "stopped"      // ended by order of the leader
	OutcomeLost         Outcome = "lost"         // the worker's lease expired, or the worker rebooted
)

// Worker is a VM that runs tasks.
type Worker struct {
	Name        string
	Address     netip.AddrPort
	Zone        string // availability zone
	Rack        string
	Team        string // takes only this team's work and work of open entries; empty takes all
	Boot        uint64 // boot number: random, drawn at each boot of the VM
	Capacity    Resources
	Accelerator string // model of its accelerators
	Drained     bool   // gets no new tasks
	Gone        bool   // departed: left, or its lease expired
}

// Start is a decision to start a task and, once committed, the record of it.
type Start struct {
	Task     TaskID
	Worker   string
	Boot     uint64
	Reserved Resources
}

// End reports that the run of a task under the given token has ended.
type End struct {
	Task    TaskID
	Token   Token
	Outcome Outcome
}

// Stop requests that a started task end.
type Stop struct {
	Task  TaskID
	Token Token
	Mode  StopMode
}

// Refusal ends a job that is infeasible or fails on healthy workers.
type Refusal struct {
	Job    JobID
	Reason string
}

// Usage is a worker's report of the resources that a running task used at the
// time At, which may lie some seconds back.
type Usage struct {
	Task  TaskID
	Token Token
	Used  Resources
	At    time.Time
}
