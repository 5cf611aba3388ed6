package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
)

// Propose commits a command through the leader; see Leader. An attempt with an
// unknown outcome is retried only if the command is idempotent.
func (l *Link) Propose(ctx context.Context, command state.Command) (state.Result, error) {
	var result state.Result
	err := l.call(ctx, MethodPropose, &Proposal{Command: command}, &result, idempotent(&command))
	if err != nil {
		return state.Result{}, err
	}
	return result, nil
}

// Query sends a query to the leader; see Leader.
func (l *Link) Query(ctx context.Context, query Query) (Answer, error) {
	var answer Answer
	if err := l.call(ctx, MethodQuery, query, &answer, true); err != nil {
		return Answer{}, errors.Mark(err, ErrNoLeader)
	}
	return answer, nil
}

// idempotent reports whether applying the command twice has the same effect as
// applying it once. That holds for commands with a request ID, for settling an
// intent (the first outcome is kept) and for cancelling jobs.
func idempotent(c *state.Command) bool {
	return c.Request != "" || c.Settle != nil || c.Cancel != nil
}

// call sends a request to the leader and retries until it gets a response or
// ctx ends. It fails with ErrNoLeader if no replica can have accepted the
// request, and with ErrUnknown otherwise.
func (l *Link) call(ctx context.Context, method string, request, response any, retry bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	search := l.replicas.search()
	maybeCommitted := false // an attempt may have reached the leader
	var lastErr error
	for pause := retryPause; ; pause = min(2*pause, maxRetryPause) {
		if ctx.Err() != nil {
			return callError(maybeCommitted, errors.CombineErrors(ctx.Err(), lastErr))
		}
		if p, ok := request.(*Proposal); ok {
			p.Resent = maybeCommitted
		}
		err := l.attempt(ctx, search.current, method, request, response, retry)
		if err == nil {
			search.succeeded()
			return nil
		}
		lastErr = err
		hint, refused := parseRefusal(err)
		if !refused {
			maybeCommitted = true
			if !retry {
				return callError(true, err)
			}
		}
		search.failed(hint)
		if hint != "" && search.followed == 1 {
			continue // the first hint is usually right, so follow it without a pause
		}
		sleep(ctx, pause)
	}
}

func (l *Link) attempt(ctx context.Context, to, method string, request, response any, retry bool) error {
	if retry {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
	}
	return l.options.Peer.Call(ctx, to, method, request, response)
}

// parseRefusal reports whether a failed call certainly had no effect, and
// returns the name of the leader if the replica gave one.
func parseRefusal(err error) (hint string, refused bool) {
	var remote *peer.RemoteError
	if errors.As(err, &remote) {
		switch remote.Code {
		case CodeNotLeader:
			return remote.Message, true
		case peer.CodeUnknownMethod: // the process has not registered the method yet
			return "", true
		}
		return "", false
	}
	return "", errors.Is(err, peer.ErrNotSent)
}

// callError marks err with ErrUnknown if the command may have been committed,
// else with ErrNoLeader.
func callError(maybeCommitted bool, err error) error {
	if maybeCommitted {
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
