package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

const (
	// countSeconds is how long verdicts on submissions are counted.
	countSeconds = 60
	// refusingTime is how long after its latest refusal a pool counts as refusing.
	refusingTime = 5 * time.Second
	// viewInterval is the interval at which the operators' view of what waits is renewed.
	viewInterval = 500 * time.Millisecond
)

// loadKey names a workspace in a pool.
type loadKey struct{ pool, workspace string }

// loadView is what operators are shown of the load of a workspace in a pool.
type loadView struct {
	api.WorkspaceLoad // without what verdicts hold
	verdicts          []countedVerdict
}

// countedVerdict counts submissions in one second that got the same verdict.
type countedVerdict struct {
	second int64
	reason string // empty if they were accepted
	jobs   int
}

// refusing is since when, and until when at least, a pool refuses jobs.
type refusing struct{ since, latest time.Time }

// view returns the view of a workspace in a pool. The caller holds the lock.
func (t *term) view(pool, workspace string) *loadView {
	k := loadKey{pool, workspace}
	if t.views[k] == nil {
		t.views[k] = &loadView{}
	}
	return t.views[k]
}

// noteVerdict counts a submission that the load decided on. The caller holds the lock.
func (t *term) noteVerdict(pool, workspace string, v cell.Verdict) {
	now := t.now()
	w := t.view(pool, workspace)
	second := now.Unix()
	w.verdicts = slices.DeleteFunc(w.verdicts, func(c countedVerdict) bool { return c.second <= second-countSeconds })
	n := slices.IndexFunc(w.verdicts, func(c countedVerdict) bool { return c.second == second && c.reason == v.Message })
	if n < 0 {
		n, w.verdicts = len(w.verdicts), append(w.verdicts, countedVerdict{second: second, reason: v.Message})
	}
	w.verdicts[n].jobs++
	if v.Code != cell.Busy || v.Message == fit.Infeasible {
		return
	}
	r := t.refusing[pool]
	if r == nil {
		r = &refusing{since: now}
		t.refusing[pool] = r
		t.emit(event.PoolRefuses, zap.String("pool", pool), zap.String("workspace", workspace), zap.String("reason", v.Message))
	}
	r.latest = now
}

// What a waiting task waits for, as operators are shown it.
const (
	bindsRoom       = "room"
	bindsShape      = "shape"
	bindsLimit      = "limit"
	bindsTicket     = "ticket"
	bindsHeadroom   = "headroom"
	bindsEvacuation = "evacuation"
)

// bindings names what a waiting task waits for, for operators.
var bindings = map[string]string{
	fit.NoCapacity: bindsRoom, fit.NextPlan: bindsRoom, fit.NoTrial: bindsRoom, fit.NoSuitableWorker: bindsShape, fit.AtLimit: bindsLimit,
	fit.NoAdvice: bindsTicket, fit.NoneAllowed: bindsTicket, fit.UrgentHeadroom: bindsHeadroom,
}

// noteLoad records what waits after a plan, and what for. The caller holds the lock.
func (t *term) noteLoad(v *job.View, demands []*fit.Demand, plan *fit.Plan, now time.Time) {
	for pool, r := range t.refusing {
		if now.Sub(r.latest) >= refusingTime {
			t.emit(event.PoolAccepts, zap.String("pool", pool), zap.Duration("after", r.latest.Sub(r.since)))
			delete(t.refusing, pool)
		}
	}
	if now.Sub(t.viewedAt) < viewInterval {
		return
	}
	t.viewedAt = now
	fresh := map[loadKey]*loadView{}
	for k, w := range t.views {
		n := &loadView{verdicts: w.verdicts}
		n.Binds, n.Since = w.Binds, w.Since
		if len(w.verdicts) > 0 || w.Binds != "" {
			fresh[k] = n
		}
	}
	t.views = fresh
	t.countWaiting(demands, now)
	counts := map[loadKey]map[string]int{}
	for i := range plan.Blocks {
		b := &plan.Blocks[i]
		k := loadKey{b.Demand.Pool, b.Demand.Workspace}
		if counts[k] == nil {
			counts[k] = map[string]int{}
		}
		counts[k][t.binding(v, b)] += len(b.Left())
	}
	for k, w := range t.views {
		if binds := most(counts[k]); binds != w.Binds {
			w.Binds, w.Since = binds, time.Time{}
			if binds != "" {
				w.Since = now
			}
		}
	}
}

// countWaiting counts the tasks that wait, and their jobs by rank.
func (t *term) countWaiting(demands []*fit.Demand, now time.Time) {
	seen := map[job.ID]bool{}
	for _, d := range demands {
		if d.Prefetch {
			continue
		}
		w := t.view(d.Pool, d.Workspace)
		if w.Waiting == nil {
			w.Waiting = make([]int, 3)
		}
		w.Waiting[min(max(d.Priority, 0), len(w.Waiting)-1)] += len(d.Tasks)
		if seen[d.Step.Job] {
			continue
		}
		seen[d.Step.Job] = true
		switch {
		case d.Spec.Lasting:
		case now.After(d.Expiry):
			w.Expired++
		case now.After(d.Deadline):
			w.Late++
		case d.Beyond:
			w.Beyond++
		}
	}
}

// binding returns what the tasks of a block wait for. A pool whose workers are all
// evacuated has none that could have room.
func (t *term) binding(v *job.View, b *fit.Block) string {
	binds := bindings[b.Reason]
	if binds != bindsRoom && binds != bindsShape || len(v.Evacuated) == 0 {
		return binds
	}
	for _, w := range t.workers {
		if _, evacuated := v.Evacuated[w.Zone]; w.Pool == b.Demand.Pool && !evacuated {
			return binds
		}
	}
	return bindsEvacuation
}

// most returns the name with the largest count, the first of equal ones.
func most(counts map[string]int) string {
	name := ""
	for _, n := range slices.Sorted(maps.Keys(counts)) {
		if counts[n] > counts[name] {
			name = n
		}
	}
	return name
}

// cellLoad returns the load of the pools.
func (t *term) cellLoad() (api.CellLoad, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	a := api.CellLoad{Leading: t.began, At: now}
	pools := map[string]*api.PoolLoad{}
	for _, k := range slices.SortedFunc(maps.Keys(t.views), func(a, b loadKey) int {
		return cmp.Or(strings.Compare(a.pool, b.pool), strings.Compare(a.workspace, b.workspace))
	}) {
		p := pools[k.pool]
		if p == nil {
			p = &api.PoolLoad{Pool: k.pool, Idle: t.idlePools[k.pool]}
			if r := t.refusing[k.pool]; r != nil {
				p.Refusing, p.Since = true, r.since
			}
			pools[k.pool] = p
		}
		p.Workspaces = append(p.Workspaces, t.views[k].show(k.workspace, now))
	}
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		a.Pools = append(a.Pools, *pools[name])
	}
	return a, true
}

// show returns what operators are shown.
func (l *loadView) show(workspace string, now time.Time) api.WorkspaceLoad {
	w := l.WorkspaceLoad
	w.Workspace = workspace
	if w.Waiting == nil {
		w.Waiting = make([]int, 3)
	}
	for _, c := range l.verdicts {
		switch {
		case c.second <= now.Unix()-countSeconds:
		case c.reason == "":
			w.Accepted += c.jobs
		default:
			if w.Reasons == nil {
				w.Reasons = map[string]int{}
			}
			w.Refused += c.jobs
			w.Reasons[c.reason] += c.jobs
		}
	}
	return w
}

// Refusing returns the number of pools that refuse jobs.
func (d *Dispatcher) Refusing() int {
	t := d.current.Load()
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.refusing)
}
