package placement

import (
	"cmp"
	"slices"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Orders in which workers are indexed. The first three are by free amount.
const (
	byProcessors = iota
	byMemory
	byAccelerators
	byRoom // by free processors, bounded by what preemption could free
	orders
)

// Families of indexes. A worker that is bound to a team is in its team's scope
// and, for the work of open entries, in one scope with all other bound workers.
const (
	primary = iota
	common
	families
)

// scope is a set of workers that the same work may use.
type scope struct {
	tiers [2]tier // workers without and with accelerators
}

// tier is the part of a scope with or without accelerators.
type tier struct {
	zones    []*zone // in the order of the zones' names
	capacity work.Resources
	free     work.Resources
	count    int
}

// zone indexes the workers of a tier in one availability zone.
type zone struct {
	number int32
	name   string
	roots  [orders]int32
}

func (t *tier) zone(number int32, name string) *zone {
	i, ok := slices.BinarySearchFunc(t.zones, name, func(z *zone, n string) int { return cmp.Compare(z.name, n) })
	if !ok {
		t.zones = slices.Insert(t.zones, i, &zone{number: number, name: name, roots: [orders]int32{none, none, none, none}})
	}
	return t.zones[i]
}

// dominant returns the order of the resource of which the size takes the
// largest fraction of the tier.
func (t *tier) dominant(size work.Resources) int {
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

// refresh brings the indexes up to date with a worker.
func (s *Scheduler) refresh(w *worker) {
	listed := w.usable() && w.hold == nil
	free := w.free()
	for f := range families {
		if f == common && w.bound == nil && w.tier[f] == nil {
			continue
		}
		t := w.tier[f]
		if t != nil {
			t.free = t.free.Sub(w.listed)
			if !listed {
				t.capacity = t.capacity.Sub(w.capacity)
				t.count--
				w.tier[f] = nil
				for o := range orders {
					s.forests[f][o].drop(w.number)
				}
				continue
			}
		} else {
			if !listed {
				continue
			}
			t = w.tierOf(s.scopeOf(w, f))
			t.capacity = t.capacity.Add(w.capacity)
			t.count++
			w.tier[f] = t
		}
		t.free = t.free.Add(free)
		z := t.zone(w.zone, s.zoneNames[w.zone])
		bound, room := vectorOf(free), vectorOf(free.Add(w.yield))
		s.forests[f][byProcessors].put(&z.roots[byProcessors], w.number, key{free.Processors, w.hash}, bound)
		s.forests[f][byMemory].put(&z.roots[byMemory], w.number, key{free.Memory, w.hash}, bound)
		if w.capacity.Accelerators > 0 {
			s.forests[f][byAccelerators].put(&z.roots[byAccelerators], w.number, key{free.Accelerators, w.hash}, bound)
		}
		s.forests[f][byRoom].put(&z.roots[byRoom], w.number, key{free.Processors, w.hash}, room)
	}
	w.listed = free
}

func (s *Scheduler) scopeOf(w *worker, family int) *scope {
	switch {
	case w.bound == nil:
		return &s.shared
	case family == primary:
		return &w.bound.own
	}
	return &s.boundScope
}

// unlist takes a worker out of all indexes before its shape, zone or team changes.
func (s *Scheduler) unlist(w *worker) {
	known := w.known
	w.known = false
	s.refresh(w)
	w.known = known
}

// view is one scope as the work of a job sees it.
type view struct {
	scope  *scope
	family int
}

// views returns the scopes that a job may use: first the workers of its own
// team, so that shared ones stay free for teams that have none.
func (s *Scheduler) views(j *job) (list [3]view, n int) {
	if c := &j.team.own; c.tiers[0].count+c.tiers[1].count > 0 {
		list[n] = view{c, primary}
		n++
	}
	list[n] = view{&s.shared, primary}
	n++
	if c := &s.boundScope; j.profile.entry.open && c.tiers[0].count+c.tiers[1].count > 0 {
		list[n] = view{c, common}
		n++
	}
	return list, n
}

// tiers calls yield for each tier in which the size may be placed, the
// preferred one first, until it returns true.
func (s *Scheduler) tiers(j *job, size work.Resources, yield func(t *tier, family int) bool) bool {
	list, n := s.views(j)
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
