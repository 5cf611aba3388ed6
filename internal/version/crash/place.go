package crash

import (
	"net/netip"
	"slices"
)

// NotePlace records the address of the worker that crashed under a run, if the crash is known.
func (r *Record) NotePlace(run int, address netip.AddrPort) {
	r.dropPlaces()
	if r.hasCrash(run) && !slices.ContainsFunc(r.Places, func(p Place) bool { return p.Run == run }) {
		r.Places = append(r.Places, Place{Run: run, Address: address})
	}
}

// dropPlaces drops the addresses of crashes that are no evidence any more.
func (r *Record) dropPlaces() {
	r.Places = slices.DeleteFunc(r.Places, func(p Place) bool { return !r.hasCrash(p.Run) })
}

func (r *Record) hasCrash(run int) bool {
	return slices.ContainsFunc(r.Crashes, func(c Crash) bool { return c.Run == run })
}

// Addresses returns the addresses of the workers that crashed under the task.
func (r *Record) Addresses() []netip.AddrPort {
	if r == nil {
		return nil
	}
	var list []netip.AddrPort
	for _, p := range r.Places {
		list = append(list, p.Address)
	}
	return list
}

// places returns the number of different addresses.
func (r *Record) places() int {
	list := r.Addresses()
	slices.SortFunc(list, netip.AddrPort.Compare)
	return len(slices.Compact(list))
}

// address returns the address of a crash, or the zero value if it is not known.
func (r *Record) address(c *Crash) netip.AddrPort {
	for _, p := range r.Places {
		if p.Run == c.Run {
			return p.Address
		}
	}
	return netip.AddrPort{}
}

// repeated reports whether a worker at the same address crashed under an earlier run for certain.
func (r *Record) repeated(c *Crash) bool {
	address := r.address(c)
	if !address.IsValid() {
		return false
	}
	return r.count(func(o *Crash) bool { return o.Run < c.Run && confirmed(o) && r.address(o) == address }) > 0
}
