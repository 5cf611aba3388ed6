package state

import (
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Command is one entry of the replicated log. Exactly one of the pointer
// fields is set. Time is set by the leader that proposes the command, so that
// all replicas apply it with the same time.
type Command struct {
	Time    time.Time
	Request string // ID of the operator's or caller's request, to detect retries; empty if none
	Term    uint64 // leader's term, if the command depends on that leader's memory; zero if not, see Lead

	Team    *TeamChange
	Entry   *EntryChange
	Key     *KeyChange
	Submit  *Submit
	Cancel  *Cancel
	Join    *Join
	Depart  *Depart
	Drain   *Drain
	Round   *Round
	Ends    *Ends
	Intent  *Intent
	Settle  *Settle
	Expire  *Expire
	Session *Session
	Lead    *Lead
}

// Lead is the first command of a new leader, with its term in Command.Term.
// After it, commands with an earlier term are refused. Without it, a replica
// that was paused, lost its leadership and was elected again could still commit
// decisions based on its memory of the earlier term, for example that a lease
// had expired.
type Lead struct {
	// Holdings states that the leader records allotments in Session.Held before it
	// grants them. After a leader that does not, the holdings of all sessions
	// are unknown.
	Holdings bool
}

// TeamChange adds, changes or retires a team if its version is still Base.
// Base zero adds a team.
type TeamChange struct {
	Base uint64
	Team work.Team
}

// EntryChange adds, changes or retires a catalogue entry if its version is
// still Base. Base zero adds an entry.
type EntryChange struct {
	Base  uint64
	Entry work.Entry
}

// KeyChange grants or withdraws a key if its version is still Base.
type KeyChange struct {
	Base uint64
	Key  work.Key
}

// Submit adds a job with Count tasks. Only the fields of Job that a caller
// declares are read. The job counts against the limits of Job.Team, the team of
// the key.
type Submit struct {
	Job   work.Job
	Count uint32
}

// Cancel cancels jobs of one team, or of any team if Team is empty.
type Cancel struct {
	Team string
	Jobs []work.JobID
}

// Join registers a worker, or a new boot or shape of a known one. Boot numbers
// have no order, so a delayed poll of an old boot cannot be told from a poll of
// a new boot. A boot other than the current one is therefore refused until the
// current one has departed, unless Newer is set. The tasks of the replaced boot
// end as lost.
type Join struct {
	Worker work.Worker
	Newer  bool          // the boot is proven to be newer than the current one
	Unsent []work.TaskID // runs of the former boot whose start order was certainly not sent
}

// Depart ends a worker's membership because it left or its lease expired. Its
// tasks end as lost. The command is refused if the worker has a different boot
// number by now or has joined again after Joined.
type Depart struct {
	Worker string
	Boot   uint64
	Joined uint64 // WorkerState.Joined of the membership to end; zero for any
}

// Drain sets or clears a worker's drained flag.
type Drain struct {
	Worker  string
	Drained bool
}

// Round is the outcome of one scheduling round. Each decision is checked
// against capacity, limits, boot numbers and task states as it is applied.
type Round struct{ Decisions []work.Decision }

// Ends reports runs that have ended. An end whose token is not the task's
// current one is ignored.
type Ends struct{ Ends []work.End }

// Intent records that a non-idempotent request is about to be sent to an
// upstream. It is refused if an intent of the request is already recorded,
// unless that intent was settled as not run.
type Intent struct {
	Team     string
	Entry    string
	Identity string    // the caller's Idempotency-Key
	Digest   [32]byte  // SHA-256 of the request, to refuse a different request with the same key
	Holder   string    // entry VM that sends it
	Deadline time.Time // the record is dropped after this time
}

// Settle records the outcome of an intent. It is applied only for the holder
// that recorded the intent. A RanNo outcome that names the attempt allows a
// retry of the request to run. Without the attempt it does not, because a
// delayed duplicate of the command could settle a newer attempt of the same
// holder.
type Settle struct {
	Team     string
	Entry    string
	Identity string
	Holder   string
	Attempt  uint64 // Result.Attempt of the intent; zero if not known
	Ran      Ran
	Status   int // HTTP status of the answer
	Header   [][2]string
	Body     []byte
	Whole    bool // Body is the complete answer; false if it was too large to store
}

// Ran states whether a request has run.
type Ran string

const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Expire drops records whose deadline has passed at the command's time:
// intents, request results, finished jobs, departed workers and ended sessions.
type Expire struct{}

// Session records that a session of an entry VM began, is to get other allotments,
// or ended. From it a new leader knows what the entry VMs may hold that have not
// reported to it. A command with an earlier sequence than the recorded one is
// refused, because it could lower the record below a later grant, or end a
// session that the same process has begun again.
type Session struct {
	Entry    string // name of the entry VM
	Boot     uint64
	Sequence uint64 // of the latest renewal of the session
	Held     Holdings
	Ended    bool
}

// Code classifies the result of a command.
type Code string

const (
	OK         Code = "ok"
	Conflict   Code = "conflict"   // Base is not the current version, which is in Version; or another boot of the worker has not departed
	NotFound   Code = "not_found"  // no such object
	Denied     Code = "denied"     // the team may not use the entry, or the intent has another holder or a newer attempt
	Invalid    Code = "invalid"    // the command violates a rule; Message says which
	Infeasible Code = "infeasible" // the job can never run, because it fits no worker or exceeds a limit; Message says which
	Duplicate  Code = "duplicate"  // the intent is already recorded; Known holds the record
	Superseded Code = "superseded" // the command has an earlier term than the latest leader
	Mismatch   Code = "mismatch"   // the request ID or idempotency key was used for a different request
)

// Result is the outcome of a command, the same on every replica.
type Result struct {
	Code    Code
	Message string
	Version uint64     // catalogue version after the change, or the current version of the object on Conflict
	Job     work.JobID // of a submission
	Known   *Record    // record of an intent that was already recorded
	Rejects []Reject   // starts, stops and refusals of a round that failed a check
	Count   int        // jobs cancelled, or records expired
	Attempt uint64     // of an intent that was recorded; Settle names it
}

// Record is a recorded intent with its outcome.
type Record struct {
	Intent Intent
	Settle *Settle // nil until the outcome is recorded
}

// Reject names a start, stop or refusal of a round that failed a check.
type Reject struct {
	Decision int // index in Round.Decisions
	Task     work.TaskID
	Reason   string
}
