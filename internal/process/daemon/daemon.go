// Package daemon assembles the roles of a process, runs them and shuts them down
// together.
//
// # Usage
//
//	s, findings := settings.Load("rosemaryloft.json")
//	d, err := daemon.New(daemon.Options{Settings: s, Log: log})
//	err = d.Run(ctx) // until ctx ends and requests in flight are answered
//
// # Shutdown order
//
// When ctx ends, the health check starts to fail, so that the platform's load
// balancer sends new connections elsewhere. The leader then moves this VM's
// runners to other owners, requests in flight are answered, and the HTTP servers
// close. The replica and the connections between processes stop last: if the
// replica stopped while the entry role still answers requests, these could be
// left without a leader.
package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/rosemaryloft/rosemaryloft/internal/boottime"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/process/certificate"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/process/metric"
	"github.com/rosemaryloft/rosemaryloft/internal/process/settings"
	"github.com/rosemaryloft/rosemaryloft/internal/request/balancer"
)

const (
	// healthCheckDelay is the time between the failure of the health check and
	// the refusal of new requests, in which the load balancer notices it.
	healthCheckDelay = 2 * time.Second
	// handOverTimeout bounds the wait for other owners of this VM's runners,
	// which takes a few renewals. handOverPollInterval is the time between two
	// checks for them. handOverPropagation is the time of two renewals, in which
	// the other entry VMs learn of the new owners.
	handOverTimeout      = 3 * time.Second
	handOverPollInterval = 50 * time.Millisecond
	handOverPropagation  = 400 * time.Millisecond
	// shutdownTimeout bounds a graceful shutdown. It is above the longest
	// request deadline of 30 s.
	shutdownTimeout = 40 * time.Second
)

// Options configures a Daemon.
type Options struct {
	Settings settings.Settings
	Log      event.Log
}

// Daemon is one process with its roles and servers.
type Daemon struct {
	settings settings.Settings
	log      event.Log
	metrics  *metric.Set
	store    *certificate.Store
	peer     *peer.Peer
	control  *controlRole // nil without the control role
	entry    *entryRole   // nil without the entry role
	servers  []*server
}

// New loads the certificates, opens the data directory and listens on the
// configured addresses.
func New(options Options) (*Daemon, error) {
	metrics := metric.New()
	d := &Daemon{settings: options.Settings, log: options.Log.Observed(metrics.Observe), metrics: metrics}
	s := &d.settings
	var err error
	if d.store, err = certificate.Load(certificate.Options{Name: s.Name, Files: s.Certificates.Files(), Log: d.log}); err != nil {
		return nil, errors.Wrap(err, "certificates")
	}
	if d.peer, err = peer.New(peer.Options{
		Name: s.Name, Listen: s.Listen.Peers.AddrPort, Peers: s.PeerAddresses(), Certificates: d.store, Log: d.log,
	}); err != nil {
		return nil, errors.Wrap(err, "connections between processes")
	}
	if s.Has(settings.RoleControl) {
		if d.control, err = newControl(d); err != nil {
			return nil, errors.Wrap(err, "control role")
		}
	}
	if s.Has(settings.RoleEntry) {
		if d.entry, err = newEntry(d); err != nil {
			return nil, errors.Wrap(err, "entry role")
		}
	}
	d.registerGauges()
	metrics.Publish()
	d.servers, err = listen(s.Listen.Servers(), d.adapters(), d.log)
	return d, err
}

// adapters returns the adapter of each HTTP surface. A process without the entry
// role serves only the platform surface.
func (d *Daemon) adapters() map[settings.Surface]adapter {
	p := balancer.Options{}
	adapters := make(map[settings.Surface]adapter)
	if d.entry != nil {
		p = balancer.Options{Directory: d.entry.link, Draining: d.entry.draining.Load}
		for surface, a := range d.entry.adapters {
			adapters[surface] = countingAdapter{a, string(surface), d.metrics}
		}
	}
	adapters[settings.Platform] = balancer.New(p)
	return adapters
}

// Run runs all roles until ctx ends or one of them fails.
func (d *Daemon) Run(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, run := errgroup.WithContext(run)
	group.Go(func() error { return d.store.Run(run) })
	group.Go(func() error { return d.peer.Run(run) })
	group.Go(func() error { return boottime.Watch(run, d.log) })
	if d.control != nil {
		d.control.start(run, group)
	}
	if d.entry != nil {
		d.entry.start(run, group)
	}
	for _, s := range d.servers {
		group.Go(s.serve)
	}
	d.log.Emit(event.ProcessStarted, zap.String("name", d.settings.Name), zap.Any("roles", d.settings.Roles))
	group.Go(func() error {
		select {
		case <-ctx.Done():
			d.drain(run)
		case <-run.Done():
			d.closeServers(run)
		}
		stop()
		return nil
	})
	err := group.Wait()
	d.log.Emit(event.ProcessStopped, zap.Error(err))
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// drain shuts down what callers use before anything that it depends on.
func (d *Daemon) drain(ctx context.Context) {
	d.log.Emit(event.ProcessStopping, zap.String("name", d.settings.Name))
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if d.entry != nil {
		d.entry.drain(ctx)
	}
	d.closeServers(ctx)
	if err := d.peer.Drain(ctx); err != nil {
		d.log.Emit(event.ShutdownIncomplete, zap.Error(err))
	}
}

// closeServers shuts down the HTTP servers.
func (d *Daemon) closeServers(ctx context.Context) {
	for _, s := range d.servers {
		if err := s.shutdown(ctx); err != nil {
			d.log.Emit(event.ShutdownIncomplete, zap.Error(err))
		}
	}
}

// newBoot returns a random number that identifies this start of the process. It
// is never zero.
func newBoot() uint64 { return rand.Uint64() | 1 }
