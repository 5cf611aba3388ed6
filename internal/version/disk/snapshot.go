package disk

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// SaveSnapshot implements Store.
func (d *Directory) SaveSnapshot(snapshot Snapshot) error {
	d.snapshotMu.Lock()
	defer d.snapshotMu.Unlock()
	if snapshot.Index < d.snapshot.Index {
		return nil
	}
	header, checksum := encodeSnapshot(snapshot)
	if err := d.replaceFile(snapshotName(snapshot.Index), header, snapshot.Membership, snapshot.Data, checksum); err != nil {
		return err
	}
	old := d.snapshot.Index
	d.snapshot = snapshot
	d.snapshot.Data = nil
	if old == 0 || old == snapshot.Index {
		return nil
	}
	if err := os.Remove(filepath.Join(d.path, snapshotName(old))); err != nil {
		return errors.Wrap(err, "remove old snapshot")
	}
	operated(d, removed, snapshotName(old))
	return nil
}

// LoadSnapshot implements Store.
func (d *Directory) LoadSnapshot() (Snapshot, error) {
	d.snapshotMu.Lock()
	defer d.snapshotMu.Unlock()
	if d.snapshot.Index == 0 {
		return Snapshot{}, nil
	}
	return d.readSnapshot(d.snapshot.Index)
}

func (d *Directory) readSnapshot(index uint64) (Snapshot, error) {
	name := snapshotName(index)
	b, err := os.ReadFile(filepath.Join(d.path, name))
	if err != nil {
		return Snapshot{}, errors.Wrap(err, "read snapshot")
	}
	s, err := decodeSnapshot(b)
	if err == nil && s.Index != index {
		err = errors.Wrapf(ErrDamaged, "its header has index %d", s.Index)
	}
	return s, errors.Wrapf(err, "%s", name)
}

// readSnapshots checks the newest snapshot and removes older ones, which are
// left behind by a crash in SaveSnapshot.
func (d *Directory) readSnapshots(names []string) error {
	list, err := parseSuffixes(names, snapshotPrefix)
	if err != nil || len(list) == 0 {
		return err
	}
	newest := list[len(list)-1]
	if d.snapshot, err = d.readSnapshot(newest); err != nil {
		return err
	}
	d.snapshot.Data = nil
	for _, index := range list[:len(list)-1] {
		if err := os.Remove(filepath.Join(d.path, snapshotName(index))); err != nil {
			return errors.Wrap(err, "remove old snapshot")
		}
	}
	return nil
}

// encodeSnapshot returns the header that precedes the membership and data in a
// snapshot file, and the checksum that follows them.
func encodeSnapshot(s Snapshot) (header, checksum []byte) {
	header = binary.LittleEndian.AppendUint32(nil, snapshotMagic)
	for _, n := range []uint64{s.Index, s.Term, uint64(len(s.Membership)), uint64(len(s.Data))} {
		header = binary.LittleEndian.AppendUint64(header, n)
	}
	c := crc32.Checksum(header, castagnoli)
	c = crc32.Update(c, castagnoli, s.Membership)
	c = crc32.Update(c, castagnoli, s.Data)
	return header, binary.LittleEndian.AppendUint32(nil, c)
}

func decodeSnapshot(b []byte) (Snapshot, error) {
	if len(b) < snapshotHeaderSize+4 || binary.LittleEndian.Uint32(b) != snapshotMagic {
		return Snapshot{}, errors.Wrap(ErrDamaged, "snapshot header is missing")
	}
	number := func(offset int) uint64 { return binary.LittleEndian.Uint64(b[offset:]) }
	members, data, rest := number(20), number(28), uint64(len(b)-snapshotHeaderSize-4)
	if members > rest || data != rest-members {
		return Snapshot{}, errors.Wrap(ErrDamaged, "snapshot lengths do not match the file size")
	}
	if binary.LittleEndian.Uint32(b[len(b)-4:]) != crc32.Checksum(b[:len(b)-4], castagnoli) {
		return Snapshot{}, errors.Wrap(ErrDamaged, "snapshot checksum does not match")
	}
	body := b[snapshotHeaderSize : len(b)-4]
	return Snapshot{Index: number(4), Term: number(12), Membership: body[:members:members], Data: body[members:]}, nil
}
