package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
)

// Propose commits a command through the leader. See Leader. An attempt whose
// outcome is not known is repeated only for commands that the state machine
// recognizes when they come again.
func (l *Link) Propose(ctx context.Context, command state.Command) (state.Result, error) {
	var result state.Result
	err := l.call(ctx, MethodPropose, Proposal{Command: command}, &result, repeatable(&command))
	if err != nil {
		return state.Result{}, err
	}
	return result, nil
}

// Query asks the leader. See Leader.
func (l *Link) Query(ctx context.Context, query Query) (Answer, error) {
	var answer Answer
	if err := l.call(ctx, MethodQuery, query, &answer, true); err != nil {
		return Answer{}, errors.Mark(err, ErrNoLeader)
	}
	return answer, nil
}

// repeatable reports whether a second copy of the command has no further
// effect: it has a request id, it settles an intent, of which the first outcome
// stays, or it cancels jobs.
func repeatable(c *state.Command) bool {
	return c.Request != "" || c.Settle != nil || c.Cancel != nil
}

// call reaches the leader. It returns nil, ErrNoLeader if no replica can have
// taken the request, or ErrUnknown.
func (l *Link) call(ctx context.Context, method string, request, response any, repeat bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	search := l.replicas.search()
	taken := false // an attempt may have been taken
	var last error
	for pause := retryPause; ; pause = min(2*pause, retryPauseMaximum) {
		if ctx.Err() != nil {
			return outcome(taken, errors.CombineErrors(ctx.Err(), last))
		}
		err := l.attempt(ctx, search.current, method, request, response, repeat)
		if err == nil {
			search.found()
			return nil
		}
		last = err
		hint, refused := notLeader(err)
		if !refused {
			taken = true
			if !repeat {
				return outcome(true, err)
			}
		}
		search.failed(hint)
		if hint != "" && search.followed == 1 {
			continue // the first hint is mostly right and costs no pause
		}
		sleep(ctx, pause)
	}
}

func (l *Link) attempt(ctx context.Context, to, method string, request, response any, repeat bool) error {
	if repeat {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
	}
	return l.options.Peer.Call(ctx, to, method, request, response)
}

// notLeader reports whether a failed call certainly had no effect, and the
// leader's name if the replica knows it.
func notLeader(err error) (hint string, refused bool) {
	var remote *peer.Remote
	if errors.As(err, &remote) {
		switch remote.Code {
		case CodeNotLeader:
			return remote.Message, true
		case peer.CodeMethod: // a process that does not serve the method yet
			return "", true
		}
		return "", false
	}
	return "", errors.Is(err, peer.ErrNotSent)
}

func outcome(taken bool, err error) error {
	if taken {
		return errors.Mark(errors.Wrap(err, "the command may have been committed"), ErrUnknown)
	}
	return errors.Mark(errors.Wrap(err, "no leader took the command"), ErrNoLeader)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
