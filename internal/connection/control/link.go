package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Errors of a Leader and a Directory.
var (
	// ErrNoLeader tells that no leader was found and nothing was committed.
	ErrNoLeader = errors.New("no leader of the control group is known")
	// ErrUnknown tells that a command may or may not have been committed.
	ErrUnknown = errors.New("the outcome is not known")
	// ErrStale tells that the view of the catalogue is past its deadline.
	ErrStale = errors.New("this entry VM has lost contact with the leader")
	// ErrNotFound tells that the catalogue has no such object, or that it is
	// retired or withdrawn.
	ErrNotFound = errors.New("not found")
)

// Leader reaches the leader of the control group, wherever it is.
type Leader interface {
	// Propose commits a command. It fails with ErrNoLeader if the command was
	// certainly not committed and will not be, else with ErrUnknown.
	Propose(ctx context.Context, command state.Command) (state.Result, error)
	// Query answers lists and explanations. It fails with ErrNoLeader.
	Query(ctx context.Context, query Query) (Answer, error)
}

// Directory is an entry VM's view of the catalogue. Its methods fail with
// ErrStale once the view's deadline has passed.
type Directory interface {
	// Key returns the key with the given secret.
	Key(secret string) (work.Key, error)
	Entry(name string) (work.Entry, error)
	Team(name string) (work.Team, error)
	// Deadline returns the time until which the view is valid.
	Deadline() time.Time
}
