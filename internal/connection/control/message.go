package control

import (
	"net/netip"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Methods that the leader serves to entry VMs.
const (
	MethodRenew   = "renew"   // Renewal, answered by Grant
	MethodPropose = "propose" // Proposal, answered by state.Result
	MethodQuery   = "query"   // Query, answered by Answer
	MethodForward = "forward" // sent between entry VMs; see package route
)

// Renewal is the periodic report of an entry VM to the leader. It states which
// allotments and runners the VM holds, so that a new leader can rebuild this
// state from the renewals.
//
// An entry VM has at most one renewal in flight. Once its view has expired,
// another entry VM may have received what it held. Until the next grant it
// therefore reports no list of runners, owns no runner, and holds only the
// allotments of its requests in flight.
type Renewal struct {
	Entry    string // name of the entry VM
	Boot     uint64 // random number chosen at each start of the process
	Sequence uint64 // increases with each renewal
	Peer     netip.AddrPort
	Zone     string
	Draining bool
	Version  uint64         // catalogue version held
	Term     uint64         // of the leader that sent the current list of runners; zero without a list
	Routes   uint64         // version of the current list of runners
	Teams    []TeamUse      // only teams with a nonzero amount
	Owned    []OwnedRunner  // runners that this VM owns
	Runners  []RunnerReport // announcements and leaves not yet answered by a grant
	Workers  []WorkerReport // polls not yet answered by a grant
}

// TeamUse is the use that an entry VM makes of a team's limit on requests in
// flight.
type TeamUse struct {
	Team   string
	Held   int64 // allotment held
	Used   int64 // requests in flight
	Wanted int64 // allotment that the current demand calls for
}

// OwnedRunner is a runner that the reporting VM owns.
type OwnedRunner struct {
	Runner RunnerID
	Used   int64 // slots in use
}

// RunnerID identifies a runner by its catalogue entry and its name.
type RunnerID struct {
	Entry string
	Name  string
}

// RunnerReport is an announcement or leave that an upstream sent to any entry VM.
type RunnerReport struct {
	Runner      RunnerID
	Address     netip.AddrPort
	Zone        string
	Team        string // of the upstream's key
	Boot        uint64 // random number chosen at each start of the runner
	Slots       int64
	Connections int64
	Busy        int64     // requests being handled, as counted by the runner
	Deadline    time.Time // end of the validity of the announcement
	Leaving     bool
}

// WorkerReport is one poll of a worker. Sequence increases with each poll within
// one boot of the worker.
type WorkerReport struct {
	Worker   work.Worker
	Sequence uint64
	Leaving  bool
	Echo     uint64       // latest WorkerOrders.Challenge received in this boot
	Running  []work.Usage // running tasks with their fencing tokens and resource use
	Ended    []work.End   // finished runs, repeated until acknowledged
}

// Grant is the answer to a Renewal. Its validity starts when the entry VM sent
// the renewal.
type Grant struct {
	Term      uint64
	Sequence  uint64 // of the renewal answered
	Catalogue Catalogue
	Teams     []TeamGrant
	Runners   []Route        // complete list if Full is set, else changes
	Full      bool           // Runners is the complete list
	Routes    uint64         // version of the list of runners after this grant
	Workers   []WorkerOrders // answers to the polls of this renewal, and later orders
}

// Catalogue contains the changes since the version in the renewal, or the
// complete catalogue if Whole is set. Objects are ordered by version.
type Catalogue struct {
	Version uint64
	Whole   bool
	Teams   []work.Team
	Entries []work.Entry
	Keys    []work.Key
}

// TeamGrant sets the allotment of an entry VM for a team. If it is below the
// reported use, the VM accepts no more requests of the team until enough of
// those in flight have ended.
type TeamGrant struct {
	Team    string
	Granted int64
}

// Route states which entry VM owns a runner.
type Route struct {
	Runner      RunnerID
	Owner       string // name of the entry VM; empty if the runner has no owner
	Address     netip.AddrPort
	Zone        string
	Slots       int64
	Connections int64
	Busy        int64 // requests of former owners that may still be running
	Gone        bool  // the runner left or its announcement expired
}

// WorkerOrders is the answer to the poll of one worker.
type WorkerOrders struct {
	Worker       string
	Boot         uint64
	Acknowledged uint64       // sequence number of the last poll that renewed the lease
	Starts       []StartOrder // committed starts not yet reported by the worker
	Stops        []work.Stop
	Throttles    []Throttle
	Ended        []work.End // committed ends, which the worker can stop reporting
	Rejoin       bool       // the worker has no lease and must send its full description with the next poll

	// Challenge is set together with Rejoin while another boot of the worker
	// holds a lease. A poll that echoes it proves that its boot is the newer one.
	// Without an echo the worker joins once the other lease has ended.
	Challenge uint64
}

// StartOrder instructs a worker to start a task under a fencing token.
type StartOrder struct {
	Task    work.TaskID
	Token   work.Token
	Entry   string
	Team    string
	Size    work.Resources // reserved resources, which the worker enforces as a limit
	Resume  bool           // continue from the last checkpoint
	Command []byte
}

// Throttle limits the resource use of a running task.
type Throttle struct {
	Task  work.TaskID
	Token work.Token
	Size  work.Resources
}

// Proposal asks the leader to commit a command.
type Proposal struct {
	Command state.Command
	Resent  bool // an earlier copy may be committed, now or later
}

// Query asks the leader for a list or an explanation.
type Query struct {
	Kind string // one of the Query constants
	Name string // of the requested object; empty for all
	Job  work.JobID
	Team string // restricts the answer to a team; empty for operators
	// Identity is the idempotency key of a request to the service Name.
	Identity string
}

// Kinds of Query.
const (
	QueryCatalogue = "catalogue"
	QueryWorkers   = "workers"
	QueryUpstreams = "upstreams"
	QueryQueues    = "queues"
	QueryStatus    = "status"
	QueryIntent    = "intent"
	QueryJob       = "job"
	QueryJobs      = "jobs"
	QueryExplain   = "explain"
)

// Answer is the answer to a Query. Besides Found, only the field for the kind of
// the query is set.
type Answer struct {
	Found     bool
	Catalogue Catalogue
	Workers   []WorkerView
	Upstreams []Route
	Queues    []QueueView
	Status    *StatusView
	Jobs      []work.Job
	Text      string
	Known     *state.Record // the record of an intent
}

// WorkerView is the status of a worker as shown to operators.
type WorkerView struct {
	Worker   work.Worker
	Reserved work.Resources
	Tasks    int
	Aside    bool      // quarantined after failures
	Lease    time.Time // end of its lease on the clock of the leader
}

// QueueView is the load of a catalogue entry.
type QueueView struct {
	Entry   string
	Team    string
	Queued  int
	Running int
	Oldest  time.Time // submission time of the job that has waited longest
}

// StatusView is the status of the control group and the entry VMs.
type StatusView struct {
	Leader    string
	Term      uint64
	Applied   uint64
	Catalogue uint64
	Members   []MemberView
	Entries   []EntryView
}

// MemberView is a replica of the control group.
type MemberView struct {
	Name    string
	Disk    uint64 // disk identity
	Voter   bool
	Matched uint64 // last log index known to be stored on it
	Live    bool   // it answers the leader
}

// EntryView is the status of an entry VM that has a session.
type EntryView struct {
	Name     string
	Zone     string
	Draining bool
	Version  uint64 // version of its catalogue
	Deadline time.Time
}
