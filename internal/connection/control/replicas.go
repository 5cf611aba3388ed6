package control

import (
	"slices"
	"sync"
)

// maxHints is the number of consecutive hints that are followed before the next
// replica in the list is tried. Two replicas may each name the other as leader.
const maxHints = 2

// replicas remembers which control replica is the leader. Each call uses its own
// search, so that concurrent calls do not affect each other.
type replicas struct {
	names  []string
	mu     sync.Mutex
	leader string // the replica that last answered as leader; empty if unknown
	next   int    // index of the replica with which a search starts if the leader is unknown
}

// search is the iteration of one caller over the replicas.
type search struct {
	replicas *replicas
	current  string
	index    int // position in the list; following a hint does not change it
	followed int // consecutive hints followed
}

func (r *replicas) search() *search {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &search{replicas: r, index: r.next % len(r.names)}
	s.current = r.names[s.index]
	if i := slices.Index(r.names, r.leader); i >= 0 {
		s.index, s.current = i, r.leader
	}
	return s
}

// succeeded records that the current replica answered as leader. It reports
// whether it was not the known leader before.
func (s *search) succeeded() bool {
	r := s.replicas
	r.mu.Lock()
	defer r.mu.Unlock()
	s.followed = 0
	changed := r.leader != s.current
	r.leader = s.current
	return changed
}

// failed moves on to the replica named by hint, or else to the next one in the
// list. It reports whether the current replica was the known leader.
func (s *search) failed(hint string) bool {
	r := s.replicas
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := r.leader == s.current
	if lost {
		r.leader = ""
	}
	i := slices.Index(r.names, hint)
	if i >= 0 && hint != s.current && s.followed < maxHints {
		s.followed++
		s.current = hint // index is kept, so that hints cannot make the search skip a replica
		return lost
	}
	s.followed = 0
	s.index = (s.index + 1) % len(r.names)
	s.current = r.names[s.index]
	r.next = s.index
	return lost
}
