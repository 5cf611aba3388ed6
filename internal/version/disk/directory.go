package disk

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	// segmentSize is the size in bytes at which a new segment is started.
	segmentSize = 16 << 20
	// maxRetainedBuffer is the largest write buffer, in bytes, that is reused
	// after a sync.
	maxRetainedBuffer = 4 << 20

	lockFile       = "lock"
	identityFile   = "identity"
	segmentPrefix  = "wal-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"

	identitySize       = 8 + 4
	snapshotMagic      = 0x726c736e
	snapshotHeaderSize = 4 + 8 + 8 + 8 + 8 // magic, index, term, length of the membership, length of the data
)

// segment is one file of the write-ahead log.
type segment struct {
	sequence uint64 // of its first record
	last     uint64 // highest index of an entry in it
}

// operated is called after each operation on the files of a directory. Tests simulate crashes with it.
var operated = func(d *Directory, kind operation, name string) {}

// operation is an operation on files that a crash may follow.
type operation uint8

// Operations. Until a file is synced, what was written to it may be lost, and until the directory
// is, what was created, renamed or removed in it.
const (
	wrote operation = iota
	synced
	renamed
	removed
	syncedDirectory
)

// Directory is a Store in a data directory.
type Directory struct {
	path     string
	lock     *os.File
	identity uint64

	// Used only by the goroutine that calls Append and Sync.
	buffer   []byte
	batches  int
	active   *os.File
	size     int64
	sequence uint64 // of the next record
	hard     HardState
	writeErr error

	mu       sync.Mutex // guards segments
	segments []segment  // ordered by sequence; the last one is active

	snapshotMu sync.Mutex // held while a snapshot is written or read
	snapshot   Snapshot   // without Data

	contents  Contents // read by Open, returned by Load
	truncated int64    // bytes of an interrupted write that Open removed
}

// Open opens a data directory, or creates it. It removes an interrupted write
// from the end of the log and returns ErrDamaged on any other damage.
func Open(path string) (*Directory, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, errors.Wrap(err, "create data directory")
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open lock file")
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(ErrLocked, "%s", path), lock.Close())
	}
	d := &Directory{path: path, lock: lock}
	if err := d.open(); err != nil {
		return nil, errors.CombineErrors(err, d.Close())
	}
	return d, nil
}

func (d *Directory) open() error {
	names, err := d.list()
	if err != nil {
		return err
	}
	if err := d.readIdentity(); err != nil {
		if !errors.Is(err, os.ErrNotExist) {
			return err
		}
		return d.create(names)
	}
	if err := d.readSnapshots(names); err != nil {
		return err
	}
	d.contents.Snapshot = d.snapshot
	if err := d.readSegments(names); err != nil {
		return err
	}
	d.hard = d.contents.Hard
	dropped, err := d.contents.reconcile()
	if err != nil || !dropped {
		return err
	}
	// The next start would find the entries again, with those that are appended from now on after them.
	if err := d.Append(Batch{Reset: &Position{d.snapshot.Index, d.snapshot.Term}}); err != nil {
		return err
	}
	return d.Sync()
}

// list returns the names in the directory and removes unfinished files.
func (d *Directory) list() ([]string, error) {
	files, err := os.ReadDir(d.path)
	if err != nil {
		return nil, errors.Wrap(err, "read data directory")
	}
	var names []string
	for _, f := range files {
		if strings.HasSuffix(f.Name(), tempSuffix) {
			if err := os.Remove(filepath.Join(d.path, f.Name())); err != nil {
				return nil, errors.Wrap(err, "remove unfinished file")
			}
			continue
		}
		names = append(names, f.Name())
	}
	return names, nil
}

// create initializes an empty directory. The identity is written last, so a
// directory without it holds at most the first record of the first segment.
func (d *Directory) create(names []string) error {
	for _, n := range names {
		if strings.HasPrefix(n, snapshotPrefix) || strings.HasPrefix(n, segmentPrefix) && n != segmentName(1) {
			return errors.Wrapf(ErrDamaged, "%s exists but the identity is missing", n)
		}
	}
	if slices.Contains(names, segmentName(1)) {
		b, err := os.ReadFile(filepath.Join(d.path, segmentName(1)))
		if err != nil {
			return errors.Wrap(err, "read segment")
		}
		if _, _, size, err := parseRecord(b); err == nil && size < len(b) {
			return errors.Wrap(ErrDamaged, "the log holds records but the identity is missing")
		}
	}
	d.sequence = 1
	if err := d.rotate(); err != nil {
		return err
	}
	var b [identitySize]byte
	for d.identity == 0 {
		if _, err := rand.Read(b[:8]); err != nil {
			return errors.Wrap(err, "generate identity")
		}
		d.identity = binary.LittleEndian.Uint64(b[:])
	}
	binary.LittleEndian.PutUint32(b[8:], crc32.Checksum(b[:8], castagnoli))
	return d.replaceFile(identityFile, b[:])
}

func (d *Directory) readIdentity() error {
	b, err := os.ReadFile(filepath.Join(d.path, identityFile))
	if err != nil {
		return errors.Wrap(err, "read identity")
	}
	if len(b) != identitySize || binary.LittleEndian.Uint32(b[8:]) != crc32.Checksum(b[:8], castagnoli) {
		return errors.Wrap(ErrDamaged, "identity file has a wrong length or checksum")
	}
	d.identity = binary.LittleEndian.Uint64(b)
	return nil
}

// replaceFile replaces a file atomically and durably: it writes the parts to a
// temporary file, syncs and renames it, and syncs the directory.
func (d *Directory) replaceFile(name string, parts ...[]byte) (err error) {
	path := filepath.Join(d.path, name)
	f, err := os.OpenFile(path+tempSuffix, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrapf(err, "create %s", name)
	}
	for _, p := range parts {
		if err == nil {
			_, err = f.Write(p)
			operated(d, wrote, name+tempSuffix)
		}
	}
	if err == nil {
		err = f.Sync()
		operated(d, synced, name+tempSuffix)
	}
	if err = errors.CombineErrors(err, f.Close()); err != nil {
		return errors.Wrapf(err, "write %s", name)
	}
	if err := os.Rename(path+tempSuffix, path); err != nil {
		return errors.Wrapf(err, "rename %s", name)
	}
	operated(d, renamed, name)
	return d.syncDirectory()
}

func (d *Directory) syncDirectory() error {
	f, err := os.Open(d.path)
	if err != nil {
		return errors.Wrap(err, "open data directory")
	}
	err = errors.CombineErrors(f.Sync(), f.Close())
	operated(d, syncedDirectory, "")
	return errors.Wrap(err, "sync data directory")
}

func segmentName(sequence uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, sequence) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// parseSuffixes returns the numbers that follow the prefix in file names, in
// ascending order.
func parseSuffixes(names []string, prefix string) ([]uint64, error) {
	var list []uint64
	for _, n := range names {
		rest, ok := strings.CutPrefix(n, prefix)
		if !ok {
			continue
		}
		var number uint64
		if _, err := fmt.Sscanf(rest, "%016x", &number); err != nil || len(rest) != 16 {
			return nil, errors.Wrapf(ErrDamaged, "unexpected file name %s", n)
		}
		list = append(list, number)
	}
	slices.Sort(list)
	return list, nil
}

// readSegments replays the log and opens the last segment for writing.
func (d *Directory) readSegments(names []string) error {
	list, err := parseSuffixes(names, segmentPrefix)
	if err != nil {
		return err
	}
	if len(list) == 0 {
		return errors.Wrap(ErrDamaged, "the log has no segment")
	}
	d.sequence = list[0]
	for i, number := range list {
		if number != d.sequence {
			return errors.Wrapf(ErrDamaged, "record %d is missing before segment %s", d.sequence, segmentName(number))
		}
		if err := d.readSegment(number, i == len(list)-1); err != nil {
			return err
		}
	}
	return nil
}

func (d *Directory) readSegment(number uint64, last bool) error {
	name := segmentName(number)
	b, err := os.ReadFile(filepath.Join(d.path, name))
	if err != nil {
		return errors.Wrap(err, "read segment")
	}
	s := segment{sequence: number}
	offset := 0
	for offset < len(b) {
		sequence, payload, size, err := parseRecord(b[offset:])
		if err != nil {
			if !last || containsRecord(b[offset:], d.sequence) {
				return errors.Wrapf(ErrDamaged, "invalid record %d at offset %d of %s", d.sequence, offset, name)
			}
			break
		}
		if sequence != d.sequence {
			return errors.Wrapf(ErrDamaged, "record %d at offset %d of %s, want record %d", sequence, offset, name, d.sequence)
		}
		if err := d.replay(payload, &s); err != nil {
			return errors.Wrapf(err, "record %d of %s", sequence, name)
		}
		offset += size
		d.sequence++
	}
	d.segments = append(d.segments, s)
	if !last {
		return nil
	}
	return d.openActive(name, int64(offset), int64(len(b)))
}

func (d *Directory) replay(payload []byte, s *segment) error {
	batches, err := decodeRecord(payload)
	if err != nil {
		return err
	}
	for _, b := range batches {
		if err := d.contents.applyBatch(b); err != nil {
			return err
		}
		s.updateLast(b)
	}
	return nil
}

func (s *segment) updateLast(b Batch) {
	if n := len(b.Entries); n > 0 {
		s.last = max(s.last, b.Entries[n-1].Index)
	}
}

// openActive opens the last segment for writing and removes an interrupted write.
// A segment without a valid record is recreated with the term and vote.
func (d *Directory) openActive(name string, valid, size int64) error {
	if valid == 0 {
		d.segments = d.segments[:len(d.segments)-1]
		d.hard, d.truncated = d.contents.Hard, size
		return d.rotate()
	}
	f, err := os.OpenFile(filepath.Join(d.path, name), os.O_RDWR, 0o600)
	if err != nil {
		return errors.Wrap(err, "open segment")
	}
	d.active, d.size, d.truncated = f, valid, size-valid
	if d.truncated > 0 {
		if err := f.Truncate(valid); err != nil {
			return errors.Wrap(err, "remove interrupted write")
		}
	}
	// The crashed process may have written records without syncing them. Without
	// this sync the replica could answer from records that a second crash loses.
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "sync segment")
	}
	operated(d, synced, name)
	if _, err := f.Seek(valid, io.SeekStart); err != nil {
		return errors.Wrap(err, "seek in segment")
	}
	return d.syncDirectory()
}

// rotate starts a new segment whose first record repeats the term and vote.
func (d *Directory) rotate() error {
	f, err := os.OpenFile(filepath.Join(d.path, segmentName(d.sequence)), os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return errors.Wrap(err, "create segment")
	}
	b := appendBatch(beginRecord(nil), Batch{Hard: &d.hard})
	finishRecord(b, 0, d.sequence)
	if _, err = f.Write(b); err == nil {
		operated(d, wrote, segmentName(d.sequence))
		err = f.Sync()
		operated(d, synced, segmentName(d.sequence))
	}
	if err == nil {
		err = d.syncDirectory()
	}
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "start segment"), f.Close())
	}
	if d.active != nil {
		if err := d.active.Close(); err != nil {
			return errors.CombineErrors(errors.Wrap(err, "close segment"), f.Close())
		}
	}
	d.mu.Lock()
	d.segments = append(d.segments, segment{sequence: d.sequence})
	d.mu.Unlock()
	d.active, d.size = f, int64(len(b))
	d.sequence++
	return nil
}

// Identity implements Store.
func (d *Directory) Identity() uint64 { return d.identity }

// TruncatedBytes returns how many bytes of an interrupted write Open removed.
func (d *Directory) TruncatedBytes() int64 { return d.truncated }

// Load implements Store. It returns the contents read by Open and releases them,
// so it can be called only once.
func (d *Directory) Load() (Contents, error) {
	c := d.contents
	d.contents = Contents{}
	return c, nil
}

// Append implements Store.
func (d *Directory) Append(batch Batch) error {
	if d.writeErr != nil {
		return d.writeErr
	}
	if d.batches == 0 {
		d.buffer = beginRecord(d.buffer[:0])
	}
	d.buffer = appendBatch(d.buffer, batch)
	d.batches++
	if batch.Hard != nil {
		d.hard = *batch.Hard
	}
	d.mu.Lock()
	d.segments[len(d.segments)-1].updateLast(batch)
	d.mu.Unlock()
	if len(d.buffer) > maxPayloadSize/2 {
		return d.Sync()
	}
	return nil
}

// Sync implements Store. After a failed write or sync the state of the file is
// unknown, so every later call returns the same error.
func (d *Directory) Sync() error {
	if d.writeErr != nil || d.batches == 0 {
		return d.writeErr
	}
	if d.writeErr = d.flush(); d.writeErr != nil {
		return d.writeErr
	}
	if d.size >= segmentSize {
		d.writeErr = d.rotate()
	}
	return d.writeErr
}

func (d *Directory) flush() error {
	finishRecord(d.buffer, 0, d.sequence)
	if _, err := d.active.Write(d.buffer); err != nil {
		return errors.Wrap(err, "write log")
	}
	operated(d, wrote, filepath.Base(d.active.Name()))
	if err := d.active.Sync(); err != nil {
		return errors.Wrap(err, "sync log")
	}
	operated(d, synced, filepath.Base(d.active.Name()))
	d.size += int64(len(d.buffer))
	d.sequence++
	d.batches = 0
	if cap(d.buffer) > maxRetainedBuffer {
		d.buffer = nil
	}
	return nil
}

// Compact implements Store. It removes whole segments, oldest first.
func (d *Directory) Compact(index uint64) error {
	d.snapshotMu.Lock()
	index = min(index, d.snapshot.Index)
	d.snapshotMu.Unlock()
	d.mu.Lock()
	n := 0
	for n < len(d.segments)-1 && d.segments[n].last <= index {
		n++
	}
	dropped := slices.Clone(d.segments[:n])
	d.segments = slices.Delete(d.segments, 0, n)
	d.mu.Unlock()
	// Oldest first, so that a crash in between leaves no gap.
	for _, s := range dropped {
		if err := os.Remove(filepath.Join(d.path, segmentName(s.sequence))); err != nil {
			return errors.Wrap(err, "remove segment")
		}
		operated(d, removed, segmentName(s.sequence))
		if err := d.syncDirectory(); err != nil {
			return err
		}
	}
	return nil
}

// Close implements Store.
func (d *Directory) Close() error {
	var err error
	if d.active != nil {
		err = d.active.Close()
	}
	return errors.CombineErrors(err, d.lock.Close())
}
