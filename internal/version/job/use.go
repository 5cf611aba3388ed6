package job

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// UseKey identifies what a workspace has used of a pool.
type UseKey struct{ Workspace, Pool string }

// Use is what a workspace has used of a pool, decayed to a time. Amounts are absolute, so that
// a record that is applied twice charges nothing twice.
type Use struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	Pool      string
	Amount    float64 // dominant share of the pool times seconds
	At        time.Time
}

// noteUses records uses. An earlier one than that known is ignored, and so is one of a workspace
// or a pool that the catalogue does not have.
func (v *View) noteUses(list []Use) {
	for _, u := range list {
		k := UseKey{u.Workspace, u.Pool}
		if v.hasWorkspace(u.Workspace) && v.hasPool(u.Pool) && !u.At.Before(v.Uses[k].At) && u.Amount >= 0 {
			v.Uses[k] = u
		}
	}
}

// Weight returns the weight of a workspace, or zero if it has none. A nil catalogue has no weights.
func (c *Catalogue) Weight(workspace string) float64 {
	if c == nil {
		return 0
	}
	for i := range c.Workspaces {
		if c.Workspaces[i].Name == workspace {
			return c.Workspaces[i].Weight
		}
	}
	return 0
}

// hasWorkspace reports whether the catalogue has a workspace.
func (v *View) hasWorkspace(name string) bool {
	return v.Catalogue != nil && slices.ContainsFunc(v.Catalogue.Workspaces, func(w Workspace) bool { return w.Name == name })
}

// hasPool reports whether the catalogue has a pool.
func (v *View) hasPool(name string) bool {
	return v.Catalogue != nil && slices.ContainsFunc(v.Catalogue.Pools, func(p Pool) bool { return p.Name == name })
}

// dropUses drops the uses of workspaces and pools that the catalogue no longer has.
func (v *View) dropUses() {
	maps.DeleteFunc(v.Uses, func(k UseKey, _ Use) bool { return !v.hasWorkspace(k.Workspace) || !v.hasPool(k.Pool) })
}

// uses returns all uses in a fixed order.
func (v *View) uses() []Use {
	return slices.SortedFunc(maps.Values(v.Uses), func(a, b Use) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Pool, b.Pool))
	})
}
