package upstream

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// fake implements the directory, link and pool of the Adapter under test.
type fake struct {
	control.Directory
	reports   []control.RunnerReport
	announced int
	left      int
	err       error
}

func (f *fake) Key(secret string) (work.Key, error) {
	switch secret {
	case "good":
		return work.Key{Team: "t", Role: work.UpstreamRole}, nil
	case "caller":
		return work.Key{Team: "t", Role: work.CallerRole}, nil
	}
	return work.Key{}, control.ErrNotFound
}

func (f *fake) Entry(name string) (work.Entry, error) {
	switch name {
	case "e":
		return work.Entry{Name: name, Owner: "t", Class: work.Service}, nil
	case "open":
		return work.Entry{Name: name, Owner: "other", Open: true, Class: work.Service}, nil
	case "batch":
		return work.Entry{Name: name, Owner: "t", Class: work.Batch}, nil
	}
	return work.Entry{}, control.ErrNotFound
}

func (f *fake) Report(_ context.Context, r control.RunnerReport) error {
	f.reports = append(f.reports, r)
	return f.err
}
func (f *fake) Announced(control.RunnerReport) { f.announced++ }
func (f *fake) Left(control.RunnerID)          { f.left++ }

var now = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func call(f *fake, path, body, secret string) *fasthttp.RequestCtx {
	a := New(Options{Directory: f, Link: f, Pool: f, Now: func() time.Time { return now }})
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod("POST")
	ctx.Request.SetRequestURI(path)
	ctx.Request.Header.Set("Authorization", "Bearer "+secret)
	ctx.Request.SetBodyString(body)
	a.Handler(&ctx)
	return &ctx
}

const (
	announceBody = `{"entry":"e","address":"10.0.0.1:80","zone":"z","boot":7,"slots":8,"connections":64,"busy":1,"deadline":"2030-01-01T00:01:00Z"}`
	announcePath = "/v1/runners/r/announce"
)

// Guards against accepting announcements of another team's runners, or with
// invalid values.
func TestRefusals(t *testing.T) {
	change := func(old, new string) string { return strings.Replace(announceBody, old, new, 1) }
	for name, c := range map[string]struct {
		path, body, secret string
		code               api.Code
	}{
		"no key":       {announcePath, announceBody, "", api.Unauthorized},
		"role":         {announcePath, announceBody, "caller", api.Forbidden},
		"other team's": {announcePath, change(`"e"`, `"open"`), "good", api.Forbidden},
		"no service":   {announcePath, change(`"e"`, `"batch"`), "good", api.Malformed},
		"unknown":      {announcePath, change(`"e"`, `"x"`), "good", api.UnknownEntry},
		"address":      {announcePath, change("10.0.0.1:80", "0.0.0.0:80"), "good", api.Malformed},
		"no slots":     {announcePath, change(`"slots":8`, `"slots":0`), "good", api.Malformed},
		"many slots":   {announcePath, change(`"slots":8`, `"slots":99999`), "good", api.Malformed},
		"busy":         {announcePath, change(`"busy":1`, `"busy":-1`), "good", api.Malformed},
		"boot":         {announcePath, change(`"boot":7`, `"boot":0`), "good", api.Malformed},
		"past":         {announcePath, change("2030-", "2029-"), "good", api.Malformed},
		"field":        {announcePath, change("zone", "Zonen"), "good", api.Malformed},
		"name":         {"/v1/runners/R!/announce", announceBody, "good", api.Malformed},
		"route":        {"/v1/runners/r/dance", announceBody, "good", api.UnknownRoute},
		"large":        {announcePath, strings.Repeat(" ", maxBodyBytes+1), "good", api.TooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := &fake{}
			var e api.Error
			is.NoErr(json.Unmarshal(call(f, c.path, c.body, c.secret).Response.Body(), &e))
			is.Equal(e.Code, c.code)
			is.Equal(e.Ran, api.RanNo)
			is.Equal(len(f.reports)+f.announced, 0)
		})
	}
}

// Guards against an announcement that is valid for longer than the maximum, and
// against a leave request that takes effect here only after the leader has
// answered.
func TestReports(t *testing.T) {
	is := is.New(t)
	f := &fake{}
	ctx := call(f, announcePath, announceBody, "good")
	is.Equal(ctx.Response.StatusCode(), 200)
	is.Equal(f.reports[0].Runner, control.RunnerID{Entry: "e", Name: "r"})
	is.Equal(f.reports[0].Team, "t")
	is.True(f.reports[0].Deadline.Equal(now.Add(MaxAnnounceTime)))
	f.err = control.ErrNoLeader
	ctx = call(f, "/v1/runners/r/leave", `{"entry":"e","boot":7}`, "good")
	var e api.Error
	is.NoErr(json.Unmarshal(ctx.Response.Body(), &e))
	is.Equal(e.Code, api.NoLeader) // tells the runner to try again
	is.Equal(e.Ran, api.RanUnknown)
	is.Equal(f.left, 1)
	is.True(f.reports[1].Leaving)
}

// FuzzAnnouncement guards against a body that crashes the adapter or passes
// invalid values.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(announceBody))
	f.Add([]byte(`{"entry":"e","boot":7}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		a := New(Options{Now: func() time.Time { return now }})
		r, fail := a.parseAnnouncement(body)
		if fail == nil && (r.Slots < 1 || r.Connections < 1 || r.Busy < 0 || !r.Deadline.After(now) || !r.Address.IsValid()) {
			t.Fatalf("%+v", r)
		}
		_, _ = parseLeave(body)
	})
}
