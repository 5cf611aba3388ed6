package cell

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/standin"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// burst sends requests through all entry VMs from concurrent senders. Each sender
// sends one request at a time and does not retry. It returns the numbers of answered
// and refused requests and fails the test on any other outcome.
func (h *harness) burst(key, entry string, senders, each int) (answered, refused int64) {
	h.t.Helper()
	var yes, no atomic.Int64
	var wait sync.WaitGroup
	for i := range senders {
		at := h.At(h.Nodes[i%len(h.Nodes)].Name, key)
		wait.Go(func() {
			for j := range each {
				body := fmt.Sprintf("sender %d request %d", i, j)
				r, err := at.Request(h.ctx, entry, "x", []byte(body), false)
				var e *api.Error
				switch {
				case err == nil && string(r.Body) == body:
					yes.Add(1)
				case err == nil:
					h.t.Errorf("the answer to %q has the body %q", body, r.Body)
				case errors.As(err, &e) && e.Ran == api.RanNo && !e.Retry.IsZero() && (e.Code == api.Overloaded || e.Code == api.Limited):
					no.Add(1)
				default:
					h.t.Errorf("%q: %+v", body, err)
				}
			}
		})
	}
	wait.Wait()
	return yes.Load(), no.Load()
}

// waitServing waits until each entry VM has answered a request and returns the number
// of answered requests.
func (h *harness) waitServing(key, entry string) (answered int64) {
	h.t.Helper()
	for _, n := range h.Nodes {
		h.until(n.Name+" serves", func() bool {
			_, err := h.At(n.Name, key).Request(h.ctx, entry, "x", nil, false)
			return err == nil
		})
		answered++
	}
	return answered
}

// Guards against entry VMs that each count a runner's slots without regard to the
// others and so exceed them, and against requests that are lost, get the answer of
// another request, or are refused although they ran.
func TestOverload(t *testing.T) {
	t.Parallel()
	const slots, runners = 4, 2
	h := newHarness(t, 4)
	var counts []func() standin.Count
	for i := range runners {
		counts = append(counts, h.startRunner(fmt.Sprintf("runner-%d", i), Orders, "--slots", fmt.Sprint(slots), "--delay", "50ms"))
	}
	first := h.waitServing(h.keys.Caller, Orders)
	const senders, each = 3 * slots * runners, 50
	answered, refused := h.burst(h.keys.Caller, Orders, senders, each)
	h.True(answered > 0)
	h.True(refused > 0)
	h.Equal(answered+refused, int64(senders*each))
	var total int64
	for _, count := range counts {
		c := count()
		h.Equal(c.Exceeded, int64(0))
		h.True(c.Peak <= slots)
		total += c.Total
	}
	h.Equal(total, first+answered)
	h.waitServing(h.keys.Caller, Orders) // no slot has leaked
}

// Guards against entry VMs that each allow a team its whole limit on requests in
// flight, and against a limit that blocks all requests.
func TestTeamLimitOnRequests(t *testing.T) {
	t.Parallel()
	const limit, slots = 5, 16
	h := newHarness(t, 4)
	o := h.Operator()
	_, err := o.PutTeam(h.ctx, api.Team{Name: "booking", Weight: 1, Requests: limit})
	h.NoErr(err)
	_, err = o.PutEntry(h.ctx, api.Entry{Name: "seats", Owner: "booking", Class: "service"})
	h.NoErr(err)
	caller, err := o.PutKey(h.ctx, api.Key{Name: "seats-caller", Team: "booking", Role: "caller"})
	h.NoErr(err)
	upstream, err := o.PutKey(h.ctx, api.Key{Name: "seats-upstream", Team: "booking", Role: "upstream"})
	h.NoErr(err)
	h.keys.Upstream = upstream.Secret
	count := h.startRunner("a", "seats", "--slots", fmt.Sprint(slots), "--delay", "50ms")
	first := h.waitServing(caller.Secret, "seats")
	answered, refused := h.burst(caller.Secret, "seats", 3*slots, 30)
	h.True(answered > 0)
	h.True(refused > 0)
	c := count()
	h.True(c.Peak <= limit)
	h.Equal(c.Exceeded, int64(0))
	h.Equal(c.Total, first+answered)
	h.waitServing(caller.Secret, "seats") // no part of the limit has leaked
}
