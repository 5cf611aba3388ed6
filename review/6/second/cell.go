package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are those of the installation rmpc-thies, in the units of the settings.
var bounds = map[string]any{
	"lease": 6000, "stop": 900, "gang": 3000, "report": 1500, "grace": 6.0, "keep": 120.0, "contact": 3000,
	"maintenance": 2.0, "holder": 3000,
}

// control and entry processes of the cell. Each has a loopback address of its own, as machines have.
const (
	controls = 3
	entries  = 2
)

// cell is a running system: control and entry processes on loopback.
type cell struct {
	record    *record
	folder    string // for settings, data and logs
	network   string // first three numbers of all addresses
	port      int    // first of the ports that all processes use
	processes []*process
	client    *http.Client
}

// started are the cells that were prepared.
var started struct {
	mu    sync.Mutex
	cells []*cell
}

// stopAll ends the processes of all cells.
func stopAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, c := range started.cells {
		c.stop()
	}
}

// process is one process of the system.
type process struct {
	name, address, settings, log string
	command                      *exec.Cmd
	done                         chan struct{}
	mu                           sync.Mutex
}

// newCell starts the processes and waits until the entry processes are ready.
func newCell(r *record) (*cell, error) {
	c, err := prepareCell(r)
	if err != nil {
		return c, err
	}
	for _, p := range c.processes {
		if err := p.start(); err != nil {
			return c, err
		}
	}
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		if c.ready(0) && c.ready(1) {
			r.add("the cell is ready: %d control and %d entry processes", controls, entries)
			return c, nil
		}
	}
	return c, errors.New("the cell did not become ready within 10 s")
}

// prepareCell writes the settings of the processes and starts none.
func prepareCell(r *record) (*cell, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	c := &cell{record: r, folder: folder, client: &http.Client{
		Timeout:   4 * time.Second,
		Transport: &http.Transport{DisableKeepAlives: true},
	}}
	started.mu.Lock()
	started.cells = append(started.cells, c)
	started.mu.Unlock()
	if err := c.chooseAddresses(); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range controls {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.address(i), c.port+1))
	}
	for i := range controls + entries {
		p := &process{address: c.address(i)}
		s := map[string]any{
			"address": p.address, "zone": fmt.Sprintf("zone-%d", i%3+1), "founding": true, "ports": []int{c.port + 4, c.port + 19},
			"seeds": seeds, "metrics": 0, "limits": map[string]any{"files": 4096, "memory": 280},
			"rates": map[string]any{"lists": 60.0, "orders": 60.0}, "bounds": bounds,
		}
		if i < controls {
			p.name = fmt.Sprintf("core-%d", i+1)
			s["control"], s["data"] = seeds[i], filepath.Join(folder, p.name)
			if err := os.MkdirAll(filepath.Join(folder, p.name), 0o755); err != nil {
				return nil, err
			}
		} else {
			p.name = fmt.Sprintf("frontend-%d", i-controls+1)
			s["callers"] = fmt.Sprintf("%s:%d", p.address, c.port+2)
			s["ready"] = fmt.Sprintf("%s:%d", p.address, c.port+3)
		}
		s["name"] = p.name
		p.settings, p.log = filepath.Join(folder, p.name+".json"), filepath.Join(folder, p.name+".log")
		b, err := json.Marshal(s)
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(p.settings, b, 0o644); err != nil {
			return nil, err
		}
		c.processes = append(c.processes, p)
	}
	return c, nil
}

// chooseAddresses picks a network on loopback and ports that are free there.
func (c *cell) chooseAddresses() error {
	for i := range 50 {
		id := os.Getpid() + 7919*i
		c.network, c.port = fmt.Sprintf("127.%d.%d", 20+id%200, id/200%250+1), 20000+id%400*50
		free := true
		for k := range controls + entries {
			for p := range 20 {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", c.address(k), c.port+p))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return nil
		}
	}
	return errors.New("no free ports")
}

// address returns the address of a process.
func (c *cell) address(i int) string { return fmt.Sprintf("%s.%d", c.network, i+1) }

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	p.command = exec.Command("target/rosemaryloft-cell")
	p.command.Env = append(os.Environ(), "ROSEMARYLOFT_SETTINGS="+p.settings)
	p.command.Stdout, p.command.Stderr = f, f
	if err := p.command.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	command, done := p.command, p.done
	go func() { _ = command.Wait(); close(done) }()
	return nil
}

// running reports whether the process runs.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// kill ends the process and waits until it is gone.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// restart starts the process again, as a platform does, with first_start set to false.
func (p *process) restart() error {
	b, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.settings, bytes.Replace(b, []byte(`"founding":true`), []byte(`"founding":false`), 1), 0o644); err != nil {
		return err
	}
	return p.start()
}

// stop ends all processes and removes their files, unless KEEP is set.
func (c *cell) stop() {
	for _, p := range c.processes {
		if p.command != nil && p.running() {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.folder)
	} else {
		fmt.Println("kept", c.folder)
	}
}

func (c *cell) ready(entry int) bool {
	r, err := c.client.Get(fmt.Sprintf("http://%s:%d/v1/ready", c.address(controls+entry), c.port+3))
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// leader returns the control process that leads, as its log says, or nil.
func (c *cell) leader() *process {
	var latest *process
	at := ""
	for _, p := range c.processes[:controls] {
		b, err := os.ReadFile(p.log)
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(b), "\n") {
			var e struct{ Time, Msg string }
			if json.Unmarshal([]byte(line), &e) == nil && e.Msg == "leader takes over" && e.Time > at {
				latest, at = p, e.Time
			}
		}
	}
	return latest
}

// answer is a response to a call.
type answer struct {
	status int // zero if there was none
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s", a.status, a.body))
}

// call sends a request of a requester to an entry process.
func (c *cell) call(entry int, method, path, key string, body any) answer {
	return c.send(method, fmt.Sprintf("http://%s:%d%s", c.address(controls+entry), c.port+2, path), key, body)
}

// configure sends a desired state, to one control process after the other, until one acknowledges it.
func (c *cell) configure(state map[string]any) error {
	var a answer
	for i := range 40 {
		a = c.send(http.MethodPut, fmt.Sprintf("http://%s:%d/v1/configuration", c.address(i%controls), c.port+1), "", state)
		if a.status == http.StatusOK {
			c.record.add("desired state %v is acknowledged", state["version"])
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("desired state %v is not acknowledged: %s", state["version"], a)
}

func (c *cell) send(method, url, key string, body any) answer {
	var reader io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return answer{err: err}
		}
		reader = bytes.NewReader(b)
	}
	q, err := http.NewRequest(method, url, reader)
	if err != nil {
		return answer{err: err}
	}
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Deadline-Milliseconds", "3000")
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	r, err := c.client.Do(q)
	if err != nil {
		return answer{err: err}
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: r.StatusCode, body: string(b)}
}
