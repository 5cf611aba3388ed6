package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/crash"
	"github.com/rosemaryloft/rosemaryloft/internal/version/fit"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// pastCrash is a crash that counts in the rate of its pool.
type pastCrash struct {
	job.PoolCrash
	expires time.Time
}

// notePast records the crash of a worker for the rate of its pool.
func (t *term) notePast(pool string, runs []*run, evidence []crash.Evidence) {
	c := job.PoolCrash{Pool: pool}
	for i, r := range runs {
		if evidence[i].Suspected && !slices.Contains(c.Suspects, r.id.Job) {
			c.Suspects = append(c.Suspects, r.id.Job)
		}
	}
	t.crashes = append(t.crashes, pastCrash{c, t.now().Add(crash.RateTime)})
	t.inbox.lost = append(t.inbox.lost, c)
}

// adoptPast loads the crashes that earlier leaders saw.
func (t *term) adoptPast(v *job.View) {
	for _, c := range v.PoolCrashes {
		t.crashes = append(t.crashes, pastCrash{c, t.now().Add(crash.RateTime - max(0, v.Updated.Sub(c.At)))})
	}
}

// rate returns how often workers of a pool crash for reasons other than a job, and than work
// that was a suspect in several crashes, and how many of the workers could run a step of the job.
func (t *term) rate(pool string, id job.ID, s *job.Step, now time.Time) crash.Rate {
	t.crashes = slices.DeleteFunc(t.crashes, func(c pastCrash) bool { return now.After(c.expires) })
	suspicions := map[job.ID]int{id: 2}
	for i := range t.crashes {
		for _, suspect := range t.crashes[i].Suspects {
			suspicions[suspect]++
		}
	}
	var rate crash.Rate
	for i := range t.crashes {
		explained := slices.ContainsFunc(t.crashes[i].Suspects, func(suspect job.ID) bool { return suspicions[suspect] > 1 })
		if t.crashes[i].Pool == pool && !explained {
			rate.Crashes++
		}
	}
	able := map[netip.AddrPort]bool{}
	for _, w := range t.workers {
		if w.Pool != pool {
			continue
		}
		rate.Workers++
		if !w.Draining && fit.Able(s, &w.Worker) {
			able[w.Address] = true
		}
	}
	rate.Able = len(able)
	return rate
}

// settleVerdict gives up a task that looks faulty, or has it start as a trial once more if its
// workers may have crashed by chance. The caller holds the lock.
func (t *term) settleVerdict(p *job.Progress, s *job.Step, id job.TaskID, pool string) {
	k := &p.Tasks[id.Index]
	start, rate := job.Start{Task: id, Run: k.Run}, t.rate(pool, id.Job, s, t.now())
	proven, chance := p.Proven(s, k, &rate)
	if proven {
		t.inbox.faulty = append(t.inbox.faulty, start)
	} else {
		t.inbox.retried = append(t.inbox.retried, start)
		t.emit(event.TaskRetried, zap.Stringer("task", id), zap.Int("run", k.Run), zap.Float64("chance", chance),
			zap.Int("crashes", rate.Crashes), zap.Int("workers", rate.Workers))
	}
	t.signal()
}

// giveUpSpent gives up a task that waits and has no attempt left, since its queue allows fewer
// now. The caller holds the lock.
func (t *term) giveUpSpent(id job.TaskID, run int) {
	s := job.Start{Task: id, Run: run}
	if !slices.Contains(t.inbox.faulty, s) {
		t.inbox.faulty = append(t.inbox.faulty, s)
		t.signal()
	}
}
