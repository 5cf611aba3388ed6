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
	// certificateFolder is where Prepare keeps the authority of a single VM,
	// within the data folder.
	certificateFolder = "certificates"
	// OperatorFile holds the operator key that Prepare makes, within the data
	// folder.
	OperatorFile = "operator.key"
)

// Prepare makes the data folder, and for a process without peers and
// certificates also an authority, a certificate and an operator key, each
// unless it exists. It returns the settings completed with them.
func Prepare(s Settings, now time.Time) (Settings, error) {
	if s.Data != "" {
		if err := os.MkdirAll(s.Data, 0o700); err != nil {
			return s, errors.Wrap(err, "make the data folder")
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
		d, err := operatorKey(filepath.Join(s.Data, OperatorFile))
		if err != nil {
			return s, err
		}
		s.Operators = []Digest{d}
	}
	return s, nil
}

// operatorKey returns the digest of the key in a file, which is made if it
// does not exist.
func operatorKey(path string) (Digest, error) {
	content, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		content = []byte(rand.Text() + "\n")
		err = os.WriteFile(path, content, 0o600)
	}
	if err != nil {
		return Digest{}, errors.Wrap(err, "operator key")
	}
	secret := strings.TrimSpace(string(content))
	if secret == "" {
		return Digest{}, errors.Newf("%s is empty; remove it to get a new key", path)
	}
	return sha256.Sum256([]byte(secret)), nil
}
