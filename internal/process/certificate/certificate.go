// Package certificate creates the private certificate authority of a cell, issues
// the certificates by which its processes authenticate each other, and reloads
// the certificates of a running process when their files change.
//
// A certificate carries the name of its process, as in the settings, as its only
// DNS name. Whoever holds the certificate and its key is taken for that process.
//
// # Usage
//
//	authority, err := certificate.Create(time.Now())
//	err = authority.Write("keys")
//	err = authority.Issue("keys", "entry-1", time.Now())
//
//	store, err := certificate.Load(certificate.Options{
//		Name:  "entry-1",
//		Files: certificate.PathsIn("keys", "entry-1"),
//		Log:   log,
//	})
//	go store.Run(ctx) // follows changes of the files
//	bundle := store.Current()
//
// Keys are ECDSA on P-256. Files are PEM, written with mode 0600 and replaced by
// renaming, so that a reader never sees a partial file. To replace an authority
// without interruption, put both the old and the new authority certificate into
// the authority file of every process, then replace the processes' certificates,
// then remove the old authority certificate.
package certificate

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// authorityYears is how long an authority is valid. Replacing it requires
	// changes on every VM, so it is valid for longer than several generations of VMs
	// live.
	authorityYears = 10
	// certificateDays is how long a process's certificate is valid.
	certificateDays = 365
	// backdate is how far validity begins before the time of issue, for processes
	// whose clocks lag behind the issuer's.
	backdate = 5 * time.Minute

	fileMode   fs.FileMode = 0o600
	folderMode fs.FileMode = 0o700

	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
)

// Errors of Load and Check, matched with errors.Is.
var (
	// ErrExpired reports a certificate whose validity has ended.
	ErrExpired = errors.New("the certificate has expired")
	// ErrEarly reports a certificate whose validity has not begun.
	ErrEarly = errors.New("the certificate is not valid yet")
	// ErrName reports a certificate that does not name exactly the expected process.
	ErrName = errors.New("the certificate names another process")
	// ErrMismatch reports a certificate and a key that do not belong together.
	ErrMismatch = errors.New("the key does not belong to the certificate")
	// ErrAuthority reports a certificate that no trusted authority issued, or a
	// certificate in the authority file that is not that of an authority.
	ErrAuthority = errors.New("the certificate was not issued by the authority")
	// ErrFormat reports a file without the expected content.
	ErrFormat = errors.New("the file does not hold the expected PEM block")
	// ErrExists reports that Write would overwrite an authority.
	ErrExists = errors.New("the folder has an authority already")
)

// Files holds the paths of the PEM files that a process needs.
type Files struct {
	Authority   string // certificates of the trusted authorities
	Certificate string
	Key         string
}

// PathsIn returns the paths that Authority.Write and Authority.Issue use in
// folder.
func PathsIn(folder, name string) Files {
	return Files{
		Authority:   filepath.Join(folder, "authority.pem"),
		Certificate: filepath.Join(folder, name+".pem"),
		Key:         filepath.Join(folder, name+".key"),
	}
}

func authorityKeyPath(folder string) string { return filepath.Join(folder, "authority.key") }

// Authority is a certificate authority that issues the certificates of processes.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Create creates an authority that is valid for ten years from now.
func Create(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate the authority's key")
	}
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "rosemaryloft authority " + now.UTC().Format(time.DateOnly)},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.AddDate(authorityYears, 0, 0),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "sign the authority certificate")
	}
	c, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse the new authority certificate")
	}
	return &Authority{certificate: c, key: key}, nil
}

// Open reads an authority that Write has stored in folder.
func Open(folder string) (*Authority, error) {
	files := PathsIn(folder, "authority")
	certificates, err := readCertificates(files.Authority)
	if err != nil {
		return nil, err
	}
	pair, err := tls.LoadX509KeyPair(files.Authority, authorityKeyPath(folder))
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "%s and %s", files.Authority, authorityKeyPath(folder)), ErrMismatch)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !certificates[0].IsCA {
		return nil, errors.Wrapf(ErrFormat, "%s: not an authority with an ECDSA key", files.Authority)
	}
	return &Authority{certificate: certificates[0], key: key}, nil
}

// Write stores the authority and its key in folder, which is created if it does
// not exist. It fails with ErrExists if folder already holds an authority.
func (a *Authority) Write(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "create the folder")
	}
	for _, path := range []string{PathsIn(folder, "").Authority, authorityKeyPath(folder)} {
		if _, err := os.Lstat(path); err == nil {
			return errors.Wrap(ErrExists, path)
		}
	}
	key, err := encodeKey(a.key)
	if err != nil {
		return err
	}
	if err := writeFileAtomic(authorityKeyPath(folder), key); err != nil {
		return err
	}
	return writeFileAtomic(PathsIn(folder, "").Authority, encodeCertificate(a.certificate.Raw))
}

// Issue generates a key and issues a certificate for the process called name, and
// stores both in folder, replacing existing files of that process. The
// certificate is valid for a year from now, but not beyond the authority.
func (a *Authority) Issue(folder, name string, now time.Time) error {
	certificate, key, err := a.sign(name, now)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "create the folder")
	}
	files := PathsIn(folder, name)
	if err := writeFileAtomic(files.Key, key); err != nil {
		return err
	}
	return writeFileAtomic(files.Certificate, certificate)
}

func (a *Authority) sign(name string, now time.Time) (certificate, key []byte, err error) {
	if !ValidName(name) || name == "authority" {
		return nil, nil, errors.Newf("%q cannot name a process: use lower-case letters, digits and '-', and not the word authority", name)
	}
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "generate the key")
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: name},
		DNSNames:    []string{name},
		NotBefore:   now.Add(-backdate),
		NotAfter:    now.AddDate(0, 0, certificateDays),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if template.NotAfter.After(a.certificate.NotAfter) {
		template.NotAfter = a.certificate.NotAfter
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, privateKey.Public(), a.key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "sign the certificate")
	}
	if key, err = encodeKey(privateKey); err != nil {
		return nil, nil, err
	}
	return encodeCertificate(der), key, nil
}

// maxNameLength is the maximum length of a DNS label, in bytes.
const maxNameLength = 63

// ValidName reports whether name is a valid process name: a single DNS label in
// lower case.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameLength || name[0] == '-' || name[len(name)-1] == '-' {
		return false
	}
	for _, c := range []byte(name) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// ProcessName returns the name of the process that a certificate was issued
// to. It fails with ErrName unless the certificate has exactly one DNS name.
func ProcessName(c *x509.Certificate) (string, error) {
	if len(c.DNSNames) != 1 {
		return "", errors.Wrapf(ErrName, "it has %d names instead of one", len(c.DNSNames))
	}
	return c.DNSNames[0], nil
}

func encodeCertificate(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: der})
}

func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.Wrap(err, "encode the key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: der}), nil
}

// writeFileAtomic writes a temporary file and renames it to path, so that readers
// see either the old or the new content as a whole.
func writeFileAtomic(path string, content []byte) (err error) {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return errors.Wrap(err, "create a temporary file")
	}
	defer func() {
		if err != nil {
			err = errors.CombineErrors(err, os.Remove(f.Name()))
		}
	}()
	_, err = f.Write(content)
	err = errors.CombineErrors(err, f.Chmod(fileMode))
	err = errors.CombineErrors(err, f.Sync())
	err = errors.CombineErrors(err, f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	return errors.Wrapf(err, "write %s", path)
}

func readCertificates(path string) ([]*x509.Certificate, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parseCertificates(path, content)
}

func parseCertificates(path string, content []byte) ([]*x509.Certificate, error) {
	var list []*x509.Certificate
	for rest := content; ; {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			if len(bytes.TrimSpace(rest)) > 0 {
				return nil, errors.Wrapf(ErrFormat, "%s: text that is no PEM block", path)
			}
			break
		}
		if block.Type != certificateBlock {
			return nil, errors.Wrapf(ErrFormat, "%s: %s instead of %s", path, block.Type, certificateBlock)
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, path), ErrFormat)
		}
		list = append(list, c)
	}
	if len(list) == 0 {
		return nil, errors.Wrapf(ErrFormat, "%s: no %s", path, certificateBlock)
	}
	return list, nil
}

// Ensure returns files that the process called name can use. It is meant for
// processes without peers: it creates the authority in folder if there is none,
// and replaces a certificate that cannot be used now or in a month.
func Ensure(folder, name string, now time.Time) (Files, error) {
	files := PathsIn(folder, name)
	a, err := Open(folder)
	if errors.Is(err, fs.ErrNotExist) {
		if a, err = Create(now); err == nil {
			err = a.Write(folder)
		}
	}
	if err != nil {
		return files, err
	}
	if Check(files, name, now.AddDate(0, 1, 0)) == nil && Check(files, name, now) == nil {
		return files, nil
	}
	return files, a.Issue(folder, name, now)
}
