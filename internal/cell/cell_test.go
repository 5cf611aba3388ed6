package cell

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/internal/standin"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
	"github.com/rosemaryloft/rosemaryloft/pkg/client"
)

// testTimeout limits a test that hangs. No test depends on how long a step takes.
const testTimeout = 3 * time.Minute

// viewExpiry is longer than the time for which an entry VM may use its view of the
// catalogue without hearing from the leader.
const viewExpiry = 4 * time.Second

var binaries string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		folder, err := os.MkdirTemp("", "rosemaryloft-cell-")
		if err != nil {
			panic(err)
		}
		defer func() { _ = os.RemoveAll(folder) }()
		for _, program := range []string{"rosemaryloftd", "standin"} {
			build := exec.Command("go", "build", "-o", filepath.Join(folder, program), "../../cmd/"+program)
			if out, err := build.CombinedOutput(); err != nil {
				fmt.Fprintf(os.Stderr, "build %s: %v\n%s", program, err, out)
				return 1
			}
		}
		binaries = folder
		return m.Run()
	}())
}

// harness is a running cell whose catalogue is that of Fill.
type harness struct {
	*Cell
	*is.I
	t    *testing.T
	ctx  context.Context
	keys Keys
}

func newHarness(t *testing.T, entries int) *harness {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	is := is.New(t)
	c, err := New(Options{Binaries: binaries, Folder: t.TempDir(), Control: 3, Entries: entries, Relays: true})
	is.NoErr(err)
	t.Cleanup(func() {
		for _, p := range c.Processes {
			if !p.Ended() {
				_ = p.Kill()
			}
		}
		if t.Failed() {
			for name, p := range c.Processes {
				t.Logf("end of the log of %s:\n%s", name, p.Tail())
			}
		}
		_ = c.Close()
	})
	is.NoErr(c.Start(ctx))
	keys, err := c.Fill(ctx)
	is.NoErr(err)
	return &harness{Cell: c, I: is, t: t, ctx: ctx, keys: keys}
}

func (h *harness) until(what string, condition func() bool) {
	h.t.Helper()
	if err := Until(h.ctx, condition); err != nil {
		h.t.Fatalf("%s: %v", what, err)
	}
}

func (h *harness) leader() string {
	h.t.Helper()
	var name string
	h.until("wait for a leader", func() bool {
		s, err := h.Operator().Status(h.ctx)
		name = s.Leader
		return err == nil && name != ""
	})
	return name
}

// startRunner starts a runner and waits until an entry VM owns it. The returned
// function reads the runner's counters.
func (h *harness) startRunner(name, entry string, flags ...string) func() standin.Count {
	h.t.Helper()
	free, err := FreeAddress()
	h.NoErr(err)
	address := free.String()
	h.NoErr(h.Runner(name, entry, h.keys.Upstream, append(flags, "--listen", address)...))
	h.until("wait for the runner "+name, func() bool {
		all, err := h.Operator().Upstreams(h.ctx)
		if err != nil {
			return false
		}
		for _, r := range all {
			if r.Name == name && r.Owner != "" {
				return true
			}
		}
		return false
	})
	return func() standin.Count {
		_, body, err := fasthttp.Get(nil, "http://"+address+"/count")
		h.NoErr(err)
		var c standin.Count
		h.NoErr(json.Unmarshal(body, &c))
		return c
	}
}

func (h *harness) startWorkers(count int) {
	h.t.Helper()
	h.NoErr(h.Workers("worker", h.keys.Worker, count))
	h.until("wait for workers", func() bool {
		all, err := h.Operator().Workers(h.ctx)
		return err == nil && len(all) == count
	})
}

func code(err error) api.Code {
	var e *api.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

func ran(err error) api.Ran {
	var e *api.Error
	if errors.As(err, &e) {
		return e.Ran
	}
	return ""
}

// Guards against tasks that are lost or run again when the leader and then its
// successor are killed.
func TestLeaderKilledTwice(t *testing.T) {
	h := newHarness(t, 3)
	h.startWorkers(3)
	caller := h.Client(h.keys.Caller)
	j, err := caller.Submit(h.ctx, api.Submission{
		Entry: Batch, Tasks: 12, Size: api.Size{CPU: 8000, Memory: 1 << 30}, Command: "sleep 9s",
	})
	h.NoErr(err)
	h.until("wait for the tasks to start", func() bool {
		j, err = caller.Job(h.ctx, j.ID)
		return err == nil && j.State == "running"
	})
	for range 2 {
		name := h.leader()
		h.NoErr(h.Processes[name].Kill())
		h.until("wait for another leader", func() bool {
			s, err := h.Operator().Status(h.ctx)
			return err == nil && s.Leader != "" && s.Leader != name
		})
		h.NoErr(h.StartNode(name))
		h.NoErr(h.Ready(h.ctx))
	}
	j, err = caller.Wait(h.ctx, j.ID)
	h.NoErr(err)
	h.Equal(j.State, "succeeded")
	for _, x := range j.Tasks {
		h.Equal(x.Attempts, uint32(1)) // the kill of a leader must not cause a task to run again
	}
}

// Guards against a replica that votes after it lost its disk, and against accepted
// changes that are lost when a second VM fails right after the first was replaced.
func TestSecondVMLostAfterRepair(t *testing.T) {
	h := newHarness(t, 3)
	disk := func(name string) uint64 {
		all, err := h.Operator().Members(h.ctx)
		if err != nil {
			return 0
		}
		for _, m := range all {
			if m.Name == name && m.Voter {
				return m.Disk
			}
		}
		return 0
	}
	leader := h.leader()
	lost, second := "vm-1", "vm-2"
	if leader == lost {
		lost, second = "vm-2", "vm-1"
	}
	old := disk(lost)
	h.NoErr(h.Processes[lost].Kill())
	n, _ := h.Node(lost)
	h.NoErr(os.RemoveAll(n.Data()))
	changed, err := h.Operator().PutTeam(h.ctx, api.Team{Name: "after-loss", Weight: 1})
	h.NoErr(err)
	h.NoErr(h.StartNode(lost))
	h.until("wait for the new replica to be a voter", func() bool {
		d := disk(lost)
		return d != 0 && d != old
	})
	h.NoErr(h.Processes[second].Kill())
	var all api.Catalogue
	h.until("wait for the catalogue", func() bool {
		all, err = h.Operator().Catalogue(h.ctx)
		return err == nil
	})
	h.True(all.Version >= changed.Version)
	h.until("change the catalogue with two replicas", func() bool {
		_, err := h.Operator().PutTeam(h.ctx, api.Team{Name: "after-both", Weight: 1})
		return err == nil || code(err) == api.Conflict
	})
}

// Guards against a leader that was paused or is partitioned from the others and
// continues to accept a withdrawn key.
func TestWithdrawnKeyOnCutOffVM(t *testing.T) {
	for _, fault := range []string{"pause", "cut"} {
		t.Run(fault, func(t *testing.T) {
			h := newHarness(t, 3)
			h.startRunner("a", Service)
			name := h.leader()
			at := h.At(name, h.keys.Caller)
			h.until("a request is answered", func() bool {
				_, err := at.Request(h.ctx, Service, "x", nil, true)
				return err == nil
			})
			if fault == "pause" {
				h.NoErr(h.Processes[name].Signal(syscall.SIGSTOP))
			} else {
				h.Cut(name, true)
			}
			others := func() *client.Client {
				for _, n := range h.Nodes {
					if n.Name != name {
						return h.At(n.Name, h.Secret())
					}
				}
				return nil
			}()
			h.until("withdraw the key elsewhere", func() bool {
				all, err := others.Keys(h.ctx)
				if err != nil {
					return false
				}
				for _, k := range all {
					if k.Name == "clerk" && !k.Withdrawn {
						k.Withdrawn = true
						_, err = others.PutKey(h.ctx, k)
						return err == nil
					}
				}
				return true
			})
			if fault == "pause" {
				time.Sleep(viewExpiry) // the VM's view expires meanwhile
				h.NoErr(h.Processes[name].Signal(syscall.SIGCONT))
			} else {
				// The VM's view from before the cut expires at its deadline. Before that, a
				// request fails if another VM owns the runner.
				h.until("the view of the cut-off VM expires", func() bool {
					_, err := at.Request(h.ctx, Service, "x", nil, true)
					return code(err) == api.Stale
				})
			}
			// From here on, no request with the key may be served.
			for range 20 {
				_, err := at.Request(h.ctx, Service, "x", nil, true)
				h.True(err != nil)
				h.True(code(err) == api.Unauthorized || code(err) == api.Stale || code(err) == client.Unreachable)
				h.True(ran(err) == api.RanNo || code(err) == client.Unreachable)
			}
			h.Cut(name, false)
			h.until("the VM learns of the withdrawal", func() bool {
				_, err := at.Request(h.ctx, Service, "x", nil, true)
				return code(err) == api.Unauthorized
			})
		})
	}
}

// Guards against a second run of an order that is retried through other entry VMs
// after the entry VM that forwarded it was killed while the order was in flight.
func TestOrderResentAfterEntryDied(t *testing.T) {
	h := newHarness(t, 4)
	a := h.startRunner("a", Orders, "--delay", "1s")
	b := h.startRunner("b", Orders, "--delay", "1s")
	h.until("every entry VM serves orders", func() bool {
		for _, n := range h.Nodes {
			if _, err := h.At(n.Name, h.keys.Caller).Request(h.ctx, Orders, "warm", nil, false); err != nil {
				return false
			}
		}
		return true
	})
	before := a().Total + b().Total
	for i := range 5 {
		ctx := client.WithIdentity(h.ctx, fmt.Sprintf("order-%d", i))
		attempt, stop := context.WithCancel(ctx)
		first := make(chan struct{})
		go func() {
			defer close(first)
			for attempt.Err() == nil { // again with the same identity if there was no leader
				if _, err := h.At("vm-4", h.keys.Caller).Request(attempt, Orders, "order", []byte("one lorry"), false); err == nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
		h.until("the order is being run", func() bool { return a().Total+b().Total > before })
		before++
		h.NoErr(h.Processes["vm-4"].Kill())
		stop()
		<-first
		for _, name := range []string{"vm-1", "vm-2", "vm-3"} {
			_, err := h.At(name, h.keys.Caller).Request(ctx, Orders, "order", []byte("one lorry"), false)
			if err != nil {
				h.True(ran(err) != api.RanNo) // the order was run
			}
		}
		h.Equal(a().Total+b().Total, before)
		h.NoErr(h.StartNode("vm-4"))
		h.NoErr(h.Ready(h.ctx))
		h.until("the entry VM serves orders again", func() bool {
			n := a().Total + b().Total
			_, err := h.At("vm-4", h.keys.Caller).Request(h.ctx, Orders, "warm", nil, false)
			before += a().Total + b().Total - n
			return err == nil
		})
	}
}

// Guards against a graceful shutdown that cuts off requests in flight or exits with a
// failure.
func TestDrain(t *testing.T) {
	h := newHarness(t, 4)
	h.startRunner("a", Service, "--delay", "4s")
	h.startRunner("b", Service, "--delay", "4s")
	h.until("the entry VM serves", func() bool {
		_, err := h.At("vm-4", h.keys.Caller).Request(h.ctx, Service, "x", nil, true)
		return err == nil
	})
	var wait sync.WaitGroup
	results := make([]error, 12)
	for i := range results {
		wait.Go(func() { _, results[i] = h.At("vm-4", h.keys.Caller).Request(h.ctx, Service, "x", nil, true) })
	}
	time.Sleep(time.Second) // the requests are in flight by now; any later one is refused as draining
	h.NoErr(h.Processes["vm-4"].Stop())
	wait.Wait()
	for _, err := range results {
		if err != nil {
			h.Equal(ran(err), api.RanNo)
			h.Equal(code(err), api.Draining)
		}
	}
}

// Guards against concurrent changes based on the same version of which more than one
// succeeds, and against a retry that is applied again.
func TestRacingOperators(t *testing.T) {
	h := newHarness(t, 3)
	for round := range 10 {
		all, err := h.Operator().Catalogue(h.ctx)
		h.NoErr(err)
		var base api.Team
		for _, x := range all.Teams {
			if x.Name == Other {
				base = x
			}
		}
		var wait sync.WaitGroup
		results := make([]error, len(h.Nodes))
		for i, n := range h.Nodes {
			wait.Go(func() {
				mine := base
				mine.Weight = int64(100*round + i + 1)
				ctx := client.WithIdentity(h.ctx, fmt.Sprintf("race-%d-%d", round, i))
				first, err := putTeam(ctx, h.At(n.Name, h.Secret()), mine)
				again, errAgain := putTeam(ctx, h.At(n.Name, h.Secret()), mine)
				results[i] = err
				if (err == nil) != (errAgain == nil) || first.Version != again.Version {
					results[i] = errors.Newf("retry returned a different result: first %v, then %v", err, errAgain)
				}
			})
		}
		wait.Wait()
		won := 0
		for _, err := range results {
			if err == nil {
				won++
				continue
			}
			h.Equal(code(err), api.Conflict)
		}
		h.Equal(won, 1)
	}
}

// putTeam changes a team. While there is no leader, the outcome is unknown, and the
// same change is sent again.
func putTeam(ctx context.Context, c *client.Client, t api.Team) (api.Changed, error) {
	for {
		v, err := c.PutTeam(ctx, t)
		if code(err) != api.Timeout && code(err) != api.NoLeader || ctx.Err() != nil {
			return v, err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against a process that serves an old catalogue after it was down during
// hundreds of changes.
func TestMissedChanges(t *testing.T) {
	t.Run("one leader", func(t *testing.T) { testMissedChanges(t, func(*harness) {}) })
	t.Run("another leader before the last change", func(t *testing.T) {
		testMissedChanges(t, func(h *harness) {
			paused := h.Processes[h.leader()]
			h.NoErr(paused.Signal(syscall.SIGSTOP))
			time.Sleep(1200 * time.Millisecond)
			h.NoErr(paused.Signal(syscall.SIGCONT))
		})
	})
}

func testMissedChanges(t *testing.T, beforeLast func(h *harness)) {
	h := newHarness(t, 4)
	h.NoErr(h.Processes["vm-4"].Kill())
	behind := "vm-1"
	if h.leader() == behind {
		behind = "vm-2"
	}
	h.NoErr(h.Processes[behind].Kill())
	for i := range 400 {
		_, err := h.Operator().PutTeam(h.ctx, api.Team{Name: fmt.Sprintf("team-%d", i), Weight: 1})
		h.NoErr(err)
	}
	beforeLast(h)
	changed, err := h.Operator().PutKey(h.ctx, api.Key{Name: "late", Team: Team, Role: "caller"})
	h.NoErr(err)
	h.NoErr(h.StartNode(behind))
	h.NoErr(h.StartNode("vm-4"))
	h.NoErr(h.Ready(h.ctx))
	for _, name := range []string{behind, "vm-4"} {
		// A ready daemon has a current view, so that it knows the last key at once.
		_, err := h.At(name, changed.Secret).Request(h.ctx, Service, "x", nil, true)
		h.Equal(code(err), api.NoUpstream)
		h.until("the VM reports the current version", func() bool {
			s, err := h.Operator().Status(h.ctx)
			if err != nil {
				return false
			}
			for _, e := range s.Entries {
				if e.Name == name {
					return e.Version >= changed.Version
				}
			}
			return false
		})
	}
}
