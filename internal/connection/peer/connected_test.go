package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a count that omits a connection or includes a lost one.
func TestConnected(t *testing.T) {
	runPair(t, func(is *is.I, _ *testCell, a, b *process) {
		is.NoErr(a.Call(context.Background(), "b", "echo", echoRequest{}, nil))
		time.Sleep(time.Second)
		is.Equal(a.Connected(), 1)
		is.Equal(b.Connected(), 1)
		b.stop()
		synctest.Wait()
		is.Equal(a.Connected(), 0)
	})
}
