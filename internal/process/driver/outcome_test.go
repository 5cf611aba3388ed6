package driver

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/process/dispatch"
)

// attempts is how often tests repeat what depends on the choice of a select.
const attempts = 100

// pausing returns a permit whose sender is paused when it is about to send a second copy,
// and sends none afterwards.
func pausing(pause time.Duration) dispatch.Permit {
	var checks atomic.Int32
	return dispatch.Permit{Timeout: orderTimeout, Await: awaitTime, Valid: func() bool {
		if checks.Add(1) != 2 {
			return true
		}
		time.Sleep(pause)
		return false
	}}
}

// Guards against an accepted start that counts as not sent, since its sender was paused while both the
// answer and the end of its time came (rules TWICE and LIMIT, issue 52).
func TestAnswerThatComesWithTheEndOfTheTime(t *testing.T) {
	for name, c := range map[string]struct {
		answerTime time.Duration
		result     dispatch.Result
		open       int
	}{
		"answered":   {20 * time.Millisecond, dispatch.Accepted, 0},
		"on its way": {orderTimeout + 200*time.Millisecond, dispatch.Unanswered, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				for range attempts {
					a := Hedge(&slowUpstream{times: []time.Duration{c.answerTime}}).Start(pausing(2*orderTimeout), worker(1), dispatch.StartOrder{})
					is.Equal(a.Result, c.result)
					is.Equal(a.Open, c.open)
					time.Sleep(awaitTime)
				}
			})
		})
	}
}

// Guards against the answer of another incarnation to a second copy that is dropped, since the sender
// was paused while both answers came (rule TWICE, issue 52).
func TestAnswersThatComeTogetherAreAllPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		var lives []dispatch.Answer
		c := newCopies(dispatch.Permit{Valid: func() bool { return true }, Late: func(a dispatch.Answer) {
			mu.Lock()
			defer mu.Unlock()
			lives = append(lives, a)
		}}, &atomic.Int64{})
		for i := range 2 {
			c.launch(orderTimeout, func(p dispatch.Permit) dispatch.Answer {
				p.Valid()
				time.Sleep(time.Duration(i+1) * time.Millisecond)
				return dispatch.Answer{Result: dispatch.Accepted, Clock: time.UnixMilli(int64(i + 1))}
			})
		}
		time.Sleep(time.Second)
		a := c.conclude()
		synctest.Wait()
		is.Equal(a.Clock, time.UnixMilli(1))
		is.Equal(a.Open, 1)
		is.True(a.Repeated)
		mu.Lock()
		defer mu.Unlock()
		is.Equal(len(lives), 1)
		is.Equal(lives[0].Clock, time.UnixMilli(2))
	})
}

// Guards against the answer of a driver that is dropped, since the leader was paused while both
// the answer and the end of its time came (issue 52).
func TestAnswerOfADriverThatComesWithTheEndOfTheTime(t *testing.T) {
	is := is.New(t)
	f, end := NewFleet(FleetOptions{}), make(chan time.Time)
	close(end)
	for range attempts {
		sent := &flight{answer: make(chan reply, 1)}
		d := &remote{flight: map[uint64]*flight{1: sent}}
		d.receive(&reply{Number: 1, Result: dispatch.Accepted})
		r, ok := f.await(d, 1, sent, end)
		is.True(ok)
		is.Equal(r.Result, dispatch.Accepted)
	}
}
