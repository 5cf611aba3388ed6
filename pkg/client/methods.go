package client

import (
	"context"
	"net/url"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// Catalogue returns all teams, entries and keys. Keys have no secrets.
func (c *Client) Catalogue(ctx context.Context) (api.Catalogue, error) {
	return read[api.Catalogue](ctx, c, "/v1/catalogue")
}

// PutTeam adds, changes or retires a team. Version must be that of the team as
// it was read, zero for a new one; else the error is a conflict that names the
// current version.
func (c *Client) PutTeam(ctx context.Context, team api.Team) (api.Changed, error) {
	return change[api.Changed](ctx, c, fasthttp.MethodPut, "/v1/catalogue/teams/"+url.PathEscape(team.Name), team)
}

// PutEntry adds, changes or retires an entry, with Version as in PutTeam.
func (c *Client) PutEntry(ctx context.Context, entry api.Entry) (api.Changed, error) {
	return change[api.Changed](ctx, c, fasthttp.MethodPut, "/v1/catalogue/entries/"+url.PathEscape(entry.Name), entry)
}

// PutKey adds a key, gives it a new secret, or withdraws it, with Version as in
// PutTeam. The secret is only in the answer to this call.
func (c *Client) PutKey(ctx context.Context, key api.Key) (api.Changed, error) {
	return change[api.Changed](ctx, c, fasthttp.MethodPut, "/v1/keys/"+url.PathEscape(key.Name), key)
}

// Keys returns all keys, without secrets.
func (c *Client) Keys(ctx context.Context) ([]api.Key, error) {
	return read[[]api.Key](ctx, c, "/v1/keys")
}

// Workers returns all workers.
func (c *Client) Workers(ctx context.Context) ([]api.Worker, error) {
	return read[[]api.Worker](ctx, c, "/v1/workers")
}

// Drain keeps new tasks from a worker. Those that run there go on.
func (c *Client) Drain(ctx context.Context, worker string) error {
	_, err := change[api.Changed](ctx, c, fasthttp.MethodPost, "/v1/workers/"+url.PathEscape(worker)+"/drain", nil)
	return err
}

// Undrain lets a worker get new tasks again.
func (c *Client) Undrain(ctx context.Context, worker string) error {
	_, err := change[api.Changed](ctx, c, fasthttp.MethodPost, "/v1/workers/"+url.PathEscape(worker)+"/undrain", nil)
	return err
}

// Upstreams returns all announced runners.
func (c *Client) Upstreams(ctx context.Context) ([]api.Upstream, error) {
	return read[[]api.Upstream](ctx, c, "/v1/upstreams")
}

// Queues returns the load of each entry.
func (c *Client) Queues(ctx context.Context) ([]api.Queue, error) {
	return read[[]api.Queue](ctx, c, "/v1/queues")
}

// Status returns the state of the control group and the entry VMs.
func (c *Client) Status(ctx context.Context) (api.Status, error) {
	return read[api.Status](ctx, c, "/v1/status")
}

// Members returns the replicas of the control group.
func (c *Client) Members(ctx context.Context) ([]api.Member, error) {
	return read[[]api.Member](ctx, c, "/v1/members")
}

// RemoveMember removes a replica from the control group.
func (c *Client) RemoveMember(ctx context.Context, name string) error {
	_, err := change[api.Changed](ctx, c, fasthttp.MethodDelete, "/v1/members/"+url.PathEscape(name), nil)
	return err
}

// Filter restricts Jobs. Empty fields restrict nothing.
type Filter struct {
	Entry string
	Team  string
	State string // queued, running, succeeded, failed, cancelled
}

// Jobs returns the jobs that a filter allows.
func (c *Client) Jobs(ctx context.Context, filter Filter) ([]api.Job, error) {
	v := url.Values{}
	for _, p := range [...][2]string{{"entry", filter.Entry}, {"team", filter.Team}, {"state", filter.State}} {
		if p[1] != "" {
			v.Set(p[0], p[1])
		}
	}
	path := "/v1/jobs"
	if len(v) > 0 {
		path += "?" + v.Encode()
	}
	return read[[]api.Job](ctx, c, path)
}

func jobPath(id uint64) string { return "/v1/jobs/" + strconv.FormatUint(id, 10) }

// Explain tells why a job is where it is.
func (c *Client) Explain(ctx context.Context, id uint64) (string, error) {
	x, err := read[api.Explanation](ctx, c, jobPath(id)+"/explain")
	return x.Text, err
}

// Submit submits a job.
func (c *Client) Submit(ctx context.Context, submission api.Submission) (api.Job, error) {
	return change[api.Job](ctx, c, fasthttp.MethodPost, "/v1/jobs", submission)
}

// Job returns a job.
func (c *Client) Job(ctx context.Context, id uint64) (api.Job, error) {
	return read[api.Job](ctx, c, jobPath(id))
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id uint64) (api.Job, error) {
	return change[api.Job](ctx, c, fasthttp.MethodDelete, jobPath(id), nil)
}

// Ended reports whether no task of a job will start again.
func Ended(job api.Job) bool {
	return job.State == "succeeded" || job.State == "failed" || job.State == "cancelled"
}

// Wait returns a job once it has ended, or the last known state of the job
// with an error once ctx has. Without a deadline in ctx it waits without end.
func (c *Client) Wait(ctx context.Context, id uint64) (api.Job, error) {
	var last api.Job
	for {
		j, err := c.Job(ctx, id)
		if err != nil {
			return last, err
		}
		if last = j; Ended(j) {
			return j, nil
		}
		if !sleep(ctx, pollInterval) {
			return last, &api.Error{Code: api.Timeout, Message: "the job has not ended yet: " + ctx.Err().Error(), Ran: api.RanUnknown}
		}
	}
}

// Response is a service's answer.
type Response struct {
	Status int
	Header [][2]string
	Body   []byte
}

// Request sends a request to a service. It is resent after a doubtful outcome
// only if idempotent is set, or if WithIdentity gave it a key under which the
// system runs it at most once. The error is a *api.Error, also if the service
// itself answered with a status of 400 or above; the Response then holds that
// answer.
func (c *Client) Request(ctx context.Context, entry, path string, body []byte, idempotent bool) (Response, error) {
	id := identity(ctx)
	a, e := c.do(ctx, call{
		method: fasthttp.MethodPost, path: "/v1/services/" + url.PathEscape(entry) + "/" + path,
		body: body, kind: "application/octet-stream", identity: id, safe: idempotent || id != "",
	})
	var r Response
	if a != nil {
		r = Response{Status: a.status, Header: a.header, Body: a.body}
	}
	if e != nil {
		return r, e
	}
	return r, nil
}

// Announce tells that a runner serves, until the deadline in the answer.
func (c *Client) Announce(ctx context.Context, runner string, a api.Announcement) (api.Accepted, error) {
	return with[api.Accepted](ctx, c, call{method: fasthttp.MethodPost, path: "/v1/runners/" + url.PathEscape(runner) + "/announce", safe: true}, a)
}

// Leave tells that a runner takes no new requests.
func (c *Client) Leave(ctx context.Context, runner string, l api.Leave) (api.Accepted, error) {
	return with[api.Accepted](ctx, c, call{method: fasthttp.MethodPost, path: "/v1/runners/" + url.PathEscape(runner) + "/leave", safe: true}, l)
}

// Poll reports the state of a worker and returns its orders. The worker's
// lease counts from before the call, whichever send of it was answered.
func (c *Client) Poll(ctx context.Context, worker string, p api.Poll) (api.Orders, error) {
	return with[api.Orders](ctx, c, call{method: fasthttp.MethodPost, path: "/v1/workers/" + url.PathEscape(worker) + "/poll", safe: true}, p)
}

// LeaveWorker tells that a worker has stopped its tasks and goes.
func (c *Client) LeaveWorker(ctx context.Context, worker string, p api.Poll) error {
	_, err := with[api.Accepted](ctx, c, call{method: fasthttp.MethodPost, path: "/v1/workers/" + url.PathEscape(worker) + "/leave", safe: true}, p)
	return err
}
