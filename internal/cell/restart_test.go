package cell

import (
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
	"github.com/rosemaryloft/rosemaryloft/pkg/client"
)

// Guards against accepted changes, jobs and outcomes of orders that are lost when all
// daemons are killed at once, and against tasks that run again although their workers'
// leases are still valid.
func TestAllDaemonsKilled(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 4)
	names := []string{"w1", "w2", "w3"}
	h.startLoggingWorkers(names, "--cpu", "8000")
	h.startRunner("a", Orders, "--log")
	h.waitServing(h.keys.Caller, Orders)
	size := api.Size{CPU: 2000, Memory: 1 << 30}
	running := h.submit(api.Submission{Entry: Batch, Tasks: 12, Size: size, Command: "sleep 20s"})
	h.until("the tasks have begun", func() bool { return len(h.history(names, nil)) == len(running.Tasks) })
	caller := h.Client(h.keys.Caller)
	submission := client.WithIdentity(h.ctx, "queued-job")
	queued, err := caller.Submit(submission, api.Submission{Entry: Batch, Tasks: 3, Size: size, Command: "sleep 1s"})
	h.NoErr(err)
	answers := make(map[string]string)
	for i := range 10 {
		id := fmt.Sprintf("order-%d", i)
		r, err := caller.Request(client.WithIdentity(h.ctx, id), Orders, "x", []byte(id), false)
		h.NoErr(err)
		answers[id] = string(r.Body)
	}
	changed, err := h.Operator().PutKey(h.ctx, api.Key{Name: "late", Team: Team, Role: "caller"})
	h.NoErr(err)
	before, err := h.Operator().Catalogue(h.ctx)
	h.NoErr(err)

	var wait sync.WaitGroup
	for _, n := range h.Nodes {
		wait.Go(func() {
			if err := h.Processes[n.Name].Kill(); err != nil {
				t.Error(err)
			}
		})
	}
	wait.Wait()
	h.NoErr(h.Start(h.ctx))

	after, err := h.Operator().Catalogue(h.ctx)
	h.NoErr(err)
	h.Equal(after, before)
	for _, n := range h.Nodes {
		for id, body := range answers {
			var r client.Response
			// For some seconds, a new leader withholds all parts of a team's limit on requests.
			h.until("the stored outcome", func() bool {
				r, err = h.At(n.Name, changed.Secret).Request(client.WithIdentity(h.ctx, id), Orders, "x", []byte(id), false)
				h.True(err == nil || ran(err) == api.RanNo && code(err) == api.Limited)
				return err == nil
			})
			h.Equal(string(r.Body), body)
		}
	}
	for id := range answers {
		h.Equal(h.runCounts("a")[id], 1)
	}
	again, err := caller.Submit(submission, api.Submission{Entry: Batch, Tasks: 3, Size: size, Command: "sleep 1s"})
	h.NoErr(err)
	h.Equal(again.ID, queued.ID)
	for _, id := range []uint64{running.ID, queued.ID} {
		j, err := caller.Wait(h.ctx, id)
		h.NoErr(err)
		h.Equal(j.State, "succeeded")
	}
	all := h.history(names, nil)
	h.checkNoOverlap(all)
	h.checkRerunReasons(all)
}

// Guards against entry VMs that continue to use an expired view, or accept changes and
// jobs that are not recorded, while a majority of the control VMs is down, and against
// a cell that does not recover afterwards.
func TestMajorityLost(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 5)
	h.startRunner("a", Orders, "--log")
	names := []string{"w1"}
	h.startLoggingWorkers(names)
	h.waitServing(h.keys.Caller, Orders)
	lost := []string{h.leader()}
	for _, n := range h.Nodes {
		if n.Control && n.Name != lost[0] {
			lost = append(lost, n.Name)
			break
		}
	}
	for _, name := range lost {
		h.NoErr(h.Processes[name].Kill())
	}
	var left []string
	for _, n := range h.Nodes {
		if !h.Processes[n.Name].Ended() {
			left = append(left, n.Name)
		}
	}
	h.Equal(len(left), 3)
	for _, name := range left {
		h.until("the view of "+name+" expires", func() bool {
			_, err := h.At(name, h.keys.Caller).Request(h.ctx, Orders, "x", nil, false)
			return code(err) == api.Stale
		})
	}
	type attempt struct {
		name string
		ran  api.Ran
	}
	var jobs, teams []attempt
	submission := api.Submission{Entry: Batch, Tasks: 1, Size: api.Size{CPU: 100, Memory: 1 << 20}, Command: "sleep 10ms"}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := range 12 {
		at := left[i%len(left)]
		name := fmt.Sprintf("lost-%d", i)
		ctx := client.WithIdentity(h.ctx, name)
		_, err := h.At(at, h.keys.Caller).Request(h.ctx, Orders, "x", nil, false)
		h.Equal(ran(err), api.RanNo)
		h.Equal(code(err), api.Stale)
		// With an Idempotency-Key, the VM cannot rule out that an earlier attempt has run.
		_, err = h.At(at, h.keys.Caller).Request(ctx, Orders, "x", nil, false)
		h.Equal(ran(err), api.RanUnknown)
		h.Equal(code(err), api.Stale)
		wait.Go(func() {
			_, job := h.At(at, h.keys.Caller).Submit(ctx, submission)
			_, team := h.At(at, h.Secret()).PutTeam(ctx, api.Team{Name: name, Weight: 1})
			mu.Lock()
			defer mu.Unlock()
			jobs = append(jobs, attempt{name, ran(job)})
			teams = append(teams, attempt{name, ran(team)})
		})
	}
	wait.Wait()
	for _, x := range slices.Concat(jobs, teams) {
		if x.ran != api.RanNo && x.ran != api.RanUnknown {
			t.Errorf("%s: accepted, or refused with unexpected ran %q", x.name, x.ran)
		}
	}
	for id := range h.runCounts("a") {
		for _, x := range jobs {
			h.True(id != x.name)
		}
	}

	for _, name := range lost {
		h.NoErr(h.StartNode(name))
	}
	h.NoErr(h.Ready(h.ctx))
	h.leader()
	known, err := h.Operator().Catalogue(h.ctx)
	h.NoErr(err)
	for _, x := range known.Teams {
		for _, y := range teams {
			h.True(x.Name != y.name || y.ran != api.RanNo)
		}
	}
	before, err := h.Operator().Jobs(h.ctx, client.Filter{})
	h.NoErr(err)
	unknown := 0
	for _, x := range jobs {
		if x.ran == api.RanUnknown {
			unknown++
		}
	}
	h.True(len(before) <= unknown)
	caller := h.Client(h.keys.Caller)
	ids := make(map[uint64]bool)
	for _, x := range jobs {
		ctx := client.WithIdentity(h.ctx, x.name)
		j, err := caller.Submit(ctx, submission)
		h.NoErr(err)
		ids[j.ID] = true
		_, err = h.Operator().PutTeam(ctx, api.Team{Name: x.name, Weight: 1})
		h.NoErr(err)
	}
	for id := range ids {
		j, err := caller.Wait(h.ctx, id)
		h.NoErr(err)
		h.Equal(j.State, "succeeded")
	}
	h.Equal(len(ids), len(jobs))
	now, err := h.Operator().Jobs(h.ctx, client.Filter{})
	h.NoErr(err)
	h.Equal(len(now), len(jobs)) // no job was created twice
	h.waitServing(h.keys.Caller, Orders)
	h.checkNoOverlap(h.history(names, nil))
}
