package work

// Resources holds an amount of each kind of resource that a worker offers.
type Resources struct {
	Processors   int64 // millicores
	Memory       int64 // bytes
	Accelerators int64 // whole devices
}

// Add returns the sum of r and s.
func (r Resources) Add(s Resources) Resources {
	return Resources{r.Processors + s.Processors, r.Memory + s.Memory, r.Accelerators + s.Accelerators}
}

// Sub returns r minus s. Fields may become negative.
func (r Resources) Sub(s Resources) Resources {
	return Resources{r.Processors - s.Processors, r.Memory - s.Memory, r.Accelerators - s.Accelerators}
}

// Positive returns r without its negative amounts.
func (r Resources) Positive() Resources {
	return Resources{max(0, r.Processors), max(0, r.Memory), max(0, r.Accelerators)}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{r.Processors * n, r.Memory * n, r.Accelerators * n}
}

// Fits reports whether r is at most s in every resource.
func (r Resources) Fits(s Resources) bool {
	return r.Processors <= s.Processors && r.Memory <= s.Memory && r.Accelerators <= s.Accelerators
}

// Within reports whether r is at most limit in every resource for which limit
// is not zero.
func (r Resources) Within(limit Resources) bool {
	return (limit.Processors == 0 || r.Processors <= limit.Processors) &&
		(limit.Memory == 0 || r.Memory <= limit.Memory) &&
		(limit.Accelerators == 0 || r.Accelerators <= limit.Accelerators)
}

// Valid reports whether no field is negative and at least one is positive.
func (r Resources) Valid() bool {
	return r.Processors >= 0 && r.Memory >= 0 && r.Accelerators >= 0 && r != Resources{}
}

// Dominant returns the dominant share of r: the largest fraction that r takes of
// total in any one resource, as in dominant resource fairness (Ghodsi et al.,
// NSDI 2011). Resources of which total is zero are ignored.
func (r Resources) Dominant(total Resources) float64 {
	share := 0.0
	for _, p := range [...][2]int64{
		{r.Processors, total.Processors}, {r.Memory, total.Memory}, {r.Accelerators, total.Accelerators},
	} {
		if p[1] > 0 {
			share = max(share, float64(p[0])/float64(p[1]))
		}
	}
	return share
}

// maxAmount is the largest amount of one resource of a worker or a task. Sums over 2^15 of
// them can be represented.
const maxAmount = 1 << 47

// Representable reports whether no field is negative or larger than any worker can have.
func (r Resources) Representable() bool {
	limit := Resources{maxAmount, maxAmount, maxAmount}
	return Resources{}.Fits(r) && r.Fits(limit)
}
