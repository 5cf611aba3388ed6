package metric

import (
	"context"
	"encoding/json"
	"expvar"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// read returns the published value of a Set.
func read(t *testing.T, s *Set) (v struct {
	Events, Calls, Tasks map[string]int
	Catalogue            int `json:"catalogue_version"`
	Answer               int
}) {
	t.Helper()
	s.Publish()
	if err := json.Unmarshal([]byte(expvar.Get(Name).String()), &v); err != nil {
		t.Fatal(err)
	}
	return v
}

// A second Set must neither panic nor be hidden by the first.
func TestPublish(t *testing.T) {
	is := is.New(t)
	a, b := New(), New()
	a.Observe(event.LinkLost, nil)
	b.Gauge("answer", func() any { return 42 })
	is.Equal(read(t, a).Events["501"], 1)
	v := read(t, b)
	is.Equal(v.Answer, 42)
	is.Equal(len(v.Events), 0)
}

// The catalogue version follows the events that report one. An event without a
// number under that key must not change it.
func TestObserve(t *testing.T) {
	is := is.New(t)
	s := New()
	log := event.Log{}.Observed(s.Observe)
	log.Emit(event.LinkCatalogue, zap.Uint64("version", 7))
	log.Emit(event.LinkCatalogue, zap.String("version", "8"))
	v := read(t, s)
	is.Equal(v.Catalogue, 7)
	is.Equal(v.Events["504"], 2)
}

// Followers must not count changes of the log, nor must a restart count them
// again.
func TestTaskOnlyWhileLeading(t *testing.T) {
	is := is.New(t)
	s := New()
	start, lost := work.StartEvent{}, work.EndEvent{Outcome: work.OutcomeLost}
	s.CountTask(start)
	s.Observe(event.LeaderElected, nil)
	is.True(s.Leading())
	s.CountTask(start)
	s.CountTask(work.StopEvent{})
	s.CountTask(lost)
	s.Observe(event.LeaderDeposed, nil)
	s.CountTask(lost)
	is.Equal(read(t, s).Tasks, map[string]int{"started": 1, "stopped": 1, "ended.lost": 1})
}

// failingCaller is a peer.Caller whose calls return an error.
type failingCaller struct{ err error }

func (f failingCaller) Call(context.Context, string, string, any, any) error { return f.err }

// Calls are counted by outcome: a lost renewal must not count as made. The
// wrapper must not change the error.
func TestCaller(t *testing.T) {
	is := is.New(t)
	s := New()
	for _, err := range []error{nil, errors.Wrap(peer.ErrNotSent, "dial"), &peer.RemoteError{Code: "x"}, peer.ErrUnknown} {
		is.Equal(s.Caller(failingCaller{err}).Call(context.Background(), "vm-1", "renew", nil, nil), err)
	}
	is.Equal(read(t, s).Calls, map[string]int{"renew.ok": 1, "renew.not_sent": 1, "renew.refused": 1, "renew.unknown": 1})
}
