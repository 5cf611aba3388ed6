// Command rosemaryloft-emulate plays a scenario against the processes of a cell on
// loopback and prints what callers got, what the processes used, and which rules
// were broken. Package platform/emulator describes scenarios. A scenario with an
// experiment is played several times; the folder gets the report of each play, and a
// table of all is printed.
//
// # Usage
//
//	rosemaryloft-emulate [--network N] [--folder DIR] [--profile SECONDS] [--record FILE] SCENARIO
//
// # Exit codes
//
//	0  played, and no rule was broken
//	1  a rule was broken or a process ended by itself
//	2  the scenario could not be played
//	80 the command line is invalid
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/platform/emulator"
)

// Exit codes.
const (
	exitBroken = 1
	exitFailed = 2
)

type options struct {
	Scenario string        `arg:"" help:"Scenario file." type:"existingfile"`
	Binary   string        `help:"Program of the processes; by default rosemaryloft-cell beside this program." type:"path"`
	Folder   string        `help:"Folder for data and logs; by default a new temporary one." type:"path"`
	Network  int           `help:"Second byte of the loopback addresses." default:"40"`
	Record   string        `help:"File for the load of the run, which package fit replays." type:"path"`
	Profile  time.Duration `help:"Length of a processor profile of the leader, which is written to the folder as leader.pprof."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("rosemaryloft-emulate"), kong.Description("Play a scenario against a cell on loopback."))
	broken, err := run(o)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	case broken:
		os.Exit(exitBroken)
	}
}

func run(o options) (broken bool, err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	s, err := emulator.LoadScenario(o.Scenario)
	if err != nil {
		return false, err
	}
	if o.Binary == "" {
		program, err := os.Executable()
		if err != nil {
			return false, err
		}
		o.Binary = filepath.Join(filepath.Dir(program), "rosemaryloft-cell")
	}
	if o.Folder == "" {
		if o.Folder, err = os.MkdirTemp("", "rosemaryloft-emulate-"); err != nil {
			return false, err
		}
	}
	settings := emulator.Options{Scenario: s, Network: o.Network, Binary: o.Binary, Folder: o.Folder, Profile: o.Profile, Record: o.Record}
	if s.Experiment != nil {
		return runExperiment(ctx, settings)
	}
	e, err := emulator.New(settings)
	if err != nil {
		return false, err
	}
	r, err := e.Run(ctx)
	if err != nil {
		return false, err
	}
	fmt.Println("logs are in", o.Folder)
	return len(r.Violations) > 0 || r.Exits > 0, r.Write(os.Stdout)
}

// runExperiment plays an experiment and prints each row of its table once it is known, and
// then the whole table.
func runExperiment(ctx context.Context, settings emulator.Options) (broken bool, err error) {
	var plays []emulator.Play
	err = emulator.RunExperiment(ctx, settings, func(p emulator.Play) {
		plays = append(plays, p)
		broken = broken || len(p.Report.Violations) > 0 || p.Report.Exits > 0
		fmt.Fprintf(os.Stderr, "played share %g with seed %d: %d violations, %d exits\n", p.Share, p.Seed, len(p.Report.Violations), p.Report.Exits)
	})
	if err != nil && len(plays) == 0 {
		return false, err
	}
	fmt.Println("logs are in", settings.Folder)
	return broken, errors.CombineErrors(err, emulator.WritePlays(os.Stdout, plays))
}
