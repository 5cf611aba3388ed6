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

// multiAdapter serves a surface with the first of its adapters that matches.
type multiAdapter []adapter

// Matches implements adapter.
func (s multiAdapter) Matches(ctx *fasthttp.RequestCtx) bool { return s.match(ctx) != nil }

// Handler implements adapter.
func (s multiAdapter) Handler(ctx *fasthttp.RequestCtx) { s.match(ctx).Handler(ctx) }

func (s multiAdapter) match(ctx *fasthttp.RequestCtx) adapter {
	for _, a := range s {
		if a.Matches(ctx) {
			return a
		}
	}
	return nil
}

// methodRemove removes a replica from the control group. Only the leader serves
// it.
const methodRemove = "remove"

// removeRequest is the request of methodRemove.
type removeRequest struct{ Name string }

// memberRemover removes members of the control group through its leader. It tries
// the replicas in turn until it finds the leader.
type memberRemover struct {
	peer     peer.Caller
	replicas []string
}

// RemoveMember implements operator.Members.
func (m memberRemover) RemoveMember(ctx context.Context, name string) error {
	for _, r := range m.replicas {
		err := m.peer.Call(ctx, r, methodRemove, removeRequest{name}, nil)
		var remote *peer.RemoteError
		switch {
		case err == nil:
			return nil
		case errors.Is(err, peer.ErrNotSent):
			continue
		case errors.As(err, &remote) && remote.Code == link.CodeNotLeader:
			continue
		case errors.As(err, &remote) && remote.Code == codeNoMember:
			return link.ErrNotFound
		case errors.As(err, &remote):
			return err
		default:
			return link.ErrUnknown
		}
	}
	return link.ErrNoLeader
}

// Codes of methodRemove in addition to those of package leader.
const (
	codeNoMember = "member" // no member has the name
	codeQuorum   = "quorum" // too few voters would remain, or another change is in progress
)

func (c *controlRole) remove(ctx context.Context, _ string, decode peer.Decode) (any, error) {
	var q removeRequest
	if err := decode(&q); err != nil {
		return nil, &peer.RemoteError{Code: leader.CodeInvalid, Message: err.Error()}
	}
	err := c.replica.Remove(ctx, q.Name)
	switch {
	case err == nil:
		return nil, nil
	case errors.Is(err, raft.ErrNotLeader):
		return nil, &peer.RemoteError{Code: link.CodeNotLeader}
	case errors.Is(err, raft.ErrNoMember):
		return nil, &peer.RemoteError{Code: codeNoMember, Message: err.Error()}
	case errors.Is(err, raft.ErrNoQuorum), errors.Is(err, raft.ErrChangeInProgress):
		return nil, &peer.RemoteError{Code: codeQuorum, Message: err.Error()}
	default:
		return nil, &peer.RemoteError{Code: leader.CodeUnknown, Message: err.Error()}
	}
}
