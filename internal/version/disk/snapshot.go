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
	head, sum := encodeSnapshot(snapshot)
	if err := d.replace(snapshotName(snapshot.Index), head, snapshot.Membership, snapshot.Data, sum); err != nil {
		return err
	}
	old := d.snapshot.Index
	d.snapshot = snapshot
	d.snapshot.Data = nil
	if old != 0 && old != snapshot.Index {
		return errors.Wrap(os.Remove(filepath.Join(d.path, snapshotName(old))), "remove old snapshot")
	}
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
		err = errors.Wrapf(ErrDamaged, "it is of index %d", s.Index)
	}
	return s, errors.Wrapf(err, "%s", name)
}

// readSnapshots checks the newest snapshot and removes older ones, which a
// crash in SaveSnapshot leaves behind.
func (d *Directory) readSnapshots(names []string) error {
	list, err := numbers(names, snapshotPrefix)
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

// encodeSnapshot returns the bytes before and after membership and data.
func encodeSnapshot(s Snapshot) (head, sum []byte) {
	head = binary.LittleEndian.AppendUint32(nil, snapshotMagic)
	for _, n := range []uint64{s.Index, s.Term, uint64(len(s.Membership)), uint64(len(s.Data))} {
		head = binary.LittleEndian.AppendUint64(head, n)
	}
	c := crc32.Checksum(head, castagnoli)
	c = crc32.Update(c, castagnoli, s.Membership)
	c = crc32.Update(c, castagnoli, s.Data)
	return head, binary.LittleEndian.AppendUint32(nil, c)
}

func decodeSnapshot(b []byte) (Snapshot, error) {
	if len(b) < snapshotHeader+4 || binary.LittleEndian.Uint32(b) != snapshotMagic {
		return Snapshot{}, errors.Wrap(ErrDamaged, "no snapshot header")
	}
	number := func(offset int) uint64 { return binary.LittleEndian.Uint64(b[offset:]) }
	members, data, rest := number(20), number(28), uint64(len(b)-snapshotHeader-4)
	if members > rest || data != rest-members {
		return Snapshot{}, errors.Wrap(ErrDamaged, "length of a snapshot")
	}
	if binary.LittleEndian.Uint32(b[len(b)-4:]) != crc32.Checksum(b[:len(b)-4], castagnoli) {
		return Snapshot{}, errors.Wrap(ErrDamaged, "checksum of a snapshot")
	}
	body := b[snapshotHeader : len(b)-4]
	return Snapshot{Index: number(4), Term: number(12), Membership: body[:members:members], Data: body[members:]}, nil
}
