package cell

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Methods that processes of a cell serve to each other.
const (
	MethodWho    = "who"    // any control process: who leads
	MethodPing   = "ping"   // leader: this process is there
	MethodCall   = "call"   // leader: a caller's call
	MethodApply  = "apply"  // leader: an operator's catalogue
	MethodRead   = "read"   // leader: the catalogue in force
	MethodReport = "report" // leader: a worker's report about itself
	MethodLeave  = "leave"  // leader: a worker ends
	MethodUpkeep = "upkeep" // leader: an operator's wave of upkeep
	MethodWave   = "wave"   // leader: how far a wave is
	MethodAdvise = "advise" // any process: ask the advice service for the leader
	MethodRelay  = "relay"  // any process: pass a call on to the leader
)

// CodeNotLeader is the code of a peer.Remote error of a process that does not
// lead. Its message names the leader if that is known.
const CodeNotLeader = "not_leader"

// CodeUnsettled is the code of a peer.Remote error of a process that led when a
// call came and not any more when its outcome was due: the call may have been
// carried out.
const CodeUnsettled = "unsettled"

// Who asks a control process for the leader.
type Who struct{}

// Leader is the answer to Who and Ping.
type Leader struct {
	Name    string   `cbor:"1,keyasint,omitempty"` // empty if unknown
	Members []string `cbor:"2,keyasint,omitempty"` // control processes
	Linked  []string `cbor:"3,keyasint,omitempty"` // processes that reached the leader lately
}

// Relay is a call to the leader of a process that cannot reach it.
type Relay struct {
	Method string          `cbor:"1,keyasint"`
	Body   cbor.RawMessage `cbor:"2,keyasint"`
}

// Ping tells the leader that a process is there and can ask for advice.
type Ping struct {
	Zone string `cbor:"1,keyasint,omitempty"`
}

// Verb tells what a call wants.
type Verb uint8

// Verbs of a call.
const (
	Submit Verb = iota + 1
	Status
	Cancel
	Pending
)

// Call is a caller's call about a job or a queue.
type Call struct {
	Request string   `cbor:"1,keyasint"` // id for the logs
	Verb    Verb     `cbor:"2,keyasint"`
	Host    string   `cbor:"3,keyasint"`
	Path    string   `cbor:"4,keyasint"`           // place of the queue and the job's ID
	Key     string   `cbor:"5,keyasint,omitempty"` // empty if the caller presented none
	Job     *job.Job `cbor:"6,keyasint,omitempty"` // of a submission, without ID and place
}

// Code is the outcome of a call.
type Code uint8

// Outcomes.
const (
	OK      Code = iota + 1
	Unready      // there is no catalogue yet
	NoQueue      // no queue at the place
	BadKey       // the key is unknown or missing
	Invalid      // what was sent breaks a rule; Message says which
	Busy         // not accepted and never runs; Wait says when to come back
	NoJob        // no job has the ID
)

// Verdict answers a Call.
type Verdict struct {
	Code    Code          `cbor:"1,keyasint"`
	Message string        `cbor:"2,keyasint,omitempty"`
	State   job.Status    `cbor:"3,keyasint,omitempty"`
	Pending int           `cbor:"4,keyasint,omitempty"`
	Wait    time.Duration `cbor:"5,keyasint,omitempty"`
}

// Document is the catalogue as the operator sent it.
type Document struct {
	Version uint64 `cbor:"1,keyasint"`
	Body    []byte `cbor:"2,keyasint"` // empty if there is none yet
}

// Report is what a worker says of itself.
type Report struct {
	Worker    job.Worker `cbor:"1,keyasint"`
	Sequence  int64      `cbor:"2,keyasint"` // rises within a life
	Clock     time.Time  `cbor:"3,keyasint"` // the worker's steady clock as of the report
	Remaining int64      `cbor:"4,keyasint"` // milliseconds that a draining worker stays at least
}

// Receipt answers a Report.
type Receipt struct {
	Leader string `cbor:"1,keyasint"`
}

// Leave tells that a worker ends.
type Leave struct {
	Worker string   `cbor:"1,keyasint"`
	Life   job.Life `cbor:"2,keyasint,omitempty"` // zero if the worker did not say
}

// Question asks the advice service which workers may run a step.
type Question struct {
	Step    string   `cbor:"1,keyasint"`
	Workers []string `cbor:"2,keyasint"`
}

// Advice is the answer: a ticket for each worker that may.
type Advice struct {
	Tickets map[string]string `cbor:"1,keyasint"`
	Valid   time.Duration     `cbor:"2,keyasint"` // how long the tickets are good for; zero if the answer does not say
}

// Wave is a set of VMs that need upkeep.
type Wave struct {
	Number   int64     `cbor:"1,keyasint"`
	Machines []string  `cbor:"2,keyasint"`
	Deadline time.Time `cbor:"3,keyasint"`
	Limit    int       `cbor:"4,keyasint"` // most of them down at a time
}

// String returns the outcome's name.
func (c Code) String() string {
	if c == 0 || int(c) > len(codes) {
		return "unknown"
	}
	return codes[c-1]
}

var codes = [...]string{"ok", "unready", "no queue", "bad key", "invalid", "busy", "no job"}
