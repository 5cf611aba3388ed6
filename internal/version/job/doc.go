// Package job is the replicated state of jobs that consist of steps.
//
// A job belongs to a queue of the catalogue and to a workspace. Its steps have
// tasks, which workers run. A step may wait for other steps, may be a gang, may
// last until the job is cancelled, and may repeat at due times (occurrences).
//
// # Usage
//
//	state := job.New()                 // the machine of a raft.Replica
//	command, err := job.Encode(job.Round{Term: term, Now: now, Submits: jobs})
//	result, err := replica.Propose(ctx, command) // a job.Result
//	state.View(func(v *job.View) { ... })        // consistent reads
//
// # Runs
//
// Each start of a task has a run number, which rises and is committed before
// the order leaves for the worker. A task occupies its worker from that commit
// until an end of exactly this run on this life of the worker is committed.
// Therefore no two runs of a task can be in force at the same time, and an end
// that arrives late changes nothing.
//
// # Determinism
//
// Rounds are applied in log order and depend on nothing but the command: the
// time is a part of it, and no result depends on the order of a map.
package job
