// Package prom counts log events, records their durations, and serves both in
// the Prometheus text format.
//
// # Usage
//
//	set := prom.New()
//	log := event.New(logger).Observed(set.Observe)
//	http.Handler = set.Serve
//
// Each event is counted in rosemaryloft_events_total by its name, also below
// the log level. Each duration field of an event goes into the histogram
// rosemaryloft_event_seconds by the event and the field, so that durations are
// measured where they are logged and nowhere else.
package prom

import (
	"bytes"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

// Set holds the metrics of one process. Use New to create one.
type Set struct {
	set   *metrics.Set
	names map[event.ID]string

	mu         sync.Mutex
	counters   map[event.ID]*metrics.Counter
	histograms map[histogramKey]*metrics.Histogram
}

type histogramKey struct {
	event event.ID
	field string
}

// New returns an empty Set.
func New() *Set {
	s := &Set{
		set: metrics.NewSet(), names: map[event.ID]string{},
		counters: map[event.ID]*metrics.Counter{}, histograms: map[histogramKey]*metrics.Histogram{},
	}
	for _, k := range event.All() {
		s.names[k.ID] = k.Name
	}
	return s
}

// Observe counts an event and records its durations. It is safe for concurrent
// use.
func (s *Set) Observe(id event.ID, fields []zap.Field) {
	s.counter(id).Inc()
	for i := range fields {
		if fields[i].Type == zapcore.DurationType {
			s.histogram(id, fields[i].Key).Update(time.Duration(fields[i].Integer).Seconds())
		}
	}
}

func (s *Set) counter(id event.ID) *metrics.Counter {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters[id]
	if c == nil {
		c = s.set.NewCounter(`rosemaryloft_events_total{event="` + s.names[id] + `"}`)
		s.counters[id] = c
	}
	return c
}

func (s *Set) histogram(id event.ID, field string) *metrics.Histogram {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.histograms[histogramKey{id, field}]
	if h == nil {
		h = s.set.NewHistogram(`rosemaryloft_event_seconds{event="` + s.names[id] + `",field="` + field + `"}`)
		s.histograms[histogramKey{id, field}] = h
	}
	return h
}

// Gauge registers a value that is computed when it is read.
func (s *Set) Gauge(name string, value func() float64) { s.set.NewGauge("rosemaryloft_"+name, value) }

// Serve answers a request with all metrics as text.
func (s *Set) Serve(c *fasthttp.RequestCtx) {
	var b bytes.Buffer
	s.set.WritePrometheus(&b)
	c.SetContentType("text/plain; version=0.0.4")
	c.SetBody(b.Bytes())
}
