package disk

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func entries(first, term uint64, data ...string) []Entry {
	var list []Entry
	for i, d := range data {
		list = append(list, Entry{Index: first + uint64(i), Term: term, Data: []byte(d)})
	}
	return list
}

func write(t testing.TB, s Store, b Batch) {
	t.Helper()
	if err := errors.CombineErrors(s.Append(b), s.Sync()); err != nil {
		t.Fatal(err)
	}
}

func open(t testing.TB, path string) *Directory {
	t.Helper()
	d, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// load opens a directory and returns its contents formatted as a string.
func load(t testing.TB, path string) string {
	t.Helper()
	d := open(t, path)
	c, err := d.Load()
	if err = errors.CombineErrors(err, d.Close()); err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%v %v %v", c.Hard, c.Snapshot, c.Entries)
}

// Guards against a store that loses synced data, keeps replaced entries or
// changes its identity when it is reopened.
func TestReopen(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	d := open(t, path)
	id := d.Identity()
	_, err := Open(path)
	is.True(errors.Is(err, ErrLocked))
	write(t, d, Batch{Hard: &HardState{Term: 3, Vote: 7}, Entries: entries(1, 3, "a", "b", "c")})
	write(t, d, Batch{Entries: entries(2, 4, "d")})
	is.NoErr(d.Append(Batch{Entries: entries(3, 4, "not synced")}))
	is.NoErr(d.Close())
	is.Equal(load(t, path), "{3 7} {0 0 [] []} [{1 3 0 [97]} {2 4 0 [100]}]")
	d = open(t, path)
	is.Equal(d.Identity(), id)
	is.NoErr(d.Close())
}

// Guards against a commit that is lost or survives a reset of the log.
func TestCommitIsKeptUntilAReset(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	d := open(t, path)
	write(t, d, Batch{Entries: entries(1, 3, "a", "b"), Commit: 1})
	write(t, d, Batch{Hard: &HardState{Term: 4}})
	is.NoErr(d.Close())
	d = open(t, path)
	c, err := d.Load()
	is.NoErr(err)
	is.Equal(c.Commit, uint64(1))
	is.NoErr(d.SaveSnapshot(Snapshot{Index: 9, Term: 5}))
	write(t, d, Batch{Reset: &Position{9, 5}, Entries: entries(10, 5, "y")})
	is.NoErr(d.Close())
	d = open(t, path)
	c, err = d.Load()
	is.NoErr(err)
	is.Equal(c.Commit, uint64(0))
	is.NoErr(d.Close())
}

// Guards against segments that are never removed or removed too early, and
// against losing the term and vote when old segments are removed.
func TestCompactAndReset(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	d := open(t, path)
	write(t, d, Batch{Hard: &HardState{Term: 2, Vote: 1}})
	for i := range uint64(10) {
		write(t, d, Batch{Entries: entries(1+i, 2, "x")})
		is.NoErr(d.rotate())
	}
	is.NoErr(d.Compact(8)) // nothing is removed without a snapshot
	is.Equal(len(d.segments), 11)
	is.NoErr(d.SaveSnapshot(Snapshot{Index: 8, Term: 2, Membership: []byte("m"), Data: []byte("state")}))
	is.NoErr(d.Compact(10))
	is.Equal(len(d.segments), 3)
	is.NoErr(d.Close())
	is.Equal(load(t, path), "{2 1} {8 2 [109] []} [{9 2 0 [120]} {10 2 0 [120]}]")

	d = open(t, path)
	is.NoErr(d.SaveSnapshot(Snapshot{Index: 9, Term: 5}))
	is.NoErr(d.Close()) // simulates a crash before the reset; entry 9 has another term
	is.Equal(load(t, path), "{2 1} {9 5 [] []} []")
	d = open(t, path)
	write(t, d, Batch{Reset: &Position{9, 5}, Entries: entries(10, 5, "y")})
	s, err := d.LoadSnapshot()
	is.NoErr(err)
	is.Equal(s.Index, uint64(9))
	is.NoErr(d.Close())
	is.Equal(load(t, path), "{2 1} {9 5 [] []} [{10 5 0 [121]}]")
}

// Guards against a torn last write, at each byte offset, that prevents opening
// the store or leaves part of a batch, and against losing the next write after
// it.
func TestTornTail(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	d := open(t, path)
	write(t, d, Batch{Hard: &HardState{Term: 1}, Entries: entries(1, 1, "kept")})
	begin := d.size
	write(t, d, Batch{Hard: &HardState{Term: 9}, Entries: entries(2, 9, "torn", "away")})
	is.NoErr(d.Close())
	segment := filepath.Join(path, segmentName(1))
	whole, err := os.ReadFile(segment)
	is.NoErr(err)
	for n := begin; n < int64(len(whole)); n++ {
		zeroed := append(bytes.Clone(whole[:n]), make([]byte, int64(len(whole))-n)...)
		for _, content := range [][]byte{whole[:n], zeroed} {
			if bytes.Equal(content, whole) {
				continue // the zeroed bytes were zero before
			}
			is.NoErr(os.WriteFile(segment, content, 0o600))
			is.Equal(load(t, path), "{1 0} {0 0 [] []} [{1 1 0 [107 101 112 116]}]")
			d := open(t, path)
			write(t, d, Batch{Entries: entries(2, 2, "n")})
			is.NoErr(d.Close())
			is.Equal(load(t, path), "{1 0} {0 0 [] []} [{1 1 0 [107 101 112 116]} {2 2 0 [110]}]")
		}
	}
	// A crash in rotate can leave any prefix of the first record of a segment.
	is.NoErr(os.WriteFile(segment, whole, 0o600))
	d = open(t, path)
	is.NoErr(d.rotate())
	last := segmentName(d.sequence - 1)
	is.NoErr(d.Close())
	first, err := os.ReadFile(filepath.Join(path, last))
	is.NoErr(err)
	for n := range first {
		is.NoErr(os.WriteFile(filepath.Join(path, last), first[:n], 0o600))
		is.Equal(load(t, path)[:5], "{9 0}")
	}
}

// Guards against damage that is not reported. One bit is flipped in each byte of
// each file but the last record, where damage looks like an interrupted write;
// then whole files are removed.
func TestDamageIsReported(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	d := open(t, path)
	write(t, d, Batch{Hard: &HardState{Term: 1}, Entries: entries(1, 1, "a")})
	is.NoErr(d.SaveSnapshot(Snapshot{Index: 1, Term: 1, Data: []byte("s")}))
	is.NoErr(d.rotate())
	write(t, d, Batch{Entries: entries(2, 1, "b")})
	end := d.size
	write(t, d, Batch{Entries: entries(3, 1, "c")})
	second := d.segments[1].sequence
	is.NoErr(d.Close())
	for name, limit := range map[string]int64{identityFile: 1 << 20, snapshotName(1): 1 << 20, segmentName(1): 1 << 20, segmentName(second): end} {
		file := filepath.Join(path, name)
		whole, err := os.ReadFile(file)
		is.NoErr(err)
		for i := 0; i < len(whole) && int64(i) < limit; i++ {
			bad := bytes.Clone(whole)
			bad[i] ^= 0x40
			is.NoErr(os.WriteFile(file, bad, 0o600))
			_, err := Open(path)
			if !errors.Is(err, ErrDamaged) {
				t.Fatalf("byte %d of %s: got %v", i, name, err)
			}
		}
		is.NoErr(os.WriteFile(file, whole, 0o600))
	}
	for _, missing := range [][]string{{identityFile}, {segmentName(1), snapshotName(1)}} { // segment 1 and the snapshot both cover entry 1
		for _, name := range missing {
			is.NoErr(os.Rename(filepath.Join(path, name), filepath.Join(path, "away-"+name)))
		}
		_, err := Open(path)
		is.True(errors.Is(err, ErrDamaged))
		for _, name := range missing {
			is.NoErr(os.Rename(filepath.Join(path, "away-"+name), filepath.Join(path, name)))
		}
	}
}

// Guards against a decoder that panics, allocates without bound or does not
// return what was encoded.
func FuzzDecodeBatch(f *testing.F) {
	f.Add(appendBatch(nil, Batch{Hard: &HardState{1, 2}, Reset: &Position{3, 4}, Entries: entries(5, 6, "a", ""), Commit: 4}))
	f.Add([]byte{0, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, b []byte) {
		batch, rest, err := decodeBatch(b)
		if err != nil {
			return
		}
		again, _, err := decodeBatch(appendBatch(nil, batch))
		if err != nil || fmt.Sprint(again.Entries) != fmt.Sprint(batch.Entries) || len(rest) >= len(b) {
			t.Fatalf("decoded %v, then %v, %v", batch, again, err)
		}
	})
}

// Guards against a record parser that reads beyond its input.
func FuzzParseRecord(f *testing.F) {
	b := appendBatch(beginRecord(nil), Batch{Entries: entries(1, 1, "a")})
	finishRecord(b, 0, 8)
	f.Add(b)
	f.Add(b[:recordHeaderSize])
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, payload, size, err := parseRecord(b); err == nil && (size > len(b) || len(payload) != size-recordHeaderSize) {
			t.Fatalf("size %d of %d bytes", size, len(b))
		}
		containsRecord(b, 0)
	})
}

// Guards against a snapshot decoder that does not check the lengths in the file.
func FuzzDecodeSnapshot(f *testing.F) {
	head, sum := encodeSnapshot(Snapshot{Index: 1, Term: 2, Membership: []byte("m"), Data: []byte("d")})
	f.Add(append(append(head, "md"...), sum...))
	f.Add(make([]byte, snapshotHeaderSize+4))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := decodeSnapshot(b); err == nil {
			head, sum := encodeSnapshot(s)
			if !bytes.Equal(b, bytes.Join([][]byte{head, s.Membership, s.Data, sum}, nil)) {
				t.Fatal("encoding the decoded snapshot gives different bytes")
			}
		}
	})
}
