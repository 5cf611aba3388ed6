// Package control is an entry VM's link to the leader of the control group.
//
// A Link finds the leader among the control replicas, renews the entry VM's
// session with it, and holds the entry VM's copy of the catalogue. It commits
// commands and asks queries on behalf of requests.
//
// # Usage
//
//	link, err := control.New(control.Options{
//		Name: "entry-1", Zone: "nord", Boot: boot, Address: address,
//		Peer: peer, Candidates: []string{"control-1", "control-2", "control-3"},
//		Teams: allotments, Runners: pool, Workers: polls,
//	})
//	go link.Run(ctx)
//	key, err := link.Key(secret) // ErrStale while no renewal was answered in time
//
// Everything periodic goes into one batch, the Renewal. Teams, Runners and
// Workers add their parts to it and receive their parts of the Grant. The view,
// the allotments and the ownership of runners are valid until 3 s after the
// sending of the renewal that was answered last.
package control

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

// Times of a Link.
const (
	RenewInterval = 200 * time.Millisecond
	RenewSpacing  = 20 * time.Millisecond // least time between two renewals
	ViewTime      = 3 * time.Second       // validity of a grant from the sending of its renewal

	// renewTimeout leaves time for five attempts within ViewTime.
	renewTimeout = 500 * time.Millisecond
	// attemptTimeout bounds one attempt of a call that may be sent again, so
	// that a silent leader does not use up the whole time of the request.
	attemptTimeout = time.Second
	// callTimeout bounds a call, whatever its context allows.
	callTimeout = 10 * time.Second
	// retryPause and retryPauseMaximum bound the pause between two attempts to
	// reach a leader.
	retryPause        = 10 * time.Millisecond
	retryPauseMaximum = 160 * time.Millisecond
)

// CodeNotLeader is the code of a *peer.Remote error of a replica that does not
// lead. The message names the leader, or is empty.
const CodeNotLeader = "not_leader"

// Teams holds the team allotments of the entry VM.
type Teams interface {
	// Uses appends what is held, used and wanted.
	Uses(into []TeamUse) []TeamUse
	// Grant sets allotments, which are valid until deadline.
	Grant(grants []TeamGrant, deadline time.Time)
}

// Runners holds the runners of the fleet and those that the entry VM owns.
type Runners interface {
	// Owned appends the runners owned and their taken slots.
	Owned(into []OwnedRunner) []OwnedRunner
	// Routes takes over changes of the list of runners, or the whole list.
	Routes(routes []Route, full bool)
}

// Workers holds the polls that wait for the leader.
type Workers interface {
	// Reports appends the polls that no grant has answered.
	Reports(into []WorkerReport) []WorkerReport
	// Deliver hands out the answers to polls. Orders for a worker without a
	// waiting poll are dropped; the leader repeats them.
	Deliver(orders []WorkerOrders)
}

// Options configures a Link.
type Options struct {
	Name       string         // of the entry VM
	Zone       string         // availability zone
	Boot       uint64         // random number of the process's start
	Address    netip.AddrPort // where peers reach the entry VM
	Peer       peer.Caller
	Candidates []string // names of the control replicas
	Teams      Teams    // may be nil
	Runners    Runners  // may be nil
	Workers    Workers  // may be nil
	Now        func() time.Time
	Log        event.Log
}

func (o *Options) check() error {
	switch {
	case o.Name == "":
		return errors.New("control: the entry VM has no name")
	case o.Peer == nil:
		return errors.New("control: no peer to call through")
	case len(o.Candidates) == 0:
		return errors.New("control: no control replica is configured")
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return nil
}
