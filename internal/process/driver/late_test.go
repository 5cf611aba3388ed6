package driver

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
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

// Guards against a slow connection between leader and driver on which each order counts as
// too old.
func TestOrdersPassASlowConnection(t *testing.T) {
	run(t, func(is *is.I, f *testFleet) {
		f.network.mu.Lock()
		f.network.delay = 100 * time.Millisecond
		f.network.mu.Unlock()
		time.Sleep(time.Second)
		for i := range 20 {
			f.Stop(always(orderTimeout), worker(1), dispatch.StopOrder{Task: task(1), Run: i})
			time.Sleep(2*batchTimeout + time.Duration(37*i)*time.Millisecond)
			is.Equal(f.all.senders(fmt.Sprintf("stop w001 j.0.0.1 %d 0", i)), []string{"c"})
		}
	})
}

// Guards against a driver that takes an order for another process, or of an earlier build, for
// a new one (rule TWICE, issue 45).
func TestOrderIsSentUntilItsStampEnds(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	s := NewServer(ServerOptions{Now: func() time.Time { return began }})
	received := began.Add(10 * time.Second)
	for _, c := range []struct {
		stamp cell.Stamp
		want  time.Time
	}{
		{cell.Stamp{Term: s.life, Expires: 11 * time.Second}, received.Add(orderTimeout)},
		{cell.Stamp{Term: s.life, Expires: 9 * time.Second}, began.Add(9 * time.Second)},
		{cell.Stamp{Term: s.life + 1, Expires: 11 * time.Second}, time.Time{}},
		{cell.Stamp{}, time.Time{}},
	} {
		is.Equal(s.deadline(&order{Timeout: orderTimeout, Stamp: c.stamp}, received), c.want)
	}
}

// Guards against an answer that is forgotten because its driver was slow: the start counts as one that may be carried
// out late, and no end of its worker is acknowledged for 13 s (rule LOST, issue 71).
func TestLateAnswerOfASlowDriverCounts(t *testing.T) {
	for name, timeout := range map[string]time.Duration{"the time of the order ends first": orderTimeout, "the driver is given up first": time.Second} {
		t.Run(name, func(t *testing.T) {
			run(t, func(is *is.I, f *testFleet) {
				f.network.mu.Lock()
				f.network.delay = 150 * time.Millisecond
				f.network.mu.Unlock()
				late := make(chan dispatch.Answer, 3)
				p := always(timeout)
				p.Await, p.Late = time.Second, func(a dispatch.Answer) { late <- a }
				a := f.Start(p, worker(1), dispatch.StartOrder{Task: task(1), Run: 1, Lease: time.UnixMilli(1)})
				time.Sleep(time.Second)
				answers := len(late)
				time.Sleep(2 * time.Second)
				f.mu.Lock()
				held := len(f.drivers["c"].flight)
				f.mu.Unlock()
				is.Equal(a.Result, dispatch.Undelivered)
				is.Equal(a.Open, 1)
				is.Equal(answers, 1)
				is.Equal((<-late).Result, dispatch.Refused) // the answer of recorder
				is.Equal(held, 0)
			})
		})
	}
}

// Guards against copies that settle an order that was given up before all of them are known (rule TWICE), and against
// late answers that are forgotten because their driver was lost meanwhile (rule LOST, issue 71).
func TestGivenUpOrderIsSettledByAllItsCopies(t *testing.T) {
	accepted := reply{Number: 1, Result: dispatch.Accepted}
	open := reply{Number: 1, Result: dispatch.Unanswered, Open: 2}
	first, second := reply{Number: 1, Result: dispatch.Refused, Late: 1}, reply{Number: 1, Result: dispatch.Accepted, Late: 2}
	for _, c := range []struct {
		before, after []reply // the driver is given up
		want          []dispatch.Result
	}{
		{nil, []reply{accepted, accepted}, []dispatch.Result{dispatch.Accepted}},
		{nil, []reply{open}, nil},
		{nil, []reply{open, first, first, open}, nil},
		{nil, []reply{first, open}, nil},
		{nil, []reply{open, first, second}, []dispatch.Result{dispatch.Accepted}},
		{nil, []reply{second, first, open}, []dispatch.Result{dispatch.Accepted}},
		{nil, []reply{{Number: 1, Result: dispatch.Undelivered}}, []dispatch.Result{dispatch.NotSent}},
		{nil, []reply{{Number: 1, Result: dispatch.Undelivered, Open: 1}}, nil},
		{nil, []reply{{Number: 2, Result: dispatch.Accepted}}, nil},
		{[]reply{open}, []reply{first, second, second}, []dispatch.Result{dispatch.Refused, dispatch.Accepted}},
		{[]reply{open, first}, []reply{first, second}, []dispatch.Result{dispatch.Refused, dispatch.Accepted}},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				var got []dispatch.Result
				o := &flight{answer: make(chan reply, 1), left: true, known: map[int]bool{}, late: func(a dispatch.Answer) {
					mu.Lock()
					defer mu.Unlock()
					got = append(got, a.Result)
				}}
				d := &remote{flight: map[uint64]*flight{1: o}}
				for i := range c.before {
					d.receive(&c.before[i])
				}
				d.abandon()
				synctest.Wait()
				for i := range c.after {
					d.receive(&c.after[i])
					synctest.Wait()
				}
				is.New(t).Equal(got, c.want)
			})
		})
	}
}
