package peer

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/certificate"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

// protocol is the ALPN protocol name.
const protocol = "rosemaryloft/1"

// serverConfig returns a TLS configuration that reads the current certificate at
// each handshake, so that a renewed one is used without a restart.
func (p *Peer) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			b := p.options.Certificates.Current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{protocol},
				Time:         p.options.Now,
				Certificates: []tls.Certificate{b.Certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    b.Authority,
				// Resumed sessions would remain valid after a change of the authority.
				SessionTicketsDisabled: true,
				VerifyConnection:       p.verifyClient,
			}, nil
		},
	}
}

// verifyClient refuses processes that are not among the configured peers.
func (p *Peer) verifyClient(state tls.ConnectionState) error {
	name, err := remoteName(state)
	if err == nil && p.remotePeer(name) == nil {
		err = errors.Newf("%q is not among the peers", name)
	}
	if err != nil && p.shouldReportRefusal(name) {
		p.options.Log.Emit(event.PeerRefused, zap.String("peer", name), zap.String("error", err.Error()))
	}
	return err
}

// shouldReportRefusal limits how often refusals of the same name are logged.
func (p *Peer) shouldReportRefusal(name string) bool {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.nextRefusalReport[name]) {
		return false
	}
	p.nextRefusalReport[name] = now.Add(refusalInterval)
	return true
}

// clientConfig returns the TLS configuration for dialling the named process.
func (p *Peer) clientConfig(to string) *tls.Config {
	b := p.options.Certificates.Current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		Time:         p.options.Now,
		ServerName:   to,
		Certificates: []tls.Certificate{b.Certificate},
		RootCAs:      b.Authority,
		VerifyConnection: func(state tls.ConnectionState) error {
			name, err := remoteName(state)
			if err == nil && name != to {
				err = errors.Newf("the certificate names %q, not %q", name, to)
			}
			return err
		},
	}
}

// remoteName returns the process name in the certificate of the other side.
func remoteName(state tls.ConnectionState) (string, error) {
	if len(state.PeerCertificates) == 0 {
		return "", errors.New("there is no certificate")
	}
	return certificate.ProcessName(state.PeerCertificates[0])
}

// resetKey returns the key for QUIC stateless resets, with which a restarted
// process informs its peers immediately that their connections no longer exist.
// It must be secret and survive the restart, so it is derived from the private
// key of the certificate.
func resetKey(b *certificate.Bundle) *quic.StatelessResetKey {
	der, err := x509.MarshalPKCS8PrivateKey(b.Certificate.PrivateKey)
	if err != nil {
		return nil // peers detect the restart by the idle timeout
	}
	k := quic.StatelessResetKey(sha256.Sum256(append([]byte("rosemaryloft stateless reset\x00"), der...)))
	return &k
}
