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
	return get[api.Catalogue](ctx, c, "/v1/catalogue")
}

// PutTeam adds, changes or retires a team. Version must be that of the team as it
// was read, or zero for a new team. Otherwise the error has the code
// api.Conflict and states the current version.
func (c *Client) PutTeam(ctx context.Context, team api.Team) (api.Changed, error) {
	return change[api.Changed](ctx, c, fasthttp.MethodPut, "/v1/catalogue/teams/"+url.PathEscape(team.Name), team)
}

// PutEntry adds, changes or retires an entry, with Version as in PutTeam.
func (c *Client) PutEntry(ctx context.Context, entry api.Entry) (api.Changed, error) {
	return change[api.Changed](ctx, c, fasthttp.MethodPut, "/v1/catalogue/entries/"+url.PathEscape(entry.Name), entry)
}

// PutKey adds a key, gives it a new secret, or withdraws it, with Version as in
// PutTeam. Only the response to this call contains the secret.
func (c *Client) PutKey(ctx context.Context, key api.Key) (api.Changed, error) {
	return change[api.Changed](ctx, c, fasthttp.MethodPut, "/v1/keys/"+url.PathEscape(key.Name), key)
}

// Keys returns all keys, without secrets.
func (c *Client) Keys(ctx context.Context) ([]api.Key, error) {
	return get[[]api.Key](ctx, c, "/v1/keys")
}

// Workers returns all workers.
func (c *Client) Workers(ctx context.Context) ([]api.Worker, error) {
	return get[[]api.Worker](ctx, c, "/v1/workers")
}

// Drain stops the placement of new tasks on a worker. Running tasks continue.
func (c *Client) Drain(ctx context.Context, worker string) error {
	_, err := change[api.Changed](ctx, c, fasthttp.MethodPost, "/v1/workers/"+url.PathEscape(worker)+"/drain", nil)
	return err
}

// Undrain allows new tasks on a worker again.
func (c *Client) Undrain(ctx context.Context, worker string) error {
	_, err := change[api.Changed](ctx, c, fasthttp.MethodPost, "/v1/workers/"+url.PathEscape(worker)+"/undrain", nil)
	return err
}

// Upstreams returns all announced runners.
func (c *Client) Upstreams(ctx context.Context) ([]api.Upstream, error) {
	return get[[]api.Upstream](ctx, c, "/v1/upstreams")
}

// Queues returns the queued and running work of each entry.
func (c *Client) Queues(ctx context.Context) ([]api.Queue, error) {
	return get[[]api.Queue](ctx, c, "/v1/queues")
}

// Status returns the state of the control group and the entry VMs.
func (c *Client) Status(ctx context.Context) (api.Status, error) {
	return get[api.Status](ctx, c, "/v1/status")
}

// Members returns the replicas of the control group.
func (c *Client) Members(ctx context.Context) ([]api.Member, error) {
	return get[[]api.Member](ctx, c, "/v1/members")
}

// RemoveMember removes a replica from the control group.
func (c *Client) RemoveMember(ctx context.Context, name string) error {
	_, err := change[api.Changed](ctx, c, fasthttp.MethodDelete, "/v1/members/"+url.PathEscape(name), nil)
	return err
}

// Filter selects jobs for Jobs. Empty fields match every job.
type Filter struct {
	Entry string
	Team  string
	State string // queued, running, succeeded, failed, cancelled
}

// Jobs returns the jobs that match a filter.
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
	return get[[]api.Job](ctx, c, path)
}

func jobPath(id uint64) string { return "/v1/jobs/" + strconv.FormatUint(id, 10) }

// Explain returns a text that explains the state of a job.
func (c *Client) Explain(ctx context.Context, id uint64) (string, error) {
	x, err := get[api.Explanation](ctx, c, jobPath(id)+"/explain")
	return x.Text, err
}

// Submit submits a job.
func (c *Client) Submit(ctx context.Context, submission api.Submission) (api.Job, error) {
	return change[api.Job](ctx, c, fasthttp.MethodPost, "/v1/jobs", submission)
}

// Job returns a job.
func (c *Client) Job(ctx context.Context, id uint64) (api.Job, error) {
	return get[api.Job](ctx, c, jobPath(id))
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id uint64) (api.Job, error) {
	return change[api.Job](ctx, c, fasthttp.MethodDelete, jobPath(id), nil)
}

// Ended reports whether a job is in a final state, so that none of its tasks will
// start again.
func Ended(job api.Job) bool {
	return job.State == "succeeded" || job.State == "failed" || job.State == "cancelled"
}

// Wait polls a job until it has ended and returns it. If a poll fails or ctx is
// done before, it returns the last known state of the job and an error. Without a
// deadline in ctx, it waits indefinitely.
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

// Response is the response of a service.
type Response struct {
	Status int
	Header [][2]string
	Body   []byte
}

// Request sends a request to a service. After an unknown outcome it is retried
// only if idempotent is set, or if WithIdentity has set an Idempotency-Key, under
// which the system executes it at most once. The error is a *api.Error, even if
// the service itself responded with a status of 400 or above; that response is
// then returned along with the error.
func (c *Client) Request(ctx context.Context, entry, path string, body []byte, idempotent bool) (Response, error) {
	id := idempotencyKey(ctx)
	a, e := c.do(ctx, call{
		method: fasthttp.MethodPost, path: "/v1/services/" + url.PathEscape(entry) + "/" + path,
		body: body, contentType: "application/octet-stream", idempotencyKey: id, retrySafe: idempotent || id != "",
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

// Announce announces a runner until the deadline in the response.
func (c *Client) Announce(ctx context.Context, runner string, a api.Announcement) (api.Accepted, error) {
	return callJSON[api.Accepted](ctx, c, call{method: fasthttp.MethodPost, path: "/v1/runners/" + url.PathEscape(runner) + "/announce", retrySafe: true}, a)
}

// Leave withdraws a runner, which then gets no new requests.
func (c *Client) Leave(ctx context.Context, runner string, l api.Leave) (api.Accepted, error) {
	return callJSON[api.Accepted](ctx, c, call{method: fasthttp.MethodPost, path: "/v1/runners/" + url.PathEscape(runner) + "/leave", retrySafe: true}, l)
}

// Poll reports the state of a worker and returns its orders. The worker must count
// its lease from before the call, regardless of which attempt got the response.
func (c *Client) Poll(ctx context.Context, worker string, p api.Poll) (api.Orders, error) {
	return callJSON[api.Orders](ctx, c, call{method: fasthttp.MethodPost, path: "/v1/workers/" + url.PathEscape(worker) + "/poll", retrySafe: true}, p)
}

// LeaveWorker reports that a worker has stopped its tasks and leaves.
func (c *Client) LeaveWorker(ctx context.Context, worker string, p api.Poll) error {
	_, err := callJSON[api.Accepted](ctx, c, call{method: fasthttp.MethodPost, path: "/v1/workers/" + url.PathEscape(worker) + "/leave", retrySafe: true}, p)
	return err
}
