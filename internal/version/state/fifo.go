package state

// fifo is a first-in, first-out queue. Its zero value is empty.
type fifo[T any] struct {
	items []T
	head  int
}

func (f *fifo[T]) len() int { return len(f.items) - f.head }

func (f *fifo[T]) push(item T) { f.items = append(f.items, item) }

// first returns the oldest item. The queue must not be empty.
func (f *fifo[T]) first() T { return f.items[f.head] }

// pop removes the oldest item. Its amortized cost is constant, because removed
// slots are reclaimed only once they are more than half of the slice.
func (f *fifo[T]) pop() {
	var zero T
	f.items[f.head] = zero
	f.head++
	if f.head > 64 && f.head*2 > len(f.items) {
		n := copy(f.items, f.items[f.head:])
		clear(f.items[n:])
		f.items, f.head = f.items[:n], 0
	}
}

// all returns the items from the oldest to the newest. It returns nil if there
// are none, so that an emptied queue and a new one have equal snapshots.
func (f *fifo[T]) all() []T {
	if f.len() == 0 {
		return nil
	}
	return f.items[f.head:]
}
