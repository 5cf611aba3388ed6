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
	// DefaultBody is the largest body, in bytes. Snapshots travel in chunks,
	// so that the largest bodies are whole catalogues.
	DefaultBody = 16 << 20
	// DefaultQueue is how many one-way messages wait per peer. The replicated
	// log sends about one each heartbeat and group of proposals.
	DefaultQueue = 256
	// queueBytes bounds the bodies that wait in one such queue.
	queueBytes = 32 << 20

	// idleTimeout and keepAlive bound how long a silent cut goes unnoticed. A
	// probe leaves keepAlive after the last packet came, and the connection
	// ends idleTimeout after that: 2.5 s in all.
	idleTimeout = 2 * time.Second
	keepAlive   = 500 * time.Millisecond

	// dialTimeout bounds one attempt to connect, handshake and greeting.
	dialTimeout = 2 * time.Second
	// firstBackoff and lastBackoff bound the wait between attempts. A peer that
	// returns also dials by itself, so the wait seldom delays a recovery.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = time.Second
	// settled is how long a connection must last before a loss of it is
	// followed by an immediate dial.
	settled = time.Second

	// linger is how long a superfluous connection stays open for calls that
	// the other side is about to send on it.
	linger = 5 * time.Second
	// receiveTimeout bounds how long a request or answer may take to arrive
	// once it has begun; a body of DefaultBody needs 0.5 s at 256 Mbit/s.
	receiveTimeout = 10 * time.Second
	// confirmTimeout bounds the wait for the caller to confirm an answer.
	confirmTimeout = 3 * time.Second
	// sendTimeout bounds the write of a one-way message. Later ones wait in
	// the queue meanwhile.
	sendTimeout = time.Second

	// incomingStreams bounds the calls that one peer may have open here. It is
	// above the connections of all runners that an entry VM owns.
	incomingStreams = 4096
	// incomingMessages bounds the one-way streams of one peer; it uses one at
	// a time and another after a failed write.
	incomingMessages = 8

	// refusalInterval is how often the same refused name is reported.
	refusalInterval = time.Minute
	// dropInterval is how often dropped messages to a process are reported.
	dropInterval = 10 * time.Second
)

// Certificates gives the certificate that new connections use.
// certificate.Store implements it.
type Certificates interface {
	Current() *certificate.Bundle
}

// Options configure New.
type Options struct {
	Name         string                    // of this process, as in its certificate
	Listen       netip.AddrPort            // UDP address; port 0 takes a free port
	Peers        map[string]netip.AddrPort // the other processes; an invalid address means that it is only accepted, not dialled
	Certificates Certificates
	Log          event.Log

	Conn    net.PacketConn   // used instead of a socket on Listen if not nil; Run closes it
	Now     func() time.Time // for the validity of certificates; nil means time.Now
	Random  func() float64   // for jitter, in [0, 1); nil means a random source
	Maximum int64            // largest body in bytes; zero means DefaultBody
	Queue   int              // one-way messages that wait per peer; zero means DefaultQueue
}

func (o *Options) complete() error {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	if o.Maximum == 0 {
		o.Maximum = DefaultBody
	}
	if o.Queue == 0 {
		o.Queue = DefaultQueue
	}
	switch {
	case !certificate.ValidName(o.Name):
		return errors.Newf("%q cannot name a process", o.Name)
	case o.Certificates == nil:
		return errors.New("there are no certificates")
	case o.Conn == nil && !o.Listen.IsValid():
		return errors.New("there is no address to listen on")
	case o.Maximum < 0 || o.Queue < 0:
		return errors.New("a limit is negative")
	}
	return nil
}

// configuration returns the QUIC parameters of both sides.
func configuration() *quic.Config {
	return &quic.Config{
		Versions:              []quic.Version{quic.Version1},
		HandshakeIdleTimeout:  dialTimeout,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlive,
		MaxIncomingStreams:    incomingStreams,
		MaxIncomingUniStreams: incomingMessages,
	}
}
