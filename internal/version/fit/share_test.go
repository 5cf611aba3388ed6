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
