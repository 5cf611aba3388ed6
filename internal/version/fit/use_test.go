package fit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// playedUse is the past use in a replay.
type playedUse struct {
	settings UseSettings
	ledger   *Ledger
	delays   map[job.UseKey]time.Duration
}

func (u *playedUse) delay(d *Demand) time.Duration {
	if u == nil {
		return 0
	}
	return u.delays[job.UseKey{Workspace: d.Workspace, Pool: d.Pool}]
}

// charge charges the runs of a replay.
func (u *playedUse) charge(r *loadReplay, at time.Time) {
	if u == nil || !u.settings.On() {
		return
	}
	if u.ledger == nil {
		u.ledger = NewLedger(at, nil, u.settings)
	}
	elapsed, _ := u.ledger.Advance(at, u.settings)
	for _, e := range r.ends {
		u.ledger.Charge(job.UseKey{Workspace: e.job.workspace, Pool: e.worker.Pool}, Dominant(e.job.size, r.capacity[e.worker.Pool])*elapsed.Seconds())
	}
	u.delays = map[job.UseKey]time.Duration{}
	for k, p := range u.ledger.Parts(nil) {
		u.delays[k] = p.Delay(u.settings)
	}
}

// Guards against plans that change although past use is off. With it on, those of the load with
// two workspaces do change, so that the comparison would see it.
func TestReplayPastUseOff(t *testing.T) {
	for _, name := range []string{"burst.txt", "wide.txt"} {
		plans := func(u *playedUse) (list []string) {
			r := newLoadReplay(readLoad(t, name))
			r.uses, r.planned = u, func(p Plan) {
				for _, s := range p.Starts {
					list = append(list, fmt.Sprint(s.Demand.Step, s.Index, s.Worker.ID))
				}
				for _, q := range p.Queries {
					list = append(list, fmt.Sprint(q.Demand.Step, q.Workers))
				}
				list = append(list, fmt.Sprint(p.Preemptions))
			}
			r.play()
			return list
		}
		without := plans(nil)
		if !slices.Equal(without, plans(&playedUse{settings: UseSettings{Strength: time.Second, Delay: 2 * time.Second}})) {
			t.Errorf("%s: plans differ without a half-life", name)
		}
		if name == "burst.txt" && slices.Equal(without, plans(&playedUse{settings: UseSettings{HalfLife: time.Minute, Strength: time.Second, Delay: 2 * time.Second}})) {
			t.Errorf("%s: plans are equal with past use on", name)
		}
	}
}

// Guards against past use that delays a workspace for good, or no more after a change of the leader:
// of two workspaces of equal weight, one has used ten times as much; from then on both use the same.
func TestPastUseFades(t *testing.T) {
	is := is.New(t)
	s := UseSettings{HalfLife: time.Hour, Strength: time.Second, Delay: 2 * time.Second}
	heavy, light := job.UseKey{Workspace: "heavy", Pool: "p"}, job.UseKey{Workspace: "light", Pool: "p"}
	records, at := map[job.UseKey]job.Use{}, now
	l := NewLedger(at, nil, s)
	lead := func(from time.Time) time.Duration { // of the light one over the heavy one
		parts := l.Parts([]job.Workspace{{Name: "heavy", Weight: 2}, {Name: "light", Weight: 2}})
		first := &Demand{Spec: &job.Step{}, Deadline: from.Add(300 * time.Millisecond), Delay: parts[light].Delay(s), Sequence: 2}
		second := &Demand{Spec: &job.Step{}, Deadline: from, Delay: parts[heavy].Delay(s), Sequence: 1}
		is.Equal(compareDemands(first, second) < 0, second.Delay-first.Delay > 300*time.Millisecond)
		return second.Delay - first.Delay
	}
	play := func(d time.Duration, ofHeavy, ofLight float64) {
		for end := at.Add(d); at.Before(end); {
			at = at.Add(time.Second)
			elapsed, _ := l.Advance(at, s)
			l.Charge(heavy, ofHeavy*elapsed.Seconds())
			l.Charge(light, ofLight*elapsed.Seconds())
			if at.Unix()%2 == 0 {
				for _, u := range l.Changed(records, s) {
					records[job.UseKey{Workspace: u.Workspace, Pool: u.Pool}] = u
				}
			}
		}
	}
	play(3*time.Hour, 0.6, 0.06)
	is.True(lead(at) > 800*time.Millisecond) // log2 of 10/11 over 1/2 is 0.86
	play(time.Hour, 0.3, 0.3)
	before := lead(at)
	l = NewLedger(at, records, s)
	is.True((before - lead(at)).Abs() < 10*time.Millisecond)
	l = NewLedger(at.Add(-time.Hour), records, s) // a clock that is behind
	is.True(!l.Changed(nil, s)[0].At.Before(records[heavy].At))
	is.True((before - lead(at)).Abs() < 10*time.Millisecond)
	l = NewLedger(at, records, s)
	play(3*time.Hour, 0.3, 0.3)
	is.True(lead(at) < 100*time.Millisecond)
}

// Guards against a time that is charged twice or for a pause, and against amounts that grow because
// a clock goes back.
func TestLedgerTimeNeverGoesBack(t *testing.T) {
	is := is.New(t)
	s, k := UseSettings{HalfLife: time.Hour}, job.UseKey{Workspace: "a", Pool: "p"}
	l := NewLedger(now, nil, s)
	total, last := time.Duration(0), time.Time{}
	for _, ms := range []int{500, 1000, -3_600_000, -3_599_500, 0, 3_600_000, 3_600_500} {
		elapsed, _ := l.Advance(now.Add(time.Duration(ms)*time.Millisecond), s)
		l.Charge(k, elapsed.Seconds())
		total += elapsed
		u := l.Changed(nil, s)
		is.True(!u[0].At.Before(last))
		last = u[0].At
	}
	is.Equal(total, 500*time.Millisecond*4+2*maxChargeTime)
	l.Charge(k, -100)
	is.Equal(l.Parts(nil)[k].Amount, 0.0)
}

// Guards against work that waits behind other work of its rank and tier for longer than the bound.
func TestPastUseDelaysWithinTheBound(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	s := UseSettings{HalfLife: time.Minute, Strength: 700 * time.Millisecond, Delay: 1500 * time.Millisecond}
	l := NewLedger(now, nil, s)
	for i := range 30 {
		l.Charge(job.UseKey{Workspace: fmt.Sprint(i), Pool: "p"}, random.ExpFloat64()*random.ExpFloat64())
	}
	parts := l.Parts([]job.Workspace{{Name: "3", Weight: 9}, {Name: "7", Weight: 1}})
	demands := make([]*Demand, 400)
	for i := range demands {
		name := fmt.Sprint(random.IntN(40))
		demands[i] = &Demand{
			Spec: &job.Step{Lasting: random.IntN(4) == 0}, Priority: random.IntN(3), Workspace: name, Sequence: uint64(i), rank: rank(random.IntN(5)),
			Deadline: now.Add(time.Duration(random.IntN(8000)) * time.Millisecond), Delay: parts[job.UseKey{Workspace: name, Pool: "p"}].Delay(s),
		}
	}
	slices.SortFunc(demands, compareDemands)
	delayed := 0
	for i, a := range demands {
		for _, b := range demands[i+1:] {
			is.True(a.rank < b.rank || a.rank == b.rank && a.tier() <= b.tier())
			if a.rank == b.rank && a.tier() == b.tier() {
				ahead := EffectiveDeadline(a.Deadline, a.Priority).Sub(EffectiveDeadline(b.Deadline, b.Priority))
				is.True(ahead <= s.Delay)
				if ahead > 0 {
					delayed++
				}
			}
		}
	}
	is.True(delayed > 0)
}

// Guards against a use that counts the wrong resource, such as processors of work on accelerators.
func TestDominantShare(t *testing.T) {
	is := is.New(t)
	capacity := work.Resources{Processors: 100_000, Memory: 100 << 30, Accelerators: 8}
	is.Equal(Dominant(work.Resources{Processors: 1000, Memory: 2 << 30, Accelerators: 2}, capacity), 0.25)
	is.Equal(Dominant(work.Resources{Processors: 1000, Memory: 2 << 30}, capacity), 0.02)
	is.Equal(Dominant(work.Resources{Accelerators: 2}, work.Resources{}), 0.0)
}
