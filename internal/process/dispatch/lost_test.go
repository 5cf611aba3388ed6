package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// lose reports whether an order gets no answer, after its time-out. The worker carries it
// out 2 to 12 s later.
func (h *fakeWorkers) lose(p Permit, worker string, late func(*fakeWorker)) bool {
	h.mu.Lock()
	lost := h.lostShare > 0 && h.random.Float64() < h.lostShare
	delay := 2 * time.Second
	if lost {
		delay += time.Duration(h.random.Int64N(int64(10 * time.Second)))
	}
	h.mu.Unlock()
	if !lost {
		return false
	}
	go func() {
		time.Sleep(delay)
		h.mu.Lock()
		defer h.mu.Unlock()
		if w := h.all[worker]; w != nil {
			h.endDueRuns(w)
			late(w)
		}
	}()
	time.Sleep(p.Timeout)
	return true
}

// lostAnswers is what a cluster does while orders are lost.
type lostAnswers struct {
	done   int     // tasks
	silent float64 // share of workers
}

// loseAnswers has jobs of short tasks submitted for 20 s while a share of orders is lost.
func loseAnswers(t *testing.T, share float64) lostAnswers {
	var l lostAnswers
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t, "a", "b", "c", "d", "e", "f")
		defer time.Sleep(13 * time.Second) // until no order is late any more
		defer b.close()
		b.workers.mu.Lock()
		b.workers.lostShare, b.workers.random = share, rand.New(rand.NewPCG(42, 2))
		b.workers.mu.Unlock()
		samples, silent := 0, 0
		for i := range 100 {
			b.submit(fmt.Sprintf("job%d", i), tasks(2))
			time.Sleep(200 * time.Millisecond)
			current := b.term()
			current.mu.Lock()
			for _, w := range current.workers {
				samples++
				if w.out(current.now(), current.timing().ReportInterval) == outSilent {
					silent++
				}
			}
			current.mu.Unlock()
		}
		l.silent = float64(silent) / float64(samples)
		for i := range 100 {
			if b.status(fmt.Sprintf("job%d", i)) == job.Completed {
				l.done++
			}
		}
		b.workers.mu.Lock()
		b.is.Equal(b.workers.duplicate, "")
		b.workers.mu.Unlock()
	})
	return l
}

// Guards against workers that count as silent because most orders to all of them get no
// answer: at each share nine of ten workers are in use.
func TestLostAnswersAreNoSilence(t *testing.T) {
	is := is.New(t)
	for _, share := range []float64{0.2, 0.5, 0.8} {
		l := loseAnswers(t, share)
		t.Logf("share %.1f: %d of 100 jobs done, workers silent %.3f", share, l.done, l.silent)
		is.True(l.silent < 0.1)
	}
}

// Guards against tolerance with a worker that alone does not answer, and with many that
// answer nothing for a while.
func TestToleranceFollowsTheShareOfLostAnswers(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var l lossShare
	is.True(l.tolerance(now) <= maxMissedAnswers)
	is.Equal(l.copies(now, chanceNoneWaits), 1)
	for range 100 {
		l.record(now, 0, 0)
	}
	is.True(l.tolerance(now) <= maxMissedAnswers)
	l.record(now, 50, 2*maxLossGap) // was cut off
	is.True(l.tolerance(now) <= maxMissedAnswers)
	for range 100 {
		l.record(now, 4, 100*time.Millisecond)
	}
	later := l.tolerance(now.Add(time.Second))
	is.True(later > 10)
	is.True(later <= maxTolerance)
	for range 20 {
		now = now.Add(time.Second)
		l.record(now, 0, 0)
	}
	is.True(l.tolerance(now) <= maxMissedAnswers)
}
