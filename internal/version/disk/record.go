package disk

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

const (
	recordMagic      = 0x726c6f67 // marks the start of a record, to find valid records after a damaged one
	recordHeaderSize = 4 + 4 + 8 + 4
	// maxPayloadSize bounds the payload in bytes. A larger length is treated as
	// damage.
	maxPayloadSize = 256 << 20
)

const (
	flagHard = 1 << iota
	flagReset
	flagCommit
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errInvalidRecord reports that no valid record starts at an offset.
var errInvalidRecord = errors.New("not a valid record")

// beginRecord appends space for a record header.
func beginRecord(b []byte) []byte { return append(b, make([]byte, recordHeaderSize)...) }

// finishRecord fills in the header of the record that starts at offset.
func finishRecord(b []byte, offset int, sequence uint64) {
	r := b[offset:]
	binary.LittleEndian.PutUint32(r[0:], recordMagic)
	binary.LittleEndian.PutUint32(r[4:], uint32(len(r)-recordHeaderSize))
	binary.LittleEndian.PutUint64(r[8:], sequence)
	binary.LittleEndian.PutUint32(r[16:], recordChecksum(r))
}

// recordChecksum returns the checksum of a record, without its checksum field.
func recordChecksum(record []byte) uint32 {
	return crc32.Update(crc32.Checksum(record[:16], castagnoli), castagnoli, record[recordHeaderSize:])
}

// parseRecord reads the record at the start of b and returns its total size.
func parseRecord(b []byte) (sequence uint64, payload []byte, size int, err error) {
	if len(b) < recordHeaderSize || binary.LittleEndian.Uint32(b) != recordMagic {
		return 0, nil, 0, errInvalidRecord
	}
	length := binary.LittleEndian.Uint32(b[4:])
	if length > maxPayloadSize || int(length) > len(b)-recordHeaderSize {
		return 0, nil, 0, errInvalidRecord
	}
	size = recordHeaderSize + int(length)
	if binary.LittleEndian.Uint32(b[16:]) != recordChecksum(b[:size]) {
		return 0, nil, 0, errInvalidRecord
	}
	return binary.LittleEndian.Uint64(b[8:]), b[recordHeaderSize:size], size, nil
}

// containsRecord reports whether b holds, at any offset, a valid record with a
// sequence number greater than after. Older ones are ignored, because the data of
// a command may look like a record.
func containsRecord(b []byte, after uint64) bool {
	for i := 0; i+recordHeaderSize <= len(b); i++ {
		if sequence, _, _, err := parseRecord(b[i:]); err == nil && sequence > after {
			return true
		}
	}
	return false
}

// appendBatch encodes a batch. Entries are stored as their count and first
// index, then the term, kind, length and data of each. Numbers are varints,
// except for the kind, which is one byte.
func appendBatch(b []byte, batch Batch) []byte {
	var flags byte
	if batch.Hard != nil {
		flags |= flagHard
	}
	if batch.Reset != nil {
		flags |= flagReset
	}
	if batch.Commit > 0 {
		flags |= flagCommit
	}
	b = append(b, flags)
	if h := batch.Hard; h != nil {
		b = binary.AppendUvarint(b, h.Term)
		b = binary.AppendUvarint(b, h.Vote)
	}
	if p := batch.Reset; p != nil {
		b = binary.AppendUvarint(b, p.Index)
		b = binary.AppendUvarint(b, p.Term)
	}
	if batch.Commit > 0 {
		b = binary.AppendUvarint(b, batch.Commit)
	}
	b = binary.AppendUvarint(b, uint64(len(batch.Entries)))
	if len(batch.Entries) > 0 {
		b = binary.AppendUvarint(b, batch.Entries[0].Index)
	}
	for i := range batch.Entries {
		e := &batch.Entries[i]
		b = binary.AppendUvarint(b, e.Term)
		b = append(b, byte(e.Kind))
		b = binary.AppendUvarint(b, uint64(len(e.Data)))
		b = append(b, e.Data...)
	}
	return b
}

// batchReader reads the fields of a batch. After a failed read, failed is set and
// later reads return zero values.
type batchReader struct {
	rest   []byte
	failed bool
}

func (r *batchReader) uvarint() uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.failed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

func (r *batchReader) bytes(n uint64) []byte {
	if n > uint64(len(r.rest)) {
		r.failed, r.rest = true, nil
		return nil
	}
	b := r.rest[:n:n]
	r.rest = r.rest[n:]
	return b
}

func (r *batchReader) byte() byte {
	if b := r.bytes(1); len(b) == 1 {
		return b[0]
	}
	return 0
}

// decodeBatch decodes one batch at the start of b and returns the rest.
func decodeBatch(b []byte) (Batch, []byte, error) {
	r := &batchReader{rest: b}
	var batch Batch
	flags := r.byte()
	if flags&^(flagHard|flagReset|flagCommit) != 0 {
		return Batch{}, nil, errors.Wrapf(ErrDamaged, "unknown flags %#x in a record", flags)
	}
	if flags&flagHard != 0 {
		batch.Hard = &HardState{Term: r.uvarint(), Vote: r.uvarint()}
	}
	if flags&flagReset != 0 {
		batch.Reset = &Position{Index: r.uvarint(), Term: r.uvarint()}
	}
	if flags&flagCommit != 0 {
		batch.Commit = r.uvarint()
	}
	// Each entry takes at least three bytes, which bounds the allocation.
	count := r.uvarint()
	if count > uint64(len(r.rest))/3 {
		return Batch{}, nil, errors.Wrapf(ErrDamaged, "%d remaining bytes of a record cannot hold %d entries", len(b), count)
	}
	var first uint64
	if count > 0 {
		first = r.uvarint()
		batch.Entries = make([]Entry, 0, count)
	}
	for i := range count {
		e := Entry{Index: first + i, Term: r.uvarint(), Kind: Kind(r.byte())}
		e.Data = r.bytes(r.uvarint())
		batch.Entries = append(batch.Entries, e)
	}
	if r.failed {
		return Batch{}, nil, errors.Wrap(ErrDamaged, "a record ends within a value or has an invalid number")
	}
	return batch, r.rest, nil
}

// decodeRecord decodes the batches of one record.
func decodeRecord(payload []byte) ([]Batch, error) {
	var batches []Batch
	for len(payload) > 0 {
		b, rest, err := decodeBatch(payload)
		if err != nil {
			return nil, err
		}
		batches, payload = append(batches, b), rest
	}
	return batches, nil
}
