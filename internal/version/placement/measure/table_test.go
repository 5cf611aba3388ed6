package measure

import (
	"bytes"
	"flag"
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/rosemaryloft/rosemaryloft/internal/version/placement"
)

var seed = flag.Uint64("seed", 7, "seed of the workload")

// testPart is the fraction of the workload that tests simulate.
const testPart = 0.2

// Guards against results that differ between runs with the same seed.
func TestTableIsTheSameFromRunToRun(t *testing.T) {
	variants := []Variant{{"full policy", &placement.Options{}}}
	var a, b bytes.Buffer
	Table(&a, io.Discard, *seed, testPart, variants)
	Table(&b, io.Discard, *seed, testPart, variants)
	is.New(t).Equal(a.String(), b.String())
}

// Guards against a policy that is worse than the first-fit baseline, urgent work
// that starts late, and decisions that the state rejects.
func TestFullPolicyAgainstFirstFit(t *testing.T) {
	is := is.New(t)
	for i := range Deployments {
		full, first := Run(&Deployments[i], *seed, testPart, &placement.Options{}), Run(&Deployments[i], *seed, testPart, nil)
		for _, u := range users {
			is.True(u.score(&first, &full) > 1)
		}
		is.True(full.UrgentStart.Seconds() < 6.6)
		is.Equal(full.Rejected, 0)
	}
}
