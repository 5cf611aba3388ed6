package prom

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"strings"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

// Events below the log level must be counted too, and durations must be
// measured.
func TestObserve(t *testing.T) {
	is := is.New(t)
	s := New()
	l := event.Log{}.Observed(s.Observe)
	l.Emit(event.CallRead, zap.Duration("took", 20*time.Millisecond))
	l.Emit(event.CallRead, zap.Duration("took", 20*time.Millisecond))
	s.Gauge("runs", func() float64 { return 7 })
	var c fasthttp.RequestCtx
	s.Serve(&c)
	text := string(c.Response.Body())
	is.True(strings.Contains(text, `rosemaryloft_events_total{event="call read"} 2`))
	is.True(strings.Contains(text, `rosemaryloft_event_seconds_count{event="call read",field="took"} 2`))
	is.True(strings.Contains(text, "rosemaryloft_runs 7"))
}
