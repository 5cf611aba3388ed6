// Package placement is the decision core of the scheduler: it decides which
// task starts on which worker, which running tasks make way for urgent work,
// and which jobs can never run.
//
// # Usage
//
//	scheduler := placement.New(placement.Options{})
//	state.Subscribe(scheduler.Observe)
//	for _, decision := range scheduler.Decide(now, 200) {
//		if err := propose(decision); err != nil {
//			scheduler.Rejected(decision, err.Error())
//		}
//	}
//	scheduler.Report(worker, usage, now) // whenever a worker reports
//	caps := scheduler.Throttles(worker)  // with each answer to a worker's poll
//
// A Scheduler has no clock, does no I/O, starts no goroutine and has no lock:
// its caller serializes all calls. Equal calls in equal order give equal
// decisions; nothing depends on the order of maps. All times that it is told
// may only grow, and earlier ones are ignored.
//
// Decide proposes and counts what it proposes as taken, so that the next call
// can follow before the state has applied the first. The event of the start
// confirms it, and Rejected takes it back; after a rejection the job waits for
// Options.Retry. A leader that loses its term drops the Scheduler. The next
// leader builds one from a TeamEvent, EntryEvent and WorkerEvent for each
// object and a SubmitEvent for each job; tasks that are running in the
// submitted job are taken over as they are. Learned sizes, run times and
// failures are lost with the Scheduler and learned again from reports.
//
// # Policies
//
// Each class has a type behind the interface policy. Services go to the zone,
// rack and worker with the fewest tasks of the same entry and team. Batch
// tasks go where they leave the least free of their dominant resource, and
// to machines with accelerators only if no other has room. Gangs start as a
// whole; the oldest blocked ones hold reservations, and others may use the
// reserved capacity until the reservation begins. Urgent work comes first, may
// use reserved capacity, and preempts batch and gang work that is not urgent.
// Services are never preempted, because callers wait for them. Otherwise teams
// come in the order of weighted dominant share (Ghodsi et al., NSDI 2011) with
// ageing, and a team's work in order of submission, services first.
// docs/policy.md describes all of it with its parameters and measurements.
//
// # Indexes
//
// Nothing scans all workers, tasks, jobs or teams for a decision. The indexes
// are treaps whose nodes know the greatest bound per resource below them
// (forest), so that one structure answers every question here: the first item
// in some order that is large enough, or small enough, in all resources.
//
//   - Workers are indexed by availability zone and accelerators, once in the
//     order of each resource's free amount. Best fit is the first item at or
//     after the needed amount, and the emptiest worker is the last. Buckets by
//     free amount were considered; they are either coarse, which spoils best
//     fit, or many, and they need a scan within a bucket for the other resources.
//   - Waiting jobs are indexed per team and entry in order of submission, by
//     declared size. A learned correction of sizes is one factor per team and
//     entry, applied to the question instead of to each job.
//   - Teams are indexed in order of weighted share, by the smallest waiting
//     size, so that the pick for a free worker skips teams with nothing that
//     fits. Ageing enters the key as the time of the last start, which makes
//     the order independent of the present time. A heap would do for the first
//     team, but not for the next one when the first has nothing that fits.
//
// A worker that gets free room is listed, and the next decision offers its
// room to waiting work. Work that found no room is searched for again only
// when a worker is listed or when a limit or a learned size changed. All items
// are numbers in slices, which are reused; the lists that Decide returns are
// the only memory that the hot path allocates.
package placement
