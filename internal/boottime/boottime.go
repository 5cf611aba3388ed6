// Package boottime reads a clock that goes on while the VM is suspended.
//
// Go's monotonic clock is the kernel's CLOCK_MONOTONIC, which stands still during a
// suspension. After the wake, a lease that is compared with time.Now still has what
// was left of it, although it is over for everybody else. So whatever gives a process
// a right that others respect only for a time is measured with this clock: leases and
// votes, allotments, the validity of a view, permissions to send an order.
//
// # Usage
//
//	deadline := boottime.Now().Add(validity)
//	...
//	if boottime.Now().Before(deadline) {
//		// the right still holds, however long the VM was suspended meanwhile
//	}
//
// Times of this clock are compared with each other only. They run ahead of time.Now by
// all the time for which the VM was suspended since the start of the process, and their
// wall time is of no use. Timers and deadlines of contexts use Go's clock: a deadline of
// this clock is passed to them as the time that remains.
//
// # Cost
//
// A reading takes two system calls, which is why what may end late without harm, such as
// the time-out of a call, stays with time.Now.
package boottime

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

const (
	// initialReadings is the number of readings at the start of the process, of which
	// the best counts. A single one is too low if the thread was preempted during it.
	initialReadings = 3
	// resolution is the least by which Suspended grows. Readings vary by some
	// microseconds; margins of leases are far longer.
	resolution = time.Millisecond
	// watchInterval is the time between two looks for a suspension.
	watchInterval = 250 * time.Millisecond
	// minReported is the shortest suspension that is logged. Slewing of the clocks
	// stays far below it.
	minReported = 20 * time.Millisecond
)

// lead returns how far the boot-time clock is ahead of the monotonic clock, or a little
// less: what passes between the two readings is subtracted. Tests replace it.
var lead = readLead

// offset is what the boot-time clock was ahead of the monotonic clock at the start.
var offset = func() time.Duration {
	best := lead()
	for range initialReadings - 1 {
		best = max(best, lead())
	}
	return best
}()

// suspended is the longest known result of Suspended, in nanoseconds.
var suspended atomic.Int64

// Now returns the time on the boot-time clock.
func Now() time.Time {
	now := time.Now() // before Suspended, so that a suspension in between counts
	return now.Add(Suspended())
}

// Suspended returns for how long the VM was suspended since the start of the process.
// It never decreases, and leaves out less than a millisecond.
func Suspended() time.Duration {
	latest := int64(lead() - offset)
	for {
		known := suspended.Load()
		if latest-known < int64(resolution) {
			return time.Duration(known)
		}
		if suspended.CompareAndSwap(known, latest) {
			return time.Duration(latest)
		}
	}
}

// Watch logs each suspension of the VM until ctx ends.
func Watch(ctx context.Context, log event.Log) error {
	watch(ctx, func(length time.Duration) { log.Emit(event.VMSuspended, zap.Duration("length", length)) })
	return nil
}

// watch calls report with the length of each suspension.
func watch(ctx context.Context, report func(length time.Duration)) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	reported := Suspended()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if total := Suspended(); total-reported >= minReported {
			report(total - reported)
			reported = total
		}
	}
}
