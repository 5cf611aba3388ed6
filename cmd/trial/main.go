// Command trial starts a cell of four daemons on loopback together with simulated
// runners and workers, each daemon, runner and group of workers in its own process.
// It sends service requests, a batch job and a gang job through the cell, checks
// that requests which are not permitted are refused, prints each result, and stops
// all processes.
//
// # Exit codes
//
//	0  every step succeeded and all processes were stopped
//	1  a step failed; the folder with the logs is kept and its path printed
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

	"github.com/rosemaryloft/rosemaryloft/internal/cell"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
	"github.com/rosemaryloft/rosemaryloft/pkg/client"
)

// runTimeout bounds the duration of the whole run.
const runTimeout = 55 * time.Second

type options struct {
	Binaries string `help:"Folder of the programs; by default the one of this program." type:"path"`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("trial"), kong.Description("Run a cell on loopback and send work through it."))
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "trial:", err)
		os.Exit(1)
	}
}

func run(o options) (err error) {
	if o.Binaries == "" {
		program, err := os.Executable()
		if err != nil {
			return err
		}
		o.Binaries = filepath.Dir(program)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	folder, err := os.MkdirTemp("", "rosemaryloft-trial-")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "logs are in %s", folder)
			return
		}
		err = os.RemoveAll(folder)
	}()
	c, err := cell.New(cell.Options{Binaries: o.Binaries, Folder: folder, Control: 3, Entries: 4})
	if err != nil {
		return err
	}
	defer func() {
		if closed := c.Close(); closed != nil {
			err = errors.CombineErrors(err, closed)
			return
		}
		fmt.Println("all processes stopped")
	}()
	return runSteps(ctx, c)
}

// runSteps starts the cell and sends all work through it.
func runSteps(ctx context.Context, c *cell.Cell) error {
	if err := c.Start(ctx); err != nil {
		return err
	}
	status, err := c.Operator().Status(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("cell ready: leader %s, %d control replicas, %d entry VMs\n", status.Leader, len(status.Members), len(status.Entries))
	keys, err := c.Fill(ctx)
	if err != nil {
		return errors.Wrap(err, "fill the catalogue")
	}
	if err := startUpstreams(ctx, c, keys); err != nil {
		return err
	}
	caller := c.Client(keys.Caller)
	for _, step := range []func(context.Context, *client.Client) error{sendRequest, sendOrder, runBatch, runGang} {
		if err := step(ctx, caller); err != nil {
			return err
		}
	}
	return checkRefusals(ctx, c, keys)
}

// startUpstreams starts two runners of each service, workers without and with
// accelerators, and waits until the cell lists all of them.
func startUpstreams(ctx context.Context, c *cell.Cell, keys cell.Keys) error {
	for _, name := range []string{"a", "b"} {
		for _, entry := range []string{cell.Service, cell.Orders} {
			if err := c.Runner("runner-"+entry+"-"+name, entry, keys.Upstream); err != nil {
				return err
			}
		}
	}
	if err := c.Workers("worker", keys.Worker, 5, "--rack", "r1"); err != nil {
		return err
	}
	if err := c.Workers("gpu", keys.Worker, 3, "--rack", "r2", "--cpu", "128000", "--memory", fmt.Sprint(512<<30), "--accelerators", "8"); err != nil {
		return err
	}
	o := c.Operator()
	return errors.Wrap(cell.Until(ctx, func() bool {
		runners, err := o.Upstreams(ctx)
		if err != nil || len(runners) < 4 {
			return false
		}
		for _, r := range runners {
			if r.Owner == "" {
				return false
			}
		}
		workers, err := o.Workers(ctx)
		return err == nil && len(workers) == 8
	}), "wait for runners and workers")
}

func sendRequest(ctx context.Context, caller *client.Client) error {
	return send(ctx, caller, cell.Service, "request", true)
}

// sendOrder sends a request that must be executed at most once, with an idempotency
// key.
func sendOrder(ctx context.Context, caller *client.Client) error {
	return send(client.WithIdentity(ctx, "order-17"), caller, cell.Orders, "order", false)
}

func send(ctx context.Context, caller *client.Client, entry, what string, idempotent bool) error {
	body := "battery 17"
	answer, err := caller.Request(ctx, entry, "/check", []byte(body), idempotent)
	if err != nil {
		return errors.Wrap(err, what)
	}
	if answer.Status != 200 || string(answer.Body) != body {
		return errors.Newf("%s: unexpected response: status %d, body %q", what, answer.Status, answer.Body)
	}
	fmt.Printf("%s: answered with status %d and %d bytes\n", what, answer.Status, len(answer.Body))
	return nil
}

func runBatch(ctx context.Context, caller *client.Client) error {
	return runJob(ctx, caller, "batch job", api.Submission{
		Entry: cell.Batch, Tasks: 6, Size: api.Size{CPU: 4000, Memory: 8 << 30}, Seconds: 1, Command: "sleep 1s",
	})
}

func runGang(ctx context.Context, caller *client.Client) error {
	return runJob(ctx, caller, "all-at-once job", api.Submission{
		Entry: cell.Gang, Tasks: 3, Size: api.Size{CPU: 16000, Memory: 32 << 30, Accelerators: 8}, Seconds: 1, Command: "sleep 1s",
	})
}

func runJob(ctx context.Context, caller *client.Client, what string, submission api.Submission) error {
	j, err := caller.Submit(ctx, submission)
	if err != nil {
		return errors.Wrap(err, what)
	}
	if j, err = caller.Wait(ctx, j.ID); err != nil {
		return errors.Wrap(err, what)
	}
	if j.State != "succeeded" {
		return errors.Newf("%s %d: %s %s", what, j.ID, j.State, j.Reason)
	}
	fmt.Printf("%s %d: %s, %d tasks in %s\n", what, j.ID, j.State, len(j.Tasks),
		j.Ended.Sub(j.Submitted).Round(time.Millisecond))
	return nil
}

// checkRefusals checks that work which is not permitted or cannot run is refused
// with the right code.
func checkRefusals(ctx context.Context, c *cell.Cell, keys cell.Keys) error {
	for _, x := range []struct {
		what string
		key  string
		size api.Size
		code api.Code
	}{
		{"a wrong key", "wrong", api.Size{CPU: 1}, api.Unauthorized},
		{"another team's key", keys.Stranger, api.Size{CPU: 1}, api.Forbidden},
		{"a job that fits no worker", keys.Caller, api.Size{CPU: 1 << 40}, api.Infeasible},
	} {
		_, err := c.Client(x.key).Submit(ctx, api.Submission{Entry: cell.Batch, Tasks: 1, Size: x.size})
		var e *api.Error
		if !errors.As(err, &e) || e.Code != x.code || e.Ran != api.RanNo {
			return errors.Newf("%s: not refused as expected: got %v", x.what, err)
		}
		fmt.Printf("%s: refused, %s\n", x.what, e.Code)
	}
	return nil
}
