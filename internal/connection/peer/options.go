package peer

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"github.com/rosemaryloft/rosemaryloft/internal/process/certificate"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

const (
	// DefaultMaxBodySize is the default maximum size of a body, in bytes. Snapshots
	// are sent in chunks, so the largest bodies are complete catalogues.
	DefaultMaxBodySize = 16 << 20
	// DefaultQueue is the default number of queued one-way messages per peer. The
	// replicated log sends about one per heartbeat and per group of proposals.
	DefaultQueue = 256
	// maxQueueBytes is the maximum total size of the bodies in one such queue.
	maxQueueBytes = 32 << 20

	// idleTimeout and keepAlive bound the time to detect a network failure
	// without an error. A probe is sent keepAlive after the last received packet,
	// and the connection ends idleTimeout after that: 2.5 s in total.
	idleTimeout = 2 * time.Second
	keepAlive   = 500 * time.Millisecond

	// dialTimeout bounds one attempt to connect, including handshake and greeting.
	dialTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the wait between attempts. A peer that
	// becomes reachable again also dials, so the wait rarely delays a recovery.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// stableTime is how long a connection must last for its loss to be followed by
	// an immediate dial instead of a backoff.
	stableTime = time.Second

	// linger is how long a superfluous connection stays open for calls that the
	// other side may still start on it.
	linger = 5 * time.Second
	// receiveTimeout bounds the transfer of a request or answer. A body of
	// DefaultMaxBodySize takes 0.5 s at 256 Mbit/s.
	receiveTimeout = 10 * time.Second
	// confirmTimeout bounds the wait for the caller to confirm an answer.
	confirmTimeout = 3 * time.Second
	// sendTimeout bounds the write of a one-way message, during which later ones
	// stay in the queue.
	sendTimeout = time.Second

	// maxIncomingStreams is the maximum number of concurrent calls from one peer.
	// It is above the number of connections to all runners that an entry VM owns.
	maxIncomingStreams = 4096
	// maxIncomingMessageStreams is the maximum number of open unidirectional
	// streams from one peer. A peer uses one at a time, and opens another after a
	// failed write.
	maxIncomingMessageStreams = 8

	// refusalInterval is the minimum time between two log entries for the same
	// refused name.
	refusalInterval = time.Minute
	// dropInterval is the minimum time between two log entries for dropped messages
	// to the same process.
	dropInterval = 10 * time.Second
)

// Certificates provides the certificate for new connections. certificate.Store
// implements it.
type Certificates interface {
	Current() *certificate.Bundle
}

// Options configures a Peer.
type Options struct {
	Name         string                    // name of this process, as in its certificate
	Listen       netip.AddrPort            // UDP address; port 0 selects a free port
	Peers        map[string]netip.AddrPort // the other processes; one with an invalid address is accepted but not dialled
	Certificates Certificates
	Log          event.Log

	Conn        net.PacketConn   // if not nil, used instead of a socket on Listen; Run closes it
	Now         func() time.Time // for checking certificates; nil means time.Now
	Random      func() float64   // jitter in [0, 1); nil means rand.Float64
	MaxBodySize int64            // maximum size of a body in bytes; zero means DefaultMaxBodySize
	QueueLength int              // maximum number of queued one-way messages per peer; zero means DefaultQueue
}

// complete sets default values and checks the options.
func (o *Options) complete() error {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	if o.MaxBodySize == 0 {
		o.MaxBodySize = DefaultMaxBodySize
	}
	if o.QueueLength == 0 {
		o.QueueLength = DefaultQueue
	}
	switch {
	case !certificate.ValidName(o.Name):
		return errors.Newf("%q cannot name a process", o.Name)
	case o.Certificates == nil:
		return errors.New("there are no certificates")
	case o.Conn == nil && !o.Listen.IsValid():
		return errors.New("there is no address to listen on")
	case o.MaxBodySize < 0 || o.QueueLength < 0:
		return errors.New("a limit is negative")
	}
	return nil
}

// quicConfig returns the QUIC parameters for dialling and accepting.
func quicConfig() *quic.Config {
	return &quic.Config{
		Versions:              []quic.Version{quic.Version1},
		HandshakeIdleTimeout:  dialTimeout,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlive,
		MaxIncomingStreams:    maxIncomingStreams,
		MaxIncomingUniStreams: maxIncomingMessageStreams,
	}
}
