package control

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Errors of a Leader and a Directory.
var (
	// ErrNoLeader means that no leader was found and nothing was committed.
	ErrNoLeader = errors.New("no leader of the control group is known")
	// ErrUnknown means that a command may or may not have been committed.
	ErrUnknown = errors.New("the outcome is not known")
	// ErrStale means that the deadline of the catalogue view has passed.
	ErrStale = errors.New("this entry VM has lost contact with the leader")
	// ErrNotFound means that the catalogue has no such object, or that the
	// object is retired or withdrawn.
	ErrNotFound = errors.New("not found")
)

// Leader sends requests to the current leader of the control group.
type Leader interface {
	// Propose commits a command. It fails with ErrNoLeader if the command has
	// not been and will not be committed, and with ErrUnknown otherwise.
	Propose(ctx context.Context, command state.Command) (state.Result, error)
	// Query returns lists and explanations. It fails with ErrNoLeader.
	Query(ctx context.Context, query Query) (Answer, error)
}

// Directory is an entry VM's view of the catalogue. Its methods fail with
// ErrStale once the view's deadline has passed.
type Directory interface {
	// Key returns the key with the given secret.
	Key(secret string) (work.Key, error)
	Entry(name string) (work.Entry, error)
	Team(name string) (work.Team, error)
	// Valid reports whether the view is valid now. It is checked again after each wait.
	Valid() bool
}
