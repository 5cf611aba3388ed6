package measure

import (
	"cmp"
	"slices"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// sorted returns the tasks of a set in order, so that runs do not depend on
// the order of maps.
func sorted(set map[work.TaskID]bool) []work.TaskID {
	list := make([]work.TaskID, 0, len(set))
	for id := range set {
		list = append(list, id)
	}
	slices.SortFunc(list, func(a, b work.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	return list
}
