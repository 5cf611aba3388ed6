package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Ports are the same for all processes, since each has its own loopback address.
const (
	callersPort = 8686
	readyPort   = 8689
	controlPort = 8688
	workerPort  = 8080
	advicePort  = 8683
	// Entry processes use other ports between processes than control processes, so
	// that their connections to each other can lead through proxies.
	controlPeers = 7180
	entryPeers   = 7380
)

// bounds are those of the deployment rmpc-thies.
var bounds = map[string]any{
	"max_hold_ms": 6000, "stop_timeout_ms": 900, "gang_timeout_ms": 3000, "grace_period_s": 6.0, "status_s": 120,
	"contact_ms": 3000, "maintenance_s": 2, "lease_ms": 3000,
}

// cell is a set of processes of the project on loopback addresses.
type cell struct {
	root     string // of the repository
	folder   string // for settings, disks and logs
	network  int    // third byte of all addresses
	record   *record
	seeds    []string
	controls []*process
	entries  []*process
}

// process is one process of the cell.
type process struct {
	cell     *cell
	name     string
	address  string
	settings string
	command  *exec.Cmd
	exited   chan struct{} // closed when the command has ended
}

func newCell(root string, r *record) (*cell, error) {
	if _, err := os.Stat(filepath.Join(root, "target", "rosemaryloft-cell")); err != nil {
		return nil, errors.New("target/rosemaryloft-cell is missing: run the build of the deploy file first")
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cell{root: root, folder: folder, record: r}
	if c.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	for i := range 3 {
		c.seeds = append(c.seeds, c.join(10+i, controlPort))
	}
	return c, nil
}

// freeNetwork returns a third byte of loopback addresses that nobody listens on.
func freeNetwork() (int, error) {
	for i := range 150 {
		n := 30 + (os.Getpid()+i)%150
		free := true
		for _, port := range []int{controlPort, callersPort, workerPort} {
			for _, host := range []int{10, 20, 100} {
				l, err := net.Listen("tcp4", fmt.Sprintf("127.0.%d.%d:%d", n, host, port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return n, nil
		}
	}
	return 0, errors.New("no free loopback network")
}

func (c *cell) host(host int) string { return fmt.Sprintf("127.0.%d.%d", c.network, host) }

func (c *cell) join(host, port int) string { return fmt.Sprintf("%s:%d", c.host(host), port) }

// startControls starts three control processes, and startEntries n entry processes.
func (c *cell) startControls() error {
	for i := range 3 {
		p, err := c.start(fmt.Sprintf("core-z%d-1", i), 10+i, true, controlPeers)
		if err != nil {
			return err
		}
		c.controls = append(c.controls, p)
	}
	return nil
}

func (c *cell) startEntries(n, peers int) error {
	for i := range n {
		p, err := c.start(fmt.Sprintf("frontend-z%d-1", i), 20+i, false, peers)
		if err != nil {
			return err
		}
		c.entries = append(c.entries, p)
	}
	return nil
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)

// start fills in the template of the settings, as the platform does, and starts a
// process with the command of the deploy file.
func (c *cell) start(name string, host int, control bool, peers int) (*process, error) {
	template, err := os.ReadFile(filepath.Join(c.root, "deploy", "settings.json"))
	if err != nil {
		return nil, err
	}
	address := c.host(host)
	v := map[string]any{
		"node_name": name, "ip_address": address, "zone": "z" + fmt.Sprint(host%10), "first_start": true,
		"internal_port_range": []int{peers, peers + 15}, "seeds": c.seeds, "heartbeat_interval_ms": 1500,
		"advisor": c.join(200, advicePort), "cloud_api.address": c.join(201, advicePort),
		"cloud_api.rate_per_s": 60.0, "cloud_api.duty_per_s": 60.0,
		"limits.file_descriptors": 4100, "limits.memory_mb": 284,
	}
	for k, b := range bounds {
		v["bounds."+k] = b
	}
	if control {
		v["listen_addresses.control_plane"], v["data_directory"] = c.join(host, controlPort), filepath.Join(c.folder, name)
	} else {
		v["listen_addresses.frontend"], v["listen_addresses.ready"] = c.join(host, callersPort), c.join(host, readyPort)
	}
	filled := placeholder.ReplaceAllStringFunc(string(template), func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		if m[2] == "" {
			if v[m[1]] == nil {
				return ""
			}
			return fmt.Sprint(v[m[1]])
		}
		b, err := json.Marshal(v[m[1]])
		if err != nil {
			return "null"
		}
		return string(b)
	})
	p := &process{cell: c, name: name, address: address, settings: filepath.Join(c.folder, name+".json")}
	if err := os.WriteFile(p.settings, []byte(filled), 0o600); err != nil {
		return nil, err
	}
	return p, p.run()
}

// run starts or restarts the process.
func (p *process) run() error {
	log, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(filepath.Join(p.cell.root, "target", "rosemaryloft-cell"))
	p.command.Dir = p.cell.root
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ROSEMARYLOFT_SETTINGS=" + p.settings}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.exited = exited
	command := p.command
	go func() {
		_ = command.Wait() // only tells by which signal it ended
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.cell.record.add("%s to %s", s, p.name)
	_ = p.command.Process.Signal(s) // it may have ended
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// stop ends all processes and removes their files.
func (c *cell) stop() {
	for _, p := range append(c.controls, c.entries...) {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		select {
		case <-p.exited:
		case <-time.After(5 * time.Second):
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Println("files are in", c.folder)
	}
}

// logs returns the lines of all processes that contain a text.
func (c *cell) logs(text string) []string {
	var lines []string
	for _, p := range append(c.controls, c.entries...) {
		b, err := os.ReadFile(p.settings + ".log")
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(b)) {
			if strings.Contains(line, text) {
				lines = append(lines, p.name+" "+strings.TrimSpace(line))
			}
		}
	}
	return lines
}

// leader returns the control process that leads, as its metrics say, or nil.
func (c *cell) leader() *process {
	for _, p := range c.controls {
		status, body := get("http://" + p.address + ":9480/metrics")
		if status != 200 {
			continue
		}
		for line := range strings.Lines(body) {
			if strings.HasPrefix(line, "rosemaryloft_leading 1") {
				return p
			}
		}
	}
	return nil
}

// leaderIndex returns the index of the control process that leads, or 0.
func (c *cell) leaderIndex() int {
	l := c.leader()
	for i, p := range c.controls {
		if p == l {
			return i
		}
	}
	return 0
}

// begin starts a cell with runners and a desired state, and waits until it serves.
func (c *cell) begin(document, service string, runners, entries int) (*fleet, error) {
	if err := c.startControls(); err != nil {
		return nil, err
	}
	if err := c.startEntries(entries, controlPeers); err != nil {
		return nil, err
	}
	f, err := newFleet(c, service, runners, 32000, 65536)
	if err != nil {
		return nil, err
	}
	if err := c.configure(document); err != nil {
		return nil, err
	}
	if err := c.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second) // the runners report themselves
	return f, nil
}

// oneQueue is a desired state with one queue and one tenant without a limit.
const oneQueue = `{"version":7,"routes":[{"name":"r-sort","host":"jobs.example","path_prefix":"/sort/","kind":"non_idempotent",
 "timeout_ms":3000,"target_latency_ms":3000,"priority":2,"service":"guichet","max_attempts":3,"stretch":4.0,"public":false}],
 "services":[{"name":"guichet","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_check":false,"standby":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"hule930","api_keys":["3hh2b9wu3fexd9dnn2ct"],"priority":1,"weight":13,
 "upper_limit":{"cpu":0,"memory_request_mb":0,"gpu":0}}]}`
