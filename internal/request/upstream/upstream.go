// Package upstream is the HTTP adapter for upstreams: runners of services
// announce themselves and leave through it.
//
// # Usage
//
//	adapter := upstream.New(upstream.Options{Directory: link, Link: link, Pool: pool})
//	server := fasthttp.Server{Handler: adapter.Handler}
//
// Handler serves the paths below /v1/runners/. An announcement or leave is
// answered once the leader has it, so that a runner that gets no answer knows
// that it has to try again through another entry VM.
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
	// AnnounceTime is how long an announcement lasts that names no deadline.
	AnnounceTime = 15 * time.Second
	// AnnounceMaximum is the longest an announcement lasts.
	AnnounceMaximum = 30 * time.Second

	reportTime   = 2 * time.Second // until an announcement without an answer is given up
	maximumSlots = 65536
	bodyBytes    = 16 << 10
)

// Link hands reports to the leader. *control.Link implements it.
type Link interface {
	Report(ctx context.Context, report control.RunnerReport) error
}

// Pool learns of announcements and leaves at once.
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

// Adapter serves upstreams.
type Adapter struct{ options Options }

// New returns an Adapter.
func New(options Options) *Adapter {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Adapter{options: options}
}

// Handler serves one request of an upstream.
func (a *Adapter) Handler(ctx *fasthttp.RequestCtx) {
	key, fail := web.Authorize(ctx, a.options.Directory, work.UpstreamRole)
	if fail != nil {
		web.Abandon(ctx)
		web.Fail(ctx, fail)
		return
	}
	s := web.Segments(ctx.Path())
	if len(s) != 4 || s[0] != "v1" || s[1] != "runners" || !ctx.IsPost() {
		web.Fail(ctx, web.Refuse(api.UnknownRoute, "%s is not possible on %s", ctx.Method(), ctx.Path()))
		return
	}
	if fail := web.Name(s[2]); fail != nil {
		web.Fail(ctx, fail)
		return
	}
	body, fail := web.Body(ctx, bodyBytes)
	if fail != nil {
		web.Fail(ctx, fail)
		return
	}
	var report control.RunnerReport
	switch s[3] {
	case "announce":
		report, fail = a.announcement(body)
	case "leave":
		report, fail = leave(body)
	default:
		fail = web.Refuse(api.UnknownRoute, "there is no route %s", ctx.Path())
	}
	if fail == nil {
		fail = a.allowed(key, report.Runner.Entry)
	}
	if fail != nil {
		web.Fail(ctx, fail)
		return
	}
	report.Runner.Name, report.Team = s[2], key.Team
	a.report(ctx, report)
}

// allowed checks that the entry is a service of the key's team.
func (a *Adapter) allowed(key work.Key, name string) *api.Error {
	e, err := a.options.Directory.Entry(name)
	if err != nil {
		if fail := web.Control(err); fail.Code != api.UnknownObject {
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

// announcement reads and checks the body of an announcement.
func (a *Adapter) announcement(body []byte) (control.RunnerReport, *api.Error) {
	var b api.Announcement
	if fail := web.Decode(body, &b); fail != nil {
		return control.RunnerReport{}, fail
	}
	now := a.options.Now()
	if b.Deadline.IsZero() {
		b.Deadline = now.Add(AnnounceTime)
	}
	bad := func(format string, arguments ...any) (control.RunnerReport, *api.Error) {
		return control.RunnerReport{}, web.Refuse(api.Malformed, format, arguments...)
	}
	switch {
	case b.Entry == "":
		return bad("field \"entry\" is missing")
	case !b.Address.IsValid() || b.Address.Port() == 0 || b.Address.Addr().IsUnspecified():
		return bad("field \"address\" must be an IP address with a port")
	case b.Zone == "":
		return bad("field \"zone\" is missing")
	case b.Boot == 0:
		return bad("field \"boot\" must be a random number other than 0")
	case b.Slots < 1 || b.Slots > maximumSlots:
		return bad("field \"slots\" must be 1 to %d", maximumSlots)
	case b.Connections < 1 || b.Connections > maximumSlots:
		return bad("field \"connections\" must be 1 to %d", maximumSlots)
	case b.Busy < 0:
		return bad("field \"busy\" must not be negative")
	case !b.Deadline.After(now):
		return bad("field \"deadline\" is in the past")
	}
	if latest := now.Add(AnnounceMaximum); b.Deadline.After(latest) {
		b.Deadline = latest
	}
	return control.RunnerReport{
		Runner: control.RunnerID{Entry: b.Entry}, Address: b.Address, Zone: b.Zone, Boot: b.Boot,
		Slots: b.Slots, Connections: b.Connections, Busy: b.Busy, Deadline: b.Deadline,
	}, nil
}

func leave(body []byte) (control.RunnerReport, *api.Error) {
	var b api.Leave
	if fail := web.Decode(body, &b); fail != nil {
		return control.RunnerReport{}, fail
	}
	if b.Entry == "" || b.Boot == 0 {
		return control.RunnerReport{}, web.Refuse(api.Malformed, "fields \"entry\" and \"boot\" are needed")
	}
	return control.RunnerReport{Runner: control.RunnerID{Entry: b.Entry}, Boot: b.Boot, Leaving: true}, nil
}

// report hands a checked report to the pool and the leader and answers.
func (a *Adapter) report(ctx *fasthttp.RequestCtx, report control.RunnerReport) {
	id := event.RequestAnnounced
	if report.Leaving {
		id = event.RequestLeft
		a.options.Pool.Left(report.Runner)
	} else {
		a.options.Pool.Announced(report)
	}
	call, cancel := context.WithTimeout(context.Background(), reportTime)
	defer cancel()
	if err := a.options.Link.Report(call, report); err != nil {
		fail := web.Control(err)
		fail.Ran = api.RanUnknown // the leader may have it without having answered
		web.Fail(ctx, fail)
		return
	}
	a.options.Log.Emit(id, zap.String("entry", report.Runner.Entry), zap.String("runner", report.Runner.Name),
		zap.Stringer("address", report.Address), zap.Int64("busy", report.Busy))
	web.JSON(ctx, fasthttp.StatusOK, api.Accepted{Deadline: report.Deadline})
}
