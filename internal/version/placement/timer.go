package placement

import "time"

// timerQueue is a heap of values ordered by due time. Values with the same time
// come in the order in which they were added.
type timerQueue[T any] struct {
	items        []timer[T]
	nextSequence uint64
}

type timer[T any] struct {
	at       time.Time
	sequence uint64
	value    T
}

func (h *timerQueue[T]) less(i, j int) bool {
	a, b := &h.items[i], &h.items[j]
	if a.at.Equal(b.at) {
		return a.sequence < b.sequence
	}
	return a.at.Before(b.at)
}

func (h *timerQueue[T]) add(at time.Time, value T) {
	h.nextSequence++
	h.items = append(h.items, timer[T]{at, h.nextSequence, value})
	for i := len(h.items) - 1; i > 0 && h.less(i, (i-1)/2); i = (i - 1) / 2 {
		h.items[i], h.items[(i-1)/2] = h.items[(i-1)/2], h.items[i]
	}
}

// popDue removes and returns the first value whose time is not after now.
func (h *timerQueue[T]) popDue(now time.Time) (value T, ok bool) {
	if len(h.items) == 0 || h.items[0].at.After(now) {
		return value, false
	}
	value = h.items[0].value
	end := len(h.items) - 1
	h.items[0] = h.items[end]
	h.items[end] = timer[T]{}
	h.items = h.items[:end]
	for i := 0; ; {
		c := 2*i + 1
		if c >= end {
			return value, true
		}
		if c+1 < end && h.less(c+1, c) {
			c++
		}
		if !h.less(c, i) {
			return value, true
		}
		h.items[i], h.items[c] = h.items[c], h.items[i]
		i = c
	}
}
