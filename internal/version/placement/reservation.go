package placement

import (
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

func (s *Scheduler) removeJob(j *job) {
	if s.jobs[j.id] == j {
		delete(s.jobs, j.id)
		s.jobSlots[j.slot] = nil
		s.freeJobSlots = append(s.freeJobSlots, j.slot)
	}
}

// preemptible reports whether the task may be preempted for an urgent job.
func (t *task) preemptible() bool {
	return t.state == taskStarted && !t.stopRequested && !t.job.urgent && t.job.class != work.Service
}

// setState changes the state of a task that holds a reservation.
func (s *Scheduler) setState(t *task, state taskState) {
	w := t.worker
	if t.preemptibleByState() {
		w.preemptible = w.preemptible.Sub(t.reserved)
	}
	if t.state == taskStopping {
		t.job.stoppingTasks--
	}
	t.state = state
	if t.preemptibleByState() {
		w.preemptible = w.preemptible.Add(t.reserved)
	}
	if state == taskStopping {
		t.job.stoppingTasks++
	}
}

// preemptibleByState is preemptible without regard to a stop that is only
// proposed, so that worker.preemptible depends on the task states alone.
func (t *task) preemptibleByState() bool {
	return t.state == taskStarted && !t.job.urgent && t.job.class != work.Service
}

// reserveRun reserves the size for a task and updates all sums and indexes.
func (s *Scheduler) reserveRun(t *task, w *worker, size work.Resources, state taskState) {
	j, p := t.job, t.job.profile
	t.worker, t.reserved, t.placedIndex = w, size, len(w.placed)
	t.stopRequested, t.peak, t.reportCount = false, work.Resources{}, 0
	w.placed = append(w.placed, t)
	w.used = w.used.Add(size)
	s.setState(t, state)
	j.liveTasks++
	j.team.used = j.team.used.Add(size)
	j.team.running++
	if j.class == work.Service {
		j.team.serviceUse = j.team.serviceUse.Add(size)
		j.team.serviceTasks++
	}
	if state == taskProposed {
		j.team.lastServed = s.now
	} else if t.start.After(j.team.lastServed) {
		j.team.lastServed = t.start
	}
	p.entry.running++
	for int(w.zone) >= len(p.zones) {
		p.zones = append(p.zones, 0)
	}
	p.zones[w.zone]++
	p.racks[w.rack]++
	p.workers[w.number]++
	s.stats.Running++
	s.reindexWorker(w)
	s.reindexTeam(j.team)
}

// releaseRun releases the reservation of a task.
func (s *Scheduler) releaseRun(t *task) {
	j, p, w := t.job, t.job.profile, t.worker
	s.setState(t, taskEnded)
	last := len(w.placed) - 1
	w.placed[t.placedIndex] = w.placed[last]
	w.placed[t.placedIndex].placedIndex = t.placedIndex
	w.placed[last] = nil
	w.placed = w.placed[:last]
	w.used = w.used.Sub(t.reserved)
	j.liveTasks--
	j.team.used = j.team.used.Sub(t.reserved)
	j.team.running--
	if j.class == work.Service {
		j.team.serviceUse = j.team.serviceUse.Sub(t.reserved)
		j.team.serviceTasks--
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
	s.reindexWorker(w)
	if j.team.maxTasks > 0 || j.team.limit != (work.Resources{}) {
		for _, p := range j.team.activeProfiles {
			s.startRescan(p)
		}
	}
	s.reindexTeam(j.team)
	s.scheduleUnpark(p.entry)
	s.markFreed(w)
	if w.hold != nil {
		w.hold.changed = true
	}
}

// markFreed notes that a worker may have free capacity for waiting jobs.
func (s *Scheduler) markFreed(w *worker) {
	s.capacityChanges++
	if !w.listedAsFreed && w.usable() {
		w.listedAsFreed = true
		s.freedWorkers = append(s.freedWorkers, w)
	}
}

// Stats returns counters for operators and measurements.
func (s *Scheduler) Stats() Stats {
	st := s.stats
	for f := range familyCount {
		for o := range orderCount {
			st.Steps += s.forests[f][o].steps
		}
	}
	for _, f := range [...]*forest{&s.waiting, &s.untried, &s.waitingTeams, &s.untriedTeams, &s.openTeams} {
		st.Steps += f.steps
	}
	return st
}
