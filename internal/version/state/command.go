package state

import (
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Command is one entry of the replicated log. Exactly one of the pointer
// fields is set. Time is stamped by the leader that proposes it, so that all
// replicas apply it alike.
type Command struct {
	Time    time.Time
	Request string // identifies an operator's or caller's request for resends; empty if none
	Term    uint64 // term whose leader's memory the command depends on; zero if none, see Lead

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

// Lead is the first command of a leader, with its term in Command.Term. From
// then on commands with an earlier term are refused. Without it a replica that
// is paused, deposed and elected again could still commit what it decided on
// what it remembered of its earlier term, such as that a lease had ended.
type Lead struct{}

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

// Submit adds a job. Only the declared fields of Job are read. Count is the
// number of its tasks. The job is charged to Job.Team, the team of the key.
type Submit struct {
	Job   work.Job
	Count uint32
}

// Cancel cancels jobs of one team, or of any team if Team is empty.
type Cancel struct {
	Team string
	Jobs []work.JobID
}

// Join announces a worker, or a new boot or shape of a known one. Boot numbers
// have no order, so that a late poll of an old boot looks like one of a new
// boot. Another boot than the current one is therefore refused until the current
// one has departed, unless Newer is set, which ends its tasks as lost.
type Join struct {
	Worker work.Worker
	Newer  bool // it is proven that the boot is newer than the current one
}

// Depart ends a worker's membership, because it left or its lease ended. Its
// tasks end as lost. It is refused if the worker has another boot number by now
// or has joined again since Joined.
type Depart struct {
	Worker string
	Boot   uint64
	Joined uint64 // WorkerState.Joined of the membership to end; zero for any
}

// Drain sets or clears a worker's drained mark.
type Drain struct {
	Worker  string
	Drained bool
}

// Round is the outcome of one scheduling round. Each decision is checked
// against capacity, limits, boot numbers and task states as it is applied.
type Round struct{ Decisions []work.Decision }

// Ends reports runs that are over. An end whose token is not the task's
// current one is ignored.
type Ends struct{ Ends []work.End }

// Intent records that a non-idempotent request is about to be sent to an
// upstream. It is refused if the request is known already.
type Intent struct {
	Team     string
	Entry    string
	Identity string    // the caller's Idempotency-Key
	Digest   [32]byte  // SHA-256 of the request, to refuse another request under the same key
	Holder   string    // entry VM that sends it
	Deadline time.Time // the record is dropped after this time
}

// Settle records the outcome of an intent. It is applied only for the holder
// that recorded the intent. An outcome of RanNo that carries the attempt lets
// a resend of the request run; without the attempt it does not, because a late
// copy of the command could then settle a newer attempt of the same holder.
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
	Whole    bool // Body is the whole answer; false if it was too large to keep
}

// Ran tells whether a request has run.
type Ran string

const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Expire drops records whose deadline has passed at the command's time:
// intents, request results, ended jobs, workers long gone and ended sessions.
type Expire struct{}

// Session records that a session of an entry VM began or ended. A new leader
// learns from it whose allotments it has not heard of yet.
type Session struct {
	Entry string // name of the entry VM
	Boot  uint64
	Ended bool
}

// Code classifies the result of a command.
type Code string

const (
	OK         Code = "ok"
	Conflict   Code = "conflict"   // the version is not the base; Version names the current one
	NotFound   Code = "not_found"  // no such object
	Denied     Code = "denied"     // the team may not use the entry
	Invalid    Code = "invalid"    // the command breaks a rule; Message says which
	Infeasible Code = "infeasible" // the job fits no worker or limit; Message says why
	Duplicate  Code = "duplicate"  // the intent is known; Known holds what is recorded
	Superseded Code = "superseded" // the command is of an earlier leader
	Mismatch   Code = "mismatch"   // the same idempotency key came with another request
)

// Result is the outcome of a command, the same on every replica.
type Result struct {
	Code    Code
	Message string
	Version uint64     // catalogue version after the change, or the current version of the object on Conflict
	Job     work.JobID // of a submission
	Known   *Record    // of an intent that is known already
	Rejects []Reject   // decisions of a round that failed a check
	Count   int        // jobs cancelled, or records expired
	Attempt uint64     // of an intent that was recorded; Settle repeats it
}

// Record is what is kept of an intent.
type Record struct {
	Intent Intent
	Settle *Settle // nil while the outcome is not known
}

// Reject names a decision of a round that failed a check.
type Reject struct {
	Decision int
	Task     work.TaskID
	Reason   string
}
