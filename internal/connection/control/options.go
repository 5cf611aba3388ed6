// Package control is the client through which an entry VM talks to the leader
// of the control group.
//
// A Link finds the leader among the control replicas, renews the entry VM's
// session with it, and holds the entry VM's copy of the catalogue. It also sends
// the commands and queries of requests to the leader.
//
// # Usage
//
//	link, err := control.New(control.Options{
//		Name: "entry-1", Zone: "nord", Boot: boot, Address: address,
//		Peer: peer, Candidates: []string{"control-1", "control-2", "control-3"},
//		Teams: allotments, Runners: pool, Workers: polls,
//	})
//	go link.Run(ctx)
//	key, err := link.Key(secret) // ErrStale if the last renewal answered is too old
//
// All periodic reports are sent in one message, the Renewal. Teams, Runners and
// Workers add their parts to it and receive their parts of the Grant. The
// catalogue view, the allotments and the ownership of runners are valid for 3 s
// from the time at which the last answered renewal was sent.
package control

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/boottime"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

// Intervals and timeouts of a Link.
const (
	RenewInterval = 200 * time.Millisecond
	RenewSpacing  = 20 * time.Millisecond // minimum time between two renewals
	GrantValidity = 3 * time.Second       // validity of a grant, counted from the sending of its renewal

	// renewTimeout leaves time for five attempts within GrantValidity.
	renewTimeout = 500 * time.Millisecond
	// attemptTimeout bounds one attempt of a call that may be retried, so that
	// an unresponsive leader does not use up the time of the whole call.
	attemptTimeout = time.Second
	// callTimeout bounds a call with all its attempts, even if the deadline of
	// its context is later.
	callTimeout = 10 * time.Second
	// retryPause and maxRetryPause bound the exponential backoff between two
	// attempts to reach a leader.
	retryPause    = 10 * time.Millisecond
	maxRetryPause = 160 * time.Millisecond
)

// CodeNotLeader is the code of the *peer.RemoteError that a replica returns if
// it is not the leader. The message is the name of the leader if it is known,
// else empty.
const CodeNotLeader = "not_leader"

// Teams holds the team allotments of the entry VM.
type Teams interface {
	// Uses appends the held, used and wanted amounts of each team.
	Uses(into []TeamUse) []TeamUse
	// Grant sets the allotments, which are valid until deadline.
	Grant(grants []TeamGrant, deadline time.Time)
}

// Runners holds the list of all runners and the state of those that the entry
// VM owns.
type Runners interface {
	// Owned appends the owned runners with the number of their slots in use.
	Owned(into []OwnedRunner) []OwnedRunner
	// Routes applies changes to the list of runners, or replaces it if full is
	// set.
	Routes(routes []Route, full bool)
}

// Workers holds the worker polls that wait for an answer of the leader.
type Workers interface {
	// Reports appends the polls that no grant has answered yet.
	Reports(into []WorkerReport) []WorkerReport
	// Deliver answers the polls. Orders for a worker without a waiting poll
	// are dropped; the leader sends them again.
	Deliver(orders []WorkerOrders)
	// Repeat has the next renewal carry all waiting polls. A renewal had no answer:
	// the orders in it are lost, or a new leader does not know where the polls are.
	Repeat()
}

// Options configures a Link.
type Options struct {
	Name       string         // of the entry VM
	Zone       string         // availability zone
	Boot       uint64         // random number chosen at each start of the process
	Address    netip.AddrPort // address of the entry VM for other processes
	Peer       peer.Caller
	Candidates []string // names of the control replicas
	Teams      Teams    // may be nil
	Runners    Runners  // may be nil
	Workers    Workers  // may be nil
	// Now returns the time on a clock that counts suspensions of the VM, by which the
	// leader may have given the entry VM's allotments and runners to others. It
	// defaults to boottime.Now.
	Now func() time.Time
	Log event.Log
}

func (o *Options) validate() error {
	switch {
	case o.Name == "":
		return errors.New("control: no name for the entry VM is configured")
	case o.Peer == nil:
		return errors.New("control: Options.Peer is not set")
	case len(o.Candidates) == 0:
		return errors.New("control: no control replica is configured")
	}
	if o.Now == nil {
		o.Now = boottime.Now
	}
	return nil
}
