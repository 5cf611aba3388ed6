package cell

import (
	"slices"
	"testing"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// Guards against two leaders that both have the same task run, and against diverging
// catalogues, when a network partition separates the leader from the others for longer
// than a worker's lease.
func TestLeaderCutOffPastLeases(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 4)
	names := []string{"w1", "w2", "w3", "dying"}
	h.startLoggingWorkers(names, "--cpu", "8000")
	j := h.submit(api.Submission{Entry: Batch, Tasks: 16, Size: api.Size{CPU: 2000, Memory: 1 << 30}, Command: "sleep 12s"})
	h.until("the tasks have begun", func() bool { return len(h.history(names, nil)) == len(j.Tasks) })
	cut := h.leader()
	other := "vm-4"
	h.Cut(cut, true)
	h.NoErr(h.Processes["dying"].Kill()) // the next leader must place its tasks again
	halted := haltedNow("dying")
	h.until("there is another leader", func() bool {
		s, err := h.At(other, h.Secret()).Status(h.ctx)
		return err == nil && s.Leader != "" && s.Leader != cut
	})
	changed, err := h.At(other, h.Secret()).PutTeam(h.ctx, api.Team{Name: "during-cut", Weight: 1})
	h.NoErr(err)
	h.until("the view of the cut-off leader expires", func() bool {
		_, err := h.At(cut, h.keys.Caller).Request(h.ctx, Service, "x", nil, true)
		return code(err) == api.Stale
	})
	_, err = h.At(cut, h.Secret()).PutTeam(h.ctx, api.Team{Name: "at-old-leader", Weight: 1})
	h.True(err != nil)
	refused := ran(err)
	h.True(refused == api.RanNo || refused == api.RanUnknown)
	// The tasks of the killed worker run again only after its lease has expired.
	h.until("the job ends during the cut", func() bool {
		x, err := h.At(other, h.keys.Caller).Job(h.ctx, j.ID)
		return err == nil && x.State == "succeeded"
	})
	h.Cut(cut, false)
	h.until("the VM that was cut off has a valid view", func() bool {
		n, _ := h.Node(cut)
		return ready(n)
	})
	first, err := h.At(other, h.Secret()).Catalogue(h.ctx)
	h.NoErr(err)
	h.True(first.Version >= changed.Version)
	for _, x := range first.Teams {
		h.True(x.Name != "at-old-leader" || refused == api.RanUnknown)
	}
	for _, n := range h.Nodes {
		all, err := h.At(n.Name, h.Secret()).Catalogue(h.ctx)
		h.NoErr(err)
		h.Equal(all, first)
	}
	h.until("every entry VM reports the version", func() bool {
		s, err := h.Operator().Status(h.ctx)
		return err == nil && len(s.Entries) == len(h.Nodes) &&
			!slices.ContainsFunc(s.Entries, func(n api.Node) bool { return n.Version != first.Version })
	})
	all := h.history(names, halted)
	h.checkNoOverlap(all)
	h.checkRerunReasons(all, "dying")
	for id, runs := range all {
		h.Equal(id.job, j.ID)
		h.Equal(runs[len(runs)-1].Outcome, "succeeded")
	}
}
