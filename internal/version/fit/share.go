package fit

import (
	"math"
	"time"
)

// shareWindow is how long a workspace may save up what it does not submit.
const shareWindow = 2 * time.Second

// Share follows what a workspace submits. It answers a flood by one workspace: when a
// pool is full, what a workspace submits beyond its weight comes after what others
// submit within theirs.
type Share struct {
	saved float64 // submissions
	at    time.Time
}

// Beyond records a submission and reports whether it is beyond the weight, in
// submissions a second. Zero means no weight.
func (s *Share) Beyond(weight float64, now time.Time) bool {
	if weight <= 0 {
		return false
	}
	s.fill(weight, now)
	if s.saved < 1 {
		return true
	}
	s.saved--
	return false
}

// Refund returns what Beyond charged for a submission that was refused.
func (s *Share) Refund() { s.saved++ }

// Replay records a submission that an earlier leader accepted, and whether that leader found it
// beyond the weight.
func (s *Share) Replay(weight float64, at time.Time, beyond bool) {
	if weight <= 0 {
		return
	}
	s.fill(weight, at)
	if beyond {
		s.saved = min(s.saved, mostBeyond)
	} else {
		s.saved = max(0, s.saved-1)
	}
}

// mostBeyond is the most that was saved up when a submission was found beyond the weight.
const mostBeyond = 0.99

// heldStep is the factor between two levels of what workspaces hold. With any difference, fewer
// callers were served in time in replays of narrow work; see docs/policy.md, section 7.
const heldStep = 4

// HeldLevel returns the level of a workspace that holds a dominant share of a pool. Among work
// beyond the weights, that of workspaces with a lower level comes first: a weight counts
// submissions, of which some are far wider than others.
func HeldLevel(held, weight float64) int {
	if held <= 0 || weight <= 0 {
		return math.MinInt
	}
	return int(math.Floor(math.Log(held/weight) / math.Log(heldStep)))
}

// fill adds what the workspace may submit since the last submission. A clock that goes back
// adds nothing until it has caught up.
func (s *Share) fill(weight float64, now time.Time) {
	most := max(1, weight*shareWindow.Seconds())
	switch {
	case s.at.IsZero():
		s.saved, s.at = most, now
	case now.After(s.at):
		s.saved, s.at = s.saved+weight*now.Sub(s.at).Seconds(), now
	}
	s.saved = min(most, s.saved)
}
