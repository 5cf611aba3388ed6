package cell

import (
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/pkg/client"
)

// stopTimeout is how long Stop waits for a process to exit after SIGTERM. It is
// longer than the daemon's own limit on a graceful shutdown.
const stopTimeout = 50 * time.Second

// tailBytes is the maximum length of the end of a log that Tail returns.
const tailBytes = 2000

// Process is a program that was started.
type Process struct {
	command *exec.Cmd
	log     string
	done    chan struct{}
	err     error // result of Wait; valid once done is closed
}

func start(program, log string, arguments []string) (*Process, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	p := &Process{command: exec.Command(program, arguments...), log: log, done: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = out, out
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = p.command.Wait()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.command.Process.Signal(s) }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() error {
	err := p.Signal(syscall.SIGKILL)
	<-p.done
	return err
}

// Stop sends SIGTERM and waits until the process has exited. It returns an error if
// the process exits with a failure, and kills it if it does not exit in time.
func (p *Process) Stop() error {
	if p.Ended() {
		return p.err
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTimeout):
		return errors.CombineErrors(errors.New("process did not exit in time after SIGTERM"), p.Kill())
	}
}

// Ended reports whether the process has exited.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Log returns the process's output, or the error text if it cannot be read.
func (p *Process) Log() string {
	content, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(content)
}

// Tail returns the end of the process's output.
func (p *Process) Tail() string {
	s := p.Log()
	if len(s) > tailBytes {
		s = s[len(s)-tailBytes:]
	}
	return strings.TrimSpace(s)
}

// Close stops all processes, the stand-ins first, and closes the relays. The error
// combines those of all processes that did not shut down cleanly.
func (c *Cell) Close() error {
	var daemons, others []*Process
	for name, p := range c.Processes {
		if _, ok := c.Node(name); ok {
			daemons = append(daemons, p)
		} else {
			others = append(others, p)
		}
	}
	err := errors.CombineErrors(stopAll(others), stopAll(daemons))
	for _, r := range c.relays {
		err = errors.CombineErrors(err, r.Close())
	}
	return err
}

func stopAll(processes []*Process) error {
	var mu sync.Mutex
	var all error
	var wait sync.WaitGroup
	for _, p := range processes {
		wait.Go(func() {
			if err := p.Stop(); err != nil {
				mu.Lock()
				defer mu.Unlock()
				all = errors.CombineErrors(all, errors.Wrapf(err, "process %d", p.command.Process.Pid))
			}
		})
	}
	wait.Wait()
	return all
}

func ready(n Node) bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+n.HTTP.String()+"/ready", time.Second)
	return err == nil && status == fasthttp.StatusOK
}

// newClient returns a client. It panics on invalid options, which its callers never
// pass.
func newClient(key string, attempts int, addresses []string) *client.Client {
	c, err := client.New(client.Options{Key: key, Attempts: attempts, Addresses: addresses})
	if err != nil {
		panic(err)
	}
	return c
}
