package placement

import "math"

// noItem is the item number that stands for no item.
const noItem = int32(-1)

// searchBudget limits the nodes that one search visits. The maxima per resource
// of a subtree may come from different items, so that no single item in it
// fits, and an unlimited search could visit the whole tree.
const searchBudget = 1024

// key orders the items of a tree.
type key struct {
	major int64
	minor uint64 // makes keys unique
}

var lowestKey = key{major: math.MinInt64}

func (k key) less(o key) bool {
	return k.major < o.major || k.major == o.major && k.minor < o.minor
}

// next returns the smallest key greater than k.
func (k key) next() key {
	if k.minor == math.MaxUint64 {
		return key{k.major + 1, 0}
	}
	return key{k.major, k.minor + 1}
}

// vector holds one value per resource.
type vector [3]int64

var lowestVector = vector{math.MinInt64, math.MinInt64, math.MinInt64}

func (v vector) covers(need vector) bool {
	return v[0] >= need[0] && v[1] >= need[1] && v[2] >= need[2]
}

func (v vector) max(o vector) vector {
	return vector{max(v[0], o[0]), max(v[1], o[1]), max(v[2], o[2])}
}

// forest is a set of treaps (Seidel and Aragon, 1996) over the same items. Each
// item is in at most one tree, and a tree is identified by the number of its
// root. Every node stores the maximum bounds of its subtree, so that a search
// for the first item in key order with sufficient bounds skips subtrees that
// cannot contain one.
//
// Priorities are derived from the keys, so that the shape of a tree depends on
// its content and not on the history of changes.
type forest struct {
	nodes      []node
	steps      uint64 // nodes visited by searches and changes
	visitsLeft int    // nodes that the current search may still visit
}

type node struct {
	key             key
	bound, maxBound vector // bounds of the item, and their maxima over its subtree
	priority        uint64
	root            *int32 // root of the tree that contains the item; nil if none
	left, right     int32
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
			f.updatePath(*root, i)
		}
		return
	}
	f.drop(i)
	*n = node{key: k, bound: bound, maxBound: bound, priority: mix64(k.minor), root: root, left: noItem, right: noItem}
	*root = f.insert(*root, i)
}

// drop removes item i from its tree, if it is in one.
func (f *forest) drop(i int32) {
	if int(i) >= len(f.nodes) || f.nodes[i].root == nil {
		return
	}
	root := f.nodes[i].root
	*root = f.remove(*root, i)
	f.nodes[i].root = nil
}

// maxBound returns the maximum bounds in a tree that is not empty.
func (f *forest) maxBound(root int32) vector { return f.nodes[root].maxBound }

// first returns the first item in key order, at or after from, whose bounds
// cover need.
func (f *forest) first(root int32, from key, need vector) int32 {
	f.visitsLeft = searchBudget
	return f.searchForward(root, from, need)
}

// last returns the last item in key order, before the key before, whose bounds
// cover need.
func (f *forest) last(root int32, before key, need vector) int32 {
	f.visitsLeft = searchBudget
	return f.searchBackward(root, before, need)
}

func (f *forest) visit() bool {
	f.steps++
	f.visitsLeft--
	return f.visitsLeft >= 0
}

func (f *forest) searchForward(t int32, from key, need vector) int32 {
	for t != noItem && f.visit() {
		n := &f.nodes[t]
		if !n.maxBound.covers(need) {
			return noItem
		}
		if !n.key.less(from) {
			if i := f.searchForward(n.left, from, need); i != noItem {
				return i
			}
			if n.bound.covers(need) {
				return t
			}
		}
		t = n.right
	}
	return noItem
}

func (f *forest) searchBackward(t int32, before key, need vector) int32 {
	for t != noItem && f.visit() {
		n := &f.nodes[t]
		if !n.maxBound.covers(need) {
			return noItem
		}
		if n.key.less(before) {
			if i := f.searchBackward(n.right, before, need); i != noItem {
				return i
			}
			if n.bound.covers(need) {
				return t
			}
		}
		t = n.left
	}
	return noItem
}

func (f *forest) insert(t, i int32) int32 {
	if t == noItem {
		return i
	}
	f.steps++
	n, m := &f.nodes[t], &f.nodes[i]
	if m.priority > n.priority {
		m.left, m.right = f.split(t, m.key)
		f.updateMaxBound(i)
		return i
	}
	if m.key.less(n.key) {
		n.left = f.insert(n.left, i)
	} else {
		n.right = f.insert(n.right, i)
	}
	f.updateMaxBound(t)
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
	f.updateMaxBound(t)
	return t
}

// updatePath recomputes the maximum bounds on the path from t to item i.
func (f *forest) updatePath(t, i int32) {
	f.steps++
	if t != i {
		if n := &f.nodes[t]; f.nodes[i].key.less(n.key) {
			f.updatePath(n.left, i)
		} else {
			f.updatePath(n.right, i)
		}
	}
	f.updateMaxBound(t)
}

func (f *forest) split(t int32, k key) (int32, int32) {
	if t == noItem {
		return noItem, noItem
	}
	f.steps++
	n := &f.nodes[t]
	if n.key.less(k) {
		left, right := f.split(n.right, k)
		n.right = left
		f.updateMaxBound(t)
		return t, right
	}
	left, right := f.split(n.left, k)
	n.left = right
	f.updateMaxBound(t)
	return left, t
}

func (f *forest) merge(a, b int32) int32 {
	if a == noItem {
		return b
	}
	if b == noItem {
		return a
	}
	f.steps++
	if f.nodes[a].priority > f.nodes[b].priority {
		f.nodes[a].right = f.merge(f.nodes[a].right, b)
		f.updateMaxBound(a)
		return a
	}
	f.nodes[b].left = f.merge(a, f.nodes[b].left)
	f.updateMaxBound(b)
	return b
}

func (f *forest) updateMaxBound(t int32) {
	n := &f.nodes[t]
	n.maxBound = n.bound
	if n.left != noItem {
		n.maxBound = n.maxBound.max(f.nodes[n.left].maxBound)
	}
	if n.right != noItem {
		n.maxBound = n.maxBound.max(f.nodes[n.right].maxBound)
	}
}

// mix64 spreads the bits of x (the finalizer of SplitMix64, Steele et al.,
// 2014).
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// hashName returns the 64-bit FNV-1a hash of a name.
func hashName(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return h
}
