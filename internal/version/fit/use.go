package fit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// DefaultUseDelay bounds the delay for past use if the settings give no bound.
	DefaultUseDelay = 2 * time.Second
	// maxChargeTime bounds the time that is charged at once. What ran during a pause of the
	// leader is not charged: another leader may have charged it.
	maxChargeTime = 2 * time.Second
	// useChange is the relative change of an amount from which on it is recorded again.
	useChange = 1e-3
	// minUse is an amount that counts as none: one thousandth of a pool for a tenth of a second.
	minUse = 1e-4
)

// UseSettings says how the past use of a workspace delays its work.
type UseSettings struct {
	HalfLife time.Duration // in which past use counts half; zero turns past use off
	Strength time.Duration // delay for each doubling of the part of use over the part by weight
	Delay    time.Duration // bound of the delay
}

// On reports whether past use counts.
func (s UseSettings) On() bool { return s.HalfLife > 0 }

// decay returns the part of an amount that is left after a time.
func (s UseSettings) decay(elapsed time.Duration) float64 {
	return math.Exp2(-max(0, elapsed.Seconds()) / s.HalfLife.Seconds())
}

// Ledger follows what workspaces use of pools: the dominant share of the pool times seconds,
// decayed. Its time starts at the latest record of earlier leaders and never goes back.
type Ledger struct {
	at      time.Time // what the amounts are decayed to
	read    time.Time // latest reading of the leader's clock
	amounts map[job.UseKey]float64
}

// NewLedger returns a ledger that continues the records of earlier leaders.
func NewLedger(now time.Time, uses map[job.UseKey]job.Use, s UseSettings) *Ledger {
	l := &Ledger{at: now, read: now, amounts: map[job.UseKey]float64{}}
	for _, u := range uses {
		if u.At.After(l.at) {
			l.at = u.At
		}
	}
	for k, u := range uses {
		l.amounts[k] = u.Amount * s.decay(l.at.Sub(u.At))
	}
	return l
}

// Advance decays the amounts to a time. It returns the time to charge running work for, and the
// part of earlier charges that is left.
func (l *Ledger) Advance(now time.Time, s UseSettings) (elapsed time.Duration, left float64) {
	elapsed = min(max(0, now.Sub(l.read)), maxChargeTime)
	l.at, l.read = l.at.Add(elapsed), now
	left = s.decay(elapsed)
	for k := range l.amounts {
		l.amounts[k] *= left
	}
	return elapsed, left
}

// Charge adds an amount, or credits one that is negative.
func (l *Ledger) Charge(k job.UseKey, amount float64) {
	l.amounts[k] = max(0, l.amounts[k]+amount)
}

// Keep drops the amounts of workspaces and pools that are gone.
func (l *Ledger) Keep(known func(job.UseKey) bool) {
	maps.DeleteFunc(l.amounts, func(k job.UseKey, _ float64) bool { return !known(k) })
}

// Changed returns the amounts that differ from the recorded ones, in a fixed order.
func (l *Ledger) Changed(recorded map[job.UseKey]job.Use, s UseSettings) []job.Use {
	var list []job.Use
	for k, amount := range l.amounts {
		u := recorded[k]
		old := u.Amount * s.decay(l.at.Sub(u.At))
		if math.Abs(amount-old) > max(minUse, useChange*old) {
			list = append(list, job.Use{Workspace: k.Workspace, Pool: k.Pool, Amount: amount, At: l.at.Truncate(time.Millisecond)})
		}
	}
	slices.SortFunc(list, func(a, b job.Use) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Pool, b.Pool))
	})
	return list
}

// Part is what a workspace has used of a pool, compared with the others that use it.
type Part struct {
	Amount   float64
	OfUse    float64 // of the use of all workspaces
	OfWeight float64 // of the weights of the workspaces that have used the pool
}

// Parts compares the workspaces that have used a pool. Those without a weight count as the one
// with the smallest, and as equal if none has a weight.
func (l *Ledger) Parts(workspaces []job.Workspace) map[job.UseKey]Part {
	weights, least := map[string]float64{}, math.Inf(1)
	for i := range workspaces {
		if w := &workspaces[i]; w.Weight > 0 {
			weights[w.Name], least = w.Weight, min(least, w.Weight)
		}
	}
	if math.IsInf(least, 1) {
		least = 1
	}
	weight := func(name string) float64 { return cmp.Or(weights[name], least) }
	sums := map[string]Part{} // by pool
	for _, k := range l.keys() {
		sum := sums[k.Pool]
		sums[k.Pool] = Part{OfUse: sum.OfUse + l.amounts[k], OfWeight: sum.OfWeight + weight(k.Workspace)}
	}
	parts := map[job.UseKey]Part{}
	for k, amount := range l.amounts {
		p := Part{Amount: amount, OfWeight: weight(k.Workspace) / sums[k.Pool].OfWeight}
		if amount >= minUse {
			p.OfUse = amount / sums[k.Pool].OfUse
		}
		parts[k] = p
	}
	return parts
}

// keys returns the keys in a fixed order, so that sums of amounts do not depend on it.
func (l *Ledger) keys() []job.UseKey {
	return slices.SortedFunc(maps.Keys(l.amounts), func(a, b job.UseKey) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Pool, b.Pool))
	})
}

// Delay returns how far the effective deadlines of a workspace's work are put back.
func (p Part) Delay(s UseSettings) time.Duration {
	if !s.On() || p.OfUse <= p.OfWeight || p.OfWeight <= 0 {
		return 0
	}
	return time.Duration(min(float64(s.Delay), float64(s.Strength)*math.Log2(p.OfUse/p.OfWeight)))
}

// Dominant returns the largest fraction of a capacity that a size takes of any resource.
func Dominant(size, capacity work.Resources) float64 {
	share := 0.0
	for _, r := range [...][2]int64{
		{size.Processors, capacity.Processors}, {size.Memory, capacity.Memory}, {size.Accelerators, capacity.Accelerators},
	} {
		if r[1] > 0 {
			share = max(share, float64(r[0])/float64(r[1]))
		}
	}
	return min(1, share)
}
