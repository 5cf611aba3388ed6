package daemon

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	link "github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/process/leader"
	"github.com/rosemaryloft/rosemaryloft/internal/version/raft"
)

// split is a surface with several adapters.
type split []adapter

// Matches implements adapter.
func (s split) Matches(ctx *fasthttp.RequestCtx) bool { return s.of(ctx) != nil }

// Handler implements adapter.
func (s split) Handler(ctx *fasthttp.RequestCtx) { s.of(ctx).Handler(ctx) }

func (s split) of(ctx *fasthttp.RequestCtx) adapter {
	for _, a := range s {
		if a.Matches(ctx) {
			return a
		}
	}
	return nil
}

// methodRemove removes a replica from the control group. Only the leader
// serves it.
const methodRemove = "remove"

// removal is the request of methodRemove.
type removal struct{ Name string }

// members changes the membership of the control group, wherever its leader is.
type members struct {
	peer     peer.Caller
	replicas []string
}

// RemoveMember implements operator.Members.
func (m members) RemoveMember(ctx context.Context, name string) error {
	for _, r := range m.replicas {
		err := m.peer.Call(ctx, r, methodRemove, removal{name}, nil)
		var remote *peer.Remote
		switch {
		case err == nil:
			return nil
		case errors.Is(err, peer.ErrNotSent):
			continue
		case errors.As(err, &remote) && remote.Code == link.CodeNotLeader:
			continue
		case errors.As(err, &remote) && remote.Code == codeMember:
			return link.ErrNotFound
		case errors.As(err, &remote):
			return err
		default:
			return link.ErrUnknown
		}
	}
	return link.ErrNoLeader
}

// Codes of methodRemove besides those of package leader.
const (
	codeMember = "member" // no member has the name
	codeQuorum = "quorum" // the change would leave too few voters, or another one is in progress
)

func (c *control) remove(ctx context.Context, _ string, decode peer.Decode) (any, error) {
	var q removal
	if err := decode(&q); err != nil {
		return nil, &peer.Remote{Code: leader.CodeInvalid, Message: err.Error()}
	}
	err := c.replica.Remove(ctx, q.Name)
	switch {
	case err == nil:
		return nil, nil
	case errors.Is(err, raft.ErrNotLeader):
		return nil, &peer.Remote{Code: link.CodeNotLeader}
	case errors.Is(err, raft.ErrMember):
		return nil, &peer.Remote{Code: codeMember, Message: err.Error()}
	case errors.Is(err, raft.ErrQuorum), errors.Is(err, raft.ErrChanging):
		return nil, &peer.Remote{Code: codeQuorum, Message: err.Error()}
	default:
		return nil, &peer.Remote{Code: leader.CodeUnknown, Message: err.Error()}
	}
}
