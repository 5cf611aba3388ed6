// Command rosemaryloft-cell runs a process of a cell on a platform that places the
// processes and completes their settings. docs/platform.md describes it.
//
// # Usage
//
//	rosemaryloft-cell [run] [FILE]  run until SIGINT or SIGTERM
//	rosemaryloft-cell check FILE    report the problems in a settings file
//
// Without FILE, the environment variable ROSEMARYLOFT_SETTINGS names the settings
// file. The file is reloaded on SIGHUP and whenever it has changed.
//
// # Exit codes
//
//	0  stopped by a signal, or the settings have no findings
//	1  the settings have findings
//	2  the process failed
//	80 the command line is invalid
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/rosemaryloft/rosemaryloft/platform"
)

// Exit codes.
const (
	exitStopped  = 0
	exitSettings = 1
	exitFailed   = 2
)

type options struct {
	Run   fileOptions `cmd:"" default:"withargs" help:"Run the process."`
	Check fileOptions `cmd:"" help:"Report what is wrong with a settings file."`
}

type fileOptions struct {
	File string `arg:"" optional:"" env:"ROSEMARYLOFT_SETTINGS" help:"Settings file." type:"path"`
}

func main() {
	var o options
	k := kong.Parse(&o, kong.Name("rosemaryloft-cell"), kong.Description("Process of a cell of the cluster scheduler."))
	path := o.Run.File
	check := k.Selected() != nil && k.Selected().Name == "check"
	if check {
		path = o.Check.File
	}
	os.Exit(run(path, check))
}

// run checks the settings file or runs the process, and returns the exit code.
func run(path string, check bool) int {
	s, err := platform.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if check {
		return exitStopped
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := platform.Serve(ctx, path, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitStopped
}
