// Package cell starts a small cell on loopback: daemons and stand-ins for
// runners and workers, each as a separate process. The demonstration run and
// the process tests use it. The daemons themselves start no process.
//
// # Usage
//
//	c, err := cell.New(cell.Options{Binaries: "bin", Folder: folder, Control: 3, Entries: 4})
//	defer c.Close()
//	err = c.Start(ctx)
//	operator := c.Operator()
//	err = c.Processes["vm-1"].Signal(syscall.SIGKILL)
//
// Each daemon has its own folder for settings and data. Certificates and log files
// are in the working folder.
package cell

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/process/certificate"
	"github.com/rosemaryloft/rosemaryloft/internal/process/settings"
	"github.com/rosemaryloft/rosemaryloft/pkg/client"
)

// pollInterval is the interval at which Until checks its condition.
const pollInterval = 50 * time.Millisecond

// The range of ports that FreeAddress returns. Each process starts its search at its
// process ID times portStride, so that processes with neighbouring IDs do not try the
// same ports.
const (
	firstPort  = 20000
	lastPort   = 32000
	portStride = 97
)

var nextPort atomic.Uint32

// Zones are the availability zones, assigned to daemons and stand-ins in turn.
var Zones = []string{"nord", "centre", "sud"}

// Options configures a Cell.
type Options struct {
	Binaries string // folder that contains the programs
	Folder   string // working folder; must exist
	Control  int    // number of daemons with the control role
	Entries  int    // number of daemons with the entry role; the first ones are the control VMs
	Relays   bool   // connect any two daemons through relays, as Cut requires
}

// Cell is a set of processes on loopback.
type Cell struct {
	options   Options
	secret    string // operator key
	Nodes     []Node
	Processes map[string]*Process
	relays    map[daemonPair]*Relay
}

// daemonPair identifies one direction between two daemons by their names.
type daemonPair struct{ from, to string }

// Node is one daemon.
type Node struct {
	Name    string
	Zone    string
	Control bool
	HTTP    netip.AddrPort // all HTTP interfaces
	Peers   netip.AddrPort
	Folder  string
}

// New creates a Cell and writes the settings and certificates of all daemons.
func New(options Options) (*Cell, error) {
	c := &Cell{options: options, secret: rand.Text(), Processes: make(map[string]*Process), relays: make(map[daemonPair]*Relay)}
	for i := range max(options.Control, options.Entries) {
		n := Node{Name: fmt.Sprintf("vm-%d", i+1), Zone: Zones[i%len(Zones)], Control: i < options.Control}
		n.Folder = filepath.Join(options.Folder, n.Name)
		var err error
		if n.HTTP, err = FreeAddress(); err != nil {
			return nil, err
		}
		n.Peers = n.HTTP // one is TCP, the other UDP
		c.Nodes = append(c.Nodes, n)
	}
	authority, err := certificate.Create(time.Now())
	if err != nil {
		return nil, err
	}
	keys := filepath.Join(options.Folder, "keys")
	if err := authority.Write(keys); err != nil {
		return nil, err
	}
	for _, n := range c.Nodes {
		if err := authority.Issue(keys, n.Name, time.Now()); err != nil {
			return nil, err
		}
		if err := c.writeSettings(n, certificate.PathsIn(keys, n.Name)); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// FreeAddress returns a loopback address whose port is free for TCP and UDP. The
// port is below the range that Linux uses for outgoing connections, and further
// calls in this process return other ports, so that it is still free when a program
// that is started later binds it.
func FreeAddress() (netip.AddrPort, error) {
	for range lastPort - firstPort {
		n := (uint32(os.Getpid())*portStride + nextPort.Add(1)) % (lastPort - firstPort)
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+n))
		if portsFree(address) {
			return address, nil
		}
	}
	return netip.AddrPort{}, errors.New("no port is free")
}

func portsFree(address netip.AddrPort) bool {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	p, err := net.ListenPacket("udp", address.String())
	if err != nil {
		return false
	}
	return p.Close() == nil
}

func (c *Cell) writeSettings(n Node, files certificate.Files) error {
	if err := os.MkdirAll(n.Folder, 0o700); err != nil {
		return err
	}
	surface := settings.Address{AddrPort: n.HTTP}
	s := settings.Default()
	s.Name, s.Region, s.Zone = n.Name, "loopback", n.Zone
	s.Data = filepath.Join(n.Folder, "data")
	s.Listen = settings.Listen{
		Callers: surface, Upstreams: surface, Operators: surface, Platform: surface,
		Peers: settings.Address{AddrPort: n.Peers},
	}
	s.Roles = []settings.Role{settings.RoleEntry}
	if n.Control {
		s.Roles = append(s.Roles, settings.RoleControl)
	}
	for _, o := range c.Nodes {
		address, err := c.address(n, o)
		if err != nil {
			return err
		}
		s.Peers = append(s.Peers, settings.Peer{Name: o.Name, Address: settings.Address{AddrPort: address}, Control: o.Control})
	}
	s.Certificates = settings.Certificates{Authority: files.Authority, Certificate: files.Certificate, Key: files.Key}
	s.Operators = []settings.Digest{sha256.Sum256([]byte(c.secret))}
	content, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(n.settingsFile(), content, 0o600)
}

// address returns the address at which one daemon reaches another: that of a new
// relay if the cell has relays.
func (c *Cell) address(from, to Node) (netip.AddrPort, error) {
	if !c.options.Relays || from.Name == to.Name {
		return to.Peers, nil
	}
	r, err := NewRelay(to.Peers)
	if err != nil {
		return netip.AddrPort{}, err
	}
	c.relays[daemonPair{from.Name, to.Name}] = r
	return r.Address(), nil
}

// Cut simulates a network partition between a daemon and all others, or ends it.
// Datagrams are dropped silently, so that no daemon sees an error.
func (c *Cell) Cut(name string, cut bool) {
	for l, r := range c.relays {
		if l.from == name || l.to == name {
			r.Cut(cut)
		}
	}
}

func (n Node) settingsFile() string { return filepath.Join(n.Folder, "settings.json") }

// Data returns the data folder of a daemon.
func (n Node) Data() string { return filepath.Join(n.Folder, "data") }

// Start starts all daemons and waits until each is ready.
func (c *Cell) Start(ctx context.Context) error {
	for _, n := range c.Nodes {
		if err := c.StartNode(n.Name); err != nil {
			return err
		}
	}
	return c.Ready(ctx)
}

// StartNode starts one daemon, or restarts it after it has exited.
func (c *Cell) StartNode(name string) error {
	n, ok := c.Node(name)
	if !ok {
		return errors.Newf("daemon %q does not exist", name)
	}
	return c.run(name, "rosemaryloftd", "run", n.settingsFile())
}

// Node returns the daemon with the given name.
func (c *Cell) Node(name string) (Node, bool) {
	i := slices.IndexFunc(c.Nodes, func(n Node) bool { return n.Name == name })
	if i < 0 {
		return Node{}, false
	}
	return c.Nodes[i], true
}

// Ready waits until every running daemon reports that it is ready. It fails if one
// exits.
func (c *Cell) Ready(ctx context.Context) error {
	for _, n := range c.Nodes {
		p := c.Processes[n.Name]
		if p == nil || p.Ended() {
			continue
		}
		if err := Until(ctx, func() bool { return ready(n) || p.Ended() }); err != nil {
			return errors.Wrapf(err, "%s is not ready", n.Name)
		}
		if p.Ended() {
			return errors.Newf("%s exited before it was ready; end of its log: %s", n.Name, p.Tail())
		}
	}
	return nil
}

// Runner starts a stand-in for a service runner. The key is the secret of an upstream
// key.
func (c *Cell) Runner(name, entry, key string, flags ...string) error {
	return c.run(name, "standin", append([]string{"runner", "--entries", c.addresses(), "--key", key, "--name", name,
		"--entry", entry, "--zone", c.zone()}, flags...)...)
}

// Workers starts count stand-ins for workers in one process. The key is the secret of
// a worker key.
func (c *Cell) Workers(name, key string, count int, flags ...string) error {
	return c.run(name, "standin", append([]string{"worker", "--entries", c.addresses(), "--key", key, "--name", name,
		"--count", fmt.Sprint(count), "--zone", c.zone()}, flags...)...)
}

func (c *Cell) zone() string { return Zones[len(c.Processes)%len(Zones)] }

func (c *Cell) addresses() string { return strings.Join(c.addressList(), ",") }

func (c *Cell) addressList() []string {
	var out []string
	for _, n := range c.Nodes {
		out = append(out, n.HTTP.String())
	}
	return out
}

// Operator returns a client with the operator key.
func (c *Cell) Operator() *client.Client { return c.Client(c.secret) }

// Client returns a client that uses all entry VMs in turn and retries.
func (c *Cell) Client(key string) *client.Client {
	return newClient(key, 0, c.addressList())
}

// At returns a client of one entry VM that does not retry.
func (c *Cell) At(name, key string) *client.Client {
	n, _ := c.Node(name)
	return newClient(key, 1, []string{n.HTTP.String()})
}

// Secret returns the operator key.
func (c *Cell) Secret() string { return c.secret }

func (c *Cell) run(name, program string, arguments ...string) error {
	if p := c.Processes[name]; p != nil && !p.Ended() {
		return errors.Newf("%s is already running", name)
	}
	p, err := start(filepath.Join(c.options.Binaries, program), filepath.Join(c.options.Folder, name+".log"), arguments)
	if err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	c.Processes[name] = p
	return nil
}

// Until waits until the condition is true. It returns the error of ctx if ctx is done
// first.
func Until(ctx context.Context, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}
