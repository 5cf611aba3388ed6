// Package certificate makes the private authority of a cell, issues the
// certificates by which its processes know each other, and keeps the
// certificates of a running process up to date.
//
// A certificate carries the name of its process as its only DNS name. The name
// is the one in the settings; who holds the certificate is that process.
//
// # Usage
//
//	authority, err := certificate.Create(time.Now())
//	err = authority.Write("keys")
//	err = authority.Issue("keys", "entry-1", time.Now())
//
//	store, err := certificate.Load(certificate.Options{
//		Name:  "entry-1",
//		Files: certificate.In("keys", "entry-1"),
//		Log:   log,
//	})
//	go store.Run(ctx) // follows changes of the files
//	bundle := store.Current()
//
// Keys are ECDSA on P-256. Files are PEM, written with mode 0600 and replaced
// by renaming, so that a reader never sees half a file. To replace an authority
// without a gap, put the old and the new authority certificate into the
// authority file of every process, then replace the processes' certificates,
// then take the old authority out.
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
	// authorityYears is how long an authority is valid. Replacing it takes a
	// round over all VMs, so it outlives several generations of them.
	authorityYears = 10
	// nodeDays is how long a process's certificate is valid.
	nodeDays = 365
	// backdate allows for processes whose clocks lag behind the issuer's.
	backdate = 5 * time.Minute

	fileMode   fs.FileMode = 0o600
	folderMode fs.FileMode = 0o700

	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
)

// Errors of Load and Check, matched with errors.Is.
var (
	// ErrExpired tells that a certificate's time is over.
	ErrExpired = errors.New("the certificate has expired")
	// ErrEarly tells that a certificate's time has not begun.
	ErrEarly = errors.New("the certificate is not valid yet")
	// ErrName tells that a certificate names another process.
	ErrName = errors.New("the certificate names another process")
	// ErrMismatch tells that certificate and key do not belong together.
	ErrMismatch = errors.New("the key does not belong to the certificate")
	// ErrAuthority tells that the authority did not sign the certificate.
	ErrAuthority = errors.New("the certificate was not issued by the authority")
	// ErrFormat tells that a file does not hold what it should.
	ErrFormat = errors.New("the file does not hold the expected PEM block")
	// ErrExists tells that an authority would be overwritten.
	ErrExists = errors.New("the folder has an authority already")
)

// Files are the paths of what a process needs.
type Files struct {
	Authority   string // certificates of the authorities that are trusted
	Certificate string
	Key         string
}

// In returns the paths that Authority.Write and Authority.Issue use in folder.
func In(folder, name string) Files {
	return Files{
		Authority:   filepath.Join(folder, "authority.pem"),
		Certificate: filepath.Join(folder, name+".pem"),
		Key:         filepath.Join(folder, name+".key"),
	}
}

func authorityKey(folder string) string { return filepath.Join(folder, "authority.key") }

// Authority signs the certificates of processes.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Create makes a new authority, valid for ten years from now.
func Create(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make the authority's key")
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
		return nil, errors.Wrap(err, "sign the authority")
	}
	c, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "read the authority back")
	}
	return &Authority{certificate: c, key: key}, nil
}

// Open reads an authority that Write has stored in folder.
func Open(folder string) (*Authority, error) {
	files := In(folder, "authority")
	certificates, err := readCertificates(files.Authority)
	if err != nil {
		return nil, err
	}
	pair, err := tls.LoadX509KeyPair(files.Authority, authorityKey(folder))
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "%s and %s", files.Authority, authorityKey(folder)), ErrMismatch)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !certificates[0].IsCA {
		return nil, errors.Wrapf(ErrFormat, "%s: not an authority with an ECDSA key", files.Authority)
	}
	return &Authority{certificate: certificates[0], key: key}, nil
}

// Write stores the authority and its key in folder, which is made if it does
// not exist. It fails with ErrExists rather than replace an authority.
func (a *Authority) Write(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "make the folder")
	}
	for _, path := range []string{In(folder, "").Authority, authorityKey(folder)} {
		if _, err := os.Lstat(path); err == nil {
			return errors.Wrap(ErrExists, path)
		}
	}
	key, err := encodeKey(a.key)
	if err != nil {
		return err
	}
	if err := replace(authorityKey(folder), key); err != nil {
		return err
	}
	return replace(In(folder, "").Authority, encodeCertificate(a.certificate.Raw))
}

// Issue makes a key and a certificate for the process called name, valid for a
// year from now, and stores them in folder. Files of the same name are replaced.
func (a *Authority) Issue(folder, name string, now time.Time) error {
	certificate, key, err := a.sign(name, now)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "make the folder")
	}
	files := In(folder, name)
	if err := replace(files.Key, key); err != nil {
		return err
	}
	return replace(files.Certificate, certificate)
}

func (a *Authority) sign(name string, now time.Time) (certificate, key []byte, err error) {
	if !ValidName(name) || name == "authority" {
		return nil, nil, errors.Newf("%q cannot name a process: use lower-case letters, digits and '-', and not the word authority", name)
	}
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "make the key")
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: name},
		DNSNames:    []string{name},
		NotBefore:   now.Add(-backdate),
		NotAfter:    now.AddDate(0, 0, nodeDays),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if template.NotAfter.After(a.certificate.NotAfter) {
		template.NotAfter = a.certificate.NotAfter
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, private.Public(), a.key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "sign the certificate")
	}
	if key, err = encodeKey(private); err != nil {
		return nil, nil, err
	}
	return encodeCertificate(der), key, nil
}

// maximumName is the longest label of a DNS name.
const maximumName = 63

// ValidName reports whether name can name a process: one label of a DNS name
// in lower case.
func ValidName(name string) bool {
	if name == "" || len(name) > maximumName || name[0] == '-' || name[len(name)-1] == '-' {
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

// replace writes a file so that readers see the old or the new one as a whole.
func replace(path string, content []byte) (err error) {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return errors.Wrap(err, "make a file")
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

// Ensure returns files that the process called name can use, for a process
// that has no peers: it makes the authority in folder unless there is one, and
// the certificate unless the present one is still good for a month.
func Ensure(folder, name string, now time.Time) (Files, error) {
	files := In(folder, name)
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
