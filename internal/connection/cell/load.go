package cell

import (
	"context"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// MethodLoad asks the leader for the load of the pools.
const MethodLoad = "load"

// Load returns the load of the pools.
func (l *Link) Load(ctx context.Context) (api.CellLoad, error) {
	var a api.CellLoad
	err := l.callLeader(ctx, MethodLoad, Who{}, &a)
	return a, err
}
