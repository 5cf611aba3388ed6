//go:build capacity

package cell

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

const (
	// ticksPerSecond is the unit of processor times in /proc on Linux.
	ticksPerSecond = 100
	// sampleTime is the duration of the measurement of each load.
	sampleTime = 10 * time.Second
)

// usage holds a daemon's resource usage since its start and its current memory.
type usage struct {
	processor time.Duration
	memory    int64 // resident bytes
	peers     int64 // bytes sent to other daemons
	http      int64 // bytes received and sent over HTTP
}

func (h *harness) usage(name string) usage {
	h.t.Helper()
	var u usage
	pid := h.Processes[name].command.Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	h.NoErr(err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	for _, f := range fields[11:13] { // utime and stime
		ticks, err := strconv.ParseInt(f, 10, 64)
		h.NoErr(err)
		u.processor += time.Duration(ticks) * time.Second / ticksPerSecond
	}
	pages, err := strconv.ParseInt(fields[21], 10, 64)
	h.NoErr(err)
	u.memory = pages * int64(os.Getpagesize())
	n, _ := h.Node(name)
	_, body, err := fasthttp.Get(nil, "http://"+n.HTTP.String()+"/debug/vars")
	h.NoErr(err)
	var vars struct {
		Peer struct {
			Sent int64 `json:"sent_bytes"`
		} `json:"peer"`
		HTTP struct {
			Received int64 `json:"received_bytes"`
			Sent     int64 `json:"sent_bytes"`
		} `json:"http"`
	}
	h.NoErr(json.Unmarshal(body, &vars))
	u.peers, u.http = vars.Peer.Sent, vars.HTTP.Received+vars.HTTP.Sent
	return u
}

// measure logs the resource usage of each daemon under the present load.
func (h *harness) measure(what string) {
	h.t.Helper()
	time.Sleep(2 * time.Second) // until the load is steady
	leader := h.leader()
	before := make(map[string]usage)
	for _, n := range h.Nodes {
		before[n.Name] = h.usage(n.Name)
	}
	time.Sleep(sampleTime)
	for _, n := range h.Nodes {
		role := "replica+entry"
		switch {
		case n.Name == leader:
			role = "leader+entry"
		case !n.Control:
			role = "entry"
		}
		a, b := before[n.Name], h.usage(n.Name)
		h.t.Logf("%-28s %-14s %6.2f%% of a core %6.1f MB %7.1f KB/s to peers %7.1f KB/s HTTP", what, role,
			100*(b.processor-a.processor).Seconds()/sampleTime.Seconds(), float64(b.memory)/1e6,
			float64(b.peers-a.peers)/1e3/sampleTime.Seconds(), float64(b.http-a.http)/1e3/sampleTime.Seconds())
	}
}

// TestCapacity logs the resource usage of the daemons for growing numbers of workers
// and tasks, from which docs/CAPACITY.md derives its slopes. It takes minutes and its
// figures depend on the machine, so that only make capacity builds it.
func TestCapacity(t *testing.T) {
	h := newHarness(t, 4)
	h.measure("idle")
	total := 0
	for _, count := range []int{48, 352, 800} {
		total += count
		h.NoErr(h.Workers(fmt.Sprintf("pool-%d", total), h.keys.Worker, count))
		h.until("wait for workers", func() bool {
			all, err := h.Operator().Workers(h.ctx)
			return err == nil && len(all) == total
		})
		h.measure(fmt.Sprintf("%d workers", total))
	}
	caller := h.Client(h.keys.Caller)
	for range 12 {
		_, err := caller.Submit(h.ctx, api.Submission{
			Entry: Batch, Tasks: 1000, Size: api.Size{CPU: 100, Memory: 1 << 20}, Command: "sleep 300s",
		})
		h.NoErr(err)
	}
	h.until("wait for the tasks", func() bool {
		q, err := h.Operator().Queues(h.ctx)
		running := 0
		for _, x := range q {
			running += x.Running
		}
		return err == nil && running == 12000
	})
	h.measure(fmt.Sprintf("%d workers, 12000 running", total))
}

const (
	loadRunners = 8
	loadSlots   = 8
	loadDelay   = 20 * time.Millisecond
)

// TestCapacityRequests logs the resource usage of the daemons under service requests,
// and the rate of answers under overload compared with the maximum rate of all slots.
func TestCapacityRequests(t *testing.T) {
	h := newHarness(t, 4)
	o := h.Operator()
	_, err := o.PutTeam(h.ctx, api.Team{Name: "crowd", Weight: 1})
	h.NoErr(err)
	for _, e := range []api.Entry{
		{Name: "lane", Owner: "crowd", Class: "service", Idempotent: true},
		{Name: "till", Owner: "crowd", Class: "service"},
	} {
		_, err = o.PutEntry(h.ctx, e)
		h.NoErr(err)
	}
	caller, err := o.PutKey(h.ctx, api.Key{Name: "crowd-caller", Team: "crowd", Role: "caller"})
	h.NoErr(err)
	upstream, err := o.PutKey(h.ctx, api.Key{Name: "crowd-upstream", Team: "crowd", Role: "upstream"})
	h.NoErr(err)
	h.keys.Upstream = upstream.Secret
	for i := range loadRunners {
		for _, entry := range []string{"lane", "till"} {
			h.startRunner(fmt.Sprintf("%s-%d", entry, i), entry, "--slots", strconv.Itoa(loadSlots), "--delay", loadDelay.String())
		}
	}
	full := float64(loadRunners*loadSlots) / loadDelay.Seconds()
	for _, x := range []struct {
		entry   string
		keyed   bool
		senders int
	}{{"lane", false, 32}, {"lane", false, 192}, {"till", true, 32}, {"till", true, 192}} {
		stop := h.load(x.entry, caller.Secret, x.keyed, x.senders)
		h.measure(fmt.Sprintf("%s, %d senders", x.entry, x.senders))
		answered, refused, other, elapsed := stop()
		t.Logf("%-28s %6.0f answered/s of %.0f, %6.0f refused/s, %d others", fmt.Sprintf("%s, %d senders", x.entry, x.senders),
			float64(answered)/elapsed.Seconds(), full, float64(refused)/elapsed.Seconds(), other)
	}
}

// load sends requests through all entry VMs until the returned function is called.
// A sender whose request is refused waits as long as the response asks for.
func (h *harness) load(entry, key string, keyed bool, senders int) (stop func() (answered, refused, other int64, elapsed time.Duration)) {
	var a, r, o atomic.Int64
	var ended atomic.Bool
	var wait sync.WaitGroup
	begin := time.Now()
	client := &fasthttp.Client{MaxConnsPerHost: senders}
	for i := range senders {
		node := h.Nodes[i%len(h.Nodes)]
		wait.Go(func() {
			request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			for n := 0; !ended.Load(); n++ {
				request.SetRequestURI("http://" + node.HTTP.String() + "/v1/services/" + entry + "/x")
				request.Header.SetMethod(fasthttp.MethodPost)
				request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+key)
				if keyed {
					request.Header.Set(api.IdempotencyHeader, fmt.Sprintf("%d-%d-%d", begin.UnixNano(), i, n))
				}
				request.SetBodyString("one lorry")
				err := client.Do(request, response)
				switch {
				case err == nil && response.StatusCode() == fasthttp.StatusOK:
					a.Add(1)
				case err == nil && response.StatusCode() == fasthttp.StatusServiceUnavailable:
					r.Add(1)
					var e api.Error
					if json.Unmarshal(response.Body(), &e) == nil {
						time.Sleep(time.Until(e.Retry))
					}
				default:
					o.Add(1)
				}
			}
		})
	}
	return func() (int64, int64, int64, time.Duration) {
		ended.Store(true)
		wait.Wait()
		return a.Load(), r.Load(), o.Load(), time.Since(begin)
	}
}
