//go:build !linux

package boottime

import "time"

// readLead returns zero: the monotonic clocks of the other systems are used as they are.
func readLead() time.Duration { return 0 }
