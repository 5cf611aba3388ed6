package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Guards against an order that leaves on a permission from before a pause of the
// process, during which its lease or its term ended.
func TestPermitEndsWithTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		p := b.term().permit(time.Second)
		b.is.True(p.Valid())
		b.log.setLease(-time.Millisecond)
		b.is.True(!p.Valid())
		b.log.setLease(time.Second)
		b.is.True(p.Valid())
		b.log.set(false, 2)
		b.is.True(!p.Valid())
		b.log.set(true, 3) // leads again, in another term
		b.is.True(!p.Valid())
	})
}

// Guards against a notice of leaving of a former incarnation that comes late and
// ends the use of the one that started since.
func TestLateLeaveOfAFormerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.add("a", 2)
		time.Sleep(time.Second)
		b.term().leave(&cell.Leave{Worker: "a", Life: 1})
		time.Sleep(5 * time.Second)
		b.submit("one", tasks(2))
		time.Sleep(3 * time.Second)
		b.is.Equal(b.status("one"), job.Completed)
	})
}
