package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	link "github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/upstream"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/process/settings"
	"github.com/rosemaryloft/rosemaryloft/internal/request/caller"
	"github.com/rosemaryloft/rosemaryloft/internal/request/operator"
	"github.com/rosemaryloft/rosemaryloft/internal/request/route"
	announce "github.com/rosemaryloft/rosemaryloft/internal/request/upstream"
	"github.com/rosemaryloft/rosemaryloft/internal/request/worker"
)

// entryRole is the entry role: the HTTP interfaces for callers, upstreams, workers
// and operators, and what they are built on.
type entryRole struct {
	link     *link.Link
	router   *route.Router
	pool     *upstream.Pool
	adapters map[settings.Surface]adapter
	draining atomic.Bool
	log      event.Log
}

func newEntry(d *Daemon) (*entryRole, error) {
	s := &d.settings
	boot := newBoot()
	workers := worker.New(worker.Options{Log: d.log})
	pool := upstream.New(upstream.Options{Name: s.Name, Zone: s.Zone, Log: d.log})
	calls := d.metrics.Caller(d.peer)
	e := &entryRole{log: d.log, pool: pool}
	e.pool = pool
	allotments := upstream.NewAllotments(nil, func() { e.link.RequestRenewal() })
	var err error
	if e.link, err = link.New(link.Options{
		Name: s.Name, Zone: s.Zone, Boot: boot, Address: d.peer.Address(), Peer: calls,
		Candidates: s.ControlNames(), Teams: allotments, Runners: pool, Workers: workers, Log: d.log,
	}); err != nil {
		return nil, err
	}
	workers.Start(e.link, e.link)
	if e.router, err = route.New(route.Options{
		Name: s.Name, Boot: boot, Directory: e.link, Leader: e.link, Peer: calls,
		Pool: pool, Allotments: allotments, Log: d.log,
	}); err != nil {
		return nil, err
	}
	d.peer.Handle(link.MethodForward, e.router.HandleForward)
	callers := caller.New(caller.Options{Router: e.router, Directory: e.link, Leader: e.link, Log: d.log})
	upstreams := announce.New(announce.Options{Directory: e.link, Link: e.link, Pool: pool, Log: d.log})
	e.adapters = map[settings.Surface]adapter{
		settings.Callers: prefixAdapter{callers.Handler, []string{"/v1/services/", "/v1/jobs"}},
		settings.Upstreams: multiAdapter{
			prefixAdapter{upstreams.Handler, []string{"/v1/runners/"}},
			prefixAdapter{workers.Handler, []string{"/v1/workers/"}},
		},
		settings.Operators: operator.New(operator.Options{
			Leader: e.link, Directory: e.link, Members: memberRemover{d.peer, s.ControlNames()}, Digests: s.Operators, Log: d.log,
		}),
	}
	return e, nil
}

func (e *entryRole) start(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return e.link.Run(ctx) })
}

// drain hands over the runners and answers the requests in flight, after the load
// balancer has had time to notice the failing health check.
func (e *entryRole) drain(ctx context.Context) {
	e.draining.Store(true)
	sleep(ctx, healthCheckDelay)
	e.link.Drain()
	e.handOver(ctx)
	if err := e.router.Drain(ctx); err != nil {
		e.log.Emit(event.ShutdownIncomplete, zap.Error(err))
	}
}

// handOver waits until the runners have other owners and the other entry VMs have
// had time to learn of these. Without the wait, a process that leads would step
// down first, and the runners would have no owner until the next leader has
// finished its recovery.
func (e *entryRole) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for !e.pool.HandedOver() && ctx.Err() == nil {
		sleep(ctx, handOverPollInterval)
	}
	sleep(ctx, handOverPropagation)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
