package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// maximumHeader bounds an encoded header, in bytes.
	maximumHeader = 4 << 10
	// maximumText bounds the code and the text of an error, in bytes, so that
	// both fit a header.
	maximumText = maximumHeader/2 - 64
	// prefixSize is the size of the length that stands before a header.
	prefixSize = 2
	// directSize is the largest body, in bytes, for which the buffer is made
	// at once. Larger ones grow as bytes arrive.
	directSize = 64 << 10
	// maximumElements bounds the elements of one CBOR array or map.
	maximumElements = 1 << 20
	// maximumNesting bounds how deep CBOR values may be nested.
	maximumNesting = 32
)

// Codes of the errors that a Peer itself answers with.
const (
	CodeInternal  = "internal"       // the handler failed
	CodeMethod    = "unknown_method" // no handler has the method; nothing ran
	CodeMalformed = "malformed"      // the body does not fit what the handler expects
	CodeTooLarge  = "too_large"      // the handler's answer is over the size limit
)

// request is the header of a call or a one-way message. The keys are numbers,
// and unknown ones are skipped, so that versions can be mixed in an upgrade.
type request struct {
	Method    string `cbor:"1,keyasint,omitempty"`
	Remaining int64  `cbor:"2,keyasint,omitempty"` // microseconds until the caller gives up; zero if it waits without end
	Size      int64  `cbor:"3,keyasint,omitempty"` // of the body, in bytes
}

// answer is the header of the answer to a call. Code is empty on success.
type answer struct {
	Code    string `cbor:"1,keyasint,omitempty"`
	Message string `cbor:"2,keyasint,omitempty"`
	Size    int64  `cbor:"3,keyasint,omitempty"`
}

// greeting is the only header on the first one-way stream that the accepting
// side opens. It tells the dialling side that it was admitted.
type greeting struct {
	Version uint32 `cbor:"1,keyasint"`
}

// version of the protocol. A side that gets another one closes the connection.
const version = 1

var encoding, decoding = modes()

func modes() (cbor.EncMode, cbor.DecMode) {
	// Times keep their nanoseconds; the default would cut them to seconds.
	e, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err)
	}
	d, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maximumNesting,
		MaxArrayElements: maximumElements,
		MaxMapPairs:      maximumElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return e, d
}

// encodeBody returns the CBOR of v. A nil v is an empty body.
func encodeBody(v any, limit int64) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	b, err := encoding.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode the body")
	}
	if int64(len(b)) > limit {
		return nil, errors.Newf("a body of %d bytes is over the limit of %d", len(b), limit)
	}
	return b, nil
}

// decoder returns the Decode of a body.
func decoder(body []byte) Decode {
	return func(into any) error {
		if err := decodeBody(body, into); err != nil {
			return &Remote{Code: CodeMalformed, Message: err.Error()}
		}
		return nil
	}
}

func decodeBody(body []byte, into any) error {
	if into == nil {
		return nil
	}
	// The encoding leaves out nothing, but a null in it would keep what a
	// reused value holds.
	if v := reflect.ValueOf(into); v.Kind() == reflect.Pointer && !v.IsNil() {
		v.Elem().SetZero()
	}
	if len(body) == 0 {
		return nil
	}
	return errors.Wrap(decoding.Unmarshal(body, into), "decode the body")
}

// appendFrame appends a header with its length, and the body.
func appendFrame(frame []byte, header any, body []byte) ([]byte, error) {
	h, err := encoding.Marshal(header)
	if err != nil {
		return nil, errors.Wrap(err, "encode the header")
	}
	if len(h) > maximumHeader {
		return nil, errors.Newf("a header of %d bytes is over the limit of %d", len(h), maximumHeader)
	}
	frame = binary.BigEndian.AppendUint16(frame, uint16(len(h)))
	frame = append(frame, h...)
	return append(frame, body...), nil
}

// readHeader reads a header into a pointer. It returns io.EOF only at the
// very beginning.
func readHeader(r io.Reader, into any) error {
	var prefix [prefixSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint16(prefix[:])
	if n == 0 || n > maximumHeader {
		return errors.Newf("a header of %d bytes is not within 1 to %d", n, maximumHeader)
	}
	h := make([]byte, n)
	if _, err := io.ReadFull(r, h); err != nil {
		return whole(err)
	}
	return errors.Wrap(decoding.Unmarshal(h, into), "decode the header")
}

// readBody reads exactly size bytes.
func readBody(r io.Reader, size, limit int64) ([]byte, error) {
	if size < 0 || size > limit {
		return nil, errors.Newf("a body of %d bytes is over the limit of %d", size, limit)
	}
	if size <= directSize {
		b := make([]byte, size)
		_, err := io.ReadFull(r, b)
		return b, whole(err)
	}
	var b bytes.Buffer
	n, err := b.ReadFrom(io.LimitReader(r, size))
	if err == nil && n < size {
		err = io.ErrUnexpectedEOF
	}
	return b.Bytes(), err
}

// whole turns an end in the middle of a frame into io.ErrUnexpectedEOF.
func whole(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// remaining returns the header's form of a deadline. A deadline that has
// passed counts as one microsecond, since zero means none.
func remaining(deadline time.Time, ok bool) int64 {
	if !ok {
		return 0
	}
	return max(1, time.Until(deadline).Microseconds())
}
