package placement

import (
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// team is a team with what it holds, proposed starts included.
type team struct {
	number   int32
	name     string
	hash     uint64
	weight   int64
	limit    work.Resources
	tasks    int64
	used     work.Resources
	running  int64
	gate     gate
	fixed    work.Resources // used by services, which do not end by themselves
	services int64          // running service tasks
	served   time.Time      // last start, or when work began to wait
	own      scope          // workers that take only this team's work and work of open entries
	profiles map[string]*profile
	active   []*profile // with waiting jobs
}

// entry is a catalogue entry with the number of its running tasks.
type entry struct {
	name     string
	class    work.Class
	open     bool
	maximum  work.Resources
	tasks    int64
	running  int64
	gate     gate
	parked   []*profile // left out of the teams' indexes until the entry is below its limit
	reopened bool       // in Scheduler.reopened
}

// full reports whether the entry has no place for tasks without a gate.
func (e *entry) full() bool { return e.tasks > 0 && e.running+e.gate.tasks >= e.tasks }

// gate keeps room within a team's or an entry's limits for the oldest gang
// that waits there. Without it small work would take every bit of a limit that
// becomes free, and a gang would never find room for all its tasks.
type gate struct {
	owner *job
	size  work.Resources // of all tasks of the gang
	tasks int64
}

// profile is the work of one team for one entry: its queue, its learned sizes
// and run times, and where its tasks run.
type profile struct {
	team    *team
	entry   *entry
	usage   usage
	waiting int32 // tree of jobs with queued tasks
	fresh   int32 // tree of jobs that were not tried since a task was queued
	active  bool
	parked  bool
	walk    walk
	runs    float64 // ended runs, halved at times
	faults  float64 // failed runs among them
	zones   []int32 // running tasks by zone, for spreading
	racks   map[int32]int32
	workers map[int32]int32
}

// walk tries a profile's waiting jobs again, in order, after a limit or a
// learned size changed: such a change can let work start on workers that have
// been free for long, of which no event tells.
type walk struct {
	on    bool
	again bool // start over at the end, because of another change
	from  key  // next job
}

// job is a job with queued, proposed or running tasks.
type job struct {
	id         work.JobID
	slot       int32
	profile    *profile
	team       *team
	class      work.Class
	urgent     bool
	declared   work.Resources
	base       work.Resources // declared size, grown after oversized runs
	duration   time.Duration  // declared run time; zero if none
	submitted  time.Time
	tasks      []task
	ready      []uint32 // queued tasks; the last is the next to start
	live       int      // proposed, started and stopping tasks
	stopping   int
	finished   bool
	refusing   bool   // a refusal is proposed
	held       bool   // waits for Retry after a rejection
	checked    bool   // can run on a known worker shape
	epoch      uint64 // of that check
	failedOn   []*worker
	hold       *hold
	claims     time.Time // when the next search for victims may come
	prev, next *job      // all jobs in the order in which they became known
}

func (j *job) key() key { return key{j.submitted.UnixNano(), uint64(j.id)} }

type taskState uint8

const (
	queued taskState = iota
	proposed
	started
	stopping
	ended
)

// task is one unit of placement.
type task struct {
	job      *job
	index    uint32
	state    taskState
	resumed  bool // started from a checkpoint, so its run time is not a whole one
	asked    bool // a stop is proposed or applied
	token    work.Token
	worker   *worker
	place    int // position in worker.placed
	reserved work.Resources
	start    time.Time
	end      time.Time // expected
	peak     work.Resources
	reports  int
}

func (t *task) id() work.TaskID { return work.TaskID{Job: t.job.id, Index: t.index} }

// worker is a worker with what runs on it, proposed starts included.
type worker struct {
	number   int32
	hash     uint64
	name     string
	zone     int32
	rack     int32
	boot     uint64
	bound    *team // nil if it takes all work
	capacity work.Resources
	used     work.Resources
	yield    work.Resources // reserved by tasks that urgent work may preempt
	placed   []*task
	known    bool // a worker event came
	gone     bool
	drained  bool
	dirty    bool // in Scheduler.released
	counted  bool // in the total capacity
	shape    *shape
	tier     [2]*tier // that count its free capacity, by family; nil if not indexed
	listed   work.Resources
	hold     *hold
	held     work.Resources // part of the capacity that the hold claims
	health   health
}

func (w *worker) free() work.Resources { return w.capacity.Sub(w.used) }

// usable reports whether the worker takes new tasks.
func (w *worker) usable() bool { return w.known && !w.gone && !w.drained && !w.health.aside }

func vectorOf(r work.Resources) vector { return vector{r.Processors, r.Memory, r.Accelerators} }

func negative(r work.Resources) vector { return vector{-r.Processors, -r.Memory, -r.Accelerators} }

func smaller(a, b work.Resources) work.Resources {
	return work.Resources{Processors: min(a.Processors, b.Processors), Memory: min(a.Memory, b.Memory),
		Accelerators: min(a.Accelerators, b.Accelerators)}
}

const unlimited = int64(1) << 52 // stays exact when scaled by scaleOne

// remaining returns what the team may still reserve for work without a gate,
// and whether it may start another such task at all.
func (t *team) remaining() (work.Resources, bool) {
	used := t.used.Add(t.gate.size)
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
	}, t.tasks == 0 || t.running+t.gate.tasks < t.tasks
}

// permits reports whether the hard limits let n more tasks of the size start.
func (s *Scheduler) permits(j *job, size work.Resources, n int64) bool {
	t, e := j.team, j.profile.entry
	used, running, active := t.used.Add(size.Times(n)), t.running+n, e.running+n
	if t.gate.owner != j && !j.urgent {
		used, running = used.Add(t.gate.size), running+t.gate.tasks
	}
	if e.gate.owner != j && !j.urgent {
		active += e.gate.tasks
	}
	return used.Within(t.limit) && (t.tasks == 0 || running <= t.tasks) && (e.tasks == 0 || active <= e.tasks)
}
