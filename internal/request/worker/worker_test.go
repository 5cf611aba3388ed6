package worker

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// fake implements the directory and link of the Adapter under test.
type fake struct {
	control.Directory
	renewals atomic.Int64
}

func (f *fake) Key(secret string) (work.Key, error) {
	switch secret {
	case "pool":
		return work.Key{Role: work.WorkerRole}, nil
	case "team":
		return work.Key{Team: "t", Role: work.WorkerRole}, nil
	case "caller":
		return work.Key{Team: "t", Role: work.CallerRole}, nil
	}
	return work.Key{}, control.ErrNotFound
}

func (f *fake) RequestRenewal() { f.renewals.Add(1) }

const pollBody = `{"boot":7,"sequence":1,"address":"10.0.0.1:1","zone":"z","rack":"r","capacity":{"cpu":1000,"memory":5},
"running":[{"job":3,"index":1,"token":9,"used":{"cpu":1,"memory":2},"at":"2030-01-01T00:00:00Z"}],
"ended":[{"job":4,"index":0,"token":8,"outcome":"failed"}]}`

func newAdapter() (*Adapter, *fake) {
	a, f := New(Options{Polls: 2}), &fake{}
	a.Start(f, f)
	return a, f
}

func call(a *Adapter, path, body, secret string) (status int, answer []byte) {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod("POST")
	ctx.Request.SetRequestURI(path)
	ctx.Request.Header.Set("Authorization", "Bearer "+secret)
	ctx.Request.SetBodyString(body)
	a.Handler(&ctx)
	return ctx.Response.StatusCode(), ctx.Response.Body()
}

// Guards against invalid or unauthorized polls that reach the leader.
func TestRefusals(t *testing.T) {
	change := func(old, new string) string { return strings.Replace(pollBody, old, new, 1) }
	for name, c := range map[string]struct {
		path, body, secret string
		code               api.Code
	}{
		"no key":   {"/v1/workers/w/poll", pollBody, "", api.Unauthorized},
		"role":     {"/v1/workers/w/poll", pollBody, "caller", api.Forbidden},
		"route":    {"/v1/workers/w/drain", pollBody, "pool", api.UnknownRoute},
		"name":     {"/v1/workers/W/poll", pollBody, "pool", api.Malformed},
		"boot":     {"/v1/workers/w/poll", change(`"boot":7`, `"boot":0`), "pool", api.Malformed},
		"sequence": {"/v1/workers/w/poll", change(`"sequence":1`, `"sequence":0`), "pool", api.Malformed},
		"capacity": {"/v1/workers/w/poll", change(`"cpu":1000`, `"cpu":-1`), "pool", api.Malformed},
		"used":     {"/v1/workers/w/poll", change(`"cpu":1,`, `"cpu":-1,`), "pool", api.Malformed},
		"outcome":  {"/v1/workers/w/poll", change("failed", "lost"), "pool", api.Malformed},
		"field":    {"/v1/workers/w/poll", change("rack", "rak"), "pool", api.Malformed},
		"large":    {"/v1/workers/w/poll", strings.Repeat(" ", maxBodyBytes+1), "pool", api.TooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, f := newAdapter()
			_, body := call(a, c.path, c.body, c.secret)
			var e api.Error
			is.NoErr(json.Unmarshal(body, &e))
			is.Equal(e.Code, c.code)
			is.Equal(f.renewals.Load(), int64(0))
		})
	}
}

// Guards against a lease that is renewed without the leader's acknowledgement,
// and against a poll that gets the orders of another boot.
func TestPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, f := newAdapter()
		go func() {
			time.Sleep(10 * time.Millisecond)
			reports := a.Reports(nil)
			is.Equal(len(reports), 1)
			is.Equal(reports[0].Worker.Team, "t")
			is.Equal(reports[0].Ended[0], work.End{Task: work.TaskID{Job: 4}, Token: 8, Outcome: work.OutcomeFailed})
			a.Deliver([]control.WorkerOrders{{Worker: "w", Boot: 6, Acknowledged: 9}, {Worker: "x", Boot: 7}, {Worker: "w", Boot: 7}})
			time.Sleep(time.Second)
			a.Deliver([]control.WorkerOrders{{
				Worker: "w", Boot: 7, Acknowledged: 1, Starts: []control.StartOrder{{Task: work.TaskID{Job: 5}, Token: 11, Command: []byte("c")}},
				Stops: []work.Stop{{Task: work.TaskID{Job: 3, Index: 1}, Token: 9, Mode: work.StopKill}},
				Ended: []work.End{{Task: work.TaskID{Job: 4}, Token: 8, Outcome: work.OutcomeFailed}},
			}})
		}()
		begin := time.Now()
		status, body := call(a, "/v1/workers/w/poll", pollBody, "team")
		is.Equal(time.Since(begin), 1010*time.Millisecond) // earlier deliveries did not match the poll
		is.Equal(status, 200)
		var o api.Orders
		is.NoErr(json.Unmarshal(body, &o))
		is.Equal(o.Lease, int64(15000))
		is.Equal(o.Starts[0].Token, uint64(11))
		is.Equal(o.Stops[0].Mode, "stop")
		is.Equal(o.Ended[0].Job, uint64(4))
		is.Equal(f.renewals.Load(), int64(1))
		is.Equal(len(a.Reports(nil)), 0)
		go func() {
			time.Sleep(10 * time.Millisecond)
			a.Deliver([]control.WorkerOrders{{Worker: "w", Boot: 7, Stops: []work.Stop{{Token: 9}}}})
		}()
		_, body = call(a, "/v1/workers/w/poll", pollBody, "team")
		o = api.Orders{}
		is.NoErr(json.Unmarshal(body, &o))
		is.Equal(o.Lease, int64(0)) // orders without an acknowledgement
		go func() {
			time.Sleep(10 * time.Millisecond)
			is.Equal(a.Reports(nil)[0].Echo, uint64(4))
			a.Deliver([]control.WorkerOrders{{Worker: "w", Boot: 7, Rejoin: true, Challenge: 5}})
		}()
		_, body = call(a, "/v1/workers/w/poll", strings.Replace(pollBody, `"boot":7`, `"boot":7,"echo":4`, 1), "team")
		o = api.Orders{}
		is.NoErr(json.Unmarshal(body, &o))
		is.Equal(o, api.Orders{Sequence: 1, Challenge: 5})
	})
}

// Guards against a poll that is held too long, against a poll that is displaced
// by an earlier poll of the same worker, and against more held polls than the
// limit.
func TestHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, _ := newAdapter()
		begin := time.Now()
		done := make(chan time.Duration, 2)
		go func() {
			status, _ := call(a, "/v1/workers/w/poll", pollBody, "pool")
			is.Equal(status, 503)
			done <- time.Since(begin)
		}()
		time.Sleep(time.Second)
		go func() {
			status, body := call(a, "/v1/workers/w/poll", strings.Replace(pollBody, `"sequence":1`, `"sequence":2`, 1), "pool")
			is.Equal(status, 503)
			var e api.Error
			is.NoErr(json.Unmarshal(body, &e))
			is.Equal(e.Ran, api.RanUnknown)
			done <- time.Since(begin)
		}()
		is.Equal(<-done, time.Second) // replaced by the later poll
		time.Sleep(time.Millisecond)
		status, _ := call(a, "/v1/workers/w/poll", pollBody, "pool")
		is.Equal(status, 409) // an earlier poll is refused
		is.Equal(<-done, time.Second+HoldTime)
		is.Equal(len(a.Reports(nil)), 0)
		for i := range 2 {
			go call(a, fmt.Sprint("/v1/workers/w", i, "/poll"), pollBody, "pool")
		}
		time.Sleep(time.Millisecond)
		status, _ = call(a, "/v1/workers/w9/poll", pollBody, "pool")
		is.Equal(status, 503)
		time.Sleep(HoldTime)
	})
}

// Guards against a start that is delayed until the worker's next poll, against a
// lease that is lost because its acknowledgement came before the orders, and
// against polls that are reported again with each renewal.
func TestHeldAfterAcknowledgement(t *testing.T) {
	for name, ordered := range map[string]bool{"start": true, "no orders": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a, _ := newAdapter()
				begin := time.Now()
				done := make(chan api.Orders, 1)
				go func() {
					status, body := call(a, "/v1/workers/w/poll", pollBody, "pool")
					is.Equal(status, 200)
					var o api.Orders
					is.NoErr(json.Unmarshal(body, &o))
					done <- o
				}()
				synctest.Wait()
				is.Equal(len(a.Reports(nil)), 1)
				boot := a.Reports(nil)[0].Worker.Boot
				a.Deliver([]control.WorkerOrders{{Worker: "w", Boot: boot, Acknowledged: 1}})
				is.Equal(len(a.Reports(nil)), 0)
				time.Sleep(time.Second)
				if ordered {
					a.Deliver([]control.WorkerOrders{{Worker: "w", Boot: boot, Starts: []control.StartOrder{{Token: 7}}}})
				}
				o := <-done
				is.True(o.Lease > 0)
				is.Equal(len(o.Starts) == 1, ordered)
				if ordered {
					is.Equal(time.Since(begin), time.Second)
				} else {
					is.Equal(time.Since(begin), HoldTime)
				}
			})
		})
	}
}

// FuzzPoll guards against a body that crashes the adapter or passes invalid
// values.
func FuzzPoll(f *testing.F) {
	f.Add([]byte(pollBody))
	f.Add([]byte(`{"boot":1,"sequence":1,"running":null}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, fail := parsePoll("w", work.Key{}, body)
		if fail == nil && (r.Worker.Boot == 0 || r.Sequence == 0 || !r.Worker.Capacity.Valid()) {
			t.Fatalf("%+v", r)
		}
	})
}

// Guards against a start that an entry VM delivers after a pause, to a poll that the worker sent
// after its lease had ended and the task had started elsewhere.
func TestLateStartIsNotDeliveredToALaterPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, _ := newAdapter()
		go func() {
			time.Sleep(10 * time.Millisecond)
			starts := []control.StartOrder{{Task: work.TaskID{Job: 5}, Token: 11}}
			a.Deliver([]control.WorkerOrders{{Worker: "w", Boot: 7, Acknowledged: 1, Starts: starts}})
			time.Sleep(time.Second)
			a.Deliver([]control.WorkerOrders{{Worker: "w", Boot: 7, Acknowledged: 1, Starts: starts, Stops: []work.Stop{{Token: 9}}}})
		}()
		begin := time.Now()
		_, body := call(a, "/v1/workers/w/poll", strings.Replace(pollBody, `"sequence":1`, `"sequence":2`, 1), "pool")
		var o api.Orders
		is.NoErr(json.Unmarshal(body, &o))
		is.Equal(time.Since(begin), 1010*time.Millisecond)
		is.Equal(len(o.Starts), 0)
		is.Equal(len(o.Stops), 1)
	})
}

// Guards against a leave that is answered by orders which were under way, so that the worker ends
// before the leader has the ends of its tasks.
func TestLeaveIsAnsweredOnceTheLeaderHasIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, _ := newAdapter()
		go func() {
			time.Sleep(10 * time.Millisecond)
			stops := []work.Stop{{Task: work.TaskID{Job: 3, Index: 1}, Token: 9, Mode: work.StopKill}}
			a.Deliver([]control.WorkerOrders{{Worker: "w", Boot: 7, Stops: stops}})
			time.Sleep(time.Second)
			is.Equal(len(a.Reports(nil)), 1)
			a.Deliver([]control.WorkerOrders{{Worker: "w", Boot: 7, Acknowledged: 1, Stops: stops}})
		}()
		begin := time.Now()
		status, _ := call(a, "/v1/workers/w/leave", pollBody, "pool")
		is.Equal(status, 200)
		is.Equal(time.Since(begin), 1010*time.Millisecond)
	})
}

// Guards against a start that waits for the next poll of its worker because the grant that carried
// it was lost, or because the leader that knew where the poll is held is gone.
func TestHeldPollsAreRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, _ := newAdapter()
		go call(a, "/v1/workers/w/poll", pollBody, "pool")
		synctest.Wait()
		a.Deliver([]control.WorkerOrders{{Worker: "w", Boot: 7, Acknowledged: 1}})
		is.Equal(len(a.Reports(nil)), 0)
		a.Repeat()
		is.Equal(len(a.Reports(nil)), 1)
		is.Equal(len(a.Reports(nil)), 0)
		time.Sleep(HoldTime)
	})
}
