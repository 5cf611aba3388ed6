package caller

import (
	"context"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/control"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/upstream"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/request/web"
	"github.com/rosemaryloft/rosemaryloft/internal/version/state"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

const (
	// maxTasks, maxSeconds and maxSubmissionBytes limit a submission.
	maxTasks           = 10_000
	maxSeconds         = int64(10 * 365 * 24 * time.Hour / time.Second)
	maxSubmissionBytes = 256 << 10
)

// jobs handles requests to the job paths.
func (a *Adapter) jobs(ctx *fasthttp.RequestCtx, path string) {
	key, fail := web.Authorize(ctx, a.options.Directory, work.CallerRole)
	if fail != nil {
		a.answerError(ctx, fail)
		return
	}
	deadline, fail := web.Deadline(ctx, a.options.Now(), upstream.RequestTimeout)
	if fail != nil {
		a.answerError(ctx, fail)
		return
	}
	call, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	method, text := string(ctx.Method()), strings.TrimPrefix(strings.TrimPrefix(path, jobsPath), "/")
	id, err := strconv.ParseUint(text, 10, 64)
	switch {
	case text == "" && method == fasthttp.MethodPost:
		a.submit(ctx, call, key)
	case text == "" && method == fasthttp.MethodGet:
		a.list(ctx, call, key)
	case text != "" && err != nil:
		a.answerError(ctx, web.Refuse(api.UnknownJob, "%q is not the number of a job", text))
	case text != "" && method == fasthttp.MethodGet:
		a.show(ctx, call, key, work.JobID(id), api.RanNo)
	case text != "" && method == fasthttp.MethodDelete:
		a.cancel(ctx, call, key, work.JobID(id))
	default:
		a.answerError(ctx, web.Refuse(api.UnknownRoute, "%s is not possible on %s", method, path))
	}
}

// submit handles POST /v1/jobs.
func (a *Adapter) submit(ctx *fasthttp.RequestCtx, call context.Context, key work.Key) {
	body, reserved, fail := a.readBody(ctx, maxSubmissionBytes)
	defer a.bytes.Add(-reserved)
	if fail != nil {
		a.answerError(ctx, fail)
		return
	}
	identity, fail := web.IdempotencyKey(ctx)
	if fail != nil {
		a.answerError(ctx, fail)
		return
	}
	if identity == "" {
		identity = randomID() // makes retries to the leader safe
	}
	submission, fail := parseSubmission(body)
	if fail != nil {
		a.answerError(ctx, fail)
		return
	}
	command := submission.command(key.Team, identity, a.options.Now())
	entry, err := a.options.Directory.Entry(submission.Entry)
	if err != nil {
		a.answerError(ctx, entryError(err, submission.Entry))
		return
	}
	result, err := a.options.Leader.Propose(call, command)
	if err != nil {
		a.refuseJob(ctx, key, web.ControlError(err))
		return
	}
	if fail := resultError(&result, submission.Entry); fail != nil {
		a.refuseJob(ctx, key, fail)
		return
	}
	a.options.Log.Emit(event.RequestJob, zap.String("action", "submit"), zap.Uint64("job", uint64(result.Job)),
		zap.String("team", key.Team), zap.String("entry", submission.Entry), zap.Uint32("tasks", submission.Tasks))
	job := command.Submit.Job
	job.ID, job.Class, job.State = result.Job, entry.Class, work.JobQueued
	job.Tasks = make([]work.Task, submission.Tasks)
	for i := range job.Tasks {
		job.Tasks[i] = work.Task{ID: work.TaskID{Job: job.ID, Index: uint32(i)}, State: work.TaskQueued}
	}
	web.JSON(ctx, fasthttp.StatusCreated, web.Job(&job))
}

func entryError(err error, entry string) *api.Error {
	if fail := web.ControlError(err); fail.Code != api.UnknownObject {
		return fail
	}
	return web.Refuse(api.UnknownEntry, "there is no entry %q", entry)
}

func (a *Adapter) refuseJob(ctx *fasthttp.RequestCtx, key work.Key, fail *api.Error) {
	a.options.Log.Emit(event.RequestJob, zap.String("team", key.Team), zap.String("code", string(fail.Code)),
		zap.String("ran", string(fail.Ran)))
	a.answerError(ctx, fail)
}

// submission is a validated api.Submission.
type submission struct{ api.Submission }

// parseSubmission decodes and validates the body of a submission. The state
// machine, which knows the current limits, checks those of the entry and the team.
func parseSubmission(body []byte) (*submission, *api.Error) {
	var s submission
	if fail := web.Decode(body, &s.Submission); fail != nil {
		return nil, fail
	}
	size := web.Resources(s.Size)
	switch {
	case s.Entry == "":
		return nil, web.Refuse(api.Malformed, "field \"entry\" is missing")
	case s.Tasks == 0 || s.Tasks > maxTasks:
		return nil, web.Refuse(api.Malformed, "field \"tasks\" must be 1 to %d", maxTasks)
	case !size.Valid() || size.Processors > math.MaxInt64/maxTasks || size.Memory > math.MaxInt64/maxTasks ||
		size.Accelerators > math.MaxInt64/maxTasks:
		return nil, web.Refuse(api.Malformed, "field \"size\" must be positive and within bounds")
	case s.Seconds < 0 || s.Seconds > maxSeconds:
		return nil, web.Refuse(api.Malformed, "field \"seconds\" must be 0 to %d", maxSeconds)
	}
	return &s, nil
}

func (s *submission) command(team, identity string, now time.Time) state.Command {
	job := work.Job{
		Entry: s.Entry, Team: team, Urgent: s.Urgent, Size: web.Resources(s.Size), Command: []byte(s.Command), Submitted: now,
	}
	if s.Seconds > 0 {
		job.Finish = now.Add(time.Duration(s.Seconds) * time.Second)
	}
	return state.Command{Request: identity, Submit: &state.Submit{Job: job, Count: s.Tasks}}
}

// resultError returns the error for the result of a job command, or nil if the
// result is OK.
func resultError(r *state.Result, entry string) *api.Error {
	switch r.Code {
	case state.OK:
		return nil
	case state.Denied:
		return web.Refuse(api.Forbidden, "%s", r.Message)
	case state.NotFound:
		return web.Refuse(api.UnknownEntry, "%s", r.Message)
	case state.Infeasible:
		return web.Refuse(api.Infeasible, "%s", r.Message)
	case state.Invalid:
		return web.Refuse(api.Malformed, "%s", r.Message)
	case state.Mismatch:
		return web.Refuse(api.Mismatch, "%s came with another submission before", api.IdempotencyHeader)
	}
	return web.Refuse(api.Internal, "the submission to %q was answered with %q: %s", entry, r.Code, r.Message)
}

// list handles GET /v1/jobs with the parameters entry and state.
func (a *Adapter) list(ctx *fasthttp.RequestCtx, call context.Context, key work.Key) {
	arguments := ctx.QueryArgs()
	state := string(arguments.Peek("state"))
	answer, err := a.options.Leader.Query(call, control.Query{
		Kind: control.QueryJobs, Name: string(arguments.Peek("entry")), Team: key.Team,
	})
	if err != nil {
		a.answerError(ctx, web.ControlError(err))
		return
	}
	jobs := []api.Job{}
	for i := range answer.Jobs {
		if j := &answer.Jobs[i]; j.Team == key.Team && (state == "" || state == string(j.State)) {
			jobs = append(jobs, web.Job(j))
		}
	}
	web.JSON(ctx, fasthttp.StatusOK, jobs)
}

// show answers with a job of the key's team. An error answer carries ran.
func (a *Adapter) show(ctx *fasthttp.RequestCtx, call context.Context, key work.Key, id work.JobID, ran api.Ran) {
	answer, err := a.options.Leader.Query(call, control.Query{Kind: control.QueryJob, Job: id, Team: key.Team})
	switch {
	case err != nil:
		fail := web.ControlError(err)
		fail.Ran = ran
		a.answerError(ctx, fail)
	case !answer.Found || len(answer.Jobs) == 0 || answer.Jobs[0].Team != key.Team:
		fail := web.Refuse(api.UnknownJob, "team %q has no job %d", key.Team, id)
		fail.Ran = ran
		a.answerError(ctx, fail)
	default:
		web.JSON(ctx, fasthttp.StatusOK, web.Job(&answer.Jobs[0]))
	}
}

// cancel handles DELETE /v1/jobs/{id}.
func (a *Adapter) cancel(ctx *fasthttp.RequestCtx, call context.Context, key work.Key, id work.JobID) {
	command := state.Command{Cancel: &state.Cancel{Team: key.Team, Jobs: []work.JobID{id}}}
	result, err := a.options.Leader.Propose(call, command)
	switch {
	case err != nil:
		a.refuseJob(ctx, key, web.ControlError(err))
		return
	case result.Code == state.NotFound:
		a.refuseJob(ctx, key, web.Refuse(api.UnknownJob, "team %q has no job %d", key.Team, id))
		return
	case result.Code != state.OK:
		a.refuseJob(ctx, key, web.Refuse(api.Internal, "the cancellation was answered with %q: %s", result.Code, result.Message))
		return
	}
	a.options.Log.Emit(event.RequestJob, zap.String("action", "cancel"), zap.Uint64("job", uint64(id)), zap.String("team", key.Team))
	a.show(ctx, call, key, id, api.RanYes)
}
