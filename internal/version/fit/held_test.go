package fit

import (
	"testing"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// playedHeld is what workspaces hold of the pools in a replay, as of the last 200 ms.
type playedHeld struct {
	at     time.Time
	shares map[job.UseKey]float64
}

// set sets the levels of demands beyond their weights.
func (h *playedHeld) set(r *loadReplay, demands []*Demand, at time.Time) {
	if h == nil {
		return
	}
	if at.Sub(h.at) >= 200*time.Millisecond {
		h.at, h.shares = at, map[job.UseKey]float64{}
		for _, e := range r.ends {
			h.shares[job.UseKey{Workspace: e.job.workspace, Pool: e.worker.Pool}] += Dominant(e.job.size, r.capacity[e.worker.Pool])
		}
	}
	for _, d := range demands {
		d.Held = HeldLevel(h.shares[job.UseKey{Workspace: d.Workspace, Pool: d.Pool}], r.weights[d.Workspace])
	}
}

// floodOfWideWork returns the load of burst.txt on smaller pools, a quarter of the jobs of one
// workspace given to the other, and the tasks of its wide jobs multiplied.
func floodOfWideWork(t *testing.T, part, width int) *recordedLoad {
	l := readLoad(t, "burst.txt")
	for i := range l.pools {
		l.pools[i].workers /= part
	}
	for i, j := range l.jobs {
		switch {
		case j.workspace != "removals":
		case i%4 == 0:
			j.workspace = "offices"
		case len(j.steps) == 1 && len(j.steps[0]) > 1:
			for range width {
				j.steps[0] = append(j.steps[0], j.steps[0][0])
			}
		}
	}
	return l
}

// Replays bursts of which one workspace submits wide work, both beyond their weights. Guards against
// a workspace that takes the places of another one with as many, but far wider submissions.
func TestReplayFloodOfWideWork(t *testing.T) {
	var after, before, allAfter, allBefore int
	for _, part := range []int{2, 3} {
		for _, width := range []int{0, 20} {
			for _, h := range []*playedHeld{nil, {}} {
				r := newLoadReplay(floodOfWideWork(t, part, width))
				r.weights, r.held = map[string]float64{"removals": 1.5, "offices": 1.5}, h
				r.play()
				other, all := 0, 0
				for _, j := range r.jobs {
					if !j.done.IsZero() && j.done.Sub(j.at) <= j.objective() {
						all++
						if j.workspace == "offices" {
							other++
						}
					}
				}
				if h == nil {
					before, allBefore = before+other, allBefore+all
				} else {
					after, allAfter = after+other, allAfter+all
				}
			}
		}
	}
	t.Logf("the other workspace in time %d, before %d; all %d, before %d", after, before, allAfter, allBefore)
	if after <= before || allAfter < allBefore {
		t.Errorf("the other workspace in time %d, before %d; all %d, before %d", after, before, allAfter, allBefore)
	}
}
