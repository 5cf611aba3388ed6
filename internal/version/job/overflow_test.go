package job_test

import (
	"math"
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Guards against sums of task counts that wrap around and pass as small: such a job ends each leader that
// looks at it (rules LOST and Fault, review/12).
func TestCountsThatWrapAroundAreRefused(t *testing.T) {
	for name, counts := range map[string][]int{
		"to zero":     {1 << 62, 1 << 62, 1 << 62, 1 << 62},
		"to negative": {1 << 62, 1 << 62},
		"to small":    {math.MaxInt, math.MaxInt, 4},
		"none":        {math.MaxInt},
		"beyond":      {20_001},
		"together":    {10_001, 10_000},
	} {
		t.Run(name, func(t *testing.T) {
			j := job.Job{ID: "one"}
			for _, n := range counts {
				j.Steps = append(j.Steps, job.Step{Count: n})
			}
			is.New(t).True(j.Check() != nil)
		})
	}
}

// Guards against a cell that does not start again with this build, because its log holds such a job, which the
// build of commit 75bde7c accepted and wrote there (rule LOST, review/12).
func TestLogWithCountsThatWrapAround(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(os.CopyFS(folder, os.DirFS("testdata/overflow")))
	store, err := disk.Open(folder)
	is.NoErr(err)
	contents, err := store.Load()
	is.NoErr(err)
	is.NoErr(store.Close())
	s := job.New()
	for _, e := range contents.Entries {
		if e.Kind == disk.Command {
			_, failed := s.Apply(e.Index, e.Data).(error)
			is.True(!failed)
		}
	}
	for range 2 {
		s.View(func(v *job.View) {
			is.Equal(len(v.Jobs), 2)
			is.Equal(v.Jobs["5c0e7a21d94b36f8"].Status, job.Completed)
			is.Equal(v.Jobs["5c0e7a21d94b36f9"].Status, job.Failed)
			is.Equal(len(v.Active), 0)
		})
		b, err := s.Snapshot()
		is.NoErr(err)
		s = job.New()
		is.NoErr(s.Restore(b))
	}
}
