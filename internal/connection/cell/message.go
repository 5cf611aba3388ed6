package cell

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Methods that processes of a cell serve to each other, with the process that
// serves each.
const (
	MethodWho         = "who"         // any control process: return the leader
	MethodPing        = "ping"        // leader: heartbeat of a process
	MethodCall        = "call"        // leader: a caller's call
	MethodApply       = "apply"       // leader: apply an operator's catalogue
	MethodRead        = "read"        // leader: return the catalogue in effect
	MethodReports     = "reports"     // leader: status reports of workers
	MethodLeave       = "leave"       // leader: a worker is shutting down
	MethodMaintain    = "maintain"    // leader: an operator's maintenance wave
	MethodWave        = "wave"        // leader: return the progress of a wave
	MethodEvacuate    = "evacuate"    // leader: evacuate an availability zone, or revoke that
	MethodEvacuations = "evacuations" // leader: return the evacuated zones
	MethodAdvise      = "advise"      // any process: query the advice service on behalf of the leader
	MethodRelay       = "relay"       // any process: forward a call to the leader
	MethodMark        = "mark"        // any process: return its reading of the leader's clock
)

// CodeNotLeader is the code of the peer.RemoteError that a process returns if
// it is not the leader. The message is the name of the leader, or empty if
// unknown.
const CodeNotLeader = "not_leader"

// CodeUnsettled is the code of the peer.RemoteError that a process returns if
// it was the leader when a call arrived but lost leadership before the outcome
// was known. The call may have been executed.
const CodeUnsettled = "unsettled"

// CodeExpired is the code of the peer.RemoteError that a leader returns if a call
// arrived too late. The call was not executed.
const CodeExpired = "expired"

// Who asks a control process for the leader.
type Who struct{}

// Leader is the answer to Who, Ping and MethodMark.
type Leader struct {
	Name    string   `cbor:"1,keyasint,omitempty"` // empty if unknown
	Members []string `cbor:"2,keyasint,omitempty"` // control processes
	Linked  []string `cbor:"3,keyasint,omitempty"` // processes that reached the leader recently
	Mark    Mark     `cbor:"4,keyasint"`           // of the leader's clock, if it answers itself
}

// Relay is a call to the leader from a process that cannot reach it.
type Relay struct {
	Method string          `cbor:"1,keyasint"`
	Body   cbor.RawMessage `cbor:"2,keyasint"`
}

// Ping reports that a process is running and can query the advice service.
type Ping struct {
	Zone string `cbor:"1,keyasint,omitempty"`
}

// Verb is the operation of a call.
type Verb uint8

// Operations of a call.
const (
	Submit Verb = iota + 1
	Status
	Cancel
	Pending // Status of earlier builds for a path with a slash at its end
)

// Call is a caller's call about a job or a queue.
type Call struct {
	Request string    `cbor:"1,keyasint"` // ID for the logs
	Verb    Verb      `cbor:"2,keyasint"`
	Host    string    `cbor:"3,keyasint"`
	Path    string    `cbor:"4,keyasint"`           // path of the queue, with the job's ID if any
	Key     string    `cbor:"5,keyasint,omitempty"` // empty if the caller presented none
	Job     *job.Job  `cbor:"6,keyasint,omitempty"` // for Submit, without ID and path
	Resent  bool      `cbor:"7,keyasint,omitempty"` // an earlier copy of this call may have been carried out
	Stamp   Stamp     `cbor:"8,keyasint"`
	Arrived time.Time `cbor:"-"` // earliest time, on the boot-time clock, at which it may have arrived here; zero for now
}

// Code is the outcome of a call.
type Code uint8

// Outcomes of a call.
const (
	OK          Code = iota + 1
	NoCatalogue      // no catalogue has been applied yet
	NoQueue          // no queue at the path
	BadKey           // the key is unknown or missing
	Invalid          // the request violates a rule, which Message states
	Busy             // not accepted and will not run; retry after Wait
	NoJob            // no job with the ID
	Unclear          // refused, but an earlier copy of the call was accepted
	Withdrawn        // not accepted, since the job was cancelled before
)

// Verdict is the answer to a Call.
type Verdict struct {
	Code    Code          `cbor:"1,keyasint"`
	Message string        `cbor:"2,keyasint,omitempty"`
	State   job.Status    `cbor:"3,keyasint,omitempty"`
	Pending int           `cbor:"4,keyasint,omitempty"` // if Queue
	Wait    time.Duration `cbor:"5,keyasint,omitempty"`
	Queue   bool          `cbor:"6,keyasint,omitempty"` // the path is that of a queue, not of a job
	Workers int           `cbor:"7,keyasint,omitempty"` // known in the zone of an Evacuation
}

// Document is the catalogue as sent by the operator.
type Document struct {
	Version uint64 `cbor:"1,keyasint"`
	Body    []byte `cbor:"2,keyasint"` // empty if none has been applied yet
}

// Report is the status report of a worker.
type Report struct {
	Worker    job.Worker `cbor:"1,keyasint"`
	Sequence  int64      `cbor:"2,keyasint"`           // increases within one incarnation of the worker
	Clock     time.Time  `cbor:"3,keyasint"`           // the worker's monotonic clock at the time of the report
	Remaining int64      `cbor:"4,keyasint"`           // minimum time in milliseconds that a draining worker keeps running
	Cold      int64      `cbor:"5,keyasint,omitempty"` // time in milliseconds for which the worker is still slow after its start
}

// MaxCold is the longest time in milliseconds for which a worker may be cold. One that states
// more has a fault, and would be cold for as long as it runs.
const MaxCold = 3_600_000

// maxSequence is the largest number of a report, some centuries of them. A later one of the
// same incarnation would look old beside a larger number.
const maxSequence = 1 << 33

// Check returns an error if the report cannot be of a worker.
func (r *Report) Check() error {
	if err := r.Worker.Check(); err != nil {
		return err
	}
	clock := int64(0)
	if !r.Clock.IsZero() {
		clock = r.Clock.UnixMilli()
	}
	if r.Sequence <= 0 || r.Sequence > maxSequence || clock < 0 || clock > job.MaxStamp {
		return errors.Newf("worker %q: report %d with clock %d", r.Worker.ID, r.Sequence, clock)
	}
	return nil
}

// Receipt is the answer to a Report.
type Receipt struct {
	Leader string
	Spread bool // further reports go to the process that has passed this one on, not to the leader
}

// Receipts is the answer to a call with several reports.
type Receipts struct {
	Leader string `cbor:"1,keyasint"`
	Spread bool   `cbor:"2,keyasint,omitempty"` // see Receipt
	Taken  []bool `cbor:"3,keyasint"`           // for each report, whether it was taken
}

// Leave reports that a worker is shutting down.
type Leave struct {
	Worker string          `cbor:"1,keyasint"`
	Life   job.Incarnation `cbor:"2,keyasint,omitempty"` // incarnation of the worker; zero if not stated
}

// AdviceQuery is a query to the advice service: which workers may run a step.
type AdviceQuery struct {
	Step    string   `cbor:"1,keyasint"`
	Workers []string `cbor:"2,keyasint"`
}

// Advice is the answer to an AdviceQuery, with a ticket for each permitted worker.
type Advice struct {
	Tickets map[string]string `cbor:"1,keyasint"`
	Valid   time.Duration     `cbor:"2,keyasint"`           // validity of the tickets; zero if not stated
	Unread  bool              `cbor:"3,keyasint,omitempty"` // parts of the answer could not be read: workers without a ticket may be permitted
}

// String returns the name of the outcome.
func (c Code) String() string {
	if c == 0 || int(c) > len(codeNames) {
		return "unknown"
	}
	return codeNames[c-1]
}

var codeNames = [...]string{"ok", "unready", "no queue", "bad key", "invalid", "busy", "no job", "unclear", "withdrawn"}
