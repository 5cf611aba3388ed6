// Package upstream is the HTTP adapter for upstreams. Runners of services use it
// to announce themselves and to leave.
//
// # Usage
//
//	adapter := upstream.New(upstream.Options{Directory: link, Link: link, Pool: pool})
//	server := fasthttp.Server{Handler: adapter.Handler}
//
// Handler serves the paths below /v1/runners/. It answers an announcement or a
// leave request once the leader has it. A runner that gets no answer therefore
// knows that it must try again through another entry VM.
package upstream

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/request/web"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

const (
	// DefaultAnnounceTime is the validity of an announcement that gives no deadline.
	DefaultAnnounceTime = 15 * time.Second
	// MaxAnnounceTime is the maximum validity of an announcement.
	MaxAnnounceTime = 30 * time.Second

	reportTimeout = 2 * time.Second // time limit for the leader's answer to a report
	maxSlots      = 65536
	maxBodyBytes  = 16 << 10
)

// Link hands reports to the leader. *control.Link implements it.
type Link interface {
	Report(ctx context.Context, report control.RunnerReport) error
}

// Pool is told of announcements and departures without waiting for the leader.
type Pool interface {
	Announced(report control.RunnerReport)
	Left(runner control.RunnerID)
}

// Options configures an Adapter.
type Options struct {
	Directory control.Directory
	Link      Link
	Pool      Pool
	Now       func() time.Time
	Log       event.Log
}

// Adapter handles HTTP requests from upstreams.
type Adapter struct{ options Options }

// New returns an Adapter.
func New(options Options) *Adapter {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Adapter{options: options}
}

// Handler handles one request from an upstream.
func (a *Adapter) Handler(ctx *fasthttp.RequestCtx) {
	key, fail := web.Authorize(ctx, a.options.Directory, work.UpstreamRole)
	if fail != nil {
		web.CloseIfUnread(ctx)
		web.Fail(ctx, fail)
		return
	}
	s := web.Segments(ctx.Path())
	if len(s) != 4 || s[0] != "v1" || s[1] != "runners" || !ctx.IsPost() {
		web.Fail(ctx, web.Refuse(api.UnknownRoute, "%s is not possible on %s", ctx.Method(), ctx.Path()))
		return
	}
	if fail := web.CheckName(s[2]); fail != nil {
		web.Fail(ctx, fail)
		return
	}
	body, fail := web.Body(ctx, maxBodyBytes)
	if fail != nil {
		web.Fail(ctx, fail)
		return
	}
	var report control.RunnerReport
	switch s[3] {
	case "announce":
		report, fail = a.parseAnnouncement(body)
	case "leave":
		report, fail = parseLeave(body)
	default:
		fail = web.Refuse(api.UnknownRoute, "there is no route %s", ctx.Path())
	}
	if fail == nil {
		fail = a.checkEntry(key, report.Runner.Entry)
	}
	if fail != nil {
		web.Fail(ctx, fail)
		return
	}
	report.Runner.Name, report.Team = s[2], key.Team
	a.submitReport(ctx, report)
}

// checkEntry checks that the catalogue entry is a service of the key's team.
func (a *Adapter) checkEntry(key work.Key, name string) *api.Error {
	e, err := a.options.Directory.Entry(name)
	if err != nil {
		if fail := web.ControlError(err); fail.Code != api.UnknownObject {
			return fail
		}
		return web.Refuse(api.UnknownEntry, "there is no entry %q", name)
	}
	if e.Class != work.Service {
		return web.Refuse(api.Malformed, "entry %q is not a service", name)
	}
	if e.Owner != key.Team {
		return web.Refuse(api.Forbidden, "entry %q does not belong to team %q", name, key.Team)
	}
	return nil
}

// parseAnnouncement decodes and validates the body of an announcement.
func (a *Adapter) parseAnnouncement(body []byte) (control.RunnerReport, *api.Error) {
	var b api.Announcement
	if fail := web.Decode(body, &b); fail != nil {
		return control.RunnerReport{}, fail
	}
	now := a.options.Now()
	if b.Deadline.IsZero() {
		b.Deadline = now.Add(DefaultAnnounceTime)
	}
	malformed := func(format string, arguments ...any) (control.RunnerReport, *api.Error) {
		return control.RunnerReport{}, web.Refuse(api.Malformed, format, arguments...)
	}
	switch {
	case b.Entry == "":
		return malformed("field \"entry\" is missing")
	case !b.Address.IsValid() || b.Address.Port() == 0 || b.Address.Addr().IsUnspecified():
		return malformed("field \"address\" must be an IP address with a port")
	case b.Zone == "":
		return malformed("field \"zone\" is missing")
	case b.Boot == 0:
		return malformed("field \"boot\" must be a random number other than 0")
	case b.Slots < 1 || b.Slots > maxSlots:
		return malformed("field \"slots\" must be 1 to %d", maxSlots)
	case b.Connections < 1 || b.Connections > maxSlots:
		return malformed("field \"connections\" must be 1 to %d", maxSlots)
	case b.Busy < 0:
		return malformed("field \"busy\" must not be negative")
	case !b.Deadline.After(now):
		return malformed("field \"deadline\" is in the past")
	}
	if latest := now.Add(MaxAnnounceTime); b.Deadline.After(latest) {
		b.Deadline = latest
	}
	return control.RunnerReport{
		Runner: control.RunnerID{Entry: b.Entry}, Address: b.Address, Zone: b.Zone, Boot: b.Boot,
		Slots: b.Slots, Connections: b.Connections, Busy: b.Busy, Deadline: b.Deadline,
	}, nil
}

func parseLeave(body []byte) (control.RunnerReport, *api.Error) {
	var b api.Leave
	if fail := web.Decode(body, &b); fail != nil {
		return control.RunnerReport{}, fail
	}
	if b.Entry == "" || b.Boot == 0 {
		return control.RunnerReport{}, web.Refuse(api.Malformed, "fields \"entry\" and \"boot\" are needed")
	}
	return control.RunnerReport{Runner: control.RunnerID{Entry: b.Entry}, Boot: b.Boot, Leaving: true}, nil
}

// submitReport passes a validated report to the pool and to the leader, and
// answers the request.
func (a *Adapter) submitReport(ctx *fasthttp.RequestCtx, report control.RunnerReport) {
	id := event.RequestAnnounced
	if report.Leaving {
		id = event.RequestLeft
		a.options.Pool.Left(report.Runner)
	} else {
		a.options.Pool.Announced(report)
	}
	call, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if err := a.options.Link.Report(call, report); err != nil {
		fail := web.ControlError(err)
		fail.Ran = api.RanUnknown // the leader may have applied the report although no answer came
		web.Fail(ctx, fail)
		return
	}
	a.options.Log.Emit(id, zap.String("entry", report.Runner.Entry), zap.String("runner", report.Runner.Name),
		zap.Stringer("address", report.Address), zap.Int64("busy", report.Busy))
	web.JSON(ctx, fasthttp.StatusOK, api.Accepted{Deadline: report.Deadline})
}
