// Package raft replicates a log of commands over the control replicas and
// applies it to a state machine on each of them.
//
// # Usage
//
//	replica, err := raft.New(raft.Options{
//		Name:      "control-1",
//		Members:   []string{"control-1", "control-2", "control-3"},
//		Directory: "data/log",
//		Machine:   state,
//		Transport: transport,
//	})
//	go replica.Run(ctx)
//	result, err := replica.Propose(ctx, command)
//	if time.Now().Before(replica.Lease()) {
//		// no other replica can lead now; the local state is current
//	}
//
// The transport hands incoming messages to Receive. EncodeMessage and
// DecodeMessage are the wire format.
//
// # Parts
//
// The core is deterministic: it has no goroutine and no clock, and the tests
// run it on a simulated network. Replica drives it with goroutines and a disk.
// One sync covers all proposals and messages that arrived during the previous
// one. A leader sends entries before its own sync ends; it counts itself
// towards a commit only afterwards. Every promise (a vote, an accepted append)
// is answered after its sync.
//
// # Members
//
// A replica is its name plus the random identity on its disk; founding and
// change describe how groups are founded and changed. Votes, answers and
// leases count by identity only.
package raft

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Machine is the replicated state machine. The replica calls it from one
// goroutine at a time, in log order.
type Machine interface {
	// Apply applies a committed command and returns its result, which Propose
	// hands to the proposer.
	Apply(index uint64, command []byte) any
	// Snapshot encodes the whole state as of the last applied command.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(snapshot []byte) error
}

// Transport carries messages to other replicas. Send must not block and may
// drop a message.
type Transport interface {
	Send(to string, message Message)
}

// Log is what the rest of the daemon needs of the replicated log. Replica
// implements it.
type Log interface {
	// Propose commits a command and returns the machine's result for it. It
	// fails with ErrNotLeader if the command was certainly not appended here,
	// and with ErrUnknown if it may or may not commit.
	Propose(ctx context.Context, command []byte) (any, error)
	// Leader returns the name of the leader known to this replica, empty if
	// none, and the current term.
	Leader() (name string, term uint64)
	// Lease returns the time until which no other replica can lead. It is zero
	// unless this replica leads and has applied an entry of its own term.
	Lease() time.Time
	// Changed returns a channel that is closed at the next change of
	// leadership, term or readiness of the lease.
	Changed() <-chan struct{}
}

// Errors of Propose.
var (
	// ErrNotLeader tells that the command was certainly not appended.
	ErrNotLeader = errors.New("this replica does not lead")
	// ErrUnknown tells that the command may or may not commit.
	ErrUnknown = errors.New("it is not known whether the command commits")
	// ErrTooLarge tells that the command exceeds MaxCommand and was not appended.
	ErrTooLarge = errors.New("the command is too large")
)
