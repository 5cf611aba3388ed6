package placement

import (
	"math"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	bucketCount = 72
	// bucketsPerDoubling is the resolution: a quantile is at most 19% above the
	// true value.
	bucketsPerDoubling = 4
	// weightGrowth is the ratio of the weight of a sample to that of the one
	// before it. Half of the total weight lies in the last 70 samples.
	weightGrowth = 1.01

	firstRatioBucket = -8 * bucketsPerDoubling // the first bucket of ratios begins at 1/256
	firstTimeBucket  = 0                       // the first bucket of run times begins at 1 s

	scaleOne = 1024 // scale at which the declared size is reserved
	scaleMin = scaleOne / 8
	scaleMax = scaleOne * 4
	// scaleDeadband keeps a scale that would change by no more than 1/16,
	// because every change costs an update of the team's index.
	scaleDeadband = 16
)

// histogram counts samples in logarithmic buckets. Newer samples weigh more.
type histogram struct {
	weights      [bucketCount]float32
	total        float32
	sampleWeight float32 // weight of the next sample
	count        int
}

func (h *histogram) add(value float64, firstBucket int) {
	if value <= 0 {
		return
	}
	if h.sampleWeight == 0 || h.sampleWeight > 1e6 {
		for i := range h.weights {
			h.weights[i] /= max(h.sampleWeight, 1)
		}
		h.total /= max(h.sampleWeight, 1)
		h.sampleWeight = 1
	}
	i := int(math.Floor(math.Log2(value)*bucketsPerDoubling)) - firstBucket
	h.weights[min(max(i, 0), bucketCount-1)] += h.sampleWeight
	h.total += h.sampleWeight
	h.sampleWeight *= weightGrowth
	h.count++
}

// quantile returns the upper edge of the bucket that contains quantile q.
func (h *histogram) quantile(q float64, firstBucket int) float64 {
	sum, want := float32(0), float32(q)*h.total
	for i, w := range h.weights {
		if sum += w; sum >= want && w > 0 {
			return math.Exp2(float64(i+firstBucket+1) / bucketsPerDoubling)
		}
	}
	return math.Exp2(float64(bucketCount+firstBucket) / bucketsPerDoubling)
}

// usageEstimate holds the resource use and run times observed for one team and
// entry.
type usageEstimate struct {
	processors, memory histogram // peak use divided by the declared size
	runTimeRatio       histogram // run time divided by the declared run time
	runSeconds         histogram // run time of runs that declared none
	scale              [2]int64  // reserved divided by declared processors and memory, in 1/1024
}

// learnSize adds the peak use of a run and reports whether a scale changed.
func (s *Scheduler) learnSize(p *profile, declared, peak work.Resources) bool {
	u := &p.usage
	if declared.Processors > 0 {
		u.processors.add(float64(peak.Processors)/float64(declared.Processors), firstRatioBucket)
	}
	if declared.Memory > 0 {
		u.memory.add(float64(peak.Memory)/float64(declared.Memory), firstRatioBucket)
	}
	if s.options.Off.Sizes {
		return false
	}
	changed := false
	for i, h := range [...]*histogram{&u.processors, &u.memory} {
		if h.count < s.options.Samples {
			continue
		}
		scale := int64(h.quantile(s.options.SizeQuantile, firstRatioBucket)*scaleOne) * (100 + s.options.MarginPercent) / 100
		scale = min(max(scale, scaleMin), scaleMax)
		if d := scale - u.scale[i]; d > u.scale[i]/scaleDeadband || -d > u.scale[i]/scaleDeadband {
			u.scale[i] = scale
			changed = true
		}
	}
	return changed
}

// learnRunTime adds the run time of a run that succeeded.
func (u *usageEstimate) learnRunTime(declared, ran time.Duration) {
	if declared > 0 {
		u.runTimeRatio.add(ran.Seconds()/declared.Seconds(), firstRatioBucket)
	} else {
		u.runSeconds.add(ran.Seconds(), firstTimeBucket)
	}
}

// unknownRunTime is the run time of services, and of tasks for which there is
// neither a declaration nor an estimate.
const unknownRunTime = 10 * 365 * 24 * time.Hour

// runTimeQuantile returns the run time that tasks of j exceed with probability
// 1-q.
func (s *Scheduler) runTimeQuantile(j *job, q float64) time.Duration {
	u := &j.profile.usage
	switch {
	case j.class == work.Service:
		return unknownRunTime
	case j.duration > 0 && !s.options.Off.Times && u.runTimeRatio.count >= s.options.Samples:
		return time.Duration(float64(j.duration) * u.runTimeRatio.quantile(q, firstRatioBucket))
	case j.duration > 0:
		return j.duration
	case !s.options.Off.Times && u.runSeconds.count >= s.options.Samples:
		return time.Duration(u.runSeconds.quantile(q, firstTimeBucket) * float64(time.Second))
	}
	return unknownRunTime
}

func ceilScale(amount, scale int64) int64 { return (amount*scale + scaleOne - 1) / scaleOne }

// scaled returns the size to reserve for a declared size. Accelerators are
// whole devices that a task addresses by number, so their count is not scaled.
func (u *usageEstimate) scaled(r work.Resources) work.Resources {
	r.Processors = ceilScale(r.Processors, u.scale[0])
	r.Memory = ceilScale(r.Memory, u.scale[1])
	return r
}

// unscaled returns the largest declared size whose scaled size fits in r. For
// scales above one it returns r, because taskSize may reduce such a size to the
// declared one.
func (u *usageEstimate) unscaled(r work.Resources) work.Resources {
	r.Processors = r.Processors * scaleOne / min(u.scale[0], scaleOne)
	r.Memory = r.Memory * scaleOne / min(u.scale[1], scaleOne)
	return r
}

// taskSize returns what the next start of a task of j reserves: the declared
// size corrected by the use of earlier runs. A correction that no worker or
// limit can hold is dropped. Urgent tasks get at least the declared size,
// because a run that turns out undersized delays them.
func (s *Scheduler) taskSize(j *job) work.Resources {
	u := &j.profile.usage
	r := u.scaled(j.baseSize)
	if j.urgent {
		r.Processors, r.Memory = max(r.Processors, j.baseSize.Processors), max(r.Memory, j.baseSize.Memory)
	}
	if u.scale[0] > scaleOne || u.scale[1] > scaleOne {
		if !r.Within(j.profile.entry.maximum) || !r.Within(j.team.limit) || !s.shapes.fits(j, r) {
			return j.baseSize
		}
	}
	return r
}

// Report records what a worker reports about the use of its running tasks.
func (s *Scheduler) Report(name string, usage []work.Usage, now time.Time) {
	s.advanceClock(now)
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
		t.reportCount++
		// A service does not end, so its use is learned after every few
		// reports.
		if t.job.class == work.Service && t.reportCount%serviceReportsPerRun == 0 {
			s.learnTaskSize(t)
		}
	}
}

// serviceReportsPerRun is the number of usage reports of a service task that
// count as one run.
const serviceReportsPerRun = 16

func (s *Scheduler) learnTaskSize(t *task) {
	if t.reportCount > 0 && s.learnSize(t.job.profile, t.job.declared, t.peak) {
		s.startRescan(t.job.profile)
		s.reindexTeam(t.job.team)
	}
}
