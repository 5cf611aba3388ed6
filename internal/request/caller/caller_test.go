package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/upstream"
	"github.com/rosemaryloft/rosemaryloft/internal/request/route"
	"github.com/rosemaryloft/rosemaryloft/internal/request/web"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// fake implements the router, directory and leader of the Adapter under test.
type fake struct {
	control.Directory
	keyErr   error
	limit    int64
	routed   *route.Request
	answer   *upstream.Answer
	fail     *api.Error
	commands []state.Command
	result   state.Result
	err      error
	jobs     []work.Job
	delay    time.Duration
}

func (f *fake) Key(secret string) (work.Key, error) {
	switch secret {
	case "good":
		return work.Key{Team: "t", Role: work.CallerRole}, f.keyErr
	case "worker":
		return work.Key{Team: "t", Role: work.WorkerRole}, f.keyErr
	}
	return work.Key{}, control.ErrNotFound
}

func (f *fake) Entry(name string) (work.Entry, error) {
	if name != "e" {
		return work.Entry{}, control.ErrNotFound
	}
	return work.Entry{Name: "e", Class: work.Batch}, nil
}

func (f *fake) Admit(key work.Key, entry string) (*route.Admission, *api.Error) {
	if entry != "e" {
		return nil, web.Refuse(api.UnknownEntry, "unknown")
	}
	return &route.Admission{Key: key, Entry: work.Entry{Name: entry, Body: f.limit}}, nil
}

func (f *fake) Do(_ *route.Admission, r *route.Request) (*upstream.Answer, *api.Error) {
	if f.delay > 0 { // lets requests overlap
		time.Sleep(f.delay)
		return f.answer, f.fail
	}
	f.routed = r
	return f.answer, f.fail
}

func (f *fake) Propose(_ context.Context, c state.Command) (state.Result, error) {
	f.commands = append(f.commands, c)
	return f.result, f.err
}

func (f *fake) Query(_ context.Context, q control.Query) (control.Answer, error) {
	return control.Answer{Found: len(f.jobs) > 0, Jobs: f.jobs}, f.err
}

func (f *fake) adapter() *Adapter {
	return New(Options{Router: f, Directory: f, Leader: f, Requests: 4, Bytes: 1000})
}

// call sends one request. It uses the key "good" unless head sets another.
func call(a *Adapter, method, target, body string, head ...string) *fasthttp.RequestCtx {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(target)
	ctx.Request.Header.Set("Authorization", "Bearer good")
	for i := 0; i+1 < len(head); i += 2 {
		ctx.Request.Header.Set(head[i], head[i+1])
	}
	ctx.Request.SetBodyString(body)
	a.Handler(&ctx)
	return &ctx
}

func decodeError(ctx *fasthttp.RequestCtx) (e api.Error) {
	_ = json.Unmarshal(ctx.Response.Body(), &e)
	e.Status = ctx.Response.StatusCode()
	return e
}

const submissionBody = `{"entry":"e","tasks":2,"size":{"cpu":100,"memory":5},"seconds":60,"command":"sleep 1s"}`

// Guards against a refusal with a wrong code, status or "ran".
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		method, target, body string
		head                 []string
		fake                 fake
		code                 api.Code
		status               int
		ran                  api.Ran
	}{
		"no key":         {method: "GET", target: "/v1/services/e/x", head: []string{"Authorization", ""}, code: api.Unauthorized, status: 401},
		"wrong key":      {method: "GET", target: "/v1/services/e/x", head: []string{"Authorization", "Bearer bad"}, code: api.Unauthorized, status: 401},
		"wrong role":     {method: "GET", target: "/v1/services/e/x", head: []string{"Authorization", "Bearer worker"}, code: api.Forbidden, status: 403},
		"stale":          {method: "GET", target: "/v1/services/e/x", fake: fake{keyErr: control.ErrStale}, code: api.Stale, status: 503},
		"unknown entry":  {method: "GET", target: "/v1/services/other/x", code: api.UnknownEntry, status: 404},
		"bad entry":      {method: "GET", target: "/v1/services/E!/x", code: api.Malformed, status: 400},
		"leaves service": {method: "GET", target: "/v1/services/e/../../keys", code: api.Malformed, status: 400},
		"hidden dots":    {method: "GET", target: "/v1/services/e/%2e%2e/f", code: api.Malformed, status: 400},
		"bad deadline":   {method: "GET", target: "/v1/services/e/x", head: []string{"Request-Timeout", "x"}, code: api.Malformed, status: 400},
		"bad identity":   {method: "GET", target: "/v1/services/e/x", head: []string{"Idempotency-Key", "a b"}, code: api.Malformed, status: 400},
		"too large":      {method: "POST", target: "/v1/services/e/x", body: "12345", fake: fake{limit: 4}, code: api.TooLarge, status: 413},
		"too many bytes": {method: "POST", target: "/v1/services/e/x", body: strings.Repeat("x", 1001), code: api.Overloaded, status: 503},
		"router":         {method: "GET", target: "/v1/services/e/x", fake: fake{fail: web.OutcomeUnknown(api.BadAnswer, "x")}, code: api.BadAnswer, status: 502, ran: api.RanUnknown},
		"no route":       {method: "GET", target: "/v1/other", code: api.UnknownRoute, status: 404},
		"job method":     {method: "PUT", target: "/v1/jobs", code: api.UnknownRoute, status: 404},
		"job number":     {method: "GET", target: "/v1/jobs/x", code: api.UnknownJob, status: 404},
		"job unknown":    {method: "GET", target: "/v1/jobs/7", code: api.UnknownJob, status: 404},
		"other team's":   {method: "GET", target: "/v1/jobs/7", fake: fake{jobs: []work.Job{{ID: 7, Team: "other"}}}, code: api.UnknownJob, status: 404},
		"job no leader":  {method: "GET", target: "/v1/jobs/7", fake: fake{err: control.ErrNoLeader}, code: api.NoLeader, status: 503},
		"job role":       {method: "POST", target: "/v1/jobs", body: submissionBody, head: []string{"Authorization", "Bearer worker"}, code: api.Forbidden, status: 403},
		"job field":      {method: "POST", target: "/v1/jobs", body: `{"entri":"e"}`, code: api.Malformed, status: 400},
		"job tasks":      {method: "POST", target: "/v1/jobs", body: strings.Replace(submissionBody, `"tasks":2`, `"tasks":0`, 1), code: api.Malformed, status: 400},
		"job size":       {method: "POST", target: "/v1/jobs", body: strings.Replace(submissionBody, "100", "-100", 1), code: api.Malformed, status: 400},
		"job overflow":   {method: "POST", target: "/v1/jobs", body: strings.Replace(submissionBody, "100", "9223372036854775807", 1), code: api.Malformed, status: 400},
		"job seconds":    {method: "POST", target: "/v1/jobs", body: strings.Replace(submissionBody, "60", "9223372036854775807", 1), code: api.Malformed, status: 400},
		"job entry":      {method: "POST", target: "/v1/jobs", body: strings.Replace(submissionBody, `"e"`, `"f"`, 1), code: api.UnknownEntry, status: 404},
		"job team":       {method: "POST", target: "/v1/jobs", body: submissionBody, fake: fake{result: state.Result{Code: state.Denied}}, code: api.Forbidden, status: 403},
		"job infeasible": {method: "POST", target: "/v1/jobs", body: submissionBody, fake: fake{result: state.Result{Code: state.Infeasible}}, code: api.Infeasible, status: 422},
		"job mismatch":   {method: "POST", target: "/v1/jobs", body: submissionBody, fake: fake{result: state.Result{Code: state.Mismatch}}, code: api.Mismatch, status: 409},
		"job unknown outcome": {method: "POST", target: "/v1/jobs", body: submissionBody, fake: fake{err: control.ErrUnknown},
			code: api.Timeout, status: 504, ran: api.RanUnknown},
		"cancel unknown": {method: "DELETE", target: "/v1/jobs/7", fake: fake{result: state.Result{Code: state.NotFound}}, code: api.UnknownJob, status: 404},
		"cancelled, lost": {method: "DELETE", target: "/v1/jobs/7", fake: fake{result: state.Result{Code: state.OK}},
			code: api.UnknownJob, status: 404, ran: api.RanYes},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			if c.ran == "" {
				c.ran = api.RanNo
			}
			a := c.fake.adapter()
			e := decodeError(call(a, c.method, c.target, c.body, c.head...))
			is.Equal(e.Code, c.code)
			is.Equal(e.Status, c.status)
			is.Equal(e.Ran, c.ran)
			is.Equal(a.requests.Load(), int64(0)) // all counters are back to zero
			is.Equal(a.bytes.Load(), int64(0))
		})
	}
}

// Guards against a request that is changed on its way to the runner or carries
// the caller's secret, and against an answer that is changed on its way back.
func TestService(t *testing.T) {
	is := is.New(t)
	f := &fake{answer: &upstream.Answer{Status: 404, Header: [][2]string{{"X-Own", "1"}, {"X-Own", "2"}}, Body: []byte("gone")}}
	ctx := call(f.adapter(), "PATCH", "/v1/services/e//a%2Fb/?q=%20&r", "body",
		"Idempotency-Key", "k", "Request-Timeout", "2", "X-Request-Id", "forged", "Connection", "close, X-Hop", "X-Hop", "1", "Accept", "a/b")
	is.Equal(f.routed.Method, "PATCH")
	is.Equal(f.routed.Path, "//a%2Fb/")
	is.Equal(f.routed.Query, "q=%20&r")
	is.Equal(string(f.routed.Body), "body")
	is.Equal(f.routed.Identity, "k")
	is.True(time.Until(f.routed.Deadline) > time.Second && time.Until(f.routed.Deadline) <= 2*time.Second)
	names := map[string]string{}
	for _, h := range f.routed.Header {
		names[h[0]] = h[1]
	}
	is.Equal(names["Accept"], "a/b")
	is.Equal(names["Idempotency-Key"], "k")
	for _, name := range []string{"Authorization", "X-Request-Id", "Request-Timeout", "Connection", "X-Hop", "Host", "Content-Length"} {
		_, ok := names[name]
		is.True(!ok) // not passed on
	} // not passed to the runner
	is.Equal(ctx.Response.StatusCode(), 404) // the runner's status, not an api.Error
	is.Equal(string(ctx.Response.Body()), "gone")
	is.Equal(len(ctx.Response.Header.PeekAll("X-Own")), 2)
}

// Guards against an answer to HEAD without the Content-Length of the answer to GET.
func TestHead(t *testing.T) {
	is := is.New(t)
	f := &fake{answer: &upstream.Answer{Status: 200, Header: [][2]string{{"Content-Length", "77"}}}}
	ctx := call(f.adapter(), "HEAD", "/v1/services/e/x", "")
	var b bytes.Buffer
	_, err := ctx.Response.WriteTo(&b)
	is.NoErr(err)
	is.True(strings.Contains(b.String(), "Content-Length: 77\r\n"))
	is.True(strings.HasSuffix(b.String(), "\r\n\r\n")) // no body
}

// Guards against reading a streamed body past its limit.
func TestStream(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{-1, 600} {
		f := &fake{limit: 100, answer: &upstream.Answer{Status: 200}}
		var ctx fasthttp.RequestCtx
		ctx.Request.SetRequestURI("/v1/services/e/x")
		ctx.Request.Header.SetMethod("POST")
		ctx.Request.Header.Set("Authorization", "Bearer good")
		body := bytes.NewReader(make([]byte, 600))
		ctx.Request.SetBodyStream(body, size)
		f.adapter().Handler(&ctx)
		is.Equal(decodeError(&ctx).Code, api.TooLarge)
		is.True(body.Len() > 0 || size < 0)     // not read if its length is known to be too large
		is.True(ctx.Response.ConnectionClose()) // the rest of the body is not skipped
		is.Equal(f.routed, nil)
	}
}

// Guards against more concurrent requests than the limit.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fake{answer: &upstream.Answer{Status: 200}, delay: time.Second}
		a := f.adapter()
		codes := make(chan int, 9)
		for range 9 {
			go func() { codes <- call(a, "GET", "/v1/services/e/x", "").Response.StatusCode() }()
		}
		counts := map[int]int{}
		for range 9 {
			counts[<-codes]++
		}
		is.Equal(counts, map[int]int{200: 4, 503: 5})
	})
}

// Guards against a submission that is charged to another team, loses its
// declared run time, or is not recognized when it is retried.
func TestSubmit(t *testing.T) {
	is := is.New(t)
	f := &fake{result: state.Result{Code: state.OK, Job: 7}}
	ctx := call(f.adapter(), "POST", "/v1/jobs", submissionBody, "Idempotency-Key", "k")
	is.Equal(ctx.Response.StatusCode(), 201)
	var j api.Job
	is.NoErr(json.Unmarshal(ctx.Response.Body(), &j))
	is.Equal(j.ID, uint64(7))
	is.Equal(j.Class, "batch")
	is.Equal(len(j.Tasks), 2)
	c := f.commands[0]
	is.Equal(c.Request, "k")
	is.Equal(c.Submit.Job.Team, "t")
	is.Equal(c.Submit.Count, uint32(2))
	is.Equal(c.Submit.Job.Finish.Sub(c.Submit.Job.Submitted), time.Minute)
	call(f.adapter(), "POST", "/v1/jobs", submissionBody)
	is.True(f.commands[1].Request != "") // can safely be retried with another leader
	f.jobs = []work.Job{{ID: 7, Team: "t", State: work.JobQueued}, {ID: 8, Team: "t", State: work.JobFailed}, {ID: 9, Team: "other"}}
	var list []api.Job
	is.NoErr(json.Unmarshal(call(f.adapter(), "GET", "/v1/jobs?state=failed", "").Response.Body(), &list))
	is.Equal(len(list), 1)
	is.Equal(list[0].ID, uint64(8))
	is.Equal(call(f.adapter(), "DELETE", "/v1/jobs/7", "").Response.StatusCode(), 200)
	is.Equal(*f.commands[2].Cancel, state.Cancel{Team: "t", Jobs: []work.JobID{7}})
}

// FuzzSubmission guards against a body that crashes the adapter or leads to a
// command with invalid values.
func FuzzSubmission(f *testing.F) {
	f.Add([]byte(submissionBody))
	f.Add([]byte(`{"entry":"e","tasks":1,"size":{}}`))
	f.Add([]byte(`{"entry":"e","tasks":4294967295,"size":{"cpu":1e30}}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		s, fail := parseSubmission(body)
		if fail != nil {
			if fail.Code != api.Malformed || fail.Ran != api.RanNo {
				t.Fatal(fail)
			}
			return
		}
		c := s.command("t", "k", time.Unix(0, 0))
		total := c.Submit.Job.Size.Times(int64(c.Submit.Count))
		if !total.Valid() || c.Submit.Count == 0 || c.Submit.Job.Finish.Before(time.Time{}) {
			t.Fatalf("%+v", c.Submit)
		}
	})
}
