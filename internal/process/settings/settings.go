// Package settings defines the options of the daemon: a struct, its defaults, and
// a validation pass that reports all problems at once.
//
// # Usage
//
//	s, findings := settings.Load("/etc/rosemaryloft.json", time.Now())
//	if len(findings) > 0 { ... }              // print them and exit
//	s, err := settings.Prepare(s, time.Now()) // creates missing files of a single VM
//
// or, without a file, settings.Prepare(settings.Default(), time.Now()).
//
// docs/settings.md describes each field of the JSON file.
package settings

import (
	"encoding/hex"
	"maps"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap/zapcore"

	"github.com/rosemaryloft/rosemaryloft/internal/process/certificate"
)

// Role is a function that a process has in the cell. A process can have several.
type Role string

const (
	RoleEntry   Role = "entry"   // serves callers, upstreams, workers, operators and the platform
	RoleControl Role = "control" // holds a replica of the replicated log; needs a disk
)

// UnmarshalText accepts only the known roles.
func (r *Role) UnmarshalText(text []byte) error {
	switch Role(text) {
	case RoleEntry, RoleControl:
		*r = Role(text)
		return nil
	}
	return errors.Newf("%q is no role; use %q or %q", text, RoleEntry, RoleControl)
}

// Digest is the SHA-256 of an operator's key.
type Digest [32]byte

// UnmarshalText reads 64 hexadecimal digits.
func (d *Digest) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != len(d) {
		return errors.Newf("must be the %d hexadecimal digits of a SHA-256", 2*len(d))
	}
	copy(d[:], b)
	return nil
}

// MarshalText writes 64 hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// Address is an IP address with a port. Host names are not accepted, because a
// process must be able to reach its peers while name servers are down.
type Address struct{ netip.AddrPort }

// UnmarshalText reads an address such as 10.0.0.1:7400 or [fd00::1]:7400. Empty
// text yields the zero address.
func (a *Address) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*a = Address{}
		return nil
	}
	p, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return errors.Newf("%q is no IP address with a port, such as 10.0.0.1:7400; host names are not accepted", text)
	}
	a.AddrPort = p
	return nil
}

// Listen holds the addresses on which a process listens. HTTP surfaces with the
// same address share one server. Workers connect to the address of Upstreams.
type Listen struct {
	Callers   Address `json:"callers"`
	Upstreams Address `json:"upstreams"`
	Operators Address `json:"operators"`
	Platform  Address `json:"platform"`
	Peers     Address `json:"peers"` // UDP, for the other processes of the cell
}

// Surface is the part of the HTTP interface that serves one kind of client.
type Surface string

const (
	Callers   Surface = "callers"
	Upstreams Surface = "upstreams"
	Operators Surface = "operators"
	Platform  Surface = "platform"
)

// Server describes one HTTP server: its address and the surfaces it serves.
type Server struct {
	Address  netip.AddrPort
	Surfaces []Surface
}

// surfaces returns the HTTP surfaces with their addresses, in a fixed order.
func (l Listen) surfaces() []struct {
	surface Surface
	address Address
} {
	return []struct {
		surface Surface
		address Address
	}{{Callers, l.Callers}, {Upstreams, l.Upstreams}, {Operators, l.Operators}, {Platform, l.Platform}}
}

// Servers returns the HTTP servers to run, one per distinct address. Surfaces
// without an address are not served.
func (l Listen) Servers() []Server {
	var list []Server
	for _, p := range l.surfaces() {
		if !p.address.IsValid() {
			continue
		}
		i := slices.IndexFunc(list, func(s Server) bool { return s.Address == p.address.AddrPort })
		if i < 0 {
			i = len(list)
			list = append(list, Server{Address: p.address.AddrPort})
		}
		list[i].Surfaces = append(list[i].Surfaces, p.surface)
	}
	return list
}

// Peer is a process of the cell, as listed in the settings of each process.
type Peer struct {
	Name    string  `json:"name"`
	Address Address `json:"address"`
	Control bool    `json:"control"` // whether it has the role control
}

// Certificates holds the paths of PEM files. If all are empty and the process has
// no peers, Prepare creates the files.
type Certificates struct {
	Authority   string `json:"authority"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// Files converts the paths to the type of package certificate.
func (c Certificates) Files() certificate.Files { return certificate.Files(c) }

// Settings are the options of the daemon.
type Settings struct {
	Name         string       `json:"name"`
	Region       string       `json:"region"`
	Zone         string       `json:"zone"`
	Roles        []Role       `json:"roles"`
	Data         string       `json:"data"` // folder for all files that the process writes
	Listen       Listen       `json:"listen"`
	Peers        []Peer       `json:"peers"` // may name this process too, so that all VMs can share the list
	Certificates Certificates `json:"certificates"`
	Operators    []Digest     `json:"operators"`
	Log          string       `json:"log"` // lowest log level that is written
}

// Defaults of fields that a file may omit, and of a process without a file.
const (
	DefaultName   = "local"
	DefaultRegion = "local"
	DefaultZone   = "local"
	DefaultData   = "data"
	DefaultLog    = "info"
)

var (
	// DefaultAddress is where a process without a file serves all HTTP surfaces.
	DefaultAddress = netip.MustParseAddrPort("127.0.0.1:8600")
	// DefaultPeers is where a process without a file listens for peers.
	DefaultPeers = netip.MustParseAddrPort("127.0.0.1:8601")
)

// Default returns the settings of a process without a file: all roles, listening
// on loopback, with a data folder in the working folder.
func Default() Settings {
	s := fileDefaults()
	s.Name = DefaultName
	s.Roles = []Role{RoleEntry, RoleControl}
	a := Address{DefaultAddress}
	s.Listen = Listen{Callers: a, Upstreams: a, Operators: a, Platform: a, Peers: Address{DefaultPeers}}
	return s
}

// fileDefaults returns the settings of a file that omits all optional fields.
func fileDefaults() Settings {
	return Settings{Region: DefaultRegion, Zone: DefaultZone, Data: DefaultData, Log: DefaultLog}
}

// Has reports whether the process has a role.
func (s *Settings) Has(r Role) bool { return slices.Contains(s.Roles, r) }

// PeerAddresses returns the addresses of the other processes of the cell by
// name.
func (s *Settings) PeerAddresses() map[string]netip.AddrPort {
	m := make(map[string]netip.AddrPort, len(s.Peers))
	for _, p := range s.Peers {
		if p.Name != s.Name {
			m[p.Name] = p.Address.AddrPort
		}
	}
	return m
}

// ControlNames returns the names of all processes with the role control, sorted.
func (s *Settings) ControlNames() []string {
	m := map[string]bool{}
	for _, p := range s.Peers {
		if p.Control {
			m[p.Name] = true
		}
	}
	if s.Has(RoleControl) {
		m[s.Name] = true
	}
	return slices.Sorted(maps.Keys(m))
}

// Level returns the log level, or info if Log is not a valid level.
func (s *Settings) Level() zapcore.Level {
	l, err := zapcore.ParseLevel(s.Log)
	if err != nil {
		return zapcore.InfoLevel
	}
	return l
}
