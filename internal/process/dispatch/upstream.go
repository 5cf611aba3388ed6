package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Result is the outcome of an order to a worker.
type Result uint8

// Results of an order.
const (
	Accepted    Result = iota + 1
	Refused            // the worker answered and did nothing; Answer.Reason says why
	Unanswered         // no answer; the worker may still carry out the order, now or later
	NotSent            // no connection was established, or nothing accepted the order; a network partition may look the same
	WrongWorker        // another worker answers at the address
	Undelivered        // the process that should have sent the order did not, or is lost; says nothing about the worker, which may still receive it unless Answer.Open is zero
)

// Reason is why a worker refused an order, or why there is no answer.
type Reason string

// Reasons of refusals, and the reason for which an order has no answer.
const (
	ReasonStaleLeader  Reason = "fence"  // the order comes from an earlier leader
	ReasonRunEnded     Reason = "old"    // this run, or a later one of the task, has already ended there
	ReasonLeaseExpired Reason = "late"   // the lease in the order has expired
	ReasonCapacity     Reason = "room"   // the task does not fit the free capacity
	ReasonTicket       Reason = "ticket" // the ticket is not valid
	ReasonOther        Reason = "other"
	ReasonBroken       Reason = "broken" // no answer: the connection was refused or ended early, as those to a process that ended do
)

// Answer is a worker's answer to an order.
type Answer struct {
	Result   Result
	Reason   Reason
	Copies   int             // of the order that were sent; zero means one
	Open     int             // of these, may have left, and have no answer yet; see Permit.Late
	Repeated bool            // another copy than the answered one may be carried out
	Clock    time.Time       // the worker's monotonic clock; zero if the answer does not state it
	Life     job.Incarnation // incarnation that answered; zero if the answer does not state it
	Error    error           // for the log, if there was no answer
}

// StartOrder starts a run.
type StartOrder struct {
	Task       job.TaskID
	Run        int
	Payload    string
	Lease      time.Time // end of the lease, on the worker's clock
	Fence      uint64
	Checkpoint string
	Ticket     string
}

// StopOrder stops a run.
type StopOrder struct {
	Task  job.TaskID
	Run   int
	Fence uint64
}

// ListOrder extends the lease of a worker and requests a listing.
type ListOrder struct {
	Lease        time.Time // end of the lease, on the worker's clock; zero leaves it unchanged
	Fence        uint64
	Acknowledged int64         // the worker may forget ends up to this number
	Wait         time.Duration // the answer may wait this long for the end of a run
	Repeat       time.Duration // another copy is sent after each such time without an answer
	Copies       int           // bounds the copies; zero means one
}

// ThrottleOrder limits a run to a percentage of its full speed.
type ThrottleOrder struct {
	Task    job.TaskID
	Run     int
	Percent int
	Fence   uint64
}

// ListedRun describes a run on a worker.
type ListedRun struct {
	_          struct{} `cbor:",toarray"`
	Task       job.TaskID
	Run        int
	Checkpoint string  // latest checkpoint
	Percent    int     // of its work that is done
	Usage      float64 // serving tasks: milliseconds of the slowest responses; others: processors in use
}

// EndedRun describes a run that ended on a worker.
type EndedRun struct {
	_          struct{} `cbor:",toarray"`
	Number     int64    // increases within the worker's incarnation
	Task       job.TaskID
	Run        int
	Outcome    job.Outcome
	Checkpoint string
}

// Unread is the run number of a row of a listing that cannot be read. The task that the row
// names, if any, may still run or have ended.
const Unread = -1

// Listing is a worker's report about its runs.
type Listing struct {
	_        struct{} `cbor:",toarray"`
	Running  []ListedRun
	Ended    []EndedRun // not acknowledged yet
	Complete bool       // Ended is not truncated
	// UnreadEnd is the lowest number that an end which cannot be read may have; zero if all were read.
	// Running has it as well.
	UnreadEnd int64
}

// MaxOrderAge is the age from which on no order is sent to a worker, such as one that waited
// for its turn. With the time for which the platform holds orders up, it stays below
// lateOrderTime.
const MaxOrderAge = 900 * time.Millisecond

// Permit says when an order may be sent.
type Permit struct {
	Timeout time.Duration // for the answer, from when the order is sent
	Valid   func() bool   // called right before each copy of the order is sent, which it must allow
	Single  bool          // only one copy of a start is sent
	// Late, if set, is called with each answer to a copy that is open when the order returns,
	// if it comes within Await from when the copy was to be sent, at most once for each copy. It
	// may be called before the order has returned to its caller.
	Late  func(Answer)
	Await time.Duration
}

// Answered reports whether the worker's address has answered the copy, so that it is not carried out
// later.
func (a Answer) Answered() bool {
	return a.Result == Accepted || a.Result == Refused || a.Result == WrongWorker
}

// Upstream sends orders to workers. An order may wait for its turn before it is
// sent.
type Upstream interface {
	Start(p Permit, w *job.Worker, o StartOrder) Answer
	Stop(p Permit, w *job.Worker, o StopOrder) Answer
	List(p Permit, w *job.Worker, o ListOrder) (Listing, Answer)
	Throttle(p Permit, w *job.Worker, o ThrottleOrder) Answer
	// Forget drops the connections to a worker whose incarnation has ended.
	Forget(w *job.Worker)
}

// timedUpstream logs how long workers take to answer orders. Listings are left
// out, because they wait on purpose.
type timedUpstream struct {
	Upstream
	events event.Log
}

func (m timedUpstream) logDuration(order string, sent time.Time, a Answer) Answer {
	m.events.Emit(event.OrderAnswered, zap.String("order", order), zap.Duration(order, time.Since(sent)), zap.Uint8("result", uint8(a.Result)))
	return a
}

// Start implements Upstream.
func (m timedUpstream) Start(p Permit, w *job.Worker, o StartOrder) Answer {
	return m.logDuration("start", time.Now(), m.Upstream.Start(p, w, o))
}

// Stop implements Upstream.
func (m timedUpstream) Stop(p Permit, w *job.Worker, o StopOrder) Answer {
	return m.logDuration("stop", time.Now(), m.Upstream.Stop(p, w, o))
}
