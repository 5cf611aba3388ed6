package leader

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/version/raft"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
)

// propose commits a command of a caller or an operator. Commands that only the
// leader issues are refused. A job that can never run is refused without writing
// a log entry, unless an earlier copy of the command may still arrive: the log then
// keeps the refusal, and the copy gets it too.
func (l *Leader) propose(ctx context.Context, _ string, p *control.Proposal) (any, error) {
	t := l.activeTerm.Load()
	if t == nil {
		return nil, l.notLeader()
	}
	c := p.Command
	c.Term = 0
	if !allowedFromOthers(&c) {
		return state.Result{Code: state.Invalid, Message: "only the leader issues this command"}, nil
	}
	if !p.Resent {
		if r, known := t.state().Preview(c); known {
			return t.answerIfLeading(control.MethodPropose, r)
		}
	}
	r, err := t.commitCommand(ctx, c)
	switch {
	case err == nil:
		return r, nil
	case errors.Is(err, raft.ErrNotLeader):
		return nil, l.notLeader()
	}
	return nil, &peer.RemoteError{Code: CodeUnknown, Message: err.Error()}
}

// allowedFromOthers reports whether other processes may propose a command.
func allowedFromOthers(c *state.Command) bool {
	return c.Team != nil || c.Entry != nil || c.Key != nil || c.Submit != nil || c.Cancel != nil ||
		c.Drain != nil || c.Intent != nil || c.Settle != nil
}
