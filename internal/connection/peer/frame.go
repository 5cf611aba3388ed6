package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/version/codec"
)

const (
	// maxHeaderSize is the maximum size of an encoded header, in bytes.
	maxHeaderSize = 4 << 10
	// maxTextSize is the maximum size of the code and of the text of an error, in
	// bytes, so that both fit into a header.
	maxTextSize = maxHeaderSize/2 - 64
	// prefixSize is the size of the length prefix of a header, in bytes.
	prefixSize = 2
	// maxPreallocation is the size up to which the buffer of a body is allocated
	// before its bytes arrive. Buffers of larger bodies grow with the data.
	maxPreallocation = 64 << 10
)

// Codes of the errors that a Peer itself generates.
const (
	CodeInternal      = "internal"       // the handler failed
	CodeUnknownMethod = "unknown_method" // no handler is registered for the method; nothing was executed
	CodeMalformed     = "malformed"      // the body cannot be decoded into the type that the handler expects
	CodeTooLarge      = "too_large"      // the handler's answer exceeds the size limit
)

// requestHeader is the header of a call or a one-way message. Fields are encoded
// under numbers, and unknown numbers are ignored, so that different versions can
// run together during an upgrade.
type requestHeader struct {
	Method    string `cbor:"1,keyasint,omitempty"`
	Remaining int64  `cbor:"2,keyasint,omitempty"` // remaining time of the caller in microseconds; zero if unlimited
	Size      int64  `cbor:"3,keyasint,omitempty"` // of the body, in bytes
}

// answerHeader is the header of the answer to a call. Code is empty on success.
type answerHeader struct {
	Code    string `cbor:"1,keyasint,omitempty"`
	Message string `cbor:"2,keyasint,omitempty"`
	Size    int64  `cbor:"3,keyasint,omitempty"`
}

// greeting is the only header on the first unidirectional stream that the
// accepting side opens. It confirms to the dialling side that it was accepted.
type greeting struct {
	Version uint32 `cbor:"1,keyasint"`
}

// version is the protocol version. The dialling side closes a connection if the
// greeting has a different version.
const version = 1

// encodeBody returns the CBOR encoding of v. A nil v is encoded as an empty body.
func encodeBody(v any, limit int64) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	b, err := codec.Encode(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode the body")
	}
	if int64(len(b)) > limit {
		return nil, errors.Newf("a body of %d bytes is over the limit of %d", len(b), limit)
	}
	return b, nil
}

// decoder returns a Decode function for a body.
func decoder(body []byte) Decode {
	return func(into any) error {
		if err := decodeBody(body, into); err != nil {
			return &RemoteError{Code: CodeMalformed, Message: err.Error()}
		}
		return nil
	}
}

func decodeBody(body []byte, into any) error {
	if into == nil {
		return nil
	}
	if len(body) == 0 {
		if v := reflect.ValueOf(into); v.Kind() == reflect.Pointer && !v.IsNil() {
			v.Elem().SetZero()
		}
		return nil
	}
	return errors.Wrap(codec.DecodeMessage(body, into), "decode the body")
}

// appendFrame appends a length-prefixed header and the body to a frame.
func appendFrame(frame []byte, header any, body []byte) ([]byte, error) {
	h, err := codec.Encode(header)
	if err != nil {
		return nil, errors.Wrap(err, "encode the header")
	}
	if len(h) > maxHeaderSize {
		return nil, errors.Newf("a header of %d bytes is over the limit of %d", len(h), maxHeaderSize)
	}
	frame = binary.BigEndian.AppendUint16(frame, uint16(len(h)))
	frame = append(frame, h...)
	return append(frame, body...), nil
}

// readHeader reads a header into the value that into points to. It returns io.EOF
// only if r ends before the first byte.
func readHeader(r io.Reader, into any) error {
	var prefix [prefixSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint16(prefix[:])
	if n == 0 || n > maxHeaderSize {
		return errors.Newf("a header of %d bytes is not within 1 to %d", n, maxHeaderSize)
	}
	h := make([]byte, n)
	if _, err := io.ReadFull(r, h); err != nil {
		return unexpectedEOF(err)
	}
	return errors.Wrap(codec.DecodeMessage(h, into), "decode the header")
}

// readBody reads exactly size bytes.
func readBody(r io.Reader, size, limit int64) ([]byte, error) {
	if size < 0 || size > limit {
		return nil, errors.Newf("a body of %d bytes is over the limit of %d", size, limit)
	}
	if size <= maxPreallocation {
		b := make([]byte, size)
		_, err := io.ReadFull(r, b)
		return b, unexpectedEOF(err)
	}
	var b bytes.Buffer
	n, err := b.ReadFrom(io.LimitReader(r, size))
	if err == nil && n < size {
		err = io.ErrUnexpectedEOF
	}
	return b.Bytes(), err
}

// unexpectedEOF replaces io.EOF within a frame by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// remaining converts a deadline to the remaining time in a header. For a deadline
// that has passed it returns one microsecond, since zero means no deadline.
func remaining(deadline time.Time, ok bool) int64 {
	if !ok {
		return 0
	}
	return max(1, time.Until(deadline).Microseconds())
}
