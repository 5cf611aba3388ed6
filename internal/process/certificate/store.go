package certificate

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

const (
	// checkInterval is how often the files are read and compared with those in use.
	// They are small, and comparing the content also detects changes that keep the
	// size and modification time.
	checkInterval = time.Second
	// warnBefore is how long before its expiry a certificate is reported.
	warnBefore = 14 * 24 * time.Hour
	// warnInterval is how often that report is repeated.
	warnInterval = 24 * time.Hour
)

// Bundle holds the certificates that a process uses for new connections. It is
// immutable.
type Bundle struct {
	Name        string
	Certificate tls.Certificate
	Authority   *x509.CertPool // trusted issuers of the other processes' certificates
	Expires     time.Time
}

// Options configure Load.
type Options struct {
	Name  string // name of the process, which the certificate must carry
	Files Files
	Now   func() time.Time // nil means time.Now
	Log   event.Log
}

// Store holds the current Bundle of a process and replaces it when the files change.
type Store struct {
	options Options
	bundle  atomic.Pointer[Bundle]

	// After Load, only the goroutine of Run accesses the fields below, without a lock.
	digest       [sha256.Size]byte // of the files in use, see readFiles
	lastRejected [sha256.Size]byte // of the files that were rejected last, so that they are reported only once
	nextWarning  time.Time         // when to report again that the certificate expires soon
}

// Load reads and verifies the files of a process. Its errors are those of Check.
func Load(options Options) (*Store, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	content, digest, err := readFiles(options.Files)
	if err != nil {
		return nil, err
	}
	b, err := newBundle(options.Files, content, options.Name, options.Now())
	if err != nil {
		return nil, err
	}
	s := &Store{options: options, digest: digest}
	s.bundle.Store(b)
	return s, nil
}

// Check returns an error unless the process called name can use the files. The
// error names the file, and matches one of the package's errors unless a file
// could not be read.
func Check(files Files, name string, now time.Time) error {
	content, _, err := readFiles(files)
	if err == nil {
		_, err = newBundle(files, content, name, now)
	}
	return err
}

// Current returns the Bundle to use for new connections.
func (s *Store) Current() *Bundle { return s.bundle.Load() }

// Run reloads the files whenever they change, until ctx is done. If the new files
// cannot be used, the current Bundle stays. Run returns nil.
func (s *Store) Run(ctx context.Context) error {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		s.check(s.options.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// check reloads changed files and reports a certificate that expires soon. If only
// some of several files have been replaced yet, they do not match; they are
// rejected and tried again at the next check.
func (s *Store) check(now time.Time) {
	content, digest, err := readFiles(s.options.Files)
	if digest != s.digest {
		s.reload(content, digest, err, now)
	}
	if end := s.Current().Expires; now.After(end.Add(-warnBefore)) && !now.Before(s.nextWarning) {
		s.nextWarning = now.Add(warnInterval)
		s.options.Log.Emit(event.CertificateExpiring, zap.Time("expires", end))
	}
}

// reload replaces the current Bundle, or reports once that the files cannot be used.
func (s *Store) reload(content [3][]byte, digest [sha256.Size]byte, err error, now time.Time) {
	var b *Bundle
	if err == nil {
		b, err = newBundle(s.options.Files, content, s.options.Name, now)
	}
	if err == nil {
		s.digest, s.nextWarning = digest, time.Time{}
		s.bundle.Store(b)
		s.options.Log.Emit(event.CertificateReloaded, zap.Time("expires", b.Expires))
	} else if digest != s.lastRejected {
		s.lastRejected = digest
		s.options.Log.Emit(event.CertificateRejected, zap.Error(err))
	}
}

// readFiles returns the contents of the files and a digest that covers them and any
// error of reading them, so that a repeated error has the same digest.
func readFiles(files Files) (content [3][]byte, digest [sha256.Size]byte, readErr error) {
	h := sha256.New()
	for i, path := range []string{files.Authority, files.Certificate, files.Key} {
		b, err := os.ReadFile(path)
		if err != nil {
			readErr = errors.CombineErrors(readErr, err)
			b = []byte(err.Error())
		}
		d := sha256.Sum256(b)
		h.Write(d[:])
		content[i] = b
	}
	return content, [sha256.Size]byte(h.Sum(nil)), readErr
}

// newBundle parses and verifies the contents of the files.
func newBundle(files Files, content [3][]byte, name string, now time.Time) (*Bundle, error) {
	authorities, err := parseCertificates(files.Authority, content[0])
	if err != nil {
		return nil, err
	}
	chain, err := parseCertificates(files.Certificate, content[1])
	if err != nil {
		return nil, err
	}
	leaf := chain[0]
	pair, err := tls.X509KeyPair(content[1], content[2])
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "%s and %s", files.Certificate, files.Key), ErrMismatch)
	}
	pair.Leaf = leaf
	if n, err := ProcessName(leaf); err != nil {
		return nil, errors.Wrap(err, files.Certificate)
	} else if n != name {
		return nil, errors.Wrapf(ErrName, "%s: it names %q, not %q", files.Certificate, n, name)
	}
	pool := x509.NewCertPool()
	for _, c := range authorities {
		if !c.IsCA {
			return nil, errors.Wrapf(ErrAuthority, "%s: %q is no authority", files.Authority, c.Subject.CommonName)
		}
		pool.AddCert(c)
	}
	if now.After(leaf.NotAfter) {
		return nil, errors.Wrapf(ErrExpired, "%s: on %s", files.Certificate, leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	if now.Before(leaf.NotBefore) {
		return nil, errors.Wrapf(ErrEarly, "%s: until %s", files.Certificate, leaf.NotBefore.UTC().Format(time.RFC3339))
	}
	if err := verify(chain, authorities, pool, now); err != nil {
		return nil, errors.Wrapf(err, "%s with %s", files.Certificate, files.Authority)
	}
	return &Bundle{Name: name, Certificate: pair, Authority: pool, Expires: leaf.NotAfter}, nil
}

// verify checks that one of the authorities issued the certificate. Unlike the
// error of x509, its error distinguishes an expired authority from one that did
// not sign the certificate.
func verify(chain, authorities []*x509.Certificate, pool *x509.CertPool, now time.Time) error {
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err == nil {
		return nil
	}
	for _, a := range authorities {
		if now.After(a.NotAfter) && chain[0].CheckSignatureFrom(a) == nil {
			return errors.Wrapf(ErrExpired, "the authority, on %s", a.NotAfter.UTC().Format(time.RFC3339))
		}
	}
	return errors.Mark(err, ErrAuthority)
}
