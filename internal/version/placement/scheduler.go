package placement

import (
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Throttle caps the resources of a running task.
type Throttle struct {
	Task  work.TaskID
	Token work.Token
	Size  work.Resources
}

// Stats holds the present numbers of objects and the counters of the scheduler.
type Stats struct {
	Workers     int // present workers
	Queued      int // tasks that wait for a start
	Running     int // proposed, started and stopping tasks
	Quarantined int // quarantined workers

	Decisions    uint64
	Starts       uint64
	Stops        uint64 // requests to checkpoint or stop a task for urgent work
	Refusals     uint64
	Rejections   uint64
	Reservations uint64 // reservations planned for blocked gangs
	Steps        uint64 // index nodes and candidates visited, as a measure of the cost of decisions
}

// Scheduler proposes placements from indexes that it maintains by observing the
// replicated state. It is not safe for concurrent use.
type Scheduler struct {
	options Options
	now     time.Time // the latest time passed by a caller

	teams        map[string]*team
	teamList     []*team
	entries      map[string]*entry
	jobs         map[work.JobID]*job
	jobSlots     []*job // by job.slot, which is also the item number in the trees of jobs
	freeJobSlots []int32
	workers      map[string]*worker
	workerList   []*worker
	zones        map[string]int32
	zoneNames    []string
	racks        map[rackName]int32

	total       work.Resources // capacity of present workers
	sharesTotal work.Resources // total at the last update of all shares
	totalWeight int64          // sum over all teams
	sharesStale bool           // the capacity or a weight has changed since then
	shapes      shapes

	forests     [familyCount][orderCount]forest
	sharedScope scope // workers that accept jobs of all teams
	boundScope  scope // all workers that are bound to a team, for jobs of open entries

	waiting, untried                                  forest // jobs
	urgentRoot                                        int32  // root of the tree of urgent jobs
	gangRoot, untriedGangRoot                         int32  // roots of the trees of gangs that are not urgent
	waitingTeams, untriedTeams, openTeams             forest
	waitingTeamsRoot, untriedTeamsRoot, openTeamsRoot int32

	oldestJob, newestJob *job
	feasibilityCursor    *job // next job to check for feasibility
	freedWorkers         []*worker
	capacityChanges      uint64   // counts events after which a blocked gang may fit
	unparkQueue          []*entry // entries with parked profiles that may be below their task limit
	probe                job
	rescanChanged        bool // a rescan moved on or ended during a search
	trials               timerQueue[*worker]
	departed             timerQueue[*worker]
	freeWorkerNumbers    []int32 // numbers of removed workers, for reuse
	backoffs             timerQueue[work.JobID]
	pendingRefusals      []refusal
	feasibilityEpoch     uint64 // of the feasibility checks
	holds                []*hold
	nextGangRetry        time.Time
	gangCapacityChanges  uint64
	gangCursor           key

	stats          Stats
	limit          int
	decisions      []work.Decision
	startArena     []work.Start // arena for the starts of decisions
	allocations    []allocation
	availabilities []availability
	byExpectedEnd  []*task
	victims        []*task
	candidates     []candidate
	bestVictims    []*task
}

type rackName struct{ zone, rack string }

// New returns a scheduler that knows nothing until it observes events. It
// panics on options that Validate rejects.
func New(options Options) *Scheduler {
	if err := options.Validate(); err != nil {
		panic(err)
	}
	return &Scheduler{
		options: options.Defaults(),
		teams:   map[string]*team{}, entries: map[string]*entry{}, jobs: map[work.JobID]*job{},
		workers: map[string]*worker{}, zones: map[string]int32{}, racks: map[rackName]int32{},
		urgentRoot: noItem, gangRoot: noItem, untriedGangRoot: noItem, waitingTeamsRoot: noItem, untriedTeamsRoot: noItem, openTeamsRoot: noItem,
		gangCursor: lowestKey,
	}
}

// advanceClock sets the current time. Earlier times are ignored.
func (s *Scheduler) advanceClock(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
}

// Observe applies one change of the replicated state.
func (s *Scheduler) Observe(event work.Event) {
	switch e := event.(type) {
	case work.TeamEvent:
		s.observeTeam(e.Team)
	case work.EntryEvent:
		s.observeEntry(e.Entry)
	case work.WorkerEvent:
		s.observeWorker(e.Worker)
	case work.SubmitEvent:
		s.observeSubmit(e.Job)
	case work.StartEvent:
		s.observeStart(e.Job, e.Task)
	case work.StopEvent:
		s.observeStop(e.Task)
	case work.EndEvent:
		s.observeEnd(&e)
	case work.FinishEvent:
		s.observeFinish(e.Job)
	}
}

func (s *Scheduler) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{index: int32(len(s.teamList)), name: name, hash: hashName(name), weight: 1, profiles: map[string]*profile{}}
		s.teams[name] = t
		s.teamList = append(s.teamList, t)
		s.totalWeight++
		s.sharesStale = true
	}
	return t
}

func (s *Scheduler) observeTeam(e *work.Team) {
	t := s.team(e.Name)
	weight := max(e.Weight, 1)
	if weight != t.weight {
		s.totalWeight += weight - t.weight
		t.weight, s.sharesStale = weight, true
	}
	t.limit, t.maxTasks = e.Limit, e.Tasks
	for _, p := range t.activeProfiles {
		s.startRescan(p)
	}
	s.reindexTeam(t)
	s.capacityChanges++
	s.recheckFeasibility()
}

func (s *Scheduler) entry(name string) *entry {
	n := s.entries[name]
	if n == nil {
		n = &entry{name: name}
		s.entries[name] = n
	}
	return n
}

func (s *Scheduler) observeEntry(e *work.Entry) {
	n := s.entry(e.Name)
	opened := e.Open && !n.open
	n.class, n.open, n.maximum, n.maxTasks = e.Class, e.Open, e.Maximum, e.Tasks
	if opened {
		for _, t := range s.teamList {
			if p := t.profiles[e.Name]; p != nil {
				s.startRescan(p)
				s.reindexTeam(t)
			}
		}
	}
	s.scheduleUnpark(n)
	s.capacityChanges++
	s.recheckFeasibility()
}

func (s *Scheduler) profile(t *team, n *entry) *profile {
	p := t.profiles[n.name]
	if p == nil {
		p = &profile{team: t, entry: n, waiting: noItem, untried: noItem, racks: map[int32]int32{}, workers: map[int32]int32{}}
		p.usage.scale = [2]int64{scaleOne, scaleOne}
		t.profiles[n.name] = p
	}
	return p
}

func (s *Scheduler) observeWorker(e *work.Worker) {
	w := s.worker(e.Name)
	indexChanged := !w.observed || w.capacity != e.Capacity || w.boundTeamName() != e.Team || s.zoneNames[w.zone] != e.Zone
	if indexChanged {
		s.unindex(w)
		s.countWorker(w, false)
	}
	if w.observed && w.boot != e.Boot {
		s.resetHealth(w)
	}
	w.observed, w.boot, w.capacity, w.drained, w.departed = true, e.Boot, e.Capacity, e.Drained, e.Gone
	w.zone, w.rack = s.zone(e.Zone), s.rack(e.Zone, e.Rack)
	w.boundTeam = nil
	if e.Team != "" {
		w.boundTeam = s.team(e.Team)
	}
	s.countWorker(w, !e.Gone)
	s.reindexWorker(w)
	s.markFreed(w)
	if w.departed {
		s.departed.add(s.now.Add(s.options.ShapeMemory), w)
	}
	if w.hold != nil {
		w.hold.changed = true
	}
}

func (w *worker) boundTeamName() string {
	if w.boundTeam == nil {
		return ""
	}
	return w.boundTeam.name
}

func (s *Scheduler) worker(name string) *worker {
	w := s.workers[name]
	if w == nil {
		w = &worker{number: int32(len(s.workerList)), hash: hashName(name), name: name, zone: s.zone(""), rack: s.rack("", "")}
		s.workers[name] = w
		if k := len(s.freeWorkerNumbers); k > 0 {
			w.number, s.freeWorkerNumbers = s.freeWorkerNumbers[k-1], s.freeWorkerNumbers[:k-1]
			s.workerList[w.number] = w
		} else {
			s.workerList = append(s.workerList, w)
		}
	}
	return w
}

// removeDeparted removes workers that departed long ago. Replacement VMs
// have new names, so that the records of old ones would accumulate.
func (s *Scheduler) removeDeparted() {
	for {
		w, ok := s.departed.popDue(s.now)
		if !ok {
			return
		}
		switch {
		case !w.departed || s.workers[w.name] != w:
		case len(w.placed) > 0 || w.hold != nil:
			s.departed.add(s.now.Add(s.options.ShapeMemory), w)
		default:
			if w.health.quarantined {
				s.stats.Quarantined--
			}
			delete(s.workers, w.name)
			s.workerList[w.number] = nil
			s.freeWorkerNumbers = append(s.freeWorkerNumbers, w.number)
		}
	}
}

func (s *Scheduler) zone(name string) int32 {
	n, ok := s.zones[name]
	if !ok {
		n = int32(len(s.zoneNames))
		s.zones[name] = n
		s.zoneNames = append(s.zoneNames, name)
	}
	return n
}

func (s *Scheduler) rack(zone, name string) int32 {
	n, ok := s.racks[rackName{zone, name}]
	if !ok {
		n = int32(len(s.racks))
		s.racks[rackName{zone, name}] = n
	}
	return n
}

// countWorker adds a worker to the total capacity and the shapes, or removes
// it.
func (s *Scheduler) countWorker(w *worker, present bool) {
	if w.counted == present {
		return
	}
	w.counted = present
	if present {
		s.total = s.total.Add(w.capacity)
		s.stats.Workers++
		w.shape = s.shapes.add(w.capacity, w.boundTeam)
	} else {
		s.total = s.total.Sub(w.capacity)
		s.stats.Workers--
		s.shapes.remove(w.shape)
	}
	// Shares follow the capacity in steps of 1%, because each step updates
	// every team.
	for _, v := range [...][2]int64{
		{s.total.Processors, s.sharesTotal.Processors}, {s.total.Memory, s.sharesTotal.Memory}, {s.total.Accelerators, s.sharesTotal.Accelerators},
	} {
		if d := v[0] - v[1]; d*100 > v[1] || -d*100 > v[1] {
			s.sharesStale = true
		}
	}
}

func (s *Scheduler) observeSubmit(e *work.Job) {
	if s.jobs[e.ID] != nil {
		return
	}
	n := s.entry(e.Entry)
	if n.class == "" {
		n.class = e.Class
	}
	t := s.team(e.Team)
	j := &job{id: e.ID, profile: s.profile(t, n), team: t, class: e.Class, urgent: e.Urgent,
		declared: e.Size, baseSize: e.Size, submitted: e.Submitted, tasks: make([]task, len(e.Tasks))}
	if !e.Finish.IsZero() {
		j.duration = e.Finish.Sub(e.Submitted)
	}
	if k := len(s.freeJobSlots); k > 0 {
		j.slot, s.freeJobSlots = s.freeJobSlots[k-1], s.freeJobSlots[:k-1]
		s.jobSlots[j.slot] = j
	} else {
		j.slot = int32(len(s.jobSlots))
		s.jobSlots = append(s.jobSlots, j)
	}
	s.jobs[j.id] = j
	if j.prev = s.newestJob; j.prev != nil {
		j.prev.next = j
	} else {
		s.oldestJob = j
	}
	s.newestJob = j
	if s.feasibilityCursor == nil {
		s.feasibilityCursor = j
	}
	j.queuedTasks = make([]uint32, 0, len(e.Tasks))
	for i := len(e.Tasks) - 1; i >= 0; i-- {
		j.tasks[i] = task{job: j, index: uint32(i), state: taskEnded}
		switch e.Tasks[i].State {
		case work.TaskQueued, "":
			j.tasks[i].state = taskQueued
			j.queuedTasks = append(j.queuedTasks, uint32(i))
			s.stats.Queued++
		case work.TaskStarted, work.TaskStopping:
			s.adoptRun(&j.tasks[i], &e.Tasks[i])
		}
	}
	s.enqueue(j)
}

func (s *Scheduler) task(id work.TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil || int(id.Index) >= len(j.tasks) {
		return nil
	}
	return &j.tasks[id.Index]
}

func (s *Scheduler) observeStart(_ *work.Job, e *work.Task) {
	t := s.task(e.ID)
	if t == nil {
		return
	}
	s.advanceClock(e.Started)
	j := t.job
	switch {
	case t.state == taskProposed && t.worker.name == e.Worker && t.reserved == e.Reserved:
		t.token, t.start = e.Token, e.Started
		t.estimatedEnd = e.Started.Add(s.runTimeQuantile(j, s.options.EndQuantile))
		t.resumed = e.Checkpoint
		s.setState(t, taskStarted)
		s.reindexWorker(t.worker)
		return
	case t.state == taskStarted && t.token == e.Token || t.state == taskStopping && t.token == e.Token:
		return
	case t.state == taskQueued:
		s.removeQueuedTask(t)
	case t.worker != nil:
		s.releaseRun(t)
	}
	s.adoptRun(t, e)
	s.enqueue(j)
}

// adoptRun records a run that this scheduler did not propose.
func (s *Scheduler) adoptRun(t *task, e *work.Task) {
	t.token, t.start, t.resumed = e.Token, e.Started, e.Checkpoint
	s.reserveRun(t, s.worker(e.Worker), e.Reserved, taskStarted)
	t.estimatedEnd = e.Started.Add(s.runTimeQuantile(t.job, s.options.EndQuantile))
	if e.State == work.TaskStopping {
		s.setState(t, taskStopping)
	}
	s.reindexWorker(t.worker)
}

// removeQueuedTask removes a task from its job's list of queued tasks.
func (s *Scheduler) removeQueuedTask(t *task) {
	queued := t.job.queuedTasks
	for i := len(queued) - 1; i >= 0; i-- {
		if queued[i] == t.index {
			t.job.queuedTasks = append(queued[:i], queued[i+1:]...)
			s.stats.Queued--
			return
		}
	}
}

func (s *Scheduler) observeStop(e *work.Task) {
	if t := s.task(e.ID); t != nil && t.worker != nil && t.token == e.Token && t.state == taskStarted {
		t.stopRequested = true
		s.setState(t, taskStopping)
		s.reindexWorker(t.worker)
	}
}

func (s *Scheduler) observeEnd(e *work.EndEvent) {
	t := s.task(e.Task.ID)
	if t == nil || t.worker == nil || t.state == taskProposed && e.Task.Token != t.token {
		return
	}
	s.advanceClock(e.At)
	j, w := t.job, t.worker
	ran := e.At.Sub(t.start)
	if e.Outcome == work.OutcomeSucceeded {
		if !t.resumed && ran > 0 {
			j.profile.usage.learnRunTime(j.duration, ran)
		}
		s.learnTaskSize(t)
	}
	if e.Outcome == work.OutcomeOversized {
		s.growSize(t)
	}
	s.releaseRun(t)
	t.state = taskEnded
	s.recordOutcome(j, w, e.Outcome, e.Requeued)
	if e.Requeued && !j.finished {
		t.state = taskQueued
		j.queuedTasks = append(j.queuedTasks, t.index)
		s.stats.Queued++
		s.enqueue(j)
	}
	if j.stoppingTasks == 0 && j.hold == nil && j.class == work.Gang {
		s.enqueue(j)
	}
	if j.finished && j.liveTasks == 0 {
		s.removeJob(j)
	}
}

func (s *Scheduler) observeFinish(e *work.Job) {
	j := s.jobs[e.ID]
	if j == nil {
		return
	}
	j.finished = true
	s.dequeue(j)
	s.stats.Queued -= len(j.queuedTasks)
	j.queuedTasks = nil
	if j.hold != nil {
		s.releaseHold(j.hold)
	}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskProposed {
			s.releaseRun(t)
			t.state = taskEnded
		}
	}
	if s.feasibilityCursor == j {
		s.feasibilityCursor = j.next
	}
	if j.prev != nil {
		j.prev.next = j.next
	} else {
		s.oldestJob = j.next
	}
	if j.next != nil {
		j.next.prev = j.prev
	} else {
		s.newestJob = j.prev
	}
	j.prev, j.next = nil, nil
	if j.liveTasks == 0 {
		s.removeJob(j)
	}
}
