package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

func TestMain(m *testing.M) {
	// fasthttp starts a goroutine for the Date header with the first response. If it
	// started inside a synctest bubble, the bubble would never end.
	var h fasthttp.ResponseHeader
	_ = h.String()
	os.Exit(m.Run())
}

// fakeEntries is a fake of the entry VMs.
type fakeEntries struct {
	mu       sync.Mutex
	listener *fasthttputil.InmemoryListener
	server   fasthttp.Server
	hosts    map[string]int
	paths    []string
	announce []api.Announcement
	polls    []api.Poll
	orders   func(p api.Poll) (api.Orders, bool)
	delay    time.Duration // delay of the responses
}

func newFakeEntries() *fakeEntries {
	e := &fakeEntries{listener: fasthttputil.NewInmemoryListener(), hosts: map[string]int{}}
	e.server.Handler = e.handle
	go func() { _ = e.server.Serve(e.listener) }()
	return e
}

func (e *fakeEntries) dial(string) (net.Conn, error) { return e.listener.Dial() }

func (e *fakeEntries) handle(ctx *fasthttp.RequestCtx) {
	time.Sleep(e.delay)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts[string(ctx.Host())]++
	e.paths = append(e.paths, string(ctx.Path()))
	switch path := string(ctx.Path()); {
	case strings.HasSuffix(path, "/announce"):
		var a api.Announcement
		_ = json.Unmarshal(ctx.PostBody(), &a)
		e.announce = append(e.announce, a)
		writeJSON(ctx, api.Accepted{Deadline: a.Deadline})
	case strings.HasPrefix(path, "/v1/workers/") && strings.HasSuffix(path, "/poll"):
		var p api.Poll
		_ = json.Unmarshal(ctx.PostBody(), &p)
		e.polls = append(e.polls, p)
		o, ok := e.orders(p)
		if !ok {
			ctx.SetStatusCode(503)
			writeJSON(ctx, api.Error{Code: api.NoLeader})
			return
		}
		o.Sequence = p.Sequence
		writeJSON(ctx, o)
	default:
		writeJSON(ctx, api.Accepted{})
	}
}

// last returns the latest poll.
func (e *fakeEntries) last() api.Poll {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.polls[len(e.polls)-1]
}

func (e *fakeEntries) close() {
	_ = e.server.Shutdown()
	time.Sleep(time.Minute) // until the clients' cleanup goroutines have ended
}

// Guards against a runner that runs more requests at once than it has slots, miscounts
// its runs, or exits with requests in flight.
func TestRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newFakeEntries()
		defer e.close()
		listener := fasthttputil.NewInmemoryListener()
		r, err := NewRunner(RunnerOptions{
			Name: "r", Entry: "e", Zone: "z", Entries: []string{"a:1", "b:1"}, Dial: e.dial, Listener: listener,
			Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 2, Connections: 8,
			Behaviour: Behaviour{Delay: time.Second},
		})
		is.NoErr(err)
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- r.Run(ctx) }()
		time.Sleep(5 * time.Second)
		client := &fasthttp.HostClient{Addr: "r:80", Dial: func(string) (net.Conn, error) { return listener.Dial() }}
		post := func(id string) (int, string, error) {
			var q fasthttp.Request
			var a fasthttp.Response
			q.SetRequestURI("http://r/")
			q.Header.SetMethod("POST")
			q.Header.Set(api.RequestHeader, id)
			q.SetBodyString("body of " + id)
			err := client.Do(&q, &a)
			return a.StatusCode(), string(a.Header.Peek(api.RequestHeader)) + ":" + string(a.Body()), err
		}
		var group sync.WaitGroup
		for i := range 3 {
			time.Sleep(time.Millisecond)
			group.Go(func() {
				status, answer, err := post(fmt.Sprint(i))
				is.NoErr(err)
				is.Equal(status == 200, i < 2) // the third request gets no slot
				if status == 200 {
					is.Equal(answer, fmt.Sprintf("%d:body of %d", i, i))
				}
			})
		}
		time.Sleep(time.Millisecond)
		is.Equal(r.Count().Busy, int64(2))
		stop() // while two requests are in flight
		group.Wait()
		client.CloseIdleConnections()
		is.NoErr(<-done)
		c := r.Count()
		is.Equal([]int64{c.Busy, c.Peak, c.Total, c.Exceeded}, []int64{0, 2, 2, 1})
		is.Equal(c.Requests, map[string]int{"0": 1, "1": 1})
		is.Equal(e.hosts["a:1"] > 0 && e.hosts["b:1"] > 0, true) // both entry VMs are used
		is.True(e.announce[0].Boot != 0)
		is.Equal(e.paths[len(e.paths)-1], "/v1/runners/r/leave")
	})
}

// Guards against a stand-in runner that does not inject the configured faults.
func TestBehaviour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		listener := fasthttputil.NewInmemoryListener()
		r, err := NewRunner(RunnerOptions{Listener: listener, Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 1})
		is.NoErr(err)
		go func() { _ = r.server.Serve(listener) }()
		client := &fasthttp.HostClient{
			Addr: "r:80", Dial: func(string) (net.Conn, error) { return listener.Dial() },
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		}
		for _, c := range []struct {
			behaviour Behaviour
			status    int
			fails     bool
			total     int64
		}{
			{Behaviour{Status: 500}, 500, false, 1},
			{Behaviour{Refuse: true}, 503, false, 1},
			{Behaviour{Break: BreakBefore}, 0, true, 2},
			{Behaviour{Break: BreakHalf}, 0, true, 3},
			{Behaviour{Wrong: true}, 200, false, 4},
			{Behaviour{Bytes: 100}, 200, false, 5},
		} {
			r.Behave(c.behaviour)
			var q fasthttp.Request
			var a fasthttp.Response
			q.SetRequestURI("http://r/")
			q.Header.Set(api.RequestHeader, "id")
			err := client.Do(&q, &a)
			is.Equal(err != nil, c.fails)
			if err == nil {
				is.Equal(a.StatusCode(), c.status)
			}
			is.Equal(string(a.Header.Peek(api.RequestHeader)) == "other-id", c.behaviour.Wrong)
			is.Equal(r.Count().Total, c.total)
			is.True(c.behaviour.Bytes == 0 || len(a.Body()) == c.behaviour.Bytes)
		}
		client.CloseIdleConnections()
		_ = r.server.Shutdown()
		time.Sleep(time.Minute)
	})
}

// grantLease answers every poll with a lease of 15 s.
func grantLease(api.Poll) (api.Orders, bool) { return api.Orders{Lease: 15000}, true }

// withWorker runs f while a worker is running.
func withWorker(t *testing.T, e *fakeEntries, f func(w *Worker)) {
	t.Helper()
	w := NewWorker(WorkerOptions{Name: "w", Zone: "z", Rack: "r", Entries: []string{"a:1"}, Dial: e.dial})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = w.Run(ctx) }()
	f(w)
	stop()
	<-done
	e.close()
}

// Guards against a worker that is asked to stop a run of which it got no start, reports no
// end and executes a start that arrives later.
func TestStopOfAnUnknownRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newFakeEntries()
		e.orders = func(api.Poll) (api.Orders, bool) {
			return api.Orders{Lease: 15000, Stops: []api.Stop{{Job: 1, Token: 5, Mode: "stop"}}, Starts: []api.Start{{Job: 1, Token: 5}}}, true
		}
		withWorker(t, e, func(w *Worker) {
			time.Sleep(5 * time.Second)
			is.Equal(w.Stats().Starts, 0)
			is.Equal(e.last().Ended, []api.Ended{{Job: 1, Token: 5, Outcome: "stopped"}})
		})
	})
}

// Guards against a worker that continues its tasks after its lease expired, carries out
// a start twice, or stops reporting an end before it is recorded.
func TestWorkerLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newFakeEntries()
		var mu sync.Mutex
		cut := false
		start := api.Start{Job: 1, Token: 5, Command: ""}
		e.orders = func(p api.Poll) (api.Orders, bool) {
			mu.Lock()
			defer mu.Unlock()
			return api.Orders{Lease: 15000, Starts: []api.Start{start}}, !cut
		}
		withWorker(t, e, func(w *Worker) {
			time.Sleep(5 * time.Second)
			is.Equal(w.Running(), 1)
			is.Equal(w.Stats().Starts, 1)
			is.True(w.Stats().Stale >= 2) // the same start was sent again
			is.Equal(e.last().Running[0].Token, uint64(5))
			mu.Lock()
			cut = true
			mu.Unlock()
			time.Sleep(13 * time.Second)
			is.Equal(w.Running(), 1)
			time.Sleep(2 * time.Second)
			is.Equal(w.Running(), 0) // within 15 s of the last answered poll
			is.Equal(w.Stats().Expired, 1)
			mu.Lock()
			cut = false
			mu.Unlock()
			time.Sleep(3 * time.Second)
			is.Equal(w.Running(), 0) // the old token is not started again
			is.Equal(e.last().Ended, []api.Ended{{Job: 1, Token: 5, Outcome: "stopped"}})
		})
	})
}

// Guards against a worker whose VM was suspended and whose tasks run on beside those
// that were started elsewhere since, because its timers and its steady clock stood still.
func TestSuspendedWorkerStopsItsTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var suspended atomic.Int64
		w := NewWorker(WorkerOptions{Name: "w", Now: func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }})
		w.nextPoll(time.Now())
		w.carryOut(&api.Orders{Sequence: 1, Lease: 15000, Starts: []api.Start{{Job: 1, Token: 1}}}, w.options.Now())
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(w.Running(), 1)
		suspended.Store(int64(time.Minute))
		time.Sleep(leaseCheckInterval)
		synctest.Wait()
		is.Equal(w.Running(), 0)
		is.Equal(w.Stats().Expired, 1)
		w.stopAll("stopped")
	})
}

// Guards against a lease that is counted from the response, or from a poll other than
// the latest.
func TestLeaseStart(t *testing.T) {
	is := is.New(t)
	w := NewWorker(WorkerOptions{Name: "w"})
	sent := time.Now()
	w.nextPoll(sent)
	w.nextPoll(sent)
	w.carryOut(&api.Orders{Sequence: 1, Lease: 15000, Starts: []api.Start{{Job: 1, Token: 1}}}, sent)
	is.True(w.lease.IsZero()) // answers to earlier polls are ignored
	is.Equal(w.Running(), 0)
	w.carryOut(&api.Orders{Sequence: 2, Lease: 15000}, sent.Add(-10*time.Second))
	is.True(w.lease.Equal(sent.Add(5 * time.Second)))
	w.stopAll("stopped")
	late := NewWorker(WorkerOptions{Name: "late"})
	late.nextPoll(sent)
	late.carryOut(&api.Orders{Sequence: 1, Lease: 15000, Starts: []api.Start{{Job: 1, Token: 1}}}, sent.Add(-time.Minute))
	is.Equal(late.Running(), 0) // the lease had expired before the response arrived
}

// Guards against tasks that do not end as their command or a stop order specifies.
func TestWorkerTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newFakeEntries()
		commands := []string{"sleep 2s", "fail 2s", "need 100 1s", "need 1 1s", "", "", "dance"}
		outcomes := []string{"succeeded", "failed", "oversized", "succeeded", "checkpointed", "stopped", "failed"}
		first := true
		e.orders = func(p api.Poll) (api.Orders, bool) {
			o, _ := grantLease(p)
			if first {
				for i, c := range commands {
					o.Starts = append(o.Starts, api.Start{Job: 1, Index: uint32(i), Token: 7, Size: api.Size{Memory: 10}, Command: c})
				}
			} else {
				o.Throttle = []api.Running{{Job: 1, Index: 0, Token: 7, Used: api.Size{CPU: 3}}}
				o.Stops = []api.Stop{{Job: 1, Index: 4, Token: 7, Mode: "checkpoint"}, {Job: 1, Index: 5, Token: 7, Mode: "stop"}, {Job: 1, Index: 0, Token: 6, Mode: "stop"}}
			}
			first = false
			return o, true
		}
		withWorker(t, e, func(w *Worker) {
			time.Sleep(6 * time.Second)
			is.Equal(w.Running(), 0)
			is.Equal(w.Stats().Peak, len(commands))
			ended := e.last().Ended
			is.Equal(len(ended), len(commands))
			for i, x := range ended {
				is.Equal(x.Outcome, outcomes[i])
			}
			e.mu.Lock()
			e.orders = func(p api.Poll) (api.Orders, bool) { return api.Orders{Lease: 15000, Ended: p.Ended}, true }
			e.mu.Unlock()
			time.Sleep(3 * time.Second)
			is.Equal(len(e.last().Ended), 0) // acknowledged as recorded
		})
		is.Equal(e.paths[len(e.paths)-1], "/v1/workers/w/leave")
	})
}
