package boottime

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a right that outlasts a suspension of the VM, and against a clock that
// goes back when a later reading finds less.
func TestSuspensionsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stood := time.Duration(0)
		lead = func() time.Duration { return offset + stood }
		defer func() { lead = readLead; suspended.Store(0) }()
		deadline := Now().Add(300 * time.Millisecond)
		is.True(Now().Before(deadline))
		stood = 3 * time.Second // the steady clock has not moved
		is.True(!Now().Before(deadline))
		is.Equal(Suspended(), 3*time.Second)
		stood -= time.Microsecond // the thread was preempted between the two readings
		is.Equal(Suspended(), 3*time.Second)
	})
}

// Guards against suspensions that are reported twice, together with slewing, or never.
func TestWatchReportsEachSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var stood atomic.Int64
		lead = func() time.Duration { return offset + time.Duration(stood.Load()) }
		defer func() { lead = readLead; suspended.Store(0) }()
		ctx, cancel := context.WithCancel(t.Context())
		var reports []time.Duration
		done := make(chan struct{})
		go func() {
			defer close(done)
			watch(ctx, func(d time.Duration) { reports = append(reports, d) })
		}()
		for _, d := range []time.Duration{0, 2 * time.Second, time.Millisecond, 0, 3 * time.Second} {
			time.Sleep(time.Second)
			synctest.Wait()
			stood.Add(int64(d))
		}
		time.Sleep(time.Second)
		cancel()
		<-done
		is.Equal(reports, []time.Duration{2 * time.Second, 3*time.Second + time.Millisecond})
	})
}

// Guards against suspensions that the kernel's clocks show where there was none.
func TestNoSuspensionWithoutCause(t *testing.T) {
	is := is.New(t)
	before := Suspended()
	for range 10_000 {
		Now()
	}
	is.True(Suspended()-before < minReported)
}
