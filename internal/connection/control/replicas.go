package control

import (
	"slices"
	"sync"
)

// hints is how many hints in a row are followed before the next replica in
// turn is asked, since two replicas may each take the other for the leader.
const hints = 2

// replicas keeps track of which control replica leads. Each call of the leader
// works with a search of its own, so that calls do not disturb each other.
type replicas struct {
	names  []string
	mu     sync.Mutex
	leader string // the last one that answered as the leader; empty if unknown
	next   int    // index of the replica that the next search starts with
}

// search is one attempt to reach the leader.
type search struct {
	replicas *replicas
	current  string
	index    int // of the replica whose turn it is
	followed int // hints in a row
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

// found records that the current replica answered as the leader. It reports
// whether another one was known as the leader before.
func (s *search) found() bool {
	r := s.replicas
	r.mu.Lock()
	defer r.mu.Unlock()
	s.followed = 0
	changed := r.leader != s.current
	r.leader = s.current
	return changed
}

// failed moves on to the replica that hint names, or else to the next one in
// turn. It reports whether the current replica was known as the leader.
func (s *search) failed(hint string) bool {
	r := s.replicas
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := r.leader == s.current
	if lost {
		r.leader = ""
	}
	i := slices.Index(r.names, hint)
	if i >= 0 && hint != s.current && s.followed < hints {
		s.followed++
		s.current = hint // the turn stays where it is, so that hints cannot keep a replica out
		return lost
	}
	s.followed = 0
	s.index = (s.index + 1) % len(r.names)
	s.current = r.names[s.index]
	r.next = s.index
	return lost
}
