package daemon

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/internal/boottime"
	"github.com/rosemaryloft/rosemaryloft/internal/process/metric"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// registerGauges adds gauges to the metrics that read the state of the roles.
func (d *Daemon) registerGauges() {
	d.metrics.Gauge("peers_expected", func() any { return len(d.peer.Peers()) })
	d.metrics.Gauge("peers_connected", func() any { return d.peer.Connected() })
	if d.entry != nil {
		d.metrics.Gauge("entry", func() any { return d.entry.gauges(boottime.Now()) })
	}
	if d.control != nil {
		d.metrics.Gauge("control", func() any { return d.control.gauges(boottime.Now()) })
		d.metrics.Gauge("leading", func() any { return d.control.leaderGauges(d.metrics) })
	}
}

// entryGauges are the gauges of the entry role.
type entryGauges struct {
	ViewSeconds  *float64 `json:"view_seconds"` // until the view's deadline, negative past it; nil before the first view
	Draining     bool     `json:"draining"`
	RunnersOwned int      `json:"runners_owned"`
	SlotsUsed    int64    `json:"slots_used"` // of the owned runners
}

func (e *entryRole) gauges(now time.Time) entryGauges {
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

// controlGauges are the gauges of a replica of the control group.
type controlGauges struct {
	Role         string  `json:"role"`
	Leader       string  `json:"leader"` // empty if unknown
	Term         uint64  `json:"term"`
	Applied      uint64  `json:"applied"`
	Committed    uint64  `json:"committed"`
	Last         uint64  `json:"last"`
	Snapshot     uint64  `json:"snapshot"`
	LeaseSeconds float64 `json:"lease_seconds"` // until the leader's lease ends; 0 on other replicas
	Voters       int     `json:"voters"`
	VotersLive   int     `json:"voters_live"` // that answer the leader; 0 on other replicas
	Members      int     `json:"members"`
	Catalogue    uint64  `json:"catalogue_version"`
}

func (c *controlRole) gauges(now time.Time) controlGauges {
	s := c.replica.Status()
	g := controlGauges{
		Role: s.Role, Leader: s.Leader, Term: s.Term, Applied: s.Applied, Committed: s.Commit, Last: s.Last,
		Snapshot: s.Snapshot, Members: len(s.Members), Catalogue: c.state.CatalogueVersion(),
	}
	if !s.Lease.IsZero() {
		g.LeaseSeconds = s.Lease.Sub(now).Seconds()
	}
	_, g.VotersLive = s.Voters()
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

// leaderGauges returns nil unless this replica leads, so that a sum over all
// replicas counts everything once and followers do not scan the state.
func (c *controlRole) leaderGauges(m *metric.Set) *leaderGauges {
	if !m.Leading() {
		return nil
	}
	var g leaderGauges
	for _, l := range c.state.EntryLoads("") {
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

// countingAdapter counts the answers of an adapter in the metrics.
type countingAdapter struct {
	adapter
	surface string
	metrics *metric.Set
}

// Handler implements adapter. An answer below 400, one that carries the request
// header, as answers of runners do, and one whose body is not an api.Error count
// by status. All others count by error code.
func (c countingAdapter) Handler(ctx *fasthttp.RequestCtx) {
	c.adapter.Handler(ctx)
	status := ctx.Response.StatusCode()
	if status < fasthttp.StatusBadRequest || len(ctx.Response.Header.Peek(api.RequestHeader)) > 0 {
		c.metrics.CountResponse(c.surface, status)
		return
	}
	var e api.Error
	if err := json.Unmarshal(ctx.Response.Body(), &e); err != nil || e.Code == "" {
		c.metrics.CountResponse(c.surface, status)
		return
	}
	c.metrics.CountError(c.surface, e.Code, e.Ran)
}
