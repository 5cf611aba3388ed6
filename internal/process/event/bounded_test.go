package event

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// reader collects log lines. Its writes block until stuck is closed, if set.
type reader struct {
	mu    sync.Mutex
	lines bytes.Buffer
	stuck chan struct{}
}

func (r *reader) Write(b []byte) (int, error) {
	if r.stuck != nil {
		<-r.stuck
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lines.Write(b)
}

// Guards against a log that grows with the load: lines below level warn beyond
// the rate must be dropped and counted, and warnings kept.
func TestLogRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &reader{}
		w := NewWriter(r)
		l := New(NewLogger(w, "p"))
		for range 10_000 {
			l.Emit(JobAccepted, zap.String("job", "j"))
		}
		l.Emit(WorkerSilent, zap.String("worker", "w"))
		time.Sleep(2 * time.Second)
		w.Close()
		text := r.lines.String()
		is.Equal(strings.Count(text, `"job accepted"`), lineBurst)
		is.Equal(strings.Count(text, `"worker silent"`), 1)
		is.True(strings.Contains(text, `"lines":7000`))
		is.True(strings.Contains(text, `"process":"p"`))
	})
}

// Guards against a process that blocks because nobody reads its log.
func TestLogNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &reader{stuck: make(chan struct{})}
		w := NewWriter(r)
		l := New(NewLogger(w, "p"))
		time.Sleep(time.Second)
		for range 20_000 {
			l.Emit(WorkerSilent, zap.String("worker", strings.Repeat("w", 100)))
		}
		w.mu.Lock()
		is.True(w.queue.Len() <= queueBytes)
		is.True(w.dropped > 0)
		w.mu.Unlock()
		close(r.stuck)
		w.Close()
	})
}
