package web

import (
	"github.com/rosemaryloft/rosemaryloft/internal/work"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// Size converts resources to their form in the HTTP interface.
func Size(r work.Resources) api.Size {
	return api.Size{CPU: r.Processors, Memory: r.Memory, Accelerators: r.Accelerators}
}

// Resources converts a size of the HTTP interface to work.Resources.
func Resources(s api.Size) work.Resources {
	return work.Resources{Processors: s.CPU, Memory: s.Memory, Accelerators: s.Accelerators}
}

// Job converts a job to its form in the HTTP interface.
func Job(j *work.Job) api.Job {
	a := api.Job{
		ID: uint64(j.ID), Entry: j.Entry, Team: j.Team, Class: string(j.Class), Urgent: j.Urgent,
		State: string(j.State), Reason: j.Reason, Submitted: j.Submitted, Ended: j.Ended,
		Size: Size(j.Size), Tasks: make([]api.Task, len(j.Tasks)),
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		a.Tasks[i] = api.Task{
			Index: t.ID.Index, State: string(t.State), Worker: t.Worker, Token: uint64(t.Token),
			Outcome: string(t.Outcome), Attempts: t.Attempts, Started: t.Started,
		}
	}
	return a
}
