// Command rosemaryloftd is the daemon of rosemaryloft. A JSON settings file, which
// docs/settings.md describes, determines its roles.
//
// # Usage
//
//	rosemaryloftd [run] [FILE]   run until SIGINT or SIGTERM
//	rosemaryloftd check FILE     report all problems in a settings file
//
// Without a file, all roles run in one process that listens on loopback, with a
// data folder in the working folder.
//
// # Exit codes
//
//	0  stopped by a signal, or the settings have no findings
//	1  the settings have findings, or files that they need cannot be created
//	2  the daemon failed
//	80 the command line is invalid
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/rosemaryloft/rosemaryloft/internal/process/daemon"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/process/settings"
)

// Exit codes.
const (
	exitStopped  = 0
	exitSettings = 1
	exitFailed   = 2
)

type options struct {
	Run   run   `cmd:"" default:"withargs" help:"Run the daemon."`
	Check check `cmd:"" help:"Report everything that is wrong with a settings file."`
}

type run struct {
	File string `arg:"" optional:"" help:"Settings file. Without one, all roles run in one process on loopback." type:"path"`
}

type check struct {
	File string `arg:"" help:"Settings file." type:"path"`
}

func main() {
	var o options
	k := kong.Parse(&o, kong.Name("rosemaryloftd"), kong.Description("Cluster scheduler for unlike workloads."))
	if k.Command() == "check <file>" {
		os.Exit(settings.Check(o.Check.File, time.Now(), os.Stdout))
	}
	os.Exit(serve(o.Run.File))
}

// serve runs the daemon until a signal arrives and returns the exit code.
func serve(file string) int {
	s := settings.Default()
	if file != "" {
		var findings []settings.Finding
		if s, findings = settings.Load(file, time.Now()); len(findings) > 0 {
			for _, f := range findings {
				fmt.Fprintf(os.Stderr, "%s: %s\n", file, f)
			}
			return exitSettings
		}
	}
	s, err := settings.Prepare(s, time.Now())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	logger, err := newLogger(&s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = logger.Sync() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	d, err := daemon.New(daemon.Options{Settings: s, Log: event.New(logger)})
	if err == nil {
		err = d.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitStopped
}

// newLogger returns a logger that writes every event. Sampling is off because it
// would drop decisions, and operators need each of them.
func newLogger(s *settings.Settings) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(s.Level())
	c.Sampling = nil
	c.DisableCaller = true
	c.EncoderConfig.TimeKey = "time"
	c.EncoderConfig.EncodeTime = func(t time.Time, e zapcore.PrimitiveArrayEncoder) { e.AppendString(t.UTC().Format(time.RFC3339Nano)) }
	return c.Build(zap.Fields(zap.String("process", s.Name)))
}
