package job

import (
	"maps"
	"time"
)

const (
	// copyTime is how long after the commit of a start its leader sends copies of it, and
	// until it has committed that one has no answer. It allows for steps of the time of day.
	copyTime = 5 * time.Second
	// maxCopyAge is the age of a start from which on no copy of it is on its way or executed, with
	// the same allowance: an order may be late by 13 s, and the longest lease is 6 s on a clock that
	// is slow by 2%.
	maxCopyAge = 25 * time.Second
)

// Sending says how a leader sends the copies of a start, which bounds where they may be carried out.
type Sending uint8

const (
	// SendCopies: there may be several from the beginning on, as in earlier builds.
	SendCopies Sending = iota
	// SendOnce: there is no second copy before the run is noted as unclear.
	SendOnce
	// SendTicket: each copy has a ticket. Only the incarnation takes it that lived when it was issued.
	SendTicket
)

// noteUnclear records that copies of the starts of runs have no answer, so that an incarnation of
// their workers may carry them out later.
func (v *View) noteUnclear(runs []Start, now time.Time) {
	if len(runs) == 0 {
		return
	}
	maps.DeleteFunc(v.Unanswered, func(_ string, at time.Time) bool { return now.Sub(at) >= maxCopyAge })
	for i := range runs {
		s := &runs[i]
		_, _, t := v.Find(s.Task)
		latest := t != nil && t.Run == s.Run && t.Worker == s.Worker && t.Life == s.Life
		if latest {
			t.Unclear = s.Worker
		}
		if !latest || t.Sending != SendTicket { // ends are kept for starts that a later incarnation may carry out
			v.Unanswered[s.Worker] = now
		}
	}
}

// noteAdopted records runs of which a leader knows no more than its predecessor: they are unclear for the next
// one, too, however long the leaders take to follow each other. No end is kept for them alone.
func (v *View) noteAdopted(runs []Start) {
	for i := range runs {
		s := &runs[i]
		if _, _, t := v.Find(s.Task); t != nil && t.Run == s.Run && t.Worker == s.Worker && t.Life == s.Life {
			t.Adopted = true
		}
	}
}

// Unclear reports whether copies of the start of a task's latest run, sent by an earlier leader, may
// still be carried out, and how long ago the latest of them was sent at least.
func (v *View) Unclear(t *Task) (ago time.Duration, unclear bool) {
	age := v.Updated.Sub(t.Started())
	return max(0, age-copyTime), age < copyTime || (t.Unclear != "" || t.Adopted) && age < maxCopyAge
}

// Doubtful reports whether an earlier leader has sent starts to a worker that have no answer and may
// still be carried out, and how long ago the latest was noted at least.
func (v *View) Doubtful(worker string) (ago time.Duration, unclear bool) {
	at, known := v.Unanswered[worker]
	age := v.Updated.Sub(at)
	return max(0, age-copyTime), known && age < maxCopyAge
}
