package job

import (
	"slices"
	"sync"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/crash"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Task is the state of one task.
type Task struct {
	Run        int           `cbor:"1,keyasint,omitempty"` // highest run number used so far
	Worker     string        `cbor:"2,keyasint,omitempty"` // worker on which Run holds a reservation; empty if none
	Life       Incarnation   `cbor:"3,keyasint,omitempty"`
	Done       bool          `cbor:"4,keyasint,omitempty"`
	Faults     int           `cbor:"5,keyasint,omitempty"` // runs that failed
	Checkpoint string        `cbor:"6,keyasint,omitempty"`
	Counted    []int         `cbor:"7,keyasint,omitempty"`  // runs whose end was already counted
	Crashes    *crash.Record `cbor:"8,keyasint,omitempty"`  // nil if no worker crashed under it; of a gang: see Progress
	StartedMS  int64         `cbor:"9,keyasint,omitempty"`  // when Run was committed, in Unix milliseconds
	Unclear    string        `cbor:"10,keyasint,omitempty"` // worker that has not answered a copy of the start of Run; empty if none
	Retried    bool          `cbor:"11,keyasint,omitempty"` // Run started on that worker although copies of an earlier start may be on their way there
	Sending    Sending       `cbor:"12,keyasint,omitempty"` // how the start of Run is sent
	Adopted    bool          `cbor:"13,keyasint,omitempty"` // a later leader has not seen the start of Run settled
}

// Started returns when the current run was committed.
func (t *Task) Started() time.Time { return time.UnixMilli(t.StartedMS) }

// Progress is the state of one step of one occurrence.
type Progress struct {
	Tasks      []Task        `cbor:"1,keyasint"`
	Left       int           `cbor:"2,keyasint"` // number of tasks that are not done
	Faults     int           `cbor:"3,keyasint,omitempty"`
	FaultedRun int           `cbor:"4,keyasint,omitempty"` // last run of the gang that was counted in Faults
	Checkpoint string        `cbor:"5,keyasint,omitempty"` // of the whole gang
	Crashes    *crash.Record `cbor:"6,keyasint,omitempty"` // of the whole gang
	FailedRuns []int         `cbor:"7,keyasint,omitempty"` // runs of the gang that were counted in Faults; those before an update of the program are missing
}

// Occurrence is the state of one repetition of the steps.
type Occurrence struct {
	Steps []Progress `cbor:"1,keyasint"`
}

// unfinishedSteps returns the number of steps with tasks that are not done.
func (o *Occurrence) unfinishedSteps() int {
	n := 0
	for i := range o.Steps {
		if o.Steps[i].Left > 0 {
			n++
		}
	}
	return n
}

// holdsWorkers reports whether any task still has a reservation on a worker.
func (o *Occurrence) holdsWorkers() bool {
	for i := range o.Steps {
		for k := range o.Steps[i].Tasks {
			if o.Steps[i].Tasks[k].Worker != "" {
				return true
			}
		}
	}
	return false
}

// Record is a job together with its state.
type Record struct {
	Job         Job                 `cbor:"1,keyasint"`
	Queue       Queue               `cbor:"2,keyasint"` // from the latest catalogue that contains it
	Status      Status              `cbor:"3,keyasint,omitempty"`
	Accepted    time.Time           `cbor:"4,keyasint"`
	Over        time.Time           `cbor:"5,keyasint"`           // when Status became final
	Open        map[int]*Occurrence `cbor:"6,keyasint,omitempty"` // started and not done, or with remaining reservations
	Finished    map[int]bool        `cbor:"7,keyasint,omitempty"` // done occurrences from Behind on
	Behind      int                 `cbor:"8,keyasint,omitempty"` // all occurrences below this are done
	Unscheduled bool                `cbor:"-"`                    // see unscheduled
	Sequence    uint64              `cbor:"9,keyasint"`           // position in order of acceptance

	blank *Occurrence // see Peek; nil if not needed yet
}

// Done reports whether an occurrence is done.
func (r *Record) Done(occurrence int) bool {
	return occurrence < r.Behind || r.Finished[occurrence]
}

// Peek returns the state of an occurrence, or nil if it is done or out of range, or if the job is
// finished. The caller must not change it. Occurrences that have not started share one.
func (r *Record) Peek(number int) *Occurrence {
	if o := r.Open[number]; o != nil {
		return o
	}
	if number < 0 || number >= r.Job.Occurrences() || r.Done(number) || r.Status.Final() {
		return nil
	}
	if r.blank == nil {
		r.blank = r.newOccurrence()
	}
	return r.blank
}

// newOccurrence returns the state of an occurrence that has not started.
func (r *Record) newOccurrence() *Occurrence {
	o := &Occurrence{Steps: make([]Progress, len(r.Job.Steps))}
	for i := range r.Job.Steps {
		n := r.Job.Steps[i].Count
		o.Steps[i] = Progress{Tasks: make([]Task, n), Left: n}
	}
	return o
}

// open returns the state of an occurrence for which Peek does not return nil, to be changed.
func (r *Record) open(number int) *Occurrence {
	if o := r.Open[number]; o != nil {
		return o
	}
	o := r.blank
	if r.Job.Repeat > 0 || o == nil {
		o = r.newOccurrence() // others share the blank one
	} else {
		r.blank = nil
	}
	if r.Open == nil {
		r.Open = map[int]*Occurrence{}
	}
	r.Open[number] = o
	return o
}

// OpenOccurrences returns the numbers of the open occurrences in ascending order.
func (r *Record) OpenOccurrences() []int {
	n := make([]int, 0, len(r.Open))
	for k := range r.Open {
		n = append(n, k)
	}
	slices.Sort(n)
	return n
}

// Ready reports whether all steps that a step waits for are done.
func (r *Record) Ready(o *Occurrence, step int) bool {
	for _, a := range r.Job.Steps[step].After {
		if o.Steps[a].Left > 0 {
			return false
		}
	}
	return true
}

// MaxFailures returns the number of failed runs of a task that fails the job. It
// does not apply to long-running tasks, which are always restarted.
func (r *Record) MaxFailures() int {
	if r.Queue.Attempts <= 0 {
		return 1
	}
	return r.Queue.Attempts
}

// Reservation is the reservation of a run on a worker.
type Reservation struct {
	Run       int
	Size      work.Resources // reserved on the worker
	Workspace string
}

// limits holds limits by workspace.
type limits map[string]work.Resources

// View gives access to the state under State's lock.
type View struct {
	Term         uint64
	Catalogue    *Catalogue
	Jobs         map[ID]*Record
	Active       map[ID]*Record // not finished, or with remaining reservations
	Workers      map[string]Worker
	Reservations map[string]map[TaskID]Reservation // by worker
	Orphans      map[string]map[OrphanID]Orphan    // by worker
	Changes      map[string]uint64                 // by worker; rises with each change of its reservations and orphans
	Used         map[string]work.Resources         // by workspace; total size of its runs and orphans
	Limits       limits                            // by workspace; from the latest catalogue that contains it
	Sequence     uint64
	Updated      time.Time            // of the latest round that did not begin a term
	Unanswered   map[string]time.Time // by worker: when it was last noted that a start to it has no answer
	Waves        waves
	PoolCrashes  []PoolCrash            // of the last crash.RateTime, oldest first
	Evacuated    map[string]time.Time   // by availability zone: since when nothing starts there
	Speeds       map[string]WorkerSpeed // by worker
	Uses         map[UseKey]Use

	withdrawn withdrawals
	finished  []ID // finished jobs in the order in which they finished
}

// State is the state machine of jobs.
type State struct {
	mu   sync.RWMutex
	view View
}

// New returns an empty State.
func New() *State {
	s := &State{}
	s.view.init()
	return s
}

// init makes the maps of an empty view.
func (v *View) init() {
	v.Jobs, v.Active = map[ID]*Record{}, map[ID]*Record{}
	v.Workers, v.Reservations = map[string]Worker{}, map[string]map[TaskID]Reservation{}
	v.Used, v.Changes = map[string]work.Resources{}, map[string]uint64{}
	v.Orphans, v.Limits = map[string]map[OrphanID]Orphan{}, limits{}
	v.Waves.Open = map[int64]*WaveRecord{}
	v.Unanswered = map[string]time.Time{}
	v.Evacuated, v.Speeds, v.Uses = map[string]time.Time{}, map[string]WorkerSpeed{}, map[UseKey]Use{}
	v.withdrawn.init()
}

// View calls read with the current state, which read must not retain or change.
func (s *State) View(read func(v *View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	read(&s.view)
}

// Apply implements raft.StateMachine.
func (s *State) Apply(_ uint64, command []byte) any {
	r, err := Decode(command)
	if err != nil {
		return err // the same on every replica
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.apply(&r)
}

// apply applies a round unless a later term has begun.
func (v *View) apply(r *Round) Result {
	if r.Term < v.Term {
		return Result{Superseded: true}
	}
	v.Term = r.Term
	if !r.Lead {
		v.Updated = r.Now
	}
	var result Result
	if r.Catalogue != nil {
		r.Catalogue.Normalize()
		v.setCatalogue(r.Catalogue)
	}
	for i := range r.Evacuations {
		v.evacuate(&r.Evacuations[i], r.Now)
	}
	for _, w := range r.Workers {
		v.Workers[w.ID] = w
	}
	for _, w := range r.Gone {
		if v.Workers[w.ID].Life == w.Life {
			delete(v.Workers, w.ID)
		}
		v.dropSpeed(w.ID, w.Life)
		v.dropOrphans(w.ID, w.Life)
	}
	v.noteSpeeds(r.Speeds)
	v.noteUses(r.Uses)
	v.noteUnclear(r.Unclear, r.Now)
	v.noteAdopted(r.Adopted)
	v.addPoolCrashes(r.Lost, r.Now)
	v.noteReplaced(r.Replaced)
	for i := range r.Confirmed {
		v.confirm(&r.Confirmed[i])
	}
	for i := range r.Crashes {
		v.crash(&r.Crashes[i], r.Now)
	}
	for i := range r.Places {
		v.notePlace(&r.Places[i])
	}
	for i := range r.Cleared {
		v.clear(&r.Cleared[i])
	}
	for i := range r.Retried {
		v.retry(&r.Retried[i])
	}
	for i := range r.Faulty {
		v.giveUp(&r.Faulty[i], r.Now, &result)
	}
	for i := range r.Ends {
		v.end(&r.Ends[i], r.Now, &result)
	}
	for i := range r.Orphans {
		v.addOrphan(&r.Orphans[i])
	}
	for i := range r.Settled {
		o := &r.Settled[i]
		v.dropOrphan(o.Worker, OrphanID{Task: o.Task, Run: o.Run, Life: o.Life})
	}
	for _, id := range r.Cancels {
		v.cancel(id, r.Now, &result)
	}
	for i := range r.Withdrawn {
		v.withdraw(&r.Withdrawn[i], r.Now, &result)
	}
	for i := range r.Submits {
		v.submit(&r.Submits[i], r.Now, &result)
	}
	for i := range r.Waves {
		v.addWave(&r.Waves[i])
	}
	for i := range r.Steps {
		v.advance(&r.Steps[i])
	}
	result.Refused = make([]bool, len(r.Starts))
	for i := range r.Starts {
		result.Refused[i] = !v.start(&r.Starts[i], r.sending(i), r.Now)
	}
	v.dropFinished(r.Forget)
	v.withdrawn.drop(earlier(r.Forget, r.Now.Add(-minWithdrawn)))
	return result
}

// setCatalogue installs a catalogue if its version is higher than the current one.
// Unfinished jobs take over the new settings of their queue and workspace; if these
// are gone, they keep the old ones.
func (v *View) setCatalogue(c *Catalogue) {
	if v.Catalogue != nil && c.Version <= v.Catalogue.Version {
		return
	}
	v.Catalogue = c
	kept := limits{}
	for _, r := range v.Active {
		if q := c.Queue(r.Job.Host, r.Job.Prefix); q != nil {
			r.Queue = *q
		}
		if limit, ok := v.Limits[r.Job.Workspace]; ok {
			kept[r.Job.Workspace] = limit
		}
	}
	v.Limits = kept
	v.addLimits(c)
	v.dropUses()
}

// addLimits installs the limits of a catalogue.
func (v *View) addLimits(c *Catalogue) {
	for i := range c.Workspaces {
		v.Limits[c.Workspaces[i].Name] = c.Workspaces[i].Limit
	}
}

// Queue returns the queue with a host and prefix, or nil if there is none.
func (c *Catalogue) Queue(host, prefix string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Host == host && c.Queues[i].Prefix == prefix {
			return &c.Queues[i]
		}
	}
	return nil
}

// submit adds a job. It ignores jobs that are already known or withdrawn, or whose queue
// does not exist.
func (v *View) submit(j *Job, now time.Time, result *Result) {
	if v.Jobs[j.ID] != nil || v.Withdrawn(j.ID) || v.Catalogue == nil {
		return
	}
	j.normalize()
	q := v.Catalogue.Queue(j.Host, j.Prefix)
	if q == nil {
		return
	}
	v.Sequence++
	r := &Record{Job: *j, Queue: *q, Accepted: now, Unscheduled: true, Sequence: v.Sequence}
	v.Jobs[j.ID], v.Active[j.ID] = r, r
	if r.Job.checkSteps() != nil {
		v.giveUpInvalid(r)
		result.Ended = append(result.Ended, j.ID)
	}
}

// giveUpInvalid fails a job that cannot be run, and drops what cannot be represented of it. Earlier builds
// have accepted some. Its end depends on the job only, so that replicas that restore it from a
// snapshot agree with those that apply its submission.
func (v *View) giveUpInvalid(r *Record) {
	r.Job.Steps, r.Job.Repeat, r.Job.Payload = []Step{{Count: 1}}, 0, "" // earlier builds restore no job without steps
	delete(v.Active, r.Job.ID)
	if r.Status.Final() {
		return
	}
	r.Status, r.Over, r.Unscheduled = Failed, r.Accepted, false
	i := slices.IndexFunc(v.finished, func(id ID) bool { o := v.Jobs[id]; return o != nil && o.Over.After(r.Over) })
	if i < 0 {
		i = len(v.finished)
	}
	v.finished = slices.Insert(v.finished, i, r.Job.ID)
}

// start starts a run of a task on a worker. It reports whether the start was
// valid.
func (v *View) start(s *Start, sending Sending, now time.Time) bool {
	r := v.Jobs[s.Task.Job]
	if r == nil || r.Status.Final() || s.Task.Step < 0 || s.Task.Step >= len(r.Job.Steps) {
		return false
	}
	o := r.Peek(s.Task.Occurrence)
	if o == nil || s.Task.Index < 0 || s.Task.Index >= len(o.Steps[s.Task.Step].Tasks) || !r.Ready(o, s.Task.Step) {
		return false
	}
	p := &o.Steps[s.Task.Step]
	t := &p.Tasks[s.Task.Index]
	w, ok := v.Workers[s.Worker]
	if !ok || w.Life != s.Life || t.Done || t.Worker != "" || s.Run <= t.Run || p.Paused(&r.Job.Steps[s.Task.Step], t, now) {
		return false
	}
	p = &r.open(s.Task.Occurrence).Steps[s.Task.Step]
	t = &p.Tasks[s.Task.Index]
	t.Retried = t.Unclear == s.Worker && now.Sub(t.Started()) < maxCopyAge
	if !t.Retried {
		t.Unclear = ""
	}
	t.Run, t.Worker, t.Life, t.StartedMS, t.Sending, t.Adopted = s.Run, s.Worker, s.Life, now.UnixMilli(), sending, false
	if c := *p.crashes(&r.Job.Steps[s.Task.Step], t); c != nil {
		c.Started(s.Run)
	}
	r.Unscheduled = false
	if r.Status == Queued {
		r.Status = Running
	}
	v.reserve(r, s.Task, t)
	return true
}

// reserve adds the reservation of a task's current run.
func (v *View) reserve(r *Record, id TaskID, t *Task) {
	m := v.Reservations[t.Worker]
	if m == nil {
		m = map[TaskID]Reservation{}
		v.Reservations[t.Worker] = m
	}
	s := &r.Job.Steps[id.Step]
	v.Changes[t.Worker]++
	m[id] = Reservation{Run: t.Run, Size: s.Reservation(), Workspace: r.Job.Workspace}
	v.use(r.Job.Workspace, s.Size)
}

// release removes the reservation of a task's current run.
func (v *View) release(r *Record, id TaskID, t *Task) {
	v.Changes[t.Worker]++
	if m := v.Reservations[t.Worker]; m != nil {
		delete(m, id)
		if len(m) == 0 {
			delete(v.Reservations, t.Worker)
		}
	}
	v.unuse(r.Job.Workspace, r.Job.Steps[id.Step].Size)
	t.Worker, t.Life = "", 0
}

// use adds to what a workspace uses.
func (v *View) use(workspace string, size work.Resources) {
	v.Used[workspace] = v.Used[workspace].Add(size)
}

// unuse subtracts from what a workspace uses.
func (v *View) unuse(workspace string, size work.Resources) {
	v.Used[workspace] = v.Used[workspace].Sub(size)
	if v.Used[workspace] == (work.Resources{}) {
		delete(v.Used, workspace)
	}
}

// Find returns the job record of a task, its occurrence and its state. The record
// is nil if the job is unknown; the others are nil unless the occurrence is open
// and has such a task.
func (v *View) Find(id TaskID) (*Record, *Occurrence, *Task) {
	r := v.Jobs[id.Job]
	if r == nil {
		return nil, nil, nil
	}
	o := r.Open[id.Occurrence]
	if o == nil || id.Step < 0 || id.Step >= len(o.Steps) || id.Index < 0 || id.Index >= len(o.Steps[id.Step].Tasks) {
		return r, nil, nil
	}
	return r, o, &o.Steps[id.Step].Tasks[id.Index]
}

func (v *View) cancel(id ID, now time.Time, result *Result) {
	if r := v.Jobs[id]; r != nil {
		v.finishJob(r, Cancelled, now, result)
	}
}

// dropFinished drops jobs that finished before a time. It stops at the first one
// that is too recent or still holds reservations.
func (v *View) dropFinished(before time.Time) {
	n := 0
	for _, id := range v.finished {
		r := v.Jobs[id]
		if r != nil && (!r.Over.Before(before) || v.Active[id] != nil) {
			break
		}
		delete(v.Jobs, id)
		n++
	}
	v.finished = v.finished[n:]
}

// Pending returns the number of jobs of a queue that wait for their first start.
// Repeating jobs do not count.
func (v *View) Pending(host, prefix string) int {
	n := 0
	for _, r := range v.Active {
		if r.Unscheduled && !r.Status.Final() && r.Job.Repeat == 0 && r.Job.Host == host && r.Job.Prefix == prefix {
			n++
		}
	}
	return n
}
