package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a count that misses a connection or keeps one that was lost.
func TestConnected(t *testing.T) {
	run(t, func(is *is.I, _ *cell, a, b *process) {
		is.NoErr(a.Call(context.Background(), "b", "echo", question{}, nil))
		time.Sleep(time.Second)
		is.Equal(a.Connected(), 1)
		is.Equal(b.Connected(), 1)
		b.stop()
		synctest.Wait()
		is.Equal(a.Connected(), 0)
	})
}
