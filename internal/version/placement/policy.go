package placement

import (
	"math"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// policy finds the place P for a request Q. A policy reads the indexes and
// changes nothing; the scheduler commits what it returns.
type policy[Q, P any] interface {
	place(s *Scheduler, request Q) (P, bool)
}

// request asks for room for one task.
type request struct {
	job  *job
	size work.Resources
}

var (
	_ policy[request, *worker]     = pack{}
	_ policy[request, *worker]     = spread{}
	_ policy[request, preemption]  = preempt{}
	_ policy[gangRequest, []share] = gang{}
	_ policy[gangRequest, booking] = reserve{}
)

// suits reports whether the worker may take a task of j. A job is not sent
// back to a worker on which it failed.
func (w *worker) suits(j *job) bool {
	for _, f := range j.failedOn {
		if f == w {
			return false
		}
	}
	return true
}

// attempts bounds the workers or jobs that are passed over in one search
// because they do not suit.
const attempts = 8

// pack places batch tasks: best fit on the dominant resource, so that large
// free blocks stay whole, and machines without accelerators first.
type pack struct{}

func (pack) place(s *Scheduler, q request) (found *worker, ok bool) {
	need := vectorOf(q.size)
	s.tiers(q.job, q.size, func(t *tier, family int) bool {
		order := t.dominant(q.size)
		f := &s.forests[family][order]
		best := key{major: math.MaxInt64, minor: math.MaxUint64}
		for _, z := range t.zones {
			if s.options.Off.Pack {
				if w := s.emptiest(f, z.roots[order], need, q.job); w != nil && (found == nil || w.free().Processors > found.free().Processors) {
					found = w
				}
				continue
			}
			from := key{need[order], 0}
			for range attempts {
				i := f.first(z.roots[order], from, need)
				if i == none || !f.nodes[i].key.less(best) {
					break
				}
				if w := s.workerList[i]; w.suits(q.job) {
					found, best = w, f.nodes[i].key
					break
				}
				from = f.nodes[i].key.next()
			}
		}
		return found != nil
	})
	return found, found != nil
}

func (s *Scheduler) emptiest(f *forest, root int32, need vector, j *job) *worker {
	before := key{math.MaxInt64, math.MaxUint64}
	for range attempts {
		i := f.last(root, before, need)
		if i == none {
			return nil
		}
		if w := s.workerList[i]; w.suits(j) {
			return w
		}
		before = f.nodes[i].key
	}
	return nil
}

// spreadSample bounds the workers of a zone that are compared for a service
// task. The emptiest come first.
const spreadSample = 24

// spread places service tasks: in the zone with the fewest tasks of the same
// entry and team, there in the rack and on the worker with the fewest, and
// among equals on the emptiest one.
type spread struct{}

func (spread) place(s *Scheduler, q request) (found *worker, ok bool) {
	if s.options.Off.Spread {
		return pack{}.place(s, q)
	}
	p, need := q.job.profile, vectorOf(q.size)
	s.tiers(q.job, q.size, func(t *tier, family int) bool {
		order := t.dominant(q.size)
		f := &s.forests[family][order]
		tried := uint64(0)
		for range t.zones {
			// Selection by repeated minimum needs no storage for the few zones.
			next := -1
			for i, z := range t.zones {
				if i < 64 && tried&(1<<i) == 0 && (next < 0 || p.inZone(z.number) < p.inZone(t.zones[next].number)) {
					next = i
				}
			}
			if next < 0 {
				return false
			}
			tried |= 1 << next
			if found = s.sparsest(f, t.zones[next].roots[order], need, q.job); found != nil {
				return true
			}
		}
		return false
	})
	return found, found != nil
}

func (p *profile) inZone(number int32) int32 {
	if int(number) < len(p.zones) {
		return p.zones[number]
	}
	return 0
}

func (s *Scheduler) sparsest(f *forest, root int32, need vector, j *job) *worker {
	var best *worker
	p, bestRack, bestCount := j.profile, int32(0), int32(0)
	before := key{math.MaxInt64, math.MaxUint64}
	for range spreadSample {
		i := f.last(root, before, need)
		if i == none {
			break
		}
		before = f.nodes[i].key
		w := s.workerList[i]
		if !w.suits(j) {
			continue
		}
		rack, count := p.racks[w.rack], p.workers[w.number]
		if best == nil || rack < bestRack || rack == bestRack && count < bestCount {
			best, bestRack, bestCount = w, rack, count
		}
		if rack == 0 && count == 0 {
			break
		}
	}
	return best
}

// policyOf returns the policy for single tasks of a class. Urgent and trial
// placement of gang tasks use it for the tasks one by one.
func policyOf(class work.Class) policy[request, *worker] {
	if class == work.Service {
		return spread{}
	}
	return pack{}
}
