// Package codec encodes the commands and snapshots of the replicated state
// machines as CBOR that is identical on every replica.
//
// # Usage
//
//	b, err := codec.Encode(command)
//	err = codec.Decode(b, &command)
package codec

import (
	"math"

	"github.com/fxamacker/cbor/v2"
)

// encoder keeps times to the nanosecond, because replicas compare them, and sorts
// map keys, so that equal values have equal encodings.
var encoder = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC, Sort: cbor.SortCoreDeterministic}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// decoder raises the library's default limit of 131,072 elements, which is less
// than the tasks of a full cell or the intents of a busy day. Allocations stay
// bounded, because the decoder first checks that the input is long enough.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Encode returns the encoding of v.
func Encode(v any) ([]byte, error) { return encoder.Marshal(v) }

// Decode decodes b into the value that into points to.
func Decode(b []byte, into any) error { return decoder.Unmarshal(b, into) }
