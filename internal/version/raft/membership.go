package raft

import "slices"

func (m *Membership) clone() *Membership {
	return &Membership{
		Group:   m.Group,
		Members: slices.Clone(m.Members),
		Removed: slices.Clone(m.Removed),
		Retired: slices.Clone(m.Retired),
	}
}

// member returns the member with an identity, or nil.
func (m *Membership) member(identity uint64) *Member {
	for i := range m.Members {
		if m.Members[i].Identity == identity {
			return &m.Members[i]
		}
	}
	return nil
}

// names returns the names of the members.
func (m *Membership) names() []string {
	n := make([]string, 0, len(m.Members))
	for _, p := range m.Members {
		n = append(n, p.Name)
	}
	return n
}

func (m *Membership) isVoter(identity uint64) bool {
	p := m.member(identity)
	return p != nil && p.Voter
}

func (m *Membership) voterCount() int {
	n := 0
	for _, p := range m.Members {
		if p.Voter {
			n++
		}
	}
	return n
}

// memberNamed returns the voter, or the non-voter, with a name, or nil.
func (m *Membership) memberNamed(name string, voter bool) *Member {
	for i := range m.Members {
		if p := &m.Members[i]; p.Name == name && p.Voter == voter {
			return p
		}
	}
	return nil
}

// without returns a copy from which an identity is removed.
func (m *Membership) without(identity uint64) *Membership {
	n := m.clone()
	n.Members = slices.DeleteFunc(n.Members, func(p Member) bool { return p.Identity == identity })
	n.Removed = append(n.Removed, identity)
	if extra := len(n.Removed) - maxRemoved; extra > 0 {
		n.Removed = n.Removed[extra:]
	}
	return n
}
