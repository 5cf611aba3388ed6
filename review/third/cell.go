package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes. Each process has its own loopback address, as on the platform.
const (
	callersPort = 18686
	readyPort   = 18689
	controlPort = 18688
	peerPort    = 17180
	runnerPort  = 18080
	advicePort  = 18683
	cloudPort   = 18684
)

// Hosts of the processes in the loopback network of a case.
const (
	firstControl = 10
	firstEntry   = 30
	firstRunner  = 100
	adviceHost   = 250
	cloudHost    = 251
)

// bounds are those of rmpc-thies, or of bellerive-crates where a case says so.
type bounds struct {
	lease, stop, gang, report, contact int     // milliseconds
	grace, keep                        float64 // seconds
	maintenance                        float64 // seconds
	holder                             int     // milliseconds
}

var thiesBounds = bounds{lease: 6000, stop: 900, gang: 3000, report: 1500, contact: 3000, grace: 6, keep: 120, maintenance: 2, holder: 3000}

// cell is a set of processes of the system, started with the command of the deploy file.
type cell struct {
	record  *record
	folder  string
	binary  string
	network int // second and third byte of the addresses
	bounds  bounds
	cloud   bool

	processes []*process
}

// process is one process of the cell.
type process struct {
	cell    *cell
	name    string
	host    int
	control bool

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	planned bool  // it ends because this test ends it
	exits   []int // when it ended by itself, in milliseconds since the start of the record
}

// newCell finds a free loopback network.
func newCell(r *record, binary string) (*cell, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	c := &cell{record: r, folder: folder, binary: binary, bounds: thiesBounds}
	for i := range 20000 {
		n := 256*20 + (os.Getpid()*37+i*101)%(256*180)
		c.network = n
		l, err := net.Listen("tcp", c.address(254, controlPort))
		if err != nil {
			continue
		}
		l2, err := net.Listen("tcp", c.address(firstControl, controlPort))
		l.Close()
		if err == nil {
			l2.Close()
			return c, nil
		}
	}
	return nil, fmt.Errorf("no free loopback network")
}

func (c *cell) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.network>>8, c.network&255, host)
}

func (c *cell) address(host, port int) string { return fmt.Sprintf("%s:%d", c.ip(host), port) }

// add adds a process, which start starts.
func (c *cell) add(control bool) *process {
	host, kind := firstEntry, "frontend"
	if control {
		host, kind = firstControl, "core"
	}
	n := 0
	for _, p := range c.processes {
		if p.control == control {
			n++
		}
	}
	p := &process{cell: c, host: host + n, control: control, name: fmt.Sprintf("%s-%d", kind, n+1)}
	c.processes = append(c.processes, p)
	return p
}

func (c *cell) controls() []*process { return c.pick(true) }
func (c *cell) entries() []*process  { return c.pick(false) }

func (c *cell) pick(control bool) []*process {
	var list []*process
	for _, p := range c.processes {
		if p.control == control {
			list = append(list, p)
		}
	}
	return list
}

// settings renders the settings file, as deploy/settings.json does.
func (p *process) settings(first bool) []byte {
	c, b := p.cell, p.cell.bounds
	var seeds []string
	for _, o := range c.controls() {
		if len(seeds) < 3 {
			seeds = append(seeds, c.address(o.host, controlPort))
		}
	}
	m := map[string]any{
		"name": p.name, "address": c.ip(p.host), "zone": "thies-nord", "founding": first, "data": "",
		"ports": []int{peerPort, peerPort + 15}, "seeds": seeds, "callers": "", "ready": "", "control": "", "metrics": 9480,
		"advice": c.address(adviceHost, advicePort), "cloud": "",
		"rates": map[string]any{"lists": 60.0, "orders": 60.0}, "limits": map[string]any{"files": 4096, "memory": 280},
		"bounds": map[string]any{
			"lease": b.lease, "stop": b.stop, "gang": b.gang, "report": b.report, "grace": b.grace, "keep": b.keep,
			"contact": b.contact, "maintenance": b.maintenance, "holder": b.holder,
		},
	}
	if c.cloud {
		m["cloud"] = c.address(cloudHost, cloudPort)
	}
	if p.control {
		m["control"], m["data"] = c.address(p.host, controlPort), p.data()
	} else {
		m["callers"], m["ready"] = c.address(p.host, callersPort), c.address(p.host, readyPort)
	}
	body, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return body
}

func (p *process) data() string { return filepath.Join(p.cell.folder, p.name) }

func (p *process) logPath() string { return filepath.Join(p.cell.folder, p.name+".log") }

// start starts the process. One that ends by itself is started again after a short delay.
func (p *process) start(first bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	file := filepath.Join(p.cell.folder, p.name+".toml")
	if err := os.WriteFile(file, p.settings(first), 0o600); err != nil {
		return err
	}
	if p.control {
		if err := os.MkdirAll(p.data(), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.planned, p.ended = false, make(chan struct{})
	p.command = exec.Command(p.cell.binary)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.cell.folder, "ROSEMARYLOFT_SETTINGS=" + file}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		p.command = nil
		return err
	}
	go p.wait(p.command, log, p.ended)
	return nil
}

func (p *process) wait(command *exec.Cmd, log *os.File, ended chan struct{}) {
	err := command.Wait()
	log.Close()
	p.mu.Lock()
	planned := p.planned
	if !planned {
		p.exits = append(p.exits, int(time.Since(p.cell.record.start).Milliseconds()))
		p.cell.record.add("process %s ended by itself: %v", p.name, err)
	}
	p.mu.Unlock()
	close(ended)
	if !planned {
		time.Sleep(300 * time.Millisecond)
		p.mu.Lock()
		stopped := p.planned
		p.mu.Unlock()
		if !stopped {
			if err := p.start(false); err != nil {
				p.cell.record.add("process %s does not start again: %v", p.name, err)
			}
		}
	}
}

// exitCount returns how often the process has ended by itself.
func (p *process) exitCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.exits)
}

// signal sends a signal. With end set, the process is expected to end.
func (p *process) signal(s syscall.Signal, end bool) {
	p.mu.Lock()
	p.planned = p.planned || end
	command, ended := p.command, p.ended
	p.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(s)
	if end {
		<-ended
	}
}

// stop ends all processes and removes their files.
func (c *cell) stop(keep bool) {
	for _, p := range c.processes {
		p.mu.Lock()
		p.planned = true
		command, ended := p.command, p.ended
		p.mu.Unlock()
		if command == nil {
			continue
		}
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		<-ended
	}
	if !keep {
		os.RemoveAll(c.folder)
	}
}
