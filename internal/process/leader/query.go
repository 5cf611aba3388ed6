package leader

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// maxJobs bounds the jobs in one answer.
const maxJobs = 1000

// query answers requests for lists and explanations. The state of a leader within
// its lease contains every command that was acknowledged before.
func (l *Leader) query(_ context.Context, _ string, q *control.Query) (any, error) {
	t := l.activeTerm.Load()
	if t == nil {
		return nil, l.notLeader()
	}
	a := control.Answer{Found: true}
	switch q.Kind {
	case control.QueryCatalogue:
		a.Catalogue = t.catalogueView(q)
		a.Found = q.Name == "" || len(a.Catalogue.Teams)+len(a.Catalogue.Entries)+len(a.Catalogue.Keys) > 0
	case control.QueryWorkers:
		a.Workers = t.workerViews(q)
		a.Found = q.Name == "" || len(a.Workers) > 0
	case control.QueryUpstreams:
		a.Upstreams = t.upstreamViews(q)
	case control.QueryQueues:
		a.Queues = t.queueViews(q)
		a.Found = q.Name == "" || len(a.Queues) > 0
	case control.QueryStatus:
		a.Status = t.statusView()
	case control.QueryIntent:
		var known state.Record
		if known, a.Found = t.state().Intent(q.Team, q.Name, q.Identity); a.Found {
			a.Known = &known
		}
	case control.QueryJob:
		a.Jobs, a.Found = t.job(q)
	case control.QueryJobs:
		a.Jobs = t.state().Jobs(q.Team, maxJobs)
	case control.QueryExplain:
		a.Text, a.Found = t.explain(q)
	default:
		return nil, &peer.RemoteError{Code: CodeInvalid, Message: "the kind of the query is not known"}
	}
	return t.answerIfLeading(control.MethodQuery, a)
}

// catalogueView returns the catalogue including retired and withdrawn objects,
// restricted to a name and to what a team may see.
func (t *term) catalogueView(q *control.Query) control.Catalogue {
	c := t.state().Catalogue(true)
	return control.Catalogue{
		Version: c.Version, Whole: true,
		Teams: slices.DeleteFunc(c.Teams, func(m work.Team) bool {
			return q.Name != "" && q.Name != m.Name || q.Team != "" && q.Team != m.Name
		}),
		Entries: slices.DeleteFunc(c.Entries, func(e work.Entry) bool {
			return q.Name != "" && q.Name != e.Name || q.Team != "" && q.Team != e.Owner && !e.Open
		}),
		Keys: slices.DeleteFunc(c.Keys, func(k work.Key) bool {
			return q.Name != "" && q.Name != k.Name || q.Team != "" && q.Team != k.Team
		}),
	}
}

func (t *term) workerViews(q *control.Query) []control.WorkerView {
	var out []control.WorkerView
	for _, w := range t.state().Workers() {
		if q.Name != "" && q.Name != w.Worker.Name || q.Team != "" && w.Worker.Team != "" && w.Worker.Team != q.Team {
			continue
		}
		v := control.WorkerView{Worker: w.Worker, Reserved: w.Reserved, Tasks: w.Tasks}
		t.leases.With(w.Worker.Name, func(leases map[string]*lease) {
			if l := leases[w.Worker.Name]; l != nil {
				v.Lease = l.deadline
			}
		})
		out = append(out, v)
	}
	t.schedulerMu.Lock()
	defer t.schedulerMu.Unlock()
	for i := range out {
		out[i].Aside = t.scheduler.Quarantined(out[i].Worker.Name)
	}
	return out
}

func (t *term) upstreamViews(q *control.Query) []control.Route {
	t.sessions.mu.Lock()
	defer t.sessions.mu.Unlock()
	var out []control.Route
	for _, id := range t.sessions.runners.sortedIDs() {
		n := t.sessions.runners.byID[id]
		if n.route.Gone || q.Name != "" && q.Name != id.Entry {
			continue
		}
		if e, ok := t.state().Entry(id.Entry); q.Team != "" && (!ok || e.Owner != q.Team) {
			continue
		}
		out = append(out, n.route)
	}
	return out
}

func (t *term) queueViews(q *control.Query) []control.QueueView {
	var out []control.QueueView
	for _, l := range t.state().EntryLoads(q.Team) {
		if q.Name == "" || q.Name == l.Entry {
			out = append(out, control.QueueView(l))
		}
	}
	return out
}

func (t *term) statusView() *control.StatusView {
	s := t.state()
	v := &control.StatusView{
		Leader: t.leader.options.Name, Term: t.number, Applied: s.Index(), Catalogue: s.CatalogueVersion(),
	}
	if t.leader.options.Members != nil {
		v.Members = t.leader.options.Members()
	}
	t.sessions.mu.Lock()
	defer t.sessions.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(t.sessions.entries)) {
		e := t.sessions.entries[name]
		v.Entries = append(v.Entries, control.EntryView{
			Name: name, Zone: e.zone, Draining: e.draining, Version: e.catalogueVersion, Deadline: e.deadline,
		})
	}
	return v
}

// job returns the requested job if the team may see it.
func (t *term) job(q *control.Query) ([]work.Job, bool) {
	j, ok := t.state().Job(q.Job)
	if !ok || q.Team != "" && q.Team != j.Team {
		return nil, false
	}
	return []work.Job{j}, true
}

// explain describes what a job waits for or how it ended.
func (t *term) explain(q *control.Query) (string, bool) {
	jobs, ok := t.job(q)
	if !ok {
		return "", false
	}
	j := &jobs[0]
	if jobFinished(j) {
		text := "the job is over: " + string(j.State)
		if j.Reason != "" {
			text += ", " + j.Reason
		}
		return text + ", at " + j.Ended.Format(time.RFC3339), true
	}
	now := t.now()
	t.schedulerMu.Lock()
	defer t.schedulerMu.Unlock()
	return strings.TrimSpace(t.scheduler.Explain(j.ID, now)), true
}

func jobFinished(j *work.Job) bool {
	return j.State == work.JobSucceeded || j.State == work.JobFailed || j.State == work.JobCancelled
}
