package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Guards against a worker that is never used again, because the round with its removal fails while
// it reports itself again, and the removal is committed after its return (rule LOST, issue 45).
func TestRemovalOfAWorkerThatReturnedIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		time.Sleep(time.Second)
		current := b.term()
		current.mu.Lock()
		w := current.workers["a"]
		current.removeWorker(w, "silent")
		failed, _ := current.inbox.take(maxRoundInput) // of a round that is on its way
		current.mu.Unlock()
		b.report("a", false)
		current.requeue(failed)
		time.Sleep(time.Second)
		b.submit("one", tasks(1))
		time.Sleep(5 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
	})
}
