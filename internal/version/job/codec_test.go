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
