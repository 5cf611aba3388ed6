package cell

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// datagram is the largest datagram that a relay passes on.
const datagram = 64 << 10

// Relay passes UDP datagrams on to a target and back. While it is cut it drops
// them silently, as a network partition does.
type Relay struct {
	listener *net.UDPConn
	target   netip.AddrPort
	cut      atomic.Bool

	mu      sync.Mutex
	sources map[netip.AddrPort]*net.UDPConn // a socket towards the target for each sender
}

// NewRelay returns a running relay on a free loopback address.
func NewRelay(target netip.AddrPort) (*Relay, error) {
	l, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, sources: make(map[netip.AddrPort]*net.UDPConn)}
	go r.forward()
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() netip.AddrPort { return r.listener.LocalAddr().(*net.UDPAddr).AddrPort() }

// Cut drops everything from now on, or ends that.
func (r *Relay) Cut(cut bool) { r.cut.Store(cut) }

// Close ends the relay.
func (r *Relay) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sources {
		_ = s.Close()
	}
	return r.listener.Close()
}

func (r *Relay) forward() {
	buffer := make([]byte, datagram)
	for {
		n, from, err := r.listener.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if r.cut.Load() {
			continue
		}
		if s, err := r.source(from); err == nil {
			_, _ = s.Write(buffer[:n]) // a lost datagram is what UDP allows
		}
	}
}

func (r *Relay) source(from netip.AddrPort) (*net.UDPConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.sources[from]; s != nil {
		return s, nil
	}
	s, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.target))
	if err != nil {
		return nil, err
	}
	r.sources[from] = s
	go r.back(s, from)
	return s, nil
}

func (r *Relay) back(s *net.UDPConn, to netip.AddrPort) {
	buffer := make([]byte, datagram)
	for {
		n, err := s.Read(buffer)
		if err != nil {
			return
		}
		if !r.cut.Load() {
			_, _ = r.listener.WriteToUDPAddrPort(buffer[:n], to)
		}
	}
}
