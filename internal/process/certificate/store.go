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
	// checkInterval is how often the files are looked at. They are small, and
	// comparing their content misses no change that keeps size and time.
	checkInterval = time.Second
	// warnBefore is how long before its end a certificate is reported.
	warnBefore = 14 * 24 * time.Hour
	// warnInterval is how often that report is repeated.
	warnInterval = 24 * time.Hour
)

// Bundle is what one process uses for its connections at a time. It is not
// changed once made.
type Bundle struct {
	Name        string
	Certificate tls.Certificate
	Authority   *x509.CertPool // trusted issuers of the other processes
	Expires     time.Time
}

// Options configure Load.
type Options struct {
	Name  string // of the process; the certificate must state it
	Files Files
	Now   func() time.Time // nil means time.Now
	Log   event.Log
}

// Store holds the current Bundle of a process.
type Store struct {
	options Options
	bundle  atomic.Pointer[Bundle]

	// Only check touches the fields below.
	digest   [sha256.Size]byte // of the files in use
	rejected [sha256.Size]byte // of files that were refused, so that they are reported once
	warn     time.Time         // next report of a certificate that ends soon
}

// Load reads the files of a process. See Check for its errors.
func Load(options Options) (*Store, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	content, digest, err := read(options.Files)
	if err != nil {
		return nil, err
	}
	b, err := parse(options.Files, content, options.Name, options.Now())
	if err != nil {
		return nil, err
	}
	s := &Store{options: options, digest: digest}
	s.bundle.Store(b)
	return s, nil
}

// Check reports whether the process called name could use the files. Its
// error names the file and matches one of the package's errors, or is that of
// reading the file.
func Check(files Files, name string, now time.Time) error {
	content, _, err := read(files)
	if err == nil {
		_, err = parse(files, content, name, now)
	}
	return err
}

// Current returns what new connections use.
func (s *Store) Current() *Bundle { return s.bundle.Load() }

// Run follows changes of the files until ctx ends. Files that cannot be used
// leave the current ones in place. Run returns nil.
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

// check takes over changed files. A change of several files that is seen half
// done does not match and is tried again at the next check.
func (s *Store) check(now time.Time) {
	content, digest, err := read(s.options.Files)
	if digest != s.digest {
		s.replace(content, digest, err, now)
	}
	if end := s.Current().Expires; now.After(end.Add(-warnBefore)) && !now.Before(s.warn) {
		s.warn = now.Add(warnInterval)
		s.options.Log.Emit(event.CertificateExpiring, zap.Time("expires", end))
	}
}

func (s *Store) replace(content [3][]byte, digest [sha256.Size]byte, err error, now time.Time) {
	var b *Bundle
	if err == nil {
		b, err = parse(s.options.Files, content, s.options.Name, now)
	}
	if err == nil {
		s.digest, s.warn = digest, time.Time{}
		s.bundle.Store(b)
		s.options.Log.Emit(event.CertificateReloaded, zap.Time("expires", b.Expires))
	} else if digest != s.rejected {
		s.rejected = digest
		s.options.Log.Emit(event.CertificateRejected, zap.Error(err))
	}
}

// read returns the files, and a digest of them and of any failure to read them.
func read(files Files) (content [3][]byte, digest [sha256.Size]byte, failed error) {
	h := sha256.New()
	for i, path := range []string{files.Authority, files.Certificate, files.Key} {
		b, err := os.ReadFile(path)
		if err != nil {
			failed = errors.CombineErrors(failed, err)
			b = []byte(err.Error())
		}
		d := sha256.Sum256(b)
		h.Write(d[:])
		content[i] = b
	}
	return content, [sha256.Size]byte(h.Sum(nil)), failed
}

func parse(files Files, content [3][]byte, name string, now time.Time) (*Bundle, error) {
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

// verify tells an authority that has expired from one that did not sign.
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
