package fit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a workspace that floods a pool and takes what is due to others.
func TestFloodOfOneWorkspaceComesAfterOthers(t *testing.T) {
	is := is.New(t)
	var s Share
	beyond := 0
	for i := range 40 { // twice the weight for two seconds
		if s.Beyond(10, now.Add(time.Duration(i)*50*time.Millisecond)) {
			beyond++
		}
	}
	is.Equal(beyond, 1) // 20 were saved up
	for i := range 40 {
		if s.Beyond(10, now.Add(2*time.Second+time.Duration(i)*50*time.Millisecond)) {
			beyond++
		}
	}
	is.Equal(beyond, 21)
	is.True(!s.Beyond(10, now.Add(10*time.Second)))
	is.True(!s.Beyond(0, now.Add(10*time.Second))) // no weight

	flood, due, late := demand("a", 0, 4, cores(4)), demand("b", 2, 4, cores(4)), demand("c", 0, 4, cores(4))
	flood.Beyond, late.Deadline = true, now.Add(-time.Second)
	p := Decide(now, []*Demand{flood, late, due}, Cluster{Workers: pool(1, cores(32))})
	is.Equal([]int{startsOf(p, due), startsOf(p, flood), startsOf(p, late)}, []int{4, 4, 0})
}

// Guards against a leader that gives a flood a fresh allowance because it cannot tell from the
// last accepted jobs what was saved up, and against a clock that goes back and saves up twice.
func TestReplayedShareGoesOn(t *testing.T) {
	is := is.New(t)
	var first, next, partial Share
	for i := range 200 {
		at := now.Add(time.Duration(i) * 17 * time.Millisecond)
		beyond := first.Beyond(10, at)
		next.Replay(10, at, beyond)
		if i > 150 {
			partial.Replay(10, at, beyond)
		}
	}
	is.True(next.saved-first.saved < 1e-6 && first.saved-next.saved < 1e-6)
	is.True(partial.saved < 2) // of 20
	last := next.at
	next.fill(10, last.Add(-time.Second))
	next.fill(10, last)
	is.True(next.saved-first.saved < 1e-6)
}
