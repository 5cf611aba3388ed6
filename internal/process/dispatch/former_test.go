package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Guards against a task that runs in two places because a listing, or a start, that was sent to
// the former incarnation of its worker arrives late and extends the lease of the present one, whose
// clock reads less (rule TWICE, issue 41).
func TestLateOrderToAFormerIncarnationExtendsALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.workers.setRunTime(20 * time.Second)
		time.Sleep(30 * time.Second)
		b.restart("a", 2)
		b.report("a", false)
		time.Sleep(time.Second)
		b.submit("one", tasks(1))
		time.Sleep(time.Second)
		b.add("b", 1)
		b.changeWorker("a", func(w *fakeWorker) { w.silent = true })
		for range 8 {
			time.Sleep(time.Second)
			b.changeWorker("a", func(w *fakeWorker) {
				b.workers.endDueRuns(w)
				b.workers.prepareList(w, ListOrder{Lease: time.UnixMilli(0).Add(35 * time.Second), Fence: 1})
			})
		}
		time.Sleep(40 * time.Second)
		b.is.Equal(b.workers.copied(), "")
		b.is.Equal(b.status("one"), job.Completed)
	})
}
