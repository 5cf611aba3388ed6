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

// protocol is negotiated in the handshake.
const protocol = "rosemaryloft/1"

// serverConfig asks for the current certificate at each handshake, so that a
// replaced one is used without a restart.
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
				// A resumed session would outlive a change of the authority.
				SessionTicketsDisabled: true,
				VerifyConnection:       p.admit,
			}, nil
		},
	}
}

// admit refuses processes that the settings do not name.
func (p *Peer) admit(state tls.ConnectionState) error {
	name, err := remoteName(state)
	if err == nil && p.side(name) == nil {
		err = errors.Newf("%q is not among the peers", name)
	}
	if err != nil && p.reportable(name) {
		p.options.Log.Emit(event.PeerRefused, zap.String("peer", name), zap.String("error", err.Error()))
	}
	return err
}

// reportable limits the log lines about a name that keeps dialling.
func (p *Peer) reportable(name string) bool {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.refused[name]) {
		return false
	}
	p.refused[name] = now.Add(refusalInterval)
	return true
}

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

func remoteName(state tls.ConnectionState) (string, error) {
	if len(state.PeerCertificates) == 0 {
		return "", errors.New("there is no certificate")
	}
	return certificate.ProcessName(state.PeerCertificates[0])
}

// resetKey lets a restarted process tell its peers at once that their
// connections are gone. It must be the same after the restart and secret, so
// it is derived from the key of the certificate.
func resetKey(b *certificate.Bundle) *quic.StatelessResetKey {
	der, err := x509.MarshalPKCS8PrivateKey(b.Certificate.PrivateKey)
	if err != nil {
		return nil // peers notice the restart by the idle timeout
	}
	k := quic.StatelessResetKey(sha256.Sum256(append([]byte("rosemaryloft stateless reset\x00"), der...)))
	return &k
}
