package driver

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/process/dispatch"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Methods between a leader and its drivers.
const (
	MethodDrive  = "drive"  // driver: send a batch of orders to workers
	MethodDriven = "driven" // leader: a batch of answers
)

// kind is the kind of an order.
type kind uint8

const (
	start kind = iota + 1
	stop
	list
	throttle
	forget
)

// order is an order to a worker.
type order struct {
	_          struct{} `cbor:",toarray"`
	Number     uint64   // identifies the order within the session
	Kind       kind
	Timeout    time.Duration // from when the driver has received the order
	Worker     string
	Address    string
	Fence      uint64
	Task       job.TaskID
	Run        int
	Payload    string
	Lease      int64 // end of the lease in milliseconds of the worker's clock; zero if none
	Checkpoint string
	Ticket     string
	Acked      int64         // see dispatch.ListOrder
	Wait       time.Duration // see dispatch.ListOrder; of other orders dispatch.Permit.Await
	Repeat     time.Duration // see dispatch.ListOrder
	Copies     int           // see dispatch.ListOrder
	Percent    int
	Stamp      cell.Stamp // until when the driver may send it, on the driver's clock
}

// batch is a set of orders. An empty one asks whether the driver is there.
type batch struct {
	_       struct{} `cbor:",toarray"`
	Session uint64
	Orders  []order
}

// presence is a driver's answer to a batch.
type presence struct {
	_       struct{} `cbor:",toarray"`
	Zone    string
	Cut     bool    // the driver cannot call the leader, which has to fetch the answers with its batches
	Replies []reply // if Cut
	Mark    cell.Mark
}

// reply is the answer to an order, or a late answer to a copy of one.
type reply struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	Result   dispatch.Result
	Reason   dispatch.Reason
	Repeated bool
	Copies   int
	Clock    int64 // in milliseconds; zero if not stated
	Life     job.Incarnation
	Error    string
	Listing  *dispatch.Listing
	Open     int
	Late     int // counts the late answers to an order from one on; zero for the answer to the order
}

// replies is a set of answers.
type replies struct {
	_       struct{} `cbor:",toarray"`
	Session uint64
	Replies []reply
}

// milliseconds converts a time on a worker's clock for a message.
func milliseconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// clock is the inverse of milliseconds.
func clock(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.UnixMilli(n)
}

// newReply returns the message for an answer.
func newReply(number uint64, a dispatch.Answer, l *dispatch.Listing) reply {
	r := reply{Number: number, Result: a.Result, Reason: a.Reason, Repeated: a.Repeated, Copies: a.Copies, Clock: milliseconds(a.Clock), Life: a.Life, Listing: l, Open: a.Open}
	if a.Error != nil {
		r.Error = a.Error.Error()
	}
	return r
}

// answer returns the answer in a message.
func (r *reply) answer() (dispatch.Listing, dispatch.Answer) {
	a := dispatch.Answer{Result: r.Result, Reason: r.Reason, Repeated: r.Repeated, Copies: r.Copies, Clock: clock(r.Clock), Life: r.Life, Open: max(0, r.Open)}
	if a.Result < dispatch.Accepted || a.Result > dispatch.Undelivered {
		a.Result = dispatch.Unanswered // of another version of the program; nothing is known of the order
	}
	if r.Error != "" {
		a.Error = errors.Newf("%s", r.Error)
	}
	if r.Listing == nil {
		return dispatch.Listing{}, a
	}
	return *r.Listing, a
}

// worker returns the worker that an order is for.
func (o *order) worker() (*job.Worker, error) {
	a, err := netip.ParseAddrPort(o.Address)
	return &job.Worker{ID: o.Worker, Address: a}, errors.Wrap(err, "address of the worker")
}
