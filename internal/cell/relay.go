package cell

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// maxDatagram is the size of the largest datagram that a relay forwards.
const maxDatagram = 64 << 10

// Relay forwards UDP datagrams to a target and the replies back. While it is cut, it
// drops them silently, as a network partition does.
type Relay struct {
	listener *net.UDPConn
	target   netip.AddrPort
	cut      atomic.Bool

	mu      sync.Mutex
	sources map[netip.AddrPort]*net.UDPConn // one socket connected to the target for each sender
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

// Address returns the listen address of the relay.
func (r *Relay) Address() netip.AddrPort { return r.listener.LocalAddr().(*net.UDPAddr).AddrPort() }

// Cut starts or stops dropping datagrams in both directions.
func (r *Relay) Cut(cut bool) { r.cut.Store(cut) }

// Close closes the sockets of the relay.
func (r *Relay) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sources {
		_ = s.Close()
	}
	return r.listener.Close()
}

func (r *Relay) forward() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := r.listener.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if r.cut.Load() {
			continue
		}
		if s, err := r.socketFor(from); err == nil {
			_, _ = s.Write(buffer[:n]) // UDP may lose datagrams
		}
	}
}

func (r *Relay) socketFor(from netip.AddrPort) (*net.UDPConn, error) {
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
	go r.forwardReplies(s, from)
	return s, nil
}

func (r *Relay) forwardReplies(s *net.UDPConn, to netip.AddrPort) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := s.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as ECONNREFUSED while the target's process is down
		}
		if !r.cut.Load() {
			_, _ = r.listener.WriteToUDPAddrPort(buffer[:n], to)
		}
	}
}
