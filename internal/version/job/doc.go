// Package job implements the replicated state of jobs that consist of steps.
//
// A job belongs to a queue of the catalogue and to a workspace. Its steps have
// tasks, which workers run. A step may wait for other steps, may be a gang, and
// may run until the job is cancelled. The steps of a job may repeat at fixed
// times; each repetition is an occurrence.
//
// # Usage
//
//	state := job.New()                 // the state machine of a raft.Replica
//	command, err := job.Encode(job.Round{Term: term, Now: now, Submits: jobs})
//	result, err := replica.Propose(ctx, command) // a job.Result
//	state.View(func(v *job.View) { ... })        // consistent reads
//
// # Runs
//
// Each start of a task has an increasing run number, which is committed before
// the order is sent to the worker. From that commit on, the task reserves its
// worker until an end of the same run on the same incarnation of the worker is
// committed. At most one run of a task holds a reservation at any time, and a
// late end cannot free the reservation of a later run.
//
// # Determinism
//
// Rounds are applied in log order, and their effect depends only on the state and
// the command. The command includes the time, and no result depends on map order.
package job
