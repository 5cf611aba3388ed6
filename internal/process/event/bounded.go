package event

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// lineRate (per second) and lineBurst limit lines below level warn. A leader
	// usually writes some hundred lines per second.
	lineRate  = 600
	lineBurst = 3000
	// queueBytes bounds the lines waiting to be written, warnings included. If the
	// reader of the log is too slow, lines are lost instead of blocking the process.
	queueBytes = 1 << 20
	// flushInterval is how long lines are collected, so that one write takes many.
	flushInterval = 100 * time.Millisecond
	// droppedInterval is how often dropped lines are reported.
	droppedInterval = time.Second
)

// Writer writes log lines in the background, so that logging never blocks the
// caller. Use NewWriter to create one.
type Writer struct {
	out  io.Writer
	now  func() time.Time
	stop chan struct{}
	done chan struct{}

	mu       sync.Mutex
	queue    bytes.Buffer
	dropped  int
	reported time.Time // last report of dropped lines
	tokens   float64
	filled   time.Time // when tokens were last added
}

// NewWriter starts a Writer to out. Close flushes and stops it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, now: time.Now, stop: make(chan struct{}), done: make(chan struct{}), tokens: lineBurst}
	w.filled = w.now()
	go w.run()
	return w
}

// Write queues a line, or drops it if the queue is full.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queue.Len()+len(line) > queueBytes {
		w.dropped++
		return len(line), nil
	}
	return w.queue.Write(line)
}

// Sync implements zapcore.WriteSyncer. It does nothing, since a background
// goroutine writes the lines.
func (w *Writer) Sync() error { return nil }

// allow takes a token for a line below level warn from the token bucket. It
// returns false, and counts the line as dropped, if there is none.
func (w *Writer) allow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.tokens = min(lineBurst, w.tokens+lineRate*now.Sub(w.filled).Seconds())
	w.filled = now
	if w.tokens < 1 {
		w.dropped++
		return false
	}
	w.tokens--
	return true
}

func (w *Writer) run() {
	defer close(w.done)
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			w.flush()
		case <-w.stop:
			w.flush()
			return
		}
	}
}

// flush writes the queued lines. A write error is ignored, because it could only
// be reported in the same log.
func (w *Writer) flush() {
	w.mu.Lock()
	w.report()
	lines := bytes.Clone(w.queue.Bytes())
	w.queue.Reset()
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.out.Write(lines)
	}
}

// report queues a line with the number of dropped lines, at most once per
// droppedInterval. The caller must hold the lock.
func (w *Writer) report() {
	now := w.now()
	if w.dropped == 0 || now.Sub(w.reported) < droppedInterval {
		return
	}
	k := kinds[LinesDropped]
	w.queue.WriteString(`{"level":"warn","time":"` + now.UTC().Format(time.RFC3339Nano) + `","msg":"` + k.Name +
		`","lines":` + strconv.Itoa(w.dropped) + `,"event":` + strconv.Itoa(int(k.ID)) + "}\n")
	w.dropped, w.reported = 0, now
}

// Close writes the queued lines and stops the writer.
func (w *Writer) Close() {
	close(w.stop)
	<-w.done
}

// NewLogger returns a logger that writes JSON lines to a Writer. Each line
// carries the name of the process.
func NewLogger(w *Writer, process string) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.TimeKey, c.CallerKey = "time", ""
	c.EncodeTime = func(t time.Time, e zapcore.PrimitiveArrayEncoder) { e.AppendString(t.UTC().Format(time.RFC3339Nano)) }
	c.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), w, zap.InfoLevel)
	return zap.New(bounded{core, w}, zap.Fields(zap.String("process", process)))
}

// bounded is a core that drops lines below level warn beyond lineRate.
type bounded struct {
	zapcore.Core
	writer *Writer
}

// With implements zapcore.Core.
func (b bounded) With(fields []zapcore.Field) zapcore.Core {
	return bounded{b.Core.With(fields), b.writer}
}

// Check implements zapcore.Core.
func (b bounded) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !b.Enabled(e.Level) || e.Level < zapcore.WarnLevel && !b.writer.allow() {
		return c
	}
	return c.AddCore(e, b)
}
