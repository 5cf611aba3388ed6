package placement

import "time"

// timers is a heap of values that fall due. Values with the same time come in
// the order in which they were added.
type timers[T any] struct {
	items []timer[T]
	next  uint64
}

type timer[T any] struct {
	at    time.Time
	order uint64
	value T
}

func (h *timers[T]) less(i, j int) bool {
	a, b := &h.items[i], &h.items[j]
	if a.at.Equal(b.at) {
		return a.order < b.order
	}
	return a.at.Before(b.at)
}

func (h *timers[T]) add(at time.Time, value T) {
	h.next++
	h.items = append(h.items, timer[T]{at, h.next, value})
	for i := len(h.items) - 1; i > 0 && h.less(i, (i-1)/2); i = (i - 1) / 2 {
		h.items[i], h.items[(i-1)/2] = h.items[(i-1)/2], h.items[i]
	}
}

// due removes and returns the first value whose time is not after now.
func (h *timers[T]) due(now time.Time) (value T, ok bool) {
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
