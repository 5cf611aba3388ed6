package dispatch

import (
	"context"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/version/codec"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// handlers is a peer.Mux whose handlers are called directly.
type handlers map[string]peer.Handler

func (h handlers) Handle(method string, handler peer.Handler) { h[method] = handler }

// receive passes an encoded message to the handler of a method.
func (h handlers) receive(method string, body []byte) (any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return h[method](ctx, "10.0.0.9", func(into any) error { return codec.DecodeMessage(body, into) })
}

// oddMessages are messages to the leader that decode, but that no process of this
// build sends.
func oddMessages() map[string][]any {
	huge := work.Resources{Processors: math.MaxInt64, Memory: math.MaxInt64, Accelerators: math.MaxInt64}
	negative := work.Resources{Processors: -1, Memory: math.MinInt64}
	report := func(w job.Worker) []cell.Report {
		return []cell.Report{{Worker: w, Sequence: 1}, {Worker: w, Sequence: math.MaxInt64, Remaining: math.MaxInt64}}
	}
	step := job.Step{Count: 1, Estimate: time.Second}
	call := func(v cell.Verb, path string, j *job.Job) cell.Call {
		return cell.Call{Verb: v, Host: "h", Path: path, Key: "k", Job: j}
	}
	return map[string][]any{
		cell.MethodPing: {nil, cell.Ping{}},
		cell.MethodCall: {
			nil, cell.Call{}, call(cell.Submit, "/q/x", nil), call(cell.Submit, "/q/x", &job.Job{}), call(cell.Submit, "/q/", &job.Job{Steps: []job.Step{step}}),
			call(cell.Submit, "/q/x", &job.Job{Steps: []job.Step{{Count: math.MaxInt, Size: huge}}}),
			call(cell.Submit, "/q/x", &job.Job{Steps: []job.Step{{Count: 1, Size: negative, After: []int{-1}}}}),
			call(cell.Submit, "/q/x", &job.Job{Steps: []job.Step{step}, Repeat: math.MaxInt, Every: -time.Second}),
			call(cell.Cancel, "/q/", nil), call(cell.Verb(200), "/q/x", nil), cell.Call{Verb: cell.Submit, Host: "h", Path: "/q/x", Key: "k",
				Job: &job.Job{Steps: []job.Step{step}}, Stamp: cell.Stamp{Term: 1, Issued: math.MaxInt64, Expires: math.MaxInt64}},
		},
		cell.MethodApply: {nil, job.Catalogue{}},
		cell.MethodRead:  {nil},
		cell.MethodReports: {
			nil, []cell.Report{{}}, report(job.Worker{ID: "w"}), report(job.Worker{ID: "w", Pool: "p", Capacity: huge, Life: math.MaxInt64}),
			report(job.Worker{ID: "w", Pool: "p", Capacity: negative, Life: math.MinInt64, Draining: true}),
		},
		cell.MethodLeave: {nil, cell.Leave{}, cell.Leave{Worker: "a", Life: math.MaxInt64}},
		cell.MethodMaintain: {
			nil, job.Wave{}, job.Wave{Number: math.MinInt64, VMs: []string{""}, Limit: 1}, job.Wave{VMs: []string{"vm-a"}, Limit: -1},
			job.Wave{Number: math.MaxInt64, VMs: []string{"vm-a", "vm-b", "vm-a"}, Limit: math.MaxInt}, job.Wave{Limit: 1},
		},
		cell.MethodWave: {nil, int64(math.MinInt64), int64(math.MaxInt64)},
	}
}

// checkMalformed passes a message to a leader with a worker and a running job. The
// leader must answer, and answer the next call, too.
func checkMalformed(t *testing.T, method string, body []byte) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		h := handlers{}
		b.leader.Register(h)
		b.submit("one", tasks(2))
		_, _ = h.receive(method, body)
		time.Sleep(3 * time.Second)
		ping, err := codec.Encode(cell.Ping{})
		b.is.NoErr(err)
		v, err := h.receive(cell.MethodPing, ping)
		b.is.NoErr(err)
		b.is.Equal(v.(cell.Leader).Name, "me")
	})
}

// Guards against a message of another process that takes the leader down, as one of
// another build may hold anything.
func TestOddMessages(t *testing.T) {
	for method, messages := range oddMessages() {
		t.Run(method, func(t *testing.T) {
			for _, m := range messages {
				body, err := codec.Encode(m)
				if err != nil {
					t.Fatal(err)
				}
				checkMalformed(t, method, body)
				checkMalformed(t, method, body[:len(body)/2]) // truncated
			}
		})
	}
}

func FuzzMessages(f *testing.F) {
	var methods []string
	for method := range oddMessages() {
		methods = append(methods, method)
	}
	slices.Sort(methods)
	for i, method := range methods {
		for _, m := range oddMessages()[method] {
			body, err := codec.Encode(m)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(uint8(i), body)
		}
	}
	f.Fuzz(func(t *testing.T, method uint8, body []byte) {
		checkMalformed(t, methods[int(method)%len(methods)], body)
	})
}
