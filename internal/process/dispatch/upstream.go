package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Result tells what became of an order to a worker.
type Result uint8

// Results of an order.
const (
	Accepted Result = iota + 1
	Refused         // the worker answered and did nothing; Answer.Reason says why
	Unclear         // no answer; the worker may carry the order out, now or later
	NotSent         // no connection could be opened, or nothing accepted it; a cut may look like that too
	Stranger        // another worker answers at the address
)

// Reason tells why a worker refused an order.
type Reason string

// Reasons of refusals.
const (
	ReasonFence  Reason = "fence"  // the order is of an earlier leader
	ReasonOld    Reason = "old"    // this run, or a later one, has ended there
	ReasonLate   Reason = "late"   // the lease that came with the order has ended
	ReasonRoom   Reason = "room"   // it does not fit
	ReasonTicket Reason = "ticket" // the ticket is not valid
	ReasonOther  Reason = "other"
)

// Answer is a worker's answer to an order.
type Answer struct {
	Result Result
	Reason Reason
	Clock  time.Time // the worker's steady clock; zero if it was not stated
	Life   job.Life  // of the worker that answered; zero if it was not stated
	Error  error     // detail for the log, if there was no answer
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

// ListOrder extends the lease and asks for a listing.
type ListOrder struct {
	Lease  time.Time // end of the lease, on the worker's clock; zero leaves it as it is
	Fence  uint64
	Cursor int64         // ends up to here may be forgotten
	Wait   time.Duration // the answer may wait this long for an end
}

// PaceOrder lets a run work at a share of its speed.
type PaceOrder struct {
	Task    job.TaskID
	Run     int
	Percent int
	Fence   uint64
}

// Row is a run on a worker.
type Row struct {
	Task    job.TaskID
	Run     int
	Saved   string  // latest checkpoint
	Percent int     // of the work that is done
	Figure  float64 // serving tasks: milliseconds of the slowest responses; others: processors in use
}

// EndRow is a run that ended on a worker.
type EndRow struct {
	Number  int64 // rises within the worker's life
	Task    job.TaskID
	Run     int
	Outcome job.Outcome
	Saved   string
}

// Listing is what a worker says about its runs.
type Listing struct {
	Running []Row
	Ended   []EndRow // not forgotten yet
	Whole   bool     // Ended is not cut off
}

// Upstream sends orders to workers. Calls return by the deadline.
type Upstream interface {
	Start(deadline time.Time, w *job.Worker, o StartOrder) Answer
	Stop(deadline time.Time, w *job.Worker, o StopOrder) Answer
	List(deadline time.Time, w *job.Worker, o ListOrder) (Listing, Answer)
	Pace(deadline time.Time, w *job.Worker, o PaceOrder) Answer
	// Forget drops the connections to a worker whose life is over.
	Forget(w *job.Worker)
}

// timed measures the answers to orders. Listings are left out: they wait.
type timed struct {
	Upstream
	events event.Log
}

func (m timed) measure(order string, sent time.Time, a Answer) Answer {
	m.events.Emit(event.OrderAnswered, zap.String("order", order), zap.Duration(order, time.Since(sent)), zap.Uint8("result", uint8(a.Result)))
	return a
}

// Start implements Upstream.
func (m timed) Start(deadline time.Time, w *job.Worker, o StartOrder) Answer {
	return m.measure("start", time.Now(), m.Upstream.Start(deadline, w, o))
}

// Stop implements Upstream.
func (m timed) Stop(deadline time.Time, w *job.Worker, o StopOrder) Answer {
	return m.measure("stop", time.Now(), m.Upstream.Stop(deadline, w, o))
}
