package disk

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// crashRecorder keeps what a crash after each operation on files leaves on the disk: all that was written, or only
// what was synced.
type crashRecorder struct {
	t       *testing.T
	content map[string][]byte // of the files that have a name, as of their latest sync
	durable map[string][]byte // what a crash leaves at least
	crashes []diskCrash
	acked   *uint64 // highest index whose append has been synced
}

// diskCrash is the content of a directory after a crash.
type diskCrash struct {
	name  string
	files map[string][]byte
	acked uint64
}

func (c *crashRecorder) files(path string) map[string][]byte {
	list, err := os.ReadDir(path)
	if err != nil {
		c.t.Fatal(err)
	}
	files := map[string][]byte{}
	for _, f := range list {
		if files[f.Name()], err = os.ReadFile(filepath.Join(path, f.Name())); err != nil {
			c.t.Fatal(err)
		}
	}
	return files
}

func (c *crashRecorder) operated(d *Directory, kind operation, name string) {
	now := c.files(d.path)
	switch kind {
	case synced:
		c.content[name] = now[name]
		if _, named := c.durable[name]; named {
			c.durable[name] = now[name]
		}
	case renamed:
		c.content[name] = c.content[name+tempSuffix]
	case syncedDirectory:
		c.durable = map[string][]byte{}
		for name := range now {
			c.durable[name] = c.content[name]
		}
	}
	at := fmt.Sprintf("%d: operation %d on %s", len(c.crashes)/2, kind, name)
	c.crashes = append(c.crashes, diskCrash{at + ", all kept", now, *c.acked}, diskCrash{at + ", synced kept", maps.Clone(c.durable), *c.acked})
}

// restore writes the files of a crash into a new directory.
func (c *diskCrash) restore(t *testing.T) string {
	path := t.TempDir()
	for name, b := range c.files {
		if err := os.WriteFile(filepath.Join(path, name), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return path
}

// restart opens a directory, appends an entry after the latest one and returns its index.
func restart(path string) (last uint64, err error) {
	d, err := Open(path)
	if err != nil {
		return 0, err
	}
	c, err := d.Load()
	last = c.Snapshot.Index
	if n := len(c.Entries); n > 0 {
		last = max(last, c.Entries[n-1].Index)
	}
	err = errors.CombineErrors(err, d.Append(Batch{Entries: entries(last+1, 7, "later")}))
	return last, errors.CombineErrors(errors.CombineErrors(err, d.Sync()), d.Close())
}

// playDisk has a store append, compact, and install two snapshots of the leader, one that is ahead of its log and one
// that contradicts it.
func playDisk(t *testing.T, path string, acked *uint64) {
	is := is.New(t)
	d := open(t, path)
	defer func() { is.NoErr(d.Close()) }()
	appendTo := func(b Batch) {
		write(t, d, b)
		if n := len(b.Entries); n > 0 {
			*acked = b.Entries[n-1].Index
		}
	}
	appendTo(Batch{Hard: &HardState{Term: 2, Vote: 1}, Entries: entries(1, 2, "a", "b", "c")})
	is.NoErr(d.rotate())
	appendTo(Batch{Entries: entries(4, 2, "d", "e")})
	is.NoErr(d.SaveSnapshot(Snapshot{Index: 3, Term: 2, Data: []byte("three")}))
	is.NoErr(d.Compact(3))
	appendTo(Batch{Entries: entries(6, 2, "f")})
	is.NoErr(d.SaveSnapshot(Snapshot{Index: 20, Term: 3, Data: []byte("twenty")})) // of the leader
	appendTo(Batch{Reset: &Position{20, 3}, Entries: entries(21, 3, "g", "h", "i")})
	is.NoErr(d.rotate())
	*acked = 21 // the leader has none of the others
	is.NoErr(d.SaveSnapshot(Snapshot{Index: 22, Term: 5, Data: []byte("twenty-two")}))
	*acked = 22
	appendTo(Batch{Reset: &Position{22, 5}, Entries: entries(23, 5, "j")})
	is.NoErr(d.Compact(22))
	appendTo(Batch{Entries: entries(24, 5, "k")})
}

// Guards against a replica that does not start again, or loses what it has acknowledged, after a crash between two
// operations on files: it appended entries after an installed snapshot to a log that was not reset, and found it
// damaged at the start after that (issue 68, point 6).
func TestCrashAfterEachOperation(t *testing.T) {
	acked := uint64(0)
	c := &crashRecorder{t: t, content: map[string][]byte{}, durable: map[string][]byte{}, acked: &acked}
	operated = c.operated
	playDisk(t, t.TempDir(), &acked)
	operated = func(*Directory, operation, string) {}
	if len(c.crashes) < 60 {
		t.Fatalf("%d crashes, want at least 60", len(c.crashes))
	}
	for _, k := range c.crashes {
		t.Run(k.name, func(t *testing.T) {
			is := is.New(t)
			path := k.restore(t)
			first, err := restart(path)
			is.NoErr(err)
			is.True(first >= k.acked)
			for i := range uint64(3) { // each finds the entry that the one before has appended
				last, err := restart(path)
				is.NoErr(err)
				is.Equal(last, first+1+i)
			}
		})
	}
}

// Guards against a replica that stays out for good because a build before 2026-12-07 has appended to a log that was
// not reset: the snapshot has the entries that are missing.
func TestLogBehindItsSnapshot(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	d := open(t, path)
	write(t, d, Batch{Entries: entries(1, 2, "a", "b", "c")})
	is.NoErr(d.SaveSnapshot(Snapshot{Index: 9, Term: 3}))
	write(t, d, Batch{Entries: entries(10, 3, "d")})
	is.NoErr(d.Close())
	is.Equal(load(t, path), "{0 0} {9 3 [] []} [{10 3 0 [100]}]")
}
