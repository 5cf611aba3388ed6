// Package placement is the decision core of the scheduler. It decides which
// task starts on which worker, which running tasks are preempted for urgent
// jobs, and which jobs can never run.
//
// # Usage
//
//	scheduler := placement.New(placement.Options{})
//	state.Subscribe(scheduler.Observe)
//	for _, decision := range scheduler.Decide(now, 200) {
//		if err := propose(decision); err != nil {
//			scheduler.Reject(decision, err.Error())
//		}
//	}
//	scheduler.Report(worker, usage, now) // whenever a worker reports
//	caps := scheduler.Throttles(worker)  // with each answer to a worker's poll
//
// A Scheduler has no clock, does no I/O, starts no goroutine and has no lock:
// its caller serializes all calls. The same calls in the same order give the
// same decisions; nothing depends on the iteration order of maps. The times
// passed to it must not decrease; earlier ones are ignored.
//
// Decide treats its proposals as applied, so that it can be called again
// before the state has applied the first ones. The event of a start confirms
// it, and Reject reverts it; after a rejection the job waits for
// Options.Retry. A leader that loses its term discards the Scheduler. The next
// leader builds one from a TeamEvent, EntryEvent and WorkerEvent for each
// object and a SubmitEvent for each job; tasks that are running in a submitted
// job are adopted as they are. Learned sizes, run times and failures are lost
// with the Scheduler and learned again from reports.
//
// # Policies
//
// Each class has a type that implements the interface policy. Services go to
// the zone, rack and worker with the fewest tasks of the same entry and team.
// Batch tasks go where they leave the least free of their dominant resource,
// and to machines with accelerators only if no other has enough free capacity.
// Gangs start as a whole; the oldest blocked ones hold reservations, and other
// tasks may be backfilled into the reserved capacity until the reservation
// starts. Urgent jobs come first, may use reserved capacity, and preempt batch
// and gang tasks that are not urgent. Services are never preempted, because
// callers wait for them. Otherwise teams are ordered by weighted dominant
// share (Ghodsi et al., NSDI 2011) with ageing, and the jobs of a team by
// submission, services first. docs/policy.md describes the policies with their
// parameters and measurements.
//
// # Indexes
//
// No decision scans all workers, tasks, jobs or teams. The indexes are treaps
// whose nodes store the maximum per resource of the bounds in their subtree
// (see forest). This one structure finds the first item in a given order that
// is large enough, or small enough, in all resources.
//
//   - Workers are indexed by availability zone and accelerators, once in the
//     order of each resource's free amount. Best fit is the first item at or
//     after the needed amount, and the emptiest worker is the last. Buckets by
//     free amount were rejected: they are either coarse, which impairs best
//     fit, or numerous, and need a scan within a bucket for the other
//     resources.
//   - Waiting jobs are indexed per team and entry in order of submission, by
//     declared size. The learned correction of sizes is one factor per team
//     and entry, and is applied to the query instead of to each job.
//   - Teams are indexed in order of weighted share, by the smallest waiting
//     size, so that the search for a job for a free worker skips teams with
//     nothing that fits. Ageing enters the key as the time of the last start,
//     which makes the order independent of the current time. A heap would
//     yield the first team, but not the next one if the first has nothing that
//     fits.
//
// A worker that gains free capacity is listed, and the next decision offers
// its capacity to waiting jobs. A job that did not fit anywhere is searched
// for again only when a worker is listed or when a limit or a learned size has
// changed. All items are numbers in slices, which are reused; the lists that
// Decide returns are the only memory that the hot path allocates.
package placement
