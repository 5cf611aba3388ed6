package fit

import (
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// peakWindow is how long the highest use of a pool by urgent work is remembered.
	peakWindow = 12 * time.Second
	// headroomFactor times the recent peak is kept for urgent work. Bursts of twice
	// the usual traffic are normal.
	headroomFactor = 1.3
	// maxHeadroomShare is the largest share of a pool that is kept free. After a
	// burst the peak says little about the next seconds, while the work that the
	// burst held up waits.
	maxHeadroomShare = 0.25
)

// Peak is the highest recent use of a pool by urgent work.
type Peak struct {
	use work.Resources
	at  time.Time
}

// Record records the use at a time.
func (k *Peak) Record(use work.Resources, now time.Time) {
	if use.Processors >= k.use.Processors || now.Sub(k.at) > peakWindow {
		k.use, k.at = use, now
	}
}

// Headroom returns what to keep free for urgent work in a pool: enough for a burst
// of small jobs, which are due before batch tasks end, and little enough that batch
// work goes on after the burst.
func (k *Peak) Headroom(use, capacity work.Resources) work.Resources {
	wanted := int64(headroomFactor*float64(k.use.Processors)) - use.Processors
	most := int64(maxHeadroomShare * float64(capacity.Processors))
	return work.Resources{Processors: max(0, min(wanted, most))}
}
