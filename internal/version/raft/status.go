package raft

import "time"

// Status describes a replica to operators.
type Status struct {
	Name     string
	Identity uint64
	Group    uint64 // zero before the group is founded
	Role     string
	Leader   string // empty if unknown
	Term     uint64
	Commit   uint64
	Applied  uint64
	First    uint64 // first entry in the log
	Last     uint64
	Snapshot uint64    // last entry covered by the stored snapshot
	Lease    time.Time // of Options.Now
	Members  []MemberStatus
	Retired  []string // names removed by an operator, which may not join
}

// MemberStatus describes a member. Only the leader knows Match, Heard and Live.
type MemberStatus struct {
	Member
	Match uint64    // last entry known to be stored by the member
	Heard time.Time // time of the last answer from it
	Live  bool      // it has answered within the last second
}

// Voters returns the number of voters, and how many of them are live. Both are zero
// unless this replica leads, so that a sum over all replicas counts each voter once.
func (s *Status) Voters() (all, live int) {
	if s.Role != leader.String() {
		return 0, 0
	}
	for i := range s.Members {
		if m := &s.Members[i]; m.Voter {
			all++
			if m.Live {
				live++
			}
		}
	}
	return all, live
}

// Members returns the members as of the last entry in this replica's log. It
// returns nil before the group is founded.
func (r *Replica) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view.membership == nil {
		return nil
	}
	return r.view.membership.clone().Members
}

// Status returns the current status of the replica.
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
		ms := MemberStatus{Member: p, Match: v.progress[p.Identity].matchIndex, Heard: v.progress[p.Identity].heardAt}
		if p.Name == s.Name && p.Identity == s.Identity {
			ms.Match, ms.Heard = v.last, now
		}
		ms.Live = v.role == leader && now.Sub(ms.Heard) < silentVoterTimeout
		s.Members = append(s.Members, ms)
	}
	return s
}
