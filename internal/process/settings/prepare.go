package settings

import (
	"crypto/rand"
	"crypto/sha256"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/process/certificate"
)

const (
	// certificateFolder is the folder within the data folder where Prepare keeps
	// the certificate authority of a single VM.
	certificateFolder = "certificates"
	// OperatorFile is the file within the data folder that holds the operator key
	// that Prepare generates.
	OperatorFile = "operator.key"
)

// Prepare creates the data folder. For a process without peers and certificates,
// it also creates an authority and a certificate and, unless the settings list
// operators, an operator key. What exists already is kept. It returns the
// settings completed with what it created.
func Prepare(s Settings, now time.Time) (Settings, error) {
	if s.Data != "" {
		if err := os.MkdirAll(s.Data, 0o700); err != nil {
			return s, errors.Wrap(err, "create the data folder")
		}
	}
	if !s.Single() {
		return s, nil
	}
	files, err := certificate.Ensure(filepath.Join(s.Data, certificateFolder), s.Name, now)
	if err != nil {
		return s, err
	}
	s.Certificates = Certificates(files)
	if len(s.Operators) == 0 {
		d, err := ensureOperatorKey(filepath.Join(s.Data, OperatorFile))
		if err != nil {
			return s, err
		}
		s.Operators = []Digest{d}
	}
	return s, nil
}

// ensureOperatorKey returns the digest of the key in the file at path. If the
// file does not exist, it is created with a random key.
func ensureOperatorKey(path string) (Digest, error) {
	content, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		content = []byte(rand.Text() + "\n")
		err = os.WriteFile(path, content, 0o600)
	}
	if err != nil {
		return Digest{}, errors.Wrap(err, "read or create the operator key")
	}
	secret := strings.TrimSpace(string(content))
	if secret == "" {
		return Digest{}, errors.Newf("%s is empty; remove it to get a new key", path)
	}
	return sha256.Sum256([]byte(secret)), nil
}
