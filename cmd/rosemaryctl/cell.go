package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
	"github.com/rosemaryloft/rosemaryloft/pkg/client"
)

type workersCommand struct{}

// Run prints the workers.
func (*workersCommand) Run(s *session) error {
	list, err := s.Workers(s)
	if err != nil {
		return err
	}
	rows := make([][]any, len(list))
	for i, w := range list {
		rows[i] = []any{w.Name, w.Zone, w.Rack, w.Capacity, w.Reserved, w.Tasks, w.Drained, w.Aside, w.Gone, w.Lease}
	}
	return s.print(list, "NAME ZONE RACK CAPACITY RESERVED TASKS DRAINED ASIDE GONE LEASE", rows)
}

type upstreamsCommand struct{}

// Run prints the runners.
func (*upstreamsCommand) Run(s *session) error {
	list, err := s.Upstreams(s)
	if err != nil {
		return err
	}
	rows := make([][]any, len(list))
	for i, u := range list {
		rows[i] = []any{u.Entry, u.Name, u.Zone, u.Owner, u.Slots}
	}
	return s.print(list, "ENTRY NAME ZONE OWNER SLOTS", rows)
}

type queuesCommand struct{}

// Run prints the load of each entry.
func (*queuesCommand) Run(s *session) error {
	list, err := s.Queues(s)
	if err != nil {
		return err
	}
	rows := make([][]any, len(list))
	for i, q := range list {
		rows[i] = []any{q.Entry, q.Team, q.Queued, q.Running, q.Oldest}
	}
	return s.print(list, "ENTRY TEAM QUEUED RUNNING OLDEST", rows)
}

type statusCommand struct{}

// Run prints the status of the control group and the entry VMs.
func (*statusCommand) Run(s *session) error {
	v, err := s.Client.Status(s)
	if err != nil {
		return err
	}
	if s.json {
		return s.print(v, "", nil)
	}
	if err := s.print(nil, "LEADER TERM APPLIED CATALOGUE", [][]any{{v.Leader, v.Term, v.Applied, v.Catalogue}}); err != nil {
		return err
	}
	fmt.Fprintln(s.out)
	if err := s.printMembers(v.Members); err != nil {
		return err
	}
	fmt.Fprintln(s.out)
	rows := make([][]any, len(v.Entries))
	for i, e := range v.Entries {
		rows[i] = []any{e.Name, e.Zone, e.Draining, e.Version, e.Deadline}
	}
	return s.print(nil, "ENTRY-VM ZONE DRAINING VERSION DEADLINE", rows)
}

func (s *session) printMembers(list []api.Member) error {
	rows := make([][]any, len(list))
	for i, m := range list {
		rows[i] = []any{m.Name, fmt.Sprintf("%016x", m.Disk), m.Voter, m.Live, m.Matched}
	}
	return s.print(list, "MEMBER DISK VOTER LIVE MATCHED", rows)
}

type membersCommand struct {
	List   membersListCommand   `cmd:"" default:"1" help:"List replicas."`
	Remove membersRemoveCommand `cmd:"" help:"Remove a replica that does not come back."`
}

type membersListCommand struct{}

// Run prints the replicas of the control group.
func (*membersListCommand) Run(s *session) error {
	list, err := s.Client.Members(s)
	if err != nil {
		return err
	}
	return s.printMembers(list)
}

type membersRemoveCommand struct {
	Name string `arg:""`
}

// Run removes the replica from the control group.
func (c *membersRemoveCommand) Run(s *session) error { return s.printDone(s.RemoveMember(s, c.Name)) }

type drainCommand struct {
	Worker string `arg:""`
}

// Run drains the worker.
func (c *drainCommand) Run(s *session) error { return s.printDone(s.Client.Drain(s, c.Worker)) }

type undrainCommand struct {
	Worker string `arg:""`
}

// Run ends the drain of the worker.
func (c *undrainCommand) Run(s *session) error { return s.printDone(s.Client.Undrain(s, c.Worker)) }

type explainCommand struct {
	Job string   `arg:"" help:"Job; with --log, a job or a request."`
	Log []string `help:"Logs of a cell on the platform. Explains what became of the job or request by them, without asking the cell." type:"existingfile" placeholder:"FILE"`
}

// Run prints the explanation of the job's state.
func (c *explainCommand) Run(s *session) error {
	if len(c.Log) > 0 {
		return explainFromLogs(s, c.Job, c.Log)
	}
	job, err := strconv.ParseUint(c.Job, 10, 64)
	if err != nil {
		return usageError("job %q: want a number, or --log", c.Job)
	}
	x, err := s.Client.Explain(s, job)
	if err != nil {
		return err
	}
	if s.json {
		return s.print(api.Explanation{Text: x}, "", nil)
	}
	_, err = fmt.Fprintln(s.out, x)
	return err
}

type jobsCommand struct {
	List   jobsListCommand   `cmd:"" default:"1" help:"List jobs; needs an operator's key."`
	Submit jobsSubmitCommand `cmd:"" help:"Submit a job."`
	Get    jobsGetCommand    `cmd:"" help:"Show a job and its tasks."`
	Wait   jobsWaitCommand   `cmd:"" help:"Wait until a job has ended."`
	Cancel jobsCancelCommand `cmd:"" help:"Cancel a job."`
}

type jobsListCommand struct {
	Entry string `help:"Only jobs of this entry."`
	Team  string `help:"Only jobs of this team."`
	State string `help:"Only jobs in this state: queued, running, succeeded, failed or cancelled." enum:",queued,running,succeeded,failed,cancelled" default:""`
}

// Run prints the jobs.
func (c *jobsListCommand) Run(s *session) error {
	list, err := s.Client.Jobs(s, client.Filter{Entry: c.Entry, Team: c.Team, State: c.State})
	if err != nil {
		return err
	}
	return s.printJobs(list, list)
}

func (s *session) printJobs(value any, list []api.Job) error {
	rows := make([][]any, len(list))
	for i, j := range list {
		tasks := "-" // the response to a list request omits tasks
		if len(j.Tasks) > 0 {
			tasks = strconv.Itoa(len(j.Tasks))
		}
		rows[i] = []any{j.ID, j.Entry, j.Team, j.Class, j.State, tasks, j.Size, j.Submitted, j.Ended, j.Reason}
	}
	return s.print(value, "JOB ENTRY TEAM CLASS STATE TASKS SIZE SUBMITTED ENDED REASON", rows)
}

type jobsSubmitCommand struct {
	Entry   string        `arg:"" help:"Queue or service."`
	Tasks   uint32        `default:"1" help:"Number of tasks."`
	Time    time.Duration `help:"Declared run time of a task, such as 90s."`
	Urgent  bool          `help:"Start before other work, and in place of it if need be."`
	Command string        `help:"Handed to the workers as it is; - reads it from the standard input."`
	sizeFlags
}

// Run submits the job.
func (c *jobsSubmitCommand) Run(s *session) error {
	v := api.Submission{Entry: c.Entry, Tasks: c.Tasks, Seconds: int64(c.Time / time.Second), Urgent: c.Urgent, Command: c.Command}
	if c.Command == "-" {
		b, err := io.ReadAll(os.Stdin)
		if err != nil {
			return err
		}
		v.Command = string(b)
	}
	c.apply(&v.Size)
	j, err := s.Submit(s, v)
	if err != nil {
		return err
	}
	return s.printJobs(j, []api.Job{j})
}

type jobsGetCommand struct {
	Job uint64 `arg:""`
}

// Run prints the job and its tasks.
func (c *jobsGetCommand) Run(s *session) error {
	j, err := s.Job(s, c.Job)
	if err != nil {
		return err
	}
	if err := s.printJobs(j, []api.Job{j}); err != nil || s.json {
		return err
	}
	fmt.Fprintln(s.out)
	rows := make([][]any, len(j.Tasks))
	for i, t := range j.Tasks {
		rows[i] = []any{t.Index, t.State, t.Worker, t.Token, t.Attempts, t.Outcome, t.Started}
	}
	return s.print(nil, "TASK STATE WORKER TOKEN ATTEMPTS OUTCOME STARTED", rows)
}

type jobsWaitCommand struct {
	Job     uint64        `arg:""`
	Timeout time.Duration `name:"for" help:"How long to wait; without it, until the job has ended."`
}

// Run waits until the job has ended. The global timeout bounds each request, but
// not the wait as a whole.
func (c *jobsWaitCommand) Run(s *session) error {
	ctx := context.WithoutCancel(s.Context)
	if c.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout)
		defer cancel()
	}
	j, err := s.Wait(ctx, c.Job)
	if err != nil {
		return err
	}
	if err := s.printJobs(j, []api.Job{j}); err != nil {
		return err
	}
	if j.State != "succeeded" {
		return &exitError{code: exitJobFailed}
	}
	return nil
}

type jobsCancelCommand struct {
	Job uint64 `arg:""`
}

// Run cancels the job.
func (c *jobsCancelCommand) Run(s *session) error {
	j, err := s.Client.Cancel(s, c.Job)
	if err != nil {
		return err
	}
	return s.printJobs(j, []api.Job{j})
}
