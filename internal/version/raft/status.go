package raft

import "time"

// Status describes a replica for operators.
type Status struct {
	Name     string
	Identity uint64
	Group    uint64 // zero before founding
	Role     string
	Leader   string // empty if unknown
	Term     uint64
	Commit   uint64
	Applied  uint64
	First    uint64 // first entry in the log
	Last     uint64
	Snapshot uint64 // last entry that the stored snapshot covers
	Lease    time.Time
	Members  []MemberStatus
	Retired  []string // names removed for good
}

// MemberStatus describes a member. Match and Heard are known to the leader only.
type MemberStatus struct {
	Member
	Match uint64    // last entry known to be stored there
	Heard time.Time // last message from it
}

// Members returns the members as of the last entry in this replica's log. It is
// empty before founding.
func (r *Replica) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view.membership == nil {
		return nil
	}
	return r.view.membership.clone().Members
}

// Status returns the state of the replica.
func (r *Replica) Status() Status {
	now := r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	v := &r.view
	s := Status{
		Name: r.options.Name, Identity: r.store.Identity(), Role: v.role.String(), Leader: v.leader, Term: v.term,
		Commit: v.commit, Applied: v.applied, First: v.first, Last: v.last, Snapshot: v.snapshot,
	}
	if v.ready() {
		s.Lease = v.lease
	}
	if v.membership == nil {
		return s
	}
	m := v.membership.clone()
	s.Group, s.Retired = m.Group, m.Retired
	for _, p := range m.Members {
		ms := MemberStatus{Member: p, Match: v.progress[p.Identity].match, Heard: v.progress[p.Identity].heard}
		if p.Name == s.Name && p.Identity == s.Identity {
			ms.Match, ms.Heard = v.last, now
		}
		s.Members = append(s.Members, ms)
	}
	return s
}
