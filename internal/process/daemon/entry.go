package daemon

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	link "github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/upstream"
	"github.com/rosemaryloft/rosemaryloft/internal/request/caller"
	"github.com/rosemaryloft/rosemaryloft/internal/request/operator"
	"github.com/rosemaryloft/rosemaryloft/internal/request/platform"
	"github.com/rosemaryloft/rosemaryloft/internal/request/route"
	announce "github.com/rosemaryloft/rosemaryloft/internal/request/upstream"
	"github.com/rosemaryloft/rosemaryloft/internal/request/worker"
)

// entry is the entry role: everything that callers, upstreams, workers,
// operators and the platform talk to.
type entry struct {
	link     *link.Link
	router   *route.Router
	platform *platform.Adapter
	servers  []*server
}

func newEntry(d *Daemon) (*entry, error) {
	s := &d.settings
	boot := randomBoot()
	e := &entry{}
	workers := worker.New(worker.Options{Log: d.log})
	pool := upstream.New(upstream.Options{Name: s.Name, Zone: s.Zone, Log: d.log})
	allotments := upstream.NewAllotments(nil, func() { e.link.Kick() })
	var err error
	if e.link, err = link.New(link.Options{
		Name: s.Name, Zone: s.Zone, Boot: boot, Address: d.peer.Address(), Peer: d.peer,
		Candidates: s.ControlNames(), Teams: allotments, Runners: pool, Workers: workers, Log: d.log,
	}); err != nil {
		return nil, err
	}
	workers.Start(e.link, e.link)
	if e.router, err = route.New(route.Options{
		Name: s.Name, Boot: boot, Directory: e.link, Leader: e.link, Peer: d.peer,
		Pool: pool, Allotments: allotments, Log: d.log,
	}); err != nil {
		return nil, err
	}
	d.peer.Handle(link.MethodForward, e.router.Forwarded)
	e.platform = platform.New(platform.Options{Directory: e.link, Log: d.log})
	callers := caller.New(caller.Options{Router: e.router, Directory: e.link, Leader: e.link, Log: d.log})
	upstreams := announce.New(announce.Options{Directory: e.link, Link: e.link, Pool: pool, Log: d.log})
	operators := operator.New(operator.Options{
		Directory: e.link, Leader: e.link, Operators: s.Operators, Log: d.log,
	})
	e.servers, err = listen([]binding{
		{address: s.Listen.Callers, serves: []route1{{"/v1/services/", callers.Handler}, {"/v1/jobs", callers.Handler}}},
		{address: s.Listen.Upstreams, serves: []route1{{"/v1/runners/", upstreams.Handler}, {"/v1/workers/", workers.Handler}}},
		{address: s.Listen.Operators, serves: []route1{{"/v1/", operators.Handler}}},
		{address: s.Listen.Platform, serves: []route1{{"/", e.platform.Handler}}},
	})
	return e, err
}

func (e *entry) start(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return e.link.Run(ctx) })
	for _, s := range e.servers {
		group.Go(s.serve)
		group.Go(func() error {
			<-ctx.Done()
			return s.close()
		})
	}
}

// drain turns the health check, hands the runners over, answers what is in
// flight and closes the servers.
func (e *entry) drain(ctx context.Context) {
	e.platform.Drain()
	e.link.Drain()
	select {
	case <-time.After(balancerDelay):
	case <-ctx.Done():
	}
	// An error means that requests outlived drainTime; their callers see the
	// connection end.
	_ = e.router.Drain(ctx)
	for _, s := range e.servers {
		_ = s.shutdown(ctx)
	}
}

var _ = netip.AddrPort{}
