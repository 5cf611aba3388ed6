package disk

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

const (
	recordMagic  = 0x726c6f67 // marks the start of a record when searching after damage
	recordHeader = 4 + 4 + 8 + 4
	// recordLimit bounds the payload in bytes, so that a damaged length is not
	// taken for a record.
	recordLimit = 256 << 20
)

const (
	hasHard = 1 << iota
	hasReset
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errRecord tells that no valid record starts at an offset.
var errRecord = errors.New("not a valid record")

// beginRecord appends room for a record's header.
func beginRecord(b []byte) []byte { return append(b, make([]byte, recordHeader)...) }

// finishRecord fills in the header of the record that starts at offset.
func finishRecord(b []byte, offset int, sequence uint64) {
	r := b[offset:]
	binary.LittleEndian.PutUint32(r[0:], recordMagic)
	binary.LittleEndian.PutUint32(r[4:], uint32(len(r)-recordHeader))
	binary.LittleEndian.PutUint64(r[8:], sequence)
	binary.LittleEndian.PutUint32(r[16:], recordSum(r))
}

// recordSum covers the whole record but the checksum itself.
func recordSum(record []byte) uint32 {
	return crc32.Update(crc32.Checksum(record[:16], castagnoli), castagnoli, record[recordHeader:])
}

// parseRecord reads the record at the start of b and returns its total size.
func parseRecord(b []byte) (sequence uint64, payload []byte, size int, err error) {
	if len(b) < recordHeader || binary.LittleEndian.Uint32(b) != recordMagic {
		return 0, nil, 0, errRecord
	}
	length := binary.LittleEndian.Uint32(b[4:])
	if length > recordLimit || int(length) > len(b)-recordHeader {
		return 0, nil, 0, errRecord
	}
	size = recordHeader + int(length)
	if binary.LittleEndian.Uint32(b[16:]) != recordSum(b[:size]) {
		return 0, nil, 0, errRecord
	}
	return binary.LittleEndian.Uint64(b[8:]), b[recordHeader:size], size, nil
}

// holdsRecord tells whether b holds a valid record with a later sequence number
// at any offset. The data of a command may look like an older record.
func holdsRecord(b []byte, after uint64) bool {
	for i := 0; i+recordHeader <= len(b); i++ {
		if sequence, _, _, err := parseRecord(b[i:]); err == nil && sequence > after {
			return true
		}
	}
	return false
}

// appendBatch encodes a batch. Entries are stored as the first index and then
// one term, kind, length and data each, with numbers as varints.
func appendBatch(b []byte, batch Batch) []byte {
	var flags byte
	if batch.Hard != nil {
		flags |= hasHard
	}
	if batch.Reset != nil {
		flags |= hasReset
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

// reader decodes a batch and remembers the first fault.
type reader struct {
	rest []byte
	bad  bool
}

func (r *reader) number() uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.bad, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

func (r *reader) bytes(n uint64) []byte {
	if n > uint64(len(r.rest)) {
		r.bad, r.rest = true, nil
		return nil
	}
	b := r.rest[:n:n]
	r.rest = r.rest[n:]
	return b
}

func (r *reader) byte() byte {
	if b := r.bytes(1); len(b) == 1 {
		return b[0]
	}
	return 0
}

// decodeBatch decodes one batch at the start of b and returns the rest.
func decodeBatch(b []byte) (Batch, []byte, error) {
	r := &reader{rest: b}
	var batch Batch
	flags := r.byte()
	if flags&^(hasHard|hasReset) != 0 {
		return Batch{}, nil, errors.Wrapf(ErrDamaged, "unknown flags %#x in a record", flags)
	}
	if flags&hasHard != 0 {
		batch.Hard = &Hard{Term: r.number(), Vote: r.number()}
	}
	if flags&hasReset != 0 {
		batch.Reset = &Position{Index: r.number(), Term: r.number()}
	}
	// Each entry takes at least three bytes, which bounds the allocation.
	count := r.number()
	if count > uint64(len(r.rest))/3 {
		return Batch{}, nil, errors.Wrapf(ErrDamaged, "a record of %d bytes claims %d entries", len(b), count)
	}
	var first uint64
	if count > 0 {
		first = r.number()
		batch.Entries = make([]Entry, 0, count)
	}
	for i := range count {
		e := Entry{Index: first + i, Term: r.number(), Kind: Kind(r.byte())}
		e.Data = r.bytes(r.number())
		batch.Entries = append(batch.Entries, e)
	}
	if r.bad {
		return Batch{}, nil, errors.Wrap(ErrDamaged, "a record ends within a value")
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
