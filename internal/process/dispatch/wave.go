package dispatch

import (
	"context"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
)

// wave is a set of VMs that need maintenance.
type wave struct{ cell.Wave }

func (t *term) upkeep(context.Context, *cell.Wave) (cell.Verdict, bool) {
	return cell.Verdict{Code: cell.Invalid, Message: "upkeep is not served yet"}, true
}

func (t *term) waveState(int64) cell.Verdict { return cell.Verdict{Code: cell.NoJob} }
