package report

import (
	"slices"
	"time"
)

// maxKept is the number of items that a list of samples keeps.
const maxKept = 20_000

// thinned keeps a bounded part of a long list: every item at first, then every second
// one, and so on.
type thinned[T any] struct {
	items []T
	step  int // every step-th item is kept
	seen  int
}

// add adds an item.
func (k *thinned[T]) add(item T) {
	k.step = max(k.step, 1)
	if k.seen%k.step == 0 {
		k.items = append(k.items, item)
	}
	k.seen++
	if len(k.items) < maxKept {
		return
	}
	half := k.items[:0]
	for i := 0; i < len(k.items); i += 2 {
		half = append(half, k.items[i])
	}
	k.items, k.step = half, 2*k.step
}

// Waits has quantiles of waits.
type Waits struct {
	Median  time.Duration `json:"median"`
	High    time.Duration `json:"high"` // 95 of 100 are at most this
	Longest time.Duration `json:"longest"`
}

func newWaits(list []time.Duration) Waits {
	if len(list) == 0 {
		return Waits{}
	}
	sorted := slices.Sorted(slices.Values(list))
	n := len(sorted)
	return Waits{Median: sorted[n/2], High: sorted[min(n-1, n*95/100)], Longest: sorted[n-1]}
}
