package dispatch

import (
	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// full reports whether a job cannot be served, with the time to come back.
func (t *term) full(*job.Job, *job.Queue) (cell.Verdict, bool) { return cell.Verdict{}, false }
