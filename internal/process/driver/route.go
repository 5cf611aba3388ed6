package driver

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	// minWorkers is the number of workers from which on a leader uses drivers. Below,
	// the way through another process costs more than it saves.
	minWorkers = 150
	// minDrivers is the number of drivers that must answer: one alone would take all
	// the load off the leader and carry it without a substitute.
	minDrivers = 2
)

// routes decides which driver sends the orders to a worker. A worker keeps its
// driver while the driver answers, and one driver's failure moves no other workers.
type routes struct {
	drivers []driver // that answer, by name
}

type driver struct{ name, zone string }

// add adds a driver that answers. It reports whether it did not answer before.
func (r *routes) add(name, zone string) bool {
	i, found := r.find(name)
	if found {
		r.drivers[i].zone = zone
		return false
	}
	r.drivers = slices.Insert(r.drivers, i, driver{name, zone})
	return true
}

// drop removes a driver. It reports whether it answered before.
func (r *routes) drop(name string) bool {
	i, found := r.find(name)
	if found {
		r.drivers = slices.Delete(r.drivers, i, i+1)
	}
	return found
}

func (r *routes) find(name string) (int, bool) {
	return slices.BinarySearchFunc(r.drivers, name, func(d driver, n string) int { return cmp.Compare(d.name, n) })
}

// choose returns the driver for a worker, one of the worker's availability zone if
// there is one, or "" if the leader sends its orders itself.
func (r *routes) choose(worker, zone string, workers int) string {
	if workers < minWorkers || len(r.drivers) < minDrivers {
		return ""
	}
	best, highest, near := "", uint64(0), false
	for _, d := range r.drivers {
		same := zone != "" && d.zone == zone
		if near && !same {
			continue
		}
		if w := weight(worker, d.name); best == "" || same && !near || w > highest {
			best, highest, near = d.name, w, same
		}
	}
	return best
}

// weight ranks the drivers for a worker, as in rendezvous hashing (Thaler and
// Ravishankar, 1998).
func weight(worker, driver string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(worker)) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(driver))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd // spreads names that differ in the last character only
	x ^= x >> 33
	return x
}
