package placement

import (
	"cmp"
	"slices"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Orders in which workers are indexed. The first three are by the free amount
// of a resource.
const (
	byProcessors = iota
	byMemory
	byAccelerators
	byPreemptible // by free processors, with bounds that include what preemption could free
	orderCount
)

// Families of indexes. A worker that is bound to a team is indexed in its
// team's scope and, for jobs of open entries, in one scope with all other bound
// workers.
const (
	primaryFamily = iota
	openEntryFamily
	familyCount
)

// scope is a set of workers that the same jobs may use.
type scope struct {
	tiers [2]tier // workers without and with accelerators
}

// tier is the part of a scope with or without accelerators.
type tier struct {
	zones    []*zone // sorted by name
	capacity work.Resources
	free     work.Resources
	count    int
}

// zone indexes the workers of a tier in one availability zone.
type zone struct {
	number int32
	name   string
	roots  [orderCount]int32
}

func (t *tier) zone(number int32, name string) *zone {
	i, ok := slices.BinarySearchFunc(t.zones, name, func(z *zone, n string) int { return cmp.Compare(z.name, n) })
	if !ok {
		t.zones = slices.Insert(t.zones, i, &zone{number: number, name: name, roots: [orderCount]int32{noItem, noItem, noItem, noItem}})
	}
	return t.zones[i]
}

// dominantOrder returns the order of the resource of which the size takes the
// largest fraction of the tier's capacity.
func (t *tier) dominantOrder(size work.Resources) int {
	best, order := -1.0, byProcessors
	for i, v := range [...][2]int64{
		{size.Processors, t.capacity.Processors}, {size.Memory, t.capacity.Memory}, {size.Accelerators, t.capacity.Accelerators},
	} {
		if v[1] > 0 && float64(v[0])/float64(v[1]) > best {
			best, order = float64(v[0])/float64(v[1]), i
		}
	}
	return order
}

func (w *worker) tierOf(c *scope) *tier {
	if w.capacity.Accelerators > 0 {
		return &c.tiers[1]
	}
	return &c.tiers[0]
}

// reindexWorker updates the indexes after a change of a worker.
func (s *Scheduler) reindexWorker(w *worker) {
	indexed := w.usable() && w.hold == nil
	free := w.free()
	for f := range familyCount {
		if f == openEntryFamily && w.boundTeam == nil && w.tiers[f] == nil {
			continue
		}
		t := w.tiers[f]
		if t != nil {
			t.free = t.free.Sub(w.indexedFree)
			if !indexed {
				t.capacity = t.capacity.Sub(w.capacity)
				t.count--
				w.tiers[f] = nil
				for o := range orderCount {
					s.forests[f][o].drop(w.number)
				}
				continue
			}
		} else {
			if !indexed {
				continue
			}
			t = w.tierOf(s.scopeOf(w, f))
			t.capacity = t.capacity.Add(w.capacity)
			t.count++
			w.tiers[f] = t
		}
		t.free = t.free.Add(free)
		z := t.zone(w.zone, s.zoneNames[w.zone])
		bound, preemptibleBound := vectorOf(free), vectorOf(free.Add(w.preemptible))
		s.forests[f][byProcessors].put(&z.roots[byProcessors], w.number, key{free.Processors, w.hash}, bound)
		s.forests[f][byMemory].put(&z.roots[byMemory], w.number, key{free.Memory, w.hash}, bound)
		if w.capacity.Accelerators > 0 {
			s.forests[f][byAccelerators].put(&z.roots[byAccelerators], w.number, key{free.Accelerators, w.hash}, bound)
		}
		s.forests[f][byPreemptible].put(&z.roots[byPreemptible], w.number, key{free.Processors, w.hash}, preemptibleBound)
	}
	w.indexedFree = free
}

func (s *Scheduler) scopeOf(w *worker, family int) *scope {
	switch {
	case w.boundTeam == nil:
		return &s.sharedScope
	case family == primaryFamily:
		return &w.boundTeam.ownScope
	}
	return &s.boundScope
}

// unindex removes a worker from all indexes before its capacity, zone or team
// changes.
func (s *Scheduler) unindex(w *worker) {
	observed := w.observed
	w.observed = false
	s.reindexWorker(w)
	w.observed = observed
}

// scopeView is a scope and the index family to search it with.
type scopeView struct {
	scope  *scope
	family int
}

// viewsFor returns the scopes that a job may use. The workers of its own team
// come first, so that shared ones stay free for teams that have none.
func (s *Scheduler) viewsFor(j *job) (list [3]scopeView, n int) {
	if c := &j.team.ownScope; c.tiers[0].count+c.tiers[1].count > 0 {
		list[n] = scopeView{c, primaryFamily}
		n++
	}
	list[n] = scopeView{&s.sharedScope, primaryFamily}
	n++
	if c := &s.boundScope; j.profile.entry.open && c.tiers[0].count+c.tiers[1].count > 0 {
		list[n] = scopeView{c, openEntryFamily}
		n++
	}
	return list, n
}

// forEachTier calls yield for each tier in which the size may be placed, in
// order of preference, until yield returns true.
func (s *Scheduler) forEachTier(j *job, size work.Resources, yield func(t *tier, family int) bool) bool {
	list, n := s.viewsFor(j)
	if size.Accelerators > 0 {
		for _, v := range list[:n] {
			if t := &v.scope.tiers[1]; t.count > 0 && yield(t, v.family) {
				return true
			}
		}
		return false
	}
	for i := range 2 {
		for _, v := range list[:n] {
			k := i
			if s.options.Off.Accelerators {
				k = 1 - i
			}
			if t := &v.scope.tiers[k]; t.count > 0 && yield(t, v.family) {
				return true
			}
		}
	}
	return false
}
