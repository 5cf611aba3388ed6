package cell

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/rosemaryloft/rosemaryloft/internal/standin"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
	"github.com/rosemaryloft/rosemaryloft/pkg/client"
)

// runCounts returns how often the runners started each order, by Idempotency-Key,
// according to their logs. The runners must have been started with --log.
func (h *harness) runCounts(runners ...string) map[string]int {
	h.t.Helper()
	out := make(map[string]int)
	for _, name := range runners {
		for line := range strings.Lines(h.Processes[name].Log()) {
			if id, ok := strings.CutPrefix(line, standin.RunPrefix); ok {
				out[strings.TrimSpace(id)]++
			}
		}
	}
	return out
}

// orderLoad sends orders from several senders until stop is called.
type orderLoad struct {
	h    *harness
	done chan struct{}
	wait sync.WaitGroup

	mu      sync.Mutex
	results map[string]error // by Idempotency-Key
}

// startOrders starts the senders. The function client returns the client for a sender.
func (h *harness) startOrders(senders int, client func(sender int) *client.Client) *orderLoad {
	o := &orderLoad{h: h, done: make(chan struct{}), results: make(map[string]error)}
	for i := range senders {
		c := client(i)
		o.wait.Go(func() {
			for j := 0; ; j++ {
				select {
				case <-o.done:
					return
				default:
					o.send(c, fmt.Sprintf("order-%d-%d", i, j))
				}
			}
		})
	}
	return o
}

func (o *orderLoad) send(c *client.Client, id string) {
	r, err := c.Request(client.WithIdentity(o.h.ctx, id), Orders, "x", []byte(id), false)
	if err == nil && string(r.Body) != id {
		o.h.t.Errorf("the answer to %s has the body %q", id, r.Body)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.results[id] = err
}

// answered returns the number of orders answered so far.
func (o *orderLoad) answered() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, err := range o.results {
		if err == nil {
			n++
		}
	}
	return n
}

// waitAnswered waits until n more orders have been answered.
func (o *orderLoad) waitAnswered(n int) {
	o.h.t.Helper()
	n += o.answered()
	o.h.until("wait for more answers", func() bool { return o.answered() >= n })
}

// stop stops the senders and returns the result of each order.
func (o *orderLoad) stop() map[string]error {
	close(o.done)
	o.wait.Wait()
	return o.results
}

// Guards against requests that are cut off, lost or run twice when a runner shuts down
// gracefully under load.
func TestRunnerLeavesUnderLoad(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 4)
	h.startRunner("a", Orders, "--delay", "200ms", "--log")
	h.startRunner("b", Orders, "--delay", "200ms", "--log")
	h.waitServing(h.keys.Caller, Orders)
	o := h.startOrders(6, func(int) *client.Client { return h.Client(h.keys.Caller) })
	o.waitAnswered(30)
	h.NoErr(h.Processes["a"].Stop()) // returns an error if a request is still in flight at the end
	o.waitAnswered(30)
	results := o.stop()
	h.True(len(h.runCounts("a")) > 0)
	runs := h.runCounts("a", "b")
	for id, err := range results {
		h.NoErr(err)
		h.Equal(runs[id], 1)
	}
}

// Guards against wrong answers when a runner is killed, such as that an order did not
// run although it did, or was answered although it did not run, and against a killed
// runner that keeps getting requests.
func TestRunnerKilledUnderLoad(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 4)
	h.startRunner("a", Orders, "--delay", "200ms", "--log")
	h.startRunner("b", Orders, "--delay", "200ms", "--log")
	h.waitServing(h.keys.Caller, Orders)
	o := h.startOrders(8, func(i int) *client.Client { return h.At(h.Nodes[i%len(h.Nodes)].Name, h.keys.Caller) })
	o.waitAnswered(30)
	h.NoErr(h.Processes["a"].Signal(syscall.SIGKILL))
	o.waitAnswered(30)
	results := o.stop()
	runs := h.runCounts("a", "b")
	unknown := 0
	for id, err := range results {
		switch {
		case err == nil:
			h.Equal(runs[id], 1)
		case ran(err) == api.RanNo:
			h.Equal(runs[id], 0)
		case ran(err) == api.RanUnknown:
			unknown++
			h.True(runs[id] <= 1)
		default:
			t.Errorf("%s: %v", id, err)
		}
	}
	h.True(unknown <= 8) // only what was in flight at the killed runner, at most its slots
	h.until("the killed runner is dropped", func() bool {
		all, err := h.Operator().Upstreams(h.ctx)
		return err == nil && len(all) == 1 && all[0].Name == "b"
	})
	for i := range 20 {
		_, err := h.At(h.Nodes[i%len(h.Nodes)].Name, h.keys.Caller).Request(h.ctx, Orders, "x", nil, false)
		h.NoErr(err)
	}
}
