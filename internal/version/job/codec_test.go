package job

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/version/codec"
	"github.com/rosemaryloft/rosemaryloft/internal/version/codec/codectest"
)

// Guards against a record that changes on its way through the log or a snapshot (issue 52).
func TestRecordsAreReadAsTheyWereWritten(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 52))
	for _, sample := range []any{Round{}, Record{}, Worker{}, Catalogue{}, WaveRecord{}, snapshot{}} {
		for range 200 {
			written, read := reflect.New(reflect.TypeOf(sample)), reflect.New(reflect.TypeOf(sample))
			codectest.Fill(random, written.Interface())
			b, err := codec.Encode(written.Interface())
			is.NoErr(err)
			is.NoErr(codec.Decode(b, read.Interface()))
			is.Equal(codectest.Compare(written.Elem().Interface(), read.Elem().Interface()), "")
		}
	}
}

// Guards against a worker that has no labels any more and keeps those of before, so that tasks start on it
// whose label it lost (rule ROUTE, issue 52).
func TestNoLabelsAreNotUnstatedLabels(t *testing.T) {
	is := is.New(t)
	for _, labels := range [][]string{nil, {}, {"a"}} {
		b, err := codec.Encode(Worker{Labels: labels})
		is.NoErr(err)
		var w Worker
		is.NoErr(codec.DecodeMessage(b, &w))
		is.Equal(w.Labels == nil, labels == nil)
		is.Equal(len(w.Labels), len(labels))
	}
}
