package placement

import (
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Throttle caps the use of a running task.
type Throttle struct {
	Task  work.TaskID
	Token work.Token
	Size  work.Resources
}

// Stats counts what the scheduler holds and has done.
type Stats struct {
	Workers int // present workers
	Queued  int // tasks that wait
	Running int // proposed, started and stopping tasks
	Aside   int // workers that are set aside

	Decisions    uint64
	Starts       uint64
	Stops        uint64 // requests to checkpoint or stop a task for urgent work
	Refusals     uint64
	Rejections   uint64
	Reservations uint64 // plans made for blocked gangs
	Steps        uint64 // index nodes and candidates visited, the cost of the decisions
}

// Scheduler proposes placements from indexes that it keeps by observing the
// replicated state. It is not safe for concurrent use.
type Scheduler struct {
	options Options
	now     time.Time // the latest time that it was told

	teams      map[string]*team
	teamList   []*team
	entries    map[string]*entry
	jobs       map[work.JobID]*job
	slots      []*job // by the number that the trees use
	vacant     []int32
	workers    map[string]*worker
	workerList []*worker
	zones      map[string]int32
	zoneNames  []string
	racks      map[rackName]int32

	total   work.Resources // capacity of present workers
	basis   work.Resources // total as of the last update of all shares
	weights int64          // of all teams
	rekey   bool
	shapes  shapes

	forests    [families][orders]forest
	shared     scope // workers that take all work
	boundScope scope // workers that are bound to a team, as open entries see them

	waiting, fresh                      forest // jobs
	urgent                              int32  // tree of urgent jobs
	gangs, gangFresh                    int32  // trees of gangs that are not urgent
	waitingTeams, freshTeams, openTeams forest
	waitingRoot, freshRoot, openRoot    int32

	oldest, newest *job
	cursor         *job // next job whose feasibility is checked
	released       []*worker
	releases       uint64
	reopened       []*entry
	probe          job
	walked         bool // a walk came to its end
	trials         timers[*worker]
	departed       timers[*worker]
	numbers        []int32 // of forgotten workers
	retries        timers[work.JobID]
	condemned      []refusal
	epoch          uint64 // of the feasibility checks
	holds          []*hold
	gangRetry      time.Time
	gangReleases   uint64
	gangCursor     key

	stats      Stats
	limit      int
	out        []work.Decision
	starts     []work.Start // arena of the decisions' starts
	shares     []share
	openings   []opening
	ends       []*task
	victims    []*task
	candidates []candidate
	selection  []*task
}

type rackName struct{ zone, rack string }

// New returns a scheduler that knows nothing until it observes events. It
// panics on options that Validate refuses.
func New(options Options) *Scheduler {
	if err := options.Validate(); err != nil {
		panic(err)
	}
	return &Scheduler{
		options: options.Defaults(),
		teams:   map[string]*team{}, entries: map[string]*entry{}, jobs: map[work.JobID]*job{},
		workers: map[string]*worker{}, zones: map[string]int32{}, racks: map[rackName]int32{},
		urgent: none, gangs: none, gangFresh: none, waitingRoot: none, freshRoot: none, openRoot: none,
		gangCursor: lowest,
	}
}

// advance takes in a time. Times that lie back are ignored.
func (s *Scheduler) advance(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
}

// Observe takes in one change of the replicated state.
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
		t = &team{number: int32(len(s.teamList)), name: name, hash: digest(name), weight: 1, profiles: map[string]*profile{}}
		s.teams[name] = t
		s.teamList = append(s.teamList, t)
		s.weights++
		s.rekey = true
	}
	return t
}

func (s *Scheduler) observeTeam(e *work.Team) {
	t := s.team(e.Name)
	weight := max(e.Weight, 1)
	if weight != t.weight {
		s.weights += weight - t.weight
		t.weight, s.rekey = weight, true
	}
	t.limit, t.tasks = e.Limit, e.Tasks
	for _, p := range t.active {
		s.startWalk(p)
	}
	s.refreshTeam(t)
	s.releases++
	s.recheck()
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
	n.class, n.open, n.maximum, n.tasks = e.Class, e.Open, e.Maximum, e.Tasks
	if opened {
		for _, t := range s.teamList {
			if p := t.profiles[e.Name]; p != nil {
				s.startWalk(p)
				s.refreshTeam(t)
			}
		}
	}
	s.reopen(n)
	s.releases++
	s.recheck()
}

func (s *Scheduler) profile(t *team, n *entry) *profile {
	p := t.profiles[n.name]
	if p == nil {
		p = &profile{team: t, entry: n, waiting: none, fresh: none, racks: map[int32]int32{}, workers: map[int32]int32{}}
		p.usage.scale = [2]int64{scaleOne, scaleOne}
		t.profiles[n.name] = p
	}
	return p
}

func (s *Scheduler) observeWorker(e *work.Worker) {
	w := s.worker(e.Name)
	moved := !w.known || w.capacity != e.Capacity || w.boundName() != e.Team || s.zoneNames[w.zone] != e.Zone
	if moved {
		s.unlist(w)
		s.count(w, false)
	}
	if w.known && w.boot != e.Boot {
		s.heal(w)
	}
	w.known, w.boot, w.capacity, w.drained, w.gone = true, e.Boot, e.Capacity, e.Drained, e.Gone
	w.zone, w.rack = s.zone(e.Zone), s.rack(e.Zone, e.Rack)
	w.bound = nil
	if e.Team != "" {
		w.bound = s.team(e.Team)
	}
	s.count(w, !e.Gone)
	s.refresh(w)
	s.release(w)
	if w.gone {
		s.departed.add(s.now.Add(s.options.ShapeMemory), w)
	}
	if w.hold != nil {
		w.hold.changed = true
	}
}

func (w *worker) boundName() string {
	if w.bound == nil {
		return ""
	}
	return w.bound.name
}

func (s *Scheduler) worker(name string) *worker {
	w := s.workers[name]
	if w == nil {
		w = &worker{number: int32(len(s.workerList)), hash: digest(name), name: name, zone: s.zone(""), rack: s.rack("", "")}
		s.workers[name] = w
		if k := len(s.numbers); k > 0 {
			w.number, s.numbers = s.numbers[k-1], s.numbers[:k-1]
			s.workerList[w.number] = w
		} else {
			s.workerList = append(s.workerList, w)
		}
	}
	return w
}

// forgetDeparted drops workers that have been gone for long. Replaced VMs come
// with new names, so that their records would pile up.
func (s *Scheduler) forgetDeparted() {
	for {
		w, ok := s.departed.due(s.now)
		if !ok {
			return
		}
		switch {
		case !w.gone || s.workers[w.name] != w:
		case len(w.placed) > 0 || w.hold != nil:
			s.departed.add(s.now.Add(s.options.ShapeMemory), w)
		default:
			if w.health.aside {
				s.stats.Aside--
			}
			delete(s.workers, w.name)
			s.workerList[w.number] = nil
			s.numbers = append(s.numbers, w.number)
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

// count adds a worker to the present capacity and shapes, or takes it out.
func (s *Scheduler) count(w *worker, present bool) {
	if w.counted == present {
		return
	}
	w.counted = present
	if present {
		s.total = s.total.Add(w.capacity)
		s.stats.Workers++
		w.shape = s.shapes.add(w.capacity, w.bound)
	} else {
		s.total = s.total.Sub(w.capacity)
		s.stats.Workers--
		s.shapes.remove(w.shape)
	}
	// Shares follow the capacity in steps of 1%, because each step costs an
	// update for every team.
	for _, v := range [...][2]int64{
		{s.total.Processors, s.basis.Processors}, {s.total.Memory, s.basis.Memory}, {s.total.Accelerators, s.basis.Accelerators},
	} {
		if d := v[0] - v[1]; d*100 > v[1] || -d*100 > v[1] {
			s.rekey = true
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
		declared: e.Size, base: e.Size, submitted: e.Submitted, tasks: make([]task, len(e.Tasks))}
	if !e.Finish.IsZero() {
		j.duration = e.Finish.Sub(e.Submitted)
	}
	if k := len(s.vacant); k > 0 {
		j.slot, s.vacant = s.vacant[k-1], s.vacant[:k-1]
		s.slots[j.slot] = j
	} else {
		j.slot = int32(len(s.slots))
		s.slots = append(s.slots, j)
	}
	s.jobs[j.id] = j
	if j.prev = s.newest; j.prev != nil {
		j.prev.next = j
	} else {
		s.oldest = j
	}
	s.newest = j
	if s.cursor == nil {
		s.cursor = j
	}
	j.ready = make([]uint32, 0, len(e.Tasks))
	for i := len(e.Tasks) - 1; i >= 0; i-- {
		j.tasks[i] = task{job: j, index: uint32(i), state: ended}
		switch e.Tasks[i].State {
		case work.TaskQueued, "":
			j.tasks[i].state = queued
			j.ready = append(j.ready, uint32(i))
			s.stats.Queued++
		case work.TaskStarted, work.TaskStopping:
			s.begin(&j.tasks[i], &e.Tasks[i])
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
	s.advance(e.Started)
	j := t.job
	switch {
	case t.state == proposed && t.worker.name == e.Worker && t.reserved == e.Reserved:
		t.token, t.start = e.Token, e.Started
		t.end = e.Started.Add(s.runTime(j, s.options.EndQuantile))
		t.resumed = e.Checkpoint
		s.setState(t, started)
		s.refresh(t.worker)
		return
	case t.state == started && t.token == e.Token || t.state == stopping && t.token == e.Token:
		return
	case t.state == queued:
		s.unready(t)
	case t.worker != nil:
		s.vacate(t)
	}
	s.begin(t, e)
	s.enqueue(j)
}

// begin records a run that was not proposed here.
func (s *Scheduler) begin(t *task, e *work.Task) {
	t.token, t.start, t.resumed = e.Token, e.Started, e.Checkpoint
	s.occupy(t, s.worker(e.Worker), e.Reserved, started)
	t.end = e.Started.Add(s.runTime(t.job, s.options.EndQuantile))
	if e.State == work.TaskStopping {
		s.setState(t, stopping)
	}
	s.refresh(t.worker)
}

// unready takes a task out of its job's queue.
func (s *Scheduler) unready(t *task) {
	ready := t.job.ready
	for i := len(ready) - 1; i >= 0; i-- {
		if ready[i] == t.index {
			t.job.ready = append(ready[:i], ready[i+1:]...)
			s.stats.Queued--
			return
		}
	}
}

func (s *Scheduler) observeStop(e *work.Task) {
	if t := s.task(e.ID); t != nil && t.worker != nil && t.token == e.Token && t.state == started {
		t.asked = true
		s.setState(t, stopping)
		s.refresh(t.worker)
	}
}

func (s *Scheduler) observeEnd(e *work.EndEvent) {
	t := s.task(e.Task.ID)
	if t == nil || t.worker == nil || t.state == proposed && e.Task.Token != t.token {
		return
	}
	s.advance(e.At)
	j, w := t.job, t.worker
	ran := e.At.Sub(t.start)
	if e.Outcome == work.OutcomeSucceeded {
		if !t.resumed && ran > 0 {
			j.profile.usage.learnTime(j.duration, ran)
		}
		s.learn(t)
	}
	if e.Outcome == work.OutcomeOversized {
		s.grow(t)
	}
	s.vacate(t)
	t.state = ended
	s.judge(j, w, e.Outcome, e.Requeued)
	if e.Requeued && !j.finished {
		t.state = queued
		j.ready = append(j.ready, t.index)
		s.stats.Queued++
		s.enqueue(j)
	}
	if j.stopping == 0 && j.hold == nil && j.class == work.Gang {
		s.enqueue(j)
	}
	if j.finished && j.live == 0 {
		s.forget(j)
	}
}

func (s *Scheduler) observeFinish(e *work.Job) {
	j := s.jobs[e.ID]
	if j == nil {
		return
	}
	j.finished = true
	s.dequeue(j)
	s.stats.Queued -= len(j.ready)
	j.ready = nil
	if j.hold != nil {
		s.dissolve(j.hold)
	}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == proposed {
			s.vacate(t)
			t.state = ended
		}
	}
	if s.cursor == j {
		s.cursor = j.next
	}
	if j.prev != nil {
		j.prev.next = j.next
	} else {
		s.oldest = j.next
	}
	if j.next != nil {
		j.next.prev = j.prev
	} else {
		s.newest = j.prev
	}
	j.prev, j.next = nil, nil
	if j.live == 0 {
		s.forget(j)
	}
}

func (s *Scheduler) forget(j *job) {
	if s.jobs[j.id] == j {
		delete(s.jobs, j.id)
		s.slots[j.slot] = nil
		s.vacant = append(s.vacant, j.slot)
	}
}

// preemptible reports whether urgent work may take the place of the task.
func (t *task) preemptible() bool {
	return t.state == started && !t.asked && !t.job.urgent && t.job.class != work.Service
}

// setState changes the state of a task that holds a reservation.
func (s *Scheduler) setState(t *task, state taskState) {
	w := t.worker
	if t.preemptibleBefore() {
		w.yield = w.yield.Sub(t.reserved)
	}
	if t.state == stopping {
		t.job.stopping--
	}
	t.state = state
	if t.preemptibleBefore() {
		w.yield = w.yield.Add(t.reserved)
	}
	if state == stopping {
		t.job.stopping++
	}
}

// preemptibleBefore is preemptible without regard to a stop that is only
// proposed, so that the sum kept by worker follows the state alone.
func (t *task) preemptibleBefore() bool {
	return t.state == started && !t.job.urgent && t.job.class != work.Service
}

// occupy reserves the size for a task and keeps all sums and indexes.
func (s *Scheduler) occupy(t *task, w *worker, size work.Resources, state taskState) {
	j, p := t.job, t.job.profile
	t.worker, t.reserved, t.place = w, size, len(w.placed)
	t.asked, t.peak, t.reports = false, work.Resources{}, 0
	w.placed = append(w.placed, t)
	w.used = w.used.Add(size)
	s.setState(t, state)
	j.live++
	j.team.used = j.team.used.Add(size)
	j.team.running++
	if j.class == work.Service {
		j.team.fixed = j.team.fixed.Add(size)
		j.team.services++
	}
	if state == proposed {
		j.team.served = s.now
	} else if t.start.After(j.team.served) {
		j.team.served = t.start
	}
	p.entry.running++
	for int(w.zone) >= len(p.zones) {
		p.zones = append(p.zones, 0)
	}
	p.zones[w.zone]++
	p.racks[w.rack]++
	p.workers[w.number]++
	s.stats.Running++
	s.refresh(w)
	s.refreshTeam(j.team)
}

// vacate frees the reservation of a task.
func (s *Scheduler) vacate(t *task) {
	j, p, w := t.job, t.job.profile, t.worker
	s.setState(t, ended)
	last := len(w.placed) - 1
	w.placed[t.place] = w.placed[last]
	w.placed[t.place].place = t.place
	w.placed[last] = nil
	w.placed = w.placed[:last]
	w.used = w.used.Sub(t.reserved)
	j.live--
	j.team.used = j.team.used.Sub(t.reserved)
	j.team.running--
	if j.class == work.Service {
		j.team.fixed = j.team.fixed.Sub(t.reserved)
		j.team.services--
	}
	p.entry.running--
	p.zones[w.zone]--
	if p.racks[w.rack]--; p.racks[w.rack] == 0 {
		delete(p.racks, w.rack)
	}
	if p.workers[w.number]--; p.workers[w.number] == 0 {
		delete(p.workers, w.number)
	}
	t.worker, t.token = nil, 0
	s.stats.Running--
	s.refresh(w)
	if j.team.tasks > 0 || j.team.limit != (work.Resources{}) {
		for _, p := range j.team.active {
			s.startWalk(p)
		}
	}
	s.refreshTeam(j.team)
	s.reopen(p.entry)
	s.release(w)
	if w.hold != nil {
		w.hold.changed = true
	}
}

// release notes that a worker has room that waiting work may want.
func (s *Scheduler) release(w *worker) {
	s.releases++
	if !w.dirty && w.usable() {
		w.dirty = true
		s.released = append(s.released, w)
	}
}

// Stats returns counters for operators and measurements.
func (s *Scheduler) Stats() Stats {
	st := s.stats
	for f := range families {
		for o := range orders {
			st.Steps += s.forests[f][o].steps
		}
	}
	for _, f := range [...]*forest{&s.waiting, &s.fresh, &s.waitingTeams, &s.freshTeams, &s.openTeams} {
		st.Steps += f.steps
	}
	return st
}
