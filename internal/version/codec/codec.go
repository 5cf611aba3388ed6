// Package codec is the encoding of everything that leaves a process: calls and messages between
// processes, commands and snapshots of the replicated state machines, files. It is CBOR, identical on
// every replica for equal values.
//
// # Usage
//
//	b, err := codec.Encode(message)
//	err = codec.DecodeMessage(b, &message) // of another process
//	err = codec.Decode(b, &command)        // of the log, which holds what this program has encoded
//
// # Values
//
// What is decoded equals what was encoded. Times keep their nanoseconds and lose their monotonic
// reading and their location. A zero time stays zero. Empty and absent lists differ unless the field is
// omitted when empty. Times of earlier builds, which sent whole seconds, are read.
package codec

import (
	"math"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxMessageElements is the maximum number of elements of an array or a map in a message.
	maxMessageElements = 1 << 20
	// maxMessageNesting is the maximum depth of a message.
	maxMessageNesting = 32
)

// encoder keeps times to the nanosecond, because replicas compare them and work starts by them, and
// sorts map keys, so that equal values have equal encodings.
var encoder = must(cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC, Sort: cbor.SortCoreDeterministic}.EncMode())

// decoder raises the library's default limit of 131,072 elements, which is less
// than the tasks of a full cell or the intents of a busy day. Allocations stay
// bounded, because the decoder first checks that the input is long enough.
var decoder = must(cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode())

// messageDecoder bounds what another process sends.
var messageDecoder = must(cbor.DecOptions{
	DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: maxMessageNesting, MaxArrayElements: maxMessageElements, MaxMapPairs: maxMessageElements,
}.DecMode())

func must[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the encoding of v.
func Encode(v any) ([]byte, error) { return encoder.Marshal(v) }

// Decode decodes b into the value that into points to.
func Decode(b []byte, into any) error { return decoder.Unmarshal(b, into) }

// DecodeMessage decodes a message of another process into the value that into points to, which it
// clears first: a null in the encoding would leave its content in place.
func DecodeMessage(b []byte, into any) error {
	if v := reflect.ValueOf(into); v.Kind() == reflect.Pointer && !v.IsNil() {
		v.Elem().SetZero()
	}
	return messageDecoder.Unmarshal(b, into)
}
