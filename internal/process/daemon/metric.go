package daemon

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/internal/process/metric"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// gauges adds what is read from the roles to the metrics.
func (d *Daemon) gauges() {
	d.metrics.Gauge("peers_expected", func() any { return len(d.peer.Peers()) })
	d.metrics.Gauge("peers_connected", func() any { return d.peer.Connected() })
	if d.entry != nil {
		d.metrics.Gauge("entry", func() any { return d.entry.gauges(time.Now()) })
	}
	if d.control != nil {
		d.metrics.Gauge("control", func() any { return d.control.gauges(time.Now()) })
		d.metrics.Gauge("leading", func() any { return d.control.leading(d.metrics) })
	}
}

// entryGauges are the gauges of the role entry.
type entryGauges struct {
	ViewSeconds  *float64 `json:"view_seconds"` // until the view's deadline, negative past it; nil before the first view
	Draining     bool     `json:"draining"`
	RunnersOwned int      `json:"runners_owned"`
	SlotsUsed    int64    `json:"slots_used"` // of the owned runners
}

func (e *entry) gauges(now time.Time) entryGauges {
	g := entryGauges{Draining: e.draining.Load()}
	if d := e.link.Deadline(); !d.IsZero() {
		left := d.Sub(now).Seconds()
		g.ViewSeconds = &left
	}
	for _, r := range e.pool.Owned(nil) {
		g.RunnersOwned++
		g.SlotsUsed += r.Used
	}
	return g
}

// controlGauges are the gauges of a replica.
type controlGauges struct {
	Role         string  `json:"role"`
	Leader       string  `json:"leader"` // empty if unknown
	Term         uint64  `json:"term"`
	Applied      uint64  `json:"applied"`
	Committed    uint64  `json:"committed"`
	Last         uint64  `json:"last"`
	Snapshot     uint64  `json:"snapshot"`
	LeaseSeconds float64 `json:"lease_seconds"` // of the leader; 0 for others
	Voters       int     `json:"voters"`
	Members      int     `json:"members"`
	Catalogue    uint64  `json:"catalogue_version"`
}

func (c *control) gauges(now time.Time) controlGauges {
	s := c.replica.Status()
	g := controlGauges{
		Role: s.Role, Leader: s.Leader, Term: s.Term, Applied: s.Applied, Committed: s.Commit, Last: s.Last,
		Snapshot: s.Snapshot, Members: len(s.Members), Catalogue: c.state.CatalogueVersion(),
	}
	if !s.Lease.IsZero() {
		g.LeaseSeconds = s.Lease.Sub(now).Seconds()
	}
	for _, m := range s.Members {
		if m.Voter {
			g.Voters++
		}
	}
	return g
}

// leaderGauges are the gauges that only the leader has.
type leaderGauges struct {
	TasksQueued    int `json:"tasks_queued"`
	TasksRunning   int `json:"tasks_running"`
	Workers        int `json:"workers"`
	WorkersDrained int `json:"workers_drained"`
}

// leading returns nil unless this replica leads, so that a sum over the
// replicas counts everything once and followers do not walk the state.
func (c *control) leading(m *metric.Set) *leaderGauges {
	if !m.Leading() {
		return nil
	}
	var g leaderGauges
	for _, l := range c.state.Loads("") {
		g.TasksQueued += l.Queued
		g.TasksRunning += l.Running
	}
	for _, w := range c.state.Workers() {
		if w.Worker.Gone {
			continue
		}
		g.Workers++
		if w.Worker.Drained {
			g.WorkersDrained++
		}
	}
	return &g
}

// counted counts the answers of an adapter.
type counted struct {
	adapter
	surface string
	metrics *metric.Set
}

// Handler implements adapter. Answers of a runner carry the request header,
// those of the system do not.
func (c counted) Handler(ctx *fasthttp.RequestCtx) {
	c.adapter.Handler(ctx)
	status := ctx.Response.StatusCode()
	if status < fasthttp.StatusBadRequest || len(ctx.Response.Header.Peek(api.RequestHeader)) > 0 {
		c.metrics.Answered(c.surface, status)
		return
	}
	var e api.Error
	if err := json.Unmarshal(ctx.Response.Body(), &e); err != nil || e.Code == "" {
		c.metrics.Answered(c.surface, status)
		return
	}
	c.metrics.Failed(c.surface, e.Code, e.Ran)
}
