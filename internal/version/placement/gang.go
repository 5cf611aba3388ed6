package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// gangRequest asks for room for all tasks of a job that wait.
type gangRequest struct {
	job  *job
	size work.Resources
	n    int64
	now  time.Time
}

// share is a number of tasks on one worker.
type share struct {
	worker *worker
	n      int64
}

// gang places all tasks of a gang at once, as many on each worker as fit, so
// that a search costs no more than the workers that the gang takes.
type gang struct{}

func (gang) place(s *Scheduler, q gangRequest) ([]share, bool) {
	shares, left, need := s.shares[:0], q.n, vectorOf(q.size)
	s.tiers(q.job, q.size, func(t *tier, family int) bool {
		if !q.size.Times(left).Fits(t.free) && !q.size.Fits(t.free) {
			return false
		}
		order := t.dominant(q.size)
		f := &s.forests[family][order]
		for _, z := range t.zones {
			// The emptiest first: fewer workers, and fewer neighbours that could fail.
			for before := (key{math.MaxInt64, math.MaxUint64}); left > 0; {
				i := f.last(z.roots[order], before, need)
				if i == none {
					break
				}
				before = f.nodes[i].key
				w := s.workerList[i]
				if !w.suits(q.job) || slices.ContainsFunc(shares, func(p share) bool { return p.worker == w }) {
					continue
				}
				n := min(left, copies(w.free(), q.size))
				shares = append(shares, share{w, n})
				left -= n
			}
		}
		return left == 0
	})
	s.shares = shares
	return shares, left == 0
}

// copies returns how many times size fits free.
func copies(free, size work.Resources) int64 {
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

// hold sets workers apart for one job: a reservation for a blocked gang, or a
// claim of an urgent job on what its victims free.
type hold struct {
	owner   *job
	claim   bool
	size    work.Resources
	since   time.Time // first reservation or first stop request
	at      time.Time // when a reservation is expected to be met
	replan  time.Time // when a reservation is computed anew
	slots   []slot
	changed bool
}

// slot is the part of a hold on one worker.
type slot struct {
	worker  *worker
	n       int64
	since   time.Time // when the victims were asked to checkpoint
	victims []*task
	tokens  []work.Token // of the victims' runs
	stopped bool         // the victims were asked to stop at once
}

// booking is a plan for a reservation.
type booking struct {
	at    time.Time
	slots []slot
}

// opening is the time at which a worker has room for one more task.
type opening struct {
	worker *worker
	at     time.Time
}

// reserve finds the workers on which a blocked gang can start first, from the
// expected ends of what runs there: the shadow time of backfilling (Lifka,
// JSSPP 1995; Mu'alem and Feitelson, IEEE TPDS 2001).
type reserve struct{}

// reserveSample is the number of workers per task of a gang, and at least in
// all, that a reservation compares.
const (
	reserveSample  = 4
	reserveMinimum = 64
)

func (reserve) place(s *Scheduler, q gangRequest) (booking, bool) {
	openings := s.openings[:0]
	left := reserveMinimum + reserveSample*int(q.n)
	s.tiers(q.job, q.size, func(t *tier, family int) bool {
		if t.capacity.Accelerators > 0 && q.size.Accelerators == 0 && len(openings) >= int(q.n) {
			return true
		}
		order := t.dominant(q.size)
		f := &s.forests[family][order]
		per := left/max(len(t.zones), 1) + 1
		for _, z := range t.zones {
			before := key{math.MaxInt64, math.MaxUint64}
			for range per {
				i := f.last(z.roots[order], before, anything)
				if i == none {
					break
				}
				before = f.nodes[i].key
				if w := s.workerList[i]; q.size.Fits(w.capacity) && w.suits(q.job) {
					openings = s.openingsOf(w, q, openings)
				}
			}
		}
		return false
	})
	s.openings = openings
	if int64(len(openings)) < q.n {
		return booking{}, false
	}
	slices.SortFunc(openings, func(a, b opening) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return cmp.Compare(a.worker.hash, b.worker.hash)
	})
	openings = openings[:q.n]
	b := booking{at: openings[q.n-1].at}
	for _, o := range openings {
		i := slices.IndexFunc(b.slots, func(p slot) bool { return p.worker == o.worker })
		if i < 0 {
			i = len(b.slots)
			b.slots = append(b.slots, slot{worker: o.worker})
		}
		b.slots[i].n++
	}
	return b, true
}

// openingsOf appends the times at which the worker has room for the first,
// second and later task of the gang.
func (s *Scheduler) openingsOf(w *worker, q gangRequest, out []opening) []opening {
	free := w.free()
	n := copies(free, q.size)
	for range min(n, q.n) {
		out = append(out, opening{w, q.now})
	}
	ends := append(s.ends[:0], w.placed...)
	s.ends = ends
	slices.SortFunc(ends, func(a, b *task) int {
		if c := a.expected(q.now).Compare(b.expected(q.now)); c != 0 {
			return c
		}
		return cmp.Or(cmp.Compare(a.job.id, b.job.id), cmp.Compare(a.index, b.index))
	})
	for _, t := range ends {
		at := t.expected(q.now)
		if n >= q.n || at.Sub(q.now) > unknownTime/2 {
			break
		}
		free = free.Add(t.reserved)
		for c := copies(free, q.size); n < min(c, q.n); n++ {
			out = append(out, opening{w, at})
		}
	}
	return out
}

// expected returns when the task is expected to end. One that runs for longer
// than expected is given half of its run time again.
func (t *task) expected(now time.Time) time.Time {
	if t.end.After(now) {
		return t.end
	}
	return now.Add(now.Sub(t.start)/2 + time.Second)
}

// install sets the slots' workers apart.
func (s *Scheduler) install(h *hold) {
	h.owner.hold = h
	for i := range h.slots {
		w := h.slots[i].worker
		w.hold, w.held = h, h.size.Times(h.slots[i].n)
		s.refresh(w)
	}
	s.holds = append(s.holds, h)
}

// dissolve gives the workers of a hold back.
func (s *Scheduler) dissolve(h *hold) {
	for i := range h.slots {
		s.giveBack(h.slots[i].worker)
	}
	h.slots = nil
	h.owner.hold = nil
	s.holds = slices.DeleteFunc(s.holds, func(o *hold) bool { return o == h })
}

func (s *Scheduler) giveBack(w *worker) {
	w.hold, w.held = nil, work.Resources{}
	s.refresh(w)
	s.release(w)
}

// lends reports whether a held worker may take a task that is not its owner's:
// one that ends before the reservation begins, or that fits beside it.
func (s *Scheduler) lends(w *worker, j *job, size work.Resources, now time.Time) bool {
	h := w.hold
	if h.claim || s.options.Off.Backfill || !size.Fits(w.free()) || !w.usable() || !w.suits(j) {
		return false
	}
	if w.bound != nil && w.bound != j.team && !j.profile.entry.open {
		return false
	}
	if now.Before(h.since.Add(s.options.Patience)) && !now.Add(s.runTime(j, s.options.TimeQuantile)).After(h.at) {
		return true
	}
	later := w.capacity.Sub(w.held).Sub(size)
	for _, t := range w.placed {
		if t.expected(now).After(h.at) {
			later = later.Sub(t.reserved)
		}
	}
	return later.Processors >= 0 && later.Memory >= 0 && later.Accelerators >= 0
}

// lendSample bounds the held workers that are tried for one task.
const lendSample = 32

// borrow looks for room on workers that are held for gangs.
func (s *Scheduler) borrow(j *job, size work.Resources) *worker {
	tries := 0
	for _, h := range s.holds {
		if h.claim {
			continue
		}
		for i := range h.slots {
			if tries++; tries > lendSample {
				return nil
			}
			s.stats.Steps++
			if w := h.slots[i].worker; s.lends(w, j, size, s.now) {
				return w
			}
		}
	}
	return nil
}

// placeGangs starts gangs that fit and keeps the reservations of the oldest
// blocked ones.
func (s *Scheduler) placeGangs() {
	for i := 0; i < len(s.holds) && !s.full(); i++ {
		if h := s.holds[i]; !h.claim && s.serveHold(h) {
			i--
		}
	}
	for range gangTries {
		if s.full() {
			return
		}
		i := s.fresh.first(s.gangFresh, lowest, anything)
		if i == none {
			break
		}
		s.fresh.drop(i)
		s.tryGang(s.slots[i])
	}
	if s.gangs == none || s.now.Before(s.gangRetry) || s.releases == s.gangReleases {
		return
	}
	s.gangRetry, s.gangReleases = s.now.Add(s.options.Replan/gangRetries), s.releases
	s.retryGangs()
}

const (
	gangTries   = 2   // new gangs tried in one round
	gangAgain   = 1   // blocked gangs tried again in one round, from the oldest on and in turn
	gangRetries = 100 // rounds of retries in the life of a reservation
	gangPasses  = 64  // gangs passed over because of limits in one round
)

// retryGangs tries blocked gangs again, the oldest ones first and then in
// turn, and gives the oldest that stay blocked a reservation.
func (s *Scheduler) retryGangs() {
	tries := 0
	from := lowest
	for passes := 0; passes < gangPasses && tries < gangAgain && !s.full(); passes++ {
		i := s.waiting.first(s.gangs, from, anything)
		if i == none {
			break
		}
		from = s.waiting.nodes[i].key.next()
		j := s.slots[i]
		if j.hold != nil {
			continue
		}
		switch s.tryGang(j) {
		case gangBlocked:
			tries++
			if s.reserveFor(j, nil) {
				s.keepGate(j)
			} else {
				s.openGate(j)
			}
		case gangLimited:
			s.keepGate(j)
		case gangStarted:
			tries++
		}
	}
	// A window that moves on lets later gangs start that fit when older ones do not.
	for range gangAgain {
		if s.full() {
			return
		}
		i := s.waiting.first(s.gangs, s.gangCursor, anything)
		if i == none {
			s.gangCursor = lowest
			return
		}
		s.gangCursor = s.waiting.nodes[i].key.next()
		if j := s.slots[i]; j.hold == nil {
			s.tryGang(j)
		}
	}
}

// keepGate keeps room within the limits of the gang's team and entry, if no
// older gang has a gate there.
func (s *Scheduler) keepGate(j *job) {
	t, e := j.team, j.profile.entry
	if s.options.Off.Reservation || j.stopping > 0 {
		return
	}
	g := gate{j, s.size(j).Times(int64(len(j.ready))), int64(len(j.ready))}
	// Room that services hold does not come back, so that keeping the rest of
	// the limit would block the team for nothing.
	if !t.fixed.Add(g.size).Within(t.limit) || t.tasks > 0 && t.services+g.tasks > t.tasks {
		s.openGate(j)
		return
	}
	if (t.tasks > 0 || t.limit != (work.Resources{})) && (t.gate.owner == nil || t.gate.owner == j) && t.gate != g {
		t.gate = g
		s.refreshTeam(t)
	}
	if e.tasks > 0 && (e.gate.owner == nil || e.gate.owner == j) {
		e.gate = g
	}
}

// openGate gives the room back that was kept for a gang.
func (s *Scheduler) openGate(j *job) {
	t, e := j.team, j.profile.entry
	if t.gate.owner == j {
		t.gate = gate{}
		for _, p := range t.active {
			s.startWalk(p)
		}
		s.refreshTeam(t)
	}
	if e.gate.owner == j {
		e.gate = gate{}
		s.reopen(e)
	}
}

type gangResult uint8

const (
	gangStarted gangResult = iota
	gangBlocked
	gangLimited
)

// tryGang starts the gang if all its waiting tasks fit now.
func (s *Scheduler) tryGang(j *job) gangResult {
	size, n := s.size(j), int64(len(j.ready))
	if j.stopping > 0 || !s.permits(j, size, n) {
		return gangLimited
	}
	shares, ok := gang{}.place(s, gangRequest{j, size, n, s.now})
	if !ok {
		return gangBlocked
	}
	s.startGang(j, size, shares, ReasonGang)
	return gangStarted
}

// reserveFor gives a blocked gang a reservation if one is to be had. It returns
// false if the gang cannot start while the services that run now go on. A plan
// that follows an earlier one keeps the earlier time: work that was backfilled
// in between would otherwise move the start of the gang on and on.
func (s *Scheduler) reserveFor(j *job, earlier *hold) bool {
	if s.options.Off.Reservation {
		return true
	}
	count := 0
	for _, h := range s.holds {
		if !h.claim {
			count++
		}
	}
	if count >= s.options.Reservations {
		return true
	}
	size := s.size(j)
	b, ok := reserve{}.place(s, gangRequest{j, size, int64(len(j.ready)), s.now})
	if !ok {
		return false
	}
	s.stats.Reservations++
	h := &hold{owner: j, size: size, since: s.now, at: b.at, replan: s.now.Add(s.options.Replan), slots: b.slots, changed: true}
	if earlier != nil {
		h.since = earlier.since
		if earlier.at.Before(h.at) {
			h.at = earlier.at
		}
	}
	s.install(h)
	return true
}

// serveHold starts the owner of a reservation once every slot has room, or
// plans anew. It reports whether the hold was dissolved.
func (s *Scheduler) serveHold(h *hold) bool {
	j := h.owner
	size, n := s.size(j), int64(len(j.ready))
	booked := int64(0)
	for i := range h.slots {
		booked += h.slots[i].n
	}
	if n == 0 || j.finished || j.stopping > 0 || n != booked || size != h.size || !s.permits(j, size, n) {
		s.dissolve(h)
		return true
	}
	if h.changed {
		h.changed = false
		ready := true
		shares := s.shares[:0]
		for i := range h.slots {
			p := &h.slots[i]
			ready = ready && p.worker.usable() && s.mayUse(p.worker, j) && copies(p.worker.free(), size) >= p.n
			shares = append(shares, share{p.worker, p.n})
		}
		s.shares = shares
		if ready {
			s.dissolve(h)
			s.startGang(j, size, shares, ReasonReserved)
			return true
		}
	}
	if s.now.Before(h.replan) && !slices.ContainsFunc(h.slots, func(p slot) bool { return !p.worker.usable() || !s.mayUse(p.worker, j) }) {
		return false
	}
	s.dissolve(h)
	if s.tryGang(j) == gangBlocked {
		s.reserveFor(j, h)
	}
	return true
}
