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
	// lineRate and lineBurst bound the lines below warnings: the usual load of a
	// leader is some hundred lines a second.
	lineRate  = 600
	lineBurst = 3000
	// queueBytes bounds the lines that wait to be written, warnings included. A
	// reader that is slower loses lines instead of stopping the process.
	queueBytes = 1 << 20
	// flushInterval is how long lines wait for others, so that one write takes
	// many.
	flushInterval = 100 * time.Millisecond
	// droppedInterval is how often dropped lines are reported.
	droppedInterval = time.Second
)

// Writer writes lines without blocking whoever logs. Use NewWriter.
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
	filled   time.Time // tokens were counted
}

// NewWriter starts a Writer to out. Close writes what waits and ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, now: time.Now, stop: make(chan struct{}), done: make(chan struct{}), tokens: lineBurst}
	w.filled = w.now()
	go w.run()
	return w
}

// Write queues a line, or drops it if too many wait.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queue.Len()+len(line) > queueBytes {
		w.dropped++
		return len(line), nil
	}
	return w.queue.Write(line)
}

// Sync implements zapcore.WriteSyncer. Lines are written by a goroutine.
func (w *Writer) Sync() error { return nil }

// allow takes a token for a line below warnings.
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

// flush writes what waits. An error of the reader has no place to go to.
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

// report adds a line about dropped ones. The caller holds the lock.
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

// Close writes what waits and ends the writer.
func (w *Writer) Close() {
	close(w.stop)
	<-w.done
}

// NewLogger returns a logger of JSON lines to a Writer.
func NewLogger(w *Writer, process string) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.TimeKey, c.CallerKey = "time", ""
	c.EncodeTime = func(t time.Time, e zapcore.PrimitiveArrayEncoder) { e.AppendString(t.UTC().Format(time.RFC3339Nano)) }
	c.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), w, zap.InfoLevel)
	return zap.New(bounded{core, w}, zap.Fields(zap.String("process", process)))
}

// bounded drops lines below warnings beyond the rate.
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
