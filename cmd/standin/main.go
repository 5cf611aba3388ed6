// Command standin simulates a service runner or workers, for trials and tests of a
// deployment. It connects to the entry VMs as the real ones do.
//
// Exit codes: 0 after a signal, 1 after a failure, 80 for invalid arguments.
package main

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"github.com/rosemaryloft/rosemaryloft/internal/standin"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

type options struct {
	Runner runner `cmd:"" help:"Serve requests of one catalogue entry."`
	Worker worker `cmd:"" help:"Run tasks as timers."`
}

// sharedOptions holds the options that both commands have.
type sharedOptions struct {
	Entries []string `required:"" help:"Addresses (host:port) of entry VMs, used in turn."`
	Key     string   `required:"" env:"ROSEMARYLOFT_KEY" help:"Secret of an upstream or worker key."`
	Name    string   `required:"" help:"Name of the runner or worker."`
	Zone    string   `default:"nord" help:"Availability zone."`
	Log     bool     `help:"Write what runs to standard output."`
}

// log returns the writer to which runs are logged, or nil if they are not logged.
func (s *sharedOptions) log() io.Writer {
	if s.Log {
		return os.Stdout
	}
	return nil
}

type runner struct {
	sharedOptions
	Entry       string        `required:"" help:"Catalogue entry that it serves."`
	Listen      string        `default:"127.0.0.1:0" help:"Address to serve on."`
	Announce    string        `help:"Address to announce; by default the one it serves on."`
	Slots       int64         `default:"8" help:"Requests at once."`
	Connections int64         `default:"64" help:"Connections at once."`
	Interval    time.Duration `default:"2s" help:"Time between two announcements."`
	Delay       time.Duration `help:"Time before each answer."`
	Status      int           `help:"Status of the answers."`
	Break       string        `enum:",before,half" default:"" help:"Break answers off: before or half."`
	Refuse      bool          `help:"Refuse every request with 503."`
	Wrong       bool          `help:"Answer with another request's identity."`
	Bytes       int           `help:"Length of the answers; by default the request is echoed."`
}

type worker struct {
	sharedOptions
	Count        int           `default:"1" help:"Number of workers; their names get a number appended."`
	Rack         string        `default:"r1" help:"Rack."`
	CPU          int64         `default:"32000" help:"Millicores."`
	Memory       int64         `default:"68719476736" help:"Bytes."`
	Accelerators int64         `help:"Whole devices."`
	Accelerator  string        `help:"Model of the accelerators."`
	Interval     time.Duration `default:"1s" help:"Time between two polls."`
	Lag          time.Duration `default:"5s" help:"Age of the reported usage."`
	Fail         bool          `help:"Fail every task."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var o options
	k := kong.Parse(&o, kong.Name("standin"), kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Description("Stand-ins for a service runner and for workers."))
	k.FatalIfErrorf(k.Run())
}

// Run announces the runner and serves requests until ctx is done.
func (r *runner) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", r.Listen)
	if err != nil {
		return err
	}
	o := standin.RunnerOptions{
		Name: r.Name, Entry: r.Entry, Zone: r.Zone, Key: r.Key, Entries: r.Entries, Listener: listener,
		Slots: r.Slots, Connections: r.Connections, Interval: r.Interval, Log: r.log(),
		Behaviour: standin.Behaviour{Delay: r.Delay, Status: r.Status, Break: r.Break, Refuse: r.Refuse, Wrong: r.Wrong, Bytes: r.Bytes},
	}
	if r.Announce != "" {
		if o.Address, err = netip.ParseAddrPort(r.Announce); err != nil {
			return err
		}
	}
	s, err := standin.NewRunner(o)
	if err != nil {
		return err
	}
	return s.Run(ctx)
}

// Run polls as each of the workers until ctx is done.
func (w *worker) Run(ctx context.Context) error {
	client := standin.NewClient(w.Entries, w.Key, nil)
	group, ctx := errgroup.WithContext(ctx)
	for i := range w.Count {
		name := w.Name
		if w.Count > 1 {
			name += "-" + strconv.Itoa(i+1)
		}
		s := standin.NewWorker(standin.WorkerOptions{
			Name: name, Zone: w.Zone, Rack: w.Rack, Client: client, Interval: w.Interval, Lag: w.Lag,
			Capacity:    api.Size{CPU: w.CPU, Memory: w.Memory, Accelerators: w.Accelerators},
			Accelerator: w.Accelerator, Fail: w.Fail, Log: w.log(),
		})
		group.Go(func() error { return s.Run(ctx) })
	}
	return group.Wait()
}
