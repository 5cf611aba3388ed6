// Package codectest fills values of any type at random and compares them, for tests of what passes through
// an encoding.
//
// # Usage
//
//	random := rand.New(rand.NewPCG(1, seed))
//	codectest.Fill(random, &message)
//	difference := codectest.Compare(message, decoded) // empty if they are equal
package codectest

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxElements bounds the lists and maps in a value.
	maxElements = 3
	// maxDepth is the depth from which on lists, maps and pointers are empty.
	maxDepth = 8
)

var (
	timeType       = reflect.TypeFor[time.Time]()
	addressType    = reflect.TypeFor[netip.AddrPort]()
	rawMessageType = reflect.TypeFor[cbor.RawMessage]()
)

// Fill sets each exported field of the value that v points to. It prefers what encodings change: times
// between whole seconds, before 1970 and with a monotonic reading, numbers at their bounds, lists that
// are empty or absent.
func Fill(r *rand.Rand, v any) { fill(r, reflect.ValueOf(v).Elem(), 0) }

func fill(r *rand.Rand, v reflect.Value, depth int) {
	switch v.Type() {
	case timeType:
		v.Set(reflect.ValueOf(randomTime(r)))
		return
	case addressType:
		v.Set(reflect.ValueOf(randomAddress(r)))
		return
	case rawMessageType:
		v.SetBytes([]byte{byte(r.IntN(24))}) // a small number
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(r.IntN(2) == 0)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(randomInt(r, v.Type().Bits()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(randomInt(r, 64)) & (math.MaxUint64 >> (64 - v.Type().Bits())))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(randomFloat(r))
	case reflect.String:
		v.SetString(randomText(r))
	case reflect.Slice:
		fillSlice(r, v, depth)
	case reflect.Map:
		fillMap(r, v, depth)
	case reflect.Pointer:
		if depth < maxDepth && r.IntN(3) > 0 {
			v.Set(reflect.New(v.Type().Elem()))
			fill(r, v.Elem(), depth+1)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() && f.Tag.Get("cbor") != "-" {
				fill(r, v.Field(i), depth+1)
			}
		}
	default:
		panic(fmt.Sprintf("codectest: a value of type %s", v.Type()))
	}
}

// length returns the length of a list or map, or a negative number for an absent one.
func length(r *rand.Rand, depth int) int {
	if depth >= maxDepth {
		return -1
	}
	return r.IntN(maxElements+2) - 1
}

func fillSlice(r *rand.Rand, v reflect.Value, depth int) {
	n := length(r, depth)
	if n < 0 {
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), n, n))
	for i := range n {
		fill(r, v.Index(i), depth+1)
	}
}

func fillMap(r *rand.Rand, v reflect.Value, depth int) {
	n := length(r, depth)
	if n < 0 {
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	for range n {
		key, element := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(r, key, depth+1)
		fill(r, element, depth+1)
		v.SetMapIndex(key, element)
	}
}

func randomTime(r *rand.Rand) time.Time {
	switch r.IntN(5) {
	case 0:
		return time.Time{}
	case 1:
		return time.Now()
	case 2:
		return time.Unix(-r.Int64N(1<<32), r.Int64N(1e9))
	case 3:
		return time.UnixMilli(r.Int64N(1 << 41))
	}
	return time.Unix(r.Int64N(1<<33), r.Int64N(1e9)).UTC()
}

func randomAddress(r *rand.Rand) netip.AddrPort {
	port := uint16(r.IntN(1 << 16))
	switch r.IntN(3) {
	case 0:
		return netip.AddrPort{}
	case 1:
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(r.Uint32()), byte(r.Uint32()), byte(r.Uint32())}), port)
	}
	return netip.AddrPortFrom(netip.IPv6Loopback(), port)
}

func randomInt(r *rand.Rand, bits int) int64 {
	least, most := int64(math.MinInt64)>>(64-bits), int64(math.MaxInt64)>>(64-bits)
	return [...]int64{0, 1, -1, least, most, int64(r.IntN(100)), r.Int64() >> (64 - bits)}[r.IntN(7)]
}

func randomFloat(r *rand.Rand) float64 {
	return [...]float64{0, 0.5, -1, math.MaxFloat64, math.SmallestNonzeroFloat64, r.NormFloat64()}[r.IntN(6)]
}

func randomText(r *rand.Rand) string {
	return [...]string{"", "a", "Übergrößenträger", "\x00\"\\", strings.Repeat("x", r.IntN(300)), "0123456789abcdef"}[r.IntN(6)]
}

// Compare returns where two values differ, or an empty string. Times are equal if they name the same
// moment. A list or map that a field omits when empty may be absent.
func Compare(a, b any) string { return compare(reflect.ValueOf(a), reflect.ValueOf(b), "value", false) }

func compare(a, b reflect.Value, path string, omitted bool) string {
	if a.IsValid() != b.IsValid() || a.IsValid() && a.Type() != b.Type() {
		return fmt.Sprintf("%s: another type", path)
	}
	switch a.Kind() {
	case reflect.Struct:
		return compareStructs(a, b, path)
	case reflect.Pointer:
		if a.IsNil() || b.IsNil() {
			return differs(a.IsNil() == b.IsNil(), a, b, path)
		}
		return compare(a.Elem(), b.Elem(), path, false)
	case reflect.Slice:
		if a.Len() != b.Len() || !omitted && a.IsNil() != b.IsNil() {
			return differs(false, a, b, path)
		}
		for i := range a.Len() {
			if d := compare(a.Index(i), b.Index(i), fmt.Sprintf("%s[%d]", path, i), false); d != "" {
				return d
			}
		}
		return ""
	case reflect.Map:
		if a.Len() != b.Len() || !omitted && a.IsNil() != b.IsNil() {
			return differs(false, a, b, path)
		}
		for _, key := range a.MapKeys() {
			if d := compare(a.MapIndex(key), b.MapIndex(key), fmt.Sprintf("%s[%v]", path, key), false); d != "" {
				return d
			}
		}
		return ""
	}
	return differs(a.Equal(b), a, b, path)
}

func compareStructs(a, b reflect.Value, path string) string {
	switch a.Type() {
	case timeType:
		return differs(a.Interface().(time.Time).Equal(b.Interface().(time.Time)), a, b, path)
	case addressType:
		return differs(a.Equal(b), a, b, path)
	}
	for i := range a.NumField() {
		f := a.Type().Field(i)
		if !f.IsExported() || f.Tag.Get("cbor") == "-" {
			continue
		}
		if d := compare(a.Field(i), b.Field(i), path+"."+f.Name, strings.Contains(f.Tag.Get("cbor"), "omitempty")); d != "" {
			return d
		}
	}
	return ""
}

func differs(equal bool, a, b reflect.Value, path string) string {
	if equal {
		return ""
	}
	return fmt.Sprintf("%s: %#v became %#v", path, a, b)
}
