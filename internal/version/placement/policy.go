package placement

import (
	"math"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// policy finds a placement P for a request Q. A policy only reads the indexes;
// the scheduler applies what it returns.
type policy[Q, P any] interface {
	place(s *Scheduler, request Q) (P, bool)
}

// taskRequest asks for a worker for one task.
type taskRequest struct {
	job  *job
	size work.Resources
}

var (
	_ policy[taskRequest, *worker]         = packPolicy{}
	_ policy[taskRequest, *worker]         = spreadPolicy{}
	_ policy[taskRequest, preemption]      = preemptPolicy{}
	_ policy[gangRequest, []allocation]    = gangPolicy{}
	_ policy[gangRequest, reservationPlan] = reservationPolicy{}
)

// eligibleFor reports whether the worker may run a task of j. A job is not sent
// back to a worker on which it failed.
func (w *worker) eligibleFor(j *job) bool {
	for _, f := range j.failedOn {
		if f == w {
			return false
		}
	}
	return true
}

// maxSkipped limits the unsuitable workers or jobs that one search skips.
const maxSkipped = 8

// packPolicy places batch tasks by best fit on the dominant resource, so that
// large free blocks stay whole, and on machines without accelerators first.
type packPolicy struct{}

func (packPolicy) place(s *Scheduler, q taskRequest) (found *worker, ok bool) {
	need := vectorOf(q.size)
	s.forEachTier(q.job, q.size, func(t *tier, family int) bool {
		order := t.dominantOrder(q.size)
		f := &s.forests[family][order]
		best := key{major: math.MaxInt64, minor: math.MaxUint64}
		for _, z := range t.zones {
			if s.options.Off.Pack {
				if w := s.emptiestWorker(f, z.roots[order], need, q.job); w != nil && (found == nil || w.free().Processors > found.free().Processors) {
					found = w
				}
				continue
			}
			from := key{need[order], 0}
			for range maxSkipped {
				i := f.first(z.roots[order], from, need)
				if i == noItem || !f.nodes[i].key.less(best) {
					break
				}
				if w := s.workerList[i]; w.eligibleFor(q.job) {
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

func (s *Scheduler) emptiestWorker(f *forest, root int32, need vector, j *job) *worker {
	before := key{math.MaxInt64, math.MaxUint64}
	for range maxSkipped {
		i := f.last(root, before, need)
		if i == noItem {
			return nil
		}
		if w := s.workerList[i]; w.eligibleFor(j) {
			return w
		}
		before = f.nodes[i].key
	}
	return nil
}

// spreadSample limits the workers of a zone that are compared for a service
// task. The emptiest come first.
const spreadSample = 24

// spreadPolicy places service tasks in the zone with the fewest tasks of the
// same entry and team, there in the rack and on the worker with the fewest, and
// among equals on the emptiest worker.
type spreadPolicy struct{}

func (spreadPolicy) place(s *Scheduler, q taskRequest) (found *worker, ok bool) {
	if s.options.Off.Spread {
		return packPolicy{}.place(s, q)
	}
	p, need := q.job.profile, vectorOf(q.size)
	s.forEachTier(q.job, q.size, func(t *tier, family int) bool {
		order := t.dominantOrder(q.size)
		f := &s.forests[family][order]
		tried := uint64(0)
		for range t.zones {
			// Repeated selection of the minimum needs no memory, and there are
			// few zones.
			next := -1
			for i, z := range t.zones {
				if i < 64 && tried&(1<<i) == 0 && (next < 0 || p.tasksInZone(z.number) < p.tasksInZone(t.zones[next].number)) {
					next = i
				}
			}
			if next < 0 {
				return false
			}
			tried |= 1 << next
			if found = s.leastCrowded(f, t.zones[next].roots[order], need, q.job); found != nil {
				return true
			}
		}
		return false
	})
	return found, found != nil
}

func (p *profile) tasksInZone(number int32) int32 {
	if int(number) < len(p.zones) {
		return p.zones[number]
	}
	return 0
}

func (s *Scheduler) leastCrowded(f *forest, root int32, need vector, j *job) *worker {
	var best *worker
	p, bestRack, bestCount := j.profile, int32(0), int32(0)
	before := key{math.MaxInt64, math.MaxUint64}
	for range spreadSample {
		i := f.last(root, before, need)
		if i == noItem {
			break
		}
		before = f.nodes[i].key
		w := s.workerList[i]
		if !w.eligibleFor(j) {
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

// policyFor returns the policy for single tasks of a class. Every class but
// services is packed.
func policyFor(class work.Class) policy[taskRequest, *worker] {
	if class == work.Service {
		return spreadPolicy{}
	}
	return packPolicy{}
}
