package daemon

import (
	"context"
	"path/filepath"

	"golang.org/x/sync/errgroup"

	link "github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/process/leader"
	"github.com/rosemaryloft/rosemaryloft/internal/version/placement"
	"github.com/rosemaryloft/rosemaryloft/internal/version/raft"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
)

// methodLog carries messages between replicas of the replicated log.
const methodLog = "raft"

// controlRole is the control role: a replica of the replicated log and the
// leader's duties while that replica leads.
type controlRole struct {
	replica *raft.Replica
	leader  *leader.Leader
	state   *state.State
}

// logTransport sends the replica's messages over the connections between
// processes.
type logTransport struct{ peer *peer.Peer }

// Send implements raft.Transport.
func (t logTransport) Send(to string, message raft.Message) { t.peer.Send(to, methodLog, message) }

func newControl(d *Daemon) (*controlRole, error) {
	machine := state.New()
	machine.Subscribe(d.metrics.CountTask)
	replica, err := raft.New(raft.Options{
		Name:      d.settings.Name,
		Members:   d.settings.ControlNames(),
		Directory: filepath.Join(d.settings.Data, "log"),
		Machine:   machine,
		Transport: logTransport{d.peer},
		Log:       d.log,
	})
	if err != nil {
		return nil, err
	}
	c := &controlRole{replica: replica, state: machine}
	c.leader, err = leader.New(leader.Options{
		Name:      d.settings.Name,
		State:     machine,
		Log:       replica,
		Scheduler: func() leader.Scheduler { return scheduler{placement.New(placement.Options{})} },
		Members:   c.members,
		Events:    d.log,
	})
	if err != nil {
		return nil, err
	}
	c.leader.Register(d.peer)
	d.peer.Handle(methodLog, func(_ context.Context, name string, decode peer.Decode) (any, error) {
		var m raft.Message
		if err := decode(&m); err != nil {
			return nil, &peer.RemoteError{Code: leader.CodeInvalid, Message: err.Error()}
		}
		if m.FromName != name {
			return nil, &peer.RemoteError{Code: leader.CodeDenied, Message: "the message names another sender"}
		}
		replica.Receive(m)
		return nil, nil
	})
	d.peer.Handle(methodRemove, c.remove)
	return c, nil
}

func (c *controlRole) start(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return c.replica.Run(ctx) })
	group.Go(func() error { return c.leader.Run(ctx) })
}

// members lists the replicas of the control group for operators.
func (c *controlRole) members() []link.MemberView {
	var views []link.MemberView
	for _, m := range c.replica.Status().Members {
		views = append(views, link.MemberView{Name: m.Name, Disk: m.Identity, Voter: m.Voter, Matched: m.Match, Live: m.Live})
	}
	return views
}

// scheduler adapts a placement.Scheduler, which does not use message types, to
// leader.Scheduler.
type scheduler struct{ *placement.Scheduler }

// Throttles implements leader.Scheduler.
func (s scheduler) Throttles(worker string) []link.Throttle {
	var out []link.Throttle
	for _, t := range s.Scheduler.Throttles(worker) {
		out = append(out, link.Throttle{Task: t.Task, Token: t.Token, Size: t.Size})
	}
	return out
}
