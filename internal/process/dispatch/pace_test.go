package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Guards against a slow sound worker that is avoided, and a next leader that does not know that it is slow.
func TestNextLeaderKnowsSpeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b", "c", "d")
		defer b.close()
		b.changeWorker("a", func(w *fakeWorker) { w.slowdown = 2 })
		for i := range 12 {
			apart := tasks(4)
			apart.Spread = 1
			b.submit(fmt.Sprintf("early%d", i), apart)
			time.Sleep(time.Second)
		}
		time.Sleep(12 * time.Second)
		speeds := map[string]job.WorkerSpeed{}
		b.state.View(func(v *job.View) {
			for name, s := range v.Speeds {
				speeds[name] = s
			}
		})
		b.is.True(speeds["a"].Factor > 0.4 && speeds["a"].Factor < 0.75)
		old := b.term()
		old.mu.Lock()
		b.is.True(old.workers["a"].avoidedUntil.IsZero())
		old.mu.Unlock()
		b.log.set(false, 2)
		time.Sleep(100 * time.Millisecond)
		b.log.set(true, 3)
		time.Sleep(2 * time.Second)
		next := b.term()
		b.is.True(next != old)
		next.mu.Lock()
		defer next.mu.Unlock()
		for name, w := range next.workers {
			b.is.Equal(w.pace.Factor() != 1, speeds[name].Factor > 0)
		}
	})
}

// Guards against a cold worker that is avoided, or whose runs are moved, and against one that is not
// noticed to be slow when it is warm.
func TestColdWorkerIsNotAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b", "c")
		defer b.close()
		avoided := func() bool {
			term := b.term()
			term.mu.Lock()
			defer term.mu.Unlock()
			return !term.workers["a"].avoidedUntil.IsZero()
		}
		for i := range 12 {
			b.submit(fmt.Sprintf("early%d", i), tasks(1))
		}
		time.Sleep(2 * time.Second)
		b.changeWorker("a", func(w *fakeWorker) { w.slowdown, w.coldUntil = 7, time.Now().Add(20*time.Second) })
		time.Sleep(2 * time.Second)
		for i := range 4 {
			b.submit(fmt.Sprintf("cold%d", i), tasks(6))
		}
		time.Sleep(15 * time.Second)
		b.is.True(b.startsOn("a") > 0)
		b.is.True(!avoided())
		time.Sleep(10 * time.Second)
		for i := range 4 {
			b.submit(fmt.Sprintf("warm%d", i), tasks(6))
		}
		time.Sleep(6 * time.Second)
		b.is.True(avoided())
	})
}

// Guards against a run on a cold worker that is stopped for want of progress.
func TestColdRunMayStandStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a")
		defer b.close()
		b.changeWorker("a", func(w *fakeWorker) { w.slowdown, w.coldUntil = 1000, time.Now().Add(time.Minute) })
		time.Sleep(2 * time.Second)
		b.submit("one", tasks(1))
		time.Sleep(20 * time.Second)
		b.is.Equal(b.startsOn("a"), 1)
	})
}

// Guards against reports that move the end of a cold time although they are late, of an earlier incarnation, or
// cannot be, and against a record in the log for each report.
func TestReportsOfColdWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestCluster(t, "a")
		defer b.close()
		term, start := b.term(), time.UnixMilli(100_000)
		report := func(sequence int64, clock, cold time.Duration) time.Duration {
			r := cell.Report{Sequence: sequence, Clock: start.Add(clock), Cold: cold.Milliseconds(), Worker: term.workers["a"].Worker}
			term.reports(context.Background(), []cell.Report{r})
			var warm time.Time
			b.state.View(func(v *job.View) { warm = v.Workers["a"].Warm })
			if warm.IsZero() {
				return 0
			}
			return warm.Sub(start)
		}
		is.Equal(report(100, 0, 10*time.Second), 10*time.Second)
		is.Equal(report(101, time.Second, 9100*time.Millisecond), 10*time.Second) // moved too little
		is.Equal(report(90, 500*time.Millisecond, time.Second), 10*time.Second)   // late
		is.Equal(report(102, 2*time.Second, 12*time.Second), 14*time.Second)      // it was slower than it thought
		is.Equal(report(103, 3*time.Second, 3000*time.Hour), time.Duration(0))    // no worker is cold for so long
		is.Equal(report(104, 4*time.Second, 5*time.Second), 9*time.Second)
		is.Equal(report(105, 5*time.Second, -time.Second), time.Duration(0)) // warm early
		is.Equal(report(106, 6*time.Second, 0), time.Duration(0))
	})
}
