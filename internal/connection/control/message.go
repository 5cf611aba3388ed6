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
	MethodForward = "forward" // between entry VMs, see package route
)

// Renewal is an entry VM's periodic batch to the leader. It reports what the
// VM holds; a new leader rebuilds its view of holdings from these reports.
//
// An entry VM sends a renewal only after the call of the former one is over. Once
// its view has expired it reports no list of runners, owns no runner, and holds
// only the allotments of its requests in flight, until a grant says otherwise:
// another entry VM may have got the rest.
type Renewal struct {
	Entry    string // name of the entry VM
	Boot     uint64 // random number of the process's start
	Sequence uint64 // grows with each renewal
	Peer     netip.AddrPort
	Zone     string
	Draining bool
	Version  uint64         // catalogue version held
	Term     uint64         // of the leader that sent the list of runners held; zero if none is held
	Routes   uint64         // version of the list of runners held
	Teams    []TeamUse      // only teams with anything held, used or wanted
	Owned    []OwnedRunner  // runners this VM owns
	Runners  []RunnerReport // announcements and leaves received since the last renewal
	Workers  []WorkerReport // polls received since the last renewal
}

// TeamUse is an entry VM's part of a team's limit on requests in flight.
type TeamUse struct {
	Team   string
	Held   int64 // allotment held
	Used   int64 // requests in flight
	Wanted int64 // allotment it could use now
}

// OwnedRunner is a runner that the reporting VM owns.
type OwnedRunner struct {
	Runner RunnerID
	Used   int64 // slots taken
}

// RunnerID names a runner within its catalogue entry.
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
	Boot        uint64 // random number of the runner's start
	Slots       int64
	Connections int64
	Busy        int64     // requests it is handling, by its own count
	Deadline    time.Time // the announcement ends then
	Leaving     bool
}

// WorkerReport is one poll of a worker. Sequence grows with each poll of a boot.
type WorkerReport struct {
	Worker   work.Worker
	Sequence uint64
	Leaving  bool
	Echo     uint64       // latest WorkerOrders.Challenge that the worker got in this boot
	Running  []work.Usage // tasks that run on it, with their tokens and use
	Ended    []work.End   // runs that are over, repeated until acknowledged
}

// Grant answers a Renewal. Its validity is counted from when the entry VM sent
// the renewal.
type Grant struct {
	Term      uint64
	Sequence  uint64 // of the renewal answered
	Catalogue Catalogue
	Teams     []TeamGrant
	Runners   []Route        // complete list if RunnersFull, else changes
	Full      bool           // Runners is the complete list
	Routes    uint64         // version of the list of runners after this grant
	Workers   []WorkerOrders // for polls of this renewal and orders since
}

// Catalogue carries changes after the renewal's version, or the whole
// catalogue if Whole is set. Objects come in the order of their versions.
type Catalogue struct {
	Version uint64
	Whole   bool
	Teams   []work.Team
	Entries []work.Entry
	Keys    []work.Key
}

// TeamGrant sets the allotment of an entry VM for a team. A grant below the use
// reported asks the VM to shrink as its requests end.
type TeamGrant struct {
	Team    string
	Granted int64
}

// Route tells which entry VM owns a runner.
type Route struct {
	Runner      RunnerID
	Owner       string // entry VM; empty while the runner has no owner
	Address     netip.AddrPort
	Zone        string
	Slots       int64
	Connections int64
	Busy        int64 // requests of former owners that the runner still handles
	Gone        bool  // left or its announcement ended
}

// WorkerOrders answers one worker's poll.
type WorkerOrders struct {
	Worker       string
	Boot         uint64
	Acknowledged uint64       // poll sequence up to which the lease is renewed
	Starts       []StartOrder // committed starts that the worker has not reported yet
	Stops        []work.Stop
	Throttles    []Throttle
	Ended        []work.End // ends that are committed; the worker may forget them
	Rejoin       bool       // the worker has no lease; it must poll again with its full shape

	// Challenge comes with Rejoin while another boot of the worker has a lease.
	// A poll that echoes it proves that its boot is the newer one. Without an
	// echo the worker joins once the other lease has ended.
	Challenge uint64
}

// StartOrder tells a worker to start a task under a fencing token.
type StartOrder struct {
	Task    work.TaskID
	Token   work.Token
	Entry   string
	Team    string
	Size    work.Resources // reserved; enforced by the worker as a cap
	Resume  bool           // from the last checkpoint
	Command []byte
}

// Throttle caps the use of a running task.
type Throttle struct {
	Task  work.TaskID
	Token work.Token
	Size  work.Resources
}

// Proposal asks the leader to commit a command.
type Proposal struct{ Command state.Command }

// Query asks the leader for a list or an explanation.
type Query struct {
	Kind string // one of the Query constants
	Name string // of the object asked for; empty for all
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

// Answer answers a Query. Only the field of the kind asked for is set.
type Answer struct {
	Found     bool
	Catalogue Catalogue
	Workers   []WorkerView
	Upstreams []Route
	Queues    []QueueView
	Status    *StatusView
	Jobs      []work.Job
	Text      string
	Known     *state.Record // of an intent
}

// WorkerView is a worker as operators see it.
type WorkerView struct {
	Worker   work.Worker
	Reserved work.Resources
	Tasks    int
	Aside    bool      // set aside after failures
	Lease    time.Time // end of its lease by the leader's clock
}

// QueueView is the load of a catalogue entry.
type QueueView struct {
	Entry   string
	Team    string
	Queued  int
	Running int
	Oldest  time.Time // submission of the job that has waited longest
}

// StatusView is the state of the control group and its entry VMs.
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
}

// EntryView is an entry VM with a session.
type EntryView struct {
	Name     string
	Zone     string
	Draining bool
	Version  uint64 // catalogue version it holds
	Deadline time.Time
}
