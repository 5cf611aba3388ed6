package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Guards against a term in which nothing commits any more, and no cancellation takes
// effect, because the input of one round is larger than an entry of the log may be: a
// third of 30,000 runs ends at once with an availability zone (rules LOST, UNASKED).
func TestLargeInputIsSplitIntoRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		current := b.term()
		current.mu.Lock()
		for i := range 10_000 {
			id := job.TaskID{Job: "5c0e7a21d94b36f8", Index: i}
			current.inbox.ends = append(current.inbox.ends,
				job.End{Task: id, Run: 1, Worker: "i-7f3a91c2", Life: 1_796_395_000_000, Outcome: job.Lost, Saved: "00000bb87a21d94b"})
		}
		current.mu.Unlock()
		current.signal()
		time.Sleep(100 * time.Millisecond)
		b.submit("one", tasks(2))
		time.Sleep(4 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
	})
}
