package job

import "time"

const (
	// copyTime is how long after the commit of a start its leader sends copies of it, and
	// until it has committed that one has no answer. It allows for steps of the time of day.
	copyTime = 5 * time.Second
	// maxCopyAge is the age of a start from which on no copy of it is on its way, with the
	// same allowance.
	maxCopyAge = 24 * time.Second
)

// noteUnclear records that a copy of a run's start has no answer, so that an incarnation of its
// worker may carry it out later.
func (v *View) noteUnclear(s *Start) {
	if _, _, t := v.Find(s.Task); t != nil && t.Run == s.Run && t.Worker == s.Worker && t.Life == s.Life {
		t.Unclear = true
	}
}

// Unclear reports whether copies of the start of a task's current run, sent by an earlier leader, may
// still be on their way.
func (v *View) Unclear(t *Task) bool {
	age := v.Updated.Sub(t.Started())
	return age < copyTime || t.Unclear && age < maxCopyAge
}
