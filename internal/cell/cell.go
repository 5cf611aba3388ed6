// Package cell starts a small cell on loopback: daemons and stand-ins for
// runners and workers, each as a process of its own. The demonstration run and
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
// Each daemon has a folder of its own for settings, certificates, data and log.
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

// pollInterval is the time between two looks at a condition that is waited for.
const pollInterval = 50 * time.Millisecond

// Ports that FreeAddress returns. The stride keeps processes with neighbouring
// ids apart.
const (
	firstPort  = 20000
	lastPort   = 32000
	portStride = 97
)

var nextPort atomic.Uint32

// Zones of the daemons and stand-ins, in turn.
var Zones = []string{"nord", "centre", "sud"}

// Options configures a Cell.
type Options struct {
	Binaries string // folder of the programs
	Folder   string // working folder; must exist
	Control  int    // daemons with the role control
	Entries  int    // daemons with the role entry; the first ones are the control VMs
	Relays   bool   // put a relay between any two daemons, for Cut
}

// Cell is a set of processes on loopback.
type Cell struct {
	options   Options
	secret    string // operator key
	Nodes     []Node
	Processes map[string]*Process
	relays    map[link]*Relay
}

// link is the way from one daemon to another.
type link struct{ from, to string }

// Node is one daemon.
type Node struct {
	Name    string
	Zone    string
	Control bool
	HTTP    netip.AddrPort // all HTTP surfaces
	Peers   netip.AddrPort
	Folder  string
}

// New writes settings and certificates of all daemons.
func New(options Options) (*Cell, error) {
	c := &Cell{options: options, secret: rand.Text(), Processes: make(map[string]*Process), relays: make(map[link]*Relay)}
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

// FreeAddress returns a loopback address whose TCP and UDP port are free. The
// port is below the range from which Linux takes the ports of outgoing
// connections, and no other call in this process returns it, so that it is
// still free when a program that is started later binds it.
func FreeAddress() (netip.AddrPort, error) {
	for range lastPort - firstPort {
		n := (uint32(os.Getpid())*portStride + nextPort.Add(1)) % (lastPort - firstPort)
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+n))
		if free(address) {
			return address, nil
		}
	}
	return netip.AddrPort{}, errors.New("no port is free")
}

func free(address netip.AddrPort) bool {
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
	return os.WriteFile(n.settings(), content, 0o600)
}

// address returns where one daemon reaches another.
func (c *Cell) address(from, to Node) (netip.AddrPort, error) {
	if !c.options.Relays || from.Name == to.Name {
		return to.Peers, nil
	}
	r, err := NewRelay(to.Peers)
	if err != nil {
		return netip.AddrPort{}, err
	}
	c.relays[link{from.Name, to.Name}] = r
	return r.Address(), nil
}

// Cut cuts a daemon off from all others without a sign, or ends that.
func (c *Cell) Cut(name string, cut bool) {
	for l, r := range c.relays {
		if l.from == name || l.to == name {
			r.Cut(cut)
		}
	}
}

func (n Node) settings() string { return filepath.Join(n.Folder, "settings.json") }

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

// StartNode starts one daemon, also after it has ended.
func (c *Cell) StartNode(name string) error {
	n, ok := c.Node(name)
	if !ok {
		return errors.Newf("there is no daemon %s", name)
	}
	return c.run(name, "rosemaryloftd", "run", n.settings())
}

// Node returns the daemon with a name.
func (c *Cell) Node(name string) (Node, bool) {
	i := slices.IndexFunc(c.Nodes, func(n Node) bool { return n.Name == name })
	if i < 0 {
		return Node{}, false
	}
	return c.Nodes[i], true
}

// Ready waits until every running daemon has a valid view.
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
			return errors.Newf("%s ended: %s", n.Name, p.Tail())
		}
	}
	return nil
}

// Runner starts a stand-in for a service runner. Key is an upstream key's secret.
func (c *Cell) Runner(name, entry, key string, flags ...string) error {
	return c.run(name, "standin", append([]string{"runner", "--entries", c.addresses(), "--key", key, "--name", name,
		"--entry", entry, "--zone", c.zone()}, flags...)...)
}

// Workers starts stand-ins for workers in one process. Key is a worker key's secret.
func (c *Cell) Workers(name, key string, count int, flags ...string) error {
	return c.run(name, "standin", append([]string{"worker", "--entries", c.addresses(), "--key", key, "--name", name,
		"--count", fmt.Sprint(count), "--zone", c.zone()}, flags...)...)
}

func (c *Cell) zone() string { return Zones[len(c.Processes)%len(Zones)] }

func (c *Cell) addresses() string { return strings.Join(c.list(), ",") }

func (c *Cell) list() []string {
	var out []string
	for _, n := range c.Nodes {
		out = append(out, n.HTTP.String())
	}
	return out
}

// Operator returns a client with the operator key.
func (c *Cell) Operator() *client.Client { return c.Client(c.secret) }

// Client returns a client that tries all entry VMs in turn.
func (c *Cell) Client(key string) *client.Client {
	return newClient(key, 0, c.list())
}

// At returns a client of one entry VM that sends each call once.
func (c *Cell) At(name, key string) *client.Client {
	n, _ := c.Node(name)
	return newClient(key, 1, []string{n.HTTP.String()})
}

// Secret returns the operator key.
func (c *Cell) Secret() string { return c.secret }

func (c *Cell) run(name, program string, arguments ...string) error {
	if p := c.Processes[name]; p != nil && !p.Ended() {
		return errors.Newf("%s runs already", name)
	}
	p, err := start(filepath.Join(c.options.Binaries, program), filepath.Join(c.options.Folder, name+".log"), arguments)
	if err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	c.Processes[name] = p
	return nil
}

// Until waits until a condition holds. It fails when ctx ends.
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
