package placement

import (
	"math"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	buckets = 72
	// octave is the number of buckets per doubling, so that a quantile is at
	// most 19% above the true value.
	octave = 4
	// fade is the growth of the weight of a sample against the one before it:
	// half of the weight lies in the last 70 samples.
	fade = 1.01

	ratioLow = -8 * octave // first bucket of ratios: 1/256
	timeLow  = 0           // first bucket of run times: 1 s

	scaleOne = 1024 // scale of sizes that are as declared
	scaleMin = scaleOne / 8
	scaleMax = scaleOne * 4
	// scaleStep is the change of a scale, in 1/16, below which it is kept.
	// Every change costs an update of the team's index.
	scaleStep = 16
)

// histogram counts samples on a logarithmic scale and forgets old ones.
type histogram struct {
	weights [buckets]float32
	total   float32
	unit    float32 // weight of the next sample
	count   int
}

func (h *histogram) add(value float64, low int) {
	if value <= 0 {
		return
	}
	if h.unit == 0 || h.unit > 1e6 {
		for i := range h.weights {
			h.weights[i] /= max(h.unit, 1)
		}
		h.total /= max(h.unit, 1)
		h.unit = 1
	}
	i := int(math.Floor(math.Log2(value)*octave)) - low
	h.weights[min(max(i, 0), buckets-1)] += h.unit
	h.total += h.unit
	h.unit *= fade
	h.count++
}

// quantile returns the upper edge of the bucket in which quantile q lies.
func (h *histogram) quantile(q float64, low int) float64 {
	sum, want := float32(0), float32(q)*h.total
	for i, w := range h.weights {
		if sum += w; sum >= want && w > 0 {
			return math.Exp2(float64(i+low+1) / octave)
		}
	}
	return math.Exp2(float64(buckets+low) / octave)
}

// usage is what the runs of one entry and team used and how long they took.
type usage struct {
	processors, memory histogram // greatest use over declared size
	ratio              histogram // run time over declared run time
	seconds            histogram // run time of runs that declared none
	scale              [2]int64  // reserved over declared processors and memory, in 1/1024
}

// learnSize takes in the greatest use of a run. It reports whether a scale changed.
func (s *Scheduler) learnSize(p *profile, declared, peak work.Resources) bool {
	u := &p.usage
	if declared.Processors > 0 {
		u.processors.add(float64(peak.Processors)/float64(declared.Processors), ratioLow)
	}
	if declared.Memory > 0 {
		u.memory.add(float64(peak.Memory)/float64(declared.Memory), ratioLow)
	}
	if s.options.Off.Sizes {
		return false
	}
	changed := false
	for i, h := range [...]*histogram{&u.processors, &u.memory} {
		if h.count < s.options.Samples {
			continue
		}
		scale := int64(h.quantile(s.options.SizeQuantile, ratioLow)*scaleOne) * (100 + s.options.MarginPercent) / 100
		scale = min(max(scale, scaleMin), scaleMax)
		if d := scale - u.scale[i]; d > u.scale[i]/scaleStep || -d > u.scale[i]/scaleStep {
			u.scale[i] = scale
			changed = true
		}
	}
	return changed
}

// learnTime takes in the run time of a run that succeeded.
func (u *usage) learnTime(declared, ran time.Duration) {
	if declared > 0 {
		u.ratio.add(ran.Seconds()/declared.Seconds(), ratioLow)
	} else {
		u.seconds.add(ran.Seconds(), timeLow)
	}
}

// unknownTime stands for a run time that nobody knows, and for services.
const unknownTime = 10 * 365 * 24 * time.Hour

// runTime returns the run time that tasks of j exceed with probability 1-q.
func (s *Scheduler) runTime(j *job, q float64) time.Duration {
	u := &j.profile.usage
	switch {
	case j.class == work.Service:
		return unknownTime
	case j.duration > 0 && !s.options.Off.Times && u.ratio.count >= s.options.Samples:
		return time.Duration(float64(j.duration) * u.ratio.quantile(q, ratioLow))
	case j.duration > 0:
		return j.duration
	case !s.options.Off.Times && u.seconds.count >= s.options.Samples:
		return time.Duration(u.seconds.quantile(q, timeLow) * float64(time.Second))
	}
	return unknownTime
}

func ceilScale(amount, scale int64) int64 { return (amount*scale + scaleOne - 1) / scaleOne }

// scaled returns a declared size as it is reserved. Accelerators are whole
// devices that a task addresses by number, so their count stays as declared.
func (u *usage) scaled(r work.Resources) work.Resources {
	r.Processors = ceilScale(r.Processors, u.scale[0])
	r.Memory = ceilScale(r.Memory, u.scale[1])
	return r
}

// unscaled returns the greatest declared size whose scaled size fits r. For
// scales above one it returns r, because such sizes may be cut back to the
// declared one.
func (u *usage) unscaled(r work.Resources) work.Resources {
	r.Processors = r.Processors * scaleOne / min(u.scale[0], scaleOne)
	r.Memory = r.Memory * scaleOne / min(u.scale[1], scaleOne)
	return r
}

// size returns what the next start of a task of j reserves: the declared size
// corrected by what earlier runs used. A correction that no worker or limit
// could hold is dropped. Urgent tasks get no less than declared, as a run that
// turns out too small delays them.
func (s *Scheduler) size(j *job) work.Resources {
	u := &j.profile.usage
	r := u.scaled(j.base)
	if j.urgent {
		r.Processors, r.Memory = max(r.Processors, j.base.Processors), max(r.Memory, j.base.Memory)
	}
	if u.scale[0] > scaleOne || u.scale[1] > scaleOne {
		if !r.Within(j.profile.entry.maximum) || !r.Within(j.team.limit) || !s.shapes.fits(j, r) {
			return j.base
		}
	}
	return r
}

// Report takes in a worker's late report of what its tasks use.
func (s *Scheduler) Report(name string, usage []work.Usage, now time.Time) {
	s.advance(now)
	w := s.workers[name]
	if w == nil {
		return
	}
	for i := range usage {
		t := s.task(usage[i].Task)
		if t == nil || t.token != usage[i].Token || t.worker != w {
			continue
		}
		used := usage[i].Used
		t.peak.Processors = max(t.peak.Processors, used.Processors)
		t.peak.Memory = max(t.peak.Memory, used.Memory)
		t.reports++
		// A service does not end, so its use counts after some reports.
		if t.job.class == work.Service && t.reports%serviceReports == 0 {
			s.learn(t)
		}
	}
}

// serviceReports is the number of usage reports of a service task that count
// as one run.
const serviceReports = 16

func (s *Scheduler) learn(t *task) {
	if t.reports > 0 && s.learnSize(t.job.profile, t.job.declared, t.peak) {
		s.startWalk(t.job.profile)
		s.refreshTeam(t.job.team)
	}
}
