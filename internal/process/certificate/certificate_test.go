package certificate

import (
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func issue(t *testing.T, folder string, names ...string) *Authority {
	is := is.New(t)
	a, err := Create(start)
	is.NoErr(err)
	is.NoErr(a.Write(folder))
	for _, n := range names {
		is.NoErr(a.Issue(folder, n, start))
	}
	return a
}

// Guards against key files that other users can read, and against a second Write
// that replaces an authority.
func TestFiles(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "keys")
	a := issue(t, folder, "entry-1")
	list, err := os.ReadDir(folder)
	is.NoErr(err)
	is.Equal(len(list), 4)
	for _, e := range list {
		info, err := e.Info()
		is.NoErr(err)
		is.Equal(info.Mode().Perm(), fileMode)
	}
	is.True(errors.Is(a.Write(folder), ErrExists))
	again, err := Open(folder)
	is.NoErr(err)
	is.NoErr(again.Issue(folder, "entry-2", start))
	is.NoErr(Check(PathsIn(folder, "entry-2"), "entry-2", start))
	for _, n := range []string{"", "Entry", "a.b", "-a", "authority"} {
		is.True(again.Issue(folder, n, start) != nil) // not a valid process name
	}
}

// Guards against accepting files with which connections would fail, and against
// errors that do not say what is wrong with which file.
func TestCheck(t *testing.T) {
	folder, other := t.TempDir(), t.TempDir()
	issue(t, folder, "a", "b")
	issue(t, other, "a")
	good, wrong := PathsIn(folder, "a"), PathsIn(other, "a")
	text := filepath.Join(folder, "text")
	if err := os.WriteFile(text, []byte("hello"), fileMode); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		files Files
		name  string
		at    time.Time
		want  error
	}{
		"good":            {good, "a", start, nil},
		"expired":         {good, "a", start.AddDate(1, 0, 1), ErrExpired},
		"early":           {good, "a", start.Add(-time.Hour), ErrEarly},
		"other name":      {good, "b", start, ErrName},
		"other key":       {Files{good.Authority, good.Certificate, PathsIn(folder, "b").Key}, "a", start, ErrMismatch},
		"other authority": {Files{wrong.Authority, good.Certificate, good.Key}, "a", start, ErrAuthority},
		"no authority":    {Files{good.Certificate, good.Certificate, good.Key}, "a", start, ErrAuthority},
		"no PEM":          {Files{text, good.Certificate, good.Key}, "a", start, ErrFormat},
		"swapped":         {Files{good.Authority, good.Key, good.Certificate}, "a", start, ErrFormat},
		"missing":         {PathsIn(folder, "c"), "c", start, os.ErrNotExist},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := Check(c.files, c.name, c.at)
			if c.want == nil {
				is.NoErr(err)
				return
			}
			is.True(errors.Is(err, c.want))
			is.True(strings.Contains(err.Error(), folder) || strings.Contains(err.Error(), other)) // names the file
		})
	}
}

// Guards against changed files that are not reloaded, and against a running
// process that switches to files it cannot use.
func TestReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		folder := t.TempDir()
		a, err := Create(time.Now())
		is.NoErr(err)
		is.NoErr(a.Write(folder))
		is.NoErr(a.Issue(folder, "a", time.Now()))
		core, log := observer.New(zapcore.InfoLevel)
		files := PathsIn(folder, "a")
		// The clock of the store is shifted to skip months: sleeping through them would
		// run a check for each virtual second.
		var shift atomic.Int64
		later := func() time.Time { return time.Now().Add(time.Duration(shift.Load())) }
		s, err := Load(Options{Name: "a", Files: files, Now: later, Log: event.New(zap.New(core))})
		is.NoErr(err)
		go s.Run(t.Context())
		synctest.Wait() // Run's first check must read the files before they change
		count := func(id event.ID) int { return log.FilterField(zap.Int("event", int(id))).Len() }

		first := s.Current()
		old, err := os.ReadFile(files.Key)
		is.NoErr(err)
		is.NoErr(a.Issue(folder, "a", time.Now()))
		fresh, err := os.ReadFile(files.Key)
		is.NoErr(err)
		is.NoErr(os.WriteFile(files.Key, old, fileMode)) // only the certificate is replaced
		time.Sleep(10 * checkInterval)
		is.True(s.Current() == first)
		is.Equal(count(event.CertificateRejected), 1) // once, not at each check
		is.NoErr(os.WriteFile(files.Key, fresh, fileMode))
		time.Sleep(2 * checkInterval)
		is.True(s.Current() != first)
		is.Equal(count(event.CertificateReloaded), 1)

		shift.Store(int64(time.Until(s.Current().Expires.Add(-warnBefore))))
		time.Sleep(time.Hour)
		is.Equal(count(event.CertificateExpiring), 1)
	})
}

// Guards against a single VM that keeps a certificate about to expire, or that
// replaces its certificate or authority at each start.
func TestEnsure(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "keys")
	read := func(path string) string {
		b, err := os.ReadFile(path)
		is.NoErr(err)
		return string(b)
	}
	f, err := Ensure(folder, "a", start)
	is.NoErr(err)
	authority, certificate := read(f.Authority), read(f.Certificate)
	_, err = Ensure(folder, "a", start.AddDate(0, 6, 0))
	is.NoErr(err)
	is.Equal(read(f.Certificate), certificate) // kept: still valid for months
	late := start.AddDate(0, 11, 20)
	_, err = Ensure(folder, "a", late)
	is.NoErr(err)
	is.True(read(f.Certificate) != certificate)
	is.Equal(read(f.Authority), authority)
	is.NoErr(Check(f, "a", late))
}
