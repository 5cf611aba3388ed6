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

// stopTime bounds how long Close waits for a process after SIGTERM. It is above
// the daemon's own bound on a graceful shutdown.
const stopTime = 50 * time.Second

// tailBytes is how much of a log an error quotes.
const tailBytes = 2000

// Process is one started program.
type Process struct {
	command *exec.Cmd
	log     string
	done    chan struct{}
	err     error // of Wait; read after done is closed
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

// Signal sends a signal, by the process's id.
func (p *Process) Signal(s syscall.Signal) error { return p.command.Process.Signal(s) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	err := p.Signal(syscall.SIGKILL)
	<-p.done
	return err
}

// Stop asks for a graceful shutdown and waits for its end. It fails if the
// process does not end in time or reports a failure.
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
	case <-time.After(stopTime):
		return errors.CombineErrors(errors.New("the process did not end in time"), p.Kill())
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Log returns what the process has written.
func (p *Process) Log() string {
	content, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(content)
}

// Tail returns the end of what the process has written.
func (p *Process) Tail() string {
	s := p.Log()
	if len(s) > tailBytes {
		s = s[len(s)-tailBytes:]
	}
	return strings.TrimSpace(s)
}

// Close stops all processes, the stand-ins first, and reports those that did
// not end well.
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

// newClient returns a client; the options are known to be valid.
func newClient(key string, addresses []string) *client.Client {
	c, err := client.New(client.Options{Key: key, Addresses: addresses})
	if err != nil {
		panic(err)
	}
	return c
}
