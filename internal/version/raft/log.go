package raft

import (
	"slices"
	"sort"

	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

// entryOverhead is added to the length of an entry's data to estimate its size in
// a message.
const entryOverhead = 32

// entryLog holds the entries after base in memory.
type entryLog struct {
	base    disk.Position
	entries []disk.Entry
}

func (l *entryLog) last() uint64 { return l.base.Index + uint64(len(l.entries)) }

// term returns the term of an entry, or false if the log does not hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base.Index:
		return l.base.Term, true
	case index < l.base.Index || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// slice returns the entries from an index on, up to limit bytes but at least one
// entry.
func (l *entryLog) slice(from uint64, limit int) []disk.Entry {
	if from <= l.base.Index || from > l.last() {
		return nil
	}
	s := l.entries[from-l.base.Index-1:]
	size := 0
	for i := range s {
		size += len(s[i].Data) + entryOverhead
		if size > limit && i > 0 {
			return s[:i:i]
		}
	}
	return s[:len(s):len(s)]
}

// between returns the entries with from < index <= to.
func (l *entryLog) between(from, to uint64) []disk.Entry {
	if to <= from {
		return nil
	}
	return slices.Clone(l.entries[from-l.base.Index : to-l.base.Index])
}

// append adds entries and replaces those from the first index on. It does not
// overwrite replaced entries in place, since messages may share the slice.
func (l *entryLog) append(entries []disk.Entry) {
	keep := entries[0].Index - l.base.Index - 1
	if keep < uint64(len(l.entries)) {
		l.entries = slices.Clone(l.entries[:keep])
	}
	l.entries = append(l.entries, entries...)
}

// compact drops the entries up to an index, which becomes the base.
func (l *entryLog) compact(index uint64) {
	t, ok := l.term(index)
	if !ok || index == l.base.Index {
		return
	}
	l.entries = slices.Clone(l.entries[index-l.base.Index:])
	l.base = disk.Position{Index: index, Term: t}
}

// lastUpToTerm returns the last index up to a limit whose term is at most term.
// Terms never decrease along the log.
func (l *entryLog) lastUpToTerm(limit, term uint64) uint64 {
	limit = min(limit, l.last())
	if limit <= l.base.Index {
		return limit
	}
	n := int(limit - l.base.Index)
	return l.base.Index + uint64(sort.Search(n, func(i int) bool { return l.entries[i].Term > term }))
}
