package placement

import (
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// enqueue adds a job with queued tasks to the queues and marks it as untried.
// It removes a job that cannot start any task at present.
func (s *Scheduler) enqueue(j *job) {
	if len(j.queuedTasks) == 0 || j.finished || j.refusalProposed || j.backingOff {
		s.dequeue(j)
		return
	}
	k, p := j.key(), j.profile
	switch {
	case j.urgent:
		s.waiting.put(&s.urgentRoot, j.slot, k, lowestVector)
	case j.class == work.Gang:
		s.waiting.put(&s.gangRoot, j.slot, k, lowestVector)
		s.untried.put(&s.untriedGangRoot, j.slot, k, lowestVector)
	default:
		if !j.team.hasWaiting() {
			j.team.lastServed = s.now
			if j.submitted.After(s.now) {
				j.team.lastServed = j.submitted
			}
		}
		s.waiting.put(&p.waiting, j.slot, k, negated(j.baseSize))
		s.untried.put(&p.untried, j.slot, k, negated(j.baseSize))
		if !p.active {
			p.active = true
			j.team.activeProfiles = append(j.team.activeProfiles, p)
		}
		s.reindexTeam(j.team)
	}
}

func (t *team) hasWaiting() bool { return len(t.activeProfiles) > 0 }

// dequeue removes a job from all queues.
func (s *Scheduler) dequeue(j *job) {
	s.waiting.drop(j.slot)
	s.untried.drop(j.slot)
	s.releaseQuota(j)
	p := j.profile
	if p.active && p.waiting == noItem {
		p.active = false
		for i, o := range j.team.activeProfiles {
			if o == p {
				end := len(j.team.activeProfiles) - 1
				j.team.activeProfiles[i] = j.team.activeProfiles[end]
				j.team.activeProfiles = j.team.activeProfiles[:end]
				break
			}
		}
		s.reindexTeam(j.team)
	}
}

// shareUnit is the distance between keys that one weighted fair share is worth.
const shareUnit = 1e9

// teamKey orders teams by weighted dominant share. A waiting team gains
// priority with the time since its last start. As that time passes equally for
// all teams, the key contains the time of the last start instead and needs no
// update.
func (s *Scheduler) teamKey(t *team) key {
	if s.options.Off.Fairness {
		oldest := int64(0)
		for i, p := range t.activeProfiles {
			for n := p.waiting; n != noItem; n = s.waiting.nodes[n].left {
				if m := s.waiting.nodes[n].key.major; i == 0 && n == p.waiting || m < oldest {
					oldest = m
				}
			}
		}
		return key{oldest, t.hash}
	}
	k := int64(s.weightedShare(t) * shareUnit)
	if !s.options.Off.Ageing {
		k += int64(float64(t.lastServed.UnixMilli()) / float64(s.options.Ageing.Milliseconds()) * shareUnit)
	}
	return key{k, t.hash}
}

// weightedShare returns the team's dominant share divided by its weighted fair
// share.
func (s *Scheduler) weightedShare(t *team) float64 {
	return t.used.Dominant(s.sharesTotal) * float64(s.totalWeight) / float64(t.weight)
}

// reindexTeam updates the teams' indexes after a change of a team. A team is in
// an index only while it may start a task of at least the smallest size that
// waits.
func (s *Scheduler) reindexTeam(t *team) {
	if len(t.activeProfiles) == 0 {
		s.waitingTeams.drop(t.index)
		s.untriedTeams.drop(t.index)
		s.openTeams.drop(t.index)
		return
	}
	bound, untried, open := lowestVector, lowestVector, lowestVector
	for _, p := range t.activeProfiles {
		if p.parked {
			continue
		}
		if p.entry.atTaskLimit() {
			p.park()
			continue
		}
		v := p.smallestReservation(s.waiting.maxBound(p.waiting))
		bound = bound.max(v)
		if p.entry.open {
			open = open.max(v)
		}
		if p.rescan.active {
			untried = untried.max(v)
		} else if p.untried != noItem {
			untried = untried.max(p.smallestReservation(s.untried.maxBound(p.untried)))
		}
	}
	left, ok := t.remainingQuota()
	k, need := s.teamKey(t), negated(left)
	s.setIndexed(&s.waitingTeams, &s.waitingTeamsRoot, t, k, bound, ok && bound != lowestVector && bound.covers(need))
	s.setIndexed(&s.untriedTeams, &s.untriedTeamsRoot, t, k, untried, ok && untried != lowestVector && untried.covers(need))
	s.setIndexed(&s.openTeams, &s.openTeamsRoot, t, k, open, ok && open != lowestVector && open.covers(need))
}

func (s *Scheduler) setIndexed(f *forest, root *int32, t *team, k key, bound vector, in bool) {
	if in {
		f.put(root, t.index, k, bound)
	} else {
		f.drop(t.index)
	}
}

// park removes the profile from the teams' indexes until its entry is below its
// limit again.
func (p *profile) park() {
	p.parked = true
	p.entry.parked = append(p.entry.parked, p)
}

// smallestReservation returns the negated smallest reservation of jobs whose
// negated declared sizes have the maximum top.
func (p *profile) smallestReservation(top vector) vector {
	top[0] = -ceilScale(-top[0], min(p.usage.scale[0], scaleOne))
	top[1] = -ceilScale(-top[1], min(p.usage.scale[1], scaleOne))
	return top
}

// scheduleUnpark notes that an entry may be below its task limit again.
func (s *Scheduler) scheduleUnpark(e *entry) {
	if !e.unparkScheduled && len(e.parked) > 0 && !e.atTaskLimit() {
		e.unparkScheduled = true
		s.unparkQueue = append(s.unparkQueue, e)
	}
}

// maxUnparkedProfiles limits the profiles that one round unparks for one entry.
const maxUnparkedProfiles = 8

// unpark returns parked profiles of the entries in unparkQueue to the teams'
// indexes, those of the teams with the smallest shares first.
func (s *Scheduler) unpark() {
	kept := s.unparkQueue[:0]
	for _, e := range s.unparkQueue {
		for n := 0; n < maxUnparkedProfiles && len(e.parked) > 0 && !e.atTaskLimit(); n++ {
			best := 0
			for i, p := range e.parked {
				if s.teamKey(p.team).less(s.teamKey(e.parked[best].team)) {
					best = i
				}
			}
			p := e.parked[best]
			e.parked[best] = e.parked[len(e.parked)-1]
			e.parked = e.parked[:len(e.parked)-1]
			p.parked = false
			s.startRescan(p)
			s.reindexTeam(p.team)
		}
		if e.unparkScheduled = len(e.parked) > 0 && !e.atTaskLimit(); e.unparkScheduled {
			kept = append(kept, e)
		}
	}
	clear(s.unparkQueue[len(kept):])
	s.unparkQueue = kept
}

// refreshShares reindexes all waiting teams after the total capacity or a
// weight changed.
func (s *Scheduler) refreshShares() {
	if !s.sharesStale {
		return
	}
	s.sharesStale, s.sharesTotal = false, s.total
	for _, t := range s.teamList {
		if t.hasWaiting() {
			s.reindexTeam(t)
		}
	}
}

// pickUntried returns the next job among those that were not tried yet or that
// a rescan tries again.
func (s *Scheduler) pickUntried() *job {
	for {
		i := s.untriedTeams.first(s.untriedTeamsRoot, lowestKey, lowestVector)
		if i == noItem {
			return nil
		}
		t := s.teamList[i]
		left, ok := t.remainingQuota()
		if ok {
			if j := s.pickJob(t, left, nil); j != nil {
				return j
			}
		}
		if s.rescanChanged {
			s.rescanChanged = false
			s.reindexTeam(t)
			continue
		}
		// The team is indexed again with the next change of its use or queue.
		s.untriedTeams.drop(t.index)
	}
}

// pickForWorker returns the next job among those that fit on the worker.
func (s *Scheduler) pickForWorker(w *worker) *job {
	free := w.free()
	need := negated(free)
	if w.boundTeam != nil {
		if left, ok := w.boundTeam.remainingQuota(); ok && w.boundTeam.hasWaiting() {
			if j := s.pickJob(w.boundTeam, minResources(free, left), w); j != nil {
				return j
			}
		}
	}
	f, root := &s.waitingTeams, s.waitingTeamsRoot
	if w.boundTeam != nil {
		f, root = &s.openTeams, s.openTeamsRoot
	}
	for from := lowestKey; ; {
		i := f.first(root, from, need)
		if i == noItem {
			return nil
		}
		from = f.nodes[i].key.next()
		t := s.teamList[i]
		if left, ok := t.remainingQuota(); ok {
			if j := s.pickJob(t, minResources(free, left), w); j != nil {
				return j
			}
		}
	}
}

// pickJob returns the team's next job that fits in available, among those that
// fit on w or, if w is nil, those to be tried: services first, because callers
// wait for their runners, then in order of submission.
func (s *Scheduler) pickJob(t *team, available work.Resources, w *worker) *job {
	var best *job
	for _, p := range t.activeProfiles {
		if p.parked || w != nil && w.boundTeam != nil && w.boundTeam != t && !p.entry.open {
			continue
		}
		if p.entry.atTaskLimit() {
			p.park()
			continue
		}
		f, root, from := &s.waiting, p.waiting, lowestKey
		if w == nil {
			if f, root = &s.untried, p.untried; p.rescan.active {
				f, root, from = &s.waiting, p.waiting, p.rescan.next
			}
		}
		s.stats.Steps++
		need := negated(p.usage.unscaled(available))
		skipped := 0
		for ; skipped < maxSkipped; skipped++ {
			i := f.first(root, from, need)
			if i == noItem {
				if w == nil && p.rescan.active && (p.rescan.restart || f.first(root, from, lowestVector) == noItem) {
					s.endRescan(p)
				}
				break
			}
			from = f.nodes[i].key.next()
			j := s.jobSlots[i]
			if best != nil && !j.before(best) {
				break
			}
			if size := s.taskSize(j); size.Fits(available) && (w == nil || s.canStartOn(w, j, size)) {
				best = j
				break
			}
		}
		if skipped == maxSkipped {
			s.continueRescan(p, from, w != nil)
		}
	}
	return best
}

// continueRescan has a rescan try the jobs that a search did not reach.
func (s *Scheduler) continueRescan(p *profile, from key, forWorker bool) {
	if forWorker {
		s.startRescan(p)
		s.reindexTeam(p.team)
		return
	}
	p.rescan = rescan{active: true, restart: p.rescan.restart, next: from}
	s.rescanChanged = true
}

func (j *job) before(o *job) bool {
	if a, b := j.class == work.Service, o.class == work.Service; a != b {
		return a
	}
	return j.key().less(o.key())
}

// canStartOn reports whether the worker may start a task of j now.
func (s *Scheduler) canStartOn(w *worker, j *job, size work.Resources) bool {
	switch {
	case w.hold != nil:
		return s.canBackfill(w, j, size, s.now)
	case w.health.quarantined: // a trial; a job that failed elsewhere would not show whether the worker works
		return j.class == work.Batch && len(j.failedOn) == 0
	}
	return w.eligibleFor(j)
}

// startRescan has all waiting jobs of a profile tried again.
func (s *Scheduler) startRescan(p *profile) {
	switch {
	case !p.active:
	case p.rescan.active:
		p.rescan.restart = true
	default:
		p.rescan = rescan{active: true, next: lowestKey}
	}
}

func (s *Scheduler) endRescan(p *profile) {
	p.rescan = rescan{active: p.rescan.restart, next: lowestKey}
	s.rescanChanged = true
}

// advanceRescan moves a rescan past a job that did not fit anywhere, and ends
// it if even the smallest amounts that its jobs request do not fit.
func (s *Scheduler) advanceRescan(j *job) {
	p := j.profile
	if !p.rescan.active {
		return
	}
	p.rescan.next = j.key().next()
	if p.waiting == noItem {
		p.rescan = rescan{}
		return
	}
	v := p.smallestReservation(s.waiting.maxBound(p.waiting))
	smallest := work.Resources{Processors: -v[0], Memory: -v[1], Accelerators: -v[2]}
	// The probe has no failed workers, so that no worker is skipped.
	s.probe = job{profile: p, team: p.team}
	if _, ok := (packPolicy{}).place(s, taskRequest{&s.probe, smallest}); !ok {
		p.rescan = rescan{}
	}
}

// backOff removes a job from the queues for Options.Retry after a rejection.
func (s *Scheduler) backOff(j *job) {
	if !j.backingOff {
		j.backingOff = true
		s.backoffs.add(s.now.Add(s.options.Retry), j.id)
		s.dequeue(j)
	}
}

// endBackoffs queues jobs again whose delay after a rejection is over.
func (s *Scheduler) endBackoffs(now time.Time) {
	for {
		id, ok := s.backoffs.popDue(now)
		if !ok {
			return
		}
		if j := s.jobs[id]; j != nil && j.backingOff {
			j.backingOff = false
			s.enqueue(j)
		}
	}
}
