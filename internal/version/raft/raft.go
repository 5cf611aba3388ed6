// Package raft replicates a log of commands across the control replicas and
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
//	if replica.Leads(term) {
//		// no other replica can lead now; the local state is current
//	}
//
// The transport passes incoming messages to Receive. EncodeMessage and
// DecodeMessage define the wire format.
//
// # Structure
//
// The core implements the protocol and is deterministic: it has no goroutine
// and no clock, so that tests can run it on a simulated network. Replica drives
// it with goroutines and a disk. One sync covers all proposals and messages that
// arrived during the previous one. A leader sends entries before its own sync
// ends, but counts itself towards a commit only afterwards. A vote or an accepted
// append is answered only after its sync.
//
// # Membership
//
// A replica is identified by its name and the random identity on its disk.
// founding.go describes how a group is founded, join.go how a replica finds it,
// change.go how its members change. Votes, answers and leases count by identity only.
// The names in Options and in SetContacts only tell whom to ask.
//
// # Clock
//
// Leases and votes rely on clocks that run at about the same rate, and that count the
// time for which a VM is suspended: a leader that wakes up finds its lease over, like
// one whose process was paused. Answers that waited for it do not extend the lease,
// since it runs from the time at which the request was sent.
package raft

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// StateMachine is the replicated state machine. The replica calls Apply,
// Snapshot and Restore in log order, from one goroutine at a time.
type StateMachine interface {
	// Apply applies a committed command and returns its result, which Propose
	// returns to the proposer.
	Apply(index uint64, command []byte) any
	// Snapshot encodes the whole state as of the last applied command.
	Snapshot() ([]byte, error)
	// Restore replaces the state with the one in a snapshot.
	Restore(snapshot []byte) error
}

// Transport sends messages to other replicas. Send must not block and may drop
// messages.
type Transport interface {
	Send(to string, message Message)
}

// Log is the part of the replicated log that the rest of the daemon uses.
// Replica implements it.
type Log interface {
	// Propose commits a command and returns the machine's result for it. It
	// fails with ErrNotLeader if the command was certainly not appended here,
	// and with ErrUnknown if it may or may not commit.
	Propose(ctx context.Context, command []byte) (any, error)
	// Leader returns the name of the leader known to this replica, empty if
	// there is none, and the current term.
	Leader() (name string, term uint64)
	// Lease returns the time until which no other replica can lead. It is zero
	// unless this replica leads and has applied an entry of its own term.
	// It is a time of Options.Now; Leads says whether it has passed.
	Lease() time.Time
	// Leads reports whether this replica leads in a term and no other replica can
	// lead yet. It is checked right before whatever only a leader may do.
	Leads(term uint64) bool
	// Changed returns a channel that is closed at the next change of the
	// leader, the term, the role, or the readiness of the lease.
	Changed() <-chan struct{}
}

// Errors of Propose.
var (
	// ErrNotLeader means that the command was certainly not appended.
	ErrNotLeader = errors.New("this replica does not lead")
	// ErrUnknown means that the command may or may not commit.
	ErrUnknown = errors.New("it is not known whether the command commits")
	// ErrTooLarge means that the command exceeds MaxCommand and was not appended.
	ErrTooLarge = errors.New("the command is too large")
)
