package fit

import "time"

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
	most := max(1, weight*shareWindow.Seconds())
	if s.at.IsZero() {
		s.saved = most
	} else {
		s.saved = min(most, s.saved+weight*now.Sub(s.at).Seconds())
	}
	s.at = now
	if s.saved < 1 {
		return true
	}
	s.saved--
	return false
}
