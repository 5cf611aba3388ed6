package placement

import "math"

// none is the number of no item.
const none = int32(-1)

// searchBudget bounds the nodes that one search visits. Maxima per resource
// can promise a fit that no single item offers, which would lead an unbounded
// search through a whole tree.
const searchBudget = 1024

// key orders the items of a tree.
type key struct {
	major int64
	minor uint64 // makes keys unique
}

var lowest = key{major: math.MinInt64}

func (k key) less(o key) bool {
	return k.major < o.major || k.major == o.major && k.minor < o.minor
}

// next returns the key that follows k directly.
func (k key) next() key {
	if k.minor == math.MaxUint64 {
		return key{k.major + 1, 0}
	}
	return key{k.major, k.minor + 1}
}

// vector has one value for each resource.
type vector [3]int64

var anything = vector{math.MinInt64, math.MinInt64, math.MinInt64}

func (v vector) covers(need vector) bool {
	return v[0] >= need[0] && v[1] >= need[1] && v[2] >= need[2]
}

func (v vector) max(o vector) vector {
	return vector{max(v[0], o[0]), max(v[1], o[1]), max(v[2], o[2])}
}

// forest is a set of treaps (Seidel and Aragon, 1996) over the same items, of
// which each is in at most one tree. A tree is the number of its root. Every
// node knows the greatest bounds below it, so that a search for the first item
// in key order with sufficient bounds skips subtrees that cannot have one.
//
// Priorities derive from the keys, so that the shape of a tree depends on its
// content and not on the history of changes.
type forest struct {
	nodes  []node
	steps  uint64 // nodes visited by searches and changes
	budget int
}

type node struct {
	key         key
	bound, top  vector
	priority    uint64
	root        *int32 // of the tree that the item is in; nil if none
	left, right int32
}

// put inserts item i into the tree at root, or moves it there.
func (f *forest) put(root *int32, i int32, k key, bound vector) {
	for int(i) >= len(f.nodes) {
		f.nodes = append(f.nodes, node{})
	}
	n := &f.nodes[i]
	if n.root == root && n.key == k {
		if n.bound != bound {
			n.bound = bound
			f.repair(*root, i)
		}
		return
	}
	f.drop(i)
	*n = node{key: k, bound: bound, top: bound, priority: mix(k.minor), root: root, left: none, right: none}
	*root = f.insert(*root, i)
}

// drop takes item i out of its tree, if it is in one.
func (f *forest) drop(i int32) {
	if int(i) >= len(f.nodes) || f.nodes[i].root == nil {
		return
	}
	root := f.nodes[i].root
	*root = f.remove(*root, i)
	f.nodes[i].root = nil
}

// top returns the greatest bounds in a tree that is not empty.
func (f *forest) top(root int32) vector { return f.nodes[root].top }

// first returns the first item, in key order and not before from, whose bounds
// cover need.
func (f *forest) first(root int32, from key, need vector) int32 {
	f.budget = searchBudget
	return f.ascend(root, from, need)
}

// last returns the last item, in key order and before before, whose bounds
// cover need.
func (f *forest) last(root int32, before key, need vector) int32 {
	f.budget = searchBudget
	return f.descend(root, before, need)
}

func (f *forest) visit() bool {
	f.steps++
	f.budget--
	return f.budget >= 0
}

func (f *forest) ascend(t int32, from key, need vector) int32 {
	for t != none && f.visit() {
		n := &f.nodes[t]
		if !n.top.covers(need) {
			return none
		}
		if !n.key.less(from) {
			if i := f.ascend(n.left, from, need); i != none {
				return i
			}
			if n.bound.covers(need) {
				return t
			}
		}
		t = n.right
	}
	return none
}

func (f *forest) descend(t int32, before key, need vector) int32 {
	for t != none && f.visit() {
		n := &f.nodes[t]
		if !n.top.covers(need) {
			return none
		}
		if n.key.less(before) {
			if i := f.descend(n.right, before, need); i != none {
				return i
			}
			if n.bound.covers(need) {
				return t
			}
		}
		t = n.left
	}
	return none
}

func (f *forest) insert(t, i int32) int32 {
	if t == none {
		return i
	}
	f.steps++
	n, m := &f.nodes[t], &f.nodes[i]
	if m.priority > n.priority {
		m.left, m.right = f.split(t, m.key)
		f.pull(i)
		return i
	}
	if m.key.less(n.key) {
		n.left = f.insert(n.left, i)
	} else {
		n.right = f.insert(n.right, i)
	}
	f.pull(t)
	return t
}

func (f *forest) remove(t, i int32) int32 {
	f.steps++
	n := &f.nodes[t]
	if t == i {
		return f.merge(n.left, n.right)
	}
	if f.nodes[i].key.less(n.key) {
		n.left = f.remove(n.left, i)
	} else {
		n.right = f.remove(n.right, i)
	}
	f.pull(t)
	return t
}

// repair recomputes the bounds on the path from t to item i.
func (f *forest) repair(t, i int32) {
	f.steps++
	if t != i {
		if n := &f.nodes[t]; f.nodes[i].key.less(n.key) {
			f.repair(n.left, i)
		} else {
			f.repair(n.right, i)
		}
	}
	f.pull(t)
}

func (f *forest) split(t int32, k key) (int32, int32) {
	if t == none {
		return none, none
	}
	f.steps++
	n := &f.nodes[t]
	if n.key.less(k) {
		left, right := f.split(n.right, k)
		n.right = left
		f.pull(t)
		return t, right
	}
	left, right := f.split(n.left, k)
	n.left = right
	f.pull(t)
	return left, t
}

func (f *forest) merge(a, b int32) int32 {
	if a == none {
		return b
	}
	if b == none {
		return a
	}
	f.steps++
	if f.nodes[a].priority > f.nodes[b].priority {
		f.nodes[a].right = f.merge(f.nodes[a].right, b)
		f.pull(a)
		return a
	}
	f.nodes[b].left = f.merge(a, f.nodes[b].left)
	f.pull(b)
	return b
}

func (f *forest) pull(t int32) {
	n := &f.nodes[t]
	n.top = n.bound
	if n.left != none {
		n.top = n.top.max(f.nodes[n.left].top)
	}
	if n.right != none {
		n.top = n.top.max(f.nodes[n.right].top)
	}
}

// mix spreads the bits of x (the finalizer of SplitMix64, Steele et al., 2014).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// digest returns the 64-bit FNV-1a hash of a name.
func digest(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return h
}
