package driver

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/process/dispatch"
)

// Guards against a driver that was paused before it read an order, counts the order's time from
// the reading on, and sends it later than dispatch expects of any order (rule TWICE, issue 41).
func TestPausedDriverReadsNothingOld(t *testing.T) {
	run(t, func(is *is.I, f *testFleet) {
		var resume []func()
		for _, name := range []string{"b", "c", "d"} {
			resume = append(resume, f.network.pause(name))
		}
		a := f.Stop(always(orderTimeout), worker(1), dispatch.StopOrder{Task: task(1), Run: 1})
		is.Equal(a.Result, dispatch.Undelivered)
		time.Sleep(8 * time.Second)
		for _, r := range resume {
			r()
		}
		time.Sleep(time.Second)
		is.Equal(f.all.senders("stop w001 j.0.0.1 1 0"), nil)
	})
}
