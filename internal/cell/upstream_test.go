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

// runs counts the orders that runners began, by Idempotency-Key, from their
// logs. The runners must have been started with --log.
func (h *harness) runs(runners ...string) map[string]int {
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

// orders sends orders from several senders until stop is called.
type orders struct {
	h    *harness
	done chan struct{}
	wait sync.WaitGroup

	mu      sync.Mutex
	results map[string]error // by Idempotency-Key
}

// order starts senders. Client returns the client of a sender.
func (h *harness) order(senders int, client func(sender int) *client.Client) *orders {
	o := &orders{h: h, done: make(chan struct{}), results: make(map[string]error)}
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

func (o *orders) send(c *client.Client, id string) {
	r, err := c.Request(client.WithIdentity(o.h.ctx, id), Orders, "x", []byte(id), false)
	if err == nil && string(r.Body) != id {
		o.h.t.Errorf("the answer to %s has the body %q", id, r.Body)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.results[id] = err
}

// answered returns how many orders were answered up to now.
func (o *orders) answered() int {
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

// more waits until n more orders were answered.
func (o *orders) more(n int) {
	o.h.t.Helper()
	n += o.answered()
	o.h.until("wait for more answers", func() bool { return o.answered() >= n })
}

// stop ends the senders and returns what each order got.
func (o *orders) stop() map[string]error {
	close(o.done)
	o.wait.Wait()
	return o.results
}

// Guards against requests that are cut off, lost or run twice when a runner
// leaves under load.
func TestRunnerLeavesUnderLoad(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 4)
	h.runner("a", Orders, "--delay", "200ms", "--log")
	h.runner("b", Orders, "--delay", "200ms", "--log")
	h.serves(h.keys.Caller, Orders)
	o := h.order(6, func(int) *client.Client { return h.Client(h.keys.Caller) })
	o.more(30)
	h.NoErr(h.Processes["a"].Stop()) // fails if a request is still in flight
	o.more(30)
	results := o.stop()
	h.True(len(h.runs("a")) > 0)
	runs := h.runs("a", "b")
	for id, err := range results {
		h.NoErr(err)
		h.Equal(runs[id], 1)
	}
}

// Guards against a caller who is told that an order did not run although it
// did, or that it was answered although it did not run, when its runner dies;
// and against a dead runner that goes on getting requests.
func TestRunnerKilledUnderLoad(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 4)
	h.runner("a", Orders, "--delay", "200ms", "--log")
	h.runner("b", Orders, "--delay", "200ms", "--log")
	h.serves(h.keys.Caller, Orders)
	o := h.order(8, func(i int) *client.Client { return h.At(h.Nodes[i%len(h.Nodes)].Name, h.keys.Caller) })
	o.more(30)
	h.NoErr(h.Processes["a"].Signal(syscall.SIGKILL))
	o.more(30)
	results := o.stop()
	runs := h.runs("a", "b")
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
