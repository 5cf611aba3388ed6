package placement

import (
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// team is a team with its limits and its current use, proposed starts included.
type team struct {
	index          int32
	name           string
	hash           uint64
	weight         int64
	limit          work.Resources
	maxTasks       int64
	used           work.Resources
	running        int64
	gangQuota      quotaReservation
	serviceUse     work.Resources // used by services, which do not end by themselves
	serviceTasks   int64          // running service tasks
	lastServed     time.Time      // last start, or when jobs began to wait
	ownScope       scope          // workers that accept only this team's jobs and jobs of open entries
	profiles       map[string]*profile
	activeProfiles []*profile // profiles with waiting jobs
}

// entry is a catalogue entry with the number of its running tasks.
type entry struct {
	name            string
	class           work.Class
	open            bool
	maximum         work.Resources
	maxTasks        int64
	running         int64
	gangQuota       quotaReservation
	parked          []*profile // removed from the teams' indexes until the entry is below its limit
	unparkScheduled bool       // in Scheduler.unparkQueue
}

// atTaskLimit reports whether the entry has no quota for tasks without a quota
// reservation.
func (e *entry) atTaskLimit() bool {
	return e.maxTasks > 0 && e.running+e.gangQuota.tasks >= e.maxTasks
}

// quotaReservation keeps a part of a team's or an entry's limits for the oldest
// gang that waits there. Without it small jobs would use every part of a limit
// that becomes free, and a gang would never fit with all its tasks.
type quotaReservation struct {
	owner *job
	size  work.Resources // of all tasks of the gang
	tasks int64
}

// profile holds the jobs of one team for one entry: their queue, their learned
// sizes and run times, and where their tasks run.
type profile struct {
	team     *team
	entry    *entry
	usage    usageEstimate
	waiting  int32 // root of the tree of jobs with queued tasks
	untried  int32 // root of the tree of jobs that were not tried since a task was queued
	active   bool
	parked   bool
	rescan   rescan
	runs     float64 // ended runs, halved above maxProfileRuns
	failures float64 // failed runs among them
	zones    []int32 // running tasks by zone, for spreading
	racks    map[int32]int32
	workers  map[int32]int32
}

// rescan tries a profile's waiting jobs again, in order, after a limit or a
// learned size changed. After such a change tasks may fit on workers that have
// been free for long, for which no event comes.
type rescan struct {
	active  bool
	restart bool // start over at the end because of another change
	next    key  // key of the next job
}

// job is a job with queued, proposed or running tasks.
type job struct {
	id              work.JobID
	slot            int32 // number in Scheduler.jobSlots and in the trees
	profile         *profile
	team            *team
	class           work.Class
	urgent          bool
	declared        work.Resources
	baseSize        work.Resources // declared size, raised after oversized runs
	duration        time.Duration  // declared run time; zero if none
	submitted       time.Time
	tasks           []task
	queuedTasks     []uint32 // indexes of the queued tasks; the last is the next to start
	liveTasks       int      // proposed, started and stopping tasks
	stoppingTasks   int
	finished        bool
	refusalProposed bool   // a refusal is proposed
	backingOff      bool   // waits for Options.Retry after a rejection
	checked         bool   // feasibility was checked
	checkEpoch      uint64 // epoch of that check
	failedOn        []*worker
	hold            *hold
	nextPreemption  time.Time // earliest time of the next search for victims
	prev, next      *job      // all jobs in the order in which they became known
}

func (j *job) key() key { return key{j.submitted.UnixNano(), uint64(j.id)} }

type taskState uint8

const (
	taskQueued taskState = iota
	taskProposed
	taskStarted
	taskStopping
	taskEnded
)

// task is the unit of placement.
type task struct {
	job           *job
	index         uint32
	state         taskState
	resumed       bool // started from a checkpoint, so its run time is not that of a whole run
	stopRequested bool // a stop is proposed or applied
	token         work.Token
	worker        *worker
	placedIndex   int // index in worker.placed
	reserved      work.Resources
	start         time.Time
	estimatedEnd  time.Time
	peak          work.Resources
	reportCount   int
}

func (t *task) id() work.TaskID { return work.TaskID{Job: t.job.id, Index: t.index} }

// worker is a worker with the tasks on it, proposed starts included.
type worker struct {
	number        int32
	hash          uint64
	name          string
	zone          int32
	rack          int32
	boot          uint64
	boundTeam     *team // nil if it accepts jobs of all teams
	capacity      work.Resources
	used          work.Resources
	preemptible   work.Resources // reserved by tasks that urgent jobs may preempt
	placed        []*task
	observed      bool // a worker event was observed
	departed      bool
	drained       bool
	listedAsFreed bool // in Scheduler.freedWorkers
	counted       bool // included in the total capacity and in the shapes
	shape         *shape
	tiers         [2]*tier       // tiers that count its free capacity, by family; nil if not indexed
	indexedFree   work.Resources // free capacity in the indexes
	hold          *hold
	heldCapacity  work.Resources // part of the capacity that is kept for the hold's owner
	health        health
}

func (w *worker) free() work.Resources { return w.capacity.Sub(w.used) }

// usable reports whether the worker accepts new tasks other than trials.
func (w *worker) usable() bool {
	return w.observed && !w.departed && !w.drained && !w.health.quarantined
}

func vectorOf(r work.Resources) vector { return vector{r.Processors, r.Memory, r.Accelerators} }

func negated(r work.Resources) vector { return vector{-r.Processors, -r.Memory, -r.Accelerators} }

func minResources(a, b work.Resources) work.Resources {
	return work.Resources{Processors: min(a.Processors, b.Processors), Memory: min(a.Memory, b.Memory),
		Accelerators: min(a.Accelerators, b.Accelerators)}
}

const unlimited = int64(1) << 52 // stays exact when scaled by scaleOne

// remainingQuota returns what the team may still reserve for jobs without a
// quota reservation, and whether it may start another such task at all.
func (t *team) remainingQuota() (work.Resources, bool) {
	used := t.used.Add(t.gangQuota.size)
	left := func(limit, used int64) int64 {
		if limit == 0 {
			return unlimited
		}
		return limit - used
	}
	return work.Resources{
		Processors:   left(t.limit.Processors, used.Processors),
		Memory:       left(t.limit.Memory, used.Memory),
		Accelerators: left(t.limit.Accelerators, used.Accelerators),
	}, t.maxTasks == 0 || t.running+t.gangQuota.tasks < t.maxTasks
}

// withinLimits reports whether the limits of the team and the entry allow n
// more tasks of the size.
func (s *Scheduler) withinLimits(j *job, size work.Resources, n int64) bool {
	t, e := j.team, j.profile.entry
	used, running, active := t.used.Add(size.Times(n)), t.running+n, e.running+n
	if t.gangQuota.owner != j && !j.urgent {
		used, running = used.Add(t.gangQuota.size), running+t.gangQuota.tasks
	}
	if e.gangQuota.owner != j && !j.urgent {
		active += e.gangQuota.tasks
	}
	return used.Within(t.limit) && (t.maxTasks == 0 || running <= t.maxTasks) && (e.maxTasks == 0 || active <= e.maxTasks)
}
