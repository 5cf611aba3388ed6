package operator

import (
	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/request/web"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// list queries the leader for a list and converts each element.
func list[S, D any](a *Adapter, r *request, query control.Query, of func(control.Answer) []S, convert func(*S) D) ([]D, *api.Error) {
	answer, err := a.options.Leader.Query(r, query)
	if err != nil {
		return nil, web.ControlError(err)
	}
	return convertAll(of(answer), convert), nil
}

// convertAll converts a list. The result is never nil, so that JSON encodes it
// as [] rather than null.
func convertAll[S, D any](list []S, convert func(*S) D) []D {
	out := make([]D, len(list))
	for i := range list {
		out[i] = convert(&list[i])
	}
	return out
}

func apiTeam(t *work.Team) api.Team {
	return api.Team{
		Name: t.Name, Weight: t.Weight, Limit: web.Size(t.Limit), Tasks: t.Tasks, Requests: t.Requests,
		Version: t.Version, Retired: t.Retired,
	}
}

func apiEntry(e *work.Entry) api.Entry {
	return api.Entry{
		Name: e.Name, Owner: e.Owner, Class: string(e.Class), Open: e.Open, Idempotent: e.Idempotent,
		Maximum: web.Size(e.Maximum), Tasks: e.Tasks, Body: e.Body, Version: e.Version, Retired: e.Retired,
	}
}

func apiKey(k *work.Key) api.Key {
	return api.Key{Name: k.Name, Team: k.Team, Role: string(k.Role), Version: k.Version, Withdrawn: k.Withdrawn}
}

func (a *Adapter) catalogue(r *request) (any, *api.Error) {
	answer, err := a.options.Leader.Query(r, control.Query{Kind: control.QueryCatalogue})
	if err != nil {
		return nil, web.ControlError(err)
	}
	c := answer.Catalogue
	return api.Catalogue{Version: c.Version, Teams: convertAll(c.Teams, apiTeam), Entries: convertAll(c.Entries, apiEntry), Keys: convertAll(c.Keys, apiKey)}, nil
}

func (a *Adapter) keys(r *request) (any, *api.Error) {
	return list(a, r, control.Query{Kind: control.QueryCatalogue},
		func(answer control.Answer) []work.Key { return answer.Catalogue.Keys }, apiKey)
}

func (a *Adapter) workers(r *request) (any, *api.Error) {
	return list(a, r, control.Query{Kind: control.QueryWorkers},
		func(answer control.Answer) []control.WorkerView { return answer.Workers },
		func(v *control.WorkerView) api.Worker {
			w := &v.Worker
			return api.Worker{
				Name: w.Name, Zone: w.Zone, Rack: w.Rack, Capacity: web.Size(w.Capacity), Reserved: web.Size(v.Reserved),
				Tasks: v.Tasks, Drained: w.Drained, Aside: v.Aside, Gone: w.Gone, Lease: v.Lease,
			}
		})
}

func (a *Adapter) upstreams(r *request) (any, *api.Error) {
	return list(a, r, control.Query{Kind: control.QueryUpstreams},
		func(answer control.Answer) []control.Route { return answer.Upstreams },
		func(u *control.Route) api.Upstream {
			return api.Upstream{Entry: u.Runner.Entry, Name: u.Runner.Name, Zone: u.Zone, Owner: u.Owner, Slots: u.Slots}
		})
}

func (a *Adapter) queues(r *request) (any, *api.Error) {
	return list(a, r, control.Query{Kind: control.QueryQueues},
		func(answer control.Answer) []control.QueueView { return answer.Queues },
		func(q *control.QueueView) api.Queue { return api.Queue(*q) })
}

func (a *Adapter) readStatus(r *request) (api.Status, *api.Error) {
	answer, err := a.options.Leader.Query(r, control.Query{Kind: control.QueryStatus})
	if err != nil {
		return api.Status{}, web.ControlError(err)
	}
	s := answer.Status
	if s == nil {
		s = &control.StatusView{}
	}
	return api.Status{
		Leader: s.Leader, Term: s.Term, Applied: s.Applied, Catalogue: s.Catalogue,
		Members: convertAll(s.Members, func(m *control.MemberView) api.Member { return api.Member(*m) }),
		Entries: convertAll(s.Entries, func(e *control.EntryView) api.Node { return api.Node(*e) }),
	}, nil
}

func (a *Adapter) status(r *request) (any, *api.Error) { return a.readStatus(r) }

func (a *Adapter) members(r *request) (any, *api.Error) {
	s, fail := a.readStatus(r)
	return s.Members, fail
}

func (a *Adapter) jobs(r *request) (any, *api.Error) {
	all, fail := list(a, r, control.Query{Kind: control.QueryJobs, Name: r.queryParameter("entry"), Team: r.queryParameter("team")},
		func(answer control.Answer) []work.Job { return answer.Jobs }, web.Job)
	state := r.queryParameter("state")
	if state == "" {
		return all, fail
	}
	filtered := []api.Job{}
	for _, j := range all {
		if j.State == state {
			filtered = append(filtered, j)
		}
	}
	return filtered, fail
}

func (a *Adapter) job(r *request) (any, *api.Error) {
	id, fail := r.jobID()
	if fail != nil {
		return nil, fail
	}
	answer, err := a.options.Leader.Query(r, control.Query{Kind: control.QueryJob, Job: id})
	if err != nil {
		return nil, web.ControlError(err)
	}
	if !answer.Found || len(answer.Jobs) == 0 {
		return nil, web.Refuse(api.UnknownJob, "there is no job %d", id)
	}
	return web.Job(&answer.Jobs[0]), nil
}

func (a *Adapter) explain(r *request) (any, *api.Error) {
	id, fail := r.jobID()
	if fail != nil {
		return nil, fail
	}
	answer, err := a.options.Leader.Query(r, control.Query{Kind: control.QueryExplain, Job: id})
	if err != nil {
		return nil, web.ControlError(err)
	}
	if !answer.Found {
		return nil, web.Refuse(api.UnknownJob, "there is no job %d", id)
	}
	return api.Explanation{Text: answer.Text}, nil
}
