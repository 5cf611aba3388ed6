package web

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// directory knows one key. If err is set, it fails with err.
type directory struct {
	control.Directory
	err error
}

func (d directory) Key(secret string) (work.Key, error) {
	if d.err != nil {
		return work.Key{}, d.err
	}
	if secret != "good" {
		return work.Key{}, control.ErrNotFound
	}
	return work.Key{Name: "k", Team: "t", Role: work.CallerRole}, nil
}

// Guards against bodies whose misspelt fields are silently ignored.
func TestDecodeStrict(t *testing.T) {
	for body, want := range map[string]string{
		`{"entry":"e","taks":4}`:     `unknown field "taks"`,
		`{"entry":"e"} {}`:           "goes on after",
		`{"entry":"e"`:               "cut short",
		``:                           "empty",
		`{"entry":4}`:                `field "entry" cannot hold a JSON number`,
		`{"size":{"cpu":"2 cores"}}`: `field "size.cpu"`,
		`{"entry":}`:                 "at byte 10",
	} {
		t.Run(body, func(t *testing.T) {
			is := is.New(t)
			var s api.Submission
			e := Decode([]byte(body), &s)
			is.True(e != nil)
			is.Equal(e.Status, 400)
			is.Equal(e.Ran, api.RanNo)
			is.True(strings.Contains(e.Message, want)) // names the position
		})
	}
	is := is.New(t)
	var s api.Submission
	is.True(Decode([]byte(` {"entry":"e","tasks":4} `+"\n"), &s) == nil)
	is.Equal(s.Tasks, uint32(4))
}

// Guards against accepting a key that lacks the role, or any key while the view
// of the catalogue is stale.
func TestAuthorize(t *testing.T) {
	for _, c := range []struct {
		header string
		err    error
		role   work.Role
		code   api.Code
	}{
		{"", nil, work.CallerRole, api.Unauthorized},
		{"Basic good", nil, work.CallerRole, api.Unauthorized},
		{"Bearer bad", nil, work.CallerRole, api.Unauthorized},
		{"Bearer good", nil, work.OperatorRole, api.Forbidden},
		{"Bearer good", control.ErrStale, work.CallerRole, api.Stale},
		{"bearer good", nil, work.CallerRole, ""},
	} {
		is := is.New(t)
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.Set("Authorization", c.header)
		k, e := Authorize(&ctx, directory{err: c.err}, c.role)
		if c.code == "" {
			is.True(e == nil)
			is.Equal(k.Team, "t")
			continue
		}
		is.Equal(e.Code, c.code)
		is.Equal(e.Ran, api.RanNo)
	}
}

// Guards against a change with an unknown outcome that is reported as not run.
func TestControl(t *testing.T) {
	is := is.New(t)
	is.Equal(ControlError(control.ErrUnknown).Ran, api.RanUnknown)
	is.Equal(ControlError(control.ErrNoLeader).Ran, api.RanNo)
	is.Equal(ControlError(fasthttp.ErrTimeout).Ran, api.RanUnknown)
}

// Guards against deadlines that are unlimited, in the past or not numbers.
func TestDeadline(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	at := func(header string) (time.Time, *api.Error) {
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.Set(api.TimeoutHeader, header)
		return Deadline(&ctx, now, 30*time.Second)
	}
	d, e := at("0.25")
	is.True(e == nil)
	is.Equal(d, now.Add(250*time.Millisecond))
	d, e = at("")
	is.True(e == nil)
	is.Equal(d, now.Add(30*time.Second))
	for _, h := range []string{"0", "-1", "NaN", "1e9", "soon"} {
		_, e := at(h)
		is.True(e != nil) // refused
	}
}

// Guards against paths and names that resolve to another object than intended.
func TestPathsAndNames(t *testing.T) {
	is := is.New(t)
	is.Equal(Segments([]byte("/v1/jobs")), []string{"v1", "jobs"})
	is.True(Segments([]byte("/v1//jobs")) == nil)
	is.True(Segments([]byte("v1")) == nil)
	is.True(CheckName("counter-1") == nil)
	for _, n := range []string{"", "-a", "A", "a/b", "a b", strings.Repeat("a", 64)} {
		is.True(CheckName(n) != nil) // refused
	}
}
