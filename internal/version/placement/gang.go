package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// gangRequest asks for capacity for all queued tasks of a job.
type gangRequest struct {
	job   *job
	size  work.Resources
	count int64
	now   time.Time
}

// allocation is a number of tasks on one worker.
type allocation struct {
	worker *worker
	count  int64
}

// gangPolicy places all tasks of a gang at once, as many on each worker as fit,
// so that the cost of a search grows with the workers used, not with the tasks.
type gangPolicy struct{}

func (gangPolicy) place(s *Scheduler, q gangRequest) ([]allocation, bool) {
	allocations, left, need := s.allocations[:0], q.count, vectorOf(q.size)
	s.forEachTier(q.job, q.size, func(t *tier, family int) bool {
		if !q.size.Times(left).Fits(t.free) && !q.size.Fits(t.free) {
			return false
		}
		order := t.dominantOrder(q.size)
		f := &s.forests[family][order]
		for _, z := range t.zones {
			// The emptiest workers come first: the gang uses fewer workers and
			// has fewer neighbours that could fail.
			for before := (key{math.MaxInt64, math.MaxUint64}); left > 0; {
				i := f.last(z.roots[order], before, need)
				if i == noItem {
					break
				}
				before = f.nodes[i].key
				w := s.workerList[i]
				if !w.eligibleFor(q.job) || slices.ContainsFunc(allocations, func(p allocation) bool { return p.worker == w }) {
					continue
				}
				n := min(left, fitCount(w.free(), q.size))
				allocations = append(allocations, allocation{w, n})
				left -= n
			}
		}
		return left == 0
	})
	s.allocations = allocations
	return allocations, left == 0
}

// fitCount returns how many times size fits in free.
func fitCount(free, size work.Resources) int64 {
	n := int64(math.MaxInt64)
	if size.Processors > 0 {
		n = min(n, free.Processors/size.Processors)
	}
	if size.Memory > 0 {
		n = min(n, free.Memory/size.Memory)
	}
	if size.Accelerators > 0 {
		n = min(n, free.Accelerators/size.Accelerators)
	}
	return max(n, 0)
}

// hold keeps capacity on workers for one job: the reservation of a blocked
// gang, or the capacity that preemption frees for an urgent job.
type hold struct {
	owner         *job
	forPreemption bool
	size          work.Resources
	since         time.Time // first reservation or first stop request
	expectedStart time.Time // when the reserved capacity is expected to be free
	replanAt      time.Time // when a reservation is planned again
	slots         []slot
	changed       bool // a held worker changed since the last attempt to start the owner
}

// slot is the part of a hold on one worker.
type slot struct {
	worker        *worker
	count         int64
	requestedAt   time.Time // when the victims were asked to checkpoint
	victims       []*task
	victimTokens  []work.Token // of the victims' runs, to recognize later runs of the same tasks
	killRequested bool         // the victims were asked to stop without a checkpoint
}

// reservationPlan is when a gang can start and on which workers.
type reservationPlan struct {
	expectedStart time.Time
	slots         []slot
}

// availability is the time from which a worker can take one more task.
type availability struct {
	worker *worker
	at     time.Time
}

// reservationPolicy finds the workers on which a blocked gang can start
// earliest, from the expected ends of the tasks that run there: the shadow time
// of backfilling (Lifka, JSSPP 1995; Mu'alem and Feitelson, IEEE TPDS 2001).
type reservationPolicy struct{}

// A reservation compares reserveSampleMinimum workers, and reserveSamplePerTask
// more for each task of the gang.
const (
	reserveSamplePerTask = 4
	reserveSampleMinimum = 64
)

func (reservationPolicy) place(s *Scheduler, q gangRequest) (reservationPlan, bool) {
	availabilities := s.availabilities[:0]
	left := reserveSampleMinimum + reserveSamplePerTask*int(q.count)
	s.forEachTier(q.job, q.size, func(t *tier, family int) bool {
		if t.capacity.Accelerators > 0 && q.size.Accelerators == 0 && len(availabilities) >= int(q.count) {
			return true
		}
		order := t.dominantOrder(q.size)
		f := &s.forests[family][order]
		perZone := left/max(len(t.zones), 1) + 1
		for _, z := range t.zones {
			before := key{math.MaxInt64, math.MaxUint64}
			for range perZone {
				i := f.last(z.roots[order], before, lowestVector)
				if i == noItem {
					break
				}
				before = f.nodes[i].key
				if w := s.workerList[i]; q.size.Fits(w.capacity) && w.eligibleFor(q.job) {
					availabilities = s.availabilitiesOf(w, q, availabilities)
				}
			}
		}
		return false
	})
	s.availabilities = availabilities
	if int64(len(availabilities)) < q.count {
		return reservationPlan{}, false
	}
	slices.SortFunc(availabilities, func(a, b availability) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return cmp.Compare(a.worker.hash, b.worker.hash)
	})
	availabilities = availabilities[:q.count]
	b := reservationPlan{expectedStart: availabilities[q.count-1].at}
	for _, o := range availabilities {
		i := slices.IndexFunc(b.slots, func(p slot) bool { return p.worker == o.worker })
		if i < 0 {
			i = len(b.slots)
			b.slots = append(b.slots, slot{worker: o.worker})
		}
		b.slots[i].count++
	}
	return b, true
}

// availabilitiesOf appends the times from which the worker can take the first,
// second and later tasks of the gang.
func (s *Scheduler) availabilitiesOf(w *worker, q gangRequest, out []availability) []availability {
	free := w.free()
	n := fitCount(free, q.size)
	for range min(n, q.count) {
		out = append(out, availability{w, q.now})
	}
	running := append(s.byExpectedEnd[:0], w.placed...)
	s.byExpectedEnd = running
	slices.SortFunc(running, func(a, b *task) int {
		if c := a.expectedEnd(q.now).Compare(b.expectedEnd(q.now)); c != 0 {
			return c
		}
		return cmp.Or(cmp.Compare(a.job.id, b.job.id), cmp.Compare(a.index, b.index))
	})
	for _, t := range running {
		at := t.expectedEnd(q.now)
		if n >= q.count || at.Sub(q.now) > unknownRunTime/2 {
			break
		}
		free = free.Add(t.reserved)
		for c := fitCount(free, q.size); n < min(c, q.count); n++ {
			out = append(out, availability{w, at})
		}
	}
	return out
}

// expectedEnd returns when the task is expected to end. A task that has run
// longer than estimated is expected to run for half of its present run time
// more.
func (t *task) expectedEnd(now time.Time) time.Time {
	if t.estimatedEnd.After(now) {
		return t.estimatedEnd
	}
	return now.Add(now.Sub(t.start)/2 + time.Second)
}

// placeHold keeps the capacity of the hold's slots for its owner.
func (s *Scheduler) placeHold(h *hold) {
	h.owner.hold = h
	for i := range h.slots {
		w := h.slots[i].worker
		w.hold, w.heldCapacity = h, h.size.Times(h.slots[i].count)
		s.reindexWorker(w)
	}
	s.holds = append(s.holds, h)
}

// releaseHold releases all workers of a hold.
func (s *Scheduler) releaseHold(h *hold) {
	for i := range h.slots {
		s.releaseHeldWorker(h.slots[i].worker)
	}
	h.slots = nil
	h.owner.hold = nil
	s.holds = slices.DeleteFunc(s.holds, func(o *hold) bool { return o == h })
}

func (s *Scheduler) releaseHeldWorker(w *worker) {
	w.hold, w.heldCapacity = nil, work.Resources{}
	s.reindexWorker(w)
	s.markFreed(w)
}

// canBackfill reports whether a held worker may run a task of another job: one
// that ends before the reservation starts, or that fits beside the reserved
// capacity.
func (s *Scheduler) canBackfill(w *worker, j *job, size work.Resources, now time.Time) bool {
	h := w.hold
	if h.forPreemption || s.options.Off.Backfill || !size.Fits(w.free()) || !w.usable() || !w.eligibleFor(j) {
		return false
	}
	if w.boundTeam != nil && w.boundTeam != j.team && !j.profile.entry.open {
		return false
	}
	if now.Before(h.since.Add(s.options.Patience)) && !now.Add(s.runTimeQuantile(j, s.options.TimeQuantile)).After(h.expectedStart) {
		return true
	}
	freeAtStart := w.capacity.Sub(w.heldCapacity).Sub(size)
	for _, t := range w.placed {
		if t.expectedEnd(now).After(h.expectedStart) {
			freeAtStart = freeAtStart.Sub(t.reserved)
		}
	}
	return freeAtStart.Processors >= 0 && freeAtStart.Memory >= 0 && freeAtStart.Accelerators >= 0
}

// maxBackfillWorkers limits the held workers that are tried for one task.
const maxBackfillWorkers = 32

// findBackfill looks for a worker held for a gang that may run a task of j.
func (s *Scheduler) findBackfill(j *job, size work.Resources) *worker {
	tries := 0
	for _, h := range s.holds {
		if h.forPreemption {
			continue
		}
		for i := range h.slots {
			if tries++; tries > maxBackfillWorkers {
				return nil
			}
			s.stats.Steps++
			if w := h.slots[i].worker; s.canBackfill(w, j, size, s.now) {
				return w
			}
		}
	}
	return nil
}

// placeGangs starts gangs that fit and maintains the reservations of the oldest
// blocked ones.
func (s *Scheduler) placeGangs() {
	for i := 0; i < len(s.holds) && !s.limitReached(); i++ {
		if h := s.holds[i]; !h.forPreemption && s.startReserved(h) {
			i--
		}
	}
	for range maxNewGangs {
		if s.limitReached() {
			return
		}
		i := s.untried.first(s.untriedGangRoot, lowestKey, lowestVector)
		if i == noItem {
			break
		}
		s.untried.drop(i)
		s.tryStartGang(s.jobSlots[i])
	}
	if s.gangRoot == noItem || s.now.Before(s.nextGangRetry) || s.capacityChanges == s.gangCapacityChanges {
		return
	}
	s.nextGangRetry, s.gangCapacityChanges = s.now.Add(s.options.Replan/gangRetryRounds), s.capacityChanges
	s.retryGangs()
}

const (
	maxNewGangs      = 2   // new gangs tried in one round
	maxGangRetries   = 1   // blocked gangs retried in one round, from the oldest on and again from the cursor on
	gangRetryRounds  = 100 // rounds of retries per Options.Replan
	maxGangsExamined = 64  // blocked gangs examined in one round, those over a limit included
)

// retryGangs tries blocked gangs again, first the oldest and then the others in
// turn, and gives the oldest that stay blocked a reservation.
func (s *Scheduler) retryGangs() {
	tries := 0
	from := lowestKey
	for passes := 0; passes < maxGangsExamined && tries < maxGangRetries && !s.limitReached(); passes++ {
		i := s.waiting.first(s.gangRoot, from, lowestVector)
		if i == noItem {
			break
		}
		from = s.waiting.nodes[i].key.next()
		j := s.jobSlots[i]
		if j.hold != nil {
			continue
		}
		switch s.tryStartGang(j) {
		case gangBlocked:
			tries++
			if s.reserveFor(j, nil) {
				s.reserveQuota(j)
			} else {
				s.releaseQuota(j)
			}
		case gangLimited:
			s.reserveQuota(j)
		case gangStarted:
			tries++
		}
	}
	// The cursor moves on in each round, so that later gangs that fit start
	// although older ones do not.
	for range maxGangRetries {
		if s.limitReached() {
			return
		}
		i := s.waiting.first(s.gangRoot, s.gangCursor, lowestVector)
		if i == noItem {
			s.gangCursor = lowestKey
			return
		}
		s.gangCursor = s.waiting.nodes[i].key.next()
		if j := s.jobSlots[i]; j.hold == nil {
			s.tryStartGang(j)
		}
	}
}

// reserveQuota keeps a part of the limits of the gang's team and entry for the
// gang, unless an older gang has a reservation there.
func (s *Scheduler) reserveQuota(j *job) {
	t, e := j.team, j.profile.entry
	if s.options.Off.Reservation || j.stoppingTasks > 0 {
		return
	}
	g := quotaReservation{j, s.taskSize(j).Times(int64(len(j.queuedTasks))), int64(len(j.queuedTasks))}
	// Quota that services use does not become free again. If the rest is too
	// small for the gang, keeping it would block the team for nothing.
	if !t.serviceUse.Add(g.size).Within(t.limit) || t.maxTasks > 0 && t.serviceTasks+g.tasks > t.maxTasks {
		s.releaseQuota(j)
		return
	}
	if (t.maxTasks > 0 || t.limit != (work.Resources{})) && (t.gangQuota.owner == nil || t.gangQuota.owner == j) && t.gangQuota != g {
		t.gangQuota = g
		s.reindexTeam(t)
	}
	if e.maxTasks > 0 && (e.gangQuota.owner == nil || e.gangQuota.owner == j) {
		e.gangQuota = g
	}
}

// releaseQuota releases the quota that is kept for a gang.
func (s *Scheduler) releaseQuota(j *job) {
	t, e := j.team, j.profile.entry
	if t.gangQuota.owner == j {
		t.gangQuota = quotaReservation{}
		for _, p := range t.activeProfiles {
			s.startRescan(p)
		}
		s.reindexTeam(t)
	}
	if e.gangQuota.owner == j {
		e.gangQuota = quotaReservation{}
		s.scheduleUnpark(e)
	}
}

type gangResult uint8

const (
	gangStarted gangResult = iota
	gangBlocked
	gangLimited
)

// tryStartGang starts the gang if all its queued tasks fit now.
func (s *Scheduler) tryStartGang(j *job) gangResult {
	size, n := s.taskSize(j), int64(len(j.queuedTasks))
	if j.stoppingTasks > 0 || !s.withinLimits(j, size, n) {
		return gangLimited
	}
	allocations, ok := gangPolicy{}.place(s, gangRequest{j, size, n, s.now})
	if !ok {
		return gangBlocked
	}
	s.startGang(j, size, allocations, ReasonGang)
	return gangStarted
}

// reserveFor gives a blocked gang a reservation if one is available. It returns
// false if the gang cannot start while the services that are running now
// continue. A plan that replaces a previous one keeps the earlier of the two
// start times: otherwise tasks that were backfilled in between would delay the
// gang repeatedly.
func (s *Scheduler) reserveFor(j *job, previous *hold) bool {
	if s.options.Off.Reservation {
		return true
	}
	count := 0
	for _, h := range s.holds {
		if !h.forPreemption {
			count++
		}
	}
	if count >= s.options.Reservations {
		return true
	}
	size := s.taskSize(j)
	b, ok := reservationPolicy{}.place(s, gangRequest{j, size, int64(len(j.queuedTasks)), s.now})
	if !ok {
		return false
	}
	s.stats.Reservations++
	h := &hold{owner: j, size: size, since: s.now, expectedStart: b.expectedStart, replanAt: s.now.Add(s.options.Replan), slots: b.slots, changed: true}
	if previous != nil {
		h.since = previous.since
		if previous.expectedStart.Before(h.expectedStart) {
			h.expectedStart = previous.expectedStart
		}
	}
	s.placeHold(h)
	return true
}

// startReserved starts the owner of a reservation once every slot has enough
// free capacity, or plans the reservation again. It reports whether the hold
// was released.
func (s *Scheduler) startReserved(h *hold) bool {
	j := h.owner
	size, n := s.taskSize(j), int64(len(j.queuedTasks))
	reservedTasks := int64(0)
	for i := range h.slots {
		reservedTasks += h.slots[i].count
	}
	if n == 0 || j.finished || j.stoppingTasks > 0 || n != reservedTasks || size != h.size || !s.withinLimits(j, size, n) {
		s.releaseHold(h)
		return true
	}
	if h.changed {
		h.changed = false
		ready := true
		allocations := s.allocations[:0]
		for i := range h.slots {
			p := &h.slots[i]
			ready = ready && p.worker.usable() && s.allowedOn(p.worker, j) && fitCount(p.worker.free(), size) >= p.count
			allocations = append(allocations, allocation{p.worker, p.count})
		}
		s.allocations = allocations
		if ready {
			s.releaseHold(h)
			s.startGang(j, size, allocations, ReasonReserved)
			return true
		}
	}
	if s.now.Before(h.replanAt) && !slices.ContainsFunc(h.slots, func(p slot) bool { return !p.worker.usable() || !s.allowedOn(p.worker, j) }) {
		return false
	}
	s.releaseHold(h)
	if s.tryStartGang(j) == gangBlocked {
		s.reserveFor(j, h)
	}
	return true
}
