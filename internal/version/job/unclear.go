package job

import "time"

const (
	// copyTime is how long after the commit of a start its leader sends copies of it, and
	// until it has committed that one has no answer. It allows for steps of the time of day.
	copyTime = 5 * time.Second
	// maxCopyAge is the age of a start from which on no copy of it is on its way or executed, with
	// the same allowance: an order may be late by 13 s, and the longest lease is 6 s on a clock that
	// is slow by 2%.
	maxCopyAge = 25 * time.Second
)

// noteUnclear records that a copy of a run's start has no answer, so that an incarnation of its
// worker may carry it out later.
func (v *View) noteUnclear(s *Start) {
	if _, _, t := v.Find(s.Task); t != nil && t.Run == s.Run && t.Worker == s.Worker && t.Life == s.Life {
		t.Unclear = s.Worker
	}
}

// Unclear reports whether copies of the start of a task's latest run, sent by an earlier leader, may
// still be carried out, and how long ago the latest of them was sent at least.
func (v *View) Unclear(t *Task) (ago time.Duration, unclear bool) {
	age := v.Updated.Sub(t.Started())
	return max(0, age-copyTime), age < copyTime || t.Unclear != "" && age < maxCopyAge
}
