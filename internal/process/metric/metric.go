// Package metric holds the metrics of the daemon. They are published through
// package expvar as the variable "rosemaryloft" of GET /debug/vars.
// docs/OPERATIONS.md lists them.
//
// # Usage
//
//	m := metric.New()
//	log := event.New(logger).Observed(m.Observe)
//	caller := m.Caller(peer)
//	m.Gauge("runners_owned", func() any { return len(pool.Owned(nil)) })
//	m.Publish()
//
// Counters start at zero when the process starts. A gauge is computed when it is
// read, so its function must be fast and safe for concurrent use.
package metric

import (
	"context"
	"expvar"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// Name is the name of the published variable.
const Name = "rosemaryloft"

// Outcomes of calls between processes, as suffixes of the names of counters.
const (
	callOK      = ".ok"
	callRefused = ".refused"  // the other side's handler returned an error
	callNotSent = ".not_sent" // the other side certainly did not receive the call
	callUnknown = ".unknown"  // whether the call was carried out is not known
)

// Set holds the metrics of one process. Use New to create one.
type Set struct {
	root     expvar.Map
	events   expvar.Map
	requests expvar.Map
	refusals expvar.Map
	calls    expvar.Map
	tasks    expvar.Map

	leading   atomic.Bool
	catalogue expvar.Int
}

// New returns an empty Set.
func New() *Set {
	s := &Set{}
	for _, v := range []struct {
		name string
		v    *expvar.Map
	}{{"events", &s.events}, {"requests", &s.requests}, {"refusals", &s.refusals}, {"calls", &s.calls}, {"tasks", &s.tasks}} {
		s.root.Set(v.name, v.v.Init())
	}
	s.root.Set("catalogue_version", &s.catalogue)
	return s
}

var (
	published sync.Once
	current   atomic.Pointer[Set]
)

// Publish makes s the value of Name. A later Set replaces an earlier one,
// because expvar cannot withdraw a name.
func (s *Set) Publish() {
	current.Store(s)
	published.Do(func() { expvar.Publish(Name, latest{}) })
}

// latest is the expvar.Var of the Set that was published last.
type latest struct{}

// String implements expvar.Var.
func (latest) String() string { return current.Load().String() }

// String returns the metrics as JSON.
func (s *Set) String() string { return s.root.String() }

// Gauge adds a value that is computed when it is read.
func (s *Set) Gauge(name string, value func() any) { s.root.Set(name, expvar.Func(value)) }

// Observe counts an event. Pass it to event.Log.Observed.
func (s *Set) Observe(id event.ID, fields []zap.Field) {
	s.events.Add(strconv.Itoa(int(id)), 1)
	switch id {
	case event.LeaderElected:
		s.leading.Store(true)
	case event.LeaderDeposed:
		s.leading.Store(false)
	case event.LinkCatalogue:
		if f, ok := findField(fields, "version", zapcore.Uint64Type); ok {
			s.catalogue.Set(f.Integer)
		}
	}
}

func findField(fields []zap.Field, key string, kind zapcore.FieldType) (*zap.Field, bool) {
	for i := range fields {
		if fields[i].Key == key && fields[i].Type == kind {
			return &fields[i], true
		}
	}
	return nil, false
}

// Leading reports whether this process is the leader, which schedules work.
func (s *Set) Leading() bool { return s.leading.Load() }

// CountResponse counts a complete response by the class of its status.
func (s *Set) CountResponse(surface string, status int) {
	s.requests.Add(surface+"."+strconv.Itoa(status/100)+"xx", 1)
}

// CountError counts an error of the system by its code, and by whether the
// request was executed.
func (s *Set) CountError(surface string, code api.Code, ran api.Ran) {
	s.requests.Add(surface+".ran_"+string(ran), 1)
	s.refusals.Add(surface+"."+string(code), 1)
}

// CountTask counts starts, stops and ends of tasks. Pass it to State.Subscribe.
// Every replica applies every change, but only the leader counts it, so that
// the sum over the replicas is right and a restart does not count the replayed
// log again.
func (s *Set) CountTask(e work.Event) {
	if !s.leading.Load() {
		return
	}
	switch e := e.(type) {
	case work.StartEvent:
		s.tasks.Add("started", 1)
	case work.StopEvent:
		s.tasks.Add("stopped", 1)
	case work.EndEvent:
		s.tasks.Add("ended."+string(e.Outcome), 1)
	}
}

// Caller returns a peer.Caller that counts the calls to c by method and
// outcome.
func (s *Set) Caller(c peer.Caller) peer.Caller { return &caller{c, s} }

type caller struct {
	peer.Caller
	set *Set
}

// Call implements peer.Caller.
func (c *caller) Call(ctx context.Context, to, method string, request, response any) error {
	err := c.Caller.Call(ctx, to, method, request, response)
	outcome := callUnknown
	var remote *peer.RemoteError
	switch {
	case err == nil:
		outcome = callOK
	case errors.Is(err, peer.ErrNotSent):
		outcome = callNotSent
	case errors.As(err, &remote):
		outcome = callRefused
	}
	c.set.calls.Add(method+outcome, 1)
	return err
}
