// Package codec is the encoding of commands and snapshots of the replicated
// state machines: CBOR that is the same on every replica.
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

// Times are kept to the nanosecond, because replicas compare them, and maps are
// sorted.
var encoder = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC, Sort: cbor.SortCoreDeterministic}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// The library's limit of 131,072 elements is below the tasks of a full cell and
// the intents of a busy day. The decoder checks that the input is long enough
// before it allocates.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Encode encodes a value.
func Encode(v any) ([]byte, error) { return encoder.Marshal(v) }

// Decode decodes a value.
func Decode(b []byte, into any) error { return decoder.Unmarshal(b, into) }
