package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Guards against a catalogue that is never acknowledged, and calls that get no answer meanwhile,
// because each round has other input (rule CONFIG, issue 46).
func TestLargeCatalogueIsTakenBesideOtherInput(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{1 << 10, maxRoundInput, maxCatalogue} {
		n, catalogues, notified := inbox{catalogue: &job.Catalogue{Document: make([]byte, size)}}, 0, 0
		n.waiters = append(n.waiters, make(chan bool, 1))
		for range 3 {
			n.ends = append(n.ends, job.End{Task: job.TaskID{Job: "one"}})
			in, _ := n.take(maxRoundInput)
			is.True(len(in.ends) == 0 || in.catalogue == nil || size == 1<<10)
			if in.catalogue != nil {
				catalogues++
			}
			notified += len(in.waiters)
		}
		is.Equal(catalogues, 1)
		is.Equal(notified, 1)
		is.True(n.empty())
	}
}
